// Package handoff decides a graceful restart over SO_REUSEPORT, without I/O: whether a SIGTERM hands the
// address to a newer process of the same server, and by when the older one has to be gone.
//
// Each process that listens writes its process id to the start file in $TMPDIR, which both share; the newest
// start wins the file. A SIGTERM that finds another living process named there is a handoff.
package handoff

import (
	"bytes"
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

// Successor gives the process that a SIGTERM to self hands off to, from the start file's contents; alive tells
// whether a process id lives. 0 = none: the SIGTERM is the notice to leave. A file that cannot be read names
// none.
func Successor(self int, file []byte, alive func(pid int) bool) int {
	pid, err := strconv.Atoi(string(bytes.TrimSpace(file)))
	if err != nil || pid <= 0 || pid == self || !alive(pid) {
		return 0
	}
	return pid
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
