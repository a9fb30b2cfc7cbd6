package placement

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// balance is a placement while its replicas are balanced. Servers are positions in the list of servers; -1 = none.
type balance struct {
	servers      []Member
	zoned        bool // no shard has both replicas in one zone
	seeds        []uint64
	pairs        [Shards][2]int
	initial      [Shards][2]int // the replicas that could stay, before any was assigned
	replicaCount []int          // replicas that each server has
	quota        []int
}

// slot is a replica of a shard, held by a server or by none.
type slot struct{ shard, server int }

// newBalance keeps the current replicas that can stay. A backup whose primary cannot stay becomes the primary.
func newBalance(s *State, members []Member) *balance {
	l := &balance{}
	l.servers, l.zoned = weighted(members)
	positions := map[string]int{}
	for i, server := range l.servers {
		positions[server.Name] = i
		l.seeds = append(l.seeds, xxhash.Sum64String(server.Name))
	}
	l.replicaCount = make([]int, len(l.servers))
	for i := range l.pairs {
		pair := &l.pairs[i]
		*pair = [2]int{-1, -1}
		primary, backup := s.Replicas(i)
		for _, name := range [2]string{primary, backup} {
			if server, ok := positions[name]; ok && l.canHold(i, -1, server) {
				l.assign(slot{i, -1}, server)
			}
		}
	}
	l.initial = l.pairs
	zoneGroups := quotaGroups(l.servers, l.zoned)
	shares, held := make([]float64, len(zoneGroups)), make([]int, len(zoneGroups))
	sum := 0.0
	for i, group := range zoneGroups {
		shares[i] = group.share
		sum += group.share
		for _, replicas := range l.replicaCount[group.from:group.to] {
			held[i] += replicas
		}
	}
	for i, replicas := range apportion(shares, held, int(sum+0.5)) {
		group := zoneGroups[i]
		own := make([]float64, group.to-group.from)
		for j, server := range l.servers[group.from:group.to] {
			own[j] = float64(replicas) * server.Weight / group.weight
		}
		l.quota = append(l.quota, apportion(own, l.replicaCount[group.from:group.to], replicas)...)
	}
	return l
}

// canHold reports whether a server can hold the replica of a shard that another server holds, or that none holds.
func (l *balance) canHold(shard, from, server int) bool {
	pair := l.pairs[shard]
	other := pair[0]
	if from >= 0 && other == from {
		other = pair[1]
	}
	return other < 0 || other != server && !(l.zoned && l.servers[other].Zone == l.servers[server].Zone)
}

// assign assigns a replica to another server. It becomes the backup, because the remaining replica has the records.
func (l *balance) assign(replica slot, server int) {
	pair := &l.pairs[replica.shard]
	if replica.server >= 0 {
		l.replicaCount[replica.server]--
		if pair[0] == replica.server {
			pair[0] = pair[1]
		}
	}
	if pair[1] = server; pair[0] < 0 {
		pair[0], pair[1] = server, -1
	}
	l.replicaCount[server]++
}

// lacksReplica reports whether a shard lacks a replica.
func (l *balance) lacksReplica(shard int) bool {
	return l.pairs[shard][0] < 0 || l.pairs[shard][1] < 0 && len(l.servers) > 1
}

// draw returns a server's random value for a shard: uniform in the open interval from 0 to 1.
func (l *balance) draw(server, shard int) float64 {
	var key [10]byte
	binary.LittleEndian.PutUint64(key[:], l.seeds[server])
	binary.LittleEndian.PutUint16(key[8:], uint16(shard))
	return (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
}

// assignReplicas assigns missing replicas to servers under their quota by weighted rendezvous hashing: each server
// draws an exponential time with its deficit as rate, and the earliest gets the replica. Then servers that are still
// under their quota take replicas of servers over theirs.
func (l *balance) assignReplicas() {
	for shard := range l.pairs {
		for l.lacksReplica(shard) {
			chosen, earliest := -1, math.Inf(1)
			for server := range l.servers {
				if deficit := l.quota[server] - l.replicaCount[server]; deficit > 0 && l.canHold(shard, -1, server) {
					if arrival := -math.Log(l.draw(server, shard)) / float64(deficit); arrival < earliest {
						chosen, earliest = server, arrival
					}
				}
			}
			if chosen < 0 {
				break
			}
			l.assign(slot{shard, -1}, chosen)
		}
	}
	for server := range l.servers {
		l.takeSurplus(server)
	}
	for range 4 * Shards { // more iterations than there are replicas
		chosen := -1
		for server := range l.servers {
			if deficit := l.quota[server] - l.replicaCount[server]; deficit > 0 &&
				(chosen < 0 || deficit > l.quota[chosen]-l.replicaCount[chosen]) {
				chosen = server
			}
		}
		if chosen < 0 || !l.assignByChain(chosen, true) && !l.assignByChain(chosen, false) {
			break
		}
	}
	for shard := range l.pairs { // replicas that the zones leave no other place for
		for l.lacksReplica(shard) {
			least := -1
			for server := range l.servers {
				if l.canHold(shard, -1, server) &&
					(least < 0 || l.replicaCount[server]-l.quota[server] < l.replicaCount[least]-l.quota[least]) {
					least = server
				}
			}
			l.assign(slot{shard, -1}, least)
		}
	}
}

// takeSurplus lets a server under its quota take replicas of servers over theirs, those with its lowest draws first.
func (l *balance) takeSurplus(server int) {
	if l.replicaCount[server] >= l.quota[server] {
		return
	}
	drawn := map[slot]float64{}
	for i, pair := range l.pairs {
		for _, from := range pair {
			if from >= 0 && l.replicaCount[from] > l.quota[from] && l.canHold(i, from, server) {
				drawn[slot{i, from}] = l.draw(server, i)
			}
		}
	}
	for _, candidate := range slices.SortedFunc(maps.Keys(drawn),
		func(a, b slot) int { return cmp.Or(cmp.Compare(drawn[a], drawn[b]), a.server-b.server) }) {
		if l.replicaCount[server] < l.quota[server] && l.replicaCount[candidate.server] > l.quota[candidate.server] &&
			l.canHold(candidate.shard, candidate.server, server) {
			l.assign(candidate, server)
		}
	}
}

// findReplica returns the replica that a server should take: a missing one, else one of a server over its quota; of
// several candidates the one with the server's lowest draw.
func (l *balance) findReplica(server int) (best slot, ok bool) {
	free, least := false, 0.0
	for shard, pair := range l.pairs {
		for _, from := range pair {
			nobody := from < 0
			if nobody && !l.lacksReplica(shard) ||
				!nobody && (free || from == server || l.replicaCount[from] <= l.quota[from]) ||
				!l.canHold(shard, from, server) {
				continue
			}
			if draw := l.draw(server, shard); !ok || nobody && !free || draw < least {
				best, ok, free, least = slot{shard, from}, true, nobody, draw
			}
		}
	}
	return best, ok
}

// assignByChain moves one more replica to a server, or to a server on the way to it; it returns false if there is no
// way. If the server can hold none of the available replicas, another server hands it a replica and takes an available
// one in return; the shortest such chain is used. With fresh, these other servers hand on only replicas that were
// assigned in this run, because moving those costs nothing.
func (l *balance) assignByChain(target int, fresh bool) bool {
	type link struct {
		gives slot // the replica that a server hands on once it has another for it
		to    int
	}
	links := make([]link, len(l.servers))
	seen := make([]bool, len(l.servers))
	seen[target] = true
	for queue := []int{target}; len(queue) > 0; queue = queue[1:] {
		current := queue[0]
		if available, ok := l.findReplica(current); ok {
			for l.canHold(available.shard, available.server, current) { // it may no longer fit if a shard is in the chain twice
				l.assign(available, current)
				if current == target {
					break
				}
				available, current = links[current].gives, links[current].to
			}
			return true
		}
		for shard, pair := range l.pairs {
			for _, server := range pair {
				if server >= 0 && !seen[server] && !(fresh && slices.Contains(l.initial[shard][:], server)) &&
					l.canHold(shard, server, current) {
					links[server], seen[server] = link{slot{shard, server}, current}, true
					queue = append(queue, server)
				}
			}
		}
	}
	return false
}

// balancePrimaries swaps primaries and backups until each server is primary for its share of the shards, or as close to
// it as the pairs allow.
func (l *balance) balancePrimaries() {
	have, shares, sum := make([]int, len(l.servers)), make([]float64, len(l.servers)), 0.0
	for _, pair := range l.pairs {
		have[pair[0]]++
	}
	for _, server := range l.servers {
		sum += server.Weight
	}
	for i, server := range l.servers {
		shares[i] = Shards * server.Weight / sum
	}
	want := apportion(shares, have, Shards)
	for i := range l.pairs {
		if pair := &l.pairs[i]; pair[1] >= 0 && have[pair[0]] > want[pair[0]] && have[pair[1]] < want[pair[1]] {
			have[pair[0]]--
			have[pair[1]]++
			slices.Reverse(pair[:])
		}
	}
	for l.shiftPrimary(have, want) {
	}
}

// shiftPrimary takes one primary from a server with too many and gives one to a server with too few, possibly over
// others. It returns false if there is no way.
func (l *balance) shiftPrimary(have, want []int) bool {
	primaryOf := make([][]int, len(l.servers)) // the shards of which a server is the primary
	for shard, pair := range l.pairs {
		if pair[1] >= 0 {
			primaryOf[pair[0]] = append(primaryOf[pair[0]], shard)
		}
	}
	via := make([]int, len(l.servers)) // the shard over which the search reached a server
	var queue []int
	for server := range via {
		if via[server] = -1; have[server] > want[server] {
			queue = append(queue, server)
			via[server] = Shards
		}
	}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, shard := range primaryOf[queue[0]] {
			if server := l.pairs[shard][1]; via[server] < 0 {
				via[server] = shard
				queue = append(queue, server)
			}
		}
		if server := queue[0]; have[server] < want[server] {
			have[server]++
			for via[server] < Shards {
				pair := &l.pairs[via[server]]
				server = pair[0]
				slices.Reverse(pair[:])
			}
			have[server]--
			return true
		}
	}
	return false
}
