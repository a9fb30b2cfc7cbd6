package session

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/watch"
)

var (
	seeds = flag.Uint64("seeds", 4, "histories of the simulation, of each kind")
	large = flag.Uint64("large", 2, "histories with 740 servers")
	first = flag.Uint64("first", 1, "seed of the first, to play one again")
)

// history is a kind of simulation.
type history struct {
	servers, zones int
	single         bool // one fault at a time: nobody who lives and is connected may be lost
	duration       time.Duration
}

var (
	singleFaults = history{servers: 30, zones: 5, single: true, duration: 120 * time.Second}
	chaos        = history{servers: 30, zones: 5, duration: 90 * time.Second}
)

// play is a history under faults, and the calm after it.
func play(t *testing.T, seed uint64, h history, d defects) *world {
	few := watch.Limits{Bytes: 1 << 20, Updates: 60} // who was away for some seconds needs a snapshot
	w := newWorld(t, seed, h.servers, h.zones, few, d)
	w.liveness = h.single
	w.runUntil("the start", 20*time.Second, w.settled)
	for end := w.now + h.duration; w.now < end && w.broken == ""; {
		w.fault(h.single)
		if !h.single {
			w.run(w.part(3 * time.Second))
			continue
		}
		w.run(time.Second + w.part(7*time.Second))
		w.heal()
		w.run(10*time.Second + w.part(2*time.Second))
	}
	w.heal()
	w.run(10 * time.Second)
	w.configure(1)
	w.runUntil("calm after the faults", 20*time.Second, w.settled)
	w.checkTwins()
	before := w.leader
	w.killNode(before)
	w.run(3 * time.Second)
	w.restartNode(before)
	w.runUntil("what a new leader has to know", 15*time.Second, w.settled)
	return w
}

// checkTwins looks for processes that have a session though a newer one of their server has.
func (w *world) checkTwins() {
	for _, c := range w.processes {
		if c.running() && c != w.clients[c.server] && c.client.State() == Open {
			w.fail("process %d of server %d has a session beside process %d", c.incarnation, c.server, w.clients[c.server].incarnation)
		}
	}
}

// fault is one thing that goes wrong.
func (w *world) fault(single bool) {
	node, server := w.random.IntN(len(w.nodes)), w.random.IntN(len(w.clients))
	if w.leader >= 0 && w.random.IntN(3) == 0 {
		node = w.leader
	}
	n, c := w.nodes[node], w.clients[server]
	nodes := []int{}
	for _, o := range w.nodes {
		nodes = append(nodes, o.index)
	}
	switch w.random.IntN(13) {
	case 0:
		if !n.dead {
			w.killNode(node)
		}
	case 1:
		if n.running() {
			w.note("node %d stops", node)
			n.stop()
		}
	case 2:
		w.note("node %d is cut off from the others", node)
		w.separate([]int{node}, nodes, true)
	case 3:
		w.note("node %d is heard by the others, and hears none", node)
		for _, o := range nodes {
			w.cut[o][node] = o != node
		}
	case 4:
		w.note("server %d is cut off from node %d, one way", server, node)
		w.cut[c.endpoint][node] = true
		w.cut[node][c.endpoint] = w.random.IntN(2) == 0
	case 5:
		w.note("server %d is cut off", server)
		w.separate([]int{c.endpoint}, nodes, true)
	case 6:
		w.restartClient(server, false)
	case 7:
		w.restartClient(server, true)
	case 8:
		w.note("server %d stops", server)
		c.stop()
		c.troubledAt = w.now
		w.after(w.part(15*time.Second), func() {
			if c.stopped {
				c.goOn()
			}
			c.troubledAt = w.now
		})
	case 9:
		w.maxDelay, w.loss = w.part(200*time.Millisecond), w.random.IntN(20)
		w.note("delay %v, loss %d", w.maxDelay, w.loss)
	case 10:
		w.lossBatches = 50
		w.note("batches are lost")
		w.configureFor(5 * time.Second)
	case 11:
		w.note("server %d reads slowly", server)
		c.slow = true
		c.troubledAt = w.now
		w.after(20*time.Second, func() { c.troubledAt = w.now })
		w.configureFor(5 * time.Second)
	default:
		w.configureFor(5 * time.Second)
	}
	if !single && w.random.IntN(4) == 0 {
		w.heal()
	}
}

// configureFor changes a document 20 times a second.
func (w *world) configureFor(d time.Duration) {
	for at := time.Duration(0); at < d; at += 50 * time.Millisecond {
		w.after(at, func() { w.configure(1) })
	}
}

func (w *world) check(t *testing.T, what string, seed uint64) {
	t.Helper()
	if w.broken != "" {
		t.Fatalf("%s, seed %d: %s\n%s", what, seed, w.broken, strings.Join(w.notes, "\n"))
	}
}

// With one fault at a time nobody who lives and is connected is declared lost; nobody acts on a lease that is over; nobody misses
// an update, has one twice or out of order; and in the calm after it everybody has the same.
func TestSingleFaults(t *testing.T) {
	lost := 0
	for seed := *first; seed < *first+*seeds; seed++ {
		w := play(t, seed, singleFaults, defects{})
		w.check(t, "single faults", seed)
		lost += len(w.lost)
	}
	t.Logf("%d histories, %d leases lost", *seeds, lost)
}

// The same with faults upon faults, but for the promise to those who are connected.
func TestChaos(t *testing.T) {
	lost, terms := 0, uint64(0)
	for seed := *first; seed < *first+*seeds; seed++ {
		w := play(t, seed, chaos, defects{})
		w.check(t, "chaos", seed)
		lost += len(w.lost)
		terms += w.term
	}
	t.Logf("%d histories, %d leases lost, %d terms", *seeds, lost, terms)
	if lost < int(*seeds) || terms < 2**seeds {
		t.Error("too little has happened")
	}
}

// logMeasured logs the notes that say how long something took.
func (w *world) logMeasured(t *testing.T) {
	t.Helper()
	for _, line := range w.notes {
		if strings.Contains(line, "after") || strings.Contains(line, "within") {
			t.Log(line)
		}
	}
}

// most returns how many moments are in a window at most.
func most(moments []time.Duration, window time.Duration) int {
	slices.Sort(moments)
	count := 0
	for i := range moments {
		j, _ := slices.BinarySearch(moments, moments[i]+window)
		count = max(count, j-i)
	}
	return count
}

// checkOpens holds the sessions opened at each node against the bound.
func (w *world) checkOpens() {
	bound := opensBurst + opensPerSecond*101/100 + 1 // by a clock that is fast
	for _, n := range w.nodes {
		if count := most(n.opened, time.Second); count > bound {
			w.fail("node %d opened %d sessions in a second", n.index, count)
		}
	}
}

// attemptsAfter returns when servers tried to connect after a moment, and before another.
func (w *world) attemptsAfter(from, to time.Duration) (moments []time.Duration) {
	for _, c := range w.clients {
		for _, at := range c.connectedAt {
			if at >= from && at < to {
				moments = append(moments, at)
			}
		}
	}
	return moments
}

func endpoints(clients []*simClient, of func(*simClient) bool) (list []int) {
	for _, c := range clients {
		if of(c) {
			list = append(list, c.endpoint)
		}
	}
	return list
}

// fleetOf740 is the life of a fleet of the size that is planned for.
func fleetOf740(t *testing.T, seed uint64, d defects) *world {
	w := newWorld(t, seed, 740, 5, watch.Limits{Bytes: 1 << 20, Updates: 2000}, d)
	w.liveness = true
	took := w.runUntil("the start of all", 15*time.Second, w.settled)
	w.note("all at once: settled within %v, %d attempts", took, len(w.attemptsAfter(0, w.now)))
	if attempts := len(w.attemptsAfter(0, w.now)); attempts > 4*740 {
		w.fail("%d attempts of 740 servers at the start", attempts)
	}
	w.run(5 * time.Second)

	w.mustHold = everybody
	w.configureFor(10 * time.Second)
	w.run(10 * time.Second)
	took = w.runUntil("20 changes a second", 3*time.Second, w.settled)
	w.note("20 changes a second for 10 s: everybody has the last after %v", took)

	w.run(5 * time.Second)
	dies := (w.leader + 1) % controlNodes
	w.dies(dies, "a follower")
	w.run(10 * time.Second)
	w.restartNode(dies)
	w.run(10 * time.Second)
	w.dies(w.leader, "the leader")
	w.heal()
	w.run(10 * time.Second)
	w.nodeStops()
	w.leaderCutOff()
	w.zoneIsCutOff()
	w.slowReaders()
	w.checkOpens()
	return w
}

// dies kills a node. Its servers are elsewhere within 5 s, spread over time and nodes, and none is lost.
func (w *world) dies(node int, which string) {
	lost, began := len(w.lost), w.now
	orphans := []*simClient{}
	for _, c := range w.clients {
		if c.client.Node() == w.nodes[node].name {
			orphans = append(orphans, c)
		}
	}
	w.killNode(node)
	w.run(50 * time.Millisecond)
	took := w.runUntil("the servers of a node that died", 5*time.Second, func() bool { return w.serving() == len(w.clients) })
	w.note("%s dies with %d sessions: all are served after %v", which, len(orphans), took)
	moments := w.attemptsAfter(began, began+time.Second)
	if peak := most(moments, 100*time.Millisecond); peak > len(moments)/2 {
		w.fail("%d of %d attempts came within 100 ms", peak, len(moments))
	}
	w.run(8 * time.Second)
	if len(w.lost) != lost {
		w.fail("%d leases were lost by the death of a node", len(w.lost)-lost)
	}
}

// nodeStops has a node stop and go on. Its servers notice by its silence.
func (w *world) nodeStops() {
	lost := len(w.lost)
	n := w.nodes[(w.leader+2)%controlNodes]
	w.note("node %d stops", n.index)
	n.stop()
	w.run(50 * time.Millisecond)
	w.run(Silence - 100*time.Millisecond)
	took := w.runUntil("the servers of a node that stopped", 5*time.Second, func() bool { return w.serving() == len(w.clients) })
	w.note("a node stopped: all are served after %v", Silence-50*time.Millisecond+took)
	w.run(7 * time.Second)
	n.goOn()
	w.run(8 * time.Second)
	if len(w.lost) != lost {
		w.fail("%d leases were lost by a node that stopped", len(w.lost)-lost)
	}
}

// leaderCutOff has a node hear its servers, but no other node.
func (w *world) leaderCutOff() {
	lost := len(w.lost)
	index := (w.leader + 3) % controlNodes
	w.note("node %d is cut off from the others", index)
	w.separate([]int{index}, []int{0, 1, 2, 3, 4}, true)
	w.run(12 * time.Second)
	w.heal()
	w.run(5 * time.Second)
	if len(w.lost) != lost {
		w.fail("%d leases were lost by a node that was cut off from the leader", len(w.lost)-lost)
	}
}

// zoneIsCutOff takes a zone and its node away for some time.
func (w *world) zoneIsCutOff() {
	inside := append(endpoints(w.clients, func(c *simClient) bool { return w.zone(c.server) == 0 }), 0)
	outside := append(endpoints(w.clients, func(c *simClient) bool { return w.zone(c.server) != 0 }), 1, 2, 3, 4)
	w.note("a zone of %d is cut off", len(inside)-1)
	w.mustHold = func(c *simClient) bool { return w.zone(c.server) != 0 }
	w.separate(inside, outside, true)
	w.run(15 * time.Second)
	w.configure(5)
	w.run(10 * time.Second)
	w.separate(inside, outside, false)
	took := w.runUntil("the return of a zone", 11*time.Second, w.settled)
	w.note("a zone returned: settled after %v", took)
	w.run(5 * time.Second)
}

// slowReaders has some servers read slowly while configuration changes: others do not notice.
func (w *world) slowReaders() {
	w.mustHold = func(c *simClient) bool { return !c.slow }
	for i := range 20 {
		w.clients[i*30].slow = true
		w.clients[i*30].troubledAt = w.now + time.Hour
	}
	w.configureFor(10 * time.Second)
	w.run(10 * time.Second)
	newest := w.digests[len(w.digests)-1]
	current := func(c *simClient) bool { return c.slow || c.client.View().Digest(ConfigurationPrefix) == newest }
	took := w.runUntil("everybody but slow readers", time.Second, func() bool { return !slices.ContainsFunc(w.clients, func(c *simClient) bool { return !current(c) }) })
	w.note("20 readers are slow: everybody else has the last change after %v", took)
	w.mustHold = nobody
	w.heal()
	w.run(10 * time.Second)
	w.configure(1)
	w.runUntil("slow readers that are well again", 15*time.Second, w.settled)
}

func TestFleetOf740(t *testing.T) {
	for seed := *first; seed < *first+*large; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := fleetOf740(t, seed, defects{})
			w.check(t, "740 servers", seed)
			w.logMeasured(t)
		})
	}
}
