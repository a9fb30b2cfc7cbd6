package placement

import (
	"fmt"
	"slices"
)

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entry.
const (
	Join  Kind = iota + 1 // servers can hold replicas from now on
	Leave                 // servers that hold no replica can hold none any longer
	Move                  // shards get other replicas
)

// Change assigns the replicas of a shard: First is the primary, Second the backup. Second is "" in a fleet of one
// server.
type Change struct {
	Slice         int // the shard
	First, Second string
}

// Entry is one entry of the log. Which fields are used depends on Kind.
type Entry struct {
	Kind    Kind
	Boxes   []string // Join and Leave only: names of servers
	Epoch   uint64   // Move only: epoch of the state for which it was made
	Changes []Change // Move only: sorted by shard
	Missing []string // Move only: servers that the proposer takes as lost with all their records
	Why     string   // for the log
}

// Apply applies the entry of an index. It is deterministic: it depends on nothing but the state and the entry. An
// invalid entry changes nothing but the index, and the error, which is the same on every server, says why.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index = index
	if len(e.Why) > maxWhy {
		return fmt.Errorf("a reason of %d bytes, the maximum is %d: %w", len(e.Why), maxWhy, ErrInvalid)
	}
	switch e.Kind {
	case Join:
		return s.join(e.Boxes)
	case Leave:
		return s.leave(e.Boxes)
	case Move:
		return s.move(index, e)
	}
	return fmt.Errorf("entry of kind %d: %w", e.Kind, ErrInvalid)
}

// join adds servers. One that is known already stays as it is.
func (s *State) join(names []string) error {
	servers := slices.Clone(s.Boxes)
	for _, name := range names {
		if name == "" || len(name) > maxName {
			return fmt.Errorf("server %.70q: a name must have 1 to %d bytes: %w", name, maxName, ErrInvalid)
		}
		if i, ok := slices.BinarySearch(servers, name); !ok && len(servers) < MaxBoxes {
			servers = slices.Insert(servers, i, name)
		} else if !ok {
			return fmt.Errorf("server %s: the maximum of %d servers is reached: %w", name, MaxBoxes, ErrInvalid)
		}
	}
	s.setServers(servers)
	return nil
}

// leave removes servers that hold no replica.
func (s *State) leave(names []string) error {
	if s.Homes != nil {
		for i, p := range s.Homes {
			for _, name := range [2]string{s.serverAt(p.First), s.serverAt(p.Second)} {
				if name != "" && slices.Contains(names, name) {
					return fmt.Errorf("server %s holds a replica of shard %d: %w", name, i, ErrNoReplicaLeft)
				}
			}
		}
	}
	s.setServers(slices.DeleteFunc(slices.Clone(s.Boxes), func(name string) bool { return slices.Contains(names, name) }))
	return nil
}

// setServers replaces the list of servers and adjusts the positions in the pairs to it.
func (s *State) setServers(servers []string) {
	before := *s
	s.Boxes = servers
	if before.Homes == nil {
		return
	}
	positions := make([]uint16, len(before.Boxes)+1)
	for i, name := range before.Boxes {
		positions[i+1] = s.position(name)
	}
	s.Homes = new(Assignment)
	for i, p := range before.Homes {
		s.Homes[i] = Pair{positions[p.First], positions[p.Second]}
	}
}

// move assigns other replicas to shards, to all of them or to none. A shard keeps one of its replicas, unless all of
// them are named as missing.
func (s *State) move(index uint64, e *Entry) error {
	switch {
	case e.Epoch != s.Epoch:
		return fmt.Errorf("a move made for epoch %d, the state is at %d: %w", e.Epoch, s.Epoch, ErrEpoch)
	case len(e.Changes) == 0 || len(e.Changes) > Shards || len(e.Missing) > MaxBoxes:
		return fmt.Errorf("a move of %d shards with %d servers missing: %w", len(e.Changes), len(e.Missing), ErrInvalid)
	}
	next, since := new(Assignment), new(AssignedAt)
	if s.Homes != nil {
		*next, *since = *s.Homes, *s.Since
	}
	for i, change := range e.Changes {
		if change.Slice < 0 || change.Slice >= Shards || i > 0 && e.Changes[i-1].Slice >= change.Slice {
			return fmt.Errorf("a move of shard %d, out of range, repeated or out of order: %w", change.Slice, ErrInvalid)
		}
		pair := Pair{s.position(change.First), s.position(change.Second)}
		if pair.First == 0 || pair.Second == 0 && change.Second != "" {
			return fmt.Errorf("shard %d to servers %.70q and %.70q: %w", change.Slice, change.First, change.Second, ErrUnknown)
		}
		if pair.First == pair.Second {
			return fmt.Errorf("shard %d to server %s twice: %w", change.Slice, change.First, ErrInvalid)
		}
		primary, backup := s.Replicas(change.Slice)
		kept := func(name string) bool { return name != "" && (name == change.First || name == change.Second) }
		gone := func(name string) bool { return name == "" || slices.Contains(e.Missing, name) }
		if !kept(primary) && !kept(backup) && !(gone(primary) && gone(backup)) {
			return fmt.Errorf("shard %d would leave both %s and %s: %w", change.Slice, primary, backup, ErrNoReplicaLeft)
		}
		for _, name := range [2]string{change.First, change.Second} {
			if name != "" && name != primary && name != backup {
				since[change.Slice] = index
			}
		}
		next[change.Slice] = pair
	}
	if s.Origin == 0 {
		s.Origin = index
	}
	s.Homes, s.Since, s.Epoch = next, since, index
	return nil
}
