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
	"larchscale/internal/pool"
	"larchscale/internal/sock"
)

const (
	memoryLimit = 128 << 20 // the platform kills at 192 MB
	maxConns    = 640       // balancers open at most half of 1,024 descriptors
	lastWrites  = 60 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stderr)) }

// run starts the program and gives its exit code: 2 for bad settings, 1 for what fails later.
func run(args []string, env func(string) string, out io.Writer) int {
	flags := flag.NewFlagSet("larchscale", flag.ContinueOnError)
	flags.SetOutput(out)
	path := flags.String("config", env("BALANCER_CONFIG"), "the platform's config.json")
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
	debug.SetMemoryLimit(memoryLimit)
	runtime.GOMAXPROCS(1)
	if err := serve(cfg, slog.New(slog.NewTextHandler(out, nil)).With("server", cfg.Name)); err != nil {
		fmt.Fprintln(out, "larchscale:", err)
		return 1
	}
	return 0
}

// serve wires the parts together and returns when the core has answered all after SIGTERM.
func serve(cfg *config.Config, log *slog.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	c := core.New(cfg.Site, log)
	workers := pool.New(cfg.Pool, c.Send, log)
	below := index.New(cfg.Index, c.Send, log)
	list := directory.New(cfg.Lookup, cfg.Name, log)
	c.Attach(workers, below, list, nil)
	front := sock.NewServer(listener, maxConns, jsonrpc.New(&cfg.Site, c, log).Handle)
	go workers.Keep(ctx)
	go list.Run(ctx)
	go front.Serve()
	go func() {
		<-signals
		c.Send(core.Drain{})
	}()
	log.Info("started", "listen", cfg.Listen)
	c.Run(ctx)
	front.Stop(lastWrites)
	log.Info("stopped")
	return nil
}
