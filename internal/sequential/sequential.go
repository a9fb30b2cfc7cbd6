// Package sequential tells, at any time and as often as wanted, whether of two ways one is better: the chance of a
// wrong winner over all looks together stays under a stated alpha. It is pure: it reads no clock and draws nothing.
//
// A unit is given to arm B with a known chance p, by a hash that nobody looks at beforehand, and ends with values in
// [0,1], more is better. For a centre c set before the unit, y = (A-p)(x-c), A being 1 in arm B, is a bounded
// difference of a martingale if the arms do not differ, and has the mean p(1-p)m if B is better by m. For z = y-p(1-p)m
// that is never under -b, exp(lz - f(lb)/b² z²) with f(u) = -log(1-u)-u has a mean of at most 1 (Fan, Grama, Liu 2015;
// as used for empirical Bernstein bounds by Howard, Ramdas, McAuliffe, Sekhon 2021). Its logarithm is a sum of z and z²:
// counts, sums and sums of squares of strata suffice. The product over all units is an e-process: by Ville's inequality
// it ever passes 1/alpha with a chance of at most alpha, with no other assumption about the values.
package sequential

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"larchscale/internal/fleet/limits"
)

// ErrPlan is met by a plan that cannot be.
var ErrPlan = errors.New("cannot be tested")

// Bounds of a plan.
const (
	MaxGuards  = 4
	MaxBoxes   = limits.MaxMeshServers // that the budget of Void is shared by
	maxName    = 64                    // bytes
	leastRatio = 0.02
)

// Guard is a further value of a unit, in [0,1] with more being better, by which B may not be worse.
type Guard struct {
	Name      string
	Base      float64 // what it is expected to be, in (0,1)
	Tolerance float64 // by how much B may be worse, 0 to under 1
}

// Plan is what a test is set to before its first unit. Every chance is over all looks together.
type Plan struct {
	Alpha    float64 // of a winner where the arms do not differ; half for each
	Futility float64 // of None where they differ by Margin or more
	Harm     float64 // of Harm where B is worse by no guard's tolerance, over all guards
	Void     float64 // of Void where units are split as they should be
	Base     float64 // mean worth of a unit that is expected, in (0,1)
	Effect   float64 // difference that the test is planned for, in worth a unit
	Margin   float64 // smallest difference worth having, at most Effect
	Ratio    float64 // share of units given to B
	Least    int64   // units with a value in each arm before A, B or None
	Guards   []Guard
}

// Check finds what of a plan cannot be: its error is an ErrPlan.
func (p *Plan) Check() error {
	for _, c := range []struct {
		name  string
		value float64
		most  float64
	}{{"alpha", p.Alpha, 0.2}, {"futility", p.Futility, 0.2}, {"harm", p.Harm, 0.2}, {"void", p.Void, 0.05}} {
		if !(c.value >= 1e-6 && c.value <= c.most) {
			return fmt.Errorf("%s of %v, 1e-6 to %v can be: %w", c.name, c.value, c.most, ErrPlan)
		}
	}
	switch {
	case !(p.Base > 0 && p.Base < 1):
		return fmt.Errorf("base of %v, between 0 and 1 can be: %w", p.Base, ErrPlan)
	case !(p.Effect >= 0.001 && p.Effect < 1):
		return fmt.Errorf("effect of %v, 0.001 to under 1 can be: %w", p.Effect, ErrPlan)
	case !(p.Margin >= 0.001 && p.Margin <= p.Effect):
		return fmt.Errorf("margin of %v, 0.001 to the effect of %v can be: %w", p.Margin, p.Effect, ErrPlan)
	case !(p.Ratio >= leastRatio && p.Ratio <= 1-leastRatio):
		return fmt.Errorf("ratio of %v, %v to %v can be: %w", p.Ratio, leastRatio, 1-leastRatio, ErrPlan)
	case p.Least < 1:
		return fmt.Errorf("no units: at least %d in each arm, 1 or more can be: %w", p.Least, ErrPlan)
	case len(p.Guards) > MaxGuards:
		return fmt.Errorf("%d guards, %d can be: %w", len(p.Guards), MaxGuards, ErrPlan)
	}
	for i, g := range p.Guards {
		if g.Name == "" || len(g.Name) > maxName || !(g.Base > 0 && g.Base < 1) || !(g.Tolerance >= 0 && g.Tolerance < 1) ||
			slices.ContainsFunc(p.Guards[:i], func(x Guard) bool { return x.Name == g.Name }) {
			return fmt.Errorf("guard %q with base %v and tolerance %v: %w", g.Name, g.Base, g.Tolerance, ErrPlan)
		}
	}
	return nil
}

// Sums are the sum of a value over units, and the sum of its squares.
type Sums struct{ Sum, Squares float64 }

// Arm is what is counted of one arm in one stratum.
type Arm struct {
	Assigned int64               // units given to it
	N        int64               // of them those whose values are known
	Values   [1 + MaxGuards]Sums // worth, then the guards as the plan has them
}

// Stratum is a box in a block of time.
type Stratum struct {
	Box   string
	Block int
	Arms  [2]Arm // A, B
}

// Verdict is the outcome of a look.
type Verdict uint8

// The verdicts. All but the first end a test.
const (
	GoOn     Verdict = iota
	A                // A is better
	B                // B is better
	None             // they differ by less than the margin
	Harm             // B is worse by a guard than is tolerated
	Void             // units are not split as they should be: no count can be trusted
	Deadline         // time is over, and nothing is shown
	Stopped          // by an operator
)

var verdicts = [...]string{"go on", "A", "B", "none", "harm", "void", "deadline", "stopped"}

// String is the verdict as operators read it.
func (v Verdict) String() string {
	if int(v) < len(verdicts) {
		return verdicts[v]
	}
	return fmt.Sprintf("verdict %d", uint8(v))
}

// MarshalText writes a verdict as operators read it.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads it back.
func (v *Verdict) UnmarshalText(text []byte) error {
	i := slices.Index(verdicts[:], string(text))
	if i < 0 {
		return fmt.Errorf("verdict %q is unknown", text)
	}
	*v = Verdict(i)
	return nil
}

// Result is what a look finds.
type Result struct {
	Verdict    Verdict
	Why        string   // with figures
	Units      [2]int64 // with known values, by arm
	Difference float64  // of B to A in worth a unit, estimated; 0 without units
}

// Look judges the counts as they are. Strata are sorted by block and by box within it; over tells that time is over.
// A look costs a few hundred nanoseconds a stratum.
func Look(p *Plan, strata []Stratum, over bool) Result {
	var r Result
	for i := range strata {
		for a := range r.Units {
			r.Units[a] += strata[i].Arms[a].N
		}
	}
	if why := split(p, strata); why != "" {
		r.Verdict, r.Why = Void, why
		return r
	}
	all := terms(p, strata)
	worth := all[0]
	v := p.Ratio * (1 - p.Ratio)
	if n, y := total(worth); n > 0 {
		r.Difference = y / n / v
	}
	for i, g := range p.Guards {
		// Against being better by no less than -tolerance; what harm will do is unknown: all sizes of a bet alike.
		e := mixture(all[1+i], -g.Tolerance*v, -1, []float64{0.05, 0.15, 0.4, 0.75}, true)
		if need := math.Log(float64(len(p.Guards)) / p.Harm); e >= need {
			n, y := total(all[1+i])
			r.Verdict, r.Why = Harm, fmt.Sprintf("%s is worse with B by %.4f, tolerated are %.4f: evidence e^%.2f of e^%.2f needed, after %d and %d units",
				g.Name, -y/n/v, g.Tolerance, e, need, r.Units[0], r.Units[1])
			return r
		}
	}
	bet := p.Effect / p.spread()
	bets := []float64{p.Margin / p.spread(), bet, bet, bet} // a quarter for the smallest effect worth having
	up, down := mixture(worth, 0, 1, bets, false), mixture(worth, 0, -1, bets, false)
	need := math.Log(2 / p.Alpha)
	few := min(r.Units[0], r.Units[1]) < p.Least
	tail := fmt.Sprintf("B differs by %+.4f a unit after %d and %d units; evidence for B e^%.2f, for A e^%.2f of e^%.2f needed",
		r.Difference, r.Units[0], r.Units[1], up, down, need)
	switch m := p.Margin / p.spread(); {
	case few:
		tail += fmt.Sprintf("; at least %d units in each", p.Least)
	case up >= need && up >= down:
		r.Verdict = B
	case down >= need:
		r.Verdict = A
	default:
		// Both have to be refused, so each may be at the whole chance.
		none := min(single(worth, p.Margin*v, -1, m), single(worth, -p.Margin*v, 1, m))
		least := math.Log(1 / p.Futility)
		tail += fmt.Sprintf("; for less than %.4f either way e^%.2f of e^%.2f", p.Margin, none, least)
		if none >= least {
			r.Verdict = None
		}
	}
	if r.Verdict == GoOn && over {
		r.Verdict = Deadline
	}
	r.Why = tail
	return r
}

// spread is the most that a unit's worth can vary about the base: the variance of all or nothing.
func (p *Plan) spread() float64 { return max(p.Base*(1-p.Base), 0.01) }
