package place

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
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

// Target derives the homes that all slices should have, by weighted rendezvous (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998): each box draws a time for each slice, exponential with its weight
// for rate, from a hash of both. The earliest is the first home, the earliest in another zone the second; with one zone
// the second earliest. What a box draws does not depend on the others: when one comes, only slices that it wins have
// another home, and of each of them just one. The shares are as even as drawing makes them: see docs/design/place.md.
func Target(boxes []Member) ([]Change, error) {
	if err := check(boxes); err != nil {
		return nil, err
	}
	boxes = slices.DeleteFunc(slices.Clone(boxes), func(b Member) bool { return b.Weight == 0 })
	slices.SortFunc(boxes, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	seeds := make([]uint64, len(boxes))
	for i, b := range boxes {
		seeds[i] = xxhash.Sum64String(b.Name)
	}
	out := make([]Change, Slices)
	times := make([]float64, len(boxes))
	for slice := range out {
		first, second := 0, -1
		for i := range boxes {
			if times[i] = draw(seeds[i], slice) / boxes[i].Weight; times[i] < times[first] {
				first = i
			}
		}
		away := func(i int) bool { return boxes[i].Zone != boxes[first].Zone }
		for i := range boxes {
			if i != first && (second < 0 || away(i) && !away(second) || away(i) == away(second) && times[i] < times[second]) {
				second = i
			}
		}
		out[slice] = Change{Slice: slice, First: boxes[first].Name}
		if second >= 0 {
			out[slice].Second = boxes[second].Name
		}
	}
	return out, nil
}

// draw is a time, exponential with rate 1, from a box's seed and a slice.
func draw(seed uint64, slice int) float64 {
	var b [10]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint16(b[8:], uint16(slice))
	return -math.Log((float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53))
}
