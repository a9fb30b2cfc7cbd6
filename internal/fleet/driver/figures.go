package driver

import (
	"fmt"
	"time"

	"larchscale/internal/fleet/takeout"
)

// Figures are what the door tells of the fleet, as this box sees it.
type Figures struct {
	Leader  bool // this box leads
	Known   bool // a leader is known: a majority hears each other
	Term    uint64
	Index   uint64 // of the last entry applied
	Members int
	Voters  int
	Out     int // boxes that are not in, by the log
	Silent  int // members whose reports are missing, as a voter knows
	Plans   int // that are not over
	Phase   takeout.Phase
	modules []byte // their lines
}

// Lines writes the figures as the door's /stats does. It is safe from any goroutine.
func (d *Driver) Lines() []byte {
	f := d.shown.Load()
	if f == nil {
		return nil
	}
	bit := map[bool]int{true: 1}
	return append(fmt.Appendf(nil, "fleet.leader=%d\nfleet.known=%d\nfleet.term=%d\nfleet.index=%d\nfleet.members=%d\nfleet.voters=%d\nfleet.out=%d\nfleet.silent=%d\nfleet.plans=%d\nfleet.phase=%d\n",
		bit[f.Leader], bit[f.Known], f.Term, f.Index, f.Members, f.Voters, f.Out, f.Silent, f.Plans, f.Phase), f.modules...)
}

// show publishes the figures.
func (d *Driver) show(now time.Time) {
	s := d.node.State()
	f := &Figures{Index: s.Work.Index, Members: len(s.Members), Out: s.Work.Away(), Known: d.node.Leader() != 0}
	f.Term, f.Leader = d.node.Leads()
	me := s.Member(d.self.ID)
	for _, m := range s.Members {
		if m.Voter {
			f.Voters++
		}
		if me != nil && me.Voter && !d.fresh(&m, now) {
			f.Silent++
		}
	}
	for i := range s.Work.Plans {
		if s.Work.Plans[i].State < takeout.Done {
			f.Plans++
		}
	}
	if b := s.Work.Box(d.self.Name); b != nil {
		f.Phase = b.Phase
	}
	for _, m := range d.modules {
		f.modules = append(f.modules, m.Lines(now)...)
	}
	d.shown.Store(f)
}
