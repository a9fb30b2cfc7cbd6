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

// The stage "send": the controller's actions on their way out, and the link to the worker pool.

type verb uint8

const (
	doRun verb = iota
	doStop
	doRefuse
	doFail
	doCall
	doSkip
	doReplay
	doLevel
	doHealth
	doIdle
	doWake
)

// act is one action of the controller, kept until it has decided.
type act struct {
	verb verb
	id   uint32
	span time.Duration
	flag bool
	x    float64
}

// hand is the control.Worker: it only notes what it is told, as its methods must not call back.
type hand struct{ c *Core }

func (h hand) note(a act)         { h.c.acts = append(h.c.acts, a) }
func (h hand) Run(id uint32)      { h.note(act{verb: doRun, id: id}) }
func (h hand) Stop(id uint32)     { h.note(act{verb: doStop, id: id}) }
func (h hand) Skip(id uint32)     { h.note(act{verb: doSkip, id: id}) }
func (h hand) Fail(id uint32)     { h.note(act{verb: doFail, id: id}) }
func (h hand) Replay(id uint32)   { h.note(act{verb: doReplay, id: id}) }
func (h hand) SetLevel(x float64) { h.note(act{verb: doLevel, x: x}) }
func (h hand) Log(text string)    { h.c.log.Info("controller", "says", text) }
func (h hand) Refuse(id uint32, away time.Duration, last bool) {
	h.note(act{verb: doRefuse, id: id, span: away, flag: last})
}
func (h hand) Call(id uint32, patience time.Duration) {
	h.note(act{verb: doCall, id: id, span: patience})
}

// Keep and Forget book the controller's memory. The table of keys has its own, longer terms: an entry
// stands from admission on and goes with a try that never ran.
func (h hand) Keep(uint32, time.Duration) {}

// Forget: see Keep.
func (h hand) Forget(uint32) {}

func (h hand) SetHealth(ok, _ bool)          { h.note(act{verb: doHealth, flag: ok}) }
func (h hand) CloseIdle(after time.Duration) { h.note(act{verb: doIdle, span: after}) }
func (h hand) Wake(in time.Duration)         { h.note(act{verb: doWake, span: in}) }

// carry carries out one action. One that comes too late for its request does nothing.
func (c *Core) carry(a act) {
	switch a.verb {
	case doLevel:
		c.level = a.x
		return
	case doHealth:
		if c.up != a.flag {
			c.up = a.flag
			c.log.Info("health", "up", a.flag)
			c.reported()
		}
		return
	case doIdle:
		c.idleAfter = a.span
		for _, x := range c.sessions {
			c.watch(x)
		}
		return
	case doWake:
		c.late.set(&c.wake, c.now+a.span)
		return
	}
	r := c.byID[a.id]
	if r == nil {
		return
	}
	switch a.verb {
	case doRun:
		c.run(r)
	case doStop:
		c.stop(r)
	case doRefuse:
		c.refuse(r, a.span, a.flag)
	case doFail:
		c.fail(r)
	case doCall:
		c.call(r, a.span)
	case doSkip:
		c.skip(r)
	case doReplay:
		c.replay(r)
	}
}

// run starts a held request.
func (c *Core) run(r *request) {
	if r.state != held || !c.holds(r.entry) {
		return
	}
	r.state, r.ran = running, true
	r.use.since = c.now
	if r.entry != nil {
		c.remember(r)
	}
	r.spawns, r.stopping = 0, false
	c.figs.counts.Tries[r.Class]++
	c.changed()
	c.command(r, func() {
		r.spawns++
		c.runner.Run(r.Handle, c.site.Classes[r.Class], r.Body)
	})
	r.begins = true
}

// command sends a command for r and keeps it until the worker pool has shown that it came. Without a link it
// is only kept.
func (c *Core) command(r *request, f func()) {
	r.resend, r.sent, r.doubtful, r.begins = f, c.now, !c.linked, false
	if c.linked {
		f()
	}
}

// stop has a run stopped.
func (c *Core) stop(r *request) {
	r.stopping = true
	if c.linked {
		c.runner.Stop(r.Handle)
	}
}

// unlinked is the end of a link. Guards against runs that hang on a command that was lost with it, and
// against a command given twice: a run that had its reply would take the copy for the reply to its next
// call. So only what was sent shortly before the end is sent again, and nothing until it is known what came.
func (c *Core) unlinked() {
	if !c.linked {
		return // what was given since is doubtful already
	}
	c.linked = false
	c.log.Info("worker pool link", "up", false, "open", len(c.byID))
	for _, r := range c.byID {
		if r.resend != nil && r.sent >= c.now-lostBefore {
			r.doubtful = true
		}
	}
}

// bound is a new link to the worker pool; the first one makes the controller.
func (c *Core) bound(e PoolBound) {
	at, heard := c.now-e.Age, c.heard
	c.heard = c.now
	if c.ctl == nil {
		c.linked = true
		c.begin(e.Cold, at)
		return
	}
	// The age is told on its way for a while: for a pool that was just heard of, at is too late by that.
	if at > min(c.poolAt+time.Second, heard) {
		c.linked = true
		c.restarted(e.Cold, at)
		return
	}
	c.unlinked()
	// All notices that were missed follow. Only after them is it known which commands were lost with the
	// old link: the answer to this question marks that point.
	c.polls++
	c.resync = "r" + strconv.FormatUint(c.polls, 10)
	c.runner.Poll(c.resync)
}

// begin makes the controller of a worker pool that started at a time.
func (c *Core) begin(cold bool, at time.Duration) {
	cfg := c.site.Control
	cfg.Cold = cold
	ctl, err := control.New(cfg, max(at, 0), hand{c})
	if err != nil { // checked at the start of the program
		c.log.Error("controller", "err", err)
		c.over = true
		return
	}
	c.ctl, c.poolAt, c.warmAt = ctl, at, at
	if cold {
		c.warmAt += cfg.ColdFor
	}
	c.changed()
	c.log.Info("worker pool up", "cold", cold, "age_ms", (c.now - at).Milliseconds())
	if c.leaving {
		c.ctl.LeaveSince(c.now, c.notice, max(0, c.notice+c.site.Stop-stopEarly-c.now))
	}
	c.reported()
}

// restarted is a worker pool that started anew without this server: its runs are lost, which counts as run
// and failed. Guards against a cold pool that a controller takes for warm: a new one gets what is held.
func (c *Core) restarted(cold bool, at time.Duration) {
	c.log.Warn("worker pool restarted", "open", len(c.byID))
	ids := slices.Sorted(maps.Keys(c.byID)) // the owner of a key comes before its repeats
	for _, id := range ids {
		if r := c.byID[id]; r != nil && r.ran && (r.state != held || c.site.Control.Classes[r.Class].Effect != control.Safe) {
			c.finished(PoolFinished{Handle: r.Handle, End: control.Errored})
		}
	}
	c.begin(cold, at)
	for _, id := range ids {
		r := c.byID[id]
		if r == nil {
			continue
		}
		delete(c.byID, id)
		repeats := uint32(0)
		if r.entry != nil && r.entry.owner != r {
			repeats = 1
			r.entry.waiters = slices.DeleteFunc(r.entry.waiters, func(w *request) bool { return w == r })
		}
		c.enter(r, repeats)
	}
}

// resume sends again what the worker pool has not shown to have received.
func (c *Core) resume() {
	c.resync = ""
	for _, id := range slices.Sorted(maps.Keys(c.byID)) {
		r := c.byID[id]
		if r == nil || r.state != running {
			continue
		}
		mine := c.holds(r.entry)
		// To ask for a run twice does no harm. Guards against runs that never begin, whose end nobody tells.
		if r.resend != nil && (r.doubtful || r.begins) {
			r.sent, r.doubtful = c.now, false
			r.resend()
			c.log.Info("command repeated", "id", r.Handle, "spawn", r.begins, "why", "new link to the worker pool")
		}
		if r.stopping {
			c.runner.Stop(r.Handle)
		}
		if !mine && r.begins { // whether its run began nobody can tell, and it is not asked for again
			r.runEnded(c.now, 0)
			c.finish(r, control.Errored, 0)
		}
	}
	c.linked = true
	c.log.Info("worker pool link", "up", true, "open", len(c.byID))
}

// unknown is a command that was not carried out. A run that was asked for once and refused by the worker
// pool never began: guards against a request, and its key, that wait for a run which nobody has.
func (c *Core) unknown(e PoolUnknown) {
	r := c.byHandle[e.Handle]
	if r == nil || e.Command != "spawn" || r.state != running || r.spawns != 1 {
		return
	}
	r.resend, r.state = nil, ending
	if c.holds(r.entry) {
		c.answer(r, Answer{Kind: Invalid, Why: "the worker pool does not know this request"})
		c.neverRan(r)
	}
	c.finish(r, control.Moot, 0)
}

// neverRan takes back that a run of r had begun, and gives its key to the next try.
func (c *Core) neverRan(r *request) {
	r.ran = false
	if e := r.entry; e != nil && e.owner == r {
		e.ran = false
		c.release(e)
	}
}

// finished is the end of a run.
func (c *Core) finished(e PoolFinished) {
	c.heard = c.now
	r := c.byHandle[e.Handle]
	if r == nil || !r.ran || r.state == ending {
		return
	}
	r.resend, r.stopping = nil, false
	if r.state == calling {
		c.abandon(r)
	}
	r.runEnded(c.now, e.Took)
	a := Answer{Kind: Failed, Why: runFailed}
	switch e.End {
	case control.OK:
		c.deep.proved = c.now
		a = Answer{Kind: Served, Body: e.Body}
	case control.Stopped:
		if !r.answered { // it was stopped by the controller and is held again
			r.state = held
			c.ctl.Done(c.now, r.id, e.Took, control.Stopped)
			return
		}
	}
	r.state = ending
	switch {
	case r.entry == nil:
		c.answer(r, a)
	case e.End == control.Moot && r.spawns == 1:
		c.answer(r, a)
		c.neverRan(r)
	default:
		c.conclude(r.entry, e.End == control.OK, e.Body)
	}
	if r.answered {
		c.finish(r, e.End, e.Took)
	} else {
		c.keepBack(r, e.End, e.Took)
	}
}

func gaugesOf(names []string, figures []float64) control.Gauges {
	for i, x := range figures {
		if math.IsInf(x, 0) {
			figures[i] = math.NaN()
		}
	}
	return settings.Gauges(names, figures)
}
