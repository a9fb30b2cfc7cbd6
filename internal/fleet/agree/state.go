// Package agree has the boxes of a fleet hold one state: who is a member, and what is being taken out. The state
// changes only by entries of a log that raft (go.etcd.io/raft/v3) replicates; a Node is driven by ticks, messages and
// proposals, and does no I/O but through its Store.
package agree

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/takeout"
)

// Member is a box as the agreed state has it.
type Member struct {
	ID    uint64 // raft's, drawn when its disk was empty
	Name  string
	Zone  string
	Addr  string // where its peers reach it
	Voter bool
}

// State is all that the boxes agree on.
type State struct {
	Members []Member // by id
	Work    takeout.State
}

// Errors of what is asked of a Node.
var (
	ErrNoLeader = errors.New("no leader is known: a majority may be out of reach")
	ErrStale    = errors.New("its proposer led in another term")
	ErrMember   = errors.New("membership")
)

// Member gives a member by its id; nil = unknown.
func (s *State) Member(id uint64) *Member {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Members[i]
}

// Named gives a member by its name; nil = unknown.
func (s *State) Named(name string) *Member {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Members[i]
}

// ChangeKind tells what a change of membership does.
type ChangeKind uint8

// The kinds of change.
const (
	Admit   ChangeKind = iota + 1 // as a learner
	Promote                       // a learner to a voter
	Remove                        // its id votes and hears no more
)

// Change is one change of membership.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// change carries out a change that raft has taken.
func (s *State) change(index uint64, c *Change) error {
	m := s.Member(c.Member.ID)
	switch c.Kind {
	case Admit:
		if m != nil {
			m.Addr = c.Member.Addr
			return nil
		}
		n := c.Member
		n.Voter = false
		s.Members = append(s.Members, n)
		slices.SortFunc(s.Members, func(a, b Member) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
		return s.Work.Apply(index, &takeout.Entry{Kind: takeout.Join, Box: n.Name, Zone: n.Zone})
	case Promote:
		if m != nil {
			m.Voter = true
		}
	case Remove:
		s.Members = slices.DeleteFunc(s.Members, func(x Member) bool { return x.ID == c.Member.ID })
	default:
		return fmt.Errorf("change of kind %d: %w", c.Kind, ErrMember)
	}
	return nil
}

// Knock derives what lets a box in that asks under a name and an id: nil = it is in already. Who is heard of holds
// its name.
func (s *State) Knock(m Member, heard func(id uint64) bool) (*Change, error) {
	if m.ID == 0 || m.Name == "" || m.Addr == "" {
		return nil, fmt.Errorf("box %q with id %x at %q: %w", m.Name, m.ID, m.Addr, ErrMember)
	}
	if is := s.Member(m.ID); is != nil {
		if is.Name != m.Name {
			return nil, fmt.Errorf("box %s knocks with the id of %s: %w", m.Name, is.Name, ErrMember)
		}
		if is.Addr == m.Addr {
			return nil, nil
		}
		return &Change{Admit, m}, nil
	}
	if was := s.Named(m.Name); was != nil {
		if heard(was.ID) {
			return nil, fmt.Errorf("another box named %s is heard of at %s: %w", m.Name, was.Addr, ErrMember)
		}
		return &Change{Remove, *was}, nil // the new id is let in at its next knock
	}
	if len(s.Members) >= limits.MaxMeshServers {
		return nil, fmt.Errorf("%d boxes are the most: %w", limits.MaxMeshServers, ErrMember)
	}
	return &Change{Admit, m}, nil
}

// Voters derives the next change towards so many voters: a learner that is heard of becomes one, of the zone with the
// fewest voters first; nil = there are enough, or nobody is fit.
func (s *State) Voters(want int, heard func(id uint64) bool) *Change {
	zones := map[string]int{}
	n := 0
	for _, m := range s.Members {
		if m.Voter {
			zones[m.Zone]++
			n++
		}
	}
	if n >= want {
		return nil
	}
	var best *Member
	for i := range s.Members {
		m := &s.Members[i]
		if !m.Voter && heard(m.ID) && (best == nil || zones[m.Zone] < zones[best.Zone] || zones[m.Zone] == zones[best.Zone] && m.Name < best.Name) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return &Change{Promote, *best}
}

// Gone derives the change that takes a member out of the log's members which the agreed state has no longer; nil =
// there is none but perhaps self, which leads and cannot take itself out.
func (s *State) Gone(self uint64) *Change {
	for _, m := range s.Members {
		if m.ID != self && s.Work.Box(m.Name) == nil {
			return &Change{Remove, m}
		}
	}
	return nil
}

// command is a normal entry of the log.
type command struct {
	Proposer uint64 // raft's id
	Token    uint64 // of the proposer's choice
	Term     uint64 // it counts only in this one; 0 = in any
	Entry    takeout.Entry
	Part     string `cbor:",omitempty"` // whose Data is the entry; "" = Entry is
	Data     []byte `cbor:",omitempty"`
}

var codec = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// bounded keeps what a peer sends from sizing memory; strict takes nothing that has more in it than this version wrote.
var (
	bounded = reader(cbor.ExtraDecErrorNone)
	strict  = reader(cbor.ExtraDecErrorUnknownField)
)

func reader(refuse cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16, ExtraReturnErrors: refuse}.DecMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}
