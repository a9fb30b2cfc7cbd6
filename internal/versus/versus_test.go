package versus

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

var (
	games   = flag.Int("games", 2, "how many seeds the fleets play at most")
	first   = flag.Uint64("first", 1, "the first seed")
	program string
)

// The present program is built once for all tests. Every process has ended when they have.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(standin.WithProgram(&program, func() int {
		code := m.Run()
		if err := goleak.Find(); err != nil && code == 0 {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return code
	}))
}

// earlier builds the pinned program, once for all tests. Without its history the test is skipped, but for CI.
var earlier = func() func(t *testing.T) string {
	build := sync.OnceValues(func() (string, error) { return Build(Pinned(), filepath.Dir(program)) })
	return func(t *testing.T) string {
		t.Helper()
		old, err := build()
		switch {
		case skips(err, os.Getenv("CI")):
			t.Skipf("not played: %v", err)
		case err != nil:
			t.Fatal(err)
		}
		return old
	}
}()

func skips(err error, ci string) bool { return errors.Is(err, ErrNoHistory) && ci != "true" }

// A revision that the history has not is told as such; CI does not pass over it.
func TestARevisionThatIsNotThere(t *testing.T) {
	_, err := Build(strings.Repeat("0", 40), t.TempDir())
	if !skips(err, "") || skips(err, "true") || skips(errors.New("another"), "") {
		t.Errorf("%v: skipped %v, in CI %v", err, skips(err, ""), skips(err, "true"))
	}
}

func homes(t *testing.T) func() string {
	dir, n := t.TempDir(), atomic.Int64{}
	return func() string { return filepath.Join(dir, fmt.Sprint(n.Add(1))) }
}

// fleetFill is how many entries of 4 KB a log has, so that it is made small once at least.
const fleetFill = 400

// Nine processes in three zones go from the pinned program to the present one and back, box by box, under load, while
// leaders are killed and ways are cut.
func TestARollingUpgradeAndBack(t *testing.T) {
	old := earlier(t)
	t.Parallel()
	f := Default(program, homes(t))
	f.Boxes, f.Voters, f.Script, f.Planned, f.Fill = 9, 5, Troubles(2), 2, fleetFill
	f.Check = func(_ uint64, p *Played) error {
		for _, m := range p.Members {
			why, err := Stand(m)
			if err != nil {
				return err
			}
			if why != "" {
				t.Logf("%s serves without a part: %s", m.Name, why)
			}
		}
		if !slices.ContainsFunc(p.Members, func(m *standin.Member) bool { return len(m.Downs()) > 0 && m.Name == p.led }) {
			return errors.New("no leader was killed")
		}
		if x := p.Unruly(); len(x) > 0 {
			return fmt.Errorf("%d requests unheard where no process was killed: %+v", len(x), x[0])
		}
		if a := p.Audit.Account(); len(a.Twice) > 0 || a.Wrong > 0 {
			return fmt.Errorf("%d results of other writes; run twice: %+v", a.Wrong, a.Twice)
		}
		return newer(t, p, old)
	}
	for seed := *first; seed < *first+1+uint64(*games/20); seed++ {
		began := time.Now()
		out, err := f.Game("upgrade").Play(seed, Upgrade(standin.Make{Program: old}, standin.Make{Program: program}))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %+v, in %.1f s", seed, out, time.Since(began).Seconds())
	}
}

// newer holds a fleet that has gone back to what it was to the rest of the promise: a box of the present program that has
// lost its disk begins with a snapshot from one of the pinned program, and each program refuses a log of one to come in
// one line, and serves on.
func newer(t *testing.T, p *Played, old string) error {
	m := p.Member("n7")
	if err := errors.Join(m.Wipe(), m.Become(standin.Make{Program: program}, 0), m.Start(), p.Settle(settle, 5)); err != nil {
		return err
	}
	m.Kill()
	index, err := Snapshot(m)
	if err := errors.Join(err, m.Start()); err != nil {
		return err
	}
	if index < fleetFill { // its own would be of less: what it has written since is small
		return fmt.Errorf("%s lost its disk, and its newest snapshot is of entry %d", m.Name, index)
	}
	t.Logf("%s began with a snapshot as of entry %d", m.Name, index)
	for i, name := range []string{"n8", "n9"} {
		m := p.Member(name)
		m.Kill()
		if err := errors.Join(Later(m), m.Become(standin.Make{Program: []string{old, program}[i]}, 0), m.Start()); err != nil {
			return err
		}
		var why string
		if err := standin.Until(name+" says that it has no part", 5*time.Second, func() (ok bool) {
			var err error
			why, err = Stand(m)
			return err == nil && why != ""
		}); err != nil {
			return fmt.Errorf("%w: %s", err, m.Log())
		}
		if !strings.Contains(why, "newer") {
			return fmt.Errorf("%s refuses a log of a program to come so: %s", name, why)
		}
	}
	return nil
}

// compare plays two makes alone and both in one fleet on the same scripts, holds them all to the rules, and tells who
// won where.
func compare(t *testing.T, f Field, name string, games int, names [2]string, a, b standin.Make) *Table {
	t.Helper()
	stop, err := Sequential(Rule{Full: 0.02, Alpha: 0.05, Least: 0.1, Seeds: 20})
	if err != nil {
		t.Fatal(err)
	}
	table, err := Set(f.Game(name), *first, games, stop,
		Contender[Match]{names[0], Alone(a, 0)}, Contender[Match]{names[1], Alone(b, 0)}, Contender[Match]{"mixed", Mixed(a, b)})
	t.Log(table)
	if err != nil {
		t.Fatal(err)
	}
	for i, n := range table.Names {
		if twice := table.Sum(i, "twice"); twice > 0 {
			t.Errorf("%s: %.0f keyed writes ran twice", n, twice)
		}
		if mean := table.Mean(i, ""); mean < 0.9 {
			t.Errorf("%s keeps %.3f of the worth asked for", n, mean)
		}
	}
	return table
}

// The same scripts are played by a fleet of the present program, one of the pinned one, and one of both.
func TestBothVersions(t *testing.T) {
	old := earlier(t)
	t.Parallel()
	table := compare(t, Default(program, homes(t)), "versions", *games, [2]string{"present", "pinned"}, standin.Make{Program: program}, standin.Make{Program: old})
	for i, n := range table.Names {
		t.Logf("%s: %.0f of %.0f keyed writes in hand at a box that was killed survived it", n, table.Sum(i, Survived), table.Sum(i, InHand))
	}
}

// killed has one box after the other die with work in hand, and come back once it was lost.
func killed(_ uint64, names []string) (out faultnet.Script) {
	for _, n := range names[1:3] {
		out = append(out, faultnet.Step{Pause: time.Second, Do: "kill", Who: []string{n}}, faultnet.Step{Pause: 5 * time.Second, Do: "start", Who: []string{n}})
	}
	return out
}

// Keyed writes that a box has in hand as it is killed come to one end in the present program, whoever is asked. In the
// pinned one their callers find it nowhere, or it runs again.
func TestKeyedWorkOutlivesItsBoxInThePresentProgramAlone(t *testing.T) {
	old := earlier(t)
	t.Parallel()
	f := Default(program, homes(t))
	f.Store, f.Script, f.Planned, f.AtOnce, f.Struck = false, killed, 1, 1, 10
	f.Repeats.Within = 8 * time.Second
	table, err := Set(f.Game("work in hand"), *first, max(1, *games/4), Fixed(200),
		Contender[Match]{"present", Alone(standin.Make{TakeOver: true}, 0)}, Contender[Match]{"pinned", Alone(standin.Make{Program: old}, 0)})
	t.Log(table)
	if err != nil {
		t.Fatal(err)
	}
	if n := table.Sum(0, "twice"); n > 0 {
		t.Errorf("%.0f keyed writes ran twice in the present program", n)
	}
	if hand, survived := table.Sum(0, InHand), table.Sum(0, Survived); hand == 0 || survived < hand/2 ||
		survived*table.Sum(1, InHand) <= table.Sum(1, Survived)*hand {
		t.Errorf("%.0f of %.0f survived, of the pinned program %.0f of %.0f", survived, hand, table.Sum(1, Survived), table.Sum(1, InHand))
	}
}

// One program under two settings of its operator: for how long a box may be unheard of before it counts as missing.
func TestOneProgramUnderTwoSettings(t *testing.T) {
	t.Parallel()
	var seen sync.Map
	f := Default(program, homes(t))
	f.Check = func(_ uint64, p *Played) error {
		for _, m := range p.Members {
			s, err := m.State()
			if err != nil {
				return err
			}
			seen.Store(s.SilentMs, true)
		}
		return nil
	}
	compare(t, f, "settings", (*games+1)/2, [2]string{"silent 1 s", "silent 4 s"}, standin.Make{SilentMs: 1000}, standin.Make{SilentMs: 4000})
	for _, ms := range []int{1000, 4000} {
		if _, ok := seen.Load(ms); !ok {
			t.Errorf("no box ran with silent_ms = %d", ms)
		}
	}
}
