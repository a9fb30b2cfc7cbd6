package main

import (
	"fmt"
	"math"
	"time"
	"unsafe"

	"larchscale/internal/callcache"
	"larchscale/internal/fleet/forecast"
	"larchscale/internal/fleet/forecast/plan"
	"larchscale/internal/fleet/forecast/simboxes"
)

type forecastCmd struct {
	Moves   int    `default:"20" help:"Moves of slices that are foretold and then made."`
	Seed    uint64 `default:"1" help:"Of the drawn wants."`
	Verbose bool   `help:"One line a move."`
}

// Run foretells moves of a fleet of simulated boxes (the real kept replies and samplers, drawn wants) and holds what
// is found against it, beside two baselines.
func (c forecastCmd) Run(r *report) error {
	if err := c.costs(r); err != nil {
		return err
	}
	const window, settle, watch = 30_000, 60_000, 90_000
	classes := []forecast.Class{{Name: "fare", For: 15_000}, {Name: "map", For: 60_000}}
	w, err := simboxes.New(simboxes.Options{Boxes: 8, Keys: 60_000, Skew: 0.9, Rate: 3000, Bytes: 3 << 20, Classes: classes, Seed: c.Seed})
	if err != nil {
		return err
	}
	w.Run(150_000)
	w.Reset()
	w.Run(watch)
	var x score
	corrector := &forecast.Corrector{}
	weights := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	for i := range c.Moves {
		before := w.Placement()
		var cold []int
		memory := map[int]int64{}
		name := ""
		switch i % 10 {
		case 0:
			name, weights[3] = "a box out", 0
		case 1:
			name, weights[3], cold = "it is back, cold", 1, []int{3}
		case 2:
			name, cold = "three boxes cold", []int{0, 1, 2}
		case 3:
			name, weights[6], weights[7] = "a zone out", 0, 0
		case 4:
			name, weights[6], weights[7], cold = "the zone back", 1, 1, []int{6, 7}
		case 5:
			name, weights[0] = "half the weight", 0.5
		case 6:
			name, weights[0] = "its weight back", 1
		case 7:
			name, memory[1], memory[2] = "two boxes with half the memory", 3<<19, 3<<19
		case 8:
			name, memory[1], memory[2] = "their memory back", 3<<20, 3<<20
		default:
			name, weights[4], weights[5] = "two boxes out", 0, 0
		}
		if i%10 == 0 && i > 0 {
			weights[4], weights[5], cold = 1, 1, []int{4, 5}
		}
		after := before
		after.Homes = simboxes.Weights(weights)
		after.Boxes = append([]forecast.Box(nil), before.Boxes...)
		for _, b := range cold {
			after.Boxes[b].Cold = true
		}
		for b, n := range memory {
			after.Boxes[b].Bytes = n
		}
		f, err := w.Sketches().Foretell(&forecast.Ask{Now: w.Now, MaxAge: 60_000, Before: before, After: after, Window: window}, corrector)
		if err != nil {
			return fmt.Errorf("move %d (%s): %w", i, name, err)
		}
		was := w.Tally
		twin := w.Fork() // sees the same wants, and makes no move
		for b, n := range memory {
			w.Bytes(b, n)
		}
		for _, b := range cold {
			w.Cold(b)
		}
		if err := w.Move(after.Homes); err != nil {
			return err
		}
		w.Reset()
		w.Run(5000)
		first := sum(w.Tally)
		w.Run(window - 5000)
		twin.Run(window)
		found, still := sum(w.Tally), sum(twin.Tally)
		w.Run(settle - window)
		w.Reset()
		w.Run(watch)
		x.move(f, was, w.Tally, first, found, still, watch, window, &before, &after, corrector)
		if c.Verbose {
			fmt.Printf("# %-32s hit %.3f of %.3f, lowest %.3f, added %.1f %.1f of %.1f %.1f\n", name, f.Fleet.Hit.Value, 1-sum(w.Tally).Calls/sum(w.Tally).Wants,
				f.Fleet.Lowest, f.Added[0].Value, f.Added[1].Value, x.last[0], x.last[1])
		}
	}
	x.rows(r)
	return paced(r, w, c.Verbose)
}

// paced has a box leave and those that were out return slice by slice as planned, beside a fork where all move at once, and a fork that
// stays as it is. Calls are counted in ticks of 5 s.
func paced(r *report, w *simboxes.World, verbose bool) error {
	const tick, ticks, window = 5000, 12, 30_000
	budget := []float64{40, 40}
	w.Run(120_000) // what is known of slices that moved just now is settled
	before, after := w.Placement(), w.Placement()
	after.Homes = simboxes.Weights([]float64{1, 1, 1, 0, 1, 1, 1, 1})
	ask := forecast.Ask{Now: w.Now, MaxAge: 60_000, Before: before, After: after, Window: window}
	f := w.Sketches()
	moves, err := f.Excess(&ask, tick, ticks)
	if err != nil {
		return err
	}
	told, err := f.Foretell(&ask, nil)
	if err != nil {
		return err
	}
	p, err := plan.Make(&plan.Input{Now: w.Now, Tick: tick, Budget: budget, Moves: moves, Rise: told.Rise, Margin: 3})
	if err != nil {
		return err
	}
	if verbose {
		fmt.Printf("# rise %.1f, steps %v\n", told.Rise, p.Steps)
	}
	still, once, began := w.Fork(), w.Fork(), w.Now
	if err := once.Move(after.Homes); err != nil {
		return err
	}
	end := p.Lasts + tick*ticks
	homes := append([]uint16(nil), before.Homes...)
	atOnce, planned := 0.0, 0.0
	w.Reset()
	for at, i := int64(0), 0; at < end; at += tick {
		for ; i < len(p.Steps) && p.Steps[i].At <= began+at; i++ {
			for _, s := range p.Steps[i].Slices {
				homes[s] = after.Homes[s]
			}
			if err := w.Move(append([]uint16(nil), homes...)); err != nil {
				return err
			}
		}
		was := [3]simboxes.Tally{sum(w.Tally), sum(once.Tally), sum(still.Tally)}
		w.Run(tick)
		once.Run(tick)
		still.Run(tick)
		now := [3]simboxes.Tally{sum(w.Tally), sum(once.Tally), sum(still.Tally)}
		for c := range budget {
			calls := func(i int) float64 { return (now[i].By[c] - was[i].By[c]) / tick * 1000 }
			planned = max(planned, calls(0)-calls(2))
			atOnce = max(atOnce, calls(1)-calls(2))
		}
	}
	r.row("simulated: added calls at once, peak", atOnce, "1/s")
	r.most("simulated: added calls as planned, peak", planned, "1/s", budget[0])
	r.row("simulated: plan lasts", float64(p.Lasts)/1000, "s")
	r.row("simulated: no plan lasts less than", float64(p.AtLeast)/1000, "s")
	return nil
}

func sum(ts []simboxes.Tally) simboxes.Tally {
	out := simboxes.Tally{By: make([]float64, len(ts[0].By))}
	for _, t := range ts {
		out.Wants, out.Calls = out.Wants+t.Wants, out.Calls+t.Calls
		for i, n := range t.By {
			out.By[i] += n
		}
	}
	return out
}

// score is how forecasts came out.
type score struct {
	hits, still, share, dips []float64 // errors, of the forecast and of the two baselines
	inside, asked            float64
	foretold, found, off     float64 // added calls over all moves
	nothing, traffic         float64
	last                     [2]float64
}

func (x *score) move(f *forecast.Foretold, was, now []simboxes.Tally, first, found, still simboxes.Tally, watch, window float64, before, after *forecast.Placement, c *forecast.Corrector) {
	one := func(a forecast.Range, v float64) {
		x.asked++
		if v >= a.Low && v <= a.High {
			x.inside++
		}
	}
	base := sum(was)
	fleetWas := 1 - base.Calls/base.Wants
	moved := 0.0
	for i, h := range after.Homes {
		if before.Homes[i] != h || after.Boxes[h].Cold {
			moved++
		}
	}
	for _, o := range f.Boxes {
		t := now[o.ID]
		hit := 1 - t.Calls/t.Wants
		x.hits = append(x.hits, math.Abs(hit-o.Hit.Value))
		one(o.Hit, hit)
		old := fleetWas
		if b := was[o.ID]; b.Wants > 0 {
			old = 1 - b.Calls/b.Wants
		}
		x.still = append(x.still, math.Abs(hit-old))
		x.share = append(x.share, math.Abs(hit-fleetWas))
		c.Hit(o.Hit.Value, hit)
	}
	x.dips = append(x.dips, math.Abs(1-first.Calls/first.Wants-f.Fleet.HitOver(5000)), math.Abs(1-found.Calls/found.Wants-f.Fleet.HitOver(window)))
	all, told := 0.0, 0.0
	for i, a := range f.Added {
		one(a, (found.By[i]/window-base.By[i]/watch)*1000) // as who has no twin finds it
		v := (found.By[i] - still.By[i]) / window * 1000
		x.last[i] = v
		all, told = all+v, told+a.Value
	}
	c.Added(told, all)
	x.found += math.Abs(all)
	x.foretold += told
	x.off += math.Abs(told - all)
	x.nothing += math.Abs(all)
	x.traffic += math.Abs(all - moved/callcache.Shards*base.Wants/watch*1000*fleetWas)
}

func (x *score) rows(r *report) {
	mean := func(xs []float64) (m, worst float64) {
		for _, v := range xs {
			m, worst = m+v/float64(len(xs)), max(worst, v)
		}
		return
	}
	m, worst := mean(x.hits)
	r.most("simulated: steady hit rate, mean error", m, "share", 0.02)
	r.most("simulated: steady hit rate, worst error", worst, "share", 0.05)
	m, _ = mean(x.still)
	r.row("simulated: as if nothing changed", m, "share")
	m, _ = mean(x.share)
	r.row("simulated: by share of traffic", m, "share")
	m, worst = mean(x.dips)
	r.most("simulated: course after the move, error", m, "share", 0.02)
	r.row("simulated: course, worst error", worst, "share")
	r.most("simulated: added calls below, error", 100*x.off/x.found, "%", 10)
	r.row("simulated: added, as if nothing changed", 100*x.nothing/x.found, "%")
	r.row("simulated: added, by share of traffic", 100*x.traffic/x.found, "%")
	r.least("simulated: inside the 90% interval", x.inside/x.asked, "share", 0.9)
}

// costs measures the sampler: time of one want, and bytes.
func (c forecastCmd) costs(r *report) error {
	s, err := forecast.NewSampler(0, []forecast.Class{{Name: "a", For: 60_000}})
	if err != nil {
		return err
	}
	s.Own(0, func(int) bool { return true })
	const n = 2_000_000
	x := uint64(c.Seed)
	began := time.Now()
	for i := range n {
		x = x*6364136223846793005 + 1442695040888963407
		key := (x >> 40) % (1 << (x >> 33 % 20)) // few keys often, many seldom
		h := key * 0x9E3779B97F4A7C15
		h ^= h >> 29
		s.Want(int64(i/20), h, int(h%1024), 0, 500)
	}
	r.most("sampling of one want", float64(time.Since(began).Nanoseconds())/n/1000, "us", 1)
	began = time.Now()
	for i := range n {
		s.Want(n/20+int64(i/20), uint64(i%1000)<<10, i%1024, 0, 500)
	}
	r.most("sampling of one want, all of them sampled", float64(time.Since(began).Nanoseconds())/n/1000, "us", 1)
	r.most("sampler of a box, whatever comes", float64(unsafe.Sizeof(*s))/1024, "KB", 256)
	parts, err := s.Sketch(n/20, 1).Parts()
	if err != nil {
		return err
	}
	bytes := 0
	for _, p := range parts {
		bytes += len(p)
	}
	r.most("sketch of all slices on its way", float64(bytes)/1024, "KB", 256)
	return nil
}
