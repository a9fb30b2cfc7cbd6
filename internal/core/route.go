package core

import (
	"crypto/sha256"
	"time"

	"larchscale/control"
)

// Routing: a keyed request is submitted to the controller as new, joined with the try that it repeats, or claimed in
// the shared store first.

const (
	windowMargin       = 2 * time.Second        // an entry outlives its window by this, since a repeat may be read late
	dueMargin          = 20 * time.Millisecond  // a waiting request is answered this long before its due time
	claimRetryInterval = 100 * time.Millisecond // interval of claims for a key that another server holds
)

const (
	whyRunFailed = "the run failed"
	whyNoRoom    = "no room for its key"
	whyReadLate  = "read too late to know whether it ran"
)

// routeKeyed takes in a keyed request. A request that was read more than windowMargin after its t0 may repeat a try
// whose window had not ended when the request was written, but whose key is forgotten by now, here and in the store.
// Such a request is refused, unless a try of it is known to have run: it never ran itself.
func (c *Core) routeKeyed(r *request) {
	if e := c.keys.entries[Key{r.Class, r.Token}]; c.now-r.arrived > windowMargin &&
		(e == nil || !e.ran && (e.phase == phaseClaiming || e.phase == phaseOpen)) {
		c.reject(r, Refused, whyReadLate)
		return
	}
	c.joinOrClaim(r)
}

// joinOrClaim connects a try to the other tries of its key. A try whose key is known is never run, so that no effect
// happens twice.
func (c *Core) joinOrClaim(r *request) {
	key := Key{r.Class, r.Token}
	sum := sha256.Sum256(r.Body)
	e := c.keys.entries[key]
	switch {
	case e == nil:
		if !c.newEntry(r, key, sum) {
			c.reject(r, Refused, whyNoRoom)
			return
		}
		if c.store == nil {
			c.submit(r, 0)
			return
		}
		e = r.entry
		e.phase = phaseClaiming
		c.awaitClaim(r)
		c.claimKey(e)
	case e.sum != sum:
		c.reject(r, Conflict, "the token belongs to another body")
	case e.phase == phaseClaiming:
		r.entry = e
		e.waiters = append(e.waiters, r)
		c.awaitClaim(r)
	default:
		r.entry = e
		c.submit(r, 1)
	}
}

// newEntry makes r the owner of a new entry; false = there is no room.
func (c *Core) newEntry(r *request, key Key, sum [32]byte) bool {
	size := entryOverheadBytes + len(key.Token) + resultReserveBytes
	if c.keys.evictResults(c.site.Bounds.Table - size); c.keys.bytes+size > c.site.Bounds.Table {
		return false
	}
	e := &entry{key: key, sum: sum, owner: r, phase: phaseOpen, size: size}
	e.expiryTimer.callback = func() { c.expireEntry(e) }
	e.claimTimer.callback = func() { c.claimKey(e) }
	c.keys.entries[key] = e
	c.keys.bytes += size
	r.entry = e
	return true
}

// submit passes a request to the controller, as new or as the repeat of another.
func (c *Core) submit(r *request, repeatOf uint32) {
	c.timers.remove(&r.waitTimer)
	c.lastID++
	r.id, r.state = c.lastID, stateHeld
	c.byID[r.id] = r
	if repeatOf != 0 && r.entry.owner != nil {
		repeatOf = r.entry.owner.id
	}
	c.controller.Request(c.now, control.Request{ID: r.id, Class: r.Class, Tenant: r.Tenant, Rank: r.Rank,
		Memory: r.Memory, Work: r.Work, TimeLeft: max(r.due-c.now,
			time.Millisecond), Waited: c.now - r.arrived, Caller: r.Caller, Subject: r.Subject,
		RepeatOf: repeatOf, Retry: r.Retry})
}

// replay serves a repeat with the result of the try it repeats, now or when that is over.
func (c *Core) replay(r *request) {
	r.state = stateReplaying
	switch e := r.entry; {
	case e.phase == phaseOpen && e.owner == nil: // released in the meantime
		c.followUps = append(c.followUps, func() { c.reroute(r) })
	case e.phase == phaseOpen, e.phase == phaseStoring:
		e.waiters = append(e.waiters, r)
	default:
		c.replayResult(r)
	}
}

// replayResult answers a repeat with the outcome of the try that ran.
func (c *Core) replayResult(r *request) {
	if !c.owns(r.entry) {
		c.failLost(r, whyElsewhere)
		return
	}
	outcome := control.Errored
	r.usage.replay = true
	if r.entry.phase == phaseDone {
		outcome = control.OK
		c.answer(r, Answer{Kind: Served, Body: r.entry.result})
	} else {
		c.answer(r, Answer{Kind: Failed, Why: "an earlier try failed"})
	}
	c.finish(r, outcome, 0)
}

// finishEntry records the outcome of the try that owns the key. If the store asks for it, the outcome is sent only
// after the store has confirmed it.
func (c *Core) finishEntry(e *entry, ok bool, result []byte) {
	if !c.owns(e) {
		return
	}
	if e.succeeded, e.result = ok, nil; ok {
		e.result = append([]byte{}, result...)
	}
	c.keys.resize(e, entryOverheadBytes+len(e.key.Token)+len(e.result))
	// A try that waits at another server asks every claimRetryInterval, so the entry lives long enough for it to see
	// the end of a run, even of one that outlived its window.
	if e.claimHeld && c.store.Finish(e.key, e.claimID, e.sum, ok, result, max(e.keepUntil-c.now, windowMargin)) {
		if e.phase = phaseStoring; e.owner.answered {
			e.owner = nil
		}
		return
	}
	c.deliver(e)
}

// deliver sends the outcome of the try that owns the key to its caller and to those that wait for it.
func (c *Core) deliver(e *entry) {
	r, waiters := e.owner, e.waiters
	e.phase, e.owner, e.waiters = phaseFailed, nil, nil
	answer := Answer{Kind: Failed, Why: whyRunFailed}
	if e.succeeded {
		e.phase, answer = phaseDone, Answer{Kind: Served, Body: e.result}
		c.keys.keepResult(e)
	}
	if r != nil {
		c.answer(r, answer)
	}
	for _, r := range waiters {
		switch r.state {
		case stateReplaying:
			c.replayResult(r)
		case stateClaiming:
			c.submit(r, 1)
		}
	}
}

// releaseKey removes the key of a try that ended without having run. It does so at once: an answer of the store or a
// new try in the same loop iteration must not find an entry whose owner is gone. The tries that waited for it never
// ran either: the first of them takes its place, as if it had arrived only now.
func (c *Core) releaseKey(e *entry) {
	if !c.owns(e) { // it may run elsewhere by now
		return
	}
	if e.claimHeld || e.isClaimPending() {
		c.store.Release(e.key, e.claimID)
	}
	c.removeEntry(e)
	waiters := e.waiters
	e.waiters, e.owner = nil, nil
	c.rerouteLater(waiters)
}

// rerouteLater routes tries whose entry was released, at the end of this loop iteration.
func (c *Core) rerouteLater(tries []*request) {
	c.followUps = append(c.followUps, func() {
		for _, r := range tries {
			c.reroute(r)
		}
	})
}

// reroute routes a try whose entry was released.
func (c *Core) reroute(r *request) {
	if r.state == stateReplaying {
		delete(c.byID, r.id)
		c.controller.Done(c.now, r.id, 0, control.Errored)
	}
	if r.state != stateEnded {
		c.joinOrClaim(r)
	}
}

// retain keeps an entry at least until the end of its window, counted from t0 of the try that runs. By this machine's
// clock t0 may be in the future: fronts accept at most windowMargin.
func (c *Core) retain(r *request) {
	e := r.entry
	e.ran = true
	t0 := max(r.arrived, c.now+min(time.Until(r.Arrived), windowMargin))
	e.keepUntil = max(e.keepUntil, t0+c.site.Control.Classes[r.Class].Window+windowMargin)
	c.timers.set(&e.expiryTimer, e.keepUntil)
	c.keyedUntil = max(c.keyedUntil, e.keepUntil)
}

// expireEntry forgets a key whose window is over, unless its run still continues.
func (c *Core) expireEntry(e *entry) {
	if e.owner != nil {
		c.timers.set(&e.expiryTimer, c.now+windowMargin)
		return
	}
	c.removeEntry(e)
}

// ClaimLife returns the maximum time for which a claim of a class is kept.
func ClaimLife(class *control.Class) time.Duration {
	return class.Window + class.Deadline + windowMargin
}

// claimKey claims a key in the shared store, for the run of its owner under the owner's handle.
func (c *Core) claimKey(e *entry) {
	class, r := &c.site.Control.Classes[e.key.Class], e.owner
	c.awaitClaim(r)
	c.lastClaimID++
	e.claimID = c.lastClaimID
	if !c.store.Claim(KeyedRequest{Key: e.key, ClaimID: e.claimID, Handle: r.Handle, Sum: e.sum, Body: r.Body, Tenant: r.Tenant, Rank: r.Rank,
		Memory: r.Memory, Work: r.Work, Subject: r.Subject, Caller: r.Caller, Left: max(0,
			r.due-c.now), Life: ClaimLife(class)}) {
		c.applyClaim(ClaimAnswered{Key: e.key, ClaimID: e.claimID, State: ClaimUnavailable})
	}
}

// isClaimPending reports whether the store has not answered the claim of the entry.
func (e *entry) isClaimPending() bool {
	return e.phase == phaseClaiming && e.claimTimer.heapPosition == 0
}

// replaceClaim gives up a claim whose owner has gone and claims the key for the new owner: whoever takes the claim over
// knows the run by the handle in it. A claim that was answered is made anew by its timer.
func (c *Core) replaceClaim(e *entry) {
	if !e.isClaimPending() {
		return
	}
	c.store.Release(e.key, e.claimID)
	e.claimID = 0
	c.timers.set(&e.claimTimer, c.now)
}

// releaseUnwanted releases a claim that was won after it was withdrawn.
func (c *Core) releaseUnwanted(claim ClaimAnswered) {
	e := c.keys.entries[claim.Key]
	if claim.State == ClaimWon && (e == nil || e.claimID != claim.ClaimID) {
		c.store.Release(claim.Key, claim.ClaimID)
	}
}

// claimingEntry returns the entry that waits for the answer to a claim; nil = the claim was withdrawn.
func (c *Core) claimingEntry(key Key, id ClaimID) *entry {
	e := c.keys.entries[key]
	if e == nil || e.phase != phaseClaiming || e.claimID != id {
		return nil
	}
	return e
}

// awaitClaim makes a request wait for the store's answer, until its due time at the latest.
func (c *Core) awaitClaim(r *request) {
	r.state = stateClaiming
	c.timers.set(&r.waitTimer, r.due-dueMargin)
}

// claimAnswered handles the store's answer. A claim that is won more than windowMargin after the store last reported
// another owner, or after the try's t0, is given up: the store may have forgotten the result of a run whose window
// had not ended when the try was written. This happens to a server that was suspended.
func (c *Core) claimAnswered(claim ClaimAnswered) {
	if e := c.claimingEntry(claim.Key, claim.ClaimID); claim.State == ClaimWon && e != nil {
		lastAnswer := e.owner.arrived
		if e.otherOwnerSeen > 0 {
			lastAnswer = max(lastAnswer, e.otherOwnerSeen)
		}
		if c.now-lastAnswer > windowMargin {
			claim.State = ClaimUnavailable
		}
	}
	c.applyClaim(claim)
}

// applyClaim acts on the outcome of a claim. Without an answer from the store a new keyed request is refused, never
// run speculatively.
func (c *Core) applyClaim(claim ClaimAnswered) {
	e := c.claimingEntry(claim.Key, claim.ClaimID)
	if e == nil {
		c.releaseUnwanted(claim)
		return
	}
	c.timers.remove(&e.claimTimer)
	switch claim.State {
	case ClaimWon:
		e.phase, e.claimHeld = phaseOpen, true
		c.submit(e.owner, 0)
		waiters := e.waiters
		e.waiters = nil
		for _, r := range waiters {
			c.submit(r, 1)
		}
	case ClaimOther:
		e.otherOwnerSeen = c.now
		c.timers.set(&e.claimTimer, c.now+claimRetryInterval)
	case ClaimDone, ClaimFailed:
		owner := e.owner
		e.owner, e.waiters = nil, append([]*request{owner}, e.waiters...)
		e.keepUntil = c.now + windowMargin
		c.timers.set(&e.expiryTimer, e.keepUntil)
		c.finishEntry(e, claim.State == ClaimDone, claim.Result)
	default:
		kind, reason := Refused, "the shared store does not answer"
		if claim.State == ClaimConflict {
			kind, reason = Conflict, "the token belongs to another body"
		} else { // the claim may have succeeded all the same
			c.store.Release(claim.Key, claim.ClaimID)
		}
		e.phase = phaseOpen // nothing is claimed any longer
		tries := append([]*request{e.owner}, e.waiters...)
		e.waiters, e.owner = nil, nil
		c.releaseKey(e)
		for _, r := range tries {
			c.reject(r, kind, reason)
		}
	}
}
