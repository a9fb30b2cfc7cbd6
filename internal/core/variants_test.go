package core_test

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/config"
	"larchscale/internal/core"
	"larchscale/internal/handoff"
	"larchscale/internal/scenario"
)

// deployments returns configurations of various customers: the two of deploy/sites as a process there receives them,
// and configurations at the limits of the valid range.
func deployments(t *testing.T) map[string]core.Config {
	t.Helper()
	sites := map[string]core.Config{}
	for _, name := range []string{"ridge-lift-gates", "tide-harbour-office"} {
		loaded, err := config.Load("../config/testdata/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		sites[name] = loaded.Site
	}
	edge := func(deadline, window, grace, stop time.Duration) core.Config {
		site := scenario.Site()
		site.Classes, site.StopTime = []string{"read", "keyed", "once"}, stop
		site.Control.DrainGrace, site.Control.Classes = grace, nil
		for _, effect := range []control.Effect{control.Safe, control.Keyed, control.Unsafe} {
			class := control.Class{Aim: deadline * 2 / 3, Deadline: deadline, Worth: 1, Effect: effect, Calls: true}
			if effect == control.Keyed {
				class.Window = window
			}
			site.Control.Classes = append(site.Control.Classes, class)
		}
		return site
	}
	sites["deadlines of 200 ms"] = edge(200*ms, 500*ms, 200*ms, 400*ms)
	sites["deadlines of 500 ms"] = edge(500*ms, 500*ms, 200*ms, 400*ms)
	sites["a window shorter than the deadline"] = edge(4*time.Second, 500*ms, 2*time.Second, 4*time.Second)
	sites["a stop shorter than the grace"] = edge(300*ms, 500*ms, 1500*ms, 400*ms)
	sites["a stop shorter than the deadline"] = edge(4*time.Second, 5*time.Second, 200*ms, 400*ms)
	sites["no grace"] = edge(500*ms, 500*ms, 0, 400*ms)
	sites["a very short stop"] = edge(500*ms, 500*ms, 200*ms, 100*ms)
	many := edge(500*ms, 500*ms, 200*ms, 400*ms)
	for i := range 36 {
		many.Classes = append(many.Classes, fmt.Sprint(many.Classes[i%3], i))
		many.Control.Classes = append(many.Control.Classes, many.Control.Classes[i%3])
	}
	sites["39 classes"] = many
	oneClass := edge(500*ms, 500*ms, 200*ms, 400*ms)
	oneClass.Classes, oneClass.Control.Classes = []string{"keyed"}, oneClass.Control.Classes[1:2]
	oneClass.Tenants, oneClass.Control.Tenants = nil, nil
	sites["one class, no tenants"] = oneClass
	for name, without := range map[string][2]string{ // configurations with one setting removed
		"no deadline": {"ridge-lift-gates", `"GiveUpUs": \d+, `},
		"no quantum":  {"tide-harbour-office", `"QuantumUs": \d+,`},
	} {
		text, err := os.ReadFile("../config/testdata/" + without[0] + ".json")
		if err != nil {
			t.Fatal(err)
		}
		loaded, err := config.Parse(regexp.MustCompile(without[1]).ReplaceAll(text, nil))
		if err != nil {
			t.Fatal(err)
		}
		sites[name] = loaded.Site
	}
	return sites
}

// clients are the callers of a core's front. They record what each request was answered, and when.
type clients struct {
	world   *scenario.World
	site    core.Config
	mu      sync.Mutex
	answers map[string][]receivedAnswer
	due     map[string]time.Time
	drains  []time.Time // when the connection was asked to drain
	sent    int
	conn    *clientConn // nil = the next request opens one
}

type receivedAnswer struct {
	core.Answer
	at time.Time
}

type clientReply struct {
	c      *clients
	handle string
}

func (r clientReply) Answer(a core.Answer) {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.answers[r.handle] = append(r.c.answers[r.handle], receivedAnswer{a, time.Now()})
}

// clientConn is a connection of the clients; after the core closes one, the next request opens another.
type clientConn struct {
	c    *clients
	sent uint64
}

func (l *clientConn) Drain(time.Duration) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	l.c.drains = append(l.c.drains, time.Now())
}

// Close ends the connection, unless more was sent on it.
func (l *clientConn) Close(heard uint64, _ core.CloseReason) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.sent != heard {
		return
	}
	if l.c.conn == l {
		l.c.conn = nil
	}
	go l.c.world.Send(core.SessionClosed{Session: l})
}

// open returns the connection for the next request. The caller holds c.mu until it has counted that request, so that
// the connection cannot end in between.
func (c *clients) open() *clientConn {
	if c.conn == nil {
		c.conn = &clientConn{c: c}
		c.world.Send(core.SessionOpened{Session: c.conn})
	}
	return c.conn
}

// ask sends a request of a class with the class's deadline and returns its handle.
func (c *clients) ask(class int, token, body string) string {
	c.mu.Lock()
	line, tenant := c.open(), -1
	line.sent++
	c.sent++
	handle := fmt.Sprintf("h%d", c.sent)
	c.due[handle] = time.Now().Add(c.site.Control.Classes[class].Deadline)
	if n := len(c.site.Tenants); n > 0 {
		tenant = c.sent % n
	}
	c.mu.Unlock()
	if !c.site.Keyed(class) {
		token = ""
	}
	c.world.Send(core.RequestArrived{Session: line, Reply: clientReply{c, handle},
		Req: core.IncomingRequest{Handle: handle, Class: class, Tenant: tenant,
			Arrived: time.Now(), Rank: 0.9, Memory: 10, Token: token, Body: []byte(body)}})
	return handle
}

// kind returns the kind of the first answer to a request; -1 = none yet.
func (c *clients) kind(handle string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.answers[handle]; len(a) > 0 {
		return int(a[0].Kind)
	}
	return -1
}

// check reports requests with no answer, with two, with one at or after the due time, or refused after they ran.
func (c *clients) check(t *testing.T) {
	t.Helper()
	ran := map[string]bool{}
	for _, handle := range c.world.Handles() {
		ran[handle] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, handle := range slices.Sorted(maps.Keys(c.due)) {
		if answers := c.answers[handle]; len(answers) != 1 || !answers[0].at.Before(c.due[handle]) {
			t.Errorf("%s: %d answers, due %v: %+v", handle, len(answers), c.due[handle], answers)
		} else if answers[0].Kind == core.Refused && ran[handle] {
			t.Errorf("%s ran and was refused", handle)
		}
	}
}

// onEach runs f on each deployment, with one connection open; every run ends well after the time that work returns.
func onEach(t *testing.T, work func(core.Config) time.Duration, f func(t *testing.T, c *clients)) {
	onEachWith(t, false, work, f)
}

// onEachWith is like onEach, optionally with a shared store that the test plays.
func onEachWith(t *testing.T, shared bool, work func(core.Config) time.Duration, f func(t *testing.T, c *clients)) {
	for name, site := range deployments(t) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &clients{world: scenario.NewWorld(t, site, shared), site: site,
					answers: map[string][]receivedAnswer{}, due: map[string]time.Time{}}
				if d := work(site); d > 0 {
					c.world.Serve(d)
				}
				c.mu.Lock()
				c.open()
				c.mu.Unlock()
				time.Sleep(ms)
				f(t, c)
			})
		})
	}
}

func shortestDeadline(s core.Config) time.Duration {
	deadline := time.Minute
	for _, class := range s.Control.Classes {
		deadline = min(deadline, class.Deadline)
	}
	return deadline
}

func shortRun(s core.Config) time.Duration { return min(shortestDeadline(s)/10, 200*ms) }

// Every class is served, whether its callers state their budget or not. A keyed request runs once within its window,
// and may run again well after it.
func TestEveryDeploymentServesEveryClass(t *testing.T) {
	onEach(t, shortRun, func(t *testing.T, c *clients) {
		for i, name := range c.site.Classes {
			class := c.site.Control.Classes[i]
			first := c.ask(i, "k", name)
			time.Sleep(2 * shortRun(c.site))
			again := c.ask(i, "k", name)
			time.Sleep(2 * shortRun(c.site))
			if c.kind(first) != int(core.Served) || c.kind(again) != int(core.Served) {
				t.Errorf("%s: %d, then %d", name, c.kind(first), c.kind(again))
			}
			if runs := c.world.Runs()[name]; class.Effect == control.Keyed && runs != 1 {
				t.Errorf("%s ran %d times within its window, want 1", name, runs)
			}
			if class.Effect == control.Keyed {
				time.Sleep(class.Window + 3*time.Second)
				last := c.ask(i, "k", name)
				time.Sleep(2 * shortRun(c.site))
				if runs := c.world.Runs()[name]; c.kind(last) != int(core.Served) || runs != 2 {
					t.Errorf("%s after its window: answer %d, %d runs", name, c.kind(last), runs)
				}
			}
		}
		time.Sleep(time.Minute)
		c.check(t)
	})
}

// overload sends more than any server can carry. Each keyed request is tried three times.
func (c *clients) overload(n int) {
	for i := range n {
		class := i / 3 % len(c.site.Classes)
		body := fmt.Sprint("body ", class, " ", c.sent)
		if c.site.Keyed(class) {
			body = fmt.Sprint("body ", class, " ", c.sent-i%3)
		}
		c.ask(class, body, body)
		time.Sleep(shortestDeadline(c.site) / 100)
	}
}

// checkRunOnce reports writes that ran twice.
func (c *clients) checkRunOnce(t *testing.T) {
	t.Helper()
	for body, runs := range c.world.Runs() {
		var class int
		fmt.Sscanf(body, "body %d", &class)
		if c.site.Control.Classes[class].Effect != control.Safe && runs > 1 {
			t.Errorf("write %q ran %d times", body, runs)
		}
	}
}

func thirdOfDeadline(s core.Config) time.Duration { return shortestDeadline(s) / 3 }

// Under an overload that no server can carry, each request gets one answer by its due time, and no write runs twice.
func TestEveryDeploymentAnswersInTimeUnderOverload(t *testing.T) {
	onEach(t, thirdOfDeadline, func(t *testing.T, c *clients) {
		c.overload(399)
		time.Sleep(time.Minute + time.Second)
		c.check(t)
		c.checkRunOnce(t)
	})
}

// The worker pool is restarted several times during an overload: each request still gets one answer in time, and no
// write runs twice.
func TestEveryDeploymentSurvivesPoolRestarts(t *testing.T) {
	onEach(t, thirdOfDeadline, func(t *testing.T, c *clients) {
		for range 3 {
			c.overload(60)
			time.Sleep(1100 * ms) // a start sooner after another is taken for the same pool
			c.world.Send(core.PoolLost{}, core.PoolBound{Cold: true, Age: ms})
		}
		time.Sleep(time.Minute + time.Second)
		c.check(t)
		c.checkRunOnce(t)
	})
}

// A downstream call that never ends, or ends only after its request is due, does not keep any request from its answer
// in time.
func TestEveryDeploymentSurvivesHangingCalls(t *testing.T) {
	onEach(t, func(core.Config) time.Duration { return 0 }, func(t *testing.T, c *clients) {
		for i, class := range c.site.Control.Classes {
			if !class.Calls {
				continue
			}
			for _, late := range []bool{false, true} {
				handle := c.ask(i, fmt.Sprint("k", late), fmt.Sprint("call ", late))
				time.Sleep(10 * ms)
				c.world.Send(runBlocked(handle, "x"))
				time.Sleep(class.Deadline + 10*ms)
				if late {
					c.world.Send(core.CallEnded{Handle: handle, Outcome: control.OK, Body: []byte("reply")},
						runFinished(handle, control.OK, "late"))
				} else {
					c.world.Send(runFinished(handle, control.Stopped, ""))
				}
				time.Sleep(time.Second)
				if kind := c.kind(handle); kind == int(core.Served) {
					t.Errorf("%s: answer %d", c.site.Classes[i], kind)
				}
			}
		}
		c.check(t)
	})
}

// A shared store that never answers, or reports a claim as won only after the request is due, does not keep any
// request from its answer in time, and its late answer runs nothing.
func TestEveryDeploymentSurvivesSilentStore(t *testing.T) {
	onEachWith(t, true, shortRun, func(t *testing.T, c *clients) {
		for i, class := range c.site.Control.Classes {
			if class.Effect != control.Keyed {
				continue
			}
			first := c.ask(i, "k", c.site.Classes[i])
			time.Sleep(class.Deadline / 2)
			second := c.ask(i, "k", c.site.Classes[i])
			time.Sleep(class.Deadline/2 + ms)
			c.world.Send(core.ClaimAnswered{Key: core.Key{Class: i, Token: "k"}, State: core.ClaimWon})
			time.Sleep(class.Deadline)
			if firstKind, secondKind := c.kind(first), c.kind(second); firstKind == int(core.Served) ||
				firstKind == -1 || secondKind == -1 {
				t.Errorf("%s: answers %d and %d", c.site.Classes[i], firstKind, secondKind)
			}
			if runs := c.world.Runs()[c.site.Classes[i]]; runs > 1 {
				t.Errorf("%s ran %d times", c.site.Classes[i], runs)
			}
		}
		c.check(t)
	})
}

// A drain notice during a stream of requests: connections are asked to drain before the end, requests after the grace
// period are not run, each request that arrived before the loop's end has its answer by then and by its due time, and
// the loop ends before the kill.
func TestEveryDeploymentDrainsInTime(t *testing.T) {
	longRun := func(s core.Config) time.Duration { return shortestDeadline(s) * 2 / 3 }
	notice := func(c *clients) (time.Duration, core.Event) { return c.site.StopTime, core.Drain{} }
	handOff := func(c *clients) (time.Duration, core.Event) {
		var deadlines []time.Duration
		for _, k := range c.site.Control.Classes {
			deadlines = append(deadlines, k.Deadline)
		}
		kill := handoff.KillDelay(deadlines)
		return min(kill, c.site.StopTime), core.Handoff{KillAfter: kill}
	}
	t.Run("quick runs", func(t *testing.T) { onEach(t, shortRun, drainBy(notice)) })
	t.Run("long runs", func(t *testing.T) { onEach(t, longRun, drainBy(notice)) })
	t.Run("quick runs, a handoff", func(t *testing.T) { onEach(t, shortRun, drainBy(handOff)) })
	t.Run("long runs, a handoff", func(t *testing.T) { onEach(t, longRun, drainBy(handOff)) })
}

// drainBy returns a test that sends the given event to the core during a stream of requests, and expects the loop to
// end before the kill.
func drainBy(by func(c *clients) (kill time.Duration, event core.Event)) func(t *testing.T, c *clients) {
	return func(t *testing.T, c *clients) {
		kill, event := by(c)
		c.drainDuringStream(t, kill, event)
	}
}

func (c *clients) drainDuringStream(t *testing.T, kill time.Duration, event core.Event) {
	step := max(ms, shortRun(c.site)/8)
	send := func(until time.Time) {
		for i := 0; time.Now().Before(until); i++ {
			select {
			case <-c.world.Done:
				return
			default:
			}
			c.ask(c.sent%len(c.site.Classes), fmt.Sprint("k", c.sent), fmt.Sprint("body ", c.sent))
			time.Sleep(step)
		}
	}
	send(time.Now().Add(10 * step))
	notice := time.Now()
	c.world.Send(event)
	send(notice.Add(kill + time.Second))
	<-c.world.Done
	ended := time.Now()
	if elapsed := ended.Sub(notice); elapsed > kill {
		t.Errorf("the loop ended %v after the notice, %v before the kill", elapsed, kill-elapsed)
	}
	if len(c.drains) == 0 || c.drains[0].After(notice.Add(min(c.site.Control.DrainGrace, kill))) ||
		c.drains[0].After(ended) {
		t.Errorf("asked to drain at %v, notice %v, end %v", c.drains, notice, ended)
	}
	delete(c.due, fmt.Sprintf("h%d", c.sent)) // it may have crossed the end of the loop
	c.check(t)
	ran := c.world.Runs()
	for body := range ran {
		var index int
		fmt.Sscanf(body, "body %d", &index)
		sent := c.due[fmt.Sprintf("h%d", index+1)].Add(-c.site.Control.Classes[index%len(c.site.Classes)].Deadline)
		if sent.After(notice.Add(c.site.Control.DrainGrace)) {
			t.Errorf("%q was sent %v after the notice and ran", body, sent.Sub(notice))
		}
	}
}
