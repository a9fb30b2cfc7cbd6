// Package lease decides which servers of a fleet are registered. A server holds a lease that the majority renews
// through the leader; a server whose lease has ended by every clock is declared expired by an entry of the log. No
// server that holds a lease is declared expired: docs/design/lease.md has the proof. After Gray and Cheriton, "Leases:
// an efficient fault-tolerant mechanism for distributed file cache consistency" (SOSP 1989), with the read index of
// Ongaro's thesis on raft (2014, section 6.4) as the proof of leadership.
//
// State is the replicated state, changed only by entries of the log. Holder is a server's own side, Granter the
// leader's. None does I/O or reads a clock: times are monotonic durations since a moment of the process that reads
// them, and mean nothing to another process. The clock must keep running while the machine is suspended
// (CLOCK_BOOTTIME).
package lease

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"larchscale/internal/fleet/limits"
)

// Bounds of the replicated state.
const (
	MaxBoxes = limits.MaxServers
	maxName  = limits.MaxName // bytes, of the name of a server or zone
	maxPool  = 256            // bytes
)

// Server is the replicated state of one server.
type Server struct {
	Name        string
	Zone        string
	Incarnation uint64 // of its process: the number of starts so far
	Life        uint64 // fencing token: log index of the entry that registered the process
	Lost        bool   // the lease has expired: this token never holds one again
	Index       uint64 // of the entry that last changed this server
	Pool        string // address of its worker pool; "" = none
}

// State is the replicated state. Its zero value is an empty fleet.
type State struct {
	Index uint64   // of the last applied entry
	Epoch uint64   // of the last entry that changed which servers are registered
	Boxes []Server // sorted by name
}

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entry.
const (
	Registered Kind = iota + 1 // registers a server's process, for the first time or again after it expired
	Expired                    // the server's lease has expired
	Removed                    // removes an expired server
)

// Entry is one entry of the log. Which fields are used depends on Kind.
type Entry struct {
	Kind        Kind
	Box         string // name of the server
	Zone        string // Registered only
	Incarnation uint64 // Registered only
	Pool        string // Registered only
	Life        uint64 // Expired only: the expired fencing token
}

// InTerm reports whether an entry is valid only in the term of the leader that proposed it: another leader may have
// granted a lease since.
func (e *Entry) InTerm() bool { return e.Kind == Expired }

// Errors of Apply and Granter.Renew. After an error of Apply nothing but the index has changed.
var (
	ErrUnknown    = errors.New("unknown server")
	ErrInvalid    = errors.New("invalid")
	ErrStaleToken = errors.New("not the current fencing token")
	ErrNotExpired = errors.New("the server may still hold a lease")
	ErrNotLeader  = errors.New("this server is not the leader")
)

// Clone returns a copy that shares nothing with this state.
func (s *State) Clone() State { return State{s.Index, s.Epoch, slices.Clone(s.Boxes)} }

func (s *State) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Boxes, name, func(b Server, n string) int { return strings.Compare(b.Name, n) })
}

// Server returns a server by its name; nil = unknown.
func (s *State) Server(name string) *Server {
	i, ok := s.find(name)
	if !ok {
		return nil
	}
	return &s.Boxes[i]
}

// IsCurrent reports whether a fencing token is a server's current one and has not expired.
func (s *State) IsCurrent(name string, token uint64) bool {
	server := s.Server(name)
	return server != nil && server.Life == token && !server.Lost
}

// Apply applies the entry of an index. It is deterministic: it depends on nothing but the state and the entry. An
// invalid entry changes nothing but the index, and the error, which is the same on every server, says why. An entry
// that repeats what is already so has no effect and is no error.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index = index
	i, ok := s.find(e.Box)
	if e.Kind == Registered {
		return s.register(index, e, i, ok)
	}
	if !ok {
		return fmt.Errorf("server %q: %w", e.Box, ErrUnknown)
	}
	server := &s.Boxes[i]
	switch e.Kind {
	case Expired:
		if server.Life != e.Life {
			return fmt.Errorf("server %s is registered under token %d, not %d: %w", server.Name, server.Life, e.Life, ErrStaleToken)
		}
		if server.Lost {
			return fmt.Errorf("server %s has already expired under token %d: %w", server.Name, server.Life, ErrStaleToken)
		}
		server.Lost, server.Index = true, index
	case Removed:
		if !server.Lost {
			return fmt.Errorf("server %s is registered under token %d: %w", server.Name, server.Life, ErrNotExpired)
		}
		s.Boxes = slices.Delete(s.Boxes, i, i+1)
	default:
		return fmt.Errorf("entry of kind %d: %w", e.Kind, ErrInvalid)
	}
	s.Epoch = index
	return nil
}

// register registers a server's process. i is the server's position in the order, known reports whether it is in the
// state.
func (s *State) register(index uint64, e *Entry, i int, known bool) error {
	switch {
	case e.Box == "" || len(e.Box) > maxName || len(e.Zone) > maxName || len(e.Pool) > maxPool:
		return fmt.Errorf("server %.70q in zone %.70q with a pool address of %d bytes: %w", e.Box, e.Zone,
			len(e.Pool), ErrInvalid)
	case e.Incarnation == 0:
		return fmt.Errorf("server %s: incarnation 0: %w", e.Box, ErrInvalid)
	case !known && len(s.Boxes) >= MaxBoxes:
		return fmt.Errorf("server %s: the maximum of %d servers is reached: %w", e.Box, MaxBoxes, ErrInvalid)
	}
	if known {
		switch current := &s.Boxes[i]; {
		case e.Incarnation < current.Incarnation:
			return fmt.Errorf("server %s is in incarnation %d, the entry is of incarnation %d: %w", current.Name,
				current.Incarnation, e.Incarnation, ErrStaleToken)
		case e.Incarnation == current.Incarnation && !current.Lost:
			return nil
		}
	} else {
		s.Boxes = slices.Insert(s.Boxes, i, Server{})
	}
	s.Boxes[i] = Server{Name: e.Box, Zone: e.Zone, Incarnation: e.Incarnation, Life: index, Index: index, Pool: e.Pool}
	s.Epoch = index
	return nil
}
