package core_test

import (
	"testing"

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
