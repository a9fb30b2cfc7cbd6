package sessions

import (
	"errors"
	"fmt"

	"larchscale/internal/fleet/limits"
	"larchscale/internal/measure/worker"
)

// What a measurement may take of the machine.
const (
	MaxPerWorker   = 150
	leastPerWorker = 100
	maxProcesses   = 200
	maxMemory      = 12 << 30 // bytes, of all processes
	maxZones       = 16

	memoryPerWorker = 64 << 20 // bytes, estimated
	memoryPerHollow = 1 << 20
	memoryPerNode   = 192 << 20
	memoryPerServer = 48 << 20 // of a real app server
)

// ErrLimit is a fleet that cannot be, or would take too much of the machine.
var ErrLimit = errors.New("past the limits of a measurement")

// Options say what a fleet is made of.
type Options struct {
	Worker  worker.Command // that runs hollow servers
	Server  string         // the program of app servers
	Control string         // the program of control nodes
	Home    string         // directory for files, logs and certificates
	Servers int            // members of the fleet, real ones included
	Real    int            // of them, processes of the real program
	Bare    int            // real app servers beside the fleet, which have no session
	Nodes   int            // control nodes
	Zones   int
	Regions int
	ByZone  bool // no worker has servers of two zones
	Relays  bool // what passes between regions can be cut
	Idle    bool // hollow servers report no requests
	Seed    uint64
}

// hollow is how many servers are hollow.
func (o *Options) hollow() int { return o.Servers - o.Real }

// workers is how many hollow servers each worker has.
func (o *Options) workers() (sizes []int) {
	if !o.ByZone {
		return divide(o.hollow(), o.hollow()/leastPerWorker)
	}
	for zone := range o.Zones {
		ofZone := 0
		for i := o.Real; i < o.Servers; i++ {
			if o.zoneOf(i) == zone {
				ofZone++
			}
		}
		sizes = append(sizes, divide(ofZone, (ofZone+MaxPerWorker-1)/MaxPerWorker)...)
	}
	return sizes
}

// divide shares out so many servers among workers as evenly as can be; there is one worker at least.
func divide(servers, workers int) (sizes []int) {
	workers = max(1, workers)
	for ; workers > 0; workers-- {
		size := (servers + workers - 1) / workers
		sizes = append(sizes, size)
		servers -= size
	}
	return sizes
}

// zoneOf returns the zone of a server or node by its index.
func (o *Options) zoneOf(index int) int { return index % o.Zones }

// regionOf returns the region of a zone: the first ones have more zones.
func (o *Options) regionOf(zone int) int { return zone * o.Regions / o.Zones }

// Check finds what cannot be, or would take too much.
func (o *Options) Check() error {
	switch {
	case o.Nodes%2 == 0 || o.Nodes < 1 || o.Nodes > limits.MaxControlNodes:
		return fmt.Errorf("%d control nodes: 1, 3, 5 or %d can be: %w", o.Nodes, limits.MaxControlNodes, ErrLimit)
	case o.Zones < 1 || o.Zones > maxZones || o.Regions < 1 || o.Regions > o.Zones:
		return fmt.Errorf("%d zones in %d regions: 1 to %d zones, and a region for each at most: %w", o.Zones, o.Regions, maxZones, ErrLimit)
	case o.Real < 0 || o.Bare < 0 || o.Servers < o.Real+o.Zones:
		return fmt.Errorf("%d servers with %d real ones and %d zones: a hollow one in each zone is the least: %w", o.Servers, o.Real, o.Zones, ErrLimit)
	case o.Servers > limits.MaxServers-o.Nodes:
		return fmt.Errorf("%d servers and %d control nodes, %d at most together: %w", o.Servers, o.Nodes, limits.MaxServers, ErrLimit)
	}
	workers := len(o.workers())
	processes := o.Nodes + o.Real + o.Bare + workers
	memory := o.Nodes*memoryPerNode + (o.Real+o.Bare)*memoryPerServer + workers*memoryPerWorker + o.hollow()*memoryPerHollow
	switch {
	case processes > maxProcesses:
		return fmt.Errorf("%d processes, %d at most: %w", processes, maxProcesses, ErrLimit)
	case memory > maxMemory:
		return fmt.Errorf("about %d MB of memory, %d at most: %w", memory>>20, maxMemory>>20, ErrLimit)
	}
	return nil
}
