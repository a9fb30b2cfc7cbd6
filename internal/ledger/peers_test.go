package ledger

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const fifteen = "2026-12-01T15+0530"

func named(t testing.TB, box string) *Book {
	t.Helper()
	p := policy(t, "hour", "Asia/Kolkata")
	p.Keep = 10
	b := NewBook(box, ID{box[1]}, p, start)
	names, err := b.ProposeNames([]string{"", "north", "south"}, []string{"quote", "book"})
	apply1(t, b, names, err)
	apply1(t, b, b.ProposeStart(Start{At: start, Strict: true, Boot: "x"}), nil)
	return b
}

// sync has to ask from, as the network would.
func sync(to *Peers, from *Book, others []Digest) error {
	digests, states := from.PeriodStates()
	fetch, err := to.Compare(from.Box, append(slices.Clone(digests), others...))
	for _, d := range fetch {
		i := slices.Index(digests, d)
		if err == nil {
			err = to.Take(from.Box, d, states[i])
		}
	}
	return err
}

// However use, seals and rounds follow each other, boxes that asked everybody last hold the same statement, and
// it is what the exports say.
func TestPeersHoldTheSameStatement(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		books := []*Book{named(t, "n1"), named(t, "n2"), named(t, "n3")}
		tables := []*Peers{NewPeers("n1"), NewPeers("n2"), NewPeers("n3")}
		var exports Exports
		round := func(i, j int) {
			if i != j {
				if err := sync(tables[i], books[j], tables[j].Digests()); err != nil {
					r.Fatal(err)
				}
			}
		}
		r.Repeat(map[string]func(*rapid.T){
			"use": func(r *rapid.T) {
				b := rapid.SampledFrom(books).Draw(r, "box")
				apply1(t, b, EntriesRecord([]Entry{entry(start+rapid.Int64Range(1000, 3*hour).Draw(r, "at"), uint16(rapid.IntRange(0, 2).Draw(r, "stand")), ServedInAim)}), nil)
			},
			"seal": func(r *rapid.T) { exports.Add(seal(t, rapid.SampledFrom(books).Draw(r, "box"), start)) },
			"correct": func(r *rapid.T) {
				b := rapid.SampledFrom(books).Draw(r, "box")
				id := fmt.Sprint("c", rapid.IntRange(0, 3).Draw(r, "id"))
				rec, err := b.ProposeCorrection(Correction{ID: id, Reason: "r", Period: fifteen, Stand: "north", Figures: Figures{0, 1}}, start)
				if rec != nil {
					apply1(t, b, rec, err)
				}
			},
			"round": func(r *rapid.T) {
				round(rapid.IntRange(0, 2).Draw(r, "to"), rapid.IntRange(0, 2).Draw(r, "from"))
			},
		})
		for _, b := range books {
			apply1(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedLate)}), nil)
			apply1(t, b, b.ProposeClose(start+5*hour), nil)
			exports.Add(seal(t, b, start))
		}
		for i := range 3 {
			for j := range 3 {
				round(i, j)
			}
		}
		f := exports.Reconcile()
		for _, p := range f.Periods() {
			want, err := f.Statement(p.Name, Expect{})
			if err != nil {
				r.Fatal(err)
			}
			for i, b := range books {
				own, states := b.PeriodStates()
				got, err := tables[i].Statement(p.Name, own, states, []string{"n1", "n2", "n3"})
				if err != nil {
					r.Fatal(err)
				}
				// An adjustment that two boxes have is either's: only when it was booked differs.
				if diff := cmp.Diff(want, got); diff != "" {
					r.Fatalf("%s at %s: exports -, peers +\n%s", p.Name, b.Box, diff)
				}
			}
		}
	})
}

// A peer that is old, speaks for another, changes what it closed, or tells one thing and hands out another is
// found out; what was held of the others stays.
func TestPeersThatLie(t *testing.T) {
	n2 := named(t, "n2")
	apply1(t, n2, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
	seal(t, n2, start)
	old := n2.Snapshot()
	apply1(t, n2, EntriesRecord([]Entry{entry(start+2000, 1, ServedInAim)}), nil)
	seal(t, n2, start)
	apply1(t, n2, n2.ProposeClose(start+2*hour), nil)
	seal(t, n2, start)
	digests, states := n2.PeriodStates()
	fresh := func() *Peers {
		p := NewPeers("n1")
		if err := sync(p, n2, nil); err != nil {
			t.Fatal(err)
		}
		return p
	}
	lie := digests[0]
	lie.Hash = Hash{1}
	foreign := digests[0]
	foreign.Box = "n3"
	for name, x := range map[string]struct {
		do    func(*Peers) error
		want  error
		doubt string
	}{
		"old files": {func(p *Peers) error {
			b := named(t, "n2")
			apply1(t, b, old, nil)
			return sync(p, b, nil)
		}, ErrOld, "n2 tells batch 1 after batch 3: its files are older than they were"},
		"speaks for another": {func(p *Peers) error { return p.Take("n3", foreign, states[0]) }, ErrNotIts, "n3 speaks for n2"},
		"changes a closed period": {func(p *Peers) error {
			b := named(t, "n2")
			apply1(t, b, n2.Snapshot(), nil)
			for _, s := range b.cells {
				s.total[Worth]++
			}
			return sync(p, b, nil)
		}, ErrChange, "n2 changed its closed period " + fifteen},
		"another state than told": {func(p *Peers) error { return p.Take("n2", lie, states[0]) }, ErrRecord, ""},
		"lies about another": {func(p *Peers) error {
			_, err := p.Compare("n3", []Digest{lie})
			return err
		}, nil, "n3 says of n2 what n2 did not say"},
		"garbage": {func(p *Peers) error { return p.Take("n2", digests[0], []byte("x")) }, ErrRecord, ""},
	} {
		p := fresh()
		was := p.Digests()
		if err := x.do(p); !errors.Is(err, x.want) {
			t.Errorf("%s: %v", name, err)
		}
		want := []string(nil)
		if x.doubt != "" {
			want = []string{x.doubt}
		}
		if !cmp.Equal(want, p.Doubts()) || !cmp.Equal(was, p.Digests()) {
			t.Errorf("%s: %v", name, p.Doubts())
		}
		s, err := p.Statement(fifteen, nil, nil, nil)
		if err != nil || s.Complete || // n1 itself has not closed it
			s.Total.Used[Requests] != 2 {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
	}
}

// A box that has forgotten a period before anybody asked leaves the statement incomplete.
func TestPeerThatHasForgotten(t *testing.T) {
	n1, n2 := named(t, "n1"), named(t, "n2")
	for _, b := range []*Book{n1, n2} {
		apply1(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
		apply1(t, b, b.ProposeClose(start+2*hour), nil)
		seal(t, b, start)
	}
	n2.policy.Keep = 0
	n2.forget()
	p := NewPeers("n1")
	if err := sync(p, n2, nil); err != nil {
		t.Fatal(err)
	}
	own, states := n1.PeriodStates()
	s, err := p.Statement(fifteen, own, states, []string{"n2"})
	if want := []string{"n2 may have forgotten the period before it was asked"}; err != nil || !cmp.Equal(s.Why, want) {
		t.Errorf("%v, %v", s.Why, err)
	}
}

func FuzzPeers(f *testing.F) {
	digests, states := named(f, "n2").PeriodStates()
	f.Add(EncodeDigests(digests))
	for _, s := range states {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p := NewPeers("n1")
		if list, err := DecodeDigests(b); err == nil {
			p.Compare("n2", list)
		}
		p.Take("n2", Digest{Box: "n2", Hash: SumOf(b)}, b)
	})
}
