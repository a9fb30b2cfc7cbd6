package retry

import (
	"math/rand/v2"
	"time"
)

// Outcome is how a try ended.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Unsent // nothing of it was written, or no connection came about: it never ran
	Lost   // its connection ended, or answered nonsense, after something was written: it may have run
	Failed // the box says so: it may have run
	Late   // the time was over
)

// NeverRan tells whether a try with this end is proved not to have run.
func (o Outcome) NeverRan() bool { return o == Refused || o == Unsent }

// Where says which boxes a further try may go to.
type Where uint8

// The places.
const (
	Anywhere Where = iota
	Same           // the box of the try before
	Other          // any but that
)

// Policy sets what a client allows itself.
type Policy struct {
	Base   time.Duration // the first back-off is up to this; each doubles it
	Most   time.Duration // up to this
	Margin time.Duration // the network's, taken off the caller's time
	Tries  int           // of one request, the first included
}

// Defaults are what a client needs not set.
func Defaults() Policy {
	return Policy{Base: 50 * time.Millisecond, Most: 2 * time.Second, Margin: 10 * time.Millisecond, Tries: 8}
}

// Try is what is known after a try ended.
type Try struct {
	Number  int // of the try, from 1
	Outcome Outcome
	Keyed   bool          // it is a write with a token
	Unsure  bool          // an earlier try of it may have run at the box of this one
	Away    time.Duration // a refusal's come-back time; 0 = none was told
	Final   bool          // a refusal that wants no other box asked
	Others  bool          // there is another box that may be asked
	Window  time.Duration // what is left of the key's window
	Left    time.Duration // what is left of the caller's time
	Usual   time.Duration // what an answer usually takes
}

// Why says why no further try is made.
type Why uint8

// The reasons.
const (
	Done      Why = iota // it was served
	Exhausted            // as many tries as the policy allows
	NoTime               // an answer could not come in time
	NoBudget             // the budget is spent
	Unknown              // a write may have run, and nothing can tell: it must not be tried elsewhere
	Wanted               // the box asked that no other be tried
)

// Plan is what follows a try: another, or the end.
type Plan struct {
	Again bool
	Where Where
	After time.Duration
	Why   Why // not Again
}

// Next decides what follows a try. It takes from the budget only if another is made.
func Next(p Policy, t Try, class string, b *Budgets, now time.Duration, r *rand.Rand) Plan {
	if t.Outcome == Served {
		return Plan{Why: Done}
	}
	if t.Outcome == Late {
		return Plan{Why: NoTime}
	}
	plan := Plan{Again: true}
	switch {
	case t.Keyed && (t.Unsure || !t.Outcome.NeverRan()): // only its own box can tell
		plan.Where = Same
		if t.Window <= 0 {
			return Plan{Why: Unknown}
		}
	case t.Outcome == Refused && t.Final:
		plan.Where = Same
	case t.Others:
		plan.Where = Other
	default:
		plan.Where = Same
	}
	if t.Number >= p.Tries {
		return Plan{Why: end(t, Exhausted)}
	}
	plan.After = p.wait(t, plan.Where, r)
	if t.Keyed && plan.Where == Same && plan.After >= t.Window && t.Unsure {
		return Plan{Why: Unknown}
	}
	if plan.After+t.Usual+p.Margin >= t.Left {
		return Plan{Why: end(t, NoTime)}
	}
	if !b.Take(class, now) {
		return Plan{Why: end(t, NoBudget)}
	}
	return plan
}

// end names the reason, or that a write is unsure, which the caller must hear above all.
func end(t Try, why Why) Why {
	switch {
	case t.Keyed && (t.Unsure || !t.Outcome.NeverRan()):
		return Unknown
	case t.Outcome == Refused && t.Final:
		return Wanted
	}
	return why
}

// wait is the time until the next try: none to another box after a proof that nothing ran, else full jitter; never
// before the box wants to hear again.
func (p Policy) wait(t Try, where Where, r *rand.Rand) time.Duration {
	if where == Other && t.Number == 1 && t.Outcome.NeverRan() {
		return 0
	}
	most := p.Most
	if n := t.Number - 1; n < 20 && p.Base<<n < most {
		most = p.Base << n
	}
	jitter := time.Duration(r.Int64N(int64(most) + 1))
	if where == Same {
		return t.Away + jitter
	}
	return jitter
}
