// Package sock holds what every connection of larchscale shares: a bounded queue of writes that never
// blocks its sender, and an accept loop with a bound on connections.
package sock

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrFull is why a connection is closed whose other side does not read.
var ErrFull = errors.New("too much is waiting to be written")

const (
	maxWaiting   = 1 << 20 // for a link; a server sets its own
	writeTimeout = 2 * time.Second
	writeTries   = 3                      // of writeTimeout, for a peer that reads slowly
	standstill   = 100 * time.Millisecond // by which a write that fails later shows that the process stood still
)

// Budget bounds what waits to be written to all peers of a server together.
type Budget struct {
	Peer, All int // bytes, for one and for all
	Spare     int // bytes that one may have waiting though All is used up
	used      atomic.Int64
}

// WriteQueue writes to one connection, in order, from a goroutine that exists only while there is something to
// write. A peer that reads too slowly loses the connection: it must not slow anyone else.
type WriteQueue struct {
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

// NewWriteQueue returns the queue of a connection, which is closed with it.
func NewWriteQueue(conn net.Conn) *WriteQueue {
	return &WriteQueue{conn: conn, limit: maxWaiting, flushed: make(chan struct{}), done: make(chan struct{})}
}

// Send queues parts to be written together; the queue keeps them. False = the connection is gone.
func (q *WriteQueue) Send(parts ...[]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.dead || q.closing {
		return false
	}
	more := 0
	for _, p := range parts {
		more += len(p)
	}
	if q.size+more > q.limit || q.over(q.size+more, more) {
		q.why = ErrFull
		q.kill()
		return false
	}
	q.grow(more)
	q.waiting = append(q.waiting, parts...)
	if !q.writing {
		q.writing = true
		go q.write()
	}
	return true
}

// over tells whether more bytes, size with what waits already, are too many for all peers together. Guards
// against many that do not read: they use up what is for all, and those who have little waiting stay.
func (q *WriteQueue) over(size, more int) bool {
	return q.budget != nil && size > q.budget.Spare && q.budget.used.Load()+int64(more) > int64(q.budget.All)
}

func (q *WriteQueue) grow(by int) {
	q.size += by
	if q.budget != nil {
		q.budget.used.Add(int64(by))
	}
}

func (q *WriteQueue) write() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 && !q.dead {
		out, size := q.waiting, q.size
		q.waiting = nil
		q.mu.Unlock()
		err := q.writeAll(out)
		q.mu.Lock()
		q.grow(-size) // until it is written it counts
		if err != nil {
			if !q.dead {
				q.why = err
			}
			q.kill()
		}
	}
	q.writing = false
	if q.closing {
		q.end()
	}
}

// writeAll writes what has waited. A peer that takes nothing for writeTimeout fails it, and one that takes so little that
// it is not done after writeTries of that; a process that stood still itself for the time tries once more.
func (q *WriteQueue) writeAll(out net.Buffers) error {
	for tries := 1; ; tries++ {
		began := time.Now()
		if err := q.conn.SetWriteDeadline(began.Add(writeTimeout)); err != nil {
			return err
		}
		written, err := out.WriteTo(q.conn)
		stoodStill := time.Since(began) > writeTimeout+standstill
		if !errors.Is(err, os.ErrDeadlineExceeded) || tries == writeTries || written == 0 && !stoodStill {
			return err
		}
	}
}

// Close ends the connection once all that was queued is written. Of a server's connection that is the writing half:
// reading is given up at once, and its goroutine closes it after a lingering close (see Server).
func (q *WriteQueue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closing = true
	if q.lingers {
		q.conn.SetReadDeadline(past)
	}
	if !q.writing {
		q.end()
	}
}

// CloseIfQuiet is Close for the reader of a server's connection, at a moment in which nothing has come that is not read and
// nothing waits to be written. False = it is no such moment, and nothing has changed.
func (q *WriteQueue) CloseIfQuiet() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.dead || q.closing || q.writing {
		return false
	}
	if !endIfQuiet(q.conn) {
		return false
	}
	q.closing = true
	q.conn.SetReadDeadline(past)
	q.end()
	return true
}

// end is the end of the writing.
func (q *WriteQueue) end() {
	switch {
	case !q.lingers:
		q.kill()
	case !q.ended && !q.dead:
		q.ended = true
		if h, ok := q.conn.(halfCloser); ok {
			h.CloseWrite()
		}
		close(q.flushed)
	}
}

// Wait bounds how long the connection's reader waits for what comes next; the zero time is no bound. It does nothing
// once the connection is to end: a reader is not to wait beyond that.
func (q *WriteQueue) Wait(until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closing && !q.quit {
		q.conn.SetReadDeadline(until)
	}
}

// stopReading ends the wait of the connection's reader and all that follow. What has come by then it still reads and
// answers.
func (q *WriteQueue) stopReading() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quit = true
	q.conn.SetReadDeadline(past)
}

// Stopping reports whether the connection is to end with its server: its reader gets nothing more to wait for.
func (q *WriteQueue) Stopping() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quit
}

// Wake ends the wait of the connection's reader, which finds os.ErrDeadlineExceeded.
func (q *WriteQueue) Wake() { q.Wait(past) }

// halfCloser is a connection of which one half can be closed.
type halfCloser interface{ CloseWrite() error }

// past is a deadline that is over.
var past = time.Unix(1, 0)

// Kill closes the connection at once.
func (q *WriteQueue) Kill() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.kill()
}

func (q *WriteQueue) kill() {
	if !q.dead {
		q.dead = true
		for _, p := range q.waiting {
			q.grow(-len(p))
		}
		q.waiting = nil
		q.conn.Close()
		if !q.ended {
			q.ended = true
			close(q.flushed)
		}
		close(q.done)
	}
}

// Err returns why the queue closed the connection by itself; nil = it did not.
func (q *WriteQueue) Err() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.why
}

// Done is closed when the connection is.
func (q *WriteQueue) Done() <-chan struct{} { return q.done }
