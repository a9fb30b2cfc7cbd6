package place

import (
	"fmt"
	"testing"
)

// members are n boxes a1, b1, a2, … in so many zones.
func members(n, zones int) (out []Member) {
	for i := range n {
		name := fmt.Sprintf("%c%d", 'a'+i%zones, i/zones+1)
		out = append(out, Member{name, name[:1], 1})
	}
	return out
}

func apply(t *testing.T, s *State, e *Entry) {
	t.Helper()
	if err := s.Apply(s.Index+1, e); err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
}

func always(int) bool { return true }

// lead applies what follows until nothing does, and gives how many homes were new.
func lead(t *testing.T, s *State, boxes []Member, limit int) (moved int) {
	t.Helper()
	for range 10 * Slices {
		e, err := Next(s, boxes, limit, always)
		if err != nil {
			t.Fatal(err)
		}
		if e == nil {
			return moved
		}
		for _, c := range e.Changes {
			a, b := s.Pair(c.Slice)
			for _, n := range [2]string{c.First, c.Second} {
				if n != "" && n != a && n != b {
					moved++
				}
			}
		}
		apply(t, s, e)
	}
	t.Fatal("no end of entries")
	return 0
}

func TestPlacement(t *testing.T) {
	s := &State{}
	if moved := lead(t, s, members(6, 3), 32); moved != 2*Slices || len(s.Boxes) != 6 {
		t.Errorf("%d moved, boxes %v", moved, s.Boxes)
	}
	want, _ := Target(members(6, 3))
	for i, c := range want {
		if a, b := s.Pair(i); a != c.First || b != c.Second || a[0] == b[0] {
			t.Errorf("slice %d at %s and %s, want %+v", i, a, b, c)
		}
	}
	if moved := lead(t, s, members(1, 1), 32); moved > Slices || len(s.Boxes) != 1 {
		t.Errorf("%d moved to the last box, boxes %v", moved, s.Boxes)
	}
}
