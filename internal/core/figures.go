package core

import (
	"sync/atomic"
	"time"
)

// publishInterval bounds the age of the published metrics: a change becomes visible within this time.
const publishInterval = 100 * time.Millisecond

// Metrics are the counters and gauges of one process since its start, by class in the order of the configuration.
// The loop publishes a copy; readers on other goroutines get that copy and never access the loop's own counters.
type Metrics struct {
	OK     []uint64 // served
	Shed   []uint64 // refused, never ran
	Errors []uint64 // failed, timed out, conflicts, invalid
	Tries  []uint64 // runs handed to the worker pool
	Active int      // open requests
	// Calls is the number of downstream calls in flight, Waiting the number of runs that wait to make one, and Lost
	// counts the calls that were not answered in time.
	Calls, Waiting        int
	Lost                  uint64
	CoreUse               float64   // share of the worker pool's cores in use, as last reported; negative = unknown
	WarmAt                time.Time // the worker pool is warm from then on; zero = it is not up
	KeyedUntil            time.Time // until then a repeat may ask for a result that this process has
	ConfigurationRevision uint64    // revision of the configuration documents in effect; 0 = none yet
	Serving               bool      // the worker pool is up and the server is not draining
	Retained              Retained  // what the loop keeps in memory
	Pool                  PoolCounts
}

// Retained counts what the loop keeps in memory, as of the last publication. A request that is over must be in none of
// these figures; only its key may be, for its window.
type Retained struct {
	Connections    int // open connections, whatever they carry
	Timers         int // timers that are set; idle connections and kept keys have one each
	OpenBytes      int // accounted size of requests in flight and of pending results
	PendingResults int // results that wait for their ledger entries
	Keys           int // keys of keyed requests, with those in flight
	KeyBytes       int // accounted size of these keys and of their results
}

// PoolCounts counts what happened on the links to the worker pool since the start of the process.
type PoolCounts struct {
	Links       uint64 // links on which the pool answered the bind
	InDoubt     uint64 // commands of which it is not known whether they arrived before their link ended
	Repeated    uint64 // commands that were sent again on a new link
	GivenUp     uint64 // runs of which nothing was heard after their command was in doubt
	UnknownEnds uint64 // ends of runs that no open request waits for
}

// metricsPublisher holds the loop's counters and the copy that readers see.
type metricsPublisher struct {
	counts       Metrics
	published    atomic.Pointer[Metrics]
	publishTimer timer
}

func (m *metricsPublisher) init(classes int) {
	m.counts = Metrics{OK: make([]uint64, classes), Shed: make([]uint64, classes),
		Errors: make([]uint64, classes), Tries: make([]uint64, classes)}
	m.publish(0)
}

func (m *metricsPublisher) publish(active int) {
	snapshot := m.counts
	snapshot.Active = active
	snapshot.OK, snapshot.Shed = append([]uint64(nil), snapshot.OK...), append([]uint64(nil), snapshot.Shed...)
	snapshot.Errors, snapshot.Tries = append([]uint64(nil), snapshot.Errors...), append([]uint64(nil),
		snapshot.Tries...)
	m.published.Store(&snapshot)
}

// Metrics returns the last published copy, which is at most publishInterval older than the last change. It is safe
// for concurrent use.
func (c *Core) Metrics() *Metrics { return c.metrics.published.Load() }

// countAnswer counts a final answer of a class.
func (c *Core) countAnswer(class int, kind Kind) {
	if class < 0 || class >= len(c.metrics.counts.OK) {
		return
	}
	switch kind {
	case Served:
		c.metrics.counts.OK[class]++
	case Refused:
		c.metrics.counts.Shed[class]++
	default:
		c.metrics.counts.Errors[class]++
	}
	c.metricsChanged()
}

// setConfigured records the revision of the configuration in effect.
func (c *Core) setConfigured(revision uint64) {
	c.metrics.counts.ConfigurationRevision = revision
	c.metricsChanged()
}

// metricsChanged schedules a publication of the metrics within publishInterval.
func (c *Core) metricsChanged() {
	if c.metrics.publishTimer.heapPosition == 0 {
		c.timers.set(&c.metrics.publishTimer, c.now+publishInterval)
	}
}

// publishMetrics publishes a copy of the metrics.
func (c *Core) publishMetrics() {
	c.metrics.counts.Serving = c.controller != nil && !c.draining && !c.done
	if c.controller != nil {
		c.metrics.counts.WarmAt = c.start.Add(c.poolWarm)
	}
	if c.keyedUntil > 0 {
		c.metrics.counts.KeyedUntil = c.start.Add(c.keyedUntil)
	}
	c.metrics.counts.Retained = Retained{Connections: len(c.sessions), Timers: len(c.timers.list),
		OpenBytes: c.openBytes, PendingResults: len(c.pendingResults), Keys: len(c.keys.entries), KeyBytes: c.keys.bytes}
	c.metrics.counts.Calls, c.metrics.counts.Waiting = 0, 0
	for _, r := range c.byID {
		switch r.state {
		case stateCalling:
			c.metrics.counts.Calls++
		case stateBlocked:
			c.metrics.counts.Waiting++
		}
	}
	c.metrics.publish(len(c.byHandle))
}
