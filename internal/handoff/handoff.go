// Package handoff implements graceful restarts over SO_REUSEPORT: it decides whether a SIGTERM hands the address to a
// newer process of the same server, and by when the older process must be gone. The decisions are in this file and do
// no I/O; StartFile is the thin layer that accesses the file system.
//
// Each listening process owns a start file in the $TMPDIR that the processes share, by a lock that it holds until it
// ends. The most recently started process takes over the file's name. A SIGTERM is a handoff if the file found under
// that name is locked by another process.
package handoff

import (
	"bytes"
	"slices"
	"strconv"
	"time"
)

// The platform kills the old process of a handoff after the SIGTERM plus the longest deadline of a class, counted as
// at most maxCountedDeadline, plus killMargin.
const (
	maxCountedDeadline = 3 * time.Second
	killMargin         = 700 * time.Millisecond
)

// FileName returns the name of a server's start file within $TMPDIR.
func FileName(server string) string { return "larchscale-" + server + ".start" }

// Record returns the content of the start file.
func Record(pid int) []byte { return []byte(strconv.Itoa(pid) + "\n") }

// parsePID returns the process id in a start file; 0 = it cannot be read.
func parsePID(file []byte) int {
	pid, err := strconv.Atoi(string(bytes.TrimSpace(file)))
	if err != nil || pid < 0 {
		return 0
	}
	return pid
}

// Holder is the holder of the start file found at a SIGTERM.
type Holder uint8

// The holders of a start file.
const (
	Unknown Holder = iota // the file does not exist, cannot be read or is not a regular file
	Self                  // this process is the newest
	Nobody                // the process that wrote it has ended
	Other                 // another process, which is running
)

// StartFileState is what a process finds under the name of its start file.
type StartFileState struct {
	Holder Holder
	Record []byte // content, if written by another process
}

// Successor reports whether a SIGTERM is a handoff, and the successor's process id for the log; 0 = its record cannot
// be read. If it is not a handoff, the SIGTERM is a notice to shut down. Only the lock counts: the process id may
// have been reused by another program.
func (f StartFileState) Successor() (pid int, ok bool) {
	if f.Holder != Other {
		return 0, false
	}
	return parsePID(f.Record), true
}

// KillDelay returns the time after the SIGTERM of a handoff at which the platform kills the old process, given the
// deadlines of the classes.
func KillDelay(deadlines []time.Duration) time.Duration {
	var longest time.Duration
	for _, d := range deadlines {
		longest = max(longest, d)
	}
	return min(longest, maxCountedDeadline) + killMargin
}

// EarliestKill returns how soon after a SIGTERM the kill may come: the configured time, or the platform's rule if that is
// sooner. A deadline of 0 means unknown, and is counted as maxCountedDeadline.
func EarliestKill(configured time.Duration, deadlines []time.Duration) time.Duration {
	if len(deadlines) == 0 || slices.Contains(deadlines, 0) {
		return min(configured, maxCountedDeadline+killMargin)
	}
	return min(configured, KillDelay(deadlines))
}
