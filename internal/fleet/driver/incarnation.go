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

// nextIncarnation returns the number of this process. It is larger than that of every earlier process of the server,
// even if the clock was set back, and is on disk before it is used.
func nextIncarnation(dir string, now uint64) (uint64, error) {
	path := filepath.Join(dir, incarnationFile)
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	previous, _ := strconv.ParseUint(strings.TrimSpace(string(content)), 10, 64)
	next := max(now, previous+1)
	f, err := os.CreateTemp(dir, incarnationFile+"-")
	if err != nil {
		return 0, err
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintln(f, next)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return 0, err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return 0, err
	}
	return next, wal.Dir(dir).SyncDir()
}
