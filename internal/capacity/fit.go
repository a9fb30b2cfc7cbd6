package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// MaxLeaveOneOut is the largest relative error at a size that was left out with which a fit is used.
const MaxLeaveOneOut = 0.15

// minFitSizes is the number of different sizes that a fit needs.
const minFitSizes = 3

// ErrNoFit is a measurement that no model predicts within MaxLeaveOneOut.
var ErrNoFit = errors.New("no fit")

// Model is the form of a fit.
type Model string

// The models.
const (
	Linear Model = "linear" // Offset + Slope * size
	Power  Model = "power"  // Offset * size ^ Slope
)

// Fit is a function of the size that predicts each measured size from the others.
type Fit struct {
	Model       Model
	Offset      float64
	Slope       float64
	LeaveOneOut float64 // largest relative error over the sizes that were left out in turn
	MinSize     float64 // of the points
	MaxSize     float64
}

// NewFit returns the better of both models, or ErrNoFit.
func NewFit(points []Point) (Fit, error) {
	sizes := distinctSizes(points)
	if len(sizes) < minFitSizes {
		return Fit{}, fmt.Errorf("%d sizes, %d are needed: %w", len(sizes), minFitSizes, ErrNoFit)
	}
	best := Fit{LeaveOneOut: math.Inf(1)}
	for _, model := range []Model{Linear, Power} {
		fit, ok := fitModel(model, points)
		if !ok {
			continue
		}
		fit.LeaveOneOut = leaveOneOut(model, points, sizes)
		if fit.LeaveOneOut < best.LeaveOneOut {
			best = fit
		}
	}
	if !(best.LeaveOneOut <= MaxLeaveOneOut) {
		return Fit{}, fmt.Errorf("a size that is left out is %.0f%% off: %w", 100*best.LeaveOneOut, ErrNoFit)
	}
	best.MinSize, best.MaxSize = sizes[0], sizes[len(sizes)-1]
	return best, nil
}

// At returns the value at a size.
func (f Fit) At(size float64) float64 {
	if f.Model == Power {
		return f.Offset * math.Pow(size, f.Slope)
	}
	return f.Offset + f.Slope*size
}

// holdsAt tells whether the fit may be used at a size. One that falls is not used past what was measured: nothing
// here costs less in a larger fleet.
func (f Fit) holdsAt(size float64) bool {
	return f.At(size) > 0 && (f.Slope >= 0 || size <= f.MaxSize)
}

// String returns the formula; n is the size.
func (f Fit) String() string {
	if f.Model == Power {
		return fmt.Sprintf("%s × n^%.2f", formatNumber(f.Offset), f.Slope)
	}
	if math.Signbit(f.Slope) {
		return fmt.Sprintf("%s − %s × n", formatNumber(f.Offset), formatNumber(-f.Slope))
	}
	return fmt.Sprintf("%s + %s × n", formatNumber(f.Offset), formatNumber(f.Slope))
}

// fitModel fits one model by least squares of the relative error. Power needs sizes and values over 0.
func fitModel(model Model, points []Point) (Fit, bool) {
	x := make([]float64, len(points))
	y := make([]float64, len(points))
	weights := make([]float64, len(points))
	for i, p := range points {
		x[i], y[i], weights[i] = p.Size, p.Value, 1
		switch {
		case model == Power && (p.Size <= 0 || p.Value <= 0):
			return Fit{}, false
		case model == Power:
			x[i], y[i] = math.Log(p.Size), math.Log(p.Value)
		case p.Value != 0:
			weights[i] = 1 / (p.Value * p.Value)
		}
	}
	offset, slope := stat.LinearRegression(x, y, weights, false)
	if model == Power {
		offset = math.Exp(offset)
	}
	return Fit{Model: model, Offset: offset, Slope: slope}, !math.IsNaN(offset) && !math.IsNaN(slope)
}

// leaveOneOut fits without each size in turn and returns the largest relative error at the size left out.
func leaveOneOut(model Model, points []Point, sizes []float64) float64 {
	largest := 0.0
	for _, size := range sizes {
		var rest, left []Point
		for _, p := range points {
			if p.Size == size {
				left = append(left, p)
			} else {
				rest = append(rest, p)
			}
		}
		fit, ok := fitModel(model, rest)
		if !ok {
			return math.Inf(1)
		}
		for _, p := range left {
			largest = max(largest, relativeError(fit.At(p.Size), p.Value))
		}
	}
	return largest
}

func relativeError(predicted, value float64) float64 {
	if predicted == value {
		return 0
	}
	return math.Abs(predicted-value) / math.Abs(value)
}

func distinctSizes(points []Point) []float64 {
	var sizes []float64
	for _, p := range points {
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// nearestPoint returns the point whose size is nearest to size by its ratio.
func nearestPoint(points []Point, size float64) Point {
	distance := func(p Point) float64 { return math.Abs(math.Log(max(p.Size, 1) / max(size, 1))) }
	return slices.MinFunc(points, func(a, b Point) int { return cmp.Compare(distance(a), distance(b)) })
}
