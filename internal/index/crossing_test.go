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

// Pairs of events that cross, each in an order that the test forces.

type crossing struct {
	*Client
	t      *testing.T
	stand  *scenario.Stand
	events chan core.Event
	number sync.Mutex        // of made and newest
	made   uint64            // calls
	newest map[string]uint64 // number of the newest call of each handle
}

func cross(t *testing.T, limit int) *crossing {
	stand, events := scenario.Listen(t), make(chan core.Event, 64)
	return &crossing{Client: New(stand.Addr, limit, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler)), t: t, stand: stand, events: events,
		newest: map[string]uint64{}}
}

func (c *crossing) call(handle string, once bool) {
	c.Call(handle, c.next(handle), "quote", 0, time.Second, once, nil)
}

// next gives a new call its number.
func (c *crossing) next(handle string) uint64 {
	c.number.Lock()
	defer c.number.Unlock()
	c.made++
	c.newest[handle] = c.made
	return c.made
}

func (c *crossing) expect(handle string, how control.Outcome, body []byte) {
	c.t.Helper()
	c.number.Lock()
	number := c.newest[handle]
	c.number.Unlock()
	if diff := cmp.Diff(core.Event(core.CallEnded{Handle: handle, Number: number, Outcome: how, Body: body}), wait(c.t, c.events)); diff != "" {
		c.t.Error(diff)
	}
}

// wait takes what comes next.
func wait[T any](t *testing.T, from <-chan T) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing comes")
	}
	return x
}

// none is for the end of a test: all that was told has been expected.
func (c *crossing) none() {
	c.t.Helper()
	if len(c.events) > 0 {
		c.t.Errorf("a further %v", <-c.events)
	}
}

// holdDials has each dial wait before its connection is made: held tells of one, which goes on at a receive from goOn.
func (c *crossing) holdDials() (held, goOn chan bool) {
	held, goOn = make(chan bool), make(chan bool)
	c.dial.Control = func(string, string, syscall.RawConn) error {
		held <- true
		goOn <- true
		return nil
	}
	return held, goOn
}

// locked runs f in one piece for all that the client does.
func (c *crossing) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// warm leaves one connection idle.
func (c *crossing) warm(handle string) *scenario.Peer {
	c.t.Helper()
	c.call(handle, false)
	p := c.stand.Accept()
	p.Expect(`^GET ` + handle + ` `)
	p.Send(handle, " SHED\r\n")
	c.expect(handle, control.Rejected, nil)
	return p
}

// A dial crosses a move: whether the old address takes it or refuses it, nothing was sent, and the call is made
// at the new one. A move back is as if there had been none.
func TestADialCrossesAMove(t *testing.T) {
	for _, once := range []bool{false, true} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("once %v refused %v", once, refused), func(t *testing.T) {
				c, next := cross(t, 1), scenario.Listen(t)
				held, goOn := c.holdDials()
				c.call("a", once)
				wait(t, held)
				if refused {
					c.stand.Close()
				}
				c.Move(next.Addr)
				wait(t, goOn)
				if !refused {
					if rest := c.stand.Accept().Rest(); rest != "" {
						t.Errorf("the old address read %q", rest)
					}
				}
				wait(t, held)
				wait(t, goOn)
				p := next.Accept()
				p.Expect(`^GET a `)
				p.Send("a SHED\r\n")
				c.expect("a", control.Rejected, nil)
				c.none()
			})
		}
	}
	t.Run("back", func(t *testing.T) {
		c := cross(t, 1)
		held, goOn := c.holdDials()
		c.call("a", true)
		wait(t, held)
		c.Move("127.0.0.1:1")
		c.Move(c.stand.Addr)
		wait(t, goOn)
		c.stand.Accept().Expect(`^GET a `)
	})
}

// A move finds calls in the queue: one in hand ends where it is, the others are made at the new address.
func TestAMoveFindsCallsInTheQueue(t *testing.T) {
	c, next := cross(t, 1), scenario.Listen(t)
	c.call("a", false)
	p := c.stand.Accept()
	p.Expect(`^GET a `)
	c.call("b", false)
	c.call("c", true)
	c.Move(next.Addr)
	p.Send("a SHED\r\n")
	c.expect("a", control.Rejected, nil)
	for _, h := range []string{"b", "c"} {
		q := next.Accept()
		q.Expect(`^GET ` + h + ` `)
		q.Send(h, " SHED\r\n")
		c.expect(h, control.Rejected, nil)
	}
	if rest := p.Rest(); rest != "\r\n" { // the end of the call's empty body
		t.Errorf("the old address read %q", rest)
	}
}

// A call is given up while its connection is made: it is never sent. The connection serves the next call, and
// its place counts once.
func TestADialOutlastsItsCall(t *testing.T) {
	c := cross(t, 1)
	held, goOn := c.holdDials()
	c.call("a", false)
	wait(t, held)
	c.Abandon("a")
	c.call("a", false) // made again, it waits for room
	c.call("b", false)
	c.Abandon("a")
	wait(t, goOn)
	p := c.stand.Accept()
	p.Bytes("GET b 1000 0\r\n\r\n")
	p.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	c.dial.Control = nil
	c.call("c", true) // the place of p is given to a new connection
	q := c.stand.Accept()
	q.Expect(`^GET c `)
	q.Close()
	c.expect("c", control.Broken, nil)
	if rest := p.Rest(); rest != "" {
		t.Errorf("read %q", rest)
	}
	c.none()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) { // c's end is told after its place is given back
		c.mu.Lock()
		open := c.open
		c.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d places are taken", open)
		}
	}
}

// A reply comes while its call is given up and made anew for the same handle: it is never taken for the new call's.
func TestAReplyCrossesAFurtherCall(t *testing.T) {
	c := cross(t, 2)
	c.call("a", false)
	p := c.stand.Accept()
	p.Expect(`^GET a `)
	c.locked(func() {
		p.Send("a HIT 3\r\nold\r\n")
		c.giveUp("a")
		x := &call{handle: "a", number: c.next("a"), line: []byte("GET a 1000 0\r\n\r\n")}
		c.calls["a"] = x
		c.place(x)
	})
	q := c.stand.Accept()
	q.Expect(`^GET a `)
	p.Expect(`^STOP a$`)
	q.Send("a HIT 3\r\nnew\r\n")
	c.expect("a", control.OK, []byte("new"))
	c.none()
}

// hook is a log that has a test do something at the moment of a line.
type hook struct {
	slog.Handler
	at func()
}

func (h hook) Handle(context.Context, slog.Record) error { h.at(); return nil }
func (h hook) Enabled(context.Context, slog.Level) bool  { return true }

// A call is made at the moment in which the connection that stands idle for it is found to have ended: it has an end
// of its own, and does not go down with the connection unheard.
func TestACallCrossesTheEndOfAnIdleConnection(t *testing.T) {
	c := cross(t, 1)
	p := c.warm("a")
	var once sync.Once
	c.log = slog.New(hook{slog.DiscardHandler, func() { once.Do(func() { c.call("b", false) }) }})
	p.Send("nonsense\r\n")
	q := c.stand.Accept()
	q.Expect(`^GET b `)
	q.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	c.none()
}

// A call finds an idle connection whose writing has failed: it never left, so it is made on another one, however long
// the end of the dead one takes to be seen.
func TestACallFindsADeadConnection(t *testing.T) {
	c := cross(t, 2)
	p := c.warm("a")
	c.locked(func() {
		c.idle[0].outbound.Kill()
		x := &call{handle: "b", number: c.next("b"), line: []byte("GET b 1000 0\r\n\r\n")}
		c.calls["b"] = x
		c.place(x)
		x.sent = x.sent.Add(-time.Hour)
	})
	q := c.stand.Accept()
	q.Expect(`^GET b `)
	q.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	if rest := p.Rest(); strings.Contains(rest, "GET b") {
		t.Errorf("the dead one read %q", rest)
	}
}

// The place of a connection is given to the next only after its descriptor is closed.
func TestAPlaceIsGivenBackAfterTheConnectionIsClosed(t *testing.T) {
	c := cross(t, 1)
	goOn := make(chan bool)
	c.sink = func(e core.Event) { c.events <- e; <-goOn }
	c.call("a", false)
	p := c.stand.Accept()
	p.Expect(`^GET a `)
	p.Send("nonsense\r\n")
	c.expect("a", control.Broken, nil)
	defer close(goOn)
	if rest := p.Rest(); rest != "\r\n" { // it ends while the end of its call is being told
		t.Errorf("read %q", rest)
	}
}

// All connections end in one moment with calls in the queue of both kinds: each call ends once, none is left behind,
// and no more connections are open than may be.
func TestConnectionsEndTogetherWithCallsInTheQueue(t *testing.T) {
	const limit, calls = 3, 12
	c := cross(t, limit)
	for i := range calls {
		c.call(fmt.Sprint("h", i), i%2 == 1)
	}
	var first []*scenario.Peer
	for range limit {
		p := c.stand.Accept()
		p.Expect(`^GET h\d+ `)
		first = append(first, p)
	}
	for _, p := range first {
		p.Close()
	}
	seen := map[string]int{}
	go func() { // those made after serve all that comes
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
		e := wait(t, c.events).(core.CallEnded)
		seen[e.Handle]++
	}
	for i := range calls {
		if h := fmt.Sprint("h", i); seen[h] != 1 {
			t.Errorf("%s ended %d times", h, seen[h])
		}
	}
	c.none()
}

// The time by which a forgotten connection is told from a broken one has passed unseen, as in a process that stood
// still: a call that may be repeated ends as broken, for whoever made it to repeat; within the time it is made a second
// time and no third. One that must be made once is sent once at any time, as no connection of before serves it.
func TestTheTimeOfAForgottenConnection(t *testing.T) {
	for _, x := range []struct {
		name       string
		once, late bool
		sent       int
	}{{"in time", false, false, 2}, {"stood still", false, true, 1}, {"once, in time", true, false, 1}, {"once, stood still", true, true, 1}} {
		t.Run(x.name, func(t *testing.T) {
			c := cross(t, 2)
			p := c.warm("a")
			c.call("b", x.once)
			if x.once {
				p = c.stand.Accept()
			}
			p.Expect(`^GET b `)
			c.locked(func() {
				if b := c.calls["b"]; x.late {
					b.sent = b.sent.Add(-time.Hour)
				} else {
					b.sent = b.sent.Add(time.Hour) // however slow this machine is
				}
			})
			p.Close()
			for range x.sent - 1 {
				p = c.stand.Accept()
				p.Expect(`^GET b `)
				p.Close()
			}
			c.expect("b", control.Broken, nil)
			c.call("z", true) // no other connection came before it
			c.stand.Accept().Bytes("GET z ")
			c.none()
		})
	}
}

// However an answer breaks off, its call ends as broken, once, and only its own; one that comes whole counts however it
// comes; one that never comes is left to whoever gives the call up.
func TestAnswersThatBreakOff(t *testing.T) {
	for name, x := range map[string]struct {
		send []string // each a write of its own
		end  bool     // the index closes after it
		how  control.Outcome
		body []byte
	}{
		"nothing, and the end":  {nil, true, control.Broken, nil},
		"in the head":           {[]string{"a HI"}, true, control.Broken, nil},
		"after the head":        {[]string{"a HIT 4\r\n"}, true, control.Broken, nil},
		"in the body":           {[]string{"a HIT 4\r\nta"}, true, control.Broken, nil},
		"before the line end":   {[]string{"a HIT 4\r\ntaxi"}, true, control.Broken, nil},
		"in the line end":       {[]string{"a HIT 4\r\ntaxi\r"}, true, control.Broken, nil},
		"whole, and the end":    {[]string{"a HIT 4\r\ntaxi\r\n"}, true, control.OK, []byte("taxi")},
		"a byte at a time":      {strings.Split("a HIT 4\r\ntaxi\r\n", ""), false, control.OK, []byte("taxi")},
		"twice":                 {[]string{"a HIT 4\r\ntaxi\r\na HIT 4\r\nlate\r\n"}, false, control.OK, []byte("taxi")},
		"another's, and its":    {[]string{"b HIT 4\r\nlate\r\na HIT 4\r\ntaxi\r\n"}, false, control.OK, []byte("taxi")},
		"another's, no more":    {[]string{"b HIT 4\r\nlate\r\n"}, true, control.Broken, nil},
		"no line":               {[]string{strings.Repeat("x", 10_000)}, false, control.Broken, nil},
		"a longer body":         {[]string{"a HIT 4\r\ntaxis\r\n"}, false, control.Broken, nil},
		"too long a body":       {[]string{fmt.Sprintf("a HIT %d\r\n", maxReply+1)}, false, control.Broken, nil},
		"shed, and more of it":  {[]string{"a SHED\r\ntaxi\r\n"}, false, control.Rejected, nil},
		"a word of no protocol": {[]string{"a LATER\r\n"}, false, control.Broken, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := cross(t, 2)
			c.call("a", true)
			p := c.stand.Accept()
			p.Expect(`^GET a `)
			c.call("other", false)
			q := c.stand.Accept()
			q.Expect(`^GET other `)
			for _, s := range x.send {
				p.Send(s)
			}
			if x.end {
				p.Close()
			}
			c.expect("a", x.how, x.body)
			c.call("a", false) // what is still to come of the first answer is not its
			r := c.stand.Accept()
			r.Expect(`^GET a `)
			r.Send("a HIT 3\r\nnew\r\n")
			c.expect("a", control.OK, []byte("new"))
			q.Send("other SHED\r\n")
			c.expect("other", control.Rejected, nil)
			c.none()
		})
	}
	t.Run("never", func(t *testing.T) {
		c := cross(t, 1)
		c.call("a", false)
		p := c.stand.Accept()
		p.Expect(`^GET a `)
		c.call("b", false)
		c.Abandon("a")
		q := c.stand.Accept()
		q.Expect(`^GET b `)
		p.Bytes("\r\nSTOP a\r\n")
		if rest := p.Rest(); rest != "" {
			t.Errorf("read %q", rest)
		}
		q.Send("b SHED\r\n")
		c.expect("b", control.Rejected, nil)
		c.none()
	})
}

// The end of a call stands before the core's loop, full as it is, while the same request's next call is made and ends: each
// end names the call that its connection carried, by which the core tells them apart.
func TestAnEndNamesTheCallOfItsConnection(t *testing.T) {
	c, told := cross(t, 4), make(chan core.Event) // an end is told once it is taken
	c.sink = func(e core.Event) { told <- e }
	for i, reply := range []string{"a HIT 1\r\n1\r\n", "a HIT 1\r\n2\r\n", "a SHED\r\n", ""} {
		c.Call("a", uint64(i+1), "quote", 0, time.Second, true, nil)
		p := c.stand.Accept()
		p.Expect(`^GET a `)
		if p.Send(reply); reply == "" {
			p.Close()
		}
		for end, open := time.Now().Add(10*time.Second), true; open; time.Sleep(time.Millisecond) {
			if c.locked(func() { open = len(c.Client.calls) > 0 }); time.Now().After(end) {
				t.Fatalf("call %d does not end", i+1)
			}
		}
	}
	got := map[uint64]core.Event{}
	for range 4 {
		e := wait(t, told).(core.CallEnded)
		got[e.Number] = e
	}
	if diff := cmp.Diff(map[uint64]core.Event{
		1: core.CallEnded{Handle: "a", Number: 1, Outcome: control.OK, Body: []byte("1")},
		2: core.CallEnded{Handle: "a", Number: 2, Outcome: control.OK, Body: []byte("2")},
		3: core.CallEnded{Handle: "a", Number: 3, Outcome: control.Rejected},
		4: core.CallEnded{Handle: "a", Number: 4, Outcome: control.Broken},
	}, got); diff != "" {
		t.Error(diff)
	}
}
