// Package control makes the admission and scheduling decisions of one worker: which requests it accepts,
// runs and refuses, and what it advertises to its callers. It uses nothing but the worker's own readings.
//
// This file holds all decisions and every tuned value; the interface (types, events, actions) is in api.go.
// Admission control follows DAGOR: a histogram of requests by rank, and a cursor in it. A window in which
// requests queued for too long raises the cursor, any other window lowers it. A request that ranks below the
// cursor is refused when it is read, and the cursor is sent as the level with every answer. Further rules
// cover due times, memory, the number of requests in progress, downstream calls, effects and draining.
//
// A Controller is not safe for concurrent use. It starts no goroutine, reads no clock and shares no state.
// The caller passes the time, which never decreases, feeds the events and calls Decide after each batch.
package control

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Parameters of the histogram, its windows and the cursor (DAGOR, section 4.2.3).
const (
	bins = 128 // bins of rank; the paper has 128 user levels in each business level

	// Length of a window, as a fraction of the shortest aim, so that a cut takes effect within one aim.
	windowFraction = 0.3
	// Mean queuing time of an overloaded window, as a fraction of the shortest aim.
	queuingThreshold = 0.20
	// Longest time that reading alone takes, as a fraction of the shortest aim; anything above is queuing.
	maxReadFraction = 0.25
	// Requests per core within the shortest aim that a cold worker expects at first.
	coldRequestsPerCore = 2.0

	alpha     = 0.03 // share cut in an overloaded window, per queuing threshold
	alphaMax  = 0.15 // largest share cut in one window
	unreadCut = 0.50 // share cut as unread time nears the shortest aim, scaled by the square of their ratio
	beta      = 0.01 // share added in a window that is not overloaded, with busy cores
	betaIdle  = 0.25 // further share added, per ratio of the idle part of the cores to the busy part
	betaCalm  = 0.10 // further share added where nothing waits, less where some requests do
	targetUse = 0.85 // core use below which the cursor falls faster than by beta
	betaMax   = 0.50 // largest share added in one window

	rateAveraging  = 5 * time.Second // time constant of the histogram; 1 s at 15 requests/s is too few
	tenantHeadroom = 1.25            // factor on a tenant's fair rate above which it counts as over its quota
	// Time constant of a falling rate below the level: callers withhold these requests, so the bins keep
	// their last rate for longer.
	hiddenAveraging = 20 * time.Second
)

// Parameters of running requests and of time.
const (
	gaugeInterval = 100 * time.Millisecond // time between two readings of the gauges
	dueQuanta     = 2                      // the final answer is given this many quanta before the due time
	drainLead     = 300 * time.Millisecond // callers are told to stay away this long before grace ends
	stopMargin    = 60 * time.Millisecond  // all requests are answered this long before the stop

	limitGrowth      = 1.25 // growth of the running limit in a tick with idle cores and waiting requests
	idleCoreUse      = 0.92 // core use below which the cores count as idle
	crowdFraction    = 0.75 // most requests in progress, as a fraction of the crowd that the worker survives
	memoryFraction   = 0.90 // fraction of the memory that running requests may fill; arrivals use the rest
	completionWeight = 0.10 // weight of the newest completion in a mean
	maxRunFraction   = 0.60 // longest run time that is expected, as a fraction of the aim
	// Factor on the run time that a hint predicts, for classes of the least worth; smaller for worthier ones.
	hintMargin = 1.5
	// Factor on the mean run time of a class, as half of the runs take longer than the mean.
	runMargin      = 1.4
	minSamples     = 5     // samples before a mean is used
	baselineWeight = 0.005 // least weight of the newest completion in the baseline
	// Run times, as a multiple of the baseline, above which the machine is taken for slow: many callers alone
	// do not raise them.
	slowdownThreshold = 1.8
)

// Parameters of downstream calls.
const (
	maxCallFraction = 0.60 // most calls in flight, as a fraction of the share that overloads the dependency
	// Mean of the calls in flight where the bound is below one, as a multiple of the bound.
	meanCallFactor   = 1.25
	minCallFraction  = 0.20  // least bound as a fraction of that share, so that calls go on as probes
	slowCallFactor   = 2.5   // multiple of the lowest recent mean above which the bound falls
	callBoundStep    = 0.30  // fraction of the bound that a slow call subtracts and a fast one adds
	failedCallCut    = 0.80  // factor on the bound after a call that failed
	minCallWeight    = 0.10  // least weight of the newest call in the mean; it is larger after a pause
	lowestMeanGrowth = 0.001 // growth of the lowest mean per call, to follow a dependency that changes
	// First delay before a refused call is made again, as a fraction of the mean call time; then it doubles.
	callRetryFraction = 0.5
	minCallRetryDelay = 5 * time.Millisecond
	giveUpFactor      = 5.0                   // a call is given up after this multiple of the median
	minGiveUp         = 50 * time.Millisecond // a machine that is busy for a moment may be this late
	// Multiple of the give-up time after which an overtaken call no longer counts against the bound.
	lostCallFactor = 4
	maxCallFactor  = 2.0 // longest expected call time, as a multiple of the median
	// A call is not made with less than this fraction of its expected time left.
	minTimeLeftFraction = 0.8
	medianStep          = 1.05            // factor by which one call moves the median
	callMemory          = 2 * time.Second // time constant by which a slow sample fades, so that probes go on
)

// Parameters of advice and connections.
const (
	fullFraction     = 0.12 // fraction of the ranks refused; below it other workers may have room
	expensiveReadUse = 0.1  // core use of reading above which reading, and so a try elsewhere, is expensive
	creditsPerCore   = 2.0  // requests per core that all callers together may have outstanding
	adviceThreshold  = 1.0  // queuing thresholds from which a refusal tells the caller to stay away
	// Length of that advice, as a fraction of the time that the held work takes the cores.
	adviceFraction    = 0.5
	idleCandidates    = 8    // idle timeouts compared: that of the callers, and each half of the one before
	newConnectionCost = 0.15 // cost of a new connection in idle time, as a fraction of the callers' timeout
	minIdleSaving     = 0.9  // a shorter timeout is taken below this fraction of the cost of a longer one
	idleCostWeight    = 0.02 // weight of the newest arrival in the cost of each timeout
	// Connections that the worker has room for, per request that it survives.
	connectionsPerRequest = 2.0
	// Core use of reading, health checks and new connections above which there is a connection storm.
	stormUse = 0.4
	// E-foldings of the idle timeout in a window, per unit of core use away from stormUse.
	idleTimeoutRate = 2.0
)

type state uint8

const (
	held state = iota
	running
	blocked // waiting for a call that is not made yet
	calling
	paused
	replaying
)

// request is a request that is not concluded yet, with its state and its use of resources.
type request struct {
	Request
	class       *class
	state       state
	ran         bool // a run of it has started
	answered    bool // answered, or canceled by its caller
	arrived     time.Duration
	due         time.Duration
	aim         time.Duration // time at which its result loses worth
	callsDone   int           // calls that succeeded
	callTries   int           // tries of the call that it waits for
	retryAt     time.Duration // earliest time of the next try of that call
	coreSeconds float64       // core seconds used up to coreMark
	coreMark    float64       // reading of coreClock at which it last went on the cores
	uncertain   bool          // its last call may have taken effect
	keyKept     bool          // its key is remembered
}

// tenant holds the requests of one tenant in this window, its mean rate in requests/s, and the fraction of
// its requests that is over its quota.
type tenant struct{ windowCount, rate, overQuota float64 }

// class holds what is measured of the runs and the calls of one class.
type class struct {
	Class
	runSeconds, callsPerRun mean          // core seconds and calls of a run
	baseline                mean          // core seconds of a run, averaged over a long time
	hintTrend               trend         // core seconds of a run as a function of the hint
	inFlight, overtaken     *heap         // calls in flight by start time; those that a later call overtook
	meanCall, lowestMean    float64       // mean call time of late, and the lowest such mean, in seconds
	medianCall, callCount   float64       // median call time in seconds, and the number of calls measured
	lastCallAt              time.Duration // when the last of them ended
}

// Controller makes the decisions of one worker from its events and its gauges.
type Controller struct {
	cfg                   Config
	w                     Worker
	now, startedAt        time.Duration
	classes               []class
	tenants               []tenant
	totalRate, totalQuota float64       // of all tenants, requests/s
	shortestAim           time.Duration // of all classes
	leastWorth            float64       // of all classes
	worthBands            float64       // bands of rank, one for each distinct worth
	requests              map[uint32]*request
	heldQueue             requestList
	callQueue             requestList // blocked requests, waiting for a call
	dueTimes, keyExpiry   *heap
	nextWake              time.Duration // earliest wake-up asked for
	lastTick              time.Duration

	windowCounts [bins]float64 // requests read in this window
	rates        [bins]float64 // requests/s, averaged over rateAveraging
	cursor       int           // lowest bin that is accepted
	windowStart  time.Duration
	// Queuing time in seconds and number of the requests that left the queue in this window.
	queuedSeconds, leftQueueCount float64
	carriedGrowth                 float64 // share added in calm windows in which the cursor could not move
	// Of the last window: its mean queuing time in queuing thresholds, and the time that the work held at its
	// end takes the cores.
	overload, heldSeconds float64
	coreUse               mean    // core use in this window
	readSeconds           float64 // time that reading alone takes
	unreadSeconds         mean    // time that the requests read in this window had waited unread
	readTooLate           bool    // unreadSeconds reached the shortest aim in the last window
	readUse               float64 // core use of reading in the last window
	advertisedValue       float64
	healthy               bool

	slowdown       mean    // core seconds of recent runs, as a multiple of the baseline of their class
	runLimit       float64 // most requests running on the cores
	onCores        int
	memoryKB       float64 // kilobytes that held and running requests and keys take
	coreClock      float64 // seconds of one core that a request on the cores has had so far
	inFlight       *heap   // calls in flight by start time
	mayCallOnCores int     // requests on the cores whose class makes calls
	abandoned      *heap   // abandoned calls that still count as in flight, by when they cease to
	excessCallTime float64 // seconds that calls were in flight beyond the bound
	callBound      float64 // most calls in flight

	lastArrivals arrivalTable // when each caller last sent a request
	idleCost     [idleCandidates]mean
	idleTimeout  time.Duration // idle time after which connections are closed
	entryUse     mean          // core use in this window that was not for runs

	lastProgress     time.Duration // when a run last ended or blocked at a call, or a core was last free
	draining         bool
	noticeAt, stopAt time.Duration
}

// New returns the controller of a worker that starts at now. An error names the invalid field of cfg.
func New(cfg Config, now time.Duration, w Worker) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg, w: w, requests: map[uint32]*request{},
		heldQueue: requestList{less: startsBefore}, callQueue: requestList{less: startsBefore},
		dueTimes: newHeap(), keyExpiry: newHeap(), abandoned: newHeap(), inFlight: newHeap(),
		now: now, startedAt: now, windowStart: now, lastTick: now, idleTimeout: cfg.IdleMax,
		shortestAim: math.MaxInt64, leastWorth: math.MaxFloat64, healthy: true, advertisedValue: -1,
		readSeconds: math.Inf(1)}
	c.cfg.Cores, c.cfg.RunFactor, c.cfg.Crowd = max(1, cfg.Cores), max(1, cfg.RunFactor), cmp.Or(cfg.Crowd, 2)
	if c.cfg.CallShare = cmp.Or(cfg.CallShare, 1); cfg.CallShare <= 0 && cfg.DownstreamSheds {
		// Only the crowd bounds the calls.
		c.cfg.CallShare = c.cfg.Crowd * float64(c.cfg.Cores) / maxCallFraction
	}
	if len(cfg.Classes) == 0 {
		c.cfg.Classes = []Class{{Worth: 1}}
	}
	worths := map[float64]bool{}
	for _, k := range c.cfg.Classes {
		k.Deadline = cmp.Or(k.Deadline, time.Minute)
		if k.Aim <= 0 || k.Aim > k.Deadline {
			k.Aim = k.Deadline
		}
		c.classes = append(c.classes, class{Class: k, inFlight: newHeap(), overtaken: newHeap()})
		worths[k.Worth] = true
		c.shortestAim, c.leastWorth = min(c.shortestAim, k.Aim), min(c.leastWorth, max(k.Worth, 1e-9))
	}
	c.worthBands = float64(len(worths))
	if cfg.Cold { // a cold worker cannot carry a full share: it starts strict and loosens as cores idle
		c.cursor = int((1 - min(1, max(0, cfg.ColdFrom))) * (bins - 1))
		for b := range c.rates {
			c.rates[b] = coldRequestsPerCore * float64(c.cfg.Cores) / c.shortestAim.Seconds() / bins
		}
	}
	for _, t := range cfg.Tenants {
		c.tenants = append(c.tenants, tenant{})
		c.totalQuota += t.Quota
	}
	c.runLimit = float64(c.cfg.Cores)
	c.callBound = c.cfg.CallShare * maxCallFraction
	w.SetHealth(true, true)
	return c, nil
}

// startsBefore is the order in which requests start and call: by worth, then by how soon they lose it.
func startsBefore(a, b *request) bool {
	worth, aim := cmp.Compare(b.class.Worth, a.class.Worth), cmp.Compare(a.aim, b.aim)
	return cmp.Or(worth, aim, cmp.Compare(a.ID, b.ID)) < 0
}

// Request reports that the worker has read a request.
func (c *Controller) Request(now time.Duration, q Request) {
	c.advance(now)
	if q.Class < 0 || q.Class >= len(c.classes) {
		q.Class = 0
	}
	if !(q.Rank > 0) { // also NaN
		q.Rank = 0
	}
	if !(q.Memory > 0) {
		q.Memory = 0
	}
	q.Rank, q.Waited = min(q.Rank, 1), max(0, q.Waited)
	r := &request{Request: q, class: &c.classes[q.Class], arrived: now - q.Waited}
	r.due = now + q.TimeLeft
	if q.TimeLeft <= 0 {
		r.due = max(now, r.arrived+r.class.Deadline)
	}
	r.aim = min(r.arrived+r.class.Aim, r.due)
	c.readSeconds = min(c.readSeconds+0.001, q.Waited.Seconds(), maxReadFraction*c.shortestAim.Seconds())
	c.unreadSeconds.add(q.Waited.Seconds(), 0)
	c.requests[q.ID] = r
	c.recordReuse(q.Caller)
	c.memoryKB += q.Memory
	c.dueTimes.set(q.ID, r.due-dueQuanta*c.cfg.Quantum)
	if q.RepeatOf != 0 { // prevents effects that happen twice
		r.state = replaying
		r.ran = true // an earlier try may have run, so this one is never refused
		c.w.Replay(r.ID)
		return
	}
	if q.Tenant >= 0 && q.Tenant < len(c.tenants) {
		t := &c.tenants[q.Tenant]
		t.windowCount++
		band, user := math.Modf(r.Rank * c.worthBands)
		r.Rank = (band + user*(1-t.overQuota)) / c.worthBands
	}
	b := min(int(r.Rank*bins), bins-1)
	c.windowCounts[b]++
	// Where reading is expensive and little waits, a request that is read already is held whatever its rank:
	// otherwise a fleet that is mostly cold reads each request several times and holds none.
	worthHolding := c.readUse > expensiveReadUse && c.overload <= 1 &&
		c.heldCoreSeconds() < queuingThreshold*c.shortestAim.Seconds()
	c.heldQueue.add(r)
	switch {
	case c.draining && c.now > c.noticeAt+c.cfg.DrainGrace-c.cfg.Quantum:
		// The time of reading counts: the last byte may have arrived long after the reported arrival.
		c.refuse(r)
	case b < c.cursor && !c.hasIdleCore() && !worthHolding:
		c.recordQueued(r)
		c.refuse(r)
	case c.now+c.estimateWait(r)+c.estimateDuration(r) > r.aim:
		// Prevents work whose result nobody waits for. The wait that the request is spared counts as
		// queuing, as the cursor has to shed load, by rank, and not this exception.
		c.queuedSeconds += c.estimateWait(r).Seconds()
		c.recordQueued(r)
		c.refuse(r)
	case r.class.Effect == Keyed:
		c.keepKey(r)
	}
}

// recordReuse adds to the cost of each idle timeout what it would have cost at this arrival: the time that a
// connection was idle until its caller returned, or the whole timeout and a new connection. Prevents a
// connection table full of connections that nobody uses again, with no room for new callers: many callers,
// each of them seldom here. Callers that return soon keep their connections. Cost: new connections where a
// large table has room for all; these are few, as callers that come seldom would have closed them anyway.
func (c *Controller) recordReuse(caller uint32) {
	gap, known := c.lastArrivals.update(caller, c.now)
	for i := range c.idleCost {
		timeout := c.cfg.IdleMax >> i
		cost := gap
		if !known || gap > timeout { // no connection is older than the worker
			cost = min(timeout, c.now-c.startedAt) + time.Duration(newConnectionCost*float64(c.cfg.IdleMax))
		}
		c.idleCost[i].add(cost.Seconds(), idleCostWeight)
	}
}

// adjustIdleTimeout moves the idle timeout towards the one of least cost. It moves back to the callers' own
// timeout while few connections would be kept for all of it (their number is the arrival rate times the mean
// time that each is kept), and in a connection storm: a full table turns new callers away at no cost, where
// each would otherwise take a new connection and a reading. readRate is in requests per second.
func (c *Controller) adjustIdleTimeout(readRate float64) {
	best, previous := 0, c.idleTimeout
	few := readRate*c.idleCost[0].value < connectionsPerRequest*c.cfg.Crowd*float64(c.cfg.Cores)
	for i, cost := range c.idleCost {
		if !few && cost.value < c.idleCost[best].value*minIdleSaving {
			best = i
		}
	}
	timeout := time.Duration(float64(previous) * math.Exp(idleTimeoutRate*(c.entryUse.value-stormUse)))
	c.idleTimeout = min(max(timeout, c.cfg.IdleMax>>best), c.cfg.IdleMax)
	c.entryUse = mean{}
	if c.idleTimeout != previous {
		c.w.CloseIdle(c.idleTimeout)
	}
}

// hasIdleCore reports whether a core is idle and no request waits for it. A request below the cursor, which
// is read already, is then run all the same, so that no core idles while the cursor falls in steps.
func (c *Controller) hasIdleCore() bool {
	return c.onCores+len(c.heldQueue.list) <= c.cfg.Cores && c.overload <= 1
}

// keepKey remembers the key of a request from its arrival on. Without memory for the key, the request is
// refused before it runs.
func (c *Controller) keepKey(r *request) {
	if c.cfg.Memory > 0 && c.memoryKB+c.cfg.KeyMemory > c.cfg.Memory*memoryFraction {
		c.refuse(r)
		return
	}
	term := r.class.Window + 4*c.cfg.Quantum
	r.keyKept = true
	c.memoryKB += c.cfg.KeyMemory
	c.keyExpiry.set(r.ID, c.now+term)
	c.w.Keep(r.ID, term)
}

// estimateWork returns the expected core seconds of r, by its hint where it has one; 0 = not known yet.
func (c *Controller) estimateWork(r *request) float64 {
	switch k := r.class; {
	case k.runSeconds.count < minSamples:
		return 0
	case r.Work > 0:
		return runMargin * k.runSeconds.value * k.hintTrend.factor(r.Work.Seconds())
	default:
		return min(runMargin*k.runSeconds.value, maxRunFraction*k.Aim.Seconds())
	}
}

// estimateDuration returns how long r is expected to take once it starts, its calls included.
func (c *Controller) estimateDuration(r *request) time.Duration {
	k := r.class
	seconds := c.estimateWork(r) * max(1, float64(c.onCores)/float64(c.cfg.Cores))
	if r.Work > 0 {
		seconds *= hintMargin * c.leastWorth / max(k.Worth, c.leastWorth)
	}
	if c.hasIdleCore() {
		// An idle core measures anew: otherwise a worker would refuse all requests after one slow period,
		// and never learn that the period is over.
		seconds = min(seconds, maxRunFraction*k.Aim.Seconds())
	}
	if k.Calls && k.SkipWorth <= 0 && k.meanCall > 0 {
		n := 1.0
		if k.callsPerRun.count >= minSamples {
			n = k.callsPerRun.value
		}
		// Requests at a call, those that are likely to call before this one, and this one share the bound.
		sharing := float64(c.inFlight.len()+c.callQueue.position(r)+1) + float64(c.mayCallOnCores)/2
		seconds += c.estimateCall(k) * max(n, n-1+sharing/c.callBound)
	}
	return time.Duration(seconds * float64(time.Second))
}

// estimateCall returns how many seconds a call of class k takes now, given that the downstream service serves
// worthier calls first. It is little more than the median, and no less than the age of the oldest call in
// flight, as a slow call is measured only when it ends. A call that a later one overtook says nothing of the
// others (see CallDone): this keeps a few calls that are slow, or whose reply is lost, from counting for all.
// A slow measurement fades, so that calls go on and measure anew.
func (c *Controller) estimateCall(k *class) float64 {
	fading := math.Exp(-float64(c.now-k.lastCallAt) / float64(callMemory))
	seconds := k.lowestMean + (min(k.meanCall, maxCallFactor*k.medianCall)-k.lowestMean)*fading
	if k.inFlight.len() > 1 {
		age := c.now - k.inFlight.first().at
		seconds = max(seconds, min(age, 2*callMemory-age).Seconds())
	} else if c.inFlight.len() > 0 && c.callBound < 2 { // there is never a second call to overtake it
		seconds = max(seconds, (c.now - c.inFlight.first().at).Seconds())
	}
	return seconds
}

// estimateWait returns how long r is expected to wait before it can start.
func (c *Controller) estimateWait(r *request) time.Duration {
	seconds := 0.0
	for _, other := range c.heldQueue.list[:c.heldQueue.position(r)] {
		seconds += c.estimateWork(other)
	}
	if c.onCores >= int(c.runLimit) {
		seconds += c.estimateWork(r) / 2
	}
	return time.Duration(seconds / float64(c.cfg.Cores) * float64(time.Second))
}

// heldCoreSeconds returns how many seconds all held requests would take the cores.
func (c *Controller) heldCoreSeconds() float64 {
	seconds := 0.0
	for _, r := range c.heldQueue.list {
		seconds += c.estimateWork(r)
	}
	return seconds / float64(c.cfg.Cores)
}

// recordQueued adds the queuing time of a request that leaves the queue to this window.
func (c *Controller) recordQueued(r *request) {
	c.queuedSeconds += (c.now - r.arrived).Seconds()
	c.leftQueueCount++
}

// refuse rejects a held request that never ran, with advice to the caller.
func (c *Controller) refuse(r *request) {
	// A try elsewhere costs another reading there. It is not worth it for a request that is too late anyway,
	// nor while all workers are likely to be busy.
	expensive := float64(c.cursor) > fullFraction*bins && c.readUse > expensiveReadUse
	away, last := time.Duration(0),
		c.now >= r.aim || expensive && !c.draining && !c.stalled() && !c.degraded()
	switch {
	case c.closedToNew(), c.readTooLate:
		away = c.cfg.MaxAdvice
	case c.overload > adviceThreshold:
		// Prevents that all callers stay away for longer than the held work keeps the cores busy.
		away = min(c.cfg.MaxAdvice, time.Duration(adviceFraction*c.heldSeconds*float64(time.Second)))
	}
	c.w.Refuse(r.ID, away, last)
	c.remove(r)
}

// remove forgets a concluded request, and drops its key if it never ran.
func (c *Controller) remove(r *request) {
	if r.keyKept && !r.ran {
		c.memoryKB -= c.cfg.KeyMemory
		c.keyExpiry.remove(r.ID)
		c.w.Forget(r.ID)
	}
	c.setState(r, held)
	c.heldQueue.remove(r)
	c.dueTimes.remove(r.ID)
	c.memoryKB -= r.Memory
	delete(c.requests, r.ID)
}

// setState moves r to state next and updates the counts, queues and memory that depend on it.
func (c *Controller) setState(r *request, next state) {
	switch r.state {
	case running:
		c.lastProgress = c.now
		c.onCores--
		if r.class.Calls {
			c.mayCallOnCores--
		}
		r.coreSeconds += c.coreClock - r.coreMark
	case blocked:
		c.callQueue.remove(r)
	case calling:
		c.inFlight.remove(r.ID)
		r.class.inFlight.remove(r.ID)
		r.class.overtaken.remove(r.ID)
	}
	if (r.state == held || r.state == replaying) != (next == held || next == replaying) {
		more := r.Memory * (c.cfg.RunFactor - 1)
		if next == held {
			more = -more
		}
		c.memoryKB += more
	}
	r.state = next
	switch next {
	case running:
		if c.onCores < c.cfg.Cores {
			c.lastProgress = c.now
		}
		c.onCores++
		if r.class.Calls {
			c.mayCallOnCores++
		}
		r.coreMark = c.coreClock
	case blocked:
		c.callQueue.add(r)
	case calling:
		c.inFlight.set(r.ID, c.now)
		r.class.inFlight.set(r.ID, c.now)
	}
}

// advance moves the clocks to now, and drops abandoned calls and keys whose time is over.
func (c *Controller) advance(now time.Duration) {
	seconds := (now - c.now).Seconds()
	c.now = now
	c.coreClock += seconds * min(1, float64(c.cfg.Cores)/max(1, float64(c.onCores)))
	c.abandoned.expire(now)
	c.excessCallTime = max(0, c.excessCallTime+
		seconds*(float64(c.inFlight.len()+c.abandoned.len())-meanCallFactor*c.callBound))
	c.memoryKB -= c.cfg.KeyMemory * float64(c.keyExpiry.expire(now))
}

// Done reports that a run or a replay ended, how, and how long after it began.
func (c *Controller) Done(now time.Duration, id uint32, took time.Duration, how Outcome) {
	c.advance(now)
	r := c.requests[id]
	if r == nil {
		return
	}
	if how == Stopped && !r.answered && r.state != replaying {
		if c.cfg.Stopping == StopPauses {
			c.setState(r, paused)
			return
		}
		c.setState(r, held)
		r.coreSeconds = 0
		c.heldQueue.add(r)
		return
	}
	if how == NotStarted {
		r.ran = false // no run started, so its key is free again
	}
	if how == OK && r.state == running {
		c.setState(r, held)
		used := min(r.coreSeconds, r.class.Aim.Seconds())
		r.class.runSeconds.add(used, completionWeight)
		if baseline := &r.class.baseline; baseline.count >= minSamples {
			c.slowdown.add(used/max(baseline.value, 1e-6), completionWeight)
		}
		r.class.baseline.add(used, baselineWeight)
		r.class.hintTrend.add(r.Work.Seconds(), used)
		if r.class.Calls {
			r.class.callsPerRun.add(float64(r.callsDone), completionWeight)
		}
	}
	c.remove(r)
}

// Canceled reports that nobody waits for a request any longer.
func (c *Controller) Canceled(now time.Duration, id uint32) {
	c.advance(now)
	if r := c.requests[id]; r != nil && !r.answered {
		c.finish(r)
	}
}

// finish marks a request that is answered or canceled by its caller. A request that does not run is removed;
// a run is stopped where the worker can stop runs and the request is safe to repeat.
func (c *Controller) finish(r *request) {
	r.answered = true
	c.dueTimes.remove(r.ID)
	switch r.state {
	case held, paused, replaying:
		c.remove(r)
	case running:
		if c.cfg.Stopping != StopNever && r.class.Effect == Safe {
			c.w.Stop(r.ID)
		}
	}
}

// Blocked reports that a running request waits for a downstream call.
func (c *Controller) Blocked(now time.Duration, id uint32) {
	c.advance(now)
	if r := c.requests[id]; r != nil && r.state == running {
		c.setState(r, blocked)
	}
}

// CallDone reports how a call ended, and how long after it was made.
func (c *Controller) CallDone(now time.Duration, id uint32, took time.Duration, how Outcome) {
	c.advance(now)
	r := c.requests[id]
	if r == nil || r.state != calling {
		return
	}
	c.recordCall(r.class, took.Seconds(), how)
	switch how {
	case OK:
		for calls := r.class.inFlight; calls.len() > 0 && calls.first().at < now-took; {
			earlier := calls.first() // made before this call and still in flight: overtaken
			calls.remove(earlier.id)
			r.class.overtaken.set(earlier.id, earlier.at)
		}
		r.callsDone++
		r.callTries = 0
		c.setState(r, running)
		return
	case TimedOut, Interrupted, Errored:
		r.uncertain = true
		c.abandoned.set(id, now+c.cfg.CallLingers)
	case Rejected, Unreachable:
		// Prevents retries that keep the downstream service busy with refusals.
		delay := callRetryFraction * r.class.meanCall * float64(uint(1)<<min(r.callTries-1, 4))
		r.retryAt = now + max(minCallRetryDelay, time.Duration(delay*float64(time.Second)))
	}
	c.setState(r, blocked)
}

// recordCall updates the call times and the bound after a call that took so many seconds. The bound falls
// while the mean call time is well above its lowest value, down to the number of calls that cannot overload
// the dependency, and rises again otherwise.
func (c *Controller) recordCall(k *class, seconds float64, how Outcome) {
	weight := max(minCallWeight, 1-math.Exp(-float64(c.now-k.lastCallAt)/float64(callMemory)))
	if how == OK || how == TimedOut && seconds > k.meanCall {
		if k.meanCall == 0 {
			k.meanCall, k.lowestMean = seconds, seconds
		}
		if k.callCount++; k.callCount == 1 {
			k.medianCall = seconds
		}
		if k.medianCall *= medianStep; seconds < k.medianCall/medianStep {
			k.medianCall /= medianStep * medianStep
		}
		k.meanCall += (seconds - k.meanCall) * weight
		k.lastCallAt = c.now
		k.lowestMean = min(k.lowestMean*(1+lowestMeanGrowth), k.meanCall)
	}
	maxBound := c.cfg.CallShare * maxCallFraction
	switch {
	case how != OK:
		c.callBound *= failedCallCut
	case k.meanCall > slowCallFactor*k.lowestMean:
		c.callBound *= 1 - callBoundStep*weight
	default:
		c.callBound += maxBound * callBoundStep * weight
	}
	c.callBound = min(maxBound, max(c.cfg.CallShare*minCallFraction, c.callBound))
}

// Drain reports that the worker has just been given notice, and is stopped after in.
func (c *Controller) Drain(now time.Duration, in time.Duration) { c.DrainSince(now, now, in) }

// DrainSince does the same for a controller that is created after the notice: the grace begins at the notice.
func (c *Controller) DrainSince(now, notice, in time.Duration) {
	c.advance(now)
	c.draining, c.noticeAt, c.stopAt = true, notice, now+in
}

// Tick passes the gauges, in reply to Worker.Wake.
func (c *Controller) Tick(now time.Duration, g Gauges) {
	c.advance(now)
	c.nextWake = 0
	if now-c.lastTick < gaugeInterval/2 {
		return
	}
	c.lastTick = now
	if use := min(1, g.CoreUse); use >= 0 { // an unknown reading is left out
		c.coreUse.add(use, 0)
		if n := g.OnCores; n >= 0 && !math.IsInf(n, 1) {
			c.entryUse.add(use*max(0, n-float64(c.onCores))/max(1, n), 0)
		}
	}
	// The core use is that of the last half second and lags: only cores that are idle now raise the limit.
	c.runLimit /= limitGrowth
	if g.OnCores < float64(c.cfg.Cores) && len(c.heldQueue.list) > 0 {
		c.runLimit = c.runLimit*limitGrowth*limitGrowth + 1
	}
	c.runLimit = min(max(c.runLimit, float64(c.cfg.Cores)), c.maxInProgress())
}

// maxInProgress returns the most requests in progress: a fraction of the crowd that the worker survives. A
// worker counts as cold for as long as it may be cold. Requests that wait for a call count too, as they
// return to the cores by themselves.
func (c *Controller) maxInProgress() float64 {
	speed := 1.0
	if c.cfg.Cold && c.cfg.ColdFor > 0 {
		speed = min(1, c.cfg.ColdFrom+(1-c.cfg.ColdFrom)*float64(c.now-c.startedAt)/float64(c.cfg.ColdFor))
	}
	cores := float64(c.cfg.Cores)
	return max(cores, crowdFraction*cores*(1+(c.cfg.Crowd-1)*speed))
}

// Decide acts on the events since the last Decide.
func (c *Controller) Decide(now time.Duration) {
	c.advance(now)
	c.answerDue()
	c.makeCalls()
	c.dropLate()
	c.startHeld()
	c.fitMemory()
	c.closeWindow()
	c.advertise()
	c.scheduleWake()
}

// answerDue answers the requests that may come due before the next batch, and all open requests shortly
// before the stop, so that none is lost.
func (c *Controller) answerDue() {
	last := c.draining && c.now >= c.lastAnswerAt()
	for c.dueTimes.len() > 0 && (last || c.dueTimes.first().at <= c.now) {
		c.answer(c.requests[c.dueTimes.first().id])
	}
}

// answer gives r its final answer: a refusal if it never ran, and a failure otherwise.
func (c *Controller) answer(r *request) {
	if r.state == held && !r.ran {
		c.refuse(r)
		return
	}
	c.w.Fail(r.ID)
	c.finish(r)
}

// lastAnswerAt returns the time at which all requests that are still open are answered before the stop.
func (c *Controller) lastAnswerAt() time.Duration {
	return c.stopAt - stopMargin - dueQuanta*c.cfg.Quantum
}

// makeCalls makes the calls that requests wait for, the worthiest first, within the bound. A request whose
// call would come too late goes on without it, where that still earns a part of the worth.
func (c *Controller) makeCalls() {
	for i := 0; i < len(c.callQueue.list); {
		r := c.callQueue.list[i]
		remaining := time.Duration(0.5 * r.class.runSeconds.value * float64(time.Second))
		seconds := c.estimateCall(r.class) * (1 + float64(i)/c.callBound)
		late := c.now+time.Duration(seconds*float64(time.Second))+remaining > r.aim
		switch {
		case r.answered:
			i++
		case r.class.SkipWorth > 0 && (late || r.uncertain && (r.class.Effect != Safe || r.callTries > 1)):
			c.w.Skip(r.ID)
			c.setState(r, running)
		case r.uncertain && r.class.Effect != Safe, r.class.LateWorth <= 0 && c.tooLateToCall(r, remaining):
			c.w.Fail(r.ID)
			c.finish(r)
			i++
		case r.retryAt > c.now:
			i++
		case c.mayCall():
			patience := r.due - dueQuanta*c.cfg.Quantum - c.now
			if r.class.Effect == Safe && r.class.LateWorth <= 0 {
				patience = min(patience, r.aim-c.now)
				// Prevents waiting for a reply that never comes: a call given up in time can be made again.
				next := time.Duration(r.class.meanCall*float64(time.Second)) + remaining
				if giveUp := c.giveUpAfter(r); c.now+giveUp+next < r.aim {
					patience = min(patience, giveUp)
				}
			}
			if part := c.cfg.CallShare * maxCallFraction; part < 1 && c.cfg.CallWindow > 0 { // see mayCall
				patience = min(patience, time.Duration(part*float64(c.cfg.CallWindow)))
			}
			r.callTries++
			c.w.Call(r.ID, max(patience, time.Millisecond))
			c.setState(r, calling)
		default:
			i++
		}
	}
}

// tooLateToCall reports whether a call of r would not return in time, given the run time that remains after
// it. Spares the downstream service work whose result nobody waits for.
func (c *Controller) tooLateToCall(r *request, remaining time.Duration) bool {
	callTime := time.Duration(minTimeLeftFraction * c.estimateCall(r.class) * float64(time.Second))
	return c.now >= r.aim || c.now+callTime+remaining > r.aim
}

// giveUpAfter returns the time after which a call of r is more likely lost, or at a slow machine, than slow
// like all others. It doubles with each try. Cost: where call times vary that much by themselves, some calls
// are made twice.
func (c *Controller) giveUpAfter(r *request) time.Duration {
	if r.class.callCount < minSamples {
		return r.class.Aim
	}
	return r.class.giveUpTime() << min(r.callTries, 4)
}

// giveUpTime returns the time after which the first try of a call of the class is given up.
func (k *class) giveUpTime() time.Duration {
	return max(minGiveUp, time.Duration(giveUpFactor*k.medianCall*float64(time.Second)))
}

// mayCall reports whether one more call keeps within the bound on calls in flight, abandoned ones included.
// It protects the shared dependency. A call overtaken long ago counts only against the whole share, so that
// replies that never come do not use up the bound. A bound below one holds for the mean: a new call waits
// until the mean has made up for the last one, and no call outlasts its part of CallWindow.
func (c *Controller) mayCall() bool {
	n, lost := float64(c.inFlight.len()+c.abandoned.len()), 0.0
	for i := range c.classes {
		lost += float64(c.classes[i].overtaken.countBefore(c.now - lostCallFactor*c.classes[i].giveUpTime()))
	}
	return n-lost+1 <= c.callBound && n+1 <= c.cfg.CallShare || n == 0 && c.excessCallTime <= 0
}

// dropLate refuses held requests that can no longer earn their worth, while their callers may try elsewhere.
func (c *Controller) dropLate() {
	for i := 0; i < len(c.heldQueue.list); {
		r := c.heldQueue.list[i]
		end := c.now + c.estimateDuration(r)
		if r.ran || end <= r.aim && (!c.draining || end < c.stopAt-stopMargin) {
			i++
			continue
		}
		c.recordQueued(r)
		c.refuse(r)
	}
}

// startHeld runs held requests while the cores, the crowd, the memory and the downstream calls leave room.
func (c *Controller) startHeld() {
	for i := 0; i < len(c.heldQueue.list); {
		if c.onCores >= int(c.runLimit) ||
			float64(c.onCores+len(c.callQueue.list)+c.inFlight.len()) >= c.maxInProgress() {
			return
		}
		r := c.heldQueue.list[i]
		more := r.Memory * (c.cfg.RunFactor - 1)
		switch {
		case c.cfg.Memory > 0 && c.memoryKB+more > c.cfg.Memory*memoryFraction:
			return
		case r.class.Calls && r.class.SkipWorth <= 0 && float64(c.callQueue.position(r)) > c.callBound+1,
			r.ran && r.class.Effect != Safe:
			i++
			continue
		}
		c.recordQueued(r)
		c.heldQueue.remove(r)
		r.ran = true
		c.setState(r, running)
		c.w.Run(r.ID)
	}
}

// fitMemory refuses the lowest-ranked held requests until the memory suffices, also after a burst in one
// batch.
func (c *Controller) fitMemory() {
	for c.cfg.Memory > 0 && c.memoryKB > c.cfg.Memory*0.99 {
		var lowest *request
		for _, r := range c.heldQueue.list {
			if !r.ran && (lowest == nil || r.Rank < lowest.Rank) {
				lowest = r
			}
		}
		if lowest == nil {
			return
		}
		c.refuse(lowest)
	}
}

// closeWindow ends the window when its time is over and moves the cursor: DAGOR's Algorithm 1.
func (c *Controller) closeWindow() {
	if c.cfg.Cold && math.IsInf(c.readSeconds, 1) {
		// Callers do not know this worker yet: its idle cores say nothing and must not lower the cursor.
		c.windowStart, c.coreUse = c.now, mean{}
	}
	length, aim := c.now-c.windowStart, c.shortestAim
	if length < time.Duration(windowFraction*float64(aim)) ||
		c.unreadSeconds.count == 0 && c.coreUse.count > 0 && c.coreUse.value >= idleCoreUse {
		return // with busy cores, a window counts only once a request was read in it
	}
	if n := len(c.callQueue.list); n > int(c.callBound) {
		c.w.Log(fmt.Sprintf("calls waiting: %d, in flight: %d, bound: %.1f",
			n, c.inFlight.len(), c.callBound))
	}
	sum, n := c.queuedSeconds, c.leftQueueCount
	for _, r := range c.heldQueue.list {
		sum += (c.now - r.arrived).Seconds()
		n++
	}
	overload := max(0, sum/max(1, n)-c.readSeconds) / (queuingThreshold * aim.Seconds())
	coreUse := c.coreUse.value
	if c.coreUse.count == 0 {
		coreUse = 1
	}
	if coreUse < idleCoreUse {
		overload = 0 // with idle cores, the time went into reading on a slow machine, not into queuing
	}
	lateness := c.unreadSeconds.value / aim.Seconds()
	c.coreUse, c.unreadSeconds = mean{}, mean{}
	weight := 1 - math.Exp(-float64(length)/float64(rateAveraging))
	hiddenWeight := 1 - math.Exp(-float64(length)/float64(hiddenAveraging))
	admitted, readRate, meanRate := 0.0, 0.0, 0.0
	for b := range c.rates {
		rate := c.windowCounts[b] / length.Seconds()
		readRate += rate
		w := weight
		if b < c.cursor && rate < c.rates[b] {
			w = hiddenWeight // callers that follow the level withhold these requests
		}
		c.rates[b] += w * (rate - c.rates[b])
		c.windowCounts[b] = 0
		meanRate += c.rates[b]
		if b >= c.cursor {
			admitted += c.rates[b]
		}
	}
	c.readTooLate = lateness >= 1
	c.readUse = readRate * min(c.readSeconds, aim.Seconds()) / float64(c.cfg.Cores)
	// The admitted rate is at least one request per window: from zero the cursor would never fall again.
	admitted = max(admitted, 1/length.Seconds())
	c.measureTenants(length.Seconds(), weight)
	c.windowStart, c.queuedSeconds, c.leftQueueCount = c.now, 0, 0
	c.adjustIdleTimeout(meanRate / (1 - math.Exp(-float64(c.now-c.startedAt)/float64(rateAveraging))))
	c.overload, c.heldSeconds = overload, c.heldCoreSeconds()
	target := admitted
	if overload > 1 {
		c.carriedGrowth = 0
		target *= 1 - max(min(alphaMax, alpha*overload), min(unreadCut, unreadCut*lateness*lateness))
	} else {
		// Growth that was too small for the next bin is carried over: otherwise the bin of one frequent user,
		// with more than the share beta of all requests, would stop the cursor for good.
		// The calm term ends refusals soon after a jump of traffic: excess admissions can still wait.
		calm := max(0, 1-2*max(overload, c.heldSeconds/(queuingThreshold*aim.Seconds())))
		c.carriedGrowth += min(betaMax, beta+betaCalm*calm+betaIdle*max(0, targetUse/max(coreUse, 0.1)-1))
		target *= 1 + c.carriedGrowth
	}
	// Callers of a cold worker have withheld these requests from the start: the bins count as equally full.
	for b := range c.cursor {
		if c.cfg.Cold && c.now-c.startedAt < c.cfg.ColdFor {
			c.rates[b] = max(c.rates[b], admitted/float64(bins-c.cursor))
		}
	}
	cursor, sum := bins, 0.0
	for cursor > 0 && sum+c.rates[cursor-1] <= target {
		cursor--
		sum += c.rates[cursor]
	}
	if overload <= 1 {
		cursor = min(cursor, c.cursor) // a window without overload never raises the cursor
	}
	cursor = min(cursor, bins-1)
	if cursor != c.cursor {
		c.carriedGrowth = 0
	}
	c.cursor = cursor
}

// measureTenants computes which fraction of each tenant's requests is over its quota, and over that quota as
// scaled to what the other tenants ask for (as retries make all tenants seem over their quotas). Prevents one
// tenant from displacing the others. Cost: sampling errors. length is the window in seconds, weight that of
// the window in the mean rates.
func (c *Controller) measureTenants(length, weight float64) {
	for i := range c.tenants {
		t, quota := &c.tenants[i], c.cfg.Tenants[i].Quota
		change := weight * (t.windowCount/length - t.rate)
		t.rate, t.windowCount, c.totalRate = t.rate+change, 0, c.totalRate+change
		t.overQuota = 0
		if others := c.totalRate - t.rate; quota > 0 && c.totalQuota > quota && others > 0 {
			fair := max(tenantHeadroom*others/(c.totalQuota-quota), 1/float64(max(1, c.cfg.Servers))) * quota
			t.overQuota = max(0, 1-fair/max(t.rate, 1e-9))
		}
	}
}

// advertise reports the level and the health to the worker, where they changed.
func (c *Controller) advertise() {
	unavailable := c.closedToNew() || c.stalled()
	value := float64(c.cursor) / bins
	if unavailable {
		value = 1
	}
	switch c.cfg.Advert {
	case AdvertNone:
		value = c.advertisedValue
	case AdvertWeight:
		value = 1 - value
	case AdvertCredit:
		// Many callers share few credits: as long as anything is accepted, at least one of them may send.
		value = max(creditsPerCore*float64(c.cfg.Cores)*(1-value), min(1, bins*(1-value))) /
			float64(max(1, c.cfg.Callers))
	}
	if value != c.advertisedValue {
		c.advertisedValue = value
		c.w.SetLevel(value)
	}
	if unavailable == c.healthy {
		c.healthy = !unavailable
		c.w.SetHealth(c.healthy, true)
	}
}

// closedToNew reports whether a draining worker accepts nothing more, or will not by the time callers know.
// Until then new requests may still run, with their answers out before the stop. Prevents a fleet that goes
// without this worker while its successor is cold or not known to callers yet.
func (c *Controller) closedToNew() bool {
	return c.draining && (c.now >= c.noticeAt+c.cfg.DrainGrace-drainLead || c.now >= c.stopAt-c.shortestAim)
}

// stalled reports whether no result of the worker reaches anyone in time: either the cores are taken and no
// run has left them for a whole aim, or all requests that it reads have waited unread for longer than an aim.
// This covers runs that hang, a lock that all runs wait for, and a machine so slow that it reads only
// requests that are too late: the worker then asks for no requests, and lets those it refuses go elsewhere.
// The first run to leave the cores, or the first request read in time, ends it. Cost: where all workers fall
// behind at once, callers find none that is healthy.
func (c *Controller) stalled() bool {
	return c.readTooLate || c.onCores >= c.cfg.Cores && c.now-c.lastProgress > c.shortestAim
}

// degraded reports whether this worker is slower than it was, or cold. Other workers, which it cannot see,
// are then likely better off, so that a try elsewhere pays; in an overload of all workers it would only cost
// one more reading. Prevents the loss of requests that others had room for. Cost: tries elsewhere where all
// workers are slow at once.
func (c *Controller) degraded() bool {
	return c.slowdown.count >= minSamples && c.slowdown.value > slowdownThreshold ||
		c.cfg.Cold && c.now-c.startedAt < c.cfg.ColdFor
}

// scheduleWake asks for the next Tick: when the gauges are to be read, or sooner for what comes due.
func (c *Controller) scheduleWake() {
	at := c.now + gaugeInterval
	if c.dueTimes.len() > 0 {
		at = min(at, c.dueTimes.first().at)
	}
	for _, r := range c.callQueue.list {
		if r.retryAt > c.now {
			at = min(at, r.retryAt)
		}
	}
	if c.draining { // the last moment for answers, whatever other events come
		at = min(at, c.lastAnswerAt())
	}
	at = max(at, c.now+time.Millisecond)
	if c.nextWake > c.now && c.nextWake <= at {
		return
	}
	c.nextWake = at
	c.w.Wake(at - c.now)
}
