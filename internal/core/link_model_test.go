package core_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

var linkSeeds = flag.Int("links", 60, "histories of the link to the worker pool")

// modelPool is a worker pool as the protocol describes it, reached over links that are slow and break at any moment, with
// whatever is under way on them. It is the Runner, the Downstream and the
// directory of a core.
type modelPool struct {
	w       *scenario.World
	clients *clients
	mu      sync.Mutex
	random  *rand.Rand
	current *modelLink   // on the server's side; nil = it knows of none
	bound   *modelLink   // on the pool's side
	notices []core.Event // all so far
	read    int          // notices that the server has read
	runs    map[string]*modelRun
	begun   map[string]int // runs by body, which each request or key has of its own
	effects map[string]control.Effect
	wrong   []string // replies that were given to another call
	lost    int      // commands that were lost with a link
	gone    map[string]bool
	started time.Time // when the pool last started
	chaos   bool      // answers to polls overtake notices, and the pool says twice that it is bound
}

// modelLink is one connection. What is under way when it breaks is lost.
type modelLink struct {
	broken           bool
	delay            time.Duration // each way
	toPool, toServer time.Time     // when the newest line arrives
	gauges           time.Time     // when the newest answer to a poll arrives, which may overtake notices
}

// modelRun is a run that is in hand.
type modelRun struct {
	handle, body string
	calls        int    // still to be made
	waiting      string // the body of the call that it waits for
	over         bool
}

func (p *modelPool) span(most time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(most) + 1))
}

// later does f with p.mu held.
func (p *modelPool) later(in time.Duration, f func()) {
	time.AfterFunc(in, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		f()
	})
}

// arrival returns when a line arrives that is sent now, after all those before it.
func arrival(newest *time.Time, delay time.Duration) time.Duration {
	at := time.Now().Add(delay)
	if !at.After(*newest) {
		at = newest.Add(time.Microsecond)
	}
	*newest = at
	return time.Until(at)
}

// command sends a command to the pool; false = there is no link.
func (p *modelPool) command(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.current
	if l == nil {
		return false
	}
	p.later(arrival(&l.toPool, l.delay), func() {
		if l.broken {
			p.lost++
			return
		}
		f()
	})
	return true
}

// tell sends an event to the server, after what was sent before on the same link.
func (p *modelPool) tell(l *modelLink, f func()) {
	p.later(arrival(&l.toServer, l.delay), func() {
		if !l.broken {
			f()
		}
	})
}

// notice records a notice and tells it.
func (p *modelPool) notice(e core.Event) {
	p.notices = append(p.notices, e)
	if p.bound != nil {
		p.tellNotice(p.bound, len(p.notices))
	}
}

func (p *modelPool) tellNotice(l *modelLink, number int) {
	p.tell(l, func() {
		if number > p.read {
			p.read = number
			p.w.Core.Send(p.notices[number-1])
		}
	})
}

// breakLink ends the link. The server learns of it a little later, and makes another.
func (p *modelPool) breakLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.current
	if l == nil || l.broken {
		return
	}
	l.broken = true
	p.later(p.span(120*ms), func() {
		p.current = nil
		p.w.Core.Send(core.PoolLost{})
		p.later(p.span(120*ms), p.connect)
	})
}

func (p *modelPool) connect() {
	l := &modelLink{delay: p.span(120 * ms)}
	p.current = l
	cursor := p.read
	p.later(arrival(&l.toPool, l.delay), func() {
		if l.broken {
			return
		}
		p.bound = l
		age := time.Since(p.started)
		bound := func() { p.w.Core.Send(core.PoolBound{Age: age}) }
		p.tell(l, bound)
		if p.chaos && p.random.IntN(4) == 0 {
			p.tell(l, bound)
		}
		for number := cursor + 1; number <= len(p.notices); number++ {
			p.tellNotice(l, number)
		}
	})
}

// Run implements core.Runner: for a request that runs already nothing happens.
func (p *modelPool) Run(handle, _ string, body []byte) bool {
	text := string(body)
	return p.command(func() {
		if p.runs[handle] != nil {
			return
		}
		p.begun[text]++
		r := &modelRun{handle: handle, body: text, calls: p.random.IntN(4)}
		p.runs[handle] = r
		p.work(r)
	})
}

// work has a run work until its next call or its end.
func (p *modelPool) work(r *modelRun) {
	p.later(p.span(time.Duration(1+p.random.IntN(1500))*ms), func() {
		switch {
		case r.over:
		case r.calls == 0:
			p.end(r, control.OK)
		default:
			r.calls--
			r.waiting = fmt.Sprintf("%s run %d call %d", r.handle, p.begun[r.body], r.calls)
			p.notice(core.PoolBlocked{Handle: r.handle, Notice: uint64(len(p.notices) + 1), Body: []byte(r.waiting)})
			p.endIfAnswered(r)
		}
	})
}

// endIfAnswered ends a run at a call once its request is over.
func (p *modelPool) endIfAnswered(r *modelRun) {
	p.later(50*ms, func() {
		switch {
		case r.over || r.waiting == "":
		case p.clients.kind(r.handle) >= 0 || p.gone[r.handle]:
			p.end(r, control.Stopped)
		default:
			p.endIfAnswered(r)
		}
	})
}

func (p *modelPool) end(r *modelRun, outcome control.Outcome) {
	r.over = true
	delete(p.runs, r.handle)
	p.notice(core.PoolFinished{Handle: r.handle, Outcome: outcome, RunTime: ms, Body: []byte("did " + r.body)})
}

// Stop implements core.Runner.
func (p *modelPool) Stop(handle string) {
	p.command(func() {
		if r := p.runs[handle]; r != nil {
			p.end(r, control.Stopped)
		}
	})
}

// Supply implements core.Runner: whatever call the run waits for, this is its reply.
func (p *modelPool) Supply(handle string, body []byte) bool {
	reply := string(body)
	return p.command(func() {
		r := p.runs[handle]
		if r == nil || r.waiting == "" {
			return
		}
		if reply != "reply to "+r.waiting {
			p.wrong = append(p.wrong, fmt.Sprintf("%q is %q", r.waiting, reply))
		}
		r.waiting = ""
		p.work(r)
	})
}

// SkipCall implements core.Runner.
func (p *modelPool) SkipCall(string, uint64) bool { return true }

// Verify implements core.Runner.
func (p *modelPool) Verify(string) {}

// Poll implements core.Runner.
func (p *modelPool) Poll(ticket string) {
	p.command(func() {
		l := p.bound
		answer := func() { p.w.Core.Send(core.PoolGauges{Ticket: ticket, Values: []float64{0.1, 0}}) }
		if !p.chaos {
			p.tell(l, answer)
			return
		}
		p.later(arrival(&l.gauges, l.delay/2), func() {
			if !l.broken {
				answer()
			}
		})
	})
}

// restart has the pool start anew: its runs are gone, and nobody hears of them.
func (p *modelPool) restart() {
	p.mu.Lock()
	for _, r := range p.runs {
		r.over = true
	}
	p.runs, p.started, p.read = map[string]*modelRun{}, time.Now(), len(p.notices)
	p.mu.Unlock()
	p.breakLink()
}

// Call implements core.Downstream.
func (p *modelPool) Call(handle string, number uint64, _ string, _ uint64, _ time.Duration, _ bool, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome, reply := control.OK, []byte("reply to "+string(body))
	if p.random.IntN(12) == 0 {
		outcome, reply = control.Interrupted, nil
	}
	p.later(p.span(200*ms), func() {
		p.w.Core.Send(core.CallEnded{Handle: handle, Number: number, Outcome: outcome, Body: reply})
	})
}

// Abandon implements core.Downstream.
func (p *modelPool) Abandon(string) {}

// Report implements core.AvailabilityReporter.
func (p *modelPool) Report(bool) {}

// StopReporting implements core.AvailabilityReporter.
func (p *modelPool) StopReporting() {}

// linkSite is a server with a class of each effect.
func linkSite() core.Config {
	site := scenario.Site()
	site.Classes = []string{"quote", "book", "pay"}
	site.Control.Cores = 8
	pay := site.Control.Classes[1]
	pay.Effect, pay.Window = control.Unsafe, 0
	site.Control.Classes = append(site.Control.Classes, pay)
	return site
}

// Guards against commands that cross what the pool tells. Whatever order the ends of links, commands and notices come in, and
// whatever is lost of them, a write begins once at most, a run gets the replies to its own calls, and each request has
// one answer in time.
func TestWorkIsDoneOnceOverBreakingLinks(t *testing.T) {
	served, lost := 0, 0
	for seed := range uint64(*linkSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s, l := playLinks(t, seed)
			served, lost = served+s, lost+l
		})
	}
	if !t.Failed() && (served < 10**linkSeeds || lost < *linkSeeds) {
		t.Errorf("%d requests served and %d commands lost in %d histories", served, lost, *linkSeeds)
	}
}

// playLinks plays one history, and returns how many requests were served and how many commands were lost.
func playLinks(t *testing.T, seed uint64) (served, lost int) {
	const (
		requests = 60
		breaks   = 12
		apart    = 150 * ms // between two requests, at most
	)
	synctest.Test(t, func(t *testing.T) {
		p := &modelPool{random: rand.New(rand.NewPCG(seed, 48)), runs: map[string]*modelRun{}, begun: map[string]int{},
			effects: map[string]control.Effect{}, gone: map[string]bool{}, started: time.Now().Add(-time.Hour), chaos: seed%2 == 1}
		site := linkSite()
		p.w = scenario.NewWorld(t, site, false, func(w *scenario.World) { w.Core.Attach(p, p, p, nil) })
		p.clients = &clients{world: p.w, site: site, answers: map[string][]receivedAnswer{}, due: map[string]time.Time{}}
		p.current = &modelLink{}
		p.bound = p.current
		order := rand.New(rand.NewPCG(seed, 49))
		for range breaks {
			time.AfterFunc(time.Duration(order.Int64N(int64(requests*apart/2))), p.breakLink)
		}
		if seed%4 == 3 {
			time.AfterFunc(time.Second+time.Duration(order.Int64N(int64(requests*apart/4))), p.restart)
		}
		for i := range requests {
			p.ask(order, site, i)
			time.Sleep(time.Duration(order.Int64N(int64(apart))))
		}
		time.Sleep(20 * time.Second)
		served = p.check(t)
		lost = p.lost
		if active := metricsOf(p.w).Active; active > 0 {
			t.Errorf("%d requests are still in hand", active)
		}
	})
	return served, lost
}

// ask sends a request, or a repeat of a keyed one, and cancels some.
func (p *modelPool) ask(order *rand.Rand, site core.Config, i int) {
	class := order.IntN(len(site.Classes))
	body := fmt.Sprint("work ", i)
	if site.Keyed(class) {
		body = fmt.Sprint("key ", order.IntN(i+1))
	}
	p.mu.Lock()
	p.effects[body] = site.Control.Classes[class].Effect
	p.mu.Unlock()
	handle := p.clients.ask(class, body, body)
	if order.IntN(10) > 0 {
		return
	}
	p.clients.mu.Lock()
	conn := p.clients.conn
	p.clients.mu.Unlock()
	time.AfterFunc(time.Duration(order.IntN(800))*ms, func() {
		if conn == nil || p.clients.kind(handle) >= 0 {
			return
		}
		p.mu.Lock()
		p.gone[handle] = true
		p.mu.Unlock()
		p.clients.mu.Lock()
		conn.sent++
		p.clients.mu.Unlock()
		p.w.Send(core.RequestCanceled{Session: conn, Handle: handle})
	})
}

// check holds a history against the rules, and returns how many requests were served.
func (p *modelPool) check(t *testing.T) (served int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients.mu.Lock()
	defer p.clients.mu.Unlock()
	for _, body := range slices.Sorted(maps.Keys(p.begun)) {
		if n := p.begun[body]; n > 1 && p.effects[body] != control.Safe {
			t.Errorf("%q began %d times", body, n)
		}
	}
	if len(p.wrong) > 0 {
		t.Errorf("replies to other calls:\n%s", strings.Join(p.wrong, "\n"))
	}
	for _, handle := range slices.Sorted(maps.Keys(p.clients.due)) {
		answers := p.clients.answers[handle]
		switch {
		case len(answers) > 1, len(answers) == 0 && !p.gone[handle]:
			t.Errorf("%s has the answers %+v", handle, answers)
		case len(answers) == 0:
		case !answers[0].at.Before(p.clients.due[handle]):
			t.Errorf("%s was due at %v and answered at %v", handle, p.clients.due[handle], answers[0].at)
		case answers[0].Kind == core.Served:
			served++
			if !strings.HasPrefix(string(answers[0].Body), "did ") {
				t.Errorf("%s was served with %q", handle, answers[0].Body)
			}
		}
	}
	return served
}
