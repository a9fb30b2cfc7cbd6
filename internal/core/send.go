package core

import "time"

// Sending: executing the controller's actions.

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
	r.stopRequested = false
	c.metrics.counts.Tries[r.Class]++
	c.metricsChanged()
	c.sendCommand(r, commandSpawn, func() bool { return c.runner.Run(r.Handle, c.site.Classes[r.Class], r.Body) })
}

// stopRun asks for a run to be stopped.
func (c *Core) stopRun(r *request) {
	r.stopRequested = true
	if c.linkUp {
		c.runner.Stop(r.Handle)
	}
}
