// Command measure takes the figures of docs/measurements.md. Each subcommand prints rows of name, value, unit and
// bound, and ends with exit code 1 if a value is past its bound. Figures that are compared come from one run.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"larchscale/internal/standin"
)

type cli struct {
	Ledger   ledgerCmd   `cmd:"" help:"The ledger of use."`
	Ops      opsCmd      `cmd:"" help:"The operators' door, its drain, and a handoff between two processes."`
	Fleet    fleetCmd    `cmd:"" help:"Taking boxes out: a plan over real processes, a change of leader, what it costs a box."`
	Hand     handCmd     `cmd:"" help:"Keyed work that outlives its box, beside the same program without."`
	Stopper  stopperCmd  `cmd:"" help:"Trials of two ways: wrong winners over looks at every second, and units until a stop."`
	Forecast forecastCmd `cmd:"" help:"Hits of kept replies foretold over moves of slices, with simulated boxes."`
	Capacity capacityCmd `cmd:"" help:"The tables of docs/CAPACITY.md, from what is recorded."`
	Scale    scaleCmd    `cmd:"" help:"What servers cost at the size of a large fleet."`

	Recover recoverCmd `cmd:"" hidden:"" help:"Part of ledger, in a process of its own."`
	Hour    hourCmd    `cmd:"" hidden:"" help:"Part of ledger, in a process of its own."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("measure"), kong.Description("Takes the figures of docs/measurements.md."))
	r := &report{}
	if err := ctx.Run(r); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(2)
	}
	if r.past {
		os.Exit(1)
	}
}

// built makes a directory with the real program in it, until clean is called.
func built() (home, program string, clean func(), err error) {
	if home, err = os.MkdirTemp("", "larchscale-measure-"); err != nil {
		return "", "", nil, err
	}
	if program, err = standin.Build(home); err != nil {
		os.RemoveAll(home)
	}
	return home, program, func() { os.RemoveAll(home) }, err
}

// report prints rows and notes whether one is past its bound.
type report struct{ past bool }

// row prints a figure without a bound.
func (r *report) row(name string, value float64, unit string) {
	fmt.Printf("%-42s %12.3f %-12s -\n", name, value, unit)
}

// most prints a figure that must not be over a bound, least one that must not be under it.
func (r *report) most(name string, value float64, unit string, bound float64) {
	r.bound(name, value, unit, "<=", bound, value <= bound)
}

func (r *report) least(name string, value float64, unit string, bound float64) {
	r.bound(name, value, unit, ">=", bound, value >= bound)
}

func (r *report) bound(name string, value float64, unit, sign string, bound float64, kept bool) {
	mark := ""
	if !kept {
		mark, r.past = " PAST", true
	}
	fmt.Printf("%-42s %12.3f %-12s %s %g%s\n", name, value, unit, sign, bound, mark)
}
