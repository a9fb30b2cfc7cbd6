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

// defects are what is wrong on purpose in the processes of a simulation.
type defects struct {
	receipt         bool // a lease runs from the receipt of its acknowledgement
	selfGrant       bool // a node grants by itself what it knows nothing against
	noSilence       bool // a session of which nothing is heard is not given up for it
	noGrantPatience bool // nor one without grants
	noJitter        bool // everybody takes the same random part
	acceptGaps      bool // a view takes a batch that does not begin where it stands
	oldIncarnation  bool // a node opens sessions of processes that are older than the log's
	keepsOld        bool // a node keeps sessions of processes that have become older than the log's
	noResync        bool // a new leader is not told anew
	noAdmission     bool // sessions open at any rate
}

// logEntry is a document of configuration, or an entry of the leases.
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

// world is five control nodes and some app servers. Raft is a model: one log, a leader that commits and confirms while a majority of
// nodes hears it both ways, and an election where that has not been so for a while. A leader that was replaced does not know it
// until it hears so.
type world struct {
	scheduler
	t         *testing.T
	random    *rand.Rand
	defects   defects
	terms     lease.Terms
	table     TableOptions
	limits    watch.Limits
	nodes     []*simNode
	clients   []*simClient // the newest process of each server
	processes []*simClient // all
	ofServer  [][]*simClient
	zones     int
	cut       [][]bool // by endpoints, from and to
	maxDelay  time.Duration
	loss      int // in a hundred, between nodes
	streams   uint64

	lossBatches int // in a thousand: the node that loses them is at fault

	term        uint64
	leader      int
	lastHealthy time.Duration
	patience    time.Duration // without a leader, until the next election
	log         []logEntry
	state       lease.State
	pending     []*pendingEntry
	documents   map[string]document
	keys        []string
	configured  []uint64 // revisions
	digests     []uint64 // by configured
	lost        map[uint64]time.Duration
	// liveness has a server that is alive and connected and is declared lost count as a fault of the program.
	liveness bool
	// mustHold tells for which servers it counts as a fault of the program if they hold no lease.
	mustHold func(*simClient) bool
	notes    []string
	broken   string
}

// constantRandom draws the middle of every range.
func constantRandom() *rand.Rand { return rand.New(constantSource{}) }

type constantSource struct{}

func (constantSource) Uint64() uint64 { return 1 << 52 }

// The pace at which nodes let sessions open.
const (
	opensPerSecond = 60
	opensBurst     = 40
)

func newWorld(t *testing.T, seed uint64, servers, zones int, limits watch.Limits, d defects) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 77)), defects: d, terms: lease.ControlTierTerms, zones: zones, maxDelay: 10 * time.Millisecond,
		table:  TableOptions{Fleet: 9, MaxSessions: 1000, OpensPerSecond: opensPerSecond, OpensBurst: opensBurst, MaxSnapshots: 8, DrainPerSecond: 50},
		limits: limits, leader: -1, documents: map[string]document{}, lost: map[uint64]time.Duration{},
	}
	w.mustHold = nobody
	if d.noAdmission {
		w.table.OpensPerSecond, w.table.OpensBurst = 1<<20, 1<<20
	}
	w.ofServer = make([][]*simClient, servers)
	w.cut = make([][]bool, controlNodes+servers)
	for i := range w.cut {
		w.cut[i] = make([]bool, controlNodes+servers)
	}
	w.nodes = make([]*simNode, controlNodes)
	w.digests, w.configured = []uint64{watch.NewHash().Sum()}, []uint64{0}
	for i := range w.nodes {
		w.nodes[i] = w.startNode(i)
	}
	w.elect()
	w.configure(8)
	for i := range servers {
		w.clients = append(w.clients, w.startClient(i, 1))
	}
	w.after(50*time.Millisecond, w.consensus)
	return w
}

func nobody(*simClient) bool    { return false }
func everybody(*simClient) bool { return true }

func (w *world) rate() float64 {
	switch w.random.IntN(4) {
	case 0:
		return 0.99
	case 1:
		return 1.01
	}
	return 0.99 + 0.02*w.random.Float64()
}

func (w *world) zone(server int) int { return server % w.zones }

func (w *world) part(of time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(of))
}

func (w *world) delay() time.Duration { return time.Millisecond + w.part(w.maxDelay) }

func (w *world) note(format string, a ...any) {
	w.notes = append(w.notes, fmt.Sprintf("%8v ", w.now.Round(time.Millisecond))+fmt.Sprintf(format, a...))
}

// fail keeps the first thing that must never be.
func (w *world) fail(format string, a ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, a...)
	}
}

// run goes on for a duration, or until something is broken.
func (w *world) run(d time.Duration) {
	w.until(w.now+d, func() bool { return w.broken != "" })
}

// runUntil goes on until something is so, and returns how long it took; it fails after a limit.
func (w *world) runUntil(what string, limit time.Duration, so func() bool) time.Duration {
	began := w.now
	for w.broken == "" && !so() {
		if w.now-began > limit {
			w.fail("%s took longer than %v", what, limit)
			break
		}
		w.run(20 * time.Millisecond)
	}
	return w.now - began
}

func (w *world) linked(from, to int) bool { return !w.cut[from][to] }

// majority reports whether a node and enough others hear each other.
func (w *world) majority(index int) bool {
	heard := 0
	for _, n := range w.nodes {
		if n.running() && w.nodes[index].running() && w.linked(index, n.index) && w.linked(n.index, index) {
			heard++
		}
	}
	return heard > len(w.nodes)/2
}

// leaderNode returns the leader of the newest term, as long as its process lives; nil = there is none.
func (w *world) leaderNode() *simNode {
	if w.leader < 0 || w.nodes[w.leader].leads != w.term {
		return nil
	}
	return w.nodes[w.leader]
}

func (w *world) healthy() bool { return w.leaderNode() != nil && w.majority(w.leader) }

// consensus looks for elections that are due, and has leaders without a majority notice.
func (w *world) consensus() {
	w.after(50*time.Millisecond, w.consensus)
	if w.healthy() {
		w.lastHealthy = w.now
		return
	}
	if w.now-w.lastHealthy < w.patience {
		return
	}
	w.elect()
}

func (w *world) elect() {
	if l := w.leaderNode(); l != nil && l.running() {
		l.stepDown()
		l.leader = -1
	}
	w.lastHealthy, w.patience = w.now, 800*time.Millisecond+w.part(800*time.Millisecond)
	candidates := []*simNode{}
	for _, n := range w.nodes {
		if w.majority(n.index) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return
	}
	pending := w.pending
	w.pending = nil
	for _, p := range pending {
		if w.random.IntN(2) == 0 { // it had reached the log of the next leader
			w.commit(p.entry)
		}
	}
	w.term++
	l := candidates[w.random.IntN(len(candidates))]
	w.leader = l.index
	w.note("node %d leads in term %d", l.index, w.term)
	l.lead(w.term)
}

// proposeIn has a leader append an entry in its term. It is committed once a majority hears the leader, or the next one has it.
func (w *world) proposeIn(n *simNode, term uint64, e logEntry) {
	if w.term != term || w.leader != n.index {
		return
	}
	p := &pendingEntry{term, e}
	w.pending = append(w.pending, p)
	var try func()
	try = func() {
		i := slices.Index(w.pending, p)
		switch {
		case i < 0:
		case w.healthy() && w.term == term:
			w.pending = slices.Delete(w.pending, i, i+1)
			w.commit(p.entry)
			w.nodes[w.leader].apply(uint64(len(w.log)))
		default:
			w.after(50*time.Millisecond, try)
		}
	}
	w.after(w.delay(), try)
}

func (w *world) commit(e logEntry) {
	w.log = append(w.log, e)
	index := uint64(len(w.log))
	if e.key != "" {
		w.commitDocument(index, e)
		return
	}
	if err := w.state.Apply(index, &e.lease); err != nil || e.lease.Kind != lease.Lost {
		return
	}
	w.lost[e.lease.Life] = w.now
	server := 0
	fmt.Sscanf(e.lease.Box, "s%d", &server)
	w.note("server %d is lost as %d", server, e.lease.Life)
	for _, c := range w.processes {
		if c.server == server && c.holds() && c.client.FencingToken() == e.lease.Life {
			w.fail("server %d holds as %d when it is declared lost", server, e.lease.Life)
		}
	}
	if c := w.clients[server]; w.liveness && c.running() && w.now-c.troubledAt > 10*time.Second {
		w.fail("server %d is alive and connected and is declared lost as %d", server, e.lease.Life)
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
	w.configured = append(w.configured, index)
	w.digests = append(w.digests, hash.Sum())
}

// configure changes documents, if there is a leader.
func (w *world) configure(changes int) {
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
	i, found := slices.BinarySearch(w.configured, revision)
	if !found {
		i--
	}
	return w.digests[i]
}

// configuredBetween returns the revisions of configuration after one and up to another.
func (w *world) configuredBetween(after, to uint64) []uint64 {
	i, _ := slices.BinarySearch(w.configured, after+1)
	j, _ := slices.BinarySearch(w.configured, to+1)
	return append([]uint64{}, w.configured[i:max(i, j)]...)
}

// sendBetween brings something from a node to another, late, twice or not at all; it reports whether it will be delivered.
func (w *world) sendBetween(from, to *simNode, deliver func()) bool {
	if from == to {
		deliver()
		return true
	}
	if w.cut[from.index][to.index] || w.random.IntN(100) < w.loss {
		return false
	}
	copies := 1
	if w.random.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		w.after(w.delay(), func() { to.do(deliver) })
	}
	return true
}

// served reports whether a server has a session and holds its lease.
func (c *simClient) served() bool {
	return c.running() && c.client.State() == Open && c.holds()
}

// serving counts the servers that are served.
func (w *world) serving() int {
	n := 0
	for _, c := range w.clients {
		if c.served() {
			n++
		}
	}
	return n
}

// settled reports whether all servers are served and have the newest configuration in force, and the leader knows it.
func (w *world) settled() bool {
	l := w.leaderNode()
	if l == nil || w.serving() < len(w.clients) {
		return false
	}
	newest := w.configured[len(w.configured)-1]
	for _, c := range w.clients {
		if c.client.View().Digest(ConfigurationPrefix) != w.digests[len(w.digests)-1] {
			return false
		}
	}
	behind, of := l.collector.Behind(newest, l.clock())
	return len(behind) == 0 && of == len(w.clients)
}

// Faults.

func (w *world) killNode(i int) {
	n := w.nodes[i]
	w.note("node %d is killed", i)
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
	w.note("node %d is back", i)
	w.nodes[i] = w.startNode(i)
}

// restartClient starts the next process of a server. The one before is killed, or goes on beside it.
func (w *world) restartClient(i int, twin bool) {
	old := w.clients[i]
	w.note("server %d starts anew, twin %v", i, twin)
	if !twin {
		old.kill()
	}
	w.clients[i] = w.startClient(i, old.incarnation+1)
}

// separate cuts endpoints off from others, or heals that.
func (w *world) separate(some, others []int, cut bool) {
	for _, a := range some {
		for _, b := range others {
			if a != b {
				w.cut[a][b], w.cut[b][a] = cut, cut
			}
		}
		if a >= len(w.nodes) {
			w.clients[a-len(w.nodes)].troubledAt = w.now
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	for i := range w.cut {
		clear(w.cut[i])
	}
	w.maxDelay, w.loss, w.lossBatches = 10*time.Millisecond, 0, 0
	for i, n := range w.nodes {
		if n.dead {
			w.restartNode(i)
		} else if n.stopped {
			n.goOn()
		}
	}
	for _, c := range w.clients {
		if c.stopped {
			c.goOn()
		}
		c.slow = false
	}
	w.note("healed")
}
