package control

import "math"

// mean is a running mean. It starts as a plain mean, and stays one where the least weight is 0.
type mean struct{ value, count float64 }

// add takes a sample into the mean with a weight of 1/count, but no less than minWeight.
func (m *mean) add(sample, minWeight float64) {
	m.count++
	m.value += (sample - m.value) * max(minWeight, 1/m.count)
}

// trend is a running linear regression over the logarithms of pairs (x, y): a rough estimate of how y depends
// on x. Old pairs fade. Its slope is pulled towards zero until it has seen enough pairs.
type trend struct {
	count, meanX, meanY, varX, covXY float64 // of the logarithms; varX and covXY are about the means
}

const (
	minTrendWeight = 0.005 // least weight of the newest pair
	flatTrendPairs = 20.0  // number of pairs that the prior of slope zero weighs as much as
)

// add takes in a pair. A pair with a value that is not positive is ignored.
func (t *trend) add(x, y float64) {
	if !(x > 0 && y > 0) {
		return
	}
	x, y = math.Log(x), math.Log(y)
	t.count++
	w := max(minTrendWeight, 1/t.count)
	dx, dy := x-t.meanX, y-t.meanY
	t.meanX += w * dx
	t.meanY += w * dy
	t.varX += w * ((1-w)*dx*dx - t.varX)
	t.covXY += w * ((1-w)*dx*dy - t.covXY)
}

// factor returns the ratio of the y that x predicts to the mean of y, where the logarithms are about normally
// distributed; 1 where nothing is known.
func (t *trend) factor(x float64) float64 {
	if !(x > 0) || t.count < 2 || t.varX <= 0 {
		return 1
	}
	slope := min(1, max(0, t.covXY/t.varX)) * t.count / (t.count + flatTrendPairs)
	return math.Exp(slope*(math.Log(x)-t.meanX) - slope*slope*t.varX/2)
}
