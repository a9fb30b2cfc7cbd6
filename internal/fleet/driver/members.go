package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/consensus"
)

// bootstrap starts a new fleet with this server as its only member.
func (d *Driver) bootstrap() error {
	if err := consensus.Bootstrap(d.store, d.self); err != nil {
		return err
	}
	if err := d.startNode(); err != nil {
		return err
	}
	return d.node.Campaign()
}

// sendJoinRequest asks the next of the configured servers to admit this one.
func (d *Driver) sendJoinRequest(ctx context.Context) {
	if len(d.joinTargets) == 0 {
		return
	}
	d.joinAttempts++
	target := d.joinTargets[d.joinAttempts%len(d.joinTargets)]
	if d.joinSender != nil {
		d.joinSender.close()
	}
	d.joinSender = newSender(ctx, d, target.Name, target.Addr, 0)
	d.joinSender.queueReport("/fleet/knock", d.selfFrame)
}

// handleJoinRequest handles a join request. Only the leader admits a server; another server forwards the request to
// the leader once.
func (d *Driver) handleJoinRequest(m consensus.Member) error {
	if _, leads := d.node.Leads(); leads {
		return d.admit(m)
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("join request: %w", err)
	}
	if s := d.senders[d.node.Leader()]; s != nil {
		s.queueReport("/fleet/passed", data)
	}
	return consensus.ErrNoLeader
}

// admit handles a join request that came directly or was forwarded.
func (d *Driver) admit(m consensus.Member) error {
	state := d.node.State()
	if _, leads := d.node.Leads(); !leads {
		return consensus.ErrNoLeader
	}
	if !d.opt.mayJoin(m.Name) {
		return fmt.Errorf("%.70q is none of the nodes that the fleet is made of: %w", m.Name, consensus.ErrMembership)
	}
	now := time.Now()
	c, err := state.JoinChange(m, func(id uint64) bool { return d.reporting(state, id, now) })
	if err != nil {
		d.log.Warn("fleet", "do", "knock", "box", m.Name, "addr", m.Addr, "err", err)
		return err
	}
	if c != nil {
		d.proposeChange(c)
	}
	return nil
}

// reporting reports whether a member's newest report is recent.
func (d *Driver) reporting(state *consensus.State, id uint64, now time.Time) bool {
	m := state.Member(id)
	return m != nil && d.hasFreshReport(m, now)
}

func (d *Driver) hasFreshReport(m *consensus.Member, now time.Time) bool {
	if m.ID == d.self.ID {
		return true
	}
	r, ok := d.reports[m.Name]
	return ok && r.Fresh(now.UnixMilli(), int64(d.opt.SilentMs))
}

func (d *Driver) proposeChange(c *consensus.Change) {
	if err := d.node.Change(c); err != nil {
		d.log.Warn("fleet", "do", "change", "kind", c.Kind, "box", c.Member.Name, "err", err)
	}
}

// senderTo returns the sender for a member; nil = unknown or no longer a member.
func (d *Driver) senderTo(ctx context.Context, id uint64) *sender {
	m := d.node.State().Member(id)
	if m == nil && id != 0 && d.lastSender.ID == id && d.node.State().Member(d.self.ID) == nil {
		m = &d.lastSender
	}
	s := d.senders[id]
	if m == nil {
		if s != nil {
			s.close()
			delete(d.senders, id)
		}
		return nil
	}
	addr := m.Addr
	if override, ok := d.addrOverrides[m.Name]; ok {
		addr = override
	}
	if s == nil || s.addr != addr {
		if s != nil {
			s.close()
		}
		s = newSender(ctx, d, m.Name, addr, id)
		d.senders[id] = s
	}
	return s
}
