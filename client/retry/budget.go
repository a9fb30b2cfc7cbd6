// Package retry decides whether a further try of a request may be made, where and when. It does no I/O; time and
// chance come from its caller.
package retry

import "time"

// Budget bounds tries beyond the first: each first try adds a part of a token, time adds a few, and a further try
// takes one. It is not safe for concurrent use.
type Budget struct {
	ratio float64 // tokens that a first try adds
	floor float64 // tokens a second, whatever is asked
	most  float64
	have  float64
	at    time.Duration
}

// NewBudget makes a budget that begins with what it can hold: 10 seconds of the floor, or one token.
func NewBudget(ratio, floor float64) *Budget {
	most := max(1, 10*floor)
	return &Budget{ratio: ratio, floor: floor, most: most, have: most}
}

func (b *Budget) fill(now time.Duration) {
	if now > b.at {
		b.have = min(b.most, b.have+b.floor*(now-b.at).Seconds())
		b.at = now
	}
}

// First notes a first try. What these add is kept up to ten tokens beyond the floor's: a long calm does not pay for
// a storm.
func (b *Budget) First(now time.Duration) {
	b.fill(now)
	if b.have < b.most+10 {
		b.have = min(b.most+10, b.have+b.ratio)
	}
}

// Has tells whether a further try may be made.
func (b *Budget) Has(now time.Duration) bool {
	b.fill(now)
	return b.have >= 1
}

// take pays for a further try.
func (b *Budget) take() { b.have-- }

// Budgets are one for all tries and one for each class: a class cannot spend what another needs.
type Budgets struct {
	all     *Budget
	classes map[string]*Budget
	ratio   float64
	floor   float64
}

// maxClasses bounds the budgets of classes; further ones share the last.
const maxClasses = 64

// NewBudgets makes budgets of a ratio and floor in total. Each class may take all of the ratio, and half of the
// floor.
func NewBudgets(ratio, floor float64) *Budgets {
	return &Budgets{all: NewBudget(ratio, floor), classes: map[string]*Budget{}, ratio: ratio, floor: floor}
}

func (b *Budgets) class(name string) *Budget {
	c := b.classes[name]
	if c == nil && len(b.classes) >= maxClasses {
		name = ""
		c = b.classes[name]
	}
	if c == nil {
		c = NewBudget(b.ratio, b.floor/2)
		b.classes[name] = c
	}
	return c
}

// First notes a first try of a class.
func (b *Budgets) First(class string, now time.Duration) {
	b.all.First(now)
	b.class(class).First(now)
}

// Take pays for a further try from both budgets, or from neither.
func (b *Budgets) Take(class string, now time.Duration) bool {
	c := b.class(class)
	if !b.all.Has(now) || !c.Has(now) {
		return false
	}
	b.all.take()
	c.take()
	return true
}
