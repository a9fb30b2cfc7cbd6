// Package desk has the core's keyed work claimed in the fleet: it carries out package hand on a goroutine of its own,
// as the core's Store. Claims and ends go to the homes of their keys over streams of their own, and what lost boxes had
// in hand is brought to its end at their worker pools.
package desk

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/fleet/ground"
	"larchscale/internal/fleet/hand"
	"larchscale/internal/fleet/transport"
	"larchscale/internal/link"
)

const (
	tickEach = 50 * time.Millisecond
	maxQueue = 4096 // of what came from outside
	maxTurn  = 256  // of it that is worked off before what follows is sent
)

// Options are what a desk has to know of its box.
type Options struct {
	Box    string
	Site   *core.Site
	Limits hand.Limits
	Cursor func() uint64     // of the worker pool's link
	Ways   map[string]string // how this box reaches others, by name; who is not in it is reached where it says itself
}

// Desk is one process's.
type Desk struct {
	opt    Options
	ground *ground.Ground
	sink   func(core.Event)
	log    *slog.Logger
	in     chan func()
	giving atomic.Int64                          // Disowns that are on their way to the core
	lived  atomic.Uint64                         // the life under which hand acts
	held   atomic.Uint64                         // the life that what the core has claimed is of; 0 = it is to give up
	whole  atomic.Pointer[[hand.Slices / 8]byte] // a bit each
	shown  atomic.Pointer[hand.Figures]

	// Of the loop.
	hand    *hand.Hand
	life    uint64 // of the view that hand has
	placed  bool   // slices had homes in it
	next    *ground.View
	streams *transport.Streams[*hand.Msg]
	heirs   map[hand.Owner]*heir
	calls   Calls
	last    tally
	waits   waits
}

// Calls makes calls below for runs of lost boxes. Its methods are as core.Caller's.
type Calls interface {
	Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte)
}

// tally counts what was taken over.
type tally struct {
	lost, ended, unknown atomic.Uint64
}

// New makes a desk. It is the core's store from its start; what it is asked for before the fleet has a placement, it
// refuses.
func New(opt Options, sink func(core.Event), log *slog.Logger) *Desk {
	return &Desk{opt: opt, sink: sink, log: log, in: make(chan func(), maxQueue), hand: hand.New(opt.Limits), heirs: map[hand.Owner]*heir{}}
}

// Stand gives the desk its ground and its ways, before Run.
func (d *Desk) Stand(g *ground.Ground, l *link.Link, calls Calls) {
	d.ground, d.calls = g, calls
	d.streams = d.newStreams(l)
}

// Run is the loop, until ctx ends.
func (d *Desk) Run(ctx context.Context) {
	tick := time.NewTicker(tickEach)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.renew()
			d.hand.Tick(d.now())
			d.publish()
		case f := <-d.in:
			d.renew()
			f()
			for n := min(len(d.in), maxTurn); n > 0; n-- {
				(<-d.in)()
			}
		}
		d.flush(ctx)
	}
}

func (d *Desk) now() time.Duration { return d.ground.Now() }

// renew tells the lease as it is now, and takes a view that waited for the first lease of its life.
func (d *Desk) renew() {
	d.hand.Lease(d.ground.Until())
	if v := d.next; v != nil && d.ground.Holds() {
		d.next = nil
		d.take(v)
	}
}

// enter has f run on the loop; false = its queue is full.
func (d *Desk) enter(f func()) bool {
	select {
	case d.in <- f:
		return true
	default:
		return false
	}
}

// View takes the next view, on the fleet's loop. It is never lost: without room the desk would act under one that is over.
func (d *Desk) View(v *ground.View) {
	d.in <- func() {
		if v.Life != d.life && v.Life != 0 && !d.ground.Holds() {
			d.next = v
			return
		}
		d.next = nil
		d.take(v)
	}
}

// take gives hand a view.
func (d *Desk) take(v *ground.View) {
	first := v.Life != d.life || !d.placed // under this life this box was no home before
	d.life, d.placed = v.Life, v.Placed()
	d.lived.Store(v.Life)
	lives, pools := map[string]uint64{}, map[hand.Owner]string{}
	for name, b := range v.Lives {
		lives[name] = b.Life
	}
	for _, b := range v.Lost { // one that lives again has its pool for itself
		pools[hand.Owner{Box: b.Name, Life: b.Life}] = b.Pool
	}
	d.hand.SetView(d.now(), hand.View{Epoch: v.Epoch, Prev: v.Prev, Self: d.opt.Box, Life: v.Life, Lives: lives, Pools: pools,
		Homes: func(slice int) (out []string) {
			for _, name := range both(v.Homes(slice)) {
				if name != "" {
					out = append(out, name)
				}
			}
			return out
		},
		Fresh: func(slice int) bool { return first && v.Original(slice, d.opt.Box) },
	}, d.ground.Until())
}

func both(a, b string) [2]string { return [2]string{a, b} }

// Whole tells that all records of a slice are here. It is safe from any goroutine.
func (d *Desk) Whole(slice int) bool {
	bits := d.whole.Load()
	return bits != nil && bits[slice/8]>>(slice%8)&1 == 1
}

func (d *Desk) publish() {
	bits := new([hand.Slices / 8]byte)
	for i := range hand.Slices {
		if d.hand.Whole(i) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	d.whole.Store(bits)
	f := d.hand.Figures()
	d.shown.Store(&f)
}

// flush does what hand wants done.
func (d *Desk) flush(ctx context.Context) {
	out := d.hand.Drain(d.now())
	if out.Disown {
		d.giving.Add(1)
		d.held.Store(0)
		d.sink(core.Disown{Taken: func() {
			if d.giving.Add(-1) == 0 {
				d.held.Store(d.lived.Load())
			}
		}})
	} else if d.giving.Load() == 0 {
		d.held.Store(d.life)
	}
	for _, s := range out.Sends {
		d.streams.Send(ctx, s.To, s.Msg)
	}
	for _, v := range out.Verdicts {
		d.verdict(v)
	}
	for _, f := range out.Finished {
		if k, ok := d.key(f.Key); ok {
			d.sink(core.Finished{Key: k, OK: f.OK})
		}
	}
	for _, a := range out.Adopts {
		d.adopt(a.Piece)
	}
	for _, p := range out.Probes {
		d.probe(ctx, p)
	}
}

var claims = map[hand.State]core.Claim{hand.Won: core.ClaimWon, hand.Other: core.ClaimOther, hand.Done: core.ClaimDone,
	hand.Failed: core.ClaimFailed, hand.Off: core.ClaimOff, hand.Down: core.ClaimDown}

func (d *Desk) verdict(v hand.Verdict) {
	k, ok := d.key(v.Key)
	if !ok {
		return
	}
	if v.State == hand.Down {
		d.log.Info("keys", "do", "refuse", "class", v.Key.Class, "why", v.Why)
	}
	d.sink(core.Claimed{Key: k, State: claims[v.State], Result: v.Result})
}

func (d *Desk) key(k hand.Key) (core.Key, bool) {
	c := d.opt.Site.Class(k.Class)
	return core.Key{Class: c, Token: k.Token}, c >= 0
}

func (d *Desk) theirs(k core.Key) hand.Key {
	return hand.Key{Class: d.opt.Site.Classes[k.Class], Token: k.Token}
}

// adopt hands the core a piece that is run here.
func (d *Desk) adopt(p hand.Piece) {
	k, ok := d.key(p.Key)
	if !ok {
		d.enter(func() { d.hand.Release(d.now(), p.Key) })
		return
	}
	d.sink(core.Adopt{Piece: core.Piece{Key: k, Handle: p.Handle, Sum: p.Sum, Body: p.Body, Tenant: d.opt.Site.Tenant(p.Tenant), Rank: p.Rank,
		Memory: p.Memory, Work: p.Work, Subject: p.Subject, Caller: p.Caller, Left: p.Due, Life: p.Life}})
}

// Claim implements core.Store.
func (d *Desk) Claim(p core.Piece) bool {
	tenant := ""
	if p.Tenant >= 0 {
		tenant = d.opt.Site.Tenants[p.Tenant]
	}
	x := hand.Piece{Key: d.theirs(p.Key), Sum: p.Sum, Body: p.Body, Handle: p.Handle, Cursor: d.opt.Cursor(), Tenant: tenant, Subject: p.Subject,
		Caller: p.Caller, Rank: p.Rank, Memory: p.Memory, Work: p.Work, Due: p.Left, Life: p.Life}
	return d.enter(func() {
		if d.giving.Load() > 0 || !d.hand.Live(d.now()) {
			d.verdict(hand.Verdict{Key: x.Key, State: hand.Down, Why: "this box holds no lease"})
			return
		}
		d.hand.Claim(d.now(), x)
	})
}

// Finish implements core.Store: the end waits until it is at its homes.
func (d *Desk) Finish(k core.Key, _ [32]byte, ok bool, result []byte, _ time.Duration) bool {
	result = slices.Clone(result)
	if !d.enter(func() { d.hand.Finish(d.now(), d.theirs(k), ok, result, why(ok)) }) {
		d.log.Warn("keys", "do", "finish", "err", "no room")
	}
	return true
}

func why(ok bool) string {
	if ok {
		return ""
	}
	return "its run failed"
}

// Release implements core.Store.
func (d *Desk) Release(k core.Key) {
	if !d.enter(func() { d.hand.Release(d.now(), d.theirs(k)) }) {
		d.log.Warn("keys", "do", "release", "err", "no room")
	}
}

// Holds implements core.Store. A lease of this process's next life holds nothing that was claimed under the last one. It
// is safe from any goroutine.
func (d *Desk) Holds() bool {
	life := d.held.Load()
	return life != 0 && d.giving.Load() == 0 && d.ground.Holds() && d.ground.Life() == life
}

var _ core.Store = (*Desk)(nil)
