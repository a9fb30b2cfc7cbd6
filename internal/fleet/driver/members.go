package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/agree"
)

// found begins a fleet with this box.
func (d *Driver) found() error {
	if err := agree.Found(d.store, d.self); err != nil {
		return err
	}
	if err := d.begin(); err != nil {
		return err
	}
	return d.node.Campaign()
}

// knock asks one box of the file after the other to be let in.
func (d *Driver) knock(ctx context.Context) {
	if len(d.boxes) == 0 {
		return
	}
	d.knocks++
	b := d.boxes[d.knocks%len(d.boxes)]
	if d.knocking != nil {
		d.knocking.close()
	}
	d.knocking = newLine(ctx, d, b.Name, b.Addr, 0)
	d.knocking.tell("/fleet/knock", d.hello)
}

// knocked is a box that knocks. Only the leader lets it in; another passes it on, once.
func (d *Driver) knocked(m agree.Member) error {
	if _, leads := d.node.Leads(); leads {
		return d.letIn(m)
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("knock: %w", err)
	}
	if l := d.lines[d.node.Leader()]; l != nil {
		l.tell("/fleet/passed", data)
	}
	return agree.ErrNoLeader
}

// letIn takes what a leader may have been passed.
func (d *Driver) letIn(m agree.Member) error {
	s := d.node.State()
	if _, leads := d.node.Leads(); !leads {
		return agree.ErrNoLeader
	}
	if !d.opt.mayJoin(m.Name) {
		return fmt.Errorf("%.70q is none of the nodes that the fleet is made of: %w", m.Name, agree.ErrMember)
	}
	now := time.Now()
	c, err := s.Knock(m, func(id uint64) bool { return d.heard(s, id, now) })
	if err != nil {
		d.log.Warn("fleet", "do", "knock", "box", m.Name, "addr", m.Addr, "err", err)
		return err
	}
	if c != nil {
		d.change(c)
	}
	return nil
}

// heard tells that a member's reports are new.
func (d *Driver) heard(s *agree.State, id uint64, now time.Time) bool {
	m := s.Member(id)
	return m != nil && d.fresh(m, now)
}

func (d *Driver) fresh(m *agree.Member, now time.Time) bool {
	if m.ID == d.self.ID {
		return true
	}
	r, ok := d.reports[m.Name]
	return ok && r.Fresh(now.UnixMilli(), int64(d.opt.SilentMs))
}

func (d *Driver) change(c *agree.Change) {
	if err := d.node.Change(c); err != nil {
		d.log.Warn("fleet", "do", "change", "kind", c.Kind, "box", c.Member.Name, "err", err)
	}
}

// to gives the line to a member. One that is not known any longer gets a line that takes nothing.
func (d *Driver) to(ctx context.Context, id uint64) *line {
	m := d.node.State().Member(id)
	if m == nil && id != 0 && d.leader.ID == id && d.node.State().Member(d.self.ID) == nil {
		m = &d.leader
	}
	l := d.lines[id]
	if m == nil {
		if l != nil {
			l.close()
			delete(d.lines, id)
		}
		return nil
	}
	addr := m.Addr
	if way, ok := d.ways[m.Name]; ok {
		addr = way
	}
	if l == nil || l.addr != addr {
		if l != nil {
			l.close()
		}
		l = newLine(ctx, d, m.Name, addr, id)
		d.lines[id] = l
	}
	return l
}
