// Package lease tells who of a fleet lives. A box holds a lease that the majority renews through the leader; one whose
// lease is over by every clock is declared lost by an entry of the log. No box that holds is lost by the log:
// docs/design/lease.md has the proof. After Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency" (SOSP 1989), with the read index of Ongaro's thesis on raft (2014, section 6.4) in
// place of a leader's word.
//
// State is what all boxes agree on, changed by nothing but the entries of their log. Holder is a box's own side, Granter
// the leader's. None does I/O or reads a clock: times are monotonic durations since a moment of the process that reads
// them, and mean nothing to another. The clock must run on while the machine is suspended (CLOCK_BOOTTIME).
package lease

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"larchscale/internal/fleet/limits"
)

// Bounds of what is agreed.
const (
	MaxBoxes = limits.MaxServers
	maxName  = limits.MaxName // bytes, of a box or zone
	maxPool  = 256            // bytes
)

// Box is what is agreed of one box.
type Box struct {
	Name        string
	Zone        string
	Incarnation uint64 // of its process: counted over its starts
	Life        uint64 // log index of the entry by which that process lives: its fencing number
	Lost        bool   // its lease is over: it holds nothing under this life again
	Index       uint64 // of the entry that last changed it
	Pool        string // address of its worker pool; "" = it offers none
}

// State is what all boxes agree on. Its zero value is an empty fleet.
type State struct {
	Index uint64 // of the last entry applied
	Epoch uint64 // of the last entry that changed who lives
	Boxes []Box  // by name
}

// Kind tells what an entry does.
type Kind uint8

// The kinds of entry.
const (
	Live Kind = iota + 1 // a box's process lives, for the first time or again after it was lost
	Lost                 // its lease is over
	Gone                 // a box that is lost is a member no longer
)

// Entry is one entry of the log. Which fields count depends on Kind.
type Entry struct {
	Kind        Kind
	Box         string
	Zone        string // Live
	Incarnation uint64 // Live
	Pool        string // Live
	Life        uint64 // Lost: the one that is over
}

// InTerm tells that an entry counts only in the term of the leader that proposed it: another leader may have granted
// since.
func (e *Entry) InTerm() bool { return e.Kind == Lost }

// Errors of Apply and Asked. What meets one changes nothing but the index.
var (
	ErrUnknown = errors.New("unknown box")
	ErrInvalid = errors.New("cannot be")
	ErrLife    = errors.New("not its present life")
	ErrHolds   = errors.New("it may hold a lease")
	ErrFollows = errors.New("this box does not lead")
)

// Clone gives a state that shares nothing with this one.
func (s *State) Clone() State { return State{s.Index, s.Epoch, slices.Clone(s.Boxes)} }

func (s *State) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Boxes, name, func(b Box, n string) int { return strings.Compare(b.Name, n) })
}

// Box gives a box by its name; nil = unknown.
func (s *State) Box(name string) *Box {
	i, ok := s.find(name)
	if !ok {
		return nil
	}
	return &s.Boxes[i]
}

// Lives tells that a life is a box's present one, and not lost.
func (s *State) Lives(name string, life uint64) bool {
	b := s.Box(name)
	return b != nil && b.Life == life && !b.Lost
}

// Apply carries out the entry of an index. It is the same on every box: it looks at nothing but the state and the
// entry. An entry that cannot be changes nothing but the index, and the error says why, on every box alike. One that
// says again what is so has no second effect and is no error.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index = index
	i, ok := s.find(e.Box)
	if e.Kind == Live {
		return s.live(index, e, i, ok)
	}
	if !ok {
		return fmt.Errorf("box %q: %w", e.Box, ErrUnknown)
	}
	b := &s.Boxes[i]
	switch e.Kind {
	case Lost:
		if b.Life != e.Life {
			return fmt.Errorf("box %s lives as %d, not %d: %w", b.Name, b.Life, e.Life, ErrLife)
		}
		if b.Lost {
			return fmt.Errorf("box %s is lost as %d already: %w", b.Name, b.Life, ErrLife)
		}
		b.Lost, b.Index = true, index
	case Gone:
		if !b.Lost {
			return fmt.Errorf("box %s lives as %d: %w", b.Name, b.Life, ErrHolds)
		}
		s.Boxes = slices.Delete(s.Boxes, i, i+1)
	default:
		return fmt.Errorf("entry of kind %d: %w", e.Kind, ErrInvalid)
	}
	s.Epoch = index
	return nil
}

// live takes a process's word that it lives. i is its box's place in the order, old tells that the box is known.
func (s *State) live(index uint64, e *Entry, i int, old bool) error {
	switch {
	case e.Box == "" || len(e.Box) > maxName || len(e.Zone) > maxName || len(e.Pool) > maxPool:
		return fmt.Errorf("box %.70q in zone %.70q with a pool of %d bytes: %w", e.Box, e.Zone, len(e.Pool), ErrInvalid)
	case e.Incarnation == 0:
		return fmt.Errorf("box %s: incarnation 0: %w", e.Box, ErrInvalid)
	case !old && len(s.Boxes) >= MaxBoxes:
		return fmt.Errorf("box %s: %d boxes are the most: %w", e.Box, MaxBoxes, ErrInvalid)
	}
	if old {
		switch was := &s.Boxes[i]; {
		case e.Incarnation < was.Incarnation:
			return fmt.Errorf("box %s is in incarnation %d, %d spoke: %w", was.Name, was.Incarnation, e.Incarnation, ErrLife)
		case e.Incarnation == was.Incarnation && !was.Lost:
			return nil
		}
	} else {
		s.Boxes = slices.Insert(s.Boxes, i, Box{})
	}
	s.Boxes[i] = Box{Name: e.Box, Zone: e.Zone, Incarnation: e.Incarnation, Life: index, Index: index, Pool: e.Pool}
	s.Epoch = index
	return nil
}
