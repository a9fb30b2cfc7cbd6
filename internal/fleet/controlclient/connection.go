package controlclient

import (
	"context"
	"errors"

	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
)

// sendQueue is how many messages may wait to be written: four seconds of heartbeats. A session whose node takes less is
// given up.
const sendQueue = 8

// connection is one attempt at a session, and the session that comes of it. The loop owns it; what comes of it goes to the
// loop as an event.
type connection struct {
	attempt uint64
	out     chan *session.FromServer
	cancel  context.CancelFunc
}

// event is what a connection brings to the loop.
type event struct {
	attempt   uint64
	connected bool
	message   *session.FromNode
	lost      error
}

// connect begins an attempt.
func (c *Client) connect(ctx context.Context, attempt uint64, node string) {
	ctx, cancel := context.WithCancel(ctx)
	conn := &connection{attempt: attempt, out: make(chan *session.FromServer, sendQueue), cancel: cancel}
	c.close(c.connection)
	c.connection = conn
	c.running.Go(func() { c.carry(ctx, conn, node) })
}

// carry makes a connection and reads it until it ends.
func (c *Client) carry(ctx context.Context, conn *connection, node string) {
	defer conn.cancel()
	made, err := c.dialer.Dial(ctx, node, c.addrs[node])
	if err != nil {
		c.emit(ctx, event{attempt: conn.attempt, lost: err})
		return
	}
	defer made.Close()
	defer context.AfterFunc(ctx, made.Close)()
	c.running.Go(func() { conn.write(ctx, made) })
	if !c.emit(ctx, event{attempt: conn.attempt, connected: true}) {
		return
	}
	for {
		message, err := made.Receive()
		if err != nil {
			c.emit(ctx, event{attempt: conn.attempt, lost: err})
			return
		}
		if !c.emit(ctx, event{attempt: conn.attempt, message: message}) {
			return
		}
	}
}

// write sends what the loop gives. A failure ends the connection, which its reader finds.
func (c *connection) write(ctx context.Context, made *stream.Conn) {
	for {
		select {
		case message := <-c.out:
			if made.Send(message) != nil {
				made.Close()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// emit brings an event to the loop; false = the connection is not wanted any longer.
func (c *Client) emit(ctx context.Context, e event) bool {
	select {
	case c.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// errQueueFull is a node that takes nothing.
var errQueueFull = errors.New("the node takes nothing")

// send gives a message to the connection of an attempt.
func (c *Client) send(attempt uint64, message *session.FromServer) error {
	if c.connection == nil || c.connection.attempt != attempt {
		return nil // it is over: its end was told
	}
	select {
	case c.connection.out <- message:
		return nil
	default:
		return errQueueFull
	}
}

// close ends a connection; nil = there is none.
func (c *Client) close(conn *connection) {
	if conn != nil {
		conn.cancel()
	}
}
