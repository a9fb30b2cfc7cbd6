package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"larchscale/internal/measure/sessions"
)

// What events may take.
const (
	mostElection   = 2 * time.Second
	mostServed     = 5 * time.Second
	mostSettled    = 11 * time.Second
	mostChange     = 11 * time.Second
	mostChange99   = 2 * time.Second
	cutFor         = 10 * time.Second
	regionsCutFor  = 15 * time.Second
	changeCount    = 200
	changeEvery    = 50 * time.Millisecond
	singleChanges  = 5
	singleEvery    = 2 * time.Second
	killChangesAt  = 5 * time.Second // after the first of the changes
	changesMissed  = 3               // made while servers are cut off
	changesPause   = 200 * time.Millisecond
	lastZone       = 4
	majorityRegion = 0
	minorityRegion = 1
)

// eventRun has events happen to one fleet.
type eventRun struct {
	command *scaleSessionsCmd
	fleet   *sessions.Fleet
	report  *report
	series  *series
	name    string // of the round
}

// events has each event happen to a fleet, one after the other.
func (c *scaleSessionsCmd) events(ctx context.Context, r *report) error {
	options := c.options("", c.Servers)
	options.ByZone, options.Relays = true, true
	progress("events at %d servers: starting", c.Servers)
	fleet, clean, err := c.start(ctx, options)
	if err != nil {
		return err
	}
	defer clean()
	built, err := fleet.Build(ctx)
	if err != nil {
		return err
	}
	progress("built in %.1f s", built.Time.Seconds())
	e := &eventRun{command: c, fleet: fleet, report: r, series: newSeries()}
	var failed error
	for round := range c.Repeats {
		progress("round %d of %d", round+1, c.Repeats)
		failed = errors.Join(failed, e.round(ctx, fmt.Sprint("round", round+1)))
		if ctx.Err() != nil {
			return failed
		}
	}
	if failed != nil {
		r.past = true
		progress("not all events were measured")
	}
	return nil
}

// round has all events happen once. Documents that change in it have keys that begin with its name.
func (e *eventRun) round(ctx context.Context, name string) (failed error) {
	e.name = name
	for _, event := range []struct {
		name string
		run  func(context.Context) (mayLose func(string) bool, err error)
	}{
		{"config", e.changes(nobody)},
		{"config.killed.follower", e.changes(follower)},
		{"config.killed.leader", e.changes(leader)},
		{"failover.leader", e.leaderKilled},
		{"failover.follower", e.followerKilled},
		{"zone", e.zoneCut},
		{"regions", e.regionsCut},
		{"outage", e.outage},
		{"release", e.release},
	} {
		if wanted := e.command.Events; len(wanted) > 0 && !slices.Contains(wanted, event.name) {
			continue
		}
		if err := e.event(ctx, event.name, event.run); err != nil {
			progress("%s: failed: %v", event.name, err)
			failed = errors.Join(failed, fmt.Errorf("%s: %w", event.name, err))
		}
		if ctx.Err() != nil {
			return failed
		}
		if err := recordSeries(e.command.JSON, sessionDesign, e.command.command(partEvents), e.command.Revision, e.series); err != nil {
			return err
		}
	}
	return failed
}

// event has one event happen to a fleet that is whole, and holds what it left behind against the record of before.
func (e *eventRun) event(ctx context.Context, name string, run func(context.Context) (func(string) bool, error)) error {
	progress("%s", name)
	if err := e.fleet.Whole(ctx, time.Now()); err != nil {
		return fmt.Errorf("before it: %w", err)
	}
	record, err := e.fleet.Record()
	if err != nil {
		return err
	}
	mayLose, err := run(ctx)
	if err != nil {
		return err
	}
	if err := e.fleet.Whole(ctx, time.Now()); err != nil {
		return fmt.Errorf("after it: %w", err)
	}
	findings, err := e.fleet.Findings(record, mayLose)
	if err != nil {
		return err
	}
	for _, violation := range findings.Violations {
		progress("%s: VIOLATION: %s", name, violation)
	}
	e.add(name+".lost", "leases", "of servers that were neither cut off nor ended", float64(findings.Lost))
	e.report.most(name+": leases lost", float64(findings.Lost), "leases", 0)
	e.report.most(name+": violations", float64(len(findings.Violations)), "", 0)
	e.report.row(name+": leases lost by those cut off", float64(findings.Allowed), "leases")
	e.report.row(name+": servers that had whole copies", float64(findings.Snapshots), "servers")
	return nil
}

func (e *eventRun) add(name, unit, note string, value float64) {
	e.series.add(name, unit, note, e.command.Servers, value)
}

// took records a time and holds it against a bound.
func (e *eventRun) took(name, note string, value, most time.Duration) {
	e.add(name, "s", note+"; "+wallNote, value.Seconds())
	e.report.most(name, value.Seconds(), "s", most.Seconds())
	progress("%s: %.2f s", name, value.Seconds())
}

func none(string) bool { return false }

// victim is the control node that is killed during changes.
type victim string

const (
	nobody   victim = ""
	follower victim = "follower"
	leader   victim = "leader"
)

// victimOf returns the node to be killed; nil = none.
func (e *eventRun) victimOf(v victim) (*sessions.Node, error) {
	switch v {
	case leader:
		return e.fleet.Leader()
	case follower:
		return e.fleet.Busiest()
	}
	return nil, nil
}

// changes has documents change, at a rate and one by one, while a node may be killed.
func (e *eventRun) changes(v victim) func(context.Context) (func(string) bool, error) {
	name := "config"
	if v != nobody {
		name += ".killed." + string(v)
	}
	return func(ctx context.Context) (func(string) bool, error) {
		node, err := e.victimOf(v)
		if err != nil {
			return nil, err
		}
		killed := make(chan error, 1)
		if node != nil {
			time.AfterFunc(killChangesAt, func() {
				progress("%s: %s is killed", name, node.Name)
				node.Kill()
				killed <- node.Start(ctx)
			})
		}
		leaderCPU, othersCPU, err := e.fleet.NodeCPU()
		if err != nil {
			return nil, err
		}
		many, err := e.fleet.Change(ctx, e.name+"/"+name+"/many", changeCount, changeEvery)
		if err != nil {
			return nil, err
		}
		if node != nil {
			if err := <-killed; err != nil {
				return nil, err
			}
		}
		note := fmt.Sprintf("from asked for until in force at all servers, %d changes, 20 a second; who is not answered within 1 s asks another node", changeCount)
		e.add(name+".p50", "s", note+"; "+wallNote, many.Median().Seconds())
		e.add(name+".agreed.p99", "s", "from asked for until the node that was asked said that it is agreed; "+wallNote, many.Agreed99().Seconds())
		progress("%s: median %.2f s, agreed in %.2f s of 99 in 100", name, many.Median().Seconds(), many.Agreed99().Seconds())
		e.took(name+".p99", note, many.Percentile99(), mostChange99)
		e.took(name+".max", note, many.Most(), mostChange)
		if node != nil {
			return none, nil
		}
		if err := e.changeCPU(leaderCPU, othersCPU); err != nil {
			return nil, err
		}
		single, err := e.fleet.Change(ctx, e.name+"/"+name+"/single", singleChanges, singleEvery)
		if err != nil {
			return nil, err
		}
		e.took(name+".single.max", "the slowest of five changes, one by one", single.Most(), mostChange99)
		return none, nil
	}
}

// changeCPU records what each change took of the control nodes, their work at rest included.
func (e *eventRun) changeCPU(leaderBefore, othersBefore time.Duration) error {
	leader, others, err := e.fleet.NodeCPU()
	if err != nil {
		return err
	}
	note := fmt.Sprintf("CPU for each of %d changes, 20 a second, the work at rest included", changeCount)
	each := func(used time.Duration) float64 { return used.Seconds() * 1000 / changeCount }
	ofLeader, ofFollower := each(leader-leaderBefore), each(others-othersBefore)/float64(max(1, e.command.Control-1))
	e.add("leader.change.cpu", "ms", note, ofLeader)
	e.add("follower.change.cpu", "ms", note, ofFollower)
	e.report.row("leader.change.cpu", ofLeader, "ms")
	e.report.row("follower.change.cpu", ofFollower, "ms")
	return nil
}

// leaderKilled kills the leader, and starts it again afterwards.
func (e *eventRun) leaderKilled(ctx context.Context) (func(string) bool, error) {
	node, err := e.fleet.Leader()
	if err != nil {
		return nil, err
	}
	node.Kill()
	at := time.Now()
	elected, err := e.fleet.AwaitLeader(ctx, node, at)
	if err != nil {
		return nil, err
	}
	e.took("failover.leader.elected", "until another node says that it leads", elected, mostElection)
	served, err := e.fleet.AwaitServed(ctx, at)
	if err != nil {
		return nil, err
	}
	e.took("failover.leader.served", "until all servers hold leases that were granted after the leader's end", served, mostServed)
	return none, node.Start(ctx)
}

// followerKilled kills the follower with the most sessions, and starts it again afterwards.
func (e *eventRun) followerKilled(ctx context.Context) (func(string) bool, error) {
	node, err := e.fleet.Busiest()
	if err != nil {
		return nil, err
	}
	node.Kill()
	served, err := e.fleet.AwaitServed(ctx, time.Now())
	if err != nil {
		return nil, err
	}
	e.took("failover.follower.served", "until all servers hold leases that were granted after the node's end", served, mostServed)
	return none, node.Start(ctx)
}

// missed makes changes that servers which are cut off do not hear of.
func (e *eventRun) missed(ctx context.Context, name string) error {
	for i := range changesMissed {
		if err := e.fleet.Put(ctx, fmt.Sprintf("%s/%s/missed/%d", e.name, name, i), 0); err != nil {
			return err
		}
		time.Sleep(changesPause)
	}
	return nil
}

// zoneCut stops all servers of a zone for a while.
func (e *eventRun) zoneCut(ctx context.Context) (func(string) bool, error) {
	zone := min(lastZone, e.command.Zones-1)
	thaw, err := e.fleet.FreezeZone(zone)
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(cutFor)
	missedErr := e.missed(ctx, "zone")
	waitUntil(ctx, end)
	if err := errors.Join(missedErr, thaw()); err != nil {
		return nil, err
	}
	return e.fleet.InZone(zone), e.settled(ctx, "zone.settled", fmt.Sprintf("after the servers of a zone stood still for %s, until the fleet is whole", cutFor))
}

func waitUntil(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
}

// settled waits until the fleet is whole again.
func (e *eventRun) settled(ctx context.Context, name, note string) error {
	at := time.Now()
	if err := e.fleet.Whole(ctx, at); err != nil {
		return err
	}
	e.took(name, note, time.Since(at), mostSettled)
	return nil
}

// regionsCut cuts the regions apart for a while: the lesser one serves on without leases.
func (e *eventRun) regionsCut(ctx context.Context) (func(string) bool, error) {
	e.fleet.CutRegions()
	end := time.Now().Add(regionsCutFor)
	missedErr := e.missed(ctx, "regions")
	waitUntil(ctx, end)
	minority, standErr := e.fleet.StandingOf(minorityRegion)
	majority, majorityErr := e.fleet.StandingOf(majorityRegion)
	serveErr := e.fleet.Serve(minorityRegion)
	e.fleet.Heal()
	if err := errors.Join(missedErr, standErr, majorityErr, serveErr); err != nil {
		return nil, err
	}
	e.report.most("regions: leases in the lesser region", float64(minority.Leased), "leases", 0)
	e.report.least("regions: leases in the other region", float64(majority.Leased), "leases", float64(majority.Servers))
	return e.fleet.InRegion(minorityRegion), e.settled(ctx, "regions.settled", fmt.Sprintf("after regions were apart for %s, until the fleet is whole", regionsCutFor))
}

// outage kills all control nodes and starts them again at once.
func (e *eventRun) outage(ctx context.Context) (func(string) bool, error) {
	e.fleet.KillAll()
	at := time.Now()
	if err := e.fleet.StartAll(ctx); err != nil {
		return nil, err
	}
	served, err := e.fleet.AwaitServed(ctx, at)
	if err != nil {
		return nil, err
	}
	e.took("outage.served", "after all control nodes were killed and started again, until all servers hold leases granted after that", served, mostSettled)
	return func(string) bool { return true }, nil
}

// release restarts all hollow servers, one process of them after the other.
func (e *eventRun) release(ctx context.Context) (func(string) bool, error) {
	longest := time.Duration(0)
	for i := range e.fleet.Workers() {
		if err := e.fleet.Restart(ctx, i); err != nil {
			return nil, err
		}
		at := time.Now()
		if err := e.fleet.Whole(ctx, at); err != nil {
			return nil, err
		}
		longest = max(longest, time.Since(at))
	}
	e.took("release.settled", "of a process of hollow servers that was ended and started, until the fleet is whole; the longest", longest, mostSettled)
	return func(string) bool { return true }, nil
}
