package place

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Next derives what the leader proposes towards the target of some boxes; nil = nothing now. Boxes are those that shall
// be homes, and those of weight 0 that live and shall not; a home that is not among them is taken to be lost with all
// that it had. How long a lost box is waited for is the caller's: meanwhile it leaves it among them.
//
// settled tells that the second home of a slice has all the records that its first has. A slice that has both its homes
// is changed only when it is settled, by one home at a time, and a box comes in as second: so what is first has had all
// records. At most limit slices are unsettled by that at a time. A slice that has lost one home gets another, limit of
// them an entry; those that have lost both get two new ones at once.
func Next(s *State, boxes []Member, limit int, settled func(slice int) bool) (*Entry, error) {
	target, err := Target(s, boxes)
	if err != nil {
		return nil, err
	}
	zones := map[string]string{}
	var come []string
	for _, b := range boxes {
		zones[b.Name] = b.Zone
		if b.Weight > 0 && s.place(b.Name) == 0 {
			come = append(come, b.Name)
		}
	}
	if come != nil {
		slices.Sort(come)
		return &Entry{Kind: Join, Boxes: come, Why: fmt.Sprintf("%d boxes have come", len(come))}, nil
	}
	has := func(name string) bool { _, ok := zones[name]; return ok }
	var none, half, whole []Change // by how many homes are left
	homes, missing := map[string]bool{}, map[string]bool{}
	unsettled := 0
	for i, want := range target {
		a, b := s.Pair(i)
		for _, n := range [2]string{a, b} {
			homes[n] = true
			if n != "" && !has(n) {
				missing[n] = true
			}
		}
		to := want
		switch {
		case has(a) && has(b):
			if !settled(i) {
				unsettled++
			} else if to = step(a, b, want, zones); to.First != a || to.Second != b {
				whole = append(whole, to)
			}
		case has(a) || has(b):
			left := a
			if !has(a) {
				left = b
			}
			if to = beside(left, want, zones); to.First != a || to.Second != b {
				half = append(half, to)
			}
		default:
			none = append(none, to)
		}
	}
	changes := slices.Concat(none, half[:max(0, min(limit, len(half)))], whole[:max(0, min(limit-unsettled, len(whole)))])
	if len(changes) > 0 {
		slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Slice, b.Slice) })
		return &Entry{Kind: Move, Epoch: s.Epoch, Changes: changes, Missing: slices.Sorted(maps.Keys(missing)),
			Why: fmt.Sprintf("%d slices have no home, %d one, %d others are not where they should be, %d unsettled", len(none), len(half), len(whole), unsettled)}, nil
	}
	if left := slices.DeleteFunc(slices.Clone(s.Boxes), func(n string) bool { return has(n) || homes[n] }); len(left) > 0 {
		return &Entry{Kind: Leave, Boxes: left, Why: fmt.Sprintf("%d boxes are home to nothing", len(left))}, nil
	}
	return nil, nil
}

// step is the next pair of a settled slice on its way from two homes to those that it should have.
func step(a, b string, want Change, zones map[string]string) Change {
	is := func(n string) bool { return n == a || n == b }
	switch {
	case is(want.First) && is(want.Second):
		return want
	case is(want.First):
		return beside(want.First, want, zones)
	case is(want.Second):
		return beside(want.Second, want, zones)
	}
	return beside(a, want, zones)
}

// beside is the pair of a box that has the records and goes on having them, and the one that comes in beside it: of
// those that it should be, one in another zone if there is one.
func beside(a string, want Change, zones map[string]string) Change {
	switch x, y := want.First, want.Second; {
	case a == x:
		return want
	case a == y, y == "", zones[x] != zones[a], zones[y] == zones[a]:
		return Change{want.Slice, a, x}
	default:
		return Change{want.Slice, a, y}
	}
}
