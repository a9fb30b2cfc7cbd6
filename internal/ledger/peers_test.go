package ledger

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// firstPeriod is the name of the period that starts at 15:00 local time, which contains start.
const firstPeriod = "2026-12-01T15+0530"

// newPeerBook returns the ledger of a server, which retains 10 periods.
func newPeerBook(t testing.TB, box string) *Book {
	t.Helper()
	p := testPolicy(t, "hour", "Asia/Kolkata")
	p.Keep = 10
	b := NewBook(box, ID{box[1]}, p, start)
	names, err := b.ProposeNames([]string{"", "north", "south"}, []string{"quote", "book"})
	mustApply(t, b, names, err)
	mustApply(t, b, b.ProposeStart(Start{At: start, Strict: true, Boot: "x"}), nil)
	return b
}

// fetchStates fetches the states of one server into the table of another, as package peers does over the network.
func fetchStates(peers *Peers, ledger *Book, others []Digest) error {
	digests, states := ledger.PeriodStates()
	fetch, err := peers.Compare(ledger.Box, append(slices.Clone(digests), others...))
	for _, d := range fetch {
		i := slices.Index(digests, d)
		if err == nil {
			err = peers.Take(ledger.Box, d, states[i])
		}
	}
	return err
}

// Use, corrections, batches and exchanges between three servers come in random order. After a last exchange with all
// others, every server has the same statement, and the exported batches yield it too.
func TestPeersHoldTheSameStatement(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		books := []*Book{newPeerBook(t, "n1"), newPeerBook(t, "n2"), newPeerBook(t, "n3")}
		tables := []*Peers{NewPeers("n1"), NewPeers("n2"), NewPeers("n3")}
		var exports Exports
		round := func(i, j int) {
			if i != j {
				if err := fetchStates(tables[i], books[j], tables[j].Digests()); err != nil {
					r.Fatal(err)
				}
			}
		}
		r.Repeat(map[string]func(*rapid.T){
			"use": func(r *rapid.T) {
				b := rapid.SampledFrom(books).Draw(r, "box")
				mustApply(t, b, EntriesRecord([]Entry{entry(start+rapid.Int64Range(1000, 3*hour).Draw(r, "at"), uint16(rapid.IntRange(0, 2).Draw(r, "stand")), ServedInAim)}), nil)
			},
			"seal": func(r *rapid.T) { exports.Add(sealBatch(t, rapid.SampledFrom(books).Draw(r, "box"), start)) },
			"correct": func(r *rapid.T) {
				b := rapid.SampledFrom(books).Draw(r, "box")
				id := fmt.Sprint("c", rapid.IntRange(0, 3).Draw(r, "id"))
				rec, err := b.ProposeCorrection(Correction{ID: id, Reason: "r", Period: firstPeriod, Stand: "north", Figures: Figures{0, 1}}, start)
				if rec != nil {
					mustApply(t, b, rec, err)
				}
			},
			"round": func(r *rapid.T) {
				round(rapid.IntRange(0, 2).Draw(r, "to"), rapid.IntRange(0, 2).Draw(r, "from"))
			},
		})
		for _, b := range books {
			mustApply(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedLate)}), nil)
			mustApply(t, b, b.ProposeClose(start+5*hour), nil)
			exports.Add(sealBatch(t, b, start))
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
				// A correction recorded at two servers appears once, from either of them.
				if diff := cmp.Diff(want, got); diff != "" {
					r.Fatalf("statement of %s at %s (-exports +peers):\n%s", p.Name, b.Box, diff)
				}
			}
		}
	})
}

// A peer whose files are older than before, that reports another server's state, changes a closed period or serves a
// state other than its digest is detected. The states received before are kept.
func TestInconsistentPeers(t *testing.T) {
	n2 := newPeerBook(t, "n2")
	mustApply(t, n2, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
	sealBatch(t, n2, start)
	old := n2.Snapshot()
	mustApply(t, n2, EntriesRecord([]Entry{entry(start+2000, 1, ServedInAim)}), nil)
	sealBatch(t, n2, start)
	mustApply(t, n2, n2.ProposeClose(start+2*hour), nil)
	sealBatch(t, n2, start)
	digests, states := n2.PeriodStates()
	newPeers := func() *Peers {
		p := NewPeers("n1")
		if err := fetchStates(p, n2, nil); err != nil {
			t.Fatal(err)
		}
		return p
	}
	wrong := digests[0]
	wrong.Hash = Hash{1}
	foreign := digests[0]
	foreign.Box = "n3"
	for name, test := range map[string]struct {
		do    func(*Peers) error
		want  error
		doubt string
	}{
		"older files": {func(p *Peers) error {
			b := newPeerBook(t, "n2")
			mustApply(t, b, old, nil)
			return fetchStates(p, b, nil)
		}, ErrOld, "n2 tells batch 1 after batch 3: its files are older than they were"},
		"reports another server's state": {func(p *Peers) error { return p.Take("n3", foreign, states[0]) }, ErrNotIts, "n3 speaks for n2"},
		"changes a closed period": {func(p *Peers) error {
			b := newPeerBook(t, "n2")
			mustApply(t, b, n2.Snapshot(), nil)
			for _, s := range b.cells {
				s.total[Worth]++
			}
			return fetchStates(p, b, nil)
		}, ErrChange, "n2 changed its closed period " + firstPeriod},
		"a state that does not match its digest": {func(p *Peers) error { return p.Take("n2", wrong, states[0]) }, ErrRecord, ""},
		"a wrong digest of another server": {func(p *Peers) error {
			_, err := p.Compare("n3", []Digest{wrong})
			return err
		}, nil, "n3 says of n2 what n2 did not say"},
		"garbage": {func(p *Peers) error { return p.Take("n2", digests[0], []byte("x")) }, ErrRecord, ""},
	} {
		p := newPeers()
		before := p.Digests()
		if err := test.do(p); !errors.Is(err, test.want) {
			t.Errorf("%s: %v", name, err)
		}
		want := []string(nil)
		if test.doubt != "" {
			want = []string{test.doubt}
		}
		if !cmp.Equal(want, p.Doubts()) || !cmp.Equal(before, p.Digests()) {
			t.Errorf("%s: %v", name, p.Doubts())
		}
		s, err := p.Statement(firstPeriod, nil, nil, nil)
		if err != nil || s.Complete || // n1 itself has not closed the period
			s.Total.Used[Requests] != 2 {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
	}
}

// The statement is incomplete if a server dropped the period before its state was fetched.
func TestPeerDroppedThePeriod(t *testing.T) {
	n1, n2 := newPeerBook(t, "n1"), newPeerBook(t, "n2")
	for _, b := range []*Book{n1, n2} {
		mustApply(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
		mustApply(t, b, b.ProposeClose(start+2*hour), nil)
		sealBatch(t, b, start)
	}
	n2.policy.Keep = 0
	n2.dropOldPeriods()
	p := NewPeers("n1")
	if err := fetchStates(p, n2, nil); err != nil {
		t.Fatal(err)
	}
	own, states := n1.PeriodStates()
	s, err := p.Statement(firstPeriod, own, states, []string{"n2"})
	if want := []string{"n2 may have forgotten the period before it was asked"}; err != nil || !cmp.Equal(s.Why, want) {
		t.Errorf("%v, %v", s.Why, err)
	}
}

// Arbitrary bytes from a peer cause no panic.
func FuzzPeers(f *testing.F) {
	digests, states := newPeerBook(f, "n2").PeriodStates()
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
