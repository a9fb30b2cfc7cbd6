package sock

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Shutdown of a server. Closing a listener resets every connection in its queue, and the requests that have arrived on
// them are lost. Therefore the queue is accepted first, and the listener is shut down right after the accept that finds
// the queue empty.

const (
	adoptInterval = time.Millisecond       // between two attempts to adopt a descriptor
	adoptTimeout  = 500 * time.Millisecond // after which the descriptor is closed
)

// StopAccepting accepts the connections in the listener's queue and then closes the listener: Serve returns, and the connections
// continue. It does not block. If there are not enough slots or descriptors for the queue, the listener stays open
// until all are accepted, and Conns counts one more until then. A connection made between the system call that finds
// the queue empty and the next one, which shuts the listener down, is reset.
func (s *Server) StopAccepting() {
	if s.shutting.Load() > 0 {
		return
	}
	raw := rawListener(s.listener)
	if raw == nil {
		s.closeListener()
		return
	}
	if s.acceptQueue(raw) {
		return
	}
	s.shutting.Store(1)
	go func() {
		defer s.shutting.Store(0)
		for !s.acceptQueue(raw) {
			s.awaitSlot()
		}
	}()
}

func (s *Server) closeListener() {
	s.closeOnce.Do(func() { s.listener.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenerClosed = true
}

// awaitSlot waits until a slot may be free. The oldest lingering connection gives up its own.
func (s *Server) awaitSlot() {
	s.acquireSlot()
	<-s.slots
	time.Sleep(adoptInterval)
}

// rawListener returns the descriptor of a TCP listener; nil for other listeners.
func rawListener(l net.Listener) syscall.RawConn {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// acceptQueue accepts and serves the connections in the listener's queue and closes the listener. It returns false,
// with the listener still open, if some may be left because slots or descriptors ran out.
func (s *Server) acceptQueue(raw syscall.RawConn) (all bool) {
	all = true
	var accepted []int
	err := raw.Control(func(fd uintptr) {
		if accepted, all = s.acceptAll(int(fd)); all {
			unix.Shutdown(int(fd), unix.SHUT_RD) // at once: a connection made before the close would be reset
		}
	})
	if err != nil || all {
		s.closeListener()
	}
	for _, fd := range accepted {
		s.adopt(fd)
	}
	return err != nil || all
}

// acceptAll accepts connections until the queue of a listening socket is empty (all is true) or slots or descriptors
// run out. Each of the returned descriptors holds a slot.
func (s *Server) acceptAll(listening int) (accepted []int, all bool) {
	for {
		select {
		case s.slots <- struct{}{}:
		default:
			return accepted, queueEmpty(listening)
		}
		fd, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == nil {
			accepted = append(accepted, fd)
			continue
		}
		<-s.slots
		switch {
		case errors.Is(err, unix.EAGAIN):
			return accepted, true
		case isConnError(err):
		default:
			return accepted, !isTransient(err)
		}
	}
}

// queueEmpty reports whether no connection waits in the queue of a listening socket.
func queueEmpty(listening int) bool {
	ready := []unix.PollFd{{Fd: int32(listening), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(ready, 0)
		if !errors.Is(err, unix.EINTR) {
			return err != nil || n == 0
		}
	}
}

// isConnError reports whether an error of accept belongs to a single failed connection, after which the next accept
// may succeed: see accept(2).
func isConnError(err error) bool {
	switch err {
	case unix.EINTR, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM:
		return true
	}
	return false
}

// isTransient reports whether a system call on a socket failed for lack of a resource that may be available a moment
// later.
func isTransient(err error) bool {
	for _, transient := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EINTR, unix.EAGAIN} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// adopt serves a connection that acceptAll accepted, as Serve would. net.FileConn duplicates the descriptor, so adopt
// retries for up to adoptTimeout while none is free.
func (s *Server) adopt(fd int) {
	file := os.NewFile(uintptr(fd), "")
	conn, err := net.FileConn(file)
	if err == nil {
		file.Close()
		s.startConn(conn)
		return
	}
	s.open.Add(1)
	go func() {
		defer s.open.Add(-1)
		defer file.Close()
		for end := time.Now().Add(adoptTimeout); err != nil; conn, err = net.FileConn(file) {
			if time.Now().After(end) {
				<-s.slots
				return
			}
			time.Sleep(adoptInterval)
		}
		s.startConn(conn)
	}()
}

// Stop shuts the listener, serving the connections in its queue, and ends every connection: its reader gets the data
// that has already arrived and waits for no more. Each connection is closed after its last write; Stop waits for that
// up to limit.
func (s *Server) Stop(limit time.Duration) {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.StopAccepting()
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
