package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// steppedClocks provides the clocks of a machine whose wall clock a test can step, as seen by one process.
type steppedClocks struct {
	start time.Time
	step  time.Duration
	boot  string
}

func (s *steppedClocks) clocks() machineClocks {
	opened, step := time.Now(), s.step
	return machineClocks{boot: s.boot,
		// Readings of a process that started at opened: their differences do not contain later steps.
		wall: func() time.Time {
			return opened.Add(step).Add(time.Since(opened))
		},
		monotonic: func() (time.Duration, error) { return time.Since(s.start), nil }}
}

const clockTolerance = time.Second // tolerated difference; each test takes less time than this

// Checks that a process that starts after a step of the wall clock uses the clock of the process before it, and that
// a new boot starts with a new offset.
func TestProcessesShareAClockAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		dir, m := t.TempDir(), &steppedClocks{start: time.Now().Add(-time.Hour), boot: "first"}
		first, err := sharedClock(dir, m.clocks())
		if err != nil {
			t.Fatal(err)
		}
		m.step = step
		second, err := sharedClock(dir, m.clocks())
		if err != nil {
			t.Fatal(err)
		}
		if d := second().Sub(first()).Abs(); d > clockTolerance {
			t.Errorf("step %v: the clocks are %v apart", step, d)
		}
		m.boot = "second"
		afterBoot, err := sharedClock(dir, m.clocks())
		if d := afterBoot().Sub(time.Now().Add(step)).Abs(); err != nil || d > clockTolerance {
			t.Errorf("step %v: after a boot the clock is %v from the wall clock, %v", step, d, err)
		}
	}
}

// Checks that a corrupt clock file is rewritten, and that a process uses its own clock if the file or the monotonic
// clock is unavailable.
func TestUnusableClockFile(t *testing.T) {
	m := &steppedClocks{start: time.Now().Add(-time.Hour), boot: "first"}
	for _, content := range []string{"", "first", "first x\n", "\x00\x00"} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, clockFileName), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		a, errA := sharedClock(dir, m.clocks())
		b, errB := sharedClock(dir, m.clocks())
		if d := a().Sub(b()).Abs(); errA != nil || errB != nil || d > clockTolerance {
			t.Errorf("%q: %v apart, %v, %v", content, d, errA, errB)
		}
	}
	now, err := sharedClock(filepath.Join(t.TempDir(), "missing"), m.clocks())
	if d := time.Since(now()).Abs(); err == nil || d > clockTolerance {
		t.Errorf("without a directory: %v off, %v", d, err)
	}
	clocks := m.clocks()
	clocks.monotonic = func() (time.Duration, error) { return 0, errors.New("none") }
	if now, err := sharedClock(t.TempDir(), clocks); err == nil || time.Since(now()).Abs() > clockTolerance {
		t.Errorf("without a monotonic clock: %v", err)
	}
}
