package stream

import (
	"fmt"
	"net"
	"sync/atomic"

	"larchscale/internal/fleet/session"
)

// Meter counts the bytes of all connections at the socket, including those of TLS, and the messages by kind. It is
// safe for concurrent use.
type Meter struct {
	in, out  atomic.Uint64
	messages struct{ hellos, heartbeats, welcomes, refusals, acks, batches atomic.Uint64 }
}

// Messages are counts of messages by kind, in both directions.
type Messages struct{ Hellos, Heartbeats, Welcomes, Refusals, Acks, Batches uint64 }

// In returns the number of bytes received.
func (m *Meter) In() uint64 { return m.in.Load() }

// Out returns the number of bytes sent.
func (m *Meter) Out() uint64 { return m.out.Load() }

// Messages returns the number of messages received or sent.
func (m *Meter) Messages() Messages {
	counts := &m.messages
	return Messages{counts.hellos.Load(), counts.heartbeats.Load(), counts.welcomes.Load(), counts.refusals.Load(), counts.acks.Load(), counts.batches.Load()}
}

// Metrics returns the counts as lines of the admin endpoint.
func (m *Meter) Metrics() []byte {
	counts := m.Messages()
	return fmt.Appendf(nil, "fleet.session_bytes_in=%d\nfleet.session_bytes_out=%d\nfleet.session_hellos=%d\nfleet.session_heartbeats=%d\n"+
		"fleet.session_welcomes=%d\nfleet.session_refusals=%d\nfleet.session_acks=%d\nfleet.session_batches=%d\n",
		m.In(), m.Out(), counts.Hellos, counts.Heartbeats, counts.Welcomes, counts.Refusals, counts.Acks, counts.Batches)
}

// Conn wraps a connection so that its bytes are counted.
func (m *Meter) Conn(inner net.Conn) net.Conn { return meteredConn{inner, m} }

// fromServer counts a message of an app server.
func (m *Meter) fromServer(message *session.FromServer) {
	if m == nil {
		return
	}
	switch {
	case message.Hello != nil:
		m.messages.hellos.Add(1)
	case message.Heartbeat != nil:
		m.messages.heartbeats.Add(1)
	}
}

// fromNode counts a message of a control node.
func (m *Meter) fromNode(message *session.FromNode) {
	if m == nil {
		return
	}
	switch {
	case message.Welcome != nil:
		m.messages.welcomes.Add(1)
	case message.Refusal != nil:
		m.messages.refusals.Add(1)
	case message.Ack != nil:
		m.messages.acks.Add(1)
	case message.Batch != nil:
		m.messages.batches.Add(1)
	}
}

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(uint64(n))
	return n, err
}

// Write counts before it writes, so that all bytes which the peer has read are counted.
func (c meteredConn) Write(b []byte) (int, error) {
	c.meter.out.Add(uint64(len(b)))
	n, err := c.Conn.Write(b)
	if unsent := len(b) - n; unsent > 0 {
		c.meter.out.Add(^uint64(unsent - 1))
	}
	return n, err
}

// meteredListener counts the bytes of the connections that it accepts.
type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(conn), nil
}
