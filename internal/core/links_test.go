package core_test

import (
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// A call that broke is made again where the class may be repeated, so it does not matter whether a link below knew the
// connection for a forgotten one; a keyed one is never made again.
func TestABrokenCallIsMadeAgainOnlyWhereItMayBe(t *testing.T) {
	for class, want := range map[string][]string{"quote": {"call a quote 3s x"}, "book": {"failed a"}} {
		play(t, false, func(w *scenario.World) {
			w.Send(w.Ask("a", class, map[string]string{"book": "k"}[class]))
			w.Expect(ms, "run a "+class+" body")
			w.Send(blocked("a", "x"))
			w.Expect(ms, map[string]string{"quote": "call a quote 3s x", "book": "call a book 4s x"}[class])
			w.Send(core.CallEnded{Handle: "a", Outcome: control.Broken})
			w.Expect(6*ms, want...)
		})
	}
}

// A pool that began after the link before was bound is another one, however soon after the first it began: what ran in
// that one may have had its effect, and a write is not asked for again.
func TestAPoolThatBeganAnewSoonAfterTheFirst(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(core.PoolLost{}, core.PoolBound{})
		w.Expect(300 * ms)
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(500*ms, "run a book body")
		w.Send(core.PoolLost{}, core.PoolBound{Age: 100 * ms}, w.Ask("b", "book", "k"))
		w.Expect(ms, "failed a", "failed b")
	})
	play(t, false, func(w *scenario.World) { // the same one, whose word of its age was 400 ms on its way
		w.Send(core.PoolLost{}, core.PoolBound{})
		w.Expect(300 * ms)
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(500*ms, "run a book body", "run b quote body")
		w.Send(finished("b", control.OK, "x"))
		w.Expect(ms, "served b x")
		w.Send(core.PoolLost{}, core.PoolBound{Age: 401 * ms})
		w.Expect(ms, "run a book body")
	})
}

// A pool that has taken a run and says nothing any longer: the request is answered just before it is due, once.
func TestASilentRunIsAnsweredByItsDueTime(t *testing.T) {
	for _, budget := range []time.Duration{700 * ms, 4 * time.Second} {
		play(t, false, func(w *scenario.World) {
			a := w.Ask("a", "book", "k")
			a.Req.Budget = budget
			w.Send(a)
			w.Expect(budget-50*ms, "run a book body")
			w.Expect(50*ms, "out of time a")
			w.Expect(time.Second)
		})
	}
}
