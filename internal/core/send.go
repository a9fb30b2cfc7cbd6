package core

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"larchscale/control"
	"larchscale/internal/settings"
)

// Sending: executing the controller's actions, and the link to the worker pool.

// actionKind is the kind of an action.
type actionKind uint8

const (
	actionRun actionKind = iota
	actionStop
	actionRefuse
	actionFail
	actionCall
	actionSkip
	actionReplay
	actionSetLevel
	actionSetHealth
	actionCloseIdle
	actionWake
)

// action is one action of the controller, recorded until the controller has finished deciding.
type action struct {
	kind     actionKind
	id       uint32
	duration time.Duration
	flag     bool
	value    float64
}

// actionRecorder implements control.Worker. It only records the actions, because its methods must not call back into
// the controller.
type actionRecorder struct{ core *Core }

func (r actionRecorder) record(a action)    { r.core.actions = append(r.core.actions, a) }
func (r actionRecorder) Run(id uint32)      { r.record(action{kind: actionRun, id: id}) }
func (r actionRecorder) Stop(id uint32)     { r.record(action{kind: actionStop, id: id}) }
func (r actionRecorder) Skip(id uint32)     { r.record(action{kind: actionSkip, id: id}) }
func (r actionRecorder) Fail(id uint32)     { r.record(action{kind: actionFail, id: id}) }
func (r actionRecorder) Replay(id uint32)   { r.record(action{kind: actionReplay, id: id}) }
func (r actionRecorder) SetLevel(x float64) { r.record(action{kind: actionSetLevel, value: x}) }
func (r actionRecorder) Log(text string)    { r.core.log.Info("controller", "says", text) }
func (r actionRecorder) Refuse(id uint32, away time.Duration, last bool) {
	r.record(action{kind: actionRefuse, id: id, duration: away, flag: last})
}
func (r actionRecorder) Call(id uint32, patience time.Duration) {
	r.record(action{kind: actionCall, id: id, duration: patience})
}

// Keep and Forget manage the controller's own memory of keys. The core's table of keys is kept for longer: an entry
// exists from admission on and is removed with a try that never ran.
func (r actionRecorder) Keep(uint32, time.Duration) {}

// Forget does nothing; see Keep.
func (r actionRecorder) Forget(uint32) {}

func (r actionRecorder) SetHealth(ok, _ bool) { r.record(action{kind: actionSetHealth, flag: ok}) }
func (r actionRecorder) CloseIdle(after time.Duration) {
	r.record(action{kind: actionCloseIdle, duration: after})
}
func (r actionRecorder) Wake(in time.Duration) { r.record(action{kind: actionWake, duration: in}) }

// execute executes one action. An action that comes too late for its request does nothing.
func (c *Core) execute(a action) {
	switch a.kind {
	case actionSetLevel:
		c.level = a.value
		return
	case actionSetHealth:
		if c.healthy != a.flag {
			c.healthy = a.flag
			c.log.Info("health", "up", a.flag)
			c.reportAvailability()
		}
		return
	case actionCloseIdle:
		c.idleTimeout = a.duration
		for _, sess := range c.sessions {
			c.scheduleIdleClose(sess)
		}
		return
	case actionWake:
		c.timers.set(&c.wakeTimer, c.now+a.duration)
		return
	}
	r := c.byID[a.id]
	if r == nil {
		return
	}
	switch a.kind {
	case actionRun:
		c.startRun(r)
	case actionStop:
		c.stopRun(r)
	case actionRefuse:
		c.refuse(r, a.duration, a.flag)
	case actionFail:
		c.fail(r)
	case actionCall:
		c.startCall(r, a.duration)
	case actionSkip:
		c.skipCall(r)
	case actionReplay:
		c.replay(r)
	}
}

// startRun starts the run of a held request.
func (c *Core) startRun(r *request) {
	if r.state != stateHeld || !c.owns(r.entry) {
		return
	}
	r.state, r.ran = stateRunning, true
	r.usage.runStarted = c.now
	if r.entry != nil {
		c.retain(r)
	}
	r.runCommands, r.stopRequested = 0, false
	c.metrics.counts.Tries[r.Class]++
	c.metricsChanged()
	c.sendCommand(r, func() {
		r.runCommands++
		c.runner.Run(r.Handle, c.site.Classes[r.Class], r.Body)
	})
	r.commandStartsRun = true
}

// sendCommand sends a command for r and remembers it until the worker pool has shown that it arrived. Without a link
// the command is only remembered.
func (c *Core) sendCommand(r *request, send func()) {
	r.resendCommand, r.commandSent, r.commandMayBeLost, r.commandStartsRun = send, c.now, !c.linkUp, false
	if c.linkUp {
		send()
	}
}

// stopRun asks for a run to be stopped.
func (c *Core) stopRun(r *request) {
	r.stopRequested = true
	if c.linkUp {
		c.runner.Stop(r.Handle)
	}
}

// poolLinkLost handles the end of a link. A command that was lost with the link must be sent again, or its run would
// hang; but a command that arrived must not be sent twice: a run that already had its reply would take the copy for
// the reply to its next call. So only commands sent shortly before the end are repeated, and none until it is known
// which of them arrived.
func (c *Core) poolLinkLost() {
	if !c.linkUp {
		return // commands sent since then are marked already
	}
	c.linkUp = false
	inDoubt := 0
	for _, r := range c.byID {
		if r.resendCommand != nil && r.commandSent >= c.now-commandLossWindow {
			r.commandMayBeLost = true
			inDoubt++
		}
	}
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
	// The notices that were missed follow. Only after them is it known which commands were lost with the old link:
	// the answer to this gauge request marks that point.
	c.pollCount++
	c.resyncTicket = "r" + strconv.FormatUint(c.pollCount, 10)
	c.runner.Poll(c.resyncTicket)
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

// resendCommands repeats the commands that the worker pool has not shown to have received.
func (c *Core) resendCommands() {
	c.resyncTicket = ""
	for _, id := range slices.Sorted(maps.Keys(c.byID)) {
		r := c.byID[id]
		if r == nil || r.state != stateRunning {
			continue
		}
		owned := c.owns(r.entry)
		// Repeating a run command is harmless. If a lost one were not repeated, the run would never start, and its end
		// would never be reported.
		if r.resendCommand != nil && (r.commandMayBeLost || r.commandStartsRun) {
			c.log.Info("command repeated", "id", r.Handle, "class", c.className(r.Class), "spawn", r.commandStartsRun,
				"sent_ms_ago", (c.now - r.commandSent).Milliseconds(), "in_doubt", r.commandMayBeLost,
				"why", "new link to the worker pool")
			c.metrics.counts.Pool.Repeated++
			r.commandSent, r.commandMayBeLost = c.now, false
			r.resendCommand()
		}
		if r.stopRequested {
			c.runner.Stop(r.Handle)
		}
		if !owned && r.commandStartsRun { // it is unknown whether its run began, and it is not requested again
			r.addRun(c.now, 0)
			c.finish(r, control.Errored, 0)
		}
	}
	c.linkUp = true
	c.log.Info("worker pool link", "up", true, "open", len(c.byID), "resync_ms", (c.now - c.boundAt).Milliseconds())
}

// commandUnknown handles a command that was not carried out. A run that was requested once and rejected by the worker
// pool never began. Without this, the request and its key would wait for a run that does not exist.
func (c *Core) commandUnknown(e PoolCommandUnknown) {
	r := c.byHandle[e.Handle]
	if r == nil || e.Command != "spawn" || r.state != stateRunning || r.runCommands != 1 {
		return
	}
	r.resendCommand, r.state = nil, stateFinishing
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
	r.resendCommand, r.stopRequested = nil, false
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
	case e.Outcome == control.NotStarted && r.runCommands == 1:
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

// gaugesOf converts the reported values to gauges; an infinite value is unknown.
func gaugesOf(names []string, values []float64) control.Gauges {
	for i, value := range values {
		if math.IsInf(value, 0) {
			values[i] = math.NaN()
		}
	}
	return settings.Gauges(names, values)
}
