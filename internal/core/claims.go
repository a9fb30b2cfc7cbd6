package core

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchscale/control"
)

// What is claimed in the shared store can be lost: to the server that took over the work of this one while it was cut
// off or stood still. So whoever acts on a claim asks first whether it holds, at that moment; and where the store watches
// over the end of a run, that end is given out only once it is where it survives this server.

const (
	elsewhere = "another server may have it"
	takenOver = "it was taken over"
)

// holds tells that nothing says that an entry is another server's. The claim of one that may be is lost here.
func (c *Core) holds(e *entry) bool {
	if e == nil || e.phase != lost && (!e.claimed || c.store.Holds()) {
		return true
	}
	if e.phase != lost {
		c.lose(e, elsewhere)
	}
	return false
}

// lose fails all tries of an entry that is another server's. The entry stays: until Disown, what comes for it cannot be
// told from a repeat of a try that ran here.
func (c *Core) lose(e *entry, why string) {
	owner, waiters := e.owner, e.waiters
	e.phase, e.owner, e.waiters, e.result = lost, nil, nil, nil
	c.table.resize(e, entryBytes+len(e.key.Token))
	if owner != nil {
		c.cede(owner, why)
	}
	for _, r := range waiters {
		c.cede(r, why)
	}
}

// cede fails a try whose key is another server's. A run of it is stopped where runs can be, and its end is nobody's.
func (c *Core) cede(r *request, why string) {
	c.answer(r, Answer{Kind: Failed, Why: why})
	switch r.state {
	case calling:
		c.abandon(r)
	case running, blocked:
	default:
		c.finish(r, control.Errored, 0)
		return
	}
	r.resend = nil
	c.ctl.Gone(c.now, r.id)
	if c.site.Control.Stopping != control.StopNever {
		c.stop(r)
	}
}

// keepBack has the end of a run wait for the store's word, until its due time at the most. The controller is done
// with it.
func (c *Core) keepBack(r *request, how control.Outcome, took time.Duration) {
	delete(c.byID, r.id)
	c.late.set(&r.patience, r.due-dueEarly)
	c.again = append(c.again, func() { c.ctl.Done(c.now, r.id, took, how) })
}

// stored is the store's word on the end of a run.
func (c *Core) stored(f Finished) {
	e := c.table.entries[f.Key]
	switch {
	case e == nil || e.phase != unstored:
	case !f.OK: // a repeat asks the store for how it ends there
		c.lose(e, takenOver)
		c.forget(e)
	case c.holds(e):
		r := e.owner
		c.settled(e)
		if r != nil {
			c.strike(r)
		}
	}
}

// forget drops an entry that nobody has any longer.
func (c *Core) forget(e *entry) {
	c.late.drop(&e.expiry)
	c.table.drop(e)
}

// disown drops all that was claimed, and what waits for a claim: it may be another's.
func (c *Core) disown(d Disown) {
	var all []*entry
	for _, e := range c.table.entries {
		if e.claimed || e.phase == asking {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.key.Class, b.key.Class), cmp.Compare(a.key.Token, b.key.Token))
	})
	for _, e := range all {
		c.lose(e, elsewhere)
		c.forget(e)
	}
	for _, r := range c.unwritten {
		if r.entry != nil && r.entry.claimed {
			c.takeBack(r, Answer{Kind: Failed, Why: elsewhere})
		}
	}
	c.log.Warn("disowned", "keys", len(all))
	if d.Taken != nil {
		d.Taken()
	}
}

// adopt takes in a piece of a server that is lost, as a request that comes now and that nobody waits for: its caller
// repeats it. One that has no place here is given up, as it never ran here.
func (c *Core) adopt(p Piece) {
	if c.store == nil || !c.store.Holds() {
		return
	}
	why := c.shutWhy()
	if k := p.Key.Class; k < 0 || k >= len(c.site.Classes) || !c.site.Keyed(k) {
		why = "its class has no keys here"
	}
	if e := c.table.entries[p.Key]; e != nil && e.phase == asking { // the try that waits here is run in its place
		a := Claimed{Key: p.Key, State: ClaimWon}
		if e.sum != p.Sum {
			a.State = ClaimOff
		}
		c.decided(a)
	}
	if c.table.entries[p.Key] != nil {
		return
	}
	if p.Tenant >= len(c.site.Tenants) {
		p.Tenant = -1
	}
	if p.Handle == "" {
		p.Handle = c.ownHandle()
	} else if c.byHandle[p.Handle] != nil || c.recent.has(p.Handle) { // its run could not be told from another's
		why = "its handle is in use here"
	}
	r := &request{Incoming: Incoming{Handle: p.Handle, Class: p.Key.Class, Tenant: p.Tenant, Caller: p.Caller, Rank: p.Rank,
		Memory: p.Memory, Work: p.Work, Token: p.Key.Token, Subject: p.Subject, Body: p.Body},
		arrived: c.now, due: c.now + p.Left, session: &session{once: true}, adopted: true}
	r.patience.do = func() { c.outOfPatience(r) }
	if why == "" && !c.newEntry(r, p.Key, p.Sum) {
		why = noRoom
	}
	if why != "" {
		c.log.Warn("adopt", "class", p.Key.Class, "given_up", why)
		c.store.Release(p.Key)
		return
	}
	r.entry.claimed = true
	c.register(r)
	c.enter(r, 0)
}

// ownHandle, for a piece without one, is a handle as callers make them, 16 hex digits, that none of them has or had of late.
func (c *Core) ownHandle() string {
	for {
		h := fmt.Sprintf("%016x", rand.Uint64())
		if c.byHandle[h] == nil && !c.recent.has(h) {
			return h
		}
	}
}
