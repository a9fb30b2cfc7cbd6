package jsonrpc

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/sock"
)

const (
	codeRefused = -32001
	codeFailed  = -32000
	maxOpen     = 32                      // requests on one connection
	firstWithin = 1500 * time.Millisecond // after connecting, the first message is whole
	lineWithin  = 1500 * time.Millisecond // after its first byte, a further one is
	openWithin  = 8 * time.Second         // or, where requests are open, which its end would lose
)

// Front turns lines into the core's events and its answers into lines.
type Front struct {
	site *core.Site
	core *core.Core
	log  *slog.Logger
}

// New makes the front; its Handle serves one connection.
func New(site *core.Site, c *core.Core, log *slog.Logger) *Front { return &Front{site, c, log} }

// session is one connection. Its lock guards the ids that are open on it.
type session struct {
	box   *sock.Box
	asked bool   // a request or a check came; of its reader, as is last
	last  uint64 // the highest id so far
	mu    sync.Mutex
	open  map[string]string // handle by id
}

// Drain says that nothing new should come on this connection.
func (s *session) Drain(time.Duration) {
	s.box.Send([]byte(`{"jsonrpc":"2.0","method":"draining"}` + "\n"))
}

// Close closes the connection once all is written.
func (s *session) Close() { s.box.Close() }

// take notes an open id; false = it does not count up, or too many are open.
func (s *session) take(m message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.num <= s.last || len(s.open) >= maxOpen {
		return false
	}
	s.last = m.num
	s.open[m.id] = m.req.Handle
	return true
}

func (s *session) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *session) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

// withdraw takes an open request off, named by its id or, with no id, by its handle; "" = none is open.
func (s *session) withdraw(id, handle string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, h := range s.open {
		if i == id || id == "" && h == handle {
			delete(s.open, i)
			return h
		}
	}
	return ""
}

// Handle reads one connection until it ends.
func (f *Front) Handle(conn net.Conn, box *sock.Box) {
	s := &session{box: box, open: map[string]string{}}
	f.core.Send(core.Opened{Session: s})
	defer f.core.Send(core.Closed{Session: s})
	in := bufio.NewReaderSize(conn, maxLine)
	first := time.Now().Add(firstWithin)
	for {
		within := time.Duration(0)
		if !s.asked {
			within = max(time.Until(first), time.Millisecond)
		}
		line, err := s.readLine(conn, in, within)
		if err != nil {
			switch {
			case errors.Is(err, sock.ErrLong):
				f.log.Warn("bad message", "front", "jsonrpc", "err", err)
			case box.Err() != nil:
				f.log.Warn("connection cut", "front", "jsonrpc", "open", s.count(), "err", box.Err())
			}
			return
		}
		if len(line) > 0 && !f.message(s, line) {
			return
		}
	}
}

// readLine reads a line. The wait for its first byte is bounded by within, 0 = not at all: the core closes
// what stands idle. A line that has begun has to come whole: guards against clients that send half of one.
func (s *session) readLine(conn net.Conn, in *bufio.Reader, within time.Duration) ([]byte, error) {
	if p, _ := in.Peek(in.Buffered()); bytes.IndexByte(p, '\n') >= 0 {
		return sock.Line(in)
	}
	if within == 0 {
		if _, err := in.Peek(1); err != nil {
			return nil, err
		}
		if within = lineWithin; s.count() > 0 {
			within = openWithin
		}
	}
	conn.SetReadDeadline(time.Now().Add(within))
	defer conn.SetReadDeadline(time.Time{})
	return sock.Line(in)
}

// message takes one line; false = the connection cannot go on. Whoever breaks the protocol gets an error
// where an id can be read, and loses the connection with all that is open on it: guards against clients that
// send what is no request at full speed, for as long as they are let.
func (f *Front) message(s *session, line []byte) bool {
	m, bad := parse(line, f.site)
	if bad == nil && m.num > 0 && !s.take(m) {
		bad = &fault{badRequest, "the id is not new, or too many are open"}
	}
	if bad != nil {
		f.log.Warn("bad message", "front", "jsonrpc", "open", s.count(), "err", bad)
		if m.id != "" {
			s.box.Send(errorLine(m.id, bad.code, bad.text, nil))
		}
		return false
	}
	switch m.method {
	case "status":
		s.asked = true
		f.core.Send(core.Check{Session: s, Reply: reply{s, m.id}, Deep: m.deep})
	case "withdraw":
		m.req.Handle = s.withdraw(m.ref, m.req.Handle)
		f.core.Send(core.Withdraw{Session: s, Handle: m.req.Handle})
	default:
		s.asked = true
		f.core.Send(core.Arrive{Session: s, Reply: reply{s, m.id}, Req: m.req})
	}
	return true
}

// reply answers one id.
type reply struct {
	s  *session
	id string
}

// Answer writes the answer's line.
func (r reply) Answer(a core.Answer) {
	var data []byte
	if a.Hint >= 0 {
		data = append(data, `"hint":`...)
		data = strconv.AppendFloat(data, a.Hint, 'f', -1, 64)
	}
	switch a.Kind {
	case core.Checked:
		head := `{"jsonrpc":"2.0","id":` + r.id + `,"result":{"up":` + strconv.FormatBool(a.Up)
		r.s.box.Send([]byte(head), comma(data), []byte("}}\n"))
		return
	case core.Served:
		r.s.release(r.id)
		head := `{"jsonrpc":"2.0","id":` + r.id + `,"result":{"bytes":"`
		body := base64.StdEncoding.AppendEncode(make([]byte, 0, base64.StdEncoding.EncodedLen(len(a.Body))+1), a.Body)
		r.s.box.Send([]byte(head), append(body, '"'), comma(data), []byte("}}\n"))
		return
	}
	r.s.release(r.id)
	code := codeFailed
	switch a.Kind {
	case core.Refused:
		code = codeRefused
		if ms := (a.Away + time.Millisecond - 1) / time.Millisecond; ms > 0 {
			data = strconv.AppendInt(append(sep(data), `"backoff":`...), int64(ms), 10)
		}
		if a.Last {
			data = append(sep(data), `"final":1`...)
		}
	case core.Conflict, core.Invalid:
		// The connection stays: who copies the id or key of a request that is on its way may come before it.
		code = badParams
	}
	r.s.box.Send(errorLine(r.id, code, a.Why, data))
}

func sep(data []byte) []byte {
	if len(data) > 0 {
		data = append(data, ',')
	}
	return data
}

func comma(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	return append([]byte{','}, data...)
}

func errorLine(id string, code int, text string, data []byte) []byte {
	out := make([]byte, 0, 128)
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = strconv.AppendInt(append(out, `,"error":{"code":`...), int64(code), 10)
	out = strconv.AppendQuote(append(out, `,"message":`...), text)
	return append(append(append(out, `,"data":{`...), data...), "}}}\n"...)
}
