package core

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchscale/control"
)

// Commands to the worker pool, and what is known of their arrival. The end of a link may take the last commands with it,
// and nothing tells which. A command that may have arrived is sent again only if a second copy does no harm whenever it
// arrives. What the pool does with a copy at the moment at which it is sent does not count: the notice that changes this
// may be on its way here.

// restartAfter is the part of a request's remaining time, one in so many, after which its run is restarted.
const restartAfter = 4

// commandKind is the kind of a command.
type commandKind uint8

const (
	commandNone   commandKind = iota
	commandSpawn              // start the run
	commandSupply             // the reply to the call that the run waits for
	commandSkip               // go on without the call that the run waits for
)

// delivery is what is known of the arrival of a command.
type delivery uint8

const (
	deliverySettled delivery = iota // the command arrived, or is not needed any longer
	deliveryUnsent                  // it was never written to a link
	deliveryPending                 // it was written to the current link
	deliveryInDoubt                 // it was written to a link that ended, and may have arrived
)

// command is the last command of a run.
type command struct {
	kind     commandKind
	delivery delivery
	send     func() (sent bool)
	sentAt   time.Duration
	// nextPoll is the number of the gauge request that follows the command on its link. The pool takes commands in order, so
	// the answer to it shows that the command arrived.
	nextPoll uint64
}

// settle records that nothing more has to be done for the command.
func (m *command) settle() { m.send, m.delivery = nil, deliverySettled }

// sendCommand sends a command for r and remembers it until the worker pool has shown that it arrived. Without a link
// the command is only remembered.
func (c *Core) sendCommand(r *request, kind commandKind, send func() (sent bool)) {
	r.command = command{kind: kind, delivery: deliveryUnsent, send: send, sentAt: c.now}
	if c.linkUp {
		c.writeCommand(r)
	}
}

// writeCommand writes the command of r to the current link.
func (c *Core) writeCommand(r *request) {
	r.command.sentAt = c.now
	if !r.command.send() { // the link has ended, which the core is about to learn
		return
	}
	if r.command.kind == commandSpawn {
		r.runCommands++
	}
	r.command.delivery, r.command.nextPoll = deliveryPending, c.pollCount+1
}

// maySendTwice reports whether a second copy of the command of r does no harm, whenever it arrives. A run that has ended
// would be run again, and one that waits for its next call would take a reply for that call's; a skip names the call.
func (c *Core) maySendTwice(r *request) bool {
	switch r.command.kind {
	case commandSpawn:
		return c.site.Control.Classes[r.Class].Effect == control.Safe
	case commandSkip:
		return true
	}
	return false
}

// mayRestart reports whether a run that may wait for a lost reply can be stopped and run again.
func (c *Core) mayRestart(r *request) bool {
	return r.command.kind == commandSupply && !r.answered && c.site.Control.Stopping == control.StopRequeues &&
		c.site.Control.Classes[r.Class].Effect == control.Safe
}

// markInDoubt marks the commands of which it is not known whether they arrived on the link that ended, and counts them.
func (c *Core) markInDoubt() (count int) {
	for _, r := range c.byID {
		if r.command.delivery != deliveryPending {
			continue
		}
		if r.command.nextPoll <= c.answeredPoll {
			r.command.settle()
			continue
		}
		r.command.delivery = deliveryInDoubt
		count++
	}
	return count
}

// sendPoll requests the gauges with a ticket of its own.
func (c *Core) sendPoll(prefix string) (ticket string) {
	c.pollCount++
	ticket = prefix + strconv.FormatUint(c.pollCount, 10)
	c.runner.Poll(ticket)
	return ticket
}

// pollAnswered records which gauge request the pool has answered.
func (c *Core) pollAnswered(ticket string) {
	number, err := strconv.ParseUint(strings.TrimPrefix(ticket, resyncPrefix), 10, 64)
	if err == nil {
		c.answeredPoll = max(c.answeredPoll, number)
	}
}

// resendCommands sends what was never sent, and again what may be lost and may be sent twice.
func (c *Core) resendCommands() {
	c.resyncTicket = ""
	for _, id := range slices.Sorted(maps.Keys(c.byID)) {
		r := c.byID[id]
		if r == nil || r.state != stateRunning {
			continue
		}
		startsRun := r.command.kind == commandSpawn
		owned := c.owns(r.entry)
		if owned {
			c.resendCommand(r)
		}
		if r.stopRequested {
			c.runner.Stop(r.Handle)
		}
		if !owned && startsRun { // it is unknown whether its run began, and it is not requested again
			r.addRun(c.now, 0)
			c.finish(r, control.Errored, 0)
		}
	}
	c.linkUp = true
	c.log.Info("worker pool link", "up", true, "open", len(c.byID), "resync_ms", (c.now - c.boundAt).Milliseconds())
}

// resendCommand does for one run what resendCommands does for all.
func (c *Core) resendCommand(r *request) {
	switch r.command.delivery {
	case deliveryUnsent:
		if r.answered && r.command.kind == commandSpawn && r.runCommands == 0 { // nobody needs the run, and it never began
			c.runFinished(PoolFinished{Handle: r.Handle, Outcome: control.NotStarted})
			return
		}
		c.writeCommand(r)
	case deliveryInDoubt:
		if !c.maySendTwice(r) {
			c.awaitNotice(r)
			return
		}
		c.log.Info("command repeated", "id", r.Handle, "class", c.className(r.Class),
			"spawn", r.command.kind == commandSpawn, "sent_ms_ago", (c.now - r.command.sentAt).Milliseconds(),
			"why", "new link to the worker pool")
		c.metrics.counts.Pool.Repeated++
		c.metricsChanged()
		c.writeCommand(r)
	}
}

// awaitNotice waits for the next notice of a run whose command may be lost: as long as a run of its class can be of use, or
// for a part of its time if the run may be restarted.
func (c *Core) awaitNotice(r *request) {
	if r.waitTimer.heapPosition > 0 { // it waits since an earlier link
		return
	}
	c.log.Info("command in doubt", "id", r.Handle, "class", c.className(r.Class),
		"spawn", r.command.kind == commandSpawn, "sent_ms_ago", (c.now - r.command.sentAt).Milliseconds())
	if c.mayRestart(r) {
		c.timers.set(&r.waitTimer, c.now+(r.due-c.now)/restartAfter)
		return
	}
	c.timers.set(&r.waitTimer, c.giveUpTime(r))
}

// giveUpTime returns until when a run of which nothing is heard is waited for.
func (c *Core) giveUpTime(r *request) time.Duration {
	return max(r.due, c.now+c.site.Control.Classes[r.Class].Deadline)
}

// noticeOverdue restarts a run of which nothing was heard since its command was in doubt, or gives it up: then it counts as
// run and failed. Every notice of a run ends the wait.
func (c *Core) noticeOverdue(r *request) {
	if c.mayRestart(r) && !r.stopRequested {
		c.log.Info("run restarted", "id", r.Handle, "class", c.className(r.Class), "why", "the reply to its call may be lost")
		c.stopRun(r)
		c.timers.set(&r.waitTimer, c.giveUpTime(r))
		return
	}
	c.log.Warn("run given up", "id", r.Handle, "class", c.className(r.Class),
		"sent_ms_ago", (c.now - r.command.sentAt).Milliseconds())
	c.metrics.counts.Pool.GivenUp++
	c.metricsChanged()
	c.runFinished(PoolFinished{Handle: r.Handle, Outcome: control.Errored})
}
