package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat/distuv"

	"larchscale/internal/sequential"
)

type stopperCmd struct {
	Trials int    `default:"2000" help:"Trials of A against A; a quarter as many of each other kind."`
	Seed   uint64 `default:"1" help:"Of all that is drawn."`
	Boxes  int    `default:"5" help:"Real processes under a trial; 0 = none."`
}

// What the trials of the measure are planned for.
const (
	stopperBase   = 0.85
	stopperEffect = 0.04
	stopperRate   = 10 // units a second and box
	stopperBlock  = 60 // seconds
	stopperBoxes  = 3
)

// Run measures wrong winners over looks at every second, units until a stop beside a test with one look, winners that
// are missed, and stops for harm where there is none.
func (c stopperCmd) Run(r *report) error {
	p := sequential.Plan{Alpha: 0.05, Futility: 0.05, Harm: 0.01, Void: 0.001, Base: stopperBase, Effect: stopperEffect, Margin: stopperEffect / 2,
		Ratio: 0.5, Least: 100, Guards: []sequential.Guard{{Name: "in time", Base: 0.9, Tolerance: 0.01}}}
	if err := p.Check(); err != nil {
		return err
	}
	fixed := fixedUnits(p.Alpha, 0.9, stopperEffect)
	same := c.trials(&p, stopperWorld{}, c.Trials, 4*fixed)
	jump := c.trials(&p, stopperWorld{jump: true}, c.Trials/4, 2*fixed)
	late := c.trials(&p, stopperWorld{late: true}, c.Trials/4, 2*fixed)
	gain := c.trials(&p, stopperWorld{effect: stopperEffect, unlooked: true}, c.Trials/4, 2*fixed)
	twice := c.trials(&p, stopperWorld{effect: 2 * stopperEffect}, c.Trials/4, 2*fixed)

	share := func(rs []trialRun, is func(trialRun) bool) float64 {
		n := 0
		for _, x := range rs {
			if is(x) {
				n++
			}
		}
		return float64(n) / float64(len(rs))
	}
	won := func(x trialRun) bool { return x.verdict == sequential.A || x.verdict == sequential.B }
	ends := func(v sequential.Verdict) func(trialRun) bool { return func(x trialRun) bool { return x.verdict == v } }
	bound := func(alpha float64, n int) float64 {
		return math.Floor(1e4*(alpha+math.Sqrt(alpha*(1-alpha)/float64(n)))) / 100
	}
	// The median over all trials: one that never had a winner stands past every other.
	median := func(rs []trialRun) float64 {
		units := make([]float64, len(rs))
		for i, x := range rs {
			if units[i] = float64(x.units) / fixed; x.verdict != sequential.B {
				units[i] = math.Inf(1)
			}
		}
		slices.Sort(units)
		return units[len(units)/2]
	}

	r.row("units of a fixed test of 90% power", fixed, "units")
	r.most(fmt.Sprintf("false winners, A against A, %d", len(same)), 100*share(same, won), "%", bound(p.Alpha, len(same)))
	r.most(fmt.Sprintf("false winners, load jumps to 1.6, %d", len(jump)), 100*share(jump, won), "%", bound(p.Alpha, len(jump)))
	r.most(fmt.Sprintf("false winners, reports lost and late, %d", len(late)), 100*share(late, won), "%", bound(p.Alpha, len(late)))
	r.least("false winners of a z-test at every look", 100*share(same, func(x trialRun) bool { return x.repeated }), "%", 20)
	r.most("false stops for harm", 100*share(same, ends(sequential.Harm)), "%", bound(p.Harm, len(same)))
	r.most("false stops for a wrong split", 100*share(same, ends(sequential.Void)), "%", bound(p.Void, len(same)))
	r.row("A against A ended as none", 100*share(same, ends(sequential.NoDifference)), "%")
	r.row("power of the fixed test, as measured", 100*share(gain, func(x trialRun) bool { return x.fixed }), "%")
	r.most("units to a stop, effect as planned", median(gain), "of fixed", 0.8)
	r.most("units to a stop, twice the effect", median(twice), "of fixed", 0.4)
	r.most("winners missed in twice the fixed units", 100*(1-share(gain, ends(sequential.B))), "%", 10)
	r.most("of them ended as none", 100*share(gain, ends(sequential.NoDifference)), "%", bound(p.Futility, len(gain)))
	if c.Boxes == 0 {
		return nil
	}
	return c.stops(r)
}

// fixedUnits is how many units, both arms together, a two-sided z-test with one look needs for a power. A unit is worth
// all or nothing.
func fixedUnits(alpha, power, effect float64) float64 {
	z := distuv.UnitNormal.Quantile(1-alpha/2) + distuv.UnitNormal.Quantile(power)
	a, b := stopperBase, stopperBase+effect
	return math.Ceil(2 * z * z * (a*(1-a) + b*(1-b)) / (effect * effect))
}

// zTest tells that a two-sided z-test on the counts as they are finds a difference.
func zTest(strata []sequential.Stratum, critical float64) bool {
	var n, mean, spread [2]float64
	for _, s := range strata {
		for a, x := range s.Arms {
			n[a] += float64(x.N)
			mean[a] += x.Values[0].Sum
			spread[a] += x.Values[0].Squares
		}
	}
	for a := range n {
		if n[a] < 2 {
			return false
		}
		mean[a] /= n[a]
		spread[a] = spread[a]/n[a] - mean[a]*mean[a]
	}
	se := math.Sqrt(spread[0]/n[0] + spread[1]/n[1])
	return se > 0 && math.Abs(mean[1]-mean[0]) > critical*se
}

// stopperWorld is what the units of a trial are drawn from.
type stopperWorld struct {
	effect   float64 // by which B is better
	jump     bool    // load goes to 1.6 of what is carried in the middle of each second block
	late     bool    // a box's counts come in one second of three
	unlooked bool    // the fixed test is judged too, so drawing goes on to its one look
}

type trialRun struct {
	verdict         sequential.Verdict
	units           int
	repeated, fixed bool // what a z-test at every look, and one at its one look, found
}

// trials runs so many from one seed, on all processors.
func (c stopperCmd) trials(p *sequential.Plan, w stopperWorld, n int, most float64) []trialRun {
	out := make([]trialRun, n)
	var all sync.WaitGroup
	procs := runtime.GOMAXPROCS(0)
	for k := range procs {
		all.Go(func() {
			for i := k; i < n; i += procs {
				out[i] = w.run(p, rand.New(rand.NewPCG(c.Seed, uint64(i))), most)
			}
		})
	}
	all.Wait()
	return out
}

// run draws the units of one trial until it has ended, or as many units as may be are drawn. A trial without a
// difference is drawn to its end for the z-test that is repeated beside it.
func (w stopperWorld) run(p *sequential.Plan, rng *rand.Rand, most float64) (out trialRun) {
	critical := distuv.UnitNormal.Quantile(1 - p.Alpha/2)
	fixed := int(most / 2)
	var strata, heard []sequential.Stratum
	units := 0
	for second := 0; float64(units) < most; second++ {
		if second%stopperBlock == 0 {
			for b := range stopperBoxes {
				strata = append(strata, sequential.Stratum{Box: fmt.Sprintf("box%d", b), Block: second / stopperBlock})
			}
		}
		load := 1.0
		if w.jump && second/stopperBlock%2 == 1 && second%stopperBlock >= stopperBlock/2 {
			load = 1.6
		}
		for b := range stopperBoxes {
			s := &strata[len(strata)-stopperBoxes+b]
			for range int(stopperRate * load) {
				arm, x, in := rng.IntN(2), 0.0, 0.0
				if rng.Float64() < (stopperBase+float64(arm)*w.effect)/load {
					x = 1
				}
				if rng.Float64() < 0.9/load {
					in = 1
				}
				a := &s.Arms[arm]
				a.Assigned++
				a.N++
				for j, v := range [2]float64{x, in} {
					a.Values[j].Sum += v
					a.Values[j].Squares += v
				}
				units++
				if w.unlooked && units == fixed {
					out.fixed = zTest(strata, critical)
				}
			}
		}
		seen := strata
		if w.late {
			for len(heard) < len(strata) {
				heard = append(heard, sequential.Stratum{Box: strata[len(heard)].Box, Block: strata[len(heard)].Block})
			}
			for b := range stopperBoxes {
				if rng.IntN(3) == 0 {
					for i := b; i < len(strata); i += stopperBoxes {
						heard[i] = strata[i]
					}
				}
			}
			seen = heard
		}
		if out.verdict == sequential.Continue {
			r := sequential.Evaluate(p, seen, false)
			out.verdict, out.units = r.Verdict, units
		}
		if w.effect == 0 && !w.jump && !w.late {
			out.repeated = out.repeated || units > int(2*p.Least) && zTest(strata, critical)
			continue
		}
		if out.verdict != sequential.Continue && !(w.unlooked && units < fixed) {
			break
		}
	}
	return out
}
