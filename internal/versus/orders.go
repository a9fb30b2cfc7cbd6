package versus

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"larchscale/internal/fleet/maintenance"
)

// Decider is what a leader does with the agreed state and its view of it: maintenance.Next, or a simpler one.
type Decider func(*maintenance.State, maintenance.View) maintenance.Decision

// ByName decides as maintenance.Next does, but takes the boxes out in the order of their names.
func ByName(s *maintenance.State, v maintenance.View) maintenance.Decision {
	return ordered(s, v, func(a, b maintenance.OrderItem) int { return strings.Compare(a.Box, b.Box) })
}

// ZonesByName takes the zones in turn, and of each the next by name, whatever the boxes have in hand.
func ZonesByName(s *maintenance.State, v maintenance.View) maintenance.Decision {
	return ordered(s, v, func(a, b maintenance.OrderItem) int {
		return cmp.Or(strings.Compare(a.Box[1:], b.Box[1:]), strings.Compare(a.Box, b.Box))
	})
}

func ordered(s *maintenance.State, v maintenance.View, by func(a, b maintenance.OrderItem) int) maintenance.Decision {
	d := maintenance.Next(s, v)
	for i := range d.Entries {
		slices.SortFunc(d.Entries[i].Order, by)
	}
	return d
}

// The small fleet of Orders, in virtual time. All times in ms.
const (
	step      = 200
	zones     = 3
	each      = 4 // boxes a zone
	bound     = 3
	floor     = 0.15
	carries   = 100.0  // requests a second of a box, on average
	longRun   = 20_000 // mean time that a request in hand takes yet
	workTime  = 8_000  // of staff
	coldTime  = 5_000  // of a new process
	keyedMost = 60_000 // results of keyed requests are wanted for so long at most
	overAt    = 3600_000
	awayWorth = 0.8 // of a request that is carried outside of its zone
)

// Orders is a plan over all boxes of a small fleet in virtual time. Callers send within their zone; what its boxes do
// not carry goes to the other zones, where it is worth less, and what nobody carries is lost. The value is the worth
// kept while the plan goes on; the counts have what the plan took, the least headroom, and the boxes of one zone that
// were away at a time.
func Orders() Game[Decider] { return Game[Decider]{Name: "orders", Play: playOrder} }

type simBox struct {
	maintenance.LocalStatus
	name, zone  string
	capacity    float64
	hand        float64 // mean of requests in hand while it serves
	ends        []int64 // when each that is in hand ends; of a box that drains
	outAt, warm int64
	silent      [2]int64 // from and to when nothing is heard of it, nor does it serve
}

type simFleet struct {
	state  maintenance.State
	boxes  []simBox
	rand   *rand.Rand
	phase  float64 // of the day
	leader string
}

func newSimFleet(seed uint64) (*simFleet, error) {
	f := &simFleet{rand: rand.New(rand.NewPCG(seed, 5)), leader: "a1"}
	f.phase = f.rand.Float64() * 2 * math.Pi
	sick := f.rand.IntN(zones * each)
	for z := range zones {
		for i := range each {
			b := simBox{name: fmt.Sprintf("%c%d", 'a'+z, i+1), zone: string(rune('a' + z)), capacity: carries * (0.8 + 0.4*f.rand.Float64()), hand: math.Floor(40 * f.rand.Float64())}
			b.Incarnation, b.MinDrain = 1, 300
			if f.rand.IntN(3) == 0 {
				b.KeyedUntil = 1 + f.rand.Int64N(keyedMost)
			}
			if len(f.boxes) == sick {
				from := f.rand.Int64N(120_000)
				b.silent = [2]int64{from, from + 20_000}
			}
			f.boxes = append(f.boxes, b)
		}
	}
	var names []string
	for i := range f.boxes {
		b := &f.boxes[i]
		names = append(names, b.name)
		for _, e := range []maintenance.Entry{{Kind: maintenance.Join, Box: b.name, Zone: b.zone}, {Kind: maintenance.Step, Box: b.name, Incarnation: 1, Phase: maintenance.Returning},
			{Kind: maintenance.Step, Box: b.name, Incarnation: 1, Phase: maintenance.InService}} {
			if err := f.apply(&e); err != nil {
				return nil, err
			}
		}
	}
	slices.Sort(names)
	return f, f.apply(&maintenance.Entry{Kind: maintenance.Propose, Plan: maintenance.Plan{ID: plan, By: "versus", Reason: "games", Boxes: names, Most: bound, Floor: floor}})
}

func (f *simFleet) apply(e *maintenance.Entry) error { return f.state.Apply(f.state.Index+1, e) }

// demand is what is asked in a zone at a time; each zone has its own day.
func (f *simFleet) demand(zone int, now int64) float64 {
	return each * carries * (0.5 + 0.12*math.Sin(f.phase+float64(zone)*2*math.Pi/zones+float64(now)/60_000))
}

func (b *simBox) dead(now int64) bool { return now >= b.silent[0] && now < b.silent[1] }

// serves tells that callers' requests reach it.
func (f *simFleet) serves(b *simBox, now int64) bool {
	p := f.state.Server(b.name).Phase
	return !b.dead(now) && (p == maintenance.InService || p == maintenance.Granted || p == maintenance.Returning && now >= b.warm)
}

// carry gives the share of what is asked that is carried in its zone and outside of it, and the headroom of all.
func (f *simFleet) carry(now int64) (inside, outside, headroom float64) {
	asked, within, spare, excess := 0.0, 0.0, 0.0, 0.0
	for z := range zones {
		can := 0.0
		for i := range f.boxes {
			if b := &f.boxes[i]; b.zone == string(rune('a'+z)) && f.serves(b, now) {
				can += b.capacity
			}
		}
		d := f.demand(z, now)
		asked += d
		within += min(d, can)
		spare += max(0, can-d)
		excess += max(0, d-can)
	}
	return within / asked, min(excess, spare) / asked, 1 - asked/max(1, within+spare)
}

// look makes the leader's view.
func (f *simFleet) look(now int64) maintenance.View {
	v := maintenance.View{Now: now, Self: f.leader, SilentAfter: 3000, Reports: map[string]maintenance.Report{}}
	for i := range f.boxes {
		b := &f.boxes[i]
		if b.dead(now) {
			continue
		}
		zone := int(b.zone[0] - 'a')
		v.Reports[b.name] = maintenance.Report{Incarnation: b.Incarnation, Heard: now, Capacity: b.capacity, Load: f.demand(zone, now) / each, Warm: now >= b.warm,
			Open: f.open(b, now), KeyedUntil: b.KeyedUntil}
	}
	return v
}

// open counts what a box has in hand.
func (f *simFleet) open(b *simBox, now int64) (n int) {
	if b.DrainingSince == 0 {
		return int(b.hand)
	}
	for _, end := range b.ends {
		if end > now {
			n++
		}
	}
	return n
}

// act has a box do what its agent says, and staff their work.
func (f *simFleet) act(b *simBox, now int64) error {
	if b.dead(now) {
		return nil
	}
	if b.outAt > 0 && now-b.outAt >= workTime {
		b.Incarnation++
		b.outAt, b.DrainingSince, b.ends, b.warm = 0, 0, nil, now+coldTime
	}
	b.Warm, b.Open = now >= b.warm, f.open(b, now)
	a := maintenance.NextAction(&f.state, b.name, b.LocalStatus, now)
	if a.Hold && b.DrainingSince == 0 {
		b.DrainingSince = now
		for range int(b.hand) {
			b.ends = append(b.ends, now+int64(longRun*f.rand.ExpFloat64()))
		}
	}
	if !a.Speak {
		return nil
	}
	if a.Say == maintenance.Drained {
		b.outAt = now
	}
	return f.apply(&maintenance.Entry{Kind: maintenance.Step, At: now, Box: b.name, Incarnation: b.Incarnation, Phase: a.Say})
}

func playOrder(seed uint64, decide Decider) (Outcome, error) {
	f, err := newSimFleet(seed)
	if err != nil {
		return Outcome{}, err
	}
	worth, looks, least, under := 0.0, 0.0, 1.0, 0.0
	most, mostZone := 0, 0
	for now := int64(step); now < overAt; now += step {
		if f.leads(now); f.state.Plan(plan).State == maintenance.Done {
			return Outcome{Value: worth / looks, Counts: map[string]float64{"plan s": float64(now) / 1000, "least headroom": least, "under floor s": under,
				"away": float64(most), "away of a zone": float64(mostZone)}}, nil
		}
		d := decide(&f.state, f.look(now))
		if d.Transfer != "" {
			f.leader = d.Transfer
		}
		for i := range d.Entries {
			if err := f.apply(&d.Entries[i]); err != nil {
				return Outcome{}, fmt.Errorf("at %d ms: %w", now, err)
			}
		}
		for i := range f.boxes {
			if err := f.act(&f.boxes[i], now); err != nil {
				return Outcome{}, fmt.Errorf("at %d ms: %w", now, err)
			}
		}
		inside, outside, headroom := f.carry(now)
		worth += inside + awayWorth*outside
		looks++
		if least = min(least, headroom); headroom < floor {
			under += step / 1000.0
		}
		away, gone := map[string]int{}, f.state.CountUnavailable()
		for _, b := range f.state.Boxes {
			if b.Phase != maintenance.InService {
				away[b.Zone]++
				mostZone = max(mostZone, away[b.Zone])
			}
		}
		most = max(most, gone)
	}
	return Outcome{}, errors.New("the plan does not end")
}

// leads has another lead where the leader is dead.
func (f *simFleet) leads(now int64) {
	for i := range f.boxes {
		if b := &f.boxes[i]; b.name == f.leader && (b.dead(now) || b.outAt > 0) {
			f.leader = f.boxes[(i+1)%len(f.boxes)].name
		}
	}
}
