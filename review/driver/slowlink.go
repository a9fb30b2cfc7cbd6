package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// slowLink is a relay to one address. While it is slow, a part of what is sent through it, in either direction, comes late.
// What is sent on one connection stays in order.
type slowLink struct {
	listener net.Listener
	to       string
	share    float64       // of the pieces that come late
	late     time.Duration // by how much
	slow     atomic.Bool
	delayed  atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func newSlowLink(to string, share float64, late time.Duration) (*slowLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &slowLink{listener: l, to: to, share: share, late: late}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			s.mu.Lock()
			s.conns = append(s.conns, in, out)
			s.mu.Unlock()
			go s.relay(in, out)
			go s.relay(out, in)
		}
	}()
	return s, nil
}

// piece is what came in one read, and when it is to be passed on.
type piece struct {
	data []byte
	at   time.Time
}

// relay passes on what comes from one side, also what came before that side closed.
func (s *slowLink) relay(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.at))
			if _, err := to.Write(p.data); err != nil {
				return
			}
		}
	}()
	defer close(pieces)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			p := piece{buffer[:n], time.Now()}
			if s.slow.Load() && rand.Float64() < s.share {
				p.at = p.at.Add(s.late)
				s.delayed.Add(1)
			}
			pieces <- p
		}
		if err != nil {
			return
		}
	}
}

func (s *slowLink) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}
