package core_test

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

const trackedBodySize = 64 // bytes; large enough for an allocation of its own

// trackedReply and trackedSession stand for what a front keeps for a request: the buffers of its connection.
type (
	trackedReply struct {
		retention *retention
		handle    string
		_         [256]byte // stands for buffers
	}
	trackedSession struct{ _ [256]byte }
)

// Answer implements core.Reply.
func (r *trackedReply) Answer(a core.Answer) {
	r.retention.mu.Lock()
	defer r.retention.mu.Unlock()
	r.retention.answers[r.handle] = append(r.retention.answers[r.handle], a.Kind)
}

// Drain implements core.Session.
func (s *trackedSession) Drain(time.Duration) {}

// Close implements core.Session. The test alone ends connections.
func (s *trackedSession) Close(uint64, core.CloseReason) {}

// tracked is the memory of one request, with a connection of its own.
type tracked struct {
	session *trackedSession // nil once it is closed
	reply   weak.Pointer[trackedReply]
	conn    weak.Pointer[trackedSession]
	body    weak.Pointer[[trackedBodySize]byte]
}

// retention observes which requests the core keeps in memory.
type retention struct {
	t        *testing.T
	w        *scenario.World
	requests map[string]*tracked

	mu      sync.Mutex
	answers map[string][]core.Kind // by handle
}

func trackedBody() *[trackedBodySize]byte {
	body := new([trackedBodySize]byte)
	copy(body[:], "body")
	return body
}

// ask sends a request on a connection of its own. Changes apply to the request before it is sent.
func (m *retention) ask(handle, class, token string, changes ...func(*core.IncomingRequest)) {
	session, reply, body := new(trackedSession), &trackedReply{retention: m, handle: handle}, trackedBody()
	m.requests[handle] = &tracked{session: session, reply: weak.Make(reply), conn: weak.Make(session),
		body: weak.Make(body)}
	e := m.w.Ask(handle, class, token)
	e.Session, e.Reply, e.Req.Body = session, reply, body[:]
	for _, change := range changes {
		change(&e.Req)
	}
	m.w.Send(core.SessionOpened{Session: session}, e)
	time.Sleep(ms)
}

// send sends events and lets the core handle them.
func (m *retention) send(events ...core.Event) {
	m.w.Send(events...)
	time.Sleep(ms)
}

// cancel cancels a request.
func (m *retention) cancel(handle string) {
	m.send(core.RequestCanceled{Session: m.requests[handle].session, Handle: handle})
}

// hangUp ends the connection of a request.
func (m *retention) hangUp(handle string) {
	r := m.requests[handle]
	if r.session != nil {
		m.send(core.SessionClosed{Session: r.session})
		r.session = nil
	}
}

// claimed is the store's answer to the claim of a token.
func claimed(token string, state core.Claim) core.Event {
	return core.ClaimAnswered{Key: core.Key{Class: 1, Token: token}, State: state, Result: []byte("earlier")}
}

func stored(token string, ok bool) core.Event {
	return core.FinishConfirmed{Key: core.Key{Class: 1, Token: token}, OK: ok}
}

// occupy has both cores of the worker pool run requests that never end, so that further ones are held.
func (m *retention) occupy() {
	m.ask("busy 1", "quote", "")
	m.ask("busy 2", "quote", "")
}

// expectReleased fails the test for each request of the given ones whose reply or connection is still in memory, and,
// with bodies, for each whose body is.
func (m *retention) expectReleased(handles []string, bodies bool) {
	m.t.Helper()
	time.Sleep(ms)
	runtime.GC()
	runtime.GC() // what the first one found through an object that it freed
	for _, handle := range handles {
		r := m.requests[handle]
		if r.reply.Value() != nil || r.conn.Value() != nil {
			m.t.Errorf("request %s keeps its reply (%v) or connection (%v) in memory", handle, r.reply.Value() != nil, r.conn.Value() != nil)
		}
		if bodies && r.body.Value() != nil {
			m.t.Errorf("request %s keeps its body in memory", handle)
		}
	}
}

// expectEmpty fails the test unless the core keeps nothing of any request. It waits until all connections are idle and
// all windows of keys are over.
func (m *retention) expectEmpty() {
	m.t.Helper()
	time.Sleep(time.Minute)
	const ownTimers = 2 // the polls of the gauges and the reports to the directory
	metrics := m.w.Core.Metrics()
	left := metrics.Retained
	left.Timers = max(0, left.Timers-ownTimers)
	if metrics.Active != 0 || left != (core.Retained{}) {
		m.t.Errorf("%d requests and %+v are left", metrics.Active, left)
	}
}

// observe runs steps in a bubble. With events the shared store, if there is one, answers by the test's events.
func observe(t *testing.T, site core.Config, shared bool, with []func(*scenario.World), steps func(m *retention)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, site, shared, with...)
		w.Expect(ms)
		steps(&retention{t: t, w: w, requests: map[string]*tracked{}, answers: map[string][]core.Kind{}})
	})
}

// way is a way in which requests end.
type way struct {
	shared bool // keys are claimed in a shared store
	site   func(*core.Config)
	with   []func(*scenario.World)
	steps  func(m *retention)
	want   map[string]core.Kind // the answers; a request without one was canceled
	runs   []string             // requests whose run goes on
}

func confirms(w *scenario.World) { w.Waits = true }

func fullStore(w *scenario.World) { w.FullStore() }

func strictLedger(sendsOverdue bool) func(*scenario.World) {
	return scenario.KeepLedger(&scenario.Ledger{IsStrict: true, LetsOverdue: sendsOverdue})
}

// waysWithoutStore are ways in which requests end whose keys are known to this server alone.
func waysWithoutStore() map[string]way {
	one := func(kind core.Kind) map[string]core.Kind { return map[string]core.Kind{"a": kind} }
	return map[string]way{
		"served":        {steps: func(m *retention) { m.ask("a", "quote", ""); m.send(runSucceeded("a", "x")) }, want: one(core.Served)},
		"failed":        {steps: func(m *retention) { m.ask("a", "quote", ""); m.send(runFinished("a", control.Errored, "")) }, want: one(core.Failed)},
		"keyed, served": {steps: func(m *retention) { m.ask("a", "book", "k"); m.send(runSucceeded("a", "x")) }, want: one(core.Served)},
		"keyed, failed": {steps: func(m *retention) { m.ask("a", "book", "k"); m.send(runFinished("a", control.Errored, "")) }, want: one(core.Failed)},
		"never begun":   {steps: func(m *retention) { m.ask("a", "book", "k"); m.send(runFinished("a", control.NotStarted, "")) }, want: one(core.Failed)},
		"command in vain": {steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.send(core.PoolCommandUnknown{Command: "spawn", Handle: "a"})
		}, want: one(core.Invalid)},
		"no room for its key": {site: func(s *core.Config) { s.Bounds.Table = 100 },
			steps: func(m *retention) { m.ask("a", "book", "k") }, want: one(core.Refused)},
		"too many requests": {site: func(s *core.Config) { s.Bounds.Open = 0 },
			steps: func(m *retention) { m.ask("a", "book", "k") }, want: one(core.Refused)},
		"read too late": {steps: func(m *retention) {
			m.ask("a", "book", "k", func(r *core.IncomingRequest) { r.Arrived = time.Now().Add(-3 * time.Second) })
		}, want: one(core.Refused)},
		"handle in use": {steps: func(m *retention) {
			m.ask("a", "quote", "")
			m.send(runSucceeded("a", "x"))
			m.ask("b", "quote", "", func(r *core.IncomingRequest) { r.Handle = "a" })
		}, want: map[string]core.Kind{"a": core.Served, "b": core.Invalid}},
		"another body": {steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.ask("b", "book", "k", func(r *core.IncomingRequest) { r.Body = []byte("other") })
			m.send(runSucceeded("a", "x"))
		}, want: map[string]core.Kind{"a": core.Served, "b": core.Conflict}},
		"repeats": {steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.ask("b", "book", "k")
			m.send(runSucceeded("a", "x"))
			m.ask("c", "book", "k")
		}, want: map[string]core.Kind{"a": core.Served, "b": core.Served, "c": core.Served}},
		"canceled in its run": {steps: func(m *retention) { m.ask("a", "book", "k"); m.cancel("a") }, runs: []string{"a"}},
		"hung up in its run":  {steps: func(m *retention) { m.ask("a", "book", "k"); m.hangUp("a") }, runs: []string{"a"}},
		"a repeat canceled in the run": {steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.ask("b", "book", "k")
			m.cancel("b")
		}, runs: []string{"a"}, want: map[string]core.Kind{}},
		"out of time in its run": {steps: func(m *retention) { m.ask("a", "book", "k"); time.Sleep(4 * time.Second) },
			want: one(core.TimedOut), runs: []string{"a"}},
		"canceled before its run": {steps: func(m *retention) { m.occupy(); m.ask("a", "book", "k"); m.cancel("a") }, runs: []string{"busy 1", "busy 2"}},
		"refused before its run": {steps: func(m *retention) {
			m.occupy()
			m.ask("a", "book", "k", func(r *core.IncomingRequest) { r.Budget = 20 * ms })
			time.Sleep(20 * ms)
		}, want: one(core.Refused), runs: []string{"busy 1", "busy 2"}},
		"canceled in a call": {steps: func(m *retention) { m.ask("a", "book", "k"); m.send(runBlocked("a", "x")); m.cancel("a") }, runs: []string{"a"}},
		"a call that fails": {steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.send(runBlocked("a", "x"))
			m.send(core.CallEnded{Handle: "a", Outcome: control.Errored})
			time.Sleep(10 * ms)
		}, want: one(core.Failed), runs: []string{"a"}},
		"a call without a reply": {steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.send(runBlocked("a", "x"))
			time.Sleep(4 * time.Second)
		}, want: one(core.TimedOut), runs: []string{"a"}},
		"the pool starts anew": {steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.send(core.PoolLost{}, core.PoolBound{Cold: true})
		}, want: one(core.Failed)},
		"its ledger entry is written": {with: []func(*scenario.World){strictLedger(false)}, steps: func(m *retention) {
			m.ask("a", "quote", "")
			m.send(runSucceeded("a", "x"), core.LedgerWritten{Through: 1})
		}, want: one(core.Served)},
		"its ledger entry is late, failed": {with: []func(*scenario.World){strictLedger(false)}, steps: func(m *retention) {
			m.ask("a", "quote", "")
			m.send(runSucceeded("a", "x"))
			time.Sleep(4 * time.Second)
		}, want: one(core.TimedOut)},
		"its ledger entry is late, sent": {with: []func(*scenario.World){strictLedger(true)}, steps: func(m *retention) {
			m.ask("a", "quote", "")
			m.send(runSucceeded("a", "x"))
			time.Sleep(4 * time.Second)
		}, want: one(core.Served)},
		"hung up before its ledger entry is written": {with: []func(*scenario.World){strictLedger(false)}, steps: func(m *retention) {
			m.ask("a", "quote", "")
			m.send(runSucceeded("a", "x"))
			m.hangUp("a")
		}},
	}
}

// waysWithStore are ways in which requests end whose keys are claimed in a shared store.
func waysWithStore() map[string]way {
	answeredBy := func(state core.Claim, kind core.Kind) way {
		return way{shared: true, steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.ask("b", "book", "k")
			m.send(claimed("k", state))
		}, want: map[string]core.Kind{"a": kind, "b": kind}}
	}
	elsewhere := func(m *retention) {
		m.ask("a", "book", "k")
		m.send(claimed("k", core.ClaimOther))
	}
	run := func(m *retention) {
		m.ask("a", "book", "k")
		m.send(claimed("k", core.ClaimWon))
	}
	finished := func(m *retention) {
		run(m)
		m.send(runSucceeded("a", "x"))
	}
	one := func(kind core.Kind) map[string]core.Kind { return map[string]core.Kind{"a": kind} }
	confirming := []func(*scenario.World){confirms}
	return map[string]way{
		"the store does not answer a claim": answeredBy(core.ClaimUnavailable, core.Refused),
		"the key has another body":          answeredBy(core.ClaimConflict, core.Conflict),
		"it ran elsewhere":                  answeredBy(core.ClaimDone, core.Served),
		"it failed elsewhere":               answeredBy(core.ClaimFailed, core.Failed),
		"the store has no room":             {shared: true, with: []func(*scenario.World){fullStore}, steps: func(m *retention) { m.ask("a", "book", "k") }, want: one(core.Refused)},
		"never claimed":                     {shared: true, steps: func(m *retention) { m.ask("a", "book", "k"); time.Sleep(4 * time.Second) }, want: one(core.TimedOut)},
		"canceled in its claim":             {shared: true, steps: func(m *retention) { m.ask("a", "book", "k"); m.cancel("a") }},
		"canceled before a repeat claims": {shared: true, steps: func(m *retention) {
			m.ask("a", "book", "k")
			m.ask("b", "book", "k")
			m.cancel("a")
			m.send(claimed("k", core.ClaimUnavailable))
		}, want: map[string]core.Kind{"b": core.Refused}},
		"elsewhere, out of time":    {shared: true, steps: func(m *retention) { elsewhere(m); time.Sleep(4 * time.Second) }, want: one(core.TimedOut)},
		"elsewhere, canceled":       {shared: true, steps: func(m *retention) { elsewhere(m); m.cancel("a") }},
		"elsewhere, then no answer": {shared: true, steps: func(m *retention) { elsewhere(m); m.send(claimed("k", core.ClaimUnavailable)) }, want: one(core.Refused)},
		"won too late": {shared: true, steps: func(m *retention) {
			m.ask("a", "book", "k")
			time.Sleep(3 * time.Second)
			m.send(claimed("k", core.ClaimWon))
		}, want: one(core.Refused)},
		"disowned in its claim": {shared: true, steps: func(m *retention) { m.ask("a", "book", "k"); m.send(core.Disown{}) }, want: one(core.Failed)},
		"disowned in its run":   {shared: true, steps: func(m *retention) { run(m); m.send(core.Disown{}) }, want: one(core.Failed), runs: []string{"a"}},
		"not owned at its end": {shared: true, steps: func(m *retention) {
			run(m)
			m.w.Lose(true)
			m.send(runSucceeded("a", "x"), core.Disown{})
		}, want: one(core.Failed)},
		"stored":                    {shared: true, with: confirming, steps: func(m *retention) { finished(m); m.send(stored("k", true)) }, want: one(core.Served)},
		"taken over":                {shared: true, with: confirming, steps: func(m *retention) { finished(m); m.send(stored("k", false)) }, want: one(core.Failed)},
		"never stored":              {shared: true, with: confirming, steps: func(m *retention) { finished(m); time.Sleep(4 * time.Second) }, want: one(core.TimedOut)},
		"canceled before it stored": {shared: true, with: confirming, steps: func(m *retention) { finished(m); m.cancel("a") }},
		"disowned before it stored": {shared: true, with: confirming, steps: func(m *retention) { finished(m); m.send(core.Disown{}) }, want: one(core.Failed)},
		"canceled, then run to its end": {shared: true, with: confirming, steps: func(m *retention) {
			run(m)
			m.cancel("a")
			m.send(runSucceeded("a", "x"))
		}},
	}
}

// Guards against requests that stay in memory after their end, as refused keyed requests did until they were due (review
// case 1): in whatever way a request ends, the core then keeps neither its reply nor its connection, and once its run is
// over not its body either.
func TestEndedRequestsAreReleased(t *testing.T) {
	ways := waysWithoutStore()
	maps.Copy(ways, waysWithStore())
	for name, c := range ways {
		t.Run(name, func(t *testing.T) {
			site := scenario.Site()
			if c.site != nil {
				c.site(&site)
			}
			observe(t, site, c.shared, c.with, func(m *retention) {
				c.steps(m)
				m.expectAnswers(c.want)
				var over []string
				for handle := range m.requests {
					m.hangUp(handle)
					if !slices.Contains(c.runs, handle) {
						over = append(over, handle)
					}
				}
				m.expectReleased(slices.Collect(maps.Keys(m.requests)), false)
				m.expectReleased(over, true)
				m.send(core.PoolLost{}, core.PoolBound{Cold: true}) // the runs that go on end
				m.expectReleased(c.runs, true)
				m.send(core.LedgerWritten{Through: 100})
				m.expectEmpty()
			})
		})
	}
}

// expectAnswers compares all final answers.
func (m *retention) expectAnswers(want map[string]core.Kind) {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	for handle := range m.requests {
		kind, answered := want[handle]
		if got := m.answers[handle]; answered && !slices.Equal(got, []core.Kind{kind}) || !answered && len(got) > 0 {
			m.t.Errorf("answers to %s: %v, want %v (%v)", handle, got, kind, answered)
		}
	}
}

// Guards against keyed requests that stay in memory until they are due after the store refused their claims (review case
// 1): under clients that send the same again at once, the process ran out of memory within seconds.
func TestRefusedClaimsAreReleased(t *testing.T) {
	for name, state := range map[string]core.Claim{"no answer": core.ClaimUnavailable, "another body": core.ClaimConflict} {
		t.Run(name, func(t *testing.T) {
			observe(t, scenario.Site(), true, nil, func(m *retention) {
				m.ask("a", "book", "k")
				m.ask("b", "book", "k")
				m.send(claimed("k", state))
				handles := []string{"a", "b"}
				for _, handle := range handles {
					m.hangUp(handle)
				}
				m.expectReleased(handles, true)
			})
		})
	}
}

// Guards against results that stay in memory after they were sent, for as long as the disk of the ledger does not respond.
func TestOverdueResultsAreReleasedWithoutTheDisk(t *testing.T) {
	for _, sendsOverdue := range []bool{false, true} {
		observe(t, scenario.Site(), false, []func(*scenario.World){strictLedger(sendsOverdue)}, func(m *retention) {
			m.ask("a", "quote", "")
			m.send(runSucceeded("a", "x"))
			m.expectPending(1)
			m.expectPending(0)
		})
	}
}

// expectPending lets requests come due and compares how many results wait for their ledger entries.
func (m *retention) expectPending(want int) {
	m.t.Helper()
	time.Sleep(3 * time.Second)
	if got := m.w.Core.Metrics().Retained.PendingResults; got != want {
		m.t.Errorf("%d results are pending, want %d", got, want)
	}
}

// Guards against deep checks that keep ended connections in memory until the worker pool's verification is over.
func TestDeepChecksOfEndedConnectionsAreReleased(t *testing.T) {
	observe(t, scenario.Site(), false, nil, func(m *retention) {
		session := new(trackedSession)
		reply := &trackedReply{retention: m, handle: "check"}
		m.requests["check"] = &tracked{session: session, reply: weak.Make(reply), conn: weak.Make(session)}
		m.send(core.SessionOpened{Session: session}, core.HealthCheck{Session: session, Reply: reply, Deep: true})
		session, reply = nil, nil
		m.hangUp("check")
		m.expectReleased([]string{"check"}, false)
	})
}

// Guards against timers and claims that outlive the key that they belong to.
func TestReleasedKeyStopsClaiming(t *testing.T) {
	observe(t, scenario.Site(), true, nil, func(m *retention) {
		m.ask("a", "book", "k")
		m.send(claimed("k", core.ClaimOther))
		m.hangUp("a")
		time.Sleep(99 * ms) // the next claim would be due just after this
		const others = 3    // the polls of the gauges, the reports to the directory and the idle connection c
		if left := m.w.Core.Metrics().Retained; left.Timers > others || left.Keys > 0 {
			t.Errorf("%+v are left", left)
		}
		time.Sleep(ms)
		m.w.Expect(200*ms, "claim k")
	})
}

// Guards against expired keys that stay in memory, uncounted, behind one that expires later.
func TestExpiredKeysAreReleased(t *testing.T) {
	const (
		expiring = 4000
		limit    = expiring * 512 / 2 // bytes: half of what the keys are accounted with, for the capacity of tables
	)
	site := scenario.Site()
	site.Bounds.Table = 8 << 20
	long := site.Control.Classes[1]
	long.Window = time.Hour
	site.Control.Classes, site.Classes = append(site.Control.Classes, long), append(site.Classes, "reserve")
	observe(t, site, false, nil, func(m *retention) {
		before := scenario.HeapInUse()
		book := func(handle string, class int) {
			m.w.Send(core.RequestArrived{Session: m.w.Session("c"), Reply: discardReply{}, Req: core.IncomingRequest{Handle: handle, Class: class,
				Arrived: time.Now(), Budget: 4 * time.Second, Rank: 0.9, Memory: 10, Token: handle, Body: []byte("body")}})
			m.w.Expect(ms, fmt.Sprintf("run %s %s body", handle, site.Classes[class]))
			m.send(runSucceeded(handle, "result"))
		}
		book("long", 2)
		for i := range expiring {
			book(fmt.Sprint("short ", i), 1)
		}
		time.Sleep(time.Minute)
		if left := m.w.Core.Metrics().Retained; left.Keys != 1 {
			t.Errorf("%+v are left", left)
		}
		if grown := int(scenario.HeapInUse()) - int(before); grown > limit {
			t.Errorf("%d bytes more are in memory, at most %d are allowed", grown, limit)
		}
	})
}

// discardReply drops answers.
type discardReply struct{}

// Answer implements core.Reply.
func (discardReply) Answer(core.Answer) {}

// Guards against large bodies that fill the memory while their number is within its bound. The bytes are free again once
// the requests are over.
func TestOpenRequestsAreBoundedByBytes(t *testing.T) {
	site := scenario.Site()
	const bodies = 3
	large := func(r *core.IncomingRequest) { r.Body = make([]byte, site.Bounds.OpenBytes/bodies) }
	observe(t, site, true, nil, func(m *retention) {
		for i := range bodies + 1 {
			m.ask(fmt.Sprint("a", i), "book", fmt.Sprint("a", i), large)
		}
		m.expectAnswers(map[string]core.Kind{"a3": core.Refused})
		for i := range bodies + 1 {
			m.hangUp(fmt.Sprint("a", i))
		}
		m.ask("b", "book", "b", large)
		m.send(claimed("b", core.ClaimUnavailable))
		m.hangUp("b")
		m.expectReleased([]string{"b"}, true)
		m.expectEmpty()
	})
}
