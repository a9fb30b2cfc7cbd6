// Package sock holds what every connection of larchscale shares: a bounded queue of writes that never
// blocks its sender, and an accept loop with a bound on connections.
package sock

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrFull is why a connection is closed whose other side does not read.
var ErrFull = errors.New("too much is waiting to be written")

const (
	maxWaiting   = 1 << 20
	writeTimeout = 2 * time.Second
)

// Box writes to one connection, in order, from a goroutine that exists only while there is something to
// write. A peer that reads too slowly loses the connection: it must not slow anyone else.
type Box struct {
	conn    net.Conn
	mu      sync.Mutex
	waiting net.Buffers
	size    int
	writing bool
	closing bool // close once all is written
	dead    bool
	done    chan struct{}
}

// NewBox makes the box of a connection, which is closed with it.
func NewBox(conn net.Conn) *Box { return &Box{conn: conn, done: make(chan struct{})} }

// Send queues parts to be written together; the box keeps them. False = the connection is gone.
func (b *Box) Send(parts ...[]byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead || b.closing {
		return false
	}
	for _, p := range parts {
		b.size += len(p)
	}
	if b.size > maxWaiting {
		b.kill()
		return false
	}
	b.waiting = append(b.waiting, parts...)
	if !b.writing {
		b.writing = true
		go b.write()
	}
	return true
}

func (b *Box) write() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 && !b.dead {
		out := b.waiting
		b.waiting, b.size = nil, 0
		b.mu.Unlock()
		err := b.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = out.WriteTo(b.conn)
		}
		b.mu.Lock()
		if err != nil {
			b.kill()
		}
	}
	b.writing = false
	if b.closing {
		b.kill()
	}
}

// Close closes the connection once all that was queued is written.
func (b *Box) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closing = true
	if !b.writing {
		b.kill()
	}
}

// Kill closes the connection at once.
func (b *Box) Kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kill()
}

func (b *Box) kill() {
	if !b.dead {
		b.dead = true
		b.waiting = nil
		b.conn.Close()
		close(b.done)
	}
}

// Done is closed when the connection is.
func (b *Box) Done() <-chan struct{} { return b.done }
