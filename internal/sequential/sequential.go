// Package sequential compares two arms of an experiment with a test that may be evaluated at any time and any number
// of times: the probability of a wrong winner over all evaluations together stays below a given alpha. The package is
// pure: it reads no clock and draws no random numbers.
//
// A unit is assigned to arm B with a known probability p, by a hash that is not evaluated beforehand, and ends
// with values in [0,1], where more is better. For a center c set before the unit, y = (A-p)(x-c), with A = 1 in arm
// B, is a bounded martingale difference if the arms do not differ, and has the mean p(1-p)m if B is better by m. For
// z = y-p(1-p)m that is never below -b, exp(lz - f(lb)/b² z²) with f(u) = -log(1-u)-u has a mean of at most 1 (Fan,
// Grama, Liu 2015; used for empirical Bernstein bounds by Howard, Ramdas, McAuliffe, Sekhon 2021). Its logarithm is a
// sum of z and z², so counts, sums and sums of squares per stratum suffice. The product over all units is an
// e-process: by Ville's inequality the probability that it ever exceeds 1/alpha is at most alpha, without further
// assumptions about the values.
package sequential

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"larchscale/internal/fleet/limits"
)

// ErrInvalidPlan reports an invalid plan.
var ErrInvalidPlan = errors.New("invalid plan")

// Limits of a plan.
const (
	MaxGuards    = 4
	MaxBoxes     = limits.MaxMeshServers // number of servers that share the error budget of Void
	maxNameBytes = 64
	minRatio     = 0.02
)

// Guard is a further value of a unit, in [0,1] with more being better, in which B must not be worse than tolerated.
type Guard struct {
	Name      string
	Base      float64 // expected value, in (0,1)
	Tolerance float64 // by how much B may be worse, at least 0 and below 1
}

// Plan holds the parameters of a test, set before its first unit. Each error probability covers all evaluations
// together.
type Plan struct {
	Alpha    float64 // of declaring a winner if the arms do not differ; half for each arm
	Futility float64 // of None if the arms differ by Margin or more
	Harm     float64 // of Harm if B is worse by at most the tolerance of every guard, over all guards together
	Void     float64 // of Void if units are assigned in the planned ratio
	Base     float64 // expected mean worth of a unit, in (0,1)
	Effect   float64 // difference that the test is planned for, in worth per unit
	Margin   float64 // smallest relevant difference, at most Effect
	Ratio    float64 // share of units assigned to B
	Least    int64   // units with a known value that each arm needs before A, B or None
	Guards   []Guard
}

// Check returns an error that wraps ErrInvalidPlan if a parameter is out of range.
func (p *Plan) Check() error {
	for _, c := range []struct {
		name  string
		value float64
		limit float64
	}{{"alpha", p.Alpha, 0.2}, {"futility", p.Futility, 0.2}, {"harm", p.Harm, 0.2}, {"void", p.Void, 0.05}} {
		if !(c.value >= 1e-6 && c.value <= c.limit) {
			return fmt.Errorf("%s is %v, must be 1e-6 to %v: %w", c.name, c.value, c.limit, ErrInvalidPlan)
		}
	}
	switch {
	case !(p.Base > 0 && p.Base < 1):
		return fmt.Errorf("base is %v, must be between 0 and 1: %w", p.Base, ErrInvalidPlan)
	case !(p.Effect >= 0.001 && p.Effect < 1):
		return fmt.Errorf("effect is %v, must be at least 0.001 and below 1: %w", p.Effect, ErrInvalidPlan)
	case !(p.Margin >= 0.001 && p.Margin <= p.Effect):
		return fmt.Errorf("margin is %v, must be 0.001 to the effect of %v: %w", p.Margin, p.Effect, ErrInvalidPlan)
	case !(p.Ratio >= minRatio && p.Ratio <= 1-minRatio):
		return fmt.Errorf("ratio is %v, must be %v to %v: %w", p.Ratio, minRatio, 1-minRatio, ErrInvalidPlan)
	case p.Least < 1:
		return fmt.Errorf("minimum units per arm is %d, must be at least 1: %w", p.Least, ErrInvalidPlan)
	case len(p.Guards) > MaxGuards:
		return fmt.Errorf("%d guards, the limit is %d: %w", len(p.Guards), MaxGuards, ErrInvalidPlan)
	}
	for i, g := range p.Guards {
		if g.Name == "" || len(g.Name) > maxNameBytes || !(g.Base > 0 && g.Base < 1) || !(g.Tolerance >= 0 && g.Tolerance < 1) ||
			slices.ContainsFunc(p.Guards[:i], func(x Guard) bool { return x.Name == g.Name }) {
			return fmt.Errorf("guard %q with base %v and tolerance %v: %w", g.Name, g.Base, g.Tolerance, ErrInvalidPlan)
		}
	}
	return nil
}

// Sums holds the sum of a value over units and the sum of its squares.
type Sums struct{ Sum, Squares float64 }

// Arm holds the counts of one arm in one stratum.
type Arm struct {
	Assigned int64               // units assigned to the arm
	N        int64               // number of them with known values
	Values   [1 + MaxGuards]Sums // worth, then the guards in the plan's order
}

// Stratum holds the counts of one server in one block of time.
type Stratum struct {
	Box   string
	Block int
	Arms  [2]Arm // A, B
}

// Verdict is the outcome of an evaluation.
type Verdict uint8

// The verdicts. All except Continue end a test.
const (
	Continue     Verdict = iota
	A                    // A is better
	B                    // B is better
	NoDifference         // the arms differ by less than the margin
	Harm                 // B is worse in a guard than tolerated
	Void                 // units are not assigned in the planned ratio: no count can be trusted
	Deadline             // the time is over and no difference is shown
	Stopped              // ended by an operator
)

var verdictNames = [...]string{"go on", "A", "B", "none", "harm", "void", "deadline", "stopped"}

// String returns the verdict as shown to operators.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict %d", uint8(v))
}

// MarshalText encodes the verdict as shown to operators.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a verdict written by MarshalText.
func (v *Verdict) UnmarshalText(text []byte) error {
	i := slices.Index(verdictNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("unknown verdict %q", text)
	}
	*v = Verdict(i)
	return nil
}

// Result is the result of an evaluation.
type Result struct {
	Verdict    Verdict
	Why        string   // explanation with the measured values
	Units      [2]int64 // units with known values, by arm
	Difference float64  // estimated worth of B minus A per unit; 0 without units
}

// Evaluate evaluates the current counts. Strata must be sorted by block, and by server within a block; over reports that
// the time of the test has ended. The cost is a few hundred nanoseconds per stratum.
func Evaluate(p *Plan, strata []Stratum, over bool) Result {
	var r Result
	for i := range strata {
		for a := range r.Units {
			r.Units[a] += strata[i].Arms[a].N
		}
	}
	if why := checkAssignment(p, strata); why != "" {
		r.Verdict, r.Why = Void, why
		return r
	}
	measures := increments(p, strata)
	worthTerms := measures[0]
	variance := p.Ratio * (1 - p.Ratio)
	if n, y := totals(worthTerms); n > 0 {
		r.Difference = y / n / variance
	}
	for i, g := range p.Guards {
		// The null hypothesis is that B is worse by at most the tolerance. The size of a harm is unknown beforehand,
		// so several bet sizes get equal weights.
		evidence := logMixture(measures[1+i], -g.Tolerance*variance, -1, []float64{0.05, 0.15, 0.4, 0.75}, true)
		if required := math.Log(float64(len(p.Guards)) / p.Harm); evidence >= required {
			n, y := totals(measures[1+i])
			r.Verdict, r.Why = Harm, fmt.Sprintf("%s is worse with B by %.4f, tolerated are %.4f: evidence e^%.2f of e^%.2f needed, after %d and %d units",
				g.Name, -y/n/variance, g.Tolerance, evidence, required, r.Units[0], r.Units[1])
			return r
		}
	}
	bet := p.Effect / p.maxVariance()
	bets := []float64{p.Margin / p.maxVariance(), bet, bet, bet} // a quarter of the weight for the margin
	evidenceB, evidenceA := logMixture(worthTerms, 0, 1, bets, false), logMixture(worthTerms, 0, -1, bets, false)
	required := math.Log(2 / p.Alpha)
	tooFew := min(r.Units[0], r.Units[1]) < p.Least
	explanation := fmt.Sprintf("B differs by %+.4f a unit after %d and %d units; evidence for B e^%.2f, for A e^%.2f of e^%.2f needed",
		r.Difference, r.Units[0], r.Units[1], evidenceB, evidenceA, required)
	switch marginBet := p.Margin / p.maxVariance(); {
	case tooFew:
		explanation += fmt.Sprintf("; at least %d units in each", p.Least)
	case evidenceB >= required && evidenceB >= evidenceA:
		r.Verdict = B
	case evidenceA >= required:
		r.Verdict = A
	default:
		// Both hypotheses have to be rejected, so each may use the whole error probability.
		evidenceNone := min(logEProcess(worthTerms, p.Margin*variance, -1, marginBet), logEProcess(worthTerms, -p.Margin*variance, 1, marginBet))
		requiredNone := math.Log(1 / p.Futility)
		explanation += fmt.Sprintf("; for less than %.4f either way e^%.2f of e^%.2f", p.Margin, evidenceNone, requiredNone)
		if evidenceNone >= requiredNone {
			r.Verdict = NoDifference
		}
	}
	if r.Verdict == Continue && over {
		r.Verdict = Deadline
	}
	r.Why = explanation
	return r
}

// maxVariance returns the largest variance of a unit's worth around the base, that of values of 0 and 1.
func (p *Plan) maxVariance() float64 { return max(p.Base*(1-p.Base), 0.01) }
