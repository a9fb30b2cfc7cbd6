// Command larchscale is one app server: the decision module on real sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
	_ "time/tzdata" // a box may have none of its own

	"github.com/alecthomas/kong"

	"larchscale/internal/admin"
	"larchscale/internal/config"
	"larchscale/internal/core"
	"larchscale/internal/directory"
	"larchscale/internal/export"
	"larchscale/internal/fleet/desk"
	"larchscale/internal/fleet/ground"
	"larchscale/internal/fleet/trials"
	"larchscale/internal/handoff"
	"larchscale/internal/index"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/keeper"
	"larchscale/internal/logs"
	"larchscale/internal/pool"
	"larchscale/internal/sock"
	"larchscale/internal/store"
	"larchscale/internal/uwsgi"
	"larchscale/internal/version"
	"larchscale/internal/wal"
)

const (
	lastWrites = 60 * time.Millisecond
)

func main() {
	outlive()
	os.Exit(run(os.Args[1:], os.Getenv, os.Stderr))
}

// outlive has no signal that the program answers end it by its default, up to the very end: one may come once run has
// let go of its own, and the exit code is to tell how run ended.
func outlive() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
}

// flags are the program's arguments. The platform gives none: it names its file by the environment.
type flags struct {
	Config   string           `help:"The platform's config.json; BALANCER_CONFIG names it too." placeholder:"FILE"`
	Operator string           `help:"The operator's TOML, as deploy/operator.toml; without it all that it sets is off. LARCHSCALE_OPERATOR names it too." placeholder:"FILE"`
	Version  kong.VersionFlag `help:"Print the version."`
}

// parse reads the arguments. A long flag may have one dash, as it always could.
func parse(args []string, env func(string) string, out io.Writer) (f flags, code int, err error) {
	code = -1
	p, err := kong.New(&f, kong.Name("larchscale"), kong.Description("One app server: the decision module on real sockets."),
		kong.Vars{"version": "larchscale " + version.Number}, kong.Writers(out, out), kong.Exit(func(c int) { code = c }))
	if err != nil {
		return f, code, err
	}
	long := make([]string, len(args))
	for i, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			a = "-" + a
		}
		long[i] = a
	}
	if _, err = p.Parse(long); err != nil || code >= 0 {
		return f, code, err
	}
	if f.Config == "" {
		f.Config = env("BALANCER_CONFIG")
	}
	if f.Operator == "" {
		f.Operator = env("LARCHSCALE_OPERATOR")
	}
	if f.Config == "" {
		err = errors.New("no configuration: set BALANCER_CONFIG or --config")
	}
	return f, code, err
}

// signals are the program's, by what they ask for.
type signals struct{ leave, reload chan os.Signal }

// run starts the program and gives its exit code: 2 for bad settings, 1 for what fails later.
func run(args []string, env func(string) string, out io.Writer) int {
	bad := func(err error) int {
		fmt.Fprintln(out, "larchscale:", err)
		return 2
	}
	// From the first step: a SIGTERM during start-up drains once it can. Each has its own room for one, which is
	// enough: no number of SIGHUPs takes the place of a SIGTERM.
	on := signals{leave: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(on.leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(on.reload, syscall.SIGHUP)
	defer signal.Stop(on.leave)
	defer signal.Stop(on.reload)
	f, code, err := parse(args, env, out)
	if err != nil {
		return bad(err)
	}
	if code >= 0 {
		return code
	}
	cfg, err := config.Load(f.Config)
	if err != nil {
		return bad(err)
	}
	var kernel syscall.Rlimit // Go has raised the soft limit to the hard one
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &kernel); err != nil {
		return bad(fmt.Errorf("descriptors: %w", err))
	}
	if err := cfg.Within(kernel.Cur); err != nil {
		return bad(err)
	}
	if err := cfg.SetAdmin(env("BALANCER_ADMIN")); err != nil {
		return bad(err)
	}
	own, err := config.LoadOperator(f.Operator, cfg)
	if err != nil {
		return bad(err)
	}
	log := slog.New(logs.New(out)).With("server", cfg.Name)
	books, err := openLedger(own, cfg, log)
	if err != nil {
		return bad(err)
	}
	debug.SetMemoryLimit(cfg.Limits.GoMemory())
	runtime.GOMAXPROCS(1)
	if err := serve(f.Config, cfg, own, books, on, log); err != nil {
		<-closeLedger(books, log)
		fmt.Fprintln(out, "larchscale:", err)
		return 1
	}
	return 0
}

// openLedger opens the box's ledger before anything else is; nil = it keeps none.
func openLedger(own *config.Operator, cfg *config.Config, log *slog.Logger) (*keeper.Keeper, error) {
	dir := wal.Dir(own.Ledger.Dir)
	if dir == "" {
		return nil, nil
	}
	if err := dir.Make(); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if _, err := dir.Lock(); err != nil { // held until the process ends
		return nil, fmt.Errorf("ledger: %w", err)
	}
	k, err := keeper.Open(dir, own.Ledger.Options, keeper.Site{Box: cfg.Name, Stands: cfg.Site.Tenants, Classes: cfg.Site.Classes, Boot: keeper.BootID()}, log)
	if err != nil {
		return nil, fmt.Errorf("ledger: %s: %w", dir, err)
	}
	return k, nil
}

// serve wires the parts together and returns when the core has answered all after SIGTERM. SIGHUP moves the
// links to the addresses in the file as it is then; all else lives on.
func serve(path string, cfg *config.Config, own *config.Operator, books *keeper.Keeper, on signals, log *slog.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Before the address is bound: once it is, an older process finds this one. If the rest of the start fails, the lock
	// on the file ends with this process.
	start, err := handoff.Claim(filepath.Join(os.TempDir(), handoff.FileName(cfg.Name)))
	if err != nil {
		log.Warn("start file", "do", "claim", "err", err)
	}
	defer start.Close()
	listener, err := sock.Listen(cfg.Listen)
	if err != nil {
		return err
	}
	listeners := []net.Listener{listener}
	var doors net.Listener
	if cfg.Admin != "" {
		if doors, err = net.Listen("tcp4", cfg.Admin); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	others := own.Ledger.Peers.Sockets() + len(own.Fleet.TrialCalls)*cfg.Limits.Calls
	if doors != nil {
		others += admin.MaxConns
	}
	conns, lowered := own.Fit(&cfg.Limits, others)
	if lowered {
		log.Warn("few descriptors", "sockets", cfg.Limits.Sockets, "max_conns", own.UWSGI.MaxConns, "max_calls", own.UWSGI.MaxCalls)
	}
	cfg.SetConns(conns)
	c := core.New(cfg.Site, log)
	workers := pool.New(cfg.Pool, c.Send, log)
	list := directory.New(cfg.Lookup, cfg.Name, log)
	ended := c.Send
	stays, err := newKeep(cfg, own, c.Send, log)
	if err != nil {
		return err
	}
	if stays != nil {
		ended = stays.Ended
	}
	calls := index.New(cfg.Index, cfg.Limits.Calls, ended, log)
	var below core.Caller = calls
	if len(own.UWSGI.Below) > 0 {
		below = uwsgi.NewClient(own.UWSGI, ended)
	}
	if stays != nil {
		stays.Attach(below)
		below = stays
	}
	var keys core.Store
	storing, endStore := context.WithCancel(ctx)
	defer endStore()
	stored := make(chan struct{}) // closed once the store has done all that it was asked; nil = it keeps nothing back
	run := func(work func(context.Context)) {
		defer close(stored)
		work(storing)
	}
	var claims *desk.Desk
	var g *ground.Ground
	var tests *trials.Trials
	if own.Fleet.TakeOver {
		stored = nil // what it was asked is safe elsewhere before it is given out
		claims = newDesk(cfg, own, workers.Cursor, c.Send, log)
		keys = claims
		g = ground.New(ground.Options{Pool: cfg.Pool, Whole: claims.Whole, Moves: maxMoves}, func(v *ground.View) {
			claims.View(v)
			if stays != nil {
				stays.View(v)
			}
		}, log)
		tests = newTrials(cfg, own, below, g, c.Send, log)
		if len(own.Fleet.TrialCalls) > 0 { // without, no call takes the way through it
			below = tests
			c.Tell(tests)
		}
	} else if own.Store.Redis != "" {
		db := store.New(own.Store, store.Owner(cfg.Name), cfg.Site.Classes, c.Send, log)
		go run(db.Run)
		keys = db
	} else { // the processes of a replacement share $TMPDIR: a write that ran in one is not run by the other
		dir := filepath.Join(os.TempDir(), "larchscale-"+cfg.Name+"-keys")
		db, err := store.OpenFiles(dir, store.Owner(cfg.Name), cfg.Site.Classes, cfg.Limits.KeyFiles(), c.Send, log)
		if err != nil {
			return err
		}
		go run(db.Run)
		keys = db
	}
	c.Attach(workers, below, list, keys)
	if books != nil {
		c.Keep(books)
		books.Attach(c.Send, c.Start())
		go books.Run()
		if own.Ledger.Collector.URL != "" {
			e, err := export.New(own.Ledger.Collector, books, nil, log)
			if err != nil {
				return err
			}
			go e.Run(ctx)
		}
	}
	holder := admin.NewHolder(c.Send)
	defer holder.Close()
	var figures func() []byte
	if own.Ledger.Peers.Listen != "" {
		fleet, lines, err := joinOthers(ctx, cfg, own, books, claims, g, tests, stays, c.Figures, holder, log)
		if err != nil {
			return err
		}
		defer func() { <-fleet }()
		figures = lines
		defer stop() // its last words are written before the process ends
	}
	if stays != nil {
		go stays.Run(ctx)
		figures = together(figures, stays.Lines)
	}
	fronts := sock.Servers{sock.NewServer(listener, conns, cfg.Limits.Budget(), jsonrpc.New(&cfg.Site, c, log).Handle)}
	if own.UWSGI.Listen != "" {
		desks, err := sock.Listen(own.UWSGI.Listen)
		if err != nil {
			return err
		}
		listeners = append(listeners, desks)
		fronts = append(fronts, sock.NewServer(desks, own.UWSGI.MaxConns, cfg.Limits.Budget(), uwsgi.New(own.UWSGI, &cfg.Site, c, log).Handle))
	}
	c.Listen(fronts)
	for _, f := range fronts {
		go f.Serve()
	}
	if doors != nil {
		door := admin.New(cfg.Site.Classes, c.Figures, holder, log)
		door.Also(figures)
		go door.Serve(doors)
		defer door.Close()
	}
	go workers.Keep(ctx)
	go list.Run(ctx)
	go func() { // the first of them decides; a reload that hangs does not hold it up
		<-on.leave
		if tests != nil {
			tests.Leave()
		}
		leave(c, listeners, start, &cfg.Site, log)
	}()
	go func() {
		for range on.reload {
			next, err := cfg.Reload(path)
			if err != nil {
				log.Error("reload", "err", err)
				continue
			}
			workers.Move(next.Pool)
			calls.Move(next.Index)
			list.Move(next.Lookup)
			log.Info("reloaded", "pool", next.Pool, "index", next.Index, "lookup", next.Lookup)
		}
	}()
	log.Info("started", "listen", cfg.Listen, "uwsgi", own.UWSGI.Listen, "store", own.Store.Redis, "ledger", own.Ledger.Dir)
	c.Run(ctx)
	endStore()
	last := time.After(lastWrites)
	closed := closeLedger(books, log)
	fronts.Stop(lastWrites)
	<-closed
	if stored != nil { // the end of the last run is shared: the next process may be asked for it
		select {
		case <-stored:
		case <-last: // it may be done all the same
			select {
			case <-stored:
			default:
				log.Warn("store", "do", "end", "err", "not done in time")
			}
		}
	}
	log.Info("stopped")
	return nil
}

// leave answers a SIGTERM: a handoff where a newer process of this server lives, else the notice to drain.
func leave(c *core.Core, listeners []net.Listener, start *handoff.StartFile, site *core.Site, log *slog.Logger) {
	found, err := start.Look()
	if err != nil {
		log.Warn("start file", "do", "look", "err", err)
	}
	next, ok := found.Successor()
	if !ok {
		c.Send(core.Drain{})
		return
	}
	deadlines := make([]time.Duration, len(site.Control.Classes))
	for i, k := range site.Control.Classes {
		deadlines[i] = k.Deadline
	}
	kill := handoff.Kill(deadlines)
	log.Info("handing off", "to", next, "kill_ms", kill.Milliseconds())
	if err := steer(listeners); err != nil {
		log.Warn("handing off", "err", err)
	}
	c.Send(core.Handoff{Kill: kill})
}

// steer has the kernel give the new connections of every front to the successor; err names each that it does not.
func steer(listeners []net.Listener) (err error) {
	for _, l := range listeners {
		if e := sock.Steer(l, 1); e != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", l.Addr(), e))
		}
	}
	return err
}

// closeLedger has the last entries written, while the fronts write their last answers.
func closeLedger(books *keeper.Keeper, log *slog.Logger) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if books == nil {
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), lastWrites)
		defer stop()
		if err := books.Close(ctx); err != nil {
			log.Error("ledger", "do", "end", "err", err)
		}
	}()
	return done
}
