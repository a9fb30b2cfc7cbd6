package maintenance

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// newFleet returns a state of n servers a1, b1, c1, a2, … in as many zones, all In and in incarnation 1.
func newFleet(n, zones int) *State {
	s := &State{}
	for i := range n {
		name := fmt.Sprintf("%c%d", 'a'+i%zones, i/zones+1)
		s.Apply(s.Index+1, &Entry{Kind: Join, Box: name, Zone: name[:1]})
		s.Server(name).Incarnation = 1
	}
	return s
}

// calmView returns a view in which every server is warm and carries half of its capacity.
func calmView(s *State) View {
	v := View{Now: 1_000_000, SilentAfter: 3000, Reports: map[string]Report{}}
	for _, b := range s.Boxes {
		v.Reports[b.Name] = Report{Incarnation: b.Incarnation, Heard: v.Now, Capacity: 100, Load: 50, Warm: true}
	}
	return v
}

func names(s *State, zone string) (out []string) {
	for _, b := range s.Boxes {
		if zone == "" || b.Zone == zone {
			out = append(out, b.Name)
		}
	}
	return out
}

func propose(s *State, id string, boxes []string, most int, more ...func(*Plan)) error {
	p := Plan{ID: id, By: "staff", Reason: "disks", Boxes: boxes, Most: most, Floor: 0.2}
	for _, f := range more {
		f(&p)
	}
	return s.Apply(s.Index+1, &Entry{Kind: Propose, Plan: p})
}

// applyProposals applies what the leader proposes until it proposes nothing more.
func applyProposals(t *testing.T, s *State, v View) (granted []string, d Decision) {
	t.Helper()
	for range 3 * len(s.Boxes) {
		if d = Next(s, v); len(d.Entries) == 0 {
			return granted, d
		}
		for _, e := range d.Entries {
			if err := s.Apply(s.Index+1, &e); err != nil {
				t.Fatal(err)
			}
			if e.Kind == Grant {
				granted = append(granted, e.Box)
			}
		}
	}
	t.Fatal("the leader does not stop proposing entries")
	return nil, d
}

// finishMaintenance takes a granted server through its phases. Its new process is warm at once.
func finishMaintenance(t *testing.T, s *State, v View, name string) {
	t.Helper()
	inc := s.Server(name).Incarnation
	for _, e := range []Entry{{Phase: Draining, Incarnation: inc}, {Phase: Drained, Incarnation: inc}, {Phase: Returning, Incarnation: inc + 1}, {Phase: InService, Incarnation: inc + 1}} {
		e.Kind, e.Box = Step, name
		if err := s.Apply(s.Index+1, &e); err != nil {
			t.Fatal(err)
		}
	}
	r := v.Reports[name]
	r.Incarnation = inc + 1
	v.Reports[name] = r
}

// A plan over three zones grants the zones in turn, the server with the fewest requests in flight first, a failing
// server before all others, and the leader last, once another server leads. Each server is out once, and the plan is
// done in the end.
func TestPlanOrder(t *testing.T) {
	s := newFleet(6, 3)
	v := calmView(s)
	v.Self = "b1"
	for name, r := range map[string]Report{"a1": {Open: 9}, "c2": {Failing: true}, "b2": {KeyedUntil: v.Now + 5000}} {
		x := v.Reports[name]
		x.Open, x.Failing, x.KeyedUntil = r.Open, r.Failing, r.KeyedUntil
		v.Reports[name] = x
	}
	if err := propose(s, "p", names(s, ""), 1); err != nil {
		t.Fatal(err)
	}
	var order []string
	for s.Plan("p").State == Running {
		granted, d := applyProposals(t, s, v)
		if d.Transfer != "" {
			if len(s.left(s.Plan("p"))) > 1 {
				t.Fatalf("leadership transferred to %s with %v left", d.Transfer, s.left(s.Plan("p")))
			}
			v.Self = d.Transfer
			continue
		}
		if len(granted) != 1 || s.CountUnavailable() != 1 || granted[0] == v.Self {
			t.Fatalf("granted %v, %d unavailable, waits %v", granted, s.CountUnavailable(), d.Waits)
		}
		if _, d := applyProposals(t, s, v); len(d.Waits) != 1 || !strings.Contains(d.Waits[0].Why, "1 boxes are missing") && !strings.Contains(d.Waits[0].Why, "all of its boxes") {
			t.Fatalf("waits %v", d.Waits)
		}
		order = append(order, granted[0])
		finishMaintenance(t, s, v, granted[0])
	}
	want := []string{"c2", "a2", "b2", "c1", "a1", "b1"}
	if diff := cmp.Diff(want, order); diff != "" || s.Plan("p").State != Done || !slices.Equal(s.Plan("p").Gone, want) {
		t.Errorf("%s: %s, gone %v", diff, s.Plan("p").State, s.Plan("p").Gone)
	}
}

func makeSilent(v *View, name string) {
	r := v.Reports[name]
	r.Heard = v.Now - v.SilentAfter - 1
	v.Reports[name] = r
}

// Each condition that delays a grant, and that the grant follows once the condition is over.
func TestGrantWaits(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*State, *View)
		why    string
	}{
		{"another server is silent", func(s *State, v *View) { makeSilent(v, "b2") }, "1 boxes are missing"},
		{"another server is cold", func(s *State, v *View) {
			r := v.Reports["b2"]
			r.Warm = false
			v.Reports["b2"] = r
		}, "1 cold"},
		{"another process of a server reports", func(s *State, v *View) { s.Server("b2").Incarnation = 2 }, "1 boxes are missing"},
		{"traffic jumps", func(s *State, v *View) {
			for n, r := range v.Reports {
				r.Load = 80
				v.Reports[n] = r
			}
		}, "under the floor of 0.20"},
		{"the server itself is silent", func(s *State, v *View) { delete(v.Reports, "a1") }, "may be serving"},
		{"a server is back cold after a crash", func(s *State, v *View) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "b2", Incarnation: 7, Phase: Returning})
		}, "1 by the log"},
		{"paused", func(s *State, v *View) { s.Apply(s.Index+1, &Entry{Kind: Pause, Plan: Plan{ID: "p"}}) }, "paused"},
	} {
		s := newFleet(6, 3)
		if err := propose(s, "p", []string{"a1", "a2"}, 1); err != nil {
			t.Fatal(err)
		}
		v := calmView(s)
		for _, e := range Next(s, v).Entries { // sets the order
			s.Apply(s.Index+1, &e)
		}
		before := s.Clone()
		tc.change(s, &v)
		granted, d := applyProposals(t, s, v)
		if len(granted) > 0 || len(d.Waits) != 1 || !strings.Contains(d.Waits[0].Why, tc.why) {
			t.Errorf("%s: granted %v, waits %v", tc.name, granted, d.Waits)
		}
		if granted, _ := applyProposals(t, &before, calmView(&before)); !slices.Equal(granted, []string{"a1"}) {
			t.Errorf("%s: granted %v without the condition", tc.name, granted)
		}
	}
}

// Plans that share a server run one after the other, the others at the same time, each within its own bound.
func TestPlansWaitForTheirServers(t *testing.T) {
	s := newFleet(9, 3)
	for _, p := range []struct {
		id    string
		boxes []string
		most  int
	}{{"first", names(s, "a"), 1}, {"second", []string{"a1", "b1"}, 1}, {"third", names(s, "c"), 2}} {
		if err := propose(s, p.id, p.boxes, p.most); err != nil {
			t.Fatal(err)
		}
	}
	v := calmView(s)
	granted, _ := applyProposals(t, s, v)
	if !slices.Equal(granted, []string{"a1", "c1"}) || s.Plan("second").State != Waiting {
		t.Fatalf("granted %v, second %s", granted, s.Plan("second").State)
	}
	s.Apply(s.Index+1, &Entry{Kind: Cancel, Plan: Plan{ID: "first"}})
	if s.Server("a1").Phase != InService || s.Plan("second").State != Running {
		t.Fatalf("a1 is %s, second is %s after the first was cancelled", s.Server("a1").Phase, s.Plan("second").State)
	}
}

// Apply checks a grant against the replicated state, whatever its leader knew. This guards against entries of a leader
// that was suspended, grants for a server that has become unavailable, and grants beyond the bound by the log or by
// the servers that the leader itself named.
func TestGrantIsCheckedWhenApplied(t *testing.T) {
	for _, tc := range []struct {
		name    string
		change  func(*State)
		missing []string
		want    error
	}{
		{"as it was derived", func(*State) {}, nil, nil},
		{"another server is unavailable by the log", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "c1", Incarnation: 2, Phase: Returning})
		}, nil, ErrBound},
		{"another server was named as missing", func(*State) {}, []string{"c2"}, ErrBound},
		{"an unavailable server is named too and counts once", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "c1", Incarnation: 2, Phase: Returning})
			s.Plan("p").Most = 2
		}, []string{"c1"}, nil},
		{"the server was already granted", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Grant, Box: "a1", Incarnation: 1, Plan: Plan{ID: "p"}})
		}, nil, ErrPhase},
		{"the server restarted", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: Returning})
		}, nil, ErrPhase},
		{"the server restarted and is in", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: Returning})
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: InService})
		}, nil, ErrPhase},
		{"the server returns in the same process", func(s *State) { s.Server("a1").Phase = Returning }, nil, ErrPhase},
		{"the order was discarded", func(s *State) { s.Apply(s.Index+1, &Entry{Kind: Replan, Plan: Plan{ID: "p"}}) }, nil, ErrPhase},
		{"the plan is over", func(s *State) { s.Apply(s.Index+1, &Entry{Kind: Cancel, Plan: Plan{ID: "p"}}) }, nil, ErrOver},
	} {
		s := newFleet(6, 3)
		propose(s, "p", []string{"a1", "b1"}, 1)
		s.Apply(s.Index+1, &Entry{Kind: Arrange, Plan: Plan{ID: "p"}, Order: []OrderItem{{Box: "a1"}, {Box: "b1"}}})
		tc.change(s)
		err := s.Apply(s.Index+1, &Entry{Kind: Grant, Box: "a1", Incarnation: 1, Plan: Plan{ID: "p"}, Missing: tc.missing})
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
	}
}

// A server that dies while it holds a grant counts as unavailable until it is back or written off. One that was not
// Out yet is granted again. A server that was written off counts again once it turns up.
func TestServerDiesDuringMaintenance(t *testing.T) {
	for _, at := range []Phase{Granted, Draining, Drained} {
		s := newFleet(6, 3)
		propose(s, "p", []string{"a1"}, 1)
		v := calmView(s)
		applyProposals(t, s, v)
		for p := Draining; p <= at; p++ {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 1, Phase: p})
		}
		if s.CountUnavailable() != 1 {
			t.Fatalf("%s: %d unavailable", at, s.CountUnavailable())
		}
		s.Apply(s.Index+1, &Entry{Kind: WriteOff, Box: "a1", By: "staff", Why: "no disk"})
		if s.CountUnavailable() != 0 || s.Server("a1").WrittenOff != "staff: no disk" || s.Plan("p").State != Done {
			t.Errorf("%s, written off: %d unavailable, %+v, plan %s", at, s.CountUnavailable(), s.Server("a1"), s.Plan("p").State)
		}
		s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: Returning})
		if s.CountUnavailable() != 1 {
			t.Errorf("%s, written off and up again: %d unavailable", at, s.CountUnavailable())
		}

		s = newFleet(6, 3)
		propose(s, "p", []string{"a1"}, 1)
		applyProposals(t, s, v)
		for p := Draining; p <= at; p++ {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 1, Phase: p})
		}
		for _, p := range []Phase{Returning, InService} {
			if err := s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: p}); err != nil {
				t.Fatal(err)
			}
		}
		if done := s.Plan("p").State == Done; done != (at == Drained) || s.CountUnavailable() != 0 {
			t.Errorf("%s and back: plan %s, %d unavailable", at, s.Plan("p").State, s.CountUnavailable())
		}
	}
}

// A removed server leaves the fleet and all plans, which end without it, and counts no longer.
func TestServerLeaves(t *testing.T) {
	s := newFleet(6, 3)
	propose(s, "p", []string{"a1", "b1"}, 1)
	applyProposals(t, s, calmView(s))
	s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 1, Phase: Draining})
	if err := s.Apply(s.Index+1, &Entry{Kind: Leave, Box: "a1", By: "staff"}); !errors.Is(err, ErrInvalid) {
		t.Errorf("without a reason: %v", err)
	}
	if err := s.Apply(s.Index+1, &Entry{Kind: Leave, Box: "a1", By: "staff", Why: "scrapped"}); err != nil || s.Server("a1") != nil || s.CountUnavailable() != 0 {
		t.Fatalf("%v, %+v, %d unavailable", err, s.Server("a1"), s.CountUnavailable())
	}
	v := calmView(s)
	if granted, d := applyProposals(t, s, v); !slices.Equal(granted, []string{"b1"}) {
		t.Fatalf("granted %v, waits %v", granted, d.Waits)
	}
	finishMaintenance(t, s, v, "b1")
	if p := s.Plan("p"); p.State != Done || !slices.Equal(p.Gone, []string{"b1"}) {
		t.Errorf("%+v", p)
	}
	if err := s.Apply(s.Index+1, &Entry{Kind: Join, Box: "a1", Zone: "a"}); err != nil || s.Server("a1").Phase != InService {
		t.Errorf("joining again: %v", err)
	}
}

// An invalid request returns one error on one line and changes nothing. The same plan proposed twice is no error.
func TestInvalidRequests(t *testing.T) {
	s := newFleet(3, 3)
	if err := propose(s, "p", []string{"a1"}, 1); err != nil {
		t.Fatal(err)
	}
	if err := propose(s, "p", []string{"a1"}, 1); err != nil {
		t.Errorf("proposed twice: %v", err)
	}
	was := fmt.Sprint(s.Plans, s.Boxes)
	for name, k := range map[string]struct {
		err  error
		want error
	}{
		"an unknown server":                  {propose(s, "q", []string{"z9"}, 1), ErrUnknown},
		"a bound of 0":                       {propose(s, "q", []string{"a1"}, 0), ErrInvalid},
		"a bound of the fleet":               {propose(s, "q", []string{"a1"}, 3), ErrInvalid},
		"no server":                          {propose(s, "q", nil, 1), ErrInvalid},
		"a server twice":                     {propose(s, "q", []string{"a1", "a1"}, 1), ErrInvalid},
		"a floor of 1":                       {propose(s, "q", []string{"a1"}, 1, func(p *Plan) { p.Floor = 1 }), ErrInvalid},
		"no operator":                        {propose(s, "q", []string{"a1"}, 1, func(p *Plan) { p.By = "" }), ErrInvalid},
		"a different plan with its ID":       {propose(s, "p", []string{"b1"}, 1), ErrInvalid},
		"an unknown plan":                    {s.Apply(s.Index+1, &Entry{Kind: Pause, Plan: Plan{ID: "x"}}), ErrUnknown},
		"a write-off of an unknown server":   {s.Apply(s.Index+1, &Entry{Kind: WriteOff, Box: "x", By: "me", Why: "gone"}), ErrUnknown},
		"a write-off of a server that is in": {s.Apply(s.Index+1, &Entry{Kind: WriteOff, Box: "b1", By: "me", Why: "gone"}), ErrPhase},
		"a drain not granted":                {s.Apply(s.Index+1, &Entry{Kind: Step, Box: "b1", Incarnation: 1, Phase: Draining}), ErrPhase},
		"no such kind":                       {s.Apply(s.Index+1, &Entry{Kind: 99, Plan: Plan{ID: "p"}}), ErrInvalid},
	} {
		if !errors.Is(k.err, k.want) || strings.Contains(k.err.Error(), "\n") {
			t.Errorf("%s: %v", name, k.err)
		}
	}
	if now := fmt.Sprint(s.Plans, s.Boxes); now != was {
		t.Errorf("changed:\n%s\n%s", was, now)
	}
}

// Random histories of a fleet: leaders that act on outdated states, servers that die and return in any phase, and
// operators that pause, resume, replan, cancel and write off. Grants never make more servers unavailable than a plan's
// bound, no server drains without a grant, and each server of a plan is out at most once. Replicas that apply the same
// entries have the same state, and once all servers are healthy again, every plan ends.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "boxes")
		s := newFleet(n, rapid.IntRange(1, 3).Draw(t, "zones"))
		twin := newFleet(n, 1)
		*twin = State{Index: s.Index, Boxes: slices.Clone(s.Boxes)}
		pick := func() string { return s.Boxes[rapid.IntRange(0, n-1).Draw(t, "box")].Name }
		var history []Entry
		timesOut := map[string]int{} // by plan and server
		apply := func(e Entry) error {
			before := map[string]Server{}
			for _, b := range s.Boxes {
				before[b.Name] = b
			}
			err := s.Apply(s.Index+1, &e)
			if again := twin.Apply(twin.Index+1, &e); fmt.Sprint(err) != fmt.Sprint(again) || !reflect.DeepEqual(s, twin) {
				t.Fatalf("two replicas differ after %+v: %v, %v", e, err, again)
			}
			history = append(history, e)
			if err != nil {
				return err
			}
			if e.Kind == Grant && s.CountUnavailable() > s.Plan(e.Plan.ID).Most {
				t.Fatalf("%d unavailable with a bound of %d after %+v", s.CountUnavailable(), s.Plan(e.Plan.ID).Most, e)
			}
			for _, b := range s.Boxes {
				was := before[b.Name]
				if b.Phase == Draining && was.Phase != Draining && was.Phase != Granted {
					t.Fatalf("%s drains and was %s before", b.Name, was.Phase)
				}
				if b.Phase == Drained && was.Phase != Drained {
					if timesOut[b.Plan+"/"+b.Name]++; timesOut[b.Plan+"/"+b.Name] > 1 {
						t.Fatalf("%s is out twice for %s", b.Name, b.Plan)
					}
				}
			}
			return nil
		}
		var outdated *State // state of a leader that was suspended
		view := func(of *State) View {
			v := calmView(of)
			v.Self = pick()
			for name, r := range v.Reports {
				b := s.Server(name)
				r.Incarnation, r.Warm = b.Incarnation, b.Phase == InService
				if rapid.IntRange(0, 9).Draw(t, "silent") == 0 {
					r.Heard = 0
				}
				v.Reports[name] = r
			}
			return v
		}
		for step := range rapid.IntRange(10, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				boxes := slices.Clone(names(s, ""))
				k := rapid.IntRange(1, n).Draw(t, "many")
				apply(Entry{Kind: Propose, Plan: Plan{ID: fmt.Sprint("p", step), By: "x", Boxes: boxes[:k], Most: rapid.IntRange(1, n-1).Draw(t, "most")}})
			case 1, 2, 3, 4:
				for _, e := range Next(s, view(s)).Entries {
					apply(e)
				}
			case 5: // entries of a leader that was suspended
				if outdated != nil {
					for _, e := range Next(outdated, view(outdated)).Entries {
						apply(e)
					}
				}
				c := s.Clone()
				outdated = &c
			case 6, 7, 8, 9:
				b := s.Server(pick())
				next := (b.Phase + 1) % 5
				if b.Phase == InService {
					continue
				}
				inc := b.Incarnation
				if next == Returning {
					inc++
				}
				apply(Entry{Kind: Step, Box: b.Name, Incarnation: inc, Phase: next})
			case 10: // a crash and a new process
				b := s.Server(pick())
				apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation + 1, Phase: Returning})
			case 11:
				if len(s.Plans) > 0 {
					id := s.Plans[rapid.IntRange(0, len(s.Plans)-1).Draw(t, "plan")].ID
					kind := rapid.SampledFrom([]Kind{Pause, Resume, Resume, Replan, Cancel}).Draw(t, "word")
					apply(Entry{Kind: kind, Plan: Plan{ID: id}})
				}
			case 12:
				if b := s.Server(pick()); rapid.Bool().Draw(t, "write off") {
					apply(Entry{Kind: WriteOff, Box: b.Name, By: "x", Why: "scrapped"})
				}
			}
		}
		for i := range s.Plans { // all servers are healthy again
			apply(Entry{Kind: Resume, Plan: Plan{ID: s.Plans[i].ID}})
		}
		for range 10 * n * (len(s.Plans) + 1) {
			for _, b := range s.Boxes {
				switch b.Phase {
				case Granted:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation, Phase: Draining})
				case Draining:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation, Phase: Drained})
				case Drained:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation + 1, Phase: Returning})
				case Returning:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation, Phase: InService})
				}
			}
			v := calmView(s)
			if d := Next(s, v); len(d.Entries) > 0 {
				for _, e := range d.Entries {
					apply(e)
				}
			}
		}
		for _, p := range s.Plans {
			if !p.State.closed() {
				t.Fatalf("plan %s is still %s: order %v, gone %v, waits %v", p.ID, p.State, p.Order, p.Gone, Next(s, calmView(s)).Waits)
			}
		}
	})
}
