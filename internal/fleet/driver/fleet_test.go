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
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/scenario/certs"
	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

var (
	script  = flag.String("script", "", "a file with the script to play in the place of those drawn")
	scripts = flag.Uint64("scripts", 5, "how many fault scripts TestAPlanThroughAScriptOfFaults plays")
	program string
)

// The real program is built once for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(standin.WithProgram(&program, m.Run))
}

// fleetTest is a fleet with staff that look after it.
type fleetTest struct {
	*testing.T
	*standin.Fleet
	mu     sync.Mutex
	notes  []string
	began  time.Time
	finish func() *standin.Watch
}

func (f *fleetTest) note(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, fmt.Sprintf("%6.2f %s", time.Since(f.began).Seconds(), s))
}

// fatal ends the test with all that happened and what each box says.
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
	f.Fatalf("%s\n%s", text, strings.Join(f.notes, "\n"))
}

func (f *fleetTest) must(err error) {
	f.Helper()
	if err != nil {
		f.fatal("%v", err)
	}
}

// ask has an operator at a box ask for a plan, until it is taken.
func (f *fleetTest) ask(at string, p takeout.Plan) error {
	p.By, p.Reason = "staff", "new disks"
	slices.Sort(p.Boxes)
	return standin.Until("plan "+p.ID+" is taken", 20*time.Second, func() bool {
		return f.Member(at).Propose(context.Background(), p) == nil
	})
}

// over waits for a plan's end, and holds it to what it is to be.
func (f *fleetTest) over(id string) {
	f.Helper()
	p, err := f.Over(id, 60*time.Second)
	f.must(err)
	gone := slices.Clone(p.Gone)
	if slices.Sort(gone); p.State != takeout.Done || !slices.Equal(gone, p.Boxes) {
		f.fatal("plan %s is %s, gone %v of %v", id, p.State, p.Gone, p.Boxes)
	}
}

// holder waits for a box that drains or is out for a plan, as the log of a box that lives has it.
func (f *fleetTest) holder(plan string, phases ...takeout.Phase) (name string) {
	f.Helper()
	f.must(standin.Until("a box of "+plan+" has its turn", 30*time.Second, func() bool {
		for _, m := range f.Members {
			s, err := m.State()
			k := slices.IndexFunc(s.Boxes, func(b takeout.Box) bool { return b.Plan == plan && slices.Contains(phases, b.Phase) })
			if err == nil && k >= 0 {
				name = s.Boxes[k].Name
				return true
			}
		}
		return false
	}))
	return name
}

// newFleet starts seven real processes in three zones, with requests flowing and staff about.
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

// end holds what staff saw to the bound.
func (f *fleetTest) end(most int) {
	f.Helper()
	w := f.finish()
	if w.Most > most || len(w.Faults) > 0 {
		f.fatal("%d were away at once with a bound of %d; %v", w.Most, most, w.Faults)
	}
}

// A plan holds while the traffic is 1.6 times what it was, as the rest would not keep the floor, and goes on by itself.
func TestAFleetHoldsWhileTrafficJumps(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 300, "")
	f.Call(5)
	use := func(share float64) {
		for _, m := range f.Members {
			m.Site.SetUse(share)
		}
	}
	headroom := func() (share float64) { // without one of the boxes
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
	use(0.5)
	f.must(standin.Until("the boxes know what they carry", 30*time.Second, func() bool { h := headroom(); return h > 0.36 && h < 0.46 }))
	f.must(f.ask("n3", takeout.Plan{ID: "disks", Boxes: f.Names(), Most: 1, Floor: 0.3}))
	f.holder("disks", takeout.Granted, takeout.Draining, takeout.Out)
	use(0.8)
	f.must(standin.Until("the plan holds", 30*time.Second, func() bool {
		l := f.Leader()
		if l == nil {
			return false
		}
		s, _ := l.State()
		return slices.ContainsFunc(s.Waits, func(w takeout.Wait) bool { return strings.Contains(w.Why, "under the floor of 0.30") })
	}))
	worked := 0
	for _, m := range f.Members {
		worked += m.Works()
	}
	if time.Sleep(2 * time.Second); worked == 7 {
		f.fatal("all have gone before the jump was known")
	}
	use(0.5)
	f.over("disks")
	f.end(1)
}

// A box of a fleet is replaced process by process: the new one serves while the old one drains, takes the fleet's part
// once that has ended, and is in again. One whose files are damaged serves without a part, and says so.
func TestABoxOfAFleetIsReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 300, "")
	m := f.Members[1]
	was, err := m.State()
	f.must(err)
	next, err := m.Twin(filepath.Join(t.TempDir(), "next"), m.Site)
	f.must(err)
	f.must(next.Start())
	defer next.Kill()
	select {
	case <-m.Term():
	case <-time.After(5 * time.Second):
		f.fatal("the old process does not end")
	}
	f.must(standin.Until("the new process is in", 15*time.Second, func() bool {
		s, err := m.State()
		b := s.State.Box(m.Name)
		return err == nil && s.Incarnation > was.Incarnation && b != nil && b.Incarnation == s.Incarnation && b.Phase == takeout.In
	}))

	broken := f.Members[2]
	broken.Kill()
	list, err := filepath.Glob(filepath.Join(broken.FleetDir(), "*"))
	f.must(err)
	for _, name := range list {
		if b, err := os.ReadFile(name); err == nil && len(b) > 100 {
			b[len(b)/2] ^= 0xff
			f.must(os.WriteFile(name, b, 0o600))
		}
	}
	f.must(broken.Start())
	f.must(standin.Until("it says so", 5*time.Second, func() bool { return strings.Contains(broken.Log(), "do=open") }))
	l, err := standin.DialLine(broken.Listen)
	f.must(err)
	defer l.Close()
	if seen := l.Do(standin.Request{Handle: "00000000000000c1", Stand: standin.Stands[0], Class: standin.Classes[0], Body: "q", Budget: 5 * time.Second}); seen.End != "served" {
		f.fatal("a box without a part: %+v", seen)
	}
	f.end(1)
}

// One plan after the other, each with a mishap in its middle; never more than one box is away by the fleet's word.
func TestAFleetThroughMishaps(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	_, _, ca := certs.New(t, dir, "ca", nil)
	for _, name := range []string{"ops", "n1", "n2", "n3", "n4", "n5", "n6", "n7"} {
		certs.New(t, dir, name, ca)
	}
	f := newFleet(t, 300, dir)
	few := []string{"n2", "n6"}
	for _, x := range []struct {
		name string
		do   func(plan string)
	}{
		{"the leader dies between a grant and its hearing", func(plan string) {
			f.holder(plan, takeout.Granted, takeout.Draining, takeout.Out)
			l := f.Leader()
			l.Kill()
			f.must(standin.Until("another leads", 4*time.Second, func() bool { n := f.Leader(); return n != nil && n != l }))
			f.must(l.Start())
		}},
		{"the one that drains dies", func(plan string) {
			m := f.Member(f.holder(plan, takeout.Granted, takeout.Draining))
			m.Kill()
			time.Sleep(2 * time.Second) // longer than silence
			f.must(m.Start())
		}},
		{"the one that drains is stopped", func(plan string) {
			m := f.Member(f.holder(plan, takeout.Granted, takeout.Draining))
			m.Freeze(true)
			time.Sleep(3 * time.Second)
			m.Freeze(false)
		}},
		{"nothing from the one that drains is heard", func(plan string) {
			n := f.holder(plan, takeout.Granted, takeout.Draining)
			f.Net.Set(faultnet.Fault{Drop: true}, func(from, _ string) bool { return from == n })
			time.Sleep(3 * time.Second)
			f.Net.Heal()
		}},
		{"three are cut off from four", func(plan string) {
			f.holder(plan, takeout.Granted, takeout.Draining, takeout.Out)
			f.must(faultnet.Script{{Do: "part", Who: []string{"n1", "n4", "n5"}}}.Play(t.Context(), f.Net, nil, func(faultnet.Step) {}))
			time.Sleep(3 * time.Second)
			f.Net.Heal()
		}},
		{"one comes back without its disk", func(plan string) {
			f.holder(plan, takeout.Granted, takeout.Draining, takeout.Out)
			m := f.Member("n7")
			f.must(m.Wipe())
			f.must(m.Start())
		}},
		{"the disk of one is full", func(plan string) {
			f.holder(plan, takeout.Granted, takeout.Draining, takeout.Out)
			m := f.Member("n4")
			f.must(m.FullDisk())
			f.must(standin.Until("it takes no part any longer", 20*time.Second, func() bool {
				f.Member("n3").Say(t.Context(), driver.Word{Entry: takeout.Entry{Kind: takeout.Pause, Plan: takeout.Plan{ID: "none"}}}) // it is written all the same
				return strings.Contains(m.Log(), "do=keep")
			}))
			l, err := standin.DialLine(m.Listen)
			f.must(err)
			defer l.Close()
			if seen := l.Do(standin.Request{Handle: "00000000000000d1", Stand: standin.Stands[0], Class: standin.Classes[0], Body: "q", Budget: 5 * time.Second}); seen.End != "served" {
				f.fatal("a box with a full disk: %+v", seen)
			}
			m.Kill()
			f.must(m.Start())
		}},
		{"a certificate is replaced", func(plan string) {
			n := f.holder(plan, takeout.Granted, takeout.Draining, takeout.Out)
			certs.New(t, dir, n, ca)
			certs.New(t, dir, "n4", ca)
			f.Net.Set(faultnet.Fault{Refuse: true}, func(_, to string) bool { return to == n || to == "n4" })
			time.Sleep(300 * time.Millisecond)
			f.Net.Heal()
		}},
		{"all start anew", func(plan string) {
			f.holder(plan, takeout.Granted, takeout.Draining, takeout.Out)
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
		f.must(f.ask("n3", takeout.Plan{ID: plan, Boxes: few, Most: 1}))
		x.do(plan)
		f.over(plan)
		f.must(f.Settle(30*time.Second, 5))
		t.Logf("%s: %.1f s", x.name, time.Since(began).Seconds())
	}
	f.end(1)
}

// Seven are taken out while requests flow: each once, no request that one had read is lost, and two operators' plans
// that share boxes go one after the other.
func TestAFleetIsTakenOutWholeWithNothingLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 400, "")
	f.Call(4)
	asked := make(chan error, 2)
	for i, p := range []takeout.Plan{{ID: "disks", Boxes: f.Names(), Most: 1}, {ID: "cables", Boxes: []string{"n1", "n2"}, Most: 1}} {
		go func() { asked <- f.ask([]string{"n1", "n6"}[i], p) }()
	}
	f.must(errors.Join(<-asked, <-asked))
	f.over("disks")
	f.over("cables")
	f.end(1)
	if c := f.Calls.Stop(); c.Unheard > 0 || c.Served < 1000 {
		t.Errorf("%d of %d requests unheard, %d served", c.Unheard, c.Sent, c.Served)
	}
	for _, m := range f.Members {
		want := 1
		if m.Name == "n1" || m.Name == "n2" {
			want = 2
		}
		if n := m.Works(); n != want {
			t.Errorf("%s was worked on %d times, %d wanted", m.Name, n, want)
		}
	}
}

// A plan goes through a script of faults, and ends once all is mended. A seed that fails prints its script, which
// -script FILE plays again.
func TestAPlanThroughAScriptOfFaults(t *testing.T) {
	for seed := range *scripts {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 300, "")
			f.must(f.ask("n1", takeout.Plan{ID: "disks", Boxes: f.Names(), Most: 2}))
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
			f.must(s.Play(t.Context(), f.Net, hands{f}, func(x faultnet.Step) { f.note(x.String()) }))
			f.Net.Heal()
			f.note("all is mended")
			for _, m := range f.Members {
				m.Freeze(false)
				f.must(m.Start())
			}
			f.over("disks")
			f.end(2)
			for _, m := range f.Members {
				if n := m.Works(); n > 1 {
					f.fatal("%s was worked on %d times", m.Name, n)
				}
			}
		})
	}
}

// hands are a script's on the processes.
type hands struct{ f *fleetTest }

func (h hands) Kill(n string)        { h.f.Member(n).Kill() }
func (h hands) Wipe(n string)        { h.f.must(h.f.Member(n).Wipe()) }
func (h hands) Stop(n string)        { h.f.Member(n).Freeze(true) }
func (h hands) Go(n string)          { h.f.Member(n).Freeze(false) }
func (h hands) Start(n string) error { return h.f.Member(n).Start() }
