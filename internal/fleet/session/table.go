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

// Times of a control node's side of sessions.
const (
	// AckWithin is how long a heartbeat waits for a grant before it is acknowledged without one.
	AckWithin = 500 * time.Millisecond
	// Expiry is how long a session may be silent.
	Expiry = 4 * time.Second

	statusEvery   = 2 * time.Second // at most, that the leader is told of a server that renews nothing
	proposalEvery = 100 * time.Millisecond
	fullRetry     = 2 * time.Second // RetryAfter of a node that has too many sessions, or ends
)

// TableOptions configure a Table.
type TableOptions struct {
	Node           string
	Fleet          uint64 // not 0
	MaxSessions    int    // at most limits.MaxServers
	OpensPerSecond int    // sessions opened, on average
	OpensBurst     int    // and at once after a rest
	MaxSnapshots   int    // being sent at a time
	DrainPerSecond int    // sessions that are ended a second while the node drains
	Seed           uint64 // of the jitter
}

// EndedSession is a session that its node ends. The driver writes the refusal if it can at once, and closes the connection.
// The table has forgotten the session: Closed need not be called.
type EndedSession struct {
	ID      uint64
	Refusal Refusal
}

// serverSession is what a node keeps of one session. Nothing in it grows.
type serverSession struct {
	id     uint64
	hello  Hello
	reader *watch.Reader
	heard  time.Duration

	writing   bool   // the driver writes a message that Next returned
	welcome   bool   // to be sent
	snapshots bool   // it has one of the places for snapshots
	idleAt    uint64 // revision at which its reader had nothing to send

	ackWanted   bool
	ackSince    time.Duration // of the oldest heartbeat that was not acknowledged
	granted     bool          // grant was not sent yet
	grant       lease.Grant
	renewal     lease.Renewal // newest
	renewalOwed bool          // the leader was not told of renewal

	status     ServerStatus
	statusOwed bool
	statusAt   time.Duration // when it last became owed
	proposedAt time.Duration
}

// Table is a control node's side of its sessions. A session's id is of the driver's choice and never used again.
type Table struct {
	options    TableOptions
	history    *watch.History
	random     *rand.Rand
	admission  *admission
	sessions   map[uint64]*serverSession
	byServer   map[string]*serverSession
	order      []*serverSession // by opening
	snapshots  int              // sessions that have a place for one
	closed     []ClosedSession  // not told yet, one a server
	leaderless bool
	draining   bool
	drained    time.Duration // when a session was last ended by draining
}

// NewTable returns a table whose sessions watch a history.
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

// Open takes the first message of a connection. known is the newest incarnation of the server that the log has; 0 = none.
// A refusal says that there is no session. The sessions in ended are replaced by this one.
func (t *Table) Open(id uint64, h Hello, known uint64, now time.Duration) (ended []EndedSession, refusal *Refusal) {
	if refusal := t.refuse(&h, known, now); refusal != nil {
		return nil, refusal
	}
	if old := t.byServer[h.Server]; old != nil {
		t.remove(old)
		ended = append(ended, EndedSession{old.id, replaced(old, &h)})
	}
	interest := watch.Interest{Keys: []string{ServerPrefix + h.Server}, Prefixes: []string{ConfigurationPrefix}}
	s := &serverSession{id: id, hello: h, reader: t.history.NewReader(interest, h.Revision), heard: now, welcome: true}
	t.sessions[id] = s
	t.byServer[h.Server] = s
	t.order = append(t.order, s)
	return ended, nil
}

// refuse checks whether a session may open; nil = it may.
func (t *Table) refuse(h *Hello, known uint64, now time.Duration) *Refusal {
	if err := h.validate(); err != nil {
		return &Refusal{Code: Invalid, Reason: shorten(err.Error())}
	}
	if h.Fleet != 0 && h.Fleet != t.options.Fleet {
		return &Refusal{Code: OtherFleet, Reason: fmt.Sprintf("this is fleet %x, the server's state is of %x", t.options.Fleet, h.Fleet)}
	}
	old := t.byServer[h.Server]
	if old != nil {
		known = max(known, old.hello.Incarnation)
	}
	if h.Incarnation < known {
		return &Refusal{Code: Superseded, Incarnation: known, Reason: fmt.Sprintf("process %d of this server has spoken", known)}
	}
	if old != nil && old.hello.Incarnation == h.Incarnation && old.hello.Session >= h.Session {
		return &Refusal{Code: Moving, Reason: "a newer session of this process is open"}
	}
	if t.draining {
		return &Refusal{Code: Moving, RetryAfter: jitter(t.random, fullRetry), Reason: "this node ends"}
	}
	if old == nil && len(t.sessions) >= t.options.MaxSessions {
		return &Refusal{Code: Moving, RetryAfter: jitter(t.random, fullRetry), Reason: "this node has as many sessions as it may"}
	}
	if retryAfter, ok := t.admission.take(now); !ok {
		return &Refusal{Code: Busy, RetryAfter: retryAfter, Reason: "too many sessions open at once"}
	}
	return nil
}

// replaced is what a session is told that a newer one of its server ends.
func replaced(old *serverSession, by *Hello) Refusal {
	if by.Incarnation > old.hello.Incarnation {
		return Refusal{Code: Superseded, Incarnation: by.Incarnation, Reason: "a newer process of this server has opened a session"}
	}
	return Refusal{Code: Moving, Reason: "this process has opened a newer session"}
}

func shorten(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), MaxReason)], "")
}

// Heartbeat takes a heartbeat and returns the proposals to send to the leader. An error tells that the message cannot be: the
// driver ends the session with Refusal{Code: Invalid}, and calls Closed.
func (t *Table) Heartbeat(id uint64, hb Heartbeat, now time.Duration) ([]Proposal, error) {
	s := t.sessions[id]
	if s == nil {
		return nil, ErrUnknown
	}
	first := s.status.Heartbeat == 0
	if err := hb.validate(&s.hello, s.renewal.Seq, first); err != nil {
		return nil, err
	}
	s.heard = now
	if !s.ackWanted {
		s.ackWanted, s.ackSince = true, now
	}
	if hb.Sequence != 0 {
		s.renewal = lease.Renewal{Box: s.hello.Server, Life: hb.FencingToken, Seq: hb.Sequence}
		s.renewalOwed = true
	}
	s.note(&hb, now)
	if len(hb.Proposals) == 0 || !first && now-s.proposedAt < proposalEvery {
		return nil, nil
	}
	s.proposedAt = now
	return hb.Proposals, nil
}

// note keeps what a heartbeat says for the leader, and owes it if it is new.
func (s *serverSession) note(hb *Heartbeat, now time.Duration) {
	status := &s.status
	changed := status.Heartbeat == 0 || hb.Report != nil || hb.Applied != status.Applied
	status.Server, status.Session, status.Applied = s.hello.Server, s.hello.Session, hb.Applied
	status.Heartbeat++
	if hb.Report != nil {
		status.Report = *hb.Report
	}
	if changed || hb.Sequence == 0 && now-s.statusAt >= statusEvery {
		s.statusOwed, s.statusAt = true, now
	}
}

// Granted takes the leader's grants. Those for renewals that no session here sent are ignored.
func (t *Table) Granted(grants []lease.Grant, now time.Duration) {
	for _, g := range grants {
		s := t.byServer[g.Box]
		if s == nil || g.Life != s.renewal.Life || g.Seq > s.renewal.Seq || g.Seq <= s.grant.Seq && g.Life == s.grant.Life {
			continue
		}
		s.grant, s.granted = g, true
	}
}

// Leaderless tells whether this node knows no leader.
func (t *Table) Leaderless(leaderless bool) { t.leaderless = leaderless }

// Next returns the next message of a session whose writer is free; false = there is nothing to send now. The writer is
// busy from then on, until the driver calls Written.
func (t *Table) Next(id uint64, now time.Duration) (FromNode, bool) {
	s := t.sessions[id]
	if s == nil || s.writing {
		return FromNode{}, false
	}
	m, ok := t.next(s, now)
	s.writing = ok
	return m, ok
}

func (t *Table) next(s *serverSession, now time.Duration) (FromNode, bool) {
	switch {
	case s.welcome:
		s.welcome = false
		return FromNode{Welcome: &Welcome{Fleet: t.options.Fleet, Node: t.options.Node}}, true
	case s.ackDue(now):
		return FromNode{Ack: t.ack(s)}, true
	case t.batchDue(s):
		return t.batch(s)
	}
	return FromNode{}, false
}

func (s *serverSession) ackDue(now time.Duration) bool {
	return s.granted || s.ackWanted && now-s.ackSince >= AckWithin
}

// ack answers all heartbeats so far. A grant is sent once.
func (t *Table) ack(s *serverSession) *Ack {
	ack := &Ack{Revision: t.history.Revision(), Leaderless: t.leaderless}
	if s.granted {
		ack.Sequence, ack.FencingToken = s.grant.Seq, s.grant.Life
	}
	s.granted, s.ackWanted = false, false
	return ack
}

// batchDue reports whether the reader of a session may have something, and may send it.
func (t *Table) batchDue(s *serverSession) bool {
	if s.reader.Snapshotting() {
		return s.snapshots || t.snapshots < t.options.MaxSnapshots
	}
	return s.idleAt != t.history.Revision()
}

func (t *Table) batch(s *serverSession) (FromNode, bool) {
	if s.reader.Snapshotting() && !s.snapshots {
		s.snapshots = true
		t.snapshots++
	}
	b, ok := s.reader.Next(MaxBatch)
	switch {
	case !s.reader.Snapshotting():
		t.releaseSnapshot(s)
	case !s.snapshots: // it began one by itself, over an update too large to be sent: the others wait longer
		s.snapshots = true
		t.snapshots++
	}
	if !ok {
		s.idleAt = t.history.Revision()
		return FromNode{}, false
	}
	return FromNode{Batch: &b}, true
}

func (t *Table) releaseSnapshot(s *serverSession) {
	if s.snapshots {
		s.snapshots = false
		t.snapshots--
	}
}

// Written tells that the message that Next returned was written: the writer is free.
func (t *Table) Written(id uint64) {
	if s := t.sessions[id]; s != nil {
		s.writing = false
	}
}

// Pending returns sessions whose writer is free and that may have something to send, by their opening. It looks once at each session.
func (t *Table) Pending(now time.Duration) []uint64 {
	var ids []uint64
	for _, s := range t.order {
		if !s.writing && (s.welcome || s.ackDue(now) || t.batchDue(s)) {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// Closed tells that the connection of a session is gone.
func (t *Table) Closed(id uint64, now time.Duration) {
	if s := t.sessions[id]; s != nil {
		t.remove(s)
	}
}

// remove forgets a session. The leader is told that it ended, if it was told of it.
func (t *Table) remove(s *serverSession) {
	t.releaseSnapshot(s)
	delete(t.sessions, s.id)
	delete(t.byServer, s.hello.Server)
	t.order = slices.DeleteFunc(t.order, func(o *serverSession) bool { return o == s })
	if s.status.Heartbeat == 0 {
		return
	}
	t.closed = slices.DeleteFunc(t.closed, func(c ClosedSession) bool { return c.Server == s.hello.Server })
	if len(t.closed) < t.options.MaxSessions {
		t.closed = append(t.closed, ClosedSession{s.hello.Server, s.hello.Incarnation, s.hello.Session})
	}
}

// Tick is called every 100 ms. It returns the sessions that expired, or that a draining node ends.
func (t *Table) Tick(now time.Duration) []EndedSession {
	var ended []EndedSession
	for _, s := range slices.Clone(t.order) {
		if now-s.heard > Expiry {
			ended = append(ended, t.end(s, Refusal{Code: Moving, Reason: "nothing was heard of this server"}))
		}
	}
	return append(ended, t.drain(now)...)
}

func (t *Table) end(s *serverSession, r Refusal) EndedSession {
	t.remove(s)
	return EndedSession{s.id, r}
}

// drain ends as many sessions as a draining node may have ended by now.
func (t *Table) drain(now time.Duration) (ended []EndedSession) {
	pace := time.Second / time.Duration(max(1, t.options.DrainPerSecond))
	if !t.draining {
		t.drained = now
		return nil
	}
	for len(t.order) > 0 && now-t.drained >= pace {
		t.drained += pace
		ended = append(ended, t.end(t.order[0], Refusal{Code: Moving, Reason: "this node ends"}))
	}
	return ended
}

// Superseded tells that the log has a process of a server; sessions of older ones end.
func (t *Table) Superseded(server string, incarnation uint64) []EndedSession {
	s := t.byServer[server]
	if s == nil || s.hello.Incarnation >= incarnation {
		return nil
	}
	r := Refusal{Code: Superseded, Incarnation: incarnation, Reason: "a newer process of this server has spoken"}
	return []EndedSession{t.end(s, r)}
}

// Drain has the node take no more sessions and end those it has, DrainPerSecond of them.
func (t *Table) Drain() { t.draining = true }

// Resume has a node that drained take sessions again.
func (t *Table) Resume() { t.draining = false }

// Sessions returns the number of sessions.
func (t *Table) Sessions() int { return len(t.sessions) }

// Sizes of the parts of an encoded digest beside the server's name, at most.
const (
	renewalBytes = 32
	statusBytes  = 256
	closedBytes  = 32
)

// Digest returns what the leader has not been told, up to maxBytes encoded; false = nothing. What is returned counts as
// told; after a loss, or with a new leader, the driver calls Resync. maxBytes is 1 KB at least.
func (t *Table) Digest(maxBytes int) (Digest, bool) {
	var d Digest
	fits := func(server string, bytes int) bool {
		maxBytes -= len(server) + bytes
		return maxBytes >= 0
	}
	for _, s := range t.order {
		if s.renewalOwed && fits(s.hello.Server, renewalBytes) {
			s.renewalOwed = false
			d.Renewals = append(d.Renewals, s.renewal)
		}
	}
	for _, s := range t.order {
		if s.statusOwed && fits(s.hello.Server, statusBytes) {
			s.statusOwed = false
			d.Servers = append(d.Servers, s.status)
		}
	}
	for len(t.closed) > 0 && fits(t.closed[0].Server, closedBytes) {
		d.Closed = append(d.Closed, t.closed[0])
		t.closed = t.closed[1:]
	}
	return d, len(d.Renewals)+len(d.Servers)+len(d.Closed) > 0
}

// Resync has the digests tell everything anew: there is a new leader, or a digest was lost. Renewals in hand and grants that
// were not sent are dropped.
func (t *Table) Resync() {
	for _, s := range t.order {
		s.renewalOwed, s.granted = false, false
		s.statusOwed = s.status.Heartbeat > 0
	}
}
