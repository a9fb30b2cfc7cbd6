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
	"strconv"
	"sync"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/sock"
)

const (
	dialTimeout = time.Second
	maxReply    = 64 << 10
	stale       = 8 * time.Second // the index closes what stands idle for 10 s: a call must not cross that
)

// Client holds one connection, made when a call needs it and shared by all calls.
type Client struct {
	addr string
	sink func(core.Event)
	log  *slog.Logger

	mu      sync.Mutex
	box     *sock.Box // nil = none
	dialing bool
	calls   map[string][]byte // those in hand; what is still to be sent while there is no connection
	used    time.Time
}

// New makes a client that tells sink how calls end.
func New(addr string, sink func(core.Event), log *slog.Logger) *Client {
	return &Client{addr: addr, sink: sink, log: log, calls: map[string][]byte{}}
}

// Call makes a call. The class is not told here: the body says it all.
func (c *Client) Call(handle, _ string, patience time.Duration, body []byte) {
	ms := max(1, patience.Milliseconds())
	line := fmt.Appendf(make([]byte, 0, len(body)+64), "GET %s %d %d\r\n", handle, ms, len(body))
	line = append(append(line, body...), '\r', '\n')
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.box != nil && len(c.calls) == 0 && time.Since(c.used) > stale {
		c.box.Kill()
		c.box = nil
	}
	c.used = time.Now()
	if c.box != nil {
		c.calls[handle] = nil
		c.box.Send(line)
		return
	}
	c.calls[handle] = line
	if !c.dialing {
		c.dialing = true
		go c.connect()
	}
}

// Abandon gives a call up.
func (c *Client) Abandon(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, ok := c.calls[handle]
	if !ok {
		return
	}
	delete(c.calls, handle)
	if c.box != nil && waiting == nil {
		c.box.Send([]byte("STOP " + handle + "\r\n"))
	}
}

// connect is the life of one connection.
func (c *Client) connect() {
	conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	c.mu.Lock()
	c.dialing = false
	if err != nil { // nothing was sent: no call ran
		lost := c.lose(nil)
		c.mu.Unlock()
		c.log.Warn("link down", "to", "index", "calls", len(lost), "err", err)
		c.tell(lost, control.Unreachable)
		return
	}
	box := sock.NewBox(conn)
	c.box = box
	for handle, line := range c.calls {
		box.Send(line)
		c.calls[handle] = nil
	}
	c.mu.Unlock()
	err = c.read(bufio.NewReader(conn))
	box.Kill()
	c.mu.Lock()
	lost := c.lose(box)
	c.mu.Unlock()
	if len(lost) > 0 || !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.log.Warn("link down", "to", "index", "calls", len(lost), "err", err)
	}
	c.tell(lost, control.Broken)
}

// lose takes the calls off a connection that is gone; one that was replaced has none.
func (c *Client) lose(box *sock.Box) []string {
	if c.box != box {
		return nil
	}
	c.box = nil
	lost := make([]string, 0, len(c.calls))
	for handle := range c.calls {
		lost = append(lost, handle)
	}
	clear(c.calls)
	return lost
}

func (c *Client) tell(handles []string, how control.Outcome) {
	for _, h := range handles {
		c.sink(core.CallEnded{Handle: h, Outcome: how})
	}
}

var errReply = errors.New("malformed reply")

// read takes replies until the connection ends.
func (c *Client) read(in *bufio.Reader) error {
	for {
		e, err := readReply(in)
		if err != nil {
			return err
		}
		c.mu.Lock()
		_, mine := c.calls[e.Handle]
		delete(c.calls, e.Handle)
		c.used = time.Now()
		c.mu.Unlock()
		if mine {
			c.sink(e)
		}
	}
}

// readReply reads one reply. NOBODY is Moot: the run is over, and its own end follows.
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
