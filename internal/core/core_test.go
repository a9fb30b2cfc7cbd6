package core_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

const ms = time.Millisecond

// play runs a scenario on a small server, in time of its own.
func play(t *testing.T, shared bool, f func(w *scenario.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, scenario.Site(), shared)
		w.Expect(ms)
		f(w)
	})
}

func finished(handle string, how control.Outcome, result string) core.PoolFinished {
	e := core.PoolFinished{Handle: handle, End: how, Took: 10 * ms}
	if result != "" {
		e.Body = []byte(result)
	}
	return e
}

func blocked(handle, body string) core.PoolBlocked {
	return core.PoolBlocked{Handle: handle, Body: []byte(body)}
}

// The life of a request: run, call below, reply, result, one answer.
func TestARequestRunsCallsAndIsServed(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(blocked("a", "first"))
		w.Expect(ms, "call a quote 3s first")
		w.Send(core.CallEnded{Handle: "a", Outcome: control.OK, Body: []byte("reply")})
		w.Expect(ms, "supply a reply")
		w.Send(finished("a", control.OK, "result"), finished("a", control.OK, "result"))
		w.Expect(ms, "served a result")
	})
}

// What a call's end proves: a keyed request's call is repeated only if it never ran.
func TestCallOutcomes(t *testing.T) {
	for how, want := range map[control.Outcome][]string{
		control.Rejected:    {"call a book 4s x"},
		control.Unreachable: {"call a book 4s x"},
		control.Broken:      {"failed a"},
		control.Errored:     {"failed a"},
		control.TimedOut:    {"failed a"},
		control.Moot:        nil,
	} {
		play(t, false, func(w *scenario.World) {
			w.Send(w.Ask("a", "book", "k"))
			w.Expect(ms, "run a book body")
			w.Send(blocked("a", "x"))
			w.Expect(ms, "call a book 4s x")
			w.Send(core.CallEnded{Handle: "a", Outcome: how})
			w.Expect(6*ms, want...) // a call that was turned away waits 5 ms
		})
	}
}

// A call that nobody answers is given up by its own deadline, and the request is answered by its due time.
func TestASilentCallIsGivenUp(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms, "run a book body")
		w.Send(blocked("a", "x"))
		w.Expect(ms, "call a book 4s x")
		w.Expect(4*time.Second, "out of time a", "abandon a")
		w.Send(finished("a", control.Stopped, ""), w.Ask("b", "book", "k"))
		w.Expect(ms, "failed b")
	})
}

// Every try of one key gets the end of the one try that ran: while it runs, after it, and if it failed.
func TestRepeatsShareOneRun(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
		w.Expect(ms, "run a book body")
		w.Send(w.Ask("c", "book", "k"))
		w.Expect(ms)
		w.Send(finished("a", control.OK, "ride 7"))
		w.Expect(ms, "served a ride 7", "served b ride 7", "served c ride 7")
		w.Send(w.Ask("d", "book", "k"))
		w.Expect(ms, "served d ride 7")
		w.Send(w.Ask("e", "book", "other"))
		w.Expect(ms, "run e book body")
		w.Send(finished("e", control.Errored, ""), w.Ask("f", "book", "other"))
		w.Expect(ms, "failed e", "failed f")
	})
}

// The window counts from t0 of the try that ran, and the entry outlives it; then the key is free again.
func TestAKeyIsForgottenAfterItsWindow(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms, "run a book body")
		w.Send(finished("a", control.OK, "x"))
		w.Expect(20*time.Second, "served a x")
		w.Send(w.Ask("b", "book", "k"))
		w.Expect(3*time.Second, "served b x")
		w.Send(w.Ask("c", "book", "k"))
		w.Expect(ms, "run c book body")
	})
}

// A try that never ran leaves its key to those that wait for it: none of them ran, so one of them may.
func TestAWithdrawnTryThatNeverRanHandsItsKeyOn(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		for _, h := range []string{"1", "2"} { // both cores are taken
			w.Send(w.Ask(h, "book", "k"+h))
		}
		w.Expect(ms, "run 1 book body", "run 2 book body")
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"), w.Ask("c", "book", "k"))
		w.Expect(ms)
		w.Send(core.Withdraw{Session: w.Session("c"), Handle: "a"})
		w.Expect(ms)
		w.Send(finished("1", control.OK, "x"))
		w.Expect(ms, "served 1 x", "run b book body")
		w.Send(finished("b", control.OK, "y"))
		w.Expect(ms, "served b y", "served c y")
	})
}

// A token belongs to one body, a handle to one request.
func TestAnotherBodyOrAHandleInUseNeverRuns(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		odd := w.Ask("b", "book", "k")
		odd.Req.Body = []byte("other")
		w.Send(w.Ask("a", "book", "k"), odd, w.Ask("a", "quote", ""))
		w.Expect(ms, "conflict b", "invalid a", "run a book body")
	})
}

// A caller that has gone gets no answer, and its safe run is stopped.
func TestAWithdrawnRunIsStopped(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(core.Withdraw{Session: w.Session("c"), Handle: "a"}, core.Withdraw{Session: w.Session("c"), Handle: "a"})
		w.Expect(ms, "stop a")
		w.Send(finished("a", control.Stopped, ""))
		w.Expect(10 * time.Second)
	})
}

// All is answered before the stop; what arrives after the grace is refused; the loop ends.
func TestDrain(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(ms, "run a book body", "run b quote body")
		w.Send(core.Drain{})
		w.Expect(ms, "closed")
		w.Send(finished("b", control.OK, "x"), w.Ask("c", "quote", ""))
		w.Expect(ms, "served b x", "run c quote body") // it works on until its grace is nearly over
		w.Send(core.Check{Session: w.Session("c"), Reply: w.Ask("h", "quote", "").Reply})
		w.Expect(ms, "checked h true")
		w.Expect(1800*ms, "draining to c")
		w.Send(core.Check{Session: w.Session("c"), Reply: w.Ask("h", "quote", "").Reply}, core.Opened{Session: w.Session("last")}, w.AskOn("last", "e", "quote", ""))
		w.Expect(200*ms, "checked h false", "draining to last", "run e quote body")
		w.Send(w.Ask("d", "book", "d"))
		w.Expect(ms, "refused d")
		w.Expect(1750*ms, "failed a", "failed c", "stop c", "failed e", "stop e")
		<-w.Done
	})
}

// With nothing left and nobody connected, a server that leaves does not wait for its end.
func TestDrainEndsEarlyWhenAllHaveGone(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(core.Drain{}, core.Closed{Session: w.Session("c")})
		start := time.Now()
		<-w.Done
		if d := time.Since(start); d > 2600*ms {
			t.Errorf("ended after %v", d)
		}
	})
}

// Before its worker pool is up a server runs nothing and says so.
func TestNothingRunsWithoutAWorkerPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, scenario.Site(), false)
		w.Send(core.Check{Session: w.Session("c"), Reply: w.Ask("h", "quote", "").Reply})
		w.Expect(ms, "checked h true")
	})
}

// A new link repeats what the worker pool has not shown to have received, after the notices that were
// missed; a pool that started anew has lost its runs, and a keyed one is never run again.
func TestANewLinkToTheWorkerPool(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(ms, "run a book body", "run b quote body")
		w.Send(core.PoolBound{Age: time.Hour}, finished("b", control.OK, "x"))
		w.Expect(ms, "served b x", "run a book body")
		for _, h := range []string{"c", "d", "e"} { // one more runs, two wait
			w.Send(w.Ask(h, "book", h))
		}
		w.Send(w.Ask("d2", "book", "d"))
		w.Expect(ms, "run c book body")
		w.Send(core.PoolBound{Age: 0, Cold: true}, w.Ask("a2", "book", "k"))
		w.Expect(ms, "failed a", "failed c", "failed a2", "run d book body", "run e book body")
		w.Send(finished("d", control.OK, "x"))
		w.Expect(ms, "served d x", "served d2 x")
	})
}

// A link that ends takes its last commands with it, and no others: a run that had its reply would take the
// copy for the reply to its next call. Without a link nothing is sent, and all of it after the next is up. A run
// that has shown nothing of itself is asked for again whenever that was: a loop may hear late of a break.
func TestWhatALinkTakesWithIt(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(200*ms, "run a book body", "run b quote body")
		w.Send(core.PoolLost{}, core.PoolBlocked{Handle: "a", Body: []byte("ask")}) // the last notice that came
		w.Expect(ms, "call a book 3.8s ask")
		w.Send(core.CallEnded{Handle: "a", Outcome: control.OK, Body: []byte("r")}, core.Withdraw{Session: w.Session("c"), Handle: "b"})
		w.Expect(200 * ms)
		w.Send(core.PoolBound{Age: time.Hour})
		w.Expect(ms, "supply a r", "run b quote body", "stop b")
		w.Send(core.PoolLost{}, core.PoolLost{}, core.PoolBound{Age: time.Hour})
		w.Expect(ms, "supply a r", "run b quote body", "stop b")
		w.Expect(200 * ms)
		w.Send(core.PoolLost{}, core.PoolBound{Age: time.Hour})
		w.Expect(ms, "run b quote body", "stop b")
	})
}

// A run that the worker pool never began is proven not to have run: the request is not served, and its key
// is free for the next try. One that was asked for twice may have run.
func TestARunThatNeverBegan(t *testing.T) {
	for name, e := range map[string]core.Event{"unknown": core.PoolUnknown{Command: "spawn", Handle: "a"}, "moot": finished("a", control.Moot, "")} {
		t.Run(name, func(t *testing.T) {
			play(t, false, func(w *scenario.World) {
				w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
				w.Expect(ms, "run a book body")
				w.Send(e)
				w.Expect(ms, map[string]string{"unknown": "invalid a", "moot": "failed a"}[name], "run b book body")
				w.Send(core.PoolUnknown{Command: "supply", Handle: "b"}, core.PoolLost{}, core.PoolBound{Age: time.Hour})
				w.Expect(ms, "run b book body")
				w.Send(finished("b", control.Moot, ""), w.Ask("c", "book", "k"))
				w.Expect(ms, "failed b", "failed c")
			})
		})
	}
}

// With too many connections one that stands idle makes room: first one that never said anything, then the
// one that has been idle for longest, and never one in use.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	play(t, false, func(w *scenario.World) { // c is the first of eight
		open := func(name string) { w.Send(core.Opened{Session: w.Session(name)}) }
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		for i := range 7 {
			name := string(rune('d' + i))
			open(name)
			if name != "h" {
				release := w.Block() // both come in one turn
				w.Send(w.AskOn(name, name, "quote", ""), core.Withdraw{Session: w.Session(name), Handle: name})
				release()
			}
			w.Expect(150 * ms)
		}
		open("x")
		w.Expect(ms, "close h")
		open("y")
		w.Expect(ms, "close d")
	})
}

// A handle of late is never run again; and who is turned away, or takes back what it asks, time after time,
// no longer reaches the controller and loses its connection.
func TestStrangeClients(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(finished("a", control.OK, "x"), w.Ask("a", "quote", ""))
		w.Expect(ms, "served a x", "invalid a")
		w.Send(core.Opened{Session: w.Session("d")}, w.AskOn("d", "b", "quote", ""), w.AskOn("d", "c", "quote", ""))
		w.Expect(ms, "run b quote body", "run c quote body") // the cores are taken: the rest is held
		for i := range 64 {
			h := fmt.Sprint("w", i)
			w.Send(w.Ask(h, "quote", ""), core.Withdraw{Session: w.Session("d"), Handle: h}) // not its own
			w.Send(core.Withdraw{Session: w.Session("c"), Handle: h})
		}
		// The last request was sent before the connection could end: it is answered, by a refusal that nothing else sees.
		w.Expect(ms, "draining to c", "refused w63", "close c")
	})
}

// A client of which too much came to nothing goes on although it was asked to end: each of its requests is refused, its
// connection stays, and what was open on it is served.
func TestAStrangeClientThatGoesOnIsAnswered(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""), w.Ask("b", "quote", ""))
		w.Expect(ms, "run a quote body", "run b quote body")
		const all, withdrawn = 1000, 64
		for i := range all { // all of them at once: none finds the connection idle
			w.Send(w.Ask(fmt.Sprint("w", i), "quote", ""), core.Withdraw{Session: w.Session("c"), Handle: fmt.Sprint("w", i)})
		}
		var want []string
		for i := range all - withdrawn {
			want = append(want, fmt.Sprint("refused w", withdrawn+i))
		}
		w.Expect(ms, want...)
		w.Send(finished("a", control.OK, "x"), finished("b", control.OK, "y"))
		w.Expect(ms, "served a x", "served b y")
		w.Send(w.Ask("z", "quote", ""))
		w.Expect(ms, "run z quote body")
	})
}

// A worker pool that starts anew, or for the first time, during a drain makes a new controller: what comes past the grace
// is not run for that.
func TestAPoolThatStartsInADrainRunsNothingLate(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		grace := scenario.Site().Control.DrainGrace
		w.Send(core.Drain{})
		w.Expect(grace-100*ms, "closed", "draining to c")
		w.Send(core.PoolLost{}, core.PoolBound{Cold: true}, w.Ask("a", "quote", ""))
		w.Expect(10*ms, "run a quote body")
		w.Send(finished("a", control.OK, "x"))
		w.Expect(200*ms, "served a x")
		w.Send(w.Ask("b", "quote", "")) // past the grace
		w.Expect(ms, "refused b")
		w.Send(core.PoolLost{}, core.PoolBound{Cold: true}, w.Ask("c", "quote", ""))
		w.Expect(ms, "refused c")
	})
}

// A request that is read past the grace is not run, whenever it is said to have come: its last byte may be as late.
func TestWhatIsReadPastTheGraceIsNotRun(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(core.Drain{})
		w.Expect(scenario.Site().Control.DrainGrace, "closed", "draining to c")
		late := w.Ask("a", "quote", "")
		late.Req.Arrived = time.Now().Add(-100 * ms)
		w.Send(late)
		w.Expect(ms, "refused a")
	})
}

// A request that waits for a store which says nothing has its answer before the server ends, though it would wait longer.
func TestTheEndAnswersWhatWaitsForAStore(t *testing.T) {
	play(t, true, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms, "claim k")
		start := time.Now()
		w.Send(core.Drain{})
		w.Await("failed a")
		if d := time.Since(start); d >= scenario.Site().Stop {
			t.Errorf("answered after %v", d)
		}
		<-w.Done
	})
}

// With no room for another key the oldest results go, and what is known to have run stays known.
func TestTheTableOfKeysIsBounded(t *testing.T) {
	site := scenario.Site()
	site.Bounds.Table = 3 * 4700
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, site, false)
		for _, h := range []string{"a", "b", "c", "d"} {
			w.Send(w.Ask(h, "book", h))
			w.Expect(ms, "run "+h+" book body")
			w.Send(finished(h, control.OK, strings.Repeat("x", 4096)))
			w.Expect(ms, "served "+h+" "+strings.Repeat("x", 4096))
		}
		w.Send(w.Ask("a2", "book", "a"), w.Ask("d2", "book", "d"))
		w.Expect(ms, "failed a2", "served d2 "+strings.Repeat("x", 4096))
	})
}

// A try that comes in the turn in which the one before it is withdrawn, held and not run, runs, once.
func TestATryCrossesTheWithdrawalOfAnother(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		w.Expect(ms, "run x quote body", "run y quote body") // the cores are taken
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms)
		w.Send(core.Withdraw{Session: w.Session("c"), Handle: "a"}, w.Ask("b", "book", "k"))
		w.Expect(ms)
		w.Send(finished("x", control.OK, "x"))
		w.Expect(ms, "served x x", "run b book body")
		w.Send(w.Ask("d", "book", "k"))
		w.Expect(ms)
		w.Send(finished("b", control.OK, "b"))
		w.Expect(ms, "served b b", "served d b")
	})
}

// Idle connections are closed; what comes once one has ended is not run, and what was sent before that, when the core had
// asked for the end and not heard of the request yet, keeps the connection.
func TestIdleConnectionsAreClosed(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Expect(31*time.Second, "close c")
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms)
	})
	play(t, false, func(w *scenario.World) {
		w.Expect(29900 * ms)
		release := w.Block()
		for range 800 { // more than a few turns take
			w.Send(core.Hold{})
		}
		w.Send(w.Ask("a", "quote", ""))
		time.Sleep(200 * ms) // it is idle for too long, and what has come on it stands in the queue
		release()
		w.Expect(ms, "run a quote body")
		w.Send(finished("a", control.OK, "x"))
		w.Expect(ms, "served a x")
	})
}

// The shared store: a keyed request runs only with the claim in hand; without an answer it is refused, and
// safe classes go on.
func TestTheSharedStore(t *testing.T) {
	claimed := func(s core.Claim, result string) core.Claimed {
		return core.Claimed{Key: core.Key{Class: 1, Token: "k"}, State: s, Result: []byte(result)}
	}
	for name, steps := range map[string]func(w *scenario.World){
		"won": func(w *scenario.World) {
			w.Send(claimed(core.ClaimWon, ""))
			w.Expect(ms, "run a book body")
			w.Send(finished("a", control.OK, "x"))
			w.Expect(ms, "finish k true x", "served a x", "served b x")
		},
		"done elsewhere": func(w *scenario.World) {
			w.Send(claimed(core.ClaimDone, "x"))
			w.Expect(ms, "served a x", "served b x")
		},
		"failed elsewhere": func(w *scenario.World) {
			w.Send(claimed(core.ClaimFailed, ""))
			w.Expect(ms, "failed a", "failed b")
		},
		"in hand elsewhere": func(w *scenario.World) {
			w.Send(claimed(core.ClaimOther, ""))
			w.Expect(150*ms, "claim k")
			w.Send(claimed(core.ClaimDone, "x"))
			w.Expect(ms, "served a x", "served b x")
		},
		"another body": func(w *scenario.World) {
			w.Send(claimed(core.ClaimOff, ""))
			w.Expect(ms, "conflict a", "conflict b")
		},
		"down": func(w *scenario.World) {
			w.Send(claimed(core.ClaimDown, ""))
			w.Expect(ms, "release k", "refused a", "refused b")
		},
		"down at once": func(w *scenario.World) {
			w.Send(claimed(core.ClaimDown, ""))
			w.FullStore()
			w.Expect(ms, "release k", "refused a", "refused b")
			w.Send(w.Ask("d", "book", "k"))
			w.Expect(ms, "claim k", "release k", "refused d")
		},
		"too late": func(w *scenario.World) {
			w.Expect(4*time.Second, "out of time b", "out of time a", "out of time s", "stop s")
			w.Send(claimed(core.ClaimWon, ""))
			w.Expect(ms, "release k")
		},
		"won as they are withdrawn": func(w *scenario.World) { // all in one turn: nothing runs, and the next try asks anew
			w.Send(core.Withdraw{Session: w.Session("c"), Handle: "a"}, core.Withdraw{Session: w.Session("c"), Handle: "b"}, claimed(core.ClaimWon, ""))
			w.Expect(ms, "release k")
			w.Send(w.Ask("d", "book", "k"))
			w.Expect(ms, "claim k")
		},
		"asked for by nobody": func(w *scenario.World) {
			w.Send(core.Withdraw{Session: w.Session("c"), Handle: "a"}, core.Withdraw{Session: w.Session("c"), Handle: "b"})
			w.Expect(ms)
			w.Send(claimed(core.ClaimWon, ""))
			w.Expect(ms, "release k")
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, true, func(w *scenario.World) {
				w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"), w.Ask("s", "quote", ""))
				w.Expect(ms, "claim k", "run s quote body")
				steps(w)
			})
		})
	}
}
