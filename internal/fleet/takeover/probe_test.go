package takeover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The lease of a later token does not let a process act under the token before.
func TestLeaseOfLaterTokenDoesNotExtendEarlierOne(t *testing.T) {
	machine := New(Limits{})
	machine.SetView(0, View{Epoch: 1, Self: "n1", Token: 1, Tokens: map[string]uint64{"n1": 1},
		Replicas: func(int) []string { return []string{"n1"} }, NewShard: func(int) bool { return true }}, time.Second)
	machine.ExtendLease(2, time.Hour)
	if machine.Active(2 * time.Second) {
		t.Error("active under the lease of token 2")
	}
	machine.ExtendLease(1, 3*time.Second)
	if !machine.Active(2 * time.Second) {
		t.Error("not active under its own lease")
	}
}

// The pool of a lost process is queried for a key by the handle of that process's own try, and is given the run only if
// no other process may have won the key.
func TestProbeUsesTheProcessesOwnTry(t *testing.T) {
	key := Key{"book", "1"}
	owner := func(name string) Owner { return Owner{name, 1} }
	for _, test := range []struct {
		name    string
		release string
		want    map[Owner]ProbedKey
	}{
		{"two candidates", "", map[Owner]ProbedKey{owner("n2"): {key, "a", 7, false}, owner("n3"): {key, "b", 9, false}}},
		{"the first released it", "n2", map[Owner]ProbedKey{owner("n3"): {key, "b", 9, true}}},
		{"the second released it", "n3", map[Owner]ProbedKey{owner("n2"): {key, "a", 7, true}}},
	} {
		h := New(Limits{})
		lives := map[string]uint64{"n0": 1, "n1": 1, "n2": 1, "n3": 1}
		view := View{Epoch: 1, Self: "n1", Token: 1, Tokens: lives,
			Replicas: func(int) []string { return []string{"n0", "n1"} }, NewShard: func(int) bool { return true }}
		h.SetView(0, view, time.Hour)
		for server, request := range map[string]KeyedRequest{"n2": {Handle: "a", Cursor: 7}, "n3": {Handle: "b", Cursor: 9}} {
			request.Key, request.Due, request.Life = key, time.Second, time.Minute
			h.Receive(0, server, &Message{Epoch: 1, Life: 1, Items: []Item{{Kind: kindClaim, Key: key, Try: 1, Piece: &request}}})
		}
		if test.release != "" {
			h.Receive(0, test.release, &Message{Epoch: 1, Life: 1, Items: []Item{{Kind: kindRelease, Key: key, Try: 1}}})
		}
		view.Epoch, view.Prev, view.Tokens = 2, 1, map[string]uint64{"n1": 1}
		view.Replicas, view.NewShard = func(int) []string { return []string{"n1"} }, nil
		view.Pools = map[Owner]string{owner("n2"): "pool2", owner("n3"): "pool3"}
		h.SetView(0, view, time.Hour)
		got := map[Owner]ProbedKey{}
		for _, p := range h.TakeOutputs(0).Probes {
			for _, a := range p.Keys {
				got[p.Owner] = a
			}
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s\n%v", test.name, diff, slices.Collect(maps.Keys(got)))
		}
	}
}
