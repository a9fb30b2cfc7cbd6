package ledger

import (
	"fmt"
	"maps"
	"slices"
)

// The encoded form of the ledger's state. Its fields are those of Book, Cell, cellSums and Gap.
type (
	cellState struct {
		Period   int64   `cbor:"1,keyasint"`
		Stand    uint16  `cbor:"2,keyasint"`
		Class    uint16  `cbor:"3,keyasint"`
		End      End     `cbor:"4,keyasint"`
		Replay   bool    `cbor:"5,keyasint,omitempty"`
		Late     bool    `cbor:"6,keyasint,omitempty"`
		Total    Figures `cbor:"7,keyasint"`
		Unsealed Figures `cbor:"8,keyasint"`
	}
	gapState struct {
		Gap
		Unsealed int64 `cbor:"4,keyasint"`
	}
	ledgerState struct {
		Box                 string       `cbor:"1,keyasint"`
		ID                  ID           `cbor:"2,keyasint"`
		LastStart           Start        `cbor:"3,keyasint"`
		Running             bool         `cbor:"4,keyasint"`
		LastActive          int64        `cbor:"5,keyasint"`
		Stands              []string     `cbor:"6,keyasint"`
		Classes             []string     `cbor:"7,keyasint"`
		Periods             []Period     `cbor:"8,keyasint"`
		ClosedThrough       int64        `cbor:"9,keyasint"`
		Cells               []cellState  `cbor:"10,keyasint"`
		Gaps                []gapState   `cbor:"11,keyasint"`
		Corrections         []Adjustment `cbor:"12,keyasint"`
		UnsealedCorrections []string     `cbor:"13,keyasint"`
		Unclean             []Unclean    `cbor:"14,keyasint"`
		UncleanSealed       int          `cbor:"15,keyasint"`
		Steps               []Step       `cbor:"16,keyasint"`
		StepsSealed         int          `cbor:"17,keyasint"`
		Recorded            Figures      `cbor:"18,keyasint"`
		Sealed              Figures      `cbor:"19,keyasint"`
		Missing             int64        `cbor:"20,keyasint"`
		MissingSealed       int64        `cbor:"21,keyasint"`
		LastSeq             uint64       `cbor:"22,keyasint"`
		LastHash            Hash         `cbor:"23,keyasint"`
		SealedAt            int64        `cbor:"24,keyasint"`
		AnnouncedThrough    int64        `cbor:"25,keyasint"`
		Pending             []Sealed     `cbor:"26,keyasint"`
		DroppedThrough      int64        `cbor:"27,keyasint"`
		Kind                string       `cbor:"28,keyasint"` // kind and time zone of the calendar
		Zone                string       `cbor:"29,keyasint"`
	}
)

// Snapshot returns the record of the whole state, which replaces all records before it. It does not contain the bytes
// of pending batches.
func (b *Book) Snapshot() []byte {
	state := ledgerState{Box: b.Box, ID: b.ID, LastStart: b.lastStart, Running: b.running, LastActive: b.lastActive, Stands: b.stands, Classes: b.classes,
		Periods: b.Periods(), ClosedThrough: b.closedThrough, UnsealedCorrections: b.unsealedCorrections, Unclean: b.unclean, UncleanSealed: b.uncleanSealed,
		Steps: b.steps, StepsSealed: b.stepsSealed, Recorded: b.recorded, Sealed: b.sealed, Missing: b.missing, MissingSealed: b.missingSealed,
		LastSeq: b.lastSeq, LastHash: b.lastHash, SealedAt: b.sealedAt, AnnouncedThrough: b.announcedThrough, Pending: b.pending, DroppedThrough: b.droppedThrough,
		Kind: b.policy.Calendar.Kind, Zone: b.policy.Calendar.Zone.String()}
	for _, cell := range slices.SortedFunc(maps.Keys(b.cells), Cell.compare) {
		sum := b.cells[cell]
		state.Cells = append(state.Cells, cellState{cell.Period, cell.Stand, cell.Class, cell.End, cell.Replay, cell.Late, sum.total, sum.unsealed})
	}
	for _, key := range b.gapKeys() {
		counts := b.gaps[key]
		state.Gaps = append(state.Gaps, gapState{Gap{key.period, key.stand, counts[0]}, counts[1]})
	}
	for _, id := range slices.Sorted(maps.Keys(b.corrections)) {
		state.Corrections = append(state.Corrections, *b.corrections[id])
	}
	return record(kindSnapshot, state)
}

// restore replaces the state by that of a snapshot of the same ledger.
func (b *Book) restore(state ledgerState) error {
	if state.Box != b.Box || state.ID != b.ID {
		return fmt.Errorf("%w: the snapshot is of server %q", ErrRecord, state.Box)
	}
	calendar, err := NewCalendar(state.Kind, state.Zone)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRecord, err)
	}
	policy := b.policy
	policy.Calendar = calendar
	restored := NewBook(state.Box, state.ID, policy, state.SealedAt)
	restored.lastStart, restored.running, restored.lastActive, restored.closedThrough = state.LastStart, state.Running, state.LastActive, state.ClosedThrough
	if err := restored.applyNames(namesRecord{state.Stands, state.Classes}); err != nil {
		return err
	}
	for _, period := range state.Periods {
		restored.periods[period.Start] = period
	}
	for _, cell := range state.Cells {
		if int(cell.Stand) >= len(state.Stands) || int(cell.Class) >= len(state.Classes) || cell.End >= Ends {
			return fmt.Errorf("%w: cell of an unknown stand, class or end", ErrRecord)
		}
		restored.cells[Cell{cell.Period, cell.Stand, cell.Class, cell.End, cell.Replay, cell.Late}] = &cellSums{cell.Total, cell.Unsealed}
	}
	for _, gap := range state.Gaps {
		if int(gap.Stand) >= len(state.Stands) {
			return fmt.Errorf("%w: gap of an unknown stand", ErrRecord)
		}
		restored.gaps[gapKey{gap.Period, gap.Stand}] = &[2]int64{gap.Entries, gap.Unsealed}
	}
	for _, adjustment := range state.Corrections {
		restored.corrections[adjustment.Correction.ID] = &adjustment
	}
	for _, id := range state.UnsealedCorrections {
		if restored.corrections[id] == nil {
			return fmt.Errorf("%w: correction %q does not exist", ErrRecord, id)
		}
	}
	if state.UncleanSealed < 0 || state.UncleanSealed > len(state.Unclean) || state.StepsSealed < 0 || state.StepsSealed > len(state.Steps) {
		return fmt.Errorf("%w: more sealed unclean stops or clock steps than there are", ErrRecord)
	}
	restored.unsealedCorrections, restored.unclean, restored.uncleanSealed, restored.steps, restored.stepsSealed = state.UnsealedCorrections, state.Unclean, state.UncleanSealed, state.Steps, state.StepsSealed
	restored.recorded, restored.sealed, restored.missing, restored.missingSealed = state.Recorded, state.Sealed, state.Missing, state.MissingSealed
	restored.lastSeq, restored.lastHash, restored.announcedThrough, restored.pending, restored.droppedThrough = state.LastSeq, state.LastHash, state.AnnouncedThrough, state.Pending, state.DroppedThrough
	*b = *restored
	return nil
}
