package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// PeriodState is the use that a server has sealed in a period, as it reports it to its peers. Its encoding is
// deterministic, so that equal digests mean equal states.
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

// Digest identifies the state of one period of one server. A server that knows no period reports one digest with Start
// 0 and no hash.
type Digest struct {
	Box    string `cbor:"1,keyasint" json:"box"`
	Ledger ID     `cbor:"2,keyasint" json:"ledger"`
	Start  int64  `cbor:"3,keyasint" json:"start_ms"`
	Seq    uint64 `cbor:"4,keyasint" json:"seq"` // newest batch of the server when it reported
	Hash   Hash   `cbor:"5,keyasint" json:"hash"`
	Closed int64  `cbor:"6,keyasint" json:"closed_ms"` // all periods that end by then are closed there
	Gone   int64  `cbor:"7,keyasint" json:"gone_ms"`   // periods that end by then may have been dropped there
}

// EncodeDigests encodes digests for a peer.
func EncodeDigests(digests []Digest) []byte { return encode(digests) }

// DecodeDigests decodes what EncodeDigests returned.
func DecodeDigests(b []byte) ([]Digest, error) { return decode[[]Digest](b) }

// PeriodStates returns the encoded sealed part of each known period, and their digests in the same order.
func (b *Book) PeriodStates() (digests []Digest, states [][]byte) {
	for _, period := range b.Periods() {
		state := PeriodState{Version: batchVersion, Box: b.Box, Ledger: b.ID, Period: period, Closed: period.End <= b.announcedThrough, Unclean: b.unclean[:b.uncleanSealed]}
		var cells []Cell
		for cell := range b.cells {
			if cell.Period == period.Start {
				cells = append(cells, cell)
			}
		}
		slices.SortFunc(cells, Cell.compare)
		for _, cell := range cells {
			sum := b.cells[cell]
			negative, _ := sum.unsealed.Neg() // cannot overflow: additions to both were checked
			if sealed, err := sum.total.Add(negative); err == nil && !sealed.Zero() {
				state.Lines = append(state.Lines, Line{0, b.stands[cell.Stand], b.classes[cell.Class], cell.End, cell.Replay, cell.Late, sealed})
			}
		}
		for _, adjustment := range b.corrections {
			if adjustment.Lands.Start == period.Start && !slices.Contains(b.unsealedCorrections, adjustment.Correction.ID) {
				state.Adjustments = append(state.Adjustments, *adjustment)
			}
		}
		slices.SortFunc(state.Adjustments, func(x, y Adjustment) int { return cmp.Compare(x.Correction.ID, y.Correction.ID) })
		for _, key := range b.gapKeys() {
			if counts := b.gaps[key]; key.period == period.Start && counts[0] > counts[1] {
				state.Missing = append(state.Missing, Missing{0, b.stands[key.stand], counts[0] - counts[1]})
			}
		}
		bytes := encode(state)
		states = append(states, bytes)
		digests = append(digests, Digest{b.Box, b.ID, period.Start, b.lastSeq, SumOf(bytes), b.announcedThrough, b.droppedThrough})
	}
	if len(digests) == 0 {
		return []Digest{{Box: b.Box, Ledger: b.ID, Seq: b.lastSeq, Closed: b.announcedThrough, Gone: b.droppedThrough}}, [][]byte{nil}
	}
	return digests, states
}

// decodeState decodes a state and checks that its contents are consistent.
func decodeState(bytes []byte) (*PeriodState, error) {
	if len(bytes) > MaxBatch {
		return nil, fmt.Errorf("%w: a state of %d bytes", ErrRecord, len(bytes))
	}
	state, err := decode[PeriodState](bytes)
	if err != nil {
		return nil, err
	}
	if state.Version != batchVersion {
		return nil, fmt.Errorf("state of version %d: %w", state.Version, ErrNewer)
	}
	bad := state.Box == "" || state.Period.Name == "" || state.Period.End <= state.Period.Start
	for _, line := range state.Lines {
		bad = bad || line.Period != 0 || line.End >= Ends
	}
	for _, missing := range state.Missing {
		bad = bad || missing.Period != 0 || missing.Entries < 0
	}
	for _, adjustment := range state.Adjustments {
		bad = bad || adjustment.Correction.check() != nil
	}
	if bad {
		return nil, fmt.Errorf("%w: the state of %q is inconsistent", ErrRecord, state.Box)
	}
	return &state, nil
}

// Errors of Peers.Compare and Peers.Take.
var (
	ErrNotIts = errors.New("only a server itself reports its ledger")
	ErrOld    = errors.New("the report is older than an earlier one")
	ErrChange = errors.New("a closed period has changed")
	ErrPeer   = errors.New("too many periods of one peer")
)

// maxPeerPeriods bounds the number of states that are kept of one server.
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

// Peers holds what one server knows of the others: the newest state of each period that each server reported of itself.
// It does no I/O. What a server reports of another one is only compared with that server's own reports.
type Peers struct {
	self            string
	states          map[stateKey]heldState
	newestSeq       map[string]uint64 // by server: the highest sequence number that it reported of itself
	closedThrough   map[string]int64  // by server: it has closed the periods that end by then
	droppedThrough  map[string]int64  // by server: it may have dropped the periods that end by then
	inconsistencies map[string]bool   // inconsistencies found, as text for the operator
}

// NewPeers returns a table without reports for the server of a name.
func NewPeers(self string) *Peers {
	return &Peers{self: self, states: map[stateKey]heldState{}, newestSeq: map[string]uint64{}, closedThrough: map[string]int64{}, droppedThrough: map[string]int64{}, inconsistencies: map[string]bool{}}
}

func keyOf(d Digest) stateKey { return stateKey{d.Box, d.Ledger, d.Start} }

// Digests returns the digests of all held states, sorted, for other peers to compare with theirs.
func (p *Peers) Digests() (digests []Digest) {
	for _, held := range p.states {
		digests = append(digests, held.digest)
	}
	slices.SortFunc(digests, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), slices.Compare(a.Ledger[:], b.Ledger[:]), cmp.Compare(a.Start, b.Start))
	})
	return digests
}

// Compare processes the digests that a peer reported, and returns those of the peer's own states that have to be
// fetched. It records an inconsistency if the peer reports an older batch than before, or another hash of a third
// server's state than that server reported itself.
func (p *Peers) Compare(from string, digests []Digest) (fetch []Digest, err error) {
	for _, digest := range digests {
		held, known := p.states[keyOf(digest)]
		switch {
		case digest.Box == p.self: // this server needs no report of itself
		case digest.Box != from:
			if known && digest.Seq == held.digest.Seq && digest.Hash != held.digest.Hash {
				p.recordInconsistency("%s says of %s what %s did not say", from, digest.Box, digest.Box)
			}
		case digest.Seq < p.newestSeq[from]:
			p.recordInconsistency("%s tells batch %d after batch %d: its files are older than they were", from, digest.Seq, p.newestSeq[from])
			return nil, fmt.Errorf("%s: %w", from, ErrOld)
		case digest.Hash == Hash{}: // the peer knows no period yet
		case !known || held.digest.Hash != digest.Hash:
			fetch = append(fetch, digest)
		default:
			held.digest.Seq = digest.Seq
			p.states[keyOf(digest)] = held
		}
	}
	for _, digest := range digests {
		if digest.Box == from {
			p.newestSeq[from] = max(p.newestSeq[from], digest.Seq)
			p.closedThrough[from] = max(p.closedThrough[from], digest.Closed)
			p.droppedThrough[from] = max(p.droppedThrough[from], digest.Gone)
		}
	}
	return fetch, nil
}

// Take stores a state that was fetched, under the digest for which it was fetched. It accepts it only from the server
// itself.
func (p *Peers) Take(from string, digest Digest, bytes []byte) error {
	state, err := decodeState(bytes)
	if err != nil {
		return fmt.Errorf("%s: %w", from, err)
	}
	key := keyOf(digest)
	held, known := p.states[key]
	count := 0
	for other := range p.states {
		if other.box == from {
			count++
		}
	}
	switch {
	case state.Box != from || digest.Box != from:
		p.recordInconsistency("%s speaks for %s", from, state.Box)
		return fmt.Errorf("%s: %w", from, ErrNotIts)
	case state.Ledger != digest.Ledger || state.Period.Start != digest.Start || SumOf(bytes) != digest.Hash:
		return fmt.Errorf("%s: %w: the state does not match its digest", from, ErrRecord)
	case known && held.state.Closed:
		p.recordInconsistency("%s changed its closed period %s", from, state.Period.Name)
		return fmt.Errorf("%s, period %s: %w", from, state.Period.Name, ErrChange)
	case !known && count >= maxPeerPeriods:
		return fmt.Errorf("%s: %w", from, ErrPeer)
	}
	p.states[key] = heldState{digest, state}
	return nil
}

// recordInconsistency records an inconsistency, up to MaxNotes of them.
func (p *Peers) recordInconsistency(format string, args ...any) {
	if len(p.inconsistencies) < MaxNotes {
		p.inconsistencies[fmt.Sprintf(format, args...)] = true
	}
}

// Doubts returns all inconsistencies found so far, sorted.
func (p *Peers) Doubts() (doubts []string) {
	for doubt := range p.inconsistencies {
		doubts = append(doubts, doubt)
	}
	slices.Sort(doubts)
	return doubts
}

// Statement returns the statement of a period over all servers. It covers this server's own states, as PeriodStates
// returned them, and the states that were received. boxes are the other servers that must have closed the period.
func (p *Peers) Statement(name string, own []Digest, states [][]byte, boxes []string) (Statement, error) {
	var all []*PeriodState
	for _, bytes := range states {
		if bytes == nil {
			continue
		}
		state, err := decodeState(bytes)
		if err != nil {
			return Statement{}, err
		}
		all = append(all, state)
	}
	for _, digest := range p.Digests() {
		all = append(all, p.states[keyOf(digest)].state)
	}
	slices.SortFunc(all, func(x, y *PeriodState) int {
		return cmp.Or(cmp.Compare(x.Box, y.Box), slices.Compare(x.Ledger[:], y.Ledger[:]))
	})
	var builder *statementBuilder
	corrections := map[string]Correction{}
	reported := map[string]bool{}
	for _, state := range all {
		if state.Period.Name != name {
			continue
		}
		if builder == nil {
			builder = newStatementBuilder(state.Period)
		} else if builder.period != state.Period {
			builder.addReason("the boxes do not agree on the bounds of %s", name)
		}
		reported[state.Box] = true
		if err := builder.addState(state, corrections); err != nil {
			return Statement{}, err
		}
	}
	if builder == nil {
		return Statement{}, fmt.Errorf("%w %q", ErrPeriod, name)
	}
	periodState := Closed
	through, gone := maps.Clone(p.closedThrough), maps.Clone(p.droppedThrough)
	for _, digest := range own {
		through[p.self], gone[p.self] = digest.Closed, digest.Gone
	}
	for _, box := range append([]string{p.self}, boxes...) {
		if through[box] < builder.period.End {
			periodState = Open
			builder.addReason("%s has not closed the period", box)
		} else if !reported[box] && gone[box] >= builder.period.End {
			builder.addReason("%s may have forgotten the period before it was asked", box)
		}
	}
	builder.reasons = append(builder.reasons, p.Doubts()...)
	return builder.build(periodState)
}

// addState adds the sealed state of a server.
func (a *statementBuilder) addState(state *PeriodState, corrections map[string]Correction) error {
	for _, line := range state.Lines {
		if err := a.addRow(Row{line.Stand, line.Class, line.End.String(), line.Replay, line.Late, line.Figures}); err != nil {
			return err
		}
	}
	for _, adjustment := range state.Adjustments {
		known, ok := corrections[adjustment.Correction.ID]
		if !ok {
			corrections[adjustment.Correction.ID] = adjustment.Correction
			a.adjustments = append(a.adjustments, adjustment)
		} else if known != adjustment.Correction {
			a.addReason("correction %s is there with two contents", adjustment.Correction.ID)
		}
	}
	for _, missing := range state.Missing {
		a.missing[missing.Stand] += missing.Entries
	}
	for _, unclean := range state.Unclean {
		a.addUnclean(state.Box, unclean)
	}
	return nil
}
