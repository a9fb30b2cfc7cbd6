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
	codeRefused         = -32001
	codeFailed          = -32000
	maxOpen             = 32                      // open requests on one connection
	maxBad              = 8                       // bad messages in a row that close an idle connection at once
	firstMessageTimeout = 1500 * time.Millisecond // from connecting to the end of the first message
	lineTimeout         = 1500 * time.Millisecond // from the first byte of a further message to its end
	openLineTimeout     = 8 * time.Second         // the same while requests are open, whose answers a close would lose
	minGoneInterval     = 5 * time.Millisecond    // between checks whether the peer is gone; doubled each time
	maxPollInterval     = 200 * time.Millisecond  // bounds both intervals that are doubled
	minFlushInterval    = time.Millisecond        // between checks whether all answers are written; doubled
	// maxLoggedIDs bounds the unanswered requests that the log names for one connection.
	maxLoggedIDs = 5
)

// Front translates JSON-RPC lines into events of the core, and the core's answers into lines.
type Front struct {
	site  *core.Config
	core  *core.Core
	clock *wallclock.Clock // converts the time stamps of requests
	log   *slog.Logger
}

// New returns a front; its Handle serves one connection.
func New(site *core.Config, c *core.Core, log *slog.Logger) *Front {
	return &Front{site, c, wallclock.New(), log}
}

// Handle serves one connection until it ends.
//
// The server closes a connection only when it is quiet: no input is unread, and every request that was read has been
// answered. Whoever asks for the close (the core, a time limit, a bad message, the shutdown of the process), the reader
// carries it out at such a moment, and until then everything that arrives is answered. Exceptions are a peer that is
// gone, one that does not read its answers, and one that sends nothing but bad messages and has no open request.
func (f *Front) Handle(conn net.Conn, outbound *sock.WriteQueue) {
	s := newSession(conn, outbound)
	f.core.Send(core.SessionOpened{Session: s})
	defer f.core.Send(core.SessionClosed{Session: s})
	started := time.Now()
	err := f.serve(s, started.Add(firstMessageTimeout))
	if errors.Is(err, io.EOF) && s.hasUnanswered() {
		// The client may have closed only its writing half and wait for its answers. If it is gone altogether, it
		// answers this message with a reset, which awaitAnswers detects.
		s.Drain(0)
		s.awaitAnswers()
	}
	if closeErr := outbound.Err(); closeErr != nil {
		f.log.Warn("connection cut", "front", "jsonrpc", "open", s.openCount(), "err", closeErr)
	}
	f.logEnd(s, started, s.endReason(err))
}

// serve reads messages until the connection ends and returns why: errClosed, or the error of the connection. The
// first message must be complete by firstDeadline.
func (f *Front) serve(s *session, firstDeadline time.Time) error {
	for {
		var deadline time.Time
		if !s.sawRequest {
			deadline = firstDeadline
		}
		line, err := s.readLine(deadline)
		switch {
		case err == nil:
			if len(line) > 0 {
				f.handleLine(s, line)
			}
		case errors.Is(err, sock.ErrLineTooLong):
			f.badMessage(s, message{}, &requestError{badRequest, err.Error()})
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.closeWhenQuiet(closeTimeLimit)
		default:
			return err
		}
		if s.mustCloseUnread() {
			return errClosed
		}
	}
}

// deliver sends an event to the core and counts it, so that a close that the core asked for before is void.
func (f *Front) deliver(s *session, e core.Event) {
	s.countDelivery()
	f.core.Send(e)
}

// handleLine handles one line.
func (f *Front) handleLine(s *session, line []byte) {
	m, problem := parse(line, f.site, f.clock)
	if problem == nil && m.num > 0 {
		problem = s.register(m)
	}
	if problem != nil {
		f.badMessage(s, m, problem)
		return
	}
	s.badCount = 0
	switch m.method {
	case "status":
		s.sawRequest = true
		s.expectAnswer("c" + m.id)
		f.deliver(s, core.HealthCheck{Session: s, Reply: reply{s, m.id}, Deep: m.deep})
	case "withdraw":
		m.req.Handle = s.cancel(m.ref, m.req.Handle)
		f.deliver(s, core.RequestCanceled{Session: s, Handle: m.req.Handle})
	default:
		s.sawRequest = true
		f.deliver(s, core.RequestArrived{Session: s, Reply: reply{s, m.id}, Req: m.req})
	}
}

// badMessage handles an invalid message. Its sender gets an error response if the id can be read, and the connection is
// closed once it is quiet: the other requests on it still get their answers.
func (f *Front) badMessage(s *session, m message, problem *requestError) {
	f.log.Warn("bad message", "front", "jsonrpc", "open", s.openCount(), "err", problem)
	s.badCount++
	s.closeWhenQuiet(closeBadMessage)
	if s.isUsedID(m) {
		m.id = nullID // the id belongs to an earlier request, which has its own answer
	}
	s.markUsed(m)
	if m.id != "" {
		s.outbound.Send(errorLine(m.id, problem.code, problem.text, nil))
	}
}

// logEnd logs the end of a connection, as a warning if requests, delivered or unread, remain without an answer.
func (f *Front) logEnd(s *session, started time.Time, why string) {
	unread := s.unreadBytes()
	unanswered, ids := s.unansweredRequests()
	attrs := []any{"front", "jsonrpc", "peer", s.conn.RemoteAddr().String(), "why", why, "age_ms", time.Since(started).Milliseconds(),
		"last_id", s.lastID, "unanswered", unanswered, "unread_bytes", unread}
	if unanswered == 0 && unread == 0 {
		f.log.Info("connection ended", attrs...)
		return
	}
	f.log.Warn("connection ended over requests", append(attrs, "ids", ids)...)
}
