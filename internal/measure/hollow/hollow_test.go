package hollow

import (
	"errors"
	"os"
	"testing"
	"time"
)

// asWorker is set for a process of the test that runs hollow servers.
const asWorker = "HOLLOW_TEST_WORKER"

func TestMain(m *testing.M) {
	if os.Getenv(asWorker) == "" {
		os.Exit(m.Run())
	}
	if err := Serve(os.Stdin, os.Stdout); err != nil {
		os.Exit(1)
	}
}

// TestFleet has 3 voters and 5 other hollow servers, in processes as in a measurement, form a fleet. Build itself checks that
// all hold one digest.
func TestFleet(t *testing.T) {
	for name, leases := range map[string]bool{"plain": false, "leases": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet(t, leases)
		})
	}
}

func fleet(t *testing.T, leases bool) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	const servers = 8
	f, err := Start(t.Context(), Options{Program: program, Environment: []string{asWorker + "=1"}, Home: t.TempDir(), Servers: servers, Voters: 3, Leases: leases, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	built, err := f.Build(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if built.Entries < 2*servers || built.CPU <= 0 || built.Bytes == 0 {
		t.Errorf("%+v", built)
	}
	rates, err := f.Commit(t.Context(), Commits{Count: 10, Every: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	idle, err := f.Idle(t.Context(), time.Second)
	for errors.Is(err, ErrBusy) || errors.Is(err, ErrLeader) { // the first placement
		idle, err = f.Idle(t.Context(), time.Second)
	}
	if err != nil || idle[Leader].MessagesIn <= 0 {
		t.Fatalf("%+v, %v", idle, err)
	}
	sizes, err := f.Sizes()
	if err != nil {
		t.Fatal(err)
	}
	for _, role := range []Role{Leader, Follower, Learner, Shared} {
		if r := rates[role]; r.MessagesIn <= 0 || r.MessagesOut <= 0 || r.BytesIn <= 0 || r.BytesOut <= 0 || r.CPU <= 0 {
			t.Errorf("%s: %+v", role, r)
		}
		if z := sizes[role]; z.Resident == 0 || z.Heap == 0 || z.Descriptors == 0 || z.Goroutines == 0 {
			t.Errorf("%s: %+v", role, z)
		}
	}
	if sizes[Shared].Servers != servers-4 || sizes[Learner].Servers != 1 {
		t.Errorf("%+v", sizes)
	}
	entries, err := f.agreed(t.Context())
	if err != nil || entries < built.Entries+10 {
		t.Errorf("%d entries after 10 more than %d, %v", entries, built.Entries, err)
	}
	if check, err := f.Check(); err != nil || check.CountedIn == 0 {
		t.Errorf("%+v, %v", check, err)
	}
}

func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name    string
		second  Digest
		states  int
		entries uint64
	}{
		{"same", Digest{7, 70}, 1, 7},
		{"another entry", Digest{8, 70}, 2, 8},
		{"another state of the same entry", Digest{7, 71}, 2, 7},
	} {
		entries, states := compare([]Digests{{Digests: []Digest{{7, 70}}}, {Digests: []Digest{c.second}}})
		if states != c.states || entries != c.entries {
			t.Errorf("%s: %d states, %d entries", c.name, states, entries)
		}
	}
	if unspoken([]Digests{{}}) != nil || unspoken([]Digests{{}, {Unspoken: 1}}) == nil {
		t.Error("servers that have not spoken")
	}
}

func TestOptionsCheck(t *testing.T) {
	for _, c := range []struct {
		servers, voters int
		refused         bool
	}{{4, 3, false}, {295, 5, false}, {3, 3, true}, {1300, 5, false}, {2000, 5, true}} {
		err := (&Options{Servers: c.servers, Voters: c.voters}).Check()
		if errors.Is(err, ErrLimit) != c.refused || (err != nil) != c.refused {
			t.Errorf("%d servers, %d voters: %v", c.servers, c.voters, err)
		}
	}
}
