package versus

import (
	"fmt"

	"larchscale/internal/sequential"
)

// Rule sets a Sequential stopper.
type Rule struct {
	Full  float64 // a difference that counts whole; larger ones count as this one
	Alpha float64 // chance that a side is called better though neither is, over all looks
	Least float64 // mean share of Full that is worth finding; under it the sides count as even
	Seeds int64   // at least, before it decides
}

// Sequential decides as soon as the differences show which side is better, or that neither is by much, by the test of
// package sequential, which is valid at every look.
//
// That test is of units given to one of two arms. A seed is made one: for every other seed the sides change places, and
// the unit's worth is half of one plus half of the share of Full by which arm B's side was better. Without a better side
// that has the same mean in both arms, and with one the arms differ by just its mean share.
func Sequential(r Rule) (Stopper, error) {
	p := sequential.Plan{Alpha: r.Alpha, Futility: r.Alpha, Harm: r.Alpha, Void: 0.001, Base: 0.5, Effect: 2 * r.Least, Margin: r.Least, Ratio: 0.5,
		Least: (r.Seeds + 1) / 2}
	if err := p.Check(); err != nil {
		return nil, err
	}
	if !(r.Full > 0) {
		return nil, fmt.Errorf("a whole difference of %v: %w", r.Full, sequential.ErrInvalidPlan)
	}
	return &test{plan: p, full: r.Full}, nil
}

type test struct {
	plan   sequential.Plan
	full   float64
	strata []sequential.Stratum
}

// Add implements Stopper.
func (t *test) Add(diff float64) (decided bool, why string) {
	block := len(t.strata)
	s := sequential.Stratum{Box: "seeds", Block: block}
	arm := block % 2
	share := max(-1, min(1, diff/t.full))
	if arm == 0 { // the second side is B's, and this unit is A's
		share = -share
	}
	x := (1 + share) / 2
	s.Arms[arm] = sequential.Arm{Assigned: 1, N: 1}
	s.Arms[arm].Values[0] = sequential.Sums{Sum: x, Squares: x * x}
	t.strata = append(t.strata, s)
	got := sequential.Evaluate(&t.plan, t.strata, false)
	switch got.Verdict {
	case sequential.Continue:
		return false, ""
	case sequential.A:
		return true, fmt.Sprintf("after %d seeds the second is better: %s", len(t.strata), got.Why)
	case sequential.B:
		return true, fmt.Sprintf("after %d seeds the first is better: %s", len(t.strata), got.Why)
	}
	return true, fmt.Sprintf("after %d seeds: %s: %s", len(t.strata), got.Verdict, got.Why)
}
