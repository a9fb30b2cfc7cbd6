package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Reader reads a connection, and can be asked for what has come already.
type Reader struct {
	Conn   net.Conn
	NoWait bool // a read returns what has come, whatever the deadline, and os.ErrDeadlineExceeded if nothing has
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.NoWait {
		return r.Conn.Read(p)
	}
	s, ok := r.Conn.(syscall.Conn)
	if !ok { // what has no queue of its own has nothing waiting
		return 0, os.ErrDeadlineExceeded
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var rerr error
	// Control, as RawConn.Read looks at nothing once the connection's deadline is over.
	err = rc.Control(func(fd uintptr) {
		for {
			if n, rerr = unix.Read(int(fd), p); !errors.Is(rerr, unix.EINTR) {
				return
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(rerr, unix.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case rerr != nil:
		return 0, os.NewSyscallError("read", rerr)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// endIfQuiet ends the writing half of a connection if nothing has come on it that is not read; false = something has, or
// the connection has ended or failed, which the next read tells. The two system calls follow one another with nothing in
// between: they do not let the scheduler run others, which on a busy machine would be a while in which requests come.
func endIfQuiet(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok { // what has no queue of its own has nothing waiting
		return true
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	rc.Control(func(fd uintptr) {
		var one [1]byte
		_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&one)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if quiet = errno == syscall.EAGAIN; quiet {
			syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_WR, 0)
		}
	})
	return quiet
}

// Broken tells that the other side of a connection is known to be gone: a connection of which it closed only its
// writing half is not.
func Broken(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true // a pipe has no halves
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return true
	}
	broken := true
	if rc.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		broken = code != 0 || errors.Is(err, unix.EBADF)
	}) != nil {
		return true
	}
	return broken
}

// Unread returns how many bytes have come on a connection that nobody has read, as far as the system tells; else 0.
func Unread(conn net.Conn) int {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	rc.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}
