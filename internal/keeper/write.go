package keeper

import (
	"fmt"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

// write puts all that waits into the book and the log, as one group.
func (k *Keeper) write() {
	k.wrote = time.Now()
	k.mu.Lock()
	list, through := k.unfold(k.queue), k.ticket
	k.queue, k.spare, k.waits = k.spare[:0], list, 0
	k.mu.Unlock()
	if len(list) == 0 {
		return
	}
	kept := list[:0]
	for _, e := range list {
		if err := k.book.Enter(e); err != nil { // the book is full, or a sum too large: the rest goes on
			k.log.Error("ledger", "do", "enter", "err", err)
			k.note(k.book.GapRecord(map[uint16]int64{e.Stand: e.Figures[ledger.Requests]}, e.Ended))
			continue
		}
		kept = append(kept, e)
	}
	k.through = through
	if len(kept) == 0 {
		return
	}
	written := k.down == nil && k.put(ledger.EntriesRecord(kept), k.opt.SyncMs == 0) == nil
	if !written {
		counts := map[uint16]int64{}
		for _, e := range kept {
			counts[e.Stand] += e.Figures[ledger.Requests]
		}
		written = k.tellMissing(counts)
	}
	if written && k.opt.Mode == Strict {
		k.sink(core.Booked{Through: through})
	}
}

// tellMissing says in the outage slot what would be missing if the box died now.
func (k *Keeper) tellMissing(counts map[uint16]int64) bool {
	k.down.add(counts, len(k.down.first) == 0)
	if k.opt.OnFailure != Gap {
		return false
	}
	k.down.count, k.down.at = k.slots, k.now()
	err := k.down.write(k.fs)
	k.slots = k.down.count
	return err == nil
}

// put writes a record, and has it on the disk if sync is set; an error begins an outage.
func (k *Keeper) put(rec []byte, sync bool) error {
	_, err := k.putAt(rec, sync)
	return err
}

func (k *Keeper) putAt(rec []byte, sync bool) (wal.Position, error) {
	lsn := k.wal.Next()
	at, err := k.wal.Append(rec)
	if err == nil && sync {
		err = k.wal.Sync()
		k.synced = time.Now()
	}
	if err != nil {
		k.fail(lsn, err)
		return wal.Position{}, err
	}
	return at[0], nil
}

// fail begins an outage: the book goes on in memory until a new segment with all of it can be written.
func (k *Keeper) fail(lsn uint64, err error) {
	if k.down != nil {
		return
	}
	k.down = &outage{segment: k.wal.Segment(), lsn: lsn}
	k.failing.Store(true)
	k.retry.Reset()
	k.retryAt = time.Now().Add(k.retry.NextBackOff())
	k.log.Error("ledger", "do", "write", "on_failure", k.opt.OnFailure, "err", err)
}

// note applies a record of the keeper's own and writes it; one that cannot be written is in the next segment.
func (k *Keeper) note(rec []byte) {
	if err := k.book.Apply(rec); err != nil {
		k.log.Error("ledger", "do", "apply", "err", err)
		return
	}
	if k.down == nil {
		k.put(rec, false)
	}
}

// promise writes a record so that it is on the disk, and only then applies it.
func (k *Keeper) promise(rec []byte) (wal.Position, error) {
	if k.down != nil {
		return wal.Position{}, k.wal.Failed()
	}
	at, err := k.putAt(rec, true)
	if err != nil {
		return at, err
	}
	if err := k.book.Apply(rec); err != nil { // it was proposed to this book
		k.log.Error("ledger", "do", "apply", "err", err)
		return wal.Position{}, err
	}
	return at, nil
}

// roll begins a new segment with the book and the batches that wait.
func (k *Keeper) roll() error {
	keep := [][]byte{k.book.Snapshot()}
	pending := k.book.Pending()
	for _, s := range pending {
		bytes, err := k.wal.ReadAt(k.batches[s.Seq])
		if err != nil {
			return fmt.Errorf("batch %d: %w", s.Seq, err)
		}
		keep = append(keep, ledger.KeptRecord(bytes))
	}
	at, err := k.wal.Roll(keep...)
	if err != nil {
		return err
	}
	clear(k.batches)
	for i, s := range pending {
		p := at[i+1]
		k.batches[s.Seq] = wal.Position{Segment: p.Segment, Offset: p.Offset + 1, Size: p.Size - 1}
	}
	k.synced = time.Now()
	if k.down != nil {
		k.log.Info("ledger", "do", "written again", "entries", sum(k.down.first)+sum(k.down.later))
		k.down = nil
		k.failing.Store(false)
		if k.opt.Mode == Strict {
			k.sink(core.Booked{Through: k.through})
		}
	}
	return nil
}
