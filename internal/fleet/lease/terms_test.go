package lease

import (
	"testing"
	"time"
)

// Checks the terms that docs/design states, and the condition of the proof in lease.md on any terms: a lease by the
// slowest clock ends before the expiry delay by the fastest clock does.
func TestTerms(t *testing.T) {
	for _, test := range []struct {
		terms                   Terms
		length, every, patience time.Duration
	}{
		{MeshTerms, 3 * time.Second, 300 * time.Millisecond, 3160 * time.Millisecond},
		{ControlTierTerms, 6 * time.Second, 500 * time.Millisecond, 6220 * time.Millisecond},
	} {
		if test.terms.Length != test.length || test.terms.RenewInterval != test.every || test.terms.ExpiryDelay() != test.patience {
			t.Errorf("%+v, patience %v", test.terms, test.terms.ExpiryDelay())
		}
		lease := float64(test.length) / (1 - 1.0/Drift)
		if patience := float64(test.terms.ExpiryDelay()) / (1 + 1.0/Drift); patience < lease {
			t.Errorf("%+v: a lease may last %v, the leader may wait only %v", test.terms, time.Duration(lease),
				time.Duration(patience))
		}
	}
}
