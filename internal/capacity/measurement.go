// Package capacity turns recorded measurements into the tables of docs/CAPACITY.md: each cell is a slope, which a
// command measured, times a count at a stated size of the fleet. It does no measuring itself.
package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Point is one measured value at one size.
type Point struct {
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
	Spread float64 `json:"spread"` // largest less smallest of the repeats, in the measurement's unit; 0 for one run
	Runs   int     `json:"runs"`
}

// Measurement is a quantity measured at one or more sizes by one command.
type Measurement struct {
	Name     string  `json:"name"`     // for instance "learner.leader.messages"; the part before the first dot is the design
	Unit     string  `json:"unit"`     // of Value
	SizeUnit string  `json:"sizeUnit"` // of Size, for instance "servers"
	Command  string  `json:"command"`  // repeats the measurement
	Revision string  `json:"revision"` // of the program that was measured
	Cores    int     `json:"cores"`    // of the machine
	Note     string  `json:"note,omitempty"`
	Points   []Point `json:"points"`
}

// Recording is the data file docs/capacity.json.
type Recording struct {
	Measurements []Measurement `json:"measurements"`
}

// ErrMeasurement is a record that cannot be used.
var ErrMeasurement = errors.New("not a measurement")

// Check finds what a measurement lacks.
func (m *Measurement) Check() error {
	switch {
	case m.Name == "" || m.Unit == "" || m.Command == "":
		return fmt.Errorf("%q needs a name, a unit and a command: %w", m.Name, ErrMeasurement)
	case len(m.Points) == 0:
		return fmt.Errorf("%s has no points: %w", m.Name, ErrMeasurement)
	}
	return nil
}

// ReadRecording reads a data file. One that does not exist is an empty recording.
func ReadRecording(path string) (*Recording, error) {
	recording := &Recording{}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return recording, nil
	}
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	if err := json.Unmarshal(data, recording); err != nil {
		return nil, fmt.Errorf("recording %s: %w", path, err)
	}
	for i := range recording.Measurements {
		if err := recording.Measurements[i].Check(); err != nil {
			return nil, fmt.Errorf("recording %s: %w", path, err)
		}
	}
	return recording, nil
}

// Put replaces the measurement of the same name, or adds it.
func (r *Recording) Put(m Measurement) error {
	if err := m.Check(); err != nil {
		return err
	}
	i, found := slices.BinarySearchFunc(r.Measurements, m.Name, compareName)
	if found {
		r.Measurements[i] = m
		return nil
	}
	r.Measurements = slices.Insert(r.Measurements, i, m)
	return nil
}

// Find returns the measurement of a name; nil if there is none.
func (r *Recording) Find(name string) *Measurement {
	i, found := slices.BinarySearchFunc(r.Measurements, name, compareName)
	if !found {
		return nil
	}
	return &r.Measurements[i]
}

// Write replaces the data file.
func (r *Recording) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return os.Rename(temporary, path)
}

func compareName(m Measurement, name string) int { return strings.Compare(m.Name, name) }
