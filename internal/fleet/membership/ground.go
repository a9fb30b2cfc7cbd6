// Package membership provides what the other parts of a fleet rely on, on one server: whether this server holds its lease,
// and the view (which servers are registered, which hold which replicas) under which it acts. It runs packages lease
// and placement as modules of the fleet's driver. Holds and View are safe for use from any goroutine.
package membership

import (
	"log/slog"
	"sync/atomic"
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/placement"
)

// The names of the state machines in the log. A later format gets another number.
const (
	leaseName = "lease.1"
	placeName = "place.1"
)

// Options configure a State.
type Options struct {
	Pool string // address of the server's worker pool, for the server that takes over its work; "" = none
	// InSync reports for each shard whether this server has all its records, so that the other replica may be moved;
	// nil = always so.
	InSync func(slice int) bool
	// MaxMoves is the maximum number of shards that move at a time.
	MaxMoves int
}

// View is what this process acts under.
type View struct {
	placement.View
	Prev  uint64 // epoch of the previous view; equal to Epoch = unknown: views may have been missed
	Token uint64 // fencing token of this process; 0 = none: it must not act
}

// State is the membership state of one process. It must be created by New.
type State struct {
	opt       Options
	log       *slog.Logger
	leaseEnd  atomic.Int64  // end of the lease, by boottime.Now; 0 = none
	token     atomic.Uint64 // fencing token that the lease belongs to; 0 = none
	view      atomic.Pointer[View]
	addresses atomic.Pointer[map[string]string]
	notify    func(*View)
}

// New returns the membership state of a process. notify is called with every view in order, on the driver's loop, and
// must not block.
func New(opt Options, notify func(*View), log *slog.Logger) *State {
	return &State{opt: opt, log: log, notify: notify}
}

// Holds reports whether this process's lease runs now. Work that relies on it must carry the token of View as well.
func (g *State) Holds() bool {
	until := g.leaseEnd.Load()
	return until != 0 && int64(boottime.Now()) < until
}

// Token returns the fencing token for which a lease is requested; 0 = none.
func (g *State) Token() uint64 { return g.token.Load() }

// LeaseEnd returns when the lease ends, by the clock of Now; 0 = there is none.
func (g *State) LeaseEnd() time.Duration { return time.Duration(g.leaseEnd.Load()) }

// Lease returns the fencing token for which a lease is requested and the end of its lease; 0 = there is none.
func (g *State) Lease() (token uint64, end time.Duration) {
	for {
		token, end = g.Token(), g.LeaseEnd()
		if g.Token() == token {
			return token, end
		}
	}
}

// Now returns the time of the clock that Until uses.
func (g *State) Now() time.Duration { return boottime.Now() }

// View returns what this server acts under; nil = it has not been admitted yet, or no state has been agreed.
func (g *State) View() *View { return g.view.Load() }

// Addr returns the address at which a member listens for other members; "" = unknown member. It is safe for use from
// any goroutine.
func (g *State) Addr(server string) string {
	if addresses := g.addresses.Load(); addresses != nil {
		return (*addresses)[server]
	}
	return ""
}

// Modules returns new modules for the driver, for each time it is opened.
func (g *State) Modules() []driver.Module {
	leases := &leaseModule{TypedStateMachine: consensus.NewTypedStateMachine[lease.State, lease.Entry](leaseName), state: g}
	places := &placementModule{TypedStateMachine: consensus.NewTypedStateMachine[placement.State, placement.Entry](placeName), state: g, leases: leases}
	leases.placement = places
	return []driver.Module{leases, places}
}

// publish derives a new view. gap means that it does not follow from the previous one by a single entry.
func (g *State) publish(leases *leaseModule, places *placementModule, gap bool) {
	if leases.host == nil || !leases.Initialized() || !places.Initialized() {
		return
	}
	view := &View{View: *placement.NewView(&leases.State, &places.State), Token: leases.holder.Token()}
	view.Prev = view.Epoch
	if previous := g.view.Load(); previous != nil {
		if previous.Epoch == view.Epoch && previous.Token == view.Token {
			return
		}
		if !gap {
			view.Prev = previous.Epoch
		}
	}
	g.view.Store(view)
	g.notify(view)
}
