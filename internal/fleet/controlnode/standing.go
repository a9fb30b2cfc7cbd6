package controlnode

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
)

// standing is the value of a server's key. The index of the lease's last change keeps a value from ever coming back, as
// watch.History requires of keys of which not every change is given; readers do not look at it.
type standing struct {
	session.ServerState
	LeaseIndex uint64 `cbor:"5,keyasint,omitempty"`
}

func (s *standing) encode() ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("what is agreed of %s: %w", s.Box.Name, err)
	}
	return data, nil
}

// incarnation returns that of the server's newest process that has spoken.
func (s *standing) incarnation(held *lease.Server) uint64 {
	if held == nil {
		return s.Box.Incarnation
	}
	return max(s.Box.Incarnation, held.Incarnation)
}

// newStanding returns what is agreed of a server; held is nil if it never had a lease.
func newStanding(work *maintenance.State, box *maintenance.Server, held *lease.Server) standing {
	out := standing{ServerState: session.ServerState{Box: *box, PlanOver: planOver(work, box.Plan)}}
	if held == nil {
		return out
	}
	out.LeaseIndex = held.Index
	if !held.Lost {
		out.FencingToken, out.LeaseProcess = held.Life, held.Incarnation
	}
	return out
}

// planOver tells that the plan whose grant a server has is over.
func planOver(work *maintenance.State, id string) bool {
	if id == "" {
		return false
	}
	plan := work.Plan(id)
	return plan == nil || plan.State >= maintenance.Done
}
