package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"larchscale/internal/config"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/link"
)

// outCmd are the commands of the fleet. Each asks the box whose operator's file is named.
type outCmd struct {
	Status   standCmd    `cmd:"" help:"How the fleet stands, as this box sees it. Exit code 3 if no leader is known."`
	Members  membersCmd  `cmd:"" help:"Who is a member, of which zone, who votes, and who is heard of."`
	Plan     planCmd     `cmd:"" help:"What a plan would do, its order and what it waits for; nothing is changed."`
	Watch    watchCmd    `cmd:"" help:"Show in place how a plan goes on, until it is over. Exit code 1 if it did not end as done."`
	Found    foundCmd    `cmd:"" help:"Begin a fleet with this box, once; the others knock by themselves."`
	TakeOut  takeOutCmd  `cmd:"" help:"Take boxes out for work, one after the other."`
	Pause    pauseCmd    `cmd:"" help:"Grant nothing more of a plan until it is resumed."`
	Resume   resumeCmd   `cmd:"" help:"Go on with a plan."`
	Replan   replanCmd   `cmd:"" help:"Derive a plan's order anew."`
	Cancel   cancelCmd   `cmd:"" help:"End a plan: who drains comes back, who is out stays counted until it is back."`
	Back     backCmd     `cmd:"" help:"This box's work is done, and its process went on."`
	Config   documentCmd `cmd:"" help:"Configuration documents of a fleet with control nodes."`
	Trial    trialCmd    `cmd:"" help:"Trials of two addresses for calls below."`
	WriteOff writeOffCmd `cmd:"" help:"Count a box no longer that will not come back."`
}

// atFleet names the server or control node that is asked.
type atFleet struct {
	Operator string `help:"The box's operator's file." required:"" xor:"at" placeholder:"FILE"`
	Control  string `help:"The control node's file, in a fleet that has such." required:"" xor:"at" placeholder:"FILE"`
	Box      string `help:"The box's name, as its certificate has it; needed off this machine. A control node's is in its file."`
}

// target is who is asked.
type target struct {
	way  link.Options
	name string // as its certificate has it
	addr string
}

// target reads the file that names who is asked.
func (a *atFleet) target() (target, error) {
	if a.Control != "" {
		c, err := config.LoadControl(a.Control)
		if err != nil {
			return target{}, badInput{err}
		}
		return target{c.Link(), c.Name, c.Listen}, nil
	}
	o, err := operator(a.Operator, "")
	if err != nil {
		return target{}, err
	}
	if o.Fleet.Dir == "" {
		err := fmt.Errorf("%s: fleet.dir is not set", a.Operator)
		if o.Control.On() {
			err = fmt.Errorf("%s: a server with control nodes answers for no fleet; name a node's file with --control", a.Operator)
		}
		return target{}, badInput{err}
	}
	return target{o.Ledger.Peers.Options, a.Box, o.Ledger.Peers.Listen}, nil
}

const asksFor = 15 * time.Second

// ask has f talk to the box.
func (a *atFleet) ask(f func(context.Context, *link.Client) error) error {
	t, err := a.target()
	if err != nil {
		return err
	}
	return t.ask(f)
}

func (t *target) ask(f func(context.Context, *link.Client) error) error {
	l, err := link.New(t.way, slog.New(slog.DiscardHandler))
	if err != nil {
		return badInput{err}
	}
	c := l.Dial(t.name, t.addr)
	defer c.Close()
	ctx, stop := context.WithTimeout(context.Background(), asksFor)
	defer stop()
	if err := f(ctx, c); err != nil {
		return fmt.Errorf("the box at %s: %w", t.addr, err)
	}
	return nil
}

// state asks how the fleet stands.
func (a *atFleet) state() (s driver.Status, err error) {
	err = a.ask(func(ctx context.Context, c *link.Client) error {
		s, err = driver.FetchStatus(ctx, c)
		return err
	})
	return s, err
}

// say sends a word and prints what became of it.
func (a *atFleet) say(con *console, word driver.Command, done string) error {
	if err := a.ask(func(ctx context.Context, c *link.Client) error { return driver.SendCommand(ctx, c, word) }); err != nil {
		return err
	}
	return con.print(map[string]any{"done": done}, func(w io.Writer) { fmt.Fprintln(w, done) })
}

func (a *atFleet) entry(con *console, e maintenance.Entry, done string) error {
	return a.say(con, driver.Command{Entry: e}, done)
}

type foundCmd struct {
	atFleet `embed:""`
}

func (c *foundCmd) Run(con *console) error {
	return c.say(con, driver.Command{Found: true}, "the fleet is founded")
}

// ofPlan names a plan.
type ofPlan struct {
	atFleet `embed:""`
	Plan    string `arg:"" help:"Its name."`
}

func (c *ofPlan) word(con *console, kind maintenance.Kind, done string) error {
	return c.entry(con, maintenance.Entry{Kind: kind, Plan: maintenance.Plan{ID: c.Plan}}, "plan "+c.Plan+" "+done)
}

type pauseCmd struct {
	ofPlan `embed:""`
}

func (c *pauseCmd) Run(con *console) error { return c.word(con, maintenance.Pause, "is paused") }

type resumeCmd struct {
	ofPlan `embed:""`
}

func (c *resumeCmd) Run(con *console) error { return c.word(con, maintenance.Resume, "goes on") }

type replanCmd struct {
	ofPlan `embed:""`
}

func (c *replanCmd) Run(con *console) error {
	return c.word(con, maintenance.Replan, "is arranged anew")
}

type cancelCmd struct {
	ofPlan `embed:""`
}

func (c *cancelCmd) Run(con *console) error { return c.word(con, maintenance.Cancel, "is cancelled") }

type backCmd struct {
	atFleet `embed:""`
	Name    string `arg:"" help:"The box that is asked, by its name."`
}

func (c *backCmd) Run(con *console) error {
	return c.entry(con, maintenance.Entry{Kind: maintenance.Step, Box: c.Name, Phase: maintenance.Returning}, "box "+c.Name+" returns")
}

type writeOffCmd struct {
	atFleet `embed:""`
	Name    string `arg:"" help:"The box."`
	By      string `help:"Who says so." required:""`
	Reason  string `help:"Why." required:""`
	ForGood bool   `help:"It is a member no longer, and leaves all plans; a voter is replaced."`
}

func (c *writeOffCmd) Run(con *console) error {
	if c.ForGood {
		return c.entry(con, maintenance.Entry{Kind: maintenance.Leave, Box: c.Name, By: c.By, Why: c.Reason}, "box "+c.Name+" is a member no longer")
	}
	return c.entry(con, maintenance.Entry{Kind: maintenance.WriteOff, Box: c.Name, By: c.By, Why: c.Reason}, "box "+c.Name+" is written off")
}

// which are the boxes of a plan, and its bounds.
type which struct {
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

// plan asks how the fleet stands, and makes the plan of it.
func (c *which) plan() (s driver.Status, p maintenance.Plan, err error) {
	if s, err = c.state(); err != nil {
		return s, p, err
	}
	p = maintenance.Plan{ID: c.Plan, By: c.By, Reason: c.Reason, Boxes: c.Boxes, Most: c.Most, Floor: c.Floor}
	if c.Within > 0 {
		p.Deadline = time.Now().Add(c.Within).UnixMilli()
	}
	for _, b := range s.Boxes {
		if c.All || c.Zone != "" && b.Zone == c.Zone {
			p.Boxes = append(p.Boxes, b.Name)
		}
	}
	if len(p.Boxes) == 0 {
		return s, p, badInput{fmt.Errorf("zone %q has no boxes", c.Zone)}
	}
	slices.Sort(p.Boxes)
	return s, p, nil
}

type takeOutCmd struct {
	which `embed:""`
}

func (c *takeOutCmd) Run(con *console) error {
	s, p, err := c.plan()
	if err != nil {
		return err
	}
	done := "plan " + c.Plan + " takes out " + strings.Join(p.Boxes, ", ")
	if would, err := driver.PredictPlan(s, p, time.Now()); err == nil {
		for _, x := range would.Waits {
			done += "; for now it waits: " + strings.TrimSpace(x.Box+" "+x.Why)
		}
	}
	return c.entry(con, maintenance.Entry{Kind: maintenance.Propose, Plan: p}, done)
}

type membersCmd struct {
	atFleet `embed:""`
}

func (c *membersCmd) Run(con *console) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	return con.whole(s.Leader != "", s.Members, func(w io.Writer) {
		rows := [][]string{{"zone", "box", "id", "at", "part", "heard"}}
		slices.SortStableFunc(s.Members, func(a, b consensus.Member) int {
			return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
		})
		for _, m := range s.Members {
			part, heard := "learner", "-"
			if m.Voter {
				part = "voter"
			}
			if m.Name == s.Leader {
				part = "leader"
			}
			if r, ok := s.Reports[m.Name]; ok {
				heard = ago(r, time.Now())
			}
			rows = append(rows, []string{m.Zone, m.Name, fmt.Sprintf("%x", m.ID), m.Addr, part, heard})
		}
		table(w, rows)
	})
}

// planCmd tries a plan on a copy of the state, with the reports that the box has: those of a voter are whole.
type planCmd struct {
	which `embed:""`
}

func (c *planCmd) Run(con *console) error {
	s, p, err := c.plan()
	if err != nil {
		return err
	}
	would, err := driver.PredictPlan(s, p, time.Now())
	if err != nil {
		return badInput{err}
	}
	return con.print(would, func(w io.Writer) {
		places(w, would.Order)
		for _, x := range would.Waits {
			fmt.Fprintln(w, strings.TrimSpace("would wait: "+x.Box)+": "+x.Why)
		}
		if len(would.Waits) == 0 && len(would.Order) > 0 {
			fmt.Fprintln(w, "the first could go now")
		}
	})
}

type watchCmd struct {
	ofPlan `embed:""`
	Every  time.Duration `default:"1s" help:"How often."`
	For    time.Duration `default:"0" help:"Give up after; 0 = never."`
}

func (c *watchCmd) Run(con *console) error {
	began := time.Now()
	for shown := (screen{}); ; time.Sleep(max(100*time.Millisecond, c.Every)) {
		s, err := c.state()
		if c.For > 0 && time.Since(began) > c.For {
			return errors.Join(fmt.Errorf("plan %s is not over after %s", c.Plan, c.For), err)
		}
		if err != nil { // the box may be the one that is out: its process comes back
			continue
		}
		p := s.State.Plan(c.Plan)
		if p == nil {
			return badInput{fmt.Errorf("plan %q: %w", c.Plan, maintenance.ErrUnknown)}
		}
		if !con.json {
			shown.show(con.out, progress(s, *p))
		}
		if p.State < maintenance.Done {
			continue
		}
		if con.json {
			if err := con.print(p, nil); err != nil {
				return err
			}
		}
		if p.State != maintenance.Done {
			return fmt.Errorf("plan %s is %s: %d of %d boxes are done", p.ID, p.State, len(p.Gone), len(p.Boxes))
		}
		return nil
	}
}

// screen shows lines in the place of the last ones; what is no terminal gets them below, when they changed.
type screen struct{ last []string }

func (s *screen) show(w io.Writer, lines []string) {
	if slices.Equal(s.last, lines) {
		return
	}
	if f, ok := w.(*os.File); ok && len(s.last) > 0 {
		if st, err := f.Stat(); err == nil && st.Mode()&os.ModeCharDevice != 0 {
			fmt.Fprintf(w, "\x1b[%dA\x1b[J", len(s.last))
		}
	}
	s.last = lines
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// progress is how a plan stands, a line each: the boxes that have their turn, what the next waits for.
func progress(s driver.Status, p maintenance.Plan) []string {
	out := []string{fmt.Sprintf("plan %s: %s, %d of %d done", p.ID, p.State, len(p.Gone), len(p.Boxes))}
	for _, b := range s.Boxes {
		if b.Plan == p.ID {
			out = append(out, fmt.Sprintf("  %s is %s", b.Name, b.Phase))
		}
	}
	if len(p.Order) > 0 {
		out = append(out, "  next is "+p.Order[0].Box)
	}
	for _, x := range s.Waits {
		if x.Plan == p.ID {
			out = append(out, strings.TrimSpace("  waits "+x.Box)+": "+x.Why)
		}
	}
	return out
}

type standCmd struct {
	atFleet `embed:""`
}

func (c *standCmd) Run(con *console) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.Control == "" {
		return con.whole(s.Leader != "", s, func(w io.Writer) { fleetStatus(w, s, time.Now()) })
	}
	sessions, err := c.sessions()
	if err != nil {
		return err
	}
	both := controlStatus{Fleet: s, Sessions: sessions}
	return con.whole(s.Leader != "", both, func(w io.Writer) {
		fleetStatus(w, s, time.Now())
		sessionStatus(w, sessions)
	})
}

// ago tells how long ago a box was heard of.
func ago(r maintenance.Report, now time.Time) string {
	return now.Sub(time.UnixMilli(r.Heard)).Round(100 * time.Millisecond).String()
}

// places writes an order.
func places(w io.Writer, order []maintenance.OrderItem) {
	for i, x := range order {
		fmt.Fprintf(w, "  %d. %s: %s\n", i+1, x.Box, x.Why)
	}
}

// fleetStatus writes how a fleet stands, by zone.
func fleetStatus(w io.Writer, s driver.Status, now time.Time) {
	leader := "no leader is known"
	if s.Leader != "" {
		leader = "led by " + s.Leader
	}
	fmt.Fprintf(w, "as %s sees it: %s, term %d, entry %d, digest %x\n", s.Box, leader, s.Term, s.Index, s.Digest)
	slices.SortStableFunc(s.Boxes, func(a, b maintenance.Server) int { return strings.Compare(a.Zone, b.Zone) })
	rows := [][]string{{"zone", "box", "phase", "plan", "load", "can", "open", "heard", "note"}}
	for _, b := range s.Boxes {
		row := []string{b.Zone, b.Name, b.Phase.String(), name(b.Plan), "-", "-", "-", "-", b.WrittenOff}
		if r, ok := s.Reports[b.Name]; ok {
			row[4], row[5], row[6] = fmt.Sprintf("%.0f", r.Load), fmt.Sprintf("%.0f", r.Capacity), fmt.Sprint(r.Open)
			row[7] = ago(r, now)
			if !r.Warm {
				row[8] = strings.TrimSpace("cold " + row[8])
			}
		}
		rows = append(rows, row)
	}
	table(w, rows)
	for _, p := range s.Plans {
		fmt.Fprintf(w, "plan %s by %s (%s): %s, %d of %d done, at most %d missing, floor %.2f\n", p.ID, p.By, p.Reason, p.State, len(p.Gone), len(p.Boxes), p.Most, p.Floor)
		places(w, p.Order)
	}
	for _, x := range s.Waits {
		fmt.Fprintln(w, strings.TrimSpace("waits: plan "+x.Plan+" "+x.Box)+": "+x.Why)
	}
}
