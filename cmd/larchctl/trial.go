package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"

	"larchscale/internal/fleet/driver"
	split "larchscale/internal/fleet/trial"
	"larchscale/internal/fleet/trials"
	"larchscale/internal/link"
	"larchscale/internal/sequential"
)

// trialCmd are the commands of trials.
type trialCmd struct {
	Start  trialStartCmd  `cmd:"" help:"Split the calls of a class between the present address and another, until one is shown to be better."`
	Status trialStatusCmd `cmd:"" help:"How trials stand, as this box sees it."`
	Stop   trialStopCmd   `cmd:"" help:"End a trial without a winner: all calls go to A."`
}

type trialStartCmd struct {
	atFleet  `embed:""`
	Trial    string  `arg:"" help:"A name for the trial; given again with the same words it has no second effect."`
	Class    string  `help:"The class of requests whose calls are split, by subject." required:""`
	A        string  `help:"Where calls go now: 'index', or an address of fleet.trial_calls." default:"index"`
	B        string  `help:"The other address, one of fleet.trial_calls on each box." required:""`
	Share    float64 `help:"Of units that B gets." default:"0.5"`
	Base     float64 `help:"Worth of a unit that is expected, of 1." default:"0.85"`
	Effect   float64 `help:"Difference in worth a unit that the trial is planned for." default:"0.04"`
	Margin   float64 `help:"Smallest difference worth having; 0 = half the effect." default:"0"`
	Alpha    float64 `help:"Chance of a winner where there is none." default:"0.05"`
	Least    int64   `help:"Units in each arm before a winner." default:"100"`
	Harm     float64 `help:"By how much B may do worse by failures, lateness or calls below." default:"0.02"`
	BlockS   int64   `help:"Seconds of a block." default:"60"`
	Blocks   int     `help:"Blocks until the trial ends without a winner." default:"60"`
	MostLost int     `help:"So many processes may end while it runs, restarts too; more is harm." default:"1"`
	By       string  `help:"Who asks." required:""`
	Reason   string  `help:"What for." required:""`
}

func (c *trialStartCmd) spec() *split.Spec {
	if c.Margin == 0 {
		c.Margin = c.Effect / 2
	}
	s := &split.Spec{ID: c.Trial, By: c.By, Reason: c.Reason, Split: split.Subject, Thing: c.Class, Values: [2]string{c.A, c.B},
		Salt: xxhash.Sum64String(strings.Join([]string{c.Trial, c.Class, c.A, c.B, c.By, c.Reason}, "\x00")), BlockMs: c.BlockS * 1000, Blocks: c.Blocks, MostLost: c.MostLost,
		Plan: sequential.Plan{Alpha: c.Alpha, Futility: 0.05, Harm: 0.01, Void: 0.001, Base: c.Base, Effect: c.Effect, Margin: c.Margin, Ratio: c.Share, Least: c.Least}}
	for _, g := range []string{trials.Failures, trials.Lateness, trials.Below} {
		s.Plan.Guards = append(s.Plan.Guards, sequential.Guard{Name: g, Base: 0.95, Tolerance: c.Harm})
	}
	return s
}

func (c *trialStartCmd) Run(con *console) error {
	return c.order(con, trials.Word{Start: c.spec()}, fmt.Sprintf("trial %s splits calls of %s between %s and %s", c.Trial, c.Class, c.A, c.B))
}

// order says a word of trials.
func (a *atFleet) order(con *console, w trials.Word, done string) error {
	data, err := json.Marshal(w)
	if err != nil {
		return err
	}
	return a.say(con, driver.Command{Part: trials.Part, Data: data}, done)
}

type trialStopCmd struct {
	atFleet `embed:""`
	Trial   string `arg:"" help:"Its name."`
	By      string `help:"Who says so." required:""`
	Reason  string `help:"Why." required:""`
}

func (c *trialStopCmd) Run(con *console) error {
	return c.order(con, trials.Word{Stop: &trials.Stop{ID: c.Trial, By: c.By, Why: c.Reason}}, "trial "+c.Trial+" is stopped")
}

type trialStatusCmd struct {
	atFleet `embed:""`
}

func (c *trialStatusCmd) Run(con *console) error {
	var s trials.Status
	err := c.ask(func(ctx context.Context, l *link.Client) error {
		return driver.FetchModuleStatus(ctx, l, trials.Part, &s)
	})
	if err != nil {
		return errors.Join(err, errors.New("trials need fleet.take_over"))
	}
	return con.print(s, func(w io.Writer) {
		rows := [][]string{{"trial", "calls", "A", "B", "block", "outcome", "A units", "B units", "B differs"}}
		for i := range s.Trials {
			t := &s.Trials[i]
			o := &t.Outcome
			row := []string{t.Spec.ID, t.Spec.Thing, t.Spec.Values[0], t.Spec.Values[1], fmt.Sprintf("%d of %d", t.Block, t.Spec.Blocks), o.Verdict.String(),
				fmt.Sprint(o.Units[0]), fmt.Sprint(o.Units[1]), fmt.Sprintf("%+.4f", o.Difference)}
			if u, ok := s.Units[t.Spec.ID]; ok { // those of the box that is asked
				row[6], row[7], row[8] = fmt.Sprintf("%d here", u[0]), fmt.Sprintf("%d here", u[1]), "-"
			}
			rows = append(rows, row)
		}
		table(w, rows)
		for i := range s.Trials {
			if o := &s.Trials[i].Outcome; o.Why != "" {
				fmt.Fprintf(w, "%s, by %s: %s\n", s.Trials[i].Spec.ID, o.By, o.Why)
			}
		}
	})
}
