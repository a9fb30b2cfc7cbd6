package core

import (
	"time"

	"larchscale/control"
)

// The stage "relay": calls below, from the run that waits to the reply it is supplied with.

// blocked is a run that waits for a call.
func (c *Core) blocked(e PoolBlocked) {
	c.heard = c.now
	r := c.byHandle[e.Handle]
	if r == nil || r.state != running {
		return
	}
	r.resend = nil
	r.state = blocked
	r.callBody, r.callNotice = e.Body, e.Notice
	c.ctl.AtCall(c.now, r.id)
}

// call makes the call that r waits for.
func (c *Core) call(r *request, patience time.Duration) {
	if r.state != blocked || r.answered || !c.holds(r.entry) {
		return
	}
	r.state, r.began = calling, c.now
	c.calls++
	r.callNumber = c.calls
	r.use.calls++
	c.late.set(&r.patience, c.now+patience+callMargin)
	subject := r.Subject
	if r.adopted { // its answer is another try's, which is judged where that is answered
		subject = 0
	}
	once := c.site.Control.Classes[r.Class].Effect != control.Safe
	c.caller.Call(r.Handle, r.callNumber, c.site.Classes[r.Class], subject, patience, once, r.callBody)
}

// skip has a run go on without the call that it waits for. The command names that call's notice, so that a copy
// after a broken link is never taken for a word on the next call.
func (c *Core) skip(r *request) {
	if r.state != blocked || r.answered || !c.holds(r.entry) {
		return
	}
	r.state = running
	notice := r.callNotice
	c.command(r, func() { c.runner.Pass(r.Handle, notice) })
}

// abandon gives up the call in hand.
func (c *Core) abandon(r *request) {
	c.late.drop(&r.patience)
	r.state = blocked
	c.caller.Abandon(r.Handle)
}

// callEnded is how a call ended. One that found no run waiting ends with the run's own end. The end of an earlier call
// than the one in hand, given up as it was on its way here, is passed over: its reply would be taken for another's.
func (c *Core) callEnded(e CallEnded) {
	r := c.byHandle[e.Handle]
	if r == nil || r.state != calling || r.callNumber != e.Number || e.Outcome == control.Moot {
		return
	}
	c.late.drop(&r.patience)
	r.state = blocked
	if e.Outcome == control.OK && c.holds(r.entry) {
		r.state = running
		c.command(r, func() { c.runner.Supply(r.Handle, e.Body) })
	} else {
		r.use.lost++
	}
	c.ctl.CallDone(c.now, r.id, c.now-r.began, e.Outcome)
}

// outOfPatience is the deadline of a call, or of a request that waits for the shared store.
func (c *Core) outOfPatience(r *request) {
	switch r.state {
	case calling:
		c.figs.counts.Lost++
		r.use.lost++
		c.changed()
		c.abandon(r)
		c.ctl.CallDone(c.now, r.id, c.now-r.began, control.TimedOut)
	case claiming, ending: // another server may have run it, or it ran here: no assurance
		c.answer(r, Answer{Kind: TimedOut, Why: "the shared store did not tell in time"})
		c.drop(r)
	}
}
