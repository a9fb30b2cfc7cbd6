package controlnode

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/watch"
)

const (
	// proposeEach is how often the same proposal of a server is made again until it has taken hold.
	proposeEach = time.Second
	// resyncEach is how often a node is asked to tell everything anew.
	resyncEach = time.Second
	// unknownFleet is what a server is told before the nodes have agreed which fleet they are.
	unknownFleet = "the fleet is not founded yet"
)

// recentUpdates bounds what a node keeps for servers that are a little behind.
var recentUpdates = watch.Limits{Bytes: 4 << 20, Updates: 1 << 14}

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
	*agree.Agreed[identity, identityEntry, *identity]
	baseModule
	node *Node
	host *driver.Host // set before begun is closed

	lastID      atomic.Uint64
	connections atomic.Int64
	draining    atomic.Bool
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

// nodeReport is what each node tells all others every second.
type nodeReport struct {
	Sessions int    `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Region   string `cbor:"3,keyasint"`
}

func newSessions(n *Node) *sessions {
	return &sessions{Agreed: agree.NewAgreed[identity, identityEntry](SessionPart), node: n,
		begun: make(chan struct{}), over: make(chan struct{}), drained: make(chan struct{}),
		history: watch.NewHistory(recentUpdates), published: map[string]standing{}, peers: map[uint64]*peer{}, nodes: map[string]nodeReport{}, fresh: true}
}

// Begin implements driver.Module.
func (s *sessions) Begin(h *driver.Host) {
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

// Load implements agree.Part.
func (s *sessions) Load(state []byte) error {
	s.restored = true
	return s.Agreed.Load(state)
}

// Applied implements driver.Module: what the log changed goes into the history, and to the sessions.
func (s *sessions) Applied(time.Time) {
	s.begin()
	index := s.host.Index()
	if s.restored {
		s.restores++
		s.rebuild()
	} else {
		s.publish(index)
		s.history.Advance(index)
	}
	s.pump(boottime.Now())
}

// rebuild fills the history with all that is agreed.
func (s *sessions) rebuild() {
	s.restored = false
	index := s.host.Index()
	s.history.Reset(index)
	s.node.documents.each(func(key string, revision uint64, value []byte) { s.history.Put(revision, key, value) })
	clear(s.published)
	s.worked, s.leased = 0, 0
	s.publish(index)
	s.history.Advance(index)
}

// publish puts what is agreed of those servers into the history for which it changed, as of a revision. Both lists are in
// the order of names.
func (s *sessions) publish(revision uint64) {
	work, leases := s.host.Work(), &s.node.leases.State
	if work.Index == s.worked && leases.Index == s.leased {
		return
	}
	s.worked, s.leased = work.Index, leases.Index
	held := leases.Boxes
	for i := range work.Boxes {
		box := &work.Boxes[i]
		for len(held) > 0 && held[0].Name < box.Name {
			held = held[1:]
		}
		var lease *lease.Box
		if len(held) > 0 && held[0].Name == box.Name {
			lease = &held[0]
		}
		s.publishServer(revision, newStanding(work, box, lease), lease)
	}
	if len(s.published) == len(work.Boxes) {
		return
	}
	for name := range s.published {
		if work.Box(name) == nil {
			delete(s.published, name)
			s.history.Delete(revision, session.ServerPrefix+name)
		}
	}
}

// publishServer puts what is agreed of a server into the history, if it changed, and ends sessions of its older processes.
func (s *sessions) publishServer(revision uint64, now standing, held *lease.Box) {
	name := now.Box.Name
	if before, ok := s.published[name]; ok && before == now {
		return
	}
	value, err := now.encode()
	if err != nil {
		s.node.log.Error("fleet", "do", "publish", "err", err)
		return
	}
	s.published[name] = now
	s.history.Put(revision, session.ServerPrefix+name, value)
	if s.table != nil {
		s.end(s.table.Superseded(name, now.incarnation(held)))
	}
}

// known returns the newest incarnation of a server that the log has; 0 = none.
func (s *sessions) known(server string) uint64 {
	now := s.published[server]
	return now.incarnation(s.node.leases.State.Box(server))
}

// deliver brings what came of a connection to the loop. A connection has at most one heartbeat and one word of a write on
// its way, so the inbox is bounded by the connections.
func (s *sessions) deliver(a arrival) {
	s.mu.Lock()
	s.waiting = append(s.waiting, a)
	enter := !s.entered
	s.entered = true
	s.mu.Unlock()
	if enter && !s.host.Enter(s.receiveAll) { // the next tick looks
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
		s.table.Written(p.id)
	case a.closed:
		delete(s.peers, p.id)
		s.table.Closed(p.id, at)
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
		s.table.Closed(p.id, at)
		return
	}
	s.join(p, at)
	for i := range proposals {
		s.propose(p, &proposals[i], at)
	}
}

// join has the server of a session made a member of the fleet, if it is none or has moved to another zone.
func (s *sessions) join(p *peer, at time.Duration) {
	box := s.host.Work().Box(p.hello.Server)
	if box != nil && box.Zone == p.hello.Zone || !elapsed(&p.joinedAt, at) {
		return
	}
	s.host.ProposeWork(takeout.Entry{Kind: takeout.Join, At: time.Now().UnixMilli(), Box: p.hello.Server, Zone: p.hello.Zone})
}

// propose asks for what a server proposes of itself. What it says of others, or of another process, is dropped.
func (s *sessions) propose(p *peer, proposal *session.Proposal, at time.Duration) {
	server, incarnation := p.hello.Server, p.hello.Incarnation
	if e := proposal.Step; e != nil && e.Kind == takeout.Step && e.Box == server && e.Incarnation == incarnation {
		s.proposeStep(p, e.Phase, at)
	}
	if e := proposal.Live; e != nil && e.Kind == lease.Live && e.Box == server && e.Incarnation == incarnation {
		s.proposeLive(p, at)
	}
}

func (s *sessions) proposeStep(p *peer, phase takeout.Phase, at time.Duration) {
	if s.host.Work().Box(p.hello.Server) == nil {
		return // it joins first
	}
	if phase != p.steppedFor {
		p.steppedFor, p.steppedAt = phase, 0
	}
	if elapsed(&p.steppedAt, at) {
		s.host.ProposeWork(takeout.Entry{Kind: takeout.Step, At: time.Now().UnixMilli(), Box: p.hello.Server, Incarnation: p.hello.Incarnation, Phase: phase})
	}
}

func (s *sessions) proposeLive(p *peer, at time.Duration) {
	leases := s.node.leases
	held := leases.State.Box(p.hello.Server)
	if held != nil && held.Incarnation == p.hello.Incarnation && !held.Lost || !leases.ready() || !elapsed(&p.livedAt, at) {
		return
	}
	leases.propose(lease.Entry{Kind: lease.Live, Box: p.hello.Server, Zone: p.hello.Zone, Incarnation: p.hello.Incarnation, Pool: p.hello.Pool}, false)
}

// elapsed reports whether proposeEach has passed since a time, and sets it if so.
func elapsed(since *time.Duration, at time.Duration) bool {
	if *since != 0 && at-*since < proposeEach {
		return false
	}
	*since = at
	return true
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
	for _, id := range s.table.Pending(at) {
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
	if s.draining.Load() {
		s.table.Drain()
	}
	s.table.Leaderless(s.host.Leader() == "")
	s.end(s.table.Tick(at))
	s.report(at)
	s.pump(at)
}

// found proposes which fleet this is, as the leader, once all nodes know the part.
func (s *sessions) found() {
	if _, leads := s.host.Leads(); leads && s.host.Ready() {
		if err := s.host.Propose(identityEntry{Fleet: 1 + rand.Uint64N(1<<63)}, true); err != nil {
			s.node.log.Debug("fleet", "do", "found", "err", err)
		}
	}
}

// report sends the leader what it has not been told.
func (s *sessions) report(at time.Duration) {
	leader := s.host.Leader()
	term, _ := s.host.Leads()
	if leader != s.leader || term != s.term {
		s.leader, s.term = leader, term
		s.resync()
	}
	if leader == "" {
		return
	}
	for range digestsEachTick {
		digest, ok := s.table.Digest(maxDigest)
		if !ok {
			return
		}
		s.sent++
		numbered := &numberedDigest{Number: s.sent, First: s.fresh, Digest: digest}
		s.fresh = false
		if !s.send(leader, &message{Digest: numbered}, at) {
			s.resync()
			return
		}
	}
}

// resync has everything told anew.
func (s *sessions) resync() {
	s.fresh = true
	s.table.Resync()
}

// send brings a message to a node, this one too; false = it certainly does not come.
func (s *sessions) send(to string, m *message, at time.Duration) bool {
	self := s.host.Self()
	if to == self.Name {
		s.take(self.Name, m, at)
		return true
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		s.node.log.Error("fleet", "do", "send", "err", err)
		return false
	}
	return s.host.Send(to, data)
}

// Receive implements driver.Module.
func (s *sessions) Receive(from agree.Member, data []byte, _ time.Time) {
	m := new(message)
	if err := decoder.Unmarshal(data, m); err != nil {
		s.node.log.Debug("fleet", "do", "receive", "from", from.Name, "err", err)
		return
	}
	s.take(from.Name, m, boottime.Now())
}

// take takes a message of a node.
func (s *sessions) take(from string, m *message, at time.Duration) {
	switch {
	case m.Digest != nil:
		s.collect(from, m.Digest, at)
	case s.table == nil:
	case m.Grants != nil:
		s.table.Granted(m.Grants, at)
		s.pump(at)
	case m.Resync && from == s.host.Leader():
		s.resync()
	}
}

// collect takes a node's digest, as the leader.
func (s *sessions) collect(from string, numbered *numberedDigest, at time.Duration) {
	if !s.leads() {
		return
	}
	if !numbered.First && numbered.Number != s.expected[from] && elapsedFor(s.asked, from, at) {
		s.node.log.Debug("fleet", "do", "resync", "node", from, "number", numbered.Number, "expected", s.expected[from])
		s.send(from, &message{Resync: true}, at)
	}
	s.expected[from] = numbered.Number + 1
	if err := s.collector.Take(from, numbered.Digest, at); err != nil {
		s.node.log.Warn("fleet", "do", "collect", "node", from, "err", err)
		return
	}
	s.node.leases.renew(numbered.Digest.Renewals, at)
}

func elapsedFor(since map[string]time.Duration, name string, at time.Duration) bool {
	if last, ok := since[name]; ok && at-last < resyncEach {
		return false
	}
	since[name] = at
	return true
}

// leads reports whether this node leads. A term begins with nothing known.
func (s *sessions) leads() bool {
	term, leads := s.host.Leads()
	switch {
	case !leads:
		s.leading, s.collector = 0, nil
	case s.leading != term:
		s.leading, s.collector = term, session.NewCollector()
		s.expected, s.asked = map[string]uint64{}, map[string]time.Duration{}
	}
	return leads
}

// sendGrants brings grants to the nodes that the renewals came from.
func (s *sessions) sendGrants(grants []lease.Grant) {
	if !s.leads() {
		return
	}
	at := boottime.Now()
	byNode := map[string][]lease.Grant{}
	for _, grant := range grants {
		node := s.collector.Node(grant.Box)
		byNode[node] = append(byNode[node], grant)
	}
	delete(byNode, "")
	for node, list := range byNode {
		for chunk := range slices.Chunk(list, maxGrants) {
			s.send(node, &message{Grants: chunk}, at)
		}
	}
}

// Lead implements driver.Module: the reports of all servers count in what the leader decides of plans.
func (s *sessions) Lead(now time.Time) {
	if s.leads() {
		s.host.SetReports(s.collector.Reports(boottime.Now(), now.UnixMilli()))
	}
}

// Report implements driver.Module.
func (s *sessions) Report(time.Time) []byte {
	data, err := cbor.Marshal(s.nodeReport())
	if err != nil {
		s.node.log.Error("fleet", "do", "report", "err", err)
		return nil
	}
	return data
}

func (s *sessions) nodeReport() nodeReport {
	out := nodeReport{Revision: s.history.Revision(), Region: s.node.options.Region}
	if s.table != nil {
		out.Sessions = s.table.Sessions()
	}
	return out
}

// Heard implements driver.Module.
func (s *sessions) Heard(from agree.Member, data []byte, _ time.Time) {
	var report nodeReport
	if err := decoder.Unmarshal(data, &report); err != nil {
		s.node.log.Debug("fleet", "do", "report", "from", from.Name, "err", err)
		return
	}
	s.nodes[from.Name] = report
	maps.DeleteFunc(s.nodes, func(name string, _ nodeReport) bool {
		return !slices.ContainsFunc(s.host.Members(), func(m agree.Member) bool { return m.Name == name })
	})
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

// End implements driver.Module: a node that takes no part any longer has no sessions.
func (s *sessions) End() {
	close(s.over)
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Lines implements driver.Module.
func (s *sessions) Lines(time.Time) []byte {
	own := s.nodeReport()
	out := fmt.Appendf(nil, "fleet.sessions=%d\nfleet.revision=%d\nfleet.configuration=%d\nfleet.restored=%d\n", own.Sessions, own.Revision, s.node.documents.newest(), s.restores)
	if s.leads() {
		behind, of := s.collector.Behind(s.node.documents.newest(), boottime.Now())
		out = fmt.Appendf(out, "fleet.servers=%d\nfleet.behind=%d\n", of, len(behind))
	}
	return out
}
