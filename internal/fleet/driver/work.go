package driver

import (
	"time"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
)

// actOnState does what the replicated state says of this server, and proposes its next phase.
func (d *Driver) actOnState(now time.Time) {
	report := d.process.Report()
	local := maintenance.LocalStatus{Incarnation: d.incarnation, Warm: report.Warm, Open: report.Open, KeyedUntil: report.KeyedUntil, MinDrain: int64(d.opt.DrainMs)}
	if !d.healthHeldSince.IsZero() {
		local.DrainingSince = d.healthHeldSince.UnixMilli()
	}
	action := maintenance.NextAction(&d.node.State().Work, d.self.Name, local, now.UnixMilli())
	if action != d.action && action.Why != "" {
		d.log.Info("fleet", "do", "box", "hold", action.Hold, "why", action.Why)
	}
	d.action = action
	if held := !d.healthHeldSince.IsZero(); action.Hold != held {
		if d.healthHeldSince = (time.Time{}); action.Hold {
			d.healthHeldSince = now
		}
		d.process.HoldHealth(action.Hold)
	}
	if action.Speak && (action.Say != d.proposedPhase || d.ticks-d.proposedAtTick >= reproposeTicks) {
		d.proposedPhase, d.proposedAtTick = action.Say, d.ticks
		d.propose(&maintenance.Entry{Kind: maintenance.Step, At: now.UnixMilli(), Box: d.self.Name, Incarnation: d.incarnation, Phase: action.Say}, nil)
	}
}

// lead proposes what follows from the state and the newest reports.
func (d *Driver) lead(now time.Time) {
	s := d.node.State()
	view := maintenance.View{Now: now.UnixMilli(), Self: d.self.Name, SilentAfter: int64(d.opt.SilentMs), Reports: d.reports, Voters: map[string]bool{}}
	for _, m := range s.Members {
		view.Voters[m.Name] = m.Voter
	}
	if c := s.RemovalChange(d.self.ID); c != nil {
		d.proposeChange(c)
		return
	}
	if c := s.PromotionChange(d.opt.Voters, func(id uint64) bool { return d.reporting(s, id, now) }); c != nil {
		d.proposeChange(c)
		return
	}
	d.decision = maintenance.Next(&s.Work, view)
	if d.decision.Transfer != "" {
		if m := s.MemberByName(d.decision.Transfer); m != nil {
			d.log.Info("fleet", "do", "hand over", "to", m.Name)
			d.node.TransferLeadership(m.ID)
		}
	}
	for _, e := range d.decision.Entries {
		d.propose(&e, nil)
	}
}

// logApplied logs an applied entry that operators want to know of.
func (d *Driver) logApplied(a consensus.AppliedEntry) {
	switch {
	case a.Change != nil:
		d.log.Info("fleet", "do", "member", "kind", a.Change.Kind, "box", a.Change.Member.Name, "index", a.Index, "err", a.Err)
	case a.Err != nil:
		d.log.Debug("fleet", "do", "refused", "part", a.Part, "index", a.Index, "err", a.Err)
	case a.Entry == nil: // of a module, which logs it itself
	case a.Entry.Kind == maintenance.Step:
		d.log.Info("fleet", "do", "phase", "box", a.Entry.Box, "phase", a.Entry.Phase.String(), "index", a.Index)
	case a.Entry.Kind == maintenance.Grant:
		d.log.Info("fleet", "do", "grant", "box", a.Entry.Box, "plan", a.Entry.Plan.ID, "why", a.Entry.Why, "index", a.Index)
	default:
		d.log.Info("fleet", "do", "entry", "kind", a.Entry.Kind, "plan", a.Entry.Plan.ID, "index", a.Index)
	}
}
