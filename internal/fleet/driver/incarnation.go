package driver

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"larchscale/internal/wal"
)

// nextIncarnation numbers this process: more than every earlier one of the box, also if the clock went back. It is on
// the disk before anything is said under it.
func nextIncarnation(dir string, now uint64) (uint64, error) {
	path := filepath.Join(dir, incarnationName)
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	was, _ := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	n := max(now, was+1)
	f, err := os.CreateTemp(dir, incarnationName+"-")
	if err != nil {
		return 0, err
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintln(f, n)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return 0, err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return 0, err
	}
	return n, wal.Dir(dir).SyncDir()
}
