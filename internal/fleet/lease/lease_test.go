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
	if err := s.Apply(1, &Entry{Kind: Registered, Box: name, Zone: "a", Incarnation: 3}); err != nil {
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
		{name: "repeated registration", e: Entry{Kind: Registered, Box: "a1", Incarnation: 3}},
		{name: "registration of a new process", e: Entry{Kind: Registered, Box: "a1", Incarnation: 4}, changes: true},
		{name: "registration of an old process", e: Entry{Kind: Registered, Box: "a1", Incarnation: 2}, err: ErrStaleToken},
		{name: "no incarnation", e: Entry{Kind: Registered, Box: "a1"}, err: ErrInvalid},
		{name: "no name", e: Entry{Kind: Registered, Incarnation: 1}, err: ErrInvalid},
		{name: "long pool address", e: Entry{Kind: Registered, Box: "a2", Incarnation: 1, Pool: long}, err: ErrInvalid},
		{name: "expired", e: Entry{Kind: Expired, Box: "a1", Life: 1}, changes: true},
		{name: "another token expired", e: Entry{Kind: Expired, Box: "a1", Life: 2}, err: ErrStaleToken},
		{name: "unknown server expired", e: Entry{Kind: Expired, Box: "a2", Life: 1}, err: ErrUnknown},
		{name: "removed while registered", e: Entry{Kind: Removed, Box: "a1"}, err: ErrNotExpired},
		{name: "expired twice", before: &Entry{Kind: Expired, Box: "a1", Life: 1},
			e: Entry{Kind: Expired, Box: "a1", Life: 1}, err: ErrStaleToken},
		{name: "registered again", before: &Entry{Kind: Expired, Box: "a1", Life: 1},
			e: Entry{Kind: Registered, Box: "a1", Incarnation: 3}, changes: true},
		{name: "removed after expiry", before: &Entry{Kind: Expired, Box: "a1", Life: 1},
			e: Entry{Kind: Removed, Box: "a1"}, changes: true},
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
		if test.changes && s.Epoch != 9 || test.e.Kind == Registered && test.changes && !s.IsCurrent("a1", 9) {
			t.Errorf("%s: %+v", test.name, s)
		}
	}
	s := &State{}
	for i := range MaxBoxes + 1 {
		if err := s.Apply(uint64(i+1),
			&Entry{Kind: Registered, Box: fmt.Sprint("b", MaxBoxes-i), Incarnation: 1}); (err != nil) != (i == MaxBoxes) {
			t.Fatal(i, err)
		}
	}
}

// A lease runs from the moment its renewal was sent, whether grants are late, repeated, out of order or for another
// token.
func TestHolder(t *testing.T) {
	holder := NewHolder("a1", MeshTerms)
	if _, ok := holder.RenewNow(0); ok {
		t.Error("renews without a token")
	}
	if _, ok := holder.NextRenewal(0); ok || holder.Holds(0) {
		t.Error("renews or holds a lease without a token")
	}
	holder.SetToken(7, ms(100))
	firstRenewal, _ := holder.NextRenewal(ms(100))
	if _, ok := holder.NextRenewal(ms(100) + MeshTerms.RenewInterval - 1); ok {
		t.Error("renews too early")
	}
	secondRenewal, ok := holder.NextRenewal(ms(100) + MeshTerms.RenewInterval)
	if !ok || firstRenewal.Seq >= secondRenewal.Seq {
		t.Error(firstRenewal, secondRenewal, ok)
	}
	if now, ok := holder.RenewNow(ms(100) + MeshTerms.RenewInterval); !ok || now.Seq <= secondRenewal.Seq {
		t.Error(now, ok)
	} else {
		secondRenewal = now
	}
	end := ms(100) + MeshTerms.RenewInterval + MeshTerms.Length
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
		if holder.AcceptGrant(test.grant); holder.LeaseEnd() != test.until {
			t.Errorf("%+v: until %v", test.grant, holder.LeaseEnd())
		}
	}
	if !holder.Holds(end-1) || holder.Holds(end) {
		t.Errorf("the lease does not end at %v", end)
	}
	for now := end; now < end+2*MeshTerms.Length; now += MeshTerms.RenewInterval {
		holder.NextRenewal(now)
	}
	if holder.AcceptGrant(grant(firstRenewal)); holder.LeaseEnd() != end {
		t.Error("an old grant counts for another renewal")
	}
	holder.SetToken(7, end+2*MeshTerms.Length)
	if holder.LeaseEnd() == 0 {
		t.Error("repeating the token ended the lease")
	}
	holder.SetToken(8, ms(8000))
	if holder.LeaseEnd() != 0 {
		t.Error("a new token inherited the previous lease")
	}
	holder.DropToken()
	if holder.AcceptGrant(grant(secondRenewal)); holder.Holds(0) || holder.Token() != 0 {
		t.Error("holds a lease after it was dropped")
	}
}

func TestGranter(t *testing.T) {
	state := registered(t, "a1")
	granter := NewGranter(MeshTerms)
	renewal := Renewal{"a1", 1, 1}
	if err := granter.Renew(state, renewal, 0); !errors.Is(err, ErrNotLeader) {
		t.Error(err)
	}
	granter.Lead(5, ms(1000))
	for _, bad := range []Renewal{{"a2", 1, 1}, {"a1", 2, 1}} {
		if err := granter.Renew(state, bad, ms(1000)); err == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
	if _, ok := granter.BeginRound(ms(1000)); ok {
		t.Error("a round without renewals")
	}
	ask := func(seq uint64, now int) (id uint64) {
		t.Helper()
		if err := granter.Renew(state, Renewal{"a1", 1, seq}, ms(now)); err != nil {
			t.Fatal(err)
		}
		id, ok := granter.BeginRound(ms(now))
		if !ok {
			t.Fatal("no round")
		}
		return id
	}
	firstRound := ask(1, 1100)
	secondRound := ask(2, 1500)
	if got := granter.ConfirmRound(state, secondRound); !cmp.Equal(got, []Grant{{"a1", 1, 2, MeshTerms.Length}}) {
		t.Error(got)
	}
	if got := granter.ConfirmRound(state, firstRound); got != nil {
		t.Error("granted twice", got)
	}
	lateRound := ask(3, 1600)
	for now := 1700; ms(now) < ms(1600)+MeshTerms.ExpiryDelay(); now += 100 {
		if entries := granter.ExpiredServers(state, ms(now)); entries != nil {
			t.Fatal("expired at", now)
		}
	}
	now := ms(1600) + MeshTerms.ExpiryDelay()
	if entries := granter.ExpiredServers(state, now); !cmp.Equal(entries, []Entry{{Kind: Expired, Box: "a1", Life: 1}}) ||
		!entries[0].InTerm() {
		t.Fatal(entries)
	}
	if granter.ExpiredServers(state, now) != nil || granter.ConfirmRound(state, lateRound) != nil ||
		granter.Renew(state, Renewal{"a1", 1, 4}, now) == nil {
		t.Error("proposed twice, or granted after it was proposed")
	}
	granter.ProposalFailed("a1", 1)
	staleRound := ask(4, int(now/time.Millisecond))
	granter.Lead(6, now) // rounds of an earlier term must not be confirmed
	if granter.ConfirmRound(state, staleRound) != nil {
		t.Error("granted in another term")
	}
	for i := range maxRounds {
		ask(uint64(5+i), int(now/time.Millisecond)+i)
	}
	granter.Renew(state, Renewal{"a1", 1, 99}, now)
	if _, ok := granter.BeginRound(now + MeshTerms.Length); ok {
		t.Error("the number of rounds is not bounded")
	}
	newRound, ok := granter.BeginRound(now + MeshTerms.Length + 1)
	if !ok {
		t.Error("a round that is too old blocks the others")
	}
	// The renewal came before an earlier leader's entry was applied here.
	if err := state.Apply(2, &Entry{Kind: Expired, Box: "a1", Life: 1}); err != nil || granter.ConfirmRound(state, newRound) != nil {
		t.Error("granted to an expired server", err)
	}
	if granter.Lead(7, now); granter.ExpiredServers(state, now) != nil || granter.ExpiredServers(state, now+MeshTerms.Length/2) != nil ||
		granter.ExpiredServers(state, now+MeshTerms.Length) != nil || granter.ExpiredServers(state, now+MeshTerms.Length*3/2) != nil {
		t.Error("expired again")
	}
	// After a leader was stopped, every server counts as renewed again.
	if err := state.Apply(3, &Entry{Kind: Registered, Box: "a1", Incarnation: 3}); err != nil ||
		granter.ExpiredServers(state, now+2*MeshTerms.Length) != nil || granter.ExpiredServers(state, now+4*MeshTerms.Length) != nil {
		t.Error("expired while the leader was stopped", err)
	}
}
