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

// These tests force the order of two concurrent events on real connections: the core loop is blocked, or no connection
// is accepted, until both have happened.

const (
	result  = `"id":1,"result"`
	refused = `"id":1,"error":{"code":-32001`
)

// startFront starts a core whose front serves real connections. With a gate the server accepts none before it is shut,
// and each connection is handled only after the gate channel is closed.
func startFront(t *testing.T, site core.Config, gate <-chan struct{}) (*scenario.World, func() *scenario.Peer) {
	t.Helper()
	l, err := sock.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var servers sock.Servers
	w := scenario.NewWorld(t, site, false, func(w *scenario.World) {
		f := jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler))
		servers = sock.Servers{sock.NewServer(l, 64, &sock.Budget{PerPeer: 1 << 18, Total: 1 << 20}, func(c net.Conn, q *sock.WriteQueue) {
			if gate != nil {
				<-gate
			}
			f.Handle(c, q)
		})}
		w.Core.AttachListener(servers)
	})
	if gate == nil {
		go servers[0].Serve()
	}
	t.Cleanup(func() { servers[0].Stop(time.Second) })
	go func() { // as cmd/larchscale does
		<-w.Done
		servers[0].Stop(60 * ms)
	}()
	return w, func() *scenario.Peer { return scenario.Dial(t, l.Addr().(*net.TCPAddr).String()) }
}

// fillEventQueue queues more events for the core loop than it handles in a few turns.
func fillEventQueue(w *scenario.World) {
	for range 800 {
		w.Send(core.OperatorDrain{})
	}
}

// A connection exceeds the idle limit just as a request has arrived on it that the core has not handled yet: the
// request is answered on that connection.
func TestRequestCrossingIdleCloseIsAnswered(t *testing.T) {
	site := scenario.Site()
	site.Control.IdleMax = 50 * ms
	w, dial := startFront(t, site, nil)
	w.Serve(ms)
	for range 5 {
		p := dial()
		p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n")
		p.Expect(`"up":true`)
		release := w.Block()
		fillEventQueue(w)
		p.Send(requestLine(1, "quote", "a"+p.Name(), ""))
		time.Sleep(2 * site.Control.IdleMax)
		release()
		p.Expect(result)
		p.Rest() // the connection is then closed as idle
	}
}

// Half a line has arrived on a connection that is to be closed because it is idle or had a bad message: the server
// waits for the rest of the line and answers the request.
func TestPartialLineIsCompletedBeforeClose(t *testing.T) {
	site := scenario.Site()
	site.Control.IdleMax = 50 * ms
	w, dial := startFront(t, site, nil)
	w.Serve(ms)
	for name, first := range map[string]string{"idle": "", "a bad message": "{\n"} {
		p := dial()
		line := requestLine(1, "quote", "a"+p.Name(), "")
		p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n", first, line[:40])
		p.Expect(`"up":true`)
		time.Sleep(4 * site.Control.IdleMax)
		if n, err := p.Write(line[40:]); err != nil {
			t.Errorf("%s: wrote %d bytes, error %v", name, n, err)
		}
		p.Expect(result)
		p.Rest()
	}
}

// A balancer that has closed only its writing half still gets its answer.
func TestHalfClosedConnectionIsAnswered(t *testing.T) {
	w, dial := startFront(t, scenario.Site(), nil)
	p := dial()
	p.Send(requestLine(1, "quote", "a", ""))
	w.Await("run 000000000000000a quote body")
	p.HalfClose()
	p.Expect(`"method":"draining"`) // the server has read the end of the input
	w.Send(core.PoolFinished{Handle: "000000000000000a", Outcome: control.OK, Body: []byte("x")})
	p.Expect(result)
	p.Rest()
}

// A balancer that has closed its connection altogether is detected, and its request is stopped.
func TestClosedConnectionStopsRequests(t *testing.T) {
	w, dial := startFront(t, scenario.Site(), nil)
	p := dial()
	p.Send(requestLine(1, "quote", "a", ""))
	w.Await("run 000000000000000a quote body")
	start := time.Now()
	p.Close()
	w.Await("stop 000000000000000a")
	if d := time.Since(start); d > time.Second { // its deadline is 4 s away
		t.Errorf("stopped after %v", d)
	}
}

// Requests that were read but not handled by the core when the server shuts down are refused, on an older connection
// and on one that was made just before.
func TestRequestsCrossingShutdownAreRefused(t *testing.T) {
	site := scenario.Site()
	site.StopTime, site.Control.DrainGrace = 400*ms, 100*ms
	w, dial := startFront(t, site, nil)
	p := dial()
	p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n")
	p.Expect(`"up":true`)
	w.Send(core.Drain{})
	release := w.Block()
	fillEventQueue(w)
	last := dial()
	p.Send(requestLine(1, "quote", "a", ""))
	last.Send(requestLine(1, "quote", "b", ""))
	time.Sleep(site.StopTime)
	release()
	p.Expect(refused)
	last.Expect(refused)
	p.Rest()
	last.Rest()
	<-w.Done
}

// Requests on connections that are not accepted yet when the server shuts down or hands off are answered.
func TestUnacceptedConnectionsAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		event core.Event
		want  string
	}{"shutdown": {core.Drain{}, refused}, "handoff": {core.Handoff{KillAfter: 2 * time.Second}, result}} {
		t.Run(name, func(t *testing.T) {
			site := scenario.Site()
			site.StopTime, site.Control.DrainGrace = 2*time.Second, 50*ms
			gate := make(chan struct{})
			w, dial := startFront(t, site, gate)
			w.Serve(ms)
			w.Send(core.SessionClosed{Session: w.Session("c")}) // no other session is open
			var all []*scenario.Peer
			for i := range 10 {
				p := dial()
				p.Send(requestLine(1, "quote", fmt.Sprint(i), ""))
				all = append(all, p)
			}
			w.Send(c.event)
			for refused := false; !refused; { // until the listener is closed, with no request read yet
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

// Half a line has arrived when the server shuts down: the rest, sent afterwards, finds the connection closed, and the
// request does not run. A line that is completed before is answered.
func TestPartialLineAtShutdown(t *testing.T) {
	site := scenario.Site()
	site.StopTime, site.Control.DrainGrace = 400*ms, 50*ms
	w, dial := startFront(t, site, nil)
	w.Serve(ms)
	line := requestLine(1, "quote", "a", "")
	partial, complete := dial(), dial()
	for _, p := range []*scenario.Peer{partial, complete} {
		p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n", line[:30])
		p.Expect(`"up":true`)
	}
	w.Send(core.Drain{})
	complete.Expect(`"method":"draining"`)
	complete.Send(line[30:])
	complete.Expect(`"id":1,"(result|error)"`)
	<-w.Done
	ran := len(w.Handles())
	partial.Send(line[30:])
	partial.Gone()
	if n := len(w.Handles()); n != ran {
		t.Errorf("%d runs started after the shutdown", n-ran)
	}
}
