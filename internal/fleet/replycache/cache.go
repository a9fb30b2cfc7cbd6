// Package replycache is the core's Downstream in front of the calls below: it carries out package callcache on a goroutine of its own.
// A call of a kept class is answered by a reply that is kept, by the call that another makes already, by the home of
// its slice in the fleet, or below. Calls of other classes go below as they are.
package replycache

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"larchscale/control"
	"larchscale/internal/callcache"
	"larchscale/internal/core"
	"larchscale/internal/fleet/membership"
	"larchscale/internal/link"
)

const (
	self       = 0    // this box, among the numbers of boxes
	maxQueue   = 4096 // of what other boxes sent
	maxSpoilt  = 4096 // handles whose call was given up
	lastWord   = 50   // ms past its patience within which a call's own end is still heard
	stoppedFor = time.Hour
)

// want is a call of the core that is not answered yet.
type want struct {
	who           uint64
	handle, class string
	number        uint64 // of the core's call, and of the one below that is made for it
	subject       uint64
	body          []byte
	key           callcache.Key
	due           int64
	calling       bool   // below
	ask           uint64 // number of its question to a home; 0 = none
	home          string
	heard         bool  // the home has answered
	leads         bool  // the home waits for what becomes of its call
	until         int64 // it waits no longer behind a call that another box makes; 0 = it does not
}

// Cache is one process's. Its methods are safe from any goroutine.
type Cache struct {
	box   string
	sink  func(core.Event)
	log   *slog.Logger
	wake  chan struct{}
	mu    sync.Mutex
	queue []func(context.Context)

	below core.Downstream

	// Of the loop.
	kept *callcache.Cache
	// maxQueuedBytes bounds the messages that wait for all other servers: as much as the replies that are kept.
	maxQueuedBytes int64
	lasts          map[string]int64 // ms, by kept class
	who            uint64
	wants          map[uint64]*want
	handles        map[string]*want
	spoilt         *simplelru.LRU[string, struct{}] // a reply that was on its way must not pass for that of the handle's next call
	remotes        map[uint64]*remote
	led            map[callcache.Key]uint64 // keys of this home that another box makes the call of, with who
	homes          []uint16                 // nil = no placement yet
	epoch          uint64
	numbers        map[string]uint16
	names          []string         // by number
	streams        sender           // nil = there is nobody else
	rests          map[string]int64 // boxes that are asked nothing, until when

	hits, home, calls, served, bytes atomic.Int64
}

// New makes the reply cache of a server, which is off unless Options.Bytes is over 0; sink is told how calls end.
func New(opt Options, box string, site *core.Config, sink func(core.Event), log *slog.Logger) (*Cache, error) {
	store, err := opt.store(site)
	if err != nil {
		return nil, err
	}
	spoilt, err := simplelru.NewLRU[string, struct{}](maxSpoilt, nil)
	if err != nil {
		return nil, err
	}
	return &Cache{box: box, sink: sink, log: log, wake: make(chan struct{}, 1), kept: store, maxQueuedBytes: opt.Bytes, lasts: opt.Classes, spoilt: spoilt, wants: map[uint64]*want{}, handles: map[string]*want{},
		remotes: map[uint64]*remote{}, led: map[callcache.Key]uint64{}, numbers: map[string]uint16{box: self}, names: []string{box}, rests: map[string]int64{}}, nil
}

// Attach gives it the calls below, whose sink is Ended. It comes before Run.
func (k *Cache) Attach(below core.Downstream) { k.below = below }

// Stand gives it its ways to the homes, by name as the box's own, else as the fleet knows them. It comes before Run.
func (k *Cache) Stand(g *membership.State, l *link.Link, ways map[string]string) {
	k.streams = k.newStreams(l, g.Addr, ways)
}

// enter has f run on the loop. What the core asks for is as bounded as its open requests.
func (k *Cache) enter(f func(context.Context)) {
	k.mu.Lock()
	k.queue = append(k.queue, f)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Cache) full() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue) >= maxQueue
}

// Run is the loop, until ctx ends.
func (k *Cache) Run(ctx context.Context) {
	timer := time.NewTimer(stoppedFor)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-timer.C:
		}
		k.mu.Lock()
		work := k.queue
		k.queue = nil
		k.mu.Unlock()
		for _, f := range work {
			f(ctx)
		}
		next := k.late(ctx)
		k.bytes.Store(k.kept.Bytes())
		timer.Reset(next)
	}
}

func now() int64 { return time.Now().UnixMilli() }

// late ends what has waited for too long, and gives when it is to be called again.
func (k *Cache) late(ctx context.Context) time.Duration {
	at := now()
	next := k.kept.NextExpiry()
	if next <= at {
		k.tell(ctx, k.kept.ExpireWaits(at), control.TimedOut)
		next = k.kept.NextExpiry()
	}
	for who, r := range k.remotes { // those that no flight knows of are late too
		if at >= r.until {
			k.dropRemote(who, r)
			k.tell(ctx, k.kept.RemoveWaiter(r.key, who), control.TimedOut)
		}
		next = min(next, r.until)
	}
	if len(k.led) > 0 {
		for _, w := range k.wants {
			_, theirs := k.led[w.key]
			switch {
			case w.calling || w.until == 0 || !theirs:
			case at >= w.until:
				k.kept.RemoveWaiter(w.key, w.who)
				k.callBelow(w)
			default:
				next = min(next, w.until)
			}
		}
	}
	if next == math.MaxInt64 {
		return stoppedFor
	}
	return time.Duration(max(1, next-at)) * time.Millisecond
}

// Call implements core.Downstream.
func (k *Cache) Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte) {
	k.enter(func(ctx context.Context) {
		k.giveUp(ctx, handle)
		if once || k.lasts[class] == 0 || k.spoilt.Contains(handle) {
			k.below.Call(handle, number, class, subject, patience, once, body)
			return
		}
		at := now()
		k.who++
		w := &want{who: k.who, handle: handle, number: number, class: class, subject: subject, body: body, key: callcache.KeyOf(class, body), due: at + max(1, patience.Milliseconds()) + lastWord}
		k.wants[w.who], k.handles[handle] = w, w
		if _, theirs := k.led[w.key]; theirs { // that box may be gone
			w.until = at + int64(askShare*float64(w.due-at))
		}
		k.tell(ctx, []callcache.Answer{k.kept.Lookup(at, w.key, w.who, w.due)}, control.TimedOut)
	})
}

// Abandon implements core.Downstream.
func (k *Cache) Abandon(handle string) {
	k.enter(func(ctx context.Context) {
		if !k.giveUp(ctx, handle) {
			k.below.Abandon(handle)
		}
	})
}

// giveUp drops what the core no longer wants; false = it is not wanted here.
func (k *Cache) giveUp(ctx context.Context, handle string) bool {
	w := k.handles[handle]
	if w == nil {
		return false
	}
	k.drop(ctx, w, true)
	k.tell(ctx, k.kept.RemoveWaiter(w.key, w.who), control.TimedOut)
	return true
}

// drop takes a want out. A call below that is in hand for it goes with it.
func (k *Cache) drop(ctx context.Context, w *want, failed bool) {
	delete(k.wants, w.who)
	delete(k.handles, w.handle)
	if w.calling {
		k.spoilt.Add(w.handle, struct{}{})
		k.below.Abandon(w.handle)
	}
	if w.leads && failed {
		k.post(ctx, w.home, message{Kind: failure, ID: w.ask})
	}
}

// Ended takes how a call below ended, as the sink of the calls below.
func (k *Cache) Ended(e core.Event) {
	k.enter(func(ctx context.Context) {
		c, ok := e.(core.CallEnded)
		w := k.handles[c.Handle]
		if !ok || w == nil {
			k.sink(e)
			return
		}
		if !w.calling || w.number != c.Number {
			return
		}
		w.calling = false
		k.drop(ctx, w, c.Outcome != control.OK)
		k.sink(c)
		switch at := now(); c.Outcome {
		case control.OK:
			k.put(ctx, w.key, c.Body, at)
			k.tell(ctx, k.kept.CallSucceeded(at, w.key, c.Body), control.OK)
		case control.NotStarted: // its own run is over, which says nothing of the service
			k.tell(ctx, k.kept.RemoveWaiter(w.key, w.who), control.TimedOut)
		default:
			k.tell(ctx, k.kept.CallFailed(w.key, w.who), c.Outcome)
		}
	})
}

// tell does what kept says to those who want a reply; those who are to give up end as told.
func (k *Cache) tell(ctx context.Context, all []callcache.Answer, end control.Outcome) {
	for len(all) > 0 {
		a := all[0]
		all = all[1:]
		if r := k.remotes[a.Waiter]; r != nil {
			k.answer(ctx, a, r)
			continue
		}
		w := k.wants[a.Waiter]
		if w == nil {
			continue
		}
		switch a.Action {
		case callcache.Hit:
			if a.Owner != self {
				k.home.Add(1)
			} else {
				k.hits.Add(1)
			}
			k.drop(ctx, w, false)
			k.sink(core.CallEnded{Handle: w.handle, Number: w.number, Outcome: control.OK, Body: a.Reply})
		case callcache.GiveUp:
			k.drop(ctx, w, true)
			k.sink(core.CallEnded{Handle: w.handle, Number: w.number, Outcome: end})
		case callcache.CallDownstream:
			if w.ask != 0 && !w.heard {
				k.pause(w.home, "it is late")
			}
			k.callBelow(w)
		case callcache.AskOwner:
			all = append(all, k.ask(ctx, w, a)...)
		}
	}
}

func (k *Cache) callBelow(w *want) {
	k.calls.Add(1)
	w.calling = true
	k.below.Call(w.handle, w.number, w.class, w.subject, time.Duration(max(1, w.due-lastWord-now()))*time.Millisecond, false, w.body)
}

// Lines are the figures for the door.
func (k *Cache) Lines() []byte {
	return fmt.Appendf(nil, "kept.hits=%d\nkept.home=%d\nkept.below=%d\nkept.served=%d\nkept.bytes=%d\n",
		k.hits.Load(), k.home.Load(), k.calls.Load(), k.served.Load(), k.bytes.Load())
}

var _ core.Downstream = (*Cache)(nil)
