package standin_test

import (
	"testing"
	"time"

	"larchscale/internal/standin"
)

// Boxes without a store of keys that all share promise a keyed write at most once at one box alone: callers that
// repeat elsewhere what was in hand at a box that is killed have it run twice, and the audit sees each. Those that keep
// to the box have an end that is told, and nothing ran twice.
func TestAnAuditSeesWhatRanTwiceAndWhatWasLost(t *testing.T) {
	for _, anywhere := range []bool{true, false} {
		f, err := standin.NewFleet(program, t.TempDir(), standin.FleetOptions{Boxes: 3, Zones: 3, Voters: 3, DrainMs: 300, SilentMs: 1500, Work: 200 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Close)
		a := standin.NewAudit(f, 1, standin.Repeats{Within: 3 * time.Second, Pause: 50 * time.Millisecond, Anywhere: anywhere})
		next := f.Balance()
		if err := standin.Until("all doors say yes", 10*time.Second, func() bool {
			seen := map[string]bool{}
			for range 3 {
				if m := next(); m != nil {
					seen[m.Name] = true
				}
			}
			return len(seen) == 3
		}); err != nil {
			t.Fatal(err)
		}
		a.Strike(f.Members[0], 6)
		if anywhere {
			a.Stop() // before it is back
		}
		if err := f.Members[0].Start(); err != nil {
			t.Fatal(err)
		}
		a.Stop()
		got := a.Account()
		if got.Asked != 6 || got.Struck != 6 {
			t.Fatalf("anywhere %v: %+v", anywhere, got)
		}
		if anywhere && (got.Served != 6 || len(got.Twice) != 6 || got.Survived > 0 || got.Twice[0].Runs[0].Box == got.Twice[0].Runs[1].Box) {
			t.Errorf("repeats anywhere: %+v", got)
		}
		if failed := got.Failed["failed, ran"] + got.Failed["refused, ran"] + got.Failed["lost, ran"]; !anywhere && (failed != 6 || got.Lost != 6 || len(got.Twice) > 0) {
			t.Errorf("repeats at the box alone: %+v", got)
		}
		if down := f.Members[0].Downs(); len(down) != 1 || down[0].To.Before(down[0].From) {
			t.Errorf("one kill and one start: %+v", down)
		}
	}
}
