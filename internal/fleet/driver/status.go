package driver

import (
	"slices"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
)

// Status is the status of the fleet as one server sees it.
type Status struct {
	Box         string
	Incarnation uint64
	Leader      string
	Term        uint64
	Digest      uint64
	Self        maintenance.Action
	Members     []consensus.Member
	maintenance.State
	Waits    []maintenance.Wait            // only the leader knows these
	Reports  map[string]maintenance.Report // those that this server has received
	SilentMs int                           // a server without a report for so long counts as silent
}

func (d *Driver) status() Status {
	s := d.node.State()
	term, leads := d.node.Leads()
	out := Status{Box: d.self.Name, Incarnation: d.incarnation, Term: term, Self: d.action, Members: slices.Clone(s.Members),
		State: s.Work.Clone(), Reports: map[string]maintenance.Report{}, SilentMs: d.opt.SilentMs}
	out.Digest, _ = d.node.Digest()
	if m := s.Member(d.node.Leader()); m != nil {
		out.Leader = m.Name
	}
	if leads {
		out.Waits = slices.Clone(d.decision.Waits)
	}
	for name, r := range d.reports {
		out.Reports[name] = r
	}
	return out
}
