package soak

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Numbers of system calls on arm64.
const (
	sysRead       = unix.SYS_READ
	sysWrite      = unix.SYS_WRITE
	sysWritev     = unix.SYS_WRITEV
	sysSocket     = unix.SYS_SOCKET
	sysConnect    = unix.SYS_CONNECT
	sysListen     = unix.SYS_LISTEN
	sysFsync      = unix.SYS_FSYNC
	sysRename     = 1 << 32 // there is none: no system call has this number
	sysOpenat     = unix.SYS_OPENAT
	sysRenameat   = unix.SYS_RENAMEAT
	sysEpollPwait = unix.SYS_EPOLL_PWAIT
	sysAccept4    = unix.SYS_ACCEPT4
)

// Sets of registers, as <linux/elf.h> numbers them.
const (
	generalSet    = 1     // NT_PRSTATUS
	systemCallSet = 0x404 // NT_ARM_SYSTEM_CALL
)

// registers are those of a stopped thread.
type registers struct{ unix.PtraceRegsArm64 }

func (r *registers) get(thread int) error {
	return unix.PtraceGetRegSetArm64(thread, generalSet, &r.PtraceRegsArm64)
}

func (r *registers) set(thread int) error {
	return unix.PtraceSetRegSetArm64(thread, generalSet, &r.PtraceRegsArm64)
}

// number is that of the system call.
func (r *registers) number() uint64 { return r.Regs[8] }

// third is the third argument of the system call.
func (r *registers) third() *uint64 { return &r.Regs[2] }

func (r *registers) result() *uint64 { return &r.Regs[0] }

// cancel turns the system call that begins into none: it does nothing.
func (r *registers) cancel(thread int) error {
	none := int32(-1)
	vector := unix.Iovec{Base: (*byte)(unsafe.Pointer(&none)), Len: uint64(unsafe.Sizeof(none))}
	_, _, failed := syscall.Syscall6(syscall.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(thread), systemCallSet, uintptr(unsafe.Pointer(&vector)), 0, 0)
	if failed != 0 {
		return failed
	}
	return nil
}
