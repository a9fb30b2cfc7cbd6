package hollow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"larchscale/internal/measure/traffic"
	"larchscale/internal/measure/worker"
)

// Role is what the processes of a fleet are told apart by.
type Role string

// The roles.
const (
	Leader   Role = "leader"
	Follower Role = "follower" // a voter that does not lead
	Learner  Role = "server"   // the observed one, alone in its process
	Shared   Role = "shared"   // learners that share processes, each
)

// Rates are what one server of a role takes, each second.
type Rates struct {
	MessagesIn  float64 // requests that it answered
	MessagesOut float64 // requests that it sent
	BytesIn     float64 // at the socket, TLS and HTTP included
	BytesOut    float64
	CPU         float64            // seconds
	DiskBytes   float64            // to block devices
	In          map[string]float64 // requests that it answered, by path
	Seconds     float64            // over which they were read
}

// Size is what a process of a role holds.
type Size struct {
	Servers     int
	Resident    uint64 // bytes
	Heap        uint64 // bytes, after a collection
	Descriptors int
	Goroutines  int
}

// Windows that do not count.
var (
	ErrLeader = errors.New("the leader changed")
	ErrBusy   = errors.New("the fleet agreed on something")
)

// reading is that of one process.
type reading struct {
	usage   worker.Usage
	traffic traffic.Totals
}

func read(m *member) (r reading, err error) {
	if r.usage, err = m.Usage(); err != nil {
		return r, err
	}
	r.traffic, err = call[traffic.Totals](methodTraffic)(m)
	return r, err
}

// Window is the rates by role over a time in which do runs. One in which the leader changed is an error.
func (f *Fleet) Window(do func() error) (map[Role]Rates, error) {
	leader, err := f.leader()
	if err != nil {
		return nil, err
	}
	members := f.all()
	before, err := each(members, read)
	if err != nil {
		return nil, err
	}
	if err := do(); err != nil {
		return nil, err
	}
	after, err := each(members, read)
	if err != nil {
		return nil, err
	}
	if now, err := f.leader(); err != nil || now != leader {
		return nil, errors.Join(err, fmt.Errorf("%w in a window", ErrLeader))
	}
	return f.byRole(leader, before, after), nil
}

// Idle is a window in which nothing is asked of the fleet. One in which the fleet agreed on something is an error: with
// leases, the first placement comes some seconds after all are admitted.
func (f *Fleet) Idle(ctx context.Context, length time.Duration) (map[Role]Rates, error) {
	before, err := f.state()
	if err != nil {
		return nil, err
	}
	rates, err := f.Window(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(length):
			return nil
		}
	})
	if err != nil {
		return nil, err
	}
	if after, err := f.state(); err != nil || after != before {
		return nil, errors.Join(err, fmt.Errorf("%w in a window", ErrBusy))
	}
	return rates, nil
}

// state is what the first voter holds.
func (f *Fleet) state() (Digest, error) {
	d, err := call[Digests](methodDigests)(f.voters[0])
	if err != nil {
		return Digest{}, err
	}
	return d.Digests[0], nil
}

// Commit is a window in which the leader has entries committed at a rate. It ends once all servers have applied them.
func (f *Fleet) Commit(ctx context.Context, commits Commits) (map[Role]Rates, error) {
	leader, err := f.leader()
	if err != nil {
		return nil, err
	}
	return f.Window(func() error {
		if err := leader.Call(methodCommit, commits, nil); err != nil {
			return err
		}
		_, err := f.await(ctx, f.all(), func(s Standing) bool { return s.Index.Least == s.Index.Most })
		return err
	})
}

// leader gives the voter that leads.
func (f *Fleet) leader() (*member, error) {
	s, err := standing(f.voters)
	if err != nil {
		return nil, err
	}
	for _, m := range f.voters {
		if m.configs[0].Name == s.Leader {
			return m, nil
		}
	}
	return nil, fmt.Errorf("no voter leads: %w", ErrLeader)
}

func (f *Fleet) role(m, leader *member) Role {
	switch {
	case m == leader:
		return Leader
	case m == f.observed:
		return Learner
	case len(m.configs) == 1 && m.configs[0].Name <= f.voters[len(f.voters)-1].configs[0].Name:
		return Follower
	}
	return Shared
}

// byRole gives the mean over the servers of each role.
func (f *Fleet) byRole(leader *member, before, after []reading) map[Role]Rates {
	out, servers := map[Role]Rates{}, map[Role]int{}
	for i, m := range f.all() {
		role := f.role(m, leader)
		servers[role] += len(m.configs)
		out[role] = out[role].plus(rates(before[i], after[i]))
	}
	for role, sum := range out {
		mean := sum.times(1 / float64(servers[role]))
		mean.Seconds = after[0].usage.At.Sub(before[0].usage.At).Seconds()
		out[role] = mean
	}
	return out
}

func rates(before, after reading) Rates {
	seconds := after.usage.At.Sub(before.usage.At).Seconds()
	delta := after.traffic.Since(before.traffic)
	in, out := delta.Requests()
	r := Rates{MessagesIn: float64(in), MessagesOut: float64(out), BytesIn: float64(delta.BytesIn), BytesOut: float64(delta.BytesOut),
		CPU: (after.usage.CPU - before.usage.CPU).Seconds(), DiskBytes: float64(after.usage.DiskBytes - before.usage.DiskBytes), In: map[string]float64{}}
	for path, n := range delta.RequestsIn {
		r.In[path] = float64(n)
	}
	return r.times(1 / seconds)
}

func (r Rates) plus(other Rates) Rates { return r.combine(other, 1) }

// Minus gives the difference to other rates.
func (r Rates) Minus(other Rates) Rates { return r.combine(other, -1) }

func (r Rates) times(factor float64) Rates { return Rates{}.combine(r, factor) }

// combine adds other rates times a factor.
func (r Rates) combine(other Rates, factor float64) Rates {
	out := Rates{MessagesIn: r.MessagesIn + factor*other.MessagesIn, MessagesOut: r.MessagesOut + factor*other.MessagesOut,
		BytesIn: r.BytesIn + factor*other.BytesIn, BytesOut: r.BytesOut + factor*other.BytesOut, CPU: r.CPU + factor*other.CPU,
		DiskBytes: r.DiskBytes + factor*other.DiskBytes, In: map[string]float64{}}
	for path, n := range r.In {
		out.In[path] += n
	}
	for path, n := range other.In {
		out.In[path] += factor * n
	}
	return out
}

// Sizes are those of one process of each role.
func (f *Fleet) Sizes() (map[Role]Size, error) {
	leader, err := f.leader()
	if err != nil {
		return nil, err
	}
	out := map[Role]Size{}
	for _, m := range f.all() {
		u, err := m.Usage()
		if err != nil {
			return nil, err
		}
		heap, err := m.Heap()
		if err != nil {
			return nil, err
		}
		out[f.role(m, leader)] = Size{len(m.configs), u.Resident, heap, u.Descriptors, u.Goroutines}
	}
	return out, nil
}
