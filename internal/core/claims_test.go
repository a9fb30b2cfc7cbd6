package core_test

import (
	"crypto/sha256"
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

func piece(body string, left time.Duration) core.Adopt {
	return core.Adopt{Piece: core.Piece{Key: fleetKey, Sum: sha256.Sum256([]byte(body)), Body: []byte(body), Rank: 0.9, Memory: 10, Left: left}}
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
		w.Send(stored(true))
		w.Expect(ms, "book 1 "+servedA)
		lose(w)
		w.Send(core.Booked{Through: 1})
		w.Expect(ms, "book 2 served[-1 -3000000 -10000 -90 0 -4 -1]", "book 3 "+failedA, "failed a")
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
			w.Send(w.Ask("b", "book", "k"))
			w.Expect(ms)
			w.Send(stored(true), stored(true), w.Ask("c", "book", "k"))
			w.Expect(ms, "served a x", "served b x", "book 1"+" served replay[1 0 0 10 0 4 1]", "book 2 served[1 3000000 10000 100 0 4 1]",
				"served c x", "book 3"+replay)
		}},
		"stored, then written": {true, func(w *scenario.World) {
			w.Send(stored(true))
			w.Expect(ms, "book 1 "+servedA)
			w.Send(core.Booked{Through: 1})
			w.Expect(ms, "served a x")
		}},
		"stored, lost before it is written":     {true, unwritten(func(w *scenario.World) { w.Lose(true) })},
		"stored, disowned before it is written": {true, unwritten(func(w *scenario.World) { w.Send(core.Disown{}) })},
		"taken over": {false, func(w *scenario.World) {
			w.Send(w.Ask("b", "book", "k"), stored(false))
			w.Expect(ms, "failed a", "book 1 "+failedA, "failed b", "book 2 failed[1 0 0 0 0 4 0]")
			w.Send(w.Ask("c", "book", "k"))
			w.Expect(ms, "claim k")
		}},
		"not told in time": {false, func(w *scenario.World) {
			w.Expect(3976 * ms)
			w.Expect(3*ms, "out of time a", "book 1 failed[1 0 10000 39870 0 4 0]")
			w.Send(w.Ask("b", "book", "k"), stored(true))
			w.Expect(ms, "served b x", "book 2 served replay[1 3000000 0 0 0 4 1]")
		}},
		"its caller has gone": {false, func(w *scenario.World) {
			w.Send(core.Withdraw{Session: w.Session("c"), Handle: "a"}, w.Ask("b", "book", "k"), stored(true))
			w.Expect(ms, "book 1 withdrawn-ran[1 0 10000 90 0 4 0]", "served b x", "book 2 served replay[1 3000000 0 0 0 4 1]")
		}},
		"the end of the server": {false, func(w *scenario.World) {
			w.Send(core.Drain{})
			w.Expect(3850*ms, "closed", "draining to c")
			w.Expect(100*ms, "failed a", "book 1 failed[1 0 10000 39090 0 4 0]")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			watched(t, x.strict, nil, func(w *scenario.World) {
				w.Send(w.Ask("a", "book", "k"), won())
				w.Expect(ms, "claim k", "run a book body")
				w.Send(ended("a", "x"), ended("a", "y"))
				w.Expect(ms, "finish k true x")
				x.steps(w)
			})
		})
	}
}

// A failure is kept back as a result is.
func TestAFailureIsKeptBack(t *testing.T) {
	watched(t, false, nil, func(w *scenario.World) {
		w.Send(w.Ask("a", "book", "k"), won())
		w.Expect(ms, "claim k", "run a book body")
		w.Send(finished("a", control.Errored, ""))
		w.Expect(ms, "finish k false ")
		w.Send(stored(true))
		w.Expect(ms, "failed a", "book 1 failed[1 0 10000 90 0 4 0]")
	})
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
		w.Send(w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		w.Expect(ms, "run x quote body", "run y quote body") // the cores are taken
		w.Send(w.Ask("a", "book", "k"), won())
		w.Expect(ms, "claim k")
	}
	call := func(w *scenario.World) {
		run(w)
		w.Send(blocked("a", "b"))
		w.Expect(ms, "call a book 3.8s b")
	}
	kept := func(w *scenario.World) {
		run(w)
		w.Send(ended("a", "x"))
		w.Expect(ms, "finish k true x")
	}
	just := func(e core.Event) func(*scenario.World) core.Event {
		return func(*scenario.World) core.Event { return e }
	}
	for name, x := range map[string]struct {
		reach  func(w *scenario.World)
		next   func(w *scenario.World) core.Event // what it acts on
		act    []string                           // what it does then, with the claim lost
		disown []string                           // what it does at a Disown
	}{
		"asking": {func(w *scenario.World) { w.Send(w.Ask("a", "book", "k")); w.Expect(ms, "claim k") },
			just(won()), []string{"failed a", "failed b"}, []string{"failed a", "failed b"}},
		"held":          {full, just(ended("x", "1")), []string{"served x 1", "failed a", "failed b"}, []string{"failed a", "failed b"}},
		"running":       {run, just(ended("a", "x")), []string{"failed a", "failed b"}, []string{"failed a", "stop a", "failed b"}},
		"failing":       {run, just(finished("a", control.Moot, "")), []string{"failed a", "failed b"}, []string{"failed a", "stop a", "failed b"}},
		"not begun":     {run, just(core.PoolUnknown{Command: "spawn", Handle: "a"}), []string{"failed a", "failed b"}, []string{"failed a", "stop a", "failed b"}},
		"before a call": {run, just(blocked("a", "b")), []string{"failed a", "stop a", "failed b"}, []string{"failed a", "stop a", "failed b"}},
		"at a call": {call, just(core.CallEnded{Handle: "a", Body: []byte("r")}), []string{"failed a", "stop a", "failed b"},
			[]string{"failed a", "abandon a", "stop a", "failed b"}},
		"no link": {func(w *scenario.World) { run(w); w.Send(core.PoolLost{}) }, just(core.PoolBound{Age: time.Hour}),
			[]string{"failed a", "failed b", "stop a"}, []string{"failed a", "failed b"}},
		"withdrawn": {full, func(w *scenario.World) core.Event { return core.Withdraw{Session: w.Session("c"), Handle: "a"} }, []string{"failed b"}, []string{"failed a", "failed b"}},
		"kept back": {kept, just(stored(true)), []string{"failed a", "failed b"}, []string{"failed a", "failed b"}},
		"turned away": {full, func(w *scenario.World) core.Event {
			z := w.Ask("z", "quote", "")
			z.Req.Rank, z.Req.Memory = 0.95, 1e5 // for which the held ones of lower rank make room
			return z
		}, []string{"failed a", "failed b", "refused z"}, []string{"failed a", "failed b"}},
		"kept for repeats": {func(w *scenario.World) { kept(w); w.Send(stored(true)); w.Expect(ms, "served a x") }, nil, nil, nil},
	} {
		for _, disown := range []bool{false, true} {
			t.Run(name+map[bool]string{true: "/disown"}[disown], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := scenario.NewWorld(t, scenario.Site(), true, func(w *scenario.World) { w.Waits = true })
					w.Expect(ms)
					x.reach(w)
					if name != "kept for repeats" { // there b would be served
						w.Send(w.Ask("b", "book", "k"))
						w.Expect(ms)
					}
					w.Lose(true)
					if disown {
						w.Send(core.Disown{Taken: func() { w.Lose(false) }}, w.Ask("c", "book", "k"))
						w.Expect(ms, append(x.disown, "claim k")...)
						return
					}
					if x.next != nil {
						w.Send(x.next(w))
					}
					w.Expect(ms, x.act...)
					w.Send(w.Ask("c", "book", "k"))
					w.Expect(ms, "failed c")
				})
			})
		}
	}
}

// A piece of a lost server is run once, like a request that comes now. Nobody is answered: its caller repeats it, and
// that is what is booked as served. One that has no place here, or never ran, is given up.
func TestAdopt(t *testing.T) {
	own := func(w *scenario.World) string { h := w.Handles(); return h[len(h)-1] }
	busy := func(w *scenario.World) {
		w.Send(w.Ask("x", "quote", ""), w.Ask("y", "quote", ""))
		w.Expect(ms, "run x quote body", "run y quote body")
	}
	for name, x := range map[string]struct {
		change func(*core.Site)
		steps  func(w *scenario.World)
	}{
		"alone": {nil, func(w *scenario.World) {
			w.Send(piece("body", 4*time.Second), piece("body", 4*time.Second))
			w.Expect(ms, "run own book body")
			w.Send(piece("body", 4*time.Second), ended(own(w), "x"))
			w.Expect(ms, "finish k true x")
			w.Send(stored(true), piece("body", 4*time.Second))
			w.Expect(ms, "book 1 withdrawn-ran[1 0 10000 90 0 4 0]")
			w.Send(w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
			w.Expect(ms, "served a x", "book 2 served replay[1 3000000 0 0 0 4 1]", "served b x", "book 3"+replay)
		}},
		"with repeats": {nil, func(w *scenario.World) {
			w.Send(piece("body", 4*time.Second), w.Ask("a", "book", "k"))
			w.Expect(ms, "run own book body")
			w.Send(ended(own(w), "x"), stored(true))
			w.Expect(ms, "finish k true x", "served a x", "book 1 served replay[1 3000000 0 10 0 4 1]", "book 2 withdrawn-ran[1 0 10000 80 0 4 0]")
		}},
		"another body": {nil, func(w *scenario.World) {
			w.Send(piece("other", 4*time.Second), w.Ask("a", "book", "k"))
			w.Expect(ms, "conflict a", "book 1 rejected[1 0 0 0 0 4 0]", "run own book other")
		}},
		"a try asks for it": {nil, func(w *scenario.World) {
			w.Send(w.Ask("a", "book", "k"), piece("body", 4*time.Second))
			w.Expect(ms, "claim k", "run a book body")
			w.Send(core.Claimed{Key: fleetKey, State: core.ClaimOther})
			w.Expect(200 * ms)
		}},
		"a try with another body asks for it": {nil, func(w *scenario.World) {
			w.Send(w.Ask("a", "book", "k"), piece("other", 4*time.Second))
			w.Expect(ms, "claim k", "conflict a", "book 1 rejected[1 0 0 0 0 4 0]", "run own book other")
		}},
		"turned away": {nil, func(w *scenario.World) {
			p := piece("body", 4*time.Second)
			p.Piece.Memory = 1e5 // more than there is
			w.Send(p)
			w.Expect(ms, "book 1 withdrawn[1 0 0 0 0 4 0]", "release k")
		}},
		"past due": {nil, func(w *scenario.World) {
			w.Send(piece("body", -time.Second))
			w.Expect(ms, "book 1 withdrawn[1 0 0 0 0 4 0]", "release k")
		}},
		"too many in hand": {func(s *core.Site) { s.Bounds.Open = 2 }, func(w *scenario.World) {
			busy(w)
			w.Send(piece("body", 4*time.Second))
			w.Expect(ms, "release k")
		}},
		"no room": {func(s *core.Site) { s.Bounds.Table = 1000 }, func(w *scenario.World) {
			w.Send(piece("body", 4*time.Second))
			w.Expect(ms, "release k")
		}},
		"not its own": {nil, func(w *scenario.World) {
			w.Lose(true)
			w.Send(piece("body", 4*time.Second))
			w.Expect(ms)
		}},
		"no such class": {nil, func(w *scenario.World) {
			for _, class := range []int{-1, 0, 2} {
				p := piece("body", 4*time.Second)
				p.Piece.Key.Class = class
				w.Send(p)
				w.Expect(ms, "release k")
			}
		}},
		"lost again": {nil, func(w *scenario.World) {
			w.Send(piece("body", 4*time.Second))
			w.Expect(ms, "run own book body")
			w.Lose(true)
			w.Send(ended(own(w), "x"), w.Ask("a", "book", "k"))
			w.Expect(ms, "book 1 withdrawn-ran[1 0 10000 80 0 4 0]", "failed a", "book 2 failed[1 0 0 0 0 4 0]")
		}},
	} {
		t.Run(name, func(t *testing.T) { watched(t, false, x.change, x.steps) })
	}
}
