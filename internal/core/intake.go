package core

import "time"

// The stage "take in": connections, and what comes on them.

func (c *Core) opened(e Opened) {
	x := &session{Session: e.Session, once: e.Single}
	x.idle.do = func() { c.hangUp(x, CloseIdle) }
	c.sessions[e.Session] = x
	c.rest(x)
	c.makeRoom(x)
}

// makeRoom asks a connection to end that stands idle when there are too many: first one that has said nothing so far,
// then one that asked and was never served, then the one that has been idle for longest. Guards against clients that
// connect and say nothing, ask for the health over and over, or ask once and stay, until no balancer finds room.
func (c *Core) makeRoom(newest *session) {
	if len(c.sessions) <= c.site.Bounds.Sessions { // no connection has to go: the search costs time with each of them
		return
	}
	var out *session
	n := 0 // that are kept open; those of one request are bounded by their front
	worth := func(x *session) int {
		switch {
		case !x.asked && c.now-x.since > newcomer:
			return 0
		case x.asked && !x.served:
			return 1
		}
		return 2
	}
	for _, x := range c.sessions {
		if x.ends {
			continue
		}
		if !x.once {
			n++
		}
		if x.open == 0 && !x.once && (out == nil || worth(x) < worth(out) || worth(x) == worth(out) && x.since < out.since) {
			out = x
		}
	}
	if out != nil && n > c.site.Bounds.Sessions {
		if out == newest {
			c.log.Warn("crowded", "connections", n, "open", len(c.byHandle))
		}
		c.hangUp(out, CloseRoom)
	}
}

// closed is the end of a connection: nobody waits for what was open on it.
func (c *Core) closed(s Session) {
	x := c.sessions[s]
	if x == nil {
		return
	}
	if x.open > 0 {
		for _, r := range c.byHandle {
			if r.session == x {
				c.gone(r)
			}
		}
	}
	c.late.drop(&x.idle)
	delete(c.sessions, s)
}

// rest starts a connection's idle time when nothing is open on it.
func (c *Core) rest(x *session) {
	x.since = c.now
	c.watch(x)
}

// watch sets when an idle connection is closed: at the end of the server that is now, and where too much came to
// nothing, so that its caller makes another.
func (c *Core) watch(x *session) {
	switch {
	case x.open > 0 || x.ends || c.sessions[x.Session] != x:
	case c.ending:
		c.hangUp(x, CloseShutdown)
	case c.strange(x):
		c.tellDrain(x)
		c.hangUp(x, CloseUnserved)
	case !x.once && c.idleAfter > 0:
		c.late.set(&x.idle, x.since+c.idleAfter)
	}
}

// hangUp asks for the end of an idle connection. The connection decides: what has come on it by then is taken, and
// keeps it.
func (c *Core) hangUp(x *session, why CloseReason) {
	c.late.drop(&x.idle)
	x.ends = true
	x.Close(x.heard, why)
}

// hear notes an event of a connection; nil = it is gone, and nothing can be answered on it.
func (c *Core) hear(s Session) *session {
	x := c.sessions[s]
	if x != nil {
		x.heard++
		x.ends = false
	}
	return x
}

// use marks a connection as in use; false = it is gone.
func (c *Core) use(s Session) (*session, bool) {
	x := c.hear(s)
	if x == nil {
		return nil, false
	}
	c.late.drop(&x.idle)
	x.asked = true
	if c.shut && !x.told { // it was opened since
		c.tellDrain(x)
	}
	return x, true
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

// withdraw is a caller that gave up one of its own requests.
func (c *Core) withdraw(s Session, handle string) {
	if r := c.byHandle[handle]; r != nil && r.session.Session == s {
		c.gone(r)
	}
	if x := c.hear(s); x != nil {
		c.watch(x)
	}
}

// gone is a request that nobody waits for any longer: no answer is owed.
func (c *Core) gone(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	c.withdrawn(r)
	c.judged(r, Failed)
	r.session.idled++
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
