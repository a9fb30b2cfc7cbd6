package jsonrpc_test

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/scenario"
	"larchscale/internal/sock"
)

// These tests force the order in which two events cross, on real connections: the core's loop is held up, or nobody
// accepts, until both have happened.

const (
	result  = `"id":1,"result"`
	refused = `"id":1,"error":{"code":-32001`
)

// front is a core whose front serves real connections, each only once the gate is open; a nil gate is none, and has the
// server accept.
func front(t *testing.T, site core.Site, gate <-chan struct{}) (*scenario.World, func() *scenario.Peer) {
	t.Helper()
	l, err := sock.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var servers sock.Servers
	w := scenario.NewWorld(t, site, false, func(w *scenario.World) {
		f := jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler))
		servers = sock.Servers{sock.NewServer(l, 64, &sock.Budget{Peer: 1 << 18, All: 1 << 20}, func(c net.Conn, q *sock.WriteQueue) {
			if gate != nil {
				<-gate
			}
			f.Handle(c, q)
		})}
		w.Core.Listen(servers)
	})
	if gate == nil {
		go servers[0].Serve()
	}
	t.Cleanup(func() { servers[0].Stop(time.Second) })
	go func() { // as the program does
		<-w.Done
		servers[0].Stop(60 * ms)
	}()
	return w, func() *scenario.Peer { return scenario.Dial(t, l.Addr().(*net.TCPAddr).String()) }
}

// busy gives the loop more to take than it takes in a few turns.
func busy(w *scenario.World) {
	for range 800 {
		w.Send(core.Hold{})
	}
}

// A connection has been idle for too long at the moment in which a request has come on it that the core has not heard of:
// it is answered there.
func TestARequestCrossesAnIdleClose(t *testing.T) {
	site := scenario.Site()
	site.Control.IdleMax = 50 * ms
	w, dial := front(t, site, nil)
	w.Serve(ms)
	for range 5 {
		p := dial()
		p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n")
		p.Expect(`"up":true`)
		release := w.Block()
		busy(w)
		p.Send(ask(1, "quote", "a"+p.Name(), ""))
		time.Sleep(2 * site.Control.IdleMax)
		release()
		p.Expect(result)
		p.Rest() // and then it is closed as idle
	}
}

// Half a line stands on a connection that is to end, as it is idle or had a bad message: its rest is waited for, and the
// request is answered.
func TestTheRestOfALineIsWaitedFor(t *testing.T) {
	site := scenario.Site()
	site.Control.IdleMax = 50 * ms
	w, dial := front(t, site, nil)
	w.Serve(ms)
	for name, first := range map[string]string{"idle": "", "a bad message": "{\n"} {
		p := dial()
		line := ask(1, "quote", "a"+p.Name(), "")
		p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n", first, line[:40])
		p.Expect(`"up":true`)
		time.Sleep(4 * site.Control.IdleMax)
		if n, err := p.Write(line[40:]); err != nil {
			t.Errorf("%s: %d bytes, %v", name, n, err)
		}
		p.Expect(result)
		p.Rest()
	}
}

// A balancer that closes its writing half waits for its answer.
func TestAClosedWritingHalfIsAnswered(t *testing.T) {
	w, dial := front(t, scenario.Site(), nil)
	p := dial()
	p.Send(ask(1, "quote", "a", ""))
	w.Await("run 000000000000000a quote body")
	p.HalfClose()
	p.Expect(`"method":"draining"`) // its end has been read
	w.Send(core.PoolFinished{Handle: "000000000000000a", End: control.OK, Body: []byte("x")})
	p.Expect(result)
	p.Rest()
}

// One that has gone altogether is found out, and nothing is done for it any longer.
func TestACallerThatHasGoneIsFoundOut(t *testing.T) {
	w, dial := front(t, scenario.Site(), nil)
	p := dial()
	p.Send(ask(1, "quote", "a", ""))
	w.Await("run 000000000000000a quote body")
	start := time.Now()
	p.Close()
	w.Await("stop 000000000000000a")
	if d := time.Since(start); d > time.Second { // its time is over after 4 s
		t.Errorf("after %v", d)
	}
}

// What was read, but not heard of when the server ends, is refused: on a connection of before, and on one that came last.
func TestWhatCrossesTheEndIsRefused(t *testing.T) {
	site := scenario.Site()
	site.Stop, site.Control.DrainGrace = 400*ms, 100*ms
	w, dial := front(t, site, nil)
	p := dial()
	p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n")
	p.Expect(`"up":true`)
	w.Send(core.Drain{})
	release := w.Block()
	busy(w)
	last := dial()
	p.Send(ask(1, "quote", "a", ""))
	last.Send(ask(1, "quote", "b", ""))
	time.Sleep(site.Stop)
	release()
	p.Expect(refused)
	last.Expect(refused)
	p.Rest()
	last.Rest()
	<-w.Done
}

// Connections that others have made, and that nobody has accepted when the server ends or hands off, are answered.
func TestWhatWaitsForAnAcceptIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		leave core.Event
		want  string
	}{"the end": {core.Drain{}, refused}, "a handoff": {core.Handoff{Kill: 2 * time.Second}, result}} {
		t.Run(name, func(t *testing.T) {
			site := scenario.Site()
			site.Stop, site.Control.DrainGrace = 2*time.Second, 50*ms
			gate := make(chan struct{})
			w, dial := front(t, site, gate)
			w.Serve(ms)
			w.Send(core.Closed{Session: w.Session("c")}) // nobody else is connected
			var all []*scenario.Peer
			for i := range 10 {
				p := dial()
				p.Send(ask(1, "quote", fmt.Sprint(i), ""))
				all = append(all, p)
			}
			w.Send(c.leave)
			for refused := false; !refused; { // until the listener is closed, and nobody has been heard of
				c, err := net.Dial("tcp4", all[0].Addr())
				if refused = err != nil; !refused {
					c.Close()
					time.Sleep(ms)
				}
			}
			close(gate)
			for _, p := range all {
				p.Expect(c.want)
				p.Close()
			}
			<-w.Done
		})
	}
}

// Half a line stands when the server ends: its rest, sent after that, finds the connection closed, and nothing of it runs.
// One that came whole before is answered.
func TestHalfALineAtTheEnd(t *testing.T) {
	site := scenario.Site()
	site.Stop, site.Control.DrainGrace = 400*ms, 50*ms
	w, dial := front(t, site, nil)
	w.Serve(ms)
	line := ask(1, "quote", "a", "")
	cut, whole := dial(), dial()
	for _, p := range []*scenario.Peer{cut, whole} {
		p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n", line[:30])
		p.Expect(`"up":true`)
	}
	w.Send(core.Drain{})
	whole.Expect(`"method":"draining"`)
	whole.Send(line[30:])
	whole.Expect(`"id":1,"(result|error)"`)
	<-w.Done
	ran := len(w.Handles())
	cut.Send(line[30:])
	cut.Gone()
	if n := len(w.Handles()); n != ran {
		t.Errorf("%d runs began after the end", n-ran)
	}
}
