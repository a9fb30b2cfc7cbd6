package placement

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"larchscale/internal/fleet/lease"
)

var seeds = flag.Uint64("seeds", 10, "number of random fleets")

// members returns n servers a1, b1, a2, … in the given number of zones.
func members(count, zones int) (servers []Member) {
	for i := range count {
		name := fmt.Sprintf("%c%d", 'a'+i%zones, i/zones+1)
		servers = append(servers, Member{name, name[:1], 1})
	}
	return servers
}

// randomFleet returns a random fleet: up to 300 servers in up to 5 zones, some of which are small, with equal weights
// or not.
func randomFleet(rnd *rand.Rand) (servers []Member) {
	count := 1 + rnd.IntN([]int{5, 12, 40, MaxBoxes - 1}[rnd.IntN(4)])
	zones, equal := 1+rnd.IntN(5), rnd.IntN(2) == 0
	for i := range count {
		member := Member{fmt.Sprint("b", i), fmt.Sprint("z", rnd.IntN(1+rnd.IntN(zones))), 1}
		if !equal {
			member.Weight = math.Exp(2 * rnd.NormFloat64())
		}
		servers = append(servers, member)
	}
	return servers
}

func apply(t *testing.T, s *State, entry *Entry) {
	t.Helper()
	if err := s.Apply(s.Index+1, entry); err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
}

// applyAll applies the entries of Next until there are none, and returns how many replicas were new.
func applyAll(t *testing.T, s *State, servers []Member, limit int) (moved int) {
	t.Helper()
	for range 10 * Shards {
		entry, err := Next(s, servers, limit, func(int) bool { return true })
		if err != nil {
			t.Fatal(err)
		}
		if entry == nil {
			return moved
		}
		for _, change := range entry.Changes {
			primary, backup := s.Replicas(change.Slice)
			for _, name := range [2]string{change.First, change.Second} {
				if name != "" && name != primary && name != backup {
					moved++
				}
			}
		}
		apply(t, s, entry)
	}
	t.Fatal("the entries do not end")
	return 0
}

// countReplicas returns how many replicas each server has, and of how many shards it is the primary.
func countReplicas(s *State) (replicaCounts, primaryCounts map[string]int) {
	replicaCounts, primaryCounts = map[string]int{}, map[string]int{}
	for i := range Shards {
		primary, backup := s.Replicas(i)
		replicaCounts[primary]++
		replicaCounts[backup]++
		primaryCounts[primary]++
	}
	return
}

// checkBalance checks that each server has its share, and each shard two replicas in two zones.
func checkBalance(t *testing.T, s *State, servers []Member) {
	t.Helper()
	weightedServers, zoned := weighted(servers)
	replicaCounts, primaryCounts := countReplicas(s)
	zone, sum := map[string]string{}, 0.0
	for _, server := range weightedServers {
		zone[server.Name], sum = server.Zone, sum+server.Weight
	}
	for _, group := range quotaGroups(weightedServers, zoned) {
		for _, server := range weightedServers[group.from:group.to] {
			if want := group.share * server.Weight / group.weight; math.Abs(float64(replicaCounts[server.Name])-want) >= 2 {
				t.Errorf("%+v has %d replicas, its share is %.1f", server, replicaCounts[server.Name], want)
			}
			if want := Shards * server.Weight / sum; math.Abs(float64(primaryCounts[server.Name])-want) >= 2 {
				t.Errorf("%+v is the primary of %d shards, its share is %.1f", server, primaryCounts[server.Name], want)
			}
		}
	}
	for i := range Shards {
		if primary, backup := s.Replicas(i); primary == "" || (backup == "") != (len(weightedServers) == 1) ||
			zoned && zone[primary] == zone[backup] {
			t.Errorf("shard %d at %q and %q", i, primary, backup)
		}
	}
}

// Adding or removing a server moves little more than the replicas that it gets or had, in fleets of all kinds. All
// servers have their shares before and after.
func TestFewReplicasMove(t *testing.T) {
	moves, required := 0, 0
	for seed := range *seeds {
		rnd := rand.New(rand.NewPCG(seed, 1))
		servers, joining := randomFleet(rnd), Member{"comes", fmt.Sprint("z", rnd.IntN(6)), 1}
		if seed == 0 { // without the other zone, the servers besides the heavy one must hold every shard that it has
			servers, joining.Zone = members(9, 1), "b"
			servers[0].Weight = 12
		}
		s := &State{}
		applyAll(t, s, servers, Shards)
		checkBalance(t, s, servers)
		extended := append(slices.Clone(servers), joining)
		for _, stage := range []struct {
			what    string
			servers []Member
		}{{"added", extended}, {"removed", servers}} {
			before, _ := countReplicas(s)
			moved := applyAll(t, s, stage.servers, 100+rnd.IntN(Shards))
			checkBalance(t, s, stage.servers)
			after, _ := countReplicas(s)
			needed := max(before["comes"], after["comes"]) - max(0, 1-len(servers))
			if len(servers) == 1 && stage.what == "removed" {
				needed = 0 // no other server takes its replicas
			}
			// A zone's share may be rounded differently.
			if moves, required = moves+moved, required+needed; float64(moved) > 1.1*float64(needed)+5 {
				t.Errorf("seed %d: %d servers, one is %s: %d replicas moved, %d had to", seed, len(servers),
					stage.what, moved, needed)
			}
		}
	}
	t.Logf("%d replicas moved, %d had to", moves, required)
}

// Each shard gets its replicas even if no server has a quota left, as zones may cause.
func TestAssignsReplicasWithoutQuotas(t *testing.T) {
	s, servers := &State{}, members(5, 2)
	level := newBalance(s, servers)
	clear(level.quota)
	level.assignReplicas()
	for i, pair := range level.pairs {
		if pair[0] < 0 || pair[1] < 0 || level.servers[pair[0]].Zone == level.servers[pair[1]].Zone {
			t.Fatalf("shard %d at %v", i, pair)
		}
	}
}

// Servers are lost, join, lose their weight and copy records slowly while shards move. A shard loses its records only
// with the last server that has them, its primary has them, and few shards are out of sync because of moves alone.
func TestServerLossDuringMoves(t *testing.T) {
	for seed := range *seeds / 3 {
		rnd := rand.New(rand.NewPCG(seed, 2))
		servers, s := members(4+rnd.IntN(6), 1+rnd.IntN(3)), &State{}
		applyAll(t, s, servers, 16)
		synced := [Shards]map[string]bool{} // the servers that have all records of a shard
		for i := range synced {
			a, b := s.Replicas(i)
			synced[i] = map[string]bool{a: true, b: true}
		}
		inSync := func(i int) bool { _, b := s.Replicas(i); return synced[i][b] }
		noLoss := true
		for round := range 150 {
			entry, err := Next(s, servers, 16, inSync)
			if err != nil {
				t.Fatal(err)
			}
			if entry != nil {
				apply(t, s, entry)
				zoneOf, zones := map[string]string{}, map[string]bool{}
				for _, member := range servers {
					if zoneOf[member.Name] = member.Zone; member.Weight > 0 {
						zones[member.Zone] = true
					}
				}
				for _, change := range entry.Changes {
					if len(zones) > 1 && zoneOf[change.First] == zoneOf[change.Second] {
						t.Fatalf("seed %d: %+v are in one zone", seed, change)
					}
				}
			}
			syncing := 0
			for i := range synced {
				a, b := s.Replicas(i)
				present := func(name string) bool {
					return slices.ContainsFunc(servers, func(member Member) bool { return member.Name == name })
				}
				if present(a) && !synced[i][a] && synced[i][b] {
					t.Fatalf("seed %d: the primary of shard %d is %s, which lacks records of %s", seed, i, a, b)
				}
				synced[i] = map[string]bool{a: synced[i][a], b: synced[i][b]}
				if !synced[i][a] && !synced[i][b] { // all servers with the records are lost: the shard starts again with what is left
					synced[i][a], synced[i][b] = present(a), !present(a)
				}
				if present(a) && present(b) && !synced[i][b] {
					syncing++
					synced[i][b] = rnd.IntN(4) == 0
				}
			}
			if noLoss && syncing > 16 {
				t.Fatalf("seed %d: %d shards are out of sync", seed, syncing)
			}
			switch event := rnd.IntN(15); {
			case event > 2:
			case event == 0 && len(servers) > 3:
				i := rnd.IntN(len(servers))
				for _, holders := range synced {
					delete(holders, servers[i].Name)
				}
				servers, noLoss = slices.Delete(servers, i, i+1), false
			case event == 1:
				servers = append(servers, Member{fmt.Sprint("n", round), "a", 1})
			default:
				servers[1+rnd.IntN(len(servers)-1)].Weight = float64(rnd.IntN(3))
			}
			servers[0].Weight = 1
		}
		applyAll(t, s, servers, Shards)
		checkBalance(t, s, servers)
	}
}

func TestApportion(t *testing.T) {
	if got := apportion([]float64{6.5, 6.5, 6.75, 6.25}, []int{6, 8, 6, 7}, 26); !slices.Equal(got, []int{6, 7, 6, 7}) {
		t.Error("the remainder does not go to those that already have more", got)
	}
}

func TestApply(t *testing.T) {
	s := &State{}
	applyAll(t, s, members(3, 3), Shards) // a1, b1, c1
	a, b := s.Replicas(7)
	c := strings.NewReplacer(a, "", b, "").Replace("a1b1c1")
	move := func(c ...Change) Entry { return Entry{Kind: Move, Epoch: s.Epoch, Changes: c} }
	bothLost := move(Change{7, c, ""})
	bothLost.Missing = []string{a, b}
	oneLost := move(Change{7, c, ""})
	oneLost.Missing = []string{a}
	for _, test := range []struct {
		name string
		e    Entry
		err  error
	}{
		{"primary and backup swapped", move(Change{7, b, a}), nil},
		{"one replica", move(Change{7, b, ""}), nil},
		{"both lost", bothLost, nil},
		{"one lost", oneLost, ErrNoReplicaLeft},
		{"both replicas replaced", move(Change{6, a, b}, Change{7, c, ""}), ErrNoReplicaLeft},
		{"another epoch", Entry{Kind: Move, Epoch: s.Epoch - 1, Changes: []Change{{7, b, a}}}, ErrEpoch},
		{"no changes", move(), ErrInvalid},
		{"unknown first", move(Change{7, "d1", a}), ErrUnknown},
		{"unknown second", move(Change{7, a, "d1"}), ErrUnknown},
		{"no first", move(Change{7, "", a}), ErrUnknown},
		{"one server twice", move(Change{7, a, a}), ErrInvalid},
		{"shard out of range", move(Change{Shards, a, b}), ErrInvalid},
		{"out of order", move(Change{7, b, a}, Change{7, a, b}), ErrInvalid},
		{"long reason", Entry{Kind: Join, Why: strings.Repeat("x", 257)}, ErrInvalid},
		{"no name", Entry{Kind: Join, Boxes: []string{"d1", ""}}, ErrInvalid},
		{"too many", Entry{Kind: Join,
			Boxes: strings.Fields(strings.Repeat("x y ",
				1) + fmt.Sprint(rand.New(rand.NewPCG(1, 1)).Perm(MaxBoxes)))}, ErrInvalid},
		{"leaves while it holds replicas", Entry{Kind: Leave, Boxes: []string{a}}, ErrNoReplicaLeft},
		{"no entry kind", Entry{}, ErrInvalid},
	} {
		before := s.Clone()
		changed := s.Clone()
		if err := changed.Apply(999, &test.e); !errors.Is(err, test.err) {
			t.Errorf("%s: %v, want %v", test.name, err, test.err)
		}
		if before.Index = 999; test.err != nil && !cmp.Equal(before, changed) || test.err == nil && changed.Epoch != 999 {
			t.Errorf("%s: %+v", test.name, cmp.Diff(before, changed))
		}
		if !cmp.Equal(before.Homes, s.Homes) {
			t.Errorf("%s: a clone shares its replicas", test.name)
		}
	}
	swap, secondMove := move(Change{7, b, a}), move(Change{8, "c1", "b1"}, Change{9, "c1", "b1"})
	secondMove.Missing = []string{"a1", "b1", "c1"}
	apply(t, s, &swap)
	if err := s.Apply(s.Index+1, &secondMove); !errors.Is(err, ErrEpoch) {
		t.Errorf("the second of two moves made at once: %v", err)
	}
}

func TestStateEncoding(t *testing.T) {
	s := &State{}
	applyAll(t, s, members(300, 3), Shards)
	data, err := cbor.Marshal(s)
	if err != nil || len(data) > 6000 {
		t.Fatal(len(data), err)
	}
	var got State
	if err := cbor.Unmarshal(data, &got); err != nil || !cmp.Equal(*s, got) {
		t.Fatal(err, cmp.Diff(*s, got))
	}
	for name, damage := range map[string]func(*State){
		"a position out of range":    func(s *State) { s.Boxes = s.Boxes[:200] },
		"servers out of order":       func(s *State) { s.Boxes[0] = "zz" },
		"a name twice":               func(s *State) { s.Boxes[1] = s.Boxes[0] },
		"a backup without a primary": func(s *State) { s.Homes[3] = Pair{0, 1} },
		"one server twice":           func(s *State) { s.Homes[3] = Pair{4, 4} },
		"too many servers":           func(s *State) { s.Boxes = append(s.Boxes, "zz") },
	} {
		bad := s.Clone()
		damage(&bad)
		data, err := cbor.Marshal(&bad)
		if err != nil {
			t.Fatal(err)
		}
		if err := cbor.Unmarshal(data, &got); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var short struct{ Homes []byte }
	short.Homes = make([]byte, 4*Shards-1)
	data, _ = cbor.Marshal(short)
	if err := cbor.Unmarshal(data, &got); err == nil {
		t.Error("truncated pairs are accepted")
	}
}

func TestInvalidServers(t *testing.T) {
	for name, servers := range map[string][]Member{
		"no servers": nil, "not a number": {{"a", "z", math.NaN()}}, "negative": {{"a", "z", 1}, {"b", "z", -1}},
		"all zero":         {{"a", "z", 0}, {"b", "z", 0}},
		"over the maximum": {{"a", "z", 2 * MaxWeight}}, "infinite": {{"a", "z", math.Inf(1)}},
		"no name": {{"", "z", 1}}, "listed twice": {{"a", "z", 1}, {"a", "y", 1}},
		"too many": make([]Member, MaxBoxes+1),
	} {
		if _, err := Next(&State{}, servers, 1, nil); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestView(t *testing.T) {
	leases, placement := &lease.State{}, &State{}
	applyAll(t, placement, members(3, 3), Shards)
	a, b := placement.Replicas(7)
	for i, entry := range []lease.Entry{{Kind: lease.Registered, Box: a, Incarnation: 1},
		{Kind: lease.Registered, Box: b, Incarnation: 1}, {Kind: lease.Expired, Box: a, Life: 101}} {
		if err := leases.Apply(uint64(101+i), &entry); err != nil {
			t.Fatal(err)
		}
		view := NewView(leases, placement)
		first, second := view.Replicas(7)
		if want := [][2]string{{a, ""}, {a, b}, {b, ""}}[i]; first != want[0] || second != want[1] ||
			view.Registered[first].Life == 0 || view.Epoch != uint64(101+i) {
			t.Errorf("after %+v: %q and %q, %+v", entry, first, second, view.Registered)
		}
	}
	if view := NewView(leases, placement); view.Compare(102) != Older || view.Compare(103) != Same || view.Compare(104) != Ahead {
		t.Error("epochs")
	}
	if placement.Epoch = 200; NewView(leases, placement).Epoch != 200 {
		t.Error("the placement's epoch is later")
	}
	if ShardOf(nil) != 957 { // xxhash of nothing is ef46db3751d8e999
		t.Error("the hash of shards has changed: no fleet would find its records again", ShardOf(nil))
	}
}
