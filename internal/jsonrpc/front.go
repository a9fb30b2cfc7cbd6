package jsonrpc

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/sock"
	"larchscale/internal/wallclock"
)

const (
	codeRefused = -32001
	codeFailed  = -32000
	maxOpen     = 32                      // requests on one connection
	maxBad      = 8                       // messages that are none, after which an idle connection is closed at once
	firstWithin = 1500 * time.Millisecond // after connecting, the first message is whole
	lineWithin  = 1500 * time.Millisecond // after its first byte, a further one is
	openWithin  = 8 * time.Second         // or, where requests are open, which wait for the rest of the line
	firstLook   = 5 * time.Millisecond    // whether the other side has gone altogether; then after twice as long
	maxLook     = 200 * time.Millisecond
	flushLook   = time.Millisecond // whether the last answers are written, before a connection is ended; then after twice as long
	// maxLoggedIDs bounds the unanswered requests that the log names of one connection.
	maxLoggedIDs = 5
)

// Front turns lines into the core's events and its answers into lines.
type Front struct {
	site  *core.Site
	core  *core.Core
	clock *wallclock.Clock // of the machine, which stamps requests
	log   *slog.Logger
}

// New makes the front; its Handle serves one connection.
func New(site *core.Site, c *core.Core, log *slog.Logger) *Front {
	return &Front{site, c, wallclock.New(), log}
}

// Handle reads one connection until it ends.
//
// The server ends a connection only where nothing stands on it: nothing is there to be read, and every request that was
// read has its answer. Whatever asks for the end (the core, a time limit, a bad message, the end of the process) is
// carried out at such a moment by the reader, and until then all that comes is answered. Exceptions are a peer that is
// gone, one that does not read its answers, and one that sends nothing but bad messages, with no request open.
func (f *Front) Handle(conn net.Conn, outbound *sock.WriteQueue) {
	s := newSession(conn, outbound)
	f.core.Send(core.Opened{Session: s})
	defer f.core.Send(core.Closed{Session: s})
	began := time.Now()
	err := f.serve(s, began.Add(firstWithin))
	if errors.Is(err, io.EOF) && s.owes() {
		// The client may have closed its writing half alone, and wait for its answers. One that has gone altogether
		// answers this message by a reset, which shows that it has.
		s.Drain(0)
		s.awaitAnswers()
	}
	if cut := outbound.Err(); cut != nil {
		f.log.Warn("connection cut", "front", "jsonrpc", "open", s.count(), "err", cut)
	}
	f.logEnd(s, began, s.endReason(err))
}

// serve reads messages until the connection is to end, and returns why: errEnd, or what the connection failed with. The
// first message has to be whole by first.
func (f *Front) serve(s *session, first time.Time) error {
	for {
		var until time.Time
		if !s.asked {
			until = first
		}
		line, err := s.readLine(until)
		switch {
		case err == nil:
			if len(line) > 0 {
				f.message(s, line)
			}
		case errors.Is(err, sock.ErrLong):
			f.bad(s, message{}, &fault{badRequest, err.Error()})
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.endWhenQuiet(endTimeLimit)
		default:
			return err
		}
		if s.mayEndOverUnread() {
			return errEnd
		}
	}
}

// deliver hands an event to the core, which from then on knows better than to end the connection.
func (f *Front) deliver(s *session, e core.Event) {
	s.delivers()
	f.core.Send(e)
}

// message takes one line.
func (f *Front) message(s *session, line []byte) {
	m, complaint := parse(line, f.site, f.clock)
	if complaint == nil && m.num > 0 {
		complaint = s.take(m)
	}
	if complaint != nil {
		f.bad(s, m, complaint)
		return
	}
	s.bad = 0
	switch m.method {
	case "status":
		s.asked = true
		s.owe("c" + m.id)
		f.deliver(s, core.Check{Session: s, Reply: reply{s, m.id}, Deep: m.deep})
	case "withdraw":
		m.req.Handle = s.withdraw(m.ref, m.req.Handle)
		f.deliver(s, core.Withdraw{Session: s, Handle: m.req.Handle})
	default:
		s.asked = true
		f.deliver(s, core.Arrive{Session: s, Reply: reply{s, m.id}, Req: m.req})
	}
}

// bad takes a message that is none. Its sender gets an error where an id can be read, and the connection ends once
// nothing stands on it: what else was sent on it is owed its answer.
func (f *Front) bad(s *session, m message, why *fault) {
	f.log.Warn("bad message", "front", "jsonrpc", "open", s.count(), "err", why)
	s.bad++
	s.endWhenQuiet(endBadMessage)
	if s.seen(m) {
		m.id = idOfNone // the request of that id has its answer, or is owed it
	}
	s.passOver(m)
	if m.id != "" {
		s.outbound.Send(errorLine(m.id, why.code, why.text, nil))
	}
}

// logEnd logs the end of a connection. It is a warning where requests stand on it, delivered or unread, that will have
// no answer.
func (f *Front) logEnd(s *session, began time.Time, why string) {
	unread := s.unread()
	unanswered, ids := s.unanswered()
	attrs := []any{"front", "jsonrpc", "peer", s.conn.RemoteAddr().String(), "why", why, "age_ms", time.Since(began).Milliseconds(),
		"last_id", s.last, "unanswered", unanswered, "unread_bytes", unread}
	if unanswered == 0 && unread == 0 {
		f.log.Info("connection ended", attrs...)
		return
	}
	f.log.Warn("connection ended over requests", append(attrs, "ids", ids)...)
}
