package trial

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"larchscale/internal/fleet/limits"
	"larchscale/internal/sequential"
)

const (
	values = 1 + sequential.MaxGuards
	parts  = 1000    // a value is counted in thousandths, so that sums are whole and the same in any order
	most   = 1 << 40 // units of an arm in a block
)

// Bounds of reports.
const (
	MaxLives    = 4096                                      // of a trial, that a leader hears of
	MaxHeard    = limits.MaxMeshServers*MaxBlocks + MaxKept // cells of them
	MaxReport   = 1536                                      // bytes of an encoded report
	reportCells = 4                                         // in a report: the two newest blocks, and older ones in turn
)

// Count is what is counted of one arm in one block. It only grows.
type Count struct {
	_        struct{}      `cbor:",toarray"`
	Assigned int64         // units given to the arm; counted before any of their work is done
	N        int64         // of them those whose values are known
	Sums     [values]int64 // of worth and of the guards, in thousandths
	Squares  [values]int64 // in millionths
}

// Cell is what a life counted in one block.
type Cell struct {
	_     struct{} `cbor:",toarray"`
	Block int
	Arms  [2]Count
}

// Life is what one process of a box counted for a trial, as far as is known.
type Life struct {
	Box         string
	Incarnation uint64
	Block       int    // that it was in when it last reported
	Final       bool   // it ended in order, with nothing open
	Held        int    // cells that it has in all
	Cells       []Cell // by block; each block once
}

// Report is what a box says of one of its lives for a trial: all that changes, and of the rest two cells in turn, so
// that a leader that is new has everything after half as many reports as there are blocks.
type Report struct {
	Trial string
	Life  Life
}

// check finds what of a life cannot be.
func (l *Life) check(s *Spec) error {
	bad := l.Box == "" || len(l.Box) > maxName || l.Incarnation == 0 || l.Block < 0 || l.Block > s.Blocks+1 ||
		l.Held < len(l.Cells) || l.Held > s.Blocks
	for i := range l.Cells {
		c := &l.Cells[i]
		bad = bad || c.Block < 0 || c.Block >= s.Blocks || c.Block > l.Block || i > 0 && l.Cells[i-1].Block >= c.Block
		for a := range c.Arms {
			x := &c.Arms[a]
			bad = bad || x.Assigned < 0 || x.Assigned > most || x.N < 0 || x.N > x.Assigned
			for j := range values {
				bad = bad || x.Sums[j] < 0 || x.Sums[j] > x.N*parts || x.Squares[j] < 0 || x.Squares[j] > x.Sums[j]*parts
			}
		}
	}
	if bad {
		return fmt.Errorf("counts of box %q, process %d, for trial %s: %w", l.Box, l.Incarnation, s.ID, ErrInvalid)
	}
	return nil
}

// merge takes in what is newer, number by number. As all only grow, it does not matter what comes twice, late or in
// another order.
func (l *Life) merge(o *Life) {
	l.Block, l.Final, l.Held = max(l.Block, o.Block), l.Final || o.Final, max(l.Held, o.Held)
	for i := range o.Cells {
		c := &o.Cells[i]
		at, ok := l.find(c.Block)
		if !ok {
			l.Cells = slices.Insert(l.Cells, at, *c)
			continue
		}
		for a := range c.Arms {
			x, y := &l.Cells[at].Arms[a], &c.Arms[a]
			x.Assigned, x.N = max(x.Assigned, y.Assigned), max(x.N, y.N)
			for j := range values {
				x.Sums[j], x.Squares[j] = max(x.Sums[j], y.Sums[j]), max(x.Squares[j], y.Squares[j])
			}
		}
	}
}

func (l *Life) equal(o *Life) bool {
	return l.Block == o.Block && l.Final == o.Final && l.Held == o.Held && slices.Equal(l.Cells, o.Cells)
}

func (l *Life) find(block int) (int, bool) {
	return slices.BinarySearchFunc(l.Cells, block, func(c Cell, b int) int { return cmp.Compare(c.Block, b) })
}

// Counter is a box's own count for one trial in one process.
type Counter struct {
	spec Spec
	life Life
	turn int // of the older cells in reports
}

// NewCounter begins to count for a trial. Its first Report is to be sent before its first unit: a process that was never
// heard of cannot be missed.
func NewCounter(t *Trial, box string, incarnation uint64) *Counter {
	return &Counter{spec: t.Spec, life: Life{Box: box, Incarnation: incarnation}}
}

// Assigned counts a unit for its arm in a block, before any of its work is done: what happens then cannot take it back.
// The block is the agreed one at that moment, and is to be given again with the unit's values. A block that a trial
// has not got is an ErrInvalid.
func (c *Counter) Assigned(block, arm int) error {
	if block < 0 || block >= c.spec.Blocks || arm < 0 || arm > 1 {
		return fmt.Errorf("a unit of arm %d in block %d of trial %s: %w", arm, block, c.spec.ID, ErrInvalid)
	}
	at, ok := c.life.find(block)
	if !ok {
		c.life.Cells = slices.Insert(c.life.Cells, at, Cell{Block: block})
		c.life.Held = len(c.life.Cells)
	}
	c.life.Cells[at].Arms[arm].Assigned++
	c.life.Block = max(c.life.Block, block)
	return nil
}

// Value counts what became of a unit: its worth served in time over the worth that was asked for, then the guards as
// the plan has them, each in [0,1] and taken to be 0 if it is no number. Values for a unit that was not assigned are an
// ErrInvalid.
func (c *Counter) Value(block, arm int, worth float64, guards ...float64) error {
	at, ok := c.life.find(block)
	if !ok || arm < 0 || arm > 1 || c.life.Cells[at].Arms[arm].N == c.life.Cells[at].Arms[arm].Assigned || len(guards) != len(c.spec.Plan.Guards) {
		return fmt.Errorf("%d values of a unit of arm %d in block %d of trial %s: %w", 1+len(guards), arm, block, c.spec.ID, ErrInvalid)
	}
	x := &c.life.Cells[at].Arms[arm]
	x.N++
	add := func(j int, v float64) {
		if v > 0 { // not so for NaN
			n := int64(math.Round(min(v, 1) * parts))
			x.Sums[j] += n
			x.Squares[j] += n * n
		}
	}
	add(0, worth)
	for j, v := range guards {
		add(1+j, v)
	}
	return nil
}

// Life gives all that is counted, for a file that outlives the process: what its next process hands on by Pages.
func (c *Counter) Life() Life {
	l := c.life
	l.Cells = slices.Clone(l.Cells)
	return l
}

// Pages are the reports of a whole life: what a box's new process sends of the one before, that died.
func Pages(trial string, l Life) (out []Report) {
	for cells := range slices.Chunk(l.Cells, reportCells) {
		l.Cells = cells
		out = append(out, Report{trial, l})
	}
	return out
}

// Report tells what is counted, as of the agreed block. final says that the process ends in order, with nothing open.
// It is under MaxReport encoded.
func (c *Counter) Report(block int, final bool) Report {
	c.life.Block, c.life.Final = max(c.life.Block, min(block, c.spec.Blocks+1)), final
	l := c.life
	l.Cells = nil
	newest := max(0, len(c.life.Cells)-2)
	for range min(newest, reportCells-2) {
		l.Cells = append(l.Cells, c.life.Cells[c.turn%newest])
		c.turn++
	}
	slices.SortFunc(l.Cells, func(a, b Cell) int { return cmp.Compare(a.Block, b.Block) })
	l.Cells = append(l.Cells, c.life.Cells[newest:]...)
	return Report{c.spec.ID, l}
}
