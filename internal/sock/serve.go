package sock

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lingerFor   = 500 * time.Millisecond // a connection that ended is read so long at the most
	lingerBytes = 64 << 10               // and so far
	acceptWait  = 5 * time.Millisecond   // after an accept that failed; doubled up to acceptMost
	acceptMost  = 40 * time.Millisecond  // requests wait in the listener's queue meanwhile
)

// Server accepts connections, each with a goroutine of its own, and owns how they end.
//
// A connection ends by a lingering close: after the last write its writing half is closed, and what still comes is
// read and dropped until the peer has closed too, for lingerFor and lingerBytes at the most. Closing over unread bytes,
// or bytes that come just after, would reset the connection, and what the system had not yet delivered would go with
// it. A connection that lingers keeps its place among those that are served, as long as no newcomer waits for it; an
// eighth of all may linger at a time. Beyond that one is closed at once: peers that never close must not keep the
// others out.
type Server struct {
	listener net.Listener
	room     chan struct{} // one for each connection, and for the next one that is accepted
	open     atomic.Int64
	closed   sync.Once    // the listener is
	shutting atomic.Int64 // 1 while Shut waits for room
	budget   *Budget
	handle   func(net.Conn, *WriteQueue)

	mu        sync.Mutex
	queues    map[*WriteQueue]struct{}
	lingering []*WriteQueue // the oldest first
	wanted    bool          // a newcomer waits for room
	stopped   bool          // no connection waits for what may come
	shut      bool          // the listener is closed
}

// NewServer serves up to limit connections at a time by handle, which returns when its connection is over.
// What waits to be written to them is bounded by budget.
func NewServer(l net.Listener, limit int, budget *Budget, handle func(net.Conn, *WriteQueue)) *Server {
	return &Server{listener: l, room: make(chan struct{}, limit), budget: budget, handle: handle, queues: map[*WriteQueue]struct{}{}}
}

// Serve accepts until the listener is closed. Where there is no room, connections wait in the listener's queue: to
// close one unseen would lose the request that it may have brought.
func (s *Server) Serve() error {
	wait := acceptWait
	for {
		s.reserve()
		conn, err := s.listener.Accept()
		if err == nil {
			wait = acceptWait
			s.take(conn)
			continue
		}
		<-s.room
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		time.Sleep(wait) // out of descriptors, or the caller was gone again: both pass
		wait = min(2*wait, acceptMost)
	}
}

// reserve takes a place for the next connection. Where there is none, one that lingers gives up its own.
func (s *Server) reserve() {
	select {
	case s.room <- struct{}{}:
		return
	default:
	}
	s.want(true)
	s.room <- struct{}{}
	s.want(false)
}

func (s *Server) want(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted = on; on && len(s.lingering) > 0 {
		s.lingering[0].Kill()
	}
}

// take serves conn, for which there is room. From then on a Stop knows of it.
func (s *Server) take(conn net.Conn) {
	s.open.Add(1)
	q := NewWriteQueue(conn)
	q.limit, q.budget, q.lingers = s.budget.Peer, s.budget, true
	s.mu.Lock()
	s.queues[q] = struct{}{}
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		q.stopReading()
	}
	go s.serve(conn, q)
}

// Conns is how many connections are served or linger, and one more while some wait in the queue of a listener that is
// being shut.
func (s *Server) Conns() int { return int(s.open.Load() + s.shutting.Load()) }

func (s *Server) serve(conn net.Conn, q *WriteQueue) {
	defer func() {
		s.linger(q)
		s.mu.Lock()
		delete(s.queues, q)
		s.mu.Unlock()
		s.open.Add(-1)
		<-s.room
	}()
	s.handle(conn, q)
}

// linger ends a connection that nobody reads any longer.
func (s *Server) linger(q *WriteQueue) {
	defer q.Kill()
	q.Close()
	<-q.flushed
	if _, ok := q.conn.(halfCloser); !ok {
		return
	}
	s.mu.Lock()
	// Once the server is shut no newcomer is kept out, and all may linger.
	stays := !s.wanted && (s.shut || len(s.lingering) < max(1, cap(s.room)/8))
	if stays {
		s.lingering = append(s.lingering, q)
	}
	s.mu.Unlock()
	if !stays {
		return
	}
	if q.conn.SetReadDeadline(time.Now().Add(lingerFor)) == nil {
		io.Copy(io.Discard, io.LimitReader(q.conn, lingerBytes))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingering = slices.DeleteFunc(s.lingering, func(other *WriteQueue) bool { return other == q })
}

// Servers are all that let connections in.
type Servers []*Server

// Shut takes what waits in the queues of all, and closes the listeners. It does not block.
func (all Servers) Shut() {
	for _, s := range all {
		s.Shut()
	}
}

// Stop stops all at once.
func (all Servers) Stop(limit time.Duration) {
	var done sync.WaitGroup
	for _, s := range all {
		done.Go(func() { s.Stop(limit) })
	}
	done.Wait()
}

// Conns is how many connections are served or linger at all of them.
func (all Servers) Conns() (n int) {
	for _, s := range all {
		n += s.Conns()
	}
	return n
}
