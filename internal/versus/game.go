// Package versus plays versions of this program, and deciders of its pure modules, against each other on the same
// seeds. A Game gives a value for a contender and a seed; Play pairs two contenders by seed, until a Stopper has seen
// enough, and the Table tells who won where. The fleets of real processes are those of package standin.
package versus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Outcome is what came of one contender's game under one seed.
type Outcome struct {
	Value  float64            // what is compared; more is better
	Counts map[string]float64 // what else was seen, by name
}

// Contender is one side.
type Contender[T any] struct {
	Name string
	Is   T
}

// Game is what contenders of a kind play. It must give each of them the same under one seed.
type Game[T any] struct {
	Name     string
	Together bool // all sides of a seed at a time: for processes, which then share the machine's other load
	Play     func(seed uint64, x T) (Outcome, error)
}

// Stopper is fed the differences of a set of games, and tells when they decide.
type Stopper interface {
	Add(diff float64) (decided bool, why string)
}

// Fixed decides after so many differences.
func Fixed(seeds int) Stopper { return &fixed{left: seeds, of: seeds} }

type fixed struct{ left, of int }

func (f *fixed) Add(float64) (bool, string) {
	f.left--
	return f.left <= 0, fmt.Sprintf("all %d seeds were played", f.of)
}

// Row is one seed's games, in the order of the table's names.
type Row struct {
	Seed     uint64
	Outcomes []Outcome
}

// Diff is by how much the first side was better than the second.
func (r Row) Diff() float64 { return r.Outcomes[0].Value - r.Outcomes[1].Value }

// Table is a set of games.
type Table struct {
	Game  string
	Names []string
	Rows  []Row
	Why   string // the games ended
}

// Set plays all sides on the seeds from first on, at most so many; stop is fed the first side's value less the
// second's. Further sides are played beside them. An error names the seed and the side.
func Set[T any](g Game[T], first uint64, most int, stop Stopper, sides ...Contender[T]) (*Table, error) {
	if len(sides) < 2 {
		return nil, errors.New("a set of games needs two sides")
	}
	t := &Table{Game: g.Name, Why: fmt.Sprintf("%d seeds are the most", most)}
	for _, s := range sides {
		t.Names = append(t.Names, s.Name)
	}
	for seed := first; seed < first+uint64(most); seed++ {
		row := Row{seed, make([]Outcome, len(sides))}
		errs := make([]error, len(sides))
		var all sync.WaitGroup
		for i, s := range sides {
			play := func() {
				if row.Outcomes[i], errs[i] = g.Play(seed, s.Is); errs[i] != nil {
					errs[i] = fmt.Errorf("%s: seed %d, %s: %w", g.Name, seed, s.Name, errs[i])
				}
			}
			if g.Together {
				all.Go(play)
			} else {
				play()
			}
		}
		all.Wait()
		if err := errors.Join(errs...); err != nil {
			return t, err
		}
		t.Rows = append(t.Rows, row)
		if decided, why := stop.Add(row.Diff()); decided {
			t.Why = why
			break
		}
	}
	return t, nil
}

// Wins counts the seeds on which the first side had more, the second had, and neither.
func (t *Table) Wins() (first, second, ties int) {
	for _, r := range t.Rows {
		switch d := r.Diff(); {
		case d > 0:
			first++
		case d < 0:
			second++
		default:
			ties++
		}
	}
	return first, second, ties
}

// Mean is a side's mean of a count over all seeds; "" = of the value.
func (t *Table) Mean(side int, count string) float64 {
	sum := 0.0
	for _, r := range t.Rows {
		if count == "" {
			sum += r.Outcomes[side].Value
		} else {
			sum += r.Outcomes[side].Counts[count]
		}
	}
	return sum / float64(max(1, len(t.Rows)))
}

// Sum is a side's sum of a count over all seeds.
func (t *Table) Sum(side int, count string) float64 {
	return t.Mean(side, count) * float64(len(t.Rows))
}

// String has a line a seed, then the means and wins.
func (t *Table) String() string {
	var b strings.Builder
	names := map[string]bool{}
	line := func(head string, outs []Outcome, diff string) {
		fmt.Fprintf(&b, "%-9s", head)
		for i, o := range outs {
			fmt.Fprintf(&b, " | %s %.4f", t.Names[i], o.Value)
			for _, k := range slices.Sorted(maps.Keys(o.Counts)) {
				names[k] = true
				fmt.Fprintf(&b, ", %s %.4g", k, o.Counts[k])
			}
		}
		fmt.Fprintf(&b, " | %s\n", diff)
	}
	fmt.Fprintf(&b, "%s\n", t.Game)
	for _, r := range t.Rows {
		line(fmt.Sprint("seed ", r.Seed), r.Outcomes, fmt.Sprintf("%+.4f", r.Diff()))
	}
	means := make([]Outcome, len(t.Names))
	for i := range means {
		means[i] = Outcome{t.Mean(i, ""), map[string]float64{}}
		for k := range names {
			means[i].Counts[k] = t.Mean(i, k)
		}
	}
	line("mean", means, fmt.Sprintf("%+.4f", means[0].Value-means[1].Value))
	first, second, ties := t.Wins()
	fmt.Fprintf(&b, "wins by seed: %s %d, %s %d, neither %d; %s", t.Names[0], first, t.Names[1], second, ties, t.Why)
	return b.String()
}
