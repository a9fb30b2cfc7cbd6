package controlnode

import (
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/watch"
)

// recentUpdates bounds what a node keeps for servers that are a little behind.
var recentUpdates = watch.Limits{Bytes: 4 << 20, Updates: 1 << 14}

// Load implements consensus.StateMachine.
func (s *sessions) Load(state []byte) error {
	s.restored = true
	return s.TypedStateMachine.Load(state)
}

// StateChanged implements driver.Module: what the log changed goes into the history, and to the sessions.
func (s *sessions) StateChanged(time.Time) {
	s.begin()
	index := s.host.Index()
	if s.restored {
		s.restores++
		s.rebuild()
	} else {
		s.publish(index)
		s.history.Advance(index)
	}
	s.pump(boottime.Now())
}

// rebuild fills the history with all that is agreed.
func (s *sessions) rebuild() {
	s.restored = false
	index := s.host.Index()
	s.history.Reset(index)
	s.node.documents.each(func(key string, revision uint64, value []byte) { s.history.Put(revision, key, value) })
	clear(s.published)
	s.worked, s.leased = 0, 0
	s.publish(index)
	s.history.Advance(index)
}

// publish puts what is agreed of those servers into the history for which it changed, as of a revision. Both lists are in
// the order of names.
func (s *sessions) publish(revision uint64) {
	work, leases := s.host.MaintenanceState(), &s.node.leases.State
	if work.Index == s.worked && leases.Index == s.leased {
		return
	}
	s.worked, s.leased = work.Index, leases.Index
	held := leases.Boxes
	for i := range work.Boxes {
		box := &work.Boxes[i]
		for len(held) > 0 && held[0].Name < box.Name {
			held = held[1:]
		}
		var lease *lease.Server
		if len(held) > 0 && held[0].Name == box.Name {
			lease = &held[0]
		}
		s.publishServer(revision, newStanding(work, box, lease), lease)
	}
	if len(s.published) == len(work.Boxes) {
		return
	}
	for name := range s.published {
		if work.Server(name) == nil {
			delete(s.published, name)
			s.history.Delete(revision, session.ServerPrefix+name)
		}
	}
}

// publishServer puts what is agreed of a server into the history, if it changed, and ends sessions of its older processes.
func (s *sessions) publishServer(revision uint64, now standing, held *lease.Server) {
	name := now.Box.Name
	if before, ok := s.published[name]; ok && before == now {
		return
	}
	value, err := now.encode()
	if err != nil {
		s.node.log.Error("fleet", "do", "publish", "err", err)
		return
	}
	s.published[name] = now
	s.history.Put(revision, session.ServerPrefix+name, value)
	if s.table != nil {
		s.end(s.table.EndSuperseded(name, now.incarnation(held)))
	}
}

// known returns the newest incarnation of a server that the log has; 0 = none.
func (s *sessions) known(server string) uint64 {
	now := s.published[server]
	return now.incarnation(s.node.leases.State.Server(server))
}
