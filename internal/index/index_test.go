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

type bench struct {
	*index.Client
	t      *testing.T
	events chan core.Event
	calls  uint64
	newest map[string]uint64 // number of the newest call of each handle
}

func client(t *testing.T, addr string, limit int) *bench {
	events := make(chan core.Event, 16)
	return &bench{index.New(addr, limit, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler)), t, events, 0, map[string]uint64{}}
}

func (b *bench) call(handle string, once bool) { b.make(handle, time.Second, once, nil) }

func (b *bench) make(handle string, patience time.Duration, once bool, body []byte) {
	b.calls++
	b.newest[handle] = b.calls
	b.Call(handle, b.calls, "quote", 0, patience, once, body)
}

func (b *bench) expect(handle string, how control.Outcome, body []byte) {
	b.t.Helper()
	if diff := cmp.Diff(core.Event(core.CallEnded{Handle: handle, Number: b.newest[handle], Outcome: how, Body: body}), <-b.events); diff != "" {
		b.t.Error(diff)
	}
}

// Each reply means what the protocol says, and a connection is used again after a good one.
func TestCallsAndReplies(t *testing.T) {
	stand := scenario.Listen(t)
	c := client(t, stand.Addr, 8)
	c.make("a", 250*time.Millisecond, false, []byte("x\r\ny"))
	p := stand.Accept()
	for _, line := range []string{`^GET a 250 4$`, `^x$`, `^y$`} {
		p.Expect(line)
	}
	p.Send("a HIT 4\r\n1\r\n2\r\n")
	c.expect("a", control.OK, []byte("1\r\n2"))
	for _, x := range []struct {
		handle, reply string
		how           control.Outcome
		body          []byte
	}{{"b", "HIT 0\r\n", control.OK, []byte{}}, {"c", "SHED", control.Rejected, nil}, {"d", "BROKEN", control.Errored, nil},
		{"e", "SLOW", control.TimedOut, nil}, {"f", "NOBODY", control.Moot, nil}} {
		c.make(x.handle, time.Microsecond, false, nil)
		p.Expect("^GET " + x.handle + " 1 0$")
		p.Send(x.handle, " ", x.reply, "\r\n")
		c.expect(x.handle, x.how, x.body)
	}
	c.call("g", false)
	p.Expect(`^GET g`)
	c.Abandon("g")
	p.Expect(`^STOP g$`)
	if rest := p.Rest(); rest != "" { // no later call comes on it: its reply may still come
		t.Errorf("read %q", rest)
	}
}

// What is spoilt ends the call it belongs to and no other; a reply that is not asked for ends none, and a
// second copy never passes for the reply to a later call of the same request.
func TestSpoiltReplies(t *testing.T) {
	for _, spoilt := range []string{"\x00\xff\r\n", "a WHAT\r\n", "a HIT 3000000000\r\nxxxx", "a HIT -1\r\n", "a HIT 1\r\nxyz\r\n", string(make([]byte, 4096))} {
		stand := scenario.Listen(t)
		c := client(t, stand.Addr, 8)
		c.call("a", false)
		p := stand.Accept()
		c.call("b", false)
		q := stand.Accept()
		p.Expect(`^GET a`)
		q.Expect(`^GET b`)
		p.Send(spoilt)
		c.expect("a", control.Broken, nil)
		q.Send("zz HIT 2\r\nno\r\nb HIT 1\r\n1\r\nb HIT 1\r\n1\r\n")
		c.expect("b", control.OK, []byte("1"))
		c.call("b", false)
		r := stand.Accept()
		r.Expect(`^GET b`)
		r.Send("b HIT 1\r\n2\r\n")
		c.expect("b", control.OK, []byte("2"))
		if len(c.events) > 0 {
			t.Errorf("a further %v", <-c.events)
		}
	}
}

// A connection that was forgotten while it stood idle costs a call that may be repeated nothing. One that
// must not be made twice never goes there, as its break would prove nothing.
func TestAForgottenConnection(t *testing.T) {
	stand := scenario.Listen(t)
	c := client(t, stand.Addr, 8)
	warm := func(handle string) *scenario.Peer {
		c.call(handle, false)
		p := stand.Accept()
		p.Expect(`^GET ` + handle)
		p.Send(handle, " SHED\r\n")
		c.expect(handle, control.Rejected, nil)
		return p
	}
	p := warm("a")
	c.call("b", false)
	p.Expect(`^GET b`)
	p.Close()
	p = stand.Accept()
	p.Expect(`^GET b`)
	p.Send("b SHED\r\n")
	c.expect("b", control.Rejected, nil)
	c.call("c", true)
	p = stand.Accept()
	p.Expect(`^GET c`)
	p.Close()
	c.expect("c", control.Broken, nil)
}

// Beyond its limit of connections a call waits for one that is free, and can be given up there.
func TestTheLimit(t *testing.T) {
	stand := scenario.Listen(t)
	c := client(t, stand.Addr, 1)
	c.call("a", false)
	p := stand.Accept()
	c.call("b", false)
	c.call("c", false)
	c.Abandon("b")
	p.Expect(`^GET a`)
	p.Send("a SHED\r\n")
	c.expect("a", control.Rejected, nil)
	p.Expect(`^GET c`)
	p.Send("c SHED\r\n")
	c.expect("c", control.Rejected, nil)
	c.call("d", true) // the idle one makes room
	stand.Accept().Expect(`^GET d`)
}

// After a move new calls go to the new address, while one in hand ends at the old one.
func TestMove(t *testing.T) {
	old, stand := scenario.Listen(t), scenario.Listen(t)
	c := client(t, old.Addr, 8)
	c.call("a", false)
	p := old.Accept()
	p.Expect(`^GET a`) // it was sent
	c.Move(stand.Addr)
	c.call("b", false)
	q := stand.Accept()
	q.Expect(`^GET b`)
	p.Send("a SHED\r\n")
	c.expect("a", control.Rejected, nil)
	if rest := p.Rest(); rest != "\r\n" { // the end of the call's empty body
		t.Errorf("read %q", rest)
	}
}

// Only a connection that was refused proves that a call never ran.
func TestARefusedConnectionProvesThatNoCallRan(t *testing.T) {
	stand := scenario.Listen(t)
	stand.Close()
	c := client(t, stand.Addr, 8)
	c.call("a", false)
	c.expect("a", control.Unreachable, nil)
}
