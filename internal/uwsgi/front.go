package uwsgi

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/sock"
)

// Headers of answers beyond HTTP's own.
const (
	headerHint   = "X-Hint"    // the free value, on every answer
	headerNotRun = "X-Not-Run" // on what is proved never to have run
	headerFinal  = "X-Final"   // on a refusal: try no other server
	headerAway   = "X-Backoff-Ms"
)

const (
	maxStray = 64 << 10 // bytes after a request that are dropped; more is no gateway
)

// Front turns packets into the core's events and its answers into HTTP responses.
type Front struct {
	opt   Options
	site  *core.Site
	bands rankBands
	core  *core.Core
	log   *slog.Logger
}

// New makes the front; its Handle serves one connection.
func New(opt Options, site *core.Site, c *core.Core, log *slog.Logger) *Front {
	return &Front{opt, site, newRankBands(site.Control.Classes), c, log}
}

// session is one connection, which carries one request.
type session struct {
	conn     net.Conn
	outbound *sock.WriteQueue

	mu       sync.Mutex
	reading  bool
	draining bool
	until    time.Time // the packet has to be whole
}

// Drain bounds the reading of a packet that is not whole yet. Guards against a packet cut short that would
// hold the process up to its end and go without an answer.
func (s *session) Drain(left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if t := time.Now().Add(left); s.reading && t.Before(s.until) {
		s.until = t
		s.outbound.Wait(t) // an error shows at the next read
	}
}

// Close ends the reading of a packet that is not whole. Once it is, its answer ends the connection.
func (s *session) Close(uint64, core.CloseReason) { s.Drain(0) }

// begin and end frame the reading of the packet.
func (s *session) begin(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading, s.until = true, time.Now().Add(limit)
	s.outbound.Wait(s.until)
}

func (s *session) end() (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	s.outbound.Wait(time.Time{})
	return s.draining
}

// Handle reads the one request of a connection, and then whether its client hangs up.
func (f *Front) Handle(conn net.Conn, outbound *sock.WriteQueue) {
	arrived := time.Now()
	s := &session{conn: conn, outbound: outbound}
	s.begin(time.Duration(f.opt.ReadMs) * time.Millisecond)
	f.core.Send(core.Opened{Session: s, Single: true})
	defer f.core.Send(core.Closed{Session: s})
	in := bufio.NewReaderSize(conn, 4<<10)
	v, body, err := readPacket(in, f.opt.MaxBody)
	draining := s.end()
	if err != nil {
		f.complain(outbound, err, draining)
		return
	}
	if path := v.get("PATH_INFO"); path == f.opt.Health && path != "" {
		f.core.Send(core.Check{Session: s, Reply: reply{outbound}})
		f.awaitEnd(s, in, "")
		return
	}
	q, problem := f.opt.request(v, body, f.site, f.bands, arrived)
	switch {
	case q.Class < 0:
		outbound.Send(response(404, "unknown class", nil))
		return
	case problem != "":
		f.log.Warn("bad message", "front", "uwsgi", "err", problem)
		outbound.Send(response(400, problem, nil))
		return
	}
	f.core.Send(core.Arrive{Session: s, Reply: reply{outbound}, Req: q})
	f.awaitEnd(s, in, q.Handle)
}

// awaitEnd drops what still comes until the connection ends: by the answer, or by a client that hangs up,
// which withdraws its request.
func (f *Front) awaitEnd(s *session, in *bufio.Reader, handle string) {
	for stray := 0; stray < maxStray; {
		n, err := in.Discard(1)
		stray += n
		if err != nil {
			break
		}
	}
	if handle != "" {
		f.core.Send(core.Withdraw{Session: s, Handle: handle})
	}
}

// complain answers a packet that is no request. A client that left without a byte gets nothing.
func (f *Front) complain(outbound *sock.WriteQueue, err error, draining bool) {
	if errors.Is(err, io.EOF) && !errors.Is(err, ErrPacket) {
		return
	}
	f.log.Warn("bad message", "front", "uwsgi", "err", err)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && draining:
		outbound.Send(response(503, "leaving", []byte(headerNotRun+": 1\r\nRetry-After: 1\r\n")))
	case errors.Is(err, os.ErrDeadlineExceeded):
		outbound.Send(response(408, "the packet did not come in time", nil))
	case errors.Is(err, ErrLarge):
		outbound.Send(response(413, "body too large", nil))
	default:
		outbound.Send(response(400, "malformed packet", nil))
	}
}

// reply answers the one request of a connection and ends it.
type reply struct{ outbound *sock.WriteQueue }

// Answer writes the response.
func (r reply) Answer(a core.Answer) {
	var head []byte
	status, body := 502, a.Why
	switch a.Kind {
	case core.Served:
		status = 200
	case core.Checked:
		status, body = 200, "up"
		if !a.Up {
			status, body = 503, "down"
		}
	case core.Refused:
		status = 503
		head = append(head, headerNotRun+": 1\r\nRetry-After: "...)
		head = strconv.AppendInt(head, int64(max(1, (a.Away+time.Second-1)/time.Second)), 10)
		head = append(head, "\r\n"+headerAway+": "...)
		head = strconv.AppendInt(head, int64((a.Away+time.Millisecond-1)/time.Millisecond), 10)
		head = append(head, "\r\n"...)
		if a.Last {
			head = append(head, headerFinal+": 1\r\n"...)
		}
	case core.TimedOut:
		status = 504
	case core.Conflict:
		status = 409
	case core.Invalid:
		status = 400
	}
	out := a.Body
	if a.Kind != core.Served {
		out = []byte(body)
	}
	r.outbound.Send(responseHead(status, a.Hint, head, len(out)), out)
	r.outbound.Close()
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// response is a whole response of the front's own, which the core never saw.
func response(status int, why string, head []byte) []byte {
	return append(responseHead(status, -1, head, len(why)), why...)
}

// responseHead is a response up to its body; more holds whole header lines.
func responseHead(status int, hint float64, more []byte, size int) []byte {
	out := append(make([]byte, 0, 256), "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(append(append(out, ' '), reasons[status]...), "\r\nConnection: close\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(size), 10)
	out = append(out, "\r\n"...)
	if hint >= 0 {
		out = strconv.AppendFloat(append(out, headerHint+": "...), hint, 'f', -1, 64)
		out = append(out, "\r\n"...)
	}
	return append(append(out, more...), "\r\n"...)
}
