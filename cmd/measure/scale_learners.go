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
	"strings"
	"syscall"
	"time"

	"larchscale/internal/measure/hollow"
)

type scaleLearnersCmd struct {
	Sizes   []int         `default:"50,100,150,200,295" help:"Servers of each fleet."`
	Voters  int           `default:"3" help:"Of the servers."`
	Leases  bool          `help:"With leases and placement."`
	Window  time.Duration `default:"10s" help:"Length of each reading of an idle fleet."`
	Repeats int           `default:"2" help:"Readings of an idle fleet."`
	Entries int           `default:"200" help:"Entries that are committed."`
	Every   time.Duration `default:"50ms" help:"Time between two entries that are committed."`
	Seed    uint64        `default:"1" help:"Of the order in which servers start."`
	JSON    string        `name:"json" help:"File of recorded measurements that these are added to."`

	Revision string `help:"Of the program, as it is recorded."`
}

// wallNote marks what a busy machine changes.
const wallNote = "by the clock, on a shared machine"

// Run builds a fleet of hollow servers at each size, and reads what it costs.
func (c scaleLearnersCmd) Run(r *report) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slices.Sort(c.Sizes)
	for _, servers := range c.Sizes { // all are refused before the first begins
		if err := (&hollow.Options{Servers: servers, Voters: c.Voters}).Check(); err != nil {
			return err
		}
	}
	fmt.Printf("seed %d, voters %d, leases %t, cores %d\n", c.Seed, c.Voters, c.Leases, runtime.NumCPU())
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
		if err := c.record(series); err != nil { // what was measured stays, whatever comes next
			return err
		}
	}
	series.report(r)
	return failed
}

// progress tells what is going on, beside the rows.
func progress(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "%s "+format+"\n", append([]any{time.Now().Format(time.TimeOnly)}, arguments...)...)
}

// size measures a fleet of one size.
func (c scaleLearnersCmd) size(ctx context.Context, r *report, servers int, series *series) error {
	home, err := os.MkdirTemp("", "larchscale-hollow-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(home)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	progress("%d servers: starting", servers)
	fleet, err := hollow.Start(ctx, hollow.Options{Program: program, Arguments: []string{"scale", "hollow"}, Home: filepath.Clean(home),
		Servers: servers, Voters: c.Voters, Leases: c.Leases, Seed: c.Seed})
	if err != nil {
		return err
	}
	defer fleet.Close()
	built, err := fleet.Build(ctx)
	if err != nil {
		return err
	}
	progress("%d servers: built in %.1f s with %.1f core-seconds, %d entries", servers, built.Time.Seconds(), built.CPU.Seconds(), built.Entries)
	series.built(servers, built)
	idle, err := c.idle(ctx, fleet, servers, series)
	if err != nil {
		return err
	}
	if err := c.commits(ctx, fleet, servers, idle, series); err != nil {
		return err
	}
	check, err := fleet.Check()
	if err != nil {
		return err
	}
	r.most(fmt.Sprintf("bytes of a connection at %d", servers), float64(check.CountedIn+check.CountedOut), "bytes", float64(check.KernelIn+check.KernelOut))
	sizes, err := fleet.Sizes()
	if err != nil {
		return err
	}
	series.sizes(servers, sizes)
	return nil
}

// idle reads a fleet that has nothing to do, and gives the mean of the readings.
func (c scaleLearnersCmd) idle(ctx context.Context, fleet *hollow.Fleet, servers int, series *series) (map[hollow.Role]hollow.Rates, error) {
	var last map[hollow.Role]hollow.Rates
	for i := range c.Repeats {
		rates, err := steady(func() (map[hollow.Role]hollow.Rates, error) { return fleet.Idle(ctx, c.Window) })
		if err != nil {
			return nil, err
		}
		progress("%d servers: idle %d of %d, leader %.1f messages/s in, %.1f%% of a core", servers, i+1, c.Repeats,
			rates[hollow.Leader].MessagesIn, 100*rates[hollow.Leader].CPU)
		series.rates(servers, rates)
		last = rates
	}
	return last, nil
}

// steadyAttempts is how often a reading is taken anew because it does not count.
const steadyAttempts = 6

// steady takes a reading in which the leader stays the same and, of an idle fleet, nothing is agreed.
func steady(read func() (map[hollow.Role]hollow.Rates, error)) (rates map[hollow.Role]hollow.Rates, err error) {
	for range steadyAttempts {
		if rates, err = read(); !errors.Is(err, hollow.ErrLeader) && !errors.Is(err, hollow.ErrBusy) {
			return rates, err
		}
		progress("taken anew: %v", err)
	}
	return nil, err
}

// commits reads what an entry costs beside an idle fleet.
func (c scaleLearnersCmd) commits(ctx context.Context, fleet *hollow.Fleet, servers int, idle map[hollow.Role]hollow.Rates, series *series) error {
	commits := hollow.Commits{Count: c.Entries, Every: c.Every}
	rates, err := steady(func() (map[hollow.Role]hollow.Rates, error) { return fleet.Commit(ctx, commits) })
	if err != nil {
		return err
	}
	note := fmt.Sprintf("more than idle, of each entry, one in %s; on a busy machine several share a message", c.Every)
	for role, busy := range rates {
		more := busy.Minus(idle[role])
		entry := busy.Seconds / float64(c.Entries)
		series.add(string(role)+".entry.cpu", "µs", note, servers, 1e6*entry*more.CPU)
		series.add(string(role)+".entry.bytes", "bytes", "in and out, "+note, servers, entry*(more.BytesIn+more.BytesOut))
		series.add(string(role)+".entry.messages", "requests", "in and out, "+note, servers, entry*(more.MessagesIn+more.MessagesOut))
	}
	leader := rates[hollow.Leader]
	progress("%d servers: %d entries in %.1f s, each costs the leader %.0f µs", servers, c.Entries, leader.Seconds,
		1e6*leader.Minus(idle[hollow.Leader]).CPU*leader.Seconds/float64(c.Entries))
	return nil
}

// record adds what was measured to the file of measurements.
func (c scaleLearnersCmd) record(series *series) error {
	design := "learner."
	if c.Leases {
		design += "leases."
	}
	return recordSeries(c.JSON, design, c.command(), c.Revision, series)
}

// command is what repeats the measurement.
func (c scaleLearnersCmd) command() string {
	text := fmt.Sprintf("bin/measure scale learners --sizes %s --voters %d --window %s --repeats %d --entries %d --every %s --seed %d",
		joined(c.Sizes), c.Voters, c.Window, c.Repeats, c.Entries, c.Every, c.Seed)
	if c.Leases {
		text += " --leases"
	}
	return text
}

func (s *series) built(servers int, b hollow.Built) {
	s.add("build.time", "s", wallNote, servers, b.Time.Seconds())
	s.add("build.cpu", "core-seconds", "of all servers, from the founding until all were admitted and at rest", servers, b.CPU.Seconds())
	s.add("build.entries", "entries", "in the log once all were admitted", servers, float64(b.Entries))
	s.add("build.bytes", "bytes", "that all servers sent until then", servers, float64(b.Bytes))
}

func (s *series) rates(servers int, byRole map[hollow.Role]hollow.Rates) {
	const socket = "at the socket, TLS and HTTP included"
	for _, role := range roles(byRole) {
		r, at := byRole[role], string(role)
		s.add(at+".messages", "requests/s", "answered and sent", servers, r.MessagesIn+r.MessagesOut)
		s.add(at+".messages.in", "requests/s", "answered", servers, r.MessagesIn)
		s.add(at+".messages.out", "requests/s", "sent", servers, r.MessagesOut)
		s.add(at+".bytes", "bytes/s", socket, servers, r.BytesIn+r.BytesOut)
		s.add(at+".bytes.in", "bytes/s", socket, servers, r.BytesIn)
		s.add(at+".bytes.out", "bytes/s", socket, servers, r.BytesOut)
		s.add(at+".cpu", "cores", "user and system, of a server at rest", servers, r.CPU)
		s.add(at+".disk", "bytes/s", "to block devices", servers, r.DiskBytes)
		for path, n := range r.In {
			if n > 0 {
				s.add(at+".in"+strings.ReplaceAll(path, "/", "."), "requests/s", "answered", servers, n)
			}
		}
	}
}

func roles[T any](byRole map[hollow.Role]T) []hollow.Role {
	var out []hollow.Role
	for _, role := range []hollow.Role{hollow.Leader, hollow.Follower, hollow.Learner, hollow.Shared} {
		if _, ok := byRole[role]; ok {
			out = append(out, role)
		}
	}
	return out
}

func (s *series) sizes(servers int, byRole map[hollow.Role]hollow.Size) {
	for _, role := range roles(byRole) {
		z, at := byRole[role], string(role)
		each := float64(max(1, z.Servers))
		note := "of a process with one server"
		if role == hollow.Shared {
			note = "of a process that servers share, by each"
		}
		s.add(at+".rss", "bytes", note, servers, float64(z.Resident)/each)
		s.add(at+".heap", "bytes", "live, "+note, servers, float64(z.Heap)/each)
		s.add(at+".descriptors", "descriptors", note, servers, float64(z.Descriptors)/each)
		s.add(at+".goroutines", "goroutines", note, servers, float64(z.Goroutines)/each)
	}
}
