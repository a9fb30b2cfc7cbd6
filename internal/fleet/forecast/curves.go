package forecast

import (
	"fmt"
	"math"
	"slices"
)

// curves are per second and slice (bytes: per slice): those of one slice of a group, or a sum over many.
type curves struct {
	volume []float64           // wants, by class
	miss   [][lives]float64    // wants that a store which forgets at that age misses once it is in its steady state
	gaps   [][ages + 1]float64 // wants by the time since the last one
	held   [ages]float64       // bytes that such a store has
}

func newCurves(classes int) curves {
	return curves{make([]float64, classes), make([][lives]float64, classes), make([][ages + 1]float64, classes), [ages]float64{}}
}

// add adds n times the shape of another.
func (c *curves) add(x *curves, n float64) {
	if n == 0 {
		return
	}
	for i := range c.miss {
		for j := range c.miss[i] {
			c.miss[i][j] += n * x.miss[i][j]
		}
		for j := range c.gaps[i] {
			c.gaps[i][j] += n * x.gaps[i][j]
		}
	}
	for j := range c.held {
		c.held[j] += n * x.held[j]
	}
}

// bytesAt gives the bytes that a store which forgets at an age has.
func (m *model) bytesAt(c *curves, age float64) float64 {
	if age <= 0 {
		return 0
	}
	x := float64(ages-1) - 2*math.Log2(float64(m.horizon)/age)
	if x <= 0 {
		return c.held[0] * age / grid(m.horizon, 0)
	}
	i := min(int(x), ages-1)
	if i == ages-1 {
		return c.held[ages-1]
	}
	a, b := grid(m.horizon, i), grid(m.horizon, i+1)
	return c.held[i] + (c.held[i+1]-c.held[i])*(age-a)/(b-a)
}

// steady gives a class's misses a second at an age of forgetting, long after a move.
func (m *model) steady(c *curves, class int, age float64) float64 {
	life, at := float64(m.classes[class].For), &c.miss[class]
	x := math.Log2(life / max(age, 1e-9))
	switch i := int(x); {
	case x <= 0:
		return min(at[0], c.volume[class])
	case i >= lives-1:
		part := age / (life / (1 << (lives - 1)))
		return min(c.volume[class], c.volume[class]+(at[lives-1]-c.volume[class])*part)
	default:
		return min(c.volume[class], at[i]+(at[i+1]-at[i])*(x-float64(i)))
	}
}

// cold gives a class's misses a second at a time in ms after its slices came to a box without their replies.
func (m *model) cold(c *curves, class int, t, age float64) float64 {
	if t >= float64(m.classes[class].For) {
		return m.steady(c, class, age)
	}
	age = min(t, age)
	over := 0.0
	x := float64(ages-1) - 2*math.Log2(float64(m.horizon)/max(age, 1e-9))
	i := min(max(int(x), 0), ages-1)
	for b := i + 1; b <= ages; b++ {
		over += c.gaps[class][b]
	}
	if x <= 0 {
		return min(c.volume[class], c.volume[class]+(over-c.volume[class])*age/grid(m.horizon, 0))
	}
	if i < ages-1 {
		over -= c.gaps[class][i+1] * (x - float64(i))
	}
	return min(over, c.volume[class])
}

// model is what the sketches of a fleet say together.
type model struct {
	classes []Class
	horizon int64
	volume  [Slices][]float64
	known   [Slices]bool
	group   [Groups]curves
	missing []uint16
	share   float64 // of the slices that nothing is known of
}

// merge makes the model of the newest sketches. Boxes without one, with one older than maxAge ms, or of other
// settings are missing: their slices are taken to be as the others are.
func (f *Fleet) merge(now, maxAge int64, before *Placement) (*model, error) {
	m := &model{}
	var have []*Sketch
	heard := map[uint16]bool{}
	for _, b := range before.Boxes {
		k := f.whole[b.ID]
		switch {
		case k == nil || now-k.At > maxAge || m.classes != nil && !slices.Equal(k.Classes, m.classes):
			m.missing = append(m.missing, b.ID)
			continue
		case m.classes == nil:
			m.classes, m.horizon = k.Classes, k.Horizon
		}
		have, heard[b.ID] = append(have, k), true
	}
	known := 0
	for i, h := range before.Homes {
		if m.known[i] = heard[h]; m.known[i] {
			known++
		}
	}
	if m.share = 1 - float64(known)/Slices; m.share > 0.5 {
		return nil, fmt.Errorf("nothing is known of %.0f%% of the slices, boxes %v are missing: %w", 100*m.share, m.missing, ErrUnknown)
	}
	n := len(m.classes)
	var cover [Groups]float64
	seconds := 0.0
	for _, k := range have {
		seconds = max(seconds, k.Seconds)
	}
	if seconds <= 0 {
		return nil, fmt.Errorf("the sketches are of no time at all: %w", ErrUnknown)
	}
	for i := range m.volume {
		m.volume[i] = make([]float64, n)
	}
	for g := range m.group {
		m.group[g] = newCurves(n)
	}
	for _, k := range have {
		for _, v := range k.Volumes {
			for c, x := range v.N {
				m.volume[v.Slice][c] += float64(x) / seconds
			}
		}
		for _, x := range k.Groups {
			cover[x.Group] += x.Cover
			to := &m.group[x.Group]
			for c := range n {
				for j, y := range x.Miss[c] {
					to.miss[c][j] += float64(y)
				}
				for j, y := range x.Gaps[c] {
					to.gaps[c][j] += float64(y)
				}
			}
			low, high := 0.0, 0.0
			for _, y := range x.Bytes {
				high += float64(y)
			}
			for j := range ages {
				low, high = low+float64(x.ByteMs[j]), high-float64(x.Bytes[j])
				to.held[j] += (low + grid(m.horizon, j)*high) / 1000
			}
		}
	}
	settled := 0
	sum := newCurves(n)
	for g := range m.group {
		if cover[g] > 0 {
			x := newCurves(n)
			x.add(&m.group[g], 1/cover[g])
			m.group[g] = x
			sum.add(&x, 1)
			settled++
		}
	}
	if settled < Groups/2 {
		return nil, fmt.Errorf("%d of %d groups of slices have been watched for %d s: %w", settled, Groups, m.horizon/1000, ErrUnknown)
	}
	for g := range m.group {
		if cover[g] <= 0 {
			m.group[g] = newCurves(n)
			m.group[g].add(&sum, 1/float64(settled))
		}
	}
	for c := range n {
		all := 0.0
		for i := range m.volume {
			if m.known[i] {
				all += m.volume[i][c]
			}
		}
		for i := range m.volume {
			if !m.known[i] {
				m.volume[i][c] = all / float64(known)
			}
		}
	}
	return m, nil
}

// without gives the model in which one fold of the groups is as the others are: a replicate of the jackknife.
func (m *model) without(fold int) *model {
	out := *m
	n := len(m.classes)
	mean := newCurves(n)
	for g := range m.group {
		if g%folds != fold {
			mean.add(&m.group[g], 1/float64(Groups-Groups/folds))
		}
	}
	for g := fold; g < Groups; g += folds {
		out.group[g] = mean
	}
	return &out
}
