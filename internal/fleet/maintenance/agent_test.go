package maintenance

import (
	"strings"
	"testing"
)

// What a server does about itself depends only on the log as it is now, whatever the server did before: after a pause
// of 30 s, a restart or the end of the plan, the next look derives the right action.
func TestAgent(t *testing.T) {
	const now = 1_000_000
	calm := LocalStatus{Incarnation: 1, Warm: true, MinDrain: 2000}
	for _, tc := range []struct {
		name      string
		phase     Phase
		change    func(*State, *LocalStatus)
		hold      bool
		wantPhase Phase
		proposes  bool
		why       string
	}{
		{name: "in", phase: InService},
		{name: "granted", phase: Granted, wantPhase: Draining, proposes: true, why: "plan p"},
		{name: "granted, but to an earlier process", phase: Granted, change: func(_ *State, l *LocalStatus) { l.Incarnation = 2 }, wantPhase: Returning, proposes: true, why: "new"},
		{name: "another process reported for the server", phase: Granted, change: func(s *State, _ *LocalStatus) { s.Server("a1").Incarnation = 9 }, why: "two processes"},
		{name: "drains for less than the drain time", phase: Draining, change: func(_ *State, l *LocalStatus) { l.DrainingSince = now - 1999 }, hold: true, why: "may not have noticed"},
		{name: "drains, health check still passes", phase: Draining, hold: true, why: "may not have noticed"},
		{name: "drains with open requests", phase: Draining, change: func(_ *State, l *LocalStatus) { l.DrainingSince, l.Open = now-9000, 3 }, hold: true, why: "3 requests"},
		{name: "drains with keyed results that may be asked for", phase: Draining, change: func(_ *State, l *LocalStatus) { l.DrainingSince, l.KeyedUntil = now-9000, now+50 }, hold: true, why: "50 ms"},
		{name: "drained", phase: Draining, change: func(_ *State, l *LocalStatus) { l.DrainingSince, l.KeyedUntil = now-2000, now }, hold: true, wantPhase: Drained, proposes: true, why: "no request is open"},
		{name: "drains for a plan that is over", phase: Draining, change: func(s *State, l *LocalStatus) { l.DrainingSince = now - 9000; s.Plan("p").State = Cancelled }, wantPhase: InService, proposes: true, why: "over"},
		{name: "out", phase: Drained, hold: true, why: "may be serviced"},
		{name: "returned cold", phase: Returning, change: func(_ *State, l *LocalStatus) { l.Warm = false }, why: "cold"},
		{name: "returned warm", phase: Returning, wantPhase: InService, proposes: true, why: "warm"},
		{name: "unknown", phase: InService, change: func(s *State, _ *LocalStatus) { s.Boxes = s.Boxes[1:] }, why: "does not know"},
	} {
		s := newFleet(6, 3)
		propose(s, "p", []string{"a1"}, 1)
		b := s.Server("a1")
		if b.Phase = tc.phase; tc.phase != InService {
			b.Plan = "p"
		}
		l := calm
		if tc.change != nil {
			tc.change(s, &l)
		}
		got := NextAction(s, "a1", l, now)
		if got.Hold != tc.hold || got.Speak != tc.proposes || tc.proposes && got.Say != tc.wantPhase || !strings.Contains(got.Why, tc.why) {
			t.Errorf("%s: %+v", tc.name, got)
			continue
		}
		if got.Speak { // and the log accepts the proposal
			if err := s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: l.Incarnation, Phase: got.Say}); err != nil {
				t.Errorf("%s: %v", tc.name, err)
			}
		}
	}
}
