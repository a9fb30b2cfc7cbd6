package claimstore

import (
	"testing"

	"larchscale/internal/pool"
)

// A run receives the end of the call that it waits for, once, and never that of an earlier call.
func TestRunReceivesTheEndOfItsOwnCall(t *testing.T) {
	var w callWaits
	otherLink, link := new(pool.SuccessorLink), new(pool.SuccessorLink)
	first := w.add("a", otherLink)
	second, other := w.add("a", link), w.add("b", otherLink)
	for _, test := range []struct {
		handle string
		number uint64
		want   *pool.SuccessorLink
	}{{"a", first, nil}, {"a", other, nil}, {"a", 0, nil}, {"a", second, link}, {"a", second, nil}, {"c", 0, nil},
		{"b", other, otherLink}} {
		if got := w.finish(test.handle, test.number); got != test.want {
			t.Errorf("call %d of %s: %p, want %p", test.number, test.handle, got, test.want)
		}
	}
}
