// Package plan moves slices in an order and at a pace such that the calls added below stay under a budget. It does no
// I/O and reads no clock: times are arguments, in Unix milliseconds. A plan is made anew, from what was moved and how
// that came out, whenever something happened that it did not expect.
package plan

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"larchscale/internal/fleet/forecast"
)

// Exact is up to how many moves the shortest plan is searched for; with more it is greedy.
const Exact = 7

// ErrInput is what Make cannot take.
var ErrInput = errors.New("plan")

// Moved is a slice that has been moved, or has moved by itself as its box died: its added calls are there, whatever
// the budget.
type Moved struct {
	forecast.Excess
	At int64
}

// Input is all that a plan follows from.
type Input struct {
	Now    int64
	Tick   int64     // ms, that of the excesses
	Budget []float64 // added calls a second, by class
	Moves  []forecast.Excess
	Moved  []Moved
	Rise   []float64 // of Foretell: what stays added once all has moved is taken off the budget; nil = nothing
	Margin float64   // standard deviations of what is counted in a tick (Poisson) to stay away from the budget by
	Scale  float64   // of added calls, found by foretold so far; 0 = nothing was found yet
}

// Step is some slices that move together.
type Step struct {
	At     int64 // not before
	Slices []uint16
	Added  []float64 // expected of all that has moved by then, calls a second in the tick after At, by class
	Over   bool      // a slice that passes the budget by itself
	Why    string
}

// Plan is the steps in their order.
type Plan struct {
	Steps   []Step
	Exact   bool
	Lasts   int64 // ms from Now to the last step
	AtLeast int64 // no plan within the budget is shorter
	Why     string
}

// state is the load by tick from Now on, and class.
type state struct {
	in    *Input
	scale float64
	limit []float64 // what the budget leaves
	load  [][]float64
}

func (s *state) at(t int) []float64 {
	for len(s.load) <= t {
		s.load = append(s.load, make([]float64, len(s.in.Budget)))
	}
	return s.load[t]
}

// put adds a move's calls from a tick on, sign times.
func (s *state) put(x *forecast.Excess, t int, sign float64) {
	for c, row := range x.Added {
		for i, v := range row {
			if t+i >= 0 {
				s.at(t + i)[c] += sign * s.scale * v
			}
		}
	}
}

// fits tells that a move at a tick keeps the budget for as long as it adds calls.
func (s *state) fits(x *forecast.Excess, t int) bool {
	for c, row := range x.Added {
		for i, v := range row {
			if v > 0 && s.at(t + i)[c]+s.scale*v > s.limit[c]*(1+1e-9) {
				return false
			}
		}
	}
	return true
}

// alone tells that a move can never fit.
func (s *state) alone(x *forecast.Excess) bool {
	for c, row := range x.Added {
		if len(row) > 0 && s.scale*row[0] > s.limit[c] {
			return true
		}
	}
	return false
}

// weight is the largest share of a budget that a move takes.
func (s *state) weight(x *forecast.Excess) (w float64) {
	for c, row := range x.Added {
		if len(row) > 0 {
			w = max(w, row[0]/s.limit[c])
		}
	}
	return w
}

// Make returns the plan. The greedy one starts at each tick, the largest first, all that fits. As excesses never rise,
// what does not fit finds some class's load over its budget less the largest move, so the calls of all moves bound the
// length: sum over classes of calls / (budget - largest), in ticks. No plan is shorter than P(k) / budget - k ticks, for
// any k, with P(k) what all moves add in their first k ticks: that lies within the plan's length and k ticks.
func Make(in *Input) (*Plan, error) {
	s, err := newState(in)
	if err != nil {
		return nil, err
	}
	if err := s.putMoved(); err != nil {
		return nil, err
	}
	fit, over, err := s.sortMoves()
	if err != nil {
		return nil, err
	}
	p := &Plan{Exact: len(fit) <= Exact, Why: "the largest first, all that fits at each tick"}
	if len(over) == 0 {
		p.AtLeast = int64(s.atLeast()) * in.Tick
	}
	starts := s.greedy(fit)
	if p.Exact {
		p.Why = "no plan within the budget ends sooner"
		starts = s.best(fit, starts)
	}
	last := s.addSteps(p, fit, starts)
	last = s.addOver(p, over, last)
	p.Lasts = int64(last) * in.Tick
	return p, nil
}

// newState checks the input but for its moves, and returns the state before any move.
func newState(in *Input) (*state, error) {
	s := &state{in: in, scale: in.Scale}
	if s.scale == 0 {
		s.scale = 1
	}
	if in.Tick <= 0 || len(in.Budget) == 0 || !(s.scale > 0) {
		return nil, fmt.Errorf("%w: ticks of %d ms, %d budgets, scale %v", ErrInput, in.Tick, len(in.Budget), in.Scale)
	}
	if in.Rise != nil && len(in.Rise) != len(in.Budget) {
		return nil, fmt.Errorf("%w: %d rises, %d budgets", ErrInput, len(in.Rise), len(in.Budget))
	}
	for class, budget := range in.Budget {
		left := budget - in.Margin*math.Sqrt(budget*1000/float64(in.Tick))
		if in.Rise != nil {
			left -= max(0, in.Rise[class])
		}
		if !(left > 0) {
			return nil, fmt.Errorf("%w: of a budget of %v calls/s %.1f are left once the margin and what stays added are off", ErrInput, budget, left)
		}
		s.limit = append(s.limit, left)
	}
	return s, nil
}

// check finds a move that does not fit the input: its added calls are of each class, and never rise.
func (in *Input) check(x *forecast.Excess) error {
	if len(x.Added) != len(in.Budget) {
		return fmt.Errorf("%w: slice %d has %d classes, %d budgets", ErrInput, x.Slice, len(x.Added), len(in.Budget))
	}
	for _, row := range x.Added {
		for i, v := range row {
			if !(v >= 0) || i > 0 && v > row[i-1] {
				return fmt.Errorf("%w: slice %d: added calls that rise or cannot be", ErrInput, x.Slice)
			}
		}
	}
	return nil
}

// putMoved adds the calls of what has been moved.
func (s *state) putMoved() error {
	for i := range s.in.Moved {
		m := &s.in.Moved[i]
		if err := s.in.check(&m.Excess); err != nil {
			return err
		}
		tick := math.Floor(float64(m.At-s.in.Now) / float64(s.in.Tick))
		s.put(&m.Excess, int(tick), 1)
	}
	return nil
}

// sortMoves returns the moves that fit the budget and those that pass it by themselves, each with the largest first.
func (s *state) sortMoves() (fit, over []forecast.Excess, err error) {
	for i := range s.in.Moves {
		x := &s.in.Moves[i]
		if err := s.in.check(x); err != nil {
			return nil, nil, err
		}
		if s.alone(x) {
			over = append(over, *x)
		} else {
			fit = append(fit, *x)
		}
	}
	order := func(a, b forecast.Excess) int {
		return cmp.Or(-cmp.Compare(s.weight(&a), s.weight(&b)), cmp.Compare(a.Slice, b.Slice))
	}
	slices.SortFunc(fit, order)
	slices.SortFunc(over, order)
	return fit, over, nil
}

// atLeast returns the ticks that every plan within the budget takes, if each move fits by itself.
func (s *state) atLeast() float64 {
	least := 0.0
	for class, row := range s.callsByTick() {
		sum := 0.0 // P(k)
		for k, n := range row {
			sum += n
			least = max(least, math.Ceil(sum/s.limit[class]-1e-6)-float64(k+1))
		}
	}
	return least
}

// callsByTick returns the calls that all moves together add in each tick after their own start, by class and tick.
func (s *state) callsByTick() [][]float64 {
	calls := make([][]float64, len(s.in.Budget))
	for i := range s.in.Moves {
		for class, row := range s.in.Moves[i].Added {
			for k, v := range row {
				if len(calls[class]) <= k {
					calls[class] = append(calls[class], 0)
				}
				calls[class][k] += s.scale * v
			}
		}
	}
	return calls
}

// addSteps adds the moves to the plan, those of one tick as one step, and returns the last tick.
func (s *state) addSteps(p *Plan, moves []forecast.Excess, starts []int) (last int) {
	byTick := map[int][]uint16{}
	for i, tick := range starts {
		byTick[tick] = append(byTick[tick], moves[i].Slice)
		s.put(&moves[i], tick, 1)
	}
	for _, tick := range slices.Sorted(maps.Keys(byTick)) {
		moved := byTick[tick]
		slices.Sort(moved)
		p.Steps = append(p.Steps, Step{At: s.time(tick), Slices: moved, Added: slices.Clone(s.at(tick)), Why: "within the budget"})
		last = tick
	}
	return last
}

// addOver adds the moves that pass the budget by themselves, each when nothing else adds any longer, and returns the
// last tick.
func (s *state) addOver(p *Plan, moves []forecast.Excess, last int) int {
	for i := range moves {
		for slices.Max(s.at(last)) >= 1e-9 {
			last++
		}
		s.put(&moves[i], last, 1)
		why := fmt.Sprintf("it alone is %.1f times a budget: it moves when nothing else adds", s.scale*s.weight(&moves[i]))
		p.Steps = append(p.Steps, Step{At: s.time(last), Slices: []uint16{moves[i].Slice}, Added: slices.Clone(s.at(last)), Over: true, Why: why})
	}
	return last
}

// time returns when a tick begins, in Unix milliseconds.
func (s *state) time(tick int) int64 { return s.in.Now + int64(tick)*s.in.Tick }

// greedy gives the tick of each move, and leaves the load as it was.
func (s *state) greedy(moves []forecast.Excess) []int {
	starts := make([]int, len(moves))
	left := make([]int, len(moves))
	for i := range left {
		left[i] = i
	}
	for t := 0; len(left) > 0; t++ {
		left = slices.DeleteFunc(left, func(i int) bool {
			ok := s.fits(&moves[i], t)
			if ok {
				starts[i] = t
				s.put(&moves[i], t, 1)
			}
			return ok
		})
	}
	for i := range moves {
		s.put(&moves[i], starts[i], -1)
	}
	return starts
}

// best searches all orders for the one that ends first (then: whose moves start sooner), each move at the earliest
// tick at which it fits, and cuts off what is no better than the best so far. Some order gives a shortest plan: take
// the moves of one by their starts, and none starts later than there.
func (s *state) best(moves []forecast.Excess, first []int) []int {
	best := slices.Clone(first)
	score := func(starts []int) (last, sum int) {
		for _, t := range starts {
			last, sum = max(last, t), sum+t
		}
		return
	}
	starts := make([]int, len(moves))
	used := make([]bool, len(moves))
	var search func(n, last, sum int)
	search = func(n, last, sum int) {
		bl, bs := score(best)
		if last > bl || last == bl && sum >= bs {
			return
		}
		if n == len(moves) {
			best = slices.Clone(starts)
			return
		}
		for i := range moves {
			if used[i] {
				continue
			}
			t := 0
			for !s.fits(&moves[i], t) {
				t++
			}
			used[i], starts[i] = true, t
			s.put(&moves[i], t, 1)
			search(n+1, max(last, t), sum+t)
			s.put(&moves[i], t, -1)
			used[i] = false
		}
	}
	search(0, 0, 0)
	return best
}
