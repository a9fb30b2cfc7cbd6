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

func client(addr string) (*index.Client, chan core.Event) {
	events := make(chan core.Event, 16)
	return index.New(addr, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler)), events
}

// Many calls share a connection, and each reply means what the protocol says.
func TestCallsAndReplies(t *testing.T) {
	stand := scenario.Listen(t)
	c, events := client(stand.Addr)
	c.Call("a", "quote", 250*time.Millisecond, []byte("x\r\ny"))
	p := stand.Accept()
	p.Expect(`^GET a 250 4$`)
	p.Expect(`^x$`)
	p.Expect(`^y$`)
	for _, x := range []struct {
		reply string
		want  core.CallEnded
	}{
		{"HIT 4\r\n1\r\n2", core.CallEnded{Outcome: control.OK, Body: []byte("1\r\n2")}},
		{"HIT 0\r\n", core.CallEnded{Outcome: control.OK, Body: []byte{}}},
		{"SHED", core.CallEnded{Outcome: control.Rejected}},
		{"BROKEN", core.CallEnded{Outcome: control.Errored}},
		{"SLOW", core.CallEnded{Outcome: control.TimedOut}},
		{"NOBODY", core.CallEnded{Outcome: control.Moot}},
	} {
		c.Call("b", "quote", time.Microsecond, nil)
		p.Expect(`^GET b 1 0$`)
		p.Send("b ", x.reply, "\r\n")
		x.want.Handle = "b"
		if diff := cmp.Diff(core.Event(x.want), <-events); diff != "" {
			t.Error(diff)
		}
	}
	c.Abandon("a")
	p.Expect(`^STOP a$`)
	c.Call("d", "quote", time.Second, nil)
	p.Send("a SLOW\r\n") // it crossed the STOP: nobody is told
	p.Expect(`^GET d 1000 0$`)
	p.Close()
	if diff := cmp.Diff(core.Event(core.CallEnded{Handle: "d", Outcome: control.Broken}), <-events); diff != "" {
		t.Error(diff)
	}
	c.Call("e", "quote", time.Second, nil) // the next call makes a new connection
	p = stand.Accept()
	p.Expect(`^GET e 1000 0$`)
	p.Send("e WHAT\r\n")
	if diff := cmp.Diff(core.Event(core.CallEnded{Handle: "e", Outcome: control.Broken}), <-events); diff != "" {
		t.Error(diff)
	}
}

// Only a connection that was refused proves that a call never ran.
func TestARefusedConnectionProvesThatNoCallRan(t *testing.T) {
	stand := scenario.Listen(t)
	stand.Close()
	c, events := client(stand.Addr)
	c.Call("a", "quote", time.Second, nil)
	if diff := cmp.Diff(core.Event(core.CallEnded{Handle: "a", Outcome: control.Unreachable}), <-events); diff != "" {
		t.Error(diff)
	}
}
