package sock

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// How a server ends. A listener that is closed resets every connection in its queue, with the requests that may have come
// on them; so the queue is taken by hand first, and the listener ends with the call that found it empty.

const (
	adoptWait   = time.Millisecond       // between two tries to take over a descriptor
	adoptWithin = 500 * time.Millisecond // after which it is given up
)

// Shut takes what waits in the listener's queue and closes it at once after: Serve returns, and the connections go on.
// It does not block. Where there is no room for all that wait, or the system has no descriptor for now, the listener
// stays open until they are taken, which Conns counts. What is connected between the system call that finds the queue
// empty and the next one, which ends the listener, is reset.
func (s *Server) Shut() {
	if s.shutting.Load() > 0 {
		return
	}
	raw := rawListener(s.listener)
	if raw == nil {
		s.closeListener()
		return
	}
	if s.takeQueue(raw) {
		return
	}
	s.shutting.Store(1)
	go func() {
		defer s.shutting.Store(0)
		for !s.takeQueue(raw) {
			s.awaitRoom()
		}
	}()
}

func (s *Server) closeListener() {
	s.closed.Do(func() { s.listener.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
}

// awaitRoom returns once there may be room for a connection. One that lingers gives its place up.
func (s *Server) awaitRoom() {
	s.reserve()
	<-s.room
	time.Sleep(adoptWait)
}

// rawListener returns the descriptor of a TCP listener; nil = it has none.
func rawListener(l net.Listener) syscall.RawConn {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// takeQueue takes the connections in a listener's queue, closes it, and serves them. It returns false where some may be
// left, for want of room or of a descriptor, and the listener is not closed.
func (s *Server) takeQueue(raw syscall.RawConn) (all bool) {
	all = true
	var taken []int
	err := raw.Control(func(fd uintptr) {
		if taken, all = s.acceptAll(int(fd)); all {
			unix.Shutdown(int(fd), unix.SHUT_RD) // at once: who connects between here and the close would be reset
		}
	})
	if err != nil || all {
		s.closeListener()
	}
	for _, fd := range taken {
		s.adopt(fd)
	}
	return err != nil || all
}

// acceptAll accepts until the queue of a listening socket is empty (true), or there is no room or no descriptor. Each
// connection has its place in room.
func (s *Server) acceptAll(listening int) (taken []int, all bool) {
	for {
		select {
		case s.room <- struct{}{}:
		default:
			return taken, queueEmpty(listening)
		}
		fd, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == nil {
			taken = append(taken, fd)
			continue
		}
		<-s.room
		switch {
		case errors.Is(err, unix.EAGAIN):
			return taken, true
		case ofOneConnection(err):
		default:
			return taken, !passes(err)
		}
	}
}

// queueEmpty reports whether nothing waits in the queue of a listening socket.
func queueEmpty(listening int) bool {
	ready := []unix.PollFd{{Fd: int32(listening), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(ready, 0)
		if !errors.Is(err, unix.EINTR) {
			return err != nil || n == 0
		}
	}
}

// ofOneConnection reports whether an error of accept is of one connection that has failed, after which the next is to be
// accepted: see accept(2).
func ofOneConnection(err error) bool {
	switch err {
	case unix.EINTR, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM:
		return true
	}
	return false
}

// passes reports whether a system call on a socket failed for want of something that the system may have a moment later.
func passes(err error) bool {
	for _, one := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EINTR, unix.EAGAIN} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// adopt serves a connection taken from the queue by hand, as Serve would. Making it one of net's takes a further
// descriptor for a moment.
func (s *Server) adopt(fd int) {
	file := os.NewFile(uintptr(fd), "")
	conn, err := net.FileConn(file)
	if err == nil {
		file.Close()
		s.take(conn)
		return
	}
	s.open.Add(1)
	go func() {
		defer s.open.Add(-1)
		defer file.Close()
		for end := time.Now().Add(adoptWithin); err != nil; conn, err = net.FileConn(file) {
			if time.Now().After(end) {
				<-s.room
				return
			}
			time.Sleep(adoptWait)
		}
		s.take(conn)
	}()
}

// Stop closes the listener, with what waits in its queue served, and ends every connection: its reader reads what has come
// by now, and waits for nothing more. After their last writes they are closed; Stop waits for these up to limit.
func (s *Server) Stop(limit time.Duration) {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.Shut()
	s.mu.Lock()
	queues := make([]*WriteQueue, 0, len(s.queues))
	for q := range s.queues {
		queues = append(queues, q)
	}
	s.mu.Unlock()
	end := time.After(limit)
	for _, q := range queues {
		q.stopReading()
	}
	for _, q := range queues {
		select {
		case <-q.Done():
		case <-end:
			s.closeListener()
			return
		}
	}
	s.closeListener()
}
