// Package sessions measures a control tier at the size of a large fleet on one machine: control nodes and some app servers
// are processes of the real programs, over mutual TLS on loopback. The other app servers are hollow: their session to a
// control node is the real one, on real timers and connections, and only the request path is a stub. Many of them share
// a process.
package sessions

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/measure/certificates"
	"larchscale/internal/measure/worker"
	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

// Times of a fleet.
const (
	buildWithin = 3 * time.Minute
	foundWithin = 30 * time.Second
	standinWork = time.Millisecond // of a run at a worker pool that nobody asks
)

// ErrBuild is a fleet that did not come to be.
var ErrBuild = errors.New("the fleet does not settle")

// appServer is one process of the real program.
type appServer struct {
	*standin.Box
	zone int
	site *standin.Site
}

func (s *appServer) stats() map[string]float64 { return standin.Stats(s.Admin) }

// hollowWorker is one process of hollow servers.
type hollowWorker struct {
	*worker.Process
	configs []Config
	zone    int // of its first server
}

// Fleet is control nodes, app servers and workers with hollow servers.
type Fleet struct {
	options   Options
	authority *certificates.Authority
	operator  certificates.Files
	relays    *faultnet.Net // nil = without
	Nodes     []*Node
	real      []*appServer
	bare      []*appServer
	workers   []*hollowWorker
	handles   int              // of requests to real app servers
	reach     map[int][]string // by region, the control nodes as its servers reach them
}

// Start writes all files and starts the workers, whose servers do nothing yet.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	f := &Fleet{options: options, reach: map[int][]string{}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) (err error) {
	at := filepath.Join(f.options.Home, "certificates")
	if err = os.MkdirAll(at, 0o700); err != nil {
		return fmt.Errorf("sessions: %w", err)
	}
	if f.authority, err = certificates.NewAuthority(at); err != nil {
		return err
	}
	if f.operator, err = f.authority.Issue("operator"); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{f.makeNodes, f.makeServers, f.makeWorkers} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func zoneName(zone int) string     { return fmt.Sprint("z", zone+1) }
func regionName(region int) string { return fmt.Sprint("r", region+1) }

// makeNodes writes the files of the control nodes.
func (f *Fleet) makeNodes(context.Context) error {
	o := &f.options
	if o.Relays {
		f.relays = faultnet.New()
	}
	for i := range o.Nodes {
		zone := o.zoneOf(i)
		n, err := newNode(o.Control, fmt.Sprint("c", i+1), zone, o.regionOf(zone))
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, n)
	}
	for _, n := range f.Nodes {
		nodes, err := f.ways(n.Name, n.Region, func(n *Node) string { return n.addr })
		if err != nil {
			return err
		}
		files, err := f.authority.Issue(n.Name)
		if err != nil {
			return err
		}
		if err := n.write(nodeSettings{Home: o.Home, Zone: zoneName(n.Zone), Region: regionName(n.Region), Nodes: nodes, Certificates: files,
			Operator: f.operator}); err != nil {
			return err
		}
	}
	for region := range o.Regions {
		nodes, err := f.ways(fmt.Sprint("servers of ", regionName(region)), region, func(n *Node) string { return n.sessions })
		if err != nil {
			return err
		}
		f.reach[region] = nodes
	}
	return nil
}

// ways names all nodes as somebody in a region reaches them: those of other regions through relays, if there are any.
func (f *Fleet) ways(from string, region int, addr func(*Node) string) (list []string, err error) {
	for _, n := range f.Nodes {
		at := addr(n)
		if f.relays != nil && n.Region != region {
			if at, err = f.relays.Relay(from, n.Name, at); err != nil {
				return nil, fmt.Errorf("sessions: %w", err)
			}
		}
		list = append(list, n.Name+"="+at)
	}
	return list, nil
}

// makeServers writes the files of the real app servers: those of the fleet, and those beside it.
func (f *Fleet) makeServers(context.Context) error {
	for i := range f.options.Real {
		name, zone := serverName(i), f.options.zoneOf(i)
		files, err := f.authority.Issue(name)
		if err != nil {
			return err
		}
		operator := fmt.Sprintf("[control]\nnodes = [%s]\nzone = %q\nca = %q\ncert = %q\nkey = %q\n",
			quoted(f.reach[f.options.regionOf(zone)]), zoneName(zone), files.CA, files.Certificate, files.Key)
		s, err := f.newServer(name, zone, operator)
		if err != nil {
			return err
		}
		f.real = append(f.real, s)
	}
	for i := range f.options.Bare {
		s, err := f.newServer(fmt.Sprintf("bare%02d", i+1), f.options.zoneOf(i), "")
		if err != nil {
			return err
		}
		f.bare = append(f.bare, s)
	}
	return nil
}

func serverName(index int) string { return fmt.Sprintf("server%04d", index+1) }

func (f *Fleet) newServer(name string, zone int, operator string) (*appServer, error) {
	site, err := standin.NewSite(standinWork)
	if err != nil {
		return nil, fmt.Errorf("app server %s: %w", name, err)
	}
	box, err := standin.NewBox(f.options.Server, filepath.Join(f.options.Home, name), name, site, operator)
	if err != nil {
		site.Close()
		return nil, fmt.Errorf("app server %s: %w", name, err)
	}
	return &appServer{Box: box, zone: zone, site: site}, nil
}

// makeWorkers starts the workers and makes their servers.
func (f *Fleet) makeWorkers(ctx context.Context) error {
	byZone := make([][]Config, f.options.Zones)
	var all []Config
	seeds := rand.New(rand.NewPCG(f.options.Seed, 0))
	for i := f.options.Real; i < f.options.Servers; i++ {
		name, zone := serverName(i), f.options.zoneOf(i)
		files, err := f.authority.Issue(name)
		if err != nil {
			return err
		}
		config := Config{Name: name, Zone: zoneName(zone), Nodes: f.reach[f.options.regionOf(zone)], Certificates: files, Idle: f.options.Idle, Seed: seeds.Uint64()}
		byZone[zone] = append(byZone[zone], config)
		all = append(all, config)
	}
	if f.options.ByZone {
		all = nil
		for _, configs := range byZone {
			all = append(all, configs...)
		}
	}
	for _, size := range f.options.workers() {
		w := &hollowWorker{configs: all[:size], zone: f.zoneNamed(all[0].Zone)}
		if err := f.launch(ctx, w); err != nil {
			return err
		}
		f.workers = append(f.workers, w)
		all = all[size:]
	}
	return nil
}

func (f *Fleet) zoneNamed(name string) int {
	for zone := range f.options.Zones {
		if zoneName(zone) == name {
			return zone
		}
	}
	return 0
}

// launch starts a process for a worker, and makes its servers.
func (f *Fleet) launch(ctx context.Context, w *hollowWorker) (err error) {
	if w.Process, err = worker.Start(ctx, f.options.Worker); err != nil {
		return err
	}
	if err := w.Call(methodMake, w.configs, nil); err != nil {
		w.Stop()
		return err
	}
	return nil
}

// Close ends all processes.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for _, w := range f.workers {
		all.Go(w.Stop)
	}
	all.Wait()
	for _, s := range slices.Concat(f.real, f.bare) {
		if s.Started() {
			s.Kill()
		}
		s.site.Close()
	}
	for _, n := range f.Nodes {
		n.Kill()
	}
	if f.relays != nil {
		f.relays.Close()
	}
}

// each calls a function for all items at once.
func each[T, Out any](items []T, do func(T) (Out, error)) ([]Out, error) {
	out, errs := make([]Out, len(items)), make([]error, len(items))
	var all sync.WaitGroup
	for i, item := range items {
		all.Go(func() { out[i], errs[i] = do(item) })
	}
	all.Wait()
	return out, errors.Join(errs...)
}

// forEach is each without results.
func forEach[T any](items []T, do func(T) error) error {
	_, err := each(items, func(item T) (struct{}, error) { return struct{}{}, do(item) })
	return err
}

// call calls a method that has a result and no argument.
func call[T any](method string) func(*hollowWorker) (T, error) {
	return func(w *hollowWorker) (out T, err error) {
		err = w.Call(method, struct{}{}, &out)
		return out, err
	}
}

// run has the servers of a worker open their sessions.
func run(w *hollowWorker) error { return w.Call(methodRun, struct{}{}, nil) }

// Built is what it took until a fleet stood.
type Built struct {
	Time time.Duration // from the start of all until all held leases; by the clock
	CPU  time.Duration // of the control nodes
}

// Build starts the control nodes and all servers at once, and waits until the nodes vote and all servers hold leases.
func (f *Fleet) Build(ctx context.Context) (built Built, err error) {
	began := time.Now()
	starts := []func() error{
		func() error { return forEach(f.Nodes, func(n *Node) error { return n.Start(ctx) }) },
		func() error { return f.found(ctx) },
		func() error { return forEach(f.workers, run) },
		func() error {
			return forEach(slices.Concat(f.real, f.bare), func(s *appServer) error { return s.Start() })
		},
	}
	if err := forEach(starts, func(start func() error) error { return start() }); err != nil {
		return built, err
	}
	if err := f.Await(ctx, buildWithin, f.Settled); err != nil {
		return built, fmt.Errorf("%w: %w", ErrBuild, err)
	}
	built.Time = time.Since(began)
	usages, err := each(f.Nodes, (*Node).Usage)
	for _, u := range usages {
		built.CPU += u.CPU
	}
	return built, err
}

// found has the first node found the fleet, as soon as it answers.
func (f *Fleet) found(ctx context.Context) error {
	first := f.Nodes[0]
	return f.Await(ctx, foundWithin, func() (bool, string) {
		if _, ended := first.process(); ended == nil || first.Stats() == nil {
			return false, "the first node does not answer"
		}
		if err := first.Say(driver.Command{Found: true}); err != nil {
			return false, err.Error()
		}
		return true, ""
	})
}

// Await looks until something is so; what it still waits for is told if that takes too long.
func (f *Fleet) Await(ctx context.Context, within time.Duration, is func() (bool, string)) error {
	clock := time.NewTicker(lookEvery)
	defer clock.Stop()
	for end := time.Now().Add(within); ; {
		so, waits := is()
		if so {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %s: %s", within, waits)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clock.C:
		}
	}
}
