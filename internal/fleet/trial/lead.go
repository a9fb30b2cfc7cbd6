package trial

import (
	"cmp"
	"fmt"
	"slices"

	"larchscale/internal/sequential"
)

// Bounds of what a leader does at one call of Next.
const (
	mostKeeps = 8    // entries for lives that are over, of a trial
	hearMs    = 3000 // a leader that is new listens for so long before its first look
	lateBy    = 2    // blocks after which a unit without values is past due
)

// Leader is the part of the box that leads: what it has heard, and what it proposes. A new one begins empty, and is
// filled again by the boxes' next reports and by what the log keeps.
type Leader struct {
	self   string
	trials map[string]*heard
}

// heard is what has come for one trial.
type heard struct {
	lives        map[lifeKey]*Life
	at           map[lifeKey]int64 // when each was last heard of
	first, since int64             // when it was first seen open, and in its present block
	block        int
	cells        int   // of all lives
	won          int64 // since when the counts say B; only while they do
	wins         bool
}

type lifeKey struct {
	box         string
	incarnation uint64
}

// NewLeader begins to lead as a box.
func NewLeader(self string) *Leader { return &Leader{self, map[string]*heard{}} }

func (l *Leader) of(id string) *heard {
	h := l.trials[id]
	if h == nil {
		h = &heard{lives: map[lifeKey]*Life{}, at: map[lifeKey]int64{}, block: -1}
		l.trials[id] = h
	}
	return h
}

// Hear takes a report in that has come now, by the clock of Next. Given again, late or out of order it does no harm.
func (l *Leader) Hear(s *State, r *Report, now int64) error {
	t := s.Trial(r.Trial)
	switch {
	case t == nil:
		return fmt.Errorf("a report of trial %q: %w", r.Trial, ErrUnknown)
	case !t.Open():
		return fmt.Errorf("a report of trial %s: %w", r.Trial, ErrOver)
	}
	if err := r.Life.check(&t.Spec); err != nil {
		return err
	}
	h := l.of(r.Trial)
	key := lifeKey{r.Life.Box, r.Life.Incarnation}
	life := h.lives[key]
	if life == nil {
		if len(h.lives) >= MaxLives {
			return fmt.Errorf("trial %s: %d processes have reported: %w", r.Trial, MaxLives, ErrBound)
		}
		life = &Life{Box: key.box, Incarnation: key.incarnation}
		h.lives[key] = life
	}
	if h.cells+len(r.Life.Cells) > MaxHeard {
		return fmt.Errorf("trial %s: %d cells have been reported: %w", r.Trial, MaxHeard, ErrBound)
	}
	h.cells -= len(life.Cells)
	life.merge(&r.Life)
	h.cells += len(life.Cells)
	h.at[key] = now
	return nil
}

// Next derives what the leader proposes: for each open trial its one outcome, or its next block and what is to be kept.
// It is asked every second or so, with a clock that never steps; one that does ends a block early or late, once.
func (l *Leader) Next(s *State, now int64) (out []Entry) {
	for id := range l.trials {
		if t := s.Trial(id); t == nil || !t.Open() {
			delete(l.trials, id)
		}
	}
	for i := range s.Trials {
		t := &s.Trials[i]
		if !t.Open() {
			continue
		}
		h := l.of(t.Spec.ID)
		if h.block < 0 || now < h.since {
			h.first = now
		}
		if h.block != t.Block || now < h.since {
			h.block, h.since = t.Block, now
		}
		over := t.Ended() && now-h.since >= MinBlockMs
		e := h.evidence(t, now, over)
		if over || e.whole && now-h.first >= hearMs {
			if o := e.judge(t, over); h.sure(o.Verdict, &e, now) && o.Verdict != sequential.Continue {
				o.By = l.self
				out = append(out, Entry{Kind: Decide, ID: t.Spec.ID, Outcome: o})
				continue
			}
		}
		out = append(out, e.keeps(t)...)
		if !t.Ended() && now-h.since >= t.Spec.BlockMs {
			out = append(out, Entry{Kind: Turn, ID: t.Spec.ID, Block: t.Block + 1})
		}
	}
	return out
}

// evidence is all that is known of a trial, from the log and from reports.
type evidence struct {
	lives []Life // by box and incarnation
	ended []bool // by life: what has no value now will have none
	died  []bool // by life: it did not end in order
	whole bool   // nothing that a living process has is still to come
	heard int64  // when that of those processes was last heard of which has been silent for longest
}

func (h *heard) evidence(t *Trial, now int64, over bool) evidence {
	all := make(map[lifeKey]Life, len(t.Kept)+len(h.lives))
	for _, k := range t.Kept {
		all[lifeKey{k.Box, k.Incarnation}] = k
	}
	for key, life := range h.lives {
		if k, ok := all[key]; ok {
			k.Cells = slices.Clone(k.Cells)
			k.merge(life)
			all[key] = k
			continue
		}
		all[key] = *life
	}
	e := evidence{whole: true, heard: now}
	for _, l := range all {
		e.lives = append(e.lives, l)
	}
	slices.SortFunc(e.lives, func(a, b Life) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for i := range e.lives {
		l := &e.lives[i]
		replaced := i+1 < len(e.lives) && e.lives[i+1].Box == l.Box
		silent := t.Block-l.Block > lateBy || over && l.Block < t.Block
		e.ended = append(e.ended, replaced || silent || l.Final || over)
		e.died = append(e.died, (replaced || silent) && !l.Final)
		e.whole = e.whole && (e.ended[i] || len(l.Cells) == l.Held)
		if !e.ended[i] {
			e.heard = min(e.heard, h.at[lifeKey{l.Box, l.Incarnation}])
		}
	}
	return e
}

// judge looks at the evidence.
func (e *evidence) judge(t *Trial, over bool) Outcome {
	lost := 0
	for _, d := range e.died {
		if d {
			lost++
		}
	}
	strata := e.strata(t)
	r := sequential.Evaluate(&t.Spec.Plan, strata, over)
	if r.Verdict != sequential.Void && r.Verdict != sequential.Harm && lost > t.Spec.MostLost {
		r.Verdict = sequential.Harm
		r.Why = fmt.Sprintf("%d processes of boxes were lost, %d may be; %s", lost, t.Spec.MostLost, r.Why)
	}
	return Outcome{Verdict: r.Verdict, Why: r.Why, Units: r.Units, Difference: r.Difference}
}

// sure tells that an outcome need not wait. B waits until each process has been heard of again since the counts first
// said so: it may have taken down one whose loss is not known yet.
func (h *heard) sure(v sequential.Verdict, e *evidence, now int64) bool {
	if v != sequential.B {
		h.wins = false
		return true
	}
	if !h.wins {
		h.wins, h.won = true, now
	}
	return e.heard > h.won
}

// strata sums lives up by block and box. A unit without values that is past due, or whose process is gone, has the
// values 0: no arm gains by what it takes down with it.
func (e *evidence) strata(t *Trial) []sequential.Stratum {
	boxes := 0
	for i := range e.lives {
		if i == 0 || e.lives[i-1].Box != e.lives[i].Box {
			boxes++
		}
	}
	out := make([]sequential.Stratum, boxes*t.Spec.Blocks) // by block, and by box within it
	box := -1
	for i := range e.lives {
		l := &e.lives[i]
		if i == 0 || e.lives[i-1].Box != l.Box {
			box++
		}
		of := func(block int) *sequential.Stratum {
			s := &out[block*boxes+box]
			s.Box, s.Block = l.Box, block
			return s
		}
		for j := range l.Cells {
			c := &l.Cells[j]
			s := of(c.Block)
			for a := range c.Arms {
				add(&s.Arms[a], &c.Arms[a], e.ended[i] || c.Block+lateBy <= l.Block)
			}
		}
		if t.Spec.Split == Switchback && e.died[i] && l.Block < t.Spec.Blocks {
			of(l.Block)
		}
	}
	out = slices.DeleteFunc(out, func(s sequential.Stratum) bool { return s.Box == "" })
	if t.Spec.Split == Switchback {
		return e.cells(t, out)
	}
	return out
}

// add sums counts of one arm up. due tells that units without values have the values 0.
func add(s *sequential.Arm, c *Count, due bool) {
	s.Assigned += c.Assigned
	s.N += c.N
	if due {
		s.N += c.Assigned - c.N
	}
	for j := range values {
		s.Values[j].Sum += float64(c.Sums[j]) / parts
		s.Values[j].Squares += float64(c.Squares[j]) / (parts * parts)
	}
}

// cells makes one unit of each box in a block of a Switchback, as it is boxes that are given to arms there: its values
// are the means over what it served, 0 if its process was lost in it. A cell counts once all in it is known or past due.
func (e *evidence) cells(t *Trial, strata []sequential.Stratum) (out []sequential.Stratum) {
	for _, s := range strata {
		known, lost := true, false
		first, _ := slices.BinarySearchFunc(e.lives, s.Box, func(l Life, box string) int { return cmp.Compare(l.Box, box) })
		for i := first; i < len(e.lives) && e.lives[i].Box == s.Box; i++ {
			known = known && (e.ended[i] || s.Block+lateBy <= e.lives[i].Block)
			lost = lost || e.died[i] && e.lives[i].Block == s.Block
		}
		if !known {
			continue
		}
		if lost && s.Arms[0].Assigned+s.Arms[1].Assigned == 0 {
			s.Arms[t.Spec.armOf(s.Box, s.Block)].Assigned = 1
		}
		for a := range s.Arms {
			x := &s.Arms[a]
			if x.Assigned == 0 {
				continue
			}
			for j := range values {
				m := x.Values[j].Sum / float64(x.Assigned)
				if lost {
					m = 0
				}
				x.Values[j] = sequential.Sums{Sum: m, Squares: m * m}
			}
			x.Assigned, x.N = 1, 1
		}
		out = append(out, s)
	}
	return out
}

// keeps are the entries for what lives counted that are over, where the log has not all of it yet.
func (e *evidence) keeps(t *Trial) (out []Entry) {
	size := 0
	for i := range t.Kept {
		size += 1 + len(t.Kept[i].Cells)
	}
	for i, l := range e.lives {
		at := slices.IndexFunc(t.Kept, func(k Life) bool { return k.Box == l.Box && k.Incarnation == l.Incarnation })
		if !e.ended[i] || len(out) >= mostKeeps || at >= 0 && l.equal(&t.Kept[at]) {
			continue
		}
		if size += 1 + len(l.Cells); size > MaxKept {
			break // the leader itself still knows them
		}
		l.Cells = slices.Clone(l.Cells)
		out = append(out, Entry{Kind: Keep, ID: t.Spec.ID, Life: l})
	}
	return out
}
