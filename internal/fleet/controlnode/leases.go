package controlnode

import (
	"fmt"
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
)

// leases is the module with the leases of all app servers. The leader renews them: what the nodes sent waits for a round
// of raft's read index, and the grants go back to the node that the renewal came from.
type leases struct {
	*consensus.TypedStateMachine[lease.State, lease.Entry, *lease.State]
	baseModule
	node    *Node
	host    *driver.Host
	granter *lease.Granter
	rounds  map[uint64]uint64 // reads that are not confirmed, to the granter's rounds
}

// Start implements driver.Module.
func (l *leases) Start(h *driver.Host) { l.host = h }

// ready reports whether entries of the part may be proposed: all nodes know it.
func (l *leases) ready() bool { return l.Initialized() || l.host.SupportedByAll() }

// Load implements consensus.StateMachine.
func (l *leases) Load(state []byte) error {
	err := l.TypedStateMachine.Load(state)
	l.node.sessions.restored = true
	return err
}

// Tick implements driver.Module.
func (l *leases) Tick(time.Time) {
	term, leads := l.host.Leads()
	if !leads {
		l.granter.Follow()
		clear(l.rounds)
		return
	}
	l.round(term, boottime.Now())
}

// renew takes renewals that came from a node.
func (l *leases) renew(renewals []lease.Renewal, at time.Duration) {
	term, leads := l.host.Leads()
	if !leads || !l.Initialized() {
		return
	}
	l.granter.Lead(term, at)
	for _, renewal := range renewals {
		if err := l.granter.Renew(&l.State, renewal, at); err != nil {
			l.host.Log().Debug("fleet", "do", "renew", "err", err)
		}
	}
}

// round has a majority asked for the renewals that wait.
func (l *leases) round(term uint64, at time.Duration) {
	l.granter.Lead(term, at)
	round, ok := l.granter.BeginRound(at)
	if !ok {
		return
	}
	read, err := l.host.ReadIndex()
	if err != nil {
		l.host.Log().Debug("fleet", "do", "round", "err", err)
		return
	}
	l.rounds[read] = round
}

// ReadConfirmed implements driver.Module: a round is confirmed, and with it all before it.
func (l *leases) ReadConfirmed(id uint64, _ time.Time) {
	round, ok := l.rounds[id]
	if !ok {
		return
	}
	for read := range l.rounds {
		if read <= id {
			delete(l.rounds, read)
		}
	}
	l.node.sessions.sendGrants(l.granter.ConfirmRound(&l.State, round))
}

// LeaderTick implements driver.Module: the leader declares those lost whose lease is over by every clock.
func (l *leases) LeaderTick(time.Time) {
	if !l.Initialized() {
		return
	}
	term, _ := l.host.Leads()
	at := boottime.Now()
	l.granter.Lead(term, at)
	for _, entry := range l.granter.ExpiredServers(&l.State, at) {
		l.host.Log().Warn("fleet", "do", "lost", "server", entry.Box, "token", entry.Life)
		if err := l.host.Propose(entry, entry.InTerm()); err != nil {
			l.granter.ProposalFailed(entry.Box, entry.Life)
		}
	}
	work := l.host.MaintenanceState()
	for i := range l.State.Boxes {
		if b := &l.State.Boxes[i]; b.Lost && work.Server(b.Name) == nil {
			l.propose(lease.Entry{Kind: lease.Removed, Box: b.Name}, true)
		}
	}
}

func (l *leases) propose(entry lease.Entry, derived bool) {
	if err := l.host.Propose(entry, derived); err != nil {
		l.host.Log().Debug("fleet", "do", "lease", "err", err)
	}
}

// Metrics implements driver.Module.
func (l *leases) Metrics(time.Time) []byte {
	lives := 0
	for i := range l.State.Boxes {
		if !l.State.Boxes[i].Lost {
			lives++
		}
	}
	return fmt.Appendf(nil, "fleet.lives=%d\n", lives)
}
