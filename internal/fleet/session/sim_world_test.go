package session

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/watch"
)

const controlNodes = 5

// defects are deliberate faults in the simulated processes, injected to check that the simulation detects them.
type defects struct {
	leaseFromReceipt bool // a lease runs from the receipt of its acknowledgement
	nodeGrants       bool // a node grants renewals itself, without the leader
	noSilenceTimeout bool // a client keeps a silent session
	noGrantTimeout   bool // a client keeps a session without grants
	noJitter         bool // all clients draw the same random numbers
	acceptGaps       bool // a view accepts a batch that does not begin at its revision
	opensSuperseded  bool // a node opens sessions of processes older than the one in the log
	keepsSuperseded  bool // a node keeps sessions of processes that the log has superseded
	noResync         bool // nodes do not repeat their state for a new leader
	noAdmission      bool // sessions open at any rate
}

// logEntry is a configuration document or a lease entry.
type logEntry struct {
	key   string
	value []byte
	lease lease.Entry
}

type pendingEntry struct {
	term  uint64
	entry logEntry
}

type document struct {
	revision uint64
	value    []byte
}

// world simulates a fleet of five control nodes and some app servers. Raft is replaced by a model: one log, and a
// leader that commits and confirms while it can exchange messages with a majority of the nodes. When that fails for
// a while, an election takes place. A replaced leader learns of it only from a message.
type world struct {
	scheduler
	t                 *testing.T
	random            *rand.Rand
	defects           defects
	terms             lease.Terms
	table             TableOptions
	limits            watch.Limits
	nodes             []*simNode
	clients           []*simClient // newest process of each server
	processes         []*simClient // all processes
	processesByServer [][]*simClient
	zones             int
	blocked           [][]bool // whether the path is blocked, by sending and receiving endpoint
	maxDelay          time.Duration
	lossPercent       int // percentage of lost messages between nodes
	lastStreamID      uint64

	batchLossPerMille int // batches that a faulty node loses

	term                uint64
	leader              int
	lastHealthyAt       time.Duration
	electionTimeout     time.Duration // time without a leader until the next election
	log                 []logEntry
	state               lease.State
	pending             []*pendingEntry
	documents           map[string]document
	keys                []string
	configuredRevisions []uint64
	digests             []uint64 // by index of configuredRevisions
	expiredTokens       map[uint64]time.Duration
	// failOnExpiry makes it a violation that the lease of a live and connected server is declared expired.
	failOnExpiry bool
	// mustHoldLease reports whether it is a violation that a server holds no lease.
	mustHoldLease func(*simClient) bool
	logLines      []string
	violation     string
}

// constantRandom returns a source whose random numbers are all equal.
func constantRandom() *rand.Rand { return rand.New(constantSource{}) }

type constantSource struct{}

func (constantSource) Uint64() uint64 { return 1 << 52 }

// Rate at which nodes let sessions open.
const (
	opensPerSecond = 60
	opensBurst     = 40
)

func newWorld(t *testing.T, seed uint64, servers, zones int, limits watch.Limits, d defects) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 77)), defects: d, terms: lease.ControlTierTerms, zones: zones, maxDelay: 10 * time.Millisecond,
		table:  TableOptions{Fleet: 9, MaxSessions: 1000, OpensPerSecond: opensPerSecond, OpensBurst: opensBurst, MaxSnapshots: 8, DrainPerSecond: 50},
		limits: limits, leader: -1, documents: map[string]document{}, expiredTokens: map[uint64]time.Duration{},
	}
	w.mustHoldLease = noServer
	if d.noAdmission {
		w.table.OpensPerSecond, w.table.OpensBurst = 1<<20, 1<<20
	}
	w.processesByServer = make([][]*simClient, servers)
	w.blocked = make([][]bool, controlNodes+servers)
	for i := range w.blocked {
		w.blocked[i] = make([]bool, controlNodes+servers)
	}
	w.nodes = make([]*simNode, controlNodes)
	w.digests, w.configuredRevisions = []uint64{watch.NewHash().Sum()}, []uint64{0}
	for i := range w.nodes {
		w.nodes[i] = w.startNode(i)
	}
	w.elect()
	w.changeConfiguration(8)
	for i := range servers {
		w.clients = append(w.clients, w.startClient(i, 1))
	}
	w.after(50*time.Millisecond, w.runElections)
	return w
}

func noServer(*simClient) bool    { return false }
func everyServer(*simClient) bool { return true }

func (w *world) randomClockRate() float64 {
	switch w.random.IntN(4) {
	case 0:
		return 0.99
	case 1:
		return 1.01
	}
	return 0.99 + 0.02*w.random.Float64()
}

func (w *world) zone(server int) int { return server % w.zones }

func (w *world) randomPart(of time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(of))
}

func (w *world) randomDelay() time.Duration { return time.Millisecond + w.randomPart(w.maxDelay) }

func (w *world) logf(format string, a ...any) {
	w.logLines = append(w.logLines, fmt.Sprintf("%8v ", w.now.Round(time.Millisecond))+fmt.Sprintf(format, a...))
}

// fail records the first violation of a rule.
func (w *world) fail(format string, a ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, a...)
	}
}

// run advances the simulation for a duration, or until a rule is violated.
func (w *world) run(d time.Duration) {
	w.runTo(w.now+d, func() bool { return w.violation != "" })
}

// runUntil advances the simulation until a condition holds, and returns the time that it took. Exceeding the limit
// is a violation.
func (w *world) runUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	began := w.now
	for w.violation == "" && !condition() {
		if w.now-began > limit {
			w.fail("%s took longer than %v", what, limit)
			break
		}
		w.run(20 * time.Millisecond)
	}
	return w.now - began
}

func (w *world) linked(from, to int) bool { return !w.blocked[from][to] }

// hasMajority reports whether a node can exchange messages with a majority of the nodes.
func (w *world) hasMajority(index int) bool {
	heard := 0
	for _, n := range w.nodes {
		if n.running() && w.nodes[index].running() && w.linked(index, n.index) && w.linked(n.index, index) {
			heard++
		}
	}
	return heard > len(w.nodes)/2
}

// leaderNode returns the leader of the newest term while that node has not stepped down; nil = there is none.
func (w *world) leaderNode() *simNode {
	if w.leader < 0 || w.nodes[w.leader].leadsTerm != w.term {
		return nil
	}
	return w.nodes[w.leader]
}

func (w *world) healthy() bool { return w.leaderNode() != nil && w.hasMajority(w.leader) }

// runElections starts the elections that are due.
func (w *world) runElections() {
	w.after(50*time.Millisecond, w.runElections)
	if w.healthy() {
		w.lastHealthyAt = w.now
		return
	}
	if w.now-w.lastHealthyAt < w.electionTimeout {
		return
	}
	w.elect()
}

func (w *world) elect() {
	if l := w.leaderNode(); l != nil && l.running() {
		l.stepDown()
		l.leader = -1
	}
	w.lastHealthyAt, w.electionTimeout = w.now, 800*time.Millisecond+w.randomPart(800*time.Millisecond)
	candidates := []*simNode{}
	for _, n := range w.nodes {
		if w.hasMajority(n.index) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return
	}
	pending := w.pending
	w.pending = nil
	for _, p := range pending {
		if w.random.IntN(2) == 0 { // the entry had reached the log of the next leader
			w.commit(p.entry)
		}
	}
	w.term++
	l := candidates[w.random.IntN(len(candidates))]
	w.leader = l.index
	w.logf("node %d leads in term %d", l.index, w.term)
	l.beginTerm(w.term)
}

// proposeIn makes a leader append an entry in its term. The entry is committed once the leader has a majority, or
// if the next leader already has it.
func (w *world) proposeIn(n *simNode, term uint64, e logEntry) {
	if w.term != term || w.leader != n.index {
		return
	}
	p := &pendingEntry{term, e}
	w.pending = append(w.pending, p)
	var retry func()
	retry = func() {
		i := slices.Index(w.pending, p)
		switch {
		case i < 0:
		case w.healthy() && w.term == term:
			w.pending = slices.Delete(w.pending, i, i+1)
			w.commit(p.entry)
			w.nodes[w.leader].apply(uint64(len(w.log)))
		default:
			w.after(50*time.Millisecond, retry)
		}
	}
	w.after(w.randomDelay(), retry)
}

func (w *world) commit(e logEntry) {
	w.log = append(w.log, e)
	index := uint64(len(w.log))
	if e.key != "" {
		w.commitDocument(index, e)
		return
	}
	if err := w.state.Apply(index, &e.lease); err != nil || e.lease.Kind != lease.Expired {
		return
	}
	w.expiredTokens[e.lease.Life] = w.now
	server := 0
	fmt.Sscanf(e.lease.Box, "s%d", &server)
	w.logf("server %d has expired with token %d", server, e.lease.Life)
	for _, c := range w.processes {
		if c.server == server && c.holds() && c.client.FencingToken() == e.lease.Life {
			w.fail("server %d holds the lease of token %d when it is declared expired", server, e.lease.Life)
		}
	}
	if c := w.clients[server]; w.failOnExpiry && c.running() && w.now-c.disturbedAt > 10*time.Second {
		w.fail("server %d is alive and connected and is declared expired with token %d", server, e.lease.Life)
	}
}

func (w *world) commitDocument(index uint64, e logEntry) {
	if _, ok := w.documents[e.key]; !ok {
		w.keys = append(w.keys, e.key)
		slices.Sort(w.keys)
	}
	w.documents[e.key] = document{index, e.value}
	hash := watch.NewHash()
	for _, key := range w.keys {
		hash.Add(key, w.documents[key].revision, w.documents[key].value)
	}
	w.configuredRevisions = append(w.configuredRevisions, index)
	w.digests = append(w.digests, hash.Sum())
}

// changeConfiguration changes random documents, if there is a leader.
func (w *world) changeConfiguration(changes int) {
	if !w.healthy() {
		return
	}
	for range changes {
		key := fmt.Sprint("d", w.random.IntN(12))
		value := fmt.Sprint(len(w.log), " ", strings.Repeat("x", w.random.IntN(400)))
		w.commit(logEntry{key: key, value: []byte(value)})
	}
}

func (w *world) digestAt(revision uint64) uint64 {
	i, found := slices.BinarySearch(w.configuredRevisions, revision)
	if !found {
		i--
	}
	return w.digests[i]
}

// configurationRevisions returns the revisions of configuration changes after one revision and up to another.
func (w *world) configurationRevisions(after, to uint64) []uint64 {
	i, _ := slices.BinarySearch(w.configuredRevisions, after+1)
	j, _ := slices.BinarySearch(w.configuredRevisions, to+1)
	return append([]uint64{}, w.configuredRevisions[i:max(i, j)]...)
}

// sendBetween sends a message from a node to another. It may arrive late or twice, or be lost; the result tells
// whether it will arrive.
func (w *world) sendBetween(from, to *simNode, deliver func()) bool {
	if from == to {
		deliver()
		return true
	}
	if w.blocked[from.index][to.index] || w.random.IntN(100) < w.lossPercent {
		return false
	}
	copies := 1
	if w.random.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		w.after(w.randomDelay(), func() { to.exec(deliver) })
	}
	return true
}

// served reports whether a server has a session and holds its lease.
func (c *simClient) served() bool {
	return c.running() && c.client.State() == Open && c.holds()
}

// servedCount returns the number of served servers.
func (w *world) servedCount() int {
	n := 0
	for _, c := range w.clients {
		if c.served() {
			n++
		}
	}
	return n
}

// settled reports whether all servers are served and have the newest configuration in force, and the leader knows
// it.
func (w *world) settled() bool {
	l := w.leaderNode()
	if l == nil || w.servedCount() < len(w.clients) {
		return false
	}
	newest := w.configuredRevisions[len(w.configuredRevisions)-1]
	for _, c := range w.clients {
		if c.client.View().Digest(ConfigurationPrefix) != w.digests[len(w.digests)-1] {
			return false
		}
	}
	behind, total := l.collector.Behind(newest, l.clock())
	return len(behind) == 0 && total == len(w.clients)
}

// Fault injection.

func (w *world) killNode(i int) {
	n := w.nodes[i]
	w.logf("node %d is killed", i)
	n.dead = true
	for _, s := range sortedStreams(n.streams) {
		s.closedByNode("reset")
	}
}

func sortedStreams(streams map[uint64]*stream) []*stream {
	list := []*stream{}
	for _, s := range streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stream) int { return int(a.id) - int(b.id) })
	return list
}

func (w *world) restartNode(i int) {
	if !w.nodes[i].dead {
		return
	}
	w.logf("node %d restarts", i)
	w.nodes[i] = w.startNode(i)
}

// restartClient starts the next process of a server. The previous one is killed, or keeps running alongside it.
func (w *world) restartClient(i int, keepOld bool) {
	old := w.clients[i]
	w.logf("server %d restarts, old process keeps running: %v", i, keepOld)
	if !keepOld {
		old.kill()
	}
	w.clients[i] = w.startClient(i, old.incarnation+1)
}

// setIsolated cuts the connections between two sets of endpoints, or restores them.
func (w *world) setIsolated(some, others []int, cut bool) {
	for _, a := range some {
		for _, b := range others {
			if a != b {
				w.blocked[a][b], w.blocked[b][a] = cut, cut
			}
		}
		if a >= len(w.nodes) {
			w.clients[a-len(w.nodes)].disturbedAt = w.now
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	for i := range w.blocked {
		clear(w.blocked[i])
	}
	w.maxDelay, w.lossPercent, w.batchLossPerMille = 10*time.Millisecond, 0, 0
	for i, n := range w.nodes {
		if n.dead {
			w.restartNode(i)
		} else if n.stopped {
			n.resume()
		}
	}
	for _, c := range w.clients {
		if c.stopped {
			c.resume()
		}
		c.slowReader = false
	}
	w.logf("all faults are ended")
}
