package desk

import (
	"testing"

	"larchscale/internal/pool"
)

// A run has the end of the call that it waits for, once, and that of no earlier one.
func TestARunHasTheEndOfItsOwnCall(t *testing.T) {
	var w waits
	old, link := new(pool.Heir), new(pool.Heir)
	first := w.add("a", old)
	second, other := w.add("a", link), w.add("b", old)
	for _, x := range []struct {
		handle string
		number uint64
		want   *pool.Heir
	}{{"a", first, nil}, {"a", other, nil}, {"a", 0, nil}, {"a", second, link}, {"a", second, nil}, {"c", 0, nil}, {"b", other, old}} {
		if got := w.end(x.handle, x.number); got != x.want {
			t.Errorf("call %d of %s: %p, want %p", x.number, x.handle, got, x.want)
		}
	}
}
