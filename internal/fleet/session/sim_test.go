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

// faultPlan is a kind of randomized simulation.
type faultPlan struct {
	servers, zones int
	singleFault    bool // inject one fault at a time: the lease of a live and connected server must not expire
	duration       time.Duration
}

var (
	singleFaults = faultPlan{servers: 30, zones: 5, singleFault: true, duration: 120 * time.Second}
	chaos        = faultPlan{servers: 30, zones: 5, duration: 90 * time.Second}
)

// runFaultPlan injects faults, and checks that the fleet recovers afterwards.
func runFaultPlan(t *testing.T, seed uint64, plan faultPlan, d defects) *world {
	limits := watch.Limits{Bytes: 1 << 20, Updates: 60} // a client that misses a few seconds needs a snapshot
	w := newWorld(t, seed, plan.servers, plan.zones, limits, d)
	w.failOnExpiry = plan.singleFault
	w.runUntil("the start", 20*time.Second, w.settled)
	for end := w.now + plan.duration; w.now < end && w.violation == ""; {
		w.injectFault(plan.singleFault)
		if !plan.singleFault {
			w.run(w.randomPart(3 * time.Second))
			continue
		}
		w.run(time.Second + w.randomPart(7*time.Second))
		w.heal()
		w.run(10*time.Second + w.randomPart(2*time.Second))
	}
	w.heal()
	w.run(10 * time.Second)
	w.changeConfiguration(1)
	w.runUntil("recovery after the faults", 20*time.Second, w.settled)
	w.checkSupersededSessions()
	before := w.leader
	w.killNode(before)
	w.run(3 * time.Second)
	w.restartNode(before)
	w.runUntil("collecting the state at a new leader", 15*time.Second, w.settled)
	return w
}

// checkSupersededSessions checks that no process has a session while a newer process of its server is running.
func (w *world) checkSupersededSessions() {
	for _, c := range w.processes {
		if c.running() && c != w.clients[c.server] && c.client.State() == Open {
			w.fail("process %d of server %d has a session alongside process %d", c.incarnation, c.server, w.clients[c.server].incarnation)
		}
	}
}

// injectFault injects a random fault.
func (w *world) injectFault(single bool) {
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
			w.logf("node %d is stopped", node)
			n.stop()
		}
	case 2:
		w.logf("node %d is isolated from the other nodes", node)
		w.setIsolated([]int{node}, nodes, true)
	case 3:
		w.logf("node %d can send to the other nodes but not receive", node)
		for _, o := range nodes {
			w.blocked[o][node] = o != node
		}
	case 4:
		w.logf("server %d cannot send to node %d", server, node)
		w.blocked[c.endpoint][node] = true
		w.blocked[node][c.endpoint] = w.random.IntN(2) == 0
	case 5:
		w.logf("server %d is isolated", server)
		w.setIsolated([]int{c.endpoint}, nodes, true)
	case 6:
		w.restartClient(server, false)
	case 7:
		w.restartClient(server, true)
	case 8:
		w.logf("server %d is stopped", server)
		c.stop()
		c.disturbedAt = w.now
		w.after(w.randomPart(15*time.Second), func() {
			if c.stopped {
				c.resume()
			}
			c.disturbedAt = w.now
		})
	case 9:
		w.maxDelay, w.lossPercent = w.randomPart(200*time.Millisecond), w.random.IntN(20)
		w.logf("maximum delay %v, loss %d%%", w.maxDelay, w.lossPercent)
	case 10:
		w.batchLossPerMille = 50
		w.logf("nodes lose batches")
		w.changeConfigurationFor(5 * time.Second)
	case 11:
		w.logf("server %d reads slowly", server)
		c.slowReader = true
		c.disturbedAt = w.now
		w.after(20*time.Second, func() { c.disturbedAt = w.now })
		w.changeConfigurationFor(5 * time.Second)
	default:
		w.changeConfigurationFor(5 * time.Second)
	}
	if !single && w.random.IntN(4) == 0 {
		w.heal()
	}
}

// changeConfigurationFor changes a document 20 times per second.
func (w *world) changeConfigurationFor(d time.Duration) {
	for at := time.Duration(0); at < d; at += 50 * time.Millisecond {
		w.after(at, func() { w.changeConfiguration(1) })
	}
}

func (w *world) check(t *testing.T, what string, seed uint64) {
	t.Helper()
	if w.violation != "" {
		t.Fatalf("%s, seed %d: %s\n%s", what, seed, w.violation, strings.Join(w.logLines, "\n"))
	}
}

// With one fault at a time, the lease of a live and connected server never expires. No server acts on an expired
// lease, and none misses an update or receives one twice or out of order. After the faults all servers have the
// same state.
func TestSingleFaults(t *testing.T) {
	expired := 0
	for seed := *first; seed < *first+*seeds; seed++ {
		w := runFaultPlan(t, seed, singleFaults, defects{})
		w.check(t, "single faults", seed)
		expired += len(w.expiredTokens)
	}
	t.Logf("%d histories, %d leases expired", *seeds, expired)
}

// With overlapping faults the same rules hold, except that the lease of a connected server may expire.
func TestChaos(t *testing.T) {
	expired, terms := 0, uint64(0)
	for seed := *first; seed < *first+*seeds; seed++ {
		w := runFaultPlan(t, seed, chaos, defects{})
		w.check(t, "chaos", seed)
		expired += len(w.expiredTokens)
		terms += w.term
	}
	t.Logf("%d histories, %d leases expired, %d terms", *seeds, expired, terms)
	if expired < int(*seeds) || terms < 2**seeds {
		t.Error("too few leases expired or too few elections took place")
	}
}

// logMeasured logs the lines that contain a duration.
func (w *world) logMeasured(t *testing.T) {
	t.Helper()
	for _, line := range w.logLines {
		if strings.Contains(line, "after") || strings.Contains(line, "within") {
			t.Log(line)
		}
	}
}

// maxInWindow returns the largest number of moments within any window of the given length.
func maxInWindow(moments []time.Duration, window time.Duration) int {
	slices.Sort(moments)
	count := 0
	for i := range moments {
		j, _ := slices.BinarySearch(moments, moments[i]+window)
		count = max(count, j-i)
	}
	return count
}

// checkOpens checks the rate at which sessions opened at each node.
func (w *world) checkOpens() {
	bound := opensBurst + opensPerSecond*101/100 + 1 // on a clock that runs fast
	for _, n := range w.nodes {
		if count := maxInWindow(n.openedAt, time.Second); count > bound {
			w.fail("node %d opened %d sessions in a second", n.index, count)
		}
	}
}

// attemptsAfter returns the times of the servers' connection attempts in [from, to).
func (w *world) attemptsAfter(from, to time.Duration) (moments []time.Duration) {
	for _, c := range w.clients {
		for _, at := range c.attemptTimes {
			if at >= from && at < to {
				moments = append(moments, at)
			}
		}
	}
	return moments
}

func endpointsOf(clients []*simClient, include func(*simClient) bool) (list []int) {
	for _, c := range clients {
		if include(c) {
			list = append(list, c.endpoint)
		}
	}
	return list
}

// runLargeFleet runs a fleet of 740 servers, the size that the design is planned for, through a series of single
// faults.
func runLargeFleet(t *testing.T, seed uint64, d defects) *world {
	w := newWorld(t, seed, 740, 5, watch.Limits{Bytes: 1 << 20, Updates: 2000}, d)
	w.failOnExpiry = true
	took := w.runUntil("the start of all servers", 15*time.Second, w.settled)
	w.logf("all servers start at once: settled within %v, %d attempts", took, len(w.attemptsAfter(0, w.now)))
	if attempts := len(w.attemptsAfter(0, w.now)); attempts > 4*740 {
		w.fail("%d attempts of 740 servers at the start", attempts)
	}
	w.run(5 * time.Second)

	w.mustHoldLease = everyServer
	w.changeConfigurationFor(10 * time.Second)
	w.run(10 * time.Second)
	took = w.runUntil("applying 20 changes per second", 3*time.Second, w.settled)
	w.logf("20 changes per second for 10 s: all servers have the last one after %v", took)

	w.run(5 * time.Second)
	killed := (w.leader + 1) % controlNodes
	w.killAndRecover(killed, "a follower")
	w.run(10 * time.Second)
	w.restartNode(killed)
	w.run(10 * time.Second)
	w.killAndRecover(w.leader, "the leader")
	w.heal()
	w.run(10 * time.Second)
	w.stopAndResumeNode()
	w.isolateNode()
	w.isolateZone()
	w.runSlowReaders()
	w.checkOpens()
	return w
}

// killAndRecover kills a node. Its servers must be served by other nodes within 5 s, with attempts spread over time
// and nodes, and no lease may expire.
func (w *world) killAndRecover(node int, role string) {
	expired, began := len(w.expiredTokens), w.now
	affected := []*simClient{}
	for _, c := range w.clients {
		if c.client.Node() == w.nodes[node].name {
			affected = append(affected, c)
		}
	}
	w.killNode(node)
	w.run(50 * time.Millisecond)
	took := w.runUntil("serving the servers of a killed node", 5*time.Second, func() bool { return w.servedCount() == len(w.clients) })
	w.logf("%s with %d sessions is killed: all servers are served after %v", role, len(affected), took)
	moments := w.attemptsAfter(began, began+time.Second)
	if peak := maxInWindow(moments, 100*time.Millisecond); peak > len(moments)/2 {
		w.fail("%d of %d attempts came within 100 ms", peak, len(moments))
	}
	w.run(8 * time.Second)
	if len(w.expiredTokens) != expired {
		w.fail("%d leases expired after a node was killed", len(w.expiredTokens)-expired)
	}
}

// stopAndResumeNode stops a node and resumes it. Its servers notice because nothing is received from it.
func (w *world) stopAndResumeNode() {
	expired := len(w.expiredTokens)
	n := w.nodes[(w.leader+2)%controlNodes]
	w.logf("node %d is stopped", n.index)
	n.stop()
	w.run(50 * time.Millisecond)
	w.run(SilenceTimeout - 100*time.Millisecond)
	took := w.runUntil("serving the servers of a stopped node", 5*time.Second, func() bool { return w.servedCount() == len(w.clients) })
	w.logf("a node stopped: all servers are served after %v", SilenceTimeout-50*time.Millisecond+took)
	w.run(7 * time.Second)
	n.resume()
	w.run(8 * time.Second)
	if len(w.expiredTokens) != expired {
		w.fail("%d leases expired after a node stopped", len(w.expiredTokens)-expired)
	}
}

// isolateNode isolates a node from the other nodes, but not from its servers.
func (w *world) isolateNode() {
	expired := len(w.expiredTokens)
	index := (w.leader + 3) % controlNodes
	w.logf("node %d is isolated from the other nodes", index)
	w.setIsolated([]int{index}, []int{0, 1, 2, 3, 4}, true)
	w.run(12 * time.Second)
	w.heal()
	w.run(5 * time.Second)
	if len(w.expiredTokens) != expired {
		w.fail("%d leases expired after a node was isolated from the leader", len(w.expiredTokens)-expired)
	}
}

// isolateZone isolates a zone with its node for a while.
func (w *world) isolateZone() {
	inside := append(endpointsOf(w.clients, func(c *simClient) bool { return w.zone(c.server) == 0 }), 0)
	outside := append(endpointsOf(w.clients, func(c *simClient) bool { return w.zone(c.server) != 0 }), 1, 2, 3, 4)
	w.logf("a zone of %d servers is isolated", len(inside)-1)
	w.mustHoldLease = func(c *simClient) bool { return w.zone(c.server) != 0 }
	w.setIsolated(inside, outside, true)
	w.run(15 * time.Second)
	w.changeConfiguration(5)
	w.run(10 * time.Second)
	w.setIsolated(inside, outside, false)
	took := w.runUntil("the return of a zone", 11*time.Second, w.settled)
	w.logf("a zone returned: settled after %v", took)
	w.run(5 * time.Second)
}

// runSlowReaders makes some servers read slowly while the configuration changes. Other servers must not be
// affected.
func (w *world) runSlowReaders() {
	w.mustHoldLease = func(c *simClient) bool { return !c.slowReader }
	for i := range 20 {
		w.clients[i*30].slowReader = true
		w.clients[i*30].disturbedAt = w.now + time.Hour
	}
	w.changeConfigurationFor(10 * time.Second)
	w.run(10 * time.Second)
	newest := w.digests[len(w.digests)-1]
	current := func(c *simClient) bool { return c.slowReader || c.client.View().Digest(ConfigurationPrefix) == newest }
	took := w.runUntil("updating all servers but the slow readers", time.Second, func() bool { return !slices.ContainsFunc(w.clients, func(c *simClient) bool { return !current(c) }) })
	w.logf("20 readers are slow: all other servers have the last change after %v", took)
	w.mustHoldLease = noServer
	w.heal()
	w.run(10 * time.Second)
	w.changeConfiguration(1)
	w.runUntil("recovery of slow readers", 15*time.Second, w.settled)
}

func TestFleetOf740(t *testing.T) {
	for seed := *first; seed < *first+*large; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := runLargeFleet(t, seed, defects{})
			w.check(t, "740 servers", seed)
			w.logMeasured(t)
		})
	}
}
