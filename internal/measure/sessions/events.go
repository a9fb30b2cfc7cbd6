package sessions

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"larchscale/internal/standin/faultnet"
)

// electWithin is how long a new leader may take for the measurement to go on.
const electWithin = 30 * time.Second

// Whole waits until the fleet is settled, all servers were granted leases for renewals after a time, and all have the same
// documents.
func (f *Fleet) Whole(ctx context.Context, since time.Time) error {
	return f.Await(ctx, buildWithin, func() (bool, string) {
		for _, is := range []func() (bool, string){f.Settled, f.ServedSince(since), f.Agreed} {
			if so, waits := is(); !so {
				return false, waits
			}
		}
		return true, ""
	})
}

// AwaitServed waits until all servers were granted leases for renewals after a time, and returns how long after it.
func (f *Fleet) AwaitServed(ctx context.Context, since time.Time) (time.Duration, error) {
	err := f.Await(ctx, buildWithin, f.ServedSince(since))
	return time.Since(since), err
}

// AwaitLeader waits for a leader other than one, and returns how long after a time there was one.
func (f *Fleet) AwaitLeader(ctx context.Context, other *Node, since time.Time) (time.Duration, error) {
	err := f.Await(ctx, electWithin, func() (bool, string) {
		leader, err := f.Leader()
		return err == nil && leader != other, "no new leader"
	})
	return time.Since(since), err
}

// Busiest returns the node with the most sessions that does not lead.
func (f *Fleet) Busiest() (*Node, error) {
	leader, err := f.Leader()
	if err != nil {
		return nil, err
	}
	followers := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *Node) bool { return n == leader })
	if len(followers) == 0 {
		return nil, errors.New("there is no follower")
	}
	return slices.MaxFunc(followers, func(a, b *Node) int {
		return int(a.Stats()["fleet.sessions"] - b.Stats()["fleet.sessions"])
	}), nil
}

// InZone tells whether a server is of a zone, by its name.
func (f *Fleet) InZone(zone int) func(server string) bool {
	names := map[string]bool{}
	for i := range f.options.Servers {
		if f.options.zoneOf(i) == zone {
			names[serverName(i)] = true
		}
	}
	return func(server string) bool { return names[server] }
}

// InRegion tells whether a server is of a region, by its name.
func (f *Fleet) InRegion(region int) func(server string) bool {
	names := map[string]bool{}
	for i := range f.options.Servers {
		if f.options.regionOf(f.options.zoneOf(i)) == region {
			names[serverName(i)] = true
		}
	}
	return func(server string) bool { return names[server] }
}

// FreezeZone stops all app servers of a zone where they are, until thaw is called.
func (f *Fleet) FreezeZone(zone int) (thaw func() error, err error) {
	both := func(worker func(*hollowWorker) error, server func(*appServer)) error {
		var errs []error
		for _, w := range f.workers {
			if w.zone == zone {
				errs = append(errs, worker(w))
			}
		}
		for _, s := range f.real {
			if s.zone == zone {
				server(s)
			}
		}
		return errors.Join(errs...)
	}
	thaw = func() error {
		return both(func(w *hollowWorker) error { return w.Thaw() }, func(s *appServer) { s.Thaw() })
	}
	err = both(func(w *hollowWorker) error { return w.Freeze() }, func(s *appServer) { s.Freeze() })
	return thaw, err
}

// CutRegions lets nothing pass between regions until Heal.
func (f *Fleet) CutRegions() {
	f.relays.Set(faultnet.Fault{Drop: true, Deaf: true}, func(_, _ string) bool { return true })
}

// Heal mends the ways between regions.
func (f *Fleet) Heal() { f.relays.Heal() }

// StandingOf sums up how the hollow servers of a region stand.
func (f *Fleet) StandingOf(region int) (out Standing, err error) {
	for _, w := range f.workers {
		if f.options.regionOf(w.zone) != region {
			continue
		}
		s, err := standing(w, time.Time{})
		if err != nil {
			return out, err
		}
		out = out.Join(s)
	}
	return out, nil
}

// KillAll ends all control nodes at once.
func (f *Fleet) KillAll() {
	_ = forEach(f.Nodes, func(n *Node) error { n.Kill(); return nil })
}

// StartAll starts them again.
func (f *Fleet) StartAll(ctx context.Context) error {
	return forEach(f.Nodes, func(n *Node) error { return n.Start(ctx) })
}

// Workers is the number of processes of hollow servers.
func (f *Fleet) Workers() int { return len(f.workers) }

// Restart ends a worker and starts its servers in a new process.
func (f *Fleet) Restart(ctx context.Context, index int) error {
	w := f.workers[index]
	w.Stop()
	if err := f.launch(ctx, w); err != nil {
		return err
	}
	return run(w)
}

// serveWithin bounds a request to an app server.
const serveWithin = 10 * time.Second

// Serve has each real app server of a region answer a request.
func (f *Fleet) Serve(region int) error {
	for _, s := range f.real {
		if f.options.regionOf(s.zone) != region {
			continue
		}
		f.handles++ // a worker pool runs each handle once
		if err := s.serve(f.handles); err != nil {
			return fmt.Errorf("app server %s: %w", s.Name, err)
		}
	}
	return nil
}
