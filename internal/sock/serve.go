package sock

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Server accepts connections, each with a goroutine of its own.
type Server struct {
	listener net.Listener
	room     chan struct{}
	budget   *Budget
	handle   func(net.Conn, *Box)
	mu       sync.Mutex
	boxes    map[*Box]struct{}
}

// NewServer serves up to limit connections at a time by handle, which returns when its connection is over.
// What waits to be written to them is bounded by budget.
func NewServer(l net.Listener, limit int, budget *Budget, handle func(net.Conn, *Box)) *Server {
	return &Server{listener: l, room: make(chan struct{}, limit), budget: budget, handle: handle, boxes: map[*Box]struct{}{}}
}

// Serve accepts until the listener is closed. A connection beyond the limit is closed unseen: that proves
// to its caller that nothing ran.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or the caller was gone again: both pass
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.take(conn)
	}
}

// take serves conn where there is room, and closes it unseen where there is none.
func (s *Server) take(conn net.Conn) {
	select {
	case s.room <- struct{}{}:
		go s.serve(conn)
	default:
		conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	b := NewBox(conn)
	b.limit, b.budget = s.budget.Peer, s.budget
	s.mu.Lock()
	s.boxes[b] = struct{}{}
	s.mu.Unlock()
	defer func() {
		b.Close()
		<-b.Done()
		s.mu.Lock()
		delete(s.boxes, b)
		s.mu.Unlock()
		<-s.room
	}()
	s.handle(conn, b)
}

// Shut takes what waits in the listener's queue and closes it at once after: Serve returns, and the
// connections go on. Closing alone would reset every connection still queued; what comes in the instant
// between the last take and the close is still lost, where the kernel has no other listener to steer to.
func (s *Server) Shut() {
	if t, ok := s.listener.(*net.TCPListener); ok {
		if rc, err := t.SyscallConn(); err == nil {
			var taken []int
			rc.Control(func(fd uintptr) {
				for {
					c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
					if err != nil {
						if err == unix.EINTR || err == unix.ECONNABORTED {
							continue
						}
						return
					}
					taken = append(taken, c)
				}
			})
			s.listener.Close()
			for _, fd := range taken {
				s.adopt(fd)
			}
			return
		}
	}
	s.listener.Close()
}

// adopt serves a connection taken from the queue by hand, as Serve would.
func (s *Server) adopt(fd int) {
	f := os.NewFile(uintptr(fd), "")
	conn, err := net.FileConn(f)
	f.Close()
	if err != nil {
		return
	}
	s.take(conn)
}

// Stop closes the listener, and every connection after its last write; it waits for these up to limit.
func (s *Server) Stop(limit time.Duration) {
	s.listener.Close()
	s.mu.Lock()
	boxes := make([]*Box, 0, len(s.boxes))
	for b := range s.boxes {
		boxes = append(boxes, b)
	}
	s.mu.Unlock()
	end := time.After(limit)
	for _, b := range boxes {
		b.Close()
	}
	for _, b := range boxes {
		select {
		case <-b.Done():
		case <-end:
			return
		}
	}
}
