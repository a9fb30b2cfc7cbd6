package core

import (
	"slices"
	"strconv"
	"time"
)

// Health checks. A plain check is answered from the state that the controller reports. A deep check asks whether work
// is being completed. A run that ended well within proofLifetime proves that at no cost; otherwise all waiting checks
// share one verification by the worker pool, and if that does not come back in time, the answer is no.

const (
	proofLifetime = time.Second            // a run that ended well within this time proves that work is being completed
	verifyTimeout = 800 * time.Millisecond // a verification that takes longer has failed
)

// deepCheckState is what is known about work being completed.
type deepCheckState struct {
	lastProof    time.Duration // when a run or a verification last ended well; negative = never
	ticket       string        // of the verification in flight; "" = none
	ticketCount  uint64
	waiting      []waitingCheck
	timeoutTimer timer
}

// waitingCheck is a deep check that is not answered yet.
type waitingCheck struct {
	session *session
	reply   Reply
}

// healthCheck answers a health check, or makes a deep one wait for a verification.
func (c *Core) healthCheck(e HealthCheck) {
	sess, ok := c.touch(e.Session)
	if !ok {
		return
	}
	serving := c.healthy && !c.drainAnnounced && !c.heldByOperator
	switch {
	case !e.Deep, !serving:
		c.answerCheck(e.Reply, serving)
	case c.controller == nil || !c.linkUp || len(c.deepChecks.waiting) >= c.site.Bounds.Sessions:
		c.answerCheck(e.Reply, false)
	case c.deepChecks.lastProof >= 0 && c.now-c.deepChecks.lastProof <= proofLifetime:
		c.answerCheck(e.Reply, true)
	default:
		sess.openRequests++ // so that it is not closed as idle meanwhile
		c.deepChecks.waiting = append(c.deepChecks.waiting, waitingCheck{sess, e.Reply})
		c.startVerification()
		return
	}
	c.startIdle(sess)
}

func (c *Core) answerCheck(reply Reply, healthy bool) {
	reply.Answer(Answer{Kind: Checked, Healthy: healthy, Hint: c.level})
}

// startVerification asks the worker pool for the work of a deep check, unless a verification is in flight.
func (c *Core) startVerification() {
	state := &c.deepChecks
	if state.ticket != "" {
		return
	}
	state.ticketCount++
	state.ticket = "v" + strconv.FormatUint(state.ticketCount, 10)
	c.timers.set(&state.timeoutTimer, c.now+verifyTimeout)
	c.runner.Verify(state.ticket)
}

// poolVerified handles the end of a verification; one that timed out is ignored.
func (c *Core) poolVerified(e PoolVerified) {
	if e.Ticket == "" || e.Ticket != c.deepChecks.ticket {
		return
	}
	if e.OK {
		c.deepChecks.lastProof = c.now
	}
	c.answerDeepChecks(e.OK)
}

// answerDeepChecks answers all waiting deep checks.
func (c *Core) answerDeepChecks(ok bool) {
	state := &c.deepChecks
	c.timers.remove(&state.timeoutTimer)
	state.ticket = ""
	waiting := state.waiting
	state.waiting = nil
	if !ok && len(waiting) > 0 {
		c.log.Warn("deep check", "up", false, "checks", len(waiting))
	}
	for _, w := range waiting {
		w.session.openRequests--
		c.answerCheck(w.reply, ok && c.healthy && !c.drainAnnounced && !c.heldByOperator)
		c.startIdle(w.session)
	}
}

// dropDeepChecks forgets the waiting checks of a connection that has ended.
func (c *Core) dropDeepChecks(sess *session) {
	c.deepChecks.waiting = slices.DeleteFunc(c.deepChecks.waiting, func(w waitingCheck) bool { return w.session == sess })
}
