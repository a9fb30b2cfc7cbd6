package controlclient

import (
	"net"
	"time"

	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/watch"
)

// Lease is a server's lease as its process knows it.
type Lease struct {
	Token uint64        // fencing token; 0 = none is agreed
	Until time.Duration // by package boottime; 0 = it was never granted
}

// Observer sees what becomes of a session, for measurements. A function that is nil sees nothing; none may block. All but
// Conn are called by one goroutine.
type Observer struct {
	// Conn wraps each connection, below TLS.
	Conn func(net.Conn) net.Conn
	// Event is told of what the log is told of.
	Event func(event session.Event, lease Lease)
	// Changed is told of each batch that the view took: its revision, and what it changed, in order.
	Changed func(revision uint64, snapshot bool, changed []watch.Update)
}

// Observe has the client observed. It is called before Run.
func (c *Client) Observe(o Observer) {
	c.observer = o
	c.dialer.Wrap = o.Conn
}
