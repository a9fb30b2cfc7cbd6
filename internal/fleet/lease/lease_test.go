package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// registered returns a state in which a server is registered under token 1.
func registered(t *testing.T, name string) *State {
	t.Helper()
	s := &State{}
	if err := s.Apply(1, &Entry{Kind: Live, Box: name, Zone: "a", Incarnation: 3}); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestApply(t *testing.T) {
	long := string(make([]byte, 300))
	for _, test := range []struct {
		name    string
		before  *Entry
		e       Entry
		err     error
		changes bool
	}{
		{name: "repeated registration", e: Entry{Kind: Live, Box: "a1", Incarnation: 3}},
		{name: "registration of a new process", e: Entry{Kind: Live, Box: "a1", Incarnation: 4}, changes: true},
		{name: "registration of an old process", e: Entry{Kind: Live, Box: "a1", Incarnation: 2}, err: ErrLife},
		{name: "no incarnation", e: Entry{Kind: Live, Box: "a1"}, err: ErrInvalid},
		{name: "no name", e: Entry{Kind: Live, Incarnation: 1}, err: ErrInvalid},
		{name: "long pool address", e: Entry{Kind: Live, Box: "a2", Incarnation: 1, Pool: long}, err: ErrInvalid},
		{name: "expired", e: Entry{Kind: Lost, Box: "a1", Life: 1}, changes: true},
		{name: "another token expired", e: Entry{Kind: Lost, Box: "a1", Life: 2}, err: ErrLife},
		{name: "unknown server expired", e: Entry{Kind: Lost, Box: "a2", Life: 1}, err: ErrUnknown},
		{name: "removed while registered", e: Entry{Kind: Gone, Box: "a1"}, err: ErrHolds},
		{name: "expired twice", before: &Entry{Kind: Lost, Box: "a1", Life: 1},
			e: Entry{Kind: Lost, Box: "a1", Life: 1}, err: ErrLife},
		{name: "registered again", before: &Entry{Kind: Lost, Box: "a1", Life: 1},
			e: Entry{Kind: Live, Box: "a1", Incarnation: 3}, changes: true},
		{name: "removed after expiry", before: &Entry{Kind: Lost, Box: "a1", Life: 1},
			e: Entry{Kind: Gone, Box: "a1"}, changes: true},
		{name: "no entry kind", e: Entry{Box: "a1"}, err: ErrInvalid},
	} {
		s := registered(t, "a1")
		if test.before != nil {
			if err := s.Apply(2, test.before); err != nil {
				t.Fatal(test.name, err)
			}
		}
		before := s.Clone()
		if err := s.Apply(9, &test.e); !errors.Is(err, test.err) {
			t.Errorf("%s: %v, want %v", test.name, err, test.err)
		}
		if before.Index = 9; cmp.Equal(before, *s) == test.changes {
			t.Errorf("%s: %s", test.name, cmp.Diff(before, *s))
		}
		if test.changes && s.Epoch != 9 || test.e.Kind == Live && test.changes && !s.Lives("a1", 9) {
			t.Errorf("%s: %+v", test.name, s)
		}
	}
	s := &State{}
	for i := range MaxBoxes + 1 {
		if err := s.Apply(uint64(i+1),
			&Entry{Kind: Live, Box: fmt.Sprint("b", MaxBoxes-i), Incarnation: 1}); (err != nil) != (i == MaxBoxes) {
			t.Fatal(i, err)
		}
	}
}

// A lease runs from the moment its renewal was sent, whether grants are late, repeated, out of order or for another
// token.
func TestHolder(t *testing.T) {
	holder := NewHolder("a1", MeshTerms)
	if _, ok := holder.AskNow(0); ok {
		t.Error("renews without a token")
	}
	if _, ok := holder.Ask(0); ok || holder.Holds(0) {
		t.Error("renews or holds a lease without a token")
	}
	holder.Live(7, ms(100))
	firstRenewal, _ := holder.Ask(ms(100))
	if _, ok := holder.Ask(ms(100) + MeshTerms.Every - 1); ok {
		t.Error("renews too early")
	}
	secondRenewal, ok := holder.Ask(ms(100) + MeshTerms.Every)
	if !ok || firstRenewal.Seq >= secondRenewal.Seq {
		t.Error(firstRenewal, secondRenewal, ok)
	}
	if now, ok := holder.AskNow(ms(100) + MeshTerms.Every); !ok || now.Seq <= secondRenewal.Seq {
		t.Error(now, ok)
	} else {
		secondRenewal = now
	}
	end := ms(100) + MeshTerms.Every + MeshTerms.Length
	grant := func(r Renewal) Grant { return Grant{r.Box, r.Life, r.Seq, MeshTerms.Length} }
	for _, test := range []struct {
		grant Grant
		until time.Duration
	}{
		{Grant{"a2", 7, secondRenewal.Seq, MeshTerms.Length}, 0},
		{Grant{"a1", 6, secondRenewal.Seq, MeshTerms.Length}, 0},
		{Grant{"a1", 7, secondRenewal.Seq + 1, MeshTerms.Length}, 0}, {Grant{"a1", 7, 0, MeshTerms.Length}, 0},
		{grant(firstRenewal), ms(100) + MeshTerms.Length}, {grant(secondRenewal), end}, {grant(firstRenewal), end},
		{Grant{"a1", 7, secondRenewal.Seq, time.Hour}, end},
	} {
		if holder.Granted(test.grant); holder.Until() != test.until {
			t.Errorf("%+v: until %v", test.grant, holder.Until())
		}
	}
	if !holder.Holds(end-1) || holder.Holds(end) {
		t.Errorf("the lease does not end at %v", end)
	}
	for now := end; now < end+2*MeshTerms.Length; now += MeshTerms.Every {
		holder.Ask(now)
	}
	if holder.Granted(grant(firstRenewal)); holder.Until() != end {
		t.Error("an old grant counts for another renewal")
	}
	holder.Live(7, end+2*MeshTerms.Length)
	if holder.Until() == 0 {
		t.Error("repeating the token ended the lease")
	}
	holder.Live(8, ms(8000))
	if holder.Until() != 0 {
		t.Error("a new token inherited the previous lease")
	}
	holder.Lost()
	if holder.Granted(grant(secondRenewal)); holder.Holds(0) || holder.Life() != 0 {
		t.Error("holds a lease after it was dropped")
	}
}

func TestGranter(t *testing.T) {
	state := registered(t, "a1")
	granter := NewGranter(MeshTerms)
	renewal := Renewal{"a1", 1, 1}
	if err := granter.Asked(state, renewal, 0); !errors.Is(err, ErrFollows) {
		t.Error(err)
	}
	granter.Lead(5, ms(1000))
	for _, bad := range []Renewal{{"a2", 1, 1}, {"a1", 2, 1}} {
		if err := granter.Asked(state, bad, ms(1000)); err == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
	if _, ok := granter.Round(ms(1000)); ok {
		t.Error("a round without renewals")
	}
	ask := func(seq uint64, now int) (id uint64) {
		t.Helper()
		if err := granter.Asked(state, Renewal{"a1", 1, seq}, ms(now)); err != nil {
			t.Fatal(err)
		}
		id, ok := granter.Round(ms(now))
		if !ok {
			t.Fatal("no round")
		}
		return id
	}
	firstRound := ask(1, 1100)
	secondRound := ask(2, 1500)
	if got := granter.Confirmed(state, secondRound); !cmp.Equal(got, []Grant{{"a1", 1, 2, MeshTerms.Length}}) {
		t.Error(got)
	}
	if got := granter.Confirmed(state, firstRound); got != nil {
		t.Error("granted twice", got)
	}
	lateRound := ask(3, 1600)
	for now := 1700; ms(now) < ms(1600)+MeshTerms.Patience(); now += 100 {
		if entries := granter.Over(state, ms(now)); entries != nil {
			t.Fatal("expired at", now)
		}
	}
	now := ms(1600) + MeshTerms.Patience()
	if entries := granter.Over(state, now); !cmp.Equal(entries, []Entry{{Kind: Lost, Box: "a1", Life: 1}}) ||
		!entries[0].InTerm() {
		t.Fatal(entries)
	}
	if granter.Over(state, now) != nil || granter.Confirmed(state, lateRound) != nil ||
		granter.Asked(state, Renewal{"a1", 1, 4}, now) == nil {
		t.Error("proposed twice, or granted after it was proposed")
	}
	granter.Refused("a1", 1)
	staleRound := ask(4, int(now/time.Millisecond))
	granter.Lead(6, now) // rounds of an earlier term must not be confirmed
	if granter.Confirmed(state, staleRound) != nil {
		t.Error("granted in another term")
	}
	for i := range maxRounds {
		ask(uint64(5+i), int(now/time.Millisecond)+i)
	}
	granter.Asked(state, Renewal{"a1", 1, 99}, now)
	if _, ok := granter.Round(now + MeshTerms.Length); ok {
		t.Error("the number of rounds is not bounded")
	}
	newRound, ok := granter.Round(now + MeshTerms.Length + 1)
	if !ok {
		t.Error("a round that is too old blocks the others")
	}
	// The renewal came before an earlier leader's entry was applied here.
	if err := state.Apply(2, &Entry{Kind: Lost, Box: "a1", Life: 1}); err != nil || granter.Confirmed(state, newRound) != nil {
		t.Error("granted to an expired server", err)
	}
	if granter.Lead(7, now); granter.Over(state, now) != nil || granter.Over(state, now+MeshTerms.Length/2) != nil ||
		granter.Over(state, now+MeshTerms.Length) != nil || granter.Over(state, now+MeshTerms.Length*3/2) != nil {
		t.Error("expired again")
	}
	// After a leader was stopped, every server counts as renewed again.
	if err := state.Apply(3, &Entry{Kind: Live, Box: "a1", Incarnation: 3}); err != nil ||
		granter.Over(state, now+2*MeshTerms.Length) != nil || granter.Over(state, now+4*MeshTerms.Length) != nil {
		t.Error("expired while the leader was stopped", err)
	}
}
