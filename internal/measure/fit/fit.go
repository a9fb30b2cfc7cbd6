// Package fit finds how a quantity grows with the size of a fleet, and whether the law that it finds foretells a size
// that it was not given.
package fit

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Tolerance is the largest error, as a share of the measured value, with which a usable law foretells a size left out.
const Tolerance = 0.15

// minPoints is how many sizes it takes to leave one out and draw a line through the others.
const minPoints = 3

// Law is how a quantity grows with a size.
type Law struct {
	Kind   string // "linear": A + B·size; "power": A·size^B
	A, B   float64
	Errors float64 // the largest error over all sizes, each left out in turn, as a share of its value
}

// Usable tells that the law foretells each size left out within the tolerance.
func (l Law) Usable() bool { return l.Errors <= Tolerance }

// At is what the law gives for a size.
func (l Law) At(size float64) float64 {
	if l.Kind == "power" {
		return l.A * math.Pow(size, l.B)
	}
	return l.A + l.B*size
}

// String is the law for people.
func (l Law) String() string {
	formula := fmt.Sprintf("%.4g%+.4g*n", l.A, l.B)
	if l.Kind == "power" {
		formula = fmt.Sprintf("%.4g*n^%.3f", l.A, l.B)
	}
	verdict := "usable"
	if !l.Usable() {
		verdict = "not usable"
	}
	return fmt.Sprintf("%s %s, largest error of a size left out %.1f%%, %s", l.Kind, formula, 100*l.Errors, verdict)
}

// Best gives the linear or the power law, whichever foretells sizes left out better; false = there are too few sizes.
func Best(sizes, values []float64) (Law, bool) {
	if len(sizes) < minPoints {
		return Law{}, false
	}
	best := leaveOneOut("linear", sizes, values)
	if positive(sizes) && positive(values) {
		if power := leaveOneOut("power", sizes, values); power.Errors < best.Errors {
			best = power
		}
	}
	return best, true
}

func positive(values []float64) bool {
	for _, v := range values {
		if v <= 0 {
			return false
		}
	}
	return true
}

// leaveOneOut draws a law through all sizes, and notes the largest error of those that are drawn without one.
func leaveOneOut(kind string, sizes, values []float64) Law {
	law := draw(kind, sizes, values)
	for i := range sizes {
		value := values[i]
		foretold := draw(kind, without(sizes, i), without(values, i)).At(sizes[i])
		law.Errors = max(law.Errors, relative(foretold, value))
	}
	return law
}

func relative(foretold, value float64) float64 {
	if foretold == value {
		return 0
	}
	return math.Abs(foretold-value) / math.Abs(value)
}

func without(values []float64, i int) []float64 {
	return append(append([]float64{}, values[:i]...), values[i+1:]...)
}

func draw(kind string, sizes, values []float64) Law {
	if kind != "power" {
		a, b := stat.LinearRegression(sizes, values, nil, false)
		return Law{Kind: kind, A: a, B: b}
	}
	a, b := stat.LinearRegression(logs(sizes), logs(values), nil, false)
	return Law{Kind: kind, A: math.Exp(a), B: b}
}

func logs(values []float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = math.Log(v)
	}
	return out
}
