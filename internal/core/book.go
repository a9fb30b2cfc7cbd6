package core

import (
	"slices"
	"time"

	"larchscale/control"
)

// Answering: the single final answer, and the end of a request.

// answer gives the final answer. It is the only place that answers a request, so that none is answered twice; a
// request canceled by its caller counts as answered too. With a strict ledger a result waits for its ledger entry,
// which is recorded in the same loop iteration.
func (c *Core) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	if r.adopted { // its caller is answered, and counted, when it repeats the request
		c.markCanceled(r)
		return
	}
	c.countAnswer(r.Class, a.Kind)
	c.logUnserved(r, a)
	if r.session.unserved++; a.Kind == Served {
		r.session.unserved, r.session.everServed = 0, true
		r.usage.bytesOut = int64(len(a.Body))
	}
	c.setEnd(r, a.Kind)
	c.reportOutcome(r, a.Kind)
	if c.ledger != nil && a.Kind == Served && c.ledger.Strict() {
		r.usage.pending = &pendingResult{request: r, answer: a}
		return
	}
	a.Hint = c.level
	r.reply.Answer(a)
	c.detach(r)
}

// logUnserved logs an answer that is not a result, with the request and the reason. The logger limits its own rate.
func (c *Core) logUnserved(r *request, answer Answer) {
	if answer.Kind == Served {
		return
	}
	c.log.Info("not served", "id", r.Handle, "class", c.className(r.Class), "how", answer.Kind.String(),
		"why", answer.Why, "ran", r.ran, "waited_ms", (c.now - r.arrived).Milliseconds(),
		"left_ms", (r.due - c.now).Milliseconds(), "leaving", c.draining)
}

// className returns the name of a class; "" = it has none.
func (c *Core) className(class int) string {
	if class < 0 || class >= len(c.site.Classes) {
		return ""
	}
	return c.site.Classes[class]
}

// reportOutcome tells the observer what a request that made downstream calls was worth.
func (c *Core) reportOutcome(r *request, kind Kind) {
	if c.observer == nil || r.usage.calls == 0 {
		return
	}
	outcome := RequestOutcome{Served: kind == Served, Calls: r.usage.calls, Lost: r.usage.lostCalls}
	if outcome.Served {
		outcome.Value = 1
		if class := &c.site.Control.Classes[r.Class]; class.Aim > 0 && c.now-r.arrived > class.Aim {
			outcome.Late, outcome.Value = true, class.LateWorth
		}
	}
	c.observer.RequestEnded(r.Handle, outcome)
}

// detach removes an answered request from its connection. Its run may go on, and does not keep the buffers of a
// connection in memory that ends meanwhile.
func (c *Core) detach(r *request) {
	sess := r.session
	r.session, r.reply = nil, nil
	sess.openRequests--
	c.startIdle(sess)
}

// refuse refuses a request that never ran.
func (c *Core) refuse(r *request, retryAfter time.Duration, final bool) {
	if !c.owns(r.entry) { // another server may run it
		return
	}
	// A request that may have had an effect is never refused.
	if r.ran && c.site.Control.Classes[r.Class].Effect != control.Safe {
		c.fail(r)
		return
	}
	c.answer(r, Answer{Kind: Refused, Why: "turned away", RetryAfter: retryAfter, Final: final})
	if r.state == stateHeld {
		c.discard(r)
	}
}

// fail answers with an error. A run continues until it ends or reaches a call.
func (c *Core) fail(r *request) {
	kind := Failed
	if c.now >= r.due-100*time.Millisecond {
		kind = TimedOut
	}
	c.answer(r, Answer{Kind: kind, Why: "no result in time"})
	switch r.state {
	case stateHeld, stateReplaying:
		c.discard(r)
	case stateCalling:
		c.abandonCall(r)
	}
}

// discard forgets a request that neither the controller nor the worker pool holds any longer.
func (c *Core) discard(r *request) {
	previous := r.state
	c.retire(r)
	e := r.entry
	if e == nil {
		return
	}
	if e.owner == r {
		switch {
		case previous == stateFinishing:
			e.owner = nil // the store's confirmation is still to come, for the requests that repeat this one
		case !e.ran && previous == stateClaiming && e.phase == phaseClaiming && len(e.waiters) > 0:
			e.owner = e.waiters[0]
			e.waiters = slices.Delete(e.waiters, 0, 1)
			c.replaceClaim(e)
		case !e.ran:
			c.releaseKey(e)
		default: // stopped for good after its run had begun
			c.finishEntry(e, false, nil)
		}
		return
	}
	e.removeWaiter(r)
}

// retire removes a request that is over from the core's tables and records its usage. Every request ends here: what is
// left in a table or a timer keeps the request, with its connection's buffers, in memory.
func (c *Core) retire(r *request) {
	r.state = stateEnded
	c.timers.remove(&r.waitTimer)
	delete(c.byID, r.id)
	if c.byHandle[r.Handle] == r {
		delete(c.byHandle, r.Handle)
		c.resize(r, 0)
		c.metricsChanged()
	}
	c.recordUsage(r)
}

// finish ends a run or a replay, and tells the controller after this round of actions.
func (c *Core) finish(r *request, outcome control.Outcome, runTime time.Duration) {
	c.retire(r)
	c.followUps = append(c.followUps, func() { c.controller.Done(c.now, r.id, runTime, outcome) })
}
