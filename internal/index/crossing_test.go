package index

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// The tests in this file make two events overlap in an order that the test forces.

type raceTest struct {
	*Client
	t        *testing.T
	stand    *scenario.Stand
	events   chan core.Event
	numberMu sync.Mutex        // protects made and newest
	made     uint64            // number of calls made
	newest   map[string]uint64 // number of the newest call of each handle
}

func newRaceTest(t *testing.T, limit int) *raceTest {
	stand, events := scenario.Listen(t), make(chan core.Event, 64)
	return &raceTest{Client: New(stand.Addr, limit, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler)), t: t, stand: stand, events: events,
		newest: map[string]uint64{}}
}

func (c *raceTest) call(handle string, once bool) {
	c.Call(handle, c.nextNumber(handle), "quote", 0, time.Second, once, nil)
}

// nextNumber returns the number for a new call.
func (c *raceTest) nextNumber(handle string) uint64 {
	c.numberMu.Lock()
	defer c.numberMu.Unlock()
	c.made++
	c.newest[handle] = c.made
	return c.made
}

func (c *raceTest) expect(handle string, outcome control.Outcome, body []byte) {
	c.t.Helper()
	c.numberMu.Lock()
	number := c.newest[handle]
	c.numberMu.Unlock()
	if diff := cmp.Diff(core.Event(core.CallEnded{Handle: handle, Number: number, Outcome: outcome, Body: body}), receive(c.t, c.events)); diff != "" {
		c.t.Error(diff)
	}
}

// receive receives the next value and fails the test if none arrives.
func receive[T any](t *testing.T, from <-chan T) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("no value arrives")
	}
	return x
}

// expectNoMore checks at the end of a test that no event is left unexpected.
func (c *raceTest) expectNoMore() {
	c.t.Helper()
	if len(c.events) > 0 {
		c.t.Errorf("unexpected further event %v", <-c.events)
	}
}

// holdDials makes each dial wait before it connects: held receives a value for each such dial, which proceeds after a
// receive from goOn.
func (c *raceTest) holdDials() (held, goOn chan bool) {
	held, goOn = make(chan bool), make(chan bool)
	c.dialer.Control = func(string, string, syscall.RawConn) error {
		held <- true
		goOn <- true
		return nil
	}
	return held, goOn
}

// locked runs f with the client's mutex held.
func (c *raceTest) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// warm leaves one idle connection.
func (c *raceTest) warm(handle string) *scenario.Peer {
	c.t.Helper()
	c.call(handle, false)
	peer := c.stand.Accept()
	peer.Expect(`^GET ` + handle + ` `)
	peer.Send(handle, " SHED\r\n")
	c.expect(handle, control.Rejected, nil)
	return peer
}

// Checks a move during a dial: whether the old address accepts or refuses, nothing is sent to it and the call is made
// at the new address. Moving back before the dial ends has no effect.
func TestMoveDuringDial(t *testing.T) {
	for _, once := range []bool{false, true} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("once %v refused %v", once, refused), func(t *testing.T) {
				c, next := newRaceTest(t, 1), scenario.Listen(t)
				held, goOn := c.holdDials()
				c.call("a", once)
				receive(t, held)
				if refused {
					c.stand.Close()
				}
				c.Move(next.Addr)
				receive(t, goOn)
				if !refused {
					if rest := c.stand.Accept().Rest(); rest != "" {
						t.Errorf("the old address read %q", rest)
					}
				}
				receive(t, held)
				receive(t, goOn)
				peer := next.Accept()
				peer.Expect(`^GET a `)
				peer.Send("a SHED\r\n")
				c.expect("a", control.Rejected, nil)
				c.expectNoMore()
			})
		}
	}
	t.Run("back", func(t *testing.T) {
		c := newRaceTest(t, 1)
		held, goOn := c.holdDials()
		c.call("a", true)
		receive(t, held)
		c.Move("127.0.0.1:1")
		c.Move(c.stand.Addr)
		receive(t, goOn)
		c.stand.Accept().Expect(`^GET a `)
	})
}

// Checks a move while calls wait in the queue: the in-flight call completes at the old address, the waiting ones are
// made at the new one.
func TestMoveWithWaitingCalls(t *testing.T) {
	c, next := newRaceTest(t, 1), scenario.Listen(t)
	c.call("a", false)
	peer := c.stand.Accept()
	peer.Expect(`^GET a `)
	c.call("b", false)
	c.call("c", true)
	c.Move(next.Addr)
	peer.Send("a SHED\r\n")
	c.expect("a", control.Rejected, nil)
	for _, h := range []string{"b", "c"} {
		peer2 := next.Accept()
		peer2.Expect(`^GET ` + h + ` `)
		peer2.Send(h, " SHED\r\n")
		c.expect(h, control.Rejected, nil)
	}
	if rest := peer.Rest(); rest != "\r\n" { // the line end after the call's empty body
		t.Errorf("the old address read %q", rest)
	}
}

// Checks that a call abandoned during its dial is never sent, that the connection serves the next call, and that it
// occupies one slot only.
func TestAbandonDuringDial(t *testing.T) {
	c := newRaceTest(t, 1)
	held, goOn := c.holdDials()
	c.call("a", false)
	receive(t, held)
	c.Abandon("a")
	c.call("a", false) // made again, it waits for a connection
	c.call("b", false)
	c.Abandon("a")
	receive(t, goOn)
	peer := c.stand.Accept()
	peer.Bytes("GET b 1000 0\r\n\r\n")
	peer.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	c.dialer.Control = nil
	c.call("c", true) // the slot of p is given to a new connection
	peer2 := c.stand.Accept()
	peer2.Expect(`^GET c `)
	peer2.Close()
	c.expect("c", control.Interrupted, nil)
	if rest := peer.Rest(); rest != "" {
		t.Errorf("read %q", rest)
	}
	c.expectNoMore()
	// The outcome of c is reported after its slot is released.
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		open := c.openConns
		c.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d slots are still in use", open)
		}
	}
}

// Checks that a reply which arrives while its call is abandoned and made again for the same handle is never taken for
// the new call's reply.
func TestReplyDuringNewCallOfSameHandle(t *testing.T) {
	c := newRaceTest(t, 2)
	c.call("a", false)
	peer := c.stand.Accept()
	peer.Expect(`^GET a `)
	c.locked(func() {
		peer.Send("a HIT 3\r\nold\r\n")
		c.abandon("a")
		x := &pendingCall{handle: "a", number: c.nextNumber("a"), line: []byte("GET a 1000 0\r\n\r\n")}
		c.inFlight["a"] = x
		c.assign(x)
	})
	peer2 := c.stand.Accept()
	peer2.Expect(`^GET a `)
	peer.Expect(`^STOP a$`)
	peer2.Send("a HIT 3\r\nnew\r\n")
	c.expect("a", control.OK, []byte("new"))
	c.expectNoMore()
}

// logHook is a log handler that runs a function when a line is logged.
type logHook struct {
	slog.Handler
	at func()
}

func (h logHook) Handle(context.Context, slog.Record) error { h.at(); return nil }
func (h logHook) Enabled(context.Context, slog.Level) bool  { return true }

// Checks a call made just when the idle connection it would use is found to have ended: the call still completes and
// is not lost with the connection.
func TestCallWhileIdleConnectionEnds(t *testing.T) {
	c := newRaceTest(t, 1)
	peer := c.warm("a")
	var once sync.Once
	c.log = slog.New(logHook{slog.DiscardHandler, func() { once.Do(func() { c.call("b", false) }) }})
	peer.Send("nonsense\r\n")
	peer2 := c.stand.Accept()
	peer2.Expect(`^GET b `)
	peer2.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	c.expectNoMore()
}

// Checks that a call which finds an idle connection already closed for writing is made on another connection, however
// late the end of the closed one is noticed.
func TestCallOnClosedIdleConnection(t *testing.T) {
	c := newRaceTest(t, 2)
	peer := c.warm("a")
	c.locked(func() {
		c.idleConns[0].outbound.Kill()
		x := &pendingCall{handle: "b", number: c.nextNumber("b"), line: []byte("GET b 1000 0\r\n\r\n")}
		c.inFlight["b"] = x
		c.assign(x)
		x.sent = x.sent.Add(-time.Hour)
	})
	peer2 := c.stand.Accept()
	peer2.Expect(`^GET b `)
	peer2.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	if rest := peer.Rest(); strings.Contains(rest, "GET b") {
		t.Errorf("the closed connection read %q", rest)
	}
}

// Checks that the slot of a connection is released only after its descriptor is closed.
func TestSlotReleasedAfterConnectionIsClosed(t *testing.T) {
	c := newRaceTest(t, 1)
	goOn := make(chan bool)
	c.sink = func(e core.Event) { c.events <- e; <-goOn }
	c.call("a", false)
	peer := c.stand.Accept()
	peer.Expect(`^GET a `)
	peer.Send("nonsense\r\n")
	c.expect("a", control.Interrupted, nil)
	defer close(goOn)
	if rest := peer.Rest(); rest != "\r\n" { // the connection ends while the call's outcome is being reported
		t.Errorf("read %q", rest)
	}
}

// Checks the simultaneous end of all connections while calls of both kinds are waiting: each call ends exactly once,
// none is left behind, and the connection limit is kept.
func TestAllConnectionsEndWithWaitingCalls(t *testing.T) {
	const limit, calls = 3, 12
	c := newRaceTest(t, limit)
	for i := range calls {
		c.call(fmt.Sprint("h", i), i%2 == 1)
	}
	var first []*scenario.Peer
	for range limit {
		peer := c.stand.Accept()
		peer.Expect(`^GET h\d+ `)
		first = append(first, peer)
	}
	for _, peer := range first {
		peer.Close()
	}
	seen := map[string]int{}
	go func() { // connections made afterwards answer every call
		for {
			conn, err := c.stand.Listener().Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewScanner(conn); in.Scan(); {
					if f := strings.Fields(in.Text()); len(f) == 4 && f[0] == "GET" {
						fmt.Fprintf(conn, "%s SHED\r\n", f[1])
					}
				}
			}()
		}
	}()
	for range calls {
		e := receive(t, c.events).(core.CallEnded)
		seen[e.Handle]++
	}
	for i := range calls {
		if h := fmt.Sprint("h", i); seen[h] != 1 {
			t.Errorf("%s ended %d times", h, seen[h])
		}
	}
	c.expectNoMore()
}

// Checks the time limit that tells a connection closed while idle from one broken during a call. If the limit has
// passed unnoticed, as after the process was stopped, a repeatable call ends as Broken and its caller may repeat it;
// within the limit it is sent a second time, but not a third. A call that must be sent once never uses an existing
// connection, so it is sent once in both cases.
func TestIdleResetWindow(t *testing.T) {
	for _, x := range []struct {
		name       string
		once, late bool
		sent       int
	}{{"within the limit", false, false, 2}, {"past the limit", false, true, 1}, {"once, within the limit", true, false, 1}, {"once, past the limit", true, true, 1}} {
		t.Run(x.name, func(t *testing.T) {
			c := newRaceTest(t, 2)
			peer := c.warm("a")
			c.call("b", x.once)
			if x.once {
				peer = c.stand.Accept()
			}
			peer.Expect(`^GET b `)
			c.locked(func() {
				if b := c.inFlight["b"]; x.late {
					b.sent = b.sent.Add(-time.Hour)
				} else {
					b.sent = b.sent.Add(time.Hour) // independent of the speed of the machine
				}
			})
			peer.Close()
			for range x.sent - 1 {
				peer = c.stand.Accept()
				peer.Expect(`^GET b `)
				peer.Close()
			}
			c.expect("b", control.Interrupted, nil)
			c.call("z", true) // no other connection was opened before it
			c.stand.Accept().Bytes("GET z ")
			c.expectNoMore()
		})
	}
}

// Checks that a call whose reply breaks off ends exactly once as Broken without affecting other calls, that a
// complete reply counts however it is split, and that a call without a reply is left to whoever abandons it.
func TestIncompleteReplies(t *testing.T) {
	for name, x := range map[string]struct {
		send []string // each sent in a separate write
		end  bool     // the index closes the connection afterwards
		how  control.Outcome
		body []byte
	}{
		"no reply, then closed":              {nil, true, control.Interrupted, nil},
		"in the head":                        {[]string{"a HI"}, true, control.Interrupted, nil},
		"after the head":                     {[]string{"a HIT 4\r\n"}, true, control.Interrupted, nil},
		"in the body":                        {[]string{"a HIT 4\r\nta"}, true, control.Interrupted, nil},
		"before the line end":                {[]string{"a HIT 4\r\ntaxi"}, true, control.Interrupted, nil},
		"in the line end":                    {[]string{"a HIT 4\r\ntaxi\r"}, true, control.Interrupted, nil},
		"complete, then closed":              {[]string{"a HIT 4\r\ntaxi\r\n"}, true, control.OK, []byte("taxi")},
		"a byte at a time":                   {strings.Split("a HIT 4\r\ntaxi\r\n", ""), false, control.OK, []byte("taxi")},
		"duplicate reply":                    {[]string{"a HIT 4\r\ntaxi\r\na HIT 4\r\nlate\r\n"}, false, control.OK, []byte("taxi")},
		"another call's reply, then its own": {[]string{"b HIT 4\r\nlate\r\na HIT 4\r\ntaxi\r\n"}, false, control.OK, []byte("taxi")},
		"another call's reply only":          {[]string{"b HIT 4\r\nlate\r\n"}, true, control.Interrupted, nil},
		"line too long":                      {[]string{strings.Repeat("x", 10_000)}, false, control.Interrupted, nil},
		"a longer body":                      {[]string{"a HIT 4\r\ntaxis\r\n"}, false, control.Interrupted, nil},
		"too long a body":                    {[]string{fmt.Sprintf("a HIT %d\r\n", maxReplyBytes+1)}, false, control.Interrupted, nil},
		"shed, then extra bytes":             {[]string{"a SHED\r\ntaxi\r\n"}, false, control.Rejected, nil},
		"unknown word":                       {[]string{"a LATER\r\n"}, false, control.Interrupted, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := newRaceTest(t, 2)
			c.call("a", true)
			peer := c.stand.Accept()
			peer.Expect(`^GET a `)
			c.call("other", false)
			peer2 := c.stand.Accept()
			peer2.Expect(`^GET other `)
			for _, s := range x.send {
				peer.Send(s)
			}
			if x.end {
				peer.Close()
			}
			c.expect("a", x.how, x.body)
			c.call("a", false) // the rest of the first reply does not belong to it
			peer3 := c.stand.Accept()
			peer3.Expect(`^GET a `)
			peer3.Send("a HIT 3\r\nnew\r\n")
			c.expect("a", control.OK, []byte("new"))
			peer2.Send("other SHED\r\n")
			c.expect("other", control.Rejected, nil)
			c.expectNoMore()
		})
	}
	t.Run("no reply", func(t *testing.T) {
		c := newRaceTest(t, 1)
		c.call("a", false)
		peer := c.stand.Accept()
		peer.Expect(`^GET a `)
		c.call("b", false)
		c.Abandon("a")
		peer2 := c.stand.Accept()
		peer2.Expect(`^GET b `)
		peer.Bytes("\r\nSTOP a\r\n")
		if rest := peer.Rest(); rest != "" {
			t.Errorf("read %q", rest)
		}
		peer2.Send("b SHED\r\n")
		c.expect("b", control.Rejected, nil)
		c.expectNoMore()
	})
}

// Checks the outcomes of several calls of one request that wait for a busy core loop: each names the number of the
// call that its connection carried, by which the core tells them apart.
func TestOutcomeNamesTheCallOfItsConnection(t *testing.T) {
	c, reported := newRaceTest(t, 4), make(chan core.Event) // unbuffered: an outcome is reported once received
	c.sink = func(e core.Event) { reported <- e }
	for i, reply := range []string{"a HIT 1\r\n1\r\n", "a HIT 1\r\n2\r\n", "a SHED\r\n", ""} {
		c.Call("a", uint64(i+1), "quote", 0, time.Second, true, nil)
		peer := c.stand.Accept()
		peer.Expect(`^GET a `)
		if peer.Send(reply); reply == "" {
			peer.Close()
		}
		for end, open := time.Now().Add(10*time.Second), true; open; time.Sleep(time.Millisecond) {
			if c.locked(func() { open = len(c.Client.inFlight) > 0 }); time.Now().After(end) {
				t.Fatalf("call %d does not end", i+1)
			}
		}
	}
	got := map[uint64]core.Event{}
	for range 4 {
		e := receive(t, reported).(core.CallEnded)
		got[e.Number] = e
	}
	if diff := cmp.Diff(map[uint64]core.Event{
		1: core.CallEnded{Handle: "a", Number: 1, Outcome: control.OK, Body: []byte("1")},
		2: core.CallEnded{Handle: "a", Number: 2, Outcome: control.OK, Body: []byte("2")},
		3: core.CallEnded{Handle: "a", Number: 3, Outcome: control.Rejected},
		4: core.CallEnded{Handle: "a", Number: 4, Outcome: control.Interrupted},
	}, got); diff != "" {
		t.Error(diff)
	}
}
