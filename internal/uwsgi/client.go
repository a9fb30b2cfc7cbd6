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

const maxReply = 64 << 10 // bytes of a response body

// Client makes downstream calls to uwsgi servers, each on its own connection, taking the servers in turn.
type Client struct {
	opt   Options
	sink  func(core.Event)
	slots chan struct{}
	next  atomic.Uint64

	mu    sync.Mutex
	calls map[string]*call
}

// call is a call in flight.
type call struct{ cancel context.CancelFunc }

// NewClient returns a client that reports the end of each call to sink.
func NewClient(opt Options, sink func(core.Event)) *Client {
	return &Client{opt: opt, sink: sink, slots: make(chan struct{}, opt.MaxCalls), calls: map[string]*call{}}
}

// Call starts a call, with patience as its time limit. It abandons an earlier call of the same handle.
func (c *Client) Call(handle string, number uint64, class string, _ uint64, patience time.Duration, _ bool, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	started := &call{cancel}
	c.mu.Lock()
	if previous := c.calls[handle]; previous != nil {
		previous.cancel()
	}
	c.calls[handle] = started
	c.mu.Unlock()
	go func() {
		defer cancel()
		end := core.CallEnded{Handle: handle, Number: number, Outcome: control.Unreachable} // over MaxCalls
		select {
		case c.slots <- struct{}{}:
			end.Outcome, end.Body = c.do(ctx, handle, class, patience, body)
			<-c.slots
		default:
		}
		c.mu.Lock()
		current := c.calls[handle] == started
		if current {
			delete(c.calls, handle)
		}
		c.mu.Unlock()
		if current {
			c.sink(end)
		}
	}()
}

// Abandon cancels the call of a handle, of which no end is reported then.
func (c *Client) Abandon(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.calls[handle]; x != nil {
		x.cancel()
		delete(c.calls, handle)
	}
}

// do carries out one call and returns its outcome and response body.
func (c *Client) do(ctx context.Context, handle, class string, patience time.Duration, body []byte) (control.Outcome, []byte) {
	number := c.next.Add(1)
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.opt.DownstreamServers[number%uint64(len(c.opt.DownstreamServers))])
	if err != nil {
		return outcomeOfError(err), nil
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	head := EncodeHead("REQUEST_METHOD", "POST", "PATH_INFO", c.opt.PathPrefix+class, "CONTENT_LENGTH", strconv.Itoa(len(body)),
		c.opt.Vars.Deadline, strconv.FormatInt(max(1, patience.Milliseconds()), 10),
		c.opt.Vars.Token, handle+"."+strconv.FormatUint(number, 10))
	out := net.Buffers{head, body}
	if _, err := out.WriteTo(conn); err != nil {
		return outcomeOfError(err), nil
	}
	status, notRun, reply, err := readResponse(bufio.NewReader(conn))
	switch {
	case err != nil:
		return outcomeOfError(err), nil
	case status == 200:
		return control.OK, reply
	case notRun && status == 503:
		return control.Rejected, nil
	case status == 504:
		return control.TimedOut, nil
	}
	return control.Errored, nil
}

// outcomeOfError returns the outcome of a call that failed with err. Only a refused connection proves that nothing ran.
func outcomeOfError(err error) control.Outcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return control.Unreachable
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return control.TimedOut
	}
	return control.Interrupted
}

var errResponse = errors.New("malformed response")

// readResponse reads an HTTP response, or a CGI response that begins with a Status header. Without a length the body
// extends to the end of the connection. notRun reports the X-Not-Run header.
func readResponse(in *bufio.Reader) (status int, notRun bool, body []byte, err error) {
	size := -1
	for first := true; ; first = false {
		line, err := sock.ReadLine(in)
		if err != nil {
			return 0, false, nil, unexpectedEOF(err)
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
		return status, notRun, body, unexpectedEOF(err)
	}
	body, err = io.ReadAll(io.LimitReader(in, maxReply+1))
	if len(body) > maxReply {
		err = fmt.Errorf("%w: over %d bytes", errResponse, maxReply)
	}
	return status, notRun, body, err
}

// unexpectedEOF turns the end of the input inside a response into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
