package keeper

import (
	"time"

	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

// doChores does what time brings: the clock, periods, batches, the segment's size, a failed log.
func (k *Keeper) doChores() {
	now := time.Now()
	if k.down != nil && !now.Before(k.retryAt) {
		if err := k.roll(); err != nil {
			k.retryAt = time.Now().Add(k.retry.NextBackOff())
		}
	}
	if now.Sub(k.chores) < min(choresEach, k.opt.ms(k.opt.ExportMs)) {
		return
	}
	k.chores = now
	if step, ok := k.observe(); ok {
		k.log.Warn("ledger", "do", "clock", "step_ms", step.By)
		k.note(k.book.StepRecord(step))
	}
	at := k.now()
	if rec := k.book.ProposeClose(at); rec != nil {
		k.note(rec)
	}
	k.inbox(at)
	if now.Sub(k.told) >= tellEach {
		k.told = now
		k.tell()
	}
	if k.down != nil {
		return
	}
	if k.book.SealDue(at) {
		k.seal(at)
	}
	if k.down == nil && k.wal.Full() {
		if err := k.roll(); err != nil {
			k.fail(k.wal.Next(), err)
		}
	}
	if k.down == nil && now.Sub(k.synced) >= k.opt.ms(k.opt.SyncMs) {
		if k.synced = now; k.wal.Sync() != nil {
			k.fail(k.wal.Next(), k.wal.Failed())
		}
	}
}

// tell logs the ledger's metrics.
func (k *Keeper) tell() {
	t, err := k.book.Totals()
	if err != nil {
		k.log.Error("ledger", "do", "totals", "err", err)
		return
	}
	k.log.Info("ledger", "do", "totals", "booked", t.Booked[ledger.Requests], "in_batches", t.Sealed[ledger.Requests], "missing", t.Lost,
		"batches", t.Batches, "acknowledged", t.Acknowledged, "pending_kb", t.PendingBytes>>10, "log_kb", k.wal.Size()>>10, "down", k.down != nil)
}

// seal freezes a batch. Its bytes are on the disk before anybody gets them.
func (k *Keeper) seal(now int64) {
	rec, _ := k.book.ProposeSeal(now)
	at, err := k.promise(rec)
	if err != nil {
		return
	}
	pending := k.book.Pending()
	k.batches[pending[len(pending)-1].Seq] = wal.Position{Segment: at.Segment, Offset: at.Offset + 1, Size: at.Size - 1}
	select {
	case k.moved <- struct{}{}:
	default:
	}
}
