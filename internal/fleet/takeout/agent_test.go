package takeout

import (
	"strings"
	"testing"
)

// What a box does about itself follows from the log as it is, whatever it did before: a stop of 30 s, a new process
// or a plan that is over meanwhile change it at the next look.
func TestAgent(t *testing.T) {
	const now = 1_000_000
	calm := Local{Incarnation: 1, Warm: true, DrainFor: 2000}
	for _, k := range []struct {
		name  string
		phase Phase
		set   func(*State, *Local)
		hold  bool
		say   Phase
		speak bool
		why   string
	}{
		{name: "in", phase: In},
		{name: "granted", phase: Granted, say: Draining, speak: true, why: "plan p"},
		{name: "granted, but to an earlier process", phase: Granted, set: func(_ *State, l *Local) { l.Incarnation = 2 }, say: Returning, speak: true, why: "new"},
		{name: "another process speaks for it", phase: Granted, set: func(s *State, _ *Local) { s.Box("a1").Incarnation = 9 }, why: "there are two"},
		{name: "drains since a moment ago", phase: Draining, set: func(_ *State, l *Local) { l.Held = now - 1999 }, hold: true, why: "have to hear"},
		{name: "drains, not held yet", phase: Draining, hold: true, why: "have to hear"},
		{name: "drains with work open", phase: Draining, set: func(_ *State, l *Local) { l.Held, l.Open = now-9000, 3 }, hold: true, why: "3 requests"},
		{name: "drains with results that are wanted", phase: Draining, set: func(_ *State, l *Local) { l.Held, l.KeyedUntil = now-9000, now+50 }, hold: true, why: "50 ms"},
		{name: "drained", phase: Draining, set: func(_ *State, l *Local) { l.Held, l.KeyedUntil = now-2000, now }, hold: true, say: Out, speak: true, why: "nothing is open"},
		{name: "drains for a plan that is over", phase: Draining, set: func(s *State, l *Local) { l.Held = now - 9000; s.Plan("p").State = Cancelled }, say: In, speak: true, why: "over"},
		{name: "out", phase: Out, hold: true, why: "may be touched"},
		{name: "returned cold", phase: Returning, set: func(_ *State, l *Local) { l.Warm = false }, why: "cold"},
		{name: "returned warm", phase: Returning, say: In, speak: true, why: "warm"},
		{name: "unknown", phase: In, set: func(s *State, _ *Local) { s.Boxes = s.Boxes[1:] }, why: "does not know"},
	} {
		s := fleet(6, 3)
		propose(s, "p", []string{"a1"}, 1)
		b := s.Box("a1")
		if b.Phase = k.phase; k.phase != In {
			b.Plan = "p"
		}
		l := calm
		if k.set != nil {
			k.set(s, &l)
		}
		got := Agent(s, "a1", l, now)
		if got.Hold != k.hold || got.Speak != k.speak || k.speak && got.Say != k.say || !strings.Contains(got.Why, k.why) {
			t.Errorf("%s: %+v", k.name, got)
			continue
		}
		if got.Speak { // and the log takes its word
			if err := s.Apply(s.Index+1, &Entry{Kind: Step, Box: "a1", Incarnation: l.Incarnation, Phase: got.Say}); err != nil {
				t.Errorf("%s: %v", k.name, err)
			}
		}
	}
}
