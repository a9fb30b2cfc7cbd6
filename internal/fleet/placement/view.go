package placement

import "larchscale/internal/fleet/lease"

// View is what a server acts under: the replicas on registered servers. It shares nothing with the states that it was
// derived from.
type View struct {
	Epoch      uint64                  // log index of the last entry that moved a shard or changed which servers are registered
	Registered map[string]lease.Server // the registered servers, by name
	Expired    []lease.Server          // the expired servers, until they register again
	replicas   [Shards][2]string
	original   [Shards]bool // no replica has been added since Origin
	origin     uint64
}

// NewView derives a view from the replicated states. If both replicas are registered, the primary is the one that the
// placement names first, unless its process began when the other was already a replica: its records were lost with the
// process before, and the other has them.
func NewView(leases *lease.State, placement *State) *View {
	view := &View{Epoch: max(leases.Epoch, placement.Epoch), Registered: map[string]lease.Server{}, origin: placement.Origin}
	for _, server := range leases.Boxes {
		if !server.Lost {
			view.Registered[server.Name] = server
		} else {
			view.Expired = append(view.Expired, server)
		}
	}
	for i := range view.replicas {
		firstName, secondName := placement.Replicas(i)
		a, b := view.Registered[firstName], view.Registered[secondName]
		if a.Life != 0 && b.Life != 0 && a.Life > max(placement.Since[i], b.Life) {
			a, b = b, a
		}
		if a.Life == 0 {
			a, b = b, a
		}
		view.replicas[i] = [2]string{a.Name, b.Name}
		view.original[i] = placement.Origin != 0 && placement.Since[i] == placement.Origin
	}
	return view
}

// Replicas returns the registered replicas of a shard, primary first: without the primary, the backup takes its place.
// "" = none.
func (v *View) Replicas(shard int) (primary, backup string) {
	return v.replicas[shard][0], v.replicas[shard][1]
}

// Placed reports whether shards have ever been assigned.
func (v *View) Placed() bool { return v.origin != 0 }

// HeldSinceOrigin reports whether a process has been a replica of a shard since shards were first assigned, and so has seen
// all its records.
func (v *View) HeldSinceOrigin(shard int, name string) bool {
	replicas := v.replicas[shard]
	return v.original[shard] && name != "" && (replicas[0] == name || replicas[1] == name) && v.Registered[name].Life < v.origin
}

// EpochOrder is how the epoch of a message relates to a view.
type EpochOrder int

// The values of Standing.
const (
	Same  EpochOrder = iota
	Older            // the sender has not read the log as far: the message is refused, and the sender told the epoch
	Ahead            // this server has not read the log as far: it asks again later
)

// Compare returns how a message that was sent under an epoch relates to this view.
func (v *View) Compare(epoch uint64) EpochOrder {
	switch {
	case epoch < v.Epoch:
		return Older
	case epoch > v.Epoch:
		return Ahead
	}
	return Same
}
