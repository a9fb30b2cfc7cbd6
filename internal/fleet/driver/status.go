package driver

import (
	"slices"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/takeout"
)

// Status is how the fleet stands, as this box sees it.
type Status struct {
	Box         string
	Incarnation uint64
	Leader      string
	Term        uint64
	Digest      uint64
	Self        takeout.Act
	Members     []agree.Member
	takeout.State
	Waits    []takeout.Wait            // of the leader alone
	Reports  map[string]takeout.Report // as far as they come here
	SilentMs int                       // after which a box without a report is silent
}

func (d *Driver) status() Status {
	s := d.node.State()
	term, leads := d.node.Leads()
	out := Status{Box: d.self.Name, Incarnation: d.inc, Term: term, Self: d.act, Members: slices.Clone(s.Members),
		State: s.Work.Clone(), Reports: map[string]takeout.Report{}, SilentMs: d.opt.SilentMs}
	out.Digest, _ = d.node.Digest()
	if m := s.Member(d.node.Leader()); m != nil {
		out.Leader = m.Name
	}
	if leads {
		out.Waits = slices.Clone(d.last.Waits)
	}
	for name, r := range d.reports {
		out.Reports[name] = r
	}
	return out
}
