package capacity

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Role is a part of the system that spends something.
type Role string

// The roles, as the headings of the page name them.
const (
	RequestPath   Role = "request-path"
	ServerControl Role = "server-control"
	Leader        Role = "leader"
	Follower      Role = "follower"
	Caller        Role = "caller"
	Operator      Role = "operator"
	Fleet         Role = "fleet"      // times that no single role spends
	Superseded    Role = "superseded" // of an earlier program, kept to compare with
)

// Roles are all roles, in the page's order.
func Roles() []Role {
	return []Role{RequestPath, ServerControl, Leader, Follower, Caller, Operator, Fleet, Superseded}
}

// Aspect is what kind of thing a row counts.
type Aspect string

// The aspects.
const (
	State       Aspect = "state"
	Messages    Aspect = "messages"
	Processor   Aspect = "processor"
	Memory      Aspect = "memory"
	Descriptors Aspect = "descriptors"
	Disk        Aspect = "disk"
	Time        Aspect = "time"
)

// Provenance tells how a value is known.
type Provenance string

// The provenances.
const (
	Counted     Provenance = "counted"  // follows from constants in the code
	Measured    Provenance = "measured" // at the size named beside it
	Fitted      Provenance = "fitted"   // by a Fit over measured sizes
	Assumed     Provenance = "assumed"
	NotMeasured Provenance = "not measured"
)

// Budget is the most that a row may use. The zero value is none.
type Budget struct {
	Most float64 // in the row's unit
	Why  string
}

// Row is one quantity of one role in one design. Its value is counted by Counted, or comes from Measurement.
type Row struct {
	ID          string // unique; that of a measured row is its measurement's name
	Role        Role
	Aspect      Aspect
	Quantity    string
	Design      string // the part of ID before the first dot
	Mechanism   string // package and standard name; "" = none yet
	Unit        string
	Budget      Budget
	Measurement string
	Floor       string // measurement of the same without the program: where it is over the budget, nothing is decided
	Times       *Count // of the measured value; nil = 1
	Counted     *Count
	Source      string // of a counted row: file and constant
}

// ErrUnit is a measurement in another unit than its row, which cannot be converted.
var ErrUnit = errors.New("units differ")

// Cell is the value of a row at a size.
type Cell struct {
	Value      float64
	Provenance Provenance
	Formula    string
	PointSize  float64 // of a measured point: the size that it was taken at
	PointUnit  string
	Each       bool   // the point is of one, and the value of all in a second
	AtSize     bool   // the point's size is near enough to the one asked for
	Unsteady   string // why a measured point decides nothing; "" = it may
	Beyond     bool   // a fit is used past twice the largest size that was measured
}

// nearSize is how far the size of a measured point may be from the one asked for, as a part of it, to count as such.
const nearSize = 0.1

// Share returns the part of the budget that is used; ok = false when there is no budget or no value at this size.
func (c Cell) Share(b Budget) (share float64, ok bool) {
	if b.Most == 0 || c.Unsteady != "" || c.Provenance == NotMeasured || c.Provenance == Measured && !c.AtSize {
		return 0, false
	}
	return c.Value / b.Most, true
}

// Cell works out the row at a size.
func (r *Row) Cell(recording *Recording, size Size) (Cell, error) {
	if r.Counted != nil {
		return Cell{Value: r.Counted.Of(size), Provenance: Counted, Formula: r.Counted.Expression, AtSize: true}, nil
	}
	m := recording.Find(r.Measurement)
	if m == nil {
		return Cell{Provenance: NotMeasured}, nil
	}
	unit := m.Unit
	if r.Times != nil && r.Unit == "% of a core" {
		unit += "/s" // of processor time for each of Times a second
	}
	factor, err := unitFactor(unit, r.Unit)
	if err != nil {
		return Cell{}, fmt.Errorf("%s: %w", r.ID, err)
	}
	cell := measuredCell(m, size)
	cell.Value *= factor
	cell.Formula = strings.TrimSpace(cell.Formula + " " + shownUnit(m.Unit))
	if cell.Unsteady == "" {
		cell.Unsteady = r.overFloor(recording, size)
	}
	if r.Times != nil {
		cell.Value *= r.Times.Of(size)
		cell.Formula += " × " + r.Times.Expression
		cell.Each = true
	}
	return cell, nil
}

// maxSpread is the spread of a measured point, as a part of its value, over which it decides nothing.
const maxSpread = 0.5

// unsteady tells why a point decides nothing; "" = it may.
func unsteady(p Point) string {
	switch {
	case p.Value < 0:
		return "below zero"
	case p.Value == 0 && p.Spread > 0:
		return "not always 0"
	case p.Spread > maxSpread*p.Value:
		return fmt.Sprintf("spread %s", formatShare(p.Spread/p.Value, true))
	}
	return ""
}

// overFloor tells that the measurement of the same without the program is over the budget already.
func (r *Row) overFloor(recording *Recording, size Size) string {
	floor := recording.Find(r.Floor)
	if floor == nil || r.Budget.Most == 0 {
		return ""
	}
	factor, err := unitFactor(floor.Unit, r.Unit)
	if cell := measuredCell(floor, size); err == nil && cell.Value*factor > r.Budget.Most {
		return fmt.Sprintf("%s %s without the program", formatNumber(cell.Value*factor), r.Unit)
	}
	return ""
}

// measuredCell evaluates a measurement by its fit, or by its nearest point.
func measuredCell(m *Measurement, size Size) Cell {
	count, sized := countsByUnit[m.SizeUnit]
	if !sized {
		p := m.Points[len(m.Points)-1]
		cell := pointCell(p, m.SizeUnit)
		cell.AtSize = true
		return cell
	}
	at := count.Of(size)
	fit, err := NewFit(m.Points)
	if err == nil && fit.holdsAt(at) {
		return Cell{Value: fit.At(at), Provenance: Fitted, Formula: "(" + fit.String() + ", n = " + count.Expression + ")", AtSize: true, Beyond: at > 2*fit.MaxSize}
	}
	p := nearestPoint(m.Points, at)
	cell := pointCell(p, m.SizeUnit)
	cell.AtSize = math.Abs(p.Size-at) <= nearSize*at
	return cell
}

func pointCell(p Point, unit string) Cell {
	return Cell{Value: p.Value, Provenance: Measured, Formula: formatNumber(p.Value), PointSize: p.Size, PointUnit: unit, Unsteady: unsteady(p)}
}

// unitFactors are what one of a unit is in the first unit of its group.
var unitFactors = []map[string]float64{
	{"B": 1, "bytes": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30},
	{"B/s": 1, "bytes/s": 1, "KB/s": 1 << 10, "MB/s": 1 << 20},
	{"s": 1, "ms": 1e-3, "us": 1e-6, "µs": 1e-6, "microseconds": 1e-6, "ns": 1e-9},
	{"% of a core": 1, "%": 1, "cores": 100, "core": 100, "share of a core": 100},
	{"% of a core": 1, "s/s": 100, "ms/s": 0.1, "us/s": 1e-4},
	{"messages/s": 1, "/s": 1, "requests/s": 1},
}

// unitFactor is what a value in one unit is multiplied by to be in another.
func unitFactor(from, to string) (float64, error) {
	if from == to {
		return 1, nil
	}
	for _, group := range unitFactors {
		a, knownFrom := group[from]
		b, knownTo := group[to]
		if knownFrom && knownTo {
			return a / b, nil
		}
	}
	return 0, fmt.Errorf("%q and %q: %w", from, to, ErrUnit)
}
