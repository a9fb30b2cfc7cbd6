// Package wallclock measures spans of real time by a wall clock that may be stepped, forward or back, while time goes on.
package wallclock

import (
	"sync"
	"time"
)

const (
	stepLeast = 20 * time.Millisecond // less is drift, or a clock that is slewed
	keepSteps = time.Minute           // longer than anything stamped lies unread
	maxSteps  = 16                    // kept at a time
)

// Clock knows of the steps of the machine's wall clock since it was made. It is safe from any goroutine.
type Clock struct {
	read func() (wall time.Time, since time.Duration) // since: on the monotonic clock

	mu     sync.Mutex
	offset time.Duration // of the wall clock before the monotonic one
	before []era         // the oldest first
}

// era is a time in which the wall clock was not stepped.
type era struct {
	offset time.Duration
	until  time.Duration // on the monotonic clock
}

// New makes a clock of this machine.
func New() *Clock {
	start := time.Now()
	return newClock(func() (time.Time, time.Duration) {
		now := time.Now()
		return now.Round(0), now.Sub(start)
	})
}

func newClock(read func() (time.Time, time.Duration)) *Clock {
	c := &Clock{read: read}
	wall, since := read()
	c.offset = time.Duration(wall.UnixNano()) - since
	return c
}

// Age returns how long ago the wall clock showed a time, in real time: steps of it in between do not count. Where a step
// leaves more than one answer, it is the shortest that is not negative. A negative age is of a time to come.
func (c *Clock) Age(shown time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, since := c.read()
	c.follow(time.Duration(wall.UnixNano())-since, since)
	age := wall.Sub(shown)
	for _, e := range c.before {
		age = closer(age, wall.Sub(shown)-(c.offset-e.offset))
	}
	return age
}

// closer returns the shorter of two ages, or the one that is not negative.
func closer(a, b time.Duration) time.Duration {
	if (a < 0) == (b < 0) && a >= 0 {
		return min(a, b)
	}
	return max(a, b)
}

// follow notes a step, and forgets those of long ago.
func (c *Clock) follow(offset, since time.Duration) {
	if (offset - c.offset).Abs() >= stepLeast {
		c.before = append(c.before, era{c.offset, since})
		if len(c.before) > maxSteps {
			c.before = c.before[1:]
		}
	}
	c.offset = offset
	for len(c.before) > 0 && since-c.before[0].until > keepSteps {
		c.before = c.before[1:]
	}
}
