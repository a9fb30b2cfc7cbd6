package main

import (
	"errors"
	"io"

	"github.com/alecthomas/kong"

	"larchscale/internal/version"
)

// flags are the program's arguments. The platform passes none: it names its file by the environment.
type flags struct {
	Config   string           `help:"The platform's config.json; BALANCER_CONFIG names it too." placeholder:"FILE"`
	Operator string           `help:"The operator's TOML, as deploy/operator.toml; without it all that it sets is off. LARCHSCALE_OPERATOR names it too." placeholder:"FILE"`
	Version  kong.VersionFlag `help:"Print the version."`
}

// parse reads the arguments, and the environment for those that are missing. A code of 0 or more is the exit code of a
// program that has nothing left to do, as after --help. A long flag may have one dash.
func parse(args []string, env func(string) string, out io.Writer) (f flags, code int, err error) {
	code = -1
	parser, err := kong.New(&f, kong.Name("larchscale"), kong.Description("One app server: the decision module on real sockets."),
		kong.Vars{"version": "larchscale " + version.Number}, kong.Writers(out, out), kong.Exit(func(c int) { code = c }))
	if err != nil {
		return f, code, err
	}
	if _, err = parser.Parse(longFlags(args)); err != nil || code >= 0 {
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

// longFlags returns the arguments with a second dash before each long flag that has one.
func longFlags(args []string) []string {
	long := make([]string, len(args))
	for i, arg := range args {
		if len(arg) > 2 && arg[0] == '-' && arg[1] != '-' {
			arg = "-" + arg
		}
		long[i] = arg
	}
	return long
}
