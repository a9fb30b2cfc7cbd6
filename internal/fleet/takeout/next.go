package takeout

import (
	"cmp"
	"fmt"
	"slices"
)

// Report is the newest that a box has said of itself.
type Report struct {
	Incarnation uint64
	Heard       int64   // when, by the clock of who heard it
	Capacity    float64 // requests a second that it carries when warm
	Load        float64 // requests a second that it carries now
	Warm        bool
	Failing     bool // its health is bad, or what it calls fails
	Open        int  // requests in hand
	KeyedUntil  int64
}

// Fresh tells that a report is no older than what makes a box silent.
func (r Report) Fresh(now, silent int64) bool { return now-r.Heard <= silent }

// View is what the leader knows beside the agreed state.
type View struct {
	Now     int64
	Self    string // the leader
	Silent  int64  // ms without a report after which a box counts as missing
	Reports map[string]Report
	Voters  map[string]bool // who can lead; nil = all
}

// heard gives a box's report; false = it is silent, or the report is of another process than the log's.
func (v *View) heard(b *Box) (Report, bool) {
	r, ok := v.Reports[b.Name]
	return r, ok && r.Fresh(v.Now, v.Silent) && (b.Incarnation == 0 || r.Incarnation == b.Incarnation)
}

// Wait tells what a plan waits for.
type Wait struct{ Plan, Box, Why string }

// Decision is what follows from a state and a view of it.
type Decision struct {
	Entries  []Entry // to propose, in this order
	Transfer string  // hand the leadership to this box first; "" = no need
	Waits    []Wait
}

// Next derives what the leader proposes: orders that are missing, ends of plans, and one grant at most. It is asked
// again once that is applied, or when a report has come.
func Next(s *State, v View) Decision {
	var d Decision
	granted := false
	for i := range s.Plans {
		p := &s.Plans[i]
		if p.State.over() {
			continue
		}
		if p.Deadline > 0 && v.Now >= p.Deadline {
			d.Entries = append(d.Entries, Entry{Kind: Expire, At: v.Now, Plan: Plan{ID: p.ID}})
			continue
		}
		wait := func(box, why string, a ...any) {
			d.Waits = append(d.Waits, Wait{p.ID, box, fmt.Sprintf(why, a...)})
		}
		switch left := s.left(p); {
		case p.State != Running:
			wait("", "the plan is %s", p.State)
		case len(left) == 0:
			wait("", "all of its boxes have been granted, and not all are back")
		case !covers(p.Order, left):
			d.Entries = append(d.Entries, Entry{Kind: Arrange, At: v.Now, Plan: Plan{ID: p.ID}, Order: order(s, p, left, &v)})
		case granted:
			wait(p.Order[0].Box, "another plan's grant comes first")
		default:
			b := s.Box(p.Order[0].Box)
			missing, why := mayGo(s, p, b, &v)
			if why != "" {
				wait(b.Name, "%s", why)
				continue
			}
			granted = true
			if b.Name == v.Self {
				if d.Transfer = successor(s, p, &v); d.Transfer == "" {
					wait(b.Name, "it leads, and nobody else is fit to")
				}
				continue
			}
			d.Entries = append(d.Entries, Entry{Kind: Grant, At: v.Now, Box: b.Name, Incarnation: b.Incarnation, Plan: Plan{ID: p.ID},
				Missing: missing, Why: p.Order[0].Why})
		}
	}
	return d
}

// mayGo tells who is missing, and why a box may not be granted now; "" = it may.
func mayGo(s *State, p *Plan, b *Box, v *View) (missing []string, why string) {
	demand, rest := 0.0, 0.0
	cold := 0
	for i := range s.Boxes {
		x := &s.Boxes[i]
		r, ok := v.heard(x)
		if ok {
			demand += r.Load
		}
		switch {
		case x.Name == b.Name:
		case !ok:
			missing = append(missing, x.Name)
		case !r.Warm:
			missing = append(missing, x.Name)
			cold++
		case x.Phase == In:
			rest += r.Capacity
		}
	}
	n := s.unavailable(missing, b.Name)
	switch _, ok := v.heard(b); {
	case b.Phase != In:
		return nil, fmt.Sprintf("it is %s already", b.Phase)
	case b.Incarnation == 0:
		return nil, "no process of it has been heard of"
	case !ok:
		return nil, "it is silent, and may be serving"
	case n+1 > p.Most:
		return nil, fmt.Sprintf("%d boxes are missing (%d by the log, %d cold), %d at most may be with it", n, s.Away(), cold, p.Most)
	case rest <= 0, 1-demand/rest < p.Floor:
		return nil, fmt.Sprintf("the warm rest carries %.0f/s, asked are %.0f/s: under the floor of %.2f", rest, demand, p.Floor)
	}
	return missing, ""
}

// successor is who leads while the leader is out: the last of the plan's order that is fit, as it is granted last.
func successor(s *State, p *Plan, v *View) string {
	fit := func(name string) bool {
		b := s.Box(name)
		r, ok := v.heard(b)
		return name != v.Self && (v.Voters == nil || v.Voters[name]) && ok && r.Warm && b.Phase == In && !r.Failing
	}
	for i := range s.Boxes {
		if n := s.Boxes[i].Name; fit(n) && !slices.Contains(p.Boxes, n) {
			return n
		}
	}
	for _, x := range slices.Backward(p.Order) {
		if fit(x.Box) {
			return x.Box
		}
	}
	for _, n := range slices.Backward(p.Gone) {
		if fit(n) {
			return n
		}
	}
	return ""
}

// order derives the order of what a plan has left, with the reason for each place: what fails already, then zones in
// turn and in each the box with the least in hand, those with keyed results that are still wanted after the others,
// the leader last.
func order(s *State, p *Plan, left []string, v *View) []Place {
	type item struct {
		name, zone           string
		failing, keyed, lead bool
		open                 int
		turn                 int // among those of its zone
	}
	items := make([]item, 0, len(left))
	for _, name := range left {
		b := s.Box(name)
		r := v.Reports[name]
		items = append(items, item{name: name, zone: b.Zone, failing: r.Failing, keyed: r.KeyedUntil > v.Now, lead: name == v.Self, open: r.Open})
	}
	bit := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	own := func(a, b item) int {
		return cmp.Or(bit(b.failing)-bit(a.failing), bit(a.lead)-bit(b.lead), bit(a.keyed)-bit(b.keyed), cmp.Compare(a.open, b.open), compare(a.name, b.name))
	}
	slices.SortFunc(items, own)
	turns := map[string]int{}
	for _, name := range p.Boxes { // those that have had their turn count
		if !slices.Contains(left, name) {
			turns[s.Box(name).Zone]++
		}
	}
	for i := range items {
		items[i].turn = turns[items[i].zone]
		turns[items[i].zone]++
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(bit(b.failing)-bit(a.failing), bit(a.lead)-bit(b.lead), cmp.Compare(a.turn, b.turn), own(a, b))
	})
	out := make([]Place, len(items))
	for i, x := range items {
		why := fmt.Sprintf("number %d of zone %s, %d in hand", x.turn+1, x.zone, x.open)
		switch {
		case x.failing:
			why = "it fails already; " + why
		case x.lead:
			why = "it leads, and goes last; " + why
		case x.keyed:
			why += ", keyed results still wanted"
		}
		out[i] = Place{x.name, why}
	}
	return out
}
