package place

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"larchscale/internal/fleet/lease"
)

var seeds = flag.Uint64("seeds", 10, "drawn fleets")

// members are n boxes a1, b1, a2, … in so many zones.
func members(n, zones int) (out []Member) {
	for i := range n {
		name := fmt.Sprintf("%c%d", 'a'+i%zones, i/zones+1)
		out = append(out, Member{name, name[:1], 1})
	}
	return out
}

// drawn is a fleet of some seed: up to 300 boxes in up to 5 zones, of which some are small, with like weights or not.
func drawn(rnd *rand.Rand) (out []Member) {
	n := 1 + rnd.IntN([]int{5, 12, 40, MaxBoxes - 1}[rnd.IntN(4)])
	zones, like := 1+rnd.IntN(5), rnd.IntN(2) == 0
	for i := range n {
		m := Member{fmt.Sprint("b", i), fmt.Sprint("z", rnd.IntN(1+rnd.IntN(zones))), 1}
		if !like {
			m.Weight = math.Exp(2 * rnd.NormFloat64())
		}
		out = append(out, m)
	}
	return out
}

func apply(t *testing.T, s *State, e *Entry) {
	t.Helper()
	if err := s.Apply(s.Index+1, e); err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
}

// lead applies what follows until nothing does, and gives how many homes were new.
func lead(t *testing.T, s *State, boxes []Member, limit int) (moved int) {
	t.Helper()
	for range 10 * Slices {
		e, err := Next(s, boxes, limit, func(int) bool { return true })
		if err != nil {
			t.Fatal(err)
		}
		if e == nil {
			return moved
		}
		for _, c := range e.Changes {
			a, b := s.Pair(c.Slice)
			for _, n := range [2]string{c.First, c.Second} {
				if n != "" && n != a && n != b {
					moved++
				}
			}
		}
		apply(t, s, e)
	}
	t.Fatal("no end of entries")
	return 0
}

// count gives how many homes each box has, and of how many slices it is first.
func count(s *State) (homes, firsts map[string]int) {
	homes, firsts = map[string]int{}, map[string]int{}
	for i := range Slices {
		a, b := s.Pair(i)
		homes[a]++
		homes[b]++
		firsts[a]++
	}
	return
}

// spread checks that each box has its share, and each slice two homes in two zones.
func spread(t *testing.T, s *State, boxes []Member) {
	t.Helper()
	at, zoned := weighted(boxes)
	homes, firsts := count(s)
	zone, sum := map[string]string{}, 0.0
	for _, b := range at {
		zone[b.Name], sum = b.Zone, sum+b.Weight
	}
	for _, g := range groups(at, zoned) {
		for _, b := range at[g.from:g.to] {
			if want := g.share * b.Weight / g.weight; math.Abs(float64(homes[b.Name])-want) >= 2 {
				t.Errorf("%+v has %d homes, its share is %.1f", b, homes[b.Name], want)
			}
			if want := Slices * b.Weight / sum; math.Abs(float64(firsts[b.Name])-want) >= 2 {
				t.Errorf("%+v is first %d times, its share is %.1f", b, firsts[b.Name], want)
			}
		}
	}
	for i := range Slices {
		if a, b := s.Pair(i); a == "" || (b == "") != (len(at) == 1) || zoned && zone[a] == zone[b] {
			t.Errorf("slice %d at %q and %q", i, a, b)
		}
	}
}

// A box that comes or goes moves little more than what it gets or had, in fleets of all kinds; the rest stays, and all
// have their shares before and after.
func TestFewSlicesMove(t *testing.T) {
	all, least := 0, 0
	for seed := range *seeds {
		rnd := rand.New(rand.NewPCG(seed, 1))
		boxes, comes := drawn(rnd), Member{"comes", fmt.Sprint("z", rnd.IntN(6)), 1}
		if seed == 0 { // once the other zone is gone, just what the heavy box has not is what it must have
			boxes, comes.Zone = members(9, 1), "b"
			boxes[0].Weight = 12
		}
		s := &State{}
		lead(t, s, boxes, Slices)
		spread(t, s, boxes)
		with := append(slices.Clone(boxes), comes)
		for _, k := range []struct {
			what  string
			boxes []Member
		}{{"comes", with}, {"goes", boxes}} {
			before, _ := count(s)
			moved := lead(t, s, k.boxes, 100+rnd.IntN(Slices))
			spread(t, s, k.boxes)
			after, _ := count(s)
			must := max(before["comes"], after["comes"]) - max(0, 1-len(boxes))
			if len(boxes) == 1 && k.what == "goes" {
				must = 0 // nobody takes its homes
			}
			if all, least = all+moved, least+must; float64(moved) > 1.1*float64(must)+5 { // a zone's share may be rounded another way
				t.Errorf("seed %d: %d boxes, one %s: %d moved, %d had to", seed, len(boxes), k.what, moved, must)
			}
		}
	}
	t.Logf("%d moved, %d had to", all, least)
}

// Were there shares that the zones do not let be, each slice would have its homes all the same.
func TestSharesThatNobodyLacks(t *testing.T) {
	s, boxes := &State{}, members(5, 2)
	l := newLevel(s, boxes)
	clear(l.want)
	l.homes()
	for i, p := range l.pairs {
		if p[0] < 0 || p[1] < 0 || l.boxes[p[0]].Zone == l.boxes[p[1]].Zone {
			t.Fatalf("slice %d at %v", i, p)
		}
	}
}

// Boxes die, come, lose their weight and take their time to copy while slices move: a slice loses its records only with
// the last box that has them, what is first has them, and few are unsettled by moves alone.
func TestABoxDiesInTheMiddleOfMoves(t *testing.T) {
	for seed := range *seeds / 3 {
		rnd := rand.New(rand.NewPCG(seed, 2))
		boxes, s := members(4+rnd.IntN(6), 1+rnd.IntN(3)), &State{}
		lead(t, s, boxes, 16)
		has := [Slices]map[string]bool{} // who has all the records
		for i := range has {
			a, b := s.Pair(i)
			has[i] = map[string]bool{a: true, b: true}
		}
		settled := func(i int) bool { _, b := s.Pair(i); return has[i][b] }
		calm := true
		for round := range 150 {
			e, err := Next(s, boxes, 16, settled)
			if err != nil {
				t.Fatal(err)
			}
			if e != nil {
				apply(t, s, e)
				at, zone := map[string]string{}, map[string]bool{}
				for _, m := range boxes {
					if at[m.Name] = m.Zone; m.Weight > 0 {
						zone[m.Zone] = true
					}
				}
				for _, c := range e.Changes {
					if len(zone) > 1 && at[c.First] == at[c.Second] {
						t.Fatalf("seed %d: %+v are in one zone", seed, c)
					}
				}
			}
			waits := 0
			for i := range has {
				a, b := s.Pair(i)
				lives := func(n string) bool { return slices.ContainsFunc(boxes, func(m Member) bool { return m.Name == n }) }
				if lives(a) && !has[i][a] && has[i][b] {
					t.Fatalf("seed %d: slice %d is at %s, which has not what %s has", seed, i, a, b)
				}
				has[i] = map[string]bool{a: has[i][a], b: has[i][b]}
				if !has[i][a] && !has[i][b] { // all who had them are gone: it begins anew with who is left
					has[i][a], has[i][b] = lives(a), !lives(a)
				}
				if lives(a) && lives(b) && !has[i][b] {
					waits++
					has[i][b] = rnd.IntN(4) == 0
				}
			}
			if calm && waits > 16 {
				t.Fatalf("seed %d: %d slices are unsettled", seed, waits)
			}
			switch k := rnd.IntN(15); {
			case k > 2:
			case k == 0 && len(boxes) > 3:
				i := rnd.IntN(len(boxes))
				for _, h := range has {
					delete(h, boxes[i].Name)
				}
				boxes, calm = slices.Delete(boxes, i, i+1), false
			case k == 1:
				boxes = append(boxes, Member{fmt.Sprint("n", round), "a", 1})
			default:
				boxes[1+rnd.IntN(len(boxes)-1)].Weight = float64(rnd.IntN(3))
			}
			boxes[0].Weight = 1
		}
		lead(t, s, boxes, Slices)
		spread(t, s, boxes)
	}
}

func TestApportion(t *testing.T) {
	if got := apportion([]float64{6.5, 6.5, 6.75, 6.25}, []int{6, 8, 6, 7}, 26); !slices.Equal(got, []int{6, 7, 6, 7}) {
		t.Error("who has more does not keep it", got)
	}
}

func TestApply(t *testing.T) {
	s := &State{}
	lead(t, s, members(3, 3), Slices) // a1, b1, c1
	a, b := s.Pair(7)
	c := strings.NewReplacer(a, "", b, "").Replace("a1b1c1")
	move := func(c ...Change) Entry { return Entry{Kind: Move, Epoch: s.Epoch, Changes: c} }
	other := move(Change{7, c, ""})
	other.Missing = []string{a, b}
	half := move(Change{7, c, ""})
	half.Missing = []string{a}
	for _, k := range []struct {
		name string
		e    Entry
		err  error
	}{
		{"turned", move(Change{7, b, a}), nil},
		{"one home", move(Change{7, b, ""}), nil},
		{"both lost", other, nil},
		{"one lost", half, ErrHome},
		{"both from under it", move(Change{6, a, b}, Change{7, c, ""}), ErrHome},
		{"another epoch", Entry{Kind: Move, Epoch: s.Epoch - 1, Changes: []Change{{7, b, a}}}, ErrEpoch},
		{"nothing", move(), ErrInvalid},
		{"unknown first", move(Change{7, "d1", a}), ErrUnknown},
		{"unknown second", move(Change{7, a, "d1"}), ErrUnknown},
		{"no first", move(Change{7, "", a}), ErrUnknown},
		{"one box twice", move(Change{7, a, a}), ErrInvalid},
		{"no slice", move(Change{Slices, a, b}), ErrInvalid},
		{"out of order", move(Change{7, b, a}, Change{7, a, b}), ErrInvalid},
		{"long reason", Entry{Kind: Join, Why: strings.Repeat("x", 257)}, ErrInvalid},
		{"no name", Entry{Kind: Join, Boxes: []string{"d1", ""}}, ErrInvalid},
		{"too many", Entry{Kind: Join, Boxes: strings.Fields(strings.Repeat("x y ", 1) + fmt.Sprint(rand.New(rand.NewPCG(1, 1)).Perm(MaxBoxes)))}, ErrInvalid},
		{"leaves its home", Entry{Kind: Leave, Boxes: []string{a}}, ErrHome},
		{"no kind", Entry{}, ErrInvalid},
	} {
		was := s.Clone()
		n := s.Clone()
		if err := n.Apply(999, &k.e); !errors.Is(err, k.err) {
			t.Errorf("%s: %v, want %v", k.name, err, k.err)
		}
		if was.Index = 999; k.err != nil && !cmp.Equal(was, n) || k.err == nil && n.Epoch != 999 {
			t.Errorf("%s: %+v", k.name, cmp.Diff(was, n))
		}
		if !cmp.Equal(was.Homes, s.Homes) {
			t.Errorf("%s: a clone shares its homes", k.name)
		}
	}
	one, two := move(Change{7, b, a}), move(Change{8, "c1", "b1"}, Change{9, "c1", "b1"})
	two.Missing = []string{"a1", "b1", "c1"}
	apply(t, s, &one)
	if err := s.Apply(s.Index+1, &two); !errors.Is(err, ErrEpoch) {
		t.Errorf("the second of two moves made at once: %v", err)
	}
}

func TestStateIsReadBack(t *testing.T) {
	s := &State{}
	lead(t, s, members(300, 3), Slices)
	data, err := cbor.Marshal(s)
	if err != nil || len(data) > 6000 {
		t.Fatal(len(data), err)
	}
	var got State
	if err := cbor.Unmarshal(data, &got); err != nil || !cmp.Equal(*s, got) {
		t.Fatal(err, cmp.Diff(*s, got))
	}
	for name, damage := range map[string]func(*State){
		"a home beyond the boxes": func(s *State) { s.Boxes = s.Boxes[:200] },
		"boxes out of order":      func(s *State) { s.Boxes[0] = "zz" },
		"a name twice":            func(s *State) { s.Boxes[1] = s.Boxes[0] },
		"a second alone":          func(s *State) { s.Homes[3] = Pair{0, 1} },
		"one box twice":           func(s *State) { s.Homes[3] = Pair{4, 4} },
		"too many boxes":          func(s *State) { s.Boxes = append(s.Boxes, "zz") },
	} {
		bad := s.Clone()
		damage(&bad)
		data, err := cbor.Marshal(&bad)
		if err != nil {
			t.Fatal(err)
		}
		if err := cbor.Unmarshal(data, &got); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var short struct{ Homes []byte }
	short.Homes = make([]byte, 4*Slices-1)
	data, _ = cbor.Marshal(short)
	if err := cbor.Unmarshal(data, &got); err == nil {
		t.Error("homes that are short are taken")
	}
}

func TestWeightsThatCannotBe(t *testing.T) {
	for name, m := range map[string][]Member{
		"nobody": nil, "not a number": {{"a", "z", math.NaN()}}, "negative": {{"a", "z", 1}, {"b", "z", -1}}, "all zero": {{"a", "z", 0}, {"b", "z", 0}},
		"over the bound": {{"a", "z", 2 * MaxWeight}}, "infinite": {{"a", "z", math.Inf(1)}}, "no name": {{"", "z", 1}}, "twice": {{"a", "z", 1}, {"a", "y", 1}},
		"too many": make([]Member, MaxBoxes+1),
	} {
		if _, err := Next(&State{}, m, 1, nil); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestView(t *testing.T) {
	l, s := &lease.State{}, &State{}
	lead(t, s, members(3, 3), Slices)
	a, b := s.Pair(7)
	for i, e := range []lease.Entry{{Kind: lease.Live, Box: a, Incarnation: 1}, {Kind: lease.Live, Box: b, Incarnation: 1}, {Kind: lease.Lost, Box: a, Life: 101}} {
		if err := l.Apply(uint64(101+i), &e); err != nil {
			t.Fatal(err)
		}
		v := NewView(l, s)
		first, second := v.Homes(7)
		if want := [][2]string{{a, ""}, {a, b}, {b, ""}}[i]; first != want[0] || second != want[1] || v.Lives[first].Life == 0 || v.Epoch != uint64(101+i) {
			t.Errorf("after %+v: %q and %q, %+v", e, first, second, v.Lives)
		}
	}
	if v := NewView(l, s); v.Compare(102) != Older || v.Compare(103) != Same || v.Compare(104) != Ahead {
		t.Error("epochs")
	}
	if s.Epoch = 200; NewView(l, s).Epoch != 200 {
		t.Error("the placement's epoch is later")
	}
	if Slice(nil) != 957 { // xxhash of nothing is ef46db3751d8e999
		t.Error("the slices have changed: no fleet finds its records again", Slice(nil))
	}
}
