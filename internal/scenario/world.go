package scenario

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/sock"
)

// Site is a small server: quote may be repeated, book is keyed, and both may call below.
func Site() core.Config {
	return core.Config{Classes: []string{"quote", "book"}, Tenants: []string{"north", "south"}, Gauges: []string{"core_use", "on_cores"},
		StopTime: 4 * time.Second, Bounds: core.Bounds{Sessions: 8, Open: 100, OpenBytes: 1 << 20, Table: 1 << 20},
		Control: control.Config{Seed: 1, Cores: 2, Servers: 1, Callers: 1, Advert: control.AdvertLevel,
			Stopping: control.StopRequeues, DownstreamSheds: true, Memory: 100000, RunFactor: 8, KeyMemory: 1, Crowd: 8,
			CrowdFor: time.Second, DrainGrace: 2 * time.Second, Slack: 80 * time.Millisecond, HeardFor: time.Second,
			MaxAdvice: time.Second, IdleMax: 30 * time.Second, Quantum: 5 * time.Millisecond, ReportsCanceled: true,
			Classes: []control.Class{{Aim: 3 * time.Second, Deadline: 8 * time.Second, Worth: 1, Calls: true},
				{Aim: 3 * time.Second, Deadline: 8 * time.Second, Worth: 3, Effect: control.Keyed, Window: 20 * time.Second, Calls: true}}}}
}

// World is everything round a core, as a record of what the core did. Its tests run in a synctest bubble:
// time passes only by Wait.
type World struct {
	t     *testing.T
	Core  *core.Core
	mu    sync.Mutex
	lines []string
	full  bool
	Hides bool        // handles of 16 digits are recorded as "own"
	Waits bool        // the store says of every end that it is to be waited for; set before the first event
	lost  atomic.Bool // the store holds nothing any longer

	closed                atomic.Bool // the directory has been told
	listed                []string    // all that the directory was told
	Done                  chan struct{}
	serve                 time.Duration // a run takes so long; 0 = it ends by the test's own event
	runs                  map[string]int
	count                 map[string]int
	hands                 []string
	sent                  map[string]uint64         // events of each session
	calls                 map[string]uint64         // number of the newest call of each handle
	claimIDs, finishedIDs map[core.Key]core.ClaimID // of each key's newest claim, and of the newest one that was finished
	lives                 map[string]time.Duration  // of the ends that the store was given, by token
}

// NewWorld starts a core with a warm worker pool. With shared, a store is attached, played by Claimed
// events. The core ends with the test.
func NewWorld(t *testing.T, site core.Config, shared bool, with ...func(*World)) *World {
	w := &World{t: t, Core: core.New(site, slog.New(slog.DiscardHandler)), Done: make(chan struct{}), runs: map[string]int{}, count: map[string]int{},
		sent: map[string]uint64{}, calls: map[string]uint64{}, claimIDs: map[core.Key]core.ClaimID{},
		finishedIDs: map[core.Key]core.ClaimID{}, lives: map[string]time.Duration{}}
	var s core.Store
	if shared {
		s = keys{w}
	}
	w.Core.Attach(runner{w}, caller{w}, lister{w}, s)
	for _, f := range with {
		f(w)
	}
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(func() { // a bubble has to be empty when its test returns
		end()
		<-w.Done
	})
	go func() {
		defer close(w.Done)
		w.Core.Run(ctx)
	}()
	w.Core.Send(core.SessionOpened{Session: w.Session("c")})
	w.Core.Send(core.PoolBound{Age: time.Hour})
	return w
}

// Serve makes every run from now on end well after d; runs, calls and their commands are not recorded.
func (w *World) Serve(d time.Duration) { w.serve = d }

// Runs tells how often each body has run.
func (w *World) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.runs)
}

// Count adds one to a test's own count; Counts gives them all.
func (w *World) Count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count[name]++
}

// Counts: see Count.
func (w *World) Counts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.count)
}

// Handles gives the handles of all runs so far, in order.
func (w *World) Handles() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hands)
}

// Front serves connections by handle, as a server does its listener's, and gives what dials it.
func (w *World) Front(handle func(net.Conn, *sock.WriteQueue)) (dial func() *Peer) {
	l := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := sock.NewServer(l, 64, &sock.Budget{PerPeer: 1 << 18, Total: 1 << 20}, handle)
	go s.Serve()
	w.t.Cleanup(func() { s.Stop(time.Second) })
	return func() *Peer {
		mine, theirs := net.Pipe()
		l.conns <- theirs
		return peer(w.t, mine)
	}
}

// pipes is a listener without sockets, for a bubble.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return nil }

// handle is one as fronts and the core make them. The tests' own are short.
var handle = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

func (w *World) named(line string) string {
	if w.Hides {
		line = handle.ReplaceAllString(line, "own")
	}
	return line
}

func (w *World) note(f string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, w.named(fmt.Sprintf(f, a...)))
}

// NewestClaim returns the newest claim of a key, made by what was sent before.
func (w *World) NewestClaim(key core.Key) core.ClaimID { return w.newest(w.claimIDs, key) }

func (w *World) newest(ids map[core.Key]core.ClaimID, key core.Key) core.ClaimID {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return ids[key]
}

// withClaimID has an event of the store that names no claim name the newest one of its key.
func (w *World) withClaimID(e core.Event) core.Event {
	switch e := e.(type) {
	case core.ClaimAnswered:
		if e.ClaimID == 0 {
			e.ClaimID = w.NewestClaim(e.Key)
		}
		return e
	case core.FinishConfirmed:
		if e.ClaimID == 0 {
			e.ClaimID = w.newest(w.finishedIDs, e.Key)
		}
		return e
	}
	return e
}

// Send hands an event to the core. The end of a call that names no number is that of its handle's newest call, and an event
// of the store that names no claim is that of the newest claim of its key.
func (w *World) Send(events ...core.Event) {
	for _, e := range events {
		if x, ok := e.(core.CallEnded); ok && x.Number == 0 {
			w.mu.Lock()
			x.Number = w.calls[x.Handle]
			w.mu.Unlock()
			e = x
		}
		e = w.withClaimID(e)
		var on core.Session
		switch e := e.(type) {
		case core.RequestArrived:
			on = e.Session
		case core.HealthCheck:
			on = e.Session
		case core.RequestCanceled:
			on = e.Session
		}
		if s, ok := on.(session); ok {
			w.mu.Lock()
			w.sent[s.name]++
			w.mu.Unlock()
		}
		w.Core.Send(e)
	}
}

// Ask is a request by session c. Its answer is recorded under its handle.
func (w *World) Ask(handle, class, token string) core.RequestArrived {
	return w.AskOn("c", handle, class, token)
}

// AskOn is a request by a session of that name.
func (w *World) AskOn(on, handle, class, token string) core.RequestArrived {
	s := Site()
	return core.RequestArrived{Session: w.Session(on), Reply: reply{w, handle}, Req: core.IncomingRequest{Handle: handle, Class: s.ClassIndex(class),
		Tenant: 0, Arrived: time.Now(), Budget: 4 * time.Second, Rank: 0.9, Memory: 10, Token: token, Body: []byte("body")}}
}

// Block holds the core's loop up until release is called.
func (w *World) Block() (release func()) {
	b := blocker{make(chan struct{}), make(chan struct{})}
	s := w.Session("blocker")
	w.Send(core.SessionOpened{Session: s, Single: true}, core.HealthCheck{Session: s, Reply: b})
	<-b.stands
	return func() { close(b.release) }
}

// blocker is a reply whose sender waits.
type blocker struct{ stands, release chan struct{} }

func (b blocker) Answer(core.Answer) {
	close(b.stands)
	<-b.release
}

// Session is the connection of that name.
func (w *World) Session(name string) core.Session { return session{w, name} }

// Expect waits for d, in the bubble's time, and compares what the core did since the last Expect.
func (w *World) Expect(d time.Duration, want ...string) {
	w.t.Helper()
	time.Sleep(d)
	w.mu.Lock()
	got := w.lines
	w.lines = nil
	w.mu.Unlock()
	if diff := cmp.Diff(want, got); diff != "" {
		w.t.Errorf("expected (-), got (+):\n%s", diff)
	}
}

// Discard drops what the core did since the last Expect.
func (w *World) Discard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = nil
}

// Await waits until the core has done what a line says since the last Expect or Await, in a test without a bubble.
func (w *World) Await(line string) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		i := slices.Index(w.lines, line)
		w.lines = w.lines[i+1:]
		w.mu.Unlock()
		if i >= 0 {
			return
		}
	}
	w.t.Fatalf("not seen: %s", line)
}

// Ledger is a ledger that a test writes by hand.
type Ledger struct {
	w                     *World
	IsStrict, LetsOverdue bool
	refuses               atomic.Bool
	tickets               uint64
}

// KeepLedger attaches a ledger before the core's first event. What it is told is recorded.
func KeepLedger(l *Ledger) func(*World) {
	return func(w *World) {
		l.w = w
		w.Core.AttachLedger(l)
	}
}

// Refuse makes it take no new work.
func (l *Ledger) Refuse(on bool) { l.refuses.Store(on) }

// Record implements core.UsageLedger.
func (l *Ledger) Record(u core.Usage) uint64 {
	l.tickets++
	if u.Tenant >= 0 {
		_ = Site().Tenants[u.Tenant] // a ledger knows them by their place
	}
	replay := ""
	if u.Replay {
		replay = " replay"
	}
	l.w.note("book %d %s%s%s", l.tickets, u.End, replay, fmt.Sprint(u.Figures))
	return l.tickets
}

// Flush implements core.UsageLedger.
func (l *Ledger) Flush() {}

// Ready implements core.UsageLedger.
func (l *Ledger) Ready() bool { return !l.refuses.Load() }

// Strict implements core.UsageLedger.
func (l *Ledger) Strict() bool { return l.IsStrict }

// SendOverdue implements core.UsageLedger.
func (l *Ledger) SendOverdue() bool { return l.LetsOverdue }

// Life tells for how long the store was to keep the newest end of a key.
func (w *World) Life(token string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lives[token]
}

// Lose makes the store hold no claims any longer, or again.
func (w *World) Lose(on bool) { w.lost.Store(on) }

// FullStore makes the store take no claims.
func (w *World) FullStore() { w.full = true }

type (
	runner  struct{ w *World }
	caller  struct{ w *World }
	lister  struct{ w *World }
	keys    struct{ w *World }
	session struct {
		w    *World
		name string
	}
	reply struct {
		w      *World
		handle string
	}
)

func (r runner) Run(h, class string, body []byte) bool {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.w.hands = append(r.w.hands, h)
	if r.w.serve == 0 {
		r.w.lines = append(r.w.lines, r.w.named(fmt.Sprintf("run %s %s %s", h, class, body)))
		return true
	}
	r.w.runs[string(body)]++
	time.AfterFunc(r.w.serve, func() {
		r.w.Core.Send(core.PoolFinished{Handle: h, Outcome: control.OK, RunTime: r.w.serve, Body: []byte("ok")})
	})
	return true
}
func (r runner) Stop(h string) { r.w.note("stop %s", h) }
func (r runner) Supply(h string, body []byte) bool {
	r.w.note("supply %s %s", h, body)
	return true
}

func (r runner) SkipCall(h string, notice uint64) bool {
	r.w.note("pass %s %d", h, notice)
	return true
}
func (r runner) Verify(ticket string) { r.w.note("verify %s", ticket) }

// Poll is answered with idle gauges, after what the test has sent already, and not recorded.
func (r runner) Poll(ticket string) {
	time.AfterFunc(100*time.Microsecond, func() {
		r.w.Core.Send(core.PoolGauges{Ticket: ticket, Values: []float64{0.1, 0}})
	})
}

func (c caller) Call(h string, number uint64, class string, _ uint64, patience time.Duration, _ bool, body []byte) {
	c.w.mu.Lock()
	c.w.calls[h] = number
	c.w.mu.Unlock()
	c.w.note("call %s %s %v %s", h, class, patience.Round(100*time.Millisecond), body)
}
func (c caller) Abandon(h string) { c.w.note("abandon %s", h) }

// Listed gives all that the directory was told since the last call: open, closed, or silence.
func (w *World) Listed() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.listed
	w.listed = nil
	return all
}

func (w *World) list(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = append(w.listed, what)
}

func (l lister) StopReporting() { l.w.list("silence") }

func (l lister) Report(open bool) {
	l.w.list(map[bool]string{true: "open", false: "closed"}[open])
	if !open && !l.w.closed.Swap(true) {
		l.w.note("closed")
	}
}

func (k keys) Claim(p core.KeyedRequest) bool {
	k.w.mu.Lock()
	k.w.claimIDs[p.Key] = p.ClaimID
	k.w.mu.Unlock()
	k.w.note("claim %s", p.Key.Token)
	return !k.w.full
}
func (k keys) Finish(key core.Key, claim core.ClaimID, _ [32]byte, ok bool, result []byte, life time.Duration) bool {
	k.w.mu.Lock()
	k.w.lives[key.Token] = life
	k.w.finishedIDs[key] = claim
	k.w.mu.Unlock()
	k.w.note("finish %s %v %s", key.Token, ok, result)
	return k.w.Waits
}
func (k keys) Release(key core.Key, _ core.ClaimID) { k.w.note("release %s", key.Token) }
func (k keys) OwnsClaims() bool                     { return !k.w.lost.Load() }

func (s session) Drain(time.Duration) { s.w.note("draining to %s", s.name) }

// Close ends the connection, unless more was sent on it.
func (s session) Close(heard uint64, _ core.CloseReason) {
	s.w.mu.Lock()
	ends := s.w.sent[s.name] == heard
	s.w.mu.Unlock()
	if ends {
		s.w.note("close %s", s.name)
		go s.w.Core.Send(core.SessionClosed{Session: s})
	}
}

var kinds = map[core.Kind]string{core.Served: "served", core.Refused: "refused", core.Failed: "failed", core.TimedOut: "out of time",
	core.Conflict: "conflict", core.Invalid: "invalid", core.Checked: "checked"}

func (r reply) Answer(a core.Answer) {
	line := kinds[a.Kind] + " " + r.handle
	if a.Body != nil {
		line += " " + string(a.Body)
	}
	if a.Kind == core.Checked {
		line += fmt.Sprint(" ", a.Healthy)
	}
	r.w.note("%s", line)
}
