package ledgerstore

import (
	"time"

	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

// maintain does the periodic work: it reads the clock, closes periods, processes the inbox, seals batches, rolls and
// syncs the segment, and retries after a write failure.
func (k *Store) maintain() {
	now := time.Now()
	if k.outage != nil && !now.Before(k.retryAt) {
		if err := k.rollSegment(); err != nil {
			k.retryAt = time.Now().Add(k.retry.NextBackOff())
		}
	}
	if now.Sub(k.lastMaintenance) < min(maintenanceInterval, k.opt.milliseconds(k.opt.ExportMs)) {
		return
	}
	k.lastMaintenance = now
	if step, ok := k.observeClock(); ok {
		k.log.Warn("ledger", "do", "clock", "step_ms", step.By)
		k.applyAndAppend(k.ledger.StepRecord(step))
	}
	at := k.now()
	if rec := k.ledger.ProposeClose(at); rec != nil {
		k.applyAndAppend(rec)
	}
	k.processInbox(at)
	if now.Sub(k.totalsLogged) >= totalsInterval {
		k.totalsLogged = now
		k.logTotals()
	}
	if k.outage != nil {
		return
	}
	if k.ledger.SealDue(at) {
		k.seal(at)
	}
	if k.outage == nil && k.wal.NeedsRoll() {
		if err := k.rollSegment(); err != nil {
			k.beginOutage(k.wal.NextLSN(), err)
		}
	}
	if k.outage == nil && now.Sub(k.lastSync) >= k.opt.milliseconds(k.opt.SyncMs) {
		if k.lastSync = now; k.wal.Sync() != nil {
			k.beginOutage(k.wal.NextLSN(), k.wal.Err())
		}
	}
}

// logTotals logs the ledger's totals.
func (k *Store) logTotals() {
	t, err := k.ledger.Totals()
	if err != nil {
		k.log.Error("ledger", "do", "totals", "err", err)
		return
	}
	k.log.Info("ledger", "do", "totals", "booked", t.Booked[ledger.Requests], "in_batches", t.Sealed[ledger.Requests], "missing", t.Lost,
		"batches", t.Batches, "acknowledged", t.Acknowledged, "pending_kb", t.PendingBytes>>10, "log_kb", k.wal.Size()>>10, "down", k.outage != nil)
}

// seal freezes a batch. The batch is durable before anyone can read it.
func (k *Store) seal(now int64) {
	rec, _ := k.ledger.ProposeSeal(now)
	at, err := k.commitRecord(rec)
	if err != nil {
		return
	}
	pending := k.ledger.Pending()
	k.batchPositions[pending[len(pending)-1].Seq] = wal.Position{Segment: at.Segment, Offset: at.Offset + 1, Size: at.Size - 1}
	select {
	case k.sealed <- struct{}{}:
	default:
	}
}
