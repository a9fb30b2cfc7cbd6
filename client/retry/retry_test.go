package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "larchscale/internal/scenario/fixed"
)

const ms = time.Millisecond

func full() *Budgets { return NewBudgets(1, 100) }

// What may follow each end of a try, and why nothing does.
func TestNext(t *testing.T) {
	for name, x := range map[string]struct {
		try   Try
		again bool
		where Where
		least time.Duration
		why   Why
	}{
		"served":                          {Try{Outcome: Served}, false, 0, 0, Done},
		"refused, others":                 {Try{Outcome: Refused, Away: time.Second, Others: true}, true, Other, 0, 0},
		"refused, alone":                  {Try{Outcome: Refused, Away: time.Second}, true, Same, time.Second, 0},
		"refused for longer than is left": {Try{Outcome: Refused, Away: 5 * time.Second}, false, 0, 0, NoTime},
		"final":                           {Try{Outcome: Refused, Away: time.Second, Final: true, Others: true}, true, Same, time.Second, 0},
		"final for too long":              {Try{Outcome: Refused, Away: 5 * time.Second, Final: true, Others: true}, false, 0, 0, Wanted},
		"unsent":                          {Try{Outcome: Unsent, Others: true}, true, Other, 0, 0},
		"a read lost":                     {Try{Outcome: Lost, Others: true}, true, Other, 0, 0},
		"a read failed, alone":            {Try{Outcome: Failed}, true, Same, 0, 0},
		"late":                            {Try{Outcome: Late, Others: true}, false, 0, 0, NoTime},
		"a write refused":                 {Try{Outcome: Refused, Keyed: true, Others: true}, true, Other, 0, 0},
		"a write unsent":                  {Try{Outcome: Unsent, Keyed: true, Others: true}, true, Other, 0, 0},
		"a write lost":                    {Try{Outcome: Lost, Keyed: true, Others: true, Window: time.Minute}, true, Same, 0, 0},
		"a write lost, then refused":      {Try{Outcome: Refused, Keyed: true, Unsure: true, Others: true, Window: time.Minute}, true, Same, 0, 0},
		"a write lost, window over":       {Try{Outcome: Lost, Keyed: true, Others: true}, false, 0, 0, Unknown},
		"a write lost at the last try":    {Try{Number: 8, Outcome: Lost, Keyed: true, Others: true, Window: time.Minute}, false, 0, 0, Unknown},
		"the last try":                    {Try{Number: 8, Outcome: Refused, Others: true}, false, 0, 0, Exhausted},
		"no time for an answer":           {Try{Outcome: Unsent, Others: true, Usual: 3990 * ms}, false, 0, 0, NoTime},
	} {
		if x.try.Number == 0 {
			x.try.Number = 1
		}
		x.try.Left = 4 * time.Second
		got := Next(Defaults(), x.try, "a", full(), 0, rand.New(rand.NewPCG(1, 1)))
		if got.Again != x.again || got.Again && (got.Where != x.where || got.After < x.least || got.After > x.least+Defaults().Most) || !got.Again && got.Why != x.why {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Whatever happens, a write that may have run is tried only at its box, no plan ends after the caller's time, and
// further tries stay under a tenth of the first ones and the floor, in total and for each class.
func TestTriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, floor = 0.1, 1.0
		b := NewBudgets(ratio, floor)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Duration(0)
		first, again := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms
			class := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class")
			b.First(class, now)
			first[class]++
			for n := 1; ; n++ {
				try := Try{Number: n, Outcome: Outcome(r.IntN(6)), Keyed: r.IntN(2) == 0, Unsure: r.IntN(4) == 0, Away: time.Duration(r.IntN(3000)) * ms,
					Final: r.IntN(4) == 0, Others: r.IntN(2) == 0, Window: time.Duration(r.IntN(2)) * time.Minute, Left: time.Duration(r.IntN(8000)) * ms}
				p := Next(Defaults(), try, class, b, now, r)
				if !p.Again {
					break
				}
				again[class]++
				if p.After >= try.Left || try.Keyed && p.Where != Same && (try.Unsure || !try.Outcome.NeverRan()) ||
					p.Where == Same && p.After < try.Away || try.Final && try.Outcome == Refused && p.Where != Same {
					t.Fatalf("%+v: %+v", try, p)
				}
			}
		}
		for _, c := range []string{"a", "b"} {
			if most := ratio*float64(first[c]) + floor/2*now.Seconds() + 5; float64(again[c]) > most {
				t.Fatalf("%s: %d further tries of %d", c, again[c], first[c])
			}
		}
		if most := ratio*float64(first["a"]+first["b"]) + floor*now.Seconds() + 10; float64(again["a"]+again["b"]) > most {
			t.Fatalf("%v further tries of %v in %v", again, first, now)
		}
	})
}

// A calm hour saves up no more than the bound, and classes beyond the bound share one budget.
func TestBudgetBounds(t *testing.T) {
	b := NewBudgets(0.1, 1)
	for i := range 100_000 {
		b.First("a", time.Duration(i)*ms*36)
	}
	n := 0
	for b.Take("a", time.Hour) {
		n++
	}
	if n > 20 {
		t.Errorf("%d at once", n)
	}
	for i := range 1000 {
		b.First(string(rune('a'+i)), time.Hour)
	}
	if len(b.classes) > maxClasses+1 {
		t.Errorf("%d classes", len(b.classes))
	}
}
