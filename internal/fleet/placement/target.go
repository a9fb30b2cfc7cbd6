package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// MaxWeight is the maximum weight of a server.
const MaxWeight = 1e6

// Member is a server that may hold replicas. Its share of them is its weight relative to the others; 0 = it shall hold
// none, and hands over what it holds.
type Member struct {
	Name, Zone string
	Weight     float64
}

// checkMembers returns an error if a list of servers is invalid.
func checkMembers(servers []Member) error {
	if len(servers) == 0 || len(servers) > MaxBoxes {
		return fmt.Errorf("placement on %d servers, 1 to %d are allowed: %w", len(servers), MaxBoxes, ErrInvalid)
	}
	names := map[string]bool{}
	sum := 0.0
	for _, server := range servers {
		switch {
		case server.Name == "" || len(server.Name) > maxName || len(server.Zone) > maxName:
			return fmt.Errorf("server %.70q in zone %.70q: names must have at most %d bytes, and a server must have one: %w", server.Name, server.Zone, maxName, ErrInvalid)
		case names[server.Name]:
			return fmt.Errorf("server %s is listed twice: %w", server.Name, ErrInvalid)
		case !(server.Weight >= 0 && server.Weight <= MaxWeight):
			return fmt.Errorf("server %s has the weight %v, 0 to %v are allowed: %w", server.Name, server.Weight,
				MaxWeight, ErrInvalid)
		}
		names[server.Name] = true
		sum += server.Weight
	}
	if sum == 0 {
		return fmt.Errorf("none of %d servers has a weight: %w", len(servers), ErrInvalid)
	}
	return nil
}

// Target derives the replicas that all shards should have from those that they have: each server gets its share by
// weight, the two replicas of a shard are in different zones if there are two, and as few replicas as possible are new.
// Which shards a server takes from those with too many is drawn by a hash of both (the idea of rendezvous hashing,
// Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998), so that its shards have all other
// servers as partners. No server is further than 2 from its share of replicas (a zone, or a server of a single zone, has
// at most one replica of each shard).
func Target(s *State, servers []Member) ([]Change, error) {
	if err := checkMembers(servers); err != nil {
		return nil, err
	}
	level := newBalance(s, servers)
	level.assignReplicas()
	level.balancePrimaries()
	changes := make([]Change, Shards)
	for i, pair := range level.pairs {
		changes[i] = Change{Slice: i, First: level.servers[pair[0]].Name}
		if pair[1] >= 0 {
			changes[i].Second = level.servers[pair[1]].Name
		}
	}
	return changes, nil
}

// weighted returns the servers that have a weight, by zone and name, and whether they are in several zones.
func weighted(servers []Member) (selected []Member, zoned bool) {
	selected = slices.DeleteFunc(slices.Clone(servers), func(server Member) bool { return server.Weight == 0 })
	slices.SortFunc(selected, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
	})
	return selected, selected[0].Zone != selected[len(selected)-1].Zone
}

// quotaGroup is what can hold at most one replica of a shard: a zone if there are several, else a server.
type quotaGroup struct {
	from, to int // range of its servers
	weight   float64
	share    float64 // of the replicas
}

// quotaGroups divides the replicas among the servers of weighted by weight. No group gets more than one replica of each
// shard; what it would have beyond that is divided among the others.
func quotaGroups(servers []Member, zoned bool) (result []quotaGroup) {
	sum := 0.0
	for i, server := range servers {
		if i == 0 || !zoned || server.Zone != servers[i-1].Zone {
			result = append(result, quotaGroup{from: i})
		}
		group := &result[len(result)-1]
		group.to, group.weight = i+1, group.weight+server.Weight
		sum += server.Weight
	}
	heavy, restWeight := -1, 0.0 // heavy is the group with more than half of the weight
	for i, group := range result {
		if group.weight > sum/2 {
			heavy = i
		} else {
			restWeight += group.weight
		}
	}
	for i := range result {
		switch group := &result[i]; {
		case i == heavy:
			group.share = Shards
		case heavy >= 0:
			group.share = Shards * group.weight / restWeight
		default:
			group.share = 2 * Shards * group.weight / sum
		}
	}
	return result
}

// apportion rounds shares to whole numbers with a given sum: each is rounded down, and the remainder goes first to
// those that already have more, then to those that rounding reduced most.
func apportion(shares []float64, have []int, sum int) []int {
	result := make([]int, len(shares))
	order := make([]int, len(shares))
	for i, share := range shares {
		result[i], order[i] = int(share), i
		sum -= result[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		hasMore := func(i int) int { return min(1, max(0, have[i]-result[i])) }
		return cmp.Or(hasMore(b)-hasMore(a), cmp.Compare(shares[b]-math.Floor(shares[b]), shares[a]-math.Floor(shares[a])))
	})
	for _, i := range order[:max(0, min(sum, len(order)))] {
		result[i]++
	}
	return result
}
