package core_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// figuresOf is what a reader outside the loop sees.
func figuresOf(w *scenario.World) core.Figures { return *w.Core.Figures() }

// The figures count each final answer under its class and each run handed to the worker pool, and a reader
// sees them within publishEach of the change, without asking the loop.
func TestFiguresCountAnswersAndRuns(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		time.Sleep(100 * ms)
		want := core.Figures{OK: []uint64{0, 0}, Shed: []uint64{0, 0}, Errors: []uint64{0, 0}, Tries: []uint64{1, 0}, Active: 1, Serves: true, WarmAt: figuresOf(w).WarmAt}
		if up := want.WarmAt; up.IsZero() || up.After(time.Now()) {
			t.Fatalf("a warm pool is warm at %v", up)
		}
		if d := cmp.Diff(want, figuresOf(w)); d != "" {
			t.Fatalf("with one run open (-want +got):\n%s", d)
		}
		w.Send(finished("a", control.OK, "result"))
		w.Expect(ms, "served a result")
		w.Send(w.Ask("b", "book", "k"))
		w.Expect(ms, "run b book body")
		w.Send(finished("b", control.Errored, ""))
		w.Expect(ms, "failed b")
		time.Sleep(100 * ms)
		want = core.Figures{OK: []uint64{1, 0}, Shed: []uint64{0, 0}, Errors: []uint64{0, 1}, Tries: []uint64{1, 1}, Use: 0.1, Serves: true, WarmAt: want.WarmAt, KeyedUntil: figuresOf(w).KeyedUntil}
		if d := time.Until(want.KeyedUntil); d < 20*time.Second || d > 23*time.Second { // the window from t0, and its margin
			t.Fatalf("the key of a run is wanted for %v", d)
		}
		if d := cmp.Diff(want, figuresOf(w)); d != "" {
			t.Fatalf("after a result and a failed run (-want +got):\n%s", d)
		}
	})
}

// A handoff tells every open connection at once to reconnect, and no longer shows the process as serving.
func TestAHandoffTellsConnectionsAtOnce(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(core.Handoff{Kill: 3700 * ms})
		w.Expect(ms, "draining to c")
		time.Sleep(100 * ms)
		if figuresOf(w).Serves {
			t.Fatal("a process that hands off still shows as serving")
		}
	})
}

// The revision of the configuration in force is told to readers outside the loop, beside whatever else goes on.
func TestTheConfigurationInForceIsTold(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		if revision := figuresOf(w).Configured; revision != 0 {
			t.Fatalf("revision %d before there is any configuration", revision)
		}
		w.Send(core.Configured{Revision: 7})
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(core.Configured{Revision: 9})
		time.Sleep(100 * ms)
		if revision := figuresOf(w).Configured; revision != 9 {
			t.Fatalf("revision %d, 9 is in force", revision)
		}
	})
}
