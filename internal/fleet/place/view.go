package place

import "larchscale/internal/fleet/lease"

// View is what a box acts under: the homes that live. It shares nothing with the states that it was made from.
type View struct {
	Epoch uint64            // log index of the last entry that moved a slice or changed who lives
	Lives map[string]uint64 // of the boxes that are not lost, by name, under which life
	homes [Slices][2]string
}

// NewView derives it from what the log says.
func NewView(l *lease.State, s *State) *View {
	v := &View{Epoch: max(l.Epoch, s.Epoch), Lives: map[string]uint64{}}
	for _, b := range l.Boxes {
		if !b.Lost {
			v.Lives[b.Name] = b.Life
		}
	}
	for i := range v.homes {
		n := 0
		first, second := s.Pair(i)
		for _, name := range [2]string{first, second} {
			if v.Lives[name] != 0 {
				v.homes[i][n] = name
				n++
			}
		}
	}
	return v
}

// Homes gives the homes of a slice that live, in their order: with the first lost the second is first. "" = none.
func (v *View) Homes(slice int) (first, second string) { return v.homes[slice][0], v.homes[slice][1] }

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
