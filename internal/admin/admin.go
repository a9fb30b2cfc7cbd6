// Package admin is the admin endpoint for operators: HTTP/1.1 on a second address, one request per connection.
//
//	GET /healthcheck       200 if this process serves and its health is not held down, else 503
//	GET /stats             200, the metrics as name=value lines
//	PUT /healthcheck/fail  200; health answers 503 from now on, so that the platform moves the balancers away
//	PUT /healthcheck/ok    200; health reports the state of the process again
//
// The endpoint reads only what the core loop publishes and never waits for the loop: a change of the health is sent to
// it as a core.OperatorDrain event by a goroutine of its own.
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

// Limits of the endpoint.
const (
	MaxConns       = 32          // open connections; a further one replaces the oldest that has sent nothing
	MaxHeaderBytes = 4 << 10     // bytes of a request header; a longer one is answered 431
	requestTimeout = time.Second // time limit for a request
	writeTimeout   = time.Second // time limit for writing an answer
)

// Expected size of the answer of /stats, for which memory is allocated at once.
const (
	linesPerClass   = 4
	expectedLineLen = 32 // bytes
)

// Server is the HTTP server of the admin endpoint.
type Server struct {
	classes []string
	figures func() *core.Metrics
	holder  *HealthHolder
	log     *slog.Logger
	server  *http.Server
	extra   func() []byte // returns further metrics; nil for none
}

// New returns a server for the metrics of classes, in the order of Site.Classes. Operators hold the health down and
// release it through holder.
func New(classes []string, figures func() *core.Metrics, holder *HealthHolder, log *slog.Logger) *Server {
	d := &Server{classes: classes, figures: figures, log: log, holder: holder}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthcheck", d.getHealth)
	mux.HandleFunc("/healthcheck/fail", d.setHealth(true))
	mux.HandleFunc("/healthcheck/ok", d.setHealth(false))
	mux.HandleFunc("/stats", d.getStats)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such call", http.StatusNotFound) })
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: requestTimeout, MaxHeaderBytes: MaxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	d.server.SetKeepAlivesEnabled(false)
	return d
}

// Serve serves on l until Close.
func (d *Server) Serve(l net.Listener) error {
	err := d.server.Serve(&limitListener{Listener: l, limit: MaxConns})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes the listener and the open connections.
func (d *Server) Close() error { return d.server.Close() }

// requireMethod reports whether a request has the given method, and answers 405 otherwise.
func requireMethod(method string, w http.ResponseWriter, r *http.Request) bool {
	if r.Method == method {
		return true
	}
	w.Header().Set("Allow", method)
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	return false
}

// getHealth answers /healthcheck.
func (d *Server) getHealth(w http.ResponseWriter, r *http.Request) {
	if !requireMethod(http.MethodGet, w, r) {
		return
	}
	switch {
	case d.holder.Held():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !d.figures().Serving:
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ok\n"))
	}
}

// setHealth returns the handler that holds the health down or releases it.
func (d *Server) setHealth(held bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !requireMethod(http.MethodPut, w, r) {
			return
		}
		if d.holder.Set(ByOperator, held) {
			d.log.Info("health held", "held", held)
		}
		w.Write([]byte("ok\n"))
	}
}

// getStats answers /stats.
func (d *Server) getStats(w http.ResponseWriter, r *http.Request) {
	if !requireMethod(http.MethodGet, w, r) {
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(Lines(d.classes, d.figures()))
	if d.extra != nil {
		w.Write(d.extra())
	}
}

// AppendMetrics appends the lines that extra returns to the metrics. It must be called before Serve; extra is called
// concurrently.
func (d *Server) AppendMetrics(extra func() []byte) { d.extra = extra }

// Lines formats the metrics: svc.ok.C, svc.shed.C, svc.errors.C and svc.tries.C for each class C, then svc.active, the
// metrics of downstream calls, what the core keeps in memory and what happened on the links to the worker pool, one
// name=value per line.
func Lines(classes []string, f *core.Metrics) []byte {
	var out bytes.Buffer
	out.Grow(len(classes) * linesPerClass * expectedLineLen)
	for _, metric := range []struct {
		name   string
		counts []uint64
	}{{"ok", f.OK}, {"shed", f.Shed}, {"errors", f.Errors}, {"tries", f.Tries}} {
		for i, c := range classes {
			out.WriteString("svc.")
			out.WriteString(metric.name)
			out.WriteByte('.')
			out.WriteString(c)
			out.WriteByte('=')
			out.Write(strconv.AppendUint(out.AvailableBuffer(), metric.counts[i], 10))
			out.WriteByte('\n')
		}
	}
	out.WriteString("svc.active=" + strconv.Itoa(f.Active) + "\n")
	fmt.Fprintf(&out, "calls.hand=%d\ncalls.wait=%d\ncalls.lost=%d\n", f.Calls, f.Waiting, f.Lost)
	r := f.Retained
	fmt.Fprintf(&out, "core.connections=%d\ncore.timers=%d\ncore.open_bytes=%d\ncore.results_pending=%d\ncore.keys=%d\ncore.key_bytes=%d\n",
		r.Connections, r.Timers, r.OpenBytes, r.PendingResults, r.Keys, r.KeyBytes)
	p := f.Pool
	fmt.Fprintf(&out, "pool.links=%d\npool.commands_in_doubt=%d\npool.commands_repeated=%d\npool.runs_given_up=%d\npool.unknown_ends=%d\n",
		p.Links, p.InDoubt, p.Repeated, p.GivenUp, p.UnknownEnds)
	return out.Bytes()
}

// limitListener keeps up to limit connections open. A further one replaces the oldest that has sent nothing yet, or is
// closed at once if all have sent something. Thus silent clients do not keep others out.
type limitListener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	conns []*limitedConn // oldest first
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.add(c); conn != nil {
			return conn, nil
		}
		c.Close()
	}
}

// add registers a connection; nil if there is no room for it.
func (l *limitListener) add(c net.Conn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		i := slices.IndexFunc(l.conns, func(conn *limitedConn) bool { return !conn.active.Load() })
		if i < 0 {
			return nil
		}
		oldest := l.conns[i]
		l.conns = slices.Delete(l.conns, i, i+1)
		oldest.removed.Store(true)
		oldest.Conn.Close()
	}
	conn := &limitedConn{Conn: c, listener: l}
	l.conns = append(l.conns, conn)
	return conn
}

// remove forgets a closed connection.
func (l *limitListener) remove(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.conns, conn); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	listener *limitListener
	active   atomic.Bool // has sent a byte
	removed  atomic.Bool // removed from conns
}

func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.active.Store(true)
	}
	return n, err
}

func (c *limitedConn) Close() error {
	if !c.removed.Swap(true) {
		c.listener.remove(c)
	}
	return c.Conn.Close()
}
