package uwsgi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/sock"
)

const maxReply = 64 << 10

// Client makes calls below to uwsgi servers, each on a connection of its own, in turn over the servers.
type Client struct {
	opt  Options
	sink func(core.Event)
	room chan struct{}
	next atomic.Uint64

	mu    sync.Mutex
	calls map[string]*call
}

type call struct{ cancel context.CancelFunc }

// NewClient makes a client that tells sink how calls end.
func NewClient(opt Options, sink func(core.Event)) *Client {
	return &Client{opt: opt, sink: sink, room: make(chan struct{}, opt.MaxCalls), calls: map[string]*call{}}
}

// Call makes a call; a further one for the same handle gives up the first.
func (c *Client) Call(handle string, number uint64, class string, _ uint64, patience time.Duration, _ bool, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	x := &call{cancel}
	c.mu.Lock()
	if old := c.calls[handle]; old != nil {
		old.cancel()
	}
	c.calls[handle] = x
	c.mu.Unlock()
	go func() {
		defer cancel()
		e := core.CallEnded{Handle: handle, Number: number, Outcome: control.Unreachable} // without room nothing is sent
		select {
		case c.room <- struct{}{}:
			e.Outcome, e.Body = c.make(ctx, handle, class, patience, body)
			<-c.room
		default:
		}
		c.mu.Lock()
		mine := c.calls[handle] == x
		if mine {
			delete(c.calls, handle)
		}
		c.mu.Unlock()
		if mine {
			c.sink(e)
		}
	}()
}

// Abandon gives a call up.
func (c *Client) Abandon(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.calls[handle]; x != nil {
		x.cancel()
		delete(c.calls, handle)
	}
}

// make carries out one call.
func (c *Client) make(ctx context.Context, handle, class string, patience time.Duration, body []byte) (control.Outcome, []byte) {
	n := c.next.Add(1)
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.opt.Below[n%uint64(len(c.opt.Below))])
	if err != nil {
		return callFailed(err), nil
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	head := Packet("REQUEST_METHOD", "POST", "PATH_INFO", c.opt.Prefix+class, "CONTENT_LENGTH", strconv.Itoa(len(body)),
		c.opt.Vars.Budget, strconv.FormatInt(max(1, patience.Milliseconds()), 10),
		c.opt.Vars.Token, handle+"."+strconv.FormatUint(n, 10))
	out := net.Buffers{head, body}
	if _, err := out.WriteTo(conn); err != nil {
		return callFailed(err), nil
	}
	status, notRun, reply, err := readResponse(bufio.NewReader(conn))
	switch {
	case err != nil:
		return callFailed(err), nil
	case status == 200:
		return control.OK, reply
	case notRun && status == 503:
		return control.Rejected, nil
	case status == 504:
		return control.TimedOut, nil
	}
	return control.Errored, nil
}

// callFailed tells what an error proves: only a refused connection proves that nothing ran.
func callFailed(err error) control.Outcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return control.Unreachable
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return control.TimedOut
	}
	return control.Broken
}

var errResponse = errors.New("malformed response")

// readResponse reads an HTTP response, or a CGI one that begins with Status. Without a length its body
// goes up to the end of the connection.
func readResponse(in *bufio.Reader) (status int, notRun bool, body []byte, err error) {
	size := -1
	for first := true; ; first = false {
		line, err := sock.Line(in)
		if err != nil {
			return 0, false, nil, noEnd(err)
		}
		if len(line) == 0 {
			break
		}
		name, value, found := strings.Cut(string(line), ":")
		if first && strings.HasPrefix(name, "HTTP/1.") && len(line) >= 12 {
			name, value, found = "status", string(line[9:]), true
		}
		if !found {
			return 0, false, nil, fmt.Errorf("%w: %q", errResponse, line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "status":
			if status, err = strconv.Atoi(value[:min(3, len(value))]); err != nil {
				return 0, false, nil, fmt.Errorf("%w: status %q", errResponse, value)
			}
		case "content-length":
			if size, err = strconv.Atoi(value); err != nil || size < 0 || size > maxReply {
				return 0, false, nil, fmt.Errorf("%w: length %q", errResponse, value)
			}
		case strings.ToLower(headerNotRun):
			notRun = value == "1"
		}
	}
	if status == 0 {
		return 0, false, nil, fmt.Errorf("%w: no status", errResponse)
	}
	if size >= 0 {
		body = make([]byte, size)
		_, err = io.ReadFull(in, body)
		return status, notRun, body, noEnd(err)
	}
	body, err = io.ReadAll(io.LimitReader(in, maxReply+1))
	if len(body) > maxReply {
		err = fmt.Errorf("%w: over %d bytes", errResponse, maxReply)
	}
	return status, notRun, body, err
}

// noEnd makes the end of the input inside a response an error.
func noEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
