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

// play runs f on a small server, in a synctest bubble.
func play(t *testing.T, shared bool, f func(w *scenario.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, scenario.Site(), shared)
		w.Expect(ms)
		f(w)
	})
}

func runFinished(handle string, outcome control.Outcome, result string) core.PoolFinished {
	e := core.PoolFinished{Handle: handle, Outcome: outcome, RunTime: 10 * ms}
	if result != "" {
		e.Body = []byte(result)
	}
	return e
}

func runBlocked(handle, body string) core.PoolBlocked {
	return core.PoolBlocked{Handle: handle, Body: []byte(body)}
}

// The life of a request: run, downstream call, reply, result, one answer.
func TestRequestLifecycle(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(runBlocked("a", "first"))
		w.Expect(ms, "call a quote 3s first")
		w.Send(core.CallEnded{Handle: "a", Outcome: control.OK, Body: []byte("reply")})
		w.Expect(ms, "supply a reply")
		w.Send(runFinished("a", control.OK, "result"), runFinished("a", control.OK, "result"))
		w.Expect(ms, "served a result")
	})
}

// The call of a keyed request is repeated only if its outcome proves that it never ran.
func TestCallOutcomes(t *testing.T) {
	for outcome, want := range map[control.Outcome][]string{
		control.Rejected:    {"call a book 4s x"},
		control.Unreachable: {"call a book 4s x"},
		control.Interrupted: {"failed a"},
		control.Errored:     {"failed a"},
		control.TimedOut:    {"failed a"},
		control.NotStarted:  nil,
	} {
		play(t, false, func(w *scenario.World) {
			w.Send(w.Ask("a", "book", "k"))
			w.Expect(ms, "run a book body")
			w.Send(runBlocked("a", "x"))
			w.Expect(ms, "call a book 4s x")
			w.Send(core.CallEnded{Handle: "a", Outcome: outcome})
			w.Expect(6*ms, want...) // a rejected call is repeated after 5 ms
		})
	}
}

// A call without a reply is given up at its own deadline, and the request is answered by its due time.
func TestCallWithoutReplyTimesOut(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms, "run a book body")
		w.Send(runBlocked("a", "x"))
		w.Expect(ms, "call a book 4s x")
		w.Expect(4*time.Second, "out of time a", "abandon a")
		w.Send(runFinished("a", control.Stopped, ""), w.Ask("b", "book", "k"))
		w.Expect(ms, "failed b")
	})
}

// Every try of a key gets the outcome of the one try that ran: during its run, after it, and if it failed.
func TestRepeatsShareOneRun(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
		w.Expect(ms, "run a book body")
		w.Send(w.Ask("c", "book", "k"))
		w.Expect(ms)
		w.Send(runFinished("a", control.OK, "ride 7"))
		w.Expect(ms, "served a ride 7", "served b ride 7", "served c ride 7")
		w.Send(w.Ask("d", "book", "k"))
		w.Expect(ms, "served d ride 7")
		w.Send(w.Ask("e", "book", "other"))
		w.Expect(ms, "run e book body")
		w.Send(runFinished("e", control.Errored, ""), w.Ask("f", "book", "other"))
		w.Expect(ms, "failed e", "failed f")
	})
}

// The window counts from t0 of the try that ran, and the entry outlives it by a margin; then the key is free again.
func TestKeyExpiresAfterWindow(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms, "run a book body")
		w.Send(runFinished("a", control.OK, "x"))
		w.Expect(20*time.Second, "served a x")
		w.Send(w.Ask("b", "book", "k"))
		w.Expect(3*time.Second, "served b x")
		w.Send(w.Ask("c", "book", "k"))
		w.Expect(ms, "run c book body")
	})
}

// A try that never ran passes its key to the tries that wait for it: none of them ran, so one of them may.
func TestCanceledTryPassesKeyOn(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		for _, h := range []string{"1", "2"} { // occupies both cores
			w.Send(w.Ask(h, "book", "k"+h))
		}
		w.Expect(ms, "run 1 book body", "run 2 book body")
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"), w.Ask("c", "book", "k"))
		w.Expect(ms)
		w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: "a"})
		w.Expect(ms)
		w.Send(runFinished("1", control.OK, "x"))
		w.Expect(ms, "served 1 x", "run b book body")
		w.Send(runFinished("b", control.OK, "y"))
		w.Expect(ms, "served b y", "served c y")
	})
}

// A token belongs to one body, and a handle to one request.
func TestConflictingBodyOrHandleNeverRuns(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		conflicting := w.Ask("b", "book", "k")
		conflicting.Req.Body = []byte("other")
		w.Send(w.Ask("a", "book", "k"), conflicting, w.Ask("a", "quote", ""))
		w.Expect(ms, "conflict b", "invalid a", "run a book body")
	})
}

// A canceled request is not answered, and its safe run is stopped.
func TestCanceledRunIsStopped(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: "a"}, core.RequestCanceled{Session: w.Session("c"), Handle: "a"})
		w.Expect(ms, "stop a")
		w.Send(runFinished("a", control.Stopped, ""))
		w.Expect(10 * time.Second)
	})
}

// Everything is answered before the stop, requests that arrive after the grace period are refused, and the loop ends.
func TestDrain(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(ms, "run a book body", "run b quote body")
		w.Send(core.Drain{})
		w.Expect(ms, "closed")
		w.Send(runFinished("b", control.OK, "x"), w.Ask("c", "quote", ""))
		w.Expect(ms, "served b x", "run c quote body") // the server works until its grace period is nearly over
		w.Send(core.HealthCheck{Session: w.Session("c"), Reply: w.Ask("h", "quote", "").Reply})
		w.Expect(ms, "checked h true")
		w.Expect(1800*ms, "draining to c")
		w.Send(core.HealthCheck{Session: w.Session("c"), Reply: w.Ask("h", "quote", "").Reply},
			core.SessionOpened{Session: w.Session("last")}, w.AskOn("last", "e", "quote", ""))
		w.Expect(200*ms, "checked h false", "draining to last", "run e quote body")
		w.Send(w.Ask("d", "book", "d"))
		w.Expect(ms, "refused d")
		w.Expect(1750*ms, "failed a", "failed c", "stop c", "failed e", "stop e")
		<-w.Done
	})
}

// A draining server with no open request and no connection does not wait for the end of its stop time.
func TestDrainEndsEarlyWhenIdle(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(core.Drain{}, core.SessionClosed{Session: w.Session("c")})
		start := time.Now()
		<-w.Done
		if elapsed := time.Since(start); elapsed > 2600*ms {
			t.Errorf("ended after %v", elapsed)
		}
	})
}

// Before its worker pool is up, a server runs nothing and reports that.
func TestNothingRunsWithoutWorkerPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, scenario.Site(), false)
		w.Send(core.HealthCheck{Session: w.Session("c"), Reply: w.Ask("h", "quote", "").Reply})
		w.Expect(ms, "checked h true")
	})
}

// A run of a keyed request is requested once, whatever becomes of the link: it may have ended, and its end may be on its way.
// A pool that was restarted has lost its runs, and a keyed run is never repeated.
func TestNewLinkToWorkerPool(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(ms, "run a book body", "run b quote body")
		w.Send(core.PoolBound{Age: time.Hour}, runFinished("b", control.OK, "x"))
		w.Expect(ms, "served b x")
		for _, h := range []string{"c", "d", "e"} { // one of them runs, two wait
			w.Send(w.Ask(h, "book", h))
		}
		w.Send(w.Ask("d2", "book", "d"))
		w.Expect(ms, "run c book body")
		w.Send(core.PoolBound{Age: 0, Cold: true}, w.Ask("a2", "book", "k"))
		w.Expect(ms, "failed a", "failed c", "failed a2", "run d book body", "run e book body")
		w.Send(runFinished("d", control.OK, "x"))
		w.Expect(ms, "served d x", "served d2 x")
	})
}

// A broken link loses only its last commands: a command is not repeated if the answer to a poll, or a notice, has shown that
// the pool took it. Without a link nothing is sent; after the next one is up, everything is. The run of a request that may
// be repeated is requested again if it may be lost, that of another one is not.
func TestBrokenLinkRepeatsOnlyCommandsInDoubt(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(200*ms, "run a book body", "run b quote body")
		w.Send(core.PoolLost{}, core.PoolBlocked{Handle: "a", Body: []byte("ask")}) // the last notice that arrived
		w.Expect(ms, "call a book 3.8s ask")
		w.Send(core.CallEnded{Handle: "a", Outcome: control.OK, Body: []byte("r")},
			core.RequestCanceled{Session: w.Session("c"), Handle: "b"})
		w.Expect(200 * ms)
		w.Send(core.PoolBound{Age: time.Hour})
		w.Expect(ms, "supply a r", "stop b")
		w.Send(core.PoolLost{}, core.PoolLost{}, core.PoolBound{Age: time.Hour})
		w.Expect(ms, "stop b")
		w.Expect(200 * ms)
		w.Send(core.PoolLost{}, core.PoolBound{Age: time.Hour})
		w.Expect(ms, "stop b")
		w.Send(runFinished("b", control.Stopped, ""))
		w.Expect(ms)
		w.Send(w.Ask("c", "quote", ""), core.PoolLost{}, core.PoolBound{Age: time.Hour})
		w.Expect(ms, "run c quote body")
		w.Send(core.PoolLost{}, w.Ask("d", "book", "l"), w.Ask("e", "quote", ""))
		w.Expect(ms)
		w.Send(core.PoolBound{Age: time.Hour})
		w.Expect(ms, "run c quote body")
	})
}

// The reply to a call is sent once: the run may wait for its next call by now, and would take a copy for that call's reply. A
// run that may be repeated is stopped and started again if nothing is heard of it for a quarter of its time.
func TestReplyInDoubtIsNotRepeated(t *testing.T) {
	for _, class := range []string{"quote", "book"} {
		t.Run(class, func(t *testing.T) {
			play(t, false, func(w *scenario.World) {
				w.Send(w.Ask("a", class, map[string]string{"book": "k"}[class]))
				w.Expect(200*ms, "run a "+class+" body")
				w.Send(core.PoolBlocked{Handle: "a", Notice: 1, Body: []byte("ask")})
				w.Expect(ms, map[string]string{"quote": "call a quote 2.8s ask", "book": "call a book 3.8s ask"}[class])
				w.Send(core.CallEnded{Handle: "a", Outcome: control.OK, Body: []byte("r")})
				w.Expect(ms, "supply a r")
				w.Send(core.PoolLost{}, core.PoolBound{Age: time.Hour})
				w.Expect(900 * ms)
				if class == "book" {
					w.Expect(2*time.Second + 850*ms)
					w.Expect(100*ms, "out of time a")
					return
				}
				w.Expect(100*ms, "stop a")
				w.Send(runFinished("a", control.Stopped, ""))
				w.Expect(ms, "run a quote body")
				w.Send(runFinished("a", control.OK, "x"))
				w.Expect(10*time.Second, "served a x")
			})
		})
	}
}

// A write whose run was never requested has not run: once its caller is gone it is not run late, and its key is free.
func TestRunThatWasNeverRequested(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(core.PoolLost{}, w.Ask("a", "book", "k"))
		w.Expect(ms)
		w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: "a"}, core.PoolBound{Age: time.Hour})
		w.Expect(ms)
		w.Send(w.Ask("b", "book", "k"))
		w.Expect(ms, "run b book body")
	})
}

// The run of a write that may be lost with its link is waited for as long as it can be of use. Then it counts as run and
// failed, and holds nothing any longer.
func TestWriteInDoubtIsGivenUp(t *testing.T) {
	for name, later := range map[string]core.Event{"nothing is heard": nil, "it ends in time": runFinished("a", control.OK, "x"),
		"it waits for a call": core.PoolBlocked{Handle: "a", Body: []byte("ask")}} {
		t.Run(name, func(t *testing.T) {
			play(t, false, func(w *scenario.World) {
				w.Send(w.Ask("a", "book", "k"))
				w.Expect(ms, "run a book body")
				w.Send(core.PoolLost{}, core.PoolBound{Age: time.Hour})
				w.Expect(2 * time.Second)
				switch later.(type) {
				case core.PoolFinished:
					w.Send(later)
					w.Expect(20*time.Second, "served a x")
				case core.PoolBlocked:
					w.Send(later)
					w.Expect(time.Second, "call a book 2s ask")
				default:
					w.Expect(4*time.Second, "out of time a")
					w.Send(w.Ask("b", "book", "k"))
					w.Expect(2*time.Second+300*ms, "failed b")
					if m := metricsOf(w); m.Active != 0 || m.Pool.GivenUp != 1 {
						t.Errorf("%d requests in hand, %d runs given up", m.Active, m.Pool.GivenUp)
					}
				}
			})
		})
	}
}

// A run that the worker pool never began is known not to have run: the request is not served, and its key is free for
// the next try.
func TestRunThatNeverBegan(t *testing.T) {
	for name, event := range map[string]core.Event{"unknown": core.PoolCommandUnknown{Command: "spawn", Handle: "a"},
		"moot": runFinished("a", control.NotStarted, "")} {
		t.Run(name, func(t *testing.T) {
			play(t, false, func(w *scenario.World) {
				w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
				w.Expect(ms, "run a book body")
				w.Send(event)
				w.Expect(ms, map[string]string{"unknown": "invalid a", "moot": "failed a"}[name], "run b book body")
				w.Send(core.PoolCommandUnknown{Command: "supply", Handle: "b"}, core.PoolLost{},
					core.PoolBound{Age: time.Hour})
				w.Expect(ms)
				w.Send(runFinished("b", control.NotStarted, ""), w.Ask("c", "book", "k"))
				w.Expect(ms, "failed b", "run c book body")
				w.Send(runFinished("c", control.OK, "x"))
				w.Expect(ms, "served c x")
			})
		})
	}
}

// With too many connections an idle one is closed: first one that never sent anything, then the one that has been
// idle for longest, and never one in use.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	play(t, false, func(w *scenario.World) { // c is the first of eight
		open := func(name string) { w.Send(core.SessionOpened{Session: w.Session(name)}) }
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		for i := range 7 {
			name := string(rune('d' + i))
			open(name)
			if name != "h" {
				release := w.Block() // both events are handled in one iteration
				w.Send(w.AskOn(name, name, "quote", ""), core.RequestCanceled{Session: w.Session(name), Handle: name})
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

// A recent handle is never run again. A client whose requests are repeatedly refused or canceled no longer reaches
// the controller and loses its connection.
func TestClientsWithManyUnservedRequests(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(runFinished("a", control.OK, "x"), w.Ask("a", "quote", ""))
		w.Expect(ms, "served a x", "invalid a")
		w.Send(core.SessionOpened{Session: w.Session("d")}, w.AskOn("d", "b", "quote", ""), w.AskOn("d", "c", "quote", ""))
		w.Expect(ms, "run b quote body", "run c quote body") // both cores are busy: the rest is held
		for i := range 64 {
			h := fmt.Sprint("w", i)
			// The first cancellation comes from another connection and is ignored.
			w.Send(w.Ask(h, "quote", ""), core.RequestCanceled{Session: w.Session("d"), Handle: h})
			w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: h})
		}
		// The last request was sent before the connection could end: it is refused without reaching the controller.
		w.Expect(ms, "draining to c", "refused w63", "close c")
	})
}

// A client with too many unserved requests continues after its connection was asked to end: each of its requests is
// refused, the connection stays, and the requests already open on it are served.
func TestRequestsAfterCloseRequestAreAnswered(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""), w.Ask("b", "quote", ""))
		w.Expect(ms, "run a quote body", "run b quote body")
		const total, limit = 1000, 64
		for i := range total { // all at once, so that none finds the connection idle
			w.Send(w.Ask(fmt.Sprint("w", i), "quote", ""),
				core.RequestCanceled{Session: w.Session("c"), Handle: fmt.Sprint("w", i)})
		}
		var want []string
		for i := range total - limit {
			want = append(want, fmt.Sprint("refused w", limit+i))
		}
		w.Expect(ms, want...)
		w.Send(runFinished("a", control.OK, "x"), runFinished("b", control.OK, "y"))
		w.Expect(ms, "served a x", "served b y")
		w.Send(w.Ask("z", "quote", ""))
		w.Expect(ms, "run z quote body")
	})
}

// A worker pool that is restarted, or starts for the first time, during a drain creates a new controller. Requests
// after the grace period must not be run because of that.
func TestPoolStartDuringDrainRunsNothingLate(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		grace := scenario.Site().Control.DrainGrace
		w.Send(core.Drain{})
		w.Expect(grace-100*ms, "closed", "draining to c")
		w.Send(core.PoolLost{}, core.PoolBound{Cold: true}, w.Ask("a", "quote", ""))
		w.Expect(10*ms, "run a quote body")
		w.Send(runFinished("a", control.OK, "x"))
		w.Expect(200*ms, "served a x")
		w.Send(w.Ask("b", "quote", "")) // after the grace period
		w.Expect(ms, "refused b")
		w.Send(core.PoolLost{}, core.PoolBound{Cold: true}, w.Ask("c", "quote", ""))
		w.Expect(ms, "refused c")
	})
}

// A request that is read after the grace period is not run, whatever its arrival time: its last byte may be as late.
func TestRequestAfterGracePeriodIsNotRun(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(core.Drain{})
		w.Expect(scenario.Site().Control.DrainGrace, "closed", "draining to c")
		req := w.Ask("a", "quote", "")
		req.Req.Arrived = time.Now().Add(-100 * ms)
		w.Send(req)
		w.Expect(ms, "refused a")
	})
}

// A request that waits for a store which does not answer is answered before the server ends, although it could wait
// longer.
func TestShutdownAnswersRequestsWaitingForStore(t *testing.T) {
	play(t, true, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms, "claim k")
		start := time.Now()
		w.Send(core.Drain{})
		w.Await("failed a")
		if elapsed := time.Since(start); elapsed >= scenario.Site().StopTime {
			t.Errorf("answered after %v", elapsed)
		}
		<-w.Done
	})
}

// When there is no room for another key, the oldest results are dropped, and it stays known which keys have run.
func TestKeyTableIsBounded(t *testing.T) {
	site := scenario.Site()
	site.Bounds.Table = 3 * 4700
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, site, false)
		for _, h := range []string{"a", "b", "c", "d"} {
			w.Send(w.Ask(h, "book", h))
			w.Expect(ms, "run "+h+" book body")
			w.Send(runFinished(h, control.OK, strings.Repeat("x", 4096)))
			w.Expect(ms, "served "+h+" "+strings.Repeat("x", 4096))
		}
		w.Send(w.Ask("a2", "book", "a"), w.Ask("d2", "book", "d"))
		w.Expect(ms, "failed a2", "served d2 "+strings.Repeat("x", 4096))
	})
}

// A try that arrives in the same iteration in which the previous, held try is canceled must run, once.
func TestTryCrossesCancellation(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		w.Expect(ms, "run x quote body", "run y quote body") // both cores are busy
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(ms)
		w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: "a"}, w.Ask("b", "book", "k"))
		w.Expect(ms)
		w.Send(runFinished("x", control.OK, "x"))
		w.Expect(ms, "served x x", "run b book body")
		w.Send(w.Ask("d", "book", "k"))
		w.Expect(ms)
		w.Send(runFinished("b", control.OK, "b"))
		w.Expect(ms, "served b b", "served d b")
	})
}

// Idle connections are closed. A request that arrives on a connection that has ended is not run; one that was sent
// before that, when the core had asked for the end but not yet seen the request, keeps the connection open.
func TestIdleConnectionsAreClosed(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Expect(31*time.Second, "close c")
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms)
	})
	play(t, false, func(w *scenario.World) {
		w.Expect(29900 * ms)
		release := w.Block()
		for range 800 { // more than a few iterations handle
			w.Send(core.OperatorDrain{})
		}
		w.Send(w.Ask("a", "quote", ""))
		time.Sleep(200 * ms) // the connection exceeds its idle timeout while its request is in the queue
		release()
		w.Expect(ms, "run a quote body")
		w.Send(runFinished("a", control.OK, "x"))
		w.Expect(ms, "served a x")
	})
}

// With a shared store, a keyed request runs only with its claim. Without an answer of the store it is refused, and
// safe classes continue.
func TestSharedStore(t *testing.T) {
	claimed := func(s core.Claim, result string) core.ClaimAnswered {
		return core.ClaimAnswered{Key: core.Key{Class: 1, Token: "k"}, State: s, Result: []byte(result)}
	}
	for name, steps := range map[string]func(w *scenario.World){
		"won": func(w *scenario.World) {
			w.Send(claimed(core.ClaimWon, ""))
			w.Expect(ms, "run a book body")
			w.Send(runFinished("a", control.OK, "x"))
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
		"in flight elsewhere": func(w *scenario.World) {
			w.Send(claimed(core.ClaimOther, ""))
			w.Expect(150*ms, "claim k")
			w.Send(claimed(core.ClaimDone, "x"))
			w.Expect(ms, "served a x", "served b x")
		},
		"another body": func(w *scenario.World) {
			w.Send(claimed(core.ClaimConflict, ""))
			w.Expect(ms, "conflict a", "conflict b")
		},
		"down": func(w *scenario.World) {
			w.Send(claimed(core.ClaimUnavailable, ""))
			w.Expect(ms, "release k", "refused a", "refused b")
		},
		"down at once": func(w *scenario.World) {
			w.Send(claimed(core.ClaimUnavailable, ""))
			w.FullStore()
			w.Expect(ms, "release k", "refused a", "refused b")
			w.Send(w.Ask("d", "book", "k"))
			w.Expect(ms, "claim k", "release k", "refused d")
		},
		"won too late": func(w *scenario.World) {
			w.Expect(4*time.Second, "out of time b", "out of time a", "release k", "out of time s", "stop s")
			w.Send(claimed(core.ClaimWon, ""))
			w.Expect(ms, "release k")
		},
		// All in one iteration: nothing runs, and the next try claims again.
		"won as the tries are canceled": func(w *scenario.World) {
			w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: "a"},
				core.RequestCanceled{Session: w.Session("c"), Handle: "b"}, claimed(core.ClaimWon, ""))
			w.Expect(ms, "release k", "release k")
			w.Send(w.Ask("d", "book", "k"))
			w.Expect(ms, "claim k")
		},
		"all tries canceled": func(w *scenario.World) {
			w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: "a"},
				core.RequestCanceled{Session: w.Session("c"), Handle: "b"})
			w.Expect(ms, "release k")
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
