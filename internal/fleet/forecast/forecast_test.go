package forecast_test

import (
	"errors"
	"flag"
	"math"
	"reflect"
	"testing"
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/forecast"
	"larchscale/internal/fleet/forecast/simboxes"
)

var seeds = flag.Int("seeds", 1, "fleets that each case is tried on")

var classes = []forecast.Class{{Name: "fare", For: 10_000}, {Name: "map", For: 30_000}}

// out is the question of what box 3's end costs, and the weights to move by.
func out(w *simboxes.World) (*forecast.Ask, []uint16) {
	after := w.Placement()
	after.Homes = simboxes.Weights([]float64{1, 1, 1, 0, 1, 1})
	return &forecast.Ask{Now: w.Now, MaxAge: 10_000, Before: w.Placement(), After: after, Window: 10_000}, after.Homes
}

func world(t *testing.T, seed uint64, o simboxes.Options) *simboxes.World {
	o.Boxes, o.Skew, o.Classes, o.Seed = 6, 0.9, classes, seed
	w, err := simboxes.New(o)
	if err != nil {
		t.Fatal(err)
	}
	w.Run(90_000)
	return w
}

// The steady hit rate, the added calls and the dip when a box goes: ordinary traffic, one subject that is half of
// the load, and keys of which each is replaced within a minute.
func TestBoxOut(t *testing.T) {
	for name, o := range map[string]simboxes.Options{
		"ordinary":  {Keys: 20_000, Rate: 2000, Bytes: 1 << 20},
		"half":      {Keys: 20_000, Rate: 2000, Bytes: 1 << 20, Hot: 0.5},
		"turns":     {Keys: 20_000, Rate: 2000, Bytes: 1 << 20, TurnMs: 40_000},
		"all fits":  {Keys: 2_000, Rate: 1000, Bytes: 8 << 20},
		"too small": {Keys: 20_000, Rate: 2000, Bytes: 64 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *seeds {
				w := world(t, uint64(seed+1), o)
				ask, homes := out(w)
				f, err := w.Sketches().Foretell(ask, nil)
				if err != nil {
					t.Fatal(name, err)
				}
				twin := w.Fork()
				if err := w.Move(homes); err != nil {
					t.Fatal(err)
				}
				w.Reset()
				w.Run(10_000)
				twin.Run(10_000)
				dip := 0.0
				wants, added, calls := 0.0, make([]float64, 2), 0.0
				for i := range w.Tally {
					wants += w.Tally[i].Wants
					calls += w.Tally[i].Calls
					for c := range added {
						added[c] += (w.Tally[i].By[c] - twin.Tally[i].By[c]) / 10
					}
				}
				if dip = 1 - calls/wants; math.Abs(dip-f.Fleet.HitOver(10_000)) > 0.03 {
					t.Errorf("%s, seed %d: hit rate of the first 10 s foretold %.3f, found %.3f", name, seed+1, f.Fleet.HitOver(10_000), dip)
				}
				for c, a := range f.Added {
					if added[c] < a.Low || added[c] > a.High {
						t.Errorf("%s, seed %d: added %s foretold %.1f, found %.1f", name, seed+1, classes[c].Name, a, added[c])
					}
				}
				w.Run(30_000)
				w.Reset()
				w.Run(60_000)
				wants, calls = 0, 0
				for _, b := range f.Boxes {
					x := w.Tally[b.ID]
					wants, calls = wants+x.Wants, calls+x.Calls
					if o.TurnMs > 0 {
						continue // which box the next popular key lands on, nobody can foretell
					}
					if hit := 1 - x.Calls/x.Wants; math.Abs(hit-b.Hit.Value) > 0.05 || b.ID == 3 {
						t.Errorf("%s, seed %d: box %d: hit rate foretold %.3f, found %.3f", name, seed+1, b.ID, b.Hit, hit)
					}
				}
				if hit := 1 - calls/wants; math.Abs(hit-f.Fleet.Hit.Value) > 0.02 {
					t.Errorf("%s, seed %d: fleet: hit rate foretold %.3f, found %.3f", name, seed+1, f.Fleet.Hit, hit)
				}
			}
		})
	}
}

// Without some sketches the interval widens; without most there is no forecast, and none before a horizon is seen.
func TestMissing(t *testing.T) {
	o := simboxes.Options{Keys: 20_000, Rate: 700, Bytes: 1 << 20}
	w := world(t, 1, o)
	ask, _ := out(w)
	all, err := w.Sketches().Foretell(ask, nil)
	some, err2 := w.Sketches(1).Foretell(ask, nil)
	if err != nil || err2 != nil {
		t.Fatal(err, err2)
	}
	a, b := all.Fleet.Hit, some.Fleet.Hit
	if b.High-b.Low < 1.5*(a.High-a.Low) || len(some.Missing) != 1 || b.Low > a.Value || b.High < a.Value {
		t.Errorf("%+v with all, %+v without box 1: %s", a, b, some.Why)
	}
	if _, err := w.Sketches(0, 1, 2, 4).Foretell(ask, nil); !errors.Is(err, forecast.ErrUnknown) {
		t.Error("of two boxes in six:", err)
	}
	f := w.Sketches()
	ask.Now += 20_000
	if _, err := f.Foretell(ask, nil); !errors.Is(err, forecast.ErrUnknown) {
		t.Error("of old sketches:", err)
	}
	o.Boxes, o.Skew, o.Classes = 6, 0.9, classes
	young, err := simboxes.New(o)
	if err != nil {
		t.Fatal(err)
	}
	young.Run(20_000)
	ask, _ = out(young)
	if _, err := young.Sketches().Foretell(ask, nil); !errors.Is(err, forecast.ErrUnknown) {
		t.Error("within the first horizon:", err)
	}
}

// A sketch comes whole or not at all, whatever happens to its parts, and is the same in any order of them.
func TestParts(t *testing.T) {
	w := world(t, 1, simboxes.Options{Keys: 20_000, Rate: 700, Bytes: 1 << 20})
	if n := unsafe.Sizeof(*w.Sampler(0)); n > 256<<10 {
		t.Errorf("a sampler of %d bytes", n)
	}
	ask, _ := out(w)
	want, err := w.Sketches().Foretell(ask, nil)
	if err != nil {
		t.Fatal(err)
	}
	f := forecast.NewFleet()
	var last []byte
	for b := range 6 {
		parts, err := w.Sampler(b).Sketch(w.Now, uint16(b)).Parts()
		if err != nil {
			t.Fatal(err)
		}
		for i := len(parts) - 1; i >= 0; i-- {
			p := parts[i]
			if last = p; b == 5 && i == 0 {
				break
			}
			for at := 0; at < len(p); at += 97 { // one bit is wrong
				bad := append([]byte(nil), p...)
				bad[at] ^= 1 << (at % 8)
				if err := f.Add(bad); !errors.Is(err, forecast.ErrPart) && !errors.Is(err, forecast.ErrVersion) {
					t.Fatalf("part %d, byte %d: %v", i, at, err)
				}
			}
			if err := errors.Join(f.Add(p), f.Add(p)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got, err := f.Foretell(ask, nil); err != nil || len(got.Missing) != 1 {
		t.Fatal("without the last part:", got, err)
	}
	if err := f.Add(last); err != nil {
		t.Fatal(err)
	}
	if got, err := f.Foretell(ask, nil); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("from parts %+v, whole %+v, %v", got.Fleet.Hit, want.Fleet.Hit, err)
	}
	k := w.Sampler(0).Sketch(w.Now+1, 0)
	other, twice := *k, *k
	other.Classes = []forecast.Class{{Name: "fare", For: 10_000}}
	twice.Volumes = append(append([]forecast.Volume(nil), k.Volumes[:5]...), k.Volumes[:5]...)
	parts, _ := k.Parts()
	others, _ := other.Parts()
	twices, _ := twice.Parts()
	old := struct {
		V, I, Of uint8
		Body     []byte
		Sum      uint64
	}{V: forecast.Version + 1, Of: 1}
	next, _ := cbor.Marshal(old)
	if err := f.Add(next); !errors.Is(err, forecast.ErrVersion) {
		t.Error("of the next version:", err)
	}
	if err := errors.Join(f.Add(parts[0]), f.Add(others[1])); !errors.Is(err, forecast.ErrPart) {
		t.Error("parts of two sketches:", err)
	}
	if err := f.Add(twices[0]); !errors.Is(err, forecast.ErrPart) {
		t.Error("a slice twice:", err)
	}
	if got, err := f.Foretell(ask, nil); err != nil || !reflect.DeepEqual(got, want) {
		t.Error("half of a sketch was applied:", err)
	}
	if err := f.Add(make([]byte, forecast.MaxPart+1)); !errors.Is(err, forecast.ErrLarge) {
		t.Error(err)
	}
}

// The correction follows the error, no further than its bounds.
func TestCorrector(t *testing.T) {
	w := world(t, 1, simboxes.Options{Keys: 20_000, Rate: 700, Bytes: 1 << 20})
	ask, _ := out(w)
	c := &forecast.Corrector{}
	plain, _ := w.Sketches().Foretell(ask, nil)
	for range 40 {
		f, err := w.Sketches().Foretell(ask, c)
		if err != nil {
			t.Fatal(err)
		}
		c.Hit(f.Fleet.Hit.Value, plain.Fleet.Hit.Value-0.02)
		c.Added(f.Added[1].Value, 1.1*plain.Added[1].Value)
	}
	f, _ := w.Sketches().Foretell(ask, c)
	if e, s := f.Fleet.Hit.Value-plain.Fleet.Hit.Value+0.02, f.Added[1].Value/plain.Added[1].Value; math.Abs(e) > 0.001 || math.Abs(s-1.1) > 0.01 {
		t.Errorf("left after learning: %v, scale %v", e, s)
	}
	for range 1000 {
		c.Hit(0, 1)
		c.Added(1, 1000)
	}
	f, _ = w.Sketches().Foretell(ask, c)
	if e, s := f.Fleet.Hit.Value-plain.Fleet.Hit.Value, f.Added[1].Value/plain.Added[1].Value; e > 0.0301 || s > 1.23 {
		t.Errorf("corrected past the bounds: %v, %v", e, s)
	}
}

// The box to take out next is the one whose loss is found to add the fewest calls, too.
func TestNextOut(t *testing.T) {
	w := world(t, 1, simboxes.Options{Keys: 20_000, Rate: 1000, Bytes: 1 << 20})
	weights := []float64{1, 1, 0.3, 1, 0.6, 1}
	if err := w.Move(simboxes.Weights(weights)); err != nil {
		t.Fatal(err)
	}
	w.Run(60_000)
	without := func(box uint16) forecast.Placement {
		p, less := w.Placement(), append([]float64(nil), weights...)
		less[box] = 0
		p.Homes = simboxes.Weights(less)
		return p
	}
	ask, _ := out(w)
	order, err := w.Sketches().NextOut(*ask, []uint16{5, 4, 2}, without, nil)
	if err != nil || len(order) != 3 || order[0].ID != 2 || order[1].ID != 4 {
		t.Fatalf("%+v %v", order, err)
	}
	last := 0.0
	for _, o := range order {
		x := w.Fork()
		if err := x.Move(without(o.ID).Homes); err != nil {
			t.Fatal(err)
		}
		x.Run(10_000)
		calls := 0.0
		for _, y := range x.Tally {
			calls += y.Calls
		}
		if calls <= last {
			t.Errorf("box %d costs %v calls, the one before it %v: %s", o.ID, calls, last, o.Why)
		}
		last = calls
	}
}

// Boxes that get more memory, or start cold, where they are: the course, not only its end.
func TestCourse(t *testing.T) {
	for name, more := range map[string]int64{"memory": 4, "cold": 1} {
		w := world(t, 1, simboxes.Options{Keys: 20_000, Rate: 2000, Bytes: 256 << 10})
		ask, _ := out(w)
		ask.After = w.Placement()
		for i := range 3 {
			ask.After.Boxes[i].Bytes *= more
			ask.After.Boxes[i].Cold = more == 1
		}
		f, err := w.Sketches().Foretell(ask, nil)
		if err != nil {
			t.Fatal(err)
		}
		for i, b := range ask.After.Boxes {
			if w.Bytes(i, b.Bytes); b.Cold {
				w.Cold(i)
			}
		}
		w.Reset()
		began := w.Now
		for _, until := range []float64{500, 1000, 2000, 4000, 8000} {
			w.Run(began + int64(until) - w.Now)
			wants, calls := 0.0, 0.0
			for _, x := range w.Tally {
				wants, calls = wants+x.Wants, calls+x.Calls
			}
			if hit := 1 - calls/wants; math.Abs(hit-f.Fleet.HitOver(until)) > 0.03 {
				t.Errorf("%s: hit rate of the first %v ms foretold %.3f, found %.3f", name, until, f.Fleet.HitOver(until), hit)
			}
		}
	}
}
