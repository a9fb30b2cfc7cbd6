package sock

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	listenTimeout  = 5 * time.Second       // bounds the attempts while the system is out of resources
	listenInterval = 50 * time.Millisecond // between two attempts
)

// Listen opens a TCP listener on addr with SO_REUSEPORT, so that the next process of the same server can bind the same
// address while this one serves. New connections go to the oldest listener of the address until it hands off (Steer); a
// kernel without steering (EOPNOTSUPP) spreads them over both by a hash. Listen retries for up to listenTimeout while
// the system is out of resources; an address in use is an error at once.
func Listen(addr string) (net.Listener, error) {
	return RetryListen(func() (net.Listener, error) { return listen(addr) })
}

// RetryListen calls listen until it succeeds, fails with an error that is not transient, or listenTimeout has passed.
func RetryListen(listen func() (net.Listener, error)) (net.Listener, error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(listenInterval) {
		l, err := listen()
		if err == nil || !isTransient(err) || time.Now().After(end) {
			return l, err
		}
	}
}

func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, rawConn syscall.RawConn) error {
		var err error
		if controlErr := rawConn.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	Steer(l, 0) // without steering the kernel spreads connections by a hash; none is lost either way
	return l, nil
}

// Steer has the kernel give every new connection of the address to listener index of those bound to it, in the order in
// which they were bound; 0 is the oldest. An index beyond them falls back to the hash. Connections that are already
// queued stay with their listener.
func Steer(l net.Listener, index uint32) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("steer: %T is not a TCP listener", l)
	}
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("steer: %w", err)
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: index}}
	if controlErr := rawConn.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	}); controlErr != nil {
		return fmt.Errorf("steer: %w", controlErr)
	}
	if err != nil {
		return fmt.Errorf("steer: %w", err)
	}
	return nil
}
