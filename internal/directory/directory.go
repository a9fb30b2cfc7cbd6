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
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"larchscale/internal/sock"
)

const (
	dialTimeout  = 300 * time.Millisecond
	replyTimeout = 250 * time.Millisecond
	maxReply     = 4 << 10
	maxPatient   = 2 // so many times replyTimeout is added to the wait for an answer while none comes in time
	// failed reports in a row, with over half a second between the first and the last of them: the directory is away
	tellAfter = 6
)

// Client reports the newest state that it was given, again and again until an answer says that it counted. What it is
// told crosses reports that are on their way: a report is never of a state that was given up before its first byte was
// written. Its methods never wait, and may be called from any goroutine.
type Client struct {
	name        string
	log         *slog.Logger
	dial, reply time.Duration // bounds of a dial, and of a report from its first byte to the last of its answer; see patient
	wake        chan struct{} // there is something to report

	mu   sync.Mutex
	addr string
	body string             // what to report; "" = nothing
	cut  context.CancelFunc // ends the report in hand

	conn    net.Conn // Run's alone, as all below; nil = none
	in      *bufio.Reader
	at      string // the address that conn goes to
	patient int    // so many times reply is added to the wait for an answer
}

// New makes a client; an empty addr is a server that is listed nowhere.
func New(addr, name string, log *slog.Logger) *Client {
	return &Client{addr: addr, name: name, log: log, dial: dialTimeout, reply: replyTimeout, wake: make(chan struct{}, 1), cut: func() {}}
}

// Move has all further reports sent to another address, beginning with the newest state at once.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr == addr {
		return
	}
	c.addr = addr
	c.cut()
	c.due()
}

// Report takes the newest state: whether this server takes work. It is reported also if it is as before.
func (c *Client) Report(open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.body
	c.body = `{"mode":"closed"}`
	if open {
		c.body = `{"mode":"open"}`
	}
	if c.body != was { // what is in hand is answered soon, in order, or given up
		time.AfterFunc(c.reply, c.cut)
	}
	c.due()
}

// Silence ends all reports until the next call of Report. Guards against an old process that speaks for its successor:
// both report under one name.
func (c *Client) Silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = ""
	c.cut()
}

func (c *Client) due() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until ctx ends. One that failed is tried again by itself, with a growing wait between tries that
// each new report cuts short.
func (c *Client) Run(ctx context.Context) {
	defer c.hangUp(false)
	var (
		wait  sock.Backoff
		retry <-chan time.Time
		wrong int
	)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-retry:
		}
		retry = nil
		err := c.put(ctx)
		if err == nil || errors.Is(err, errCut) {
			wait.Reset()
			wrong, c.patient = 0, 0
			continue
		}
		// Guards against a slow directory that drops what nobody waits for: it would never hear this server.
		if c.patient < maxPatient && errors.Is(err, os.ErrDeadlineExceeded) {
			c.patient++
		}
		retry = time.After(wait.Next())
		if wrong++; wrong == tellAfter {
			c.log.Warn("link down", "to", "directory", "err", err)
		}
	}
}

// hangUp ends the connection. With abort what was not acknowledged is taken back: guards against an old report that a
// network delivers after a newer one.
func (c *Client) hangUp(abort bool) {
	if c.conn == nil {
		return
	}
	if t, ok := c.conn.(*net.TCPConn); ok && abort {
		t.SetLinger(0)
	}
	c.conn.Close()
	c.conn = nil
}

var errCut = errors.New("given up for a newer state")

// put makes one report, on the connection that was kept if that is still good, else on a new one.
func (c *Client) put(ctx context.Context) (err error) {
	now, cut := context.WithCancel(ctx)
	defer cut()
	c.mu.Lock()
	addr, body := c.addr, c.body
	c.cut = cut
	c.mu.Unlock()
	if c.conn != nil && (c.at != addr || !idle(c.conn, c.in)) {
		c.hangUp(false)
	}
	if addr == "" || body == "" {
		return nil
	}
	kept := c.conn != nil
	if err = c.try(now, addr); err != nil && kept && !errors.Is(err, os.ErrDeadlineExceeded) && now.Err() == nil {
		err = c.try(now, addr) // the connection may have been closed just now
	}
	if err != nil && now.Err() != nil {
		return errCut
	}
	return err
}

// try makes one report of the state as it is once a connection is there. Its connection is kept only after a whole
// answer. One that came whole may count without an answer.
func (c *Client) try(now context.Context, addr string) (err error) {
	if c.conn == nil {
		d := net.Dialer{Timeout: c.dial}
		if c.conn, err = d.DialContext(now, "tcp", addr); err != nil {
			c.conn = nil
			return err
		}
		c.in, c.at = bufio.NewReader(c.conn), addr
	}
	conn := c.conn
	end := context.AfterFunc(now, func() { conn.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		if !end() || err != nil {
			c.hangUp(true)
		} else if !keep {
			c.hangUp(false)
		}
	}()
	if err := conn.SetDeadline(time.Now().Add(time.Duration(1+c.patient) * c.reply)); err != nil {
		return err
	}
	c.mu.Lock()
	body := c.body
	c.mu.Unlock()
	if now.Err() != nil { // also if it was cut before the deadline was set
		return now.Err()
	}
	head := "PUT /dir/nodes/" + c.name + " HTTP/1.1\r\nHost: " + addr +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		return err
	}
	status, keep, err := readReply(c.in)
	if err == nil && status != 204 {
		err = fmt.Errorf("report answered %d", status)
	}
	return err
}

// idle tells whether nothing has come on a connection that waits for its next report. Guards against a second answer
// to the last one that is taken for the answer to the next.
func idle(conn net.Conn, in *bufio.Reader) bool {
	s, ok := conn.(syscall.Conn)
	if !ok || in.Buffered() > 0 {
		return false
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return false
	}
	none := false
	err = rc.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		none = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && none
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
	if status == 204 { // it has no body, whatever length it tells
		return status, keep && size == 0, nil
	}
	_, err = in.Discard(size)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return status, keep, err
}
