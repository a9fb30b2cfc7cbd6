// Package control decides, for one worker alone, what it takes, runs, turns away and tells its callers.
//
// This file holds all decisions and every tuned value; the interface (types, events, actions) is in api.go.
// The ordinary path is DAGOR's: a histogram over rank and a cursor in it. A window in which requests
// queued too long moves the cursor up, any other moves it down; what ranks under the cursor is refused as
// it is read, and the cursor goes out as the level with every answer. Guards for the due time, memory, the
// crowd on the cores, calls below, effects and draining stand around it.
//
// A Controller is not safe for concurrent use, starts no goroutine, reads no clock and shares nothing. The
// caller passes the time, which never runs backwards, feeds the events and calls Decide after each group.
package control

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// The histogram, its windows and the cursor (DAGOR, section 4.2.3).
const (
	bins       = 128             // fine bins of rank; paper: 128 levels of user in each of business
	windowPart = 0.3             // of the shortest aim: a window; so that a cut acts within one aim
	queuePart  = 0.20            // of the shortest aim: mean queuing time of an overloaded window
	readPart   = 0.25            // of the shortest aim: reading alone takes this at most; more is queuing
	coldRate   = 2.0             // requests a core in the shortest aim that a cold worker first expects
	alpha      = 0.03            // share cut in an overloaded window, for each threshold of queuing
	alphaMax   = 0.15            // largest share cut in one window
	unreadCut  = 0.50            // share cut as unread time nears the shortest aim, by its square
	beta       = 0.01            // share added in a window that is not overloaded, with busy cores
	betaIdle   = 0.25            // more share added, for each core's work that the busy part leaves idle
	betaCalm   = 0.10            // more share added where nothing waits, less where some does
	wantUse    = 0.85            // share of the cores in use up to which the cursor loosens faster than beta
	betaMax    = 0.50            // largest share added in one window
	memory     = 5 * time.Second // the histogram averages over this: 1 s at 15 a second is too few
	tenantRoom = 1.25
	hiddenFor  = 20 * time.Second // bins under the level keep their last rate so long: callers hide them
)

// Running and time.
const (
	tick       = 100 * time.Millisecond // between two readings of the gauges
	dueQuanta  = 2                      // batches before the due time in which the answer is given
	leaveLead  = 300 * time.Millisecond // before the end of the grace callers are told to keep away
	stopMargin = 60 * time.Millisecond  // before the stop at which all is answered

	grow       = 1.25  // growth of the running limit in a tick in which cores idle and work waits
	idleUse    = 0.92  // share of the cores in use under which they idle
	crowdPart  = 0.75  // of the crowd that the worker survives: most requests in progress
	memoryPart = 0.90  // of the memory: what running work may fill; the rest is for arrivals
	learn      = 0.10  // weight of the newest completion in a mean
	servePart  = 0.60  // of the aim: the longest that a run is expected to take
	hintRisk   = 1.5   // of what its hint lets expect: the least worth may take so long, worthier ones less
	wide       = 1.4   // times its class's mean: what a run without a hint may take, as half take longer
	enough     = 5     // completions before a mean is believed
	usualLearn = 0.005 // least weight of the newest completion in what is usual
	ailAt      = 1.8   // times the usual: runs that take longer tell of a slow machine, not of many callers
)

// Calls below.
const (
	callPart    = 0.60  // of the share of calls that kills the dependency: most that are in hand
	callMean    = 1.25  // times the bound: the mean of calls in hand where the bound is under one
	callLeast   = 0.20  // of that share: least bound, so that calls go on and find out
	callSlow    = 2.5   // times the quickest mean of late: above this the bound shrinks
	callEase    = 0.30  // of the bound: what a slow call takes off, a good one adds
	callCut     = 0.80  // the bound after a call that failed
	callLearn   = 0.10  // least weight of the newest call in the mean; more after a pause
	callRelearn = 0.001 // growth of the quickest mean a call, to follow a changed dependency
	callPause   = 0.5   // of the mean of calls: a call that was turned away waits so long, then twice
	minPause    = 5 * time.Millisecond
	callGiveUp  = 5.0                   // times the median of calls: a longer one is given up
	minGiveUp   = 50 * time.Millisecond // a machine that is busy for a moment may be so late
	callLost    = 4                     // times that: one that was overtaken too keeps no place
	callTail    = 2.0                   // times the median of calls: the longest that one is expected to take
	vainPart    = 0.8                   // of what a call takes: with less time left it is not made
	callStep    = 1.05                  // by which the median moves at a call
	callForget  = 2 * time.Second       // a slow reading of calls fades so fast: calls go on as probes
)

// Advice and connections.
const (
	fullAt    = 0.12 // of the ranks refused: with fewer, others may have room
	dearRead  = 0.1  // of the cores: reading that takes more is dear, and so is a try elsewhere
	creditOf  = 2.0  // requests a core that all callers together may have outstanding, where credits are said
	adviseAt  = 1.0  // thresholds of queuing from which a refusal says to stay away
	adviseFor = 0.5  // of the time that all that is held takes the cores: so long
	idleSteps = 8    // idle times weighed: the callers' own, and each the half of the one before
	idlePart  = 0.15 // of the callers' own: idle for so long, one costs as much as a new one
	idleSave  = 0.9  // of the cost of a longer one: a shorter idle time has to save as much
	idleLearn = 0.02 // weight of the newest arrival in what each of them would have cost
	connRoom  = 2.0  // connections for each request that the worker survives: it has room for these
	dearEntry = 0.4  // of the cores: reading, checks and new connections that take more are a storm
	idlePace  = 2.0  // e-foldings of the idle time in a window, for each share of the cores off that mark
)

type state uint8

const (
	held state = iota
	running
	blocked // at a call that is not made yet
	calling
	paused
	replaying
)

type request struct {
	Request
	class    *class
	state    state
	ran      bool // a run of it began
	answered bool // answered, or its caller has gone
	arrived  time.Duration
	due      time.Duration
	aim      time.Duration // when its worth falls
	calls    int           // calls of it that ended well
	tries    int           // of the call that it waits for
	pause    time.Duration // until then it is not made again
	used     float64       // core seconds used up to mark
	mark     float64       // of the core clock, at which it last came on the cores
	unsure   bool          // its last call may have taken effect
	key      bool          // its key is kept
}

type tenant struct{ count, rate, over float64 } // read in this window, a second of late; part over its quota

type class struct {
	Class
	work, calls       mean          // core seconds, and calls, of a run
	usual             mean          // core seconds of a run, over a long time
	hinted            trend         // these by the hint
	below, passed     *heap         // its calls in hand, by when made; those that a later one overtook
	callRTT, callMin  float64       // the mean time of calls now, and at its quickest
	callMed, callSeen float64       // the median of calls, and how many were seen
	callAt            time.Duration // when one was seen last
}

// Controller decides for one worker.
type Controller struct {
	cfg           Config
	w             Worker
	now, born     time.Duration
	classes       []class
	tenants       []tenant
	asked, quotas float64       // of all tenants
	shortest      time.Duration // aim
	least         float64       // worth
	bands         float64       // of rank, one for each worth
	all           map[uint32]*request
	hold          line
	stood         line // blocked, waiting for a call
	dues, keys    *heap
	wakes         time.Duration // the earliest wake-up asked for
	ticked        time.Duration

	count        [bins]float64 // read in this window
	rate         [bins]float64 // requests a second, averaged over memory
	cursor       int           // lowest bin that is taken
	opened       time.Duration // of this window
	queued, left float64       // seconds queued by those that left the queue in this window, and how many
	credit       float64       // beta of calm windows in which the cursor could not move
	over, held   float64       // the last window's queuing time in thresholds; its held work, s
	use          mean          // share of the cores in use in this window
	reading      float64       // seconds that reading alone takes
	unread       mean          // seconds that what was read in this window had waited unread
	drowned      bool          // that was longer than the shortest aim in the last window
	readUse      float64       // share of the cores that the last window's reading took
	said         float64
	healthy      bool

	slowed   mean    // core seconds of runs of late, in their class's usual ones
	limit    float64 // running on the cores
	onCores  int
	mem      float64
	core     float64 // core clock: seconds a request on the cores has had of one core
	below    *heap   // calls in hand, by when they were made
	toCall   int     // on the cores and of a class that calls
	lapsed   *heap   // abandoned calls still in hand below
	callDebt float64 // seconds that calls were in hand beyond the bound
	callCap  float64 // the bound

	seen     seen // when each caller came last
	idleCost [idleSteps]mean
	idle     time.Duration // after which connections are closed
	entry    mean          // share of the cores in this window that were not with runs

	moved        time.Duration // when a run last ended or stood at a call, or none was on the cores
	leaving      bool
	notice, stop time.Duration
}

// New makes the controller of a worker that starts now. Its error names a field of cfg that cannot be.
func New(cfg Config, now time.Duration, w Worker) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg, w: w, all: map[uint32]*request{}, hold: line{less: before},
		stood: line{less: before}, dues: newHeap(), keys: newHeap(), lapsed: newHeap(), below: newHeap(),
		now: now, born: now, opened: now, ticked: now, idle: cfg.IdleMax,
		shortest: math.MaxInt64, least: math.MaxFloat64, healthy: true, said: -1, reading: math.Inf(1)}
	c.cfg.Cores, c.cfg.RunFactor, c.cfg.Crowd = max(1, cfg.Cores), max(1, cfg.RunFactor), cmp.Or(cfg.Crowd, 2)
	if c.cfg.CallShare = cmp.Or(cfg.CallShare, 1); cfg.CallShare <= 0 && cfg.CallsTier {
		c.cfg.CallShare = c.cfg.Crowd * float64(c.cfg.Cores) / callPart // only the crowd bounds the calls
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
		c.classes = append(c.classes, class{Class: k, below: newHeap(), passed: newHeap()})
		worths[k.Worth] = true
		c.shortest, c.least = min(c.shortest, k.Aim), min(c.least, max(k.Worth, 1e-9))
	}
	c.bands = float64(len(worths))
	if cfg.Cold { // a cold worker cannot carry a full share: it starts tight and loosens as cores idle
		c.cursor = int((1 - min(1, max(0, cfg.ColdFrom))) * (bins - 1))
		for b := range c.rate {
			c.rate[b] = coldRate * float64(c.cfg.Cores) / c.shortest.Seconds() / bins
		}
	}
	for _, t := range cfg.Tenants {
		c.tenants = append(c.tenants, tenant{})
		c.quotas += t.Quota
	}
	c.limit = float64(c.cfg.Cores)
	c.callCap = c.cfg.CallShare * callPart
	w.SetHealth(true, true)
	return c, nil
}

// before is the order of starting: worth first, then what loses it first.
func before(a, b *request) bool {
	worth, aim := cmp.Compare(b.class.Worth, a.class.Worth), cmp.Compare(a.aim, b.aim)
	return cmp.Or(worth, aim, cmp.Compare(a.ID, b.ID)) < 0
}

// Request tells that a request was read.
func (c *Controller) Request(now time.Duration, q Request) {
	c.step(now)
	if q.Class < 0 || q.Class >= len(c.classes) {
		q.Class = 0
	}
	if !(q.Rank > 0) { // also not a number
		q.Rank = 0
	}
	if !(q.Memory > 0) {
		q.Memory = 0
	}
	q.Rank, q.Waited = min(q.Rank, 1), max(0, q.Waited)
	r := &request{Request: q, class: &c.classes[q.Class], arrived: now - q.Waited}
	r.due = now + q.Left
	if q.Left <= 0 {
		r.due = max(now, r.arrived+r.class.Deadline)
	}
	r.aim = min(r.arrived+r.class.Aim, r.due)
	c.reading = min(c.reading+0.001, q.Waited.Seconds(), readPart*c.shortest.Seconds())
	c.unread.add(q.Waited.Seconds(), 0)
	c.all[q.ID] = r
	c.reuse(q.Caller)
	c.mem += q.Memory
	c.dues.set(q.ID, r.due-dueQuanta*c.cfg.Quantum)
	if q.Repeat != 0 { // guards against effects that happen twice
		r.state = replaying
		r.ran = true // a try of it may have run: it is never refused
		c.w.Replay(r.ID)
		return
	}
	if q.Tenant >= 0 && q.Tenant < len(c.tenants) {
		t := &c.tenants[q.Tenant]
		t.count++
		k, user := math.Modf(r.Rank * c.bands)
		r.Rank = (k + user*(1-t.over)) / c.bands
	}
	b := min(int(r.Rank*bins), bins-1)
	c.count[b]++
	// Guards against a fleet, most of it cold, that reads each request several times and holds none.
	paid := c.readUse > dearRead && c.over <= 1 && c.backlog() < queuePart*c.shortest.Seconds()
	c.hold.add(r)
	switch {
	case c.leaving && c.now > c.notice+c.cfg.DrainGrace-c.cfg.Quantum:
		// By when it is read: its last byte may have come long after it is said to have.
		c.refuse(r)
	case b < c.cursor && !c.spare() && !paid:
		c.wasQueued(r)
		c.refuse(r)
	case c.now+c.ahead(r)+c.serve(r) > r.aim:
		// Guards against work for nobody. The wait it was spared counts as queuing: it is the cursor
		// that has to shed, by rank, and not this exception.
		c.queued += c.ahead(r).Seconds()
		c.wasQueued(r)
		c.refuse(r)
	case r.class.Effect == Keyed:
		c.keep(r)
	}
}

// reuse weighs the idle times for connections by what each would have cost for this arrival: the time a
// connection stood idle until its caller came again, or the whole idle time and a new connection. Guards
// against a table full of connections that nobody will use again, where newcomers find no room: many
// callers, each seldom here. Callers that come again soon keep theirs. Harm: new connections where a large
// table has room for all; these are few, as callers that come seldom would have closed by themselves.
func (c *Controller) reuse(caller uint32) {
	gap, known := c.seen.gap(caller, c.now)
	for i := range c.idleCost {
		t := c.cfg.IdleMax >> i
		cost := gap
		if !known || gap > t { // no connection here is older than the worker
			cost = min(t, c.now-c.born) + time.Duration(idlePart*float64(c.cfg.IdleMax))
		}
		c.idleCost[i].add(cost.Seconds(), idleLearn)
	}
}

// closeIdle moves towards the idle time that costs least; back while those kept for all their time would be
// few (they are as many as are used a second, times how long each is kept), and in a storm: a table that
// stays full turns newcomers away at no cost, where each would take a new connection and a reading.
func (c *Controller) closeIdle(read float64) {
	best, was := 0, c.idle
	few := read*c.idleCost[0].v < connRoom*c.cfg.Crowd*float64(c.cfg.Cores)
	for i, x := range c.idleCost {
		if !few && x.v < c.idleCost[best].v*idleSave {
			best = i
		}
	}
	t := time.Duration(float64(was) * math.Exp(idlePace*(c.entry.v-dearEntry)))
	c.idle = min(max(t, c.cfg.IdleMax>>best), c.cfg.IdleMax)
	c.entry = mean{}
	if c.idle != was {
		c.w.CloseIdle(c.idle)
	}
}

// spare tells whether a core stands idle and nothing waits for it: then a request under the cursor, which
// is read already, is run all the same. Guards against idling while the cursor comes down in steps.
func (c *Controller) spare() bool {
	return c.onCores+len(c.hold.list) <= c.cfg.Cores && c.over <= 1
}

// keep remembers the key of a request from its reading on; without room it is refused before it runs.
func (c *Controller) keep(r *request) {
	if c.cfg.Memory > 0 && c.mem+c.cfg.KeyMemory > c.cfg.Memory*memoryPart {
		c.refuse(r)
		return
	}
	term := r.class.Window + 4*c.cfg.Quantum
	r.key = true
	c.mem += c.cfg.KeyMemory
	c.keys.set(r.ID, c.now+term)
	c.w.Keep(r.ID, term)
}

// work estimates the core seconds of r, by its hint where there is one; 0 = not known yet.
func (c *Controller) work(r *request) float64 {
	switch k := r.class; {
	case k.work.n < enough:
		return 0
	case r.Work > 0:
		return wide * k.work.v * k.hinted.over(r.Work.Seconds())
	default:
		return min(wide*k.work.v, servePart*k.Aim.Seconds())
	}
}

// serve estimates how long r takes once started.
func (c *Controller) serve(r *request) time.Duration {
	k := r.class
	s := c.work(r) * max(1, float64(c.onCores)/float64(c.cfg.Cores))
	if r.Work > 0 {
		s *= hintRisk * c.least / max(k.Worth, c.least)
	}
	if c.spare() {
		// An idle core finds out: else one bad spell would have it refuse all, and never learn better.
		s = min(s, servePart*k.Aim.Seconds())
	}
	if k.Calls && k.SkipWorth <= 0 && k.callRTT > 0 {
		n := 1.0
		if k.calls.n >= enough {
			n = k.calls.v
		}
		// Those at a call, those on the way to one before it and this one share the bound.
		line := float64(c.below.len()+c.stood.place(r)+1) + float64(c.toCall)/2
		s += c.callTime(k) * max(n, n-1+line/c.callCap)
	}
	return time.Duration(s * float64(time.Second))
}

// callTime is what a call of a class takes now, as the layer below takes the worthier first: little more than
// the median, no less than the oldest in hand has taken, as a slow call tells of itself only once it ends.
// Guards against a few that are slow, or whose reply is lost: one that a later call overtook says nothing of
// the others, see CallDone. A slow reading fades, so that calls go on and find out.
func (c *Controller) callTime(k *class) float64 {
	f := math.Exp(-float64(c.now-k.callAt) / float64(callForget))
	t := k.callMin + (min(k.callRTT, callTail*k.callMed)-k.callMin)*f
	if k.below.len() > 1 {
		in := c.now - k.below.first().at
		t = max(t, min(in, 2*callForget-in).Seconds())
	} else if c.below.len() > 0 && c.callCap < 2 { // there is never another
		t = max(t, (c.now - c.below.first().at).Seconds())
	}
	return t
}

// ahead estimates how long r waits before it can start.
func (c *Controller) ahead(r *request) time.Duration {
	work := 0.0
	for _, o := range c.hold.list[:c.hold.place(r)] {
		work += c.work(o)
	}
	if c.onCores >= int(c.limit) {
		work += c.work(r) / 2
	}
	return time.Duration(work / float64(c.cfg.Cores) * float64(time.Second))
}

// backlog is how long all that is held would keep the cores.
func (c *Controller) backlog() float64 {
	work := 0.0
	for _, r := range c.hold.list {
		work += c.work(r)
	}
	return work / float64(c.cfg.Cores)
}

func (c *Controller) wasQueued(r *request) {
	c.queued += (c.now - r.arrived).Seconds()
	c.left++
}

// refuse turns away a held request that never ran.
func (c *Controller) refuse(r *request) {
	// A try elsewhere is a reading elsewhere: not for a request that is lost, nor while all are busy.
	dear := float64(c.cursor) > fullAt*bins && c.readUse > dearRead
	away, last := time.Duration(0), c.now >= r.aim || dear && !c.leaving && !c.stalled() && !c.ailing()
	switch {
	case c.shut(), c.drowned:
		away = c.cfg.MaxAdvice
	case c.over > adviseAt:
		// Guards against callers that all stay away for longer than what is held keeps the cores busy.
		away = min(c.cfg.MaxAdvice, time.Duration(adviseFor*c.held*float64(time.Second)))
	}
	c.w.Refuse(r.ID, away, last)
	c.end(r)
}

// end takes a concluded request off the books, and drops its key if it never ran.
func (c *Controller) end(r *request) {
	if r.key && !r.ran {
		c.mem -= c.cfg.KeyMemory
		c.keys.drop(r.ID)
		c.w.Forget(r.ID)
	}
	c.to(r, held)
	c.hold.drop(r)
	c.dues.drop(r.ID)
	c.mem -= r.Memory
	delete(c.all, r.ID)
}

// to moves r to another state, keeping the counts.
func (c *Controller) to(r *request, s state) {
	switch r.state {
	case running:
		c.moved = c.now
		c.onCores--
		if r.class.Calls {
			c.toCall--
		}
		r.used += c.core - r.mark
	case blocked:
		c.stood.drop(r)
	case calling:
		c.below.drop(r.ID)
		r.class.below.drop(r.ID)
		r.class.passed.drop(r.ID)
	}
	if (r.state == held || r.state == replaying) != (s == held || s == replaying) {
		d := r.Memory * (c.cfg.RunFactor - 1)
		if s == held {
			d = -d
		}
		c.mem += d
	}
	r.state = s
	switch s {
	case running:
		if c.onCores < c.cfg.Cores {
			c.moved = c.now
		}
		c.onCores++
		if r.class.Calls {
			c.toCall++
		}
		r.mark = c.core
	case blocked:
		c.stood.add(r)
	case calling:
		c.below.set(r.ID, c.now)
		r.class.below.set(r.ID, c.now)
	}
}

// step moves the clocks to now.
func (c *Controller) step(now time.Duration) {
	d := (now - c.now).Seconds()
	c.now = now
	c.core += d * min(1, float64(c.cfg.Cores)/max(1, float64(c.onCores)))
	c.lapsed.expire(now)
	c.callDebt = max(0, c.callDebt+d*(float64(c.below.len()+c.lapsed.len())-callMean*c.callCap))
	c.mem -= c.cfg.KeyMemory * float64(c.keys.expire(now))
}

// Done tells that a run or a replay ended, and how long after it began.
func (c *Controller) Done(now time.Duration, id uint32, took time.Duration, how Outcome) {
	c.step(now)
	r := c.all[id]
	if r == nil {
		return
	}
	if how == Stopped && !r.answered && r.state != replaying {
		if c.cfg.Stopping == StopHolds {
			c.to(r, paused)
			return
		}
		c.to(r, held)
		r.used = 0
		c.hold.add(r)
		return
	}
	if how == Moot {
		r.ran = false // nothing began: its key is free
	}
	if how == OK && r.state == running {
		c.to(r, held)
		used := min(r.used, r.class.Aim.Seconds())
		r.class.work.add(used, learn)
		if u := &r.class.usual; u.n >= enough {
			c.slowed.add(used/max(u.v, 1e-6), learn)
		}
		r.class.usual.add(used, usualLearn)
		r.class.hinted.add(r.Work.Seconds(), used)
		if r.class.Calls {
			r.class.calls.add(float64(r.calls), learn)
		}
	}
	c.end(r)
}

// Gone tells that nobody waits for a request any longer.
func (c *Controller) Gone(now time.Duration, id uint32) {
	c.step(now)
	if r := c.all[id]; r != nil && !r.answered {
		c.settle(r)
	}
}

// settle books a request that is answered or whose caller has gone: what has not begun is over, what
// runs is stopped where it can be and nothing is lost by it.
func (c *Controller) settle(r *request) {
	r.answered = true
	c.dues.drop(r.ID)
	switch r.state {
	case held, paused, replaying:
		c.end(r)
	case running:
		if c.cfg.Stopping != StopNever && r.class.Effect == Safe {
			c.w.Stop(r.ID)
		}
	}
}

// AtCall tells that a running request waits for a call below.
func (c *Controller) AtCall(now time.Duration, id uint32) {
	c.step(now)
	if r := c.all[id]; r != nil && r.state == running {
		c.to(r, blocked)
	}
}

// CallDone tells how a call ended, and how long after it was made.
func (c *Controller) CallDone(now time.Duration, id uint32, took time.Duration, how Outcome) {
	c.step(now)
	r := c.all[id]
	if r == nil || r.state != calling {
		return
	}
	c.heard(r.class, took.Seconds(), how)
	switch how {
	case OK:
		for b := r.class.below; b.len() > 0 && b.first().at < now-took; {
			o := b.first() // overtaken
			b.drop(o.id)
			r.class.passed.set(o.id, o.at)
		}
		r.calls++
		r.tries = 0
		c.to(r, running)
		return
	case TimedOut, Broken, Errored:
		r.unsure = true
		c.lapsed.set(id, now+c.cfg.CallLingers)
	case Rejected, Unreachable:
		// Guards against calls that keep a layer below busy turning them away.
		wait := callPause * r.class.callRTT * float64(uint(1)<<min(r.tries-1, 4))
		r.pause = now + max(minPause, time.Duration(wait*float64(time.Second)))
	}
	c.to(r, blocked)
}

// heard learns from a call that ended. The bound falls while calls take longer than they did at their
// quickest, down to what a dependency is never crowded by, and rises again otherwise.
func (c *Controller) heard(k *class, t float64, how Outcome) {
	w := max(callLearn, 1-math.Exp(-float64(c.now-k.callAt)/float64(callForget)))
	if how == OK || how == TimedOut && t > k.callRTT {
		if k.callRTT == 0 {
			k.callRTT, k.callMin = t, t
		}
		if k.callSeen++; k.callSeen == 1 {
			k.callMed = t
		}
		if k.callMed *= callStep; t < k.callMed/callStep {
			k.callMed /= callStep * callStep
		}
		k.callRTT += (t - k.callRTT) * w
		k.callAt = c.now
		k.callMin = min(k.callMin*(1+callRelearn), k.callRTT)
	}
	top := c.cfg.CallShare * callPart
	switch {
	case how != OK:
		c.callCap *= callCut
	case k.callRTT > callSlow*k.callMin:
		c.callCap *= 1 - callEase*w
	default:
		c.callCap += top * callEase * w
	}
	c.callCap = min(top, max(c.cfg.CallShare*callLeast, c.callCap))
}

// Leave tells that the worker has just been told to leave, and is stopped after in.
func (c *Controller) Leave(now time.Duration, in time.Duration) { c.LeaveSince(now, now, in) }

// LeaveSince is Leave for a controller that begins after the notice: the grace counts from the notice.
func (c *Controller) LeaveSince(now, notice, in time.Duration) {
	c.step(now)
	c.leaving, c.notice, c.stop = true, notice, now+in
}

// Tick brings the gauges, after a Wake.
func (c *Controller) Tick(now time.Duration, g Gauges) {
	c.step(now)
	c.wakes = 0
	if now-c.ticked < tick/2 {
		return
	}
	c.ticked = now
	if use := min(1, g.CoreUse); use >= 0 { // a reading that is none tells nothing
		c.use.add(use, 0)
		if n := g.OnCores; n >= 0 && !math.IsInf(n, 1) {
			c.entry.add(use*max(0, n-float64(c.onCores))/max(1, n), 0)
		}
	}
	// The share of the last half second lags: only cores that stand idle now make room for more.
	c.limit /= grow
	if g.OnCores < float64(c.cfg.Cores) && len(c.hold.list) > 0 {
		c.limit = c.limit*grow*grow + 1
	}
	c.limit = min(max(c.limit, float64(c.cfg.Cores)), c.crowd())
}

// crowd is the most requests in progress: a part of what the worker survives, taken as cold for as long as
// it may be. Requests that wait for a call count, for they come back to the cores by themselves.
func (c *Controller) crowd() float64 {
	speed := 1.0
	if c.cfg.Cold && c.cfg.ColdFor > 0 {
		speed = min(1, c.cfg.ColdFrom+(1-c.cfg.ColdFrom)*float64(c.now-c.born)/float64(c.cfg.ColdFor))
	}
	n := float64(c.cfg.Cores)
	return max(n, crowdPart*n*(1+(c.cfg.Crowd-1)*speed))
}

// Decide acts on the events since the last one.
func (c *Controller) Decide(now time.Duration) {
	c.step(now)
	c.answerDue()
	c.makeCalls()
	c.dropLate()
	c.start()
	c.fit()
	c.window()
	c.signal()
	c.wake()
}

// answerDue answers all that comes due before another batch is sure, and before the stop all that is open.
// Guards against lost requests.
func (c *Controller) answerDue() {
	last := c.leaving && c.now >= c.lastCall()
	for c.dues.len() > 0 && (last || c.dues.first().at <= c.now) {
		c.answer(c.all[c.dues.first().id])
	}
}

// answer gives the final answer that is left for r.
func (c *Controller) answer(r *request) {
	if r.state == held && !r.ran {
		c.refuse(r)
		return
	}
	c.w.Fail(r.ID)
	c.settle(r)
}

// lastCall is when all is answered that is still open before the stop.
func (c *Controller) lastCall() time.Duration { return c.stop - stopMargin - dueQuanta*c.cfg.Quantum }

// makeCalls makes the calls that wait, the worthiest first, within the bound; it goes on without a call
// that would come too late, where that still pays.
func (c *Controller) makeCalls() {
	for i := 0; i < len(c.stood.list); {
		r := c.stood.list[i]
		rest := time.Duration(0.5 * r.class.work.v * float64(time.Second))
		wait := c.callTime(r.class) * (1 + float64(i)/c.callCap)
		late := c.now+time.Duration(wait*float64(time.Second))+rest > r.aim
		switch {
		case r.answered:
			i++
		case r.class.SkipWorth > 0 && (late || r.unsure && (r.class.Effect != Safe || r.tries > 1)):
			c.w.Skip(r.ID)
			c.to(r, running)
		case r.unsure && r.class.Effect != Safe, r.class.LateWorth <= 0 && c.hopeless(r, rest):
			c.w.Fail(r.ID)
			c.settle(r)
			i++
		case r.pause > c.now:
			i++
		case c.mayCall():
			patience := r.due - dueQuanta*c.cfg.Quantum - c.now
			if r.class.Effect == Safe && r.class.LateWorth <= 0 {
				patience = min(patience, r.aim-c.now)
				// Guards against a reply that never comes: given up in time, the call can be made again.
				next := time.Duration(r.class.callRTT*float64(time.Second)) + rest
				if most := c.giveUp(r); c.now+most+next < r.aim {
					patience = min(patience, most)
				}
			}
			if part := c.cfg.CallShare * callPart; part < 1 && c.cfg.CallWindow > 0 { // see mayCall
				patience = min(patience, time.Duration(part*float64(c.cfg.CallWindow)))
			}
			r.tries++
			c.w.Call(r.ID, max(patience, time.Millisecond))
			c.to(r, calling)
		default:
			i++
		}
	}
}

// hopeless tells that a call of r would not come back in time. Guards what is below against work for nobody.
func (c *Controller) hopeless(r *request, rest time.Duration) bool {
	took := time.Duration(vainPart * c.callTime(r.class) * float64(time.Second))
	return c.now >= r.aim || c.now+took+rest > r.aim
}

// giveUp is after how long a call is rather lost, or met a slow machine, than slow as all are; later with
// each try. Harm: where calls differ that much by themselves, some are made twice.
func (c *Controller) giveUp(r *request) time.Duration {
	if r.class.callSeen < enough {
		return r.class.Aim
	}
	return r.class.lostAfter() << min(r.tries, 4)
}

func (k *class) lostAfter() time.Duration {
	return max(minGiveUp, time.Duration(callGiveUp*k.callMed*float64(time.Second)))
}

// mayCall bounds the calls in hand, those abandoned too. Guards the shared dependency. One overtaken long ago
// has a place in the whole share alone: guards against replies that never come and take all places. A bound
// under one is kept in the mean: the last call is made up for first, none outlasts its part of the window.
func (c *Controller) mayCall() bool {
	n, lost := float64(c.below.len()+c.lapsed.len()), 0.0
	for i := range c.classes {
		lost += float64(c.classes[i].passed.before(c.now - callLost*c.classes[i].lostAfter()))
	}
	return n-lost+1 <= c.callCap && n+1 <= c.cfg.CallShare || n == 0 && c.callDebt <= 0
}

// dropLate turns away held work that can no longer meet its worth, while its caller may go elsewhere.
func (c *Controller) dropLate() {
	for i := 0; i < len(c.hold.list); {
		r := c.hold.list[i]
		end := c.now + c.serve(r)
		if r.ran || end <= r.aim && (!c.leaving || end < c.stop-stopMargin) {
			i++
			continue
		}
		c.wasQueued(r)
		c.refuse(r)
	}
}

// start runs held requests while the cores, the crowd, the memory and the calls below leave room.
func (c *Controller) start() {
	for i := 0; i < len(c.hold.list); {
		if c.onCores >= int(c.limit) || float64(c.onCores+len(c.stood.list)+c.below.len()) >= c.crowd() {
			return
		}
		r := c.hold.list[i]
		more := r.Memory * (c.cfg.RunFactor - 1)
		switch {
		case c.cfg.Memory > 0 && c.mem+more > c.cfg.Memory*memoryPart:
			return
		case r.class.Calls && r.class.SkipWorth <= 0 && float64(c.stood.place(r)) > c.callCap+1,
			r.ran && r.class.Effect != Safe:
			i++
			continue
		}
		c.wasQueued(r)
		c.hold.drop(r)
		r.ran = true
		c.to(r, running)
		c.w.Run(r.ID)
	}
}

// fit sheds the lowest-ranked held requests until the memory suffices, also for a burst in one batch.
func (c *Controller) fit() {
	for c.cfg.Memory > 0 && c.mem > c.cfg.Memory*0.99 {
		var low *request
		for _, r := range c.hold.list {
			if !r.ran && (low == nil || r.Rank < low.Rank) {
				low = r
			}
		}
		if low == nil {
			return
		}
		c.refuse(low)
	}
}

// window closes the window when it is over and moves the cursor: DAGOR's Algorithm 1.
func (c *Controller) window() {
	if c.cfg.Cold && math.IsInf(c.reading, 1) {
		c.opened, c.use = c.now, mean{} // callers do not know it yet: idle cores must not open it
	}
	span, aim := c.now-c.opened, c.shortest
	if span < time.Duration(windowPart*float64(aim)) || c.unread.n == 0 && c.use.n > 0 && c.use.v >= idleUse {
		return // what was read in it tells of a window on busy cores
	}
	if n := len(c.stood.list); n > int(c.callCap) {
		c.w.Log(fmt.Sprintf("calls wait: %d, in hand %d, bound %.1f", n, c.below.len(), c.callCap))
	}
	sum, n := c.queued, c.left
	for _, r := range c.hold.list {
		sum += (c.now - r.arrived).Seconds()
		n++
	}
	over := max(0, sum/max(1, n)-c.reading) / (queuePart * aim.Seconds())
	use := c.use.v
	if c.use.n == 0 {
		use = 1
	}
	if use < idleUse {
		over = 0 // cores to spare: what took long is reading itself, on a slow machine, not queuing
	}
	late := c.unread.v / aim.Seconds()
	c.use, c.unread = mean{}, mean{}
	seen := 1 - math.Exp(-float64(span)/float64(memory))
	hidden := 1 - math.Exp(-float64(span)/float64(hiddenFor))
	admitted, read, usual := 0.0, 0.0, 0.0
	for b := range c.rate {
		x := c.count[b] / span.Seconds()
		read += x
		w := seen
		if b < c.cursor && x < c.rate[b] {
			w = hidden // callers who heed the level do not show here
		}
		c.rate[b] += w * (x - c.rate[b])
		c.count[b] = 0
		usual += c.rate[b]
		if b >= c.cursor {
			admitted += c.rate[b]
		}
	}
	c.drowned = late >= 1
	c.readUse = read * min(c.reading, aim.Seconds()) / float64(c.cfg.Cores)
	// One request a window is the least that A is taken for: from nothing the cursor would never return.
	admitted = max(admitted, 1/span.Seconds())
	c.weighTenants(span.Seconds(), seen)
	c.opened, c.queued, c.left = c.now, 0, 0
	c.closeIdle(usual / (1 - math.Exp(-float64(c.now-c.born)/float64(memory))))
	c.over, c.held = over, c.backlog()
	want := admitted
	if over > 1 {
		c.credit = 0
		want *= 1 - max(min(alphaMax, alpha*over), min(unreadCut, unreadCut*late*late))
	} else {
		// What a window may add and no bin was small enough for is kept: else a hot user's bin, which
		// holds more than beta of all, would stop the cursor for good.
		// Guards against refusals that outlast a jump of traffic: what is added too much can wait.
		calm := max(0, 1-2*max(over, c.held/(queuePart*aim.Seconds())))
		c.credit += min(betaMax, beta+betaCalm*calm+betaIdle*max(0, wantUse/max(use, 0.1)-1))
		want *= 1 + c.credit
	}
	for b := range c.cursor { // callers who heed it have hidden these from the start: taken to be as full
		if c.cfg.Cold && c.now-c.born < c.cfg.ColdFor {
			c.rate[b] = max(c.rate[b], admitted/float64(bins-c.cursor))
		}
	}
	k, sum := bins, 0.0
	for k > 0 && sum+c.rate[k-1] <= want {
		k--
		sum += c.rate[k]
	}
	if over <= 1 {
		k = min(k, c.cursor) // a calm window never tightens
	}
	k = min(k, bins-1)
	if k != c.cursor {
		c.credit = 0
	}
	c.cursor = k
}

// weighTenants tells what part of a tenant's requests is over its quota, and over it as scaled to what others
// ask for (tries again make all look over). Guards against one that takes their place. Harm: samples err.
func (c *Controller) weighTenants(span, seen float64) {
	for i := range c.tenants {
		t, q := &c.tenants[i], c.cfg.Tenants[i].Quota
		more := seen * (t.count/span - t.rate)
		t.rate, t.count, c.asked = t.rate+more, 0, c.asked+more
		t.over = 0
		if others := c.asked - t.rate; q > 0 && c.quotas > q && others > 0 {
			fair := max(tenantRoom*others/(c.quotas-q), 1/float64(max(1, c.cfg.Servers))) * q
			t.over = max(0, 1-fair/max(t.rate, 1e-9))
		}
	}
}

// signal says the level and the health, on change.
func (c *Controller) signal() {
	away := c.shut() || c.stalled()
	x := float64(c.cursor) / bins
	if away {
		x = 1
	}
	switch c.cfg.Advert {
	case AdvertNone:
		x = c.said
	case AdvertWeight:
		x = 1 - x
	case AdvertCredit:
		// Many callers share few: as long as anything is taken, one of them at least may send.
		x = max(creditOf*float64(c.cfg.Cores)*(1-x), min(1, bins*(1-x))) / float64(max(1, c.cfg.Callers))
	}
	if x != c.said {
		c.said = x
		c.w.SetLevel(x)
	}
	if away == c.healthy {
		c.healthy = !away
		c.w.SetHealth(c.healthy, true)
	}
}

// shut tells that a worker that leaves takes nothing more, or will not once callers have heard. Guards
// against a fleet that goes without it while its successor is cold, or not known to callers yet: until then
// what comes may still run, and its answer is out before the stop.
func (c *Controller) shut() bool {
	return c.leaving && (c.now >= c.notice+c.cfg.DrainGrace-leaveLead || c.now >= c.stop-c.shortest)
}

// stalled tells that nothing the worker does reaches anyone in time: the cores are taken and nothing has
// come off them for a whole aim, or all that it reads has waited unread for longer. Guards against work
// that hangs, a lock that all runs wait for, a machine so slow that it only reads what is past: the worker
// then invites nothing, and lets what it turns away go elsewhere. The first run to come off, or the first
// request read in time, ends it. Harm: where all workers drown at once, callers find none that is healthy.
func (c *Controller) stalled() bool {
	return c.drowned || c.onCores >= c.cfg.Cores && c.now-c.moved > c.shortest
}

// ailing tells that this worker is slower than it was, or cold: the others, which it cannot see, are likely
// better off, so that a try elsewhere pays, while in an overload of all it would be one more reading. Guards
// against lost requests that others had room for. Harm: tries elsewhere where all are slow at once.
func (c *Controller) ailing() bool {
	return c.slowed.n >= enough && c.slowed.v > ailAt || c.cfg.Cold && c.now-c.born < c.cfg.ColdFor
}

// wake asks for the next Tick: for the gauges, or sooner for what comes due.
func (c *Controller) wake() {
	at := c.now + tick
	if c.dues.len() > 0 {
		at = min(at, c.dues.first().at)
	}
	for _, r := range c.stood.list {
		if r.pause > c.now {
			at = min(at, r.pause)
		}
	}
	if c.leaving { // the last moment for answers, whatever else happens
		at = min(at, c.lastCall())
	}
	at = max(at, c.now+time.Millisecond)
	if c.wakes > c.now && c.wakes <= at {
		return
	}
	c.wakes = at
	c.w.Wake(at - c.now)
}
