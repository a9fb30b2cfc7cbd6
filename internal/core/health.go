package core

import (
	"strconv"
	"time"
)

// Health checks. A plain one is answered from what the controller says. A deep one asks whether work is getting
// done: a run that ended well a moment ago proves it at no cost; otherwise one verification by the worker pool is
// in hand at a time, for all checks that wait, and one that does not come back in time is a no.

const (
	proofFor     = time.Second            // a run that ended well so lately shows that work is getting done
	verifyWithin = 800 * time.Millisecond // a verification that takes longer is a no
)

// deep is what is known of work getting done.
type deep struct {
	proved  time.Duration // when a run or a verification last ended well; negative = never
	ticket  string        // of the verification in hand; "" = none
	tickets uint64
	waiting []waiter
	expiry  deadline
}

// waiter is one deep check that has no answer yet.
type waiter struct {
	session *session
	reply   Reply
}

func (c *Core) check(e Check) {
	x, ok := c.use(e.Session)
	if !ok {
		return
	}
	serves := c.up && !c.shut && !c.held
	switch {
	case !e.Deep, !serves:
		c.checked(e.Reply, serves)
	case c.ctl == nil || !c.linked || len(c.deep.waiting) >= c.site.Bounds.Sessions:
		c.checked(e.Reply, false)
	case c.deep.proved >= 0 && c.now-c.deep.proved <= proofFor:
		c.checked(e.Reply, true)
	default:
		x.open++ // it is not closed as idle meanwhile
		c.deep.waiting = append(c.deep.waiting, waiter{x, e.Reply})
		c.verify()
		return
	}
	c.rest(x)
}

func (c *Core) checked(to Reply, up bool) { to.Answer(Answer{Kind: Checked, Up: up, Hint: c.level}) }

// verify asks the worker pool for the work of a deep check, unless one is in hand.
func (c *Core) verify() {
	d := &c.deep
	if d.ticket != "" {
		return
	}
	d.tickets++
	d.ticket = "v" + strconv.FormatUint(d.tickets, 10)
	c.late.set(&d.expiry, c.now+verifyWithin)
	c.runner.Verify(d.ticket)
}

// verified is the end of a verification; one that was given up says nothing any longer.
func (c *Core) verified(e PoolVerified) {
	if e.Ticket == "" || e.Ticket != c.deep.ticket {
		return
	}
	if e.OK {
		c.deep.proved = c.now
	}
	c.judge(e.OK)
}

// judge answers all deep checks that wait.
func (c *Core) judge(good bool) {
	d := &c.deep
	c.late.drop(&d.expiry)
	d.ticket = ""
	all := d.waiting
	d.waiting = nil
	if !good && len(all) > 0 {
		c.log.Warn("deep check", "up", false, "checks", len(all))
	}
	for _, w := range all {
		w.session.open--
		if c.sessions[w.session.Session] == w.session {
			c.checked(w.reply, good && c.up && !c.shut && !c.held)
			c.rest(w.session)
		}
	}
}
