package ledgerstore

import (
	"fmt"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

// write moves all waiting entries into the in-memory ledger and writes them to the log as one group.
func (k *Store) write() {
	k.lastWrite = time.Now()
	k.mu.Lock()
	entries, through := k.drainSums(k.queue), k.lastTicket
	k.queue, k.spare, k.waiting = k.spare[:0], entries, 0
	k.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	recorded := entries[:0]
	for _, e := range entries {
		// The ledger is full or a sum overflows: the other entries are still written.
		if err := k.ledger.Enter(e); err != nil {
			k.log.Error("ledger", "do", "enter", "err", err)
			k.applyAndAppend(k.ledger.GapRecord(map[uint16]int64{e.Stand: e.Figures[ledger.Requests]}, e.Ended))
			continue
		}
		recorded = append(recorded, e)
	}
	k.recordedThrough = through
	if len(recorded) == 0 {
		return
	}
	written := k.outage == nil && k.appendRecord(ledger.EntriesRecord(recorded), k.opt.SyncMs == 0) == nil
	if !written {
		counts := map[uint16]int64{}
		for _, e := range recorded {
			counts[e.Stand] += e.Figures[ledger.Requests]
		}
		written = k.recordMissing(counts)
	}
	if written && k.opt.Mode == Strict {
		k.sink(core.LedgerWritten{Through: through})
	}
}

// recordMissing writes to the outage slot how many entries would be missing if the process died now. It reports whether
// the entries may be confirmed.
func (k *Store) recordMissing(counts map[uint16]int64) bool {
	k.outage.add(counts, len(k.outage.first) == 0)
	if k.opt.OnFailure != RecordGap {
		return false
	}
	k.outage.count, k.outage.at = k.slotWrites, k.now()
	err := k.outage.write(k.fs)
	k.slotWrites = k.outage.count
	return err == nil
}

// appendRecord appends a record, and syncs the log if sync is set. An error begins an outage.
func (k *Store) appendRecord(rec []byte, sync bool) error {
	_, err := k.appendRecordAt(rec, sync)
	return err
}

func (k *Store) appendRecordAt(rec []byte, sync bool) (wal.Position, error) {
	lsn := k.wal.NextLSN()
	at, err := k.wal.Append(rec)
	if err == nil && sync {
		err = k.wal.Sync()
		k.lastSync = time.Now()
	}
	if err != nil {
		k.beginOutage(lsn, err)
		return wal.Position{}, err
	}
	return at[0], nil
}

// beginOutage begins an outage: entries are kept in memory until a new segment with the whole ledger can be written.
func (k *Store) beginOutage(lsn uint64, err error) {
	if k.outage != nil {
		return
	}
	k.outage = &outage{segment: k.wal.Segment(), lsn: lsn}
	k.failing.Store(true)
	k.retry.Reset()
	k.retryAt = time.Now().Add(k.retry.NextBackOff())
	k.log.Error("ledger", "do", "write", "on_failure", k.opt.OnFailure, "err", err)
}

// applyAndAppend applies a record to the in-memory ledger and writes it. If it cannot be written now, the snapshot in
// the next segment includes it.
func (k *Store) applyAndAppend(rec []byte) {
	if err := k.ledger.Apply(rec); err != nil {
		k.log.Error("ledger", "do", "apply", "err", err)
		return
	}
	if k.outage == nil {
		k.appendRecord(rec, false)
	}
}

// commitRecord syncs a record to disk before it applies the record to the in-memory ledger.
func (k *Store) commitRecord(rec []byte) (wal.Position, error) {
	if k.outage != nil {
		return wal.Position{}, k.wal.Err()
	}
	at, err := k.appendRecordAt(rec, true)
	if err != nil {
		return at, err
	}
	if err := k.ledger.Apply(rec); err != nil { // unexpected, as the record was proposed for this state
		k.log.Error("ledger", "do", "apply", "err", err)
		return wal.Position{}, err
	}
	return at, nil
}

// rollSegment begins a new segment with a snapshot of the ledger and the pending batches.
func (k *Store) rollSegment() error {
	keep := [][]byte{k.ledger.Snapshot()}
	pending := k.ledger.Pending()
	for _, s := range pending {
		bytes, err := k.wal.ReadAt(k.batchPositions[s.Seq])
		if err != nil {
			return fmt.Errorf("batch %d: %w", s.Seq, err)
		}
		keep = append(keep, ledger.KeptRecord(bytes))
	}
	positions, err := k.wal.Roll(keep...)
	if err != nil {
		return err
	}
	clear(k.batchPositions)
	for i, s := range pending {
		p := positions[i+1]
		k.batchPositions[s.Seq] = wal.Position{Segment: p.Segment, Offset: p.Offset + 1, Size: p.Size - 1}
	}
	k.lastSync = time.Now()
	if k.outage != nil {
		k.log.Info("ledger", "do", "written again", "entries", total(k.outage.first)+total(k.outage.later))
		k.outage = nil
		k.failing.Store(false)
		if k.opt.Mode == Strict {
			k.sink(core.LedgerWritten{Through: k.recordedThrough})
		}
	}
	return nil
}
