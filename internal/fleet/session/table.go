package session

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/watch"
)

// Timing of a control node's side of sessions.
const (
	// MaxAckDelay is how long a heartbeat waits for a lease grant before it is acknowledged without one.
	MaxAckDelay = 500 * time.Millisecond
	// SessionTimeout is how long a session may be silent before it is ended.
	SessionTimeout = 4 * time.Second

	statusInterval        = 2 * time.Second // longest time between reports to the leader of a server that renews no lease
	minProposalInterval   = 100 * time.Millisecond
	unavailableRetryAfter = 2 * time.Second // RetryAfter of a node that is stopping or has too many sessions
)

// TableOptions configures a Table.
type TableOptions struct {
	Node           string
	Fleet          uint64 // id of the fleet, not 0
	MaxSessions    int    // at most limits.MaxServers
	OpensPerSecond int    // average rate at which sessions may open
	OpensBurst     int    // sessions that may open at once after an idle period
	MaxSnapshots   int    // snapshots sent at the same time
	DrainPerSecond int    // sessions ended per second while the node drains
	Seed           uint64 // seed of the random delays
}

// EndedSession is a session that the table has ended. The driver sends the refusal if the connection can be written
// at once, and closes the connection. The table has already removed the session, so the driver need not call
// Closed.
type EndedSession struct {
	ID      uint64
	Refusal Refusal
}

// serverSession is a node's state of one session. Its size is bounded.
type serverSession struct {
	id      uint64
	hello   Hello
	reader  *watch.Reader
	heardAt time.Duration

	writing         bool   // the driver is writing a message that Next returned
	welcomePending  bool   // the Welcome message has not been sent
	hasSnapshotSlot bool   // the session counts in Table.activeSnapshots
	idleRevision    uint64 // revision at which the reader had nothing to send

	ackPending     bool
	ackSince       time.Duration // when the oldest unacknowledged heartbeat arrived
	grantPending   bool          // grant has not been sent yet
	grant          lease.Grant
	renewal        lease.Renewal // newest
	renewalPending bool          // renewal has not been reported to the leader

	status         ServerStatus
	statusPending  bool
	statusMarkedAt time.Duration // when status was last marked for the leader
	proposedAt     time.Duration
}

// Table is a control node's side of all its sessions. The driver chooses the id of each session and must never
// reuse one.
type Table struct {
	options          TableOptions
	history          *watch.History
	random           *rand.Rand
	admission        *admission
	sessions         map[uint64]*serverSession
	byServer         map[string]*serverSession
	openOrder        []*serverSession // oldest first
	activeSnapshots  int              // sessions that are sending a snapshot
	unreportedClosed []ClosedSession  // not reported to the leader yet, one per server
	leaderless       bool
	draining         bool
	lastDrainedAt    time.Duration // when draining last ended a session
}

// NewTable returns a table whose sessions watch the given history.
func NewTable(o TableOptions, h *watch.History) *Table {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	return &Table{
		options:   o,
		history:   h,
		random:    random,
		admission: newAdmission(o.OpensPerSecond, o.OpensBurst, random),
		sessions:  map[uint64]*serverSession{},
		byServer:  map[string]*serverSession{},
	}
}

// Open handles the first message of a connection. knownIncarnation is the newest incarnation of the server in the
// agreed log; 0 = none. A refusal means that no session was opened. Sessions that the new one replaces are returned
// in ended.
func (t *Table) Open(id uint64, h Hello, knownIncarnation uint64, now time.Duration) (ended []EndedSession, refusal *Refusal) {
	if refusal := t.checkOpen(&h, knownIncarnation, now); refusal != nil {
		return nil, refusal
	}
	if old := t.byServer[h.Server]; old != nil {
		t.remove(old)
		ended = append(ended, EndedSession{old.id, replacementRefusal(old, &h)})
	}
	interest := watch.Interest{Keys: []string{ServerPrefix + h.Server}, Prefixes: []string{ConfigurationPrefix}}
	s := &serverSession{id: id, hello: h, reader: t.history.NewReader(interest, h.Revision), heardAt: now, welcomePending: true}
	t.sessions[id] = s
	t.byServer[h.Server] = s
	t.openOrder = append(t.openOrder, s)
	return ended, nil
}

// checkOpen checks whether a session may open; nil = it may.
func (t *Table) checkOpen(h *Hello, knownIncarnation uint64, now time.Duration) *Refusal {
	if err := h.validate(); err != nil {
		return &Refusal{Code: Invalid, Reason: truncateReason(err.Error())}
	}
	if h.Fleet != 0 && h.Fleet != t.options.Fleet {
		return &Refusal{Code: OtherFleet, Reason: fmt.Sprintf("this is fleet %x, the server's state is of %x", t.options.Fleet, h.Fleet)}
	}
	old := t.byServer[h.Server]
	if old != nil {
		knownIncarnation = max(knownIncarnation, old.hello.Incarnation)
	}
	if h.Incarnation < knownIncarnation {
		return &Refusal{Code: Superseded, Incarnation: knownIncarnation, Reason: fmt.Sprintf("process %d of this server has spoken", knownIncarnation)}
	}
	if old != nil && old.hello.Incarnation == h.Incarnation && old.hello.Session >= h.Session {
		return &Refusal{Code: NodeUnavailable, Reason: "a newer session of this process is open"}
	}
	if t.draining {
		return &Refusal{Code: NodeUnavailable, RetryAfter: jitter(t.random, unavailableRetryAfter), Reason: "this node ends"}
	}
	if old == nil && len(t.sessions) >= t.options.MaxSessions {
		return &Refusal{Code: NodeUnavailable, RetryAfter: jitter(t.random, unavailableRetryAfter), Reason: "this node has as many sessions as it may"}
	}
	if retryAfter, ok := t.admission.take(now); !ok {
		return &Refusal{Code: Busy, RetryAfter: retryAfter, Reason: "too many sessions open at once"}
	}
	return nil
}

// replacementRefusal returns the refusal for a session that a newer one of the same server replaces.
func replacementRefusal(old *serverSession, by *Hello) Refusal {
	if by.Incarnation > old.hello.Incarnation {
		return Refusal{Code: Superseded, Incarnation: by.Incarnation, Reason: "a newer process of this server has opened a session"}
	}
	return Refusal{Code: NodeUnavailable, Reason: "this process has opened a newer session"}
}

func truncateReason(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), MaxReason)], "")
}

// Heartbeat handles a heartbeat and returns the proposals to send to the leader. An error means that the message is
// invalid; the driver must end the session with Refusal{Code: Invalid} and call Closed.
func (t *Table) Heartbeat(id uint64, hb Heartbeat, now time.Duration) ([]Proposal, error) {
	s := t.sessions[id]
	if s == nil {
		return nil, ErrUnknown
	}
	first := s.status.Heartbeat == 0
	if err := hb.validate(&s.hello, s.renewal.Seq, first); err != nil {
		return nil, err
	}
	s.heardAt = now
	if !s.ackPending {
		s.ackPending, s.ackSince = true, now
	}
	if hb.Sequence != 0 {
		s.renewal = lease.Renewal{Box: s.hello.Server, Life: hb.FencingToken, Seq: hb.Sequence}
		s.renewalPending = true
	}
	s.recordStatus(&hb, now)
	if len(hb.Proposals) == 0 || !first && now-s.proposedAt < minProposalInterval {
		return nil, nil
	}
	s.proposedAt = now
	return hb.Proposals, nil
}

// recordStatus stores the status in a heartbeat, and marks it for the leader if it changed or is due.
func (s *serverSession) recordStatus(hb *Heartbeat, now time.Duration) {
	status := &s.status
	changed := status.Heartbeat == 0 || hb.Report != nil || hb.Applied != status.Applied
	status.Server, status.Session, status.Applied = s.hello.Server, s.hello.Session, hb.Applied
	status.Heartbeat++
	if hb.Report != nil {
		status.Report = *hb.Report
	}
	if changed || hb.Sequence == 0 && now-s.statusMarkedAt >= statusInterval {
		s.statusPending, s.statusMarkedAt = true, now
	}
}

// AcceptGrants accepts the leader's grants. Grants for renewals that no session of this node sent are ignored.
func (t *Table) AcceptGrants(grants []lease.Grant, now time.Duration) {
	for _, g := range grants {
		s := t.byServer[g.Box]
		if s == nil || g.Life != s.renewal.Life || g.Seq > s.renewal.Seq || g.Seq <= s.grant.Seq && g.Life == s.grant.Life {
			continue
		}
		s.grant, s.grantPending = g, true
	}
}

// SetLeaderless sets whether this node knows no leader.
func (t *Table) SetLeaderless(leaderless bool) { t.leaderless = leaderless }

// Next returns the next message of a session that is not writing; false = there is nothing to send now. The session
// counts as writing until the driver calls Written.
func (t *Table) Next(id uint64, now time.Duration) (FromNode, bool) {
	s := t.sessions[id]
	if s == nil || s.writing {
		return FromNode{}, false
	}
	m, ok := t.nextMessage(s, now)
	s.writing = ok
	return m, ok
}

func (t *Table) nextMessage(s *serverSession, now time.Duration) (FromNode, bool) {
	switch {
	case s.welcomePending:
		s.welcomePending = false
		return FromNode{Welcome: &Welcome{Fleet: t.options.Fleet, Node: t.options.Node}}, true
	case s.ackDue(now):
		return FromNode{Ack: t.nextAck(s)}, true
	case t.batchDue(s):
		return t.nextBatch(s)
	}
	return FromNode{}, false
}

func (s *serverSession) ackDue(now time.Duration) bool {
	return s.grantPending || s.ackPending && now-s.ackSince >= MaxAckDelay
}

// nextAck returns an acknowledgement of all heartbeats so far. A grant is sent once.
func (t *Table) nextAck(s *serverSession) *Ack {
	ack := &Ack{Revision: t.history.Revision(), Leaderless: t.leaderless}
	if s.grantPending {
		ack.Sequence, ack.FencingToken = s.grant.Seq, s.grant.Life
	}
	s.grantPending, s.ackPending = false, false
	return ack
}

// batchDue reports whether a session's reader may have a batch and is allowed to send it.
func (t *Table) batchDue(s *serverSession) bool {
	if s.reader.Snapshotting() {
		return s.hasSnapshotSlot || t.activeSnapshots < t.options.MaxSnapshots
	}
	return s.idleRevision != t.history.Revision()
}

func (t *Table) nextBatch(s *serverSession) (FromNode, bool) {
	if s.reader.Snapshotting() && !s.hasSnapshotSlot {
		s.hasSnapshotSlot = true
		t.activeSnapshots++
	}
	b, ok := s.reader.Next(MaxBatch)
	switch {
	case !s.reader.Snapshotting():
		t.releaseSnapshotSlot(s)
	case !s.hasSnapshotSlot: // the reader began a snapshot because an update was too large; it takes a slot beyond the limit
		s.hasSnapshotSlot = true
		t.activeSnapshots++
	}
	if !ok {
		s.idleRevision = t.history.Revision()
		return FromNode{}, false
	}
	return FromNode{Batch: &b}, true
}

func (t *Table) releaseSnapshotSlot(s *serverSession) {
	if s.hasSnapshotSlot {
		s.hasSnapshotSlot = false
		t.activeSnapshots--
	}
}

// MessageWritten reports that the message that Next returned was written.
func (t *Table) MessageWritten(id uint64) {
	if s := t.sessions[id]; s != nil {
		s.writing = false
	}
}

// ReadySessions returns the sessions that are not writing and may have something to send, oldest first. It scans all
// sessions.
func (t *Table) ReadySessions(now time.Duration) []uint64 {
	var ids []uint64
	for _, s := range t.openOrder {
		if !s.writing && (s.welcomePending || s.ackDue(now) || t.batchDue(s)) {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// ConnectionClosed reports that the connection of a session is closed.
func (t *Table) ConnectionClosed(id uint64, now time.Duration) {
	if s := t.sessions[id]; s != nil {
		t.remove(s)
	}
}

// remove deletes a session. The leader is told of the end if it may know of the session.
func (t *Table) remove(s *serverSession) {
	t.releaseSnapshotSlot(s)
	delete(t.sessions, s.id)
	delete(t.byServer, s.hello.Server)
	t.openOrder = slices.DeleteFunc(t.openOrder, func(o *serverSession) bool { return o == s })
	if s.status.Heartbeat == 0 {
		return
	}
	t.unreportedClosed = slices.DeleteFunc(t.unreportedClosed, func(c ClosedSession) bool { return c.Server == s.hello.Server })
	if len(t.unreportedClosed) < t.options.MaxSessions {
		t.unreportedClosed = append(t.unreportedClosed, ClosedSession{s.hello.Server, s.hello.Incarnation, s.hello.Session})
	}
}

// Tick returns the sessions that expired or that a draining node ends. The driver must call it every 100 ms.
func (t *Table) Tick(now time.Duration) []EndedSession {
	var ended []EndedSession
	for _, s := range slices.Clone(t.openOrder) {
		if now-s.heardAt > SessionTimeout {
			ended = append(ended, t.endSession(s, Refusal{Code: NodeUnavailable, Reason: "nothing was heard of this server"}))
		}
	}
	return append(ended, t.drain(now)...)
}

func (t *Table) endSession(s *serverSession, r Refusal) EndedSession {
	t.remove(s)
	return EndedSession{s.id, r}
}

// drain ends as many sessions as are due while the node drains.
func (t *Table) drain(now time.Duration) (ended []EndedSession) {
	pace := time.Second / time.Duration(max(1, t.options.DrainPerSecond))
	if !t.draining {
		t.lastDrainedAt = now
		return nil
	}
	for len(t.openOrder) > 0 && now-t.lastDrainedAt >= pace {
		t.lastDrainedAt += pace
		ended = append(ended, t.endSession(t.openOrder[0], Refusal{Code: NodeUnavailable, Reason: "this node ends"}))
	}
	return ended
}

// EndSuperseded ends the session of a server if the agreed log has a newer process of that server.
func (t *Table) EndSuperseded(server string, incarnation uint64) []EndedSession {
	s := t.byServer[server]
	if s == nil || s.hello.Incarnation >= incarnation {
		return nil
	}
	r := Refusal{Code: Superseded, Incarnation: incarnation, Reason: "a newer process of this server has spoken"}
	return []EndedSession{t.endSession(s, r)}
}

// Drain makes the node refuse new sessions and end the existing ones at DrainPerSecond.
func (t *Table) Drain() { t.draining = true }

// Resume makes a drained node accept sessions again.
func (t *Table) Resume() { t.draining = false }

// SessionCount returns the number of open sessions.
func (t *Table) SessionCount() int { return len(t.sessions) }

// Upper bounds of the encoded size of a digest's items, not counting the server's name.
const (
	maxRenewalBytes = 32
	maxStatusBytes  = 256
	maxClosedBytes  = 32
)

// Digest returns what has not been reported to the leader yet, in at most maxBytes encoded; false = nothing. The
// returned items count as reported: when a digest is lost or the leader changes, the driver must call Resync.
// maxBytes must be at least 1 KB.
func (t *Table) Digest(maxBytes int) (Digest, bool) {
	var d Digest
	fits := func(server string, bytes int) bool {
		maxBytes -= len(server) + bytes
		return maxBytes >= 0
	}
	for _, s := range t.openOrder {
		if s.renewalPending && fits(s.hello.Server, maxRenewalBytes) {
			s.renewalPending = false
			d.Renewals = append(d.Renewals, s.renewal)
		}
	}
	for _, s := range t.openOrder {
		if s.statusPending && fits(s.hello.Server, maxStatusBytes) {
			s.statusPending = false
			d.Servers = append(d.Servers, s.status)
		}
	}
	for len(t.unreportedClosed) > 0 && fits(t.unreportedClosed[0].Server, maxClosedBytes) {
		d.Closed = append(d.Closed, t.unreportedClosed[0])
		t.unreportedClosed = t.unreportedClosed[1:]
	}
	return d, len(d.Renewals)+len(d.Servers)+len(d.Closed) > 0
}

// Resync marks the state of all sessions to be reported again, after a change of leader or the loss of a digest.
// Unreported renewals and unsent grants are dropped.
func (t *Table) Resync() {
	for _, s := range t.openOrder {
		s.renewalPending, s.grantPending = false, false
		s.statusPending = s.status.Heartbeat > 0
	}
}
