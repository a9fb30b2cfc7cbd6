// Package pool maintains the connection to the worker pool: it sends commands, reads notices and reconnects after a
// break.
package pool

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/sock"
)

const (
	maxLine     = 64 << 10
	dialTimeout = time.Second
	// minHealthyLink is how long a link must last to be reestablished without a backoff.
	minHealthyLink = 100 * time.Millisecond
	// A link on which the pool sends nothing at all is given up after minFirstNoticeWait. The wait doubles each time
	// up to maxFirstNoticeWait, so that a pool that is slow to answer is waited for.
	minFirstNoticeWait = time.Second
	maxFirstNoticeWait = 16 * time.Second
)

// Link keeps one connection to the worker pool open. Commands sent while it is down are dropped: the core repeats
// those that matter once the link is back.
type Link struct {
	sink     func(core.Event)
	log      *slog.Logger
	moved    chan struct{}
	lastRead atomic.Uint64 // number of the last notice read; written only by the goroutine that maintains the link

	// Only the goroutine that maintains the link uses these.
	dialed    time.Time // when the current connection was made
	bound     time.Time // when the last connection on which the pool answered was made; the pool was running by then
	restarted bool      // the pool has restarted since and may number its notices from 1

	mu       sync.Mutex
	addr     string
	outbound *sock.WriteQueue // nil while the link is down
}

// New returns a link that passes the notices of the worker pool to sink. It does not connect yet.
func New(addr string, sink func(core.Event), log *slog.Logger) *Link {
	return &Link{addr: addr, sink: sink, log: log, moved: make(chan struct{}, 1)}
}

// Move closes the current connection and reconnects to another address at once.
func (l *Link) Move(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == addr {
		return
	}
	l.addr = addr
	select {
	case l.moved <- struct{}{}:
	default:
	}
	if l.outbound != nil {
		l.outbound.Kill()
	}
}

// Maintain keeps the link up until ctx ends. It reconnects without a delay after a link that worked, because runs finish
// unnoticed while the link is down.
func (l *Link) Maintain(ctx context.Context) {
	var backoff sock.Backoff
	firstNoticeWait := minFirstNoticeWait
	for ctx.Err() == nil {
		started := time.Now()
		bound, err := l.serveConn(ctx, firstNoticeWait)
		if ctx.Err() != nil {
			return
		}
		select {
		case <-l.moved:
			backoff.Reset()
			firstNoticeWait = minFirstNoticeWait
			continue
		default:
		}
		if bound {
			firstNoticeWait = minFirstNoticeWait
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			firstNoticeWait = min(2*firstNoticeWait, maxFirstNoticeWait)
		}
		l.log.Warn("link down", "to", "pool", "err", err)
		if bound && time.Since(started) > minHealthyLink && !errors.Is(err, errNotice) {
			backoff.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-l.moved:
			backoff.Reset()
		case <-time.After(backoff.Next()):
		}
	}
}

// serveConn opens a connection and reads it until it fails. It fails if the worker pool sends no notice within
// firstNoticeWait; bound reports whether the pool sent one.
func (l *Link) serveConn(ctx context.Context, firstNoticeWait time.Duration) (bound bool, err error) {
	l.mu.Lock()
	addr := l.addr
	l.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	l.dialed = time.Now()
	outbound := sock.NewWriteQueue(conn)
	defer outbound.Kill()
	defer context.AfterFunc(ctx, outbound.Kill)()
	if !l.bind(outbound, addr) {
		return false, errMoved
	}
	defer func() {
		l.mu.Lock()
		l.outbound = nil
		l.mu.Unlock()
		l.sink(core.PoolLost{})
	}()
	conn.SetReadDeadline(time.Now().Add(firstNoticeWait))
	in := bufio.NewReaderSize(conn, maxLine)
	for {
		line, err := sock.ReadLine(in)
		if err != nil {
			return bound, err
		}
		if err := l.handle(line); err != nil {
			return bound, err
		}
		if !bound {
			bound = true
			conn.SetReadDeadline(time.Time{})
		}
	}
}

// bind makes outbound the current connection and sends the bind as its first line. It returns false, and sends
// nothing, if Move has changed the address meanwhile. After the bind has been sent a Move closes the connection.
func (l *Link) bind(outbound *sock.WriteQueue, addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr != l.addr {
		return false
	}
	outbound.Send([]byte(`{"event":"bind","cursor":` + strconv.FormatUint(l.lastRead.Load(), 10) + "}\n"))
	l.outbound = outbound
	return true
}

// send queues a command line on the current connection; false = there is none, and the line is dropped.
func (l *Link) send(parts ...[]byte) (sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outbound != nil && l.outbound.Send(parts...)
}

var (
	errNotice = errors.New("malformed notice")
	errMoved  = errors.New("the address has changed")
)

// notice is one decoded line from the worker pool.
type notice struct {
	event, handle, fate, ticket string
	cursor                      uint64
	lasted                      time.Duration
	figures                     []float64
	body                        []byte // of finished and blocked
}

// parse decodes one line from the worker pool.
func parse(line []byte) (n notice, err error) {
	if !gjson.ValidBytes(line) {
		return n, fmt.Errorf("%w: not JSON", errNotice)
	}
	var arg string
	gjson.ParseBytes(line).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "event":
			n.event = v.Str
		case "handle":
			n.handle = v.Str
		case "fate":
			n.fate = v.Str
		case "arg":
			arg = v.Str
		case "ticket":
			n.ticket = v.Str
		case "cursor":
			n.cursor = v.Uint()
		case "lasted":
			n.lasted = time.Duration(v.Num * float64(time.Millisecond))
		case "figures":
			for _, x := range v.Array() {
				n.figures = append(n.figures, x.Num)
			}
		}
		return true
	})
	if n.event == "finished" || n.event == "blocked" {
		if n.body, err = base64.StdEncoding.DecodeString(arg); err != nil {
			return n, fmt.Errorf("%w: %w", errNotice, err)
		}
	}
	return n, nil
}

// handle processes one line from the worker pool. An error closes the connection, and the next bind asks for the notice
// again.
func (l *Link) handle(line []byte) error {
	n, err := parse(line)
	if err != nil {
		return err
	}
	if n.cursor > 0 {
		if n.cursor <= l.lastRead.Load() && !(l.restarted && n.cursor == 1) { // already read
			return nil
		}
		l.restarted = false
		defer l.lastRead.Store(n.cursor)
	}
	switch n.event {
	case "bound":
		// Prevents the notices of a restarted pool, which numbers them from 1, from being dropped as duplicates.
		restarted := time.Now().Add(-n.lasted).After(l.bound)
		l.log.Info("worker pool bound", "cursor", l.lastRead.Load(), "age_ms", n.lasted.Milliseconds(),
			"restarted", restarted && !l.bound.IsZero())
		l.restarted = l.restarted || restarted
		l.bound = l.dialed
		l.sink(core.PoolBound{Cold: n.fate == "chilly", Age: n.lasted})
	case "polled":
		l.sink(core.PoolGauges{Ticket: n.ticket, Values: n.figures})
	case "verified":
		l.sink(core.PoolVerified{Ticket: n.ticket, OK: n.fate == "complete"})
	case "blocked":
		l.sink(core.PoolBlocked{Handle: n.handle, Notice: n.cursor, Body: n.body})
	case "finished":
		l.sink(core.PoolFinished{Handle: n.handle, Outcome: outcomeOf(n.fate), RunTime: n.lasted, Body: n.body})
	case "unknown":
		l.log.Warn("command not carried out", "command", n.fate, "handle", n.handle)
		l.sink(core.PoolCommandUnknown{Command: n.fate, Handle: n.handle})
	}
	return nil
}

// outcomeOf returns the outcome that a finished notice reports as its fate.
func outcomeOf(fate string) control.Outcome {
	switch fate {
	case "complete":
		return control.OK
	case "cancelled":
		return control.Stopped
	case "unknown":
		return control.NotStarted
	}
	return control.Errored
}

// command returns the opening of a command line; the caller appends the further fields and the closing brace.
func command(event, handle string) []byte {
	return []byte(`{"event":"` + event + `","handle":"` + handle + `"`)
}

// arg returns the arg field, body in base64, and the end of the command line.
func arg(body []byte) []byte {
	out := append(make([]byte, 0, base64.StdEncoding.EncodedLen(len(body))+16), `,"arg":"`...)
	return append(base64.StdEncoding.AppendEncode(out, body), '"', '}', '\n')
}

// Cursor returns the number of the last notice read. It is safe for concurrent use.
func (l *Link) Cursor() uint64 { return l.lastRead.Load() }

// Run starts a run of a request of class with body under handle. It returns false if there is no connection.
func (l *Link) Run(handle, class string, body []byte) (sent bool) {
	return l.send(spawn(handle, class, body)...)
}

func spawn(handle, class string, body []byte) [][]byte {
	return [][]byte{command("spawn", handle), []byte(`,"entry":` + strconv.Quote(class)), arg(body)}
}

// Stop asks the pool to stop a run.
func (l *Link) Stop(handle string) { l.send(command("suspend", handle), []byte("}\n")) }

// Supply sends a run the reply that it waits for. It returns false if there is no connection.
func (l *Link) Supply(handle string, body []byte) (sent bool) {
	return l.send(supply(handle, body)...)
}

func supply(handle string, body []byte) [][]byte {
	return [][]byte{command("supply", handle), arg(body)}
}

// SkipCall has a run continue without the call that a blocked notice asked for.
func (l *Link) SkipCall(handle string, notice uint64) (sent bool) {
	return l.send(command("pass", handle), []byte(`,"cursor":`+strconv.FormatUint(notice, 10)+"}\n"))
}

// Verify requests a deep health check, answered with a verified notice under ticket.
func (l *Link) Verify(ticket string) {
	l.send([]byte(`{"event":"verify","ticket":"` + ticket + "\"}\n"))
}

// Poll requests the gauges, answered with a polled notice under ticket.
func (l *Link) Poll(ticket string) {
	l.send([]byte(`{"event":"poll","ticket":"` + ticket + "\"}\n"))
}
