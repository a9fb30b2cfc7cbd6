package driver

import (
	"errors"
	"fmt"
	"slices"
)

// maxTrialCalls limits the addresses of experiments: each may have as many connections as the index has.
const maxTrialCalls = 2

// Options are the options of the operator's table [fleet].
type Options struct {
	Dir      string `toml:"dir"`  // directory of the log; "" = this server is not part of a fleet
	Zone     string `toml:"zone"` // this server's zone
	Voters   int    `toml:"voters"`
	SilentMs int    `toml:"silent_ms"`
	DrainMs  int    `toml:"drain_ms"` // how long the health check fails before the server counts as drained
	// TakeOver has keyed requests claimed at homes in the fleet, so that their claims outlive this server.
	TakeOver bool `toml:"take_over"`
	// TrialCalls are addresses of services like the platform's index, to which downstream calls may go in an
	// experiment.
	TrialCalls []string `toml:"trial_calls"`
	// Members are the names of the servers that may become members of the raft group; none = any that asks to join.
	Members []string `toml:"-"`
}

// mayJoin reports whether a server with a name may be admitted.
func (o *Options) mayJoin(name string) bool {
	return len(o.Members) == 0 || slices.Contains(o.Members, name)
}

// Defaults returns the options that apply where the file names none.
func Defaults() Options {
	return Options{Voters: 3, SilentMs: 3000, DrainMs: 5000, TrialCalls: []string{}}
}

// Check returns an error if an option is out of bounds or lacks another one that it needs.
func (o *Options) Check() error {
	switch {
	case o.Voters < 1 || o.Voters > 7 || o.Voters%2 == 0:
		return fmt.Errorf("fleet.voters is %d, must be 1, 3, 5 or 7", o.Voters)
	case o.SilentMs < 1000 || o.SilentMs > 60_000:
		return fmt.Errorf("fleet.silent_ms is %d, must be 1000 to 60000", o.SilentMs)
	case o.DrainMs < 0 || o.DrainMs > 600_000:
		return fmt.Errorf("fleet.drain_ms is %d, must be 0 to 600000", o.DrainMs)
	case o.Dir != "" && o.Zone == "":
		return errors.New("fleet.dir needs fleet.zone")
	case len(o.TrialCalls) > maxTrialCalls:
		return fmt.Errorf("fleet.trial_calls names %d addresses, at most %d are allowed", len(o.TrialCalls), maxTrialCalls)
	case len(o.TrialCalls) > 0 && !o.TakeOver:
		return errors.New("fleet.trial_calls needs fleet.take_over: a server without a lease could miss an experiment's outcome")
	case o.TakeOver && o.Dir == "":
		return errors.New("fleet.take_over needs fleet.dir")
	}
	return nil
}
