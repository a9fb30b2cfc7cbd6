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
	lingerTimeout  = 500 * time.Millisecond // bounds how long a closing connection is read
	maxLingerBytes = 64 << 10               // bounds how much is read of it
	minAcceptDelay = 5 * time.Millisecond   // after a failed accept; doubled up to maxAcceptDelay
	maxAcceptDelay = 40 * time.Millisecond  // short, because requests wait in the listener's queue meanwhile
)

// Server accepts connections, serves each in its own goroutine and closes them.
//
// Connections are closed by a lingering close: after the last write the writing half is closed, and input is read and
// dropped until the peer has closed too, for at most lingerTimeout and maxLingerBytes. Closing with unread bytes, or
// just before further bytes arrive, would reset the connection and lose output that the system has not delivered yet.
// A lingering connection keeps its slot as long as no new connection waits for one, and an eighth of all slots may be
// lingering at a time. Beyond that a connection is closed at once, so that peers that never close do not keep others
// out.
type Server struct {
	listener  net.Listener
	slots     chan struct{} // holds one value for each connection and for the next one to be accepted
	open      atomic.Int64
	closeOnce sync.Once    // closes the listener
	shutting  atomic.Int64 // 1 while Shut waits for a free slot
	budget    *Budget
	handle    func(net.Conn, *WriteQueue)

	mu             sync.Mutex
	queues         map[*WriteQueue]struct{}
	lingering      []*WriteQueue // oldest first
	slotWanted     bool          // a new connection waits for a slot
	stopped        bool          // connections read only what has already arrived
	listenerClosed bool          // the listener is closed
}

// NewServer returns a server that serves up to limit connections at a time by handle, which returns when it is done
// with its connection. The data queued for writing to them is bounded by budget.
func NewServer(l net.Listener, limit int, budget *Budget, handle func(net.Conn, *WriteQueue)) *Server {
	return &Server{listener: l, slots: make(chan struct{}, limit), budget: budget, handle: handle, queues: map[*WriteQueue]struct{}{}}
}

// Serve accepts connections until the listener is closed. Without a free slot connections wait in the listener's queue:
// closing one unread would lose the request that it may carry.
func (s *Server) Serve() error {
	delay := minAcceptDelay
	for {
		s.acquireSlot()
		conn, err := s.listener.Accept()
		if err == nil {
			delay = minAcceptDelay
			s.startConn(conn)
			continue
		}
		<-s.slots
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		time.Sleep(delay) // out of descriptors, or the caller has hung up: both are transient
		delay = min(2*delay, maxAcceptDelay)
	}
}

// acquireSlot takes a slot for the next connection. If none is free, the oldest lingering connection gives up its own.
func (s *Server) acquireSlot() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	s.setSlotWanted(true)
	s.slots <- struct{}{}
	s.setSlotWanted(false)
}

// setSlotWanted sets whether a new connection waits for a slot; if so, it kills the oldest lingering one.
func (s *Server) setSlotWanted(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slotWanted = on; on && len(s.lingering) > 0 {
		s.lingering[0].Kill()
	}
}

// startConn starts serving conn, which holds a slot. From then on Stop includes it.
func (s *Server) startConn(conn net.Conn) {
	s.open.Add(1)
	q := NewWriteQueue(conn)
	q.limit, q.budget, q.lingers = s.budget.PerPeer, s.budget, true
	s.mu.Lock()
	s.queues[q] = struct{}{}
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		q.stopReading()
	}
	go s.serve(conn, q)
}

// Conns returns how many connections are served or lingering, plus one while connections wait in the queue of a
// listener that Shut is closing.
func (s *Server) Conns() int { return int(s.open.Load() + s.shutting.Load()) }

// serve runs the handler of a connection and closes the connection after it.
func (s *Server) serve(conn net.Conn, q *WriteQueue) {
	defer func() {
		s.linger(q)
		s.mu.Lock()
		delete(s.queues, q)
		s.mu.Unlock()
		s.open.Add(-1)
		<-s.slots
	}()
	s.handle(conn, q)
}

// linger performs the lingering close of a connection whose handler has returned.
func (s *Server) linger(q *WriteQueue) {
	defer q.Kill()
	q.Close()
	<-q.flushed
	if _, ok := q.conn.(halfCloser); !ok {
		return
	}
	s.mu.Lock()
	// Once the listener is closed no new connection can be kept out, and all may linger.
	mayLinger := !s.slotWanted && (s.listenerClosed || len(s.lingering) < max(1, cap(s.slots)/8))
	if mayLinger {
		s.lingering = append(s.lingering, q)
	}
	s.mu.Unlock()
	if !mayLinger {
		return
	}
	if q.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		io.Copy(io.Discard, io.LimitReader(q.conn, maxLingerBytes))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingering = slices.DeleteFunc(s.lingering, func(other *WriteQueue) bool { return other == q })
}

// Servers are all servers of a process.
type Servers []*Server

// StopAccepting shuts all servers: see Server.StopAccepting. It does not block.
func (servers Servers) StopAccepting() {
	for _, s := range servers {
		s.StopAccepting()
	}
}

// Stop stops all servers concurrently: see Server.Stop.
func (servers Servers) Stop(limit time.Duration) {
	var running sync.WaitGroup
	for _, s := range servers {
		running.Go(func() { s.Stop(limit) })
	}
	running.Wait()
}

// Conns returns how many connections are served or lingering at all servers.
func (servers Servers) Conns() (n int) {
	for _, s := range servers {
		n += s.Conns()
	}
	return n
}
