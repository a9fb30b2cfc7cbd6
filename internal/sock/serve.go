package sock

import (
	"errors"
	"net"
	"sync"
	"time"
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
		select {
		case s.room <- struct{}{}:
			go s.serve(conn)
		default:
			conn.Close()
		}
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

// Shut closes the listener: Serve returns, and the connections it has go on.
func (s *Server) Shut() { s.listener.Close() }

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
