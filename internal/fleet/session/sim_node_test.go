package session

import (
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/watch"
)

// simNode is the process of a control node, with the driver of its table, and its part as the leader.
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

	leader      int // it knows; -1 = none
	leaderTerm  uint64
	leaderHeard time.Duration // true time

	leads     uint64 // the term in which it takes itself for the leader; 0 = it does not
	granter   *lease.Granter
	collector *Collector

	opened       []time.Duration // true times of sessions that were opened
	hellos       []time.Duration
	sessionKnown map[uint64]bool
}

func (w *world) startNode(index int) *simNode {
	n := &simNode{
		process:      process{world: &w.scheduler, rate: w.rate(), started: w.now},
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
		n.load()
	}
	n.every(20*time.Millisecond, n.follow)
	n.every(20*time.Millisecond, n.round)
	n.every(20*time.Millisecond, n.write)
	n.every(100*time.Millisecond, n.tick)
	return n
}

// load begins with the state as of the log's end, as from a snapshot of raft.
func (n *simNode) load() {
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
		n.history.Put(b.Index, ServerPrefix+b.Name, standing(b))
	}
	n.history.Advance(n.applied)
}

// standing is the value of a server's key.
func standing(b *lease.Box) []byte {
	s := Standing{Box: takeout.Box{Name: b.Name, Zone: b.Zone, Incarnation: b.Incarnation, Index: b.Index}, LeaseProcess: b.Incarnation}
	if !b.Lost {
		s.FencingToken = b.Life
	}
	return s.Encode()
}

// follow hears of the leader and applies what is committed.
func (n *simNode) follow() {
	w := n.world
	if l := w.leaderNode(); l != nil && (l == n || l.running() && w.linked(l.index, n.index)) {
		n.hearLeader(l.index, w.term)
		n.apply(uint64(len(w.log)))
	} else if n.leader >= 0 && w.now-n.leaderHeard > time.Second {
		n.leader = -1
	}
	n.table.Leaderless(n.leader < 0)
}

func (n *simNode) hearLeader(leader int, term uint64) {
	n.leaderHeard = n.world.now
	if n.leader == leader && n.leaderTerm == term {
		return
	}
	n.leader, n.leaderTerm = leader, term
	if n.leads != 0 && n.leads != term {
		n.stepDown()
	}
	if !n.world.defects.noResync {
		n.table.Resync()
	}
}

func (n *simNode) stepDown() {
	n.leads = 0
	n.granter.Follow()
}

// apply applies entries up to an index. Configuration goes to the watch entry by entry, standings as of the last.
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
			n.granter.Refused(e.lease.Box, e.lease.Life)
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
		b := n.state.Box(name)
		n.history.Put(n.applied, ServerPrefix+name, standing(b))
		if !n.world.defects.keepsOld {
			n.end(n.table.Superseded(name, b.Incarnation))
		}
	}
	n.history.Advance(n.applied)
}

// receive takes a message of a session.
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
	if w.defects.selfGrant && m.Heartbeat.Sequence != 0 {
		n.table.Granted([]lease.Grant{{Box: serverName(s.client.server), Life: m.Heartbeat.FencingToken, Seq: m.Heartbeat.Sequence, For: w.terms.Length}}, n.clock())
	}
}

func (n *simNode) hello(s *stream, h *Hello) {
	w := n.world
	n.hellos = append(n.hellos, w.now)
	known := uint64(0)
	if b := n.state.Box(h.Server); b != nil && !w.defects.oldIncarnation {
		known = b.Incarnation
	}
	ended, refusal := n.table.Open(s.id, *h, known, n.clock())
	n.end(ended)
	if refusal != nil {
		s.toClient(FromNode{Refusal: refusal})
		s.atNode = false
		s.closedByNode("refused")
		return
	}
	n.opened = append(n.opened, w.now)
	n.checkSession(h)
	n.pump(s)
}

// checkSession looks whether a session is of a process that is older than the log's.
func (n *simNode) checkSession(h *Hello) {
	if b := n.state.Box(h.Server); b != nil && b.Incarnation > h.Incarnation {
		n.world.fail("node %d has a session of process %d of server %s, the log has %d", n.index, h.Incarnation, h.Server, b.Incarnation)
	}
}

// end closes sessions that the table has ended.
func (n *simNode) end(ended []EndedSession) {
	for _, e := range ended {
		s := n.streams[e.ID]
		if s == nil {
			continue
		}
		s.toClient(FromNode{Refusal: &e.Refusal})
		s.closedByNode("ended")
		s.atNode = false
		delete(n.streams, e.ID)
	}
}

func (n *simNode) forget(s *stream) {
	s.atNode = false
	delete(n.streams, s.id)
	n.table.Closed(s.id, n.clock())
}

// write has free writers send what waits.
func (n *simNode) write() {
	for _, id := range n.table.Pending(n.clock()) {
		if s := n.streams[id]; s != nil {
			n.pump(s)
		}
	}
}

func (n *simNode) pump(s *stream) {
	w := n.world
	m, ok := n.table.Next(s.id, n.clock())
	if !ok {
		return
	}
	if n.table.snapshots > w.table.MaxSnapshots {
		w.fail("node %d sends %d snapshots at a time", n.index, n.table.snapshots)
	}
	lost := m.Batch != nil && w.random.IntN(1000) < w.lossBatches // by a fault of the node
	if !lost {
		s.toClient(m)
	}
	busy := time.Millisecond
	if s.client.slow {
		busy = time.Second + w.part(6*time.Second)
	}
	if busy > 5*time.Second { // past the deadline of a write
		w.after(5*time.Second, func() {
			n.do(func() {
				s.closedByNode("slow")
				n.forget(s)
			})
		})
		return
	}
	w.after(busy, func() {
		n.do(func() {
			n.table.Written(s.id)
			if s.atNode {
				n.pump(s)
			}
		})
	})
}

// tick tells the leader, and ends sessions.
func (n *simNode) tick() {
	w := n.world
	n.end(n.table.Tick(n.clock()))
	for _, s := range n.table.order {
		n.checkSession(&s.hello)
	}
	if n.leads != 0 {
		n.over()
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
		if !w.sendBetween(n, leader, func() { leader.digest(n.name, d) }) {
			w.after(300*time.Millisecond, func() { n.do(n.table.Resync) })
		}
	}
}

// Below: the leader.

func (n *simNode) digest(node string, d Digest) {
	if n.leads == 0 {
		return
	}
	if err := n.collector.Take(node, d, n.clock()); err != nil {
		n.world.fail("digest: %v", err)
	}
	for _, r := range d.Renewals {
		_ = n.granter.Asked(&n.state, r, n.clock()) // what is refused is asked for again
	}
}

// lead begins a term.
func (n *simNode) lead(term uint64) {
	n.leads = term
	n.hearLeader(n.index, term)
	n.apply(uint64(len(n.world.log)))
	n.collector = NewCollector()
	n.granter.Lead(term, n.clock())
}

// round asks a majority for the renewals that wait. It is confirmed only if the node leads then, in the same term.
func (n *simNode) round() {
	w := n.world
	if n.leads == 0 {
		return
	}
	id, ok := n.granter.Round(n.clock())
	if !ok {
		return
	}
	term := n.leads
	w.after(w.delay(), func() {
		n.do(func() {
			if n.leads == term && w.term == term && w.leader == n.index && w.majority(n.index) {
				n.apply(uint64(len(w.log)))
				n.grant(n.granter.Confirmed(&n.state, id))
			}
		})
	})
}

func (n *simNode) grant(grants []lease.Grant) {
	byNode := map[string][]lease.Grant{}
	for _, g := range grants {
		node := n.collector.Node(g.Box)
		byNode[node] = append(byNode[node], g)
	}
	for _, to := range n.world.nodes {
		list := byNode[to.name]
		if len(list) == 0 {
			continue
		}
		n.world.sendBetween(n, to, func() {
			to.table.Granted(list, to.clock())
			to.write()
		})
	}
}

func (n *simNode) over() {
	for _, e := range n.granter.Over(&n.state, n.clock()) {
		n.world.proposeIn(n, n.leads, logEntry{lease: e})
	}
}

// propose brings an entry to the leader.
func (n *simNode) propose(e lease.Entry) {
	w := n.world
	if n.leader < 0 {
		return
	}
	leader := w.nodes[n.leader]
	w.sendBetween(n, leader, func() {
		known := leader.state.Box(e.Box)
		if leader.leads == 0 || known != nil && known.Incarnation == e.Incarnation && !known.Lost {
			return
		}
		w.proposeIn(leader, leader.leads, logEntry{lease: e})
	})
}
