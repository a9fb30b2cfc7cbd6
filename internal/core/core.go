package core

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"larchscale/control"
)

// Limits and times of the request path; decisions that depend on load are made by the controller.
const (
	maxQueuedEvents       = 1024                   // events queued for the loop; senders block beyond this
	maxEventsPerIteration = 256                    // events handled in one iteration of the loop
	maxUnserved           = 64                     // consecutive unserved requests on one connection; see tooManyUnserved
	silentGrace           = 300 * time.Millisecond // a connection silent for longer is the first to be evicted
	reportInterval        = 600 * time.Millisecond // the directory forgets a server after 3 s, and one report may be lost
	pollInterval          = 50 * time.Millisecond  // minimum time between two requests for the gauges
	answerAllMargin       = 200 * time.Millisecond // before the kill, by when the controller answers every request
	drainNoticeMargin     = 300 * time.Millisecond // before the end of the grace period, when peers are asked to drain
	closeMargin           = 190 * time.Millisecond // before the kill, when the listener stops and connections are closed
	closeCheckInterval    = 10 * time.Millisecond  // interval of the checks whether all connections have ended
	exitMargin            = 150 * time.Millisecond // before the kill, when the loop ends and rejects queued input
	earlyExitDelay        = 500 * time.Millisecond // after the grace period, when an idle server exits early
	callTimeoutMargin     = 100 * time.Millisecond // added to the timeout of a call before the core gives it up
)

// Core owns the controller and the state of all requests. All fields belong to the goroutine that calls Run.
type Core struct {
	site      Config
	runner    Runner
	caller    Downstream
	directory AvailabilityReporter
	store     Store           // nil = keys are local to this server
	ledger    UsageLedger     // nil = no ledger
	observer  OutcomeObserver // nil = no observer
	listener  Listener        // nil = none
	log       *slog.Logger
	events    chan Event
	stopped   chan struct{} // closed when the loop has ended
	sendMu    sync.RWMutex  // read-locked by senders; see closeQueue

	start        time.Time
	now          time.Duration // since start, read once in each iteration
	controller   *control.Controller
	poolStarted  time.Duration // when the worker pool started
	poolLastSeen time.Duration // when its last link, call or end of a run was reported: the pool had started by then
	poolWarm     time.Duration // when the pool is warm at the latest
	actions      []action      // requested by the controller in this iteration
	followUps    []func()      // reports to the controller that result from this iteration's actions
	timers       timers
	callCount    uint64 // downstream calls made so far; the last one's number
	wakeTimer    timer
	reportTimer  timer
	lastPoll     time.Duration // when the gauges were last requested
	pollCount    uint64        // requests for the gauges so far
	answeredPoll uint64        // number of the last one that was answered
	linkUp       bool          // commands reach the worker pool
	resyncTicket string        // ticket of the gauge request that follows a new link
	boundAt      time.Duration // when the last link was bound
	lastID       uint32
	lastClaimID  ClaimID
	byID         map[uint32]*request
	byHandle     map[string]*request
	openBytes    int // accounted size of the requests in byHandle and of pendingResults
	sessions     map[Session]*session
	keys         keyTable
	// keyedUntil is the time until which a repeat may still ask for one of the keys.
	keyedUntil    time.Duration
	recentHandles recentHandles // handles used recently

	pendingResults []*pendingResult // results that wait for their ledger entries, by ticket
	pendingTimer   timer            // fires when the first of them may wait no longer
	usageRecorded  bool             // entries were recorded in this iteration

	metrics    metricsPublisher
	deepChecks deepCheckState

	level              float64       // load hint that is sent with every answer
	healthy            bool          // as reported by the controller
	idleTimeout        time.Duration // after which an idle connection is closed
	draining           bool          // the drain has started
	handingOff         bool          // the shutdown is a handoff to a newer process
	heldByOperator     bool          // drained by an operator
	drainStart         time.Duration // when the drain started
	drainAnnounced     bool          // the server drains and its grace period is nearly over
	closingConnections bool          // connections are being closed, and new requests are refused
	listenerClosed     bool          // no more connections are accepted
	closeCheckTimer    timer
	done               bool // the loop is to end
}

// session is the state of one connection.
type session struct {
	Session
	openRequests   int           // requests that are not answered yet
	eventsHandled  uint64        // events processed so far
	single         bool          // carries a single request
	used           bool          // something has arrived on it
	everServed     bool          // a request on it has been served
	unserved       int           // consecutive requests that were not served
	idleSince      time.Duration // since when no request has been open on it
	idleTimer      timer
	drainSent      bool // the peer was asked to drain
	closeRequested bool // its end was requested, and no event has arrived from it since
}

// state is the state of a request.
type state uint8

const (
	stateClaiming state = iota // waiting for the shared store; unknown to the controller
	stateHeld                  // waiting for a decision of the controller
	stateRunning
	stateBlocked   // the run waits for a decision about its call
	stateCalling   // a call is in flight
	stateReplaying // waiting for the outcome of the try that it repeats
	stateFinishing // the run is over and the store has not confirmed its result; the controller is done with it
	stateEnded     // removed from the core's tables
)

// request is one try. Its answered field is set once, by the functions in book.go and intake.go.
type request struct {
	IncomingRequest
	id            uint32
	arrived       time.Duration
	due           time.Duration // when its answer is due
	session       *session      // nil once it has its final answer or is canceled, and if it is adopted
	reply         Reply         // nil likewise
	state         state
	ran           bool          // a run command has been sent
	answered      bool          // has its final answer, or was canceled
	adopted       bool          // taken over from a failed server: no caller waits for its answer
	entry         *entry        // the key that it owns or repeats
	waitTimer     timer         // limits the wait for a call, for the shared store, or for a notice of a run in doubt
	callStarted   time.Duration // when the call in flight was made
	callNumber    uint64        // of the call in flight, or of the last one
	callBody      []byte
	callNotice    uint64 // notice that asked for the call
	command       command
	runCommands   int  // run commands that were written to a link, those that resume a paused run among them
	stopRequested bool // a stop was requested, and the run has not ended
	usage         usage
	size          int // its part of Core.openBytes
}

// New returns a core; Run starts its loop.
func New(site Config, log *slog.Logger) *Core {
	c := &Core{site: site, log: log, events: make(chan Event, maxQueuedEvents), stopped: make(chan struct{}),
		start: time.Now(), healthy: true, level: -1,
		byID: map[uint32]*request{}, byHandle: map[string]*request{}, sessions: map[Session]*session{},
		idleTimeout: site.Control.IdleMax, lastPoll: -time.Hour}
	c.keys.entries = map[Key]*entry{}
	c.wakeTimer.callback = c.pollGauges
	c.reportTimer.callback = c.reportAvailability
	c.closeCheckTimer.callback = func() {} // the iteration that it triggers checks again
	c.pendingTimer.callback = c.expirePending
	c.deepChecks.lastProof = -1
	c.deepChecks.timeoutTimer.callback = func() { c.answerDeepChecks(false) }
	c.metrics.publishTimer.callback = c.publishMetrics
	c.metrics.init(len(site.Classes))
	return c
}

// Attach sets the core's peers; the store may be nil. It is called before Run.
func (c *Core) Attach(runner Runner, caller Downstream, lister AvailabilityReporter, store Store) {
	c.runner, c.caller, c.directory, c.store = runner, caller, lister, store
}

// Start returns when the core was created; its times are relative to this.
func (c *Core) Start() time.Time { return c.start }

// ObserveOutcomes sets the observer of requests that made downstream calls. It is called before Run.
func (c *Core) ObserveOutcomes(j OutcomeObserver) { c.observer = j }

// AttachLedger sets the ledger. It is called before Run.
func (c *Core) AttachLedger(b UsageLedger) { c.ledger = b }

// AttachListener sets the listener of the server's connections. It is called before Run.
func (c *Core) AttachListener(l Listener) { c.listener = l }

// Send queues an event for the loop and blocks while the queue is full. After the loop has ended, a request is
// refused.
func (c *Core) Send(e Event) {
	if !c.enqueue(e) {
		rejectLate(e)
	}
}

// enqueue puts an event into the loop's queue; false = the loop has ended.
func (c *Core) enqueue(e Event) bool {
	c.sendMu.RLock()
	defer c.sendMu.RUnlock()
	select {
	case <-c.stopped:
		return false
	default:
	}
	select {
	case c.events <- e:
		return true
	case <-c.stopped:
		return false
	}
}

// closeQueue ends the queue: events still in it, and all later ones, are rejected.
func (c *Core) closeQueue() {
	close(c.stopped)
	c.sendMu.Lock() // waits for the senders that are blocked on the queue
	defer c.sendMu.Unlock()
	for len(c.events) > 0 {
		rejectLate(<-c.events)
	}
}

// rejectLate answers an event that was read after the loop had ended. A request in it never ran.
func rejectLate(e Event) {
	switch e := e.(type) {
	case RequestArrived:
		e.Reply.Answer(Answer{Kind: Refused, Why: "the server has ended", Hint: -1})
	case HealthCheck:
		e.Reply.Answer(Answer{Kind: Checked, Hint: -1})
	}
}

// Run executes the loop. It returns when everything is answered after a Drain, or when ctx is done.
func (c *Core) Run(ctx context.Context) {
	defer c.closeQueue()
	wakeUp := time.NewTimer(0)
	for !c.done {
		select {
		case e := <-c.events:
			c.readClock()
			c.handle(e)
		case <-wakeUp.C:
			c.readClock()
		case <-ctx.Done():
			return
		}
		for n := 1; n < maxEventsPerIteration && len(c.events) > 0; n++ {
			c.handle(<-c.events)
		}
		c.completeIteration()
		wakeUp.Reset(c.timeToNextTimer())
	}
	c.logDrain("ended")
	c.finishOpen()
}

// logDrain logs a phase of the drain with the number of open requests and connections.
func (c *Core) logDrain(state string) {
	if c.draining {
		c.log.Info("drain", "state", state, "since_ms", (c.now - c.drainStart).Milliseconds(),
			"open", len(c.byHandle), "connections", len(c.sessions))
	}
}

// finishOpen answers the requests that still wait for a store or a disk when the server ends, and records all open
// requests in the ledger, including runs whose caller is gone.
func (c *Core) finishOpen() {
	for _, r := range c.byHandle {
		c.answer(r, c.shutdownAnswer(r))
	}
	if c.ledger == nil {
		return
	}
	for _, pending := range c.pendingResults {
		c.resolveOverdue(pending)
	}
	for _, r := range c.byHandle {
		if r.ran && r.state != stateFinishing {
			r.addRun(c.now, c.now-r.usage.runStarted)
		}
		c.setEnd(r, Failed)
		c.recordUsage(r)
	}
	c.ledger.Flush()
}

// shutdownAnswer returns the answer for a request that has none when the server ends. It is refused only if it cannot
// have run anywhere.
func (c *Core) shutdownAnswer(r *request) Answer {
	switch {
	case r.state == stateFinishing, r.state == stateClaiming:
		return Answer{Kind: Failed, Why: "the shared store did not tell in time"}
	case r.ran, r.entry != nil && c.store != nil, r.entry != nil && r.entry.owner != r:
		return Answer{Kind: Failed, Why: "the server has ended"}
	}
	return Answer{Kind: Refused, Why: "the server has ended"}
}

// readClock sets the time of this loop iteration.
func (c *Core) readClock() { c.now = time.Since(c.start) }

// timeToNextTimer returns the time until the next timer is due, or a second if there is none.
func (c *Core) timeToNextTimer() time.Duration {
	if len(c.timers.list) == 0 {
		return time.Second
	}
	return max(0, c.timers.list[0].at-time.Since(c.start))
}

// completeIteration fires the due timers, lets the controller decide once and executes its actions. If an action
// causes something that the controller must learn at once (for instance a repeat served from the table), another
// round follows.
func (c *Core) completeIteration() {
	c.timers.fire(c.now)
	for {
		if c.controller != nil {
			c.controller.Decide(c.now)
		}
		actions := c.actions
		c.actions = nil
		for _, a := range actions {
			c.execute(a)
		}
		c.actions = append(actions[:0], c.actions...)
		if len(c.followUps) == 0 && len(c.actions) == 0 {
			break
		}
		followUps := c.followUps
		c.followUps = nil
		for _, f := range followUps {
			f()
		}
	}
	if c.usageRecorded {
		c.usageRecorded = false
		c.ledger.Flush()
	}
	c.checkFinished()
}

// handle dispatches one event.
func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case SessionOpened:
		c.sessionOpened(e)
	case SessionClosed:
		c.sessionClosed(e.Session)
	case RequestArrived:
		c.requestArrived(e)
	case RequestCanceled:
		c.cancel(e.Session, e.Handle)
	case HealthCheck:
		c.healthCheck(e)
	case PoolBound:
		c.poolBound(e)
	case PoolLost:
		c.poolLinkLost()
	case PoolCommandUnknown:
		c.commandUnknown(e)
	case PoolFinished:
		c.runFinished(e)
	case PoolBlocked:
		c.runBlocked(e)
	case PoolVerified:
		c.poolVerified(e)
	case PoolGauges:
		c.gaugesPolled(e)
	case CallEnded:
		c.callEnded(e)
	case ClaimAnswered:
		c.claimAnswered(e)
	case FinishConfirmed:
		c.finishConfirmed(e)
	case Adopt:
		c.adopt(e.Request)
	case Disown:
		c.disown(e)
	case LedgerWritten:
		c.ledgerWritten(e.Through)
	case Drain:
		c.drain()
	case Handoff:
		c.handoff(e.KillAfter)
	case OperatorDrain:
		c.heldByOperator = e.On
		c.reportAvailability()
	case ConfigurationApplied:
		c.setConfigured(e.Revision)
	}
}

// reportAvailability tells the directory, periodically, whether this server takes work. It reports nothing before the
// first link to the worker pool, because an older process may still own the directory entry, and nothing during a
// handoff, because the entry then belongs to the successor.
func (c *Core) reportAvailability() {
	switch {
	case c.handingOff:
		c.directory.StopReporting()
	case c.controller != nil:
		c.directory.Report(c.healthy && !c.heldByOperator && !c.draining)
	}
	c.timers.set(&c.reportTimer, c.now+reportInterval)
}

// drain starts the shutdown of the server.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining, c.drainStart = true, c.now
	c.metricsChanged()
	c.log.Info("draining", "open", len(c.byHandle), "stop_ms", c.site.StopTime.Milliseconds())
	if c.controller != nil {
		c.controller.Drain(c.now, max(0, c.site.StopTime-answerAllMargin))
	}
	c.reportAvailability()
	grace := c.gracePeriod()
	c.timers.set(&timer{callback: c.announceDrain}, c.now+max(0, grace-drainNoticeMargin))
	c.timers.set(&timer{callback: func() { c.logDrain("refusing all requests") }}, c.now+grace)
	c.timers.set(&timer{callback: func() {}}, c.now+grace+earlyExitDelay)
	c.timers.set(&timer{callback: c.closeConnections}, c.now+c.site.StopTime-closeMargin)
	c.timers.set(&timer{callback: func() { c.done = true }}, c.now+c.site.StopTime-exitMargin)
}

// handoff leaves the address to a newer process, which from now on reports to the directory and accepts the
// connections that the balancers open.
func (c *Core) handoff(kill time.Duration) {
	if c.draining {
		return
	}
	c.site.StopTime = min(c.site.StopTime, kill)
	c.handingOff = true
	c.drain()
	c.announceDrain()
	c.closeListener()
}

// closeListener stops accepting connections. Clients that are already connected are served; later ones reach no
// listener, or that of another process.
func (c *Core) closeListener() {
	if c.listener != nil && !c.listenerClosed {
		c.listenerClosed = true
		c.listener.StopAccepting()
	}
}

// closeConnections asks all connections to end. Requests that have arrived on them are answered first, and
// connections already established to this server are still accepted. This way no request is lost that has been read,
// or waits in a socket, when the process ends.
func (c *Core) closeConnections() {
	if c.closingConnections {
		return
	}
	c.closingConnections = true
	c.logDrain("closing connections")
	c.closeListener()
	for _, sess := range c.sessions {
		c.startIdle(sess)
	}
}

// announceDrain asks all peers to send nothing more, shortly before new requests would no longer be run. Until then
// the server works as usual, so that the fleet does not lose it before its successor is known.
func (c *Core) announceDrain() {
	c.drainAnnounced = true
	c.logDrain("announced to peers")
	for _, sess := range c.sessions {
		c.sendDrain(sess)
	}
}

// sendDrain asks the peer of a connection, once, to send nothing more.
func (c *Core) sendDrain(sess *session) {
	if sess.drainSent {
		return
	}
	sess.drainSent = true
	sess.Drain(max(0, c.drainStart+c.gracePeriod()-c.now))
}

// gracePeriod is how long after the drain notice new requests may still be run. It ends no later than the time by
// which everything must be answered.
func (c *Core) gracePeriod() time.Duration {
	return min(c.site.Control.DrainGrace, max(0, c.site.StopTime-answerAllMargin))
}

// checkFinished ends the loop early once the grace period is over, every request is answered and no connection is
// left.
func (c *Core) checkFinished() {
	if !c.draining || len(c.byHandle) > 0 || len(c.sessions) > 0 || len(c.pendingResults) > 0 {
		return
	}
	if !c.closingConnections && c.controller != nil && !c.handingOff &&
		c.now < c.drainStart+c.gracePeriod()+earlyExitDelay {
		return
	}
	if c.closeListener(); !c.handingOff {
		c.closeConnections()
	}
	if c.listener == nil || c.listener.Conns() == 0 {
		c.done = true
		return
	}
	// The newest connections may not have been reported yet, or may be lingering.
	c.timers.set(&c.closeCheckTimer, c.now+closeCheckInterval)
}
