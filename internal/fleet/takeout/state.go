// Package takeout decides in which order boxes are taken out for work, and when the next may go. It holds the state
// that all boxes agree on, changed by nothing but the entries of their log (Apply), and from it and the newest
// reports derives what the leader proposes next (Next). It does no I/O and reads no clock: times are arguments, in
// Unix milliseconds as the proposer's clock had them.
//
// The bound of a plan is checked in Apply, on the agreed state: two leaders can never grant past it together.
package takeout

import (
	"errors"
	"fmt"
	"slices"

	"larchscale/internal/fleet/limits"
)

// Bounds of what an operator may ask for.
const (
	MaxBoxes  = limits.MaxServers // of a fleet
	MaxPlans  = 64                // kept, over ones included
	maxReason = 256               // bytes
	maxName   = 64                // bytes, of a box, zone, plan or operator
)

// Phase is where a box stands.
type Phase uint8

// The phases, in their order.
const (
	In        Phase = iota // it serves, or could
	Granted                // it may begin to drain
	Draining               // it drains
	Out                    // nothing is open on it: the machine may be touched
	Returning              // its new process is up, and cold
)

var phases = [...]string{"in", "granted", "draining", "out", "returning"}

// String is the phase as operators read it.
func (p Phase) String() string { return phases[p] }

// MarshalText writes a phase as operators read it.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads it back.
func (p *Phase) UnmarshalText(text []byte) error {
	i := slices.Index(phases[:], string(text))
	if i < 0 {
		return fmt.Errorf("phase %q: %w", text, ErrUnknown)
	}
	*p = Phase(i)
	return nil
}

// Box is what is agreed of one box.
type Box struct {
	Name        string
	Zone        string
	Incarnation uint64 // of the process that last said something of itself; 0 = none yet
	Phase       Phase
	Plan        string // whose grant it has, while it is not In
	WasOut      bool   // for that plan
	Index       uint64 // of the entry that brought it to its phase
	WrittenOff  string // by whom and why it is counted no longer though it is not back; "" = it is counted
}

// away tells that a box counts against the bounds.
func (b *Box) away() bool { return b.Phase != In && b.WrittenOff == "" }

// PlanState is where a plan stands.
type PlanState uint8

// The states of a plan. The last three are over.
const (
	Waiting PlanState = iota // another plan has some of its boxes
	Running
	Paused
	Done
	Cancelled
	Expired
)

var planStates = [...]string{"waiting", "running", "paused", "done", "cancelled", "expired"}

// String is the state as operators read it.
func (s PlanState) String() string { return planStates[s] }

// MarshalText writes a state as operators read it.
func (s PlanState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads it back.
func (s *PlanState) UnmarshalText(text []byte) error {
	i := slices.Index(planStates[:], string(text))
	if i < 0 {
		return fmt.Errorf("state %q: %w", text, ErrUnknown)
	}
	*s = PlanState(i)
	return nil
}

func (s PlanState) over() bool { return s >= Done }

// Place is one box in the order of a plan.
type Place struct {
	Box string
	Why string
}

// Plan is one piece of work on some boxes.
type Plan struct {
	ID       string // the operator's; given again it has no second effect
	By       string
	Reason   string
	Boxes    []string // sorted
	Most     int      // of the fleet's boxes that may be unavailable while one of these is granted
	Floor    float64  // headroom that the warm rest keeps, 0 to under 1
	Deadline int64    // no grant after it; 0 = none
	State    PlanState
	Order    []Place  // of those that have not been granted; empty until arranged
	Gone     []string // those that have been out and are back or written off, in that order
	Index    uint64   // of the entry that proposed it
}

// State is what all boxes agree on. Its zero value is an empty fleet.
type State struct {
	Index uint64 // of the last entry applied
	Boxes []Box  // by name
	Plans []Plan // by the entries that proposed them
}

// Errors of Apply. An entry that meets one changes nothing but the index.
var (
	ErrUnknown = errors.New("unknown")
	ErrInvalid = errors.New("cannot be")
	ErrPhase   = errors.New("not its turn")
	ErrBound   = errors.New("past the plan's bound")
	ErrOver    = errors.New("the plan is over")
)

// Clone gives a state that shares nothing with this one.
func (s *State) Clone() State {
	out := State{s.Index, slices.Clone(s.Boxes), slices.Clone(s.Plans)}
	for i := range out.Plans {
		p := &out.Plans[i]
		p.Boxes, p.Gone, p.Order = slices.Clone(p.Boxes), slices.Clone(p.Gone), slices.Clone(p.Order)
	}
	return out
}

// Box gives a box by its name; nil = unknown.
func (s *State) Box(name string) *Box {
	i, ok := slices.BinarySearchFunc(s.Boxes, name, func(b Box, n string) int { return compare(b.Name, n) })
	if !ok {
		return nil
	}
	return &s.Boxes[i]
}

// Plan gives a plan by its id; nil = unknown.
func (s *State) Plan(id string) *Plan {
	for i := range s.Plans {
		if s.Plans[i].ID == id {
			return &s.Plans[i]
		}
	}
	return nil
}

// Away counts the boxes that are not in, by the log alone.
func (s *State) Away() int {
	n := 0
	for i := range s.Boxes {
		if s.Boxes[i].away() {
			n++
		}
	}
	return n
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// check finds what of a plan cannot be, in a fleet as it is.
func (s *State) check(p *Plan) error {
	switch {
	case p.ID == "" || len(p.ID) > maxName || p.By == "" || len(p.By) > maxName:
		return fmt.Errorf("plan %q by %q: a name of 1 to %d bytes is missing: %w", p.ID, p.By, maxName, ErrInvalid)
	case len(p.Reason) > maxReason:
		return fmt.Errorf("plan %s: a reason of %d bytes, %d at most: %w", p.ID, len(p.Reason), maxReason, ErrInvalid)
	case len(p.Boxes) == 0:
		return fmt.Errorf("plan %s: no boxes: %w", p.ID, ErrInvalid)
	case p.Most < 1 || p.Most >= len(s.Boxes):
		return fmt.Errorf("plan %s: at most %d of %d boxes out: 1 to %d can be: %w", p.ID, p.Most, len(s.Boxes), len(s.Boxes)-1, ErrInvalid)
	case !(p.Floor >= 0 && p.Floor < 1):
		return fmt.Errorf("plan %s: a floor of %v, 0 to under 1 can be: %w", p.ID, p.Floor, ErrInvalid)
	case p.Deadline < 0:
		return fmt.Errorf("plan %s: deadline %d: %w", p.ID, p.Deadline, ErrInvalid)
	}
	for i, name := range p.Boxes {
		if s.Box(name) == nil {
			return fmt.Errorf("plan %s: box %q: %w", p.ID, name, ErrUnknown)
		}
		if i > 0 && p.Boxes[i-1] >= name {
			return fmt.Errorf("plan %s: box %q twice, or out of order: %w", p.ID, name, ErrInvalid)
		}
	}
	return nil
}
