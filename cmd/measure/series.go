package main

import (
	"fmt"
	"runtime"
	"slices"

	"larchscale/internal/capacity"
	"larchscale/internal/measure/fit"
)

// series are the readings of all sizes.
type series struct {
	names    []string // in the order of their first reading
	readings map[string]*readings
}

// readings are those of one quantity.
type readings struct {
	unit, note string
	bySize     map[int][]float64
}

func newSeries() *series { return &series{readings: map[string]*readings{}} }

// add notes one reading.
func (s *series) add(name, unit, note string, servers int, value float64) {
	r := s.readings[name]
	if r == nil {
		r = &readings{unit, note, map[int][]float64{}}
		s.readings[name] = r
		s.names = append(s.names, name)
	}
	r.bySize[servers] = append(r.bySize[servers], value)
}

// measurements gives the record of all readings; that of a law which fits says so.
func (s *series) measurements() []capacity.Measurement {
	var out []capacity.Measurement
	for _, name := range s.names {
		r := s.readings[name]
		m := capacity.Measurement{Name: name, Unit: r.unit, SizeUnit: "servers", Note: r.note, Points: r.points()}
		if law, ok := r.law(); ok {
			m.Note += "; " + law.String()
		}
		out = append(out, m)
	}
	return out
}

func (r *readings) points() []capacity.Point {
	var out []capacity.Point
	for servers, values := range r.bySize {
		sum := 0.0
		for _, v := range values {
			sum += v
		}
		out = append(out, capacity.Point{Size: float64(servers), Value: sum / float64(len(values)),
			Spread: slices.Max(values) - slices.Min(values), Runs: len(values)})
	}
	slices.SortFunc(out, func(a, b capacity.Point) int { return int(a.Size - b.Size) })
	return out
}

// law is how the quantity grows; false = there are too few sizes.
func (r *readings) law() (fit.Law, bool) {
	var sizes, values []float64
	for _, p := range r.points() {
		sizes, values = append(sizes, p.Size), append(values, p.Value)
	}
	return fit.Best(sizes, values)
}

// report prints all readings, and the law of each.
func (s *series) report(r *report) {
	for _, name := range s.names {
		readings := s.readings[name]
		for _, p := range readings.points() {
			r.row(fmt.Sprintf("%s at %g", name, p.Size), p.Value, readings.unit)
		}
		if law, ok := readings.law(); ok {
			fmt.Printf("# %s: %s\n", name, law)
		}
	}
}

// recordSeries adds all readings to a file of measurements, under the name of a design; "" = to none.
func recordSeries(path, design, command, revision string, s *series) error {
	if path == "" {
		return nil
	}
	recording, err := capacity.ReadRecording(path)
	if err != nil {
		return err
	}
	for _, m := range s.measurements() {
		m.Name, m.Command, m.Revision, m.Cores = design+m.Name, command, revision, runtime.NumCPU()
		if err := recording.Put(m); err != nil {
			return err
		}
	}
	return recording.Write(path)
}
