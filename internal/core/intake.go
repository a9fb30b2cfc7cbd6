package core

import "time"

// The stage "take in": connections, and what comes on them.

func (c *Core) opened(e Opened) {
	x := &session{Session: e.Session, once: e.Single}
	x.idle.do = func() { c.hangUp(x) }
	c.sessions[e.Session] = x
	c.rest(x)
}

func (c *Core) closed(s Session) {
	if x := c.sessions[s]; x != nil {
		c.late.drop(&x.idle)
		delete(c.sessions, s)
	}
}

// rest starts a connection's idle time when nothing is open on it.
func (c *Core) rest(x *session) {
	x.since = c.now
	c.watch(x)
}

// watch sets when an idle connection is closed.
func (c *Core) watch(x *session) {
	if x.open == 0 && !x.once && c.idleAfter > 0 && c.sessions[x.Session] == x {
		c.late.set(&x.idle, x.since+c.idleAfter)
	}
}

// hangUp closes an idle connection. What crosses the close is not run: its session is no longer known.
func (c *Core) hangUp(x *session) {
	delete(c.sessions, x.Session)
	x.Close()
}

// use marks a connection as in use; false = it was closed, and nothing can be answered on it.
func (c *Core) use(s Session) (*session, bool) {
	x := c.sessions[s]
	if x == nil {
		return nil, false
	}
	c.late.drop(&x.idle)
	if c.leaving && !x.told { // it was opened after the notice
		x.told = true
		x.Drain()
	}
	return x, true
}

func (c *Core) check(e Check) {
	x, ok := c.use(e.Session)
	if !ok {
		return
	}
	e.Reply.Answer(Answer{Kind: Checked, Up: c.up && !c.leaving, Hint: c.level})
	c.rest(x)
}

func (c *Core) arrive(e Arrive) {
	x, ok := c.use(e.Session)
	if !ok {
		return
	}
	q := e.Req
	x.open++
	waited := max(0, time.Since(q.Arrived))
	r := &request{Incoming: q, session: x, reply: e.Reply, arrived: c.now - waited}
	budget := q.Budget
	if budget <= 0 {
		budget = c.site.Control.Classes[q.Class].Deadline
	}
	r.due = r.arrived + budget
	r.patience.do = func() { c.outOfPatience(r) }
	c.admit(r)
}

// withdraw is a caller that gave up: no answer is owed.
func (c *Core) withdraw(handle string) {
	r := c.byHandle[handle]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	c.left(r)
	if r.state == claiming {
		c.drop(r)
		return
	}
	if r.state == calling {
		c.abandon(r)
	}
	waited := r.state == held || r.state == replaying
	c.ctl.Gone(c.now, r.id)
	if waited { // the controller is done with it
		c.drop(r)
	}
}
