package core

import (
	"time"

	"larchscale/control"
)

// Relay: downstream calls, from the run that waits for one to the reply it is supplied with.

// runBlocked handles a run that waits for a call.
func (c *Core) runBlocked(e PoolBlocked) {
	c.poolLastSeen = c.now
	r := c.byHandle[e.Handle]
	if r == nil || r.state != stateRunning {
		return
	}
	r.command.settle()
	c.timers.remove(&r.waitTimer)
	r.state = stateBlocked
	r.callBody, r.callNotice = e.Body, e.Notice
	c.controller.Blocked(c.now, r.id)
}

// startCall makes the call that r waits for.
func (c *Core) startCall(r *request, timeout time.Duration) {
	if r.state != stateBlocked || r.answered || !c.owns(r.entry) {
		return
	}
	r.state, r.callStarted = stateCalling, c.now
	c.callCount++
	r.callNumber = c.callCount
	r.usage.calls++
	c.timers.set(&r.waitTimer, c.now+timeout+callTimeoutMargin)
	subject := r.Subject
	if r.adopted { // the outcome is reported for the try that is answered
		subject = 0
	}
	once := c.site.Control.Classes[r.Class].Effect != control.Safe
	c.caller.Call(r.Handle, r.callNumber, c.site.Classes[r.Class], subject, timeout, once, r.callBody)
}

// skipCall lets a run continue without the call that it waits for. The command names the notice that asked for the
// call, so a copy sent after a broken link is never taken for an answer to the next call.
func (c *Core) skipCall(r *request) {
	if r.state != stateBlocked || r.answered || !c.owns(r.entry) {
		return
	}
	r.state = stateRunning
	notice := r.callNotice
	c.sendCommand(r, commandSkip, func() bool { return c.runner.SkipCall(r.Handle, notice) })
}

// abandonCall gives up the call in flight.
func (c *Core) abandonCall(r *request) {
	c.timers.remove(&r.waitTimer)
	r.state = stateBlocked
	c.caller.Abandon(r.Handle)
}

// callEnded handles the end of a call. If no run waits for it, the run's own end takes care of it. The end of an
// earlier call, which was given up while the end was on its way here, is ignored: its reply would be taken for that
// of the call in flight.
func (c *Core) callEnded(e CallEnded) {
	r := c.byHandle[e.Handle]
	if r == nil || r.state != stateCalling || r.callNumber != e.Number || e.Outcome == control.NotStarted {
		return
	}
	c.timers.remove(&r.waitTimer)
	r.state = stateBlocked
	if e.Outcome == control.OK && c.owns(r.entry) {
		r.state = stateRunning
		c.sendCommand(r, commandSupply, func() bool { return c.runner.Supply(r.Handle, e.Body) })
	} else {
		r.usage.lostCalls++
	}
	c.controller.CallDone(c.now, r.id, c.now-r.callStarted, e.Outcome)
}

// waitExpired handles the timeout of a call, of a request that waits for the shared store, or of a run in doubt.
func (c *Core) waitExpired(r *request) {
	switch r.state {
	case stateRunning:
		c.noticeOverdue(r)
	case stateCalling:
		c.metrics.counts.Lost++
		r.usage.lostCalls++
		c.metricsChanged()
		c.abandonCall(r)
		c.controller.CallDone(c.now, r.id, c.now-r.callStarted, control.TimedOut)
	case stateClaiming, stateFinishing: // it may have run at another server or here, so it is not refused
		c.answer(r, Answer{Kind: TimedOut, Why: "the shared store did not tell in time"})
		c.discard(r)
	}
}
