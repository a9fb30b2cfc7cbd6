package session

import (
	"testing"
	"time"

	"larchscale/internal/fleet/watch"
)

// Histories of one thing each, with moments that differ by seed.

func smallWorld(t *testing.T, seed uint64, d defects) *world {
	return newWorld(t, seed, 30, 5, watch.Limits{Bytes: 1 << 20, Updates: 60}, d)
}

// settledWorld is a small fleet that has begun.
func settledWorld(t *testing.T, seed uint64, d defects) *world {
	w := smallWorld(t, seed, d)
	w.runUntil("the start", 20*time.Second, w.settled)
	w.run(time.Second + w.part(time.Second))
	return w
}

// separateNodes cuts every two nodes off from each other, or heals that.
func (w *world) separateNodes(cut bool) {
	for i := range w.nodes {
		for j := range w.nodes {
			w.cut[i][j] = cut && i != j
		}
	}
}

// stoppedAtStart has servers that have no lease yet at a node that stops: they do not wait for grants, but for an answer.
func stoppedAtStart(t *testing.T, seed uint64, d defects) *world {
	w := smallWorld(t, seed, d)
	w.separateNodes(true)
	w.run(time.Second) // all have a session, and nobody a token
	w.nodes[1].stop()
	w.separateNodes(false)
	w.runUntil("servers of a node that stopped", Silence+2*FirstBackoff+500*time.Millisecond, func() bool {
		for _, c := range w.clients {
			if c.client.Node() == w.nodes[1].name && c.client.State() == Open {
				return false
			}
		}
		return true
	})
	return w
}

// lateAcknowledgement has the last acknowledgement of a server come nearly as late as it can, and no renewal after it.
func lateAcknowledgement(t *testing.T, seed uint64, d defects) *world {
	w := settledWorld(t, seed, d)
	w.mustHold = nobody
	for _, c := range w.clients[:10] {
		w.after(w.part(time.Second), func() {
			nodes := []int{0, 1, 2, 3, 4}
			for _, n := range nodes {
				w.cut[n][c.endpoint] = true
			}
			w.after(500*time.Millisecond+w.part(200*time.Millisecond), func() { w.separate([]int{c.endpoint}, nodes, true) })
			w.after(1500*time.Millisecond, func() {
				for _, n := range nodes {
					w.cut[n][c.endpoint] = false
				}
			})
		})
	}
	w.run(12 * time.Second)
	w.heal()
	w.runUntil("calm after late acknowledgements", 15*time.Second, w.settled)
	return w
}

// oldProcessReturns has a process sleep while another one of its server starts and dies.
func oldProcessReturns(t *testing.T, seed uint64, d defects) *world {
	w := settledWorld(t, seed, d)
	old := w.clients[3]
	old.stop()
	w.run(w.part(3 * time.Second))
	w.restartClient(3, true)
	w.run(8 * time.Second)
	w.clients[3].kill()
	w.run(time.Second)
	old.goOn()
	w.run(5 * time.Second)
	if old.client.State() != Ended {
		w.fail("an old process is %s", old.client.State())
	}
	w.restartClient(3, false)
	w.runUntil("calm after an old process", 15*time.Second, w.settled)
	return w
}

// clockWentBack has a first process begin with an incarnation that is older than the log's.
func clockWentBack(t *testing.T, seed uint64, d defects) *world {
	w := settledWorld(t, seed, d)
	w.restartClient(5, false)
	w.run(5 * time.Second)
	w.clients[5].kill()
	w.clients[5] = w.startClient(5, 1)
	w.runUntil("a process with an old incarnation", 15*time.Second, w.settled)
	if got := w.clients[5].client.Incarnation(); got != 3 {
		w.fail("the process took incarnation %d", got)
	}
	return w
}

// minority has a region without a majority for long: its servers go on without leases, try the other nodes at a bounded pace, and are
// served soon after the return.
func minority(t *testing.T, seed uint64, d defects) *world {
	w := settledWorld(t, seed, d)
	inside := append(endpoints(w.clients, func(c *simClient) bool { return w.zone(c.server) < 2 }), 0, 1)
	outside := append(endpoints(w.clients, func(c *simClient) bool { return w.zone(c.server) >= 2 }), 2, 3, 4)
	w.separate(inside, outside, true)
	w.run(30 * time.Second)
	began := w.now
	w.mustHold = func(c *simClient) bool { return w.zone(c.server) >= 2 }
	w.run(2 * time.Minute)
	inTwoMinutes := len(w.attemptsAfter(began, w.now))
	if limit := 12 * 60; inTwoMinutes > limit { // 12 servers, one attempt in 2 s
		w.fail("%d attempts of 12 servers in two minutes, %d at most", inTwoMinutes, limit)
	}
	w.separate(inside, outside, false)
	took := w.runUntil("the return of a region", 11*time.Second, w.settled)
	w.note("a region without a majority for 150 s: %d attempts of 12 servers in 2 minutes; settled after %v", inTwoMinutes, took)
	return w
}

func TestScenarios(t *testing.T) {
	for name, scenario := range map[string]func(*testing.T, uint64, defects) *world{
		"stopped before the first lease": stoppedAtStart,
		"late acknowledgement":           lateAcknowledgement,
		"an old process returns":         oldProcessReturns,
		"a clock went back":              clockWentBack,
		"a region without a majority":    minority,
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
