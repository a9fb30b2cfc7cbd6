package ground

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
)

// liveEach is how often a box says again that it lives, until the log has it.
const liveEach = 500 * time.Millisecond

// leases is the module that keeps this box's lease, and as the leader those of all.
type leases struct {
	*agree.Agreed[lease.State, lease.Entry, *lease.State]
	ground *Ground
	places *places
	host   *driver.Host
	holder *lease.Holder
	grants *lease.Granter
	rounds map[uint64]uint64 // of reads that are not confirmed, to the granter's rounds
	spoke  time.Duration
	loaded bool // the state was replaced by a snapshot
}

// message is what the modules of two boxes say: one of the two.
type message struct {
	Renewal *lease.Renewal `cbor:",omitempty"`
	Grant   *lease.Grant   `cbor:",omitempty"`
}

// Begin implements driver.Module.
func (l *leases) Begin(h *driver.Host) {
	l.host, l.rounds = h, map[uint64]uint64{}
	l.holder, l.grants = lease.NewHolder(h.Self().Name, lease.MeshTerms), lease.NewGranter(lease.MeshTerms)
	l.members()
	l.changed(true)
}

// Apply implements agree.Part: what the log says of this process counts at once, and each view comes in turn.
func (l *leases) Apply(index uint64, entry []byte) error {
	err := l.Agreed.Apply(index, entry)
	if l.host != nil {
		l.changed(false)
	}
	return err
}

// Load implements agree.Part.
func (l *leases) Load(state []byte) error {
	err := l.Agreed.Load(state)
	if l.host != nil && err == nil {
		l.loaded = true // what came between is not known
	}
	return err
}

// Applied implements driver.Module.
func (l *leases) Applied(time.Time) {
	l.members()
	if l.loaded {
		l.loaded = false
		l.changed(true)
	}
}

// members publishes where the members are.
func (l *leases) members() {
	addrs := map[string]string{}
	for _, m := range l.host.Members() {
		addrs[m.Name] = m.Addr
	}
	l.ground.addrs.Store(&addrs)
}

// changed takes what the log says.
func (l *leases) changed(broken bool) {
	b := l.State.Box(l.host.Self().Name)
	if b != nil && b.Incarnation == l.host.Incarnation() && !b.Lost {
		l.holder.Live(b.Life, boottime.Now())
	} else {
		l.holder.Lost()
	}
	l.hold()
	l.ground.publish(l, l.places, broken)
}

// hold publishes whose lease it is, and how long it runs: never a lease beside a life that it is not of.
func (l *leases) hold() {
	if life := l.holder.Life(); l.ground.life.Load() != life {
		l.ground.until.Store(0)
		l.ground.life.Store(life)
	}
	l.ground.until.Store(int64(l.holder.Until()))
}

// Tick implements driver.Module.
func (l *leases) Tick(time.Time) {
	at := boottime.Now()
	if _, leads := l.host.Leads(); !leads {
		l.grants.Follow()
		clear(l.rounds)
	}
	if !l.host.Member() || !l.Began() {
		return
	}
	if l.holder.Life() == 0 && at-l.spoke >= liveEach {
		l.live(at)
	}
	if r, ok := l.holder.Ask(at); ok {
		l.send(l.host.Leader(), message{Renewal: &r})
	}
	l.round(at)
}

// live proposes that this process lives.
func (l *leases) live(at time.Duration) {
	l.spoke = at
	self := l.host.Self()
	e := lease.Entry{Kind: lease.Live, Box: self.Name, Zone: self.Zone, Incarnation: l.host.Incarnation(), Pool: l.ground.opt.Pool}
	if err := l.host.Propose(e, false); err != nil {
		l.host.Log().Debug("fleet", "do", "live", "err", err)
	}
}

// Lead implements driver.Module. The first entry of all is the leader's own life, once every member knows the part.
func (l *leases) Lead(time.Time) {
	at := boottime.Now()
	if !l.Began() {
		if l.host.Ready() && at-l.spoke >= liveEach {
			l.live(at)
		}
		return
	}
	term, _ := l.host.Leads()
	l.grants.Lead(term, at)
	for _, e := range l.grants.Over(&l.State, at) {
		l.host.Log().Warn("fleet", "do", "lost", "box", e.Box, "life", e.Life)
		if err := l.host.Propose(e, e.InTerm()); err != nil {
			l.grants.Refused(e.Box, e.Life)
		}
	}
	for i := range l.State.Boxes {
		if b := &l.State.Boxes[i]; b.Lost && !l.member(b.Name) {
			l.host.Propose(lease.Entry{Kind: lease.Gone, Box: b.Name}, true)
		}
	}
}

func (l *leases) member(name string) bool {
	return slices.ContainsFunc(l.host.Members(), func(m agree.Member) bool { return m.Name == name })
}

// round has a majority asked for the renewals that wait.
func (l *leases) round(at time.Duration) {
	term, leads := l.host.Leads()
	if !leads {
		return
	}
	l.grants.Lead(term, at)
	id, ok := l.grants.Round(at)
	if !ok {
		return
	}
	read, err := l.host.Read()
	if err != nil {
		l.host.Log().Debug("fleet", "do", "round", "err", err)
		return
	}
	l.rounds[read] = id
}

// Read implements driver.Module: a round is confirmed, and with it all before it.
func (l *leases) Read(id uint64, _ time.Time) {
	round, ok := l.rounds[id]
	if !ok {
		return
	}
	for read := range l.rounds {
		if read <= id {
			delete(l.rounds, read)
		}
	}
	for _, g := range l.grants.Confirmed(&l.State, round) {
		l.send(g.Box, message{Grant: &g})
	}
}

// send brings a message to a box's module. What is lost is asked for again.
func (l *leases) send(to string, m message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		l.host.Log().Error("fleet", "do", "lease", "err", err)
		return
	}
	if to != "" {
		l.host.Send(to, data)
	}
}

// Receive implements driver.Module.
func (l *leases) Receive(from agree.Member, data []byte, _ time.Time) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		l.host.Log().Debug("fleet", "do", "lease", "from", from.Name, "err", err)
		return
	}
	switch {
	case m.Renewal != nil && m.Renewal.Box == from.Name:
		term, leads := l.host.Leads()
		if !leads || !l.Began() {
			return
		}
		at := boottime.Now()
		l.grants.Lead(term, at)
		if err := l.grants.Asked(&l.State, *m.Renewal, at); err != nil {
			l.host.Log().Debug("fleet", "do", "lease", "from", from.Name, "err", err)
		}
	case m.Grant != nil:
		l.holder.Granted(*m.Grant)
		l.hold()
	}
}

// Report implements driver.Module: a lease is asked for, not reported.
func (l *leases) Report(time.Time) []byte { return nil }

// Heard implements driver.Module.
func (l *leases) Heard(agree.Member, []byte, time.Time) {}

// End implements driver.Module: a process that takes no part any longer holds nothing.
func (l *leases) End() {
	l.holder.Lost()
	l.hold()
}

// Lines implements driver.Module.
func (l *leases) Lines(time.Time) []byte {
	lives := 0
	for i := range l.State.Boxes {
		if !l.State.Boxes[i].Lost {
			lives++
		}
	}
	left := max(0, l.holder.Until()-boottime.Now())
	return fmt.Appendf(nil, "fleet.lives=%d\nfleet.life=%d\nfleet.lease_ms=%d\n", lives, l.holder.Life(), left.Milliseconds())
}
