package claimstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/fleet/takeover"
	"larchscale/internal/pool"
)

// poolTakeover brings the in-flight requests of one lost process to an outcome at that process's worker pool.
type poolTakeover struct {
	keysByHandle map[string]takeover.ProbedKey // by handle of the run
	stop         context.CancelFunc
}

// probe queries the pool of a lost process for the outcomes of its requests. A link that was closed because another
// replica of the same process's requests, or that process itself, connected to the pool is made again with the next
// probe: the pool keeps all notices for each link.
func (d *Store) probe(ctx context.Context, probe takeover.Probe) {
	if active := d.takeovers[probe.Owner]; active != nil {
		for _, key := range probe.Keys {
			if active.keysByHandle[key.Handle] != key && key.Handle != "" {
				active.stop() // the next probe starts again with all keys
				return
			}
		}
		return
	}
	active := &poolTakeover{keysByHandle: map[string]takeover.ProbedKey{}}
	var left []pool.UnfinishedRun
	cursor, longest := ^uint64(0), time.Duration(0)
	for _, key := range probe.Keys {
		request, ok := d.machine.OpenRequest(d.now(), key.Key)
		if !ok {
			continue
		}
		if key.Handle == "" {
			d.machine.HandleProof(d.now(), key.Key, probe.Owner, takeover.Proof{State: takeover.Unknown})
			continue
		}
		active.keysByHandle[key.Handle] = key
		left = append(left, pool.UnfinishedRun{Handle: key.Handle, Class: key.Key.Class, Body: request.Body, ListenOnly: !key.Alone})
		cursor, longest = min(cursor, key.Cursor), max(longest, request.Due)
	}
	if len(left) == 0 {
		return
	}
	d.counts.lost.Add(uint64(len(left)))
	ctx, active.stop = context.WithTimeout(ctx, longest)
	d.takeovers[probe.Owner] = active
	d.log.Warn("keys", "do", "take over", "box", probe.Owner.Box, "life", probe.Owner.Life, "pieces", len(left),
		"pool", probe.Pool)
	go d.followPool(ctx, probe, active, cursor, left)
}

// followPool runs one link to a lost process's pool.
func (d *Store) followPool(ctx context.Context, probe takeover.Probe, active *poolTakeover, cursor uint64, left []pool.UnfinishedRun) {
	defer active.stop()
	select { // a random delay, because the other replicas of its requests connect at the same moment
	case <-time.After(time.Duration(rand.Int64N(int64(tickInterval)))):
	case <-ctx.Done():
	}
	var link *pool.SuccessorLink
	err := pool.TakeOver(ctx, probe.Pool, cursor, left, func(connected *pool.SuccessorLink) { link = connected }, func(notice pool.RunEvent) {
		key := active.keysByHandle[notice.Handle].Key
		if notice.IsCall {
			d.call(ctx, link, notice, key.Class)
			return
		}
		d.counts.ended.Add(1)
		d.proved(key, probe.Owner, takeover.Proof{State: takeover.Ran, OK: notice.OK, Result: notice.Body})
	})
	unavailable := errors.Is(err, pool.ErrGap) || errors.Is(err, syscall.ECONNREFUSED)
	d.log.Info("keys", "do", "taken over", "box", probe.Owner.Box, "life", probe.Owner.Life, "err", err)
	d.queue <- func() {
		delete(d.takeovers, probe.Owner)
		if !unavailable {
			return
		}
		for _, key := range active.keysByHandle {
			if _, found := d.machine.OpenRequest(d.now(), key.Key); found {
				d.counts.unknown.Add(1)
				d.machine.HandleProof(d.now(), key.Key, probe.Owner, takeover.Proof{State: takeover.Unknown})
			}
		}
	}
}

func (d *Store) proved(key takeover.Key, owner takeover.Owner, proof takeover.Proof) {
	d.queue <- func() { d.machine.HandleProof(d.now(), key, owner, proof) }
}

// call makes the downstream call that a run waits for.
func (d *Store) call(ctx context.Context, link *pool.SuccessorLink, notice pool.RunEvent, class string) {
	patience := time.Second
	if end, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Until(end))
	}
	d.calls.Call(notice.Handle, d.callWaits.add(notice.Handle, link), class, 0, patience, true, notice.Body)
}

// callWaits are the runs that wait for a reply, by handle. It is safe for concurrent use.
type callWaits struct {
	mu       sync.Mutex
	lastCall uint64 // number of the last call
	byHandle map[string]waiting
}

// waiting is the call that a run waits for.
type waiting struct {
	link   *pool.SuccessorLink
	number uint64
}

// add records the call that a run waits for, and returns its number.
func (w *callWaits) add(handle string, link *pool.SuccessorLink) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byHandle == nil {
		w.byHandle = map[string]waiting{}
	}
	w.lastCall++
	w.byHandle[handle] = waiting{link, w.lastCall}
	return w.lastCall
}

// finish returns the link of the run that waits for a call that has ended; nil = no run does, or it waits for another
// call.
func (w *callWaits) finish(handle string, number uint64) *pool.SuccessorLink {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.byHandle[handle]
	if waiting.number != number {
		return nil
	}
	delete(w.byHandle, handle)
	return waiting.link
}

// Reply processes the end of a call made by Caller, as its sink. If the call failed, the run keeps waiting, and its pool
// ends it.
func (d *Store) Reply(e core.Event) {
	ended, ok := e.(core.CallEnded)
	if !ok {
		return
	}
	if link := d.callWaits.finish(ended.Handle, ended.Number); link != nil && ended.Outcome == control.OK {
		link.Reply(ended.Handle, ended.Body)
	}
}

// Metrics returns the metrics for the admin endpoint. It is safe for use from any goroutine.
func (d *Store) Metrics() []byte {
	metrics := d.metrics.Load()
	if metrics == nil {
		return nil
	}
	return fmt.Appendf(nil, "keys.mine=%d\nkeys.records=%d\nkeys.open=%d\nkeys.bytes=%d\nkeys.shut=%d\nkeys.lost=%d\nkeys.ended=%d\nkeys.unknown=%d\n",
		metrics.Claims, metrics.Records, metrics.Open, metrics.Bytes, metrics.Quarantined, d.counts.lost.Load(),
		d.counts.ended.Load(), d.counts.unknown.Load())
}
