package place

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// MaxWeight bounds the weight of a box.
const MaxWeight = 1e6

// Member is a box that may be a home. Its share of the slices goes by its weight against that of the others; 0 = it
// shall be home to none, and gives away what it has.
type Member struct {
	Name, Zone string
	Weight     float64
}

// check finds what of a fleet cannot be.
func check(boxes []Member) error {
	if len(boxes) == 0 || len(boxes) > MaxBoxes {
		return fmt.Errorf("placement on %d boxes, 1 to %d can be: %w", len(boxes), MaxBoxes, ErrInvalid)
	}
	names := map[string]bool{}
	sum := 0.0
	for _, b := range boxes {
		switch {
		case b.Name == "" || len(b.Name) > maxName || len(b.Zone) > maxName:
			return fmt.Errorf("box %.70q in zone %.70q: a name of 1 to %d bytes is missing: %w", b.Name, b.Zone, maxName, ErrInvalid)
		case names[b.Name]:
			return fmt.Errorf("box %s is there twice: %w", b.Name, ErrInvalid)
		case !(b.Weight >= 0 && b.Weight <= MaxWeight):
			return fmt.Errorf("box %s has the weight %v, 0 to %v can be: %w", b.Name, b.Weight, MaxWeight, ErrInvalid)
		}
		names[b.Name] = true
		sum += b.Weight
	}
	if sum == 0 {
		return fmt.Errorf("no box of %d has a weight: %w", len(boxes), ErrInvalid)
	}
	return nil
}

// Target derives the homes that all slices should have, from those that they have: each box its share by weight, the
// two of a slice in different zones where there are two, and as few new homes as that takes. Which slices a box takes
// from those that have too many is drawn by a hash of both (the idea of rendezvous hashing, Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates", 1998), so that its slices have all others for partners. No box is
// further than 2 from its share of homes (a zone, or a box of a single zone, has no more than one home of each slice).
func Target(s *State, boxes []Member) ([]Change, error) {
	if err := check(boxes); err != nil {
		return nil, err
	}
	l := newLevel(s, boxes)
	l.homes()
	l.firsts()
	out := make([]Change, Slices)
	for i, p := range l.pairs {
		out[i] = Change{Slice: i, First: l.boxes[p[0]].Name}
		if p[1] >= 0 {
			out[i].Second = l.boxes[p[1]].Name
		}
	}
	return out, nil
}

// weighted are the boxes that have a weight, by zone and name, and whether they are in several zones.
func weighted(boxes []Member) (out []Member, zoned bool) {
	out = slices.DeleteFunc(slices.Clone(boxes), func(b Member) bool { return b.Weight == 0 })
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
	})
	return out, out[0].Zone != out[len(out)-1].Zone
}

// group is what can hold one home of a slice at most: a zone where there are several, else a box.
type group struct {
	from, to int // its boxes
	weight   float64
	share    float64 // of the homes
}

// groups are what the boxes of weighted share the homes as: by weight, but none has more than one of each slice; what
// it would have over that falls to the others.
func groups(boxes []Member, zoned bool) (out []group) {
	sum := 0.0
	for i, b := range boxes {
		if i == 0 || !zoned || b.Zone != boxes[i-1].Zone {
			out = append(out, group{from: i})
		}
		g := &out[len(out)-1]
		g.to, g.weight = i+1, g.weight+b.Weight
		sum += b.Weight
	}
	over, rest := -1, 0.0 // the one that has more than half of the weight
	for i, g := range out {
		if g.weight > sum/2 {
			over = i
		} else {
			rest += g.weight
		}
	}
	for i := range out {
		switch g := &out[i]; {
		case i == over:
			g.share = Slices
		case over >= 0:
			g.share = Slices * g.weight / rest
		default:
			g.share = 2 * Slices * g.weight / sum
		}
	}
	return out
}

// apportion makes whole numbers with a given sum of shares: each is rounded down, and what is left goes to those that
// have more already, then to those that lost most by it.
func apportion(shares []float64, have []int, sum int) []int {
	out := make([]int, len(shares))
	order := make([]int, len(shares))
	for i, x := range shares {
		out[i], order[i] = int(x), i
		sum -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		more := func(i int) int { return min(1, max(0, have[i]-out[i])) }
		return cmp.Or(more(b)-more(a), cmp.Compare(shares[b]-math.Floor(shares[b]), shares[a]-math.Floor(shares[a])))
	})
	for _, i := range order[:max(0, min(sum, len(order)))] {
		out[i]++
	}
	return out
}
