// Package sock holds what every connection of larchscale shares: a bounded queue of writes that never
// blocks its sender, and an accept loop with a bound on connections.
package sock

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrFull is why a connection is closed whose other side does not read.
var ErrFull = errors.New("too much is waiting to be written")

const (
	maxWaiting   = 1 << 20 // for a link; a server sets its own
	writeTimeout = 2 * time.Second
)

// Budget bounds what waits to be written to all peers of a server together.
type Budget struct {
	Peer, All int // bytes, for one and for all
	Spare     int // bytes that one may have waiting though All is used up
	used      atomic.Int64
}

// Box writes to one connection, in order, from a goroutine that exists only while there is something to
// write. A peer that reads too slowly loses the connection: it must not slow anyone else.
type Box struct {
	conn    net.Conn
	mu      sync.Mutex
	waiting net.Buffers
	size    int
	limit   int
	budget  *Budget // nil = none
	lingers bool    // a server's: Close ends the writing, and the connection's own goroutine the rest
	writing bool
	quit    bool          // nothing more is read
	closing bool          // end once all is written
	flushed chan struct{} // closed when that is so
	ended   bool          // flushed is closed
	dead    bool
	why     error // it is dead for another reason than Close or Kill
	done    chan struct{}
}

// NewBox makes the box of a connection, which is closed with it.
func NewBox(conn net.Conn) *Box {
	return &Box{conn: conn, limit: maxWaiting, flushed: make(chan struct{}), done: make(chan struct{})}
}

// Send queues parts to be written together; the box keeps them. False = the connection is gone.
func (b *Box) Send(parts ...[]byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead || b.closing {
		return false
	}
	more := 0
	for _, p := range parts {
		more += len(p)
	}
	if b.size+more > b.limit || b.over(b.size+more, more) {
		b.why = ErrFull
		b.kill()
		return false
	}
	b.grow(more)
	b.waiting = append(b.waiting, parts...)
	if !b.writing {
		b.writing = true
		go b.write()
	}
	return true
}

// over tells whether more bytes, size with what waits already, are too many for all peers together. Guards
// against many that do not read: they use up what is for all, and those who have little waiting stay.
func (b *Box) over(size, more int) bool {
	return b.budget != nil && size > b.budget.Spare && b.budget.used.Load()+int64(more) > int64(b.budget.All)
}

func (b *Box) grow(by int) {
	b.size += by
	if b.budget != nil {
		b.budget.used.Add(int64(by))
	}
}

func (b *Box) write() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 && !b.dead {
		out, size := b.waiting, b.size
		b.waiting = nil
		b.mu.Unlock()
		err := b.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = out.WriteTo(b.conn)
		}
		b.mu.Lock()
		b.grow(-size) // until it is written it counts
		if err != nil {
			if !b.dead {
				b.why = err
			}
			b.kill()
		}
	}
	b.writing = false
	if b.closing {
		b.end()
	}
}

// Close ends the connection once all that was queued is written. Of a server's connection that is the writing half:
// reading is given up at once, and its goroutine closes it after a lingering close (see Server).
func (b *Box) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closing = true
	if b.lingers {
		b.conn.SetReadDeadline(past)
	}
	if !b.writing {
		b.end()
	}
}

// end is the end of the writing.
func (b *Box) end() {
	switch {
	case !b.lingers:
		b.kill()
	case !b.ended && !b.dead:
		b.ended = true
		if h, ok := b.conn.(halfCloser); ok {
			h.CloseWrite()
		}
		close(b.flushed)
	}
}

// Wait bounds how long the connection's reader waits for what comes next; the zero time is no bound. It does nothing
// once the connection is to end: a reader is not to wait beyond that.
func (b *Box) Wait(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closing && !b.quit {
		b.conn.SetReadDeadline(until)
	}
}

// stopReading ends the wait of the connection's reader and all that follow. What it has read it still answers.
func (b *Box) stopReading() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quit = true
	b.conn.SetReadDeadline(past)
}

// Wake ends the wait of the connection's reader, which finds os.ErrDeadlineExceeded.
func (b *Box) Wake() { b.Wait(past) }

// halfCloser is a connection of which one half can be closed.
type halfCloser interface{ CloseWrite() error }

// past is a deadline that is over.
var past = time.Unix(1, 0)

// Kill closes the connection at once.
func (b *Box) Kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kill()
}

func (b *Box) kill() {
	if !b.dead {
		b.dead = true
		for _, p := range b.waiting {
			b.grow(-len(p))
		}
		b.waiting = nil
		b.conn.Close()
		if !b.ended {
			b.ended = true
			close(b.flushed)
		}
		close(b.done)
	}
}

// Err tells why the box closed the connection by itself; nil = it did not.
func (b *Box) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.why
}

// Done is closed when the connection is.
func (b *Box) Done() <-chan struct{} { return b.done }
