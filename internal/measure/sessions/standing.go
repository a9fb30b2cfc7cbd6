package sessions

import (
	"errors"
	"fmt"
	"time"
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

// standing is how the servers of a worker stand. Leases count as renewed that were granted for renewals after a time.
func standing(w *hollowWorker, since time.Time) (out Standing, err error) {
	err = w.Call(methodStanding, since, &out)
	return out, err
}

// Standing sums up how all servers of the fleet stand.
func (f *Fleet) Standing(since time.Time) (out Standing, err error) {
	list, err := each(f.workers, func(w *hollowWorker) (Standing, error) { return standing(w, since) })
	for _, s := range list {
		out = out.Join(s)
	}
	for _, s := range f.real {
		stats := map[string]uint64{}
		for name, value := range s.stats() {
			stats[name] = uint64(value)
		}
		out = out.Join(standingOf(stats, since))
	}
	return out, err
}

// ServedSince returns a function that tells that all servers have a session, and hold a lease that was granted for a renewal
// after a time.
func (f *Fleet) ServedSince(since time.Time) func() (bool, string) {
	return func() (bool, string) {
		s, err := f.Standing(since)
		if err != nil {
			return false, err.Error()
		}
		all := f.options.Servers
		waits := fmt.Sprintf("of %d servers %d have a session, %d a lease, %d one that was renewed since", all, s.Open, s.Leased, s.Renewed)
		return s.Open == all && s.Renewed == all, waits
	}
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
	return f.ServedSince(time.Time{})()
}
