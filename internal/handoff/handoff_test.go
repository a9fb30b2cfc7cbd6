package handoff

import (
	"testing"
	"time"
)

// Only a file that another running process holds is a handoff, whatever its record contains.
func TestSuccessor(t *testing.T) {
	for _, c := range []struct {
		found StartFileState
		pid   int
		ok    bool
	}{
		{StartFileState{Other, []byte("9\n")}, 9, true},   // a newer process is running
		{StartFileState{Other, []byte(" 9 \n")}, 9, true}, // surrounding spaces
		{StartFileState{Other, Record(9)}, 9, true},
		{StartFileState{Other, nil}, 0, true},            // its record is corrupt, its lock is valid
		{StartFileState{Other, []byte("x9\n")}, 0, true}, // not a process id
		{StartFileState{Other, []byte("-9\n")}, 0, true}, // not a process id
		{StartFileState{Other, []byte("99999999999999999999")}, 0, true},
		{StartFileState{Self, []byte("9\n")}, 0, false},
		{StartFileState{Nobody, []byte("9\n")}, 0, false}, // the newer process has ended, though its id may have been reused
		{StartFileState{Unknown, []byte("9\n")}, 0, false},
		{StartFileState{}, 0, false}, // no file
	} {
		if pid, ok := c.found.Successor(); pid != c.pid || ok != c.ok {
			t.Errorf("%d %q: %d %v, want %d %v", c.found.Holder, c.found.Record, pid, ok, c.pid, c.ok)
		}
	}
}

func TestKill(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		deadlines []time.Duration
		want      time.Duration
	}{
		{[]time.Duration{s, 2 * s}, 2700 * time.Millisecond},
		{[]time.Duration{8 * s, s}, 3700 * time.Millisecond},
		{nil, 700 * time.Millisecond},
	} {
		if got := KillDelay(c.deadlines); got != c.want {
			t.Errorf("%v: %v, want %v", c.deadlines, got, c.want)
		}
	}
}

func FuzzSuccessor(f *testing.F) {
	f.Add(uint8(Other), []byte("9\n"))
	f.Add(uint8(Nobody), []byte("9\n"))
	f.Fuzz(func(t *testing.T, holder uint8, file []byte) {
		pid, ok := StartFileState{Holder(holder), file}.Successor()
		if ok != (Holder(holder) == Other) || pid < 0 || !ok && pid != 0 {
			t.Fatalf("%d %q: %d %v", holder, file, pid, ok)
		}
		if again, _ := (StartFileState{Other, Record(pid)}).Successor(); again != pid {
			t.Fatalf("%q: process id %d, after Record %d", file, pid, again)
		}
	})
}

// The kill is assumed as early as the platform allows it, even if the settings state a longer time.
func TestEarliest(t *testing.T) {
	for _, c := range []struct {
		configured time.Duration
		deadlines  []time.Duration
		want       time.Duration
	}{
		{4200 * time.Millisecond, []time.Duration{8700 * time.Millisecond, 12 * time.Second}, 3700 * time.Millisecond},
		{4200 * time.Millisecond, []time.Duration{300 * time.Millisecond, 500 * time.Millisecond},
			1200 * time.Millisecond},
		{900 * time.Millisecond, []time.Duration{500 * time.Millisecond}, 900 * time.Millisecond},
		{4200 * time.Millisecond, []time.Duration{300 * time.Millisecond, 0}, 3700 * time.Millisecond},
		{4200 * time.Millisecond, nil, 3700 * time.Millisecond},
	} {
		if got := EarliestKill(c.configured, c.deadlines); got != c.want {
			t.Errorf("configured %v, deadlines %v: %v, want %v", c.configured, c.deadlines, got, c.want)
		}
	}
}
