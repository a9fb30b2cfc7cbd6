package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

// batchVersion is the format of batches written here.
const batchVersion = 1

// MaxBatch is the most bytes that a batch may have.
const MaxBatch = 1 << 20

// Hash is the SHA-256 of a batch's bytes.
type Hash [sha256.Size]byte

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText gives it in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads it again.
func (h *Hash) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(h[:], text[:min(len(text), 2*len(h))]); err != nil || n != len(h) || len(text) != 2*n {
		return fmt.Errorf("%w: no hash", ErrRecord)
	}
	return nil
}

// ID is a ledger's own, drawn when it is made: a box that lost its disk begins another.
type ID [16]byte

func (i ID) String() string { return hex.EncodeToString(i[:]) }

// MarshalText gives it in hexadecimal.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Line is the use of one cell since the batch before.
type Line struct {
	Period  int     `cbor:"1,keyasint"` // place in Batch.Periods
	Stand   string  `cbor:"2,keyasint"`
	Class   string  `cbor:"3,keyasint"`
	End     End     `cbor:"4,keyasint"`
	Replay  bool    `cbor:"5,keyasint,omitempty"`
	Late    bool    `cbor:"6,keyasint,omitempty"`
	Figures Figures `cbor:"7,keyasint"`
}

// Missing is a number of entries of a stand that were not kept.
type Missing struct {
	Period  int    `cbor:"1,keyasint"`
	Stand   string `cbor:"2,keyasint"`
	Entries int64  `cbor:"3,keyasint"`
}

// Batch is what leaves a box at once. Its bytes are made once; they are its identity together with box,
// ledger and sequence, and each names the hash of the one before.
type Batch struct {
	Version     int          `cbor:"1,keyasint"`
	Box         string       `cbor:"2,keyasint"`
	Ledger      ID           `cbor:"3,keyasint"`
	Incarnation uint32       `cbor:"4,keyasint"`
	Nonce       uint64       `cbor:"5,keyasint"` // of the incarnation: two that claim one number differ here
	Seq         uint64       `cbor:"6,keyasint"` // from 1
	Prev        Hash         `cbor:"7,keyasint"`
	At          int64        `cbor:"8,keyasint"`
	Zone        string       `cbor:"9,keyasint"`
	Closed      int64        `cbor:"10,keyasint"` // the box has closed all periods that end by then
	Periods     []Period     `cbor:"11,keyasint,omitempty"`
	Lines       []Line       `cbor:"12,keyasint,omitempty"`
	Adjustments []Adjustment `cbor:"13,keyasint,omitempty"`
	Missing     []Missing    `cbor:"14,keyasint,omitempty"`
	Unclean     []Unclean    `cbor:"15,keyasint,omitempty"`
	Steps       []Step       `cbor:"16,keyasint,omitempty"`
	Requests    int64        `cbor:"17,keyasint"`           // in all batches so far, this one included
	More        bool         `cbor:"18,keyasint,omitempty"` // closed periods have more to come in the next batch
}

// SumOf gives a batch's hash.
func SumOf(bytes []byte) Hash { return sha256.Sum256(bytes) }

// DecodeBatch reads a batch and checks what it says of itself.
func DecodeBatch(bytes []byte) (*Batch, error) {
	if len(bytes) > MaxBatch {
		return nil, fmt.Errorf("%w: a batch of %d bytes", ErrRecord, len(bytes))
	}
	var v struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := loose.Unmarshal(bytes, &v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if v.Version != batchVersion {
		return nil, fmt.Errorf("batch of version %d: %w", v.Version, ErrNewer)
	}
	b, err := decode[Batch](bytes)
	if err != nil {
		return nil, err
	}
	bad := b.Box == "" || b.Seq == 0
	for _, l := range b.Lines {
		bad = bad || l.Period < 0 || l.Period >= len(b.Periods) || l.End >= Ends
	}
	for _, m := range b.Missing {
		bad = bad || m.Period < 0 || m.Period >= len(b.Periods) || m.Entries < 0
	}
	for _, p := range b.Periods {
		bad = bad || p.End <= p.Start || p.Name == ""
	}
	for _, a := range b.Adjustments {
		bad = bad || a.Correction.check() != nil
	}
	if bad {
		return nil, fmt.Errorf("%w: batch %d of %q cannot be", ErrRecord, b.Seq, b.Box)
	}
	return &b, nil
}

// SealDue tells that a batch should be made: something waits, its time has come or a period has closed, and
// there is room for what the collector has not taken.
func (b *Book) SealDue(now int64) bool {
	size := 0
	for _, p := range b.pending {
		size += p.Size
	}
	if size >= b.policy.MaxPending {
		return false
	}
	if b.closed > b.told && b.told > 0 {
		return true
	}
	since := now - b.sealedAt
	return b.Waits() && (since >= b.policy.ExportEvery || since < -b.policy.ExportEvery)
}

// Waits tells that something is in no batch yet.
func (b *Book) Waits() bool {
	if len(b.adjusted) > 0 || len(b.unclean) > b.uncleanOut || len(b.steps) > b.stepOut || b.lost > b.lostOut {
		return true
	}
	for _, s := range b.cells {
		if !s.waiting.Zero() {
			return true
		}
	}
	return false
}

// ProposeSeal freezes what waits as the next batch, and gives its record and its bytes.
func (b *Book) ProposeSeal(now int64) (rec, bytes []byte) {
	out := Batch{Version: batchVersion, Box: b.Box, Ledger: b.ID, Incarnation: b.start.Incarnation, Nonce: b.start.Nonce,
		Seq: b.seq + 1, Prev: b.prev, At: now, Zone: b.policy.Calendar.Zone.String(), Closed: b.closed,
		Unclean: b.unclean[b.uncleanOut:], Steps: b.steps[b.stepOut:], Requests: b.sealed[Requests]}
	at := map[int64]int{}
	place := func(start int64) int {
		i, ok := at[start]
		if !ok {
			i = len(out.Periods)
			at[start] = i
			out.Periods = append(out.Periods, b.periods[start])
		}
		return i
	}
	var cells []Cell
	for c, s := range b.cells {
		if !s.waiting.Zero() {
			cells = append(cells, c)
		}
	}
	slices.SortFunc(cells, Cell.compare)
	out.More = len(cells) > batchLines
	for _, c := range cells[:min(len(cells), batchLines)] {
		w := b.cells[c].waiting
		out.Lines = append(out.Lines, Line{place(c.Period), b.stands[c.Stand], b.classes[c.Class], c.End, c.Replay, c.Late, w})
		out.Requests += w[Requests]
	}
	for _, g := range b.gapKeys() {
		if n := b.gaps[g][1]; n != 0 {
			out.Missing = append(out.Missing, Missing{place(g.period), b.stands[g.stand], n})
		}
	}
	for _, id := range b.adjusted[:min(len(b.adjusted), batchLines)] {
		out.Adjustments = append(out.Adjustments, *b.corrections[id])
	}
	out.More = out.More || len(b.adjusted) > batchLines
	bytes = encode(out)
	return append([]byte{kindSeal}, bytes...), bytes
}

// gapKeys are the keys of all gaps, in order.
func (b *Book) gapKeys() []gapKey {
	return slices.SortedFunc(maps.Keys(b.gaps), func(a, b gapKey) int {
		return cmp.Or(cmp.Compare(a.period, b.period), cmp.Compare(a.stand, b.stand))
	})
}

// applySeal moves what a batch holds from waiting to sealed. The whole batch is checked against the book first.
func (b *Book) applySeal(bytes []byte) error {
	x, err := DecodeBatch(bytes)
	if err != nil {
		return err
	}
	if x.Box != b.Box || x.Ledger != b.ID || x.Seq != b.seq+1 || x.Prev != b.prev ||
		len(x.Unclean) > len(b.unclean)-b.uncleanOut || len(x.Steps) > len(b.steps)-b.stepOut || len(x.Adjustments) > len(b.adjusted) {
		return fmt.Errorf("%w: batch %d does not follow batch %d", ErrRecord, x.Seq, b.seq)
	}
	sealed := b.sealed
	for _, l := range x.Lines {
		stand, ok1 := b.standAt[l.Stand]
		class, ok2 := b.classAt[l.Class]
		c := Cell{x.Periods[l.Period].Start, stand, class, l.End, l.Replay, l.Late}
		if s := b.cells[c]; !ok1 || !ok2 || s == nil || s.waiting != l.Figures {
			return fmt.Errorf("%w: batch %d has a line of %s that does not wait", ErrRecord, x.Seq, l.Stand)
		}
		if sealed, err = sealed.Add(l.Figures); err != nil {
			return err
		}
	}
	for _, m := range x.Missing {
		if stand, ok := b.standAt[m.Stand]; !ok || b.gaps[gapKey{x.Periods[m.Period].Start, stand}] == nil {
			return fmt.Errorf("%w: batch %d has a gap of %s that does not wait", ErrRecord, x.Seq, m.Stand)
		}
	}
	for _, l := range x.Lines {
		b.cells[Cell{x.Periods[l.Period].Start, b.standAt[l.Stand], b.classAt[l.Class], l.End, l.Replay, l.Late}].waiting = Figures{}
	}
	for _, m := range x.Missing {
		b.gaps[gapKey{x.Periods[m.Period].Start, b.standAt[m.Stand]}][1] -= m.Entries
		b.lostOut += m.Entries
	}
	b.adjusted = slices.Clone(b.adjusted[len(x.Adjustments):])
	b.uncleanOut += len(x.Unclean)
	b.stepOut += len(x.Steps)
	b.sealed, b.seq, b.prev, b.sealedAt = sealed, x.Seq, SumOf(bytes), x.At
	if !x.More {
		b.told = x.Closed
	}
	b.pending = append(b.pending, Sealed{b.seq, b.prev, len(bytes)})
	b.forget()
	return nil
}

// KeptRecord holds a pending batch's bytes in a log that begins with a snapshot.
func KeptRecord(bytes []byte) []byte { return append([]byte{kindKept}, bytes...) }

// SealedBatch gives the bytes of the batch in a record; false = it holds none.
func SealedBatch(rec []byte) ([]byte, bool) {
	if len(rec) == 0 || rec[0] != kindSeal && rec[0] != kindKept {
		return nil, false
	}
	return rec[1:], true
}

// Next is the batch to be sent.
func (b *Book) Next() (Sealed, bool) {
	if len(b.pending) == 0 {
		return Sealed{}, false
	}
	return b.pending[0], true
}

// Pending are the batches that wait to be acknowledged, the oldest first.
func (b *Book) Pending() []Sealed { return slices.Clone(b.pending) }

// ProposeAck gives the record of an acknowledgement of the batch that Next gave. ok is false for any other: it
// was not sent, or has been acknowledged.
func (b *Book) ProposeAck(seq uint64, hash Hash) (rec []byte, ok bool) {
	if len(b.pending) == 0 || b.pending[0].Seq != seq || b.pending[0].Hash != hash {
		return nil, false
	}
	return record(kindAck, ackRecord{seq, hash}), true
}

func (b *Book) applyAck(r ackRecord) error {
	if len(b.pending) == 0 || b.pending[0].Seq != r.Seq || b.pending[0].Hash != r.Hash {
		return fmt.Errorf("%w: batch %d was acknowledged out of turn", ErrRecord, r.Seq)
	}
	b.pending = slices.Clone(b.pending[1:])
	return nil
}
