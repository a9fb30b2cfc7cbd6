package session

import (
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/watch"
)

// start740 is the start of a large fleet, and the death of one node.
func start740(t *testing.T, seed uint64, d defects) *world {
	w := newWorld(t, seed, 740, 5, watch.Limits{Bytes: 1 << 20, Updates: 2000}, d)
	w.runUntil("the start of all", 15*time.Second, w.settled)
	w.run(3 * time.Second)
	w.dies((w.leader+1)%controlNodes, "a follower")
	w.checkOpens()
	return w
}

// Each defect breaks a rule in some history: what the simulation looks at would tell.
func TestEachDefectIsFound(t *testing.T) {
	of := func(h history) func(*testing.T, uint64, defects) *world {
		return func(t *testing.T, seed uint64, d defects) *world { return play(t, seed, h, d) }
	}
	for _, k := range []struct {
		name string
		bad  defects
		play func(*testing.T, uint64, defects) *world
		from uint64 // a seed that is known to find it
		says string
	}{
		{"a lease from the receipt of its acknowledgement", defects{receipt: true}, lateAcknowledgement, 1, "declared lost"},
		{"a node that grants by itself", defects{selfGrant: true}, of(singleFaults), 2, "declared lost"},
		{"no end of a silent session", defects{noSilence: true}, stoppedAtStart, 1, "servers of a node that stopped took longer"},
		{"no end of a session without grants", defects{noGrantPatience: true}, of(singleFaults), 7, "is alive and connected and is declared lost"},
		{"no jitter", defects{noJitter: true}, start740, 1, "attempts came within 100 ms"},
		{"no bound on opens", defects{noAdmission: true}, start740, 1, "sessions in a second"},
		{"a view that accepts gaps", defects{acceptGaps: true}, of(singleFaults), 2, "another configuration than the log"},
		{"sessions of old processes opened", defects{oldIncarnation: true}, oldProcessReturns, 1, "has a session of process"},
		{"sessions of old processes kept", defects{keepsOld: true}, of(singleFaults), 2, "has a session of process"},
		{"a new leader that is not told anew", defects{noResync: true}, of(singleFaults), 1, "what a new leader has to know took longer"},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			for seed := k.from; seed < k.from+40; seed++ {
				if w := k.play(t, seed, k.bad); strings.Contains(w.broken, k.says) {
					t.Logf("seed %d: %s", seed, w.broken)
					return
				} else if w.broken != "" {
					t.Logf("seed %d says otherwise: %s", seed, w.broken)
				}
			}
			t.Error("not found")
		})
	}
}
