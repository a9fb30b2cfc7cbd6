package core

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchscale/control"
)

// A claim in the shared store can be lost to a server that took over this server's work while this one was cut off or
// suspended. So code that acts on a claim first checks, at that moment, that the claim is still valid. If the store
// confirms stored results, the result of a run is sent only after it is stored where it survives this server.

const (
	whyElsewhere = "another server may have it"
	whyTakenOver = "it was taken over"
)

// owns reports whether an entry still belongs to this server, as far as is known. If it may belong to another server,
// its claim is dropped here.
func (c *Core) owns(e *entry) bool {
	if e == nil || e.phase != phaseLost && (!e.claimHeld || c.store.OwnsClaims()) {
		return true
	}
	if e.phase != phaseLost {
		c.loseClaim(e, whyElsewhere)
	}
	return false
}

// loseClaim fails all tries of an entry that belongs to another server. The entry stays until the Disown event,
// because until then a new try cannot be told from the repeat of one that ran here.
func (c *Core) loseClaim(e *entry, reason string) {
	owner, waiters := e.owner, e.waiters
	e.phase, e.owner, e.waiters = phaseLost, nil, nil
	c.keys.dropResult(e)
	c.timers.remove(&e.claimTimer)
	c.keys.resize(e, entryOverheadBytes+len(e.key.Token))
	if owner != nil {
		c.failLost(owner, reason)
	}
	for _, r := range waiters {
		c.failLost(r, reason)
	}
}

// failLost fails a try whose key belongs to another server. Its run is stopped if runs can be stopped, and the end of
// the run is ignored.
func (c *Core) failLost(r *request, reason string) {
	c.answer(r, Answer{Kind: Failed, Why: reason})
	switch r.state {
	case stateCalling:
		c.abandonCall(r)
	case stateRunning, stateBlocked:
	default:
		c.finish(r, control.Errored, 0)
		return
	}
	r.command.settle()
	c.controller.Canceled(c.now, r.id)
	if c.site.Control.Stopping != control.StopNever {
		c.stopRun(r)
	}
}

// awaitStored delays the end of a run until the store confirms its result, or until the request's due time. The
// controller is done with the run.
func (c *Core) awaitStored(r *request, outcome control.Outcome, runTime time.Duration) {
	delete(c.byID, r.id)
	c.timers.set(&r.waitTimer, r.due-dueMargin)
	c.followUps = append(c.followUps, func() { c.controller.Done(c.now, r.id, runTime, outcome) })
}

// finishConfirmed handles the store's confirmation of the end of a run.
func (c *Core) finishConfirmed(confirmation FinishConfirmed) {
	e := c.keys.entries[confirmation.Key]
	switch {
	case e == nil || e.phase != phaseStoring || e.claimID != confirmation.ClaimID:
	case !confirmation.OK: // a repeat asks the store how the run ended there
		c.loseClaim(e, whyTakenOver)
		c.removeEntry(e)
	case c.owns(e):
		r := e.owner
		c.deliver(e)
		if r != nil {
			c.retire(r)
		}
	}
}

// removeEntry removes an entry that nobody uses any longer.
func (c *Core) removeEntry(e *entry) {
	c.timers.remove(&e.expiryTimer)
	c.timers.remove(&e.claimTimer)
	c.keys.remove(e)
	c.metricsChanged()
}

// disown drops all claims, and all requests that wait for a claim: they may belong to another server.
func (c *Core) disown(d Disown) {
	var lost []*entry
	for _, e := range c.keys.entries {
		if e.claimHeld || e.phase == phaseClaiming {
			lost = append(lost, e)
		}
	}
	slices.SortFunc(lost, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.key.Class, b.key.Class), cmp.Compare(a.key.Token, b.key.Token))
	})
	for _, e := range lost {
		c.loseClaim(e, whyElsewhere)
		c.removeEntry(e)
	}
	for _, pending := range c.pendingResults {
		if e := pending.request.entry; e != nil && e.claimHeld {
			c.failPending(pending, Answer{Kind: Failed, Why: whyElsewhere})
		}
	}
	c.log.Warn("disowned", "keys", len(lost))
	if d.Done != nil {
		d.Done()
	}
}

// adopt takes over a keyed request of a failed server as a request that arrives now and has no waiting caller: its
// caller repeats it. A request that cannot be accepted is released, since it never ran here.
func (c *Core) adopt(p KeyedRequest) {
	if c.store == nil || !c.store.OwnsClaims() {
		return
	}
	reason := c.refusalReason()
	if class := p.Key.Class; class < 0 || class >= len(c.site.Classes) || !c.site.Keyed(class) {
		reason = "its class is not keyed here"
	}
	tries, known := c.triesForAdopted(p)
	if known {
		return
	}
	if len(tries) > 0 {
		reason = "" // they were accepted
	}
	if p.Tenant >= len(c.site.Tenants) {
		p.Tenant = -1
	}
	if p.Handle == "" {
		p.Handle = c.newHandle()
	} else if c.byHandle[p.Handle] != nil || c.recentHandles.has(p.Handle) { // indistinguishable from the other run
		reason = "its handle is in use here"
	}
	r := c.newRequest(IncomingRequest{Handle: p.Handle, Class: p.Key.Class, Tenant: p.Tenant, Caller: p.Caller,
		Rank: p.Rank, Memory: p.Memory, Work: p.Work, Token: p.Key.Token, Subject: p.Subject, Body: p.Body})
	r.arrived, r.due, r.adopted = c.now, c.now+p.Left, true
	if reason == "" && !c.newEntry(r, p.Key, p.Sum) {
		reason = whyNoRoom
	}
	if reason != "" {
		c.log.Warn("adopt", "class", p.Key.Class, "given_up", reason)
		c.store.Release(p.Key, p.ClaimID)
		c.rerouteLater(tries)
		return
	}
	r.entry.claimHeld, r.entry.claimID = true, p.ClaimID
	c.register(r)
	c.submit(r, 0)
	for _, try := range tries {
		try.entry = r.entry
		c.submit(try, 1)
	}
}

// triesForAdopted returns the tries that wait for a claim of a key that this server has just taken over, and ends that claim.
// They become repeats of the adopted request, whose handle whoever takes it over next knows. Tries with another body are
// answered. known reports that there is nothing to adopt: the key has been run here, or one of the tries has the handle of
// the adopted request and runs in its place.
func (c *Core) triesForAdopted(p KeyedRequest) (tries []*request, known bool) {
	e := c.keys.entries[p.Key]
	if e == nil {
		return nil, false
	}
	if e.phase != phaseClaiming {
		return nil, true
	}
	if e.sum != p.Sum {
		c.applyClaim(ClaimAnswered{Key: p.Key, ClaimID: e.claimID, State: ClaimConflict})
		return nil, false
	}
	if e.owner.Handle == p.Handle {
		e.claimID = p.ClaimID
		c.applyClaim(ClaimAnswered{Key: p.Key, ClaimID: e.claimID, State: ClaimWon})
		return nil, true
	}
	tries = append([]*request{e.owner}, e.waiters...)
	e.owner, e.waiters = nil, nil
	if e.isClaimPending() {
		c.store.Release(e.key, e.claimID)
	}
	c.removeEntry(e)
	return tries, false
}

// newHandle returns a handle for a request that has none: 16 hex digits, as callers make them, not used by any recent
// request.
func (c *Core) newHandle() string {
	for {
		handle := fmt.Sprintf("%016x", rand.Uint64())
		if c.byHandle[handle] == nil && !c.recentHandles.has(handle) {
			return handle
		}
	}
}
