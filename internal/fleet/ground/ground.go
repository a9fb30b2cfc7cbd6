// Package ground is what the further matters of a fleet stand on, on one box: whether this box holds its lease, and
// the view (who lives, which box is home of what) under which it acts. It carries out packages lease and place as
// modules of the fleet's driver, and tells the rest of the program: Holds and View are safe from any goroutine.
package ground

import (
	"log/slog"
	"sync/atomic"
	"time"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/place"
)

// The names of the parts. A later format gets another number.
const (
	leaseName = "lease.1"
	placeName = "place.1"
)

// Options are what the ground has to know of its box.
type Options struct {
	Pool string // address of the box's worker pool, for who takes over its work; "" = it offers none
	// Whole tells of each slice that all its records are here, so that the first home may go; nil = always so.
	Whole func(slice int) bool
	// Moves bounds the slices that move at a time.
	Moves int
}

// View is what this process acts under.
type View struct {
	place.View
	Prev uint64 // epoch of the view before; its own = that one is not known here: some may be missing between them
	Life uint64 // this process's; 0 = none: it acts as nothing
}

// Ground is one process's. Its zero value is not ready: New makes it.
type Ground struct {
	opt   Options
	log   *slog.Logger
	until atomic.Int64  // when the lease ends, by boottime.Now; 0 = there is none
	life  atomic.Uint64 // whose lease it is; 0 = nobody's
	view  atomic.Pointer[View]
	addrs atomic.Pointer[map[string]string]
	told  func(*View)
}

// New makes the ground of a process; told is given every view in turn, on the driver's loop, and must not block.
func New(opt Options, told func(*View), log *slog.Logger) *Ground {
	return &Ground{opt: opt, log: log, told: told}
}

// Holds tells that this process's lease runs now. What is done by it has to carry the life of View as well.
func (g *Ground) Holds() bool {
	until := g.until.Load()
	return until != 0 && int64(boottime.Now()) < until
}

// Life is the life that a lease is asked for; 0 = none.
func (g *Ground) Life() uint64 { return g.life.Load() }

// Until is when the lease ends, by Now; 0 = there is none.
func (g *Ground) Until() time.Duration { return time.Duration(g.until.Load()) }

// Now is the clock that Until is of.
func (g *Ground) Now() time.Duration { return boottime.Now() }

// View is what this box acts under; nil = it is not let in yet, or nothing is agreed.
func (g *Ground) View() *View { return g.view.Load() }

// Addr is where a member says that it listens for others; "" = it is none. It is safe from any goroutine.
func (g *Ground) Addr(box string) string {
	if m := g.addrs.Load(); m != nil {
		return (*m)[box]
	}
	return ""
}

// Modules are the driver's, new for each opening of it.
func (g *Ground) Modules() []driver.Module {
	l := &leases{Agreed: agree.NewAgreed[lease.State, lease.Entry](leaseName), ground: g}
	p := &places{Agreed: agree.NewAgreed[place.State, place.Entry](placeName), ground: g, leases: l}
	l.places = p
	return []driver.Module{l, p}
}

// publish makes the view anew; broken = it does not follow from the one before by one entry.
func (g *Ground) publish(l *leases, p *places, broken bool) {
	if l.host == nil || !l.Began() || !p.Began() {
		return
	}
	v := &View{View: *place.NewView(&l.State, &p.State), Life: l.holder.Life()}
	v.Prev = v.Epoch
	if was := g.view.Load(); was != nil {
		if was.Epoch == v.Epoch && was.Life == v.Life {
			return
		}
		if !broken {
			v.Prev = was.Epoch
		}
	}
	g.view.Store(v)
	g.told(v)
}
