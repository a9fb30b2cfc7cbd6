package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// The processes that share a directory of keys write into its files when a key expires. They count that on one clock that
// nobody steps: the machine's monotonic one, plus the offset of the wall clock when the first of them began, which stands
// in the file ".clock" with the boot that it is of. So a step of the wall clock frees no key before its window is over,
// whether it comes while a process runs or before its successor starts.

const (
	clockFile = ".clock"
	bootFile  = "/proc/sys/kernel/random/boot_id"
)

// machineClocks are the clocks of a machine, and which boot of it the monotonic one counts from.
type machineClocks struct {
	boot      string
	wall      func() time.Time
	monotonic func() (time.Duration, error) // since the boot, the same for all processes
}

// ofMachine returns this machine's clocks.
func ofMachine() machineClocks {
	boot, err := os.ReadFile(bootFile)
	if err != nil { // one boot cannot be told from another: the offset is then good for as long as the directory is
		boot = []byte("unknown")
	}
	return machineClocks{strings.TrimSpace(string(boot)), time.Now, monotonic}
}

func monotonic() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0, fmt.Errorf("clock_gettime: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// sharedClock returns the clock of a directory. Where the file cannot be used err says why, and the clock is this
// process's own: it takes no steps from here on either.
func sharedClock(dir string, m machineClocks) (now func() time.Time, err error) {
	started := m.wall()
	own := func() time.Time { return started.Add(m.wall().Sub(started)) } // by its monotonic reading
	since, err := m.monotonic()
	if err != nil {
		return own, err
	}
	offset, err := sharedOffset(filepath.Join(dir, clockFile), m.boot, time.Duration(started.UnixNano())-since)
	if err != nil {
		return own, err
	}
	base := time.Unix(0, int64(offset+since))
	return func() time.Time { return base.Add(m.wall().Sub(started)) }, nil
}

// sharedOffset reads the offset that the first process of this boot wrote, or writes its own.
func sharedOffset(path, boot string, own time.Duration) (time.Duration, error) {
	if offset, ok, err := readOffset(path, boot); ok || err != nil {
		return offset, err
	}
	next, err := os.CreateTemp(filepath.Dir(path), clockFile+unfinished)
	if err != nil {
		return 0, err
	}
	defer os.Remove(next.Name())
	_, err = fmt.Fprintf(next, "%s %d\n", boot, int64(own))
	if err = errors.Join(err, next.Close()); err != nil {
		return 0, err
	}
	if _, err := os.Stat(path); err == nil { // of another boot, or spoilt
		return own, os.Rename(next.Name(), path)
	}
	if err := os.Link(next.Name(), path); err != nil && !errors.Is(err, fs.ErrExist) {
		return 0, err
	}
	offset, ok, err := readOffset(path, boot) // another process may have been faster
	if err == nil && !ok {
		err = fmt.Errorf("%s is spoilt", path)
	}
	return offset, err
}

// readOffset reads a clock file; false = there is none of this boot that can be read.
func readOffset(path, boot string) (offset time.Duration, ok bool, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var of string
	var n int64
	if _, err := fmt.Sscanf(string(text), "%s %d\n", &of, &n); err != nil || of != boot {
		return 0, false, nil
	}
	return time.Duration(n), true, nil
}
