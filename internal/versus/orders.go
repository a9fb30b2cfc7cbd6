package versus

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"larchscale/internal/fleet/takeout"
)

// Decider is what a leader does with the agreed state and its view of it: takeout.Next, or a simpler one.
type Decider func(*takeout.State, takeout.View) takeout.Decision

// ByName decides as takeout.Next does, but takes the boxes out in the order of their names.
func ByName(s *takeout.State, v takeout.View) takeout.Decision {
	return ordered(s, v, func(a, b takeout.Place) int { return strings.Compare(a.Box, b.Box) })
}

// ZonesByName takes the zones in turn, and of each the next by name, whatever the boxes have in hand.
func ZonesByName(s *takeout.State, v takeout.View) takeout.Decision {
	return ordered(s, v, func(a, b takeout.Place) int {
		return cmp.Or(strings.Compare(a.Box[1:], b.Box[1:]), strings.Compare(a.Box, b.Box))
	})
}

func ordered(s *takeout.State, v takeout.View, by func(a, b takeout.Place) int) takeout.Decision {
	d := takeout.Next(s, v)
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
	takeout.Local
	name, zone  string
	capacity    float64
	hand        float64 // mean of requests in hand while it serves
	ends        []int64 // when each that is in hand ends; of a box that drains
	outAt, warm int64
	silent      [2]int64 // from and to when nothing is heard of it, nor does it serve
}

type simFleet struct {
	state  takeout.State
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
			b.Incarnation, b.DrainFor = 1, 300
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
		for _, e := range []takeout.Entry{{Kind: takeout.Join, Box: b.name, Zone: b.zone}, {Kind: takeout.Step, Box: b.name, Incarnation: 1, Phase: takeout.Returning},
			{Kind: takeout.Step, Box: b.name, Incarnation: 1, Phase: takeout.In}} {
			if err := f.apply(&e); err != nil {
				return nil, err
			}
		}
	}
	slices.Sort(names)
	return f, f.apply(&takeout.Entry{Kind: takeout.Propose, Plan: takeout.Plan{ID: plan, By: "versus", Reason: "games", Boxes: names, Most: bound, Floor: floor}})
}

func (f *simFleet) apply(e *takeout.Entry) error { return f.state.Apply(f.state.Index+1, e) }

// demand is what is asked in a zone at a time; each zone has its own day.
func (f *simFleet) demand(zone int, now int64) float64 {
	return each * carries * (0.5 + 0.12*math.Sin(f.phase+float64(zone)*2*math.Pi/zones+float64(now)/60_000))
}

func (b *simBox) dead(now int64) bool { return now >= b.silent[0] && now < b.silent[1] }

// serves tells that callers' requests reach it.
func (f *simFleet) serves(b *simBox, now int64) bool {
	p := f.state.Box(b.name).Phase
	return !b.dead(now) && (p == takeout.In || p == takeout.Granted || p == takeout.Returning && now >= b.warm)
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
func (f *simFleet) look(now int64) takeout.View {
	v := takeout.View{Now: now, Self: f.leader, Silent: 3000, Reports: map[string]takeout.Report{}}
	for i := range f.boxes {
		b := &f.boxes[i]
		if b.dead(now) {
			continue
		}
		zone := int(b.zone[0] - 'a')
		v.Reports[b.name] = takeout.Report{Incarnation: b.Incarnation, Heard: now, Capacity: b.capacity, Load: f.demand(zone, now) / each, Warm: now >= b.warm,
			Open: f.open(b, now), KeyedUntil: b.KeyedUntil}
	}
	return v
}

// open counts what a box has in hand.
func (f *simFleet) open(b *simBox, now int64) (n int) {
	if b.Held == 0 {
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
		b.outAt, b.Held, b.ends, b.warm = 0, 0, nil, now+coldTime
	}
	b.Warm, b.Open = now >= b.warm, f.open(b, now)
	a := takeout.Agent(&f.state, b.name, b.Local, now)
	if a.Hold && b.Held == 0 {
		b.Held = now
		for range int(b.hand) {
			b.ends = append(b.ends, now+int64(longRun*f.rand.ExpFloat64()))
		}
	}
	if !a.Speak {
		return nil
	}
	if a.Say == takeout.Out {
		b.outAt = now
	}
	return f.apply(&takeout.Entry{Kind: takeout.Step, At: now, Box: b.name, Incarnation: b.Incarnation, Phase: a.Say})
}

func playOrder(seed uint64, decide Decider) (Outcome, error) {
	f, err := newSimFleet(seed)
	if err != nil {
		return Outcome{}, err
	}
	worth, looks, least, under := 0.0, 0.0, 1.0, 0.0
	most, mostZone := 0, 0
	for now := int64(step); now < overAt; now += step {
		if f.leads(now); f.state.Plan(plan).State == takeout.Done {
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
		away, gone := map[string]int{}, f.state.Away()
		for _, b := range f.state.Boxes {
			if b.Phase != takeout.In {
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
