package core_test

import (
	"crypto/sha256"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

var fleetKey = core.Key{Class: 1, Token: "k"}

func claimWon() core.Event                { return core.ClaimAnswered{Key: fleetKey, State: core.ClaimWon} }
func finishStored(ok bool) core.Event     { return core.FinishConfirmed{Key: fleetKey, OK: ok} }
func runSucceeded(h, r string) core.Event { return runFinished(h, control.OK, r) }

func adoptRequest(body string) core.Adopt {
	return core.Adopt{Request: core.KeyedRequest{Key: fleetKey, Sum: sha256.Sum256([]byte(body)), Body: []byte(body), Tenant: 7,
		Rank: 0.9, Memory: 10, Left: 4 * time.Second}}
}

// expectAfter sends events to the core and expects its actions, written as one string separated by semicolons.
func expectAfter(w *scenario.World, actions string, events ...core.Event) {
	w.Send(events...)
	if actions == "" {
		w.Expect(ms)
		return
	}
	w.Expect(ms, strings.Split(actions, "; ")...)
}

// withConfirmingStore runs f with a store that confirms stored results, and with a ledger.
func withConfirmingStore(t *testing.T, strict bool, configure func(*core.Config), f func(w *scenario.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		if configure != nil {
			configure(&site)
		}
		w := scenario.NewWorld(t, site, true, scenario.KeepLedger(&scenario.Ledger{IsStrict: strict}),
			func(w *scenario.World) { w.Waits, w.Hides = true, true })
		w.Expect(ms)
		f(w)
	})
}

const (
	servedA = "served[1 3000000 10000 90 0 4 1]"
	failedA = "failed[1 0 10000 90 0 4 0]"
	replay  = " served replay[1 0 0 0 0 4 1]"
)

// lostBeforeRecorded returns the steps in which a result is stored and the claim is lost before the ledger entry is
// written.
func lostBeforeRecorded(loseClaim func(w *scenario.World)) func(w *scenario.World) {
	return func(w *scenario.World) {
		expectAfter(w, "book 1 "+servedA, finishStored(true))
		loseClaim(w)
		w.Expect(ms, "book 2 served[-1 -3000000 -10000 -90 0 -4 -1]", "book 3 "+failedA, "failed a")
		expectAfter(w, "", core.LedgerWritten{Through: 3})
	}
}

// The result of a keyed run is sent, and recorded as served, only once it is stored safely, for its own caller and
// for those that repeat it. A result that is not confirmed in time, or belongs to another server, fails the request.
func TestResultsWaitForStoreConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		strict bool
		steps  func(w *scenario.World)
	}{
		"stored": {false, func(w *scenario.World) {
			expectAfter(w, "", w.Ask("b", "book", "k"))
			expectAfter(w, "served a x; served b x; book 1 served replay[1 0 0 10 0 4 1]; book 2 served[1 3000000 10000 100 0 4 1]; served c x; book 3"+replay,
				finishStored(true), finishStored(true), w.Ask("c", "book", "k"))
		}},
		"stored, then recorded": {true, func(w *scenario.World) {
			expectAfter(w, "book 1 "+servedA, finishStored(true))
			expectAfter(w, "served a x", core.LedgerWritten{Through: 1})
		}},
		"stored, lost before it is recorded": {true,
			lostBeforeRecorded(func(w *scenario.World) { w.Lose(true); w.Send(core.LedgerWritten{Through: 1}) })},
		"stored, disowned before it is recorded": {true,
			lostBeforeRecorded(func(w *scenario.World) { w.Send(core.Disown{}) })},
		"taken over": {false, func(w *scenario.World) {
			expectAfter(w, "failed a; book 1 "+failedA+"; failed b; book 2 failed[1 0 0 0 0 4 0]",
				w.Ask("b", "book", "k"), finishStored(false))
			expectAfter(w, "claim k", w.Ask("c", "book", "k"))
		}},
		"not confirmed in time": {false, func(w *scenario.World) {
			w.Expect(3976 * ms)
			w.Expect(3*ms, "out of time a", "book 1 failed[1 0 10000 39870 0 4 0]")
			expectAfter(w, "served b x; book 2 served replay[1 3000000 0 0 0 4 1]", w.Ask("b", "book", "k"),
				finishStored(true))
		}},
		"canceled by the caller": {false, func(w *scenario.World) {
			expectAfter(w, "", core.RequestCanceled{Session: w.Session("c"), Handle: "a"}, w.Ask("b", "book", "k"))
			expectAfter(w, "served b x; book 1 served replay[1 3000000 0 10 0 4 1]; book 2 withdrawn-ran[1 0 10000 100 0 4 0]",
				finishStored(true))
		}},
		"failed": {false, func(w *scenario.World) {
			expectAfter(w, "claim f; run f book body", w.Ask("f", "book", "f"),
				core.ClaimAnswered{Key: core.Key{Class: 1, Token: "f"}, State: core.ClaimWon})
			expectAfter(w, "finish f false ", runFinished("f", control.Errored, ""))
			expectAfter(w, "failed f; book 1 "+failedA, core.FinishConfirmed{Key: core.Key{Class: 1, Token: "f"}, OK: true})
		}},
		"never confirmed": {false, func(w *scenario.World) {
			expectAfter(w, "claim f; run f book body", w.Ask("f", "book", "f"),
				core.ClaimAnswered{Key: core.Key{Class: 1, Token: "f"}, State: core.ClaimWon})
			expectAfter(w, "finish f true x; book 1 withdrawn-ran[1 0 10000 80 0 4 0]",
				core.RequestCanceled{Session: w.Session("c"), Handle: "f"}, runSucceeded("f", "x"))
			w.Expect(23*time.Second, "out of time a", "book 2 failed[1 0 10000 39870 0 4 0]")
			expectAfter(w, "claim f; claim k", w.Ask("g", "book", "f"), w.Ask("b", "book", "k"))
		}},
		"the core is free meanwhile": {false, func(w *scenario.World) {
			expectAfter(w, "run x quote body; run y quote body", w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		}},
		"server shutdown": {false, func(w *scenario.World) {
			w.Send(core.Drain{})
			w.Expect(3800*ms, "closed", "draining to c")
			w.Expect(100*ms, "failed a", "close c", "book 1 failed[1 0 10000 38590 0 4 0]")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withConfirmingStore(t, c.strict, nil, func(w *scenario.World) {
				expectAfter(w, "claim k; run a book body", w.Ask("a", "book", "k"), claimWon())
				expectAfter(w, "finish k true x", runSucceeded("a", "x"), runSucceeded("a", "y"))
				c.steps(w)
			})
		})
	}
}

// A lost claim is noticed at the moment of acting: nothing is run, called, supplied, finished, answered, replayed or
// released, and all tries fail. At a Disown they fail at once, in whatever state, and the next try asks the store
// again.
func TestLostClaims(t *testing.T) {
	startRun := func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), claimWon())
		w.Expect(200*ms, "claim k", "run a book body")
	}
	hold := func(w *scenario.World) {
		expectAfter(w, "run x quote body; run y quote body", w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		expectAfter(w, "claim k", w.Ask("a", "book", "k"), claimWon())
	}
	startCall := func(w *scenario.World) {
		startRun(w)
		expectAfter(w, "call a book 3.8s b", runBlocked("a", "b"))
	}
	storeResult := func(w *scenario.World) {
		startRun(w)
		expectAfter(w, "finish k true x", runSucceeded("a", "x"))
	}
	always := func(e core.Event) func(*scenario.World) core.Event {
		return func(*scenario.World) core.Event { return e }
	}
	for name, c := range map[string]struct {
		setUp         func(w *scenario.World)
		event         func(w *scenario.World) core.Event // the event that makes the core act
		actions       string                             // the expected actions with the claim lost
		disownActions string                             // the expected actions at a Disown
	}{
		"asking": {func(w *scenario.World) { expectAfter(w, "claim k", w.Ask("a", "book", "k")) },
			always(claimWon()), "failed a; failed b", "failed a; failed b"},
		"held":    {hold, always(runSucceeded("x", "1")), "served x 1; failed a; failed b", "failed a; failed b"},
		"running": {startRun, always(runSucceeded("a", "x")), "failed a; failed b", "failed a; stop a; failed b"},
		"failing": {startRun, always(runFinished("a", control.NotStarted, "")), "failed a; failed b",
			"failed a; stop a; failed b"},
		"run not begun": {startRun, always(core.PoolCommandUnknown{Command: "spawn", Handle: "a"}), "failed a; failed b",
			"failed a; stop a; failed b"},
		"before a call": {startRun, always(runBlocked("a", "b")), "failed a; stop a; failed b",
			"failed a; stop a; failed b"},
		"during a call": {startCall, always(core.CallEnded{Handle: "a", Body: []byte("r")}),
			"failed a; stop a; failed b", "failed a; abandon a; stop a; failed b"},
		"before continuing without a call": {startCall, always(core.CallEnded{Handle: "a", Outcome: control.Interrupted}),
			"failed a; stop a; failed b", "failed a; abandon a; stop a; failed b"},
		"no link": {func(w *scenario.World) { startRun(w); w.Send(core.PoolLost{}) },
			always(core.PoolBound{Age: time.Hour}), "failed a; failed b; stop a", "failed a; failed b"},
		"canceled by the caller": {hold, func(w *scenario.World) core.Event {
			return core.RequestCanceled{Session: w.Session("c"), Handle: "a"}
		}, "failed b", "failed a; failed b"},
		"waiting for confirmation": {storeResult, always(finishStored(true)), "failed a; failed b",
			"failed a; failed b"},
		"refused": {hold, func(w *scenario.World) core.Event {
			z := w.Ask("z", "quote", "")
			z.Req.Rank, z.Req.Memory = 0.95, 1e5 // evicts the held requests of lower rank
			return z
		}, "failed a; failed b; refused z", "failed a; failed b"},
		"result kept for repeats": {
			func(w *scenario.World) { storeResult(w); expectAfter(w, "served a x", finishStored(true)) }, nil, "", ""},
	} {
		for _, disown := range []bool{false, true} {
			t.Run(name+map[bool]string{true: "/disown"}[disown], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					site := scenario.Site()
					site.Control.Classes[1].SkipWorth = 0.6
					w := scenario.NewWorld(t, site, true, func(w *scenario.World) { w.Waits = true })
					w.Expect(ms)
					c.setUp(w)
					if name != "result kept for repeats" { // in that case b would be served
						expectAfter(w, "", w.Ask("b", "book", "k"))
					}
					w.Lose(true)
					if disown {
						expectAfter(w, strings.TrimPrefix(c.disownActions+"; claim k", "; "),
							core.Disown{Done: func() { w.Count("taken") }}, w.Ask("c", "book", "k"))
						if w.Counts()["taken"] != 1 {
							t.Error("Disown.Taken was not called")
						}
						return
					}
					if c.event != nil {
						expectAfter(w, c.actions, c.event(w))
					}
					expectAfter(w, "failed c", w.Ask("c", "book", "k"))
					if time.Sleep(200 * ms); name == "no link" && w.Core.Metrics().Active != 0 {
						t.Error("a run of unknown state stays active")
					}
				})
			})
		}
	}
}

// An answer to the claim of a withdrawn try is not taken for the next try of its key: a server that takes the claim over
// knows the run by the handle of the try that made it.
func TestClaimOfWithdrawnTryIsNotTakenForNextTry(t *testing.T) {
	answer := func(id core.ClaimID, state core.Claim) core.Event {
		return core.ClaimAnswered{Key: fleetKey, ClaimID: id, State: state}
	}
	withdrawn := func(w *scenario.World) core.Event {
		return core.RequestCanceled{Session: w.Session("c"), Handle: "a"}
	}
	for name, steps := range map[string]func(w *scenario.World, first core.ClaimID){
		"the next try comes after it": func(w *scenario.World, _ core.ClaimID) {
			expectAfter(w, "book 1 withdrawn[1 0 0 10 0 4 0]; release k; claim k", withdrawn(w), w.Ask("b", "book", "k"))
		},
		"the next try waits already": func(w *scenario.World, first core.ClaimID) {
			expectAfter(w, "", w.Ask("b", "book", "k"))
			expectAfter(w, "book 1 withdrawn[1 0 0 20 0 4 0]; release k; claim k", withdrawn(w))
		},
		"another server had the key": func(w *scenario.World, first core.ClaimID) {
			expectAfter(w, "", w.Ask("b", "book", "k"), answer(first, core.ClaimOther))
			expectAfter(w, "book 1 withdrawn[1 0 0 20 0 4 0]", withdrawn(w))
			w.Expect(110*ms, "claim k")
		},
	} {
		t.Run(name, func(t *testing.T) {
			withConfirmingStore(t, false, nil, func(w *scenario.World) {
				expectAfter(w, "claim k", w.Ask("a", "book", "k"))
				first := w.NewestClaim(fleetKey)
				steps(w, first)
				second := w.NewestClaim(fleetKey)
				if second == first {
					t.Error("both tries have the same claim")
				}
				expectAfter(w, "release k", answer(first, core.ClaimWon))
				expectAfter(w, "", answer(first, core.ClaimDone))
				expectAfter(w, "run b book body", answer(second, core.ClaimWon))
				expectAfter(w, "finish k true x", runSucceeded("b", "x"))
				expectAfter(w, "", core.FinishConfirmed{Key: fleetKey, ClaimID: first, OK: true})
				w.Send(core.FinishConfirmed{Key: fleetKey, ClaimID: second, OK: true})
				w.Await("served b x")
			})
		})
	}
}

// A run whose claim was lost must not occupy a downstream call slot, even if its notice crosses the stop command.
func TestRunWithLostClaimMakesNoCall(t *testing.T) {
	oneCall := func(s *core.Config) { s.Control.DownstreamSheds, s.Control.CallShare = false, 1 }
	withConfirmingStore(t, false, oneCall, func(w *scenario.World) {
		expectAfter(w, "run x quote body", w.Ask("x", "quote", ""))
		expectAfter(w, "claim k; run a book body", w.Ask("a", "book", "k"), claimWon())
		expectAfter(w, "failed a; stop a", core.Disown{}, runBlocked("a", "1"))
		expectAfter(w, "call x quote 3s 2", runBlocked("x", "2"))
	})
}

// A keyed request of a failed server is run once, like a request that arrives now. Nobody is answered: its caller
// repeats it, and the repeat is recorded as served.
func TestAdopt(t *testing.T) {
	ownHandle := func(w *scenario.World) string { h := w.Handles(); return h[len(h)-1] }
	for name, steps := range map[string]func(w *scenario.World){
		"without repeats": func(w *scenario.World) {
			expectAfter(w, "run own book body", adoptRequest("body"), adoptRequest("body"))
			expectAfter(w, "finish k true x", adoptRequest("body"), runSucceeded(ownHandle(w), "x"))
			expectAfter(w, "book 1 withdrawn-ran[1 0 10000 90 0 4 0]", finishStored(true), adoptRequest("body"))
			expectAfter(w, "served a x; book 2 served replay[1 3000000 0 0 0 4 1]; served b x; book 3"+replay,
				w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
		},
		"with repeats": func(w *scenario.World) {
			expectAfter(w, "run own book body", adoptRequest("body"), w.Ask("a", "book", "k"))
			expectAfter(w, "finish k true x; served a x; book 1 served replay[1 3000000 0 10 0 4 1]; book 2 withdrawn-ran[1 0 10000 80 0 4 0]",
				runSucceeded(ownHandle(w), "x"), finishStored(true))
		},
		"another body": func(w *scenario.World) {
			expectAfter(w, "run own book other", adoptRequest("other"))
			expectAfter(w, "conflict a; book 1 rejected[1 0 0 0 0 4 0]", w.Ask("a", "book", "k"))
		},
		"a try waits for its claim": func(w *scenario.World) {
			expectAfter(w, "claim k; release k; run own book body", w.Ask("a", "book", "k"), adoptRequest("body"))
			w.Send(core.ClaimAnswered{Key: fleetKey, State: core.ClaimOther})
			w.Expect(200 * ms)
			expectAfter(w, "finish k true x; served a x; book 1 served replay[1 3000000 0 2010 0 4 1]; book 2 withdrawn-ran[1 0 10000 16080 0 4 0]",
				runSucceeded(ownHandle(w), "x"), finishStored(true))
		},
		"a try of the same handle waits for its claim": func(w *scenario.World) {
			adopted := adoptRequest("body")
			adopted.Request.Handle = "a"
			expectAfter(w, "claim k; run a book body", w.Ask("a", "book", "k"), adopted)
		},
		"a try with another body waits for its claim": func(w *scenario.World) {
			expectAfter(w, "claim k; conflict a; book 1 rejected[1 0 0 0 0 4 0]; run own book other",
				w.Ask("a", "book", "k"), adoptRequest("other"))
		},
		"lost again": func(w *scenario.World) {
			expectAfter(w, "run own book body", adoptRequest("body"))
			w.Lose(true)
			expectAfter(w, "book 1 withdrawn-ran[1 0 10000 80 0 4 0]; failed a; book 2 failed[1 0 0 0 0 4 0]",
				runSucceeded(ownHandle(w), "x"), w.Ask("a", "book", "k"))
		},
	} {
		t.Run(name, func(t *testing.T) { withConfirmingStore(t, false, nil, steps) })
	}
}

// An adopted request that cannot be accepted, or that never ran, is released; one that arrives while no claim is
// valid is ignored.
func TestAdoptReleases(t *testing.T) {
	for name, c := range map[string]struct {
		site  func(*core.Config)
		piece func(*core.KeyedRequest)
		want  string
	}{
		"refused": {nil, func(p *core.KeyedRequest) { p.Memory = 1e5 },
			"book 1 withdrawn[1 0 0 0 0 4 0]; release k"},
		"past due":          {nil, func(p *core.KeyedRequest) { p.Left = -1 }, "book 1 withdrawn[1 0 0 0 0 4 0]; release k"},
		"too many requests": {func(s *core.Config) { s.Bounds.Open = 0 }, nil, "release k"},
		"key table full":    {func(s *core.Config) { s.Bounds.Table = 1000 }, nil, "release k"},
		"no such class":     {nil, func(p *core.KeyedRequest) { p.Key.Class = 2 }, "release k"},
		"class not keyed":   {nil, func(p *core.KeyedRequest) { p.Key.Class = 0 }, "release k"},
		"claims not valid":  {nil, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			withConfirmingStore(t, false, c.site, func(w *scenario.World) {
				p := adoptRequest("body")
				if c.piece != nil {
					c.piece(&p.Request)
				}
				w.Lose(c.want == "")
				expectAfter(w, c.want, p)
			})
		})
	}
}
