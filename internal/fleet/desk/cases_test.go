package desk_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

var kills = flag.Int("kills", 0, "how often TestNoKeyRunsTwiceThroughKills kills a box; 0 = 8 times, and few writes")

const nine = 9

// long is the time of a run that is in hand past its box's loss: a lease and some.
const long = 4500 * time.Millisecond

// slow has runs at a box be in hand past its loss.
func slow(m *standin.Member) { m.Site.SetWork(long) }

// cut has nothing pass between some boxes and the others.
func (x *fleetTest) cut(side ...*standin.Member) {
	in := func(name string) bool {
		return slices.ContainsFunc(side, func(m *standin.Member) bool { return m.Name == name })
	}
	x.Net.Set(faultnet.Fault{Drop: true, Deaf: true}, func(from, to string) bool { return in(from) != in(to) })
}

// other is a box that does not lead, and is none of those.
func (x *fleetTest) other(not ...*standin.Member) *standin.Member {
	x.Helper()
	var leader *standin.Member
	x.until("one leads", 20*time.Second, func() bool { leader = x.Leader(); return leader != nil })
	i := slices.IndexFunc(x.Members, func(m *standin.Member) bool { return m != leader && !slices.Contains(not, m) })
	return x.Members[i]
}

// Boxes are killed at random points under load, two down at a time, and started soon or late: no key runs twice.
func TestNoKeyRunsTwiceThroughKills(t *testing.T) {
	t.Parallel()
	times, callers, writes := 8, 6, 0
	if *kills > 0 {
		times, callers, writes = *kills, 48, 250**kills
	}
	x := begin(t, nine, 1)
	r := rand.New(rand.NewPCG(1, 5))
	x.audit.Call(callers)
	down := make(chan struct{}, 2)
	for i := range times {
		down <- struct{}{}
		m := x.Members[r.IntN(nine)]
		for len(m.Downs()) > 0 && m.Downs()[len(m.Downs())-1].To.IsZero() {
			m = x.Members[r.IntN(nine)]
		}
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		if i%2 == 0 {
			m.Kill()
		} else {
			x.audit.Strike(m, 10)
		}
		stay := time.Duration(r.IntN(6000)) * time.Millisecond
		go func() {
			time.Sleep(stay)
			if err := m.Start(); err != nil {
				t.Errorf("%s: %v", m.Name, err)
			}
			<-down
		}()
		for writes > 0 && x.audit.Account().Asked < writes*(i+1)/times {
			time.Sleep(200 * time.Millisecond)
		}
	}
	for range cap(down) {
		down <- struct{}{}
	}
	a := x.over()
	if a.Asked < writes || a.Found < a.Kept*9/10 {
		x.fatal("%+v", a)
	}
}

// A box that stood still for longer than its lease, and was taken over, answers, runs and books nothing of it when it goes
// on. One that is cut off from the fleet alone, and has its callers and its pool, ends its work before it is taken over.
func TestABoxThatIsLostAndGoesOn(t *testing.T) {
	t.Parallel()
	x := begin(t, nine, 2)
	x.audit.Call(3)
	m := x.other()
	slow(m)
	booked := 0.0
	check := x.strike("a box stopped", m, 16, 0.6, func() { booked = x.booked(m); m.Freeze(true) })
	check()
	m.Freeze(false)
	x.until("it has a life again", 10*time.Second, func() bool { return m.Figures()["fleet.lease_ms"] > 0 })
	if now := x.booked(m); now-booked > 4 { // the callers' of the load, before the stop and after the new life
		x.fatal("a box that was taken over booked %v runs as served", now-booked)
	}
	x.back()
	slow(m)
	check = x.strike("cut off from the fleet alone", m, 16, 0.6, func() { x.cut(m) })
	check()
	x.Net.Heal()
	x.back()
	// The reverse: the fleet hears it, and it has lost its pool. Its work is in hand there, and failed in the end.
	slow(m)
	check = x.strike("its pool gone alone", m, 16, 0, m.Site.Close)
	check()
	if a := x.over(); a.Failed["failed, ran"]+a.Failed["refused, ran"]+a.Failed["lost, ran"] < 8 {
		x.fatal("%+v", a)
	}
}

// booked is how many keyed runs a box has booked as served.
func (x *fleetTest) booked(m *standin.Member) float64 {
	return m.Figures()["svc.ok."+standin.Classes[1]]
}

// A box that hears all and is heard by none, and one that is on the small side of a partition, are cut off.
func TestPartsOfAFleetAreCutOff(t *testing.T) {
	t.Parallel()
	x := begin(t, nine, 3)
	x.audit.Call(3)
	m := x.other()
	slow(m)
	check := x.strike("heard by none", m, 16, 0.6, func() {
		x.Net.Set(faultnet.Fault{Drop: true}, func(from, _ string) bool { return from == m.Name })
	})
	check()
	x.Net.Heal()
	x.back()
	three := x.minor()
	m = three[0]
	slow(m)
	check = x.strike("three cut off from six", m, 16, 0.6, func() { x.cut(three...) })
	check()
	x.Net.Heal()
	x.over()
}

// The second loss comes with the first, or while that is being made good: the taker's, the leader's, a home's.
func TestASecondLossInTheFirst(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		name   string
		least  float64
		strike func(x *fleetTest, m *standin.Member) (with *standin.Member)
	}{{"taker", 0.5, func(x *fleetTest, m *standin.Member) (taker *standin.Member) {
		m.Kill()
		go x.until("one takes", 15*time.Second, func() bool {
			for i, is := range x.Look(func(o *standin.Member) bool { return o.Figures()["keys.lost"] > 0 }) {
				if is && taker == nil {
					taker = x.Members[i]
					taker.Kill()
				}
			}
			return taker != nil
		})
		return nil
	}}, {"leader", 0.4, func(x *fleetTest, m *standin.Member) *standin.Member {
		leader := x.Leader()
		m.Kill()
		time.Sleep(time.Second)
		leader.Kill()
		return leader
	}}, {"home", 0.5, func(x *fleetTest, m *standin.Member) *standin.Member {
		home := x.other(m)
		go home.Kill()
		m.Kill()
		return home
	}}} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			x := begin(t, nine, 4)
			x.audit.Call(3)
			m := x.other()
			slow(m)
			check := x.strike("with its "+k.name, m, 24, k.least, func() { k.strike(x, m) })
			check()
			down := 0
			for _, o := range x.Members {
				if len(o.Downs()) > 0 {
					down++
				}
			}
			if down != 2 {
				x.fatal("%d boxes were lost, want 2", down)
			}
			x.start(x.Members...)
			x.back()
			x.over()
		})
	}
}

// minor are the boxes of a zone with few of the voters, and where it can be without the leader: the rest still agrees, soon.
func (x *fleetTest) minor() (out []*standin.Member) {
	x.Helper()
	var voters map[string]int
	x.until("all vote", 20*time.Second, func() bool {
		voters = map[string]int{}
		s, err := x.Members[0].State()
		n := 0
		for _, m := range s.Members {
			if m.Voter {
				voters[m.Zone]++
				n++
			}
		}
		if l := x.Leader(); l != nil {
			voters[l.Zone] += 3
		}
		return err == nil && n == 5
	})
	zone := slices.MinFunc([]string{"a", "b", "c"}, func(a, b string) int { return voters[a] - voters[b] })
	for _, m := range x.Members {
		if m.Zone == zone {
			out = append(out, m)
		}
	}
	return out
}

// A zone is lost at once; then all boxes are.
func TestManyLostAtOnce(t *testing.T) {
	t.Parallel()
	x := begin(t, nine, 5)
	x.audit.Call(3)
	zone := x.minor()
	for _, m := range zone {
		slow(m)
	}
	check := x.strike("a zone lost", zone[0], 16, 0.6, func() {
		for _, m := range zone {
			m.Kill()
		}
	})
	check()
	for _, m := range x.Members {
		m.Kill()
	}
	x.start(x.Members...)
	x.back()
	time.Sleep(time.Second)
	x.over()
}

// Answers of one box that come 800 ms late delay only what it is home of: requests without a key keep their time.
func TestASlowHomeDelaysNoOtherClass(t *testing.T) {
	t.Parallel()
	x := begin(t, nine, 6)
	x.audit.Call(3)
	slow := x.other()
	at := x.other(slow)
	s := standin.NewStream("unkeyed", 1)
	median := func() time.Duration {
		var all []time.Duration
		line, err := standin.DialLine(at.Listen)
		if err != nil {
			x.fatal("%v", err)
		}
		defer line.Close()
		for range 15 {
			r := s.Next()
			r.Class, r.Token = standin.Classes[0], ""
			began := time.Now()
			if line.Do(r).End == "served" {
				all = append(all, time.Since(began))
			}
		}
		if len(all) < 12 {
			x.fatal("%d of 15 without a key were served", len(all))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	before := median()
	x.Net.Set(faultnet.Fault{Delay: 800 * time.Millisecond}, func(_, to string) bool { return to == slow.Name })
	during := median()
	x.Logf("without a key %s, and %s with a home's answers late", before, during)
	if during > before+400*time.Millisecond {
		x.fatal("without a key %s, and %s with a home's answers late", before, during)
	}
	time.Sleep(2 * time.Second)
	x.Net.Heal()
	x.over()
}

// fullRecords is how many records fill a home of a server that may use 16 MB.
const fullRecords = 2048

// minRefused is how many writes must be refused for want of room.
const minRefused = 16

// Homes without room for another key refuse it, before it runs; requests without a key are served. Keys are kept for
// longer than the test can last: the homes fill, at whatever speed.
func TestHomesThatAreFullRefuse(t *testing.T) {
	t.Parallel()
	x := begin(t, 3, 7, func(o *standin.FleetOptions) {
		o.Window, o.GiveUp, o.Work, o.Memory = 10*time.Minute, 20*time.Second, time.Millisecond, 16
	})
	x.audit.Call(48)
	x.until("a home is full", 4*time.Minute, func() bool { return x.Members[0].Figures()["keys.records"] >= fullRecords })
	r := standin.NewStream("room", 1).Next()
	r.Class, r.Token = standin.Classes[0], ""
	if end := standin.Desk(x.Members[1].Desk, r).End; end != "served" {
		x.fatal("without a key: %s", end)
	}
	refused := func() int {
		failed := x.audit.Account().Failed
		return failed["refused, never ran"] + failed["failed, never ran"]
	}
	x.until("writes are refused for want of room", 2*time.Minute, func() bool { return refused() >= minRefused })
	if records := x.Members[0].Figures()["keys.records"]; records < fullRecords {
		x.fatal("a home that was full has %v records", records)
	}
	if a := x.over(); refused() < minRefused || a.Lost > a.Asked/100 {
		x.fatal("%+v", a)
	}
}

func (x *fleetTest) start(boxes ...*standin.Member) {
	x.Helper()
	for _, m := range boxes {
		m.Site.SetWork(100 * time.Millisecond)
		if err := m.Start(); err != nil {
			x.fatal("%s: %v", m.Name, err)
		}
	}
}
