// Command larchctl is the operators' command line.
//
// Exit codes: 0 = done; 1 = it could not be done; 2 = bad arguments or a bad file of settings; 3 = done, and what
// was asked for is not whole: a statement with something missing, a chain that does not hold.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	_ "time/tzdata" // the machine may have none of its own

	"github.com/alecthomas/kong"

	"larchscale/internal/config"
	"larchscale/internal/version"
)

const (
	exitFailed   = 1
	exitBad      = 2
	exitNotWhole = 3
)

// errNotWhole ends a command that did what it should and found something missing. What, is printed already.
var errNotWhole = errors.New("not whole")

// badInput is an error of the arguments or of a file of settings.
type badInput struct{ error }

func (e badInput) Unwrap() error { return e.error }

type cli struct {
	JSON    bool             `name:"json" help:"Print JSON rather than a table."`
	Version kong.VersionFlag `help:"Print the version."`
	Config  struct {
		Check checkCmd `cmd:"" help:"Check an operator's file."`
	} `cmd:"" help:"Settings."`
	Ledger ledgerCmd `cmd:"" help:"The ledger of use."`
	Fleet  outCmd    `cmd:"" help:"Taking boxes out for work."`
	Dev    devCmd    `cmd:"" help:"Try the real program on this machine, beside stand-ins on loopback."`
}

// console is where a command prints.
type console struct {
	out  io.Writer
	json bool
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out a command and gives the exit code.
func run(args []string, out, errs io.Writer) int {
	var c cli
	code := -1
	p, err := kong.New(&c, kong.Name("larchctl"), kong.Description("The operators' command line of larchscale."),
		kong.Vars{"version": "larchctl " + version.Number}, kong.Writers(out, errs), kong.Exit(func(n int) { code = n }))
	if err != nil {
		fmt.Fprintln(errs, "larchctl:", err)
		return exitBad
	}
	ctx, err := p.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintln(errs, "larchctl:", err)
		return exitBad
	}
	err = ctx.Run(&console{out, c.JSON})
	var bad badInput
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errNotWhole):
		return exitNotWhole
	case errors.As(err, &bad):
		fmt.Fprintln(errs, "larchctl:", err)
		return exitBad
	default:
		fmt.Fprintln(errs, "larchctl:", err)
		return exitFailed
	}
}

type checkCmd struct {
	File   string `arg:"" help:"The operator's TOML."`
	Config string `help:"The platform's config.json that it stands beside." placeholder:"FILE"`
}

func (c *checkCmd) Run(con *console) error {
	if _, err := operator(c.File, c.Config); err != nil {
		return err
	}
	return con.print(map[string]any{"file": c.File, "good": true}, func(w io.Writer) { fmt.Fprintln(w, c.File+": good") })
}

// operator reads an operator's file. Without the platform's it is checked as on 127.0.0.1.
func operator(path, platform string) (*config.Operator, error) {
	cfg := &config.Config{Listen: "127.0.0.1:0"}
	if platform != "" {
		var err error
		if cfg, err = config.Load(platform); err != nil {
			return nil, badInput{err}
		}
	}
	o, err := config.LoadOperator(path, cfg)
	if err != nil {
		return nil, badInput{err}
	}
	return o, nil
}
