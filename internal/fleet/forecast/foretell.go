package forecast

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	folds  = 8
	points = 28 // of a course
	z90    = 1.645
	near   = 0.01 // of the steady hit rate: the dip is over
)

// ErrUnknown tells that the sketches do not allow a forecast.
var ErrUnknown = errors.New("no forecast")

// Box is one that has slices, with the bytes that it keeps. Cold = it starts with nothing kept.
type Box struct {
	ID    uint16
	Bytes int64
	Cold  bool
}

// Placement is who is home to each of the slices.
type Placement struct {
	Homes []uint16
	Boxes []Box
}

// Ask is one question.
type Ask struct {
	Now, MaxAge   int64 // ms; a sketch that is older is missing
	Before, After Placement
	Window        int64 // ms after the move over which added calls are counted
}

// Range is a figure with its 90% interval.
type Range struct{ Value, Low, High float64 }

// Point is one moment of a course: ms after the move, the share of wants without a call, calls a second by class.
type Point struct {
	At    float64
	Hit   float64
	Calls []float64
}

// Outlook is what is foretold of a box, or of the fleet.
type Outlook struct {
	ID      uint16
	Wants   float64 // a second, after the move
	Before  float64 // hit rate in the steady state before it
	Hit     Range   // in the steady state after it
	Lowest  float64 // hit rate at its worst, right after it
	Settled float64 // ms until the hit rate is within 1% of the steady one
	Course  []Point
}

// Foretold is the answer. Added is by class, calls a second above those before, on average over the window.
type Foretold struct {
	Classes []Class
	Fleet   Outlook
	Boxes   []Outlook
	Added   []Range
	Rise    []float64 // calls a second that stay added in the new steady state, by class; corrected as Added is
	Missing []uint16  // boxes that nothing is known of
	Why     string
}

// Foretell answers from the sketches that have come, corrected by c's logged errors (nil = not).
func (f *Fleet) Foretell(a *Ask, c *Corrector) (*Foretold, error) {
	if len(a.Before.Homes) != Slices || len(a.After.Homes) != Slices || a.Window <= 0 {
		return nil, fmt.Errorf("%d and %d slices, %d ms: %w", len(a.Before.Homes), len(a.After.Homes), a.Window, ErrSettings)
	}
	m, err := f.merge(a.Now, a.MaxAge, &a.Before)
	if err != nil {
		return nil, err
	}
	out := m.run(a)
	if c == nil {
		c = &Corrector{}
	}
	variance := make([]float64, len(out.Boxes)+1)
	added := make([]float64, len(m.classes))
	fleet := func(x *Foretold, i int) *Outlook {
		if i == len(x.Boxes) {
			return &x.Fleet
		}
		return &x.Boxes[i]
	}
	for fold := range folds {
		x := m.without(fold).run(a)
		for i := range variance {
			variance[i] += sq(fleet(x, i).Hit.Value-fleet(out, i).Hit.Value) * (folds - 1) / folds
		}
		for i := range added {
			added[i] += sq(x.Added[i].Value-out.Added[i].Value) * (folds - 1) / folds
		}
	}
	window := float64(a.Window) / 1000
	for i := range variance {
		o := fleet(out, i)
		h := min(1, max(0, o.Hit.Value+c.bias()))
		sd := math.Sqrt(variance[i] + h*(1-h)/max(1, o.Wants*window) + sq(c.hitSpread()) + sq(m.share/4))
		o.Hit = Range{h, max(0, h-z90*sd), min(1, h+z90*sd)}
	}
	for i := range added {
		calls := 0.0
		for _, p := range out.Fleet.Course {
			calls = max(calls, p.Calls[i])
		}
		v := out.Added[i].Value * c.scale()
		out.Rise[i] *= c.scale()
		sd := math.Sqrt(added[i] + 2*calls/window + sq(v*c.addedSpread()) + sq(m.share/2*calls))
		out.Added[i] = Range{v, v - z90*sd, v + z90*sd}
	}
	out.Missing = m.missing
	out.Why = fmt.Sprintf("of %d boxes, %d without a sketch (%.0f%% of the slices)", len(a.Before.Boxes), len(m.missing), 100*m.share)
	return out, nil
}

func sq(x float64) float64 { return x * x }

// parts of a box's slices: those that stay, come, and are lost.
type shares struct{ stay, come, lost, before curves }

// run works a question out, without intervals.
func (m *model) run(a *Ask) *Foretold {
	n := len(m.classes)
	boxes := map[uint16]*shares{}
	cold := map[uint16]bool{}
	bytes, was := map[uint16]float64{}, map[uint16]float64{}
	of := func(id uint16) *shares {
		if boxes[id] == nil {
			boxes[id] = &shares{newCurves(n), newCurves(n), newCurves(n), newCurves(n)}
		}
		return boxes[id]
	}
	for _, b := range a.Before.Boxes {
		was[b.ID] = float64(b.Bytes)
		of(b.ID)
	}
	for _, b := range a.After.Boxes {
		bytes[b.ID], cold[b.ID] = float64(b.Bytes), b.Cold
		of(b.ID)
	}
	for i := range Slices {
		put := func(c *curves) {
			c.add(&m.group[i%Groups], 1)
			for k, v := range m.volume[i] {
				c.volume[k] += v
			}
		}
		from, to := a.Before.Homes[i], a.After.Homes[i]
		put(&of(from).before)
		switch s := of(to); {
		case from == to && !cold[to]:
			put(&s.stay)
		case from == to:
			put(&s.come)
		default:
			put(&s.come)
			put(&of(from).lost)
		}
	}
	out := &Foretold{Classes: m.classes, Added: make([]Range, n), Rise: make([]float64, n)}
	times := []float64{0}
	for i := range points {
		times = append(times, 2*float64(m.horizon)*math.Pow(2, -float64(points-1-i)/2))
	}
	sum := make([]Point, len(times))
	for i, t := range times {
		sum[i] = Point{At: t, Calls: make([]float64, n)}
	}
	before := make([]float64, n)
	wants := 0.0
	var ids []uint16
	for id := range boxes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	final := make([]float64, n)
	for _, id := range ids {
		s := boxes[id]
		old := m.age(was[id], func(t float64) float64 { return m.bytesAt(&s.before, t) })
		o := Outlook{ID: id}
		had, calls := 0.0, 0.0
		for c := range n {
			x := m.steady(&s.before, c, old)
			before[c] += x
			had, calls = had+s.before.volume[c], calls+x
			o.Wants += s.stay.volume[c] + s.come.volume[c]
		}
		o.Before = 1 - calls/max(had, 1e-9)
		if o.Wants == 0 {
			continue
		}
		wants += o.Wants
		if cold[id] {
			s.lost = newCurves(n)
		}
		end := m.age(bytes[id], func(t float64) float64 { return m.bytesAt(&s.stay, t) + m.bytesAt(&s.come, t) })
		calls = 0
		for c := range n {
			x := m.steady(&s.stay, c, end) + m.steady(&s.come, c, end)
			final[c] += x
			calls += x
		}
		o.Hit.Value = 1 - calls/o.Wants
		for i, t := range times {
			age := m.age(bytes[id], func(x float64) float64 {
				return m.bytesAt(&s.stay, x) + m.bytesAt(&s.come, min(x, t)) + max(0, m.bytesAt(&s.lost, x)-m.bytesAt(&s.lost, min(x, t)))
			})
			age = min(age, old+t)
			p := Point{At: t, Calls: make([]float64, n)}
			calls = 0
			for c := range n {
				p.Calls[c] = m.steady(&s.stay, c, age) + m.cold(&s.come, c, t, age)
				calls += p.Calls[c]
				sum[i].Calls[c] += p.Calls[c]
			}
			p.Hit = 1 - calls/o.Wants
			o.Course = append(o.Course, p)
		}
		o.finish()
		out.Boxes = append(out.Boxes, o)
	}
	total := func(xs []float64) (t float64) {
		for _, x := range xs {
			t += x
		}
		return t
	}
	for i := range sum {
		sum[i].Hit = 1 - total(sum[i].Calls)/max(wants, 1e-9)
	}
	out.Fleet = Outlook{Wants: wants, Before: 1 - total(before)/max(wants, 1e-9), Hit: Range{Value: 1 - total(final)/max(wants, 1e-9)}, Course: sum}
	out.Fleet.finish()
	for c := range n {
		out.Rise[c] = final[c] - before[c]
		out.Added[c].Value = out.Fleet.mean(float64(a.Window), func(p *Point) float64 { return p.Calls[c] }) - before[c]
	}
	return out
}

// age solves for the age at which a store of so many bytes forgets; past the horizon it makes no difference.
func (m *model) age(bytes float64, held func(age float64) float64) float64 {
	low, high := 0.0, float64(m.horizon)
	if held(high) <= bytes {
		return high
	}
	for range 24 { // to a hundredth of a ms
		if mid := (low + high) / 2; held(mid) <= bytes {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

func (o *Outlook) finish() {
	o.Lowest = 1
	for i := range o.Course {
		o.Lowest = min(o.Lowest, o.Course[i].Hit)
		if math.Abs(o.Course[i].Hit-o.Hit.Value) > near {
			o.Settled = o.Course[min(i+1, len(o.Course)-1)].At
		}
	}
}

// mean is the average of a figure of the course over the first ms.
func (o *Outlook) mean(until float64, of func(*Point) float64) float64 {
	sum := 0.0
	for i := 1; i < len(o.Course); i++ {
		a, b := &o.Course[i-1], &o.Course[i]
		x, y := of(a), of(b)
		if b.At > until {
			if a.At >= until {
				break
			}
			y = x + (y-x)*(until-a.At)/(b.At-a.At)
			return (sum + (x+y)/2*(until-a.At)) / until
		}
		sum += (x + y) / 2 * (b.At - a.At)
	}
	if last := &o.Course[len(o.Course)-1]; last.At < until {
		sum += of(last) * (until - last.At)
	}
	return sum / until
}

// HitOver gives the hit rate foretold on average over the first ms after the move.
func (o *Outlook) HitOver(ms float64) float64 {
	return o.mean(ms, func(p *Point) float64 { return p.Hit })
}
