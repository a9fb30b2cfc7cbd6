package wallclock

import (
	"testing"
	"time"
)

// machine is a machine whose clocks a test sets.
type machine struct {
	wall  time.Time
	since time.Duration
}

func (m *machine) read() (time.Time, time.Duration) { return m.wall, m.since }

// passes lets time go on.
func (m *machine) passes(d time.Duration) {
	m.wall = m.wall.Add(d)
	m.since += d
}

// steps sets the wall clock.
func (m *machine) steps(by time.Duration) { m.wall = m.wall.Add(by) }

func newMachine() (*machine, *Clock) {
	m := &machine{wall: time.Date(2026, 12, 2, 16, 0, 0, 0, time.UTC)}
	return m, newClock(m.read)
}

// What was stamped before a step, and what is after it, has its real age.
func TestAgesOverASteppedClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second, time.Second, -time.Second} {
		m, c := newMachine()
		before := m.wall
		m.passes(400 * time.Millisecond)
		m.steps(step)
		m.passes(100 * time.Millisecond)
		if got := c.Age(before); got != 500*time.Millisecond {
			t.Errorf("step %v: stamped 500 ms ago, before it: %v", step, got)
		}
		after := m.wall
		m.passes(70 * time.Millisecond)
		if got := c.Age(after); got != 70*time.Millisecond {
			t.Errorf("step %v: stamped 70 ms ago, after it: %v", step, got)
		}
		if got := c.Age(before); got != 570*time.Millisecond {
			t.Errorf("step %v: stamped 570 ms ago, before it: %v", step, got)
		}
	}
}

// Two steps between a stamp and its reading, and a clock that is stepped there and back.
func TestAgesOverSeveralSteps(t *testing.T) {
	m, c := newMachine()
	first := m.wall
	m.passes(100 * time.Millisecond)
	m.steps(time.Hour)
	c.Age(first)
	second := m.wall
	m.passes(100 * time.Millisecond)
	m.steps(-2 * time.Hour)
	c.Age(first)
	m.passes(100 * time.Millisecond)
	if a, b := c.Age(first), c.Age(second); a != 300*time.Millisecond || b != 200*time.Millisecond {
		t.Errorf("%v and %v, want 300 and 200 ms", a, b)
	}
}

// A clock that drifts makes no steps, and steps of long ago are forgotten.
func TestDriftAndOldSteps(t *testing.T) {
	m, c := newMachine()
	for range 10_000 {
		m.passes(10 * time.Millisecond)
		m.steps(5 * time.Microsecond)
		c.Age(m.wall)
	}
	if len(c.before) != 0 {
		t.Errorf("%d steps", len(c.before))
	}
	for range 2 * maxSteps {
		m.steps(time.Hour)
		c.Age(m.wall)
	}
	if len(c.before) != maxSteps {
		t.Errorf("%d steps are kept", len(c.before))
	}
	m.passes(keepSteps + time.Second)
	if c.Age(m.wall); len(c.before) != 0 {
		t.Errorf("%d steps after a minute", len(c.before))
	}
}

// What is stamped in the future has a negative age, the least that there is.
func TestATimeToCome(t *testing.T) {
	m, c := newMachine()
	if got := c.Age(m.wall.Add(time.Second)); got != -time.Second {
		t.Errorf("%v", got)
	}
	if got := New().Age(time.Now()); got < 0 || got > time.Second {
		t.Errorf("now is %v ago", got)
	}
}
