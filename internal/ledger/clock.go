package ledger

import "time"

// Clock converts the time since the process started to wall-clock time. It follows a step of the wall clock only once
// the step has lasted, because a clock that jumps ahead for a moment would close billing periods, and a closed period
// cannot be opened again. Adjustments of up to Tolerance are followed at once.
type Clock struct {
	Tolerance time.Duration // 0 = 2 seconds
	Settle    time.Duration // how long a step has to last before it is followed; 0 = 60 seconds

	started        bool          // a reading was observed
	offset         time.Duration // wall clock minus the time since the start, as followed
	candidate      time.Duration // offset after a step that is not followed yet
	candidateSince time.Duration // when that step was first observed, as a time since the start
	hasCandidate   bool          // other and since are set
}

// Step is a step of the wall clock that was followed.
type Step struct {
	At int64 `cbor:"1,keyasint" json:"at_ms"` // by the clock before the step, Unix milliseconds
	By int64 `cbor:"2,keyasint" json:"by_ms"` // milliseconds, positive = forward
}

// Observe takes a reading of the wall clock at a time since the start. When it begins to follow a step, it returns that
// step and true.
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
	case !c.started || near(offset, c.offset):
		c.started, c.hasCandidate, c.offset = true, false, offset
	case !c.hasCandidate || !near(offset, c.candidate):
		c.hasCandidate, c.candidate, c.candidateSince = true, offset, since
	case since-c.candidateSince >= settle:
		step := Step{At: c.Wall(since), By: (offset - c.offset).Milliseconds()}
		c.hasCandidate, c.offset = false, offset
		return step, true
	default:
		c.candidate = offset
	}
	return Step{}, false
}

// Wall returns the wall-clock time of a time since the start, in Unix milliseconds.
func (c *Clock) Wall(since time.Duration) int64 { return (c.offset + since).Milliseconds() }
