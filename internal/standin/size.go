package standin

import (
	"fmt"
	"time"
)

// defaultSockets is the descriptor limit of a server whose maker says nothing else.
const defaultSockets = 1024

// The times of a drain in the settings of a server whose maker says nothing else.
const (
	defaultStop  = 1200 * time.Millisecond
	defaultGrace = 500 * time.Millisecond
)

// keyedEach is the period of keyed classes: one class of so many is keyed.
const keyedEach = 3

// Size is what a server's settings are generated for: names and limits.
type Size struct {
	Tenants  []string
	Classes  []string      // the second of each three is keyed
	Sockets  int           // the platform's limit of descriptors
	MemoryMB int           // the platform's limit of memory
	GiveUp   time.Duration // after which a request is given up; 0 = giveUp
	Stop     time.Duration // from SIGTERM to the kill, as the settings have it; 0 = defaultStop
	Grace    time.Duration // after SIGTERM in which new requests may be run; 0 = defaultGrace
}

// Names returns count distinct names that begin with prefix.
func Names(prefix string, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%05d", prefix, i)
	}
	return names
}

// Keyed reports whether the class at an index of a server's classes is keyed.
func Keyed(class int) bool { return class%keyedEach == 1 }

// NewBoxOfSize is NewBox with generated settings of the given size.
func NewBoxOfSize(program, home, name string, site *Site, operator string, size Size) (*Box, error) {
	return newBoxOfSize(program, home, name, site, operator, Window, size)
}
