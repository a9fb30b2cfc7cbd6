package index_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/index"
	"larchscale/internal/scenario"
)

type testClient struct {
	*index.Client
	t      *testing.T
	events chan core.Event
	calls  uint64
	newest map[string]uint64 // number of the newest call of each handle
}

func newTestClient(t *testing.T, addr string, limit int) *testClient {
	events := make(chan core.Event, 16)
	return &testClient{index.New(addr, limit, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler)), t, events, 0, map[string]uint64{}}
}

func (b *testClient) call(handle string, once bool) { b.make(handle, time.Second, once, nil) }

func (b *testClient) make(handle string, patience time.Duration, once bool, body []byte) {
	b.calls++
	b.newest[handle] = b.calls
	b.Call(handle, b.calls, "quote", 0, patience, once, body)
}

func (b *testClient) expect(handle string, outcome control.Outcome, body []byte) {
	b.t.Helper()
	if diff := cmp.Diff(core.Event(core.CallEnded{Handle: handle, Number: b.newest[handle], Outcome: outcome, Body: body}), <-b.events); diff != "" {
		b.t.Error(diff)
	}
}

// Checks that each reply maps to the outcome that the protocol defines, and that a connection is reused after a valid
// reply.
func TestCallsAndReplies(t *testing.T) {
	backend := scenario.Listen(t)
	c := newTestClient(t, backend.Addr, 8)
	c.make("a", 250*time.Millisecond, false, []byte("x\r\ny"))
	peer := backend.Accept()
	for _, line := range []string{`^GET a 250 4$`, `^x$`, `^y$`} {
		peer.Expect(line)
	}
	peer.Send("a HIT 4\r\n1\r\n2\r\n")
	c.expect("a", control.OK, []byte("1\r\n2"))
	for _, tc := range []struct {
		handle, reply string
		how           control.Outcome
		body          []byte
	}{{"b", "HIT 0\r\n", control.OK, []byte{}}, {"c", "SHED", control.Rejected, nil}, {"d", "BROKEN", control.Errored, nil},
		{"e", "SLOW", control.TimedOut, nil}, {"f", "NOBODY", control.NotStarted, nil}} {
		c.make(tc.handle, time.Microsecond, false, nil)
		peer.Expect("^GET " + tc.handle + " 1 0$")
		peer.Send(tc.handle, " ", tc.reply, "\r\n")
		c.expect(tc.handle, tc.how, tc.body)
	}
	c.call("g", false)
	peer.Expect(`^GET g`)
	c.Abandon("g")
	peer.Expect(`^STOP g$`)
	if rest := peer.Rest(); rest != "" { // no later call is sent on it, because the reply may still arrive
		t.Errorf("read %q", rest)
	}
}

// Checks that a malformed reply ends only the call it belongs to, that an unexpected reply ends none, and that a
// duplicate is never taken for the reply to a later call of the same request.
func TestMalformedReplies(t *testing.T) {
	for _, malformed := range []string{"\x00\xff\r\n", "a WHAT\r\n", "a HIT 3000000000\r\nxxxx", "a HIT -1\r\n", "a HIT 1\r\nxyz\r\n", string(make([]byte, 4096))} {
		backend := scenario.Listen(t)
		c := newTestClient(t, backend.Addr, 8)
		c.call("a", false)
		peer := backend.Accept()
		c.call("b", false)
		peer2 := backend.Accept()
		peer.Expect(`^GET a`)
		peer2.Expect(`^GET b`)
		peer.Send(malformed)
		c.expect("a", control.Interrupted, nil)
		peer2.Send("zz HIT 2\r\nno\r\nb HIT 1\r\n1\r\nb HIT 1\r\n1\r\n")
		c.expect("b", control.OK, []byte("1"))
		c.call("b", false)
		peer3 := backend.Accept()
		peer3.Expect(`^GET b`)
		peer3.Send("b HIT 1\r\n2\r\n")
		c.expect("b", control.OK, []byte("2"))
		if len(c.events) > 0 {
			t.Errorf("unexpected further event %v", <-c.events)
		}
	}
}

// Checks that a repeatable call survives an idle connection that the index had closed, and that a call which must not
// be sent twice never uses an idle connection, whose reset would not show whether it ran.
func TestIdleConnectionClosedByIndex(t *testing.T) {
	backend := scenario.Listen(t)
	c := newTestClient(t, backend.Addr, 8)
	warm := func(handle string) *scenario.Peer {
		c.call(handle, false)
		peer := backend.Accept()
		peer.Expect(`^GET ` + handle)
		peer.Send(handle, " SHED\r\n")
		c.expect(handle, control.Rejected, nil)
		return peer
	}
	peer := warm("a")
	c.call("b", false)
	peer.Expect(`^GET b`)
	peer.Close()
	peer = backend.Accept()
	peer.Expect(`^GET b`)
	peer.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	c.call("c", true)
	peer = backend.Accept()
	peer.Expect(`^GET c`)
	peer.Close()
	c.expect("c", control.Interrupted, nil)
}

// Checks that a call beyond the connection limit waits for a free connection and can be abandoned while it waits.
func TestConnectionLimit(t *testing.T) {
	backend := scenario.Listen(t)
	c := newTestClient(t, backend.Addr, 1)
	c.call("a", false)
	peer := backend.Accept()
	c.call("b", false)
	c.call("c", false)
	c.Abandon("b")
	peer.Expect(`^GET a`)
	peer.Send("a SHED\r\n")
	c.expect("a", control.Rejected, nil)
	peer.Expect(`^GET c`)
	peer.Send("c SHED\r\n")
	c.expect("c", control.Rejected, nil)
	c.call("d", true) // the idle connection is closed to make room
	backend.Accept().Expect(`^GET d`)
}

// Checks that new calls go to the new address after a move, while an in-flight call completes at the old one.
func TestMove(t *testing.T) {
	old, backend := scenario.Listen(t), scenario.Listen(t)
	c := newTestClient(t, old.Addr, 8)
	c.call("a", false)
	peer := old.Accept()
	peer.Expect(`^GET a`) // the call was sent
	c.Move(backend.Addr)
	c.call("b", false)
	peer2 := backend.Accept()
	peer2.Expect(`^GET b`)
	peer.Send("a SHED\r\n")
	c.expect("a", control.Rejected, nil)
	if rest := peer.Rest(); rest != "\r\n" { // the line end after the call's empty body
		t.Errorf("read %q", rest)
	}
}

// Checks that a refused connection is reported as Unreachable, which proves that the call did not run.
func TestRefusedConnection(t *testing.T) {
	backend := scenario.Listen(t)
	backend.Close()
	c := newTestClient(t, backend.Addr, 8)
	c.call("a", false)
	c.expect("a", control.Unreachable, nil)
}
