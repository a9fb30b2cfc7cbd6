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

// Processes that share a claim directory write each key's expiry into its file, so they need one clock that is never
// stepped. They use the machine's monotonic clock plus the offset to the wall clock that the first of them measured.
// The offset is stored in the file ".clock" with the ID of the boot it belongs to. A step of the wall clock therefore
// frees no key before its window has passed, whether the step happens while a process runs or before its successor
// starts.

const (
	clockFileName = ".clock"
	bootIDFile    = "/proc/sys/kernel/random/boot_id"
)

// machineClocks holds the clocks of a machine and the boot that the monotonic clock counts from.
type machineClocks struct {
	boot      string
	wall      func() time.Time
	monotonic func() (time.Duration, error) // since the boot, the same for all processes
}

// systemClocks returns the clocks of this machine.
func systemClocks() machineClocks {
	boot, err := os.ReadFile(bootIDFile)
	// Boots cannot be told apart, so the stored offset is used for as long as the directory exists.
	if err != nil {
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

// sharedClock returns the clock of a directory. If the clock file cannot be used it returns the reason together with
// a clock of this process alone, which is not affected by later steps of the wall clock either.
func sharedClock(dir string, m machineClocks) (now func() time.Time, err error) {
	started := m.wall()
	own := func() time.Time { return started.Add(m.wall().Sub(started)) } // uses the monotonic readings of both times
	sinceBoot, err := m.monotonic()
	if err != nil {
		return own, err
	}
	offset, err := sharedOffset(filepath.Join(dir, clockFileName), m.boot, time.Duration(started.UnixNano())-sinceBoot)
	if err != nil {
		return own, err
	}
	base := time.Unix(0, int64(offset+sinceBoot))
	return func() time.Time { return base.Add(m.wall().Sub(started)) }, nil
}

// sharedOffset returns the offset that the first process of this boot wrote, or writes own if there is none.
func sharedOffset(path, boot string, own time.Duration) (time.Duration, error) {
	if offset, ok, err := readOffset(path, boot); ok || err != nil {
		return offset, err
	}
	temp, err := os.CreateTemp(filepath.Dir(path), clockFileName+unfinishedSuffix)
	if err != nil {
		return 0, err
	}
	defer os.Remove(temp.Name())
	_, err = fmt.Fprintf(temp, "%s %d\n", boot, int64(own))
	if err = errors.Join(err, temp.Close()); err != nil {
		return 0, err
	}
	if _, err := os.Stat(path); err == nil { // written during another boot, or corrupt
		return own, os.Rename(temp.Name(), path)
	}
	if err := os.Link(temp.Name(), path); err != nil && !errors.Is(err, fs.ErrExist) {
		return 0, err
	}
	offset, ok, err := readOffset(path, boot) // another process may have written it first
	if err == nil && !ok {
		err = fmt.Errorf("%s is corrupt", path)
	}
	return offset, err
}

// readOffset reads a clock file. It returns false if there is no readable file of this boot.
func readOffset(path, boot string) (offset time.Duration, ok bool, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var fileBoot string
	var nanoseconds int64
	if _, err := fmt.Sscanf(string(text), "%s %d\n", &fileBoot, &nanoseconds); err != nil || fileBoot != boot {
		return 0, false, nil
	}
	return time.Duration(nanoseconds), true, nil
}
