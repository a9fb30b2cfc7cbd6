package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// A shim under the real program: this test's own binary, started by another name, runs the program as its child and has
// some of its system calls fail, be interrupted or be cut short, as Linux documents that they may.

const (
	shimName    = "larchscale-shim-" // and the seed
	shimProgram = "SOAK_PROGRAM"     // names the real program in the environment
	syscallStop = syscall.SIGTRAP | 0x80
)

// shimsAtATime is how many servers run over the shim side by side: each of their system calls is two more of the shim's.
const shimsAtATime = 3

// shim returns the path of a program that is the real one over failing system calls.
func shim(t *testing.T, seed uint64) string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), shimName+strconv.FormatUint(seed, 10))
	if err := os.Symlink(self, path); err != nil {
		t.Fatal(err)
	}
	return path
}

// Before all tests: a process of the shim's name is the shim.
func init() {
	seed, ok := strings.CutPrefix(filepath.Base(os.Args[0]), shimName)
	if !ok {
		return
	}
	n, err := strconv.ParseUint(seed, 10, 64)
	code := 3
	if err == nil {
		code, err = runShim(os.Getenv(shimProgram), os.Args[1:], n)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "shim:", err)
	}
	os.Exit(code)
}

// failure is how a system call may fail: one in each so many, with one of the errors; none = it is cut short.
type failure struct {
	each int
	errs []syscall.Errno
}

var failures = map[uint64]failure{
	sysAccept4: {4, []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH}},
	sysSocket:     {4, []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM}},
	sysConnect:    {4, []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH}},
	sysEpollPwait: {20, []syscall.Errno{syscall.EINTR}},
	sysRead:       {20, []syscall.Errno{syscall.EINTR}},
	sysWrite:      {20, []syscall.Errno{syscall.EINTR}},
	sysOpenat:     {6, []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EMFILE}},
	sysRename:     {6, []syscall.Errno{syscall.ENOSPC, syscall.EIO}},
	sysRenameat:   {6, []syscall.Errno{syscall.ENOSPC, syscall.EIO}},
	sysFsync:      {4, []syscall.Errno{syscall.ENOSPC, syscall.EIO}},
}

// cutShort is how often a read or write is, one in each so many, and the least bytes of one that may be.
const (
	cutShort = 10
	cutLeast = 64
)

// injector decides about each system call of the program.
type injector struct {
	random *rand.Rand
	begun  bool                  // the program listens: it has started
	inside map[int]bool          // threads in a system call
	fails  map[int]syscall.Errno // how the call that a thread is in is to fail
	counts map[syscall.Errno]int // that failed so
	short  int                   // that were cut short
}

// runShim runs the program until it ends, and returns its exit code.
func runShim(program string, args []string, seed uint64) (int, error) {
	runtime.LockOSThread() // all requests have to come from the thread that began
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	if err := command.Start(); err != nil {
		return 3, err
	}
	child := command.Process.Pid
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			syscall.Kill(child, s.(syscall.Signal))
		}
	}()
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(child, &status, syscall.WALL, nil); err != nil {
		return 3, fmt.Errorf("wait: %w", err)
	}
	if err := syscall.PtraceSetOptions(child, unix.PTRACE_O_TRACESYSGOOD|unix.PTRACE_O_TRACECLONE|unix.PTRACE_O_EXITKILL); err != nil {
		return 3, fmt.Errorf("options: %w", err)
	}
	i := &injector{random: rand.New(rand.NewPCG(seed, 0x5411)), inside: map[int]bool{}, fails: map[int]syscall.Errno{}, counts: map[syscall.Errno]int{}}
	thread, deliver := child, 0
	for {
		syscall.PtraceSyscall(thread, deliver)
		var err error
		for {
			if thread, err = syscall.Wait4(-1, &status, syscall.WALL, nil); err != syscall.EINTR {
				break
			}
		}
		switch {
		case err != nil:
			return 3, fmt.Errorf("wait: %w", err)
		case thread == child && status.Exited():
			fmt.Fprintf(os.Stderr, "shim: failed %v, cut short %d\n", i.counts, i.short)
			return status.ExitStatus(), nil
		case thread == child && status.Signaled():
			return 128 + int(status.Signal()), nil
		}
		if deliver = 0; status.Stopped() {
			deliver = i.stopped(thread, status)
		}
	}
}

// stopped takes a stop of a thread, and returns the signal that it is to have.
func (i *injector) stopped(thread int, status syscall.WaitStatus) (deliver int) {
	switch s := status.StopSignal(); s {
	case syscallStop:
		if i.inside[thread] = !i.inside[thread]; i.inside[thread] {
			i.entered(thread)
		} else {
			i.left(thread)
		}
		return 0
	case syscall.SIGTRAP, syscall.SIGSTOP: // a thread that begins
		return 0
	default:
		return int(s)
	}
}

// entered decides about a system call that begins.
func (i *injector) entered(thread int) {
	var regs registers
	if regs.get(thread) != nil {
		return
	}
	i.begun = i.begun || regs.number() == sysListen
	if !i.begun {
		return
	}
	if f, ok := failures[regs.number()]; ok && i.random.IntN(f.each) == 0 && mayFail(&regs) {
		i.fails[thread] = f.errs[i.random.IntN(len(f.errs))]
		regs.cancel(thread)
		return
	}
	if i.random.IntN(cutShort) != 0 {
		return
	}
	switch {
	case (regs.number() == sysRead || regs.number() == sysWrite) && *regs.third() >= cutLeast:
		*regs.third() = 1 + i.random.Uint64N(*regs.third()-1)
	case regs.number() == sysWritev && *regs.third() > 1:
		*regs.third() = 1
	default:
		return
	}
	i.short++
	regs.set(thread)
}

// mayFail leaves out the calls of the runtime's own, on what is no socket and no file of the program's.
func mayFail(regs *registers) bool {
	switch regs.number() {
	case sysRead, sysWrite:
		return *regs.third() >= cutLeast
	case sysOpenat:
		return *regs.third()&syscall.O_CREAT != 0
	}
	return true
}

// left has a system call that was to fail end so.
func (i *injector) left(thread int) {
	err, ok := i.fails[thread]
	if !ok {
		return
	}
	delete(i.fails, thread)
	var regs registers
	if regs.get(thread) != nil {
		return
	}
	*regs.result() = uint64(-int64(err))
	if regs.set(thread) == nil {
		i.counts[err]++
	}
}

// Real servers whose system calls fail in documented ways, with balancers that use their connections up to the kill: the
// rules hold as ever. Each system call costs the shim two stops: a run in which the kill came first says nothing.
func TestSoakOverFailingSystemCalls(t *testing.T) {
	places := make(chan struct{}, shimsAtATime)
	for n := range *shims {
		p := drawPlan(*firstSeed + uint64(n))
		p.pauses, p.starved, p.fullDisk = false, false, false // these are done to a process by its id
		t.Run(fmt.Sprint("seed-", p.seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			p.program = shim(t, p.seed)
			v, s := soak(t, p)
			t.Logf("%v\n%v", p, v)
			if s.killed {
				t.Log("void: the machine was too slow for the shim, and the kill came before the process had ended")
				return
			}
			if len(v.broken) > 0 {
				t.Errorf("rules broken: %s", s.Log())
			}
			if i := strings.LastIndex(s.Log(), "shim: failed"); i >= 0 {
				t.Log(s.Log()[i:])
			} else {
				t.Errorf("the shim does not tell what failed: %s", s.Log())
			}
		})
	}
}
