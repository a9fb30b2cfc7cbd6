package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/standin"
	"larchscale/internal/wal"
)

type devCmd struct {
	Program  string        `help:"The app server; without it the larchscale beside larchctl." placeholder:"FILE"`
	Requests int           `default:"4000" help:"How many requests to send on both fronts."`
	Lines    int           `default:"4" help:"Connections to the platform's front, each with eight requests open."`
	Desks    float64       `default:"0.25" help:"The part that comes by desks that speak uwsgi."`
	Work     time.Duration `default:"3ms" help:"How long a run takes."`
	Faults   float64       `default:"0.2" help:"The part of sendings that fails at the collector."`
	Boxes    int           `default:"1" help:"With 3 to 30: a fleet of so many processes is taken through a plan while requests flow."`
	Zones    int           `default:"3" help:"Of that fleet."`
	Home     string        `help:"Keep the files here; without it they go at the end." placeholder:"DIR"`
}

// trial is what a trial on one machine showed.
type trial struct {
	Sent      int               `json:"sent"`
	Seconds   float64           `json:"seconds"`
	Seen      map[string]int    `json:"seen"`
	Differs   []string          `json:"differs"`
	Batches   int               `json:"batches"`
	Sendings  int               `json:"sendings"`
	Statement *ledger.Statement `json:"statement"`
}

func (c *devCmd) Run(con *console) error {
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = filepath.Join(filepath.Dir(self), "larchscale")
	}
	if c.Requests < 1 || c.Lines < 1 || c.Lines > 64 || c.Faults < 0 || c.Faults >= 1 {
		return badInput{errors.New("--requests, --lines or --faults is out of bounds")}
	}
	if c.Boxes != 1 && (c.Boxes < 3 || c.Boxes > 30) || c.Zones < 1 || c.Zones > 26 {
		return badInput{errors.New("--boxes is 1 or 3 to 30, --zones 1 to 26")}
	}
	if c.Home == "" {
		dir, err := os.MkdirTemp("", "larchscale-dev-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		c.Home = dir
	} else if err := os.MkdirAll(c.Home, 0o750); err != nil {
		return err
	}
	if c.Boxes > 1 {
		return c.fleet(con)
	}
	t, err := c.trial()
	if err != nil {
		return err
	}
	return con.whole(len(t.Differs) == 0 && t.Statement.Complete, t, t.text)
}

// taken is what a fleet's trial showed.
type taken struct {
	Boxes   int      `json:"boxes"`
	Seconds float64  `json:"seconds"`
	Gone    []string `json:"gone"`
	Most    int      `json:"most_away"`
	Sent    int64    `json:"sent"`
	Served  int64    `json:"served"`
	Unheard int64    `json:"unheard"`
}

// fleet takes a fleet of real processes through a plan, one box at a time, with balancer, staff and requests.
func (c *devCmd) fleet(con *console) error {
	f, err := standin.NewFleet(c.Program, c.Home, standin.FleetOptions{Boxes: c.Boxes, Zones: c.Zones, Voters: 3, DrainMs: 300, SilentMs: 1500, Work: c.Work})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Settle(30*time.Second, 3); err != nil {
		return err
	}
	f.Call(c.Lines)
	finish := f.Staff(100*time.Millisecond, func(s string) {
		if !con.json {
			fmt.Fprintln(con.out, s)
		}
	})
	began := time.Now()
	err = f.Members[0].Propose(context.Background(), maintenance.Plan{ID: "dev", By: "larchctl", Reason: "a trial", Boxes: f.Names(), Most: 1})
	var plan maintenance.Plan
	if err == nil {
		plan, err = f.Over("dev", time.Duration(c.Boxes)*10*time.Second)
	}
	watch := finish()
	if err != nil {
		return err
	}
	sum := f.Calls.Stop()
	t := taken{c.Boxes, time.Since(began).Seconds(), plan.Gone, watch.Most, sum.Sent, sum.Served, sum.Unheard}
	return con.whole(t.Most <= 1 && t.Unheard == 0 && len(watch.Faults) == 0, t, func(w io.Writer) {
		fmt.Fprintf(w, "%d boxes were taken out one by one in %.1f s: %s\n", t.Boxes, t.Seconds, strings.Join(t.Gone, ", "))
		fmt.Fprintf(w, "%d requests meanwhile, %d served, %d unheard; %d away at once\n", t.Sent, t.Served, t.Unheard, t.Most)
		for _, x := range watch.Faults {
			fmt.Fprintln(w, x)
		}
	})
}

// trial runs the real program beside stand-ins, has it serve, drains it and reads its ledger.
func (c *devCmd) trial() (*trial, error) {
	site, err := standin.NewSite(c.Work)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	collector := standin.NewCollector(1, c.Faults)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: collector}
	go server.Serve(l)
	defer server.Close()
	box, err := standin.NewBox(c.Program, c.Home, "dev", site, fmt.Sprintf("[ledger]\ndir = \"$DIR\"\nmode = \"strict\"\nperiod = \"day\"\nexport_ms = 20\n"+
		"[ledger.collector]\nurl = \"http://%s/batches\"\ntimeout_ms = 1000\nretry_ms = 20\nretry_max_s = 1\n", l.Addr()))
	if err != nil {
		return nil, err
	}
	if err := box.Start(); err != nil {
		return nil, err
	}
	callers := &standin.Callers{Box: box, Lines: c.Lines}
	began := time.Now()
	if err := callers.Send("dev", c.Requests, c.Desks, nil); err != nil {
		box.Kill()
		return nil, err
	}
	t := &trial{Seconds: time.Since(began).Seconds(), Seen: map[string]int{}}
	opt := ledgerstore.Defaults()
	opt.Dir, opt.Period = box.Dir, "day"
	waitFor(func() bool { // all is in batches, and those are the collector's
		b, _, err := ledgerstore.ReadLedger(wal.Dir(box.Dir), opt)
		return err == nil && !b.Waits() && len(b.Pending()) == 0
	})
	if code, err := box.Stop(); err != nil || code != 0 {
		return nil, fmt.Errorf("the box ended with %d: %w\n%s", code, err, box.Log())
	}
	for s, n := range callers.Seen() {
		t.Sent += n
		t.Seen[s.End] += n
	}
	var x ledger.Exports
	for _, b := range collector.Batches() {
		if err := x.Add(b); err != nil {
			return nil, err
		}
		t.Batches++
	}
	t.Sendings, _ = collector.Counts()
	f := x.Reconcile()
	for _, p := range f.Periods() { // one, unless midnight came between
		s, err := f.Statement(p.Name, ledger.Expect{Gone: []string{box.Name}})
		if err != nil {
			return nil, err
		}
		t.Statement = &s
	}
	if t.Statement == nil {
		return nil, errors.New("the collector has nothing")
	}
	t.Differs = standin.Compare(callers.Seen(), f)
	return t, nil
}

func waitFor(done func() bool) {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	for ctx.Err() == nil && !done() {
		time.Sleep(50 * time.Millisecond)
	}
}

func (t *trial) text(w io.Writer) {
	fmt.Fprintf(w, "%d requests in %.1f s on both fronts, %.0f/s: %v\n", t.Sent, t.Seconds, float64(t.Sent)/t.Seconds, t.Seen)
	fmt.Fprintf(w, "%d batches at the collector after %d sendings\n\n", t.Batches, t.Sendings)
	statement(w, *t.Statement)
	if len(t.Differs) == 0 {
		fmt.Fprintln(w, "\nthe ledger says just what the callers saw")
	}
	for _, d := range t.Differs {
		fmt.Fprintln(w, "DIFFERS:", d)
	}
}
