package core

import (
	"time"

	"larchscale/control"
)

// The stage "book": the one final answer, and the end of a request.

// answer gives the final answer. This is the one place where a request becomes answered with one, so that
// none gets two; a caller that has gone counts as answered too. With a strict ledger a result waits for its entry,
// which is booked in the same turn.
func (c *Core) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	if r.adopted { // its caller is told, and counted, when it repeats
		c.withdrawn(r)
		return
	}
	c.counted(r.Class, a.Kind)
	c.logUnserved(r, a)
	if r.session.idled++; a.Kind == Served {
		r.session.idled, r.session.served = 0, true
		r.use.out = int64(len(a.Body))
	}
	c.endsAs(r, a.Kind)
	c.judged(r, a.Kind)
	if c.books != nil && a.Kind == Served && c.books.Strict() {
		r.use.kept = &kept{answer: a}
		return
	}
	a.Hint = c.level
	r.reply.Answer(a)
	c.left(r)
}

// logUnserved logs an answer that is no result: which request, and why. The log bounds its lines by itself.
func (c *Core) logUnserved(r *request, a Answer) {
	if a.Kind == Served {
		return
	}
	c.log.Info("not served", "id", r.Handle, "class", c.className(r.Class), "how", a.Kind.String(), "why", a.Why, "ran", r.ran,
		"waited_ms", (c.now - r.arrived).Milliseconds(), "left_ms", (r.due - c.now).Milliseconds(), "leaving", c.leaving)
}

// className returns the name of a class; "" = it has none.
func (c *Core) className(class int) string {
	if class < 0 || class >= len(c.site.Classes) {
		return ""
	}
	return c.site.Classes[class]
}

// judged tells what a request was worth that made calls below.
func (c *Core) judged(r *request, k Kind) {
	if c.trials == nil || r.use.calls == 0 {
		return
	}
	w := Worth{Served: k == Served, Calls: r.use.calls, Lost: r.use.lost}
	if w.Served {
		w.Value = 1
		if x := &c.site.Control.Classes[r.Class]; x.Aim > 0 && c.now-r.arrived > x.Aim {
			w.Late, w.Value = true, x.LateWorth
		}
	}
	c.trials.Judge(r.Handle, w)
}

// left takes an answered request off its connection.
func (c *Core) left(r *request) {
	r.session.open--
	c.rest(r.session)
}

// refuse turns away a request that never ran.
func (c *Core) refuse(r *request, away time.Duration, last bool) {
	if !c.holds(r.entry) { // it may run elsewhere
		return
	}
	if r.ran && c.site.Control.Classes[r.Class].Effect != control.Safe { // guards against a refusal after an effect
		c.fail(r)
		return
	}
	c.answer(r, Answer{Kind: Refused, Why: "turned away", Away: away, Last: last})
	if r.state == held {
		c.drop(r)
	}
}

// fail answers with an error. A run goes on until it ends or reaches a call.
func (c *Core) fail(r *request) {
	k := Failed
	if c.now >= r.due-100*time.Millisecond {
		k = TimedOut
	}
	c.answer(r, Answer{Kind: k, Why: "no result in time"})
	switch r.state {
	case held, replaying:
		c.drop(r)
	case calling:
		c.abandon(r)
	}
}

// drop takes a request off the books that neither the controller nor the worker pool has any longer.
func (c *Core) drop(r *request) {
	was := r.state
	c.strike(r)
	e := r.entry
	if e == nil {
		return
	}
	if e.owner == r {
		switch {
		case was == ending:
			e.owner = nil // the store's word is still to come, for those that repeat it
		case !e.ran && was == claiming && e.phase == asking && len(e.waiters) > 0:
			e.owner, e.waiters = e.waiters[0], e.waiters[1:] // the store's answer is still to come
		case !e.ran:
			c.release(e)
		default: // stopped for good after it had begun
			c.conclude(e, false, nil)
		}
		return
	}
	for i, w := range e.waiters {
		if w == r {
			e.waiters = append(e.waiters[:i:i], e.waiters[i+1:]...)
			break
		}
	}
}

func (c *Core) forgetHandle(r *request) {
	if c.byHandle[r.Handle] == r {
		delete(c.byHandle, r.Handle)
		c.changed()
	}
}

// strike takes a request that is over off the core's tables and books it.
func (c *Core) strike(r *request) {
	r.state = ended
	c.late.drop(&r.patience)
	delete(c.byID, r.id)
	c.forgetHandle(r)
	c.enterUse(r)
}

// finish ends a run or a replay, and tells the controller after this round of actions.
func (c *Core) finish(r *request, how control.Outcome, took time.Duration) {
	c.strike(r)
	c.again = append(c.again, func() { c.ctl.Done(c.now, r.id, took, how) })
}
