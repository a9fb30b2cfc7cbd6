package takeover

import "testing"

// Each of these deliberate faults violates an invariant that the explorer or the simulation checks. Without this test, a
// run of them that finds nothing would prove nothing.
func TestDefects(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		bug  defects
		seed uint64 // seed of the history that finds it; 0 = the explorer does
	}{
		{"the end of the lease is ignored", defects{leaseIgnored: true}, 11},
		{"the backup acknowledges a claim that it has not recorded", defects{ackUnrecorded: true}, 0},
		{"messages of another epoch or an earlier token are accepted", defects{epochUnchecked: true}, 18},
		{"each replica takes over by its own clock", defects{takeoverByOwnClock: true}, 0},
		{"the primary's verdict alone is enough", defects{primaryAlone: true}, 0},
		{"a backup that is not in sync is promoted", defects{promoteUnsynced: true}, 0},
		{"the first of several candidates is taken as the owner", defects{contestedOwner: true}, 57},
		{"no quarantine where no replica is in sync", defects{noQuarantine: true}, 0},
		{"a request is run before the backup has the takeover", defects{adoptUnreplicated: true}, 0},
		{"an outcome is answered before the replicas have it", defects{answerUnreplicated: true}, 12},
		{"the answer to the claim of a withdrawn try is taken for the next try", defects{claimIDIgnored: true}, 1},
		{"a request is taken over without a probe of the lost pool", defects{probeSkipped: true}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			for _, callers := range [][2]int{{0, 1}, {1, 0}, {2, 1}} {
				if test.seed > 0 && *seeds <= 50 {
					break
				}
				world, faults, played, _ := explore(test.bug, callers, *explorerRuns/10)
				if runs += played; world != nil {
					t.Logf("explorer, run %d: %v: %s", runs, faults, world.violation)
					return
				}
			}
			for seed := test.seed; seed > 0 && seed < test.seed+100; seed++ {
				if world := runHistory(seed, test.bug); world.violation != "" {
					t.Logf("simulation, seed %d: %s", seed, world.violation)
					return
				}
			}
			t.Errorf("not found in %d runs of the explorer, nor in a hundred histories from seed %d", runs, test.seed)
		})
	}
}
