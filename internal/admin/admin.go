// Package admin is the operators' door: a second address that speaks HTTP/1.1, one call a connection.
//
//	GET /healthcheck       200 once this process serves and no drain was called, else 503
//	GET /stats             200, the figures as name=value lines
//	PUT /healthcheck/fail  200; health answers 503 from now on: the platform sends the balancers away
//	PUT /healthcheck/ok    200; health answers as the process stands again
//
// The door reads only what the core loop publishes, and never waits on the loop: a drain reaches it as a Hold
// event, sent by a goroutine of the door's own.
package admin

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"larchscale/internal/core"
)

// Bounds of the door.
const (
	MaxConns    = 32          // connections at a time; beyond, the oldest silent one goes
	MaxHead     = 4 << 10     // bytes of a request's head; more is answered 431
	headWithin  = time.Second // a request head has to come whole within
	writeWithin = time.Second // an answer has to leave within
)

// Sizes of the answer of /stats, which it gets room for at once.
const (
	linesPerClass = 4
	expectedLine  = 32 // bytes
)

// Door answers the operators' calls.
type Door struct {
	classes []string
	figures func() *core.Figures
	holder  *Holder
	log     *slog.Logger
	server  *http.Server
	more    func() []byte // further figures; nil = none
}

// New makes a door for the figures of classes, in the order of Site.Classes. A drain or its end goes to holder.
func New(classes []string, figures func() *core.Figures, holder *Holder, log *slog.Logger) *Door {
	d := &Door{classes: classes, figures: figures, log: log, holder: holder}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthcheck", d.health)
	mux.HandleFunc("/healthcheck/fail", d.hold(true))
	mux.HandleFunc("/healthcheck/ok", d.hold(false))
	mux.HandleFunc("/stats", d.stats)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such call", http.StatusNotFound) })
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: headWithin, ReadTimeout: headWithin,
		WriteTimeout: writeWithin, IdleTimeout: headWithin, MaxHeaderBytes: MaxHead,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	d.server.SetKeepAlivesEnabled(false)
	return d
}

// Serve answers on l until Close.
func (d *Door) Serve(l net.Listener) error {
	err := d.server.Serve(&bounded{Listener: l, room: MaxConns})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops the door and the calls in hand.
func (d *Door) Close() error { return d.server.Close() }

func only(method string, w http.ResponseWriter, r *http.Request) bool {
	if r.Method == method {
		return true
	}
	w.Header().Set("Allow", method)
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	return false
}

func (d *Door) health(w http.ResponseWriter, r *http.Request) {
	if !only(http.MethodGet, w, r) {
		return
	}
	switch {
	case d.holder.Held():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !d.figures().Serves:
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ok\n"))
	}
}

func (d *Door) hold(held bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !only(http.MethodPut, w, r) {
			return
		}
		if d.holder.Hold(ByOperator, held) {
			d.log.Info("health held", "held", held)
		}
		w.Write([]byte("ok\n"))
	}
}

func (d *Door) stats(w http.ResponseWriter, r *http.Request) {
	if !only(http.MethodGet, w, r) {
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(Lines(d.classes, d.figures()))
	if d.more != nil {
		w.Write(d.more())
	}
}

// Also has the figures end with those that more gives, which is called from any goroutine. It is set before Serve.
func (d *Door) Also(more func() []byte) { d.more = more }

// Lines writes figures as the operators read them: svc.ok.C, svc.shed.C, svc.errors.C, svc.tries.C for each
// class C, then svc.active and the calls below, one name=value a line.
func Lines(classes []string, f *core.Figures) []byte {
	var b bytes.Buffer
	b.Grow(len(classes) * linesPerClass * expectedLine)
	for _, set := range []struct {
		name   string
		counts []uint64
	}{{"ok", f.OK}, {"shed", f.Shed}, {"errors", f.Errors}, {"tries", f.Tries}} {
		for i, c := range classes {
			b.WriteString("svc.")
			b.WriteString(set.name)
			b.WriteByte('.')
			b.WriteString(c)
			b.WriteByte('=')
			b.Write(strconv.AppendUint(b.AvailableBuffer(), set.counts[i], 10))
			b.WriteByte('\n')
		}
	}
	b.WriteString("svc.active=" + strconv.Itoa(f.Active) + "\n")
	fmt.Fprintf(&b, "calls.hand=%d\ncalls.wait=%d\ncalls.lost=%d\n", f.Calls, f.Waiting, f.Lost)
	return b.Bytes()
}

// bounded keeps up to its room of connections. A newcomer beyond it takes the place of the oldest that has sent
// nothing yet, or is closed unseen where all have: callers who say nothing hold up nobody else.
type bounded struct {
	net.Listener
	room  int
	mu    sync.Mutex
	slots []*slot // in the order they came
}

func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if s := b.take(c); s != nil {
			return s, nil
		}
		c.Close()
	}
}

func (b *bounded) take(c net.Conn) *slot {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.slots) >= b.room {
		i := slices.IndexFunc(b.slots, func(s *slot) bool { return !s.heard.Load() })
		if i < 0 {
			return nil
		}
		old := b.slots[i]
		b.slots = slices.Delete(b.slots, i, i+1)
		old.gone.Store(true)
		old.Conn.Close()
	}
	s := &slot{Conn: c, of: b}
	b.slots = append(b.slots, s)
	return s
}

func (b *bounded) drop(s *slot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.slots, s); i >= 0 {
		b.slots = slices.Delete(b.slots, i, i+1)
	}
}

type slot struct {
	net.Conn
	of    *bounded
	heard atomic.Bool // a byte came
	gone  atomic.Bool // out of the room
}

func (s *slot) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.heard.Store(true)
	}
	return n, err
}

func (s *slot) Close() error {
	if !s.gone.Swap(true) {
		s.of.drop(s)
	}
	return s.Conn.Close()
}
