package handoff

import (
	"testing"
	"time"
)

func TestSuccessor(t *testing.T) {
	alive := func(pid int) bool { return pid == 7 || pid == 9 }
	for _, c := range []struct {
		file string
		want int
	}{
		{"9\n", 9},   // a newer process lives: a handoff
		{"7\n", 0},   // the file names this process: the notice to leave
		{"8\n", 0},   // the newer one is dead
		{"", 0},      // no file
		{"x9\n", 0},  // no process id
		{"-9\n", 0},  // no process id
		{" 9 \n", 9}, // spaces around it
		{"99999999999999999999", 0},
	} {
		if got := Successor(7, []byte(c.file), alive); got != c.want {
			t.Errorf("file %q: %d, want %d", c.file, got, c.want)
		}
	}
	if got := Successor(7, Record(9), alive); got != 9 {
		t.Errorf("a record of its own: %d", got)
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
		if got := Kill(c.deadlines); got != c.want {
			t.Errorf("%v: %v, want %v", c.deadlines, got, c.want)
		}
	}
}

func FuzzSuccessor(f *testing.F) {
	f.Add([]byte("9\n"))
	f.Fuzz(func(t *testing.T, file []byte) {
		if got := Successor(7, file, func(int) bool { return true }); got == 7 || got < 0 {
			t.Fatalf("%q: %d", file, got)
		}
	})
}
