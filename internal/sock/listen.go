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
	listenWithin = 5 * time.Second       // an address is tried again where the system has no room for it for a while
	listenEach   = 50 * time.Millisecond // between two tries
)

// Listen opens a TCP listener on addr with SO_REUSEPORT, so that the next process of the same server binds
// the same address while this one serves. New connections go to the oldest listener of the address until
// it hands off (Steer). A kernel that does not steer (EOPNOTSUPP) spreads them over both by a hash. It is tried again for
// up to listenWithin where the system fails for a moment; an address in use is an error at once.
func Listen(addr string) (net.Listener, error) {
	return RetryListen(func() (net.Listener, error) { return listen(addr) })
}

// RetryListen tries to listen until that is done, or fails for good; for listenWithin at the most.
func RetryListen(listen func() (net.Listener, error)) (net.Listener, error) {
	for end := time.Now().Add(listenWithin); ; time.Sleep(listenEach) {
		l, err := listen()
		if err == nil || !passes(err) || time.Now().After(end) {
			return l, err
		}
	}
}

func listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		var err error
		if cerr := rc.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	Steer(l, 0) // where the kernel does not steer, the hash spreads them: nothing is lost either way
	return l, nil
}

// Steer has the kernel give every new connection of the address to the listener at place i of those bound to
// it, in the order they were bound: 0 = the oldest. A place beyond them falls back to the hash. The queued
// connections of each listener stay its own.
func Steer(l net.Listener, i uint32) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("steer: %T is no TCP listener", l)
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return fmt.Errorf("steer: %w", err)
	}
	prog := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: i}}
	if cerr := rc.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(prog)), Filter: &prog[0]})
	}); cerr != nil {
		return fmt.Errorf("steer: %w", cerr)
	}
	if err != nil {
		return fmt.Errorf("steer: %w", err)
	}
	return nil
}
