// Package trial compares two ways of serving over the boxes of a fleet: which arm each unit of work is given to, what
// is counted of it, and when one outcome is put in the log. It does no I/O and reads no clock. The state that all boxes
// agree on changes by the entries of their log alone (Apply); times are arguments, in ms of a clock that never steps.
//
// Time that counts is in the log too: a trial's blocks are turned by entries, and its deadline is a number of blocks.
// A box's own clock has no say in which block a unit belongs to.
package trial

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"larchscale/internal/sequential"
)

// Bounds of what is agreed.
const (
	MaxTrials  = 16   // kept, over ones included
	MaxOpen    = 4    // that run at a time: a leader has up to 5 MB of counts for each
	MaxBlocks  = 64   // of a trial
	MaxKept    = 4096 // cells of lives that are over, of a trial
	MinBlockMs = 5000 // longer than any unit takes to be due
	MaxBlockMs = 3_600_000
	maxName    = 64  // bytes, of a trial, what is split, a box or an operator
	maxValue   = 128 // bytes, of an arm's value
	maxReason  = 256 // bytes
	maxWhy     = 768 // bytes, of an outcome
)

// Split tells by what units are given to arms.
type Split uint8

// The ways to split. Subject and Key split calls below between two addresses; a Switchback gives a whole box to one
// arm for a block of time, between two values of a setting that may change while it runs.
const (
	Subject Split = iota + 1
	Key
	Switchback
)

var splits = [...]string{"", "subject", "key", "switchback"}

// String is the split as operators read it.
func (s Split) String() string {
	if int(s) < len(splits) {
		return splits[s]
	}
	return fmt.Sprintf("split %d", uint8(s))
}

// MarshalText writes a split as operators read it.
func (s Split) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads it back.
func (s *Split) UnmarshalText(text []byte) error {
	i := slices.Index(splits[:], string(text))
	if i < 1 {
		return fmt.Errorf("split %q: %w", text, ErrUnknown)
	}
	*s = Split(i)
	return nil
}

// Spec is what an operator asks for. It does not change once a trial has begun.
type Spec struct {
	ID       string // the operator's; given again it has no second effect
	By       string
	Reason   string
	Split    Split
	Thing    string    // the class of calls, or the name of the setting
	Values   [2]string // of A, which is the present way, and of B: addresses, or values of the setting
	Salt     uint64    // of this trial alone, so that no two trials split alike
	BlockMs  int64     // how long a block is at least
	Blocks   int       // after so many, no more units are given out: the deadline
	MostLost int       // so many processes may be lost while it runs, by whichever arm; more is harm
	SettleMs int64     // Switchback: units in the first so many ms of a block count for no arm
	Plan     sequential.Plan
}

// Outcome is how a trial ended. Its verdict is GoOn while it has not.
type Outcome struct {
	Verdict    sequential.Verdict
	Why        string
	By         string   // the box that led, or the operator
	Units      [2]int64 // that the verdict rests on
	Difference float64  // of B to A, in worth a unit
}

// Trial is what is agreed of one trial.
type Trial struct {
	Spec    Spec
	Block   int // that units belong to now, from 0
	Outcome Outcome
	Kept    []Life // lives that are over, as their last reports had them; by box and incarnation
	Index   uint64 // of the entry that began it
}

// State is what all boxes agree on. Its zero value has no trials.
type State struct {
	Index  uint64  // of the last entry applied
	Trials []Trial // by the entries that began them
}

// Errors of Apply and of reports. What meets one changes nothing (an entry: nothing but the index).
var (
	ErrUnknown = errors.New("unknown")
	ErrInvalid = errors.New("cannot be")
	ErrOver    = errors.New("the trial is over")
	ErrBound   = errors.New("past a bound")
)

// Clone gives a state that shares nothing with this one.
func (s *State) Clone() State {
	out := State{s.Index, slices.Clone(s.Trials)}
	for i := range out.Trials {
		t := &out.Trials[i]
		t.Spec.Plan.Guards = slices.Clone(t.Spec.Plan.Guards)
		t.Kept = slices.Clone(t.Kept)
		for j := range t.Kept {
			t.Kept[j].Cells = slices.Clone(t.Kept[j].Cells)
		}
	}
	return out
}

// Trial gives a trial by its id; nil = unknown.
func (s *State) Trial(id string) *Trial {
	i := slices.IndexFunc(s.Trials, func(t Trial) bool { return t.Spec.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Trials[i]
}

// Of gives the newest trial of a class of calls, or of a setting; nil = there is none.
func (s *State) Of(setting bool, thing string) *Trial {
	for i := len(s.Trials) - 1; i >= 0; i-- {
		if s.Trials[i].Spec.is(setting, thing) {
			return &s.Trials[i]
		}
	}
	return nil
}

func (s *Spec) is(setting bool, thing string) bool {
	return (s.Split == Switchback) == setting && s.Thing == thing
}

// Open tells that a trial has no outcome yet.
func (t *Trial) Open() bool { return t.Outcome.Verdict == sequential.Continue }

// Ended tells that no more units are given out and all values are known or past due.
func (t *Trial) Ended() bool { return t.Block > t.Spec.Blocks }

// Check finds what of a spec cannot be, whatever boxes there are: its error is an ErrInvalid or a sequential.ErrInvalidPlan.
func (s *Spec) Check() error {
	switch {
	case s.ID == "" || len(s.ID) > maxName || s.By == "" || len(s.By) > maxName:
		return fmt.Errorf("trial %q by %q: a name of 1 to %d bytes is missing: %w", s.ID, s.By, maxName, ErrInvalid)
	case len(s.Reason) > maxReason:
		return fmt.Errorf("trial %s: a reason of %d bytes, %d at most: %w", s.ID, len(s.Reason), maxReason, ErrInvalid)
	case s.Split < Subject || s.Split > Switchback:
		return fmt.Errorf("trial %s: %v: %w", s.ID, s.Split, ErrInvalid)
	case s.Thing == "" || len(s.Thing) > maxName:
		return fmt.Errorf("trial %s: nothing to split, or a name over %d bytes: %w", s.ID, maxName, ErrInvalid)
	case s.Values[0] == "" || s.Values[1] == "" || len(s.Values[0]) > maxValue || len(s.Values[1]) > maxValue:
		return fmt.Errorf("trial %s: a value of 1 to %d bytes for each arm is missing: %w", s.ID, maxValue, ErrInvalid)
	case s.BlockMs < MinBlockMs || s.BlockMs > MaxBlockMs:
		return fmt.Errorf("trial %s: blocks of %d ms, %d to %d can be: %w", s.ID, s.BlockMs, MinBlockMs, MaxBlockMs, ErrInvalid)
	case s.Blocks < 1 || s.Blocks > MaxBlocks:
		return fmt.Errorf("trial %s: a deadline of %d blocks, 1 to %d can be: %w", s.ID, s.Blocks, MaxBlocks, ErrInvalid)
	case s.MostLost < 0 || s.MostLost > MaxLives:
		return fmt.Errorf("trial %s: %d processes that may be lost, 0 to %d can be: %w", s.ID, s.MostLost, MaxLives, ErrInvalid)
	case s.SettleMs < 0 || s.SettleMs > s.BlockMs/2 || s.SettleMs > 0 && s.Split != Switchback:
		return fmt.Errorf("trial %s: %d ms to settle, 0 to half a block of a switchback can be: %w", s.ID, s.SettleMs, ErrInvalid)
	}
	if err := s.Plan.Check(); err != nil {
		return fmt.Errorf("trial %s: %w", s.ID, err)
	}
	return nil
}

// same tells that two specs ask for the same.
func (s *Spec) same(o *Spec) bool {
	a, b := *s, *o
	ok := slices.Equal(a.Plan.Guards, b.Plan.Guards)
	a.Plan.Guards, b.Plan.Guards = nil, nil
	return ok && reflect.DeepEqual(a, b)
}

// Known is what a box knows that a trial could be of.
type Known struct {
	Calls    map[string][]string                 // addresses that a class of calls may go to
	Settings map[string]func(value string) error // that may change while it runs; what of a value cannot be
}

// Check tells why a spec cannot be on a box that knows this. The box that proposes asks before it does; any other that
// cannot follow serves as A, and says so.
func (k Known) Check(s *Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	for i, v := range s.Values {
		if s.Split != Switchback {
			addresses, ok := k.Calls[s.Thing]
			if !ok {
				return fmt.Errorf("trial %s: calls %q: %w", s.ID, s.Thing, ErrUnknown)
			}
			if !slices.Contains(addresses, v) {
				return fmt.Errorf("trial %s: address %q of arm %c: %w", s.ID, v, 'A'+i, ErrUnknown)
			}
			continue
		}
		check, ok := k.Settings[s.Thing]
		if !ok {
			return fmt.Errorf("trial %s: setting %q: %w", s.ID, s.Thing, ErrUnknown)
		}
		if err := check(v); err != nil {
			return fmt.Errorf("trial %s: value %q of arm %c: %w: %w", s.ID, v, 'A'+i, err, ErrInvalid)
		}
	}
	return nil
}
