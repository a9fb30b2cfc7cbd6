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

func won() core.Event              { return core.Claimed{Key: fleetKey, State: core.ClaimWon} }
func stored(ok bool) core.Event    { return core.Finished{Key: fleetKey, OK: ok} }
func ended(h, r string) core.Event { return finished(h, control.OK, r) }

func piece(body string) core.Adopt {
	return core.Adopt{Piece: core.Piece{Key: fleetKey, Sum: sha256.Sum256([]byte(body)), Body: []byte(body), Tenant: 7, Rank: 0.9, Memory: 10, Left: 4 * time.Second}}
}

// on expects what a core does at some events, as words between semicolons.
func on(w *scenario.World, want string, events ...core.Event) {
	w.Send(events...)
	if want == "" {
		w.Expect(ms)
		return
	}
	w.Expect(ms, strings.Split(want, "; ")...)
}

// watched plays f with a store that watches over ends, and a ledger.
func watched(t *testing.T, strict bool, change func(*core.Site), f func(w *scenario.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		if change != nil {
			change(&site)
		}
		w := scenario.NewWorld(t, site, true, scenario.KeepLedger(&scenario.Ledger{IsStrict: strict}), func(w *scenario.World) { w.Waits, w.Hides = true, true })
		w.Expect(ms)
		f(w)
	})
}

const (
	servedA = "served[1 3000000 10000 90 0 4 1]"
	failedA = "failed[1 0 10000 90 0 4 0]"
	replay  = " served replay[1 0 0 0 0 4 1]"
)

// unwritten is a result that is stored, and lost before its entry in the ledger is written.
func unwritten(lose func(w *scenario.World)) func(w *scenario.World) {
	return func(w *scenario.World) {
		on(w, "book 1 "+servedA, stored(true))
		lose(w)
		w.Expect(ms, "book 2 served[-1 -3000000 -10000 -90 0 -4 -1]", "book 3 "+failedA, "failed a")
		on(w, "", core.Booked{Through: 3})
	}
}

// The end of a keyed run is given out, and booked as served, only once it is safe, for its own caller and for those
// that repeat it; what is not told in time, or is another's, fails.
func TestEndsAreKeptBack(t *testing.T) {
	for name, x := range map[string]struct {
		strict bool
		steps  func(w *scenario.World)
	}{
		"stored": {false, func(w *scenario.World) {
			on(w, "", w.Ask("b", "book", "k"))
			on(w, "served a x; served b x; book 1 served replay[1 0 0 10 0 4 1]; book 2 served[1 3000000 10000 100 0 4 1]; served c x; book 3"+replay, stored(true), stored(true), w.Ask("c", "book", "k"))
		}},
		"stored, then written": {true, func(w *scenario.World) {
			on(w, "book 1 "+servedA, stored(true))
			on(w, "served a x", core.Booked{Through: 1})
		}},
		"stored, lost before it is written":     {true, unwritten(func(w *scenario.World) { w.Lose(true); w.Send(core.Booked{Through: 1}) })},
		"stored, disowned before it is written": {true, unwritten(func(w *scenario.World) { w.Send(core.Disown{}) })},
		"taken over": {false, func(w *scenario.World) {
			on(w, "failed a; book 1 "+failedA+"; failed b; book 2 failed[1 0 0 0 0 4 0]", w.Ask("b", "book", "k"), stored(false))
			on(w, "claim k", w.Ask("c", "book", "k"))
		}},
		"not told in time": {false, func(w *scenario.World) {
			w.Expect(3976 * ms)
			w.Expect(3*ms, "out of time a", "book 1 failed[1 0 10000 39870 0 4 0]")
			on(w, "served b x; book 2 served replay[1 3000000 0 0 0 4 1]", w.Ask("b", "book", "k"), stored(true))
		}},
		"its caller has gone": {false, func(w *scenario.World) {
			on(w, "", core.Withdraw{Session: w.Session("c"), Handle: "a"}, w.Ask("b", "book", "k"))
			on(w, "served b x; book 1 served replay[1 3000000 0 10 0 4 1]; book 2 withdrawn-ran[1 0 10000 100 0 4 0]", stored(true))
		}},
		"failed": {false, func(w *scenario.World) {
			on(w, "claim f; run f book body", w.Ask("f", "book", "f"), core.Claimed{Key: core.Key{Class: 1, Token: "f"}, State: core.ClaimWon})
			on(w, "finish f false ", finished("f", control.Errored, ""))
			on(w, "failed f; book 1 "+failedA, core.Finished{Key: core.Key{Class: 1, Token: "f"}, OK: true})
		}},
		"never told": {false, func(w *scenario.World) {
			on(w, "claim f; run f book body", w.Ask("f", "book", "f"), core.Claimed{Key: core.Key{Class: 1, Token: "f"}, State: core.ClaimWon})
			on(w, "finish f true x; book 1 withdrawn-ran[1 0 10000 80 0 4 0]", core.Withdraw{Session: w.Session("c"), Handle: "f"}, ended("f", "x"))
			w.Expect(23*time.Second, "out of time a", "book 2 failed[1 0 10000 39870 0 4 0]")
			on(w, "claim f; claim k", w.Ask("g", "book", "f"), w.Ask("b", "book", "k"))
		}},
		"its core is free": {false, func(w *scenario.World) {
			on(w, "run x quote body; run y quote body", w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		}},
		"the end of the server": {false, func(w *scenario.World) {
			w.Send(core.Drain{})
			w.Expect(3800*ms, "closed", "draining to c")
			w.Expect(100*ms, "failed a", "close c", "book 1 failed[1 0 10000 38590 0 4 0]")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			watched(t, x.strict, nil, func(w *scenario.World) {
				on(w, "claim k; run a book body", w.Ask("a", "book", "k"), won())
				on(w, "finish k true x", ended("a", "x"), ended("a", "y"))
				x.steps(w)
			})
		})
	}
}

// A claim that no longer holds is found so at the moment of acting: nothing is run, called for, supplied, finished,
// answered or replayed, nothing is released, and all tries fail. At a Disown they fail at once, wherever they are, and
// the next try asks the store anew.
func TestLostClaims(t *testing.T) {
	run := func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), won())
		w.Expect(200*ms, "claim k", "run a book body")
	}
	full := func(w *scenario.World) {
		on(w, "run x quote body; run y quote body", w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		on(w, "claim k", w.Ask("a", "book", "k"), won())
	}
	call := func(w *scenario.World) {
		run(w)
		on(w, "call a book 3.8s b", blocked("a", "b"))
	}
	kept := func(w *scenario.World) {
		run(w)
		on(w, "finish k true x", ended("a", "x"))
	}
	just := func(e core.Event) func(*scenario.World) core.Event {
		return func(*scenario.World) core.Event { return e }
	}
	for name, x := range map[string]struct {
		reach  func(w *scenario.World)
		next   func(w *scenario.World) core.Event // what it acts on
		act    string                             // what it does then, with the claim lost
		disown string                             // what it does at a Disown
	}{
		"asking": {func(w *scenario.World) { on(w, "claim k", w.Ask("a", "book", "k")) },
			just(won()), "failed a; failed b", "failed a; failed b"},
		"held":          {full, just(ended("x", "1")), "served x 1; failed a; failed b", "failed a; failed b"},
		"running":       {run, just(ended("a", "x")), "failed a; failed b", "failed a; stop a; failed b"},
		"failing":       {run, just(finished("a", control.Moot, "")), "failed a; failed b", "failed a; stop a; failed b"},
		"not begun":     {run, just(core.PoolUnknown{Command: "spawn", Handle: "a"}), "failed a; failed b", "failed a; stop a; failed b"},
		"before a call": {run, just(blocked("a", "b")), "failed a; stop a; failed b", "failed a; stop a; failed b"},
		"at a call": {call, just(core.CallEnded{Handle: "a", Body: []byte("r")}), "failed a; stop a; failed b",
			"failed a; abandon a; stop a; failed b"},
		"before it goes on without a call": {call, just(core.CallEnded{Handle: "a", Outcome: control.Broken}), "failed a; stop a; failed b", "failed a; abandon a; stop a; failed b"},
		"no link": {func(w *scenario.World) { run(w); w.Send(core.PoolLost{}) }, just(core.PoolBound{Age: time.Hour}),
			"failed a; failed b; stop a", "failed a; failed b"},
		"withdrawn": {full, func(w *scenario.World) core.Event { return core.Withdraw{Session: w.Session("c"), Handle: "a"} }, "failed b", "failed a; failed b"},
		"kept back": {kept, just(stored(true)), "failed a; failed b", "failed a; failed b"},
		"turned away": {full, func(w *scenario.World) core.Event {
			z := w.Ask("z", "quote", "")
			z.Req.Rank, z.Req.Memory = 0.95, 1e5 // for which the held ones of lower rank make room
			return z
		}, "failed a; failed b; refused z", "failed a; failed b"},
		"kept for repeats": {func(w *scenario.World) { kept(w); on(w, "served a x", stored(true)) }, nil, "", ""},
	} {
		for _, disown := range []bool{false, true} {
			t.Run(name+map[bool]string{true: "/disown"}[disown], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					site := scenario.Site()
					site.Control.Classes[1].SkipWorth = 0.6
					w := scenario.NewWorld(t, site, true, func(w *scenario.World) { w.Waits = true })
					w.Expect(ms)
					x.reach(w)
					if name != "kept for repeats" { // there b would be served
						on(w, "", w.Ask("b", "book", "k"))
					}
					w.Lose(true)
					if disown {
						on(w, strings.TrimPrefix(x.disown+"; claim k", "; "), core.Disown{Taken: func() { w.Count("taken") }}, w.Ask("c", "book", "k"))
						if w.Counts()["taken"] != 1 {
							t.Error("nobody was told that all is given up")
						}
						return
					}
					if x.next != nil {
						on(w, x.act, x.next(w))
					}
					on(w, "failed c", w.Ask("c", "book", "k"))
					if time.Sleep(200 * ms); name == "no link" && w.Core.Figures().Active != 0 {
						t.Error("a run that nobody can tell of stays in hand")
					}
				})
			})
		}
	}
}

// A run that was lost keeps no place below, though its notice crosses the word to stop.
func TestALostRunMakesNoCall(t *testing.T) {
	oneCall := func(s *core.Site) { s.Control.CallsTier, s.Control.CallShare = false, 1 }
	watched(t, false, oneCall, func(w *scenario.World) {
		on(w, "run x quote body", w.Ask("x", "quote", ""))
		on(w, "claim k; run a book body", w.Ask("a", "book", "k"), won())
		on(w, "failed a; stop a", core.Disown{}, blocked("a", "1"))
		on(w, "call x quote 3s 2", blocked("x", "2"))
	})
}

// A piece of a lost server is run once, like a request that comes now. Nobody is answered: its caller repeats it, and
// that is what is booked as served.
func TestAdopt(t *testing.T) {
	own := func(w *scenario.World) string { h := w.Handles(); return h[len(h)-1] }
	for name, steps := range map[string]func(w *scenario.World){
		"alone": func(w *scenario.World) {
			on(w, "run own book body", piece("body"), piece("body"))
			on(w, "finish k true x", piece("body"), ended(own(w), "x"))
			on(w, "book 1 withdrawn-ran[1 0 10000 90 0 4 0]", stored(true), piece("body"))
			on(w, "served a x; book 2 served replay[1 3000000 0 0 0 4 1]; served b x; book 3"+replay, w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
		},
		"with repeats": func(w *scenario.World) {
			on(w, "run own book body", piece("body"), w.Ask("a", "book", "k"))
			on(w, "finish k true x; served a x; book 1 served replay[1 3000000 0 10 0 4 1]; book 2 withdrawn-ran[1 0 10000 80 0 4 0]", ended(own(w), "x"), stored(true))
		},
		"another body": func(w *scenario.World) {
			on(w, "run own book other", piece("other"))
			on(w, "conflict a; book 1 rejected[1 0 0 0 0 4 0]", w.Ask("a", "book", "k"))
		},
		"a try asks for it": func(w *scenario.World) {
			on(w, "claim k; run a book body", w.Ask("a", "book", "k"), piece("body"))
			w.Send(core.Claimed{Key: fleetKey, State: core.ClaimOther})
			w.Expect(200 * ms)
		},
		"a try with another body asks for it": func(w *scenario.World) {
			on(w, "claim k; conflict a; book 1 rejected[1 0 0 0 0 4 0]; run own book other", w.Ask("a", "book", "k"), piece("other"))
		},
		"lost again": func(w *scenario.World) {
			on(w, "run own book body", piece("body"))
			w.Lose(true)
			on(w, "book 1 withdrawn-ran[1 0 10000 80 0 4 0]; failed a; book 2 failed[1 0 0 0 0 4 0]", ended(own(w), "x"), w.Ask("a", "book", "k"))
		},
	} {
		t.Run(name, func(t *testing.T) { watched(t, false, nil, steps) })
	}
}

// A piece that has no place here, or never ran, is given up; one that comes while nothing is held is not touched.
func TestAdoptGivesUp(t *testing.T) {
	for name, x := range map[string]struct {
		site  func(*core.Site)
		piece func(*core.Piece)
		want  string
	}{
		"turned away":      {nil, func(p *core.Piece) { p.Memory = 1e5 }, "book 1 withdrawn[1 0 0 0 0 4 0]; release k"},
		"past due":         {nil, func(p *core.Piece) { p.Left = -1 }, "book 1 withdrawn[1 0 0 0 0 4 0]; release k"},
		"too many in hand": {func(s *core.Site) { s.Bounds.Open = 0 }, nil, "release k"},
		"no room":          {func(s *core.Site) { s.Bounds.Table = 1000 }, nil, "release k"},
		"no such class":    {nil, func(p *core.Piece) { p.Key.Class = 2 }, "release k"},
		"no keyed class":   {nil, func(p *core.Piece) { p.Key.Class = 0 }, "release k"},
		"not its own":      {nil, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			watched(t, false, x.site, func(w *scenario.World) {
				p := piece("body")
				if x.piece != nil {
					x.piece(&p.Piece)
				}
				w.Lose(x.want == "")
				on(w, x.want, p)
			})
		})
	}
}
