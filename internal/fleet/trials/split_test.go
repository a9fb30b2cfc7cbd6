package trials

import (
	"log/slog"
	"testing"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/fleet/trial"
	"larchscale/internal/sequential"
)

// place notes the calls that came to it.
type place struct{ calls, gone int }

func (p *place) Call(string, uint64, string, uint64, time.Duration, bool, []byte) { p.calls++ }
func (p *place) Abandon(string)                                                   { p.gone++ }

// Where 200 calls go, and what of them counts, by lease, outcome, subject and life of the process.
func TestWhereCallsGoAndWhatCounts(t *testing.T) {
	for name, x := range map[string]struct {
		lease, none, nobody, silent, leaves bool
		outcome                             sequential.Verdict
		a, b                                bool // some went to index, or to b
		counts                              bool
	}{
		"open":                {lease: true, a: true, b: true, counts: true},
		"without a lease":     {a: true},
		"nobody's":            {lease: true, nobody: true, a: true},
		"not heard of yet":    {lease: true, silent: true, a: true},
		"leaves":              {lease: true, leaves: true, a: true},
		"b won":               {lease: true, outcome: sequential.B, b: true},
		"b won, nobody's":     {lease: true, nobody: true, outcome: sequential.B, b: true},
		"harm":                {lease: true, outcome: sequential.Harm, a: true},
		"no trial":            {lease: true, none: true, a: true},
		"b won, lost a lease": {outcome: sequential.B, a: true},
	} {
		t.Run(name, func(t *testing.T) {
			var present, other place
			s := New(Options{Classes: []string{"quote"}, Present: &present, Others: map[string]core.Downstream{"b": &other}, Holds: func() bool { return x.lease }}, slog.New(slog.DiscardHandler))
			w := &way{trial: trial.Trial{Spec: trial.Spec{ID: "t", Thing: "quote", Values: [2]string{Present, "b"}, Blocks: 2,
				Plan: sequential.Plan{Ratio: 0.5, Guards: []sequential.Guard{{Name: Below}, {Name: Lateness}, {Name: Failures}}}}, Outcome: trial.Outcome{Verdict: x.outcome}}}
			c := &tally{count: trial.NewCounter(&w.trial, "n1", 1)}
			if !x.silent {
				w.tally = c
			}
			if !x.none {
				s.ways.Store(&map[string]*way{"quote": w})
			}
			if x.leaves {
				s.Leave()
			}
			for i := range 200 {
				h, subject := string(rune('a'+i)), uint64(i+1)
				if x.nobody {
					subject = 0
				}
				s.Call(h, 1, "quote", subject, time.Second, false, nil)
				s.Call(h, 2, "quote", subject, time.Second, false, nil) // a repeat is no further unit
				if c.open > 1 {
					t.Fatalf("%d units of one request", c.open)
				}
				s.RequestEnded(h, core.RequestOutcome{Value: 0.5, Served: true, Late: true, Calls: 2, Lost: 1})
			}
			if n := present.calls + other.calls; n != 400 || (present.calls > 0) != x.a || (other.calls > 0) != x.b {
				t.Errorf("%d calls went to the index, %d to b", present.calls, other.calls)
			}
			units, n, sum := int64(0), int64(0), [4]int64{}
			for _, cell := range c.count.Life().Cells {
				for _, arm := range cell.Arms {
					units, n = units+arm.Assigned, n+arm.N
					for i := range sum {
						sum[i] += arm.Sums[i]
					}
				}
			}
			want := int64(0)
			if x.counts {
				want = 200
			}
			if units != want || n != want || c.open != 0 || sum != [4]int64{want * 500, want * 500, 0, want * 1000} || len(s.units) != 0 {
				t.Errorf("%d units assigned, %d judged, %d open, sums %v", units, n, c.open, sum)
			}
			if found := s.Found("quote"); (found == "b") != (x.outcome == sequential.B && x.lease) {
				t.Errorf("calls that are nobody's go to %s", found)
			}
		})
	}
}
