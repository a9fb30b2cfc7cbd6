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
func begin(t *testing.T, boxes int, seed uint64) *fleetTest {
	t.Helper()
	f, err := standin.NewFleet(program, t.TempDir(), standin.FleetOptions{Boxes: boxes, Zones: 3, Voters: 5, DrainMs: 300, SilentMs: 1500,
		Work: 200 * time.Millisecond, Window: 6 * time.Second, TakeOver: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	x := &fleetTest{T: t, Fleet: f}
	x.until("all live, and each slice has two homes", 30*time.Second, func() bool { return x.all(float64(boxes)) })
	x.audit = standin.NewAudit(f, seed, standin.Repeats{Within: 8 * time.Second, Pause: 50 * time.Millisecond, Anywhere: true})
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

// Work in hand at a box that is killed comes to its end at its worker pool, once; its callers have the result at other
// boxes.
func TestWorkInHandOutlivesItsBox(t *testing.T) {
	x := begin(t, 5, 1)
	x.audit.Call(4)
	time.Sleep(time.Second)
	x.audit.Strike(x.Members[1], 20)
	time.Sleep(6 * time.Second)
	x.audit.Stop()
	a := x.audit.Account()
	t.Logf("%+v", a)
	if len(a.Twice) > 0 || a.Wrong > 0 || a.Struck < 10 || a.Survived < a.Struck*8/10 {
		x.fatal("%+v", a)
	}
}
