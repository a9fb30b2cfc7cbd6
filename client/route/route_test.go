package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "larchscale/internal/scenario/fixed"
)

const ms = time.Millisecond

func members(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{fmt.Sprintf("n%02d", i), fmt.Sprintf("127.0.0.1:%d", 7000+i)})
	}
	return list
}

func table(t testing.TB, n int) *Table {
	t.Helper()
	p := Defaults()
	p.Subset = 0
	x := New(p, "me")
	if !x.Set(members(n), 0) {
		t.Fatal("members not taken")
	}
	return x
}

// A thousand clients spread evenly over twenty boxes, and few of their boxes change when one goes.
func TestSubsetsAreEvenAndStable(t *testing.T) {
	const clients, boxes = 1000, 20
	load := map[string]int{}
	moved := 0
	for i := range clients {
		x := New(Defaults(), fmt.Sprint("client", i))
		x.Set(members(boxes), 0)
		before := x.Subset()
		for _, n := range before {
			load[n]++
		}
		x.Set(members(boxes-1), 0)
		for _, n := range x.Subset() {
			if !slices.Contains(before, n) {
				moved++
			}
		}
	}
	for n, c := range load {
		if mean := clients * Defaults().Subset / boxes; c > mean*5/4 || c < mean*3/4 {
			t.Errorf("%s is used by %d, mean %d", n, c, mean)
		}
	}
	if moved > load["n19"] {
		t.Errorf("%d boxes changed where %d had to", moved, load["n19"])
	}
}

// A list that is empty or drops most members at once is not believed; what is known of members stays.
func TestListsThatCannotBe(t *testing.T) {
	x := table(t, 10)
	for name, c := range map[string]struct {
		list []Member
		want bool
	}{"empty": {nil, false}, "most gone": {members(4), false}, "half": {members(5), true}, "no address": {[]Member{{Name: "n00"}}, false}} {
		y := table(t, 10)
		if got := y.Set(c.list, 0); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	x.Ended("n01", End{Good: true, Level: 0.5}, ms)
	x.Set(members(9), 2*ms)
	if b := x.boxes["n01"]; !b.heard || b.level != 0.5 {
		t.Error("what was known is lost")
	}
}

// pick tries until the box is named or none is left.
func pick(x *Table, a Ask, now time.Duration) (string, time.Duration) {
	m, ok, wait := x.Pick(a, now, rand.New(rand.NewPCG(1, 1)))
	if !ok {
		return "", wait
	}
	return m.Name, 0
}

// What a box said of itself keeps tries off it: come-back times, levels, drains; levels age.
func TestWhatBoxesSay(t *testing.T) {
	x := table(t, 2)
	x.Ended("n00", End{Good: true, Refused: true, Away: time.Second, Level: -1}, 0)
	if n, _ := pick(x, Ask{Rank: 1}, ms); n != "n01" {
		t.Errorf("n00 is away: %q", n)
	}
	x.Ended("n01", End{Good: true, Took: ms, Level: 0.6}, ms)
	if n, wait := pick(x, Ask{Rank: 0.5}, 2*ms); n != "" || wait != 998*ms {
		t.Errorf("under the level: %q, %v", n, wait)
	}
	if n, _ := pick(x, Ask{Rank: 0.7}, 2*ms); n != "n01" {
		t.Errorf("over the level: %q", n)
	}
	if n, _ := pick(x, Ask{Rank: 0.5, Not: []string{"n00"}}, 3*time.Second); n != "n01" {
		t.Errorf("the level is old: %q", n)
	}
	x.Draining("n01", 3*time.Second)
	for range 8 {
		if n, _ := pick(x, Ask{Rank: 1}, 3*time.Second); n == "n01" {
			t.Error("a box that drains is picked")
		}
	}
	if n, _ := pick(x, Ask{Rank: 1, Only: "n01"}, 3*time.Second); n != "n01" {
		t.Errorf("a write whose box drains has no other: %q", n)
	}
	x = table(t, 2)
	x.Draining("n00", 3*time.Second)
	x.Draining("n01", 3*time.Second)
	if n, wait := pick(x, Ask{Rank: 1}, 4*time.Second); n != "" || wait != 4*time.Second {
		t.Errorf("all drain: %q, %v", n, wait)
	}
	if n, _ := pick(x, Ask{Rank: 1}, 8*time.Second); n == "" || x.part(x.boxes[n], 8*time.Second) > 0.2 {
		t.Errorf("a successor is not asked slowly: %q", n)
	}
}

// A box that fails is ejected, longer each time, probed by one try, and comes back slowly; the share ejected is
// bounded and the last ones are tried all the same.
func TestEjection(t *testing.T) {
	x := table(t, 6)
	now := time.Duration(0)
	fail := func(name string) {
		for range Defaults().Failures {
			x.Ended(name, End{Level: -1}, now)
		}
	}
	for _, n := range []string{"n00", "n01", "n02", "n03", "n04", "n05"} {
		fail(n)
	}
	if out := x.Ejected(now); len(out) != 2 {
		t.Errorf("%v are out", out)
	}
	now = 6 * time.Second
	if out := x.Ejected(now); len(out) != 0 {
		t.Errorf("%v are still out", out)
	}
	if n, _ := pick(x, Ask{Rank: 1, Only: "n00"}, now); n != "n00" {
		t.Errorf("no probe: %q", n)
	}
	if n, _ := pick(x, Ask{Rank: 1, Only: "n00"}, now); n != "" {
		t.Error("a second try while the first finds out")
	}
	x.Ended("n00", End{Level: -1}, now)
	if got := x.boxes["n00"].ejected - now; got != 2*Defaults().EjectFor {
		t.Errorf("ejected again for %v", got)
	}
	now += 11 * time.Second
	if n, _ := pick(x, Ask{Rank: 1, Only: "n00"}, now); n != "n00" {
		t.Errorf("no probe: %q", n)
	}
	x.Ended("n00", End{Good: true, Took: ms, Level: -1}, now)
	if p := x.part(x.boxes["n00"], now); p > 0.2 {
		t.Errorf("it is back with %v of its share", p)
	}
	if p := x.part(x.boxes["n00"], now+Defaults().SlowStart); p != 1 {
		t.Errorf("after the slow start it has %v", p)
	}
}

// Whatever happens, no more than the cap is in flight, counts come back to nothing, at most the bound is ejected,
// and somebody may be tried unless all said no.
func TestTableHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := Defaults()
		p.Subset = rapid.IntRange(0, 6).Draw(t, "subset")
		x := New(p, "me")
		x.Set(members(8), 0)
		now := time.Duration(0)
		var open []string
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					if m, ok, _ := x.Pick(Ask{Rank: r.Float64()}, now, r); ok {
						open = append(open, m.Name)
						if b := x.boxes[m.Name]; b.flight > p.CapMost || !b.inSubset {
							t.Fatalf("%s has %d in flight", m.Name, b.flight)
						}
					}
				}
			},
			"end": func(t *rapid.T) {
				for range min(len(open), rapid.IntRange(1, 20).Draw(t, "n")) {
					x.Ended(open[0], End{Took: time.Duration(r.IntN(200)) * ms, Good: r.IntN(3) > 0, Refused: r.IntN(4) == 0,
						Away: time.Duration(r.IntN(500)) * ms, Level: r.Float64() - 0.5}, now)
					open = open[1:]
				}
			},
			"pass":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * ms },
			"list":  func(t *rapid.T) { x.Set(members(rapid.IntRange(0, 12).Draw(t, "members")), now) },
			"drain": func(t *rapid.T) { x.Draining(fmt.Sprintf("n%02d", r.IntN(8)), now) },
			"": func(t *rapid.T) {
				if out, n := len(x.Ejected(now)), len(x.order); n > 0 && out > max(1, n/3) && out >= n {
					t.Fatalf("%d of %d are out", out, n)
				}
				flight := 0
				for _, b := range x.boxes {
					flight += b.flight
				}
				if flight > len(open) {
					t.Fatalf("%d in flight, %d open", flight, len(open))
				}
			},
		})
		for _, n := range open {
			x.Ended(n, End{Good: true, Took: ms, Level: -1}, now)
		}
		for _, b := range x.boxes {
			if b.flight != 0 {
				t.Fatalf("%s has %d in flight after all", b.Name, b.flight)
			}
		}
		now += time.Hour
		if _, ok, _ := x.Pick(Ask{Rank: 1}, now, r); !ok {
			t.Fatal("nobody may be tried after an hour")
		}
	})
}

// A key's box is known for its window, and a full memory takes no further key rather than forget one.
func TestKeys(t *testing.T) {
	k := NewKeys(3)
	for i := range 4 {
		if ok := k.Put(fmt.Sprint(i), "n1", time.Duration(10+i), 0); ok != (i < 3) {
			t.Errorf("%d: %v", i, ok)
		}
	}
	if b, left, ok := k.Get("1", 5); !ok || b != "n1" || left != 6 {
		t.Errorf("%q %v %v", b, left, ok)
	}
	if _, _, ok := k.Get("0", 10); ok {
		t.Error("its window is over")
	}
	if !k.Put("5", "n2", 30, 11) || !k.Put("2", "n3", 30, 11) {
		t.Error("no room after the window")
	}
	k.Drop("5")
	if _, _, ok := k.Get("5", 12); ok {
		t.Error("dropped, and still there")
	}
}
