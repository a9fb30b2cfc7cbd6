package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// live is a state in which a box lives as 1.
func live(t *testing.T, name string) *State {
	t.Helper()
	s := &State{}
	if err := s.Apply(1, &Entry{Kind: Live, Box: name, Zone: "a", Incarnation: 3}); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestApply(t *testing.T) {
	long := string(make([]byte, 300))
	for _, k := range []struct {
		name    string
		before  *Entry
		e       Entry
		err     error
		changes bool
	}{
		{name: "again", e: Entry{Kind: Live, Box: "a1", Incarnation: 3}},
		{name: "a new process", e: Entry{Kind: Live, Box: "a1", Incarnation: 4}, changes: true},
		{name: "an old process", e: Entry{Kind: Live, Box: "a1", Incarnation: 2}, err: ErrLife},
		{name: "no process", e: Entry{Kind: Live, Box: "a1"}, err: ErrInvalid},
		{name: "no name", e: Entry{Kind: Live, Incarnation: 1}, err: ErrInvalid},
		{name: "long pool", e: Entry{Kind: Live, Box: "a2", Incarnation: 1, Pool: long}, err: ErrInvalid},
		{name: "lost", e: Entry{Kind: Lost, Box: "a1", Life: 1}, changes: true},
		{name: "another life lost", e: Entry{Kind: Lost, Box: "a1", Life: 2}, err: ErrLife},
		{name: "nobody lost", e: Entry{Kind: Lost, Box: "a2", Life: 1}, err: ErrUnknown},
		{name: "gone while it lives", e: Entry{Kind: Gone, Box: "a1"}, err: ErrHolds},
		{name: "lost twice", before: &Entry{Kind: Lost, Box: "a1", Life: 1}, e: Entry{Kind: Lost, Box: "a1", Life: 1}, err: ErrLife},
		{name: "lives again", before: &Entry{Kind: Lost, Box: "a1", Life: 1}, e: Entry{Kind: Live, Box: "a1", Incarnation: 3}, changes: true},
		{name: "gone", before: &Entry{Kind: Lost, Box: "a1", Life: 1}, e: Entry{Kind: Gone, Box: "a1"}, changes: true},
		{name: "no kind", e: Entry{Box: "a1"}, err: ErrInvalid},
	} {
		s := live(t, "a1")
		if k.before != nil {
			if err := s.Apply(2, k.before); err != nil {
				t.Fatal(k.name, err)
			}
		}
		was := s.Clone()
		if err := s.Apply(9, &k.e); !errors.Is(err, k.err) {
			t.Errorf("%s: %v, want %v", k.name, err, k.err)
		}
		if was.Index = 9; cmp.Equal(was, *s) == k.changes {
			t.Errorf("%s: %s", k.name, cmp.Diff(was, *s))
		}
		if k.changes && s.Epoch != 9 || k.e.Kind == Live && k.changes && !s.Lives("a1", 9) {
			t.Errorf("%s: %+v", k.name, s)
		}
	}
	s := &State{}
	for i := range MaxBoxes + 1 {
		if err := s.Apply(uint64(i+1), &Entry{Kind: Live, Box: fmt.Sprint("b", MaxBoxes-i), Incarnation: 1}); (err != nil) != (i == MaxBoxes) {
			t.Fatal(i, err)
		}
	}
}

// A lease runs from the sending of what was granted, whatever comes late, twice, out of order or is of another life.
func TestHolder(t *testing.T) {
	h := NewHolder("a1", MeshTerms)
	if _, ok := h.AskNow(0); ok {
		t.Error("asks without a life")
	}
	if _, ok := h.Ask(0); ok || h.Holds(0) {
		t.Error("asks or holds without a life")
	}
	h.Live(7, ms(100))
	one, _ := h.Ask(ms(100))
	if _, ok := h.Ask(ms(100) + MeshTerms.Every - 1); ok {
		t.Error("asks too early")
	}
	two, ok := h.Ask(ms(100) + MeshTerms.Every)
	if !ok || one.Seq >= two.Seq {
		t.Error(one, two, ok)
	}
	if now, ok := h.AskNow(ms(100) + MeshTerms.Every); !ok || now.Seq <= two.Seq {
		t.Error(now, ok)
	} else {
		two = now
	}
	end := ms(100) + MeshTerms.Every + MeshTerms.Length
	grant := func(r Renewal) Grant { return Grant{r.Box, r.Life, r.Seq, MeshTerms.Length} }
	for _, k := range []struct {
		g     Grant
		until time.Duration
	}{
		{Grant{"a2", 7, two.Seq, MeshTerms.Length}, 0}, {Grant{"a1", 6, two.Seq, MeshTerms.Length}, 0}, {Grant{"a1", 7, two.Seq + 1, MeshTerms.Length}, 0}, {Grant{"a1", 7, 0, MeshTerms.Length}, 0},
		{grant(one), ms(100) + MeshTerms.Length}, {grant(two), end}, {grant(one), end}, {Grant{"a1", 7, two.Seq, time.Hour}, end},
	} {
		if h.Granted(k.g); h.Until() != k.until {
			t.Errorf("%+v: until %v", k.g, h.Until())
		}
	}
	if !h.Holds(end-1) || h.Holds(end) {
		t.Errorf("the end is not at %v", end)
	}
	for now := end; now < end+2*MeshTerms.Length; now += MeshTerms.Every {
		h.Ask(now)
	}
	if h.Granted(grant(one)); h.Until() != end {
		t.Error("a grant of long ago counts for another renewal")
	}
	h.Live(7, end+2*MeshTerms.Length)
	if h.Until() == 0 {
		t.Error("the same life again ended its lease")
	}
	h.Live(8, ms(8000))
	if h.Until() != 0 {
		t.Error("another life has the lease of the one before")
	}
	h.Lost()
	if h.Granted(grant(two)); h.Holds(0) || h.Life() != 0 {
		t.Error("holds though lost")
	}
}

func TestGranter(t *testing.T) {
	s := live(t, "a1")
	g := NewGranter(MeshTerms)
	r := Renewal{"a1", 1, 1}
	if err := g.Asked(s, r, 0); !errors.Is(err, ErrFollows) {
		t.Error(err)
	}
	g.Lead(5, ms(1000))
	for _, bad := range []Renewal{{"a2", 1, 1}, {"a1", 2, 1}} {
		if err := g.Asked(s, bad, ms(1000)); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
	if _, ok := g.Round(ms(1000)); ok {
		t.Error("a round with nothing in it")
	}
	ask := func(seq uint64, now int) (id uint64) {
		t.Helper()
		if err := g.Asked(s, Renewal{"a1", 1, seq}, ms(now)); err != nil {
			t.Fatal(err)
		}
		id, ok := g.Round(ms(now))
		if !ok {
			t.Fatal("no round")
		}
		return id
	}
	first := ask(1, 1100)
	second := ask(2, 1500)
	if got := g.Confirmed(s, second); !cmp.Equal(got, []Grant{{"a1", 1, 2, MeshTerms.Length}}) {
		t.Error(got)
	}
	if got := g.Confirmed(s, first); got != nil {
		t.Error("granted twice", got)
	}
	late := ask(3, 1600)
	for now := 1700; ms(now) < ms(1600)+MeshTerms.Patience(); now += 100 {
		if e := g.Over(s, ms(now)); e != nil {
			t.Fatal("over at", now)
		}
	}
	now := ms(1600) + MeshTerms.Patience()
	if e := g.Over(s, now); !cmp.Equal(e, []Entry{{Kind: Lost, Box: "a1", Life: 1}}) || !e[0].InTerm() {
		t.Fatal(e)
	}
	if g.Over(s, now) != nil || g.Confirmed(s, late) != nil || g.Asked(s, Renewal{"a1", 1, 4}, now) == nil {
		t.Error("proposed twice, or granted after it was proposed")
	}
	g.Refused("a1", 1)
	four := ask(4, int(now/time.Millisecond))
	g.Lead(6, now) // an older term's rounds are worth nothing
	if g.Confirmed(s, four) != nil {
		t.Error("granted in another term")
	}
	for i := range maxRounds {
		ask(uint64(5+i), int(now/time.Millisecond)+i)
	}
	g.Asked(s, Renewal{"a1", 1, 99}, now)
	if _, ok := g.Round(now + MeshTerms.Length); ok {
		t.Error("rounds without a bound")
	}
	five, ok := g.Round(now + MeshTerms.Length + 1)
	if !ok {
		t.Error("a round that is too old holds up the others")
	}
	// It was asked for before an older leader's entry was applied here.
	if err := s.Apply(2, &Entry{Kind: Lost, Box: "a1", Life: 1}); err != nil || g.Confirmed(s, five) != nil {
		t.Error("granted to one who is lost", err)
	}
	if g.Lead(7, now); g.Over(s, now) != nil || g.Over(s, now+MeshTerms.Length/2) != nil || g.Over(s, now+MeshTerms.Length) != nil || g.Over(s, now+MeshTerms.Length*3/2) != nil {
		t.Error("lost again")
	}
	// A leader that was stopped gives everybody a new start.
	if err := s.Apply(3, &Entry{Kind: Live, Box: "a1", Incarnation: 3}); err != nil || g.Over(s, now+2*MeshTerms.Length) != nil || g.Over(s, now+4*MeshTerms.Length) != nil {
		t.Error("lost while the leader was stopped", err)
	}
}
