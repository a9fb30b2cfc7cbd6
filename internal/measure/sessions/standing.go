package sessions

import (
	"errors"
	"fmt"
)

// ErrLeader is a fleet that has no leader, or one that changed while it was read.
var ErrLeader = errors.New("no leader")

// Leader returns the node that leads as it says itself.
func (f *Fleet) Leader() (*Node, error) {
	for _, n := range f.Nodes {
		if n.Leads() {
			return n, nil
		}
	}
	return nil, ErrLeader
}

// Standing sums up how all servers of the fleet stand.
func (f *Fleet) Standing() (out Standing, err error) {
	list, err := each(f.workers, call[Standing](methodStanding))
	for _, s := range list {
		out = out.Join(s)
	}
	for _, s := range f.real {
		stats := map[string]uint64{}
		for name, value := range s.stats() {
			stats[name] = uint64(value)
		}
		out = out.Join(standingOf(stats))
	}
	return out, err
}

// Served tells that all servers have a session and hold a lease.
func (f *Fleet) Served() (bool, string) {
	standing, err := f.Standing()
	if err != nil {
		return false, err.Error()
	}
	all := f.options.Servers
	waits := fmt.Sprintf("of %d servers %d have a session, %d a lease", all, standing.Open, standing.Leased)
	return standing.Open == all && standing.Leased == all, waits
}

// Settled tells that besides all control nodes vote, and that the leader knows all servers.
func (f *Fleet) Settled() (bool, string) {
	leader, err := f.Leader()
	if err != nil {
		return false, err.Error()
	}
	stats := leader.Stats()
	all := float64(f.options.Servers)
	if stats["fleet.voters"] != float64(len(f.Nodes)) || stats["fleet.silent"] != 0 || stats["fleet.servers"] != all || stats["fleet.lives"] != all {
		return false, fmt.Sprintf("%s leads: %g of %d vote, %g silent, %g servers known and %g leases of %g",
			leader.Name, stats["fleet.voters"], len(f.Nodes), stats["fleet.silent"], stats["fleet.servers"], stats["fleet.lives"], all)
	}
	return f.Served()
}
