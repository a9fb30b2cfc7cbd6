package keeper

import (
	"time"

	"larchscale/internal/core"
	"larchscale/internal/ledger"
)

type foldKey struct {
	stand, class uint16
	end          ledger.End
	replay       bool
	quarter      int64
}

// Book implements core.Booker.
func (k *Keeper) Book(u core.Use) uint64 {
	at := int64(k.start) + k.offset.Load()
	e := ledger.Entry{Began: (int64(u.Began) + at) / 1e6, Ended: (int64(u.Ended) + at) / 1e6, Stand: k.none, Class: k.classes[u.Class], End: u.End, Replay: u.Replay, Figures: u.Figures}
	if u.Tenant >= 0 {
		e.Stand = k.tenants[u.Tenant]
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waits == 0 {
		k.oldest = time.Now()
	}
	k.waits++
	if k.ticket++; k.opt.Mode == Strict && len(k.queue) < maxQueue {
		k.queue = append(k.queue, e)
	} else {
		k.fold(e)
	}
	return k.ticket
}

// fold sums entries that need not be written one by one: in relaxed mode all, in strict mode those that find no
// room. Guards against memory that grows with a disk that does not answer.
func (k *Keeper) fold(e ledger.Entry) {
	q := e.Began / quarter
	if q != k.denseAt && len(k.used) == 0 {
		k.denseAt = q
	}
	var have *ledger.Entry
	if q == k.denseAt && len(k.dense) > 0 {
		i := ((int(e.Stand)*k.classCount+int(e.Class))*int(ledger.Ends) + int(e.End)) * 2
		if e.Replay {
			i++
		}
		if have = &k.dense[i]; have.Figures[ledger.Requests] == 0 && have.Ended == 0 {
			k.used = append(k.used, i)
			*have = e
			have.Began = q * quarter
			return
		}
	} else {
		key := foldKey{e.Stand, e.Class, e.End, e.Replay, q}
		if have = k.folded[key]; have == nil {
			first := e
			first.Began = q * quarter
			k.folded[key] = &first
			return
		}
	}
	have.Ended = max(have.Ended, e.Ended)
	have.Figures, _ = have.Figures.Add(e.Figures) // a quarter of an hour is far from the bounds
}

// unfold takes the sums out, and adds them to list.
func (k *Keeper) unfold(list []ledger.Entry) []ledger.Entry {
	for _, i := range k.used {
		list = append(list, k.dense[i])
		k.dense[i] = ledger.Entry{}
	}
	k.used = k.used[:0]
	for _, e := range k.folded {
		list = append(list, *e)
	}
	clear(k.folded)
	return list
}

// Flush implements core.Booker. In relaxed mode entries wait for the next regular writing.
func (k *Keeper) Flush() {
	if k.opt.Mode == Relaxed {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Ready implements core.Booker: with on_failure = refuse a disk that fails or does not answer stops new work.
func (k *Keeper) Ready() bool {
	if k.opt.OnFailure == Gap {
		return true
	}
	if k.failing.Load() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waits == 0 || time.Since(k.oldest) < stalled+k.opt.ms(k.opt.WriteMs)
}

// Strict implements core.Booker.
func (k *Keeper) Strict() bool { return k.opt.Mode == Strict }

// Overdue implements core.Booker.
func (k *Keeper) Overdue() bool { return k.opt.OnFailure == Gap }
