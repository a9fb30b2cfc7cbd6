package desk

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
	"larchscale/internal/fleet/hand"
	"larchscale/internal/pool"
)

// heir brings what one lost process had in hand to its end, at that process's worker pool.
type heir struct {
	keys map[string]hand.Asked // by handle
	stop context.CancelFunc
}

// probe asks the pool of a lost process for the ends of its pieces. A link that was taken away, by another home of the
// same process's pieces or by that process itself, is made again with the next probe: all notices are kept for each.
func (d *Desk) probe(ctx context.Context, p hand.Probe) {
	if h := d.heirs[p.Owner]; h != nil {
		for _, k := range p.Keys {
			if h.keys[k.Handle] != k && k.Handle != "" {
				h.stop() // begun again with all keys by the next probe
				return
			}
		}
		return
	}
	h := &heir{keys: map[string]hand.Asked{}}
	var left []pool.Left
	cursor, longest := ^uint64(0), time.Duration(0)
	for _, k := range p.Keys {
		piece, ok := d.hand.Piece(d.now(), k.Key)
		if !ok {
			continue
		}
		if k.Handle == "" {
			d.hand.Proved(d.now(), k.Key, p.Owner, hand.Proof{State: hand.Unknown})
			continue
		}
		h.keys[k.Handle] = k
		left = append(left, pool.Left{Handle: k.Handle, Class: k.Key.Class, Body: piece.Body, Quiet: !k.Alone})
		cursor, longest = min(cursor, k.Cursor), max(longest, piece.Due)
	}
	if len(left) == 0 {
		return
	}
	d.last.lost.Add(uint64(len(left)))
	ctx, h.stop = context.WithTimeout(ctx, longest)
	d.heirs[p.Owner] = h
	d.log.Warn("keys", "do", "take over", "box", p.Owner.Box, "life", p.Owner.Life, "pieces", len(left), "pool", p.Pool)
	go d.inherit(ctx, p, h, cursor, left)
}

// inherit is one link to a lost process's pool.
func (d *Desk) inherit(ctx context.Context, p hand.Probe, h *heir, cursor uint64, left []pool.Left) {
	defer h.stop()
	select { // the other homes of its pieces come at the same moment
	case <-time.After(time.Duration(rand.Int64N(int64(tickEach)))):
	case <-ctx.Done():
	}
	var link *pool.Heir
	err := pool.Inherit(ctx, p.Pool, cursor, left, func(x *pool.Heir) { link = x }, func(c pool.Came) {
		k := h.keys[c.Handle].Key
		if c.Call {
			d.call(ctx, link, c, k.Class)
			return
		}
		d.last.ended.Add(1)
		d.proved(k, p.Owner, hand.Proof{State: hand.Ran, OK: c.OK, Result: c.Body})
	})
	gone := errors.Is(err, pool.ErrGap) || errors.Is(err, syscall.ECONNREFUSED)
	d.log.Info("keys", "do", "taken over", "box", p.Owner.Box, "life", p.Owner.Life, "err", err)
	d.in <- func() {
		delete(d.heirs, p.Owner)
		if !gone {
			return
		}
		for _, k := range h.keys {
			if _, open := d.hand.Piece(d.now(), k.Key); open {
				d.last.unknown.Add(1)
				d.hand.Proved(d.now(), k.Key, p.Owner, hand.Proof{State: hand.Unknown})
			}
		}
	}
}

func (d *Desk) proved(k hand.Key, o hand.Owner, p hand.Proof) {
	d.in <- func() { d.hand.Proved(d.now(), k, o, p) }
}

// call makes the call below that a run waits for.
func (d *Desk) call(ctx context.Context, link *pool.Heir, c pool.Came, class string) {
	patience := time.Second
	if end, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Until(end))
	}
	d.calls.Call(c.Handle, d.waits.add(c.Handle, link), class, 0, patience, true, c.Body)
}

// waits are the runs that wait for a reply, by handle. It is safe for concurrent use.
type waits struct {
	mu    sync.Mutex
	calls uint64 // made so far: each has its number
	by    map[string]waiting
}

// waiting is a run at a call.
type waiting struct {
	link   *pool.Heir
	number uint64
}

// add gives the number of a run's call.
func (w *waits) add(handle string, link *pool.Heir) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by == nil {
		w.by = map[string]waiting{}
	}
	w.calls++
	w.by[handle] = waiting{link, w.calls}
	return w.calls
}

// end gives the link of the run that waits for the end of that call; nil = none does, or it is at another.
func (w *waits) end(handle string, number uint64) *pool.Heir {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.by[handle]
	if x.number != number {
		return nil
	}
	delete(w.by, handle)
	return x.link
}

// Reply takes what a call of Calls came to, as its sink. Without a reply the run goes on to wait, and its pool ends it.
func (d *Desk) Reply(e core.Event) {
	c, ok := e.(core.CallEnded)
	if !ok {
		return
	}
	if link := d.waits.end(c.Handle, c.Number); link != nil && c.Outcome == control.OK {
		link.Reply(c.Handle, c.Body)
	}
}

// Lines are the figures for the door. It is safe from any goroutine.
func (d *Desk) Lines() []byte {
	f := d.shown.Load()
	if f == nil {
		return nil
	}
	return fmt.Appendf(nil, "keys.mine=%d\nkeys.records=%d\nkeys.open=%d\nkeys.bytes=%d\nkeys.shut=%d\nkeys.lost=%d\nkeys.ended=%d\nkeys.unknown=%d\n",
		f.Mine, f.Records, f.Open, f.Bytes, f.Quarantined, d.last.lost.Load(), d.last.ended.Load(), d.last.unknown.Load())
}
