// Package ground provides what the other parts of a fleet rely on, on one server: whether this server holds its lease,
// and the view (which servers are registered, which hold which replicas) under which it acts. It runs packages lease
// and placement as modules of the fleet's driver. Holds and View are safe for use from any goroutine.
package ground

import (
	"log/slog"
	"sync/atomic"
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/place"
)

// The names of the state machines in the log. A later format gets another number.
const (
	leaseName = "lease.1"
	placeName = "place.1"
)

// Options configure a State.
type Options struct {
	Pool string // address of the server's worker pool, for the server that takes over its work; "" = none
	// Whole reports for each shard whether this server has all its records, so that the other replica may be moved;
	// nil = always so.
	Whole func(slice int) bool
	// Moves is the maximum number of shards that move at a time.
	Moves int
}

// View is what this process acts under.
type View struct {
	place.View
	Prev uint64 // epoch of the previous view; equal to Epoch = unknown: views may have been missed
	Life uint64 // fencing token of this process; 0 = none: it must not act
}

// Ground is the membership state of one process. It must be created by New.
type Ground struct {
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
func New(opt Options, notify func(*View), log *slog.Logger) *Ground {
	return &Ground{opt: opt, log: log, notify: notify}
}

// Holds reports whether this process's lease runs now. Work that relies on it must carry the token of View as well.
func (g *Ground) Holds() bool {
	until := g.leaseEnd.Load()
	return until != 0 && int64(boottime.Now()) < until
}

// Life returns the fencing token for which a lease is requested; 0 = none.
func (g *Ground) Life() uint64 { return g.token.Load() }

// Until returns when the lease ends, by the clock of Now; 0 = there is none.
func (g *Ground) Until() time.Duration { return time.Duration(g.leaseEnd.Load()) }

// Now returns the time of the clock that Until uses.
func (g *Ground) Now() time.Duration { return boottime.Now() }

// View returns what this server acts under; nil = it has not been admitted yet, or no state has been agreed.
func (g *Ground) View() *View { return g.view.Load() }

// Addr returns the address at which a member listens for other members; "" = unknown member. It is safe for use from
// any goroutine.
func (g *Ground) Addr(server string) string {
	if addresses := g.addresses.Load(); addresses != nil {
		return (*addresses)[server]
	}
	return ""
}

// Modules returns new modules for the driver, for each time it is opened.
func (g *Ground) Modules() []driver.Module {
	leases := &leaseModule{TypedStateMachine: consensus.NewTypedStateMachine[lease.State, lease.Entry](leaseName), state: g}
	places := &placementModule{TypedStateMachine: consensus.NewTypedStateMachine[place.State, place.Entry](placeName), state: g, leases: leases}
	leases.placement = places
	return []driver.Module{leases, places}
}

// publish derives a new view. gap means that it does not follow from the previous one by a single entry.
func (g *Ground) publish(leases *leaseModule, places *placementModule, gap bool) {
	if leases.host == nil || !leases.Initialized() || !places.Initialized() {
		return
	}
	view := &View{View: *place.NewView(&leases.State, &places.State), Life: leases.holder.Life()}
	view.Prev = view.Epoch
	if previous := g.view.Load(); previous != nil {
		if previous.Epoch == view.Epoch && previous.Life == view.Life {
			return
		}
		if !gap {
			view.Prev = previous.Epoch
		}
	}
	g.view.Store(view)
	g.notify(view)
}
