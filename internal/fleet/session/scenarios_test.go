package session

import (
	"testing"
	"time"

	"larchscale/internal/fleet/watch"
)

// Each scenario exercises one situation, with timing that varies by seed.

func newSmallWorld(t *testing.T, seed uint64, d defects) *world {
	return newWorld(t, seed, 30, 5, watch.Limits{Bytes: 1 << 20, Updates: 60}, d)
}

// newSettledWorld returns a small fleet after its start.
func newSettledWorld(t *testing.T, seed uint64, d defects) *world {
	w := newSmallWorld(t, seed, d)
	w.runUntil("the start", 20*time.Second, w.settled)
	w.run(time.Second + w.randomPart(time.Second))
	return w
}

// setNodesIsolated cuts all connections between nodes, or restores them.
func (w *world) setNodesIsolated(cut bool) {
	for i := range w.nodes {
		for j := range w.nodes {
			w.blocked[i][j] = cut && i != j
		}
	}
}

// nodeStopsAtStart stops a node whose servers have no lease yet. They have to notice that nothing is received,
// since they do not wait for grants.
func nodeStopsAtStart(t *testing.T, seed uint64, d defects) *world {
	w := newSmallWorld(t, seed, d)
	w.setNodesIsolated(true)
	w.run(time.Second) // all servers have a session and none has a fencing token
	w.nodes[1].stop()
	w.setNodesIsolated(false)
	w.runUntil("the move of servers from a stopped node", SilenceTimeout+2*InitialBackoff+500*time.Millisecond, func() bool {
		for _, c := range w.clients {
			if c.client.Node() == w.nodes[1].name && c.client.State() == Open {
				return false
			}
		}
		return true
	})
	return w
}

// lateAcknowledgement delays the last acknowledgement of a server almost as long as possible, with no renewal after
// it.
func lateAcknowledgement(t *testing.T, seed uint64, d defects) *world {
	w := newSettledWorld(t, seed, d)
	w.mustHoldLease = noServer
	for _, c := range w.clients[:10] {
		w.after(w.randomPart(time.Second), func() {
			nodes := []int{0, 1, 2, 3, 4}
			for _, n := range nodes {
				w.blocked[n][c.endpoint] = true
			}
			w.after(500*time.Millisecond+w.randomPart(200*time.Millisecond), func() { w.setIsolated([]int{c.endpoint}, nodes, true) })
			w.after(1500*time.Millisecond, func() {
				for _, n := range nodes {
					w.blocked[n][c.endpoint] = false
				}
			})
		})
	}
	w.run(12 * time.Second)
	w.heal()
	w.runUntil("recovery after late acknowledgements", 15*time.Second, w.settled)
	return w
}

// supersededProcessResumes stops a process while another process of the same server starts and dies.
func supersededProcessResumes(t *testing.T, seed uint64, d defects) *world {
	w := newSettledWorld(t, seed, d)
	old := w.clients[3]
	old.stop()
	w.run(w.randomPart(3 * time.Second))
	w.restartClient(3, true)
	w.run(8 * time.Second)
	w.clients[3].kill()
	w.run(time.Second)
	old.resume()
	w.run(5 * time.Second)
	if old.client.State() != Ended {
		w.fail("a superseded process is in state %s", old.client.State())
	}
	w.restartClient(3, false)
	w.runUntil("recovery after a superseded process", 15*time.Second, w.settled)
	return w
}

// clockWentBack starts a process with an incarnation that is older than the one in the log.
func clockWentBack(t *testing.T, seed uint64, d defects) *world {
	w := newSettledWorld(t, seed, d)
	w.restartClient(5, false)
	w.run(5 * time.Second)
	w.clients[5].kill()
	w.clients[5] = w.startClient(5, 1)
	w.runUntil("the start of a process with an old incarnation", 15*time.Second, w.settled)
	if got := w.clients[5].client.Incarnation(); got != 3 {
		w.fail("the process took incarnation %d", got)
	}
	return w
}

// regionWithoutMajority isolates a region without a majority for a long time. Its servers continue without leases
// and try the other nodes at a limited rate, and are served soon after the region returns.
func regionWithoutMajority(t *testing.T, seed uint64, d defects) *world {
	w := newSettledWorld(t, seed, d)
	inside := append(endpointsOf(w.clients, func(c *simClient) bool { return w.zone(c.server) < 2 }), 0, 1)
	outside := append(endpointsOf(w.clients, func(c *simClient) bool { return w.zone(c.server) >= 2 }), 2, 3, 4)
	w.setIsolated(inside, outside, true)
	w.run(30 * time.Second)
	began := w.now
	w.mustHoldLease = func(c *simClient) bool { return w.zone(c.server) >= 2 }
	w.run(2 * time.Minute)
	inTwoMinutes := len(w.attemptsAfter(began, w.now))
	if limit := 12 * 60; inTwoMinutes > limit { // 12 servers, one attempt every 2 s each
		w.fail("%d attempts of 12 servers in two minutes, want at most %d", inTwoMinutes, limit)
	}
	w.setIsolated(inside, outside, false)
	took := w.runUntil("the return of a region", 11*time.Second, w.settled)
	w.logf("a region without a majority for 150 s: %d attempts of 12 servers in 2 minutes; settled after %v", inTwoMinutes, took)
	return w
}

func TestScenarios(t *testing.T) {
	for name, scenario := range map[string]func(*testing.T, uint64, defects) *world{
		"stopped before the first lease": nodeStopsAtStart,
		"late acknowledgement":           lateAcknowledgement,
		"a superseded process resumes":   supersededProcessResumes,
		"a clock was set back":           clockWentBack,
		"a region without a majority":    regionWithoutMajority,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := *first; seed < *first+*seeds; seed++ {
				w := scenario(t, seed, defects{})
				w.check(t, name, seed)
				w.logMeasured(t)
			}
		})
	}
}
