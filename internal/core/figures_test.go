package core_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// metricsOf returns the metrics that a reader outside the loop sees.
func metricsOf(w *scenario.World) core.Metrics { return *w.Core.Metrics() }

// The metrics count each final answer under its class and each run handed to the worker pool. A reader sees them
// within the publish interval, without a request to the loop.
func TestMetricsCountAnswersAndRuns(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		time.Sleep(100 * ms)
		want := core.Metrics{OK: []uint64{0, 0}, Shed: []uint64{0, 0}, Errors: []uint64{0, 0}, Tries: []uint64{1, 0},
			Active: 1, Serving: true, WarmAt: metricsOf(w).WarmAt,
			Retained: core.Retained{Connections: 1, Timers: 2, OpenBytes: 1024 + len("a") + len("body")}, Pool: core.PoolCounts{Links: 1}} // the polls of the gauges and the reports to the directory
		if up := want.WarmAt; up.IsZero() || up.After(time.Now()) {
			t.Fatalf("a warm pool has WarmAt %v", up)
		}
		if d := cmp.Diff(want, metricsOf(w)); d != "" {
			t.Fatalf("with one run open (-want +got):\n%s", d)
		}
		w.Send(runFinished("a", control.OK, "result"))
		w.Expect(ms, "served a result")
		w.Send(w.Ask("b", "book", "k"))
		w.Expect(ms, "run b book body")
		w.Send(runFinished("b", control.Errored, ""))
		w.Expect(ms, "failed b")
		time.Sleep(100 * ms)
		want = core.Metrics{OK: []uint64{1, 0}, Shed: []uint64{0, 0}, Errors: []uint64{0, 1}, Tries: []uint64{1, 1},
			CoreUse: 0.1, Serving: true, WarmAt: want.WarmAt, KeyedUntil: metricsOf(w).KeyedUntil,
			Retained: core.Retained{Connections: 1, Timers: 4, Keys: 1, KeyBytes: 513}, Pool: core.PoolCounts{Links: 1}} // and of the idle connection and the key
		// The window from t0, plus its margin.
		if d := time.Until(want.KeyedUntil); d < 20*time.Second || d > 23*time.Second {
			t.Fatalf("KeyedUntil is %v ahead", d)
		}
		if d := cmp.Diff(want, metricsOf(w)); d != "" {
			t.Fatalf("after a result and a failed run (-want +got):\n%s", d)
		}
	})
}

// A handoff asks every open connection at once to reconnect, and the process no longer counts as serving.
func TestHandoffDrainsConnectionsAtOnce(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(core.Handoff{KillAfter: 3700 * ms})
		w.Expect(ms, "draining to c")
		time.Sleep(100 * ms)
		if metricsOf(w).Serving {
			t.Fatal("a process that hands off is still published as serving")
		}
	})
}

// The revision of the configuration in effect is published to readers outside the loop, alongside other changes.
func TestConfigurationRevisionIsPublished(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		if revision := metricsOf(w).ConfigurationRevision; revision != 0 {
			t.Fatalf("revision %d before there is any configuration", revision)
		}
		w.Send(core.ConfigurationApplied{Revision: 7})
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(core.ConfigurationApplied{Revision: 9})
		time.Sleep(100 * ms)
		if revision := metricsOf(w).ConfigurationRevision; revision != 9 {
			t.Fatalf("revision %d, want 9", revision)
		}
	})
}
