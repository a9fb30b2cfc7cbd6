// Package maintenance decides in which order servers are drained for maintenance, and when the next one may start. It
// holds the replicated state, which changes only by the entries of the log (Apply), and derives from it and from the
// newest reports what the leader proposes next (Next). It does no I/O and reads no clock: times are arguments, in Unix
// milliseconds of the proposer's clock.
//
// Apply checks a plan's bound against the replicated state, so two leaders can never grant past it together.
package maintenance

import (
	"errors"
	"fmt"
	"slices"

	"larchscale/internal/fleet/limits"
)

// Bounds of an operator's plans.
const (
	MaxBoxes  = limits.MaxServers // servers of a fleet
	MaxPlans  = 64                // stored plans, closed ones included
	maxReason = 256               // bytes
	maxName   = 64                // bytes, of the name of a server, zone, plan or operator
)

// Phase is a server's position in a maintenance.
type Phase uint8

// The phases, in the order in which a server passes through them.
const (
	InService Phase = iota // serving, or able to serve
	Granted                // may begin to drain
	Draining               // draining
	Drained                // drained: no request is open, and the machine may be serviced
	Returning              // a new process is up and still cold
)

var phases = [...]string{"in", "granted", "draining", "out", "returning"}

// String returns the phase as operators read it.
func (p Phase) String() string { return phases[p] }

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(text []byte) error {
	i := slices.Index(phases[:], string(text))
	if i < 0 {
		return fmt.Errorf("phase %q: %w", text, ErrUnknown)
	}
	*p = Phase(i)
	return nil
}

// Server is the replicated state of one server.
type Server struct {
	Name        string
	Zone        string
	Incarnation uint64 // of the process that last reported a phase; 0 = none yet
	Phase       Phase
	Plan        string // ID of the plan whose grant the server holds while it is not In
	WasOut      bool   // the server has been Out for that plan
	Index       uint64 // of the entry that set the phase
	WrittenOff  string // operator and reason for which the server no longer counts though it is not back; "" = it counts
}

// unavailable reports whether the server counts against the bounds.
func (b *Server) unavailable() bool { return b.Phase != InService && b.WrittenOff == "" }

// PlanState is the progress of a plan.
type PlanState uint8

// The states of a plan. The last three are final.
const (
	Waiting PlanState = iota // another plan holds some of its servers
	Running
	Paused
	Done
	Cancelled
	Expired
)

var planStates = [...]string{"waiting", "running", "paused", "done", "cancelled", "expired"}

// String returns the state as operators read it.
func (s PlanState) String() string { return planStates[s] }

// MarshalText implements encoding.TextMarshaler.
func (s PlanState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *PlanState) UnmarshalText(text []byte) error {
	i := slices.Index(planStates[:], string(text))
	if i < 0 {
		return fmt.Errorf("state %q: %w", text, ErrUnknown)
	}
	*s = PlanState(i)
	return nil
}

func (s PlanState) closed() bool { return s >= Done }

// OrderItem is one server in the order of a plan, with the reason for its position.
type OrderItem struct {
	Box string
	Why string
}

// Plan is a maintenance of some servers, one after the other.
type Plan struct {
	ID       string // set by the operator; a second proposal with the same ID has no effect
	By       string
	Reason   string
	Boxes    []string // sorted
	Most     int      // largest number of the fleet's servers that may be unavailable while one of these is granted
	Floor    float64  // share of the warm servers' capacity that stays unused, 0 to under 1
	Deadline int64    // no grant from this time on; 0 = none
	State    PlanState
	Order    []OrderItem // servers that have not been granted; empty until arranged
	Gone     []string    // servers that have been out and are back, or were written off, in that order
	Index    uint64      // of the entry that proposed it
}

// State is the replicated state. Its zero value is an empty fleet.
type State struct {
	Index uint64   // of the last applied entry
	Boxes []Server // sorted by name
	Plans []Plan   // in the order in which they were proposed
}

// Errors of Apply. An entry that fails with one changes nothing but the index.
var (
	ErrUnknown = errors.New("unknown")
	ErrInvalid = errors.New("invalid")
	ErrPhase   = errors.New("not allowed in this phase")
	ErrBound   = errors.New("over the plan's bound")
	ErrOver    = errors.New("the plan is over")
)

// Clone returns a deep copy of the state.
func (s *State) Clone() State {
	clone := State{s.Index, slices.Clone(s.Boxes), slices.Clone(s.Plans)}
	for i := range clone.Plans {
		p := &clone.Plans[i]
		p.Boxes, p.Gone, p.Order = slices.Clone(p.Boxes), slices.Clone(p.Gone), slices.Clone(p.Order)
	}
	return clone
}

// Server returns the server of a name, or nil if it is unknown.
func (s *State) Server(name string) *Server {
	i, ok := slices.BinarySearchFunc(s.Boxes, name, func(b Server, n string) int { return compare(b.Name, n) })
	if !ok {
		return nil
	}
	return &s.Boxes[i]
}

// Plan returns the plan of an ID, or nil if it is unknown.
func (s *State) Plan(id string) *Plan {
	for i := range s.Plans {
		if s.Plans[i].ID == id {
			return &s.Plans[i]
		}
	}
	return nil
}

// CountUnavailable counts the servers that are unavailable by the log alone.
func (s *State) CountUnavailable() int {
	count := 0
	for i := range s.Boxes {
		if s.Boxes[i].unavailable() {
			count++
		}
	}
	return count
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

// check returns an error if the plan is invalid for the present fleet.
func (s *State) check(p *Plan) error {
	switch {
	case p.ID == "" || len(p.ID) > maxName || p.By == "" || len(p.By) > maxName:
		return fmt.Errorf("plan %q by %q: plan ID and operator need 1 to %d bytes each: %w", p.ID, p.By, maxName, ErrInvalid)
	case len(p.Reason) > maxReason:
		return fmt.Errorf("plan %s: the reason has %d bytes, at most %d are allowed: %w", p.ID, len(p.Reason), maxReason, ErrInvalid)
	case len(p.Boxes) == 0:
		return fmt.Errorf("plan %s names no servers: %w", p.ID, ErrInvalid)
	case p.Most < 1 || p.Most >= len(s.Boxes):
		return fmt.Errorf("plan %s: %d of %d servers may be unavailable, must be 1 to %d: %w", p.ID, p.Most, len(s.Boxes), len(s.Boxes)-1, ErrInvalid)
	case !(p.Floor >= 0 && p.Floor < 1):
		return fmt.Errorf("plan %s: floor %v, must be at least 0 and under 1: %w", p.ID, p.Floor, ErrInvalid)
	case p.Deadline < 0:
		return fmt.Errorf("plan %s: negative deadline %d: %w", p.ID, p.Deadline, ErrInvalid)
	}
	for i, name := range p.Boxes {
		if s.Server(name) == nil {
			return fmt.Errorf("plan %s: server %q: %w", p.ID, name, ErrUnknown)
		}
		if i > 0 && p.Boxes[i-1] >= name {
			return fmt.Errorf("plan %s: server %q is listed twice or out of order: %w", p.ID, name, ErrInvalid)
		}
	}
	return nil
}
