package driver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
)

// ErrNoSuccessor means that no other voter can become the leader.
var ErrNoSuccessor = errors.New("no other voter is reporting, warm and in service")

// TransferLeadership transfers the leadership to another voter if this server has it. It returns once another server
// leads or the context ends. It is called from outside the loop, before the process ends, so that the others need not
// wait for an election timeout.
func (d *Driver) TransferLeadership(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for wasLeader := false; ; {
		done := false
		var transferErr error // why the leadership has not been transferred yet
		err := d.runOnLoop(ctx, func() error {
			_, leads := d.node.Leads()
			done = !leads && (!wasLeader || d.node.Leader() != 0)
			wasLeader = wasLeader || leads
			if !leads {
				return nil
			}
			if d.soleVoter() {
				return ErrNoSuccessor
			}
			transferErr = d.transfer(time.Now())
			return nil
		})
		if err != nil || done {
			return err
		}
		select {
		case <-ctx.Done():
			if transferErr == nil {
				transferErr = ctx.Err()
			}
			return fmt.Errorf("the leadership was not transferred: %w", transferErr)
		case <-ticker.C:
		}
	}
}

// soleVoter reports whether no other server votes.
func (d *Driver) soleVoter() bool {
	return !slices.ContainsFunc(d.node.State().Members, func(m consensus.Member) bool { return m.Voter && m.ID != d.self.ID })
}

// runOnLoop runs a function on the loop, and returns its result.
func (d *Driver) runOnLoop(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	if !d.enqueue(func() { result <- f() }) {
		return errors.New("the membership has ended, or its queue is full")
	}
	select {
	case err := <-result:
		return err
	case <-d.done:
		return errors.New("the membership has ended")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transfer starts to transfer the leadership to another voter. A further call during a transfer changes nothing.
func (d *Driver) transfer(now time.Time) error {
	m := d.successor(now)
	if m == nil {
		return ErrNoSuccessor
	}
	if d.transferTarget != m.ID {
		d.transferTarget = m.ID
		d.log.Info("fleet", "do", "hand over", "to", m.Name)
	}
	d.node.TransferLeadership(m.ID)
	return nil
}

// successor returns the first voter that reports, is warm and is in service; nil = there is none.
func (d *Driver) successor(now time.Time) *consensus.Member {
	s := d.node.State()
	for i := range s.Members {
		m := &s.Members[i]
		if m.ID == d.self.ID || !m.Voter || !d.hasFreshReport(m, now) {
			continue
		}
		server, report := s.Work.Server(m.Name), d.reports[m.Name]
		if server != nil && (server.Phase == maintenance.InService || server.Phase == maintenance.Returning) && report.Warm && !report.Failing {
			return m
		}
	}
	return nil
}
