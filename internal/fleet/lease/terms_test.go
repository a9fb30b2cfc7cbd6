package lease

import (
	"testing"
	"time"
)

// The terms that docs/design has, and what the proof of lease.md needs of any: a lease by the slowest clock is over before the
// patience by the fastest is.
func TestTerms(t *testing.T) {
	for _, k := range []struct {
		terms                   Terms
		length, every, patience time.Duration
	}{
		{MeshTerms, 3 * time.Second, 300 * time.Millisecond, 3160 * time.Millisecond},
		{ControlTierTerms, 6 * time.Second, 500 * time.Millisecond, 6220 * time.Millisecond},
	} {
		if k.terms.Length != k.length || k.terms.Every != k.every || k.terms.Patience() != k.patience {
			t.Errorf("%+v, patience %v", k.terms, k.terms.Patience())
		}
		lease := float64(k.length) / (1 - 1.0/Drift)
		if patience := float64(k.terms.Patience()) / (1 + 1.0/Drift); patience < lease {
			t.Errorf("%+v: a lease may last %v, the leader may wait %v", k.terms, time.Duration(lease), time.Duration(patience))
		}
	}
}
