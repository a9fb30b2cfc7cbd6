package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

// batchVersion is the version of the batch format that this program writes.
const batchVersion = 1

// MaxBatch bounds an encoded batch, in bytes.
const MaxBatch = 1 << 20

// Hash is the SHA-256 hash of an encoded batch or period state.
type Hash [sha256.Size]byte

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads the form that MarshalText returns.
func (h *Hash) UnmarshalText(text []byte) error {
	if size, err := hex.Decode(h[:], text[:min(len(text), 2*len(h))]); err != nil || size != len(h) || len(text) != 2*size {
		return fmt.Errorf("%w: not a hash", ErrRecord)
	}
	return nil
}

// ID identifies a ledger. It is random, drawn when the ledger is created: a server that lost its disk begins another
// one.
type ID [16]byte

func (i ID) String() string { return hex.EncodeToString(i[:]) }

// MarshalText returns the ID in hexadecimal.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Line is the use of one cell since the previous batch.
type Line struct {
	Period  int     `cbor:"1,keyasint"` // index in Batch.Periods
	Stand   string  `cbor:"2,keyasint"`
	Class   string  `cbor:"3,keyasint"`
	End     End     `cbor:"4,keyasint"`
	Replay  bool    `cbor:"5,keyasint,omitempty"`
	Late    bool    `cbor:"6,keyasint,omitempty"`
	Figures Figures `cbor:"7,keyasint"`
}

// Missing is the number of entries of a stand in a period that were lost before they were recorded.
type Missing struct {
	Period  int    `cbor:"1,keyasint"` // index in Batch.Periods
	Stand   string `cbor:"2,keyasint"`
	Entries int64  `cbor:"3,keyasint"`
}

// Batch is the unit in which a server exports its ledger. It is encoded once: server, ledger, sequence number and the
// bytes together identify it. Each batch has the hash of the previous one, so that the batches form a chain.
type Batch struct {
	Version     int          `cbor:"1,keyasint"`
	Box         string       `cbor:"2,keyasint"`
	Ledger      ID           `cbor:"3,keyasint"`
	Incarnation uint32       `cbor:"4,keyasint"`
	Nonce       uint64       `cbor:"5,keyasint"`  // random per incarnation: distinguishes two incarnations with the same number
	Seq         uint64       `cbor:"6,keyasint"`  // sequence number, from 1
	Prev        Hash         `cbor:"7,keyasint"`  // hash of the previous batch
	At          int64        `cbor:"8,keyasint"`  // when it was sealed, Unix milliseconds
	Zone        string       `cbor:"9,keyasint"`  // time zone of the calendar
	Closed      int64        `cbor:"10,keyasint"` // all periods that end by then are closed, Unix milliseconds
	Periods     []Period     `cbor:"11,keyasint,omitempty"`
	Lines       []Line       `cbor:"12,keyasint,omitempty"`
	Adjustments []Adjustment `cbor:"13,keyasint,omitempty"`
	Missing     []Missing    `cbor:"14,keyasint,omitempty"`
	Unclean     []Unclean    `cbor:"15,keyasint,omitempty"`
	Steps       []Step       `cbor:"16,keyasint,omitempty"`
	Requests    int64        `cbor:"17,keyasint"`           // total of all batches up to and including this one
	More        bool         `cbor:"18,keyasint,omitempty"` // the next batch has more of the closed periods
}

// SumOf returns the hash of an encoded batch or period state.
func SumOf(bytes []byte) Hash { return sha256.Sum256(bytes) }

// DecodeBatch decodes a batch and checks that its contents are consistent.
func DecodeBatch(bytes []byte) (*Batch, error) {
	if len(bytes) > MaxBatch {
		return nil, fmt.Errorf("%w: a batch of %d bytes", ErrRecord, len(bytes))
	}
	var header struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := versionDecoder.Unmarshal(bytes, &header); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if header.Version != batchVersion {
		return nil, fmt.Errorf("batch of version %d: %w", header.Version, ErrNewer)
	}
	batch, err := decode[Batch](bytes)
	if err != nil {
		return nil, err
	}
	bad := batch.Box == "" || batch.Seq == 0
	for _, line := range batch.Lines {
		bad = bad || line.Period < 0 || line.Period >= len(batch.Periods) || line.End >= Ends
	}
	for _, missing := range batch.Missing {
		bad = bad || missing.Period < 0 || missing.Period >= len(batch.Periods) || missing.Entries < 0
	}
	for _, period := range batch.Periods {
		bad = bad || period.End <= period.Start || period.Name == ""
	}
	for _, adjustment := range batch.Adjustments {
		bad = bad || adjustment.Correction.check() != nil
	}
	if bad {
		return nil, fmt.Errorf("%w: batch %d of %q is inconsistent", ErrRecord, batch.Seq, batch.Box)
	}
	return &batch, nil
}

// SealDue reports whether a batch should be sealed: either a period has closed since the last batch, or there is
// unsealed use and the export interval has passed. No batch is due while the pending batches fill their limit.
func (b *Book) SealDue(now int64) bool {
	pendingBytes := 0
	for _, batch := range b.pending {
		pendingBytes += batch.Size
	}
	if pendingBytes >= b.policy.MaxPending {
		return false
	}
	if b.closedThrough > b.announcedThrough && b.announcedThrough > 0 {
		return true
	}
	since := now - b.sealedAt
	return b.Waits() && (since >= b.policy.ExportEvery || since < -b.policy.ExportEvery)
}

// Waits reports whether anything recorded is in no batch yet.
func (b *Book) Waits() bool {
	if len(b.unsealedCorrections) > 0 || len(b.unclean) > b.uncleanSealed || len(b.steps) > b.stepsSealed || b.missing > b.missingSealed {
		return true
	}
	for _, sum := range b.cells {
		if !sum.unsealed.Zero() {
			return true
		}
	}
	return false
}

// ProposeSeal builds the next batch of what is unsealed, and returns its record and the encoded batch.
func (b *Book) ProposeSeal(now int64) (rec, bytes []byte) {
	batch := Batch{Version: batchVersion, Box: b.Box, Ledger: b.ID, Incarnation: b.lastStart.Incarnation, Nonce: b.lastStart.Nonce,
		Seq: b.lastSeq + 1, Prev: b.lastHash, At: now, Zone: b.policy.Calendar.Zone.String(), Closed: b.closedThrough,
		Unclean: b.unclean[b.uncleanSealed:], Steps: b.steps[b.stepsSealed:], Requests: b.sealed[Requests]}
	indexes := map[int64]int{}
	periodIndex := func(start int64) int {
		i, ok := indexes[start]
		if !ok {
			i = len(batch.Periods)
			indexes[start] = i
			batch.Periods = append(batch.Periods, b.periods[start])
		}
		return i
	}
	var cells []Cell
	for cell, sum := range b.cells {
		if !sum.unsealed.Zero() {
			cells = append(cells, cell)
		}
	}
	slices.SortFunc(cells, Cell.compare)
	batch.More = len(cells) > maxBatchLines
	for _, cell := range cells[:min(len(cells), maxBatchLines)] {
		unsealed := b.cells[cell].unsealed
		batch.Lines = append(batch.Lines, Line{periodIndex(cell.Period), b.stands[cell.Stand], b.classes[cell.Class], cell.End, cell.Replay, cell.Late, unsealed})
		batch.Requests += unsealed[Requests]
	}
	for _, key := range b.gapKeys() {
		if count := b.gaps[key][1]; count != 0 {
			batch.Missing = append(batch.Missing, Missing{periodIndex(key.period), b.stands[key.stand], count})
		}
	}
	for _, id := range b.unsealedCorrections[:min(len(b.unsealedCorrections), maxBatchLines)] {
		batch.Adjustments = append(batch.Adjustments, *b.corrections[id])
	}
	batch.More = batch.More || len(b.unsealedCorrections) > maxBatchLines
	bytes = encode(batch)
	return append([]byte{kindSeal}, bytes...), bytes
}

// gapKeys returns the keys of all gaps, sorted.
func (b *Book) gapKeys() []gapKey {
	return slices.SortedFunc(maps.Keys(b.gaps), func(a, b gapKey) int {
		return cmp.Or(cmp.Compare(a.period, b.period), cmp.Compare(a.stand, b.stand))
	})
}

// applySeal marks the contents of a batch as sealed. It first checks the whole batch against the ledger.
func (b *Book) applySeal(bytes []byte) error {
	batch, err := DecodeBatch(bytes)
	if err != nil {
		return err
	}
	if batch.Box != b.Box || batch.Ledger != b.ID || batch.Seq != b.lastSeq+1 || batch.Prev != b.lastHash ||
		len(batch.Unclean) > len(b.unclean)-b.uncleanSealed || len(batch.Steps) > len(b.steps)-b.stepsSealed || len(batch.Adjustments) > len(b.unsealedCorrections) {
		return fmt.Errorf("%w: batch %d does not follow batch %d", ErrRecord, batch.Seq, b.lastSeq)
	}
	sealed := b.sealed
	for _, line := range batch.Lines {
		stand, ok1 := b.standNumbers[line.Stand]
		class, ok2 := b.classNumbers[line.Class]
		cell := Cell{batch.Periods[line.Period].Start, stand, class, line.End, line.Replay, line.Late}
		if sum := b.cells[cell]; !ok1 || !ok2 || sum == nil || sum.unsealed != line.Figures {
			return fmt.Errorf("%w: batch %d has a line of %s that is not unsealed", ErrRecord, batch.Seq, line.Stand)
		}
		if sealed, err = sealed.Add(line.Figures); err != nil {
			return err
		}
	}
	for _, missing := range batch.Missing {
		if stand, ok := b.standNumbers[missing.Stand]; !ok || b.gaps[gapKey{batch.Periods[missing.Period].Start, stand}] == nil {
			return fmt.Errorf("%w: batch %d has a gap of %s that is not unsealed", ErrRecord, batch.Seq, missing.Stand)
		}
	}
	for _, line := range batch.Lines {
		b.cells[Cell{batch.Periods[line.Period].Start, b.standNumbers[line.Stand], b.classNumbers[line.Class], line.End, line.Replay, line.Late}].unsealed = Figures{}
	}
	for _, missing := range batch.Missing {
		b.gaps[gapKey{batch.Periods[missing.Period].Start, b.standNumbers[missing.Stand]}][1] -= missing.Entries
		b.missingSealed += missing.Entries
	}
	b.unsealedCorrections = slices.Clone(b.unsealedCorrections[len(batch.Adjustments):])
	b.uncleanSealed += len(batch.Unclean)
	b.stepsSealed += len(batch.Steps)
	b.sealed, b.lastSeq, b.lastHash, b.sealedAt = sealed, batch.Seq, SumOf(bytes), batch.At
	if !batch.More {
		b.announcedThrough = batch.Closed
	}
	b.pending = append(b.pending, Sealed{b.lastSeq, b.lastHash, len(bytes)})
	b.dropOldPeriods()
	return nil
}

// KeptRecord returns the record that keeps the bytes of a pending batch in a log that begins with a snapshot.
func KeptRecord(bytes []byte) []byte { return append([]byte{kindPendingBatch}, bytes...) }

// SealedBatch returns the encoded batch that a record contains; false if it contains none.
func SealedBatch(rec []byte) ([]byte, bool) {
	if len(rec) == 0 || rec[0] != kindSeal && rec[0] != kindPendingBatch {
		return nil, false
	}
	return rec[1:], true
}

// Next returns the batch to send next, the oldest pending one; false if none is pending.
func (b *Book) Next() (Sealed, bool) {
	if len(b.pending) == 0 {
		return Sealed{}, false
	}
	return b.pending[0], true
}

// Pending returns the batches that are not acknowledged, the oldest first.
func (b *Book) Pending() []Sealed { return slices.Clone(b.pending) }

// ProposeAck returns the record that acknowledges the batch that Next returned. ok is false for any other batch: it was
// never sent, or is acknowledged already.
func (b *Book) ProposeAck(seq uint64, hash Hash) (rec []byte, ok bool) {
	if len(b.pending) == 0 || b.pending[0].Seq != seq || b.pending[0].Hash != hash {
		return nil, false
	}
	return record(kindAck, ackRecord{seq, hash}), true
}

func (b *Book) applyAck(ack ackRecord) error {
	if len(b.pending) == 0 || b.pending[0].Seq != ack.Seq || b.pending[0].Hash != ack.Hash {
		return fmt.Errorf("%w: batch %d was acknowledged out of order", ErrRecord, ack.Seq)
	}
	b.pending = slices.Clone(b.pending[1:])
	return nil
}
