package controlnode

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/session"
)

// resyncEach is how often a node is asked to tell everything anew.
const resyncEach = time.Second

// nodeReport is what each node tells all others every second.
type nodeReport struct {
	Sessions int    `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Region   string `cbor:"3,keyasint"`
}

// report sends the leader what it has not been told.
func (s *sessions) report(at time.Duration) {
	leader := s.host.Leader()
	term, _ := s.host.Leads()
	if leader != s.leader || term != s.term {
		s.leader, s.term = leader, term
		s.resync()
	}
	if leader == "" {
		return
	}
	for range digestsEachTick {
		digest, ok := s.table.Digest(maxDigest)
		if !ok {
			return
		}
		s.sent++
		numbered := &numberedDigest{Number: s.sent, First: s.fresh, Digest: digest}
		s.fresh = false
		if !s.send(leader, &message{Digest: numbered}, at) {
			s.resync()
			return
		}
	}
}

// resync has everything told anew.
func (s *sessions) resync() {
	s.fresh = true
	s.table.Resync()
}

// send brings a message to a node, this one too; false = it certainly does not come.
func (s *sessions) send(to string, m *message, at time.Duration) bool {
	self := s.host.Self()
	if to == self.Name {
		s.take(self.Name, m, at)
		return true
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		s.node.log.Error("fleet", "do", "send", "err", err)
		return false
	}
	return s.host.Send(to, data)
}

// Receive implements driver.Module.
func (s *sessions) Receive(from consensus.Member, data []byte, _ time.Time) {
	m := new(message)
	if err := decoder.Unmarshal(data, m); err != nil {
		s.node.log.Debug("fleet", "do", "receive", "from", from.Name, "err", err)
		return
	}
	s.take(from.Name, m, boottime.Now())
}

// take takes a message of a node.
func (s *sessions) take(from string, m *message, at time.Duration) {
	switch {
	case m.Digest != nil:
		s.collect(from, m.Digest, at)
	case s.table == nil:
	case m.Grants != nil:
		s.table.AcceptGrants(m.Grants, at)
		s.pump(at)
	case m.Resync && from == s.host.Leader():
		s.resync()
	}
}

// collect takes a node's digest, as the leader.
func (s *sessions) collect(from string, numbered *numberedDigest, at time.Duration) {
	if !s.leads() {
		return
	}
	if !numbered.First && numbered.Number != s.expected[from] && elapsedFor(s.asked, from, at) {
		s.node.log.Debug("fleet", "do", "resync", "node", from, "number", numbered.Number, "expected", s.expected[from])
		s.send(from, &message{Resync: true}, at)
	}
	s.expected[from] = numbered.Number + 1
	if err := s.collector.Take(from, numbered.Digest, at); err != nil {
		s.node.log.Warn("fleet", "do", "collect", "node", from, "err", err)
		return
	}
	s.node.leases.renew(numbered.Digest.Renewals, at)
}

func elapsedFor(since map[string]time.Duration, name string, at time.Duration) bool {
	if last, ok := since[name]; ok && at-last < resyncEach {
		return false
	}
	since[name] = at
	return true
}

// leads reports whether this node leads. A term begins with nothing known.
func (s *sessions) leads() bool {
	term, leads := s.host.Leads()
	switch {
	case !leads:
		s.leading, s.collector = 0, nil
	case s.leading != term:
		s.leading, s.collector = term, session.NewCollector()
		s.expected, s.asked = map[string]uint64{}, map[string]time.Duration{}
	}
	return leads
}

// sendGrants brings grants to the nodes that the renewals came from.
func (s *sessions) sendGrants(grants []lease.Grant) {
	if !s.leads() {
		return
	}
	at := boottime.Now()
	byNode := map[string][]lease.Grant{}
	for _, grant := range grants {
		node := s.collector.NodeOf(grant.Box)
		byNode[node] = append(byNode[node], grant)
	}
	delete(byNode, "")
	for node, list := range byNode {
		for chunk := range slices.Chunk(list, maxGrants) {
			s.send(node, &message{Grants: chunk}, at)
		}
	}
}

// LeaderTick implements driver.Module: the reports of all servers count in what the leader decides of plans.
func (s *sessions) LeaderTick(now time.Time) {
	if s.leads() {
		s.host.SetReports(s.collector.Reports(boottime.Now(), now.UnixMilli()))
	}
}

// Report implements driver.Module.
func (s *sessions) Report(time.Time) []byte {
	data, err := cbor.Marshal(s.nodeReport())
	if err != nil {
		s.node.log.Error("fleet", "do", "report", "err", err)
		return nil
	}
	return data
}

func (s *sessions) nodeReport() nodeReport {
	out := nodeReport{Revision: s.history.Revision(), Region: s.node.options.Region}
	if s.table != nil {
		out.Sessions = s.table.SessionCount()
	}
	return out
}

// ReceiveReport implements driver.Module.
func (s *sessions) ReceiveReport(from consensus.Member, data []byte, _ time.Time) {
	var report nodeReport
	if err := decoder.Unmarshal(data, &report); err != nil {
		s.node.log.Debug("fleet", "do", "report", "from", from.Name, "err", err)
		return
	}
	s.nodes[from.Name] = report
	maps.DeleteFunc(s.nodes, func(name string, _ nodeReport) bool {
		return !slices.ContainsFunc(s.host.Members(), func(m consensus.Member) bool { return m.Name == name })
	})
}
