package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// stepped are the clocks of a machine that a test steps, as one process sees them: time.Now has a monotonic reading.
type stepped struct {
	start time.Time
	step  time.Duration
	boot  string
}

func (s *stepped) clocks() machineClocks {
	opened, step := time.Now(), s.step
	return machineClocks{boot: s.boot,
		wall: func() time.Time { // as a process reads it that began at opened: a later step is not in its differences
			return opened.Add(step).Add(time.Since(opened))
		},
		monotonic: func() (time.Duration, error) { return time.Since(s.start), nil }}
}

const near = time.Second // a test takes less

// A process that starts after a step of the wall clock goes by the clock of the one before it.
func TestProcessesShareAClockOverAStep(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		dir, m := t.TempDir(), &stepped{start: time.Now().Add(-time.Hour), boot: "first"}
		old, err := sharedClock(dir, m.clocks())
		if err != nil {
			t.Fatal(err)
		}
		m.step = step
		next, err := sharedClock(dir, m.clocks())
		if err != nil {
			t.Fatal(err)
		}
		if d := next().Sub(old()).Abs(); d > near {
			t.Errorf("step %v: the clocks are %v apart", step, d)
		}
		m.boot = "second"
		after, err := sharedClock(dir, m.clocks())
		if d := after().Sub(time.Now().Add(step)).Abs(); err != nil || d > near {
			t.Errorf("step %v: after a boot the clock is %v from the wall clock, %v", step, d, err)
		}
	}
}

// A clock file that is spoilt is written anew, and without one a process goes by its own clock.
func TestAClockFileThatCannotBeUsed(t *testing.T) {
	m := &stepped{start: time.Now().Add(-time.Hour), boot: "first"}
	for _, spoilt := range []string{"", "first", "first x\n", "\x00\x00"} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, clockFile), []byte(spoilt), 0o600); err != nil {
			t.Fatal(err)
		}
		a, errA := sharedClock(dir, m.clocks())
		b, errB := sharedClock(dir, m.clocks())
		if d := a().Sub(b()).Abs(); errA != nil || errB != nil || d > near {
			t.Errorf("%q: %v apart, %v, %v", spoilt, d, errA, errB)
		}
	}
	now, err := sharedClock(filepath.Join(t.TempDir(), "missing"), m.clocks())
	if d := time.Since(now()).Abs(); err == nil || d > near {
		t.Errorf("without a directory: %v off, %v", d, err)
	}
	clocks := m.clocks()
	clocks.monotonic = func() (time.Duration, error) { return 0, errors.New("none") }
	if now, err := sharedClock(t.TempDir(), clocks); err == nil || time.Since(now()).Abs() > near {
		t.Errorf("without a monotonic clock: %v", err)
	}
}
