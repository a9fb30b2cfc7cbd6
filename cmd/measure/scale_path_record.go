package main

import (
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"

	"larchscale/internal/capacity"
)

// pathRecord collects the measurements of one run of the command.
type pathRecord struct {
	command  string
	revision string
	note     string
	byName   map[string]*capacity.Measurement
	names    []string // in the order of their first value
	values   map[string]map[float64][]float64
}

func newPathRecord(c *scalePathCmd) *pathRecord {
	command := "bin/measure scale path"
	if c.Short {
		command += " --short"
	}
	note := strings.TrimSpace(c.Note + " " + machineLoad())
	return &pathRecord{command: command, revision: sourceRevision(), note: note,
		byName: map[string]*capacity.Measurement{}, values: map[string]map[float64][]float64{}}
}

// machineLoad tells how busy the machine is with other work as the command begins.
func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "Load average unknown."
	}
	minute, _, _ := strings.Cut(string(text), " ")
	return "Load average " + minute + " at the start."
}

// sourceRevision returns the commit that the program is built from, marked where a source file differs from it.
func sourceRevision() string {
	revision, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	changed, err := exec.Command("git", "status", "--porcelain", "--", "*.go", "go.mod").Output()
	if err != nil || len(changed) > 0 {
		return strings.TrimSpace(string(revision)) + "+changed"
	}
	return strings.TrimSpace(string(revision))
}

// add records one run's value at a size. note says what the value is where the name does not.
func (r *pathRecord) add(name, unit, sizeUnit, note string, size, value float64) {
	if r.byName[name] == nil {
		note = strings.TrimSpace(note + " " + r.note)
		r.byName[name] = &capacity.Measurement{Name: name, Unit: unit, SizeUnit: sizeUnit, Command: r.command,
			Revision: r.revision, Cores: runtime.NumCPU(), Note: note}
		r.names = append(r.names, name)
		r.values[name] = map[float64][]float64{}
	}
	r.values[name][size] = append(r.values[name][size], value)
}

// point returns the median of the runs at a size, and their spread.
func (r *pathRecord) point(name string, size float64) capacity.Point {
	values := slices.Sorted(slices.Values(r.values[name][size]))
	if len(values) == 0 {
		return capacity.Point{Size: size}
	}
	return capacity.Point{Size: size, Value: values[len(values)/2], Spread: values[len(values)-1] - values[0], Runs: len(values)}
}

// write puts all measurements into the recording at path; "" = nowhere.
func (r *pathRecord) write(path string) error {
	if path == "" {
		return nil
	}
	recording, err := capacity.ReadRecording(path)
	if err != nil {
		return err
	}
	for _, name := range r.names {
		measurement := *r.byName[name]
		sizes := make([]float64, 0, len(r.values[name]))
		for size := range r.values[name] {
			sizes = append(sizes, size)
		}
		slices.Sort(sizes)
		for _, size := range sizes {
			measurement.Points = append(measurement.Points, r.point(name, size))
		}
		if err := recording.Put(measurement); err != nil {
			return err
		}
	}
	return recording.Write(path)
}
