package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errStat is a file of /proc that does not have what is looked for.
var errStat = errors.New("unreadable process statistics")

// processes are those started by this command, by process id.
type processes struct {
	mu  sync.Mutex
	ids map[int]struct{}
}

func (p *processes) add(id int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids == nil {
		p.ids = map[int]struct{}{}
	}
	p.ids[id] = struct{}{}
}

func (p *processes) remove(id int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
}

// killOnInterrupt has SIGINT and SIGTERM kill the processes, call clean and end this one, until release is called.
func (p *processes) killOnInterrupt(clean func()) (release func()) {
	interrupts := make(chan os.Signal, 1)
	done := make(chan struct{})
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-done:
		case <-interrupts:
			p.mu.Lock() // held to the end: no process is started after this
			for id := range p.ids {
				syscall.Kill(id, syscall.SIGKILL)
			}
			clean()
			fmt.Fprintln(os.Stderr, "measure: interrupted")
			os.Exit(1)
		}
	}()
	return func() {
		signal.Stop(interrupts)
		close(done)
	}
}

// cpuTime returns the time that a process has run on a core, in user and system mode: the sum over its threads.
func cpuTime(id int) (time.Duration, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", id))
	if err != nil || len(paths) == 0 {
		return 0, errors.Join(errStat, err)
	}
	var sum time.Duration
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		first, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(nanoseconds)
	}
	return sum, nil
}

// residentKB returns the resident set of a process in kilobytes.
func residentKB(id int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return 0, errStat
}
