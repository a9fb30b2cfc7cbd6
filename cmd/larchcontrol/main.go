// Command larchcontrol is one control node of a fleet: it agrees with the others on leases, configuration and maintenance,
// and has the sessions of app servers.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"larchscale/internal/config"
	"larchscale/internal/logs"
	"larchscale/internal/version"
)

// lastLines bounds the wait for whoever reads the log when the program ends.
const lastLines = 20 * time.Millisecond

const (
	exitFailed = 1
	exitBad    = 2
)

func main() {
	signal.Ignore(syscall.SIGPIPE) // the end of whoever reads the log must not end the program
	os.Exit(run(os.Args[1:], os.Stderr))
}

// flags are the program's arguments.
type flags struct {
	Config  string           `help:"The node's TOML, as deploy/control.toml." required:"" placeholder:"FILE"`
	Version kong.VersionFlag `help:"Print the version."`
}

// run starts the program and returns its exit code: 2 for bad settings, 1 for what fails later.
func run(args []string, out io.Writer) int {
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(leave)
	bad := func(err error) int {
		fmt.Fprintln(out, "larchcontrol:", err)
		return exitBad
	}
	f, code, err := parse(args, out)
	if err != nil {
		return bad(err)
	}
	if code >= 0 {
		return code
	}
	settings, err := config.LoadControl(f.Config)
	if err != nil {
		return bad(err)
	}
	if err := checkDescriptors(settings); err != nil {
		return bad(err)
	}
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * 3 / 4)
	lines := logs.NewWriter(out)
	defer lines.Close(lastLines)
	log := slog.New(logs.New(lines)).With("node", settings.Name)
	if err := serve(settings, leave, log); err != nil {
		fmt.Fprintln(out, "larchcontrol:", err)
		return exitFailed
	}
	return 0
}

// parse reads the arguments; a code of 0 or more ends the program.
func parse(args []string, out io.Writer) (f flags, code int, err error) {
	code = -1
	parser, err := kong.New(&f, kong.Name("larchcontrol"), kong.Description("One control node of a fleet."),
		kong.Vars{"version": "larchcontrol " + version.Number}, kong.Writers(out, out), kong.Exit(func(n int) { code = n }))
	if err != nil {
		return f, code, err
	}
	_, err = parser.Parse(args)
	return f, code, err
}

// checkDescriptors finds settings that need more descriptors than the process may have.
func checkDescriptors(settings *config.Control) error {
	var kernel syscall.Rlimit // Go has raised the soft limit to the hard one
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &kernel); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if need := settings.Sockets(); uint64(need) > kernel.Cur {
		return fmt.Errorf("max_sessions of %d needs %d descriptors, the process may have %d", settings.MaxSessions, need, kernel.Cur)
	}
	return nil
}
