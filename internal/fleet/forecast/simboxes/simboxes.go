// Package simboxes is a fleet of simulated boxes for tests and figures: each has the real kept replies and the real
// sampler; the wants are drawn (Zipf popularity, sizes by key, times by class), and calls below answer at once.
package simboxes

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sort"

	"larchscale/internal/callcache"
	"larchscale/internal/fleet/forecast"
)

// Options of a fleet. Its boxes are 0 to Boxes-1.
type Options struct {
	Boxes   int
	Keys    int
	Skew    float64 // Zipf exponent
	Rate    float64 // wants a second of the whole fleet
	Bytes   int64   // kept by a box
	Classes []forecast.Class
	Hot     float64 // share of all wants that are for one key
	TurnMs  int64   // after which each key has been replaced by another; 0 = never
	Seed    uint64
}

// Tally counts wants and calls below.
type Tally struct {
	Wants, Calls float64
	By           []float64 // calls by class
}

// World is the fleet at a time.
type World struct {
	Now    int64 // ms
	Homes  []uint16
	Boxes  []forecast.Box
	Tally  []Tally     // by box
	Peak   [][]float64 // calls by second since Reset, by class
	reset  int64
	o      Options
	pcg    *rand.PCG
	rng    *rand.Rand
	at     float64
	cum    []float64
	kept   []*callcache.Cache
	sample []*forecast.Sampler
	epoch  uint64
	turned int64
	body   []byte
	who    uint64
}

// Weights places slices by weighted rendezvous; a weight of 0 = the box has none.
func Weights(w []float64) []uint16 {
	homes := make([]uint16, callcache.Shards)
	for i := range homes {
		best := math.Inf(-1)
		for b, x := range w {
			if x > 0 {
				u := (float64(mix(uint64(i)<<20|uint64(b))>>11) + 0.5) / (1 << 53)
				if s := x / -math.Log(u); s > best {
					best, homes[i] = s, uint16(b)
				}
			}
		}
	}
	return homes
}

func mix(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// New makes a fleet with equal weights and nothing kept.
func New(o Options) (*World, error) {
	pcg := rand.NewPCG(o.Seed, 1)
	w := &World{Now: 1_000_000, at: 1_000_000, o: o, pcg: pcg, rng: rand.New(pcg), body: make([]byte, 8192)}
	sum := 0.0
	for i := range o.Keys {
		sum += math.Pow(float64(i+1), -o.Skew)
		w.cum = append(w.cum, sum)
	}
	var cs []callcache.Class
	for _, c := range o.Classes {
		cs = append(cs, callcache.Class{Name: c.Name, TTL: c.For})
	}
	weights := make([]float64, o.Boxes)
	for i := range o.Boxes {
		weights[i] = 1
		k, err := callcache.New(callcache.Options{Self: uint16(i), Bytes: o.Bytes, MaxReply: len(w.body), OwnerTimeShare: 0.2, Classes: cs})
		if err != nil {
			return nil, err
		}
		s, err := forecast.NewSampler(w.Now, o.Classes)
		if err != nil {
			return nil, err
		}
		w.kept, w.sample = append(w.kept, k), append(w.sample, s)
		w.Boxes = append(w.Boxes, forecast.Box{ID: uint16(i), Bytes: o.Bytes})
	}
	w.turned = w.Now
	w.Reset()
	return w, w.Move(Weights(weights))
}

// Move places the slices anew. A box that had none is cold.
func (w *World) Move(homes []uint16) error {
	w.epoch++
	w.Homes = homes
	for i, k := range w.kept {
		if err := k.SetOwners(w.epoch, homes); err != nil {
			return err
		}
		w.sample[i].Own(w.Now, func(s int) bool { return homes[s] == uint16(i) })
	}
	return nil
}

// Cold has a box start anew, and Bytes gives it another memory.
func (w *World) Cold(box int) { w.kept[box].Clear() }
func (w *World) Bytes(box int, bytes int64) {
	w.kept[box].Resize(bytes)
	w.Boxes[box].Bytes = bytes
}

// Reset begins new tallies.
func (w *World) Reset() {
	w.reset, w.Peak, w.Tally = w.Now, nil, make([]Tally, w.o.Boxes)
	for i := range w.Tally {
		w.Tally[i].By = make([]float64, len(w.o.Classes))
	}
}

// Placement gives how things stand, as the forecaster asks for it.
func (w *World) Placement() forecast.Placement {
	return forecast.Placement{Homes: w.Homes, Boxes: append([]forecast.Box(nil), w.Boxes...)}
}

// Sketches gives the sketches of all boxes but some.
func (w *World) Sketches(but ...int) *forecast.Fleet {
	f := forecast.NewFleet()
	for i, s := range w.sample {
		skip := false
		for _, b := range but {
			skip = skip || b == i
		}
		if !skip {
			f.Put(s.Sketch(w.Now, uint16(i)))
		}
	}
	return f
}

// Sampler gives a box's sampler.
func (w *World) Sampler(box int) *forecast.Sampler { return w.sample[box] }

// Fork gives a fleet in the same state that will see the same wants: what a move adds is what one calls more than the
// other that did not make it.
func (w *World) Fork() *World {
	out := *w
	pcg := *w.pcg
	out.pcg, out.rng = &pcg, rand.New(&pcg)
	out.Boxes = append([]forecast.Box(nil), w.Boxes...)
	out.kept, out.sample = nil, nil
	for i, k := range w.kept {
		s := *w.sample[i]
		out.kept, out.sample = append(out.kept, k.Clone()), append(out.sample, &s)
	}
	out.Reset()
	return &out
}

// Run lets ms pass.
func (w *World) Run(ms int64) {
	for end := w.Now + ms; ; {
		w.at += w.rng.ExpFloat64() / w.o.Rate * 1000
		if int64(w.at) >= end {
			w.Now, w.at = end, float64(end)
			return
		}
		w.Now = int64(w.at)
		if w.Now-w.turned >= 30_000 {
			w.turned = w.Now
			for _, s := range w.sample {
				s.Turn(w.Now)
			}
		}
		w.want()
	}
}

// want draws one want and has its home serve it.
func (w *World) want() {
	id := uint64(sort.SearchFloat64s(w.cum, w.rng.Float64()*w.cum[len(w.cum)-1]))
	if w.o.Hot > 0 && w.rng.Float64() < w.o.Hot {
		id = 0
	}
	h := mix(id)
	if w.o.TurnMs > 0 {
		h = mix(h + (uint64(w.Now)+h%uint64(w.o.TurnMs))/uint64(w.o.TurnMs))
	}
	class := int(h>>8) % len(w.o.Classes)
	size := 100 + int(h>>20)%1000
	if h%16 == 0 {
		size = 1000 + int(h>>20)%7000
	}
	key := callcache.Key{Class: w.o.Classes[class].Name}
	binary.LittleEndian.PutUint64(key.Sum[:], h)
	hash := key.Hash()
	slice := callcache.ShardOf(hash)
	box := w.Homes[slice]
	w.who++
	t := &w.Tally[box]
	t.Wants++
	if w.kept[box].Lookup(w.Now, key, w.who, w.Now+1000).Action == callcache.CallDownstream {
		w.kept[box].CallSucceeded(w.Now, key, w.body[:size])
		t.Calls++
		t.By[class]++
		second := int((w.Now - w.reset) / 1000)
		for len(w.Peak) <= second {
			w.Peak = append(w.Peak, make([]float64, len(w.o.Classes)))
		}
		w.Peak[second][class]++
	}
	w.sample[box].Want(w.Now, hash, slice, class, size+callcache.EntryOverhead)
}
