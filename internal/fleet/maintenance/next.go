package maintenance

import (
	"cmp"
	"fmt"
	"slices"
)

// Report is the newest report of a server about itself.
type Report struct {
	Incarnation uint64
	Heard       int64   // time of arrival, by the receiver's clock
	Capacity    float64 // requests per second that the server can serve when warm
	Load        float64 // requests per second that it serves now
	Warm        bool
	Failing     bool // its health check fails, or its downstream service does
	Open        int  // requests in flight
	KeyedUntil  int64
}

// Fresh reports whether a report is recent enough that its server does not count as silent.
func (r Report) Fresh(now, silent int64) bool { return now-r.Heard <= silent }

// View is what the leader knows besides the replicated state.
type View struct {
	Now         int64
	Self        string // name of the leader
	SilentAfter int64  // ms without a report after which a server counts as missing
	Reports     map[string]Report
	Voters      map[string]bool // servers that can lead; nil = all
}

// report returns a server's report, and false if the server is silent or the report is from another process than the
// one in the log.
func (v *View) report(b *Server) (Report, bool) {
	r, ok := v.Reports[b.Name]
	return r, ok && r.Fresh(v.Now, v.SilentAfter) && (b.Incarnation == 0 || r.Incarnation == b.Incarnation)
}

// Wait is the reason for which a plan waits.
type Wait struct{ Plan, Box, Why string }

// Decision is what the leader does next, derived from a state and a view.
type Decision struct {
	Entries  []Entry // to propose in this order
	Transfer string  // transfer the leadership to this server first; "" = not needed
	Waits    []Wait
}

// Next derives what the leader proposes: missing orders, expired plans, and at most one grant. The leader calls it
// again after the entries were applied, or when a report arrives.
func Next(s *State, v View) Decision {
	var d Decision
	granted := false
	for i := range s.Plans {
		p := &s.Plans[i]
		if p.State.closed() {
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
			b := s.Server(p.Order[0].Box)
			missing, why := mayGrant(s, p, b, &v)
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

// mayGrant returns the missing servers, and the reason for which a server must not be granted now; "" = it may be.
func mayGrant(s *State, p *Plan, b *Server, v *View) (missing []string, why string) {
	demand, restCapacity := 0.0, 0.0
	coldCount := 0
	for i := range s.Boxes {
		x := &s.Boxes[i]
		r, ok := v.report(x)
		if ok {
			demand += r.Load
		}
		switch {
		case x.Name == b.Name:
		case !ok:
			missing = append(missing, x.Name)
		case !r.Warm:
			missing = append(missing, x.Name)
			coldCount++
		case x.Phase == InService:
			restCapacity += r.Capacity
		}
	}
	n := s.unavailable(missing, b.Name)
	switch _, ok := v.report(b); {
	case b.Phase != InService:
		return nil, fmt.Sprintf("it is %s already", b.Phase)
	case b.Incarnation == 0:
		return nil, "no process of it has been heard of"
	case !ok:
		return nil, "it is silent, and may be serving"
	case n+1 > p.Most:
		return nil, fmt.Sprintf("%d boxes are missing (%d by the log, %d cold), %d at most may be with it", n, s.CountUnavailable(), coldCount, p.Most)
	case restCapacity <= 0, 1-demand/restCapacity < p.Floor:
		return nil, fmt.Sprintf("the warm rest carries %.0f/s, asked are %.0f/s: under the floor of %.2f", restCapacity, demand, p.Floor)
	}
	return missing, ""
}

// successor returns the server that leads while the leader is drained: one outside the plan if one is fit, else the
// last fit server of the plan's order, since it is granted last.
func successor(s *State, p *Plan, v *View) string {
	fit := func(name string) bool {
		b := s.Server(name)
		r, ok := v.report(b)
		return name != v.Self && (v.Voters == nil || v.Voters[name]) && ok && r.Warm && b.Phase == InService && !r.Failing
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

// order derives the order of the servers that a plan has left, with the reason for each position: servers that already
// fail come first, then the zones take turns, and within a zone the server with the fewest requests in flight comes
// first, those with keyed results that may still be asked for later, and the leader last.
func order(s *State, p *Plan, left []string, v *View) []OrderItem {
	type item struct {
		name, zone           string
		failing, keyed, lead bool
		open                 int
		turn                 int // position within its zone
	}
	items := make([]item, 0, len(left))
	for _, name := range left {
		b := s.Server(name)
		r := v.Reports[name]
		items = append(items, item{name: name, zone: b.Zone, failing: r.Failing, keyed: r.KeyedUntil > v.Now, lead: name == v.Self, open: r.Open})
	}
	boolToInt := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	byOwnState := func(a, b item) int {
		return cmp.Or(boolToInt(b.failing)-boolToInt(a.failing), boolToInt(a.lead)-boolToInt(b.lead), boolToInt(a.keyed)-boolToInt(b.keyed), cmp.Compare(a.open, b.open), compare(a.name, b.name))
	}
	slices.SortFunc(items, byOwnState)
	turnsByZone := map[string]int{}
	for _, name := range p.Boxes { // servers that were granted before count too
		if !slices.Contains(left, name) {
			turnsByZone[s.Server(name).Zone]++
		}
	}
	for i := range items {
		items[i].turn = turnsByZone[items[i].zone]
		turnsByZone[items[i].zone]++
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(boolToInt(b.failing)-boolToInt(a.failing), boolToInt(a.lead)-boolToInt(b.lead), cmp.Compare(a.turn, b.turn), byOwnState(a, b))
	})
	places := make([]OrderItem, len(items))
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
		places[i] = OrderItem{x.name, why}
	}
	return places
}
