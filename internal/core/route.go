package core

import (
	"crypto/sha256"
	"time"

	"larchscale/control"
)

// The stage "route": a keyed request goes to the controller as new, to the try that it repeats, or to the
// shared store first.

const (
	entryBytes   = 512                    // of an entry beyond its token and result
	resultBytes  = 4 << 10                // room that a result may need
	windowMargin = 2 * time.Second        // an entry outlives its window: a repeat may be read late
	dueEarly     = 20 * time.Millisecond  // before its due time a request that still waits is answered
	askEach      = 100 * time.Millisecond // between two questions to the store for a key that another has
)

type phase uint8

const (
	asking phase = iota // the shared store has not answered
	open                // the owner is held, or its run goes on
	done
	failed
	unstored // its run is over, and whether that is safe in the shared store is not known
	lost     // its claim may be another server's
)

const (
	runFailed = "the run failed"
	noRoom    = "no room for its key"
	readLate  = "read too late to know whether it ran"
)

// entry is what is known of one key: which try has it, and how that ended.
type entry struct {
	key     Key
	sum     [32]byte // of the body: all tries carry the same
	owner   *request // nil once it is over
	phase   phase
	ran     bool
	ok      bool // its run ended well
	earned  bool // a result was given out
	claimed bool // it is this server's in the shared store
	result  []byte
	waiters []*request
	heard   time.Duration // that another server has it; 0 = never
	size    int
	until   time.Duration
	expiry  deadline
}

type table struct {
	entries map[Key]*entry
	bytes   int
	kept    []*entry // those with a result, the oldest first
}

// resize books another size of an entry that is in the table.
func (t *table) resize(e *entry, size int) {
	if t.entries[e.key] == e {
		t.bytes += size - e.size
		e.size = size
	}
}

func (t *table) drop(e *entry) {
	if t.entries[e.key] == e {
		delete(t.entries, e.key)
		t.bytes -= e.size
		e.result = nil
	}
}

// shrink drops the oldest results until the rest fits: that a try has run is kept for its window, and a
// repeat then fails, which costs less than turning new requests away.
func (t *table) shrink(limit int) {
	for t.bytes > limit && len(t.kept) > 0 {
		e := t.kept[0]
		t.kept = t.kept[1:]
		if e.phase == done && e.result != nil {
			t.resize(e, e.size-len(e.result))
			e.phase, e.result = failed, nil
		}
	}
}

// routeKeyed takes in a keyed request. One that was read more than windowMargin after its t0 may repeat a try whose
// window it was written in and whose key is forgotten, here and in the store: without one that ran it is refused, as
// it never ran itself.
func (c *Core) routeKeyed(r *request) {
	if e := c.table.entries[Key{r.Class, r.Token}]; c.now-r.arrived > windowMargin &&
		(e == nil || !e.ran && (e.phase == asking || e.phase == open)) {
		c.forgetHandle(r)
		c.turnAway(r, Refused, readLate)
		return
	}
	c.link(r)
}

// link links the tries of one request. Guards against effects that happen twice: a try whose key is
// known is never run.
func (c *Core) link(r *request) {
	key := Key{r.Class, r.Token}
	sum := sha256.Sum256(r.Body)
	e := c.table.entries[key]
	switch {
	case e == nil:
		if !c.newEntry(r, key, sum) {
			c.forgetHandle(r)
			c.turnAway(r, Refused, noRoom)
			return
		}
		if c.store == nil {
			c.enter(r, 0)
			return
		}
		e = r.entry
		e.phase = asking
		c.holdForStore(r)
		c.ask(e)
	case e.sum != sum:
		c.forgetHandle(r)
		c.turnAway(r, Conflict, "the token belongs to another body")
	case e.phase == asking:
		r.entry = e
		e.waiters = append(e.waiters, r)
		c.holdForStore(r)
	default:
		r.entry = e
		c.enter(r, 1)
	}
}

// newEntry makes r the owner of a new entry; false = there is no room.
func (c *Core) newEntry(r *request, key Key, sum [32]byte) bool {
	size := entryBytes + len(key.Token) + resultBytes
	if c.table.shrink(c.site.Bounds.Table - size); c.table.bytes+size > c.site.Bounds.Table {
		return false
	}
	e := &entry{key: key, sum: sum, owner: r, phase: open, size: size}
	e.expiry.do = func() { c.expire(e) }
	c.table.entries[key] = e
	c.table.bytes += size
	r.entry = e
	return true
}

// enter hands a request to the controller, as new or as the repeat of another.
func (c *Core) enter(r *request, repeats uint32) {
	c.late.drop(&r.patience)
	c.lastID++
	r.id, r.state = c.lastID, held
	c.byID[r.id] = r
	if repeats != 0 && r.entry.owner != nil {
		repeats = r.entry.owner.id
	}
	c.ctl.Request(c.now, control.Request{ID: r.id, Class: r.Class, Tenant: r.Tenant, Rank: r.Rank, Memory: r.Memory, Work: r.Work,
		Left: max(r.due-c.now, time.Millisecond), Waited: c.now - r.arrived, Caller: r.Caller, Subject: r.Subject,
		Repeat: repeats, Retry: r.Retry})
}

// replay serves a repeat with the result of the try it repeats, now or once that is over.
func (c *Core) replay(r *request) {
	r.state = replaying
	switch e := r.entry; {
	case e.phase == open && e.owner == nil: // released since
		c.again = append(c.again, func() { c.anew(r) })
	case e.phase == open, e.phase == unstored:
		e.waiters = append(e.waiters, r)
	default:
		c.share(r)
	}
}

// share gives a repeat the end of the try that ran.
func (c *Core) share(r *request) {
	if !c.holds(r.entry) {
		c.cede(r, elsewhere)
		return
	}
	how := control.Errored
	r.use.replay = true
	if r.entry.phase == done {
		how = control.OK
		c.answer(r, Answer{Kind: Served, Body: r.entry.result})
	} else {
		c.answer(r, Answer{Kind: Failed, Why: "an earlier try failed"})
	}
	c.finish(r, how, 0)
}

// conclude takes the end of the try that has the key. Where the store says so, it is given out only after Finished.
func (c *Core) conclude(e *entry, ok bool, result []byte) {
	if !c.holds(e) {
		return
	}
	if e.ok, e.result = ok, nil; ok {
		e.result = append([]byte{}, result...)
	}
	c.table.resize(e, entryBytes+len(e.key.Token)+len(e.result))
	// Who waits for it in another server asks each askEach: it finds the end of a run, also of one that outlived its window.
	if e.claimed && c.store.Finish(e.key, e.sum, ok, result, max(e.until-c.now, windowMargin)) {
		if e.phase = unstored; e.owner.answered {
			e.owner = nil
		}
		return
	}
	c.settled(e)
}

// settled gives out the end of the try that has the key, to its caller and to those that wait for it.
func (c *Core) settled(e *entry) {
	r, waiters := e.owner, e.waiters
	e.phase, e.owner, e.waiters = failed, nil, nil
	a := Answer{Kind: Failed, Why: runFailed}
	if e.ok {
		e.phase, a = done, Answer{Kind: Served, Body: e.result}
		c.table.kept = append(c.table.kept, e)
	}
	if r != nil {
		c.answer(r, a)
	}
	for _, r := range waiters {
		switch r.state {
		case replaying:
			c.share(r)
		case claiming:
			c.enter(r, 1)
		}
	}
}

// release drops the key of a try that ended without having run, at once: an answer of the store or a try that comes in
// the same turn must not find it with an owner that is gone. The tries that waited for it never ran either: the next
// of them takes its place, as if it came only now.
func (c *Core) release(e *entry) {
	if !c.holds(e) { // it may run elsewhere by now
		return
	}
	c.late.drop(&e.expiry)
	c.table.drop(e)
	if e.claimed {
		c.store.Release(e.key)
	}
	waiters := e.waiters
	e.waiters, e.owner = nil, nil
	c.again = append(c.again, func() {
		for _, r := range waiters {
			c.anew(r)
		}
	})
}

// anew routes a try whose entry was released.
func (c *Core) anew(r *request) {
	if r.state == replaying {
		delete(c.byID, r.id)
		c.ctl.Done(c.now, r.id, 0, control.Errored)
	}
	if r.state != ended {
		c.link(r)
	}
}

// remember keeps an entry at least until its window, counted from t0 of the try that runs, is over. A t0 may be to come
// by the clock of this machine: fronts take none that is further ahead than windowMargin.
func (c *Core) remember(r *request) {
	e := r.entry
	e.ran = true
	t0 := max(r.arrived, c.now+min(time.Until(r.Arrived), windowMargin))
	e.until = max(e.until, t0+c.site.Control.Classes[r.Class].Window+windowMargin)
	c.late.set(&e.expiry, e.until)
	c.keyedUntil = max(c.keyedUntil, e.until)
}

// expire forgets a key whose window is over, unless a run of it still goes on.
func (c *Core) expire(e *entry) {
	if e.owner != nil {
		c.late.set(&e.expiry, c.now+windowMargin)
		return
	}
	c.table.drop(e)
	for len(c.table.kept) > 0 && c.table.kept[0].result == nil {
		c.table.kept = c.table.kept[1:]
	}
}

// ClaimLife is how long a claim of a class is kept at the most.
func ClaimLife(k *control.Class) time.Duration { return k.Window + k.Deadline + windowMargin }

// ask claims a key in the shared store.
func (c *Core) ask(e *entry) {
	k, r := &c.site.Control.Classes[e.key.Class], e.owner
	c.holdForStore(r)
	if !c.store.Claim(Piece{Key: e.key, Handle: r.Handle, Sum: e.sum, Body: r.Body, Tenant: r.Tenant, Rank: r.Rank, Memory: r.Memory, Work: r.Work,
		Subject: r.Subject, Caller: r.Caller, Left: max(0, r.due-c.now), Life: ClaimLife(k)}) {
		c.decided(Claimed{Key: e.key, State: ClaimDown})
	}
}

// holdForStore keeps a request until the store answers, until its due time at the most.
func (c *Core) holdForStore(r *request) {
	r.state = claiming
	c.late.set(&r.patience, r.due-dueEarly)
}

// claimed is the store's answer. One that was won more than windowMargin after the store was last heard of, or the try's
// t0, is given up: the end of a run whose window the try was written in may be forgotten there. Guards against a server
// that stood still.
func (c *Core) claimed(a Claimed) {
	if e := c.table.entries[a.Key]; a.State == ClaimWon && e != nil && e.phase == asking {
		last := e.owner.arrived
		if e.heard > 0 {
			last = max(last, e.heard)
		}
		if c.now-last > windowMargin {
			a.State = ClaimDown
		}
	}
	c.decided(a)
}

// decided carries out what became of a claim. Without an answer a new keyed request is refused, never run on a guess.
func (c *Core) decided(a Claimed) {
	e := c.table.entries[a.Key]
	if e == nil || e.phase != asking {
		if a.State == ClaimWon && e == nil { // nobody waits for it any longer
			c.store.Release(a.Key)
		}
		return
	}
	switch a.State {
	case ClaimWon:
		e.phase, e.claimed = open, true
		c.enter(e.owner, 0)
		waiters := e.waiters
		e.waiters = nil
		for _, r := range waiters {
			c.enter(r, 1)
		}
	case ClaimOther:
		e.heard = c.now
		again := &deadline{do: func() {
			if c.table.entries[a.Key] == e && e.phase == asking {
				c.ask(e)
			}
		}}
		c.late.set(again, c.now+askEach)
	case ClaimDone, ClaimFailed:
		owner := e.owner
		e.owner, e.waiters = nil, append([]*request{owner}, e.waiters...)
		e.until = c.now + windowMargin
		c.late.set(&e.expiry, e.until)
		c.conclude(e, a.State == ClaimDone, a.Result)
	default:
		k, why := Refused, "the shared store does not answer"
		if a.State == ClaimOff {
			k, why = Conflict, "the token belongs to another body"
		} else { // the claim may have come through all the same
			c.store.Release(a.Key)
		}
		all := append([]*request{e.owner}, e.waiters...)
		e.waiters, e.owner = nil, nil
		c.release(e)
		for _, r := range all {
			c.forgetHandle(r)
			c.turnAway(r, k, why)
		}
	}
}
