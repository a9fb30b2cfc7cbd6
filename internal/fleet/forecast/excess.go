package forecast

import (
	"cmp"
	"fmt"
	"slices"
)

// Excess is what the move of one slice adds to the calls below until it is as it will be: calls a second by class and
// tick after the move, never rising.
type Excess struct {
	Slice, From, To uint16
	Added           [][]float64
}

// Excess gives it for each slice that changes its box, or whose box is cold: the part of a move's added calls that its
// pace can spread. What stays added in the new steady state is Foretell's.
func (f *Fleet) Excess(a *Ask, tick int64, ticks int) ([]Excess, error) {
	if len(a.Before.Homes) != Slices || len(a.After.Homes) != Slices || tick <= 0 || ticks < 1 {
		return nil, fmt.Errorf("%d and %d slices, %d ticks of %d ms: %w", len(a.Before.Homes), len(a.After.Homes), ticks, tick, ErrSettings)
	}
	m, err := f.merge(a.Now, a.MaxAge, &a.Before)
	if err != nil {
		return nil, err
	}
	n := len(m.classes)
	all := map[uint16]*curves{}
	for i, h := range a.After.Homes {
		if all[h] == nil {
			c := newCurves(n)
			all[h] = &c
		}
		all[h].add(&m.group[i%Groups], 1)
	}
	ages, cold := map[uint16]float64{}, map[uint16]bool{}
	for _, b := range a.After.Boxes {
		if cold[b.ID] = b.Cold; all[b.ID] != nil {
			ages[b.ID] = m.age(float64(b.Bytes), func(t float64) float64 { return m.bytesAt(all[b.ID], t) })
		}
	}
	var out []Excess
	for i, to := range a.After.Homes {
		if to == a.Before.Homes[i] && !cold[to] {
			continue
		}
		one := newCurves(n)
		one.add(&m.group[i%Groups], 1)
		copy(one.volume, m.volume[i])
		x := Excess{Slice: uint16(i), From: a.Before.Homes[i], To: to, Added: make([][]float64, n)}
		for c := range n {
			x.Added[c] = make([]float64, ticks)
			end, top := m.steady(&one, c, ages[to]), 0.0
			for t := ticks - 1; t >= 0; t-- {
				mean := 0.0 // the course is steep at first
				for k := range 8 {
					mean += m.cold(&one, c, (float64(t)+(float64(k)+0.5)/8)*float64(tick), ages[to]) / 8
				}
				top = max(top, mean-end)
				x.Added[c][t] = top
			}
		}
		out = append(out, x)
	}
	return out, nil
}

// OutCost is what the loss of one box costs.
type OutCost struct {
	ID     uint16
	Added  float64 // calls a second over the window, all classes
	High   float64 // sum of the classes' upper ends
	Lowest float64 // the fleet's hit rate at its worst
	Why    string
}

// NextOut tells of which of the candidates the loss adds the fewest calls below: that one first. without gives the
// placement that follows when a box is out.
func (f *Fleet) NextOut(a Ask, candidates []uint16, without func(box uint16) Placement, c *Corrector) ([]OutCost, error) {
	var out []OutCost
	for _, id := range candidates {
		a.After = without(id)
		x, err := f.Foretell(&a, c)
		if err != nil {
			return nil, fmt.Errorf("box %d out: %w", id, err)
		}
		o := OutCost{ID: id, Lowest: x.Fleet.Lowest}
		for _, r := range x.Added {
			o.Added, o.High = o.Added+r.Value, o.High+r.High
		}
		moved := 0
		for i, h := range a.Before.Homes {
			if h == id && a.After.Homes[i] != id {
				moved++
			}
		}
		o.Why = fmt.Sprintf("%d slices move, %.1f calls/s more over %d s (up to %.1f), hit rate %.3f at worst", moved, o.Added, a.Window/1000, o.High, o.Lowest)
		out = append(out, o)
	}
	slices.SortFunc(out, func(x, y OutCost) int { return cmp.Or(cmp.Compare(x.Added, y.Added), cmp.Compare(x.ID, y.ID)) })
	return out, nil
}
