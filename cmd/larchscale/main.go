// Command larchscale is one app server: the decision module on real sockets.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"larchscale/internal/config"
	"larchscale/internal/core"
	"larchscale/internal/directory"
	"larchscale/internal/index"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/logs"
	"larchscale/internal/pool"
	"larchscale/internal/sock"
	"larchscale/internal/store"
	"larchscale/internal/uwsgi"
)

const (
	lastWrites = 60 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stderr)) }

// run starts the program and gives its exit code: 2 for bad settings, 1 for what fails later.
func run(args []string, env func(string) string, out io.Writer) int {
	flags := flag.NewFlagSet("larchscale", flag.ContinueOnError)
	flags.SetOutput(out)
	path := flags.String("config", env("BALANCER_CONFIG"), "the platform's config.json")
	operator := flags.String("operator", env("LARCHSCALE_OPERATOR"), "the operator's TOML, as deploy/uwsgi.toml; none = no uwsgi front")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if *path == "" {
		fmt.Fprintln(out, "larchscale: no configuration: set BALANCER_CONFIG or -config")
		return 2
	}
	cfg, err := config.Load(*path)
	if err != nil {
		fmt.Fprintln(out, "larchscale:", err)
		return 2
	}
	own, err := config.LoadOperator(*operator, cfg)
	if err != nil {
		fmt.Fprintln(out, "larchscale:", err)
		return 2
	}
	debug.SetMemoryLimit(cfg.Limits.GoMemory())
	runtime.GOMAXPROCS(1)
	if err := serve(*path, cfg, own, slog.New(logs.New(out)).With("server", cfg.Name)); err != nil {
		fmt.Fprintln(out, "larchscale:", err)
		return 1
	}
	return 0
}

// serve wires the parts together and returns when the core has answered all after SIGTERM. SIGHUP moves the
// links to the addresses in the file as it is then; all else lives on.
func serve(path string, cfg *config.Config, own *config.Operator, log *slog.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	others := 0
	if own.UWSGI.Listen != "" {
		others += own.UWSGI.MaxConns
	}
	if len(own.UWSGI.Below) > 0 {
		others += own.UWSGI.MaxCalls
	}
	conns := cfg.Limits.Conns(others)
	cfg.SetConns(conns)
	c := core.New(cfg.Site, log)
	workers := pool.New(cfg.Pool, c.Send, log)
	list := directory.New(cfg.Lookup, cfg.Name, log)
	calls := index.New(cfg.Index, cfg.Limits.Calls, c.Send, log)
	var below core.Caller = calls
	if len(own.UWSGI.Below) > 0 {
		below = uwsgi.NewClient(own.UWSGI, c.Send)
	}
	var keys core.Store
	if own.Store.Redis != "" {
		db := store.New(own.Store, cfg.Owner(), cfg.Site.Classes, c.Send, log)
		go db.Run(ctx)
		keys = db
	}
	c.Attach(workers, below, list, keys)
	fronts := []*sock.Server{sock.NewServer(listener, conns, cfg.Limits.Budget(), jsonrpc.New(&cfg.Site, c, log).Handle)}
	if own.UWSGI.Listen != "" {
		desks, err := net.Listen("tcp", own.UWSGI.Listen)
		if err != nil {
			return err
		}
		fronts = append(fronts, sock.NewServer(desks, own.UWSGI.MaxConns, cfg.Limits.Budget(), uwsgi.New(own.UWSGI, &cfg.Site, c, log).Handle))
	}
	for _, f := range fronts {
		go f.Serve()
	}
	go workers.Keep(ctx)
	go list.Run(ctx)
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				c.Send(core.Drain{})
				continue
			}
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
	log.Info("started", "listen", cfg.Listen, "uwsgi", own.UWSGI.Listen, "store", own.Store.Redis)
	c.Run(ctx)
	for _, f := range fronts {
		f.Stop(lastWrites)
	}
	log.Info("stopped")
	return nil
}
