package core

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"larchscale/control"
)

// Limits and times of the mechanism; what is decided by load is in the controller.
const (
	maxEvents  = 1024                   // events on their way to the loop: readers wait beyond
	maxTurn    = 256                    // events of one turn
	maxIdle    = 64                     // refusals and withdraws in a row on one connection: see strange
	newcomer   = 300 * time.Millisecond // a connection that has said nothing for longer makes room for others
	reportEach = 600 * time.Millisecond // the directory forgets after 3 s, and a report may be missing
	pollEach   = 50 * time.Millisecond  // between two questions for the gauges
	stopEarly  = 200 * time.Millisecond // before the kill by which the controller answers all
	shutEarly  = 300 * time.Millisecond // before the end of the grace all are asked to send nothing more
	endEarly   = 190 * time.Millisecond // before the kill at which nothing more is let in, and connections are ended
	endLook    = 10 * time.Millisecond  // between two looks whether all of them have ended
	quitEarly  = 150 * time.Millisecond // before the kill at which the loop ends: what has come by then is read after it
	quitAfter  = 500 * time.Millisecond // beyond the grace: with nothing left, the program ends sooner
	callMargin = 100 * time.Millisecond // the layer below is given its patience and this
	lostBefore = 100 * time.Millisecond // a link that ends may take commands of its last 50 ms with it
)

// Core owns the controller and the state of all requests. All fields belong to the goroutine of Run.
type Core struct {
	site   Site
	runner Runner
	caller Caller
	lister Lister
	store  Store    // nil = keys are this server's alone
	books  Booker   // nil = no ledger
	trials Judge    // nil = nobody asks
	doors  Listener // nil = none
	log    *slog.Logger
	events chan Event
	ended  chan struct{} // closed when the loop is over
	gate   sync.RWMutex  // held by those that send; see stopTaking

	start    time.Time
	now      time.Duration // since start, of this turn
	ctl      *control.Controller
	poolAt   time.Duration // when the worker pool started
	heard    time.Duration // its last link, call or end of a run came: it had started by then
	warmAt   time.Duration // when it is warm at the latest
	acts     []act         // what the controller asked for in this turn
	again    []func()      // what this turn's actions have to tell the controller
	late     deadlines
	calls    uint64 // made so far: each has its number
	wake     deadline
	report   deadline
	polled   time.Duration
	polls    uint64
	linked   bool   // commands reach the worker pool
	resync   string // ticket of the question that follows a new link
	lastID   uint32
	byID     map[uint32]*request
	byHandle map[string]*request
	sessions map[Session]*session
	table    table
	// until then the newest of its keys may be asked for again
	keyedUntil time.Duration
	recent     recent // handles of late

	unwritten []*request // results that wait for their entries, by ticket
	overdueAt deadline   // the first of them waits no longer
	bookedNow bool       // in this turn

	figs figures
	deep deep

	level     float64
	up        bool
	idleAfter time.Duration
	leaving   bool
	handing   bool // the leaving is a handoff to a newer process
	held      bool // an operator drains it
	notice    time.Duration
	shut      bool // it leaves, and its grace is nearly over
	ending    bool // connections are ended, and what still comes is refused
	shutDoors bool // nothing more is let in
	endCheck  deadline
	over      bool
}

type session struct {
	Session
	open   int
	heard  uint64        // events that were taken of it
	once   bool          // it carries one request
	asked  bool          // something came on it
	served bool          // a request on it was
	idled  int           // requests in a row that came to nothing
	since  time.Duration // nothing has been open on it
	idle   deadline
	told   bool // it was told to drain
	ends   bool // its end was asked for, and it has not been heard of since
}

type state uint8

const (
	claiming state = iota // waits for the shared store, unknown to the controller
	held
	running
	blocked
	calling
	replaying
	ending // its run is over, and whether that is safe in the shared store is not known; the controller is done with it
	ended
)

// request is one try. It moves to answered once, in book.go.
type request struct {
	Incoming
	id         uint32
	arrived    time.Duration
	due        time.Duration
	session    *session
	reply      Reply
	state      state
	ran        bool
	answered   bool
	adopted    bool   // of a server that is lost: nobody waits for its answer
	entry      *entry // the key it owns or repeats
	patience   deadline
	began      time.Duration // of the call in hand
	callNumber uint64        // of the call in hand, or the last
	callBody   []byte
	callNotice uint64        // that asked for it
	resend     func()        // repeats its last command on a new link to the worker pool
	sent       time.Duration // when that was given
	spawns     int           // commands to run it that were sent
	doubtful   bool          // that may not have come
	begins     bool          // that asks for its run
	stopping   bool          // it was told to stop, and no end has come
	use        use
}

// New makes a core; its loop starts with Run.
func New(site Site, log *slog.Logger) *Core {
	c := &Core{site: site, log: log, events: make(chan Event, maxEvents), ended: make(chan struct{}), start: time.Now(), up: true, level: -1,
		byID: map[uint32]*request{}, byHandle: map[string]*request{}, sessions: map[Session]*session{},
		idleAfter: site.Control.IdleMax, polled: -time.Hour}
	c.table.entries = map[Key]*entry{}
	c.wake.do = c.woken
	c.report.do = c.reported
	c.endCheck.do = func() {} // the turn that it makes looks again
	c.overdueAt.do = c.sweepOverdue
	c.deep.proved = -1
	c.deep.expiry.do = func() { c.judge(false) }
	c.figs.publish.do = c.published
	c.figs.init(len(site.Classes))
	return c
}

// Attach names the other parties; store may be nil. It is called before Run.
func (c *Core) Attach(r Runner, below Caller, l Lister, s Store) {
	c.runner, c.caller, c.lister, c.store = r, below, l, s
}

// Start is when the core was made; its times count from there.
func (c *Core) Start() time.Time { return c.start }

// Tell names who hears what calls below were worth. It is called before Run.
func (c *Core) Tell(j Judge) { c.trials = j }

// Keep names the ledger. It is called before Run.
func (c *Core) Keep(b Booker) { c.books = b }

// Listen names what lets connections in. It is called before Run.
func (c *Core) Listen(l Listener) { c.doors = l }

// Send hands an event to the loop; it waits while the loop's queue is full. After the loop a request is refused.
func (c *Core) Send(e Event) {
	if !c.take(e) {
		tooLate(e)
	}
}

// take puts an event into the loop's queue; false = the loop is over.
func (c *Core) take(e Event) bool {
	c.gate.RLock()
	defer c.gate.RUnlock()
	select {
	case <-c.ended:
		return false
	default:
	}
	select {
	case c.events <- e:
		return true
	case <-c.ended:
		return false
	}
}

// stopTaking is the end of the loop: what is in its queue then, and all that comes later, is too late.
func (c *Core) stopTaking() {
	close(c.ended)
	c.gate.Lock() // those that were sending have found out
	defer c.gate.Unlock()
	for len(c.events) > 0 {
		tooLate(<-c.events)
	}
}

// tooLate answers what was read when nobody decides any longer. It never ran.
func tooLate(e Event) {
	switch e := e.(type) {
	case Arrive:
		e.Reply.Answer(Answer{Kind: Refused, Why: "the server has ended", Hint: -1})
	case Check:
		e.Reply.Answer(Answer{Kind: Checked, Hint: -1})
	}
}

// Run is the loop. It returns when all is answered after a Drain, or when ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer c.stopTaking()
	clock := time.NewTimer(0)
	for !c.over {
		select {
		case e := <-c.events:
			c.tell()
			c.feed(e)
		case <-clock.C:
			c.tell()
		case <-ctx.Done():
			return
		}
		for n := 1; n < maxTurn && len(c.events) > 0; n++ {
			c.feed(<-c.events)
		}
		c.turn()
		clock.Reset(c.next())
	}
	c.logDrain("ended")
	c.settle()
}

// logDrain logs a state of the drain, and what is open in it.
func (c *Core) logDrain(state string) {
	if c.leaving {
		c.log.Info("drain", "state", state, "since_ms", (c.now - c.notice).Milliseconds(), "open", len(c.byHandle), "connections", len(c.sessions))
	}
}

// settle answers what waits for a store or a disk when the server ends, and books what is open: runs that nobody
// waits for any longer.
func (c *Core) settle() {
	for _, r := range c.byHandle {
		c.answer(r, c.lastAnswer(r))
	}
	if c.books == nil {
		return
	}
	for _, r := range c.unwritten {
		c.overdue(r)
	}
	for _, r := range c.byHandle {
		if r.ran && r.state != ending {
			r.runEnded(c.now, c.now-r.use.since)
		}
		c.endsAs(r, Failed)
		c.enterUse(r)
	}
	c.books.Flush()
}

// lastAnswer is what a request is told that has none when the server ends. Only one that can have run nowhere is refused.
func (c *Core) lastAnswer(r *request) Answer {
	switch {
	case r.state == ending, r.state == claiming:
		return Answer{Kind: Failed, Why: "the shared store did not tell in time"}
	case r.ran, r.entry != nil && c.store != nil, r.entry != nil && r.entry.owner != r:
		return Answer{Kind: Failed, Why: "the server has ended"}
	}
	return Answer{Kind: Refused, Why: "the server has ended"}
}

// tell reads the clock, once a turn.
func (c *Core) tell() { c.now = time.Since(c.start) }

func (c *Core) next() time.Duration {
	if len(c.late.list) == 0 {
		return time.Second
	}
	return max(0, c.late.list[0].at-time.Since(c.start))
}

// turn sweeps the deadlines, lets the controller decide once and carries out what it says. What an action
// has to tell the controller at once (a repeat served from the table) makes a further round.
func (c *Core) turn() {
	c.late.sweep(c.now)
	for {
		if c.ctl != nil {
			c.ctl.Decide(c.now)
		}
		acts := c.acts
		c.acts = nil
		for _, a := range acts {
			c.carry(a)
		}
		c.acts = append(acts[:0], c.acts...)
		if len(c.again) == 0 && len(c.acts) == 0 {
			break
		}
		again := c.again
		c.again = nil
		for _, f := range again {
			f()
		}
	}
	if c.bookedNow {
		c.bookedNow = false
		c.books.Flush()
	}
	c.checkEnd()
}

func (c *Core) feed(e Event) {
	switch e := e.(type) {
	case Opened:
		c.opened(e)
	case Closed:
		c.closed(e.Session)
	case Arrive:
		c.arrive(e)
	case Withdraw:
		c.withdraw(e.Session, e.Handle)
	case Check:
		c.check(e)
	case PoolBound:
		c.bound(e)
	case PoolLost:
		c.unlinked()
	case PoolUnknown:
		c.unknown(e)
	case PoolFinished:
		c.finished(e)
	case PoolBlocked:
		c.blocked(e)
	case PoolVerified:
		c.verified(e)
	case PoolPolled:
		c.gauges(e)
	case CallEnded:
		c.callEnded(e)
	case Claimed:
		c.claimed(e)
	case Finished:
		c.stored(e)
	case Adopt:
		c.adopt(e.Piece)
	case Disown:
		c.disown(e)
	case Booked:
		c.booked(e.Through)
	case Drain:
		c.drain()
	case Handoff:
		c.handoff(e.Kill)
	case Hold:
		c.held = e.On
		c.reported()
	case Configured:
		c.configured(e.Revision)
	}
}

// woken is the wake-up that the controller asked for: it brings the gauges.
func (c *Core) woken() {
	if c.now-c.polled < pollEach {
		return
	}
	c.polled = c.now
	c.polls++
	c.runner.Poll(strconv.FormatUint(c.polls, 10))
}

func (c *Core) gauges(e PoolPolled) {
	if c.ctl == nil {
		return
	}
	if e.Ticket == c.resync {
		c.resume()
	}
	g := gaugesOf(c.site.Gauges, e.Figures)
	c.figs.counts.Use = -1
	if g.CoreUse >= 0 {
		c.figs.counts.Use = g.CoreUse
	}
	c.ctl.Tick(c.now, g)
}

// reported tells the directory where this server stands, over and over. Before the first link to the worker pool it
// says nothing: what it could say is of an entry that an older process may hold. Nor does it once it hands off: the
// entry is its successor's.
func (c *Core) reported() {
	switch {
	case c.handing:
		c.lister.Silence()
	case c.ctl != nil:
		c.lister.Report(c.up && !c.held && !c.leaving)
	}
	c.late.set(&c.report, c.now+reportEach)
}

// drain is the notice to leave.
func (c *Core) drain() {
	if c.leaving {
		return
	}
	c.leaving, c.notice = true, c.now
	c.changed()
	c.log.Info("draining", "open", len(c.byHandle), "stop_ms", c.site.Stop.Milliseconds())
	if c.ctl != nil {
		c.ctl.Leave(c.now, max(0, c.site.Stop-stopEarly))
	}
	c.reported()
	grace := c.grace()
	c.late.set(&deadline{do: c.shutDown}, c.now+max(0, grace-shutEarly))
	c.late.set(&deadline{do: func() { c.logDrain("refusing all that comes") }}, c.now+grace)
	c.late.set(&deadline{do: func() {}}, c.now+grace+quitAfter)
	c.late.set(&deadline{do: c.end}, c.now+c.site.Stop-endEarly)
	c.late.set(&deadline{do: func() { c.over = true }}, c.now+c.site.Stop-quitEarly)
}

// handoff leaves the address to a newer process, which reports from now on and takes the connections that the
// balancers make anew.
func (c *Core) handoff(kill time.Duration) {
	if c.leaving {
		return
	}
	c.site.Stop = min(c.site.Stop, kill)
	c.handing = true
	c.drain()
	c.shutDown()
	c.closeDoors()
}

// closeDoors lets nothing more in: who has connected already is served, and later ones find no listener, or another
// process's.
func (c *Core) closeDoors() {
	if c.doors != nil && !c.shutDoors {
		c.shutDoors = true
		c.doors.Shut()
	}
}

// end asks for the end of all connections. What has come on one is answered first, and one that has come to this
// server by now is heard: guards against requests that were read, or wait in a socket, when the process ends.
func (c *Core) end() {
	if c.ending {
		return
	}
	c.ending = true
	c.logDrain("closing connections")
	c.closeDoors()
	for _, x := range c.sessions {
		c.rest(x)
	}
}

// shutDown asks all for nothing more, shortly before what comes would not be run. Guards against a fleet that
// goes without this server before its successor is known: until then it works on.
func (c *Core) shutDown() {
	c.shut = true
	c.logDrain("asking for nothing more")
	for _, s := range c.sessions {
		c.tellDrain(s)
	}
}

// tellDrain asks a connection's other side for nothing more, once.
func (c *Core) tellDrain(x *session) {
	if x.told {
		return
	}
	x.told = true
	x.Drain(max(0, c.notice+c.grace()-c.now))
}

// grace is how long after the notice new requests may still be run: none are once all has to be answered.
func (c *Core) grace() time.Duration {
	return min(c.site.Control.DrainGrace, max(0, c.site.Stop-stopEarly))
}

// checkEnd ends the loop early when the grace is over, all is answered and nobody is connected.
func (c *Core) checkEnd() {
	if !c.leaving || len(c.byHandle) > 0 || len(c.sessions) > 0 || len(c.unwritten) > 0 {
		return
	}
	if !c.ending && c.ctl != nil && !c.handing && c.now < c.notice+c.grace()+quitAfter {
		return
	}
	if c.closeDoors(); !c.handing {
		c.end()
	}
	if c.doors == nil || c.doors.Conns() == 0 {
		c.over = true
		return
	}
	c.late.set(&c.endCheck, c.now+endLook) // those that came last are not heard of yet, or linger
}
