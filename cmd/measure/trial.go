package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/trial"
	"larchscale/internal/fleet/trials"
	"larchscale/internal/sequential"
	"larchscale/internal/standin"
)

// stops measures over real processes how long after an operator's word, and after a box was last seen without an outcome that
// the fleet found itself, the last unit goes to the arm that is out.
func (c stopperCmd) stops(r *report) error {
	home, err := os.MkdirTemp("", "larchscale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(home)
	program, err := standin.Build(home)
	if err != nil {
		return err
	}
	below, err := standin.NewBelow(0.7)
	if err != nil {
		return err
	}
	defer below.Close()
	f, err := standin.NewFleet(program, home, standin.FleetOptions{Boxes: c.Boxes, Zones: 3, Voters: 3, DrainMs: 300, SilentMs: 1500, TakeOver: true, TrialCalls: []string{below.Addr}})
	if err != nil {
		return err
	}
	defer f.Close()
	f.Call(8)
	say := func(w trials.Word) error {
		data, err := json.Marshal(w)
		if err != nil {
			return err
		}
		return f.Members[0].Say(context.Background(), driver.Command{Part: trials.Part, Data: data})
	}
	start := func(id string) error {
		return say(trials.Word{Start: &trial.Spec{ID: id, By: "measure", Reason: "measure", Split: trial.Subject, Thing: standin.Classes[0], Values: [2]string{trials.Present, below.Addr}, Salt: c.Seed,
			BlockMs: trial.MinBlockMs, Blocks: 10, MostLost: 1, Plan: sequential.Plan{Alpha: 0.05, Futility: 0.05, Harm: 0.01, Void: 0.001, Base: 0.8, Effect: 0.3, Margin: 0.15, Ratio: 0.5, Least: 30,
				Guards: []sequential.Guard{{Name: trials.Failures, Base: 0.9, Tolerance: 0.05}}}}})
	}
	flows := func() bool { n := below.Calls(); time.Sleep(300 * time.Millisecond); return below.Calls() > n+20 }
	after := func(from time.Time) float64 { // once none can be on its way
		time.Sleep(1500 * time.Millisecond)
		return max(0, float64(below.Last().Sub(from).Microseconds())/1000)
	}
	if err := standin.Until("a trial begins", 20*time.Second, func() bool { return start("stopped") == nil }); err != nil {
		return err
	}
	if err := standin.Until("units flow", 15*time.Second, flows); err != nil {
		return err
	}
	said := time.Now()
	if err := say(trials.Word{Stop: &trials.Stop{ID: "stopped", By: "measure", Why: "measure"}}); err != nil {
		return err
	}
	r.most(fmt.Sprintf("operator's stop to the last unit, %d boxes", c.Boxes), after(said), "ms", 1000)
	if err := start("harm"); err != nil {
		return err
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		var s trials.Status
		asked := time.Now()
		if err := f.Members[0].Stands(trials.Part, &s); err != nil {
			return err
		}
		t := s.Trial("harm")
		switch {
		case t != nil && t.Outcome.Verdict == sequential.Harm:
		case t != nil && !t.Open():
			return fmt.Errorf("an arm that spoils runs ended as %v: %s", t.Outcome.Verdict, t.Outcome.Why)
		case asked.After(end):
			return fmt.Errorf("an arm that spoils runs is not stopped: %w", standin.ErrWait)
		default:
			said = asked // it had no outcome then
			continue
		}
		break
	}
	r.most("stop to no more units for the loser", after(said), "ms", 1000)
	return nil
}
