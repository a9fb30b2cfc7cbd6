// Package directory reports this server's state to the directory, from which balancers learn of it.
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
	dialTimeout        = 300 * time.Millisecond
	replyTimeout       = 250 * time.Millisecond
	maxReplyBytes      = 4 << 10
	maxReplyExtensions = 2 // limit of the extensions by replyTimeout of the wait for a late answer
	// warnAfterFailures is the number of failed reports in a row after which a warning is logged; over half a second
	// lies between the first and the last of them.
	warnAfterFailures = 6
)

// Client reports the newest state that it was given until an answer confirms it. A new state may be set while a
// report is on its way, but a report never contains a state that was replaced before the report's first byte was
// written. Methods other than Run never block and may be called from any goroutine.
type Client struct {
	name string
	log  *slog.Logger
	// Limits of a dial, and of a report from its first byte to the end of its answer; replyExtensions extends the
	// latter.
	dialLimit, replyLimit time.Duration
	wake                  chan struct{} // signals that there is something to report

	mu           sync.Mutex
	addr         string
	body         string             // body of the report; empty = nothing to report
	cancelReport context.CancelFunc // cancels the report in flight

	conn            net.Conn // used by Run only, like the fields below; nil = no connection
	reader          *bufio.Reader
	connAddr        string // address that conn is connected to
	replyExtensions int    // number of times that replyLimit is added to the wait for an answer
}

// New returns a client. With an empty addr the server is listed nowhere and nothing is sent.
func New(addr, name string, log *slog.Logger) *Client {
	return &Client{addr: addr, name: name, log: log, dialLimit: dialTimeout, replyLimit: replyTimeout, wake: make(chan struct{}, 1), cancelReport: func() {}}
}

// Move sends all further reports to another address, starting with the newest state at once.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr == addr {
		return
	}
	c.addr = addr
	c.cancelReport()
	c.signal()
}

// Report sets the newest state, whether this server accepts work, and reports it even if it has not changed.
func (c *Client) Report(open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.body
	c.body = `{"mode":"closed"}`
	if open {
		c.body = `{"mode":"open"}`
	}
	if c.body != previous { // the report in flight is answered soon, in order, or canceled
		time.AfterFunc(c.replyLimit, c.cancelReport)
	}
	c.signal()
}

// StopReporting stops all reports until the next call of Report. It prevents an old process from reporting for its
// successor, since both report under one name.
func (c *Client) StopReporting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = ""
	c.cancelReport()
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until ctx ends. A failed report is retried with a growing delay, which each new report cuts
// short.
func (c *Client) Run(ctx context.Context) {
	defer c.closeConn(false)
	var (
		wait     sock.Backoff
		retry    <-chan time.Time
		failures int
	)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-retry:
		}
		retry = nil
		err := c.sendReport(ctx)
		if err == nil || errors.Is(err, errSuperseded) {
			wait.Reset()
			failures, c.replyExtensions = 0, 0
			continue
		}
		// A slow directory may drop requests whose client no longer waits, and would then never receive a report:
		// wait longer.
		if c.replyExtensions < maxReplyExtensions && errors.Is(err, os.ErrDeadlineExceeded) {
			c.replyExtensions++
		}
		retry = time.After(wait.Next())
		if failures++; failures == warnAfterFailures {
			c.log.Warn("link down", "to", "directory", "err", err)
		}
	}
}

// closeConn closes the connection. With abort, unacknowledged data is discarded, which prevents the network from
// delivering an old report after a newer one.
func (c *Client) closeConn(abort bool) {
	if c.conn == nil {
		return
	}
	if t, ok := c.conn.(*net.TCPConn); ok && abort {
		t.SetLinger(0)
	}
	c.conn.Close()
	c.conn = nil
}

var errSuperseded = errors.New("canceled for a newer state")

// sendReport sends one report on the kept connection if it is still usable, otherwise on a new one.
func (c *Client) sendReport(ctx context.Context) (err error) {
	reportCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	addr, body := c.addr, c.body
	c.cancelReport = cancel
	c.mu.Unlock()
	if c.conn != nil && (c.connAddr != addr || !isIdle(c.conn, c.reader)) {
		c.closeConn(false)
	}
	if addr == "" || body == "" {
		return nil
	}
	reused := c.conn != nil
	if err = c.tryReport(reportCtx, addr); err != nil && reused && !errors.Is(err, os.ErrDeadlineExceeded) && reportCtx.Err() == nil {
		err = c.tryReport(reportCtx, addr) // the kept connection may have been closed just before
	}
	if err != nil && reportCtx.Err() != nil {
		return errSuperseded
	}
	return err
}

// tryReport sends one report of the state at the time when the connection is ready. The connection is kept only after a
// complete answer. A report without an answer may have taken effect nevertheless.
func (c *Client) tryReport(reportCtx context.Context, addr string) (err error) {
	if c.conn == nil {
		d := net.Dialer{Timeout: c.dialLimit}
		if c.conn, err = d.DialContext(reportCtx, "tcp", addr); err != nil {
			c.conn = nil
			return err
		}
		c.reader, c.connAddr = bufio.NewReader(c.conn), addr
	}
	conn := c.conn
	end := context.AfterFunc(reportCtx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		if !end() || err != nil {
			c.closeConn(true)
		} else if !keep {
			c.closeConn(false)
		}
	}()
	if err := conn.SetDeadline(time.Now().Add(time.Duration(1+c.replyExtensions) * c.replyLimit)); err != nil {
		return err
	}
	c.mu.Lock()
	body := c.body
	c.mu.Unlock()
	if reportCtx.Err() != nil { // also if it was canceled before the deadline was set
		return reportCtx.Err()
	}
	head := "PUT /dir/nodes/" + c.name + " HTTP/1.1\r\nHost: " + addr +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		return err
	}
	status, keep, err := readReply(c.reader)
	if err == nil && status != 204 {
		err = fmt.Errorf("report answered %d", status)
	}
	return err
}

// isIdle reports whether nothing was received on a kept connection. It prevents a second answer to the previous report
// from being taken for the answer to the next.
func isIdle(conn net.Conn, in *bufio.Reader) bool {
	s, ok := conn.(syscall.Conn)
	if !ok || in.Buffered() > 0 {
		return false
	}
	rawConn, err := s.SyscallConn()
	if err != nil {
		return false
	}
	nothingReceived := false
	err = rawConn.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingReceived = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && nothingReceived
}

var errMalformedReply = errors.New("malformed reply")

// readReply reads one HTTP/1.1 reply and discards its body. keep reports whether the connection may be reused.
func readReply(in *bufio.Reader) (status int, keep bool, err error) {
	line, err := sock.ReadLine(in)
	if err != nil {
		return 0, false, err
	}
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return 0, false, fmt.Errorf("%w: %q", errMalformedReply, line)
	}
	if status, err = strconv.Atoi(string(line[9:12])); err != nil {
		return 0, false, fmt.Errorf("%w: %q", errMalformedReply, line)
	}
	keep, size := line[7] == '1', 0
	for {
		line, err := sock.ReadLine(in)
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
			if size, err = strconv.Atoi(value); err != nil || size < 0 || size > maxReplyBytes {
				return 0, false, fmt.Errorf("%w: length %q", errMalformedReply, value)
			}
		case "connection":
			keep = !strings.EqualFold(value, "close")
		case "transfer-encoding":
			keep = false // the body is not read
		}
	}
	if status == 204 { // it has no body, whatever Content-Length says
		return status, keep && size == 0, nil
	}
	_, err = in.Discard(size)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return status, keep, err
}
