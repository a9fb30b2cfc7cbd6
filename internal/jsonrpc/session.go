package jsonrpc

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/sock"
)

// errClosed reports that the server closed the connection itself, when it was quiet.
var errClosed = errors.New("closed by the server")

// The errors of a request that is well formed but cannot be accepted.
var (
	errUsedID  = &requestError{badRequest, "the id is not new"}
	errTooMany = &requestError{badRequest, "too many requests are open"}
)

// nullID is the id of an error response that belongs to no request.
const nullID = "null"

// The reasons for which the front itself closes a connection, for the log.
const (
	closeTimeLimit  core.CloseReason = "message not complete in time"
	closeBadMessage core.CloseReason = "bad message"
	closeShutdown   core.CloseReason = "process shutdown"
)

// session is one connection. Only its reader decides when the server closes it. The mutex guards the fields below it,
// which the core loop and the reader share.
type session struct {
	conn     net.Conn
	outbound *sock.WriteQueue
	in       *bufio.Reader
	source   *sock.Reader

	// These belong to the reader.
	sawRequest bool   // a request or a check has been received
	lastID     uint64 // the highest id so far
	badCount   int    // bad messages since the last valid one

	mu         sync.Mutex
	open       map[string]string // handle by id of the open requests; removed before the answer is written
	unanswered map[string]bool   // ids whose answer is not written yet; those of checks are prefixed with "c"
	answered   chan struct{}     // signals that an answer was written or a request canceled
	delivered  uint64            // events sent to the core
	waiting    bool              // the reader waits for bytes
	coreClose  core.CloseReason  // why the core asks for a close, which a further event voids; "" if it does not
	quietClose core.CloseReason  // why the connection is closed once it is quiet, whatever arrives; "" if it is not
	closedFor  core.CloseReason  // why the server closed the connection
}

func newSession(conn net.Conn, outbound *sock.WriteQueue) *session {
	source := &sock.Reader{Conn: conn}
	return &session{conn: conn, outbound: outbound, source: source, in: bufio.NewReaderSize(source, maxLine),
		open: map[string]string{}, unanswered: map[string]bool{}, answered: make(chan struct{}, 1)}
}

// Drain implements core.Session: it notifies the client to send no new requests on this connection.
func (s *session) Drain(time.Duration) {
	s.outbound.Send([]byte(`{"jsonrpc":"2.0","method":"draining"}` + "\n"))
}

// Close implements core.Session: it has the reader close the connection if the core has handled all of its events.
func (s *session) Close(handled uint64, why core.CloseReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delivered == handled {
		s.coreClose = why
		s.wake()
	}
}

// closeWhenQuiet has the connection closed once it is quiet.
func (s *session) closeWhenQuiet(why core.CloseReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quietClose == "" || why == closeTimeLimit {
		s.quietClose = why
	}
}

// wake has a waiting reader check again whether it is to close the connection. The caller holds the lock.
func (s *session) wake() {
	if s.waiting {
		s.outbound.WakeReader()
	}
}

// closeDue returns why the connection is to be closed now if no input is unread. It returns "" if it is to stay open,
// requests are unanswered, or the rest of a line is awaited. The caller is the reader and holds the lock.
func (s *session) closeDue() core.CloseReason {
	switch {
	case s.outbound.Stopping():
		return closeShutdown // the core sends no more answers
	case len(s.unanswered) > 0:
		return ""
	case s.quietClose == closeTimeLimit:
		return s.quietClose
	case s.in.Buffered() > 0:
		return ""
	case s.quietClose != "":
		return s.quietClose
	}
	return s.coreClose
}

// await waits for at least one further byte until a deadline; zero is none. It returns errClosed or
// os.ErrDeadlineExceeded only after a read without waiting has found no data: the former if it has closed the
// connection, the latter if the deadline has passed. Other errors are those of a connection that has ended or failed.
func (s *session) await(deadline time.Time) error {
	for interval := minFlushInterval; ; {
		s.mu.Lock()
		noWait := s.closeDue() != "" || !deadline.IsZero() && !time.Now().Before(deadline)
		s.source.NoWait = noWait
		s.waiting = !noWait
		if !noWait {
			s.outbound.SetReadDeadline(deadline) // a wake after this ends the wait at once
		}
		s.mu.Unlock()
		_, err := s.in.Peek(s.in.Buffered() + 1)
		s.mu.Lock()
		s.waiting = false
		s.source.NoWait = false
		why := s.closeDue()
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		closes := noWait && timedOut && why != "" && s.outbound.CloseIfIdle()
		if closes {
			s.closedFor = why
		}
		s.mu.Unlock()
		switch {
		case closes:
			return errClosed
		case !timedOut:
			return err
		case noWait && why != "": // data has just arrived, or an answer is still being written
			if s.outbound.Err() != nil {
				return s.outbound.Err()
			}
			time.Sleep(interval)
			interval = min(2*interval, maxPollInterval)
		case noWait && !deadline.IsZero() && !time.Now().Before(deadline):
			return err
		}
	}
}

// readLine reads a line, which must be complete by a deadline; zero is none, since the core closes idle connections. A
// line that has begun always has a time limit, so that half a line cannot hold a connection. A line that is too long is
// skipped in pieces, each of which returns an error.
func (s *session) readLine(deadline time.Time) ([]byte, error) {
	for begun := s.in.Buffered() > 0; ; begun = true {
		if begun && deadline.IsZero() {
			deadline = time.Now().Add(s.lineLimit())
		}
		buffered, _ := s.in.Peek(s.in.Buffered())
		if bytes.IndexByte(buffered, '\n') >= 0 {
			return sock.ReadLine(s.in)
		}
		if len(buffered) == s.in.Size() {
			s.in.Discard(len(buffered))
			return nil, fmt.Errorf("%w: over %d bytes", sock.ErrLineTooLong, s.in.Size())
		}
		if err := s.await(s.lineDeadline(deadline)); err != nil {
			return nil, err
		}
	}
}

// lineLimit returns how long a line that has begun may take.
func (s *session) lineLimit() time.Duration {
	if s.openCount() > 0 {
		return openLineTimeout
	}
	return lineTimeout
}

// lineDeadline returns the deadline for a line. There is none once a time limit has passed and the connection only
// waits for answers before it is closed.
func (s *session) lineDeadline(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quietClose == closeTimeLimit {
		return time.Time{}
	}
	return deadline
}

// mustCloseUnread reports whether the connection is to be closed even if input is unread: the client has sent maxBad
// bad messages in a row and no request is unanswered. Without this a client could keep sending bad messages at full
// speed.
func (s *session) mustCloseUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.badCount < maxBad || len(s.unanswered) > 0 {
		return false
	}
	s.closedFor = closeBadMessage
	return true
}

// awaitAnswers waits until all requests and checks are answered or the peer is gone.
func (s *session) awaitAnswers() {
	for interval := minGoneInterval; s.hasUnanswered(); interval = min(2*interval, maxPollInterval) {
		select {
		case <-s.outbound.Done():
			return
		case <-s.answered:
		case <-time.After(interval):
			if sock.PeerGone(s.conn) {
				return
			}
		}
	}
}

// countDelivery counts an event that is about to be sent to the core, which voids an earlier close by the core.
func (s *session) countDelivery() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delivered++
	s.coreClose = ""
}

// isUsedID reports whether the id of a message is not above that of an earlier request, so that an error response under
// that id might be a second answer to it.
func (s *session) isUsedID(m message) bool {
	num := parseWhole(m.id, maxID)
	return num > 0 && num <= s.lastID
}

// markUsed records the id of a bad message as used.
func (s *session) markUsed(m message) { s.lastID = max(s.lastID, parseWhole(m.id, maxID)) }

// register records a request as open, or returns an error if its id is used or too many requests are open.
func (s *session) register(m message) *requestError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUsedID(m) {
		return errUsedID
	}
	if len(s.open) >= maxOpen {
		return errTooMany
	}
	s.lastID = m.num
	s.open[m.id] = m.req.Handle
	s.unanswered[m.id] = true
	return nil
}

// expectAnswer records that the answer to an id is to be written.
func (s *session) expectAnswer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered[id] = true
}

// openCount returns the number of open requests.
func (s *session) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// release ends the request of an id, before its answer is written.
func (s *session) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

// hasUnanswered reports whether a request or check is unanswered.
func (s *session) hasUnanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unanswered) > 0
}

// send writes the answer to an id.
func (s *session) send(id string, parts ...[]byte) {
	s.outbound.Send(parts...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markAnswered(id)
}

// markAnswered records that the answer to an id is written or no longer needed. The caller holds the lock.
func (s *session) markAnswered(id string) {
	delete(s.unanswered, id)
	if len(s.unanswered) == 0 && s.quietClose != "" {
		s.wake()
	}
	select {
	case s.answered <- struct{}{}:
	default:
	}
}

// cancel removes an open request, named by its id or, without an id, by its handle. It returns the handle; "" if no
// such request is open.
func (s *session) cancel(id, handle string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for openID, h := range s.open {
		if openID == id || id == "" && h == handle {
			delete(s.open, openID)
			s.markAnswered(openID)
			return h
		}
	}
	return ""
}

// unreadBytes returns the number of received bytes that were not read as messages.
func (s *session) unreadBytes() int { return s.in.Buffered() + sock.UnreadBytes(s.conn) }

// unansweredRequests returns the number of unanswered requests and checks and up to maxLoggedIDs handles of such
// requests.
func (s *session) unansweredRequests() (count int, handles []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, handle := range s.open {
		if s.unanswered[id] && len(handles) < maxLoggedIDs {
			handles = append(handles, handle)
		}
	}
	return len(s.unanswered), handles
}

// endReason returns why a connection ended whose reader returned err, for the log.
func (s *session) endReason(err error) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.outbound.Err() != nil:
		return "client does not read its answers: " + s.outbound.Err().Error()
	case errors.Is(err, errClosed):
		return string(s.closedFor)
	case errors.Is(err, io.EOF):
		return "closed by the client"
	}
	return "connection failed: " + err.Error()
}
