package driver

import (
	"fmt"
	"time"

	"larchscale/internal/fleet/maintenance"
)

// Metrics are the fleet's metrics on the admin endpoint, as this server sees the fleet.
type Metrics struct {
	Leader  bool // this server is the leader
	Known   bool // a leader is known: a majority is connected
	Term    uint64
	Index   uint64 // of the last applied entry
	Members int
	Voters  int
	Out     int // servers that are not in service, according to the log
	Silent  int // members without a recent report; only voters receive reports
	Plans   int // plans that have not ended
	Phase   maintenance.Phase
	modules []byte // metrics of the modules
}

// Metrics returns the metrics as lines of the admin endpoint. It is safe for concurrent use.
func (d *Driver) Metrics() []byte {
	f := d.metrics.Load()
	if f == nil {
		return nil
	}
	digit := map[bool]int{true: 1}
	return append(fmt.Appendf(nil, "fleet.leader=%d\nfleet.known=%d\nfleet.term=%d\nfleet.index=%d\nfleet.members=%d\nfleet.voters=%d\nfleet.out=%d\nfleet.silent=%d\nfleet.plans=%d\nfleet.phase=%d\n",
		digit[f.Leader], digit[f.Known], f.Term, f.Index, f.Members, f.Voters, f.Out, f.Silent, f.Plans, f.Phase), f.modules...)
}

// publishMetrics updates what Driver.Metrics returns.
func (d *Driver) publishMetrics(now time.Time) {
	s := d.node.State()
	f := &Metrics{Index: s.Work.Index, Members: len(s.Members), Out: s.Work.CountUnavailable(), Known: d.node.Leader() != 0}
	f.Term, f.Leader = d.node.Leads()
	me := s.Member(d.self.ID)
	for _, m := range s.Members {
		if m.Voter {
			f.Voters++
		}
		if me != nil && me.Voter && !d.hasFreshReport(&m, now) {
			f.Silent++
		}
	}
	for i := range s.Work.Plans {
		if s.Work.Plans[i].State < maintenance.Done {
			f.Plans++
		}
	}
	if b := s.Work.Server(d.self.Name); b != nil {
		f.Phase = b.Phase
	}
	for _, m := range d.modules {
		f.modules = append(f.modules, m.Metrics(now)...)
	}
	d.metrics.Store(f)
}
