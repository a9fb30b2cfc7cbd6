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
	"sync/atomic"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/sock"
)

// Response headers beyond those of HTTP.
const (
	headerHint    = "X-Hint"       // the hint of core.Answer, on every answer that has one
	headerNotRun  = "X-Not-Run"    // on a request that is known never to have run
	headerFinal   = "X-Final"      // on a refusal: try no other server
	headerBackoff = "X-Backoff-Ms" // on a refusal: when to try again
)

const (
	maxTrailingBytes = 64 << 10 // bytes after a request that are dropped; more is taken for a hang-up
)

// Front translates uwsgi packets into events of the core, and the core's answers into HTTP responses.
type Front struct {
	opt   Options
	site  *core.Config
	bands rankBands
	core  *core.Core
	log   *slog.Logger
	// bodyBytes counts the bytes of bodies that are being read. Those of requests are bounded by the core.
	bodyBytes atomic.Int64
}

// New returns a front; its Handle serves one connection. Bodies that are being read take as many bytes as the core's open
// requests may have.
func New(opt Options, site *core.Config, c *core.Core, log *slog.Logger) *Front {
	return &Front{opt: opt, site: site, bands: newRankBands(site.Control.Classes), core: c, log: log}
}

// reserveBody reserves memory for a body that is to be read; false = there is none.
func (f *Front) reserveBody(bytes int) bool {
	if f.bodyBytes.Add(int64(bytes)) <= int64(f.site.Bounds.OpenBytes) {
		return true
	}
	f.bodyBytes.Add(-int64(bytes))
	return false
}

// session is one connection, which carries one request.
type session struct {
	conn     net.Conn
	outbound *sock.WriteQueue

	mu       sync.Mutex
	reading  bool
	draining bool
	deadline time.Time // deadline for the complete packet
}

// Drain implements core.Session: it bounds the time to read an incomplete packet. Otherwise a truncated packet would
// hold up the shutdown of the process and get no answer.
func (s *session) Drain(left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if drainDeadline := time.Now().Add(left); s.reading && drainDeadline.Before(s.deadline) {
		s.deadline = drainDeadline
		s.outbound.SetReadDeadline(drainDeadline) // the next read reports an error
	}
}

// Close implements core.Session: it ends the reading of an incomplete packet. After a complete one the answer closes
// the connection.
func (s *session) Close(uint64, core.CloseReason) { s.Drain(0) }

// beginRead starts the reading of the packet, which must be complete within limit.
func (s *session) beginRead(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading, s.deadline = true, time.Now().Add(limit)
	s.outbound.SetReadDeadline(s.deadline)
}

// endRead ends the reading of the packet and reports whether the server drains.
func (s *session) endRead() (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	s.outbound.SetReadDeadline(time.Time{})
	return s.draining
}

// Handle reads the one request of a connection and then waits for its answer or for the client to hang up.
func (f *Front) Handle(conn net.Conn, outbound *sock.WriteQueue) {
	arrived := time.Now()
	s := &session{conn: conn, outbound: outbound}
	s.beginRead(time.Duration(f.opt.ReadTimeoutMs) * time.Millisecond)
	f.core.Send(core.SessionOpened{Session: s, Single: true})
	defer f.core.Send(core.SessionClosed{Session: s})
	in := bufio.NewReaderSize(conn, 4<<10)
	variables, body, err := f.read(in)
	draining := s.endRead()
	if err != nil {
		f.answerBadPacket(outbound, err, draining)
		return
	}
	if path := variables.get("PATH_INFO"); path == f.opt.HealthPath && path != "" {
		f.core.Send(core.HealthCheck{Session: s, Reply: reply{outbound}})
		f.awaitEnd(s, in, "")
		return
	}
	request, problem := f.opt.request(variables, body, f.site, f.bands, arrived)
	switch {
	case request.Class < 0:
		outbound.Send(response(404, "unknown class", nil))
		return
	case problem != "":
		f.log.Warn("bad message", "front", "uwsgi", "err", problem)
		outbound.Send(response(400, problem, nil))
		return
	}
	f.core.Send(core.RequestArrived{Session: s, Reply: reply{outbound}, Req: request})
	f.awaitEnd(s, in, request.Handle)
}

// read reads a packet. The memory of its body is reserved until it is read or has failed.
func (f *Front) read(in *bufio.Reader) (vars, []byte, error) {
	reserved := 0
	defer func() { f.bodyBytes.Add(-int64(reserved)) }()
	return readPacket(in, f.opt.MaxBody, func(bytes int) bool {
		if f.reserveBody(bytes) {
			reserved = bytes
		}
		return reserved == bytes
	})
}

// awaitEnd drops further input until the connection ends, by the answer or by a client that hangs up. It then cancels
// the request, which has no effect on one that has been answered.
func (f *Front) awaitEnd(s *session, in *bufio.Reader, handle string) {
	for trailing := 0; trailing < maxTrailingBytes; {
		n, err := in.Discard(1)
		trailing += n
		if err != nil {
			break
		}
	}
	if handle != "" {
		f.core.Send(core.RequestCanceled{Session: s, Handle: handle})
	}
}

// answerBadPacket answers a packet that could not be read. A client that hung up without sending a byte gets no answer.
func (f *Front) answerBadPacket(outbound *sock.WriteQueue, err error, draining bool) {
	if errors.Is(err, io.EOF) && !errors.Is(err, ErrPacket) {
		return
	}
	f.log.Warn("bad message", "front", "uwsgi", "err", err)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && draining:
		outbound.Send(response(503, "leaving", []byte(headerNotRun+": 1\r\nRetry-After: 1\r\n")))
	case errors.Is(err, os.ErrDeadlineExceeded):
		outbound.Send(response(408, "the packet did not come in time", nil))
	case errors.Is(err, ErrNoRoom):
		outbound.Send(response(503, err.Error(), []byte(headerNotRun+": 1\r\nRetry-After: 1\r\n")))
	case errors.Is(err, ErrBodyTooLarge):
		outbound.Send(response(413, "body too large", nil))
	default:
		outbound.Send(response(400, "malformed packet", nil))
	}
}

// reply answers the one request of a connection and closes the connection.
type reply struct{ outbound *sock.WriteQueue }

// Answer implements core.Reply: it writes the response.
func (r reply) Answer(a core.Answer) {
	var head []byte
	status, body := 502, a.Why
	switch a.Kind {
	case core.Served:
		status = 200
	case core.Checked:
		status, body = 200, "up"
		if !a.Healthy {
			status, body = 503, "down"
		}
	case core.Refused:
		status = 503
		head = append(head, headerNotRun+": 1\r\nRetry-After: "...)
		head = strconv.AppendInt(head, int64(max(1, (a.RetryAfter+time.Second-1)/time.Second)), 10)
		head = append(head, "\r\n"+headerBackoff+": "...)
		head = strconv.AppendInt(head, int64((a.RetryAfter+time.Millisecond-1)/time.Millisecond), 10)
		head = append(head, "\r\n"...)
		if a.Final {
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

var statusTexts = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// response returns a complete response to a request that was not passed to the core.
func response(status int, why string, head []byte) []byte {
	return append(responseHead(status, -1, head, len(why)), why...)
}

// responseHead returns a response up to its body of size bytes; more holds complete header lines.
func responseHead(status int, hint float64, more []byte, size int) []byte {
	out := append(make([]byte, 0, 256), "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(append(append(out, ' '), statusTexts[status]...), "\r\nConnection: close\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(size), 10)
	out = append(out, "\r\n"...)
	if hint >= 0 {
		out = strconv.AppendFloat(append(out, headerHint+": "...), hint, 'f', -1, 64)
		out = append(out, "\r\n"...)
	}
	return append(append(out, more...), "\r\n"...)
}
