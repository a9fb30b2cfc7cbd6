package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"larchscale/internal/measure/sessions"
	"larchscale/internal/measure/worker"
)

// The parts of the measurement.
const (
	partSteady = "steady"
	partEvents = "events"
	partAll    = "all"
)

type scaleSessionsCmd struct {
	Servers int           `default:"740" help:"Servers of the fleet that events happen to."`
	Control int           `default:"5" help:"Control nodes."`
	Zones   int           `default:"5" help:"Of nodes and servers."`
	Regions int           `default:"2" help:"Of the zones."`
	Sizes   []int         `default:"100,200,400,740,1480" help:"Servers of each fleet at rest."`
	Real    int           `default:"10" help:"Of the servers, processes of the real program."`
	Bare    int           `default:"10" help:"The same without a session, beside the fleet."`
	Part    string        `enum:"steady,events,all" default:"all" help:"Fleets at rest, events, or both."`
	Events  []string      `help:"Those that happen, by name; none = all."`
	Short   bool          `help:"One size of 60 servers and 3 control nodes, a short reading, no events."`
	Window  time.Duration `default:"10s" help:"Length of each reading of a fleet at rest."`
	Repeats int           `default:"2" help:"Readings of a fleet at rest, and rounds of events."`
	Seed    uint64        `default:"1" help:"Of what hollow servers report."`
	JSON    string        `name:"json" help:"File of recorded measurements that these are added to."`

	Revision string `help:"Of the program, as it is recorded."`
}

// The short form.
const (
	shortServers = 60
	shortControl = 3
	shortReal    = 3
	shortWindow  = 5 * time.Second
)

// settleTime passes between the start of a fleet and its first reading.
const sessionsSettleTime = 5 * time.Second

// Run measures a control tier at rest at each size, and what events do to one.
func (c scaleSessionsCmd) Run(r *report) error {
	if c.Short {
		c.Sizes, c.Control, c.Real, c.Bare, c.Window, c.Repeats, c.Part = []int{shortServers}, shortControl, shortReal, 1, shortWindow, 1, partSteady
	}
	slices.Sort(c.Sizes)
	if err := c.check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Printf("seed %d, control nodes %d, zones %d, regions %d, cores %d\n", c.Seed, c.Control, c.Zones, c.Regions, runtime.NumCPU())
	if c.Part != partEvents {
		if err := c.steady(ctx, r); err != nil {
			return err
		}
	}
	if c.Part != partSteady {
		return c.events(ctx, r)
	}
	return nil
}

// check refuses all that cannot be before anything begins.
func (c *scaleSessionsCmd) check() error {
	for _, servers := range c.Sizes {
		options := c.options("", servers)
		if err := options.Check(); err != nil {
			return err
		}
	}
	options := c.options("", c.Servers)
	options.ByZone, options.Relays = true, true
	if c.Part == partSteady {
		return nil
	}
	return options.Check()
}

// options are those of a fleet of a size.
func (c *scaleSessionsCmd) options(home string, servers int) sessions.Options {
	return sessions.Options{Home: home, Servers: servers, Real: c.Real, Bare: c.Bare, Nodes: c.Control, Zones: c.Zones, Regions: c.Regions, Seed: c.Seed}
}

// start starts a fleet in a directory of its own, which clean removes.
func (c *scaleSessionsCmd) start(ctx context.Context, options sessions.Options) (fleet *sessions.Fleet, clean func(), err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	if options.Home, err = os.MkdirTemp("", "larchscale-sessions-"); err != nil {
		return nil, nil, err
	}
	beside := filepath.Dir(program)
	options.Server, options.Control = filepath.Join(beside, "larchscale"), filepath.Join(beside, "larchcontrol")
	options.Worker = worker.Command{Program: program, Arguments: []string{"scale", "session-servers"}}
	if fleet, err = sessions.Start(ctx, options); err != nil {
		os.RemoveAll(options.Home)
		return nil, nil, err
	}
	return fleet, func() {
		fleet.Close()
		os.RemoveAll(options.Home)
	}, nil
}

// scaleSessionServersCmd runs hollow servers for the measurement that started it.
type scaleSessionServersCmd struct{}

// Run serves the parent until its end. An interrupt is the parent's to handle.
func (scaleSessionServersCmd) Run() error {
	signal.Ignore(os.Interrupt, syscall.SIGTERM)
	return sessions.Serve(os.Stdin, os.Stdout)
}

// steady measures a fleet at rest at each size.
func (c *scaleSessionsCmd) steady(ctx context.Context, r *report) error {
	series := newSeries()
	var failed error
	for _, servers := range c.Sizes {
		if err := c.size(ctx, r, servers, series); err != nil {
			progress("%d servers: not measured whole: %v", servers, err)
			failed = errors.Join(failed, fmt.Errorf("%d servers: %w", servers, err))
		}
		if ctx.Err() != nil {
			break
		}
		if err := recordSeries(c.JSON, sessionDesign, c.command(partSteady), c.Revision, series); err != nil {
			return err
		}
	}
	series.report(r)
	c.bounds(r, series)
	return failed
}

// sessionDesign is what the names of recorded measurements begin with.
const sessionDesign = "session."

// command is what repeats the measurement.
func (c *scaleSessionsCmd) command(part string) string {
	return fmt.Sprintf("bin/measure scale sessions --part %s --servers %d --control %d --zones %d --regions %d --sizes %s --real %d --bare %d --window %s --repeats %d --seed %d",
		part, c.Servers, c.Control, c.Zones, c.Regions, joined(c.Sizes), c.Real, c.Bare, c.Window, c.Repeats, c.Seed)
}

// size measures a fleet of one size.
func (c *scaleSessionsCmd) size(ctx context.Context, r *report, servers int, series *series) error {
	progress("%d servers: starting", servers)
	fleet, clean, err := c.start(ctx, c.options("", servers))
	if err != nil {
		return err
	}
	defer clean()
	built, err := fleet.Build(ctx)
	if err != nil {
		return err
	}
	progress("%d servers: built in %.1f s, %.1f core-seconds of the control nodes", servers, built.Time.Seconds(), built.CPU.Seconds())
	series.add("build.time", "s", "from the start of all at once until all servers held leases; "+wallNote, servers, built.Time.Seconds())
	series.add("build.cpu", "core-seconds", "of the control nodes, until all servers held leases", servers, built.CPU.Seconds())
	time.Sleep(sessionsSettleTime)
	for i := range c.Repeats {
		sample, err := c.window(ctx, fleet)
		if err != nil {
			return err
		}
		leader, hollow := sample.Rates[sessions.Leader], sample.Rates[sessions.Hollow]
		progress("%d servers: reading %d of %d: leader %.1f%% of a core, follower %.1f%%, a hollow server %.0f bytes/s and %.2f messages/s", servers, i+1, c.Repeats,
			100*leader.CPU, 100*sample.Rates[sessions.Follower].CPU, hollow.BytesIn+hollow.BytesOut, hollow.Messages)
		series.sample(servers, sample)
	}
	check, err := fleet.Check()
	if err != nil {
		return err
	}
	r.most(fmt.Sprintf("bytes of a connection at %d", servers), float64(check.CountedIn+check.CountedOut), "bytes", float64(check.KernelIn+check.KernelOut))
	return nil
}

// window takes a reading in which the leader stays the same and the sessions stay where they are.
func (c *scaleSessionsCmd) window(ctx context.Context, fleet *sessions.Fleet) (sample *sessions.Sample, err error) {
	for range steadyAttempts {
		if sample, err = fleet.Window(ctx, c.Window); !errors.Is(err, sessions.ErrLeader) && !errors.Is(err, sessions.ErrUnsteady) {
			return sample, err
		}
		progress("taken anew: %v", err)
	}
	return nil, err
}
