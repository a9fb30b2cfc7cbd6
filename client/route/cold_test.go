package route

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var coldSeeds = flag.Int("seeds", 5, "how many seeds TestTheSumSentToAColdBoxFollowsItsRamp plays")

// The fleet that the senders share: each box's ordinary part of all requests is a bit over what a warm one carries. A
// cold one answers as quickly as any: the delay gives nothing away.
const (
	coldBoxes = 4
	coldRate  = 100.0 // requests a second that a warm box carries
	coldFrom  = 0.2
	coldFor   = 18 * time.Second
	coldSpan  = 1500 * ms // a crowd is counted over this
	coldLoad  = 1.0
)

// coldStart is a way in which a box comes to be cold without its clients being told so.
type coldStart struct {
	back   time.Duration // from when on it listens, cold; nobody does before
	joins  bool          // it is not in the first list
	notice func(x *Table, now time.Duration)
	within time.Duration // each client notices at some moment from the start, or from back for one that joins
	told   bool          // its answers tell the level that holds all to what it carries
}

var coldStarts = map[string]coldStart{
	"joins":                 {time.Second, true, func(x *Table, now time.Duration) { x.Set(members(coldBoxes), now) }, time.Second, false},
	"drained":               {5 * time.Second, false, func(x *Table, now time.Duration) { x.Draining("n00", now) }, 200 * ms, false},
	"was away for long":     {12 * time.Second, false, nil, 0, false},
	"was away for a moment": {time.Second, false, nil, 0, false},
	// Too short for all clients to have tried it: what these cannot know, its first answer has to tell.
	"was away for an instant": {500 * ms, false, nil, 0, true},
	"hung, then there": {5 * time.Second, false, func(x *Table, now time.Duration) {
		for range x.policy.Failures {
			x.Ended("n00", End{Level: -1}, now)
		}
	}, 200 * ms, false},
}

// coldSpeed is the part of its warm rate that a box carries at an age.
func coldSpeed(age time.Duration) float64 {
	return min(1, coldFrom+(1-coldFrom)*float64(age)/float64(coldFor))
}

// coldArrivals gives when tries reached n00 after it came back, as its own age. Each client knows only its own sends.
func coldArrivals(p Policy, k coldStart, clients int, seed uint64) (at []time.Duration) {
	r := rand.New(rand.NewPCG(seed, uint64(clients)))
	tables, notices := make([]*Table, clients), make([]time.Duration, clients)
	for i := range tables {
		tables[i] = New(p, fmt.Sprint("client", seed, i))
		list := members(coldBoxes)
		if k.joins {
			list, notices[i] = list[1:], k.back
		}
		tables[i].Set(list, 0)
		notices[i] += time.Duration(r.Int64N(int64(k.within) + 1))
	}
	type answer struct {
		at     time.Duration
		client int
		box    string
		level  float64
	}
	var answers []answer
	for now := time.Duration(0); ; {
		now += time.Duration(r.ExpFloat64() / (coldLoad * coldBoxes * coldRate) * float64(time.Second))
		if now >= k.back+coldFor {
			return at
		}
		for ; len(answers) > 0 && answers[0].at <= now; answers = answers[1:] {
			tables[answers[0].client].Ended(answers[0].box, End{Good: true, Took: 40 * ms, Level: answers[0].level}, answers[0].at)
		}
		i := r.IntN(clients)
		x := tables[i]
		if k.notice != nil && notices[i] <= now {
			k.notice(x, now)
			notices[i] = math.MaxInt64
		}
		level := -1.0
		m, ok, _ := x.Pick(Ask{Rank: r.Float64()}, now, r)
		switch {
		case ok && m.Name == "n00" && now < k.back:
			x.Ended(m.Name, End{Gone: true, Level: -1}, now)
			continue
		case ok && m.Name == "n00":
			at = append(at, now-k.back)
			if k.told {
				level = 1 - coldSpeed(now-k.back)
			}
		}
		if ok {
			answers = append(answers, answer{now + 40*ms, i, m.Name, level})
		}
	}
}

// excess is the most by which any span of arrivals is over its budget N: in roots of N, and that beyond 2 root N + 2.
func excess(at []time.Duration) (roots, beyond float64) {
	roots, beyond = math.Inf(-1), math.Inf(-1)
	first := 0
	for i, end := range at {
		for at[first] < end-coldSpan {
			first++
		}
		begin := max(0, end-coldSpan)
		n := coldRate * coldSpan.Seconds() * (coldSpeed(begin) + coldSpeed(begin+coldSpan)) / 2
		over := float64(i-first+1) - n
		roots, beyond = max(roots, over/math.Sqrt(n)), max(beyond, over-2*math.Sqrt(n)-2)
	}
	return roots, beyond
}

// However many clients share a fleet, what all of them send to a box that came back cold stays within what it carries
// then: parts of each one's own traffic add up to a part of the whole, a least for each client would not.
func TestTheSumSentToAColdBoxFollowsItsRamp(t *testing.T) {
	for name, k := range coldStarts {
		for _, clients := range []int{3, 20, 30} {
			t.Run(fmt.Sprint(name, "/", clients), func(t *testing.T) {
				worst, most, sent, share := math.Inf(-1), 0.0, 0.0, coldLoad*coldRate*coldFor.Seconds()
				var bad []uint64
				for seed := range uint64(*coldSeeds) {
					at := coldArrivals(Defaults(), k, clients, seed)
					roots, beyond := excess(at)
					worst, most, sent = max(worst, roots), max(most, beyond), sent+float64(len(at))/float64(*coldSeeds)
					if beyond > 0 {
						bad = append(bad, seed)
					}
				}
				t.Logf("seeds 0 to %d: worst N %+.2f root N; mean %.0f tries, a warm box's share is %.0f", *coldSeeds-1, worst, sent, share)
				if len(bad) > 0 {
					t.Errorf("over N + 2 root N + 2 in %d of %d, by up to %.1f; seeds %v", len(bad), *coldSeeds, most, bad[:min(len(bad), 10)])
				}
				if sent < 0.2*share {
					t.Errorf("mean %.0f tries where a warm box has %.0f: it is hardly used", sent, share)
				}
				p := Defaults()
				p.SlowStart = 0
				if _, beyond := excess(coldArrivals(p, k, clients, 0)); beyond <= 0 {
					t.Errorf("without a slow start the bound holds too: the test has no teeth")
				}
			})
		}
	}
}

// A box that only ramps up is not kept back for the sake of others that answer nothing, though too many are out for
// them to be ejected too.
func TestBoxesThatFailDoNotCountAsWarm(t *testing.T) {
	x := New(Defaults(), "me")
	x.Set(members(3)[1:], 0)
	x.Set(members(3), ms)
	r := rand.New(rand.NewPCG(1, 1))
	if m, ok, _ := x.Pick(Ask{Again: true}, 2*ms, r); !ok || m.Name == "n00" {
		t.Errorf("%q while others are warm", m.Name)
	}
	for _, name := range []string{"n01", "n02"} {
		for range x.policy.Failures {
			x.Ended(name, End{Level: -1}, 3*ms)
		}
	}
	for range 40 {
		if m, _, _ := x.Pick(Ask{Again: true}, 4*ms, r); m.Name == "n00" {
			return
		}
	}
	t.Errorf("the only box that is up is not tried; out are %v", x.Ejected(4*ms))
}
