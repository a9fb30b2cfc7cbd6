package membership

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/placement"
)

const (
	// lostServerWait is how long a lost server keeps its replicas: a server that is only restarted is back by then, and
	// nothing moves.
	lostServerWait = 10 * time.Second
	// moveInterval is the interval at which the leader looks for shards to move.
	moveInterval = time.Second
)

// placementModule is the module that decides which server holds which replicas.
type placementModule struct {
	*consensus.TypedStateMachine[placement.State, placement.Entry, *placement.State]
	state        *State
	leases       *leaseModule
	host         *driver.Host
	syncReports  map[string]syncReport    // the last report of each server
	lostSince    map[string]time.Duration // lost servers, and when this leader noticed
	checkedAt    time.Duration
	waitingSince time.Duration // when this leader first looked for a placement; 0 = not yet
}

// syncReport is a server's report of the shards of which it has all records, one bit each, under its fencing token.
type syncReport struct {
	Life uint64 // fencing token
	Bits []byte // bit i%8 of byte i/8 is shard i
}

// Start implements driver.Module.
func (p *placementModule) Start(host *driver.Host) {
	p.host, p.syncReports, p.lostSince = host, map[string]syncReport{}, map[string]time.Duration{}
}

// Apply implements consensus.StateMachine. Each view is published in order.
func (p *placementModule) Apply(index uint64, entry []byte) error {
	err := p.TypedStateMachine.Apply(index, entry)
	p.state.publish(p.leases, p, false)
	return err
}

// StateChanged implements driver.Module.
func (p *placementModule) StateChanged(time.Time) {}

// Tick implements driver.Module.
func (p *placementModule) Tick(time.Time) {
	if _, leads := p.host.Leads(); !leads {
		clear(p.lostSince)
		p.waitingSince = 0
	}
}

// LeaderTick implements driver.Module.
func (p *placementModule) LeaderTick(at time.Time) {
	now := boottime.Now()
	if !p.leases.Initialized() || now-p.checkedAt < moveInterval || p.State.Homes == nil && !p.ready(now) {
		return
	}
	p.checkedAt = now
	p.syncReports[p.host.Self().Name] = p.syncReport()
	var servers []placement.Member
	for i := range p.leases.State.Boxes {
		server := &p.leases.State.Boxes[i]
		if !server.Lost {
			delete(p.lostSince, server.Name)
		} else if since, ok := p.lostSince[server.Name]; !ok {
			p.lostSince[server.Name] = now
		} else if now-since >= lostServerWait {
			continue
		}
		servers = append(servers, placement.Member{Name: server.Name, Zone: server.Zone, Weight: 1})
	}
	entry, err := placement.Next(&p.State, servers, max(1, p.state.opt.MaxMoves), p.inSync)
	if err != nil {
		p.host.Log().Error("fleet", "do", "place", "err", err)
		return
	}
	if entry == nil {
		return
	}
	if p.host.Propose(*entry, true) == nil {
		p.host.Log().Info("fleet", "do", "place", "changes", len(entry.Changes), "why", entry.Why)
	}
}

// ready reports whether the first placement may be made: every member supports the state machine and is registered,
// or the wait for the others is over. An earlier placement would be changed by each server that registers.
func (p *placementModule) ready(now time.Duration) bool {
	if p.waitingSince == 0 {
		p.waitingSince = now
	}
	registered := 0
	for _, member := range p.host.Members() {
		if server := p.leases.State.Server(member.Name); server != nil && !server.Lost {
			registered++
		}
	}
	return p.host.SupportedByAll() && (registered == len(p.host.Members()) && now-p.waitingSince >= lostServerWait/4 ||
		now-p.waitingSince >= lostServerWait)
}

// inSync reports whether all replicas of a shard are on registered servers and have all its records.
func (p *placementModule) inSync(shard int) bool {
	primary, backup := p.State.Replicas(shard)
	for _, server := range [2]string{primary, backup} {
		report := p.syncReports[server]
		if server != "" && !(p.leases.State.IsCurrent(server, report.Life) && shard/8 < len(report.Bits) &&
			report.Bits[shard/8]>>(shard%8)&1 == 1) {
			return false
		}
	}
	return true
}

// syncReport returns the report of this server.
func (p *placementModule) syncReport() syncReport {
	report := syncReport{Life: p.leases.holder.Token(), Bits: make([]byte, placement.Shards/8)}
	for i := range placement.Shards {
		if p.state.opt.InSync == nil || p.state.opt.InSync(i) {
			report.Bits[i/8] |= 1 << (i % 8)
		}
	}
	return report
}

// Report implements driver.Module.
func (p *placementModule) Report(time.Time) []byte {
	if !p.Initialized() {
		return nil
	}
	data, err := cbor.Marshal(p.syncReport())
	if err != nil {
		p.host.Log().Error("fleet", "do", "report", "err", err)
	}
	return data
}

// ReceiveReport implements driver.Module.
func (p *placementModule) ReceiveReport(from consensus.Member, report []byte, _ time.Time) {
	var syncReport syncReport
	if len(report) == 0 {
		return
	}
	if err := cbor.Unmarshal(report, &syncReport); err != nil || len(syncReport.Bits) != placement.Shards/8 {
		p.host.Log().Debug("fleet", "do", "report", "from", from.Name, "bytes", len(report), "err", err)
		return
	}
	p.syncReports[from.Name] = syncReport
}

// ReadConfirmed implements driver.Module.
func (p *placementModule) ReadConfirmed(uint64, time.Time) {}

// Receive implements driver.Module. The module sends no messages.
func (p *placementModule) Receive(consensus.Member, []byte, time.Time) {}

// Stop implements driver.Module.
func (p *placementModule) Stop() {}

// Metrics implements driver.Module.
func (p *placementModule) Metrics(time.Time) []byte {
	view := p.state.View()
	if view == nil {
		return nil
	}
	replicas, unreplicated := 0, 0
	self := p.host.Self().Name
	for shard := range placement.Shards {
		primary, backup := view.Replicas(shard)
		if primary == self || backup == self {
			replicas++
		}
		if backup == "" {
			unreplicated++
		}
	}
	return fmt.Appendf(nil, "fleet.epoch=%d\nfleet.homes=%d\nfleet.bare=%d\n", view.Epoch, replicas, unreplicated)
}
