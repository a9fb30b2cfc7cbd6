package capacity

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func points(pairs ...float64) []Point {
	var out []Point
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, Point{Size: pairs[i], Value: pairs[i+1], Runs: 1})
	}
	return out
}

func TestNewFitFindsTheModel(t *testing.T) {
	for name, c := range map[string]struct {
		points []Point
		model  Model
		at     float64 // 740
	}{
		"linear": {points(50, 105, 100, 205, 200, 405, 300, 605), Linear, 1485},
		"square": {points(10, 100, 20, 400, 40, 1600, 80, 6400), Power, 740 * 740},
		"flat":   {points(10, 7, 100, 7, 1000, 7), Linear, 7},
	} {
		t.Run(name, func(t *testing.T) {
			fit, err := NewFit(c.points)
			if err != nil {
				t.Fatal(err)
			}
			if fit.Model != c.model || math.Abs(fit.At(740)-c.at) > 1e-6*c.at {
				t.Errorf("%s: %g at 740, want %s: %g", fit.Model, fit.At(740), c.model, c.at)
			}
		})
	}
}

func TestNewFitRefuses(t *testing.T) {
	for name, p := range map[string][]Point{
		"none":               nil,
		"two sizes":          points(10, 1, 20, 2),
		"two sizes repeated": points(10, 1, 10, 1.1, 20, 2, 20, 2.1),
		"a jump":             points(10, 1, 20, 2, 40, 40, 80, 8),
		"one size off 20%":   points(10, 10, 20, 20, 40, 48, 80, 80),
		"zero":               points(10, 0, 20, 5, 40, 1),
	} {
		if fit, err := NewFit(p); !errors.Is(err, ErrNoFit) {
			t.Errorf("%s: %+v, %v", name, fit, err)
		}
	}
}

func TestFallingFitEndsWithTheMeasuredSizes(t *testing.T) {
	fit, err := NewFit(points(50, 100, 100, 90, 200, 70, 300, 50))
	if err != nil {
		t.Fatal(err)
	}
	if !fit.holdsAt(300) || fit.holdsAt(301) {
		t.Errorf("%s holds at 300: %v, at 301: %v", fit, fit.holdsAt(300), fit.holdsAt(301))
	}
}

// A fit that is used has predicted each size within the bound without having seen it.
func TestFitPredictsLeftOutSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var drawn []Point
		for _, size := range []float64{10, 30, 100, 300} {
			noise := rapid.Float64Range(0.8, 1.2).Draw(t, "noise")
			drawn = append(drawn, Point{Size: size, Value: (5 + 2*size) * noise})
		}
		fit, err := NewFit(drawn)
		if err != nil {
			return
		}
		for _, left := range drawn {
			var rest []Point
			for _, p := range drawn {
				if p.Size != left.Size {
					rest = append(rest, p)
				}
			}
			without, ok := fitModel(fit.Model, rest)
			if !ok || relativeError(without.At(left.Size), left.Value) > MaxLeaveOneOut {
				t.Fatalf("%s without %g: %g, measured %g", fit.Model, left.Size, without.At(left.Size), left.Value)
			}
		}
	})
}
