// Package stall watches how a machine holds up the programs on it, beside a measurement: a disk that many share, or more
// work than it has cores, holds up what is measured too.
package stall

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	every     = 100 * time.Millisecond
	blockSize = 4 << 10 // bytes of a write
)

// Longest are the longest that something took since they were last read.
type Longest struct {
	Sync  time.Duration // of a small write to reach the disk
	Timer time.Duration // by which a timer was late
}

// Monitor writes a block to a file and syncs it, ten times a second.
type Monitor struct {
	file *os.File
	stop context.CancelFunc
	done chan struct{}

	mu      sync.Mutex
	longest Longest
	err     error
}

// Start begins to watch the disk of a directory.
func Start(directory string) (*Monitor, error) {
	file, err := os.Create(filepath.Join(directory, "stall"))
	if err != nil {
		return nil, fmt.Errorf("stall: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Monitor{file: file, stop: stop, done: make(chan struct{})}
	go m.run(ctx)
	return m, nil
}

func (m *Monitor) run(ctx context.Context) {
	defer close(m.done)
	for {
		due := time.Now().Add(every)
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		late := time.Since(due)
		began := time.Now()
		_, err := m.file.WriteAt(make([]byte, blockSize), 0)
		if err == nil {
			err = m.file.Sync()
		}
		m.note(late, time.Since(began), err)
	}
}

func (m *Monitor) note(late, took time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest.Timer, m.longest.Sync = max(m.longest.Timer, late), max(m.longest.Sync, took)
	if err != nil {
		m.err = err
	}
}

// Take returns the longest times since the last call.
func (m *Monitor) Take() (Longest, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := m.longest
	m.longest = Longest{}
	return longest, m.err
}

// Stop ends the watch.
func (m *Monitor) Stop() {
	m.stop()
	<-m.done
	m.file.Close()
}
