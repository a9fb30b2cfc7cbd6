package jsonrpc

import (
	"bufio"
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
	maxOpen     = 64 // requests on one connection; balancers keep to 32
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
	box  *sock.Box
	mu   sync.Mutex
	open map[string]string // handle by id
}

// Drain says that nothing new should come on this connection.
func (s *session) Drain() { s.box.Send([]byte(`{"jsonrpc":"2.0","method":"draining"}` + "\n")) }

// Close closes the connection once all is written.
func (s *session) Close() { s.box.Close() }

// take notes an open id; false = it is open already, or too many are.
func (s *session) take(id, handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, dup := s.open[id]; dup || len(s.open) >= maxOpen {
		return false
	}
	s.open[id] = handle
	return true
}

func (s *session) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

func (s *session) handle(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id]
}

// Handle reads one connection until it ends.
func (f *Front) Handle(conn net.Conn, box *sock.Box) {
	s := &session{box: box, open: map[string]string{}}
	f.core.Send(core.Opened{Session: s})
	defer f.core.Send(core.Closed{Session: s})
	in := bufio.NewReaderSize(conn, maxLine)
	for {
		line, err := sock.Line(in)
		if err != nil {
			if errors.Is(err, sock.ErrLong) {
				f.log.Warn("bad message", "front", "jsonrpc", "err", err)
			}
			return
		}
		if len(line) > 0 && !f.message(s, line) {
			return
		}
	}
}

// message takes one line; false = the connection cannot go on.
func (f *Front) message(s *session, line []byte) bool {
	m, bad := parse(line, f.site)
	if bad != nil {
		f.log.Warn("bad message", "front", "jsonrpc", "err", bad)
		if m.id == "" {
			return false
		}
		s.box.Send(errorLine(m.id, bad.code, bad.text, nil))
		return true
	}
	switch m.method {
	case "status":
		f.core.Send(core.Check{Session: s, Reply: reply{s, m.id}})
	case "withdraw":
		if m.req.Handle == "" {
			m.req.Handle = s.handle(m.ref)
		}
		f.core.Send(core.Withdraw{Handle: m.req.Handle})
	default:
		if !s.take(m.id, m.req.Handle) {
			s.box.Send(errorLine(m.id, badRequest, "the id is open, or too many are", nil))
			return true
		}
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
