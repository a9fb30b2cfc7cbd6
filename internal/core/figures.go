package core

import (
	"sync/atomic"
	"time"
)

// publishEach bounds the age of published figures: a change is shown within this time.
const publishEach = 100 * time.Millisecond

// Figures are the counts of one process since its start, by class in the order of Site.Classes. The loop
// publishes a copy; readers get it by Core.Figures and never touch the loop's own.
type Figures struct {
	OK     []uint64 // served
	Shed   []uint64 // refused, never ran
	Errors []uint64 // failed, timed out, conflicts, invalid
	Tries  []uint64 // runs handed to the worker pool
	Active int      // requests taken and not yet ended
	// Calls below now: in hand, and runs that wait to make one. Lost counts those that nobody answered in time.
	Calls, Waiting int
	Lost           uint64
	Use            float64   // share of the worker pool's cores in use, as it last said; negative = unknown
	WarmAt         time.Time // the worker pool is warm from then on; zero = it is not up
	KeyedUntil     time.Time // until then a repeat may ask for a result that this process has
	Configured     uint64    // revision of the configuration documents in force; 0 = there are none yet
	Serves         bool      // the worker pool is up and no notice to leave has come
}

// figures is the loop's side: its counts, and the copy that others read.
type figures struct {
	counts  Figures
	shown   atomic.Pointer[Figures]
	publish deadline
}

func (f *figures) init(classes int) {
	f.counts = Figures{OK: make([]uint64, classes), Shed: make([]uint64, classes),
		Errors: make([]uint64, classes), Tries: make([]uint64, classes)}
	f.show(0)
}

func (f *figures) show(active int) {
	n := f.counts
	n.Active = active
	n.OK, n.Shed = append([]uint64(nil), n.OK...), append([]uint64(nil), n.Shed...)
	n.Errors, n.Tries = append([]uint64(nil), n.Errors...), append([]uint64(nil), n.Tries...)
	f.shown.Store(&n)
}

// Figures gives the last published copy; it is at most publishEach old where anything changed. Safe from any
// goroutine.
func (c *Core) Figures() *Figures { return c.figs.shown.Load() }

// counted notes a final answer of class k.
func (c *Core) counted(k int, kind Kind) {
	if k < 0 || k >= len(c.figs.counts.OK) {
		return
	}
	switch kind {
	case Served:
		c.figs.counts.OK[k]++
	case Refused:
		c.figs.counts.Shed[k]++
	default:
		c.figs.counts.Errors[k]++
	}
	c.changed()
}

// configured notes that the configuration as of a revision is in force.
func (c *Core) configured(revision uint64) {
	c.figs.counts.Configured = revision
	c.changed()
}

// changed has the figures published within publishEach.
func (c *Core) changed() {
	if c.figs.publish.pos == 0 {
		c.late.set(&c.figs.publish, c.now+publishEach)
	}
}

func (c *Core) published() {
	c.figs.counts.Serves = c.ctl != nil && !c.leaving && !c.over
	if c.ctl != nil {
		c.figs.counts.WarmAt = c.start.Add(c.warmAt)
	}
	if c.keyedUntil > 0 {
		c.figs.counts.KeyedUntil = c.start.Add(c.keyedUntil)
	}
	c.figs.counts.Calls, c.figs.counts.Waiting = 0, 0
	for _, r := range c.byID {
		switch r.state {
		case calling:
			c.figs.counts.Calls++
		case blocked:
			c.figs.counts.Waiting++
		}
	}
	c.figs.show(len(c.byHandle))
}
