package core

import (
	"math"
	"time"

	"larchscale/internal/ledger"
)

// The stage "book", second part: what each request used goes to the ledger, once, when it is over.

const writtenEarly = 50 * time.Millisecond // before its due time a result waits no longer for its entry

// use is what a request has used so far.
type use struct {
	end     ledger.End
	ended   bool // end is set
	booked  bool
	replay  bool
	earns   bool // its answer is the first with this result
	calls   int64
	lost    int64 // calls that brought no reply
	out     int64
	took    time.Duration // of its runs, as the worker pool measured them
	since   time.Duration // its run began
	running time.Duration // it ran or was paused
	over    time.Duration // when it was booked
	kept    *kept
}

// kept is a result that waits for its entry.
type kept struct {
	answer Answer
	given  bool
	ticket uint64
	until  time.Duration // it waits no longer
}

// endsAs notes how a request ends, the first time it is said.
func (c *Core) endsAs(r *request, k Kind) {
	if c.books == nil || r.use.ended {
		return
	}
	r.use.ended = true
	switch k {
	case Served:
		r.use.end = ledger.ServedInAim
		if aim := c.site.Control.Classes[r.Class].Aim; aim > 0 && c.now-r.arrived > aim {
			r.use.end = ledger.ServedLate
		}
		r.use.earns = r.entry == nil || !r.entry.earned
		if r.entry != nil {
			r.entry.earned = true
		}
	case Refused:
		r.use.end = ledger.Refused
	case Conflict, Invalid:
		r.use.end = ledger.Rejected
	default:
		r.use.end = ledger.Failed
	}
}

// withdrawn notes that a request's caller has gone.
func (c *Core) withdrawn(r *request) {
	if r.use.ended {
		return
	}
	r.use.ended, r.use.end = true, ledger.WithdrawnUnrun
	if r.ran {
		r.use.end = ledger.WithdrawnRan
	}
}

// runEnded sums up a run. One that is held again after a stop is summed already.
func (r *request) runEnded(now, took time.Duration) {
	if r.state == held {
		return
	}
	r.use.took += took
	r.use.running += now - r.use.since
	r.use.since = now
}

// enterUse books a request that is over. A result that waits for that goes into the line.
func (c *Core) enterUse(r *request) {
	if c.books == nil || r.use.booked {
		return
	}
	r.use.booked, r.use.over = true, c.now
	c.bookedNow = true
	ticket := c.books.Book(c.useOf(r))
	if w := r.use.kept; w != nil {
		w.ticket, w.until = ticket, r.due-writtenEarly
		c.unwritten = append(c.unwritten, r)
		if len(c.unwritten) == 1 || w.until < c.overdueAt.at {
			c.late.set(&c.overdueAt, w.until)
		}
	}
}

func (c *Core) useOf(r *request) Use {
	u := &r.use
	k := &c.site.Control.Classes[r.Class]
	var f ledger.Figures
	f[ledger.Requests] = 1
	if u.earns && u.end == ledger.ServedInAim {
		f[ledger.Worth] = micro(k.Worth)
	} else if u.earns && u.end == ledger.ServedLate {
		f[ledger.Worth] = micro(k.Worth * k.LateWorth)
	}
	span := max(0, u.over-r.arrived)
	busy := min(u.running, span)
	held := max(0, r.Memory) * 1000 // bytes: the figure is told in kilobytes, with a fraction
	f[ledger.Held] = int64(held * (float64((span - busy).Microseconds()) + c.site.Control.RunFactor*float64(busy.Microseconds())) / 1e6)
	f[ledger.Run] = u.took.Microseconds()
	f[ledger.Calls], f[ledger.In], f[ledger.Out] = u.calls, int64(len(r.Body)), u.out
	return Use{Class: r.Class, Tenant: r.Tenant, Began: r.arrived, Ended: u.over, End: u.end, Replay: u.replay, Figures: f}
}

// micro is the one place where a worth becomes an integer.
func micro(worth float64) int64 { return int64(math.Round(worth * 1e6)) }

// booked gives out the results whose entries are written.
func (c *Core) booked(through uint64) {
	n := 0
	for n < len(c.unwritten) && c.unwritten[n].use.kept.ticket <= through {
		r := c.unwritten[n]
		n++
		c.giveOut(r, r.use.kept.answer)
	}
	clear(c.unwritten[:n])
	if c.unwritten = c.unwritten[n:]; len(c.unwritten) == 0 {
		c.unwritten = nil
		c.late.drop(&c.overdueAt)
	}
}

// sweepOverdue ends the waiting of results that are due. One deadline serves for all of them, as nearly none is met.
func (c *Core) sweepOverdue() {
	next := time.Duration(math.MaxInt64)
	for _, r := range c.unwritten {
		if w := r.use.kept; w.until <= c.now {
			c.overdue(r)
		} else if !w.given {
			next = min(next, w.until)
		}
	}
	if next < math.MaxInt64 {
		c.late.set(&c.overdueAt, next)
	}
}

// overdue is a result whose entry is not written when it has to leave. It leaves all the same, or the request
// fails.
func (c *Core) overdue(r *request) {
	if r.use.kept.given {
		return
	}
	if c.books.Overdue() {
		c.giveOut(r, r.use.kept.answer)
		return
	}
	c.takeBack(r, Answer{Kind: TimedOut, Why: "the ledger could not be written"})
}

// takeBack fails a request whose result is kept: its entry, wherever that is by now, is taken back and another booked.
func (c *Core) takeBack(r *request, a Answer) {
	if r.use.kept.given {
		return
	}
	back := c.useOf(r)
	back.Figures, _ = back.Figures.Neg() // sums of one request are far from the bounds
	c.books.Book(back)
	r.use.end, r.use.out = ledger.Failed, 0
	c.books.Book(c.useOf(r))
	c.bookedNow = true
	c.giveOut(r, a)
}

// giveOut sends an answer that has waited, once.
func (c *Core) giveOut(r *request, a Answer) {
	w := r.use.kept
	if w.given {
		return
	}
	if a.Kind == Served && !c.holds(r.entry) {
		c.takeBack(r, Answer{Kind: Failed, Why: elsewhere})
		return
	}
	w.given, w.answer = true, Answer{}
	a.Hint = c.level
	r.reply.Answer(a)
	c.left(r)
}
