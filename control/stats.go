package control

import "math"

// mean is a running mean that starts as a plain one, and stays one with a least weight of 0.
type mean struct{ v, n float64 }

func (m *mean) add(x, least float64) {
	m.n++
	m.v += (x - m.v) * max(least, 1/m.n)
}

// trend is a running line through the logarithms of pairs: how y follows x, a rough word on it. Pairs of old
// fade. It is taken for flat until it has seen enough to tell.
type trend struct{ n, x, y, xx, xy float64 } // pairs, means, and the mean squares and products about them

const (
	trendLearn = 0.005 // least weight of the newest pair
	trendFirm  = 20.0  // pairs that a flat line weighs as much as
)

// add takes a pair; one that is not above 0 tells nothing.
func (t *trend) add(x, y float64) {
	if !(x > 0 && y > 0) {
		return
	}
	x, y = math.Log(x), math.Log(y)
	t.n++
	w := max(trendLearn, 1/t.n)
	dx, dy := x-t.x, y-t.y
	t.x += w * dx
	t.y += w * dy
	t.xx += w * ((1-w)*dx*dx - t.xx)
	t.xy += w * ((1-w)*dx*dy - t.xy)
}

// over is by what x lets expect y to be over its mean, where logarithms lie about evenly; 1 where nothing is known.
func (t *trend) over(x float64) float64 {
	if !(x > 0) || t.n < 2 || t.xx <= 0 {
		return 1
	}
	slope := min(1, max(0, t.xy/t.xx)) * t.n / (t.n + trendFirm)
	return math.Exp(slope*(math.Log(x)-t.x) - slope*slope*t.xx/2)
}
