// Package index makes calls below through the index, a local proxy.
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
	dialTimeout = time.Second
	maxReply    = 16 << 10
	maxHead     = 512
	stale       = 4 * time.Second // what stands idle is closed by the index, sooner or later: it is not used then
	idleBreak   = 30 * time.Millisecond
	maxCarried  = 64 // calls that one connection carries
)

// Client makes each call on a connection that carries no other: one reply that is spoilt, or never comes,
// takes no other call with it. Connections are used again after a good reply.
type Client struct {
	sink  func(core.Event)
	log   *slog.Logger
	limit int // connections
	dial  net.Dialer

	mu    sync.Mutex
	addr  string
	open  int     // connections, also those being made
	idle  []*link // the last used is the last
	queue []*call // those that wait for a connection
	calls map[string]*call
}

// call is one call in hand.
type call struct {
	handle string
	number uint64
	line   []byte
	once   bool // it must not be made twice
	fresh  bool // it needs a new connection
	link   *link
	sent   time.Time
}

// link is one connection.
type link struct {
	outbound *sock.WriteQueue
	call     *call
	again    bool            // it stood idle before its call
	heard    bool            // something came since its call was made
	carried  map[string]bool // handles of its calls: a second copy of a reply must not pass for a later one's
	used     time.Time
}

// New makes a client of up to limit connections that tells sink how calls end.
func New(addr string, limit int, sink func(core.Event), log *slog.Logger) *Client {
	return &Client{addr: addr, limit: limit, dial: net.Dialer{Timeout: dialTimeout}, sink: sink, log: log, calls: map[string]*call{}}
}

// Move makes all further calls at another address. Those in hand may still end where they are.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr == addr {
		return
	}
	c.addr = addr
	for _, l := range c.idle {
		l.outbound.Kill()
	}
	c.idle = nil
}

// Call makes a call. Class and subject are not told here: the body says it all.
func (c *Client) Call(handle string, number uint64, _ string, _ uint64, patience time.Duration, once bool, body []byte) {
	ms := max(1, patience.Milliseconds())
	line := fmt.Appendf(make([]byte, 0, len(body)+64), "GET %s %d %d\r\n", handle, ms, len(body))
	x := &call{handle: handle, number: number, line: append(append(line, body...), '\r', '\n'), once: once, fresh: once}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp(handle)
	c.calls[handle] = x
	c.place(x)
}

// place finds a connection for a call: one that stands idle, a new one, or the next that is free. A call
// that must not be made twice gets a new one: a reset of an idle connection would leave open whether it ran.
func (c *Client) place(x *call) {
	for i := len(c.idle) - 1; i >= 0 && !x.fresh; i-- {
		l := c.idle[i]
		if time.Since(l.used) > stale || len(l.carried) >= maxCarried {
			c.unlist(l)
			l.outbound.Kill()
		} else if !l.carried[x.handle] {
			c.unlist(l)
			if c.send(l, x, true) {
				return
			}
			x.link = nil
		}
	}
	if c.open < c.limit {
		c.open++
		go c.connect(x)
		return
	}
	c.queue = append(c.queue, x)
	if len(c.idle) > 0 { // its end makes room for a new one
		c.idle[0].outbound.Kill()
		c.idle = c.idle[1:]
	}
}

func (c *Client) unlist(l *link) {
	if i := slices.Index(c.idle, l); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
	}
}

// send puts a call on a connection; false = it is dead, and nothing of the call left.
func (c *Client) send(l *link, x *call, again bool) bool {
	x.link, x.sent = l, time.Now()
	l.call, l.again, l.heard = x, again, false
	l.carried[x.handle] = true
	return l.outbound.Send(x.line)
}

// Abandon gives a call up. Its connection goes with it: a reply that never came may still come.
func (c *Client) Abandon(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp(handle)
}

func (c *Client) giveUp(handle string) {
	x := c.calls[handle]
	if x == nil {
		return
	}
	delete(c.calls, handle)
	if i := slices.Index(c.queue, x); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	if l := x.link; l != nil {
		l.call = nil
		l.outbound.Send([]byte("STOP " + handle + "\r\n"))
		l.outbound.Close()
	}
}

// reach dials the address that is the client's when the dial ends: one that was left meanwhile is not used, whether it
// took the connection or not. Each dial takes up to dialTimeout. c.mu is held before and after, not during a dial.
func (c *Client) reach() (conn net.Conn, addr string, err error) {
	for {
		addr = c.addr
		c.mu.Unlock()
		conn, err = c.dial.Dial("tcp", addr)
		c.mu.Lock()
		if c.addr == addr {
			return conn, addr, err
		}
		if err == nil {
			conn.Close()
		}
	}
}

// connect is the life of one connection, made for one call.
func (c *Client) connect(x *call) {
	c.mu.Lock()
	conn, addr, err := c.reach()
	if err != nil { // nothing was sent: the call never ran
		c.mu.Unlock()
		c.log.Warn("link down", "to", "index", "err", err)
		c.done(nil, x, control.Unreachable)
		return
	}
	l := &link{outbound: sock.NewWriteQueue(conn), carried: map[string]bool{}}
	if c.calls[x.handle] == x {
		c.send(l, x, false)
	} else {
		c.rest(l, addr)
	}
	c.mu.Unlock()
	err = c.read(l, bufio.NewReaderSize(conn, maxHead), addr)
	c.mu.Lock()
	c.unlist(l) // from here on no call comes on it
	x = l.call
	c.mu.Unlock()
	l.outbound.Kill() // before its place is given back
	if x != nil || !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.log.Warn("link down", "to", "index", "err", err)
	}
	c.done(l, x, control.Broken)
}

// done is the end of a connection, or of the try to make one, with the call that was on it.
func (c *Client) done(l *link, x *call, how control.Outcome) {
	c.mu.Lock()
	c.open--
	var lost *call
	if x != nil && c.calls[x.handle] == x && x.link == l {
		if l != nil && l.again && !l.heard && !x.once && time.Since(x.sent) < idleBreak {
			x.link, x.fresh = nil, true // it had been forgotten: the call is made again
			c.log.Info("call repeated", "id", x.handle, "why", "an idle connection had ended")
			c.place(x)
		} else {
			delete(c.calls, x.handle)
			lost = x
		}
	}
	if len(c.queue) > 0 && c.open < c.limit {
		next := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		c.place(next)
	}
	c.mu.Unlock()
	if lost != nil {
		c.sink(core.CallEnded{Handle: lost.handle, Number: lost.number, Outcome: how})
	}
}

// rest has a connection wait for its next call, which may stand in the queue.
func (c *Client) rest(l *link, addr string) {
	l.call, l.used = nil, time.Now()
	if addr != c.addr || len(c.queue) > 0 && c.queue[0].fresh {
		l.outbound.Kill()
		return
	}
	c.idle = append(c.idle, l)
	if len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		c.place(next)
	}
}

var errReply = errors.New("malformed reply")

// read takes replies until the connection ends. One that belongs to no call in hand is passed over.
func (c *Client) read(l *link, in *bufio.Reader, addr string) error {
	for {
		e, err := readReply(in)
		if err != nil {
			return err
		}
		c.mu.Lock()
		l.heard = true
		x := l.call
		mine := x != nil && x.handle == e.Handle
		if mine { // the reply is to the call that this connection carries, whatever calls of its handle there are
			e.Number = x.number
			delete(c.calls, e.Handle)
			c.rest(l, addr)
		}
		c.mu.Unlock()
		if mine {
			c.sink(e)
		}
	}
}

// readReply reads one reply, which names no number. NOBODY is Moot: the run is over, and its own end follows.
func readReply(in *bufio.Reader) (e core.CallEnded, err error) {
	line, err := sock.Line(in)
	if err != nil {
		return e, err
	}
	handle, rest, _ := bytes.Cut(line, []byte(" "))
	word, size, _ := bytes.Cut(rest, []byte(" "))
	e.Handle = string(handle)
	switch string(word) {
	case "HIT":
		n, err := strconv.ParseUint(string(size), 10, 32)
		if err != nil || n > maxReply {
			return e, fmt.Errorf("%w: length %q", errReply, size)
		}
		e.Outcome, e.Body = control.OK, make([]byte, n+2)
		if _, err := io.ReadFull(in, e.Body); err != nil {
			return e, err
		}
		if e.Body = bytes.TrimSuffix(e.Body, []byte("\r\n")); uint64(len(e.Body)) != n {
			return e, fmt.Errorf("%w: no line end after the body", errReply)
		}
	case "SHED":
		e.Outcome = control.Rejected
	case "BROKEN":
		e.Outcome = control.Errored
	case "SLOW":
		e.Outcome = control.TimedOut
	case "NOBODY":
		e.Outcome = control.Moot
	default:
		return e, fmt.Errorf("%w: %q", errReply, word)
	}
	return e, nil
}
