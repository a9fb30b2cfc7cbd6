package lease

import "time"

// What is assumed of clocks and timers, whatever the terms.
const (
	Drift  = 100                    // a clock gains or loses at most one part in so many
	Margin = 100 * time.Millisecond // on top, for what rounds and timers lose
)

// Terms are the times of the leases of a fleet. All its servers have the same.
type Terms struct {
	Length time.Duration // from the moment at which its renewal was sent, by the holder's clock
	Every  time.Duration // between two renewals of a server
}

// MeshTerms are those of a fleet in which every server is a member of raft.
var MeshTerms = Terms{Length: 3 * time.Second, Every: 300 * time.Millisecond}

// ControlTierTerms are those of a fleet whose servers renew through sessions to control nodes: they leave the time to
// move a session that was lost at the worst moment.
var ControlTierTerms = Terms{Length: 6 * time.Second, Every: 500 * time.Millisecond}

// Patience returns how long the leader waits by its own clock after it was last asked: the lease by a clock that is slow
// against one that is fast, and the margin. 3.16 s for a mesh, 6.22 s with a control tier.
func (t Terms) Patience() time.Duration {
	return t.Length + 2*t.Length/Drift + Margin
}

// kept returns how many renewals a grant may still be for: more than fit into a lease.
func (t Terms) kept() uint64 {
	return uint64(t.Length/t.Every) + 3
}
