package ledger

import (
	"fmt"
	"maps"
	"slices"
)

type (
	cellState struct {
		Period  int64   `cbor:"1,keyasint"`
		Stand   uint16  `cbor:"2,keyasint"`
		Class   uint16  `cbor:"3,keyasint"`
		End     End     `cbor:"4,keyasint"`
		Replay  bool    `cbor:"5,keyasint,omitempty"`
		Late    bool    `cbor:"6,keyasint,omitempty"`
		Total   Figures `cbor:"7,keyasint"`
		Waiting Figures `cbor:"8,keyasint"`
	}
	gapState struct {
		Gap
		Waiting int64 `cbor:"4,keyasint"`
	}
	bookState struct {
		Box         string       `cbor:"1,keyasint"`
		ID          ID           `cbor:"2,keyasint"`
		Start       Start        `cbor:"3,keyasint"`
		Running     bool         `cbor:"4,keyasint"`
		Last        int64        `cbor:"5,keyasint"`
		Stands      []string     `cbor:"6,keyasint"`
		Classes     []string     `cbor:"7,keyasint"`
		Periods     []Period     `cbor:"8,keyasint"`
		Closed      int64        `cbor:"9,keyasint"`
		Cells       []cellState  `cbor:"10,keyasint"`
		Gaps        []gapState   `cbor:"11,keyasint"`
		Corrections []Adjustment `cbor:"12,keyasint"`
		Adjusted    []string     `cbor:"13,keyasint"`
		Unclean     []Unclean    `cbor:"14,keyasint"`
		UncleanOut  int          `cbor:"15,keyasint"`
		Steps       []Step       `cbor:"16,keyasint"`
		StepOut     int          `cbor:"17,keyasint"`
		Booked      Figures      `cbor:"18,keyasint"`
		Sealed      Figures      `cbor:"19,keyasint"`
		Lost        int64        `cbor:"20,keyasint"`
		LostOut     int64        `cbor:"21,keyasint"`
		Seq         uint64       `cbor:"22,keyasint"`
		Prev        Hash         `cbor:"23,keyasint"`
		SealedAt    int64        `cbor:"24,keyasint"`
		Told        int64        `cbor:"25,keyasint"`
		Pending     []Sealed     `cbor:"26,keyasint"`
		Forgotten   int64        `cbor:"27,keyasint"`
		Kind        string       `cbor:"28,keyasint"` // of the calendar
		Zone        string       `cbor:"29,keyasint"`
	}
)

// Snapshot is the record of the whole book: applied, it stands for all records before it. The bytes of pending
// batches are not in it.
func (b *Book) Snapshot() []byte {
	s := bookState{Box: b.Box, ID: b.ID, Start: b.start, Running: b.running, Last: b.last, Stands: b.stands, Classes: b.classes,
		Periods: b.Periods(), Closed: b.closed, Adjusted: b.adjusted, Unclean: b.unclean, UncleanOut: b.uncleanOut,
		Steps: b.steps, StepOut: b.stepOut, Booked: b.booked, Sealed: b.sealed, Lost: b.lost, LostOut: b.lostOut,
		Seq: b.seq, Prev: b.prev, SealedAt: b.sealedAt, Told: b.told, Pending: b.pending, Forgotten: b.forgotten,
		Kind: b.policy.Calendar.Kind, Zone: b.policy.Calendar.Zone.String()}
	for _, c := range slices.SortedFunc(maps.Keys(b.cells), Cell.compare) {
		v := b.cells[c]
		s.Cells = append(s.Cells, cellState{c.Period, c.Stand, c.Class, c.End, c.Replay, c.Late, v.total, v.waiting})
	}
	for _, k := range b.gapKeys() {
		v := b.gaps[k]
		s.Gaps = append(s.Gaps, gapState{Gap{k.period, k.stand, v[0]}, v[1]})
	}
	for _, id := range slices.Sorted(maps.Keys(b.corrections)) {
		s.Corrections = append(s.Corrections, *b.corrections[id])
	}
	return record(kindSnapshot, s)
}

// restore makes the book what a snapshot says, if that is this book's.
func (b *Book) restore(s bookState) error {
	if s.Box != b.Box || s.ID != b.ID {
		return fmt.Errorf("%w: it is of box %q", ErrRecord, s.Box)
	}
	cal, err := NewCalendar(s.Kind, s.Zone)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRecord, err)
	}
	policy := b.policy
	policy.Calendar = cal
	n := NewBook(s.Box, s.ID, policy, s.SealedAt)
	n.start, n.running, n.last, n.closed = s.Start, s.Running, s.Last, s.Closed
	if err := n.applyNames(namesRecord{s.Stands, s.Classes}); err != nil {
		return err
	}
	for _, p := range s.Periods {
		n.periods[p.Start] = p
	}
	for _, c := range s.Cells {
		if int(c.Stand) >= len(s.Stands) || int(c.Class) >= len(s.Classes) || c.End >= Ends {
			return fmt.Errorf("%w: a cell of no stand or class", ErrRecord)
		}
		n.cells[Cell{c.Period, c.Stand, c.Class, c.End, c.Replay, c.Late}] = &sums{c.Total, c.Waiting}
	}
	for _, g := range s.Gaps {
		if int(g.Stand) >= len(s.Stands) {
			return fmt.Errorf("%w: a gap of no stand", ErrRecord)
		}
		n.gaps[gapKey{g.Period, g.Stand}] = &[2]int64{g.Entries, g.Waiting}
	}
	for _, a := range s.Corrections {
		n.corrections[a.Correction.ID] = &a
	}
	for _, id := range s.Adjusted {
		if n.corrections[id] == nil {
			return fmt.Errorf("%w: correction %q is not there", ErrRecord, id)
		}
	}
	if s.UncleanOut < 0 || s.UncleanOut > len(s.Unclean) || s.StepOut < 0 || s.StepOut > len(s.Steps) {
		return fmt.Errorf("%w: notes that are not there", ErrRecord)
	}
	n.adjusted, n.unclean, n.uncleanOut, n.steps, n.stepOut = s.Adjusted, s.Unclean, s.UncleanOut, s.Steps, s.StepOut
	n.booked, n.sealed, n.lost, n.lostOut = s.Booked, s.Sealed, s.Lost, s.LostOut
	n.seq, n.prev, n.told, n.pending, n.forgotten = s.Seq, s.Prev, s.Told, s.Pending, s.Forgotten
	*b = *n
	return nil
}
