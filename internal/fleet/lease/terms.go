package lease

import "time"

// Assumptions about clocks and timers, whatever the terms.
const (
	Drift  = 100                    // a clock gains or loses at most one part in Drift
	Margin = 100 * time.Millisecond // additional allowance for the delays of rounds and timers
)

// Terms are the durations of a fleet's leases. All its servers use the same.
type Terms struct {
	Length        time.Duration // from the moment its renewal was sent, by the holder's clock
	RenewInterval time.Duration // interval between two renewals of a server
}

// MeshTerms are the terms of a fleet in which every server is a member of raft.
var MeshTerms = Terms{Length: 3 * time.Second, RenewInterval: 300 * time.Millisecond}

// ControlTierTerms are the terms of a fleet whose servers renew through sessions to control nodes. They leave the time
// to move a session that was lost at the worst moment.
var ControlTierTerms = Terms{Length: 6 * time.Second, RenewInterval: 500 * time.Millisecond}

// ExpiryDelay returns how long the leader waits by its own clock after the last renewal before it declares a server
// expired: the lease by the slowest clock as measured by the fastest, plus the margin. That is 3.16 s for a mesh and
// 6.22 s with a control tier.
func (t Terms) ExpiryDelay() time.Duration {
	return t.Length + 2*t.Length/Drift + Margin
}

// outstanding returns how many of the latest renewals a grant may still refer to: more than are sent in one lease.
func (t Terms) outstanding() uint64 {
	return uint64(t.Length/t.RenewInterval) + 3
}
