// Package faultnet is the way between processes under test, and what goes wrong on it and with them. What goes from
// one process to another passes a relay of its own on loopback, which can refuse, stall, delay, throttle or cut it; a
// script says what happens when, is printed as text, and can be played again.
package faultnet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a relay does to the connections from one process to another. Its zero value does nothing.
type Fault struct {
	Refuse bool          // they are reset as they come, and those that are open
	Drop   bool          // nothing of what is asked arrives until it is mended; then it does, late, as after TCP's retries
	Deaf   bool          // the same for the answers: what is asked arrives
	Delay  time.Duration // of every piece, each way
	Rate   int           // bytes a second, each way; 0 = as fast as it goes
	Cut    int           // after so many bytes asked the connection is reset; 0 = never
}

// piece is the most that is carried at once.
const piece = 4 << 10

// relay carries connections to one process from one other.
type relay struct {
	target string
	in     net.Listener

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed when the fault is another
	open    map[net.Conn]struct{}
	over    bool
}

func newRelay(target string) (*relay, error) {
	in, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, in: in, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := in.Accept()
			if err != nil {
				return
			}
			go r.carry(c)
		}
	}()
	return r, nil
}

// set makes f what happens from now on.
func (r *relay) set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.changed)
	r.changed = make(chan struct{})
	if f.Refuse {
		r.reset()
	}
}

// reset ends what is open; r.mu is held.
func (r *relay) reset() {
	for c := range r.open {
		abort(c)
	}
}

func (r *relay) close() {
	r.in.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	close(r.changed)
	r.changed = make(chan struct{})
	r.reset()
}

// abort has the other side see a reset, not an end.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// enlist keeps a connection among those that are open; false = it is not to be.
func (r *relay) enlist(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || r.fault.Refuse {
		abort(c)
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *relay) strike(c net.Conn) {
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
	c.Close()
}

func (r *relay) carry(from net.Conn) {
	if !r.enlist(from) {
		return
	}
	defer r.strike(from)
	to, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil || !r.enlist(to) {
		abort(from) // as the target itself would
		return
	}
	defer r.strike(to)
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.pump(from, to, true)
		from.Close()
	}()
	r.pump(to, from, false)
	to.Close()
	<-back
}

// pump carries what comes from src to dst, as the fault of the moment lets it.
func (r *relay) pump(dst, src net.Conn, answers bool) {
	buf := make([]byte, piece)
	for sum := 0; ; {
		n, err := src.Read(buf)
		if n > 0 {
			f, ok := r.pass(answers)
			if !ok {
				return
			}
			if f.Cut > 0 && !answers && sum+n > f.Cut {
				dst.Write(buf[:max(0, f.Cut-sum)])
				abort(dst)
				abort(src)
				return
			}
			sum += n
			pause := f.Delay
			if f.Rate > 0 {
				pause += time.Duration(n) * time.Second / time.Duration(f.Rate)
			}
			time.Sleep(pause)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if t, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				t.CloseWrite()
			}
			return
		}
	}
}

// pass waits until the fault lets something through, and gives it; false = the relay is no more.
func (r *relay) pass(answers bool) (Fault, bool) {
	for {
		r.mu.Lock()
		f, over, changed := r.fault, r.over, r.changed
		r.mu.Unlock()
		if over {
			return f, false
		}
		if !(f.Drop && !answers || f.Deaf && answers) {
			return f, true
		}
		<-changed
	}
}

// Net has a relay for every directed pair that was asked for. It is safe for concurrent use.
type Net struct {
	mu     sync.Mutex
	relays map[[2]string]*relay
}

// New makes a net without relays.
func New() *Net { return &Net{relays: map[[2]string]*relay{}} }

// Relay gives the address at which from reaches to, which listens at target.
func (n *Net) Relay(from, to, target string) (string, error) {
	r, err := newRelay(target)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays[[2]string{from, to}] = r
	return r.in.Addr().String(), nil
}

// Set makes f what happens on every way for which on tells true.
func (n *Net) Set(f Fault, on func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for pair, r := range n.relays {
		if on(pair[0], pair[1]) {
			r.set(f)
		}
	}
}

// Heal mends all ways.
func (n *Net) Heal() { n.Set(Fault{}, func(_, _ string) bool { return true }) }

// Close ends all relays, and what is open on them.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.close()
	}
}
