package trials_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/trial"
	"larchscale/internal/fleet/trials"
	"larchscale/internal/sequential"
	"larchscale/internal/standin"
)

var program string

func TestMain(m *testing.M) { os.Exit(standin.WithProgram(&program, m.Run)) }

// world is five real boxes under callers with subjects, with two further places for calls below.
type world struct {
	*testing.T
	*standin.Fleet
	good, bad *standin.Below
	read      map[string]map[trial.Outcome]bool // every outcome that was ever read, by trial
}

func (w *world) wait(what string, most time.Duration, is func() bool) {
	w.Helper()
	if err := standin.Until(what, most, is); err != nil {
		text := ""
		for _, m := range w.Members {
			text += fmt.Sprintf("\n%s %v\n%s", m.Name, m.Figures(), m.Log()[max(0, len(m.Log())-1500):])
		}
		w.Fatalf("%v%s", err, text)
	}
}

// start has an operator at a box start a trial between two addresses.
func (w *world) start(m *standin.Member, id, a, b string, lost int) error {
	s := trial.Spec{ID: id, By: "ops", Reason: "which is better", Split: trial.Subject, Thing: standin.Classes[0], Values: [2]string{a, b}, Salt: 7,
		BlockMs: trial.MinBlockMs, Blocks: 20, MostLost: lost, Plan: sequential.Plan{Alpha: 0.05, Futility: 0.05, Harm: 0.01, Void: 0.001, Base: 0.8, Effect: 0.3, Margin: 0.15, Ratio: 0.5, Least: 30,
			Guards: []sequential.Guard{{Name: trials.Failures, Base: 0.9, Tolerance: 0.05}, {Name: trials.Below, Base: 0.9, Tolerance: 0.05}}}}
	data, err := json.Marshal(trials.Word{Start: &s})
	if err != nil {
		return err
	}
	return m.Say(context.Background(), driver.Command{Part: trials.Part, Data: data})
}

// over tells that a box has a trial's outcome, and notes it.
func (w *world) over(m *standin.Member, id string) bool {
	var s trials.Status
	if m.Stands(trials.Part, &s) != nil {
		return false
	}
	t := s.Trial(id)
	if t == nil || t.Open() {
		return false
	}
	if w.read[id] == nil {
		w.read[id] = map[trial.Outcome]bool{}
	}
	w.read[id][t.Outcome] = true
	return true
}

func (w *world) all(list []*standin.Member, is func(*standin.Member) bool) func() bool {
	return func() bool {
		for _, m := range list {
			if !is(m) {
				return false
			}
		}
		return true
	}
}

func (w *world) any(id string) func() bool {
	return func() bool {
		for _, m := range w.Members {
			if w.over(m, id) {
				return true
			}
		}
		return false
	}
}

// one gives the one outcome of a trial that was ever read.
func (w *world) one(id string, want sequential.Verdict) {
	w.Helper()
	if len(w.read[id]) != 1 {
		w.Fatalf("trial %s has outcomes %v", id, w.read[id])
	}
	for o := range w.read[id] {
		if w.Log(id, o); o.Verdict != want {
			w.Fatalf("trial %s ended as %v: %s; %v was to be", id, o.Verdict, o.Why, want)
		}
	}
}

// quiet fails if a place gets a call from now on, once what is on its way is there.
func (w *world) quiet(loser *standin.Below) {
	w.Helper()
	time.Sleep(100 * time.Millisecond) // calls made before
	was := loser.Calls()
	time.Sleep(time.Second)
	if n := loser.Calls() - was; n != 0 {
		w.Errorf("%d calls went to the loser after every box had the outcome", n)
	}
}

// A trial over real processes stops by itself: the better address wins though the leader dies as it decides, one that
// fails hard is harm, and after an outcome no call goes to the loser.
func TestATrialOverRealProcessesStopsByItself(t *testing.T) {
	good, err := standin.NewBelow(0)
	if err != nil {
		t.Fatal(err)
	}
	defer good.Close()
	bad, err := standin.NewBelow(0.7)
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	f, err := standin.NewFleet(program, t.TempDir(), standin.FleetOptions{Boxes: 5, Zones: 3, Voters: 5, DrainMs: 300, SilentMs: 1500, TakeOver: true,
		TrialCalls: []string{good.Addr, bad.Addr}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	w := &world{t, f, good, bad, map[string]map[trial.Outcome]bool{}}
	leased := func(m *standin.Member) bool { return m.Figures()["fleet.lease_ms"] > 0 }
	w.wait("all have leases", 20*time.Second, w.all(f.Members, leased))
	f.Call(12)
	w.wait("the fleet is ready", 10*time.Second, func() bool { return w.start(f.Members[1], "better", bad.Addr, good.Addr, 0) == nil })
	counts := func(m *standin.Member) bool {
		return m.Figures()["fleet.trials"] == 1 && m.Figures()["fleet.trial_b"] > 5
	}
	w.wait("units are counted", 10*time.Second, w.all(f.Members, counts))
	if err := w.start(f.Members[2], "other", "index", "127.0.0.1:9", 0); err == nil || !strings.Contains(err.Error(), `"127.0.0.1:9" of arm B`) || strings.Contains(err.Error(), "\n") {
		t.Errorf("an address that no box knows: %v", err)
	}
	if code, err := f.Members[4].Stop(); code != 0 || err != nil { // in order: it is none that was lost
		t.Fatal(code, err)
	}
	if err := f.Members[4].Box.Start(); err != nil {
		t.Fatal(err)
	}
	w.wait("a box has the outcome", 40*time.Second, w.any("better"))
	leader := f.Leader()
	leader.Kill()
	var rest []*standin.Member
	for _, m := range f.Members {
		if m != leader {
			rest = append(rest, m)
		}
	}
	w.wait("the outcome is everywhere", 10*time.Second, w.all(rest, func(m *standin.Member) bool { return w.over(m, "better") && leased(m) }))
	w.quiet(bad)
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	w.wait("the leader that died has it too", 20*time.Second, w.all(f.Members, func(m *standin.Member) bool { return w.over(m, "better") && leased(m) }))
	w.one("better", sequential.B)
	if err := w.start(rest[0], "worse", good.Addr, bad.Addr, 1); err != nil {
		t.Fatal(err)
	}
	w.wait("units are counted", 10*time.Second, w.all(f.Members, counts))
	next := f.Leader()
	next.Kill() // what it heard is lost, and nothing is decided
	rest = nil
	for _, m := range f.Members {
		if m != next {
			rest = append(rest, m)
		}
	}
	w.wait("harm is stopped by the next leader", 40*time.Second, w.all(rest, func(m *standin.Member) bool { return w.over(m, "worse") }))
	w.quiet(bad)
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	w.wait("harm is stopped everywhere", 20*time.Second, w.all(f.Members, func(m *standin.Member) bool { return w.over(m, "worse") }))
	w.one("worse", sequential.Harm)
}
