package controlnode

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/watch"
)

// unknownFleet is what a server is told before the nodes have agreed which fleet they are.
const unknownFleet = "the fleet is not founded yet"

// identity is the agreed state of the part: which fleet this is.
type identity struct {
	Fleet uint64 // 0 = not agreed yet
}

// identityEntry is an entry of the part. The first one counts.
type identityEntry struct {
	Fleet uint64
}

// Apply carries out an entry.
func (i *identity) Apply(_ uint64, e *identityEntry) error {
	if i.Fleet == 0 {
		i.Fleet = e.Fleet
	}
	return nil
}

// sessions is the module with the sessions of this node, and as the leader with the sum of all nodes'.
type sessions struct {
	*consensus.TypedStateMachine[identity, identityEntry, *identity]
	baseModule
	node *Node
	host *driver.Host // set before begun is closed

	lastID      atomic.Uint64
	connections atomic.Int64
	draining    atomic.Bool   // the process is to end
	held        atomic.Bool   // the node is taken out
	count       atomic.Int64  // of the table's sessions
	begun       chan struct{} // closed when connections may be accepted
	over        chan struct{} // closed when the node takes no part any longer
	drained     chan struct{}

	mu      sync.Mutex
	waiting []arrival // the inbox
	entered bool      // the loop has been asked to look into it

	// Of the loop.
	restored  bool // the agreed state was replaced by another node's snapshot
	restores  int  // times at which it was
	history   *watch.History
	published map[string]standing // values of the servers' keys, by name
	worked    uint64              // index of the plans' state that is published
	leased    uint64              // index of the leases' state that is published
	table     *session.Table      // nil = it is not agreed which fleet this is
	peers     map[uint64]*peer
	nodes     map[string]nodeReport // by name

	leader string // who was told last, and of which term
	term   uint64
	sent   uint64 // digests
	fresh  bool   // the next digest is the first that counts

	leading   uint64 // term that the following are of; 0 = it does not lead
	collector *session.Collector
	expected  map[string]uint64 // next number of each node's digests
	asked     map[string]time.Duration
}

func newSessions(n *Node) *sessions {
	return &sessions{TypedStateMachine: consensus.NewTypedStateMachine[identity, identityEntry](SessionPart), node: n,
		begun: make(chan struct{}), over: make(chan struct{}), drained: make(chan struct{}),
		history: watch.NewHistory(recentUpdates), published: map[string]standing{}, peers: map[uint64]*peer{}, nodes: map[string]nodeReport{}, fresh: true}
}

// Start implements driver.Module.
func (s *sessions) Start(h *driver.Host) {
	s.host = h
	s.rebuild()
	s.begin()
	close(s.begun)
}

// begin makes the table, once it is agreed which fleet this is.
func (s *sessions) begin() {
	if s.table != nil || s.State.Fleet == 0 {
		return
	}
	o := &s.node.options
	s.table = session.NewTable(session.TableOptions{Node: o.Name, Fleet: s.State.Fleet, MaxSessions: o.MaxSessions, OpensPerSecond: o.OpensPerSecond, OpensBurst: o.OpensBurst,
		MaxSnapshots: o.MaxSnapshots, DrainPerSecond: o.DrainPerSecond, Seed: rand.Uint64()}, s.history)
}

// deliver brings what came of a connection to the loop. A connection has at most one heartbeat and one word of a write on
// its way, so the inbox is bounded by the connections.
func (s *sessions) deliver(a arrival) {
	s.mu.Lock()
	s.waiting = append(s.waiting, a)
	enter := !s.entered
	s.entered = true
	s.mu.Unlock()
	if enter && !s.host.Enqueue(s.receiveAll) { // the next tick looks
		s.mu.Lock()
		s.entered = false
		s.mu.Unlock()
	}
}

// receiveAll takes what waits in the inbox.
func (s *sessions) receiveAll() {
	s.mu.Lock()
	arrivals := s.waiting
	s.waiting, s.entered = nil, false
	s.mu.Unlock()
	if len(arrivals) == 0 {
		return
	}
	at := boottime.Now()
	for i := range arrivals {
		s.receive(&arrivals[i], at)
	}
	s.pump(at)
}

func (s *sessions) receive(a *arrival, at time.Duration) {
	p := a.peer
	switch {
	case a.opens:
		s.open(p, at)
		p.taken <- struct{}{}
	case a.heartbeat != nil:
		s.heartbeat(p, a.heartbeat, at)
		p.taken <- struct{}{}
	case s.peers[p.id] == nil: // its session has ended
	case a.written:
		s.table.MessageWritten(p.id)
	case a.closed:
		delete(s.peers, p.id)
		s.table.ConnectionClosed(p.id, at)
	}
}

func (s *sessions) open(p *peer, at time.Duration) {
	if s.table == nil {
		p.refuse(session.Refusal{Code: session.Busy, RetryAfter: time.Second, Reason: unknownFleet})
		return
	}
	ended, refusal := s.table.Open(p.id, p.hello, s.known(p.hello.Server), at)
	s.end(ended)
	if refusal != nil {
		p.refuse(*refusal)
		return
	}
	s.peers[p.id] = p
	s.join(p, at)
}

func (s *sessions) heartbeat(p *peer, heartbeat *session.Heartbeat, at time.Duration) {
	if s.peers[p.id] == nil {
		return
	}
	proposals, err := s.table.Heartbeat(p.id, *heartbeat, at)
	if err != nil {
		reason := err.Error()
		p.refuse(session.Refusal{Code: session.Invalid, Reason: reason[:min(len(reason), session.MaxReason)]})
		delete(s.peers, p.id)
		s.table.ConnectionClosed(p.id, at)
		return
	}
	s.join(p, at)
	for i := range proposals {
		s.propose(p, &proposals[i], at)
	}
}

// end has connections end whose sessions the table has forgotten.
func (s *sessions) end(list []session.EndedSession) {
	for _, ended := range list {
		if p := s.peers[ended.ID]; p != nil {
			p.refuse(ended.Refusal)
			delete(s.peers, ended.ID)
		}
	}
}

// pump gives the writers that are free what there is to send.
func (s *sessions) pump(at time.Duration) {
	if s.table == nil {
		return
	}
	s.count.Store(int64(s.table.SessionCount()))
	for _, id := range s.table.ReadySessions(at) {
		p := s.peers[id]
		if p == nil {
			continue
		}
		if next, ok := s.table.Next(id, at); ok {
			p.out <- next // there is room: its writer is free
		}
	}
}

// Tick implements driver.Module.
func (s *sessions) Tick(time.Time) {
	s.receiveAll()
	at := boottime.Now()
	s.leaving()
	if s.table == nil {
		s.found()
		return
	}
	if s.draining.Load() || s.held.Load() {
		s.table.Drain()
	} else {
		s.table.Resume()
	}
	s.table.SetLeaderless(s.host.Leader() == "")
	s.end(s.table.Tick(at))
	s.report(at)
	s.pump(at)
}

// drain has the sessions end from the next tick on. A node that takes no part has none.
func (s *sessions) drain() <-chan struct{} {
	s.draining.Store(true)
	select {
	case <-s.begun:
		return s.drained
	default:
		return s.over
	}
}

// leaving tells when a node that drains has no session left.
func (s *sessions) leaving() {
	if !s.draining.Load() || s.connections.Load() > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Stop implements driver.Module: a node that takes no part any longer has no sessions.
func (s *sessions) Stop() {
	close(s.over)
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Metrics implements driver.Module.
func (s *sessions) Metrics(time.Time) []byte {
	own := s.nodeReport()
	out := fmt.Appendf(nil, "fleet.sessions=%d\nfleet.revision=%d\nfleet.configuration=%d\nfleet.restored=%d\n", own.Sessions, own.Revision, s.node.documents.newest(), s.restores)
	if s.leads() {
		behind, of := s.collector.Behind(s.node.documents.newest(), boottime.Now())
		out = fmt.Appendf(out, "fleet.servers=%d\nfleet.behind=%d\n", of, len(behind))
	}
	return out
}
