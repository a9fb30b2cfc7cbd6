package place

import "larchscale/internal/fleet/lease"

// View is what a box acts under: the homes that live. It shares nothing with the states that it was made from.
type View struct {
	Epoch  uint64               // log index of the last entry that moved a slice or changed who lives
	Lives  map[string]lease.Box // those that are not lost, by name
	Lost   []lease.Box          // those that are, until they live again
	homes  [Slices][2]string
	old    [Slices]bool // no home has come in since Origin
	origin uint64
}

// NewView derives it from what the log says. Of two homes that live the first is the one that the placement has first,
// unless its process began only when the other was a home already: what it had as a home went with the process before,
// and the other has it.
func NewView(l *lease.State, s *State) *View {
	v := &View{Epoch: max(l.Epoch, s.Epoch), Lives: map[string]lease.Box{}, origin: s.Origin}
	for _, b := range l.Boxes {
		if !b.Lost {
			v.Lives[b.Name] = b
		} else {
			v.Lost = append(v.Lost, b)
		}
	}
	for i := range v.homes {
		first, second := s.Pair(i)
		a, b := v.Lives[first], v.Lives[second]
		if a.Life != 0 && b.Life != 0 && a.Life > max(s.Since[i], b.Life) {
			a, b = b, a
		}
		if a.Life == 0 {
			a, b = b, a
		}
		v.homes[i] = [2]string{a.Name, b.Name}
		v.old[i] = s.Origin != 0 && s.Since[i] == s.Origin
	}
	return v
}

// Homes gives the homes of a slice that live, in their order: with the first lost the second is first. "" = none.
func (v *View) Homes(slice int) (first, second string) { return v.homes[slice][0], v.homes[slice][1] }

// Placed tells that slices have had homes.
func (v *View) Placed() bool { return v.origin != 0 }

// Original tells that a process has been a home of a slice since slices first had homes: it has seen all of it.
func (v *View) Original(slice int, name string) bool {
	h := v.homes[slice]
	return v.old[slice] && name != "" && (h[0] == name || h[1] == name) && v.Lives[name].Life < v.origin
}

// Standing is how what was said under an epoch stands to a view.
type Standing int

// The standings.
const (
	Same  Standing = iota
	Older          // its sender has not read the log as far: it is refused, and told the epoch
	Ahead          // this box has not read the log as far: it asks again later
)

// Compare tells how a message that was sent under an epoch stands to this view.
func (v *View) Compare(epoch uint64) Standing {
	switch {
	case epoch < v.Epoch:
		return Older
	case epoch > v.Epoch:
		return Ahead
	}
	return Same
}
