// Package index makes downstream calls through the index, a proxy on the local machine.
package index

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/sock"
)

const (
	dialTimeout   = time.Second
	maxReplyBytes = 16 << 10
	maxHeadBytes  = 512
	maxIdleTime   = 4 * time.Second // the index closes idle connections after a while: an older one is not reused
	// A reused connection that breaks this soon after a send counts as closed by the index before the send.
	idleResetWindow = 30 * time.Millisecond
	maxCallsPerConn = 64 // calls made on one connection before it is closed
)

// Client makes each call on a connection that carries no other call at the same time, so a malformed or missing reply
// affects no other call. Connections are reused after a valid reply.
type Client struct {
	sink     func(core.Event)
	log      *slog.Logger
	maxConns int // maximum number of connections
	dialer   net.Dialer

	mu        sync.Mutex
	addr      string
	openConns int            // connections, including those being dialed
	idleConns []*connection  // ordered by last use, the most recent last
	waiting   []*pendingCall // calls waiting for a connection
	inFlight  map[string]*pendingCall
}

// pendingCall is an in-flight call.
type pendingCall struct {
	handle       string
	number       uint64
	line         []byte
	once         bool // the call must not be sent twice
	needsNewConn bool // the call needs a new connection
	link         *connection
	sent         time.Time
}

// connection is one connection to the index.
type connection struct {
	outbound *sock.WriteQueue
	call     *pendingCall
	reused   bool // it was idle before the current call
	received bool // something was received since the current call was sent
	// handles contains the handles of its calls: a duplicate reply must not be taken for the reply to a later call of
	// the same handle.
	handles  map[string]bool
	lastUsed time.Time
}

// New returns a client that opens at most maxConns connections and reports the outcome of each call to sink.
func New(addr string, maxConns int, sink func(core.Event), log *slog.Logger) *Client {
	return &Client{addr: addr, maxConns: maxConns, dialer: net.Dialer{Timeout: dialTimeout}, sink: sink, log: log, inFlight: map[string]*pendingCall{}}
}

// Move sends all further calls to another address. In-flight calls may still complete at the old one.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr == addr {
		return
	}
	c.addr = addr
	for _, conn := range c.idleConns {
		conn.outbound.Kill()
	}
	c.idleConns = nil
}

// Call makes a call. The class and the subject are not sent, because the body contains everything.
func (c *Client) Call(handle string, number uint64, _ string, _ uint64, patience time.Duration, once bool, body []byte) {
	ms := max(1, patience.Milliseconds())
	line := fmt.Appendf(make([]byte, 0, len(body)+64), "GET %s %d %d\r\n", handle, ms, len(body))
	pending := &pendingCall{handle: handle, number: number, line: append(append(line, body...), '\r', '\n'), once: once, needsNewConn: once}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandon(handle)
	c.inFlight[handle] = pending
	c.assign(pending)
}

// assign assigns a call to an idle connection, a new one, or the next one that becomes free. A call that must not be
// sent twice gets a new connection, because the reset of an idle one would not show whether the call ran.
func (c *Client) assign(pending *pendingCall) {
	for i := len(c.idleConns) - 1; i >= 0 && !pending.needsNewConn; i-- {
		conn := c.idleConns[i]
		if time.Since(conn.lastUsed) > maxIdleTime || len(conn.handles) >= maxCallsPerConn {
			c.removeIdle(conn)
			conn.outbound.Kill()
		} else if !conn.handles[pending.handle] {
			c.removeIdle(conn)
			if c.sendOn(conn, pending, true) {
				return
			}
			pending.link = nil
		}
	}
	if c.openConns < c.maxConns {
		c.openConns++
		go c.serveConnection(pending)
		return
	}
	c.waiting = append(c.waiting, pending)
	if len(c.idleConns) > 0 { // closing it makes room for a new connection
		c.idleConns[0].outbound.Kill()
		c.idleConns = slices.Delete(c.idleConns, 0, 1)
	}
}

func (c *Client) removeIdle(conn *connection) {
	if i := slices.Index(c.idleConns, conn); i >= 0 {
		c.idleConns = slices.Delete(c.idleConns, i, i+1)
	}
}

// sendOn sends a call on a connection. It returns false if the connection is closed; no byte of the call was sent then.
func (c *Client) sendOn(conn *connection, pending *pendingCall, again bool) bool {
	pending.link, pending.sent = conn, time.Now()
	conn.call, conn.reused, conn.received = pending, again, false
	conn.handles[pending.handle] = true
	return conn.outbound.Send(pending.line)
}

// Abandon gives up a call. Its connection is closed, because the missing reply may still arrive on it.
func (c *Client) Abandon(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandon(handle)
}

func (c *Client) abandon(handle string) {
	pending := c.inFlight[handle]
	if pending == nil {
		return
	}
	delete(c.inFlight, handle)
	if i := slices.Index(c.waiting, pending); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
	if conn := pending.link; conn != nil {
		conn.call = nil
		conn.outbound.Send([]byte("STOP " + handle + "\r\n"))
		conn.outbound.Close()
	}
}

// dialCurrentAddr dials the client's address, and dials again if the address changed meanwhile: a connection to the
// old address is closed unused. Each attempt takes up to dialTimeout. c.mu must be held by the caller; it is released
// during a dial.
func (c *Client) dialCurrentAddr() (conn net.Conn, addr string, err error) {
	for {
		addr = c.addr
		c.mu.Unlock()
		conn, err = c.dialer.Dial("tcp", addr)
		c.mu.Lock()
		if c.addr == addr {
			return conn, addr, err
		}
		if err == nil {
			conn.Close()
		}
	}
}

// serveConnection dials a connection for one call and serves it until it ends.
func (c *Client) serveConnection(pending *pendingCall) {
	c.mu.Lock()
	conn, addr, err := c.dialCurrentAddr()
	if err != nil { // nothing was sent, so the call did not run
		c.mu.Unlock()
		c.log.Warn("link down", "to", "index", "err", err)
		c.connectionEnded(nil, pending, control.Unreachable)
		return
	}
	tracked := &connection{outbound: sock.NewWriteQueue(conn), handles: map[string]bool{}}
	if c.inFlight[pending.handle] == pending {
		c.sendOn(tracked, pending, false)
	} else {
		c.makeIdle(tracked, addr)
	}
	c.mu.Unlock()
	err = c.readReplies(tracked, bufio.NewReaderSize(conn, maxHeadBytes), addr)
	c.mu.Lock()
	c.removeIdle(tracked) // no call is assigned to it from here on
	pending = tracked.call
	c.mu.Unlock()
	tracked.outbound.Kill() // closed before another connection may take its slot
	if pending != nil || !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.log.Warn("link down", "to", "index", "err", err)
	}
	c.connectionEnded(tracked, pending, control.Interrupted)
}

// connectionEnded handles the end of a connection, or of the attempt to open one, and of the call that it carried.
func (c *Client) connectionEnded(conn *connection, pending *pendingCall, outcome control.Outcome) {
	c.mu.Lock()
	c.openConns--
	var failed *pendingCall
	if pending != nil && c.inFlight[pending.handle] == pending && pending.link == conn {
		if conn != nil && conn.reused && !conn.received && !pending.once && time.Since(pending.sent) < idleResetWindow {
			pending.link, pending.needsNewConn = nil, true // the index had closed the idle connection: the call is sent again
			c.log.Info("call repeated", "id", pending.handle, "why", "an idle connection had ended")
			c.assign(pending)
		} else {
			delete(c.inFlight, pending.handle)
			failed = pending
		}
	}
	if len(c.waiting) > 0 && c.openConns < c.maxConns {
		next := c.waiting[0]
		c.waiting = slices.Delete(c.waiting, 0, 1)
		c.assign(next)
	}
	c.mu.Unlock()
	if failed != nil {
		c.sink(core.CallEnded{Handle: failed.handle, Number: failed.number, Outcome: outcome})
	}
}

// makeIdle makes a connection available for the next call, which may already be waiting.
func (c *Client) makeIdle(conn *connection, addr string) {
	conn.call, conn.lastUsed = nil, time.Now()
	if addr != c.addr || len(c.waiting) > 0 && c.waiting[0].needsNewConn {
		conn.outbound.Kill()
		return
	}
	c.idleConns = append(c.idleConns, conn)
	if len(c.waiting) > 0 {
		next := c.waiting[0]
		c.waiting = slices.Delete(c.waiting, 0, 1)
		c.assign(next)
	}
}

var errMalformedReply = errors.New("malformed reply")

// readReplies processes replies until the connection ends. A reply that does not match the in-flight call is ignored.
func (c *Client) readReplies(conn *connection, in *bufio.Reader, addr string) error {
	for {
		reply, err := readReply(in)
		if err != nil {
			return err
		}
		c.mu.Lock()
		conn.received = true
		pending := conn.call
		mine := pending != nil && pending.handle == reply.Handle
		if mine { // the reply belongs to the call on this connection, even if its handle has newer calls
			reply.Number = pending.number
			delete(c.inFlight, reply.Handle)
			c.makeIdle(conn, addr)
		}
		c.mu.Unlock()
		if mine {
			c.sink(reply)
		}
	}
}

// readReply reads one reply, which does not contain the call's number. NOBODY maps to Moot: the run is over and its
// own end follows.
func readReply(in *bufio.Reader) (reply core.CallEnded, err error) {
	line, err := sock.ReadLine(in)
	if err != nil {
		return reply, err
	}
	handle, rest, _ := bytes.Cut(line, []byte(" "))
	word, size, _ := bytes.Cut(rest, []byte(" "))
	reply.Handle = string(handle)
	switch string(word) {
	case "HIT":
		length, err := strconv.ParseUint(string(size), 10, 32)
		if err != nil || length > maxReplyBytes {
			return reply, fmt.Errorf("%w: length %q", errMalformedReply, size)
		}
		reply.Outcome, reply.Body = control.OK, make([]byte, length+2)
		if _, err := io.ReadFull(in, reply.Body); err != nil {
			return reply, err
		}
		if reply.Body = bytes.TrimSuffix(reply.Body, []byte("\r\n")); uint64(len(reply.Body)) != length {
			return reply, fmt.Errorf("%w: no line end after the body", errMalformedReply)
		}
	case "SHED":
		reply.Outcome = control.Rejected
	case "BROKEN":
		reply.Outcome = control.Errored
	case "SLOW":
		reply.Outcome = control.TimedOut
	case "NOBODY":
		reply.Outcome = control.NotStarted
	default:
		return reply, fmt.Errorf("%w: %q", errMalformedReply, word)
	}
	return reply, nil
}
