package claimstore_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

var kills = flag.Int("kills", 0, "how often TestNoKeyRunsTwiceThroughKills kills a server; 0 = 8 times, and few writes")

const serverCount = 9

// longRun is the duration of a run that is still in flight when its server expires: longer than a lease.
const longRun = 4500 * time.Millisecond

// slowDown makes runs at a server last beyond its expiry.
func slowDown(m *standin.Member) { m.Site.SetWork(longRun) }

// cutOff lets nothing pass between some servers and the others.
func (x *fleetTest) cutOff(servers ...*standin.Member) {
	in := func(name string) bool {
		return slices.ContainsFunc(servers, func(server *standin.Member) bool { return server.Name == name })
	}
	x.Net.Set(faultnet.Fault{Drop: true, Deaf: true}, func(from, to string) bool { return in(from) != in(to) })
}

// follower returns a server that is neither the leader nor one of the given ones.
func (x *fleetTest) follower(excluded ...*standin.Member) *standin.Member {
	x.Helper()
	var leader *standin.Member
	x.until("there is a leader", 20*time.Second, func() bool { leader = x.Leader(); return leader != nil })
	index := slices.IndexFunc(x.Members,
		func(server *standin.Member) bool { return server != leader && !slices.Contains(excluded, server) })
	return x.Members[index]
}

// Servers are killed at random times under load, up to two down at a time, and restarted soon or late: no key runs
// twice.
func TestNoKeyRunsTwiceThroughKills(t *testing.T) {
	t.Parallel()
	rounds, callers, writes := 8, 6, 0
	if *kills > 0 {
		rounds, callers, writes = *kills, 48, 250**kills
	}
	x := startFleet(t, serverCount, 1)
	rnd := rand.New(rand.NewPCG(1, 5))
	x.audit.Call(callers)
	down := make(chan struct{}, 2)
	for i := range rounds {
		down <- struct{}{}
		server := x.Members[rnd.IntN(serverCount)]
		for len(server.Downs()) > 0 && server.Downs()[len(server.Downs())-1].To.IsZero() {
			server = x.Members[rnd.IntN(serverCount)]
		}
		time.Sleep(time.Duration(rnd.IntN(700)) * time.Millisecond)
		if i%2 == 0 {
			server.Kill()
		} else {
			x.audit.Strike(server, 10)
		}
		downtime := time.Duration(rnd.IntN(6000)) * time.Millisecond
		go func() {
			time.Sleep(downtime)
			if err := server.Start(); err != nil {
				t.Errorf("%s: %v", server.Name, err)
			}
			<-down
		}()
		for writes > 0 && x.audit.Account().Asked < writes*(i+1)/rounds {
			time.Sleep(200 * time.Millisecond)
		}
	}
	for range cap(down) {
		down <- struct{}{}
	}
	account := x.finish()
	if account.Asked < writes || account.Found < account.Kept*9/10 {
		x.fatal("%+v", account)
	}
}

// A server that was stopped for longer than its lease, and whose requests were taken over, answers, runs and records
// none of them when it goes on. A server that is cut off only from the fleet, but not from its callers and its pool,
// finishes its requests before they are taken over.
func TestLostServerThatContinues(t *testing.T) {
	t.Parallel()
	x := startFleet(t, serverCount, 2)
	x.audit.Call(3)
	server := x.follower()
	slowDown(server)
	booked := 0.0
	check := x.strike("a stopped server", server, 16, 0.6, func() { booked = x.recordedRuns(server); server.Freeze(true) })
	check()
	server.Freeze(false)
	x.until("it is registered again", 10*time.Second, func() bool { return server.Figures()["fleet.lease_ms"] > 0 })
	// Up to 4 are of the background load, before the stop and after the new registration.
	if now := x.recordedRuns(server); now-booked > 4 {
		x.fatal("a server that was taken over recorded %v runs as served", now-booked)
	}
	x.waitHealthy()
	slowDown(server)
	check = x.strike("cut off from the fleet alone", server, 16, 0.6, func() { x.cutOff(server) })
	check()
	x.Net.Heal()
	x.waitHealthy()
	// The reverse: the server reaches the fleet but lost its pool. Its requests stay in flight there, and fail in the
	// end.
	slowDown(server)
	check = x.strike("only its pool lost", server, 16, 0, server.Site.Close)
	check()
	if account := x.finish(); account.Failed["failed, ran"]+account.Failed["refused, ran"]+account.Failed["lost, ran"] < 8 {
		x.fatal("%+v", account)
	}
}

// recordedRuns returns how many keyed runs a server has recorded as served.
func (x *fleetTest) recordedRuns(m *standin.Member) float64 {
	return m.Figures()["svc.ok."+standin.Classes[1]]
}

// Covers a server that receives everything but reaches nobody, and one on the minority side of a partition.
func TestPartitions(t *testing.T) {
	t.Parallel()
	x := startFleet(t, serverCount, 3)
	x.audit.Call(3)
	server := x.follower()
	slowDown(server)
	check := x.strike("reaches nobody", server, 16, 0.6, func() {
		x.Net.Set(faultnet.Fault{Drop: true}, func(from, _ string) bool { return from == server.Name })
	})
	check()
	x.Net.Heal()
	x.waitHealthy()
	minority := x.minorityZone()
	server = minority[0]
	slowDown(server)
	check = x.strike("three cut off from six", server, 16, 0.6, func() { x.cutOff(minority...) })
	check()
	x.Net.Heal()
	x.finish()
}

// A second server is lost together with the first, or while the first is being taken over: the server that takes over,
// the leader, or a replica.
func TestSecondLossDuringTheFirst(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		least  float64
		strike func(x *fleetTest, server *standin.Member) (with *standin.Member)
	}{{"successor", 0.5, func(x *fleetTest, server *standin.Member) (successor *standin.Member) {
		server.Kill()
		go x.until("a server takes over", 15*time.Second, func() bool {
			for i, is := range x.Look(func(other *standin.Member) bool { return other.Figures()["keys.lost"] > 0 }) {
				if is && successor == nil {
					successor = x.Members[i]
					successor.Kill()
				}
			}
			return successor != nil
		})
		return nil
	}}, {"leader", 0.4, func(x *fleetTest, server *standin.Member) *standin.Member {
		leader := x.Leader()
		server.Kill()
		time.Sleep(time.Second)
		leader.Kill()
		return leader
	}}, {"replica", 0.5, func(x *fleetTest, server *standin.Member) *standin.Member {
		replica := x.follower(server)
		go replica.Kill()
		server.Kill()
		return replica
	}}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			x := startFleet(t, serverCount, 4)
			x.audit.Call(3)
			server := x.follower()
			slowDown(server)
			check := x.strike("with its "+test.name, server, 24, test.least, func() { test.strike(x, server) })
			check()
			down := 0
			for _, other := range x.Members {
				if len(other.Downs()) > 0 {
					down++
				}
			}
			if down != 2 {
				x.fatal("%d servers were lost, want 2", down)
			}
			x.start(x.Members...)
			x.waitHealthy()
			x.finish()
		})
	}
}

// minorityZone returns the servers of a zone with few voters, if possible not the leader's, so that the rest soon has a
// quorum.
func (x *fleetTest) minorityZone() (out []*standin.Member) {
	x.Helper()
	var voters map[string]int
	x.until("there are five voters", 20*time.Second, func() bool {
		voters = map[string]int{}
		state, err := x.Members[0].State()
		count := 0
		for _, server := range state.Members {
			if server.Voter {
				voters[server.Zone]++
				count++
			}
		}
		if leader := x.Leader(); leader != nil {
			voters[leader.Zone] += 3
		}
		return err == nil && count == 5
	})
	zone := slices.MinFunc([]string{"a", "b", "c"}, func(a, b string) int { return voters[a] - voters[b] })
	for _, server := range x.Members {
		if server.Zone == zone {
			out = append(out, server)
		}
	}
	return out
}

// A whole zone is lost at once; then all servers are.
func TestManyServersLostAtOnce(t *testing.T) {
	t.Parallel()
	x := startFleet(t, serverCount, 5)
	x.audit.Call(3)
	zone := x.minorityZone()
	for _, server := range zone {
		slowDown(server)
	}
	check := x.strike("a zone lost", zone[0], 16, 0.6, func() {
		for _, server := range zone {
			server.Kill()
		}
	})
	check()
	for _, server := range x.Members {
		server.Kill()
	}
	x.start(x.Members...)
	x.waitHealthy()
	time.Sleep(time.Second)
	x.finish()
}

// A server whose answers are 800 ms late delays only the keys that it is a replica of, not requests without a key.
func TestSlowReplicaDelaysNoOtherClass(t *testing.T) {
	t.Parallel()
	x := startFleet(t, serverCount, 6)
	x.audit.Call(3)
	slowServer := x.follower()
	server := x.follower(slowServer)
	stream := standin.NewStream("unkeyed", 1)
	median := func() time.Duration {
		var durations []time.Duration
		line, err := standin.DialLine(server.Listen)
		if err != nil {
			x.fatal("%v", err)
		}
		defer line.Close()
		for range 15 {
			request := stream.Next()
			request.Class, request.Token = standin.Classes[0], ""
			began := time.Now()
			if line.Do(request).End == "served" {
				durations = append(durations, time.Since(began))
			}
		}
		if len(durations) < 12 {
			x.fatal("%d of 15 without a key were served", len(durations))
		}
		slices.Sort(durations)
		return durations[len(durations)/2]
	}
	before := median()
	x.Net.Set(faultnet.Fault{Delay: 800 * time.Millisecond}, func(_, to string) bool { return to == slowServer.Name })
	during := median()
	x.Logf("without a key %s, and %s while the answers of a replica are late", before, during)
	if during > before+400*time.Millisecond {
		x.fatal("without a key %s, and %s while the answers of a replica are late", before, during)
	}
	time.Sleep(2 * time.Second)
	x.Net.Heal()
	x.finish()
}

// fullRecords is the number of records that fill a replica on a server with 16 MB.
const fullRecords = 2048

// minRefused is the number of writes that must be refused for lack of room.
const minRefused = 16

// Replicas without room for another key refuse it before it runs, while requests without a key are served. Records are
// kept for longer than the test lasts, so that the replicas fill up at any speed.
func TestFullReplicasRefuse(t *testing.T) {
	t.Parallel()
	x := startFleet(t, 3, 7, func(o *standin.FleetOptions) {
		o.Window, o.GiveUp, o.Work, o.Memory = 10*time.Minute, 20*time.Second, time.Millisecond, 16
	})
	x.audit.Call(48)
	x.until("a replica is full", 4*time.Minute, func() bool { return x.Members[0].Figures()["keys.records"] >= fullRecords })
	request := standin.NewStream("room", 1).Next()
	request.Class, request.Token = standin.Classes[0], ""
	if end := standin.Desk(x.Members[1].Desk, request).End; end != "served" {
		x.fatal("without a key: %s", end)
	}
	refused := func() int {
		failed := x.audit.Account().Failed
		return failed["refused, never ran"] + failed["failed, never ran"]
	}
	x.until("writes are refused for lack of room", 2*time.Minute, func() bool { return refused() >= minRefused })
	if records := x.Members[0].Figures()["keys.records"]; records < fullRecords {
		x.fatal("a replica that was full has %v records", records)
	}
	if account := x.finish(); refused() < minRefused || account.Lost > account.Asked/100 {
		x.fatal("%+v", account)
	}
}

func (x *fleetTest) start(servers ...*standin.Member) {
	x.Helper()
	for _, server := range servers {
		server.Site.SetWork(100 * time.Millisecond)
		if err := server.Start(); err != nil {
			x.fatal("%s: %v", server.Name, err)
		}
	}
}
