// Package traffic counts the bytes, connections and requests of a server's link, at the socket and below TLS.
package traffic

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"larchscale/internal/link"
)

// Totals are what was counted so far.
type Totals struct {
	BytesIn     uint64
	BytesOut    uint64
	Connections uint64            // opened, accepted and dialled
	RequestsIn  map[string]uint64 // by path
	RequestsOut map[string]uint64
}

// Since gives what was counted after an earlier reading.
func (t Totals) Since(earlier Totals) Totals {
	return Totals{BytesIn: t.BytesIn - earlier.BytesIn, BytesOut: t.BytesOut - earlier.BytesOut,
		Connections: t.Connections - earlier.Connections,
		RequestsIn:  subtract(t.RequestsIn, earlier.RequestsIn), RequestsOut: subtract(t.RequestsOut, earlier.RequestsOut)}
}

// Requests gives the sums over all paths.
func (t Totals) Requests() (in, out uint64) { return sum(t.RequestsIn), sum(t.RequestsOut) }

func subtract(now, earlier map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	for path, n := range now {
		out[path] = n - earlier[path]
	}
	return out
}

func sum(counts map[string]uint64) (total uint64) {
	for _, n := range counts {
		total += n
	}
	return total
}

// Counter counts for one or more servers. It is safe for concurrent use.
type Counter struct {
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
	connections atomic.Uint64

	mu          sync.Mutex
	requestsIn  map[string]uint64
	requestsOut map[string]uint64
	open        map[*conn]struct{}
}

// NewCounter makes a counter at zero.
func NewCounter() *Counter {
	return &Counter{requestsIn: map[string]uint64{}, requestsOut: map[string]uint64{}, open: map[*conn]struct{}{}}
}

// Observer is what a link is given to be counted.
func (c *Counter) Observer() link.Observer {
	return link.Observer{Conn: c.wrap, Request: func(path string) { c.request(c.requestsOut, path) }}
}

// Handler counts the requests that reach a handler.
func (c *Counter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.request(c.requestsIn, r.URL.Path)
		next.ServeHTTP(w, r)
	})
}

// Totals reads the counter.
func (c *Counter) Totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Totals{BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), Connections: c.connections.Load(),
		RequestsIn: maps.Clone(c.requestsIn), RequestsOut: maps.Clone(c.requestsOut)}
}

func (c *Counter) request(counts map[string]uint64, path string) {
	c.mu.Lock()
	counts[path]++
	c.mu.Unlock()
}

func (c *Counter) wrap(inner net.Conn) net.Conn {
	wrapped := &conn{Conn: inner, counter: c}
	c.connections.Add(1)
	c.mu.Lock()
	c.open[wrapped] = struct{}{}
	c.mu.Unlock()
	return wrapped
}

// conn counts what is read and written.
type conn struct {
	net.Conn
	counter  *Counter
	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesIn.Add(uint64(n))
	c.counter.bytesIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesOut.Add(uint64(n))
	c.counter.bytesOut.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.counter.mu.Lock()
	delete(c.counter.open, c)
	c.counter.mu.Unlock()
	return c.Conn.Close()
}

// KernelCheck compares the counts of one connection with those of the kernel.
type KernelCheck struct {
	CountedIn, KernelIn   uint64
	CountedOut, KernelOut uint64 // the kernel counts the opening of a connection as a byte
}

// Agrees tells that the counts are the same, but for the byte of the opening.
func (k KernelCheck) Agrees() bool {
	return k.CountedIn == k.KernelIn && (k.CountedOut == k.KernelOut || k.CountedOut+1 == k.KernelOut)
}

// ErrCheck is a connection whose counts did not stand still, or none at all.
var ErrCheck = errors.New("the counts could not be checked")

// A connection is read again until nothing is on its way: the kernel holds back acknowledgements for up to 40 ms.
const (
	checkAttempts = 1000
	checkEvery    = time.Millisecond
)

// Check compares the busiest open connection with TCP_INFO of the kernel.
func (c *Counter) Check() (KernelCheck, error) {
	busiest := c.busiest()
	if busiest == nil {
		return KernelCheck{}, fmt.Errorf("no connection is open: %w", ErrCheck)
	}
	var check KernelCheck
	for range checkAttempts {
		var err error
		if check, err = busiest.check(); err != nil {
			return check, err
		}
		if check.Agrees() {
			return check, nil
		}
		time.Sleep(checkEvery)
	}
	return check, fmt.Errorf("counted %d in and %d out, the kernel %d and %d: %w",
		check.CountedIn, check.CountedOut, check.KernelIn, check.KernelOut, ErrCheck)
}

func (c *Counter) busiest() (best *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for candidate := range c.open {
		if best == nil || candidate.bytesIn.Load()+candidate.bytesOut.Load() > best.bytesIn.Load()+best.bytesOut.Load() {
			best = candidate
		}
	}
	return best
}

func (c *conn) check() (k KernelCheck, err error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return k, fmt.Errorf("%T is no socket: %w", c.Conn, ErrCheck)
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return k, fmt.Errorf("traffic: %w", err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(err, infoErr); err != nil {
		return k, fmt.Errorf("traffic: %w", err)
	}
	return KernelCheck{CountedIn: c.bytesIn.Load(), KernelIn: info.Bytes_received,
		CountedOut: c.bytesOut.Load(), KernelOut: info.Bytes_acked}, nil
}
