package session

import (
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/watch"
)

// simNode is a simulated process of a control node, including the driver of its table and its role as the leader.
type simNode struct {
	process
	world    *world
	index    int
	endpoint int
	name     string
	table    *Table
	history  *watch.History
	state    lease.State
	applied  uint64
	streams  map[uint64]*stream

	leader        int // known leader; -1 = none
	leaderTerm    uint64
	leaderHeardAt time.Duration // simulated time

	leadsTerm uint64 // term in which the node believes to be the leader; 0 = it does not
	granter   *lease.Granter
	collector *Collector

	openedAt     []time.Duration // simulated times at which sessions opened
	helloTimes   []time.Duration
	sessionKnown map[uint64]bool
}

func (w *world) startNode(index int) *simNode {
	n := &simNode{
		process:      process{world: &w.scheduler, clockRate: w.randomClockRate(), started: w.now},
		world:        w,
		index:        index,
		endpoint:     index,
		name:         fmt.Sprint("n", index),
		history:      watch.NewHistory(w.limits),
		streams:      map[uint64]*stream{},
		leader:       -1,
		granter:      lease.NewGranter(w.terms),
		collector:    NewCollector(),
		sessionKnown: map[uint64]bool{},
	}
	options := w.table
	options.Node, options.Seed = n.name, w.random.Uint64()
	n.table = NewTable(options, n.history)
	if len(w.log) > 0 {
		n.restoreSnapshot()
	}
	n.every(20*time.Millisecond, n.followLeader)
	n.every(20*time.Millisecond, n.confirmRound)
	n.every(20*time.Millisecond, n.writePending)
	n.every(100*time.Millisecond, n.tick)
	return n
}

// restoreSnapshot starts with the state at the end of the log, as from a raft snapshot.
func (n *simNode) restoreSnapshot() {
	w := n.world
	n.state = w.state.Clone()
	n.applied = uint64(len(w.log))
	n.history.Reset(n.applied)
	for _, key := range w.keys {
		d := w.documents[key]
		n.history.Put(d.revision, ConfigurationPrefix+key, d.value)
	}
	for i := range n.state.Boxes {
		b := &n.state.Boxes[i]
		n.history.Put(b.Index, ServerPrefix+b.Name, encodedServerState(b))
	}
	n.history.Advance(n.applied)
}

// encodedServerState returns the value of a server's key.
func encodedServerState(b *lease.Server) []byte {
	s := ServerState{Box: maintenance.Server{Name: b.Name, Zone: b.Zone, Incarnation: b.Incarnation, Index: b.Index}, LeaseProcess: b.Incarnation}
	if !b.Lost {
		s.FencingToken = b.Life
	}
	return s.Encode()
}

// followLeader learns the current leader and applies committed entries.
func (n *simNode) followLeader() {
	w := n.world
	if l := w.leaderNode(); l != nil && (l == n || l.running() && w.linked(l.index, n.index)) {
		n.hearLeader(l.index, w.term)
		n.apply(uint64(len(w.log)))
	} else if n.leader >= 0 && w.now-n.leaderHeardAt > time.Second {
		n.leader = -1
	}
	n.table.SetLeaderless(n.leader < 0)
}

func (n *simNode) hearLeader(leader int, term uint64) {
	n.leaderHeardAt = n.world.now
	if n.leader == leader && n.leaderTerm == term {
		return
	}
	n.leader, n.leaderTerm = leader, term
	if n.leadsTerm != 0 && n.leadsTerm != term {
		n.stepDown()
	}
	if !n.world.defects.noResync {
		n.table.Resync()
	}
}

func (n *simNode) stepDown() {
	n.leadsTerm = 0
	n.granter.Follow()
}

// apply applies the log up to an index. The watch gets each configuration change, but only the last state of each
// server.
func (n *simNode) apply(to uint64) {
	if to == n.applied {
		return
	}
	changed := map[string]bool{}
	for n.applied < to {
		n.applied++
		e := &n.world.log[n.applied-1]
		if e.key != "" {
			n.history.Put(n.applied, ConfigurationPrefix+e.key, e.value)
			continue
		}
		if err := n.state.Apply(n.applied, &e.lease); err != nil {
			n.granter.ProposalFailed(e.lease.Box, e.lease.Life)
			continue
		}
		changed[e.lease.Box] = true
	}
	names := []string{}
	for name := range changed {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b := n.state.Server(name)
		n.history.Put(n.applied, ServerPrefix+name, encodedServerState(b))
		if !n.world.defects.keepsSuperseded {
			n.closeEnded(n.table.EndSuperseded(name, b.Incarnation))
		}
	}
	n.history.Advance(n.applied)
}

// receive handles a message of a session.
func (n *simNode) receive(s *stream, m FromServer) {
	if m.Hello != nil {
		n.hello(s, m.Hello)
		return
	}
	w := n.world
	proposals, err := n.table.Heartbeat(s.id, *m.Heartbeat, n.clock())
	if err != nil {
		w.fail("node %d, server %d: %v", n.index, s.client.server, err)
		return
	}
	for _, p := range proposals {
		if p.Live != nil {
			n.propose(*p.Live)
		}
	}
	if w.defects.nodeGrants && m.Heartbeat.Sequence != 0 {
		n.table.AcceptGrants([]lease.Grant{{Box: serverName(s.client.server), Life: m.Heartbeat.FencingToken, Seq: m.Heartbeat.Sequence, For: w.terms.Length}}, n.clock())
	}
}

func (n *simNode) hello(s *stream, h *Hello) {
	w := n.world
	n.helloTimes = append(n.helloTimes, w.now)
	known := uint64(0)
	if b := n.state.Server(h.Server); b != nil && !w.defects.opensSuperseded {
		known = b.Incarnation
	}
	ended, refusal := n.table.Open(s.id, *h, known, n.clock())
	n.closeEnded(ended)
	if refusal != nil {
		s.toClient(FromNode{Refusal: refusal})
		s.openAtNode = false
		s.closedByNode("refused")
		return
	}
	n.openedAt = append(n.openedAt, w.now)
	n.checkSession(h)
	n.writeNext(s)
}

// checkSession checks that a session is not of a process older than the one in the log.
func (n *simNode) checkSession(h *Hello) {
	if b := n.state.Server(h.Server); b != nil && b.Incarnation > h.Incarnation {
		n.world.fail("node %d has a session of process %d of server %s, the log has %d", n.index, h.Incarnation, h.Server, b.Incarnation)
	}
}

// closeEnded closes the streams of sessions that the table has ended.
func (n *simNode) closeEnded(ended []EndedSession) {
	for _, e := range ended {
		s := n.streams[e.ID]
		if s == nil {
			continue
		}
		s.toClient(FromNode{Refusal: &e.Refusal})
		s.closedByNode("ended")
		s.openAtNode = false
		delete(n.streams, e.ID)
	}
}

func (n *simNode) forget(s *stream) {
	s.openAtNode = false
	delete(n.streams, s.id)
	n.table.ConnectionClosed(s.id, n.clock())
}

// writePending lets all sessions that are not writing send their pending messages.
func (n *simNode) writePending() {
	for _, id := range n.table.ReadySessions(n.clock()) {
		if s := n.streams[id]; s != nil {
			n.writeNext(s)
		}
	}
}

func (n *simNode) writeNext(s *stream) {
	w := n.world
	m, ok := n.table.Next(s.id, n.clock())
	if !ok {
		return
	}
	if n.table.activeSnapshots > w.table.MaxSnapshots {
		w.fail("node %d sends %d snapshots at a time", n.index, n.table.activeSnapshots)
	}
	lost := m.Batch != nil && w.random.IntN(1000) < w.batchLossPerMille // a defect of the node, not of the network
	if !lost {
		s.toClient(m)
	}
	writeTime := time.Millisecond
	if s.client.slowReader {
		writeTime = time.Second + w.randomPart(6*time.Second)
	}
	if writeTime > 5*time.Second { // longer than the write timeout
		w.after(5*time.Second, func() {
			n.exec(func() {
				s.closedByNode("slow")
				n.forget(s)
			})
		})
		return
	}
	w.after(writeTime, func() {
		n.exec(func() {
			n.table.MessageWritten(s.id)
			if s.openAtNode {
				n.writeNext(s)
			}
		})
	})
}

// tick sends digests to the leader and ends sessions.
func (n *simNode) tick() {
	w := n.world
	n.closeEnded(n.table.Tick(n.clock()))
	for _, s := range n.table.openOrder {
		n.checkSession(&s.hello)
	}
	if n.leadsTerm != 0 {
		n.expireLeases()
	}
	if n.leader < 0 {
		return
	}
	for {
		d, ok := n.table.Digest(16 << 10)
		if !ok {
			return
		}
		leader := w.nodes[n.leader]
		if !w.sendBetween(n, leader, func() { leader.receiveDigest(n.name, d) }) {
			w.after(300*time.Millisecond, func() { n.exec(n.table.Resync) })
		}
	}
}

// Methods of the leader.

func (n *simNode) receiveDigest(node string, d Digest) {
	if n.leadsTerm == 0 {
		return
	}
	if err := n.collector.Take(node, d, n.clock()); err != nil {
		n.world.fail("digest: %v", err)
	}
	for _, r := range d.Renewals {
		_ = n.granter.Renew(&n.state, r, n.clock()) // a refused renewal is requested again
	}
}

// beginTerm makes the node the leader of a term.
func (n *simNode) beginTerm(term uint64) {
	n.leadsTerm = term
	n.hearLeader(n.index, term)
	n.apply(uint64(len(n.world.log)))
	n.collector = NewCollector()
	n.granter.Lead(term, n.clock())
}

// confirmRound requests confirmation by a majority for the pending renewals. They are confirmed only if the node is
// then still the leader in the same term.
func (n *simNode) confirmRound() {
	w := n.world
	if n.leadsTerm == 0 {
		return
	}
	id, ok := n.granter.BeginRound(n.clock())
	if !ok {
		return
	}
	term := n.leadsTerm
	w.after(w.randomDelay(), func() {
		n.exec(func() {
			if n.leadsTerm == term && w.term == term && w.leader == n.index && w.hasMajority(n.index) {
				n.apply(uint64(len(w.log)))
				n.grant(n.granter.ConfirmRound(&n.state, id))
			}
		})
	})
}

func (n *simNode) grant(grants []lease.Grant) {
	byNode := map[string][]lease.Grant{}
	for _, g := range grants {
		node := n.collector.NodeOf(g.Box)
		byNode[node] = append(byNode[node], g)
	}
	for _, to := range n.world.nodes {
		list := byNode[to.name]
		if len(list) == 0 {
			continue
		}
		n.world.sendBetween(n, to, func() {
			to.table.AcceptGrants(list, to.clock())
			to.writePending()
		})
	}
}

func (n *simNode) expireLeases() {
	for _, e := range n.granter.ExpiredServers(&n.state, n.clock()) {
		n.world.proposeIn(n, n.leadsTerm, logEntry{lease: e})
	}
}

// propose sends an entry to the leader.
func (n *simNode) propose(e lease.Entry) {
	w := n.world
	if n.leader < 0 {
		return
	}
	leader := w.nodes[n.leader]
	w.sendBetween(n, leader, func() {
		known := leader.state.Server(e.Box)
		if leader.leadsTerm == 0 || known != nil && known.Incarnation == e.Incarnation && !known.Lost {
			return
		}
		w.proposeIn(leader, leader.leadsTerm, logEntry{lease: e})
	})
}
