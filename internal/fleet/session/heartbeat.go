package session

import (
	"math"
	"time"

	"larchscale/internal/fleet/maintenance"
)

// Timing of heartbeats and reports in addition to lease.Terms.RenewInterval.
const (
	ReportInterval       = 2 * time.Second        // minimum interval of reports in which only noise and request counts changed
	MinHeartbeatInterval = 200 * time.Millisecond // minimum time between heartbeats sent before the renewal interval is over
	// ReportTolerance is the relative change of Load or Capacity that counts as noise, and ReportMinChange the absolute
	// change, in requests per second. Only a change beyond both is reported before ReportInterval.
	ReportTolerance = 0.05
	ReportMinChange = 1.0
)

// openSession is a client's state of an open session.
type openSession struct {
	openedAt   time.Duration
	heardAt    time.Duration // when the last message arrived
	leaderless bool          // whether the node knew no leader at the last Ack
	granted    bool          // whether a lease was granted in this session

	sentFirst     bool // whether the first heartbeat was sent
	sentAt        time.Duration
	renewAt       time.Duration // when the next regular heartbeat is due
	sentToken     uint64        // this and the following values were last sent
	sentApplied   uint64
	sentProposals pendingProposals
	sentReport    maintenance.Report
	reportSentAt  time.Duration
}

// pendingProposals are the proposals that the next heartbeat has to carry.
type pendingProposals struct {
	step      *maintenance.Entry
	registers bool
}

// Propose sets the next phase of this server (maintenance.Step) as its proposal. Each heartbeat carries the proposal
// until the watch shows that it was applied or can no longer apply, or until it is replaced or canceled. The client
// proposes the registration of the process by itself.
func (c *Client) Propose(step maintenance.Entry) {
	if c.proposedStep != nil && c.proposedStep.Phase == step.Phase && c.proposedStep.Incarnation == step.Incarnation {
		return
	}
	c.proposedStep = &step
	c.dropObsoleteStep()
}

// CancelProposal cancels the current proposal.
func (c *Client) CancelProposal() { c.proposedStep = nil }

// dropObsoleteStep drops the proposed step if it was applied or can no longer apply.
func (c *Client) dropObsoleteStep() {
	if c.proposedStep == nil {
		return
	}
	server := &c.serverState.Box
	applied := c.hasServerState && server.Incarnation == c.proposedStep.Incarnation && server.Phase == c.proposedStep.Phase
	if applied || c.proposedStep.Incarnation != c.incarnation || server.Incarnation > c.proposedStep.Incarnation {
		c.proposedStep = nil
	}
}

// pendingProposals returns the proposals to send now. A process without an agreed fencing token proposes its
// registration.
func (c *Client) pendingProposals() pendingProposals {
	return pendingProposals{step: c.proposedStep, registers: c.holder.Token() == 0}
}

func (c *Client) listProposals(p pendingProposals) (list []Proposal) {
	if p.registers {
		e := registrationEntry(&Hello{Server: c.options.Server, Zone: c.options.Zone, Incarnation: c.incarnation, Pool: c.options.Pool})
		list = append(list, Proposal{Live: &e})
	}
	if p.step != nil {
		step := *p.step
		list = append(list, Proposal{Step: &step})
	}
	return list
}

// heartbeat sends a heartbeat if one is due, or if a change has to be sent early.
func (c *Client) heartbeat(now time.Duration) []Action {
	s := &c.session
	regular := !s.sentFirst || now >= s.renewAt
	p := c.pendingProposals()
	if !regular && (now-s.sentAt < MinHeartbeatInterval || !c.needsPromptHeartbeat(p)) {
		return nil
	}
	hb := Heartbeat{Applied: c.local.Applied, Proposals: c.listProposals(p)}
	if regular || s.sentToken != c.holder.Token() {
		s.renewAt = now + c.options.Terms.RenewInterval
		if r, ok := c.holder.RenewNow(now); ok {
			hb.Sequence, hb.FencingToken = r.Seq, r.Life
		}
	}
	if c.reportDue(now) {
		report := c.local.Report
		hb.Report = &report
		s.sentReport, s.reportSentAt = report, now
	}
	s.sentFirst, s.sentAt = true, now
	s.sentToken, s.sentApplied, s.sentProposals = c.holder.Token(), hb.Applied, p
	return []Action{c.send(FromServer{Heartbeat: &hb})}
}

// needsPromptHeartbeat reports whether there is a change that must not wait for the next regular heartbeat.
func (c *Client) needsPromptHeartbeat(p pendingProposals) bool {
	s := &c.session
	report := &c.local.Report
	return s.sentToken != c.holder.Token() || s.sentApplied != c.local.Applied || p != s.sentProposals && p != (pendingProposals{}) ||
		report.Warm != s.sentReport.Warm || report.Failing != s.sentReport.Failing
}

func (c *Client) reportDue(now time.Duration) bool {
	s := &c.session
	current, sent := &c.local.Report, &s.sentReport
	switch {
	case !s.sentFirst:
		return true
	case current.Warm != sent.Warm, current.Failing != sent.Failing, beyondNoise(current.Load, sent.Load), beyondNoise(current.Capacity, sent.Capacity):
		return true
	}
	return now-s.reportSentAt >= ReportInterval && *current != *sent
}

func beyondNoise(current, sent float64) bool {
	change := math.Abs(current - sent)
	return change > ReportMinChange && change > ReportTolerance*max(math.Abs(current), math.Abs(sent))
}

// shouldLeaveNode reports whether another node is more likely to bring lease grants than the current one.
func (c *Client) shouldLeaveNode(now time.Duration) bool {
	s := &c.session
	withoutGrant := now - max(s.openedAt, c.lastGrant)
	patience := c.timeouts.grant
	switch {
	case c.nodesWithoutGrant >= len(c.nodes)-1: // all nodes were tried
		return len(c.nodes) > 1 && withoutGrant >= c.searchStay
	case c.holder.Token() == 0: // registration needs the agreement of the control tier first, which takes longer
		return withoutGrant >= 2*patience
	case s.leaderless && c.nodesWithoutGrant > 0 && c.everGranted && now-c.lastGrant >= patience+InitialBackoff:
		return true // the node knows no leader, so it is no better than the previous one
	}
	return withoutGrant >= patience
}

// leaveNode goes to the next node after a session without grants.
func (c *Client) leaveNode(now time.Duration) []Action {
	c.addEvent(Event{Kind: SessionLost, Reason: "no lease grant received"})
	if c.nodesWithoutGrant >= len(c.nodes)-1 {
		limit := min(2*c.searchStay, MaxBackoff)
		c.searchStay = limit/2 + c.randomPart(limit/2)
	}
	c.nodesWithoutGrant++
	return c.reconnectToNext(c.randomPart(InitialBackoff), now)
}

// readServerState updates the agreed state of this server from the view.
func (c *Client) readServerState(now time.Duration) error {
	state, ok, err := decodeServerState(c.view, c.options.Server)
	if err != nil {
		return err
	}
	c.serverState, c.hasServerState = state, ok
	if ok && state.FencingToken != 0 && state.LeaseProcess == c.incarnation {
		c.holder.SetToken(state.FencingToken, now)
	} else {
		c.holder.DropToken()
	}
	c.dropObsoleteStep()
	return nil
}

// ServerState returns the agreed state of this server as of the view's revision; false = there is none.
func (c *Client) ServerState() (ServerState, bool) { return c.serverState, c.hasServerState }
