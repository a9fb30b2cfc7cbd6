package hand

import "testing"

// Each of these faults, put in on purpose, breaks an invariant that the explorer or the simulation watches. What
// finds none of them proves nothing when it finds nothing.
func TestDefects(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		name string
		bug  defects
		seed uint64 // of the history that finds it; 0 = the explorer does
	}{
		{"the end of the lease is not looked at", defects{leaseIgnored: true}, 11},
		{"the second home acknowledges a claim that it has not noted", defects{ackFirst: true}, 0},
		{"messages of another epoch, or of an earlier life, are taken", defects{epochUnchecked: true}, 18},
		{"each home takes over by its own clock", defects{ownClock: true}, 0},
		{"the first home's word alone is enough", defects{firstAlone: true}, 0},
		{"a second home that is not whole is promoted", defects{promoted: true}, 0},
		{"the first of several candidates is taken for the owner", defects{contestedOwned: true}, 57},
		{"no quarantine where no home is whole", defects{noQuarantine: true}, 0},
		{"a piece is run before the second home has the takeover", defects{adoptEarly: true}, 0},
		{"an end is answered before the homes have it", defects{answerEarly: true}, 12},
		{"a piece is taken over without asking the lost pool", defects{fenceSkipped: true}, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			total := 0
			for _, callers := range [][2]int{{0, 1}, {1, 0}, {2, 1}} {
				if k.seed > 0 && *seeds <= 50 {
					break
				}
				w, faults, played, _ := explore(k.bug, callers, *depth/10)
				if total += played; w != nil {
					t.Logf("explorer, run %d: %v: %s", total, faults, w.bad)
					return
				}
			}
			for seed := k.seed; seed > 0 && seed < k.seed+100; seed++ {
				if w := play(seed, k.bug); w.bad != "" {
					t.Logf("simulation, seed %d: %s", seed, w.bad)
					return
				}
			}
			t.Errorf("not found in %d runs of the explorer, nor in a hundred histories from seed %d", total, k.seed)
		})
	}
}
