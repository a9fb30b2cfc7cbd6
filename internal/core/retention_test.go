package core_test

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"weak"

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

// observe runs steps in a bubble. With events the shared store, if there is one, answers by the test's events.
func observe(t *testing.T, site core.Config, shared bool, with []func(*scenario.World), steps func(m *retention)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, site, shared, with...)
		w.Expect(ms)
		steps(&retention{t: t, w: w, requests: map[string]*tracked{}, answers: map[string][]core.Kind{}})
	})
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
