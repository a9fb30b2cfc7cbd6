package trial

import (
	"cmp"
	"fmt"
	"slices"

	"larchscale/internal/sequential"
)

// Kind tells what an entry does.
type Kind uint8

// The kinds of entry.
const (
	Start  Kind = iota + 1 // a trial begins
	Turn                   // the next block begins, or after the last ones: nothing more counts
	Keep                   // what a life counted that is over, so that it outlives the leader that heard it
	Decide                 // the outcome, by the box that leads
	Stop                   // the outcome, by an operator
)

// Entry is one entry of the log. Which fields count depends on Kind.
type Entry struct {
	Kind    Kind
	ID      string // of the trial; Start has it in its spec
	Spec    Spec   // Start
	Block   int    // Turn: the one that begins
	Life    Life   // Keep
	Outcome Outcome
	By, Why string // Stop
}

// Apply carries out the entry of an index. It is the same on every box: it looks at nothing but the state and the
// entry. An entry that cannot be changes nothing but the index, and the error says why, on every box alike.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index = index
	if e.Kind == Start {
		return s.start(index, &e.Spec)
	}
	t := s.Trial(e.ID)
	switch {
	case t == nil:
		return fmt.Errorf("trial %q: %w", e.ID, ErrUnknown)
	case !t.Open():
		return fmt.Errorf("trial %s ended with %v: %w", t.Spec.ID, t.Outcome.Verdict, ErrOver)
	}
	switch e.Kind {
	case Turn:
		if e.Block != t.Block+1 || t.Ended() {
			return fmt.Errorf("trial %s: block %d after block %d of %d: %w", t.Spec.ID, e.Block, t.Block, t.Spec.Blocks, ErrInvalid)
		}
		t.Block = e.Block
	case Keep:
		return t.keep(&e.Life)
	case Decide:
		o := e.Outcome
		if o.Verdict <= sequential.Continue || o.Verdict >= sequential.Stopped || o.Why == "" || len(o.Why) > maxWhy || o.By == "" || len(o.By) > maxName {
			return fmt.Errorf("trial %s: outcome %v by %q: %w", t.Spec.ID, o.Verdict, o.By, ErrInvalid)
		}
		t.end(o)
	case Stop:
		if e.By == "" || len(e.By) > maxName || e.Why == "" || len(e.Why) > maxReason {
			return fmt.Errorf("trial %s is stopped by somebody, for some reason: %w", t.Spec.ID, ErrInvalid)
		}
		t.end(Outcome{Verdict: sequential.Stopped, Why: e.Why, By: e.By})
	default:
		return fmt.Errorf("entry of kind %d: %w", e.Kind, ErrInvalid)
	}
	return nil
}

// end sets the one outcome. What was kept for the looks is wanted no more.
func (t *Trial) end(o Outcome) { t.Outcome, t.Kept = o, nil }

func (s *State) start(index uint64, spec *Spec) error {
	if t := s.Trial(spec.ID); t != nil {
		if t.Spec.same(spec) {
			return nil // given again: its answer was lost
		}
		return fmt.Errorf("trial %s: there is another of that name: %w", spec.ID, ErrInvalid)
	}
	if err := spec.Check(); err != nil {
		return err
	}
	if t := s.Of(spec.Split == Switchback, spec.Thing); t != nil && t.Open() {
		return fmt.Errorf("trial %s: %s is split by trial %s already: %w", spec.ID, spec.Thing, t.Spec.ID, ErrInvalid)
	}
	open := 0
	for i := range s.Trials {
		if s.Trials[i].Open() {
			open++
		}
	}
	if open >= MaxOpen {
		return fmt.Errorf("trial %s: %d trials run, more cannot at a time: %w", spec.ID, open, ErrBound)
	}
	if len(s.Trials) >= MaxTrials {
		i := slices.IndexFunc(s.Trials, func(t Trial) bool { return !t.Open() && !s.serves(&t) })
		if i < 0 {
			return fmt.Errorf("trial %s: each of %d trials runs, or is what is served by: %w", spec.ID, len(s.Trials), ErrBound)
		}
		s.Trials = slices.Delete(s.Trials, i, i+1)
	}
	t := Trial{Spec: *spec, Index: index}
	t.Spec.Plan.Guards = slices.Clone(spec.Plan.Guards)
	s.Trials = append(s.Trials, t)
	return nil
}

// serves tells that what is served depends on a trial that is over: B won, and nothing came after it.
func (s *State) serves(t *Trial) bool {
	return t.Outcome.Verdict == sequential.B && s.Of(t.Spec.Split == Switchback, t.Spec.Thing).Spec.ID == t.Spec.ID
}

// keep merges a life that is over into what is kept.
func (t *Trial) keep(l *Life) error {
	if err := l.check(&t.Spec); err != nil {
		return err
	}
	i, found := slices.BinarySearchFunc(t.Kept, l, func(a Life, b *Life) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	merged := Life{Box: l.Box, Incarnation: l.Incarnation}
	n := 0
	for j, k := range t.Kept {
		if found && j == i {
			merged = k
			merged.Cells = slices.Clone(k.Cells)
			continue
		}
		n += 1 + len(k.Cells)
	}
	merged.merge(l)
	if n += 1 + len(merged.Cells); n > MaxKept {
		return fmt.Errorf("trial %s: %d cells of lives that are over, %d at most: %w", t.Spec.ID, n, MaxKept, ErrBound)
	}
	if found {
		t.Kept[i] = merged
	} else {
		t.Kept = slices.Insert(t.Kept, i, merged)
	}
	return nil
}
