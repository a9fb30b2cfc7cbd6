package soak

import "syscall"

// Numbers of system calls on amd64.
const (
	sysRead       = 0
	sysWrite      = 1
	sysWritev     = 20
	sysSocket     = 41
	sysConnect    = 42
	sysListen     = 50
	sysFsync      = 74
	sysRename     = 82
	sysOpenat     = 257
	sysRenameat   = 264
	sysEpollPwait = 281
	sysAccept4    = 288
)

// registers are those of a stopped thread.
type registers struct{ syscall.PtraceRegs }

func (r *registers) get(thread int) error { return syscall.PtraceGetRegs(thread, &r.PtraceRegs) }

func (r *registers) set(thread int) error { return syscall.PtraceSetRegs(thread, &r.PtraceRegs) }

// number is that of the system call.
func (r *registers) number() uint64 { return r.Orig_rax }

// third is the third argument of the system call.
func (r *registers) third() *uint64 { return &r.Rdx }

func (r *registers) result() *uint64 { return &r.Rax }

// cancel turns the system call that begins into none: it does nothing.
func (r *registers) cancel(thread int) error {
	r.Orig_rax = ^uint64(0)
	return r.set(thread)
}
