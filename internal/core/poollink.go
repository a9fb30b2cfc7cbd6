package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"larchscale/control"
	"larchscale/internal/settings"
)

// The link to the worker pool: its ends and beginnings, the starts of the pool, and what the pool reports.

// resyncPrefix begins the tickets of the gauge requests that follow a new link.
const resyncPrefix = "r"

// poolLinkLost handles the end of a link. What is in doubt with it is decided once the next link has told the notices that
// were missed.
func (c *Core) poolLinkLost() {
	if !c.linkUp {
		return // commands since then were not sent
	}
	c.linkUp = false
	inDoubt := c.markInDoubt()
	c.metrics.counts.Pool.InDoubt += uint64(inDoubt)
	c.metricsChanged()
	c.log.Info("worker pool link", "up", false, "open", len(c.byID), "commands_in_doubt", inDoubt)
}

// poolBound handles a new link to the worker pool; the first one creates the controller.
func (c *Core) poolBound(e PoolBound) {
	started, lastSeen := c.now-e.Age, c.poolLastSeen
	c.poolLastSeen, c.boundAt = c.now, c.now
	c.metrics.counts.Pool.Links++
	c.metricsChanged()
	if c.controller == nil {
		c.linkUp = true
		c.startController(e.Cold, started)
		return
	}
	// The reported age is too small by the time the message took, so the computed start of a pool that is already
	// known is late by that time.
	if started > min(c.poolStarted+time.Second, lastSeen) {
		c.linkUp = true
		c.poolRestarted(e.Cold, started)
		return
	}
	c.poolLinkLost()
	c.resyncTicket = c.sendPoll(resyncPrefix) // commands wait for its answer, so that missed notices are read first
}

// startController creates the controller for a worker pool that started at the given time.
func (c *Core) startController(cold bool, started time.Duration) {
	config := c.site.Control
	config.Cold = cold
	controller, err := control.New(config, max(started, 0), actionRecorder{c})
	if err != nil { // the configuration was checked at the start of the program
		c.log.Error("controller", "err", err)
		c.done = true
		return
	}
	c.controller, c.poolStarted, c.poolWarm = controller, started, started
	if cold {
		c.poolWarm += config.ColdFor
	}
	c.metricsChanged()
	c.log.Info("worker pool up", "cold", cold, "age_ms", (c.now - started).Milliseconds())
	if c.draining {
		c.controller.DrainSince(c.now, c.drainStart, max(0, c.drainStart+c.site.StopTime-answerAllMargin-c.now))
	}
	c.reportAvailability()
}

// poolRestarted handles a worker pool that was restarted independently of this server. Its runs are lost, which
// counts as run and failed. A new controller takes over the held requests, because the old one would treat the cold
// pool as warm.
func (c *Core) poolRestarted(cold bool, started time.Duration) {
	c.log.Warn("worker pool restarted", "open", len(c.byID))
	ids := slices.Sorted(maps.Keys(c.byID)) // the owner of a key comes before its repeats
	for _, id := range ids {
		if r := c.byID[id]; r != nil && r.ran &&
			(r.state != stateHeld || c.site.Control.Classes[r.Class].Effect != control.Safe) {
			c.runFinished(PoolFinished{Handle: r.Handle, Outcome: control.Errored})
		}
	}
	c.startController(cold, started)
	for _, id := range ids {
		r := c.byID[id]
		if r == nil {
			continue
		}
		delete(c.byID, id)
		repeatOf := uint32(0)
		if r.entry != nil && r.entry.owner != r {
			repeatOf = 1
			r.entry.removeWaiter(r)
		}
		c.submit(r, repeatOf)
	}
}

// commandUnknown handles a command that was not carried out. A write that was requested once and rejected by the worker
// pool never began. Without this, the request and its key would wait for a run that does not exist.
func (c *Core) commandUnknown(e PoolCommandUnknown) {
	r := c.byHandle[e.Handle]
	if r == nil || e.Command != "spawn" || r.state != stateRunning {
		return
	}
	if r.runCommands > 1 && c.site.Control.Classes[r.Class].Effect != control.Safe {
		return
	}
	r.command.settle()
	r.state = stateFinishing
	if c.owns(r.entry) {
		c.answer(r, Answer{Kind: Invalid, Why: "the worker pool does not know this request"})
		c.undoRun(r)
	}
	c.finish(r, control.NotStarted, 0)
}

// undoRun records that a run of r never began after all, and passes its key to the next try.
func (c *Core) undoRun(r *request) {
	r.ran = false
	if e := r.entry; e != nil && e.owner == r {
		e.ran = false
		c.releaseKey(e)
	}
}

// runFinished handles the end of a run.
func (c *Core) runFinished(e PoolFinished) {
	c.poolLastSeen = c.now
	r := c.byHandle[e.Handle]
	if r == nil || !r.ran || r.state == stateFinishing {
		c.unknownEnd(e)
		return
	}
	r.command.settle()
	r.stopRequested = false
	c.timers.remove(&r.waitTimer)
	if r.state == stateCalling {
		c.abandonCall(r)
	}
	r.addRun(c.now, e.RunTime)
	answer := Answer{Kind: Failed, Why: whyRunFailed}
	switch e.Outcome {
	case control.OK:
		c.deepChecks.lastProof = c.now
		answer = Answer{Kind: Served, Body: e.Body}
	case control.Stopped:
		if !r.answered { // stopped by the controller and held again
			r.state = stateHeld
			c.controller.Done(c.now, r.id, e.RunTime, control.Stopped)
			return
		}
	}
	r.state = stateFinishing
	r.Body, r.callBody = nil, nil // the run is not requested again
	switch {
	case r.entry == nil:
		c.answer(r, answer)
	case e.Outcome == control.NotStarted && r.runCommands <= 1:
		c.answer(r, answer)
		c.undoRun(r)
	default:
		c.finishEntry(r.entry, e.Outcome == control.OK, e.Body)
	}
	if r.answered {
		c.finish(r, e.Outcome, e.RunTime)
	} else {
		c.awaitStored(r, e.Outcome, e.RunTime)
	}
}

// unknownEnd records the end of a run that no open request waits for. The end of a run that was started twice is one.
func (c *Core) unknownEnd(e PoolFinished) {
	c.metrics.counts.Pool.UnknownEnds++
	c.metricsChanged()
	c.log.Info("run ended that nobody waits for", "id", e.Handle, "completed", e.Outcome == control.OK,
		"run_ms", e.RunTime.Milliseconds(), "known_id", c.recentHandles.has(e.Handle))
}

// pollGauges runs at the wake-up time requested by the controller and asks the worker pool for its gauges.
func (c *Core) pollGauges() {
	if c.now-c.lastPoll < pollInterval {
		return
	}
	c.lastPoll = c.now
	c.sendPoll("")
}

// gaugesPolled passes the gauges to the controller.
func (c *Core) gaugesPolled(e PoolGauges) {
	if c.controller == nil {
		return
	}
	c.pollAnswered(e.Ticket)
	if e.Ticket == c.resyncTicket {
		c.resendCommands()
	}
	readings := gaugesOf(c.site.Gauges, e.Values)
	c.metrics.counts.CoreUse = -1
	if readings.CoreUse >= 0 {
		c.metrics.counts.CoreUse = readings.CoreUse
	}
	c.controller.Tick(c.now, readings)
}

// gaugesOf converts the reported values to gauges; an infinite value is unknown.
func gaugesOf(names []string, values []float64) control.Gauges {
	for i, value := range values {
		if math.IsInf(value, 0) {
			values[i] = math.NaN()
		}
	}
	return settings.Gauges(names, values)
}
