package desk_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"larchscale/internal/standin"
)

var program string

func TestMain(m *testing.M) { os.Exit(standin.WithProgram(&program, m.Run)) }

// fleetTest is a fleet of real processes whose keyed work is audited.
type fleetTest struct {
	*testing.T
	*standin.Fleet
	audit *standin.Audit
}

// begin starts boxes in three zones, and waits until all have a life and each slice two homes.
func begin(t *testing.T, boxes int, seed uint64, other ...func(*standin.FleetOptions)) *fleetTest {
	t.Helper()
	o := standin.FleetOptions{Boxes: boxes, Zones: 3, Voters: 5, DrainMs: 300, SilentMs: 1500, Work: 100 * time.Millisecond, Window: 3 * time.Second, TakeOver: true}
	for _, set := range other {
		set(&o)
	}
	f, err := standin.NewFleet(program, t.TempDir(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	x := &fleetTest{T: t, Fleet: f}
	x.back()
	x.audit = standin.NewAudit(f, seed, standin.Repeats{Within: max(8*time.Second, o.GiveUp-2*time.Second), Pause: 50 * time.Millisecond, Anywhere: true,
		Patience: 3 * time.Second})
	return x
}

// all tells that so many live and that nothing is amiss.
func (x *fleetTest) all(lives float64) bool {
	for _, m := range x.Members {
		f := m.Figures()
		if f["fleet.lives"] != lives || f["fleet.lease_ms"] == 0 || f["fleet.homes"] == 0 || f["fleet.bare"] != 0 || f["keys.shut"] != 0 {
			return false
		}
	}
	return true
}

func (x *fleetTest) until(what string, most time.Duration, is func() bool) {
	x.Helper()
	if err := standin.Until(what, most, is); err != nil {
		x.fatal("%v", err)
	}
}

func (x *fleetTest) fatal(format string, a ...any) {
	x.Helper()
	text := fmt.Sprintf(format, a...)
	for _, m := range x.Members {
		text += fmt.Sprintf("\n%s %v\n%s", m.Name, m.Figures(), m.Log()[max(0, len(m.Log())-2500):])
	}
	x.Fatal(text)
}

// back waits until all live, and each slice has two homes that know all of it.
func (x *fleetTest) back() {
	x.Helper()
	x.until("all live, and each slice has two homes", 3*time.Minute, func() bool { return x.all(float64(len(x.Members))) })
}

// over ends the callers and holds what they saw against the pools: nothing ran twice, and what was served is the first
// result. What failed is told by cause.
func (x *fleetTest) over() standin.Account {
	x.Helper()
	x.audit.Stop()
	a := x.audit.Account()
	twice := a.Twice
	a.Twice = nil
	x.Logf("%+v, twice %d", a, len(twice))
	if len(twice) > 0 || a.Wrong > 0 || a.Served == 0 {
		text := ""
		for _, w := range twice {
			text += fmt.Sprintf("%+v\n", w)
		}
		x.fatal("%+v, twice:\n%s", a, text)
	}
	return a
}

// strike has a box hit with keyed work in hand, and says later whether enough of it came to its result.
func (x *fleetTest) strike(what string, m *standin.Member, n int, least float64, blow func()) (check func()) {
	began := time.Now()
	ended := x.audit.StrikeBy(m, n, blow)
	return func() {
		x.Helper()
		struck, survived := ended()
		x.Logf("%s: %d of %d in hand came to their results, %.1f s", what, survived, struck, time.Since(began).Seconds())
		if struck < n/2 || float64(survived) < least*float64(struck) {
			x.fatal("%s: %d of %d in hand came to their results", what, survived, struck)
		}
	}
}
