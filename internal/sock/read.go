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

// Reader reads a connection, either as usual or without waiting for data.
type Reader struct {
	Conn   net.Conn
	NoWait bool // a read returns what has arrived, whatever the deadline, or os.ErrDeadlineExceeded if nothing has
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.NoWait {
		return r.Conn.Read(p)
	}
	syscallConn, ok := r.Conn.(syscall.Conn)
	if !ok { // a pipe has no receive queue
		return 0, os.ErrDeadlineExceeded
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	// Control rather than RawConn.Read, which does not read once the deadline of the connection has passed.
	err = rawConn.Control(func(fd uintptr) {
		for {
			if n, readErr = unix.Read(int(fd), p); !errors.Is(readErr, unix.EINTR) {
				return
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, unix.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// closeWriteIfNoInput closes the writing half of a connection if no unread data has arrived on it. It returns false if
// data has arrived or the connection has ended or failed, which the next read reports. The raw system calls do not
// yield to the Go scheduler: on a busy machine a request could arrive in the time that a yield between the two would
// take.
func closeWriteIfNoInput(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok { // a pipe has no receive queue
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	rawConn.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&peeked)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if empty = errno == syscall.EAGAIN; empty {
			syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_WR, 0)
		}
	})
	return empty
}

// PeerGone reports whether the peer is known to have closed the connection altogether or reset it. A peer that has closed
// only its writing half does not count.
func PeerGone(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true // a pipe has no separate halves
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	broken := true
	if rawConn.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		broken = code != 0 || errors.Is(err, unix.EBADF)
	}) != nil {
		return true
	}
	return broken
}

// UnreadBytes returns the number of unread bytes in the receive queue of a connection; 0 if the system does not report it.
func UnreadBytes(conn net.Conn) int {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	rawConn.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}
