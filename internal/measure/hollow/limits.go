package hollow

import (
	"errors"
	"fmt"
)

// What a measurement may take of the machine.
const (
	MaxPerProcess = 100
	maxProcesses  = 200
	maxMemory     = 12 << 30 // bytes, of all processes

	memoryPerProcess = 64 << 20 // bytes, estimated
	memoryPerServer  = 8 << 20
)

// ErrLimit is a fleet that would take too much of the machine.
var ErrLimit = errors.New("past the limits of a measurement")

// Options say what a fleet is made of.
type Options struct {
	Program     string   // that runs a worker
	Arguments   []string // with which it does
	Environment []string // "name=value", beside the parent's
	Home        string   // directory for logs and certificates
	Servers     int
	Voters      int
	Leases      bool
	Seed        uint64 // of the order in which the servers start
}

// processes is how many the fleet takes: each voter and one observed learner have their own.
func (o *Options) processes() int {
	shared := max(0, o.Servers-o.Voters-1)
	return o.Voters + 1 + (shared+MaxPerProcess-1)/MaxPerProcess
}

// Check finds what cannot be, or would take too much.
func (o *Options) Check() error {
	switch memory := o.processes()*memoryPerProcess + o.Servers*memoryPerServer; {
	case o.Servers < o.Voters+1:
		return fmt.Errorf("%d servers: %d voters and a learner are the least: %w", o.Servers, o.Voters, ErrLimit)
	case o.processes() > maxProcesses:
		return fmt.Errorf("%d processes, %d at most: %w", o.processes(), maxProcesses, ErrLimit)
	case memory > maxMemory:
		return fmt.Errorf("about %d MB of memory, %d at most: %w", memory>>20, maxMemory>>20, ErrLimit)
	}
	return nil
}
