package driver

import (
	"errors"
	"fmt"
	"slices"
)

// maxTrialCalls bounds the addresses of trials: each may have as many connections as the index has.
const maxTrialCalls = 2

// Options are the operator's table [fleet].
type Options struct {
	Dir      string `toml:"dir"`  // where the log is kept; "" = no part in a fleet
	Zone     string `toml:"zone"` // the box's
	Voters   int    `toml:"voters"`
	SilentMs int    `toml:"silent_ms"`
	DrainMs  int    `toml:"drain_ms"` // a box's health says no for so long before it is out
	// TakeOver has keyed work claimed at homes in the fleet, which outlives this box.
	TakeOver bool `toml:"take_over"`
	// TrialCalls are addresses like the platform's index that calls below may go to in a trial.
	TrialCalls []string `toml:"trial_calls"`
	// Members are the names of those that may be members of raft; none = any that knocks.
	Members []string `toml:"-"`
}

// mayJoin tells whether a member of that name may be let in.
func (o *Options) mayJoin(name string) bool {
	return len(o.Members) == 0 || slices.Contains(o.Members, name)
}

// Defaults are the options that a file need not name.
func Defaults() Options {
	return Options{Voters: 3, SilentMs: 3000, DrainMs: 5000, TrialCalls: []string{}}
}

// Check finds what cannot be.
func (o *Options) Check() error {
	switch {
	case o.Voters < 1 || o.Voters > 7 || o.Voters%2 == 0:
		return fmt.Errorf("fleet.voters is %d; 1, 3, 5 or 7", o.Voters)
	case o.SilentMs < 1000 || o.SilentMs > 60_000:
		return fmt.Errorf("fleet.silent_ms is %d, 1000 to 60000", o.SilentMs)
	case o.DrainMs < 0 || o.DrainMs > 600_000:
		return fmt.Errorf("fleet.drain_ms is %d, 0 to 600000", o.DrainMs)
	case o.Dir != "" && o.Zone == "":
		return errors.New("fleet.dir needs fleet.zone")
	case len(o.TrialCalls) > maxTrialCalls:
		return fmt.Errorf("fleet.trial_calls names %d addresses, up to %d can be", len(o.TrialCalls), maxTrialCalls)
	case len(o.TrialCalls) > 0 && !o.TakeOver:
		return errors.New("fleet.trial_calls needs fleet.take_over: a box without a lease could miss an outcome")
	case o.TakeOver && o.Dir == "":
		return errors.New("fleet.take_over needs fleet.dir")
	}
	return nil
}
