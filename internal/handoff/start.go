package handoff

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// maxRecordBytes bounds how much of a start file is read.
const maxRecordBytes = 64

// StartFile is this process's own start file. Its flock is released by Close or when the process ends, in whatever
// way.
type StartFile struct {
	file *os.File
	path string
}

// Claim makes this process the newest start at path. The file is renamed into place complete and locked, so an
// observer sees either the previous file or this one. A process that cannot claim the file has a nil StartFile, and
// its SIGTERM is always a notice to shut down.
func Claim(path string) (*StartFile, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	// Remove what an earlier process with the same id may have left.
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err = lock(file, syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		if _, err = file.Write(Record(os.Getpid())); err == nil {
			err = os.Rename(temporary, path)
		}
	}
	if err != nil {
		file.Close()
		os.Remove(temporary)
		return nil, err
	}
	return &StartFile{file, path}, nil
}

// Close releases the lock.
func (s *StartFile) Close() {
	if s != nil {
		s.file.Close()
	}
}

// Inspect returns the holder of the start file that exists now, without blocking. The error explains a holder of Unknown
// or Nobody for the log; it is nil if this process has no start file.
func (s *StartFile) Inspect() (StartFileState, error) {
	if s == nil {
		return StartFileState{}, nil
	}
	file, err := os.OpenFile(s.path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // does not block on a FIFO
	if err != nil {
		return StartFileState{}, err
	}
	defer file.Close()
	own, err := s.file.Stat()
	if err != nil {
		return StartFileState{}, err
	}
	found, err := file.Stat()
	if err != nil {
		return StartFileState{}, err
	}
	if os.SameFile(own, found) {
		return StartFileState{Holder: Self}, nil
	}
	if !found.Mode().IsRegular() {
		return StartFileState{}, fmt.Errorf("%s is not a regular file", s.path)
	}
	record, err := io.ReadAll(io.LimitReader(file, maxRecordBytes))
	if err != nil {
		return StartFileState{}, err
	}
	// The lock is shared, so that two processes that shut down at once do not take each other's check for a holder.
	switch err := lock(file, syscall.LOCK_SH|syscall.LOCK_NB); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		return StartFileState{Holder: Other, Record: record}, nil
	case err != nil:
		return StartFileState{}, err
	}
	return StartFileState{Holder: Nobody, Record: record}, fmt.Errorf("process %d, which wrote %s, has ended", parsePID(record),
		s.path)
}

// lock applies flock to a file and retries it when interrupted.
func lock(file *os.File, how int) error {
	for {
		if err := syscall.Flock(int(file.Fd()), how); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
