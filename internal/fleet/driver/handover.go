package driver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/takeout"
)

// ErrNoSuccessor is a fleet with no other voter that could lead.
var ErrNoSuccessor = errors.New("no other voter is heard of, warm and not taken out")

// HandOver hands the leadership to another voter, if this box has it, and returns once another leads or the context ends. It
// is called from outside the loop, before the process ends: the others then need not miss the leader first.
func (d *Driver) HandOver(ctx context.Context) error {
	clock := time.NewTicker(tick)
	defer clock.Stop()
	for led := false; ; {
		over := false
		var state error // what keeps it from being over
		err := d.onLoop(ctx, func() error {
			_, leads := d.node.Leads()
			over = !leads && (!led || d.node.Leader() != 0)
			led = led || leads
			if !leads {
				return nil
			}
			if d.soleVoter() {
				return ErrNoSuccessor
			}
			state = d.transfer(time.Now())
			return nil
		})
		if err != nil || over {
			return err
		}
		select {
		case <-ctx.Done():
			if state == nil {
				state = ctx.Err()
			}
			return fmt.Errorf("the leadership is not handed over: %w", state)
		case <-clock.C:
		}
	}
}

// soleVoter reports whether no other box votes.
func (d *Driver) soleVoter() bool {
	return !slices.ContainsFunc(d.node.State().Members, func(m agree.Member) bool { return m.Voter && m.ID != d.self.ID })
}

// onLoop has a function run on the loop, and returns what it does.
func (d *Driver) onLoop(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	if !d.enter(func() { result <- f() }) {
		return errors.New("the loop has ended, or its queue is full")
	}
	select {
	case err := <-result:
		return err
	case <-d.done:
		return errors.New("the loop has ended")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transfer begins to hand the leadership to another voter. Called again while that goes on it changes nothing.
func (d *Driver) transfer(now time.Time) error {
	m := d.successor(now)
	if m == nil {
		return ErrNoSuccessor
	}
	if d.handed != m.ID {
		d.handed = m.ID
		d.log.Info("fleet", "do", "hand over", "to", m.Name)
	}
	d.node.Transfer(m.ID)
	return nil
}

// successor returns the first voter that is heard of, warm and not taken out; nil = there is none.
func (d *Driver) successor(now time.Time) *agree.Member {
	s := d.node.State()
	for i := range s.Members {
		m := &s.Members[i]
		if m.ID == d.self.ID || !m.Voter || !d.fresh(m, now) {
			continue
		}
		box, report := s.Work.Box(m.Name), d.reports[m.Name]
		if box != nil && (box.Phase == takeout.In || box.Phase == takeout.Returning) && report.Warm && !report.Failing {
			return m
		}
	}
	return nil
}
