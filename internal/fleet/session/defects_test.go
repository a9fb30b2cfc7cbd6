package session

import (
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/watch"
)

// startLargeFleet starts a fleet of 740 servers and kills one node.
func startLargeFleet(t *testing.T, seed uint64, d defects) *world {
	w := newWorld(t, seed, 740, 5, watch.Limits{Bytes: 1 << 20, Updates: 2000}, d)
	w.runUntil("the start of all servers", 15*time.Second, w.settled)
	w.run(3 * time.Second)
	w.killAndRecover((w.leader+1)%controlNodes, "a follower")
	w.checkOpens()
	return w
}

// Each injected defect must violate a rule in some history. This shows that the simulation's checks detect it.
func TestInjectedDefectsAreFound(t *testing.T) {
	withFaults := func(plan faultPlan) func(*testing.T, uint64, defects) *world {
		return func(t *testing.T, seed uint64, d defects) *world { return runFaultPlan(t, seed, plan, d) }
	}
	for _, test := range []struct {
		name      string
		injected  defects
		run       func(*testing.T, uint64, defects) *world
		firstSeed uint64 // a seed that is known to find the defect
		want      string
	}{
		{"a lease counted from the receipt of its acknowledgement", defects{leaseFromReceipt: true}, lateAcknowledgement, 1, "declared expired"},
		{"a node that grants without the leader", defects{nodeGrants: true}, withFaults(singleFaults), 2, "declared expired"},
		{"no timeout of a silent session", defects{noSilenceTimeout: true}, nodeStopsAtStart, 1, "the move of servers from a stopped node took longer"},
		{"no timeout of a session without grants", defects{noGrantTimeout: true}, withFaults(singleFaults), 7, "is alive and connected and is declared expired"},
		{"no jitter", defects{noJitter: true}, startLargeFleet, 1, "attempts came within 100 ms"},
		{"no limit on the rate of opens", defects{noAdmission: true}, startLargeFleet, 1, "sessions in a second"},
		{"a view that accepts gaps", defects{acceptGaps: true}, withFaults(singleFaults), 2, "a configuration that differs from the log's"},
		{"superseded processes may open sessions", defects{opensSuperseded: true}, supersededProcessResumes, 1, "has a session of process"},
		{"sessions of superseded processes kept", defects{keepsSuperseded: true}, withFaults(singleFaults), 2, "has a session of process"},
		{"no resync with a new leader", defects{noResync: true}, withFaults(singleFaults), 1, "collecting the state at a new leader took longer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := test.firstSeed; seed < test.firstSeed+40; seed++ {
				if w := test.run(t, seed, test.injected); strings.Contains(w.violation, test.want) {
					t.Logf("seed %d: %s", seed, w.violation)
					return
				} else if w.violation != "" {
					t.Logf("seed %d has another violation: %s", seed, w.violation)
				}
			}
			t.Error("defect not found")
		})
	}
}
