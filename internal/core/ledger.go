package core

import (
	"math"
	"slices"
	"time"

	"larchscale/internal/ledger"
)

// Usage: what each request used is recorded in the ledger, once, when the request is over.

const ledgerWaitMargin = 50 * time.Millisecond // how long before its due time a result stops waiting for its entry

// usage is what a request has used so far.
type usage struct {
	end        ledger.End
	endSet     bool // end is set
	recorded   bool
	replay     bool
	earnsWorth bool // its answer is the first with this result
	calls      int64
	lostCalls  int64 // calls that brought no reply
	bytesIn    int64
	bytesOut   int64
	runTime    time.Duration // of its runs, as measured by the worker pool
	runStarted time.Duration // when its run began
	busyTime   time.Duration // total time in which it ran or was paused
	recordedAt time.Duration // when it was recorded
	pending    *pendingResult
}

// pendingResult is a result that waits for its ledger entry.
type pendingResult struct {
	request   *request
	answer    Answer
	sent      bool
	ticket    uint64
	waitUntil time.Duration // when it stops waiting
}

// setEnd records how a request ends; only the first end counts.
func (c *Core) setEnd(r *request, kind Kind) {
	if c.ledger == nil || r.usage.endSet {
		return
	}
	r.usage.endSet = true
	switch kind {
	case Served:
		r.usage.end = ledger.ServedInAim
		if aim := c.site.Control.Classes[r.Class].Aim; aim > 0 && c.now-r.arrived > aim {
			r.usage.end = ledger.ServedLate
		}
		r.usage.earnsWorth = r.entry == nil || !r.entry.worthEarned
		if r.entry != nil {
			r.entry.worthEarned = true
		}
	case Refused:
		r.usage.end = ledger.Refused
	case Conflict, Invalid:
		r.usage.end = ledger.Rejected
	default:
		r.usage.end = ledger.Failed
	}
}

// markCanceled records that the caller canceled the request.
func (c *Core) markCanceled(r *request) {
	if r.usage.endSet {
		return
	}
	r.usage.endSet, r.usage.end = true, ledger.WithdrawnUnrun
	if r.ran {
		r.usage.end = ledger.WithdrawnRan
	}
}

// addRun adds the time of a run. The run of a request that is held again after a stop has been added already.
func (r *request) addRun(now, took time.Duration) {
	if r.state == stateHeld {
		return
	}
	r.usage.runTime += took
	r.usage.busyTime += now - r.usage.runStarted
	r.usage.runStarted = now
}

// recordUsage records a request that is over in the ledger, and queues the result if that waits for its entry.
func (c *Core) recordUsage(r *request) {
	if c.ledger == nil || r.usage.recorded {
		return
	}
	r.usage.recorded, r.usage.recordedAt = true, c.now
	c.usageRecorded = true
	ticket := c.ledger.Record(c.usageOf(r))
	if pending := r.usage.pending; pending != nil {
		pending.ticket, pending.waitUntil = ticket, r.due-ledgerWaitMargin
		c.pendingResults = append(c.pendingResults, pending)
		c.resize(r, requestOverheadBytes+len(pending.answer.Body))
		if len(c.pendingResults) == 1 || pending.waitUntil < c.pendingTimer.at {
			c.timers.set(&c.pendingTimer, pending.waitUntil)
		}
	}
}

// usageOf computes the ledger entry of a request.
func (c *Core) usageOf(r *request) Usage {
	used := &r.usage
	class := &c.site.Control.Classes[r.Class]
	var metrics ledger.Figures
	metrics[ledger.Requests] = 1
	if used.earnsWorth && used.end == ledger.ServedInAim {
		metrics[ledger.Worth] = microWorth(class.Worth)
	} else if used.earnsWorth && used.end == ledger.ServedLate {
		metrics[ledger.Worth] = microWorth(class.Worth * class.LateWorth)
	}
	span := max(0, used.recordedAt-r.arrived)
	busy := min(used.busyTime, span)
	heldBytes := max(0, r.Memory) * 1000 // the metric is in kilobyte-milliseconds; bytes keep the fraction of a kilobyte
	metrics[ledger.Held] = int64(heldBytes * (float64((span - busy).Microseconds()) +
		c.site.Control.RunFactor*float64(busy.Microseconds())) / 1e6)
	metrics[ledger.Run] = used.runTime.Microseconds()
	metrics[ledger.Calls], metrics[ledger.In], metrics[ledger.Out] = used.calls, used.bytesIn, used.bytesOut
	return Usage{Class: r.Class, Tenant: r.Tenant, Began: r.arrived, Ended: used.recordedAt, End: used.end,
		Replay: used.replay, Figures: metrics}
}

// microWorth converts a worth to millionths; it is the only place where a worth becomes an integer.
func microWorth(worth float64) int64 { return int64(math.Round(worth * 1e6)) }

// ledgerWritten sends the results whose entries are written.
func (c *Core) ledgerWritten(through uint64) {
	written := 0
	for written < len(c.pendingResults) && c.pendingResults[written].ticket <= through {
		pending := c.pendingResults[written]
		written++
		c.sendPending(pending, pending.answer)
	}
	c.pendingResults = slices.Delete(c.pendingResults, 0, written)
	c.metricsChanged()
	if len(c.pendingResults) == 0 {
		c.timers.remove(&c.pendingTimer)
	}
}

// expirePending ends the wait of results that are due. One timer serves all of them, since almost none expire. What is
// sent waits no longer, so that a disk that does not respond keeps none of it in memory.
func (c *Core) expirePending() {
	next := time.Duration(math.MaxInt64)
	for _, pending := range c.pendingResults {
		if pending.waitUntil <= c.now {
			c.resolveOverdue(pending)
		} else if !pending.sent {
			next = min(next, pending.waitUntil)
		}
	}
	c.pendingResults = slices.DeleteFunc(c.pendingResults, func(pending *pendingResult) bool { return pending.sent })
	c.metricsChanged()
	if next < math.MaxInt64 {
		c.timers.set(&c.pendingTimer, next)
	}
}

// dropPendingReplies releases the connection of results that wait for their entries: it has ended. The entries are still
// reversed if they are not written in time.
func (c *Core) dropPendingReplies(sess *session) {
	for _, pending := range c.pendingResults {
		if r := pending.request; !pending.sent && r.session == sess {
			c.detach(r)
			pending.answer.Body = nil
		}
	}
}

// resolveOverdue handles a result whose entry is not written by the time it has to be sent: depending on the ledger's
// mode, the result is sent anyway or the request fails.
func (c *Core) resolveOverdue(pending *pendingResult) {
	if pending.sent {
		return
	}
	if c.ledger.SendOverdue() {
		c.sendPending(pending, pending.answer)
		return
	}
	c.failPending(pending, Answer{Kind: TimedOut, Why: "the ledger could not be written"})
}

// failPending fails a request whose result is pending: its entry, wherever that is by now, is reversed, and an entry
// for the failure is recorded.
func (c *Core) failPending(pending *pendingResult, answer Answer) {
	if pending.sent {
		return
	}
	r := pending.request
	reversal := c.usageOf(r)
	reversal.Figures, _ = reversal.Figures.Neg() // the sums of one request are far from overflowing
	c.ledger.Record(reversal)
	r.usage.end, r.usage.bytesOut = ledger.Failed, 0
	c.ledger.Record(c.usageOf(r))
	c.usageRecorded = true
	c.sendPending(pending, answer)
}

// sendPending sends a delayed answer, once.
func (c *Core) sendPending(pending *pendingResult, answer Answer) {
	if pending.sent {
		return
	}
	r := pending.request
	if answer.Kind == Served && !c.owns(r.entry) {
		c.failPending(pending, Answer{Kind: Failed, Why: whyElsewhere})
		return
	}
	pending.sent, pending.answer = true, Answer{}
	c.resize(r, 0)
	if r.reply == nil { // its connection has ended
		return
	}
	answer.Hint = c.level
	r.reply.Answer(answer)
	c.detach(r)
}
