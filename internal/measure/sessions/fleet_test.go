package sessions

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"larchscale/internal/fleet/stream"
	"larchscale/internal/measure/worker"
	"larchscale/internal/standin"
)

// asWorker is set for a process of the test that runs hollow servers.
const asWorker = "SESSIONS_TEST_WORKER"

var server, control string

func TestMain(m *testing.M) {
	if os.Getenv(asWorker) != "" {
		if err := Serve(os.Stdin, os.Stdout); err != nil {
			os.Exit(1)
		}
		return
	}
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	os.Exit(standin.WithPrograms(&server, &control, m.Run))
}

// The fleet of the test.
const (
	testServers = 60
	testReal    = 3
	testChanges = 5
	// testHeartbeats is how many each server sends in a window.
	testHeartbeats = 15
	testWithin     = 5 * time.Minute
	// leastBetween is less than the time between two heartbeats of a server at rest by what the ends of a window add.
	leastBetween = 450 * time.Millisecond
	// windowAttempts is how often a window is taken anew because a session was opened in it.
	windowAttempts = 5
)

// testFleet counts the windows that a test takes of a fleet.
type testFleet struct {
	*Fleet
	windows int
}

// startTest starts a fleet of hollow servers without load, and some real ones.
func startTest(t *testing.T) *testFleet {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f, err := Start(t.Context(), Options{Worker: worker.Command{Program: program, Environment: []string{asWorker + "=1"}}, Server: server, Control: control,
		Home: t.TempDir(), Servers: testServers, Real: testReal, Nodes: 3, Zones: 3, Regions: 1, Idle: true, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if _, err := f.Build(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &testFleet{Fleet: f}
}

// Three control nodes, three app servers and 57 hollow ones, in processes as in a measurement: documents reach all views in
// order, both ends of all sessions count the same, and a hollow server sends what a real one does.
func TestFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("it runs real programs")
	}
	f := startTest(t)
	record, err := f.Record()
	if err != nil {
		t.Fatal(err)
	}
	checkChanges(t, f.testWindow(t, f.change))
	rest := f.testWindow(t, f.rest)
	checkCounts(t, rest)
	checkHollow(t, rest)
	findings, err := f.Findings(record, func(string) bool { return true }) // a machine under load may hold up a lease
	if err != nil {
		t.Fatal(err)
	}
	if len(findings.Violations) > 0 || findings.Changes < testChanges {
		t.Errorf("%+v", findings)
	}
	if check, err := f.Check(); err != nil || check.CountedIn == 0 {
		t.Errorf("%+v, %v", check, err)
	}
	if s, err := f.Standing(time.Time{}); err != nil || s.Servers != testServers {
		t.Errorf("%+v, %v", s, err)
	}
	for range 2 { // requests of their own
		if err := f.Serve(0); err != nil {
			t.Error(err)
		}
	}
}

// testWindow is a window in which the fleet does something and no session is opened.
func (f *testFleet) testWindow(t *testing.T, do func(t *testing.T, name string, before readings) readings) *Sample {
	t.Helper()
	for range windowAttempts {
		leader, err := f.Leader()
		if err != nil {
			t.Fatal(err)
		}
		before, err := f.read()
		if err != nil {
			t.Fatal(err)
		}
		f.windows++
		sample := f.sample(leader, before, do(t, changeKey("test", f.windows), before))
		opened := uint64(0)
		for _, rates := range sample.Rates {
			opened += rates.Kinds.Hellos
		}
		if opened == 0 {
			return sample
		}
		t.Logf("%d sessions were opened in a window, which is taken anew", opened)
	}
	t.Fatal("sessions are opened again and again")
	return nil
}

// change has documents change one after the other, each once the one before is in force everywhere.
func (f *testFleet) change(t *testing.T, name string, _ readings) readings {
	t.Helper()
	for i := range testChanges {
		if _, err := f.Change(t.Context(), changeKey(name, i), 1, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	after, err := f.read()
	if err != nil {
		t.Fatal(err)
	}
	return after
}

// rest lasts until every server has sent some heartbeats.
func (f *testFleet) rest(t *testing.T, _ string, before readings) (after readings) {
	t.Helper()
	if err := f.Await(t.Context(), testWithin, func() (bool, string) {
		var err error
		if after, err = f.read(); err != nil {
			return false, err.Error()
		}
		return fewestHeartbeats(before, after) >= testHeartbeats, "heartbeats"
	}); err != nil {
		t.Fatal(err)
	}
	return after
}

// fewestHeartbeats is the least mean over the servers of a process.
func fewestHeartbeats(before, after readings) int {
	fewest := math.MaxInt
	count := func(before, after []reading) {
		for i := range after {
			fewest = min(fewest, int(after[i].messages.Heartbeats-before[i].messages.Heartbeats)/after[i].servers)
		}
	}
	count(before.real, after.real)
	count(before.workers, after.workers)
	return fewest
}

// checkChanges finds a change that a server received in no batch of its own, or twice.
func checkChanges(t *testing.T, sample *Sample) {
	t.Helper()
	for role, servers := range map[Role]uint64{Server: testReal, Hollow: testServers - testReal} {
		if got := sample.Rates[role].Kinds.Batches; got != servers*testChanges {
			t.Errorf("%s: %d changes came to %d servers as %d batches", role, testChanges, servers, got)
		}
	}
}

// checkCounts holds what the control nodes counted against what the servers did. What was on its way at the ends of the
// window is a message each way of each session.
func checkCounts(t *testing.T, sample *Sample) {
	t.Helper()
	var nodes, servers stream.Messages
	for _, role := range []Role{Leader, Follower} {
		addMessages(&nodes, sample.Rates[role].Kinds)
	}
	for _, role := range []Role{Server, Hollow} {
		addMessages(&servers, sample.Rates[role].Kinds)
	}
	for kind, counts := range map[string][2]uint64{"heartbeats": {nodes.Heartbeats, servers.Heartbeats}, "acks": {nodes.Acks, servers.Acks}} {
		difference := math.Abs(float64(counts[0]) - float64(counts[1]))
		if counts[0] == 0 || difference > 2*testServers {
			t.Errorf("%s: the nodes counted %d, the servers %d", kind, counts[0], counts[1])
		}
	}
	for _, role := range []Role{Leader, Follower} {
		if r := sample.Rates[role]; r.BytesIn <= 0 || r.BytesOut <= 0 || r.LinkIn <= 0 || r.LinkOut <= 0 || r.Requests <= 0 {
			t.Errorf("%s: %+v", role, r)
		}
	}
}

// checkHollow holds a hollow server against a real one: the same messages of each kind, and bytes within a tenth. They are
// taken for each heartbeat, as a machine under load delays some processes more than others.
func checkHollow(t *testing.T, sample *Sample) {
	t.Helper()
	const tolerance = 0.1
	real, hollow := sample.Rates[Server], sample.Rates[Hollow]
	for name, of := range map[string]func(Rates) float64{
		"acks":        func(r Rates) float64 { return float64(r.Kinds.Acks) },
		"bytes sent":  func(r Rates) float64 { return r.BytesOut * r.Seconds * float64(r.Members) },
		"bytes taken": func(r Rates) float64 { return r.BytesIn * r.Seconds * float64(r.Members) },
	} {
		ofReal, ofHollow := of(real)/float64(real.Kinds.Heartbeats), of(hollow)/float64(hollow.Kinds.Heartbeats)
		t.Logf("%s for a heartbeat: %.3f of a real server, %.3f of a hollow one", name, ofReal, ofHollow)
		if math.Abs(ofHollow/ofReal-1) > tolerance {
			t.Errorf("%s for a heartbeat: %.3f of a real server, %.3f of a hollow one", name, ofReal, ofHollow)
		}
	}
	if real.Kinds.Batches+hollow.Kinds.Batches+real.Kinds.Refusals+hollow.Kinds.Refusals > 0 {
		t.Errorf("at rest: %+v of real servers, %+v of hollow ones", real.Kinds, hollow.Kinds)
	}
	for role, rates := range map[Role]Rates{Server: real, Hollow: hollow} {
		every := rates.Seconds * float64(rates.Members) / float64(rates.Kinds.Heartbeats)
		t.Logf("%s: a heartbeat every %.3f s", role, every)
		if every < leastBetween.Seconds() {
			t.Errorf("%s: a heartbeat every %.3f s", role, every)
		}
	}
}
