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

// errEnd is a connection that the server ends, at a moment in which nothing stands on it.
var errEnd = errors.New("the connection is ended")

// The complaints about a request that parses, and cannot be taken.
var (
	faultSeen    = &fault{badRequest, "the id is not new"}
	faultTooMany = &fault{badRequest, "too many requests are open"}
)

// idOfNone is the id of an error that belongs to no request.
const idOfNone = "null"

// The reasons for which the front itself ends a connection, for the log.
const (
	endTimeLimit  core.CloseReason = "a message did not come whole in time"
	endBadMessage core.CloseReason = "bad message"
	endProcess    core.CloseReason = "end of the process"
)

// session is one connection. Its reader alone decides when the server ends it. The lock guards the fields that follow it,
// which the core's loop and the reader share.
type session struct {
	conn     net.Conn
	outbound *sock.WriteQueue
	in       *bufio.Reader
	src      *sock.Reader

	// These belong to the reader.
	asked bool   // a request or a check came
	last  uint64 // the highest id so far
	bad   int    // bad messages since the last good one

	mu        sync.Mutex
	open      map[string]string // handle by id; an id is free again before its answer is written
	owed      map[string]bool   // ids whose answer is not written yet, those of checks after a "c"
	answered  chan struct{}     // something was answered or withdrawn since it was last looked at
	delivered uint64            // events that the core was sent
	waiting   bool              // the reader waits for bytes
	retire    core.CloseReason  // the core asks for the end, unless something comes; "" = it does not
	final     core.CloseReason  // the connection ends once nothing stands on it, whatever comes; "" = it does not
	ended     core.CloseReason  // why it did
}

func newSession(conn net.Conn, outbound *sock.WriteQueue) *session {
	src := &sock.Reader{Conn: conn}
	return &session{conn: conn, outbound: outbound, src: src, in: bufio.NewReaderSize(src, maxLine),
		open: map[string]string{}, owed: map[string]bool{}, answered: make(chan struct{}, 1)}
}

// Drain says that nothing new should come on this connection.
func (s *session) Drain(time.Duration) {
	s.outbound.Send([]byte(`{"jsonrpc":"2.0","method":"draining"}` + "\n"))
}

// Close implements core.Session.
func (s *session) Close(heard uint64, why core.CloseReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delivered == heard {
		s.retire = why
		s.wake()
	}
}

// endWhenQuiet has the connection end once nothing stands on it.
func (s *session) endWhenQuiet(why core.CloseReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final == "" || why == endTimeLimit {
		s.final = why
	}
}

// wake has a reader that waits look again at what is asked of it. The caller holds the lock.
func (s *session) wake() {
	if s.waiting {
		s.outbound.Wake()
	}
}

// endAsked returns why the connection is to end now if nothing is there to be read; "" = it is not, answers are owed, or
// half a line stands on it, whose rest is waited for. The caller holds the lock, and is the reader.
func (s *session) endAsked() core.CloseReason {
	switch {
	case s.outbound.Stopping():
		return endProcess // the core has answered all that it will
	case len(s.owed) > 0:
		return ""
	case s.final == endTimeLimit:
		return s.final
	case s.in.Buffered() > 0:
		return ""
	case s.final != "":
		return s.final
	}
	return s.retire
}

// await waits for at least one further byte, up to a time; zero = for as long as it takes. Its errors come only after a
// look that found nothing to be read: errEnd where the connection is to end, os.ErrDeadlineExceeded where the time is
// over; others are those of a connection that has ended or failed.
func (s *session) await(until time.Time) error {
	for flush := flushLook; ; {
		s.mu.Lock()
		looks := s.endAsked() != "" || !until.IsZero() && !time.Now().Before(until)
		s.src.NoWait = looks
		s.waiting = !looks
		if !looks {
			s.outbound.Wait(until) // where it is woken after this, the wait ends at once
		}
		s.mu.Unlock()
		_, err := s.in.Peek(s.in.Buffered() + 1)
		s.mu.Lock()
		s.waiting = false
		s.src.NoWait = false
		why := s.endAsked()
		nothing := errors.Is(err, os.ErrDeadlineExceeded)
		ends := looks && nothing && why != "" && s.outbound.CloseIfQuiet()
		if ends {
			s.ended = why
		}
		s.mu.Unlock()
		switch {
		case ends:
			return errEnd
		case !nothing:
			return err
		case looks && why != "": // something has come just now, or an answer is still being written
			if s.outbound.Err() != nil {
				return s.outbound.Err()
			}
			time.Sleep(flush)
			flush = min(2*flush, maxLook)
		case looks && !until.IsZero() && !time.Now().Before(until):
			return err
		}
	}
}

// readLine reads a line. Until a time it has to come whole; zero = no time is set, as the core closes what stands idle. A
// line that has begun has to come whole in time all the same, which ends a connection on which half of one stands. A
// line that is too long is passed over, piece by piece, each of which is sock.ErrLong.
func (s *session) readLine(until time.Time) ([]byte, error) {
	for begun := s.in.Buffered() > 0; ; begun = true {
		if begun && until.IsZero() {
			until = time.Now().Add(s.lineTime())
		}
		buffered, _ := s.in.Peek(s.in.Buffered())
		if bytes.IndexByte(buffered, '\n') >= 0 {
			return sock.Line(s.in)
		}
		if len(buffered) == s.in.Size() {
			s.in.Discard(len(buffered))
			return nil, fmt.Errorf("%w: over %d bytes", sock.ErrLong, s.in.Size())
		}
		if err := s.await(s.limit(until)); err != nil {
			return nil, err
		}
	}
}

// lineTime is how long a line that has begun may take.
func (s *session) lineTime() time.Duration {
	if s.count() > 0 {
		return openWithin
	}
	return lineWithin
}

// limit returns the time by which a line has to be whole: none once that is over, and the connection only waits for
// answers before it ends.
func (s *session) limit(until time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final == endTimeLimit {
		return time.Time{}
	}
	return until
}

// mayEndOverUnread reports whether the connection ends although more may be there to be read: its client sends one bad
// message after another, and no request is open. Guards against a client that goes on with that at full speed.
func (s *session) mayEndOverUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bad < maxBad || len(s.owed) > 0 {
		return false
	}
	s.ended = endBadMessage
	return true
}

// awaitAnswers waits until all that is open is answered, or the other side is gone.
func (s *session) awaitAnswers() {
	for look := firstLook; s.owes(); look = min(2*look, maxLook) {
		select {
		case <-s.outbound.Done():
			return
		case <-s.answered:
		case <-time.After(look):
			if sock.Broken(s.conn) {
				return
			}
		}
	}
}

// delivers notes an event that the core is about to be sent.
func (s *session) delivers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delivered++
	s.retire = ""
}

// seen reports whether the id of a message is that of a request which came before it, so that an error under that id
// would be its second answer.
func (s *session) seen(m message) bool {
	num := whole(m.id, maxID)
	return num > 0 && num <= s.last
}

// passOver has the id of a bad message count as used.
func (s *session) passOver(m message) { s.last = max(s.last, whole(m.id, maxID)) }

// take notes an open id, or returns a complaint.
func (s *session) take(m message) *fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen(m) {
		return faultSeen
	}
	if len(s.open) >= maxOpen {
		return faultTooMany
	}
	s.last = m.num
	s.open[m.id] = m.req.Handle
	s.owed[m.id] = true
	return nil
}

// owe notes that an answer is owed to an id.
func (s *session) owe(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owed[id] = true
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

func (s *session) owes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owed) > 0
}

// send writes the answer to an id, which is owed no longer.
func (s *session) send(id string, parts ...[]byte) {
	s.outbound.Send(parts...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(id)
}

// settle notes that no answer to an id is owed. The caller holds the lock.
func (s *session) settle(id string) {
	delete(s.owed, id)
	if len(s.owed) == 0 && s.final != "" {
		s.wake()
	}
	select {
	case s.answered <- struct{}{}:
	default:
	}
}

// withdraw takes an open request off, named by its id or, with no id, by its handle; "" = none is open.
func (s *session) withdraw(id, handle string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, h := range s.open {
		if i == id || id == "" && h == handle {
			delete(s.open, i)
			s.settle(i)
			return h
		}
	}
	return ""
}

// unread is how many bytes have come that were not read as messages.
func (s *session) unread() int { return s.in.Buffered() + sock.Unread(s.conn) }

// unanswered returns how many requests and checks are owed an answer, and the handles of some.
func (s *session) unanswered() (count int, handles []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, handle := range s.open {
		if s.owed[id] && len(handles) < maxLoggedIDs {
			handles = append(handles, handle)
		}
	}
	return len(s.owed), handles
}

// endReason names the end of a connection whose reader returned err, for the log.
func (s *session) endReason(err error) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.outbound.Err() != nil:
		return "answers are not read: " + s.outbound.Err().Error()
	case errors.Is(err, errEnd):
		return string(s.ended)
	case errors.Is(err, io.EOF):
		return "closed by the client"
	}
	return "broken: " + err.Error()
}
