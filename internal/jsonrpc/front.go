package jsonrpc

import (
	"bufio"
	"bytes"
	"encoding/base64"
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

const (
	codeRefused = -32001
	codeFailed  = -32000
	maxOpen     = 32                      // requests on one connection
	firstWithin = 1500 * time.Millisecond // after connecting, the first message is whole
	lineWithin  = 1500 * time.Millisecond // after its first byte, a further one is
	openWithin  = 8 * time.Second         // or, where requests are open, which its end would lose
	firstLook   = 5 * time.Millisecond    // whether the other side has gone altogether; then after twice as long
	maxLook     = 200 * time.Millisecond
	// maxLoggedIDs bounds the unanswered requests that the log names of one connection.
	maxLoggedIDs = 5
)

// errRetired is a connection that is read no further.
var errRetired = errors.New("retired")

// Front turns lines into the core's events and its answers into lines.
type Front struct {
	site *core.Site
	core *core.Core
	log  *slog.Logger
}

// New makes the front; its Handle serves one connection.
func New(site *core.Site, c *core.Core, log *slog.Logger) *Front { return &Front{site, c, log} }

// session is one connection. Its lock guards what follows it, and settles the crossing of what is read with the core's
// wish to end the connection: the reader alone decides, at the moment in which nothing is there to be read.
type session struct {
	outbound  *sock.WriteQueue
	in        *bufio.Reader
	src       *sock.Reader
	asked     bool   // a request or a check came; of its reader, as is last
	last      uint64 // the highest id so far
	mu        sync.Mutex
	open      map[string]string // handle by id; an id is free again before its answer is written
	owed      map[string]bool   // ids whose answer is not written yet, those of checks after a "c"
	answered  chan struct{}     // something was answered or withdrawn since it was last looked at
	delivered uint64            // events that the core was sent
	resting   bool              // its reader waits for the first byte of a line
	retire    bool              // the connection is to end unless something has come
	cut       bool              // nothing more is to be read
	why       core.CloseReason  // of the end that the core asked for last
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
		s.retire, s.why = true, why
		s.wake()
	}
}

// Cut implements core.Session.
func (s *session) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = true
	s.wake()
}

func (s *session) wake() {
	if s.resting {
		s.outbound.Wake()
	}
}

// rest has the reader wait for the first byte of a line, and up to a time, zero = at no time. It fails with errRetired
// when the connection is to end and nothing is there to be read, not even what has come but now.
func (s *session) rest(until time.Time) error {
	for {
		s.mu.Lock()
		s.resting = true
		s.src.NoWait = s.retire || s.cut
		s.outbound.Wait(until) // where it is woken after this, the wait ends at once
		s.mu.Unlock()
		_, err := s.in.Peek(1)
		s.mu.Lock()
		s.resting = false
		tried := s.src.NoWait
		s.src.NoWait = false
		cut, retire := s.cut, s.retire
		s.mu.Unlock()
		switch {
		case cut, retire && tried && errors.Is(err, os.ErrDeadlineExceeded):
			return errRetired
		case retire && !tried && errors.Is(err, os.ErrDeadlineExceeded): // woken
			continue
		}
		return err
	}
}

// deliver hands an event to the core, which from then on knows better than to end the connection.
func (f *Front) deliver(s *session, e core.Event) {
	s.mu.Lock()
	s.delivered++
	s.retire = false
	s.mu.Unlock()
	f.core.Send(e)
}

// awaitAnswers keeps a connection that is read no further until all that is open on it is answered, or its other side
// is gone.
func (s *session) awaitAnswers(conn net.Conn) {
	for look := firstLook; s.owes(); look = min(2*look, maxLook) {
		select {
		case <-s.outbound.Done():
			return
		case <-s.answered:
		case <-time.After(look):
			if sock.Broken(conn) {
				return
			}
		}
	}
}

// take notes an open id; false = it does not count up, or too many are open.
func (s *session) take(m message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.num <= s.last || len(s.open) >= maxOpen {
		return false
	}
	s.last = m.num
	s.open[m.id] = m.req.Handle
	s.owed[m.id] = true
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

// Handle reads one connection until it ends.
func (f *Front) Handle(conn net.Conn, outbound *sock.WriteQueue) {
	src := &sock.Reader{Conn: conn}
	s := &session{outbound: outbound, src: src, in: bufio.NewReaderSize(src, maxLine), open: map[string]string{}, owed: map[string]bool{}, answered: make(chan struct{}, 1)}
	f.core.Send(core.Opened{Session: s})
	defer f.core.Send(core.Closed{Session: s})
	began := time.Now()
	first := began.Add(firstWithin)
	for {
		var until time.Time
		if !s.asked {
			until = first
		}
		line, err := s.readLine(until)
		if err != nil {
			defer f.logEnd(s, conn, began, s.endReason(err))
			switch {
			case errors.Is(err, errRetired):
				s.awaitAnswers(conn)
			case errors.Is(err, io.EOF) && s.owes():
				// It may have closed its writing half alone, and wait for its answers. What it is told is an error
				// to one that has gone, which then shows.
				s.Drain(0)
				s.awaitAnswers(conn)
			case errors.Is(err, sock.ErrLong):
				f.log.Warn("bad message", "front", "jsonrpc", "err", err)
			case outbound.Err() != nil:
				f.log.Warn("connection cut", "front", "jsonrpc", "open", s.count(), "err", outbound.Err())
			}
			return
		}
		if len(line) > 0 && !f.message(s, line) {
			f.logEnd(s, conn, began, "bad message")
			return
		}
	}
}

// endReason names the end of a connection whose reader failed with err, for the log.
func (s *session) endReason(err error) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.outbound.Err() != nil:
		return "answers are not read"
	case errors.Is(err, errRetired) && s.cut:
		return "read no further"
	case errors.Is(err, errRetired):
		return string(s.why)
	case errors.Is(err, io.EOF):
		return "closed by the client"
	case errors.Is(err, sock.ErrLong):
		return "bad message"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "time limit"
	}
	return "broken: " + err.Error()
}

// logEnd logs the end of a connection. It is a warning where requests stand on it, delivered or unread, that will have
// no answer.
func (f *Front) logEnd(s *session, conn net.Conn, began time.Time, why string) {
	unread := s.in.Buffered() + sock.Unread(conn)
	s.mu.Lock()
	unanswered := len(s.owed)
	var ids []string
	for id, handle := range s.open {
		if len(ids) < maxLoggedIDs && s.owed[id] {
			ids = append(ids, handle)
		}
	}
	last := s.last
	s.mu.Unlock()
	attrs := []any{"front", "jsonrpc", "peer", conn.RemoteAddr().String(), "why", why, "age_ms", time.Since(began).Milliseconds(),
		"last_id", last, "unanswered", unanswered, "unread_bytes", unread}
	if unanswered == 0 && unread == 0 {
		f.log.Info("connection ended", attrs...)
		return
	}
	f.log.Warn("connection ended over requests", append(attrs, "ids", ids)...)
}

// readLine reads a line. Until a time it has to come whole, zero = no time is set: the core closes what stands idle.
// A line that has begun has to come whole then too: guards against clients that send half of one.
func (s *session) readLine(until time.Time) ([]byte, error) {
	if p, _ := s.in.Peek(s.in.Buffered()); bytes.IndexByte(p, '\n') >= 0 {
		return sock.Line(s.in)
	}
	if s.in.Buffered() == 0 {
		if err := s.rest(until); err != nil {
			return nil, err
		}
	}
	if until.IsZero() {
		within := lineWithin
		if s.count() > 0 {
			within = openWithin
		}
		until = time.Now().Add(within)
	}
	s.outbound.Wait(until)
	return sock.Line(s.in)
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
			s.outbound.Send(errorLine(m.id, bad.code, bad.text, nil))
		}
		return false
	}
	switch m.method {
	case "status":
		s.asked = true
		s.mu.Lock()
		s.owed["c"+m.id] = true
		s.mu.Unlock()
		f.deliver(s, core.Check{Session: s, Reply: reply{s, m.id}, Deep: m.deep})
	case "withdraw":
		m.req.Handle = s.withdraw(m.ref, m.req.Handle)
		f.deliver(s, core.Withdraw{Session: s, Handle: m.req.Handle})
	default:
		s.asked = true
		f.deliver(s, core.Arrive{Session: s, Reply: reply{s, m.id}, Req: m.req})
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
		r.s.send("c"+r.id, []byte(head), comma(data), []byte("}}\n"))
		return
	case core.Served:
		r.s.release(r.id)
		head := `{"jsonrpc":"2.0","id":` + r.id + `,"result":{"bytes":"`
		body := base64.StdEncoding.AppendEncode(make([]byte, 0, base64.StdEncoding.EncodedLen(len(a.Body))+1), a.Body)
		r.s.send(r.id, []byte(head), append(body, '"'), comma(data), []byte("}}\n"))
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
	r.s.send(r.id, errorLine(r.id, code, a.Why, data))
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
