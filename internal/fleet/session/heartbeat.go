package session

import (
	"math"
	"time"

	"larchscale/internal/fleet/takeout"
)

// When heartbeats and reports are sent beside those of lease.Terms.Every.
const (
	ReportEvery     = 2 * time.Second        // at most, where nothing but noise and counts of requests changed
	PromptHeartbeat = 200 * time.Millisecond // least time between heartbeats that do not wait for Terms.Every
	// ReportTolerance is the relative change of Load or Capacity that counts as noise, and ReportFloor the absolute one, in
	// requests a second. A change has to be beyond both for a report before ReportEvery.
	ReportTolerance = 0.05
	ReportFloor     = 1.0
)

// openSession is what a client keeps of an open session.
type openSession struct {
	since      time.Duration
	heard      time.Duration // anything of the node
	leaderless bool          // as the last Ack had it
	granted    bool          // a lease, in this session

	begun    bool // the first heartbeat is sent
	sentAt   time.Duration
	renewAt  time.Duration // when the next regular heartbeat is due
	token    uint64        // as of the last heartbeat
	applied  uint64
	proposed proposals
	report   takeout.Report
	reportAt time.Duration
}

// proposals are what a server has to propose.
type proposals struct {
	step *takeout.Entry
	live bool
}

// Propose keeps the next phase of this server (takeout.Step) as proposed: it goes with each heartbeat until the watch shows that it took
// hold or cannot any longer, or it is replaced or withdrawn. That the process lives is proposed by the client itself.
func (c *Client) Propose(step takeout.Entry) {
	if c.step != nil && c.step.Phase == step.Phase && c.step.Incarnation == step.Incarnation {
		return
	}
	c.step = &step
	c.settleStep()
}

// Withdraw drops the proposal that is kept.
func (c *Client) Withdraw() { c.step = nil }

// settleStep drops a step that took hold, or that cannot any longer.
func (c *Client) settleStep() {
	if c.step == nil {
		return
	}
	box := &c.standing.Box
	took := c.hasStanding && box.Incarnation == c.step.Incarnation && box.Phase == c.step.Phase
	if took || c.step.Incarnation != c.incarnation || box.Incarnation > c.step.Incarnation {
		c.step = nil
	}
}

// proposals returns what is to be proposed now. A process whose lease's token is not agreed proposes that it lives.
func (c *Client) proposals() proposals {
	return proposals{step: c.step, live: c.holder.Life() == 0}
}

func (c *Client) encodeProposals(p proposals) (list []Proposal) {
	if p.live {
		e := liveEntry(&Hello{Server: c.options.Server, Zone: c.options.Zone, Incarnation: c.incarnation, Pool: c.options.Pool})
		list = append(list, Proposal{Live: &e})
	}
	if p.step != nil {
		step := *p.step
		list = append(list, Proposal{Step: &step})
	}
	return list
}

// heartbeat sends one if it is due, or if something has changed that others wait for.
func (c *Client) heartbeat(now time.Duration) []Action {
	s := &c.open
	regular := !s.begun || now >= s.renewAt
	p := c.proposals()
	if !regular && (now-s.sentAt < PromptHeartbeat || !c.prompts(p)) {
		return nil
	}
	hb := Heartbeat{Applied: c.local.Applied, Proposals: c.encodeProposals(p)}
	if regular || s.token != c.holder.Life() {
		s.renewAt = now + c.options.Terms.Every
		if r, ok := c.holder.AskNow(now); ok {
			hb.Sequence, hb.FencingToken = r.Seq, r.Life
		}
	}
	if c.reportDue(now) {
		report := c.local.Report
		hb.Report = &report
		s.report, s.reportAt = report, now
	}
	s.begun, s.sentAt = true, now
	s.token, s.applied, s.proposed = c.holder.Life(), hb.Applied, p
	return []Action{c.send(FromServer{Heartbeat: &hb})}
}

// prompts reports whether there is something to tell that does not wait.
func (c *Client) prompts(p proposals) bool {
	s := &c.open
	report := &c.local.Report
	return s.token != c.holder.Life() || s.applied != c.local.Applied || p != s.proposed && p != (proposals{}) ||
		report.Warm != s.report.Warm || report.Failing != s.report.Failing
}

func (c *Client) reportDue(now time.Duration) bool {
	s := &c.open
	is, was := &c.local.Report, &s.report
	switch {
	case !s.begun:
		return true
	case is.Warm != was.Warm, is.Failing != was.Failing, beyondNoise(is.Load, was.Load), beyondNoise(is.Capacity, was.Capacity):
		return true
	}
	return now-s.reportAt >= ReportEvery && *is != *was
}

func beyondNoise(is, was float64) bool {
	change := math.Abs(is - was)
	return change > ReportFloor && change > ReportTolerance*max(math.Abs(is), math.Abs(was))
}

// shouldMove reports whether another node may bring the grants that this one does not.
func (c *Client) shouldMove(now time.Duration) bool {
	s := &c.open
	withoutGrant := now - max(s.since, c.lastGrant)
	patience := c.timeouts.grant
	switch {
	case c.fruitless >= len(c.nodes)-1: // all were tried
		return len(c.nodes) > 1 && withoutGrant >= c.stay
	case c.holder.Life() == 0: // what is to be agreed first takes its time
		return withoutGrant >= 2*patience
	case s.leaderless && c.fruitless > 0 && c.grantedBefore && now-c.lastGrant >= patience+FirstBackoff:
		return true // it says itself that it is no better than the last one
	}
	return withoutGrant >= patience
}

// move goes to the next node after a session without grants.
func (c *Client) move(now time.Duration) []Action {
	c.event(Event{Kind: Lost, Reason: "no lease is granted"})
	if c.fruitless >= len(c.nodes)-1 {
		limit := min(2*c.stay, MaxBackoff)
		c.stay = limit/2 + c.part(limit/2)
	}
	c.fruitless++
	return c.next(c.part(FirstBackoff), now)
}

// readStanding takes what the view has of this server.
func (c *Client) readStanding(now time.Duration) error {
	standing, ok, err := decodeStanding(c.view, c.options.Server)
	if err != nil {
		return err
	}
	c.standing, c.hasStanding = standing, ok
	if ok && standing.FencingToken != 0 && standing.LeaseProcess == c.incarnation {
		c.holder.Live(standing.FencingToken, now)
	} else {
		c.holder.Lost()
	}
	c.settleStep()
	return nil
}

// Standing returns what is agreed of this server, as of the view.
func (c *Client) Standing() (Standing, bool) { return c.standing, c.hasStanding }
