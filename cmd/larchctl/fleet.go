package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/link"
)

// outCmd are the commands of the fleet. Each asks the box whose operator's file is named.
type outCmd struct {
	Status   standCmd    `cmd:"" help:"How the fleet stands, as this box sees it. Exit code 3 if no leader is known."`
	Found    foundCmd    `cmd:"" help:"Begin a fleet with this box, once; the others knock by themselves."`
	TakeOut  takeOutCmd  `cmd:"" help:"Take boxes out for work, one after the other."`
	Pause    pauseCmd    `cmd:"" help:"Grant nothing more of a plan until it is resumed."`
	Resume   resumeCmd   `cmd:"" help:"Go on with a plan."`
	Replan   replanCmd   `cmd:"" help:"Derive a plan's order anew."`
	Cancel   cancelCmd   `cmd:"" help:"End a plan: who drains comes back, who is out stays counted until it is back."`
	Back     backCmd     `cmd:"" help:"This box's work is done, and its process went on."`
	WriteOff writeOffCmd `cmd:"" help:"Count a box no longer that will not come back."`
}

// atFleet names the box that is asked.
type atFleet struct {
	Operator string `help:"The box's operator's file." required:"" placeholder:"FILE"`
	Box      string `help:"The box's name, as its certificate has it; needed off this machine."`
}

const asksFor = 15 * time.Second

// ask has f talk to the box.
func (a *atFleet) ask(f func(context.Context, *link.Client) error) error {
	o, err := operator(a.Operator, "")
	if err != nil {
		return err
	}
	if o.Fleet.Dir == "" {
		return badInput{fmt.Errorf("%s: fleet.dir is not set", a.Operator)}
	}
	l, err := link.New(o.Ledger.Peers.Options, slog.New(slog.DiscardHandler))
	if err != nil {
		return badInput{err}
	}
	c := l.Dial(a.Box, o.Ledger.Peers.Listen)
	defer c.Close()
	ctx, stop := context.WithTimeout(context.Background(), asksFor)
	defer stop()
	if err := f(ctx, c); err != nil {
		return fmt.Errorf("the box at %s: %w", o.Ledger.Peers.Listen, err)
	}
	return nil
}

// state asks how the fleet stands.
func (a *atFleet) state() (s driver.Status, err error) {
	err = a.ask(func(ctx context.Context, c *link.Client) error {
		s, err = driver.State(ctx, c)
		return err
	})
	return s, err
}

// say sends a word and prints what became of it.
func (a *atFleet) say(con *console, word driver.Word, done string) error {
	if err := a.ask(func(ctx context.Context, c *link.Client) error { return driver.Say(ctx, c, word) }); err != nil {
		return err
	}
	return con.print(map[string]any{"done": done}, func(w io.Writer) { fmt.Fprintln(w, done) })
}

func (a *atFleet) entry(con *console, e takeout.Entry, done string) error {
	return a.say(con, driver.Word{Entry: e}, done)
}

type foundCmd struct {
	atFleet `embed:""`
}

func (c *foundCmd) Run(con *console) error {
	return c.say(con, driver.Word{Found: true}, "the fleet is founded")
}

// ofPlan names a plan.
type ofPlan struct {
	atFleet `embed:""`
	Plan    string `arg:"" help:"Its name."`
}

func (c *ofPlan) word(con *console, kind takeout.Kind, done string) error {
	return c.entry(con, takeout.Entry{Kind: kind, Plan: takeout.Plan{ID: c.Plan}}, "plan "+c.Plan+" "+done)
}

type pauseCmd struct {
	ofPlan `embed:""`
}

func (c *pauseCmd) Run(con *console) error { return c.word(con, takeout.Pause, "is paused") }

type resumeCmd struct {
	ofPlan `embed:""`
}

func (c *resumeCmd) Run(con *console) error { return c.word(con, takeout.Resume, "goes on") }

type replanCmd struct {
	ofPlan `embed:""`
}

func (c *replanCmd) Run(con *console) error {
	return c.word(con, takeout.Replan, "is arranged anew")
}

type cancelCmd struct {
	ofPlan `embed:""`
}

func (c *cancelCmd) Run(con *console) error { return c.word(con, takeout.Cancel, "is cancelled") }

type backCmd struct {
	atFleet `embed:""`
	Name    string `arg:"" help:"The box that is asked, by its name."`
}

func (c *backCmd) Run(con *console) error {
	return c.entry(con, takeout.Entry{Kind: takeout.Step, Box: c.Name, Phase: takeout.Returning}, "box "+c.Name+" returns")
}

type writeOffCmd struct {
	atFleet `embed:""`
	Name    string `arg:"" help:"The box."`
	By      string `help:"Who says so." required:""`
	Reason  string `help:"Why." required:""`
}

func (c *writeOffCmd) Run(con *console) error {
	return c.entry(con, takeout.Entry{Kind: takeout.WriteOff, Box: c.Name, By: c.By, Why: c.Reason}, "box "+c.Name+" is written off")
}

type takeOutCmd struct {
	atFleet `embed:""`
	Plan    string        `arg:"" help:"A name for the plan; given again with the same words it has no second effect."`
	Boxes   []string      `help:"Boxes by name." xor:"which" required:""`
	Zone    string        `help:"All boxes of a zone." xor:"which" required:""`
	All     bool          `help:"All boxes." xor:"which" required:""`
	Most    int           `help:"At most so many boxes may be missing, whatever for." default:"1"`
	Floor   float64       `help:"Headroom that the warm rest keeps, 0 to under 1." default:"0.2"`
	Within  time.Duration `help:"Grant nothing later than this from now; 0 = no end." default:"0"`
	By      string        `help:"Who asks." required:""`
	Reason  string        `help:"What for." required:""`
}

func (c *takeOutCmd) Run(con *console) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	p := takeout.Plan{ID: c.Plan, By: c.By, Reason: c.Reason, Boxes: c.Boxes, Most: c.Most, Floor: c.Floor}
	if c.Within > 0 {
		p.Deadline = time.Now().Add(c.Within).UnixMilli()
	}
	for _, b := range s.Boxes {
		if c.All || c.Zone != "" && b.Zone == c.Zone {
			p.Boxes = append(p.Boxes, b.Name)
		}
	}
	if len(p.Boxes) == 0 {
		return badInput{fmt.Errorf("zone %q has no boxes", c.Zone)}
	}
	slices.Sort(p.Boxes)
	return c.entry(con, takeout.Entry{Kind: takeout.Propose, Plan: p}, "plan "+c.Plan+" takes out "+strings.Join(p.Boxes, ", "))
}

type standCmd struct {
	atFleet `embed:""`
}

func (c *standCmd) Run(con *console) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	return con.whole(s.Leader != "", s, func(w io.Writer) { fleetStatus(w, s, time.Now()) })
}

// fleetStatus writes how a fleet stands, by zone.
func fleetStatus(w io.Writer, s driver.Status, now time.Time) {
	leader := "no leader is known"
	if s.Leader != "" {
		leader = "led by " + s.Leader
	}
	fmt.Fprintf(w, "as %s sees it: %s, term %d, entry %d, digest %x\n", s.Box, leader, s.Term, s.Index, s.Digest)
	slices.SortStableFunc(s.Boxes, func(a, b takeout.Box) int { return strings.Compare(a.Zone, b.Zone) })
	rows := [][]string{{"zone", "box", "phase", "plan", "load", "can", "open", "heard", "note"}}
	for _, b := range s.Boxes {
		row := []string{b.Zone, b.Name, b.Phase.String(), name(b.Plan), "-", "-", "-", "-", b.WrittenOff}
		if r, ok := s.Reports[b.Name]; ok {
			row[4], row[5], row[6] = fmt.Sprintf("%.0f", r.Load), fmt.Sprintf("%.0f", r.Capacity), fmt.Sprint(r.Open)
			row[7] = now.Sub(time.UnixMilli(r.Heard)).Round(100 * time.Millisecond).String()
			if !r.Warm {
				row[8] = strings.TrimSpace("cold " + row[8])
			}
		}
		rows = append(rows, row)
	}
	table(w, rows)
	for _, p := range s.Plans {
		fmt.Fprintf(w, "plan %s by %s (%s): %s, %d of %d done, at most %d missing, floor %.2f\n", p.ID, p.By, p.Reason, p.State, len(p.Gone), len(p.Boxes), p.Most, p.Floor)
		for i, x := range p.Order {
			fmt.Fprintf(w, "  %d. %s: %s\n", i+1, x.Box, x.Why)
		}
	}
	for _, x := range s.Waits {
		fmt.Fprintln(w, strings.TrimSpace("waits: plan "+x.Plan+" "+x.Box)+": "+x.Why)
	}
}
