package ledger

import "time"

// Clock turns the time since the start into wall-clock time that steps only when the wall clock has stepped
// for good. Guards the billing periods against a clock that jumps ahead for a moment: a period that it closed
// cannot be opened again. Adjustments of up to Tolerance are followed at once.
type Clock struct {
	Tolerance time.Duration // 0 = 2 s
	Settle    time.Duration // a step has to stand so long; 0 = 60 s

	set    bool
	offset time.Duration // wall clock less the time since the start
	other  time.Duration // the offset that is being tried
	since  time.Duration
	trying bool
}

// Step is a step of the wall clock that was followed.
type Step struct {
	At int64 `cbor:"1,keyasint" json:"at_ms"` // by the clock before it, Unix milliseconds
	By int64 `cbor:"2,keyasint" json:"by_ms"` // positive = forward
}

// Observe takes a reading of the wall clock at a time since the start. It tells of a step when it follows one.
func (c *Clock) Observe(wall time.Time, since time.Duration) (Step, bool) {
	tolerance, settle := c.Tolerance, c.Settle
	if tolerance == 0 {
		tolerance = 2 * time.Second
	}
	if settle == 0 {
		settle = time.Minute
	}
	offset := time.Duration(wall.UnixNano()) - since
	near := func(a, b time.Duration) bool { return a-b <= tolerance && b-a <= tolerance }
	switch {
	case !c.set || near(offset, c.offset):
		c.set, c.trying, c.offset = true, false, offset
	case !c.trying || !near(offset, c.other):
		c.trying, c.other, c.since = true, offset, since
	case since-c.since >= settle:
		step := Step{At: c.Wall(since), By: (offset - c.offset).Milliseconds()}
		c.trying, c.offset = false, offset
		return step, true
	default:
		c.other = offset
	}
	return Step{}, false
}

// Wall gives the wall-clock time of a time since the start, in Unix milliseconds.
func (c *Clock) Wall(since time.Duration) int64 { return (c.offset + since).Milliseconds() }
