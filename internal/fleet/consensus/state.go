// Package consensus replicates the state of a fleet among its members: who is a member, and which maintenance plans
// exist. The state changes only by entries of a log that raft (go.etcd.io/raft/v3) replicates. A Node is driven by
// ticks, messages and proposals, and does no I/O except through its Store.
package consensus

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/maintenance"
)

// Member is a member of the fleet in the replicated state.
type Member struct {
	ID    uint64 // raft's id, drawn when its disk was empty
	Name  string
	Zone  string
	Addr  string // where its peers reach it
	Voter bool
}

// State is the replicated state of the fleet.
type State struct {
	Members []Member // sorted by id
	Work    maintenance.State
}

// Errors that a Node returns.
var (
	ErrNoLeader   = errors.New("no leader is known: a majority may be out of reach")
	ErrStaleTerm  = errors.New("the proposer was the leader of another term")
	ErrMembership = errors.New("membership")
)

// Member returns the member with an id; nil = unknown.
func (s *State) Member(id uint64) *Member {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Members[i]
}

// MemberByName returns the member with a name; nil = unknown.
func (s *State) MemberByName(name string) *Member {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Members[i]
}

// ChangeKind is the kind of a change of membership.
type ChangeKind uint8

// Kinds of changes of membership.
const (
	Admit   ChangeKind = iota + 1 // adds a member as a learner, or updates its address
	Promote                       // makes a learner a voter
	Remove                        // removes a member, which votes and receives nothing any longer
)

// Change is one change of membership.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// change applies a committed change of membership.
func (s *State) change(index uint64, c *Change) error {
	m := s.Member(c.Member.ID)
	switch c.Kind {
	case Admit:
		if m != nil {
			m.Addr = c.Member.Addr
			return nil
		}
		added := c.Member
		added.Voter = false
		s.Members = append(s.Members, added)
		slices.SortFunc(s.Members, func(a, b Member) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
		return s.Work.Apply(index, &maintenance.Entry{Kind: maintenance.Join, Box: added.Name, Zone: added.Zone})
	case Promote:
		if m != nil {
			m.Voter = true
		}
	case Remove:
		s.Members = slices.DeleteFunc(s.Members, func(m Member) bool { return m.ID == c.Member.ID })
	default:
		return fmt.Errorf("unknown change of kind %d: %w", c.Kind, ErrMembership)
	}
	return nil
}

// JoinChange derives the change that a join request calls for; nil = the node is a member already. A name stays taken
// for as long as its member reports.
func (s *State) JoinChange(m Member, reporting func(id uint64) bool) (*Change, error) {
	if m.ID == 0 || m.Name == "" || m.Addr == "" {
		return nil, fmt.Errorf("invalid join request: node %q with id %x at %q: %w", m.Name, m.ID, m.Addr, ErrMembership)
	}
	if existing := s.Member(m.ID); existing != nil {
		if existing.Name != m.Name {
			return nil, fmt.Errorf("node %s asks to join with the id of %s: %w", m.Name, existing.Name, ErrMembership)
		}
		if existing.Addr == m.Addr {
			return nil, nil
		}
		return &Change{Admit, m}, nil
	}
	if sameName := s.MemberByName(m.Name); sameName != nil {
		if reporting(sameName.ID) {
			return nil, fmt.Errorf("another node named %s is reporting from %s: %w", m.Name, sameName.Addr, ErrMembership)
		}
		return &Change{Remove, *sameName}, nil // the new id is admitted at its next join request
	}
	if len(s.Members) >= limits.MaxMeshServers {
		return nil, fmt.Errorf("the fleet has the maximum of %d members: %w", limits.MaxMeshServers, ErrMembership)
	}
	return &Change{Admit, m}, nil
}

// PromotionChange derives the next change towards the wanted number of voters. It promotes a learner that reports, of
// the zone with the fewest voters first; nil = there are enough voters, or no learner qualifies.
func (s *State) PromotionChange(want int, reporting func(id uint64) bool) *Change {
	votersByZone := map[string]int{}
	voterCount := 0
	for _, m := range s.Members {
		if m.Voter {
			votersByZone[m.Zone]++
			voterCount++
		}
	}
	if voterCount >= want {
		return nil
	}
	var best *Member
	for i := range s.Members {
		m := &s.Members[i]
		if !m.Voter && reporting(m.ID) && (best == nil || votersByZone[m.Zone] < votersByZone[best.Zone] || votersByZone[m.Zone] == votersByZone[best.Zone] && m.Name < best.Name) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return &Change{Promote, *best}
}

// RemovalChange derives the change that removes from raft a member which the maintenance state no longer contains;
// nil = there is none, except perhaps self: the leader cannot remove itself.
func (s *State) RemovalChange(self uint64) *Change {
	for _, m := range s.Members {
		if m.ID != self && s.Work.Server(m.Name) == nil {
			return &Change{Remove, m}
		}
	}
	return nil
}

// command is the content of a normal entry of the log.
type command struct {
	Proposer uint64 // raft's id
	Token    uint64 // chosen by the proposer
	Term     uint64 // the entry is valid only in this term; 0 = in any
	Entry    maintenance.Entry
	Part     string `cbor:",omitempty"` // the state machine that reads Data; "" = Entry applies
	Data     []byte `cbor:",omitempty"`
}

var encoder = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()

// boundedDecoder limits the memory that a peer's message can make this node allocate. strictDecoder also refuses
// fields that this version does not know.
var (
	boundedDecoder = newDecoder(cbor.ExtraDecErrorNone)
	strictDecoder  = newDecoder(cbor.ExtraDecErrorUnknownField)
)

func newDecoder(extraErrors cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16, ExtraReturnErrors: extraErrors}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}
