// Command larchscale is one app server: the decision module on real sockets.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
	_ "time/tzdata" // the host may have none of its own

	"larchscale/internal/config"
	"larchscale/internal/logs"
)

// lastLines bounds the wait for whoever reads the log when the program ends.
const lastLines = 20 * time.Millisecond

// The exit codes of the program.
const (
	exitOK          = 0
	exitFailed      = 1 // the server started and failed
	exitBadSettings = 2 // flags, files or the environment are at fault; nothing was served
)

func main() {
	catchSignals()
	os.Exit(run(os.Args[1:], os.Getenv, os.Stderr))
}

// run starts the program and returns its exit code.
func run(args []string, env func(string) string, out io.Writer) int {
	fail := func(code int, err error) int {
		fmt.Fprintln(out, "larchscale:", err)
		return code
	}
	// From the first step: a SIGTERM during start-up drains once it can.
	signals := notifySignals()
	defer signals.stop()
	flags, code, err := parse(args, env, out)
	if err != nil {
		return fail(exitBadSettings, err)
	}
	if code >= 0 {
		return code
	}
	cfg, operator, err := loadSettings(flags, env)
	if err != nil {
		return fail(exitBadSettings, err)
	}
	lines := logs.NewWriter(out)
	defer lines.Close(lastLines)
	log := slog.New(logs.New(lines)).With("server", cfg.Name)
	ledger, err := openLedger(operator, cfg, log)
	if err != nil {
		return fail(exitBadSettings, err)
	}
	debug.SetMemoryLimit(cfg.Limits.GoMemory())
	runtime.GOMAXPROCS(1)
	s := &server{configPath: flags.Config, config: cfg, operator: operator, ledger: ledger, signals: signals, log: log}
	if err := s.serve(); err != nil {
		<-closeLedger(ledger, log)
		return fail(exitFailed, err)
	}
	return exitOK
}

// loadSettings reads the platform's file, the operator's file and the environment, and checks them against the limits
// of this process.
func loadSettings(f flags, env func(string) string) (*config.Config, *config.Operator, error) {
	cfg, err := config.Load(f.Config)
	if err != nil {
		return nil, nil, err
	}
	var descriptors syscall.Rlimit // Go has raised the soft limit to the hard one
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return nil, nil, fmt.Errorf("descriptors: %w", err)
	}
	if err := cfg.Within(descriptors.Cur); err != nil {
		return nil, nil, err
	}
	if err := cfg.SetAdmin(env("BALANCER_ADMIN")); err != nil {
		return nil, nil, err
	}
	operator, err := config.LoadOperator(f.Operator, cfg)
	if err != nil {
		return nil, nil, err
	}
	return cfg, operator, nil
}
