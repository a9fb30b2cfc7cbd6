package hollow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"larchscale/internal/measure/certificates"
	"larchscale/internal/measure/traffic"
	"larchscale/internal/measure/worker"
)

const (
	zones     = 3
	lookEvery = 200 * time.Millisecond
	// steadyFor is how long nothing is agreed before a fleet counts as built: the first placement waits for 2.5 s.
	steadyFor = 4 * time.Second
	// digestAttempts bounds how often the states of all servers are read until they are the same.
	digestAttempts = 20
	// buildWithin is how long a fleet may take until all are admitted.
	buildWithin = 6 * time.Minute
)

// ErrBuild is a fleet that did not come to be.
var ErrBuild = errors.New("the fleet does not settle")

// member is one worker process and its servers.
type member struct {
	*worker.Process
	configs []Config
}

// Fleet is hollow servers in processes of their own: one for each voter, one for a learner that is observed, and some
// that the other learners share.
type Fleet struct {
	options   Options
	voters    []*member
	observed  *member
	shared    []*member
	addresses map[string]string
}

// Start starts the processes of a fleet; its servers listen, and do nothing yet.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	f := &Fleet{options: options, addresses: map[string]string{}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	configs, err := f.configs()
	if err != nil {
		return err
	}
	voters := f.options.Voters
	for i := range voters {
		m, err := f.launch(ctx, configs[i:i+1])
		if err != nil {
			return err
		}
		f.voters = append(f.voters, m)
	}
	if f.observed, err = f.launch(ctx, configs[voters:voters+1]); err != nil {
		return err
	}
	rest := configs[voters+1:]
	rand.New(rand.NewPCG(f.options.Seed, 0)).Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for processes := f.options.processes() - voters - 1; processes > 0; processes-- {
		n := (len(rest) + processes - 1) / processes
		m, err := f.launch(ctx, rest[:n])
		if err != nil {
			return err
		}
		f.shared = append(f.shared, m)
		rest = rest[n:]
	}
	return nil
}

// configs are those of all servers, the voters first.
func (f *Fleet) configs() ([]Config, error) {
	at := filepath.Join(f.options.Home, "certificates")
	if err := os.MkdirAll(at, 0o700); err != nil {
		return nil, fmt.Errorf("hollow fleet: %w", err)
	}
	authority, err := certificates.NewAuthority(at)
	if err != nil {
		return nil, err
	}
	out := make([]Config, f.options.Servers)
	for i := range out {
		name := fmt.Sprintf("server%04d", i+1)
		files, err := authority.Issue(name)
		if err != nil {
			return nil, err
		}
		out[i] = Config{Name: name, Zone: string(rune('a' + i%zones)), Directory: filepath.Join(f.options.Home, "logs"), Certificates: files,
			Voters: f.options.Voters, Leases: f.options.Leases}
	}
	return out, nil
}

// launch starts a process and has its servers listen.
func (f *Fleet) launch(ctx context.Context, configs []Config) (*member, error) {
	process, err := worker.Start(ctx, worker.Command{Program: f.options.Program, Arguments: f.options.Arguments, Environment: f.options.Environment})
	if err != nil {
		return nil, err
	}
	m := &member{process, configs}
	var addresses map[string]string
	if err := m.Call(methodListen, configs, &addresses); err != nil {
		m.Stop()
		return nil, err
	}
	for name, address := range addresses {
		f.addresses[name] = address
	}
	return m, nil
}

// Close ends all processes.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for _, m := range f.all() {
		all.Go(m.Stop)
	}
	all.Wait()
}

func (f *Fleet) all() []*member {
	out := append([]*member{}, f.voters...)
	if f.observed != nil {
		out = append(out, f.observed)
	}
	return append(out, f.shared...)
}

// each calls a method in some processes at a time.
func each[T any](members []*member, do func(*member) (T, error)) ([]T, error) {
	out, errs := make([]T, len(members)), make([]error, len(members))
	var all sync.WaitGroup
	for i, m := range members {
		all.Go(func() { out[i], errs[i] = do(m) })
	}
	all.Wait()
	return out, errors.Join(errs...)
}

// call calls a method that has a result and no argument.
func call[T any](method string) func(*member) (T, error) {
	return func(m *member) (out T, err error) {
		err = m.Call(method, struct{}{}, &out)
		return out, err
	}
}

// standing is how the fleet stands as some processes see it.
func standing(members []*member) (out Standing, err error) {
	list, err := each(members, call[Standing](methodStanding))
	for _, s := range list {
		out = out.Join(s)
	}
	return out, err
}

// Built is what it took to build a fleet.
type Built struct {
	Time    time.Duration // from the founding until all were admitted; by the clock
	CPU     time.Duration // of all processes
	Entries uint64        // in the log
	Bytes   uint64        // that all servers sent
}

// Build founds the fleet, has its voters agree, and then starts all others at once. It ends when all have been admitted and
// nothing more is agreed. The voters ask only each other to be let in, so that they do not look for each
// other among servers that have not started; the others ask all, as the operator's file has it.
func (f *Fleet) Build(ctx context.Context) (built Built, err error) {
	before, err := f.cpu()
	if err != nil {
		return built, err
	}
	if err := f.begin(f.voters, f.names(f.voters)); err != nil {
		return built, err
	}
	began := time.Now()
	if err := f.voters[0].Call(methodFound, struct{}{}, nil); err != nil {
		return built, err
	}
	if _, err := f.await(ctx, f.voters, func(s Standing) bool { return s.Voters.is(uint64(f.options.Voters)) }); err != nil {
		return built, err
	}
	if err := f.begin(f.all()[len(f.voters):], f.names(f.all())); err != nil {
		return built, err
	}
	at, err := f.settle(ctx)
	if err != nil {
		return built, err
	}
	built.Time = at.Sub(began)
	after, err := f.cpu()
	if err != nil {
		return built, err
	}
	built.CPU = after - before
	built.Entries, err = f.agreed(ctx)
	if err != nil {
		return built, err
	}
	totals, err := each(f.all(), call[traffic.Totals](methodTraffic))
	for _, t := range totals {
		built.Bytes += t.BytesOut
	}
	return built, err
}

func (f *Fleet) begin(members []*member, doors []string) error {
	begin := Begin{f.addresses, doors}
	_, err := each(members, func(m *member) (struct{}, error) { return struct{}{}, m.Call(methodStart, begin, nil) })
	return err
}

// names are those of the servers of some processes.
func (f *Fleet) names(members []*member) (out []string) {
	for _, m := range members {
		for _, config := range m.configs {
			out = append(out, config.Name)
		}
	}
	return out
}

// await looks until what processes see is so.
func (f *Fleet) await(ctx context.Context, members []*member, is func(Standing) bool) (last Standing, err error) {
	clock := time.NewTicker(lookEvery)
	defer clock.Stop()
	for end := time.Now().Add(buildWithin); ; {
		if last, err = standing(members); err != nil || is(last) {
			return last, err
		}
		if time.Now().After(end) {
			return last, fmt.Errorf("within %s: %+v: %w", buildWithin, last, ErrBuild)
		}
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-clock.C:
		}
	}
}

// settle waits until all are admitted and nothing was agreed for a while, and tells since when.
func (f *Fleet) settle(ctx context.Context) (since time.Time, err error) {
	index := uint64(0)
	_, err = f.await(ctx, f.all(), func(s Standing) bool {
		if !s.settled(f.options.Servers, f.options.Leases) || s.Index.Most != index {
			since, index = time.Now(), s.Index.Most
			return false
		}
		return time.Since(since) >= steadyFor
	})
	return since, err
}

// agreed waits until all servers hold one state, and gives the index of the last entry of plans and members in it. While
// entries of leases and placement are on their way two servers may hold different states under one such index; two that
// stay different are an error.
func (f *Fleet) agreed(ctx context.Context) (entries uint64, err error) {
	var differ int
	for range digestAttempts {
		list, err := each(f.all(), call[Digests](methodDigests))
		if err != nil {
			return 0, err
		}
		if entries, differ = compare(list); differ == 1 {
			return entries, unspoken(list)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(lookEvery):
		}
	}
	return 0, fmt.Errorf("the servers hold %d different states after %d looks: %w", differ, digestAttempts, ErrBuild)
}

// compare counts the states that servers hold, and gives the index of the newest.
func compare(list []Digests) (entries uint64, states int) {
	seen := map[Digest]bool{}
	for _, d := range list {
		for _, digest := range d.Digests {
			seen[digest] = true
			entries = max(entries, digest.Index)
		}
	}
	return entries, len(seen)
}

// unspoken is an error if the log does not know the process of a server.
func unspoken(list []Digests) error {
	for _, d := range list {
		if d.Unspoken > 0 {
			return fmt.Errorf("%d servers have not spoken: %w", d.Unspoken, ErrBuild)
		}
	}
	return nil
}

// cpu is what all processes have used so far.
func (f *Fleet) cpu() (total time.Duration, err error) {
	list, err := each(f.all(), func(m *member) (worker.Usage, error) { return m.Usage() })
	for _, u := range list {
		total += u.CPU
	}
	return total, err
}

// Check compares the counts of one connection of the observed learner with the kernel's.
func (f *Fleet) Check() (traffic.KernelCheck, error) {
	return call[traffic.KernelCheck](methodCheck)(f.observed)
}
