package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is a flat directory that holds a log. Data is durable once File.Sync or SyncDir has returned for it; a power
// failure may leave any part of the rest. Errors are those of package os.
type FS interface {
	Create(name string) (File, error) // creates a file or truncates an existing one
	Open(name string) (File, error)   // opens an existing file for reading
	List() ([]string, error)          // returns the names in the directory, sorted
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	// Patch overwrites existing bytes of a file, which needs no free space, and syncs them.
	Patch(name string, at int64, b []byte) error
}

// File is an open file of an FS. Writes append to it.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	Sync() error
}

// ErrLocked reports a directory that another process has locked.
var ErrLocked = errors.New("in use by another process")

// Dir implements FS on a directory of the operating system.
type Dir string

// Make creates the directory and its parents.
func (d Dir) Make() error { return os.MkdirAll(string(d), 0o750) }

// Lock locks the directory for this process until the returned file is closed or the process ends.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path("lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, &fs.PathError{Op: "lock", Path: string(d), Err: err}
	}
	return f, nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	return wrapFile(os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_RDWR|os.O_APPEND, 0o640))
}

// Open implements FS. A file without write permission is opened read-only.
func (d Dir) Open(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND, 0)
	if errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EROFS) {
		f, err = os.Open(d.path(name))
	}
	return wrapFile(f, err)
}

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Rename implements FS.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Patch implements FS.
func (d Dir) Patch(name string, at int64, b []byte) error {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(b, at); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// SyncDir implements FS.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

type osFile struct{ *os.File }

func wrapFile(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
