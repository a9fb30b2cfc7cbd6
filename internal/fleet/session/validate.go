package session

import (
	"errors"
	"fmt"
	"math"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/maintenance"
)

// maxPoolBytes bounds the address of a worker pool.
const maxPoolBytes = 256

// Errors of messages and options.
var (
	ErrInvalid = errors.New("cannot be")
	ErrUnknown = errors.New("no such session")
)

func validName(name string) bool { return name != "" && len(name) <= limits.MaxName }

func (h *Hello) validate() error {
	switch {
	case !validName(h.Server) || !validName(h.Zone):
		return fmt.Errorf("server %.70q in zone %.70q: names of 1 to %d bytes are wanted: %w", h.Server, h.Zone, limits.MaxName, ErrInvalid)
	case len(h.Pool) > maxPoolBytes:
		return fmt.Errorf("server %s: a pool of %d bytes, %d at most: %w", h.Server, len(h.Pool), maxPoolBytes, ErrInvalid)
	case h.Incarnation == 0 || h.Session == 0:
		return fmt.Errorf("server %s: incarnation %d, session %d: %w", h.Server, h.Incarnation, h.Session, ErrInvalid)
	case h.Fleet == 0 && h.Revision != 0:
		return fmt.Errorf("server %s: revision %d of no fleet: %w", h.Server, h.Revision, ErrInvalid)
	}
	return nil
}

// validate checks a heartbeat of a session. sequence is that of the session's last renewal.
func (hb *Heartbeat) validate(h *Hello, sequence uint64, first bool) error {
	switch {
	case (hb.FencingToken == 0) != (hb.Sequence == 0):
		return fmt.Errorf("server %s renews %d as number %d: %w", h.Server, hb.FencingToken, hb.Sequence, ErrInvalid)
	case hb.Sequence != 0 && hb.Sequence <= sequence:
		return fmt.Errorf("server %s: renewal %d after %d: %w", h.Server, hb.Sequence, sequence, ErrInvalid)
	case first && hb.Report == nil:
		return fmt.Errorf("server %s: no report in the first heartbeat: %w", h.Server, ErrInvalid)
	case len(hb.Proposals) > MaxProposals:
		return fmt.Errorf("server %s: %d proposals, %d at most: %w", h.Server, len(hb.Proposals), MaxProposals, ErrInvalid)
	}
	if hb.Report != nil {
		if err := validateReport(h.Server, h.Incarnation, hb.Report); err != nil {
			return err
		}
	}
	for i := range hb.Proposals {
		if err := hb.Proposals[i].validate(h); err != nil {
			return err
		}
	}
	return nil
}

func validateReport(server string, incarnation uint64, r *maintenance.Report) error {
	finite := func(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
	switch {
	case r.Incarnation != incarnation:
		return fmt.Errorf("server %s: a report of incarnation %d, the session's is %d: %w", server, r.Incarnation, incarnation, ErrInvalid)
	case !finite(r.Capacity) || !finite(r.Load) || r.Open < 0:
		return fmt.Errorf("server %s: a report of load %v, capacity %v, %d open: %w", server, r.Load, r.Capacity, r.Open, ErrInvalid)
	}
	return nil
}

// validate checks that a server proposes only entries about itself that it is allowed to propose.
func (p *Proposal) validate(h *Hello) error {
	switch {
	case p.Step != nil && p.Live == nil:
		e := p.Step
		empty := e.Zone == "" && e.Plan.ID == "" && len(e.Plan.Boxes) == 0 && len(e.Plan.Order) == 0 && len(e.Plan.Gone) == 0 &&
			len(e.Order) == 0 && len(e.Missing) == 0 && e.By == "" && len(e.Why) <= MaxReason
		if e.Kind != maintenance.Step || e.Box != h.Server || e.Incarnation != h.Incarnation || e.Phase > maintenance.Returning || !empty {
			return fmt.Errorf("server %s proposes an entry of kind %d for %.70q: %w", h.Server, e.Kind, e.Box, ErrInvalid)
		}
		return nil
	case p.Live != nil && p.Step == nil:
		want := registrationEntry(h)
		if *p.Live != want {
			return fmt.Errorf("server %s proposes a lease's entry of kind %d for %.70q: %w", h.Server, p.Live.Kind, p.Live.Box, ErrInvalid)
		}
		return nil
	}
	return fmt.Errorf("server %s: a proposal of not just one thing: %w", h.Server, ErrInvalid)
}

// registrationEntry returns the entry that registers the process of a session.
func registrationEntry(h *Hello) lease.Entry {
	return lease.Entry{Kind: lease.Registered, Box: h.Server, Zone: h.Zone, Incarnation: h.Incarnation, Pool: h.Pool}
}

// hasOneField reports whether exactly one field of a node's message is set.
func (m *FromNode) hasOneField() bool {
	set := 0
	for _, has := range []bool{m.Welcome != nil, m.Refusal != nil, m.Ack != nil, m.Batch != nil} {
		if has {
			set++
		}
	}
	return set == 1
}
