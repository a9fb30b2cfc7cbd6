package plan

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"larchscale/internal/fleet/forecast"
)

// draw makes moves of never rising excess in two classes.
func draw(t *rapid.T, n int) (out []forecast.Excess) {
	for i := range n {
		x := forecast.Excess{Slice: uint16(i), Added: make([][]float64, 2)}
		for c := range x.Added {
			v := rapid.Float64Range(0, 10).Draw(t, "calls")
			for range rapid.IntRange(1, 4).Draw(t, "ticks") {
				x.Added[c] = append(x.Added[c], v)
				v *= rapid.Float64Range(0, 1).Draw(t, "fall")
			}
		}
		out = append(out, x)
	}
	return out
}

// follow adds up what a plan's steps load each tick with, from nothing but the steps and the input.
func follow(in *Input, p *Plan) (load [][]float64, over map[int]bool, seen map[uint16]int) {
	load, over, seen = make([][]float64, 400), map[int]bool{}, map[uint16]int{}
	for i := range load {
		load[i] = make([]float64, len(in.Budget))
	}
	put := func(x *forecast.Excess, at int64, big bool) {
		for c, row := range x.Added {
			for i, v := range row {
				if k := int((at-in.Now)/in.Tick) + i; k >= 0 {
					load[k][c] += v * max(in.Scale, 0.001)
					over[k] = over[k] || big
				}
			}
		}
	}
	for i := range in.Moved {
		put(&in.Moved[i].Excess, in.Moved[i].At, true)
	}
	for _, s := range p.Steps {
		for _, slice := range s.Slices {
			seen[slice]++
			put(&in.Moves[slice], s.At, s.Over)
		}
	}
	return load, over, seen
}

// Each slice moves once; but for what is over by itself or has moved already no tick is over the budget; the greedy
// plan is no longer than what is proved of it, and no plan shorter than AtLeast.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Now: 5000, Tick: 1000, Budget: []float64{rapid.Float64Range(8, 40).Draw(t, "b"), rapid.Float64Range(8, 40).Draw(t, "b")}, Scale: rapid.Float64Range(0.5, 1.5).Draw(t, "scale"),
			Moves: draw(t, rapid.IntRange(1, 30).Draw(t, "n"))}
		for i, x := range draw(t, rapid.IntRange(0, 3).Draw(t, "moved")) {
			x.Slice += 900
			in.Moved = append(in.Moved, Moved{x, 3000 + 1000*int64(i)})
		}
		p, err := Make(in)
		if err != nil {
			t.Fatal(err)
		}
		load, over, seen := follow(in, p)
		bound, big := 2.0, false
		for c, b := range in.Budget {
			calls, largest := 0.0, 0.0
			for i, x := range in.Moves {
				if seen[uint16(i)] != 1 {
					t.Fatalf("slice %d moves %d times", i, seen[uint16(i)])
				}
				for _, v := range x.Added[c] {
					calls += v * in.Scale
				}
				largest = max(largest, x.Added[c][0]*in.Scale)
			}
			for k := range load {
				if load[k][c] > b*(1+1e-6) && !over[k] {
					t.Fatalf("tick %d, class %d: %v of %v", k, c, load[k][c], b)
				}
			}
			big = big || largest >= b
			bound += calls / (b - largest)
		}
		if len(in.Moved) == 0 && !big && float64(p.Lasts/1000) > bound || p.Lasts < p.AtLeast {
			t.Fatalf("lasts %d ms, proved %v ticks, at least %d ms", p.Lasts, bound, p.AtLeast)
		}
	})
}

// For few slices no plan is shorter: all start times are tried.
func TestExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Tick: 1000, Budget: []float64{12, 12}, Scale: 1, Moves: draw(t, 4)}
		p, err := Make(in)
		if err != nil || !p.Exact {
			t.Fatal(p, err)
		}
		n := int(p.Lasts / 1000)
		for code := range n * n * n * n {
			try := &Plan{}
			for i, k := 0, code; i < 4; i, k = i+1, k/n {
				try.Steps = append(try.Steps, Step{At: int64(k%n) * 1000, Slices: []uint16{uint16(i)}})
			}
			load, _, _ := follow(in, try)
			ok := true
			for _, l := range load {
				ok = ok && l[0] <= 12 && l[1] <= 12
			}
			if ok {
				t.Fatalf("%d ticks, but the starts %d (base %d) end sooner", n, code, n)
			}
		}
	})
}

// A box that dies in the middle of a plan has used the budget up: what is left waits until it fits again, and with
// twice the calls found of those foretold it takes longer. One subject that is over the budget goes alone and last.
func TestReplan(t *testing.T) {
	x := func(slice uint16, v float64) forecast.Excess {
		return forecast.Excess{Slice: slice, Added: [][]float64{{v, v / 2, v / 4}}}
	}
	in := &Input{Tick: 1000, Budget: []float64{10}}
	for i := range 12 {
		in.Moves = append(in.Moves, x(uint16(i), 4))
	}
	p, err := Make(in)
	if err != nil || p.Steps[0].At != 0 || len(p.Steps[0].Slices) != 2 {
		t.Fatal(p, err)
	}
	in.Now, in.Moves = 1000, in.Moves[2:]
	in.Moved = []Moved{{x(0, 4), 0}, {x(1, 4), 0}, {x(50, 40), 1000}} // the last by itself
	q, err := Make(in)
	if err != nil || q.Steps[0].At != 4000 {
		t.Fatalf("%+v %v", q.Steps, err)
	}
	in.Scale = 2
	slow, err := Make(in)
	if err != nil || slow.Lasts <= q.Lasts {
		t.Fatal(slow.Lasts, q.Lasts, err)
	}
	in.Scale, in.Moves = 1, append(in.Moves, x(60, 25))
	hot, err := Make(in)
	if s := hot.Steps[len(hot.Steps)-1]; err != nil || !s.Over || len(s.Slices) != 1 || s.Added[0] != 25 {
		t.Fatal(hot.Steps, err)
	}
	in.Moves, in.Moved, in.Tick, in.Rise, in.Margin = in.Moves[:10], nil, 100_000, []float64{3}, 3 // 10 less 3 less 3 * sqrt(1000) / 100
	if tight, err := Make(in); err != nil || len(tight.Steps[0].Slices) != 1 {
		t.Fatal(tight, err)
	}
	for _, bad := range []*Input{{}, {Tick: 1000, Budget: []float64{10}, Rise: []float64{10}}, {Tick: 1, Budget: []float64{0}}, {Tick: 1, Budget: []float64{1}, Moves: []forecast.Excess{{Added: [][]float64{{1, 2}}}}}, {Tick: 1, Budget: []float64{1, 1}, Moves: in.Moves}} {
		if _, err := Make(bad); !errors.Is(err, ErrInput) {
			t.Error(bad, err)
		}
	}
}
