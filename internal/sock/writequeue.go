// Package sock holds what all connections of larchscale share: a bounded write queue that never blocks its sender, and
// an accept loop with a limit on connections, which hands off and shuts down without losing requests.
package sock

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrQueueFull is the error of a connection that was closed because its peer does not read.
var ErrQueueFull = errors.New("write queue is full")

const (
	defaultQueueLimit = 1 << 20 // bytes; a Server sets its own limit
	writeTimeout      = 2 * time.Second
	maxWriteAttempts  = 3                      // each of writeTimeout, for a peer that reads slowly
	pauseThreshold    = 100 * time.Millisecond // a write that times out later by this shows that the process was paused
)

// Budget bounds the bytes queued for writing to the peers of a server.
type Budget struct {
	PerPeer, Total int // bytes, for one peer and for all together
	Guaranteed     int // bytes that each peer may have queued even if the total is used up
	used           atomic.Int64
}

// WriteQueue writes to one connection, in order, from a goroutine that exists only while data is queued. The connection
// of a peer that reads too slowly is closed, so that it does not slow down others.
type WriteQueue struct {
	conn     net.Conn
	mu       sync.Mutex
	queued   net.Buffers
	size     int
	limit    int
	budget   *Budget // nil without a budget
	lingers  bool    // set by a Server: Close closes the writing half, and the goroutine of the connection the rest
	writing  bool
	stopping bool          // the reader is to wait for no more data
	closing  bool          // close once everything queued is written
	flushed  chan struct{} // closed when everything queued is written or the connection is dead
	ended    bool          // flushed is closed
	dead     bool          // the connection is closed
	err      error         // why it was closed, if not by Close or Kill
	done     chan struct{}
}

// NewWriteQueue returns the write queue of conn, which it closes when the queue is closed or killed.
func NewWriteQueue(conn net.Conn) *WriteQueue {
	return &WriteQueue{conn: conn, limit: defaultQueueLimit, flushed: make(chan struct{}), done: make(chan struct{})}
}

// Send queues parts to be written together and keeps the slices. It returns false if the connection is closing or
// closed.
func (q *WriteQueue) Send(parts ...[]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.dead || q.closing {
		return false
	}
	added := 0
	for _, part := range parts {
		added += len(part)
	}
	if q.size+added > q.limit || q.exceedsBudget(q.size+added, added) {
		q.err = ErrQueueFull
		q.kill()
		return false
	}
	q.addSize(added)
	q.queued = append(q.queued, parts...)
	if !q.writing {
		q.writing = true
		go q.writeQueued()
	}
	return true
}

// exceedsBudget reports whether added bytes, which bring this queue to size, exceed the budget of all peers together.
// Peers that do not read may use up that budget; a queue within its guaranteed bytes is still accepted.
func (q *WriteQueue) exceedsBudget(size, added int) bool {
	return q.budget != nil && size > q.budget.Guaranteed && q.budget.used.Load()+int64(added) > int64(q.budget.Total)
}

// addSize adds delta to the number of queued bytes. The caller holds the lock.
func (q *WriteQueue) addSize(delta int) {
	q.size += delta
	if q.budget != nil {
		q.budget.used.Add(int64(delta))
	}
}

// writeQueued writes the queue until it is empty.
func (q *WriteQueue) writeQueued() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.queued) > 0 && !q.dead {
		out, size := q.queued, q.size
		q.queued = nil
		q.mu.Unlock()
		err := q.writeAll(out)
		q.mu.Lock()
		q.addSize(-size) // counted until it is written
		if err != nil {
			if !q.dead {
				q.err = err
			}
			q.kill()
		}
	}
	q.writing = false
	if q.closing {
		q.finishWriting()
	}
}

// writeAll writes out to the connection. It fails if the peer accepts nothing for writeTimeout, or if it is not done
// after maxWriteAttempts times writeTimeout. An attempt during which this process itself was paused does not count as
// the peer accepting nothing.
func (q *WriteQueue) writeAll(out net.Buffers) error {
	for attempts := 1; ; attempts++ {
		started := time.Now()
		if err := q.conn.SetWriteDeadline(started.Add(writeTimeout)); err != nil {
			return err
		}
		written, err := out.WriteTo(q.conn)
		paused := time.Since(started) > writeTimeout+pauseThreshold
		if !errors.Is(err, os.ErrDeadlineExceeded) || attempts == maxWriteAttempts || written == 0 && !paused {
			return err
		}
	}
}

// Close closes the connection once everything queued is written. Of a Server's connection only the writing half is
// closed: its reader stops waiting at once, and its goroutine performs the lingering close (see Server).
func (q *WriteQueue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closing = true
	if q.lingers {
		q.conn.SetReadDeadline(past)
	}
	if !q.writing {
		q.finishWriting()
	}
}

// CloseIfIdle is Close for the reader of a Server's connection, if no unread data has arrived and nothing is queued
// for writing. Otherwise it returns false and changes nothing.
func (q *WriteQueue) CloseIfIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.dead || q.closing || q.writing {
		return false
	}
	if !closeWriteIfNoInput(q.conn) {
		return false
	}
	q.closing = true
	q.conn.SetReadDeadline(past)
	q.finishWriting()
	return true
}

// finishWriting closes the connection, or only the writing half after the last write. The caller holds the lock.
func (q *WriteQueue) finishWriting() {
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

// SetReadDeadline sets the time until which the connection's reader waits for data; the zero time is no limit. It has no effect
// once the connection is closing, when the reader must not wait.
func (q *WriteQueue) SetReadDeadline(until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closing && !q.stopping {
		q.conn.SetReadDeadline(until)
	}
}

// stopReading ends the current and all later waits of the connection's reader. It still reads and answers data that has
// already arrived.
func (q *WriteQueue) stopReading() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopping = true
	q.conn.SetReadDeadline(past)
}

// Stopping reports whether the server is stopping, so that the reader must not wait for more data.
func (q *WriteQueue) Stopping() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stopping
}

// WakeReader ends the current wait of the connection's reader, whose read fails with os.ErrDeadlineExceeded.
func (q *WriteQueue) WakeReader() { q.SetReadDeadline(past) }

// halfCloser is a connection whose writing half can be closed alone.
type halfCloser interface{ CloseWrite() error }

// past is a deadline that has already expired.
var past = time.Unix(1, 0)

// Kill closes the connection at once and drops what is queued.
func (q *WriteQueue) Kill() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.kill()
}

func (q *WriteQueue) kill() {
	if !q.dead {
		q.dead = true
		for _, p := range q.queued {
			q.addSize(-len(p))
		}
		q.queued = nil
		q.conn.Close()
		if !q.ended {
			q.ended = true
			close(q.flushed)
		}
		close(q.done)
	}
}

// Err returns why the queue closed the connection by itself; nil if it did not.
func (q *WriteQueue) Err() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.err
}

// Done returns a channel that is closed when the connection is closed.
func (q *WriteQueue) Done() <-chan struct{} { return q.done }
