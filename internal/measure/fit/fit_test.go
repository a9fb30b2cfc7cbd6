package fit

import (
	"math"
	"testing"
)

func TestBest(t *testing.T) {
	sizes := []float64{50, 100, 150, 200, 295}
	values := func(f func(float64) float64) (out []float64) {
		for _, n := range sizes {
			out = append(out, f(n))
		}
		return out
	}
	for _, c := range []struct {
		name   string
		f      func(float64) float64
		kind   string
		usable bool
	}{
		{"line", func(n float64) float64 { return 10 + 3*n }, "linear", true},
		{"power", func(n float64) float64 { return 2 * math.Pow(n, 1.5) }, "power", true},
		{"step", func(n float64) float64 { return map[bool]float64{true: 100, false: 1}[n > 120] }, "", false},
	} {
		law, ok := Best(sizes, values(c.f))
		if !ok || law.Usable() != c.usable || c.kind != "" && law.Kind != c.kind {
			t.Errorf("%s: %v, %t", c.name, law, ok)
		}
		if c.usable && math.Abs(law.At(740)/c.f(740)-1) > 1e-6 {
			t.Errorf("%s: %g at 740, not %g", c.name, law.At(740), c.f(740))
		}
	}
	if _, ok := Best(sizes[:2], []float64{1, 2}); ok {
		t.Error("a law of two sizes")
	}
}
