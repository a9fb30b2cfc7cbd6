package driver_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/scenario/certs"
	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

var (
	script  = flag.String("script", "", "a file with the script to run instead of the random ones")
	scripts = flag.Uint64("scripts", 5, "how many fault scripts TestAPlanThroughAScriptOfFaults runs")
	program string
)

// The program is built once for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(standin.WithProgram(&program, m.Run))
}

// fleetTest is a fleet under test, with simulated operators who maintain the servers that are out.
type fleetTest struct {
	*testing.T
	*standin.Fleet
	mu     sync.Mutex
	events []string
	began  time.Time
	finish func() *standin.Watch
}

func (f *fleetTest) note(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%6.2f %s", time.Since(f.began).Seconds(), s))
}

// fatal fails the test with the events so far and the status of each server.
func (f *fleetTest) fatal(format string, a ...any) {
	f.Helper()
	text := fmt.Sprintf(format, a...)
	for _, m := range f.Members {
		s, err := m.State()
		text += fmt.Sprintf("\n%s: leader %q term %d index %d, %v, waits %v, boxes %v, plans %v", m.Name, s.Leader, s.Term, s.Index, err, s.Waits, s.Boxes, s.Plans)
		text += "\n" + m.Log()[max(0, len(m.Log())-600):]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Fatalf("%s\n%s", text, strings.Join(f.events, "\n"))
}

func (f *fleetTest) must(err error) {
	f.Helper()
	if err != nil {
		f.fatal("%v", err)
	}
}

// ask proposes a plan at a server until it is accepted.
func (f *fleetTest) ask(at string, p maintenance.Plan) error {
	p.By, p.Reason = "staff", "new disks"
	slices.Sort(p.Boxes)
	return standin.Until("plan "+p.ID+" is accepted", 20*time.Second, func() bool {
		return f.Member(at).Propose(context.Background(), p) == nil
	})
}

// waitForPlan waits for the end of a plan, and checks that it took each of its servers out.
func (f *fleetTest) waitForPlan(id string) {
	f.Helper()
	p, err := f.Over(id, 60*time.Second)
	f.must(err)
	completed := slices.Clone(p.Gone)
	if slices.Sort(completed); p.State != maintenance.Done || !slices.Equal(completed, p.Boxes) {
		f.fatal("plan %s is %s, completed for %v of %v", id, p.State, p.Gone, p.Boxes)
	}
}

// waitForPhase waits for a server of a plan to be in one of the phases, according to the log of any server that
// answers.
func (f *fleetTest) waitForPhase(plan string, phases ...maintenance.Phase) (name string) {
	f.Helper()
	f.must(standin.Until("a server of plan "+plan+" is in the phase", 30*time.Second, func() bool {
		for _, m := range f.Members {
			s, err := m.State()
			k := slices.IndexFunc(s.Boxes, func(b maintenance.Server) bool { return b.Plan == plan && slices.Contains(phases, b.Phase) })
			if err == nil && k >= 0 {
				name = s.Boxes[k].Name
				return true
			}
		}
		return false
	}))
	return name
}

// newFleet starts seven processes in three zones, with requests flowing and operators at work.
func newFleet(t *testing.T, drainMs int, certDir string) *fleetTest {
	t.Helper()
	f := &fleetTest{T: t, began: time.Now()}
	var err error
	f.Fleet, err = standin.NewFleet(program, t.TempDir(), standin.FleetOptions{Boxes: 7, Zones: 3, Voters: 5, DrainMs: drainMs, SilentMs: 1500,
		Work: time.Millisecond, Certs: certDir})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.must(f.Settle(30*time.Second, 5))
	f.finish = f.Staff(100*time.Millisecond, f.note)
	return f
}

// end stops the operators, and checks that they never saw more servers unavailable than allowed.
func (f *fleetTest) end(maxUnavailable int) {
	f.Helper()
	w := f.finish()
	if w.Most > maxUnavailable || len(w.Faults) > 0 {
		f.fatal("%d servers were unavailable at once, at most %d may be; %v", w.Most, maxUnavailable, w.Faults)
	}
}

// A plan waits while the load is 1.6 times the normal one, as the remaining servers would not keep the plan's floor
// of free capacity, and continues once the load falls.
func TestPlanWaitsWhileLoadIsHigh(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 300, "")
	f.Call(5)
	setLoad := func(share float64) {
		for _, m := range f.Members {
			m.Site.SetUse(share)
		}
	}
	headroom := func() (share float64) { // with one server less
		if l := f.Leader(); l != nil {
			s, _ := l.State()
			load, can := 0.0, 0.0
			for _, r := range s.Reports {
				load, can = load+r.Load, can+r.Capacity
			}
			share = 1 - load/can*7/6
		}
		return share
	}
	setLoad(0.5)
	f.must(standin.Until("the servers know their capacity", 30*time.Second, func() bool { h := headroom(); return h > 0.36 && h < 0.46 }))
	f.must(f.ask("n3", maintenance.Plan{ID: "disks", Boxes: f.Names(), Most: 1, Floor: 0.3}))
	f.waitForPhase("disks", maintenance.Granted, maintenance.Draining, maintenance.Drained)
	setLoad(0.8)
	f.must(standin.Until("the plan waits", 30*time.Second, func() bool {
		l := f.Leader()
		if l == nil {
			return false
		}
		s, _ := l.State()
		return slices.ContainsFunc(s.Waits, func(w maintenance.Wait) bool { return strings.Contains(w.Why, "under the floor of 0.30") })
	}))
	maintained := 0
	for _, m := range f.Members {
		maintained += m.Works()
	}
	if time.Sleep(2 * time.Second); maintained == 7 {
		f.fatal("the plan completed in spite of the load")
	}
	setLoad(0.5)
	f.waitForPlan("disks")
	f.end(1)
}

// A process of a server is replaced: the new one serves while the old one drains, opens the fleet's log once that has
// ended, and is in service again. A server whose files are damaged logs that, and serves without a membership.
func TestServerOfFleetIsReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 300, "")
	m := f.Members[1]
	before, err := m.State()
	f.must(err)
	next, err := m.Twin(filepath.Join(t.TempDir(), "next"), m.Site)
	f.must(err)
	f.must(next.Start())
	defer next.Kill()
	select {
	case <-m.Term():
	case <-time.After(5 * time.Second):
		f.fatal("the old process has not ended")
	}
	f.must(standin.Until("the new process is in service", 15*time.Second, func() bool {
		s, err := m.State()
		b := s.State.Server(m.Name)
		return err == nil && s.Incarnation > before.Incarnation && b != nil && b.Incarnation == s.Incarnation && b.Phase == maintenance.InService
	}))

	damaged := f.Members[2]
	damaged.Kill()
	list, err := filepath.Glob(filepath.Join(damaged.FleetDir(), "*"))
	f.must(err)
	for _, name := range list {
		if b, err := os.ReadFile(name); err == nil && len(b) > 100 {
			b[len(b)/2] ^= 0xff
			f.must(os.WriteFile(name, b, 0o600))
		}
	}
	f.must(damaged.Start())
	f.must(standin.Until("the damage is logged", 5*time.Second, func() bool { return strings.Contains(damaged.Log(), "do=open") }))
	l, err := standin.DialLine(damaged.Listen)
	f.must(err)
	defer l.Close()
	if seen := l.Do(standin.Request{Handle: "00000000000000c1", Stand: standin.Stands[0], Class: standin.Classes[0], Body: "q", Budget: 5 * time.Second}); seen.End != "served" {
		f.fatal("a server without a membership: %+v", seen)
	}
	f.end(1)
}

// Plans complete one after the other, each with another failure while it runs. According to the log never more than
// one server is unavailable.
func TestPlansCompleteInSpiteOfFailures(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	_, _, ca := certs.New(t, dir, "ca", nil)
	for _, name := range []string{"ops", "n1", "n2", "n3", "n4", "n5", "n6", "n7"} {
		certs.New(t, dir, name, ca)
	}
	f := newFleet(t, 300, dir)
	planned := []string{"n2", "n6"}
	for _, x := range []struct {
		name string
		do   func(plan string)
	}{
		{"the leader dies after a grant", func(plan string) {
			f.waitForPhase(plan, maintenance.Granted, maintenance.Draining, maintenance.Drained)
			l := f.Leader()
			l.Kill()
			f.must(standin.Until("another leads", 4*time.Second, func() bool { n := f.Leader(); return n != nil && n != l }))
			f.must(l.Start())
		}},
		{"the draining server dies", func(plan string) {
			m := f.Member(f.waitForPhase(plan, maintenance.Granted, maintenance.Draining))
			m.Kill()
			time.Sleep(2 * time.Second) // longer than silent_ms
			f.must(m.Start())
		}},
		{"the draining server is frozen", func(plan string) {
			m := f.Member(f.waitForPhase(plan, maintenance.Granted, maintenance.Draining))
			m.Freeze(true)
			time.Sleep(3 * time.Second)
			m.Freeze(false)
		}},
		{"all messages from the draining server are lost", func(plan string) {
			n := f.waitForPhase(plan, maintenance.Granted, maintenance.Draining)
			f.Net.Set(faultnet.Fault{Drop: true}, func(from, _ string) bool { return from == n })
			time.Sleep(3 * time.Second)
			f.Net.Heal()
		}},
		{"three servers are partitioned from four", func(plan string) {
			f.waitForPhase(plan, maintenance.Granted, maintenance.Draining, maintenance.Drained)
			f.must(faultnet.Script{{Do: "part", Who: []string{"n1", "n4", "n5"}}}.Play(t.Context(), f.Net, nil, func(faultnet.Step) {}))
			time.Sleep(3 * time.Second)
			f.Net.Heal()
		}},
		{"a server comes back without its disk", func(plan string) {
			f.waitForPhase(plan, maintenance.Granted, maintenance.Draining, maintenance.Drained)
			m := f.Member("n7")
			f.must(m.Wipe())
			f.must(m.Start())
		}},
		{"the disk of a server is full", func(plan string) {
			f.waitForPhase(plan, maintenance.Granted, maintenance.Draining, maintenance.Drained)
			m := f.Member("n4")
			f.must(m.FullDisk())
			f.must(standin.Until("its membership ends", 20*time.Second, func() bool {
				// The entry is written to the log even though it is refused.
				f.Member("n3").Say(t.Context(), driver.Command{Entry: maintenance.Entry{Kind: maintenance.Pause, Plan: maintenance.Plan{ID: "none"}}})
				return strings.Contains(m.Log(), "do=keep")
			}))
			l, err := standin.DialLine(m.Listen)
			f.must(err)
			defer l.Close()
			if seen := l.Do(standin.Request{Handle: "00000000000000d1", Stand: standin.Stands[0], Class: standin.Classes[0], Body: "q", Budget: 5 * time.Second}); seen.End != "served" {
				f.fatal("a server with a full disk: %+v", seen)
			}
			m.Kill()
			f.must(m.Start())
		}},
		{"a certificate is replaced", func(plan string) {
			n := f.waitForPhase(plan, maintenance.Granted, maintenance.Draining, maintenance.Drained)
			certs.New(t, dir, n, ca)
			certs.New(t, dir, "n4", ca)
			f.Net.Set(faultnet.Fault{Refuse: true}, func(_, to string) bool { return to == n || to == "n4" })
			time.Sleep(300 * time.Millisecond)
			f.Net.Heal()
		}},
		{"all servers restart", func(plan string) {
			f.waitForPhase(plan, maintenance.Granted, maintenance.Draining, maintenance.Drained)
			for _, m := range f.Members {
				m.Kill()
			}
			for _, m := range f.Members {
				f.must(m.Start())
			}
		}},
	} {
		began := time.Now()
		f.note(x.name)
		plan := strings.ReplaceAll(x.name, " ", "-")
		f.must(f.ask("n3", maintenance.Plan{ID: plan, Boxes: planned, Most: 1}))
		x.do(plan)
		f.waitForPlan(plan)
		f.must(f.Settle(30*time.Second, 5))
		t.Logf("%s: %.1f s", x.name, time.Since(began).Seconds())
	}
	f.end(1)
}

// All seven servers are taken out once each while requests flow. No request that a server has read goes unanswered,
// and two operators' plans with servers in common run one after the other.
func TestFleetIsTakenOutWithoutLosingRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 400, "")
	f.Call(4)
	asked := make(chan error, 2)
	for i, p := range []maintenance.Plan{{ID: "disks", Boxes: f.Names(), Most: 1}, {ID: "cables", Boxes: []string{"n1", "n2"}, Most: 1}} {
		go func() { asked <- f.ask([]string{"n1", "n6"}[i], p) }()
	}
	f.must(errors.Join(<-asked, <-asked))
	f.waitForPlan("disks")
	f.waitForPlan("cables")
	f.end(1)
	if c := f.Calls.Stop(); c.Unheard > 0 || c.Served < 1000 {
		t.Errorf("%d of %d requests unanswered, %d served", c.Unheard, c.Sent, c.Served)
	}
	for _, m := range f.Members {
		want := 1
		if m.Name == "n1" || m.Name == "n2" {
			want = 2
		}
		if n := m.Works(); n != want {
			t.Errorf("%s was under maintenance %d times, want %d", m.Name, n, want)
		}
	}
}

// A plan runs through a script of faults, and completes once all faults have ended. A seed that fails prints its
// script, which -script FILE repeats.
func TestAPlanThroughAScriptOfFaults(t *testing.T) {
	for seed := range *scripts {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 300, "")
			f.must(f.ask("n1", maintenance.Plan{ID: "disks", Boxes: f.Names(), Most: 2}))
			s := faultnet.Draw(seed+1, f.Names(), 40)
			if *script != "" {
				text, err := os.ReadFile(*script)
				f.must(err)
				s, err = faultnet.Parse(string(text))
				f.must(err)
			}
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("the script:\n%s", s)
				}
			})
			f.must(s.Play(t.Context(), f.Net, processControl{f}, func(x faultnet.Step) { f.note(x.String()) }))
			f.Net.Heal()
			f.note("all faults have ended")
			for _, m := range f.Members {
				m.Freeze(false)
				f.must(m.Start())
			}
			f.waitForPlan("disks")
			f.end(2)
			for _, m := range f.Members {
				if n := m.Works(); n > 1 {
					f.fatal("%s was under maintenance %d times", m.Name, n)
				}
			}
		})
	}
}

// processControl applies the steps of a script to the processes.
type processControl struct{ f *fleetTest }

func (c processControl) Kill(n string)        { c.f.Member(n).Kill() }
func (c processControl) Wipe(n string)        { c.f.must(c.f.Member(n).Wipe()) }
func (c processControl) Stop(n string)        { c.f.Member(n).Freeze(true) }
func (c processControl) Go(n string)          { c.f.Member(n).Freeze(false) }
func (c processControl) Start(n string) error { return c.f.Member(n).Start() }
