package core

import "time"

// Intake: connections, and the events that arrive on them.

// sessionOpened handles a new connection.
func (c *Core) sessionOpened(e SessionOpened) {
	sess := &session{Session: e.Session, single: e.Single}
	sess.idleTimer.callback = func() { c.requestClose(sess, CloseIdle) }
	c.sessions[e.Session] = sess
	c.metricsChanged()
	c.startIdle(sess)
	c.evictIdle(sess)
}

// evictIdle closes an idle connection when there are too many: first one that has sent nothing so far, then one that
// has sent something and was never served, then the one that has been idle for longest. It prevents clients that
// connect and send nothing, only ask for the health, or stay after one request, from keeping balancers out.
func (c *Core) evictIdle(newest *session) {
	if len(c.sessions) <= c.site.Bounds.Sessions { // skip the search, which would take time for every connection
		return
	}
	var victim *session
	longLived := 0 // long-lived connections; single-request ones are bounded by their front
	evictionRank := func(sess *session) int {
		switch {
		case !sess.used && c.now-sess.idleSince > silentGrace:
			return 0
		case sess.used && !sess.everServed:
			return 1
		}
		return 2
	}
	for _, sess := range c.sessions {
		if sess.closeRequested {
			continue
		}
		if !sess.single {
			longLived++
		}
		if sess.openRequests == 0 && !sess.single && (victim == nil || evictionRank(sess) < evictionRank(victim) ||
			evictionRank(sess) == evictionRank(victim) && sess.idleSince < victim.idleSince) {
			victim = sess
		}
	}
	if victim != nil && longLived > c.site.Bounds.Sessions {
		if victim == newest {
			c.log.Warn("crowded", "connections", longLived, "open", len(c.byHandle))
		}
		c.requestClose(victim, CloseEvicted)
	}
}

// sessionClosed handles the end of a connection, which cancels the requests that were open on it.
func (c *Core) sessionClosed(conn Session) {
	sess := c.sessions[conn]
	if sess == nil {
		return
	}
	if sess.openRequests > 0 {
		for _, r := range c.byHandle {
			if r.session == sess {
				c.callerGone(r)
			}
		}
		c.dropPendingReplies(sess)
		c.dropDeepChecks(sess)
	}
	c.timers.remove(&sess.idleTimer)
	delete(c.sessions, conn)
	c.metricsChanged()
}

// startIdle starts a connection's idle time if no request is open on it.
func (c *Core) startIdle(sess *session) {
	sess.idleSince = c.now
	c.scheduleIdleClose(sess)
}

// scheduleIdleClose sets when an idle connection is closed: at once if the server is ending, or if too many of its
// requests were not served, so that its caller opens another.
func (c *Core) scheduleIdleClose(sess *session) {
	switch {
	case sess.openRequests > 0 || sess.closeRequested || c.sessions[sess.Session] != sess:
	case c.closingConnections:
		c.requestClose(sess, CloseShutdown)
	case c.tooManyUnserved(sess):
		c.sendDrain(sess)
		c.requestClose(sess, CloseUnserved)
	case !sess.single && c.idleTimeout > 0:
		c.timers.set(&sess.idleTimer, sess.idleSince+c.idleTimeout)
	}
}

// requestClose asks an idle connection to end. The connection decides: input that has arrived on it by then is
// delivered and keeps it open.
func (c *Core) requestClose(sess *session, reason CloseReason) {
	c.timers.remove(&sess.idleTimer)
	sess.closeRequested = true
	sess.Close(sess.eventsHandled, reason)
}

// countEvent counts an event of a connection; nil = the connection has ended, and nothing can be answered on it.
func (c *Core) countEvent(conn Session) *session {
	sess := c.sessions[conn]
	if sess != nil {
		sess.eventsHandled++
		sess.closeRequested = false
	}
	return sess
}

// touch marks a connection as in use; false = it has ended.
func (c *Core) touch(conn Session) (*session, bool) {
	sess := c.countEvent(conn)
	if sess == nil {
		return nil, false
	}
	c.timers.remove(&sess.idleTimer)
	sess.used = true
	if c.drainAnnounced && !sess.drainSent { // the connection was opened after the announcement
		c.sendDrain(sess)
	}
	return sess, true
}

// requestArrived takes in a request.
func (c *Core) requestArrived(e RequestArrived) {
	sess, ok := c.touch(e.Session)
	if !ok {
		return
	}
	req := e.Req
	sess.openRequests++
	waited := max(0, time.Since(req.Arrived))
	r := c.newRequest(req)
	r.session, r.reply, r.arrived = sess, e.Reply, c.now-waited
	budget := req.Budget
	if budget <= 0 {
		budget = c.site.Control.Classes[req.Class].Deadline
	}
	r.due = r.arrived + budget
	c.admit(r)
}

// newRequest returns a request that is in none of the core's tables yet.
func (c *Core) newRequest(req IncomingRequest) *request {
	r := &request{IncomingRequest: req}
	r.usage.bytesIn = int64(len(req.Body))
	r.waitTimer.callback = func() { c.waitExpired(r) }
	return r
}

// cancel handles a caller's cancellation of one of its own requests.
func (c *Core) cancel(conn Session, handle string) {
	if r := c.byHandle[handle]; r != nil && r.session != nil && r.session.Session == conn {
		c.callerGone(r)
	}
	if sess := c.countEvent(conn); sess != nil {
		c.scheduleIdleClose(sess)
	}
}

// callerGone handles a request whose caller no longer waits: no answer is owed.
func (c *Core) callerGone(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	c.markCanceled(r)
	c.reportOutcome(r, Failed)
	r.session.unserved++
	c.detach(r)
	if r.state == stateClaiming {
		c.discard(r)
		return
	}
	if r.state == stateCalling {
		c.abandonCall(r)
	}
	controllerDone := r.state == stateHeld || r.state == stateReplaying
	c.controller.Canceled(c.now, r.id)
	if controllerDone { // the controller is done with it
		c.discard(r)
	}
}
