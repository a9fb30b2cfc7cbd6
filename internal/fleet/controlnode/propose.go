package controlnode

import (
	"math/rand/v2"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
)

// proposeEach is how often the same proposal of a server is made again until it has taken hold.
const proposeEach = time.Second

// join has the server of a session made a member of the fleet, if it is none or has moved to another zone.
func (s *sessions) join(p *peer, at time.Duration) {
	box := s.host.MaintenanceState().Server(p.hello.Server)
	if box != nil && box.Zone == p.hello.Zone || !elapsed(&p.joinedAt, at) {
		return
	}
	s.host.ProposeMaintenance(maintenance.Entry{Kind: maintenance.Join, At: time.Now().UnixMilli(), Box: p.hello.Server, Zone: p.hello.Zone})
}

// propose asks for what a server proposes of itself. What it says of others, or of another process, is dropped.
func (s *sessions) propose(p *peer, proposal *session.Proposal, at time.Duration) {
	server, incarnation := p.hello.Server, p.hello.Incarnation
	if e := proposal.Step; e != nil && e.Kind == maintenance.Step && e.Box == server && e.Incarnation == incarnation {
		s.proposeStep(p, e.Phase, at)
	}
	if e := proposal.Live; e != nil && e.Kind == lease.Registered && e.Box == server && e.Incarnation == incarnation {
		s.proposeLive(p, at)
	}
}

func (s *sessions) proposeStep(p *peer, phase maintenance.Phase, at time.Duration) {
	if s.host.MaintenanceState().Server(p.hello.Server) == nil {
		return // it joins first
	}
	if phase != p.steppedFor {
		p.steppedFor, p.steppedAt = phase, 0
	}
	if elapsed(&p.steppedAt, at) {
		s.host.ProposeMaintenance(maintenance.Entry{Kind: maintenance.Step, At: time.Now().UnixMilli(), Box: p.hello.Server, Incarnation: p.hello.Incarnation, Phase: phase})
	}
}

func (s *sessions) proposeLive(p *peer, at time.Duration) {
	leases := s.node.leases
	held := leases.State.Server(p.hello.Server)
	if held != nil && held.Incarnation == p.hello.Incarnation && !held.Lost || !leases.ready() || !elapsed(&p.livedAt, at) {
		return
	}
	leases.propose(lease.Entry{Kind: lease.Registered, Box: p.hello.Server, Zone: p.hello.Zone, Incarnation: p.hello.Incarnation, Pool: p.hello.Pool}, false)
}

// elapsed reports whether proposeEach has passed since a time, and sets it if so.
func elapsed(since *time.Duration, at time.Duration) bool {
	if *since != 0 && at-*since < proposeEach {
		return false
	}
	*since = at
	return true
}

// found proposes which fleet this is, as the leader, once all nodes know the part.
func (s *sessions) found() {
	if _, leads := s.host.Leads(); leads && s.host.SupportedByAll() {
		if err := s.host.Propose(identityEntry{Fleet: 1 + rand.Uint64N(1<<63)}, true); err != nil {
			s.node.log.Debug("fleet", "do", "found", "err", err)
		}
	}
}
