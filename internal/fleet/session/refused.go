package session

import (
	"math"
	"time"
)

// handleRefusal ends the session or attempt and schedules the next one as the refusal's code requires.
func (c *Client) handleRefusal(r *Refusal, now time.Duration) []Action {
	if r.Code != c.lastRefusal {
		c.addEvent(Event{Kind: SessionRefused, Code: r.Code, Reason: r.Reason})
		c.lastRefusal = r.Code
	}
	minWait := min(max(r.RetryAfter, 0), maxRetryAfter)
	switch r.Code {
	case Superseded:
		return c.handleSuperseded(r, now)
	case Busy:
		return c.handleBusy(minWait, now)
	case NodeUnavailable:
		c.consecutiveFailures++
		return c.reconnectToNext(max(minWait, c.backoff()), now)
	}
	c.consecutiveFailures++
	return c.reconnectToNext(max(minWait, MaxBackoff/2+c.randomPart(MaxBackoff/2)), now)
}

// handleBusy retries a busy node once, because the node has included this server in its retry delays, and then goes
// to the next node.
func (c *Client) handleBusy(minWait time.Duration, now time.Duration) []Action {
	c.consecutiveFailures++
	wait := max(minWait, c.backoff())
	if c.busyRetry {
		return c.reconnectToNext(wait, now)
	}
	actions := c.reconnect(c.nodeIndex, wait, now)
	c.busyRetry = true
	return actions
}

// handleSuperseded ends the client for good. Exception: a process that never had a session takes a newer
// incarnation, once, because its clock may have been set back since an earlier process chose its incarnation.
func (c *Client) handleSuperseded(r *Refusal, now time.Duration) []Action {
	closing := Action{Close: &Close{c.attempt}}
	if c.everOpen || c.reincarnated || r.Incarnation < c.incarnation || r.Incarnation == math.MaxUint64 {
		c.state = Ended
		c.holder.DropToken()
		c.recordLeaseChange(now)
		c.addEvent(Event{Kind: SessionEnded, Reason: r.Reason})
		return []Action{closing}
	}
	c.reincarnated = true
	c.incarnation = r.Incarnation + 1
	c.addEvent(Event{Kind: IncarnationChanged})
	c.local.Report.Incarnation = c.incarnation
	return c.reconnect(c.nodeIndex, c.randomPart(InitialBackoff), now)
}
