package takeout

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

// fleet is a state of n boxes a1, b1, c1, a2, … in as many zones, all in and in incarnation 1.
func fleet(n, zones int) *State {
	s := &State{}
	for i := range n {
		name := fmt.Sprintf("%c%d", 'a'+i%zones, i/zones+1)
		s.Apply(s.Index+1, &Entry{Kind: Join, Box: name, Zone: name[:1]})
		s.Box(name).Incarnation = 1
	}
	return s
}

// calm is a view in which every box is warm and carries half of what it could.
func calm(s *State) View {
	v := View{Now: 1_000_000, Silent: 3000, Reports: map[string]Report{}}
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

// lead applies what follows, until nothing does.
func lead(t *testing.T, s *State, v View) (granted []string, d Decision) {
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
	t.Fatal("no end of entries")
	return nil, d
}

// work takes a granted box through its phases; its new process is warm at once.
func work(t *testing.T, s *State, v View, name string) {
	t.Helper()
	inc := s.Box(name).Incarnation
	for _, e := range []Entry{{Phase: Draining, Incarnation: inc}, {Phase: Out, Incarnation: inc}, {Phase: Returning, Incarnation: inc + 1}, {Phase: In, Incarnation: inc + 1}} {
		e.Kind, e.Box = Step, name
		if err := s.Apply(s.Index+1, &e); err != nil {
			t.Fatal(err)
		}
	}
	r := v.Reports[name]
	r.Incarnation = inc + 1
	v.Reports[name] = r
}

// A plan over three zones: zones in turn, the least in hand first, what fails before all, the leader last and only
// once another leads; each box out once, and the plan done.
func TestAPlanGoesThroughTheZones(t *testing.T) {
	s := fleet(6, 3)
	v := calm(s)
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
		granted, d := lead(t, s, v)
		if d.Transfer != "" {
			if len(s.left(s.Plan("p"))) > 1 {
				t.Fatalf("leadership handed to %s with %v left", d.Transfer, s.left(s.Plan("p")))
			}
			v.Self = d.Transfer
			continue
		}
		if len(granted) != 1 || s.Away() != 1 || granted[0] == v.Self {
			t.Fatalf("granted %v, away %d, waits %v", granted, s.Away(), d.Waits)
		}
		if _, d := lead(t, s, v); len(d.Waits) != 1 || !strings.Contains(d.Waits[0].Why, "1 boxes are missing") && !strings.Contains(d.Waits[0].Why, "all of its boxes") {
			t.Fatalf("waits %v", d.Waits)
		}
		order = append(order, granted[0])
		work(t, s, v, granted[0])
	}
	want := []string{"c2", "a2", "b2", "c1", "a1", "b1"}
	if diff := cmp.Diff(want, order); diff != "" || s.Plan("p").State != Done || !slices.Equal(s.Plan("p").Gone, want) {
		t.Errorf("%s: %s, gone %v", diff, s.Plan("p").State, s.Plan("p").Gone)
	}
}

func silence(v *View, name string) {
	r := v.Reports[name]
	r.Heard = v.Now - v.Silent - 1
	v.Reports[name] = r
}

// What keeps a grant back, and that it goes on by itself once that is over.
func TestAGrantWaits(t *testing.T) {
	for _, k := range []struct {
		name string
		set  func(*State, *View)
		why  string
	}{
		{"another box is silent", func(s *State, v *View) { silence(v, "b2") }, "1 boxes are missing"},
		{"another box is cold", func(s *State, v *View) {
			r := v.Reports["b2"]
			r.Warm = false
			v.Reports["b2"] = r
		}, "1 cold"},
		{"another process of a box reports", func(s *State, v *View) { s.Box("b2").Incarnation = 2 }, "1 boxes are missing"},
		{"traffic jumps", func(s *State, v *View) {
			for n, r := range v.Reports {
				r.Load = 80
				v.Reports[n] = r
			}
		}, "under the floor of 0.20"},
		{"the box itself is silent", func(s *State, v *View) { delete(v.Reports, "a1") }, "may be serving"},
		{"a crash brought a box back cold", func(s *State, v *View) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "b2", Incarnation: 7, Phase: Returning})
		}, "1 by the log"},
		{"paused", func(s *State, v *View) { s.Apply(s.Index+1, &Entry{Kind: Pause, Plan: Plan{ID: "p"}}) }, "paused"},
	} {
		s := fleet(6, 3)
		if err := propose(s, "p", []string{"a1", "a2"}, 1); err != nil {
			t.Fatal(err)
		}
		v := calm(s)
		for _, e := range Next(s, v).Entries { // the order is there
			s.Apply(s.Index+1, &e)
		}
		before := s.Clone()
		k.set(s, &v)
		granted, d := lead(t, s, v)
		if len(granted) > 0 || len(d.Waits) != 1 || !strings.Contains(d.Waits[0].Why, k.why) {
			t.Errorf("%s: granted %v, waits %v", k.name, granted, d.Waits)
		}
		if granted, _ := lead(t, &before, calm(&before)); !slices.Equal(granted, []string{"a1"}) {
			t.Errorf("%s: without it %v", k.name, granted)
		}
	}
}

// Plans that share a box go one after the other, others together, under both bounds.
func TestPlansWaitForTheirBoxes(t *testing.T) {
	s := fleet(9, 3)
	for _, p := range []struct {
		id    string
		boxes []string
		most  int
	}{{"first", names(s, "a"), 1}, {"second", []string{"a1", "b1"}, 1}, {"third", names(s, "c"), 2}} {
		if err := propose(s, p.id, p.boxes, p.most); err != nil {
			t.Fatal(err)
		}
	}
	v := calm(s)
	granted, _ := lead(t, s, v)
	if !slices.Equal(granted, []string{"a1", "c1"}) || s.Plan("second").State != Waiting {
		t.Fatalf("granted %v, second %s", granted, s.Plan("second").State)
	}
	s.Apply(s.Index+1, &Entry{Kind: Cancel, Plan: Plan{ID: "first"}})
	if s.Box("a1").Phase != In || s.Plan("second").State != Running {
		t.Fatalf("a1 %s, second %s after the first was cancelled", s.Box("a1").Phase, s.Plan("second").State)
	}
}

// A grant is held to the bound by the agreed state when it is applied, whatever its leader knew: entries of a leader
// that slept, for a box that is away meanwhile, or past the bound by the log or by what the leader itself named.
func TestAGrantIsCheckedWhereItIsApplied(t *testing.T) {
	for _, k := range []struct {
		name    string
		set     func(*State)
		missing []string
		want    error
	}{
		{"as it was derived", func(*State) {}, nil, nil},
		{"another box is away by the log", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "c1", Incarnation: 2, Phase: Returning})
		}, nil, ErrBound},
		{"another box was named as missing", func(*State) {}, []string{"c2"}, ErrBound},
		{"one that is away is named too: it counts once", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "c1", Incarnation: 2, Phase: Returning})
			s.Plan("p").Most = 2
		}, []string{"c1"}, nil},
		{"it was granted already", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Grant, Box: "a1", Incarnation: 1, Plan: Plan{ID: "p"}})
		}, nil, ErrPhase},
		{"it came up anew", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: Returning})
		}, nil, ErrPhase},
		{"it came up anew, and is in", func(s *State) {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: Returning})
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: In})
		}, nil, ErrPhase},
		{"it is away in the same process", func(s *State) { s.Box("a1").Phase = Returning }, nil, ErrPhase},
		{"the order was derived anew", func(s *State) { s.Apply(s.Index+1, &Entry{Kind: Replan, Plan: Plan{ID: "p"}}) }, nil, ErrPhase},
		{"the plan is over", func(s *State) { s.Apply(s.Index+1, &Entry{Kind: Cancel, Plan: Plan{ID: "p"}}) }, nil, ErrOver},
	} {
		s := fleet(6, 3)
		propose(s, "p", []string{"a1", "b1"}, 1)
		s.Apply(s.Index+1, &Entry{Kind: Arrange, Plan: Plan{ID: "p"}, Order: []Place{{Box: "a1"}, {Box: "b1"}}})
		k.set(s)
		err := s.Apply(s.Index+1, &Entry{Kind: Grant, Box: "a1", Incarnation: 1, Plan: Plan{ID: "p"}, Missing: k.missing})
		if !errors.Is(err, k.want) {
			t.Errorf("%s: %v, want %v", k.name, err, k.want)
		}
	}
}

// A box that dies while it has its grant stays counted until it is back or written off, and one that was not out yet
// has its turn again; a written-off box that turns up is counted again.
func TestABoxThatDiesOnItsWay(t *testing.T) {
	for _, at := range []Phase{Granted, Draining, Out} {
		s := fleet(6, 3)
		propose(s, "p", []string{"a1"}, 1)
		v := calm(s)
		lead(t, s, v)
		for p := Draining; p <= at; p++ {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 1, Phase: p})
		}
		if s.Away() != 1 {
			t.Fatalf("%s: %d away", at, s.Away())
		}
		s.Apply(s.Index+1, &Entry{Kind: WriteOff, Box: "a1", By: "staff", Why: "no disk"})
		if s.Away() != 0 || s.Box("a1").WrittenOff != "staff: no disk" || s.Plan("p").State != Done {
			t.Errorf("%s, written off: %d away, %+v, plan %s", at, s.Away(), s.Box("a1"), s.Plan("p").State)
		}
		s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: Returning})
		if s.Away() != 1 {
			t.Errorf("%s, written off and up again: %d away", at, s.Away())
		}

		s = fleet(6, 3)
		propose(s, "p", []string{"a1"}, 1)
		lead(t, s, v)
		for p := Draining; p <= at; p++ {
			s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 1, Phase: p})
		}
		for _, p := range []Phase{Returning, In} {
			if err := s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 2, Phase: p}); err != nil {
				t.Fatal(err)
			}
		}
		if done := s.Plan("p").State == Done; done != (at == Out) || s.Away() != 0 {
			t.Errorf("%s and back: plan %s, %d away", at, s.Plan("p").State, s.Away())
		}
	}
}

// A box that is gone for good leaves the fleet and all plans, which end without it; nothing of it counts any longer.
func TestABoxThatIsGoneForGood(t *testing.T) {
	s := fleet(6, 3)
	propose(s, "p", []string{"a1", "b1"}, 1)
	lead(t, s, calm(s))
	s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: 1, Phase: Draining})
	if err := s.Apply(s.Index+1, &Entry{Kind: Leave, Box: "a1", By: "staff"}); !errors.Is(err, ErrInvalid) {
		t.Errorf("without a reason: %v", err)
	}
	if err := s.Apply(s.Index+1, &Entry{Kind: Leave, Box: "a1", By: "staff", Why: "scrapped"}); err != nil || s.Box("a1") != nil || s.Away() != 0 {
		t.Fatalf("%v, %+v, %d away", err, s.Box("a1"), s.Away())
	}
	v := calm(s)
	if granted, d := lead(t, s, v); !slices.Equal(granted, []string{"b1"}) {
		t.Fatalf("granted %v, waits %v", granted, d.Waits)
	}
	work(t, s, v, "b1")
	if p := s.Plan("p"); p.State != Done || !slices.Equal(p.Gone, []string{"b1"}) {
		t.Errorf("%+v", p)
	}
	if err := s.Apply(s.Index+1, &Entry{Kind: Join, Box: "a1", Zone: "a"}); err != nil || s.Box("a1").Phase != In {
		t.Errorf("it comes again: %v", err)
	}
}

// What an operator cannot ask for is one error that says what holds, and changes nothing; the same again is no error.
func TestWhatCannotBeAsked(t *testing.T) {
	s := fleet(3, 3)
	if err := propose(s, "p", []string{"a1"}, 1); err != nil {
		t.Fatal(err)
	}
	if err := propose(s, "p", []string{"a1"}, 1); err != nil {
		t.Errorf("given again: %v", err)
	}
	was := fmt.Sprint(s.Plans, s.Boxes)
	for name, k := range map[string]struct {
		err  error
		want error
	}{
		"an unknown box":        {propose(s, "q", []string{"z9"}, 1), ErrUnknown},
		"a bound of 0":          {propose(s, "q", []string{"a1"}, 0), ErrInvalid},
		"a bound of the fleet":  {propose(s, "q", []string{"a1"}, 3), ErrInvalid},
		"no box":                {propose(s, "q", nil, 1), ErrInvalid},
		"a box twice":           {propose(s, "q", []string{"a1", "a1"}, 1), ErrInvalid},
		"a floor of 1":          {propose(s, "q", []string{"a1"}, 1, func(p *Plan) { p.Floor = 1 }), ErrInvalid},
		"nobody's":              {propose(s, "q", []string{"a1"}, 1, func(p *Plan) { p.By = "" }), ErrInvalid},
		"another of its name":   {propose(s, "p", []string{"b1"}, 1), ErrInvalid},
		"an unknown plan":       {s.Apply(s.Index+1, &Entry{Kind: Pause, Plan: Plan{ID: "x"}}), ErrUnknown},
		"a write-off of no box": {s.Apply(s.Index+1, &Entry{Kind: WriteOff, Box: "x", By: "me", Why: "gone"}), ErrUnknown},
		"one that is in":        {s.Apply(s.Index+1, &Entry{Kind: WriteOff, Box: "b1", By: "me", Why: "gone"}), ErrPhase},
		"a drain not granted":   {s.Apply(s.Index+1, &Entry{Kind: Step, Box: "b1", Incarnation: 1, Phase: Draining}), ErrPhase},
		"no such kind":          {s.Apply(s.Index+1, &Entry{Kind: 99, Plan: Plan{ID: "p"}}), ErrInvalid},
	} {
		if !errors.Is(k.err, k.want) || strings.Contains(k.err.Error(), "\n") {
			t.Errorf("%s: %v", name, k.err)
		}
	}
	if now := fmt.Sprint(s.Plans, s.Boxes); now != was {
		t.Errorf("changed:\n%s\n%s", was, now)
	}
}

// Any history of a fleet: leaders that act on old states, boxes that die and return in any phase, operators that
// pause, resume, replan, cancel and write off. By grants never more are away than a plan's bound; nobody drains without a
// grant; each box of a plan is out at most once a turn; who applies the same entries has the same state; and once all
// are well again, every plan ends.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "boxes")
		s := fleet(n, rapid.IntRange(1, 3).Draw(t, "zones"))
		twin := fleet(n, 1)
		*twin = State{Index: s.Index, Boxes: slices.Clone(s.Boxes)}
		pick := func() string { return s.Boxes[rapid.IntRange(0, n-1).Draw(t, "box")].Name }
		var history []Entry
		outs := map[string]int{} // of a plan and a box
		apply := func(e Entry) error {
			before := map[string]Box{}
			for _, b := range s.Boxes {
				before[b.Name] = b
			}
			err := s.Apply(s.Index+1, &e)
			if again := twin.Apply(twin.Index+1, &e); fmt.Sprint(err) != fmt.Sprint(again) || !reflect.DeepEqual(s, twin) {
				t.Fatalf("two boxes differ after %+v: %v, %v", e, err, again)
			}
			history = append(history, e)
			if err != nil {
				return err
			}
			if e.Kind == Grant && s.Away() > s.Plan(e.Plan.ID).Most {
				t.Fatalf("%d away with a bound of %d after %+v", s.Away(), s.Plan(e.Plan.ID).Most, e)
			}
			for _, b := range s.Boxes {
				was := before[b.Name]
				if b.Phase == Draining && was.Phase != Draining && was.Phase != Granted {
					t.Fatalf("%s drains, and was %s", b.Name, was.Phase)
				}
				if b.Phase == Out && was.Phase != Out {
					if outs[b.Plan+"/"+b.Name]++; outs[b.Plan+"/"+b.Name] > 1 {
						t.Fatalf("%s is out twice for %s", b.Name, b.Plan)
					}
				}
			}
			return nil
		}
		var old *State // what a leader that was stopped knows
		view := func(of *State) View {
			v := calm(of)
			v.Self = pick()
			for name, r := range v.Reports {
				b := s.Box(name)
				r.Incarnation, r.Warm = b.Incarnation, b.Phase == In
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
			case 5: // entries of a leader that slept
				if old != nil {
					for _, e := range Next(old, view(old)).Entries {
						apply(e)
					}
				}
				c := s.Clone()
				old = &c
			case 6, 7, 8, 9:
				b := s.Box(pick())
				next := (b.Phase + 1) % 5
				if b.Phase == In {
					continue
				}
				inc := b.Incarnation
				if next == Returning {
					inc++
				}
				apply(Entry{Kind: Step, Box: b.Name, Incarnation: inc, Phase: next})
			case 10: // a crash, and a new process
				b := s.Box(pick())
				apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation + 1, Phase: Returning})
			case 11:
				if len(s.Plans) > 0 {
					id := s.Plans[rapid.IntRange(0, len(s.Plans)-1).Draw(t, "plan")].ID
					kind := rapid.SampledFrom([]Kind{Pause, Resume, Resume, Replan, Cancel}).Draw(t, "word")
					apply(Entry{Kind: kind, Plan: Plan{ID: id}})
				}
			case 12:
				if b := s.Box(pick()); rapid.Bool().Draw(t, "write off") {
					apply(Entry{Kind: WriteOff, Box: b.Name, By: "x", Why: "scrapped"})
				}
			}
		}
		for i := range s.Plans { // all are well again
			apply(Entry{Kind: Resume, Plan: Plan{ID: s.Plans[i].ID}})
		}
		for range 10 * n * (len(s.Plans) + 1) {
			for _, b := range s.Boxes {
				switch b.Phase {
				case Granted:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation, Phase: Draining})
				case Draining:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation, Phase: Out})
				case Out:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation + 1, Phase: Returning})
				case Returning:
					apply(Entry{Kind: Step, Box: b.Name, Incarnation: b.Incarnation, Phase: In})
				}
			}
			v := calm(s)
			if d := Next(s, v); len(d.Entries) > 0 {
				for _, e := range d.Entries {
					apply(e)
				}
			}
		}
		for _, p := range s.Plans {
			if !p.State.over() {
				t.Fatalf("plan %s is %s in the end: order %v, gone %v, waits %v", p.ID, p.State, p.Order, p.Gone, Next(s, calm(s)).Waits)
			}
		}
	})
}
