package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// PeriodState is what a box has sealed of a period, as it tells its peers. Its encoding is one for one content,
// so that equal digests are equal states.
type PeriodState struct {
	Version     int          `cbor:"1,keyasint"`
	Box         string       `cbor:"2,keyasint"`
	Ledger      ID           `cbor:"3,keyasint"`
	Period      Period       `cbor:"4,keyasint"`
	Closed      bool         `cbor:"5,keyasint"`
	Lines       []Line       `cbor:"6,keyasint,omitempty"`
	Adjustments []Adjustment `cbor:"7,keyasint,omitempty"`
	Missing     []Missing    `cbor:"8,keyasint,omitempty"`
	Unclean     []Unclean    `cbor:"9,keyasint,omitempty"`
}

// Digest names the state of one period of one box. Seq is the box's newest batch when it told, and all periods that
// end by Closed are closed there. A box that knows no period tells one with Start 0 and no hash.
type Digest struct {
	Box    string `cbor:"1,keyasint" json:"box"`
	Ledger ID     `cbor:"2,keyasint" json:"ledger"`
	Start  int64  `cbor:"3,keyasint" json:"start_ms"`
	Seq    uint64 `cbor:"4,keyasint" json:"seq"`
	Hash   Hash   `cbor:"5,keyasint" json:"hash"`
	Closed int64  `cbor:"6,keyasint" json:"closed_ms"`
	Gone   int64  `cbor:"7,keyasint" json:"gone_ms"` // periods that end by then may not be told any longer
}

// EncodeDigests and DecodeDigests are the form in which digests travel.
func EncodeDigests(list []Digest) []byte { return encode(list) }

// DecodeDigests reads digests again.
func DecodeDigests(b []byte) ([]Digest, error) { return decode[[]Digest](b) }

// PeriodStates gives the sealed part of all known periods, each encoded, with its digest.
func (b *Book) PeriodStates() (digests []Digest, states [][]byte) {
	for _, p := range b.Periods() {
		s := PeriodState{Version: batchVersion, Box: b.Box, Ledger: b.ID, Period: p, Closed: p.End <= b.told, Unclean: b.unclean[:b.uncleanOut]}
		var cells []Cell
		for c := range b.cells {
			if c.Period == p.Start {
				cells = append(cells, c)
			}
		}
		slices.SortFunc(cells, Cell.compare)
		for _, c := range cells {
			v := b.cells[c]
			neg, _ := v.waiting.Neg() // both were added to without an overflow
			if f, err := v.total.Add(neg); err == nil && !f.Zero() {
				s.Lines = append(s.Lines, Line{0, b.stands[c.Stand], b.classes[c.Class], c.End, c.Replay, c.Late, f})
			}
		}
		for _, a := range b.corrections {
			if a.Lands.Start == p.Start && !slices.Contains(b.adjusted, a.Correction.ID) {
				s.Adjustments = append(s.Adjustments, *a)
			}
		}
		slices.SortFunc(s.Adjustments, func(x, y Adjustment) int { return cmp.Compare(x.Correction.ID, y.Correction.ID) })
		for _, g := range b.gapKeys() {
			if n := b.gaps[g]; g.period == p.Start && n[0] > n[1] {
				s.Missing = append(s.Missing, Missing{0, b.stands[g.stand], n[0] - n[1]})
			}
		}
		bytes := encode(s)
		states = append(states, bytes)
		digests = append(digests, Digest{b.Box, b.ID, p.Start, b.seq, SumOf(bytes), b.told, b.forgotten})
	}
	if len(digests) == 0 {
		return []Digest{{Box: b.Box, Ledger: b.ID, Seq: b.seq, Closed: b.told, Gone: b.forgotten}}, [][]byte{nil}
	}
	return digests, states
}

// decodeState reads a state and checks what it says of itself.
func decodeState(bytes []byte) (*PeriodState, error) {
	if len(bytes) > MaxBatch {
		return nil, fmt.Errorf("%w: a state of %d bytes", ErrRecord, len(bytes))
	}
	s, err := decode[PeriodState](bytes)
	if err != nil {
		return nil, err
	}
	if s.Version != batchVersion {
		return nil, fmt.Errorf("state of version %d: %w", s.Version, ErrNewer)
	}
	bad := s.Box == "" || s.Period.Name == "" || s.Period.End <= s.Period.Start
	for _, l := range s.Lines {
		bad = bad || l.Period != 0 || l.End >= Ends
	}
	for _, m := range s.Missing {
		bad = bad || m.Period != 0 || m.Entries < 0
	}
	for _, a := range s.Adjustments {
		bad = bad || a.Correction.check() != nil
	}
	if bad {
		return nil, fmt.Errorf("%w: a state of %q cannot be", ErrRecord, s.Box)
	}
	return &s, nil
}

// Why what a peer told is not taken.
var (
	ErrNotIts = errors.New("only a box itself speaks for its ledger")
	ErrOld    = errors.New("it has told newer before")
	ErrChange = errors.New("a closed period was changed")
	ErrPeer   = errors.New("too much for one peer")
)

// maxPeerPeriods bounds what is kept of one box.
const maxPeerPeriods = 1024

type stateKey struct {
	box    string
	ledger ID
	start  int64
}

type heldState struct {
	digest Digest
	state  *PeriodState
}

// Peers is what one box has of the others: the newest state of each period that each box told of itself. It
// does no I/O. What others say of a box is only held against what that box said.
type Peers struct {
	self   string
	held   map[stateKey]heldState
	newest map[string]uint64 // by box: the highest sequence that it told of itself
	closed map[string]int64  // by box: up to when it has closed
	gone   map[string]int64  // by box: up to when it may have forgotten
	doubts map[string]bool   // what does not fit, in words
}

// NewPeers begins with nothing.
func NewPeers(self string) *Peers {
	return &Peers{self: self, held: map[stateKey]heldState{}, newest: map[string]uint64{}, closed: map[string]int64{}, gone: map[string]int64{}, doubts: map[string]bool{}}
}

func keyOf(d Digest) stateKey { return stateKey{d.Box, d.Ledger, d.Start} }

// Digests gives those of all held states, for other peers to hold against theirs.
func (p *Peers) Digests() (out []Digest) {
	for _, h := range p.held {
		out = append(out, h.digest)
	}
	slices.SortFunc(out, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), slices.Compare(a.Ledger[:], b.Ledger[:]), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// Compare takes what a peer told and gives the digests of its own states that have to be fetched. It notes where
// the peer is older than it was, and where it says of another box what that box did not say.
func (p *Peers) Compare(from string, list []Digest) (fetch []Digest, err error) {
	for _, d := range list {
		h, have := p.held[keyOf(d)]
		switch {
		case d.Box == p.self: // this box knows itself
		case d.Box != from:
			if have && d.Seq == h.digest.Seq && d.Hash != h.digest.Hash {
				p.doubt("%s says of %s what %s did not say", from, d.Box, d.Box)
			}
		case d.Seq < p.newest[from]:
			p.doubt("%s tells batch %d after batch %d: its files are older than they were", from, d.Seq, p.newest[from])
			return nil, fmt.Errorf("%s: %w", from, ErrOld)
		case d.Hash == Hash{}: // it is there, and knows no period
		case !have || h.digest.Hash != d.Hash:
			fetch = append(fetch, d)
		default:
			h.digest.Seq = d.Seq
			p.held[keyOf(d)] = h
		}
	}
	for _, d := range list {
		if d.Box == from {
			p.newest[from] = max(p.newest[from], d.Seq)
			p.closed[from] = max(p.closed[from], d.Closed)
			p.gone[from] = max(p.gone[from], d.Gone)
		}
	}
	return fetch, nil
}

// Take takes a state that was fetched from the box that it is of.
func (p *Peers) Take(from string, d Digest, bytes []byte) error {
	s, err := decodeState(bytes)
	if err != nil {
		return fmt.Errorf("%s: %w", from, err)
	}
	k := keyOf(d)
	h, have := p.held[k]
	of := 0
	for other := range p.held {
		if other.box == from {
			of++
		}
	}
	switch {
	case s.Box != from || d.Box != from:
		p.doubt("%s speaks for %s", from, s.Box)
		return fmt.Errorf("%s: %w", from, ErrNotIts)
	case s.Ledger != d.Ledger || s.Period.Start != d.Start || SumOf(bytes) != d.Hash:
		return fmt.Errorf("%s: %w: another state than it told of", from, ErrRecord)
	case have && h.state.Closed:
		p.doubt("%s changed its closed period %s", from, s.Period.Name)
		return fmt.Errorf("%s, period %s: %w", from, s.Period.Name, ErrChange)
	case !have && of >= maxPeerPeriods:
		return fmt.Errorf("%s: %w", from, ErrPeer)
	}
	p.held[k] = heldState{d, s}
	return nil
}

func (p *Peers) doubt(f string, x ...any) {
	if len(p.doubts) < MaxNotes {
		p.doubts[fmt.Sprintf(f, x...)] = true
	}
}

// Doubts are all that did not fit so far, in order.
func (p *Peers) Doubts() (out []string) {
	for d := range p.doubts {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Statement is the fleet's statement of a period: this box's own sealed states, as PeriodStates gives them, and
// those held. Boxes are the others that must have closed the period.
func (p *Peers) Statement(name string, own []Digest, states [][]byte, boxes []string) (Statement, error) {
	var all []*PeriodState
	for _, bytes := range states {
		if bytes == nil {
			continue
		}
		s, err := decodeState(bytes)
		if err != nil {
			return Statement{}, err
		}
		all = append(all, s)
	}
	for _, d := range p.Digests() {
		all = append(all, p.held[keyOf(d)].state)
	}
	slices.SortFunc(all, func(a, b *PeriodState) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), slices.Compare(a.Ledger[:], b.Ledger[:]))
	})
	var a *account
	adjust := map[string]Correction{}
	told := map[string]bool{}
	for _, s := range all {
		if s.Period.Name != name {
			continue
		}
		if a == nil {
			a = newAccount(s.Period)
		} else if a.period != s.Period {
			a.note("the boxes do not agree on the bounds of %s", name)
		}
		told[s.Box] = true
		if err := a.state(s, adjust); err != nil {
			return Statement{}, err
		}
	}
	if a == nil {
		return Statement{}, fmt.Errorf("%w %q", ErrPeriod, name)
	}
	state := Closed
	through, gone := maps.Clone(p.closed), maps.Clone(p.gone)
	for _, d := range own {
		through[p.self], gone[p.self] = d.Closed, d.Gone
	}
	for _, box := range append([]string{p.self}, boxes...) {
		if through[box] < a.period.End {
			state = Open
			a.note("%s has not closed the period", box)
		} else if !told[box] && gone[box] >= a.period.End {
			a.note("%s may have forgotten the period before it was asked", box)
		}
	}
	a.why = append(a.why, p.Doubts()...)
	return a.statement(state)
}

// state adds what a box has sealed.
func (a *account) state(s *PeriodState, adjust map[string]Correction) error {
	for _, l := range s.Lines {
		if err := a.use(Row{l.Stand, l.Class, l.End.String(), l.Replay, l.Late, l.Figures}); err != nil {
			return err
		}
	}
	for _, x := range s.Adjustments {
		had, ok := adjust[x.Correction.ID]
		if !ok {
			adjust[x.Correction.ID] = x.Correction
			a.adjust = append(a.adjust, x)
		} else if had != x.Correction {
			a.note("correction %s is there with two contents", x.Correction.ID)
		}
	}
	for _, m := range s.Missing {
		a.missing[m.Stand] += m.Entries
	}
	for _, u := range s.Unclean {
		a.unclean(s.Box, u)
	}
	return nil
}
