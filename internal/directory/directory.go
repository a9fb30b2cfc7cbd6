// Package directory reports to the directory where balancers learn of this server.
package directory

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"larchscale/internal/sock"
)

const (
	dialTimeout  = 300 * time.Millisecond
	replyTimeout = 250 * time.Millisecond
	maxReply     = 4 << 10
	tellAfter    = 3 // reports without an answer in a row: one may be missing
)

// Client sends reports, the newest first if it falls behind.
type Client struct {
	name  string
	log   *slog.Logger
	next  chan bool   // the newest report that is not sent
	moved chan string // the newest address
	addr  string
	conn  net.Conn
	in    *bufio.Reader
}

// New makes a client; an empty addr is a server that is listed nowhere.
func New(addr, name string, log *slog.Logger) *Client {
	return &Client{addr: addr, name: name, log: log, next: make(chan bool, 1), moved: make(chan string, 1)}
}

// Move has all further reports sent to another address. It is called from one goroutine and never waits.
func (c *Client) Move(addr string) {
	select {
	case <-c.moved:
	default:
	}
	c.moved <- addr
}

// Report takes a report. It is called from one goroutine and never waits.
func (c *Client) Report(open bool) {
	select {
	case <-c.next:
	default:
	}
	c.next <- open
}

// Run sends reports until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.hangUp()
	wrong, known, open := 0, false, false // known = there is a report to send again to a new directory
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-c.moved:
			c.hangUp()
			if c.addr = addr; !known {
				continue
			}
		case open = <-c.next:
			known = true
		}
		if c.addr == "" {
			continue
		}
		fresh := c.conn == nil
		err := c.put(open)
		if err != nil && !fresh && !errors.Is(err, os.ErrDeadlineExceeded) {
			err = c.put(open) // a connection kept open may have been closed meanwhile
		}
		if wrong++; err == nil {
			wrong = 0
		}
		if wrong == tellAfter {
			c.log.Warn("link down", "to", "directory", "err", err)
		}
	}
}

func (c *Client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// put makes one report. One that came whole may count without an answer, and the next follows soon: guards
// against waiting for an answer that never comes while the entry lapses or a change stands behind it.
func (c *Client) put(open bool) (err error) {
	defer func() {
		if err != nil {
			c.hangUp()
		}
	}()
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.addr, dialTimeout); err != nil {
			c.conn = nil
			return err
		}
		c.in = bufio.NewReader(c.conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	body := `{"mode":"closed"}`
	if open {
		body = `{"mode":"open"}`
	}
	head := "PUT /dir/nodes/" + c.name + " HTTP/1.1\r\nHost: " + c.addr +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	out := net.Buffers{[]byte(head), []byte(body)}
	if _, err := out.WriteTo(c.conn); err != nil {
		return err
	}
	status, keep, err := readReply(c.in)
	if err != nil {
		return err
	}
	if !keep {
		c.hangUp()
	}
	if status != 204 {
		return fmt.Errorf("report answered %d", status)
	}
	return nil
}

var errReply = errors.New("malformed reply")

// readReply reads one HTTP/1.1 reply and drops its body; keep = the connection may be used again.
func readReply(in *bufio.Reader) (status int, keep bool, err error) {
	line, err := sock.Line(in)
	if err != nil {
		return 0, false, err
	}
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return 0, false, fmt.Errorf("%w: %q", errReply, line)
	}
	if status, err = strconv.Atoi(string(line[9:12])); err != nil {
		return 0, false, fmt.Errorf("%w: %q", errReply, line)
	}
	keep, size := line[7] == '1', 0
	for {
		line, err := sock.Line(in)
		if err != nil {
			return 0, false, err
		}
		if len(line) == 0 {
			break
		}
		name, value, _ := strings.Cut(string(line), ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if size, err = strconv.Atoi(value); err != nil || size < 0 || size > maxReply {
				return 0, false, fmt.Errorf("%w: length %q", errReply, value)
			}
		case "connection":
			keep = !strings.EqualFold(value, "close")
		case "transfer-encoding":
			keep = false // its body is not read
		}
	}
	_, err = in.Discard(size)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return status, keep, err
}
