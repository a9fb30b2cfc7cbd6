package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// maxGrowth is the factor over the target up to which walls are looked for.
const maxGrowth = 10

// wallPrecision is the ratio of sizes at which the search for a wall ends.
const wallPrecision = 1 + 1e-6

// Wall is a size of the fleet at which something reaches its limit.
type Wall struct {
	Servers    float64 // the fleet grown or shrunk in proportion
	What       string
	Limit      string
	Provenance Provenance
	How        string
}

// Bound is a constant in the code that ends the growth of the fleet.
type Bound struct {
	Name   string // package and constant
	File   string
	Limit  float64 // up to which it works
	Unit   string  // of the limit, one that measurements may name as their SizeUnit
	Breaks string  // what happens beyond
}

// RowWall solves for the size at which the row reaches its budget; ok = false when it is not met or not known.
func RowWall(r *Row, recording *Recording, target Size) (wall Wall, ok bool, err error) {
	if r.Budget.Most == 0 {
		return Wall{}, false, nil
	}
	cell, err := r.Cell(recording, target)
	if err != nil || cell.Provenance == NotMeasured || cell.Unsteady != "" {
		return Wall{}, false, err
	}
	wall = Wall{What: "`" + r.ID + "`: " + r.what(), Limit: formatNumber(r.Budget.Most) + " " + r.Unit, Provenance: cell.Provenance, How: cell.Formula}
	if cell.Provenance == Measured && r.Times == nil {
		return measuredWall(wall, r, recording, target)
	}
	reached := func(factor float64) bool {
		at, _ := r.Cell(recording, target.Times(factor)) // the units were checked above
		return at.Value >= r.Budget.Most
	}
	low, high := 1/target.Servers, float64(maxGrowth)
	switch {
	case reached(low):
		wall.Servers = 1
		return wall, true, nil
	case !reached(high):
		return Wall{}, false, nil
	}
	for high/low > wallPrecision {
		middle := math.Sqrt(low * high)
		if reached(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	wall.Servers = high * target.Servers
	if cell, err = r.Cell(recording, target.Times(high)); err != nil {
		return Wall{}, false, err
	}
	wall.How = formulaWithPoint(cell)
	return wall, true, nil
}

// measuredWall finds the smallest measured size at which the budget is reached.
func measuredWall(wall Wall, r *Row, recording *Recording, target Size) (Wall, bool, error) {
	m := recording.Find(r.Measurement)
	factor, err := unitFactor(m.Unit, r.Unit)
	if err != nil {
		return Wall{}, false, fmt.Errorf("%s: %w", r.ID, err)
	}
	points := slices.SortedFunc(slices.Values(m.Points), func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	i := slices.IndexFunc(points, func(p Point) bool { return unsteady(p) == "" && p.Value*factor >= r.Budget.Most })
	if i < 0 {
		return Wall{}, false, nil
	}
	wall.Servers = serversAt(m.SizeUnit, points[i].Size, target)
	wall.How = fmt.Sprintf("at most: %s at %s %s, no fit", formatNumber(points[i].Value*factor), formatNumber(points[i].Size), m.SizeUnit)
	return wall, true, nil
}

// serversAt is how many servers a fleet in proportion has whose count of a unit is given.
func serversAt(unit string, count float64, target Size) float64 {
	of, known := countsByUnit[unit]
	if !known {
		return target.Servers
	}
	return count / of.Of(target) * target.Servers
}

// Walls are those of all rows and bounds, in the order in which growth meets them.
func Walls(rows []Row, bounds []Bound, recording *Recording, target Size) ([]Wall, error) {
	var walls []Wall
	for i := range rows {
		wall, ok, err := RowWall(&rows[i], recording, target)
		if err != nil {
			return nil, err
		}
		if ok {
			walls = append(walls, wall)
		}
	}
	for _, b := range bounds {
		walls = append(walls, Wall{Servers: serversAt(b.Unit, b.Limit, target), What: "`" + b.Name + "`: " + b.Breaks, Limit: formatNumber(b.Limit) + " " + b.Unit, Provenance: Counted, How: "`" + b.File + "`"})
	}
	slices.SortStableFunc(walls, func(a, b Wall) int { return cmp.Compare(a.Servers, b.Servers) })
	return walls, nil
}
