package main

import (
	"fmt"
	"sync/atomic"

	"larchscale/internal/fleet/stream"
	"larchscale/internal/link"
)

// linkMeter counts what passes between control nodes, and to operators. Safe for concurrent use.
type linkMeter struct {
	bytes    stream.Meter
	requests atomic.Uint64 // that this node made of others
}

func (m *linkMeter) observer() link.Observer {
	return link.Observer{Conn: m.bytes.Conn, Request: func(string) { m.requests.Add(1) }}
}

// metrics returns the counts as lines of the admin endpoint.
func (m *linkMeter) metrics() []byte {
	return fmt.Appendf(nil, "fleet.link_bytes_in=%d\nfleet.link_bytes_out=%d\nfleet.link_requests=%d\n", m.bytes.In(), m.bytes.Out(), m.requests.Load())
}
