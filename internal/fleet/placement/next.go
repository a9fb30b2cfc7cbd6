package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Next derives the entry that the leader proposes to bring the placement closer to the target of some servers; nil =
// nothing now. servers are those that shall hold replicas, and those of weight 0 that are registered and shall hold
// none. A replica on any other server is taken as lost with all its records. How long to wait for a lost server is up
// to the caller, which leaves it in servers meanwhile.
//
// inSync reports whether the backup of a shard has all the records of its primary. A shard with both replicas is
// changed only while it is in sync, one replica at a time, and a new server becomes the backup: so a primary has always
// had all records. At most limit shards are out of sync because of that at a time. A shard that has lost one replica
// gets another, limit of them per entry; shards that have lost both get two new ones at once.
func Next(s *State, servers []Member, limit int, inSync func(shard int) bool) (*Entry, error) {
	target, err := Target(s, servers)
	if err != nil {
		return nil, err
	}
	zones := map[string]string{}
	var joining []string
	for _, server := range servers {
		zones[server.Name] = server.Zone
		if server.Weight > 0 && s.position(server.Name) == 0 {
			joining = append(joining, server.Name)
		}
	}
	if joining != nil {
		slices.Sort(joining)
		return &Entry{Kind: Join, Boxes: joining, Why: fmt.Sprintf("%d boxes have come", len(joining))}, nil
	}
	present := func(name string) bool { _, ok := zones[name]; return ok }
	var unplaced, degraded, movable []Change // changes by the number of replicas that are left: 0, 1, 2
	assigned, missing := map[string]bool{}, map[string]bool{}
	syncing := 0
	for shard, goal := range target {
		primary, backup := s.Replicas(shard)
		for _, name := range [2]string{primary, backup} {
			assigned[name] = true
			if name != "" && !present(name) {
				missing[name] = true
			}
		}
		change := goal
		switch {
		case present(primary) && present(backup):
			if !inSync(shard) {
				syncing++
			} else if change = nextStep(primary, backup, goal, zones); change.First != primary || change.Second != backup {
				movable = append(movable, change)
			}
		case present(primary) || present(backup):
			remaining := primary
			if !present(primary) {
				remaining = backup
			}
			if change = pairWith(remaining, goal, zones); change.First != primary || change.Second != backup {
				degraded = append(degraded, change)
			}
		default:
			unplaced = append(unplaced, change)
		}
	}
	changes := slices.Concat(unplaced, degraded[:max(0, min(limit, len(degraded)))],
		movable[:max(0, min(limit-syncing, len(movable)))])
	if len(changes) > 0 {
		slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Slice, b.Slice) })
		return &Entry{Kind: Move, Epoch: s.Epoch, Changes: changes, Missing: slices.Sorted(maps.Keys(missing)),
			Why: fmt.Sprintf("%d slices have no home, %d one, %d others are not where they should be, %d unsettled",
				len(unplaced), len(degraded), len(movable), syncing)}, nil
	}
	if remaining := slices.DeleteFunc(slices.Clone(s.Boxes),
		func(name string) bool { return present(name) || assigned[name] }); len(remaining) > 0 {
		return &Entry{Kind: Leave, Boxes: remaining, Why: fmt.Sprintf("%d boxes are home to nothing", len(remaining))}, nil
	}
	return nil, nil
}

// nextStep returns the next pair of an in-sync shard on its way from the replicas a and b to the target.
func nextStep(a, b string, want Change, zones map[string]string) Change {
	holds := func(name string) bool { return name == a || name == b }
	switch {
	case holds(want.First) && holds(want.Second):
		return want
	case holds(want.First):
		return pairWith(want.First, want, zones)
	case holds(want.Second):
		return pairWith(want.Second, want, zones)
	}
	return pairWith(a, want, zones)
}

// pairWith returns the pair of a replica that has the records and stays, and a new replica beside it: of the target's
// replicas, one in another zone if there is one.
func pairWith(survivor string, want Change, zones map[string]string) Change {
	switch first, second := want.First, want.Second; {
	case survivor == first:
		return want
	case survivor == second, second == "", zones[first] != zones[survivor], zones[second] == zones[survivor]:
		return Change{want.Slice, survivor, first}
	default:
		return Change{want.Slice, survivor, second}
	}
}
