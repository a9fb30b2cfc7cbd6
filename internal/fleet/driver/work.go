package driver

import (
	"time"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/takeout"
)

// agent does what the log says of this box.
func (d *Driver) agent(now time.Time) {
	r := d.body.Look()
	local := takeout.Local{Incarnation: d.inc, Warm: r.Warm, Open: r.Open, KeyedUntil: r.KeyedUntil, DrainFor: int64(d.opt.DrainMs)}
	if !d.heldAt.IsZero() {
		local.Held = d.heldAt.UnixMilli()
	}
	a := takeout.Agent(&d.node.State().Work, d.self.Name, local, now.UnixMilli())
	if a != d.act && a.Why != "" {
		d.log.Info("fleet", "do", "box", "hold", a.Hold, "why", a.Why)
	}
	d.act = a
	if held := !d.heldAt.IsZero(); a.Hold != held {
		if d.heldAt = (time.Time{}); a.Hold {
			d.heldAt = now
		}
		d.body.Hold(a.Hold)
	}
	if a.Speak && (a.Say != d.said || d.ticks-d.saidAt >= sayEach) {
		d.said, d.saidAt = a.Say, d.ticks
		d.propose(&takeout.Entry{Kind: takeout.Step, At: now.UnixMilli(), Box: d.self.Name, Incarnation: d.inc, Phase: a.Say}, nil)
	}
}

// leadOn proposes what follows from the state and the newest reports.
func (d *Driver) leadOn(now time.Time) {
	s := d.node.State()
	v := takeout.View{Now: now.UnixMilli(), Self: d.self.Name, Silent: int64(d.opt.SilentMs), Reports: d.reports, Voters: map[string]bool{}}
	for _, m := range s.Members {
		v.Voters[m.Name] = m.Voter
	}
	if c := s.Gone(d.self.ID); c != nil {
		d.change(c)
		return
	}
	if c := s.Voters(d.opt.Voters, func(id uint64) bool { return d.heard(s, id, now) }); c != nil {
		d.change(c)
		return
	}
	d.last = takeout.Next(&s.Work, v)
	if d.last.Transfer != "" {
		if m := s.Named(d.last.Transfer); m != nil {
			d.log.Info("fleet", "do", "hand over", "to", m.Name)
			d.node.Transfer(m.ID)
		}
	}
	for _, e := range d.last.Entries {
		d.propose(&e, nil)
	}
}

// tell logs an entry that staff want to know of.
func (d *Driver) tell(a agree.Applied) {
	switch {
	case a.Change != nil:
		d.log.Info("fleet", "do", "member", "kind", a.Change.Kind, "box", a.Change.Member.Name, "index", a.Index, "err", a.Err)
	case a.Err != nil:
		d.log.Debug("fleet", "do", "refused", "part", a.Part, "index", a.Index, "err", a.Err)
	case a.Entry == nil: // of a module, which tells of it
	case a.Entry.Kind == takeout.Step:
		d.log.Info("fleet", "do", "phase", "box", a.Entry.Box, "phase", a.Entry.Phase.String(), "index", a.Index)
	case a.Entry.Kind == takeout.Grant:
		d.log.Info("fleet", "do", "grant", "box", a.Entry.Box, "plan", a.Entry.Plan.ID, "why", a.Entry.Why, "index", a.Index)
	default:
		d.log.Info("fleet", "do", "entry", "kind", a.Entry.Kind, "plan", a.Entry.Plan.ID, "index", a.Index)
	}
}
