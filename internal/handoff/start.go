package handoff

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// maxRecord bounds what is read of a start file, in bytes.
const maxRecord = 64

// StartFile is this process's own start file. Its flock ends with the process, however that ends, or with Close.
type StartFile struct {
	file *os.File
	path string
}

// Claim makes this process the newest start at path. The file takes its name whole and locked: whoever looks there
// sees the one before or this one. A process that cannot claim it has no start file (nil), and its SIGTERM is
// always the notice to leave.
func Claim(path string) (*StartFile, error) {
	next := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) { // of an earlier process of that id
		return nil, err
	}
	file, err := os.OpenFile(next, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err = lock(file, syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		if _, err = file.Write(Record(os.Getpid())); err == nil {
			err = os.Rename(next, path)
		}
	}
	if err != nil {
		file.Close()
		os.Remove(next)
		return nil, err
	}
	return &StartFile{file, path}, nil
}

// Close gives the lock up.
func (s *StartFile) Close() {
	if s != nil {
		s.file.Close()
	}
}

// Look tells who holds the start file that is there now. err is what a holder of Unknown or Nobody is worth to a log;
// nil where this process has no start file. It waits for nobody.
func (s *StartFile) Look() (Found, error) {
	if s == nil {
		return Found{}, nil
	}
	file, err := os.OpenFile(s.path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // a FIFO in its place is not waited for
	if err != nil {
		return Found{}, err
	}
	defer file.Close()
	mine, err := s.file.Stat()
	if err != nil {
		return Found{}, err
	}
	there, err := file.Stat()
	if err != nil {
		return Found{}, err
	}
	if os.SameFile(mine, there) {
		return Found{Holder: Self}, nil
	}
	if !there.Mode().IsRegular() {
		return Found{}, fmt.Errorf("%s is no regular file", s.path)
	}
	record, err := io.ReadAll(io.LimitReader(file, maxRecord))
	if err != nil {
		return Found{}, err
	}
	// Shared: two processes that leave at once do not take each other's look for a holder.
	switch err := lock(file, syscall.LOCK_SH|syscall.LOCK_NB); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		return Found{Holder: Other, Record: record}, nil
	case err != nil:
		return Found{}, err
	}
	return Found{Holder: Nobody, Record: record}, fmt.Errorf("process %d, which wrote %s, has ended", recorded(record), s.path)
}

func lock(file *os.File, how int) error {
	for {
		if err := syscall.Flock(int(file.Fd()), how); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
