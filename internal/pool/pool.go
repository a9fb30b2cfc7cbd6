// Package pool is the link to the worker pool.
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
	steady      = 100 * time.Millisecond // a link that lasted so long worked
	// A link on which the pool says nothing at all is given up after firstWord, and after twice that each time up to
	// lastWord: a pool that is slow to speak is waited for.
	firstWord = time.Second
	lastWord  = 16 * time.Second
)

// Link keeps one connection to the worker pool open. Commands given while there is none are lost: the core
// sends again what matters once the link is back.
type Link struct {
	sink  func(core.Event)
	log   *slog.Logger
	moved chan struct{}
	read  atomic.Uint64 // number of the last notice that was read; Keep's goroutine writes it

	// Keep's goroutine alone has these.
	dialed time.Time // when the connection of this link was made
	bound  time.Time // when that of the last link was made on which the pool spoke: it had begun by then
	anew   bool      // the pool began since, and may number its notices from 1

	mu       sync.Mutex
	addr     string
	outbound *sock.WriteQueue // nil = no link

	supplied map[string]bool // handles of runs that were given a reply on this link and have told nothing since
}

// New makes a link that tells sink what comes.
func New(addr string, sink func(core.Event), log *slog.Logger) *Link {
	return &Link{addr: addr, sink: sink, log: log, moved: make(chan struct{}, 1)}
}

// Move ends the link and makes the next one to another address, at once.
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

// Keep keeps the link up until ctx ends. The first try after a link that worked is made at once: while
// there is none, runs go on that nobody hears of.
func (l *Link) Keep(ctx context.Context) {
	var wait sock.Backoff
	silence := firstWord
	for ctx.Err() == nil {
		up := time.Now()
		bound, err := l.once(ctx, silence)
		if ctx.Err() != nil {
			return
		}
		select {
		case <-l.moved:
			wait.Reset()
			silence = firstWord
			continue
		default:
		}
		if bound {
			silence = firstWord
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			silence = min(2*silence, lastWord)
		}
		l.log.Warn("link down", "to", "pool", "err", err)
		if bound && time.Since(up) > steady && !errors.Is(err, errNotice) {
			wait.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-l.moved:
			wait.Reset()
		case <-time.After(wait.Next()):
		}
	}
}

// once is the life of one connection, on which the worker pool speaks within silence; bound = it did.
func (l *Link) once(ctx context.Context, silence time.Duration) (bound bool, err error) {
	l.mu.Lock()
	addr := l.addr
	l.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	l.dialed = time.Now()
	outbound := sock.NewWriteQueue(conn)
	defer outbound.Kill()
	defer context.AfterFunc(ctx, outbound.Kill)()
	if !l.begin(outbound, addr) {
		return false, errMoved
	}
	defer func() {
		l.mu.Lock()
		l.outbound = nil
		l.mu.Unlock()
		l.sink(core.PoolLost{})
	}()
	conn.SetReadDeadline(time.Now().Add(silence))
	in := bufio.NewReaderSize(conn, maxLine)
	for {
		line, err := sock.Line(in)
		if err != nil {
			return bound, err
		}
		if err := l.notice(line); err != nil {
			return bound, err
		}
		if !bound {
			bound = true
			conn.SetReadDeadline(time.Time{})
		}
	}
}

// begin makes outbound the link, with its bind as the first line; false = it goes to an address that was left
// meanwhile, and nothing was sent. Whoever sees the bind can rely on a Move to end the link.
func (l *Link) begin(outbound *sock.WriteQueue, addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr != l.addr {
		return false
	}
	outbound.Send([]byte(`{"event":"bind","cursor":` + strconv.FormatUint(l.read.Load(), 10) + "}\n"))
	l.outbound, l.supplied = outbound, map[string]bool{}
	return true
}

func (l *Link) send(parts ...[]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outbound != nil {
		l.outbound.Send(parts...)
	}
}

var (
	errNotice = errors.New("malformed notice")
	errMoved  = errors.New("the address was left")
)

// notice is one line of the worker pool.
type notice struct {
	event, handle, fate, ticket string
	cursor                      uint64
	lasted                      time.Duration
	figures                     []float64
	body                        []byte // finished, blocked
}

// parse reads one line of the worker pool.
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

// notice takes one line of the worker pool. One that cannot be read is asked for again.
func (l *Link) notice(line []byte) error {
	n, err := parse(line)
	if err != nil {
		return err
	}
	if n.cursor > 0 {
		if n.cursor <= l.read.Load() && !(l.anew && n.cursor == 1) { // it came already, on this link or an earlier one
			return nil
		}
		l.anew = false
		defer l.read.Store(n.cursor)
	}
	if n.event == "blocked" || n.event == "finished" {
		l.mu.Lock()
		delete(l.supplied, n.handle)
		l.mu.Unlock()
	}
	switch n.event {
	case "bound":
		// Guards against notices of a pool that numbers them anew, taken for those that came already.
		l.anew = l.anew || time.Now().Add(-n.lasted).After(l.bound)
		l.bound = l.dialed
		l.sink(core.PoolBound{Cold: n.fate == "chilly", Age: n.lasted})
	case "polled":
		l.sink(core.PoolPolled{Ticket: n.ticket, Figures: n.figures})
	case "verified":
		l.sink(core.PoolVerified{Ticket: n.ticket, OK: n.fate == "complete"})
	case "blocked":
		l.sink(core.PoolBlocked{Handle: n.handle, Notice: n.cursor, Body: n.body})
	case "finished":
		l.sink(core.PoolFinished{Handle: n.handle, End: end(n.fate), Took: n.lasted, Body: n.body})
	case "unknown":
		l.log.Warn("command not carried out", "command", n.fate, "handle", n.handle)
		l.sink(core.PoolUnknown{Command: n.fate, Handle: n.handle})
	}
	return nil
}

func end(fate string) control.Outcome {
	switch fate {
	case "complete":
		return control.OK
	case "cancelled":
		return control.Stopped
	case "unknown":
		return control.Moot
	}
	return control.Errored
}

func command(event, handle string) []byte {
	return []byte(`{"event":"` + event + `","handle":"` + handle + `"`)
}

func arg(body []byte) []byte {
	out := append(make([]byte, 0, base64.StdEncoding.EncodedLen(len(body))+16), `,"arg":"`...)
	return append(base64.StdEncoding.AppendEncode(out, body), '"', '}', '\n')
}

// Cursor is the number of the last notice that was read. It is safe from any goroutine.
func (l *Link) Cursor() uint64 { return l.read.Load() }

// Run starts a request.
func (l *Link) Run(handle, class string, body []byte) { l.send(spawn(handle, class, body)...) }

func spawn(handle, class string, body []byte) [][]byte {
	return [][]byte{command("spawn", handle), []byte(`,"entry":` + strconv.Quote(class)), arg(body)}
}

// Stop stops a run.
func (l *Link) Stop(handle string) { l.send(command("suspend", handle), []byte("}\n")) }

// Supply gives a run the reply that it waits for, once on each link: a copy does nothing. Guards against a reply that goes
// out on a new link before the core has heard of the end of the one before, and that it has sent again for that: the run
// would take the copy for the reply to its next call.
func (l *Link) Supply(handle string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outbound != nil && !l.supplied[handle] {
		l.supplied[handle] = true
		l.outbound.Send(supply(handle, body)...)
	}
}

func supply(handle string, body []byte) [][]byte {
	return [][]byte{command("supply", handle), arg(body)}
}

// Pass has a run go on without the call that a notice asked for.
func (l *Link) Pass(handle string, notice uint64) {
	l.send(command("pass", handle), []byte(`,"cursor":`+strconv.FormatUint(notice, 10)+"}\n"))
}

// Verify asks for the work of a deep health check.
func (l *Link) Verify(ticket string) {
	l.send([]byte(`{"event":"verify","ticket":"` + ticket + "\"}\n"))
}

// Poll asks for the gauges.
func (l *Link) Poll(ticket string) {
	l.send([]byte(`{"event":"poll","ticket":"` + ticket + "\"}\n"))
}
