package replycache_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

const (
	bodies  = 20
	keepMs  = 1000
	callers = 10
)

var program string

func TestMain(m *testing.M) { os.Exit(standin.WithProgram(&program, m.Run)) }

type fleetTest struct {
	*testing.T
	*standin.Fleet
}

// begin starts five boxes whose runs all make calls below, and has callers send to all of them.
func begin(t *testing.T, kept string) *fleetTest {
	t.Helper()
	f, err := standin.NewFleet(program, t.TempDir(), standin.FleetOptions{Boxes: 5, Zones: 3, Voters: 3, DrainMs: 300, SilentMs: 1500,
		Work: 5 * time.Millisecond, TakeOver: true, Makes: []standin.Make{{Operator: kept}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	x := &fleetTest{t, f}
	if err := standin.Until("each slice has homes", 2*time.Minute, func() bool {
		for _, m := range x.Members {
			if s := m.Figures(); s["fleet.lives"] != 5 || s["fleet.homes"] == 0 || s["fleet.bare"] != 0 {
				return false
			}
		}
		return true
	}); err != nil {
		x.fatal("%v", err)
	}
	for _, m := range x.Members {
		m.Site.SetAsks(bodies, 30*time.Millisecond)
	}
	x.Call(callers)
	return x
}

func (x *fleetTest) fatal(format string, a ...any) {
	x.Helper()
	text := fmt.Sprintf(format, a...)
	for _, m := range x.Members {
		text += fmt.Sprintf("\n%s %v\n%s", m.Name, m.Figures(), m.Log()[max(0, len(m.Log())-1500):])
	}
	x.Fatal(text)
}

// tally is what was counted over the fleet.
type tally struct {
	runs, below, wrong int
	standin.Tally
}

func (x *fleetTest) tally() tally {
	t := tally{Tally: x.Calls.Tally()}
	for _, m := range x.Members {
		for _, n := range m.Site.Runs() {
			t.runs += n
		}
		calls, wrong := m.Site.Asked()
		t.wrong += wrong
		for _, n := range calls {
			t.below += n
		}
	}
	return t
}

// over tells what was counted in a time.
func (x *fleetTest) over(d time.Duration) tally {
	a := x.tally()
	time.Sleep(d)
	b := x.tally()
	return tally{b.runs - a.runs, b.below - a.below, b.wrong - a.wrong,
		standin.Tally{Sent: b.Sent - a.Sent, Served: b.Served - a.Served, Late: b.Late - a.Late, Unheard: b.Unheard - a.Unheard}}
}

const on = "[kept]\nbytes = 1000000\nclasses = { \"fare-quote\" = 1000 }\n"

// With popular calls the fleet makes each of them once in the time that its reply is kept; a home that is late or lost
// costs calls below.
func TestPopularCallsAreMadeOnceInTheFleet(t *testing.T) {
	t.Parallel()
	x := begin(t, on)
	time.Sleep(time.Second)
	const watch = 3 * time.Second
	least := bodies * int(watch/time.Millisecond) / keepMs
	a := x.over(watch)
	t.Logf("at rest: %+v, at least %d", a, least)
	if a.below > least*14/10 || a.runs < 20*least || a.wrong > 0 || a.Served < a.Sent-callers {
		x.fatal("%+v, at least %d", a, least)
	}
	late := x.Members[1]
	x.Net.Set(faultnet.Fault{Delay: 700 * time.Millisecond}, func(from, to string) bool { return from == late.Name || to == late.Name })
	b := x.over(watch)
	t.Logf("%s is late: %+v", late.Name, b)
	if b.wrong > 0 || b.Late > 0 || b.Served < b.Sent-callers || b.runs < a.runs/8 {
		x.fatal("%+v", b)
	}
	x.Net.Heal()
	time.Sleep(time.Second)
	killed := x.Members[2]
	before := x.tally()
	killed.Kill()
	time.Sleep(watch)
	after := x.tally()
	lost := after.Unheard - before.Unheard
	t.Logf("%s is killed: %d runs, %d below, %d unheard", killed.Name, after.runs-before.runs, after.below-before.below, lost)
	if after.wrong > 0 || lost > 20 || after.below-before.below > 3*least || after.Served-before.Served < after.Sent-before.Sent-lost-callers {
		x.fatal("%+v, %+v", before, after)
	}
}

// Off, each run makes its call. The runs are counted once the callers have ended: no run is between its start and its
// call, however slow the machine is.
func TestWithoutItEachRunMakesItsCall(t *testing.T) {
	t.Parallel()
	x := begin(t, "")
	const leastCalls = 400
	if err := standin.Until("callers have made their runs", 2*time.Minute, func() bool { return x.tally().below >= leastCalls }); err != nil {
		x.fatal("%v", err)
	}
	x.Calls.Stop()
	all := x.tally()
	t.Logf("%+v", all)
	if d := all.runs - all.below; d < -2*callers || d > 2*callers || all.wrong > 0 {
		x.fatal("%+v", all)
	}
	for _, m := range x.Members {
		if _, has := m.Figures()["kept.hits"]; has {
			t.Error("it is on")
		}
	}
}

// A box that is in no fleet keeps replies for itself.
func TestABoxAlone(t *testing.T) {
	t.Parallel()
	site, err := standin.NewSite(5 * time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	site.SetAsks(1, 30*time.Millisecond)
	b, err := standin.NewBox(program, t.TempDir(), "n1", site, on)
	if err == nil {
		err = b.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	c := standin.NewChurn(b.Listen, 4)
	time.Sleep(2500 * time.Millisecond)
	got := c.Stop()
	calls, wrong := site.Asked()
	t.Logf("%+v, %v", got, calls)
	if n := calls["fleet-match 0"]; len(calls) != 1 || n < 1 || n > 3 || wrong > 0 || got.Served < 50 || got.Served < got.Sent-4 {
		t.Errorf("%+v, %v, %d wrong\n%s", got, calls, wrong, b.Log())
	}
}
