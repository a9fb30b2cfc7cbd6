package hand

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The pool of a lost process is asked for a key by the handle of that process's own try, and is given the run only if no
// other may have won it.
func TestAPoolIsAskedByItsOwnTry(t *testing.T) {
	k := Key{"book", "1"}
	owner := func(name string) Owner { return Owner{name, 1} }
	for _, x := range []struct {
		name    string
		release string
		want    map[Owner]Asked
	}{
		{"two claimed", "", map[Owner]Asked{owner("n2"): {k, "a", 7, false}, owner("n3"): {k, "b", 9, false}}},
		{"the first gave it up", "n2", map[Owner]Asked{owner("n3"): {k, "b", 9, true}}},
		{"the second gave it up", "n3", map[Owner]Asked{owner("n2"): {k, "a", 7, true}}},
	} {
		h := New(Limits{})
		lives := map[string]uint64{"n0": 1, "n1": 1, "n2": 1, "n3": 1}
		v := View{Epoch: 1, Self: "n1", Life: 1, Lives: lives, Homes: func(int) []string { return []string{"n0", "n1"} }, Fresh: func(int) bool { return true }}
		h.SetView(0, v, time.Hour)
		for box, p := range map[string]Piece{"n2": {Handle: "a", Cursor: 7}, "n3": {Handle: "b", Cursor: 9}} {
			p.Key, p.Due, p.Life = k, time.Second, time.Minute
			h.Receive(0, box, &Msg{Epoch: 1, Life: 1, Items: []Item{{Kind: kClaim, Key: k, Try: 1, Piece: &p}}})
		}
		if x.release != "" {
			h.Receive(0, x.release, &Msg{Epoch: 1, Life: 1, Items: []Item{{Kind: kRelease, Key: k, Try: 1}}})
		}
		v.Epoch, v.Prev, v.Lives = 2, 1, map[string]uint64{"n1": 1}
		v.Homes, v.Fresh = func(int) []string { return []string{"n1"} }, nil
		v.Pools = map[Owner]string{owner("n2"): "pool2", owner("n3"): "pool3"}
		h.SetView(0, v, time.Hour)
		got := map[Owner]Asked{}
		for _, p := range h.Drain(0).Probes {
			for _, a := range p.Keys {
				got[p.Owner] = a
			}
		}
		if diff := cmp.Diff(x.want, got); diff != "" {
			t.Errorf("%s: %s\n%v", x.name, diff, slices.Collect(maps.Keys(got)))
		}
	}
}
