package stall

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The longest times are kept until they are read, and an error stays.
func TestTake(t *testing.T) {
	m := &Monitor{}
	m.note(2*time.Millisecond, 30*time.Millisecond, nil)
	m.note(5*time.Millisecond, 10*time.Millisecond, nil)
	if longest, err := m.Take(); err != nil || longest != (Longest{Sync: 30 * time.Millisecond, Timer: 5 * time.Millisecond}) {
		t.Errorf("%+v, %v", longest, err)
	}
	m.note(0, 0, os.ErrClosed)
	if longest, err := m.Take(); !errors.Is(err, os.ErrClosed) || longest != (Longest{}) {
		t.Errorf("%+v, %v", longest, err)
	}
}

func TestMonitor(t *testing.T) {
	directory := t.TempDir()
	m, err := Start(directory)
	if err != nil {
		t.Fatal(err)
	}
	for {
		longest, err := m.Take()
		if err != nil {
			t.Fatal(err)
		}
		if longest.Sync > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	m.Stop()
	if info, err := os.Stat(filepath.Join(directory, "stall")); err != nil || info.Size() != blockSize {
		t.Errorf("%v, %v", info, err)
	}
	if _, err := Start(filepath.Join(directory, "none")); err == nil {
		t.Error("it watches a directory that does not exist")
	}
}
