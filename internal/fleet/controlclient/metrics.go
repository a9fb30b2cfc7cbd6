package controlclient

import (
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
)

// metrics are what the admin endpoint tells of the session.
type metrics struct {
	state    session.State
	node     int // place among the nodes of the file, from 1; 0 = none
	revision uint64
	applied  uint64
	until    time.Duration // when the lease ends
	token    uint64
	phase    maintenance.Phase
}

// publish has Metrics tell how things stand.
func (c *Client) publish(now time.Duration) {
	m := &metrics{state: c.client.State(), node: slices.Index(c.names, c.client.Node()) + 1, revision: c.client.View().Revision(),
		applied: c.server.Applied(), until: c.client.LeaseEnd(), token: c.client.FencingToken()}
	if standing, ok := c.client.ServerState(); ok {
		m.phase = standing.Box.Phase
	}
	c.metrics.Store(m)
}

// Metrics returns the lines of the admin endpoint. It is safe from any goroutine.
func (c *Client) Metrics() []byte {
	m, now := c.metrics.Load(), boottime.Now()
	left := max(0, m.until-now)
	known := 0
	if m.state == session.Open && left > 0 { // somebody leads: the lease was renewed
		known = 1
	}
	out := fmt.Appendf(nil, "fleet.session=%d\nfleet.node=%d\nfleet.known=%d\nfleet.revision=%d\nfleet.applied=%d\nfleet.life=%d\nfleet.lease_ms=%d\nfleet.phase=%d\n",
		m.state, m.node, known, m.revision, m.applied, m.token, left.Milliseconds(), m.phase)
	return append(out, c.dialer.Meter.Metrics()...)
}
