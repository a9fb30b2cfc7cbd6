// Package handoff is a graceful restart over SO_REUSEPORT: whether a SIGTERM hands the address to a newer process of
// the same server, and by when the older one has to be gone. What is decided (this file) is without I/O; StartFile
// is the thin part that asks the file system.
//
// Each process that listens owns the start file in $TMPDIR, which they share, by a lock that it holds until it ends;
// the newest start takes the file's name. A SIGTERM that finds there a file which another process still holds is a
// handoff.
package handoff

import (
	"bytes"
	"slices"
	"strconv"
	"time"
)

// The platform's kill after the SIGTERM of a handoff: the longest deadline of a class, counted as at most
// longestCounted, and killAfter.
const (
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond
)

// FileName is the start file of a server, within $TMPDIR.
func FileName(server string) string { return "larchscale-" + server + ".start" }

// Record is what a process writes to the start file.
func Record(pid int) []byte { return []byte(strconv.Itoa(pid) + "\n") }

// recorded gives the process id in a start file; 0 = none can be read.
func recorded(file []byte) int {
	pid, err := strconv.Atoi(string(bytes.TrimSpace(file)))
	if err != nil || pid < 0 {
		return 0
	}
	return pid
}

// Holder is who holds the start file that is there at a SIGTERM.
type Holder uint8

// The holders of a start file.
const (
	Unknown Holder = iota // the file is not there, cannot be read or is no regular file
	Self                  // this process is the newest
	Nobody                // the process that wrote it has ended
	Other                 // another process, which lives
)

// Found is what a process finds in place of its start file.
type Found struct {
	Holder Holder
	Record []byte // of another process
}

// Successor tells whether a SIGTERM is a handoff, and to which process id, for the log; 0 = its record cannot be read.
// Otherwise the SIGTERM is the notice to leave. Only the lock counts: a process id may be another program's by now.
func (f Found) Successor() (pid int, ok bool) {
	if f.Holder != Other {
		return 0, false
	}
	return recorded(f.Record), true
}

// Kill is how long after the SIGTERM of a handoff the platform kills the old process, for the deadlines of
// the classes.
func Kill(deadlines []time.Duration) time.Duration {
	var longest time.Duration
	for _, d := range deadlines {
		longest = max(longest, d)
	}
	return min(longest, longestCounted) + killAfter
}

// Earliest returns how soon after a SIGTERM the kill may come: as told, or as Kill says if that is sooner. A deadline of 0
// is not known, and counted as long.
func Earliest(told time.Duration, deadlines []time.Duration) time.Duration {
	if len(deadlines) == 0 || slices.Contains(deadlines, 0) {
		return min(told, longestCounted+killAfter)
	}
	return min(told, Kill(deadlines))
}
