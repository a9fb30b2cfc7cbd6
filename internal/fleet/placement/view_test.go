package placement

import (
	"fmt"
	"testing"

	"larchscale/internal/fleet/lease"
)

// The replica that has held a shard longest without a break is the primary, whatever the placement says of a process
// that came later.
func TestViewOrdersReplicasByRecords(t *testing.T) {
	for i, test := range []struct {
		first, second uint64 // fencing tokens; 0 = expired
		since         uint64
		want          string
	}{
		{5, 6, 20, "a b old"}, {30, 6, 20, "b a"}, {5, 30, 20, "a b"}, {30, 40, 20, "a b"}, {40, 30, 20, "b a"},
		{0, 6, 20, "b "}, {5, 0, 20, "a "}, {0, 0, 20, " "}, {15, 6, 20, "a b old"}, {5, 6, 25, "a b"},
	} {
		placement := State{Epoch: 20, Origin: 20, Boxes: []string{"a", "b"}, Homes: &Assignment{7: {1, 2}},
			Since: &AssignedAt{7: test.since}}
		leases := lease.State{Epoch: 40,
			Boxes: []lease.Server{{Name: "a", Life: test.first, Lost: test.first == 0},
				{Name: "b", Life: test.second, Lost: test.second == 0}}}
		view := NewView(&leases, &placement)
		first, second := view.Replicas(7)
		got := fmt.Sprint(first, " ", second)
		if view.HeldSinceOrigin(7, first) && view.HeldSinceOrigin(7, second) {
			got += " old"
		}
		if got != test.want || view.Epoch != 40 || view.Compare(39) != Older || view.Compare(41) != Ahead {
			t.Errorf("%d: %q, want %q, epoch %d", i, got, test.want, view.Epoch)
		}
	}
}
