package ledgerstore

import (
	"time"

	"larchscale/internal/core"
	"larchscale/internal/ledger"
)

type sumKey struct {
	stand, class uint16
	end          ledger.End
	replay       bool
	quarter      int64
}

// Record implements core.UsageLedger.
func (k *Store) Record(u core.Usage) uint64 {
	offset := int64(k.coreStart) + k.offset.Load()
	entry := ledger.Entry{Began: (int64(u.Began) + offset) / 1e6, Ended: (int64(u.Ended) + offset) / 1e6, Stand: k.noStand, Class: k.classIndex[u.Class], End: u.End, Replay: u.Replay, Figures: u.Figures}
	if u.Tenant >= 0 {
		entry.Stand = k.standOfTenant[u.Tenant]
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waiting == 0 {
		k.oldestWaiting = time.Now()
	}
	k.waiting++
	if k.lastTicket++; k.opt.Mode == Strict && len(k.queue) < maxQueuedEntries {
		k.queue = append(k.queue, entry)
	} else {
		k.addToSum(entry)
	}
	return k.lastTicket
}

// addToSum adds an entry to a sum instead of queueing it: in relaxed mode every entry, in strict mode those beyond the
// queue's limit. It prevents memory use from growing while the disk does not respond.
func (k *Store) addToSum(e ledger.Entry) {
	quarter := e.Began / quarterMs
	if quarter != k.denseQuarter && len(k.denseUsed) == 0 {
		k.denseQuarter = quarter
	}
	var sum *ledger.Entry
	if quarter == k.denseQuarter && len(k.dense) > 0 {
		i := ((int(e.Stand)*k.classCount+int(e.Class))*int(ledger.Ends) + int(e.End)) * 2
		if e.Replay {
			i++
		}
		if sum = &k.dense[i]; sum.Figures[ledger.Requests] == 0 && sum.Ended == 0 {
			k.denseUsed = append(k.denseUsed, i)
			*sum = e
			sum.Began = quarter * quarterMs
			return
		}
	} else {
		key := sumKey{e.Stand, e.Class, e.End, e.Replay, quarter}
		if sum = k.sparse[key]; sum == nil {
			first := e
			first.Began = quarter * quarterMs
			k.sparse[key] = &first
			return
		}
	}
	sum.Ended = max(sum.Ended, e.Ended)
	sum.Figures, _ = sum.Figures.Add(e.Figures) // the sums of a quarter of an hour are far from overflow
}

// drainSums removes all sums and appends them to list.
func (k *Store) drainSums(list []ledger.Entry) []ledger.Entry {
	for _, i := range k.denseUsed {
		list = append(list, k.dense[i])
		k.dense[i] = ledger.Entry{}
	}
	k.denseUsed = k.denseUsed[:0]
	for _, e := range k.sparse {
		list = append(list, *e)
	}
	clear(k.sparse)
	return list
}

// Flush implements core.UsageLedger. In relaxed mode entries wait for the next periodic write.
func (k *Store) Flush() {
	if k.opt.Mode == Relaxed {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Ready implements core.UsageLedger. With on_failure = refuse, a disk that fails or does not respond stops new work.
func (k *Store) Ready() bool {
	if k.opt.OnFailure == RecordGap {
		return true
	}
	if k.failing.Load() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waiting == 0 || time.Since(k.oldestWaiting) < stallTimeout+k.opt.milliseconds(k.opt.WriteMs)
}

// Strict implements core.UsageLedger.
func (k *Store) Strict() bool { return k.opt.Mode == Strict }

// SendOverdue implements core.UsageLedger.
func (k *Store) SendOverdue() bool { return k.opt.OnFailure == RecordGap }
