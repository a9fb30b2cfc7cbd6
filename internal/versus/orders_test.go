package versus

import (
	"math/rand/v2"
	"strings"
	"testing"

	"larchscale/internal/fleet/maintenance"
)

// The order of takeout against plainer ones: zones in turn keep more of the worth, and the games end as soon as that is
// shown. None passes the bound or the floor.
func TestTheOrderOfTakeoutBesidePlainerOnes(t *testing.T) {
	t.Parallel()
	stop, err := Sequential(Rule{Full: 0.02, Alpha: 0.05, Least: 0.2, Seeds: 4})
	if err != nil {
		t.Fatal(err)
	}
	table, err := Set(Orders(), 1, 100, stop, Contender[Decider]{"takeout", maintenance.Next}, Contender[Decider]{"by name", ByName},
		Contender[Decider]{"zones by name", ZonesByName})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(table)
	if !strings.Contains(table.Why, "the first is better") {
		t.Errorf("zones in turn are not shown to be better: %s", table.Why)
	}
	for i, n := range table.Names {
		for _, r := range table.Rows {
			if c := r.Outcomes[i].Counts; c["away"] > bound || c["under floor s"] > 0 || i == 0 && c["away of a zone"] == bound {
				t.Errorf("%s, seed %d: %v", n, r.Seed, c)
			}
		}
	}
}

// Games of even sides are seldom decided for one, those of uneven ones soon and for the better, and those of sides that
// differ in nothing end as even.
func TestASequentialStopper(t *testing.T) {
	t.Parallel()
	r := rand.New(rand.NewPCG(1, 1))
	play := func(mean, spread float64) (why string) {
		s, err := Sequential(Rule{Full: 0.02, Alpha: 0.05, Least: 0.2, Seeds: 4})
		if err != nil {
			t.Fatal(err)
		}
		for range 400 {
			if decided, why := s.Add(mean + spread*r.NormFloat64()); decided {
				return why
			}
		}
		return "it goes on"
	}
	wrong, right, even := 0, 0, 0
	const sets = 200
	for i := range sets {
		if why := play(0, 0.02); strings.Contains(why, "is better") {
			wrong++
		}
		if i%2 == 0 && strings.Contains(play(0.01, 0.01), "the first is better") || i%2 == 1 && strings.Contains(play(-0.01, 0.01), "the second is better") {
			right++
		}
		if strings.Contains(play(0, 0), "none") {
			even++
		}
	}
	if wrong > sets/10 || right < sets*9/10 || even != sets {
		t.Errorf("of %d sets each: even sides, one called better %d; uneven sides, the better found %d; no difference, found even %d", sets, wrong, right, even)
	}
}
