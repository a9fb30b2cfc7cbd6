package core_test

import (
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// A broken call is made again if its class is repeatable, so it does not matter whether the connection was closed by
// a peer that no longer knew it; the call of a keyed class is never made again.
func TestBrokenCallIsRepeatedOnlyIfRepeatable(t *testing.T) {
	for class, want := range map[string][]string{"quote": {"call a quote 3s x"}, "book": {"failed a"}} {
		play(t, false, func(w *scenario.World) {
			w.Send(w.Ask("a", class, map[string]string{"book": "k"}[class]))
			w.Expect(ms, "run a "+class+" body")
			w.Send(runBlocked("a", "x"))
			w.Expect(ms, map[string]string{"quote": "call a quote 3s x", "book": "call a book 4s x"}[class])
			w.Send(core.CallEnded{Handle: "a", Outcome: control.Interrupted})
			w.Expect(6*ms, want...)
		})
	}
}

// A pool that started after the previous link was bound is a different pool, however soon after the first one it
// started. Its predecessor's runs may have had their effect, so a write is not run again.
func TestPoolRestartSoonAfterStart(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(core.PoolLost{}, core.PoolBound{})
		w.Expect(300 * ms)
		w.Send(w.Ask("a", "book", "k"))
		w.Expect(500*ms, "run a book body")
		w.Send(core.PoolLost{}, core.PoolBound{Age: 100 * ms}, w.Ask("b", "book", "k"))
		w.Expect(ms, "failed a", "failed b")
	})
	play(t, false, func(w *scenario.World) { // the same pool, whose age report took 400 ms to arrive
		w.Send(core.PoolLost{}, core.PoolBound{})
		w.Expect(300 * ms)
		w.Send(w.Ask("a", "book", "k"), w.Ask("b", "quote", ""))
		w.Expect(500*ms, "run a book body", "run b quote body")
		w.Send(runFinished("b", control.OK, "x"))
		w.Expect(ms, "served b x")
		w.Send(core.PoolLost{}, core.PoolBound{Age: 401 * ms})
		w.Expect(ms)
		w.Send(runFinished("a", control.OK, "y"))
		w.Expect(ms, "served a y")
	})
}

// If the pool has accepted a run and reports nothing any longer, the request is answered once, just before its due
// time.
func TestSilentRunIsAnsweredByDueTime(t *testing.T) {
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
