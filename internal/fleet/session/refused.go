package session

import (
	"math"
	"time"
)

// refused carries out what a refusal asks for.
func (c *Client) refused(r *Refusal, now time.Duration) []Action {
	if r.Code != c.lastRefusal {
		c.event(Event{Kind: Refused, Code: r.Code, Reason: r.Reason})
		c.lastRefusal = r.Code
	}
	least := min(max(r.RetryAfter, 0), maxRetryAfter)
	switch r.Code {
	case Superseded:
		return c.superseded(r, now)
	case Busy:
		return c.busyNode(least, now)
	case Moving:
		c.failures++
		return c.next(max(least, c.backoff()), now)
	}
	c.failures++
	return c.next(max(least, MaxBackoff/2+c.part(MaxBackoff/2)), now)
}

// busyNode stays with a node that is busy for one more attempt, as the node has counted it among those that come
// back, and goes to the next after that.
func (c *Client) busyNode(least time.Duration, now time.Duration) []Action {
	c.failures++
	wait := max(least, c.backoff())
	if c.busy {
		return c.next(wait, now)
	}
	actions := c.again(c.position, wait, now)
	c.busy = true
	return actions
}

// superseded ends the session for good, but for a process that had none yet: its clock may have gone back since an earlier process
// took its incarnation, and it takes a newer one, once.
func (c *Client) superseded(r *Refusal, now time.Duration) []Action {
	closing := Action{Close: &Close{c.attempt}}
	if c.everOpen || c.reincarnated || r.Incarnation < c.incarnation || r.Incarnation == math.MaxUint64 {
		c.state = Ended
		c.holder.Lost()
		c.noteLease(now)
		c.event(Event{Kind: SessionOver, Reason: r.Reason})
		return []Action{closing}
	}
	c.reincarnated = true
	c.incarnation = r.Incarnation + 1
	c.event(Event{Kind: Incarnated})
	c.local.Report.Incarnation = c.incarnation
	return c.again(c.position, c.part(FirstBackoff), now)
}
