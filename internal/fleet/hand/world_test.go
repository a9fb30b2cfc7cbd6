package hand

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const ms = time.Millisecond

var simLimits = Limits{Longest: 12 * time.Second, Lag: time.Second, Adopted: 3, Retry: 100 * ms}

const (
	leaseFor = 600 * ms
	dueIn    = 2500 * ms
	step     = 10 * ms
)

// box is a machine: its process has a Hand and a core, which knows its calls and what its pool runs for it.
type box struct {
	name    string
	h       *Hand
	life    uint64
	applied int           // views
	next    time.Duration // when the next view is taken, if it is there
	granted time.Duration // the log's end of its lease
	frozen  time.Duration // until then it does nothing
	down    time.Duration // until then there is no process; 0 = there is
	cut     time.Duration // until then it hears nobody
	calls   map[Key]*call
}

type call struct {
	p       Piece
	started time.Duration
	again   time.Duration // when the core asks again; 0 = it waits
	asked   int64
	runs    bool
	failed  bool
	end     int64 // place of its Finish among the operations
}

type run struct {
	at, end time.Duration
	result  string
	by      *box
	life    uint64
	told    bool
}

// workers is the pool of one process; it lives apart from it.
type workers struct {
	dead, fenced bool
	runs         map[Key]*run
}

type packet struct {
	at       time.Duration
	from, to string
	m        *Msg
}

// world is a fleet in virtual time.
type world struct {
	rnd     *rand.Rand // nil: nothing is by chance
	bug     defects
	now     time.Duration
	boxes   []*box
	net     []packet
	later   []func() // what the pools and the log have still to hear
	views   []View
	homes   map[int]bool // slices that keys are in
	pools   map[Owner]*workers
	noPool  map[Owner]bool
	ran     map[Key]int
	first   map[Key]string // the result first answered
	ended   map[Key]int
	ops     []op
	clock   int64
	history []string
	bad     string
	loss    int // in a thousand
	slow    time.Duration
	stats   map[string]int
}

func (w *world) note(f string, a ...any) {
	w.history = append(w.history, fmt.Sprintf("%6d ", w.now/ms)+fmt.Sprintf(f, a...))
}

func (w *world) fail(f string, a ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf(f, a...)
		w.note("%s", w.bad)
	}
}

func (w *world) chance(n int) bool { return w.rnd != nil && w.rnd.IntN(1000) < n }

func (w *world) wait(most time.Duration) time.Duration {
	if w.rnd == nil {
		return step
	}
	return 1*ms + time.Duration(w.rnd.Int64N(int64(most)))
}

func newWorld(rnd *rand.Rand, n int, keys []Key, bug defects) *world {
	w := &world{rnd: rnd, bug: bug, now: time.Second, homes: map[int]bool{}, pools: map[Owner]*workers{}, noPool: map[Owner]bool{}, slow: 20 * ms,
		ran: map[Key]int{}, first: map[Key]string{}, ended: map[Key]int{}, stats: map[string]int{}}
	for _, k := range keys {
		w.homes[k.Slice()] = true
	}
	lives := map[string]uint64{}
	for i := range n {
		b := &box{name: fmt.Sprintf("n%02d", i), h: New(simLimits)}
		b.h.bug = bug
		w.boxes = append(w.boxes, b)
		w.join(b, lives)
	}
	w.view(lives)
	return w
}

func (w *world) join(b *box, lives map[string]uint64) {
	w.clock++
	b.life, b.granted, b.calls = uint64(w.clock), w.now+leaseFor, map[Key]*call{}
	lives[b.name] = b.life
	o := Owner{b.name, b.life}
	w.pools[o] = &workers{runs: map[Key]*run{}}
	w.noPool[o] = w.chance(100)
}

// view is a change that the log agrees on. Homes are by rendezvous.
func (w *world) view(lives map[string]uint64) {
	w.clock++
	v := View{Epoch: uint64(w.clock), Lives: lives, Pools: map[Owner]string{}}
	if n := len(w.views); n > 0 {
		v.Prev = w.views[n-1].Epoch
	}
	names := slices.Sorted(maps.Keys(lives))
	homes := map[int][]string{}
	for i := range w.homes {
		order := slices.Clone(names)
		score := func(n string) uint64 { return xxhash.Sum64(strconv.AppendInt([]byte(n), int64(i), 10)) }
		slices.SortFunc(order, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
		homes[i] = order[:min(2, len(order))]
	}
	v.Homes = func(i int) []string { return homes[i] }
	first := len(w.views) == 0
	v.Fresh = func(int) bool { return first }
	for o := range w.pools {
		if !w.noPool[o] {
			v.Pools[o] = o.Box
		}
	}
	w.views = append(w.views, v)
	w.note("view %d: %v", v.Epoch, lives)
}

// step is 10 ms of all.
func (w *world) step() {
	w.now += step
	w.log()
	for _, b := range w.boxes {
		if !w.awake(b) {
			continue
		}
		for b.applied < len(w.views) && (b.next <= w.now || b.applied == 0) {
			if w.chance(100) { // from a snapshot of the log: views in between are not seen
				b.applied = len(w.views) - 1
			}
			v := w.views[b.applied]
			b.applied++
			b.next = w.now + w.wait(150*ms)
			v.Self, v.Life = b.name, b.h.view.Life
			if b.h.over { // no view is this process's own but those with its own entry
				v.Life = b.life
				if b.life == 0 || v.Lives[b.name] != b.life {
					continue
				}
			}
			b.h.SetView(w.now, v, b.granted)
			w.drain(b)
		}
		if b.cut == 0 {
			b.h.Lease(b.granted)
		}
		if w.now%(100*ms) == 0 {
			b.h.Tick(w.now)
		}
		w.drain(b)
		w.core(b)
	}
	due := w.net
	w.net = nil
	for _, p := range due {
		b := w.box(p.to)
		switch {
		case p.at > w.now || b.frozen > w.now:
			w.net = append(w.net, p)
		case b.down == 0 && b.cut == 0 && w.box(p.from).cut == 0:
			b.h.Receive(w.now, p.from, p.m)
			w.drain(b)
		}
	}
	todo := w.later
	w.later = nil
	for _, f := range todo {
		f()
	}
}

func (w *world) awake(b *box) bool { return b.down == 0 && b.frozen <= w.now }

func (w *world) box(name string) *box {
	return w.boxes[slices.IndexFunc(w.boxes, func(b *box) bool { return b.name == name })]
}

// log renews leases of those it hears, and declares lost whose lease is over; they come back as new lives.
func (w *world) log() {
	was := w.views[len(w.views)-1].Lives
	lives := maps.Clone(was)
	for _, b := range w.boxes {
		if b.cut != 0 && b.cut <= w.now {
			b.cut = 0
		}
		if b.down != 0 && b.down <= w.now && lives[b.name] == 0 {
			b.down, b.h, b.applied, b.life = 0, New(simLimits), 0, 0
			b.h.bug = w.bug
		}
		switch {
		case lives[b.name] == 0 && w.awake(b) && b.cut == 0:
			w.join(b, lives)
			b.next = w.now + 2*step
		case lives[b.name] != 0 && w.awake(b) && b.cut == 0 && w.now < b.granted && !b.h.over && lives[b.name] == b.life:
			b.granted = w.now + leaseFor
		case lives[b.name] != 0 && w.now >= b.granted+50*ms:
			delete(lives, b.name)
		}
	}
	if !maps.Equal(was, lives) {
		w.view(lives)
	}
}

// drain does what a box's hand wants done.
func (w *world) drain(b *box) {
	out := b.h.Drain(w.now)
	if out.Disown {
		w.note("%s disowns", b.name)
		b.calls = map[Key]*call{}
	}
	for _, s := range out.Sends {
		if w.chance(w.loss) {
			continue
		}
		w.net = append(w.net, packet{w.now + w.wait(w.slow), b.name, s.To, s.Msg})
		if w.chance(w.loss) {
			w.net = append(w.net, packet{w.now + w.wait(20*w.slow), b.name, s.To, s.Msg})
		}
	}
	for _, v := range out.Verdicts {
		w.note("%s: %s %v %q %s", b.name, v.Key.Token, v.State, v.Result, v.Why)
		w.verdict(b, v)
	}
	for _, a := range out.Adopts {
		w.note("%s adopts %s", b.name, a.Piece.Key.Token)
		w.stats["adopted"]++
		w.clock++
		w.op(a.Piece.Key, Down, "adopted", w.clock)
		b.calls[a.Piece.Key] = &call{p: a.Piece, started: w.now, runs: true}
		w.start(b, a.Piece.Key)
	}
	for _, f := range out.Finished {
		c := b.calls[f.Key]
		if c == nil {
			continue
		}
		delete(b.calls, f.Key)
		switch r := w.pools[Owner{b.name, b.life}].runs[f.Key]; {
		case f.OK && c.failed:
			w.op(f.Key, Failed, "", c.end)
		case f.OK:
			w.answer(b, f.Key, r.result)
			w.op(f.Key, Done, r.result, c.end)
		}
	}
	for _, p := range out.Probes {
		w.later = append(w.later, func() { w.probe(b, p) })
	}
}

// verdict is the core's side of a claim.
func (w *world) verdict(b *box, v Verdict) {
	c := b.calls[v.Key]
	if c == nil {
		return
	}
	switch v.State {
	case Won:
		w.op(v.Key, Won, "", c.asked)
		if w.chance(30) {
			w.clock++
			w.op(v.Key, Other, "released", w.clock)
			delete(b.calls, v.Key)
			b.h.Release(w.now, v.Key)
			w.drain(b)
			return
		}
		c.runs = true
		w.start(b, v.Key)
	case Other, Down:
		c.again = w.now + max(100*ms, v.After)
	case Done, Failed, Off:
		delete(b.calls, v.Key)
		w.stats[v.State.String()]++
		if v.State == Done {
			w.answer(b, v.Key, string(v.Result))
		}
		w.op(v.Key, v.State, string(v.Result), c.asked)
	}
}

// answer is an answer that leaves a box.
func (w *world) answer(b *box, k Key, result string) {
	w.ended[k]++
	w.stats["answered"]++
	if w.now >= b.granted || w.views[len(w.views)-1].Lives[b.name] != b.life {
		w.fail("%s answers %s without a lease", b.name, k.Token)
	}
	if w.first[k] == "" {
		w.first[k] = result
	}
	if w.first[k] != result {
		w.fail("%s answers %s with %s, the first answer was %s", b.name, k.Token, result, w.first[k])
	}
}

// start has a piece run by the box's pool: the order is on its way for a moment.
func (w *world) start(b *box, k Key) {
	pool, life, at := w.pools[Owner{b.name, b.life}], b.life, w.now+w.wait(2*w.slow)
	repeat := b.calls[k].p.Repeat
	var f func()
	f = func() {
		switch {
		case w.now < at:
			w.later = append(w.later, f)
		case pool.dead || pool.fenced || pool.runs[k] != nil:
		default:
			w.ran[k]++
			w.note("%s runs %s", b.name, k.Token)
			pool.runs[k] = &run{at: w.now, end: w.now + w.wait(900*ms) + 50*ms, result: fmt.Sprintf("%s-%s-%d", k.Token, b.name, life), by: b, life: life}
			if w.ran[k] > 1 && !repeat {
				w.fail("%s ran %d times", k.Token, w.ran[k])
			}
		}
	}
	w.later = append(w.later, f)
}

// core asks again, and hears of runs that ended.
func (w *world) core(b *box) {
	for _, k := range sortedKeys(b.calls) {
		c := b.calls[k]
		pool := w.pools[Owner{b.name, b.life}]
		switch r := pool.runs[k]; {
		case c.runs && r != nil && r.end <= w.now && !r.told && !pool.dead:
			w.clock++
			r.told, c.end = true, w.clock
			b.h.Finish(w.now, k, true, []byte(r.result), "")
			w.drain(b)
		case c.runs && c.end == 0 && (pool.dead || pool.fenced) && w.now-c.started > time.Second:
			w.clock++
			c.end, c.failed = w.clock, true
			b.h.Finish(w.now, k, false, nil, "its pool died")
			w.drain(b)
		case !c.runs && w.now-c.started > dueIn:
			b.h.Release(w.now, k)
			delete(b.calls, k)
		case c.again != 0 && c.again <= w.now:
			w.ask(b, c)
		}
	}
}

func (w *world) ask(b *box, c *call) {
	w.clock++
	c.again, c.asked = 0, w.clock
	c.p.Due = dueIn - (w.now - c.started)
	b.h.Claim(w.now, c.p)
	w.drain(b)
}

// call is a caller's at a box.
func (w *world) call(b *box, k Key, repeat bool) {
	if w.awake(b) && b.h.Live(w.now) && b.calls[k] == nil {
		c := &call{p: Piece{Key: k, Body: []byte(k.Token), Life: 11 * time.Second, Repeat: repeat}, started: w.now}
		b.calls[k] = c
		w.stats["calls"]++
		w.ask(b, c)
	}
}

// probe binds to the pool of a lost process, which shuts that one out.
func (w *world) probe(b *box, p Probe) {
	pool := w.pools[p.Owner]
	pool.fenced = pool.fenced || !pool.dead
	for _, a := range p.Keys {
		k := a.Key
		proof := Proof{State: NeverRan}
		switch r := pool.runs[k]; {
		case pool.dead:
			proof.State = Unknown
		case r != nil && r.end <= w.now:
			proof = Proof{State: Ran, OK: true, Result: []byte(r.result)}
		case r != nil:
			proof.State = Running
		}
		w.note("%s hears of %s in the pool of %s: %d", b.name, k.Token, p.Owner.Box, proof.State)
		if w.awake(b) {
			b.h.Proved(w.now, k, p.Owner, proof)
			w.drain(b)
		}
	}
}

// kill ends a process, and its pool with it or not.
func (w *world) kill(b *box, pool bool) {
	w.note("%s is killed, its pool %v", b.name, pool)
	b.down, b.calls = w.now+900*ms, map[Key]*call{}
	w.pools[Owner{b.name, b.life}].dead = pool
}

func (w *world) report(t *testing.T, f string, a ...any) {
	t.Helper()
	n := max(0, len(w.history)-3000)
	t.Fatalf("%s: %s\n%s", fmt.Sprintf(f, a...), w.bad, strings.Join(w.history[n:], "\n"))
}
