package forecast

import "math"

// Corrector learns from how forecasts came out: the running bias of hit rates, the running scale of added calls, and
// how far both spread, all bounded. Its zero value has learned nothing.
type Corrector struct {
	N                 int
	Bias, HitVar      float64 // of hit rates, found - foretold
	LogScale, CallVar float64 // of added calls, ln(found / foretold)
}

const (
	learn    = 0.1
	maxBias  = 0.03
	maxScale = 0.2 // in ln
)

func (c *Corrector) bias() float64  { return c.Bias }
func (c *Corrector) scale() float64 { return math.Exp(c.LogScale) }

// The spread of a forecast that nothing is known of yet is 1% of hit rate and 5% of calls; it never counts as less
// than half of that.
func (c *Corrector) hitSpread() float64   { return spread(c.HitVar, c.N, 0.01) }
func (c *Corrector) addedSpread() float64 { return spread(c.CallVar, c.N, 0.05) }

func spread(variance float64, n int, first float64) float64 {
	w := 1 / float64(1+n)
	return max(first/2, math.Sqrt(w*sq(first)+(1-w)*variance))
}

// Hit takes a hit rate as it was foretold (corrected) and found.
func (c *Corrector) Hit(foretold, found float64) {
	if e := found - foretold; e == e {
		c.N++
		c.HitVar += learn * (min(sq(e), 0.01) - c.HitVar)
		c.Bias = min(maxBias, max(-maxBias, c.Bias+learn*e))
	}
}

// Added takes added calls a second likewise. Where next to none were foretold or found the ratio says nothing.
func (c *Corrector) Added(foretold, found float64) {
	if foretold < 1 || found < 1 {
		return
	}
	e := min(0.5, max(-0.5, math.Log(found/foretold)))
	c.CallVar += learn * (sq(e) - c.CallVar)
	c.LogScale = min(maxScale, max(-maxScale, c.LogScale+learn*e))
}
