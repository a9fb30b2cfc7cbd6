package membership

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
)

// registerInterval is the interval at which a server proposes its registration until the log has it.
const registerInterval = 500 * time.Millisecond

// leaseModule is the module that maintains this server's lease and, on the leader, those of all servers.
type leaseModule struct {
	*consensus.TypedStateMachine[lease.State, lease.Entry, *lease.State]
	state        *State
	placement    *placementModule
	host         *driver.Host
	holder       *lease.Holder
	granter      *lease.Granter
	rounds       map[uint64]uint64 // granter rounds by the id of their unconfirmed read
	registeredAt time.Duration
	restored     bool // the state was replaced by a snapshot
}

// message is what the modules of two servers exchange. Exactly one field is set.
type message struct {
	Renewal *lease.Renewal `cbor:",omitempty"`
	Grant   *lease.Grant   `cbor:",omitempty"`
}

// Start implements driver.Module.
func (l *leaseModule) Start(host *driver.Host) {
	l.host, l.rounds = host, map[uint64]uint64{}
	l.holder, l.granter = lease.NewHolder(host.Self().Name, lease.MeshTerms), lease.NewGranter(lease.MeshTerms)
	l.publishAddresses()
	l.update(true)
}

// Apply implements consensus.StateMachine. Changes to this process's registration take effect at once, and each view is published
// in order.
func (l *leaseModule) Apply(index uint64, entry []byte) error {
	err := l.TypedStateMachine.Apply(index, entry)
	if l.host != nil {
		l.update(false)
	}
	return err
}

// Load implements consensus.StateMachine.
func (l *leaseModule) Load(state []byte) error {
	err := l.TypedStateMachine.Load(state)
	if l.host != nil && err == nil {
		l.restored = true // the entries in between are unknown
	}
	return err
}

// StateChanged implements driver.Module.
func (l *leaseModule) StateChanged(time.Time) {
	l.publishAddresses()
	if l.restored {
		l.restored = false
		l.update(true)
	}
}

// publishAddresses publishes the addresses of the members.
func (l *leaseModule) publishAddresses() {
	addrs := map[string]string{}
	for _, member := range l.host.Members() {
		addrs[member.Name] = member.Addr
	}
	l.state.addresses.Store(&addrs)
}

// update updates lease and view from the state.
func (l *leaseModule) update(gap bool) {
	self := l.State.Server(l.host.Self().Name)
	if self != nil && self.Incarnation == l.host.Incarnation() && !self.Lost {
		l.holder.SetToken(self.Life, boottime.Now())
	} else {
		l.holder.DropToken()
	}
	l.publishLease()
	l.state.publish(l, l.placement, gap)
}

// publishLease publishes the lease and its token. At no moment is a lease visible together with a token of another one.
func (l *leaseModule) publishLease() {
	if token := l.holder.Token(); l.state.token.Load() != token {
		l.state.leaseEnd.Store(0)
		l.state.token.Store(token)
	}
	l.state.leaseEnd.Store(int64(l.holder.LeaseEnd()))
}

// Tick implements driver.Module.
func (l *leaseModule) Tick(time.Time) {
	now := boottime.Now()
	if _, leads := l.host.Leads(); !leads {
		l.granter.Follow()
		clear(l.rounds)
	}
	if !l.host.IsMember() || !l.Initialized() {
		return
	}
	if l.holder.Token() == 0 && now-l.registeredAt >= registerInterval {
		l.register(now)
	}
	if renewal, ok := l.holder.NextRenewal(now); ok {
		l.send(l.host.Leader(), message{Renewal: &renewal})
	}
	l.beginRound(now)
}

// register proposes the registration of this process.
func (l *leaseModule) register(now time.Duration) {
	l.registeredAt = now
	self := l.host.Self()
	entry := lease.Entry{Kind: lease.Registered, Box: self.Name, Zone: self.Zone, Incarnation: l.host.Incarnation(),
		Pool: l.state.opt.Pool}
	if err := l.host.Propose(entry, false); err != nil {
		l.host.Log().Debug("fleet", "do", "live", "err", err)
	}
}

// LeaderTick implements driver.Module. The first entry of the state is the leader's own registration, once every member
// supports the state machine.
func (l *leaseModule) LeaderTick(time.Time) {
	now := boottime.Now()
	if !l.Initialized() {
		if l.host.SupportedByAll() && now-l.registeredAt >= registerInterval {
			l.register(now)
		}
		return
	}
	term, _ := l.host.Leads()
	l.granter.Lead(term, now)
	for _, entry := range l.granter.ExpiredServers(&l.State, now) {
		l.host.Log().Warn("fleet", "do", "lost", "box", entry.Box, "life", entry.Life)
		if err := l.host.Propose(entry, entry.InTerm()); err != nil {
			l.granter.ProposalFailed(entry.Box, entry.Life)
		}
	}
	for i := range l.State.Boxes {
		if server := &l.State.Boxes[i]; server.Lost && !l.isMember(server.Name) {
			l.host.Propose(lease.Entry{Kind: lease.Removed, Box: server.Name}, true)
		}
	}
}

func (l *leaseModule) isMember(name string) bool {
	return slices.ContainsFunc(l.host.Members(), func(m consensus.Member) bool { return m.Name == name })
}

// beginRound begins a round for the pending renewals.
func (l *leaseModule) beginRound(now time.Duration) {
	term, leads := l.host.Leads()
	if !leads {
		return
	}
	l.granter.Lead(term, now)
	id, ok := l.granter.BeginRound(now)
	if !ok {
		return
	}
	read, err := l.host.ReadIndex()
	if err != nil {
		l.host.Log().Debug("fleet", "do", "round", "err", err)
		return
	}
	l.rounds[read] = id
}

// ReadConfirmed implements driver.Module. It confirms a round, and with it all earlier ones.
func (l *leaseModule) ReadConfirmed(id uint64, _ time.Time) {
	round, ok := l.rounds[id]
	if !ok {
		return
	}
	for read := range l.rounds {
		if read <= id {
			delete(l.rounds, read)
		}
	}
	for _, grant := range l.granter.ConfirmRound(&l.State, round) {
		l.send(grant.Box, message{Grant: &grant})
	}
}

// send sends a message to a server's module. A lost message is made good by the next renewal.
func (l *leaseModule) send(to string, msg message) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		l.host.Log().Error("fleet", "do", "lease", "err", err)
		return
	}
	if to != "" {
		l.host.Send(to, data)
	}
}

// Receive implements driver.Module.
func (l *leaseModule) Receive(from consensus.Member, data []byte, _ time.Time) {
	var msg message
	if err := cbor.Unmarshal(data, &msg); err != nil {
		l.host.Log().Debug("fleet", "do", "lease", "from", from.Name, "err", err)
		return
	}
	switch {
	case msg.Renewal != nil && msg.Renewal.Box == from.Name:
		term, leads := l.host.Leads()
		if !leads || !l.Initialized() {
			return
		}
		now := boottime.Now()
		l.granter.Lead(term, now)
		if err := l.granter.Renew(&l.State, *msg.Renewal, now); err != nil {
			l.host.Log().Debug("fleet", "do", "lease", "from", from.Name, "err", err)
		}
	case msg.Grant != nil:
		l.holder.AcceptGrant(*msg.Grant)
		l.publishLease()
	}
}

// Report implements driver.Module. Leases are renewed by messages, not by reports.
func (l *leaseModule) Report(time.Time) []byte { return nil }

// ReceiveReport implements driver.Module.
func (l *leaseModule) ReceiveReport(consensus.Member, []byte, time.Time) {}

// Stop implements driver.Module. A process that has left the fleet holds no lease.
func (l *leaseModule) Stop() {
	l.holder.DropToken()
	l.publishLease()
}

// Metrics implements driver.Module.
func (l *leaseModule) Metrics(time.Time) []byte {
	registered := 0
	for i := range l.State.Boxes {
		if !l.State.Boxes[i].Lost {
			registered++
		}
	}
	remaining := max(0, l.holder.LeaseEnd()-boottime.Now())
	return fmt.Appendf(nil, "fleet.lives=%d\nfleet.life=%d\nfleet.lease_ms=%d\n", registered, l.holder.Token(),
		remaining.Milliseconds())
}
