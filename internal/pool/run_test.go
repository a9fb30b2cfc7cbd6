package pool_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/pool"
	"larchscale/internal/scenario"
)

// testServer is a core and its link to a stand-in worker pool. It records its answers and calls as lines.
type testServer struct {
	*core.Core
	*pool.Link
	t        *testing.T
	listener *scenario.Stand
	lines    chan string
	stall    chan bool // the answer to the request "stall" blocks the core loop until a value is sent
}

// recordedReply records the answer to the request with handle.
type recordedReply struct {
	*testServer
	handle string
}

func (s *testServer) Drain(time.Duration)            {}
func (s *testServer) Close(uint64, core.CloseReason) {}
func (s *testServer) Report(bool)                    {}
func (s *testServer) StopReporting()                 {}
func (s *testServer) Abandon(string)                 {}
func (s *testServer) Call(h string, _ uint64, _ string, _ uint64, _ time.Duration, _ bool, _ []byte) {
	s.lines <- "call " + h
}
func (r recordedReply) Answer(a core.Answer) {
	prefix := map[core.Kind]string{core.Served: "served ", core.Failed: "failed ", core.TimedOut: "out of time ", core.Refused: "refused "}[a.Kind]
	r.lines <- prefix + r.handle
	if r.handle == "stall" {
		r.stall <- true
		<-r.stall
	}
}

// start returns a server whose pool is bound, and the pool's end of the connection.
func start(t *testing.T) (*testServer, *scenario.Peer) {
	site, log := scenario.Site(), slog.New(slog.DiscardHandler)
	s := &testServer{Core: core.New(site, log), t: t, listener: scenario.Listen(t), lines: make(chan string, 64), stall: make(chan bool)}
	s.Link = pool.New(s.listener.Addr, s.Core.Send, log)
	s.Attach(s.Link, s, s, nil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool, 2)
	go func() { s.Core.Run(ctx); done <- true }()
	go func() { s.Link.Maintain(ctx); done <- true }()
	t.Cleanup(func() { stop(); <-done; <-done })
	s.Core.Send(core.SessionOpened{Session: s})
	p := s.bind(0)
	p.Send(`{"event":"chatter","cursor":1}`, "\n")
	s.poll(p)
	return s, p
}

// bind accepts the next connection, always as the same pool.
func (s *testServer) bind(cursor int) *scenario.Peer {
	s.t.Helper()
	p := s.listener.Accept()
	p.Expect(`"bind","cursor":` + string(rune('0'+cursor)) + `}`)
	p.Send(`{"event":"bound","fate":"hot","lasted":3600000}`, "\n")
	return p
}

// poll answers the next poll; everything sent before the answer has then reached the core.
func (s *testServer) poll(p *scenario.Peer) {
	s.t.Helper()
	p.Send(`{"event":"polled","ticket":"`, p.Expect(`"poll","ticket":"(\w+)"`)[1], `","figures":[0.1,0]}`, "\n")
}

// ask delivers a request to the core.
func (s *testServer) ask(handle, class, token string, budget time.Duration) {
	s.Core.Send(core.RequestArrived{Session: s, Reply: recordedReply{s, handle}, Req: core.IncomingRequest{Handle: handle, Class: map[string]int{"quote": 0, "book": 1}[class],
		Arrived: time.Now(), Budget: budget, Rank: 0.9, Memory: 10, Token: token, Body: []byte("body")}})
}

func (s *testServer) expect(want ...string) {
	s.t.Helper()
	for _, w := range want {
		if got := receive(s.t, s.lines); got != w {
			s.t.Errorf("%q, expected %q", got, w)
		}
	}
}

// resync accepts the next connection after a break, sends the missed notices and answers the poll that follows them.
func (s *testServer) resync(cursor int, missed ...string) *scenario.Peer {
	s.t.Helper()
	p := s.bind(cursor)
	ticket := p.Expect(`"poll","ticket":"(r\d+)"`)[1]
	for _, m := range missed {
		p.Send(m)
	}
	p.Send(`{"event":"polled","ticket":"`, ticket, `","figures":[0.1,0]}`, "\n")
	return p
}

// finishedNotice is the notice that a run completed.
func finishedNotice(cursor, handle string) string {
	return `{"event":"finished","cursor":` + cursor + `,"handle":"` + handle + `","fate":"complete","lasted":2,"arg":""}` + "\n"
}

// A connection breaks with commands that the pool never read, or notices that the server never read. A run that may be
// repeated is requested until the pool has sent a notice of it; each run finishes once, however often its end is reported.
func TestLinkBreaksWithOpenRun(t *testing.T) {
	spawn := `"spawn","handle":"a"`
	t.Run("request not read", func(t *testing.T) {
		s, p := start(t)
		s.ask("a", "quote", "", 4*time.Second)
		p.Expect(spawn) // sent, but it is unknown whether the pool read it
		p.Close()
		p = s.resync(1)
		p.Expect(spawn)
		p.Send(finishedNotice("2", "a"), finishedNotice("2", "a"), finishedNotice("3", "a"))
		s.expect("served a")
	})
	t.Run("request of a write that may not have been read", func(t *testing.T) {
		s, p := start(t)
		s.ask("a", "book", "k", 4*time.Second)
		p.Expect(spawn)
		p.Close()
		p = s.resync(1)
		s.ask("b", "quote", "", 4*time.Second)
		if got := p.Expect(`"spawn","handle":"(\w)"`)[1]; got != "b" {
			t.Errorf("run %s was requested", got)
		}
		p.Send(finishedNotice("2", "a"), finishedNotice("2", "a"), finishedNotice("3", "b"))
		s.expect("served a", "served b")
		s.ask("c", "book", "k", 4*time.Second)
		s.expect("served c")
	})
	t.Run("end reported on two connections", func(t *testing.T) {
		s, p := start(t)
		s.ask("a", "book", "k", 4*time.Second)
		p.Expect(spawn)
		p.Send(strings.TrimSuffix(finishedNotice("2", "a"), "}\n")) // cut off
		p.Close()
		p = s.resync(1, finishedNotice("2", "a"))
		s.expect("served a")
		s.ask("b", "quote", "", 4*time.Second)
		p.Expect(`"handle":"b"`)
		p.Close()
		s.resync(2, finishedNotice("2", "a"), finishedNotice("3", "b"))
		s.expect("served b")
		if len(s.lines) > 0 {
			t.Errorf("unexpected %q", <-s.lines)
		}
	})
	t.Run("stopped as it finishes", func(t *testing.T) {
		s, p := start(t)
		s.ask("a", "quote", "", 4*time.Second)
		p.Expect(spawn)
		s.Core.Send(core.RequestCanceled{Session: s, Handle: "a"})
		p.Expect(`"suspend","handle":"a"`)
		p.Send(finishedNotice("2", "a"), `{"event":"unknown","fate":"suspend","handle":"a"}`, "\n")
		s.ask("b", "quote", "", 4*time.Second)
		p.Expect(`"handle":"b"`)
		p.Send(finishedNotice("3", "b"))
		s.expect("served b")
	})
	t.Run("reply sent as the connection breaks", func(t *testing.T) {
		s, p := start(t)
		s.ask("a", "book", "k", 4*time.Second)
		p.Expect(spawn)
		p.Send(`{"event":"blocked","cursor":2,"handle":"a","arg":""}`, "\n")
		s.expect("call a")
		s.Core.Send(core.CallEnded{Handle: "a", Number: 1, Outcome: control.OK, Body: []byte("r")})
		p.Expect(`"supply","handle":"a","arg":"cg=="`)
		p.Close()
		p = s.resync(2)
		s.ask("b", "quote", "", 4*time.Second)
		if line := p.Expect(`"(supply|spawn)","handle":"\w"`)[0]; line != `"spawn","handle":"b"` {
			t.Errorf("%s was sent", line)
		}
		p.Send(finishedNotice("3", "a"))
		s.expect("served a")
	})
	t.Run("reply given while disconnected", func(t *testing.T) {
		s, p := start(t)
		s.ask("a", "book", "k", 4*time.Second)
		p.Expect(spawn)
		p.Send(`{"event":"blocked","cursor":2,"handle":"a","arg":""}`, "\n")
		s.expect("call a")
		p.Close()
		p = s.bind(2)
		ticket := p.Expect(`"poll","ticket":"(r\d+)"`)[1]
		s.Core.Send(core.CallEnded{Handle: "a", Number: 1, Outcome: control.OK, Body: []byte("r")})
		p.Send(`{"event":"polled","ticket":"`, ticket, `","figures":[0.1,0]}`, "\n")
		p.Expect(`"supply","handle":"a","arg":"cg=="`)
		p.Send(finishedNotice("3", "a"))
		s.expect("served a")
	})
}

// A silent connection is kept, because it cannot be told from a busy pool. A request is still answered when it is due
// (core's TestSilentRunIsAnsweredByDueTime checks the time), a write is requested once, and the notices that the
// pool sends later are accepted.
func TestSilentLinkIsKept(t *testing.T) {
	s, p := start(t)
	s.ask("a", "book", "k", 700*time.Millisecond)
	p.Expect(`"spawn","handle":"a"`)
	s.expect("out of time a")
	s.ask("b", "book", "k", 4*time.Second) // the run of its key may still be in progress
	p.Send(finishedNotice("2", "a"))
	s.expect("served b")
	s.ask("c", "quote", "", 4*time.Second)
	if got := p.Expect(`"spawn","handle":"(\w)"`)[1]; got != "c" {
		t.Errorf("run %s was requested", got)
	}
	p.Send(finishedNotice("3", "c"))
	s.expect("served c")
}

// A reply is supplied after a connection broke and the next one is up, but before the core loop has processed the
// break. It goes out on the new connection and must not be repeated there: the run would take the copy for the reply to
// its next call.
func TestReplyIsSentOnceAcrossReconnect(t *testing.T) {
	s, p := start(t)
	for _, h := range []string{"a", "stall"} {
		s.ask(h, "quote", "", 4*time.Second)
		p.Expect(`"spawn","handle":"` + h + `"`)
	}
	p.Send(`{"event":"blocked","cursor":2,"handle":"a","arg":""}`, "\n")
	s.expect("call a")
	p.Send(finishedNotice("3", "stall"))
	s.expect("served stall")
	receive(t, s.stall)
	s.Core.Send(core.CallEnded{Handle: "a", Number: 1, Outcome: control.OK, Body: []byte("r")})
	p.Close()
	p = s.bind(3)
	s.stall <- true
	supplies := 0
	for ticket := ""; !strings.HasPrefix(ticket, "r"); {
		m := p.Expect(`"supply","handle":"a"|"poll","ticket":"(\w+)"`)
		if ticket = m[1]; ticket == "" {
			supplies++
			continue
		}
		p.Send(`{"event":"polled","ticket":"`, ticket, `","figures":[0.1,0]}`, "\n")
	}
	s.ask("c", "quote", "", 4*time.Second)
	for m := []string{"", ""}; m[1] == ""; { // repeated commands come before it
		if m = p.Expect(`"supply","handle":"a"|"spawn","handle":"(c)"`); m[1] == "" {
			supplies++
		}
	}
	if supplies != 1 {
		t.Errorf("the reply was sent %d times on one connection", supplies)
	}
	p.Send(`{"event":"blocked","cursor":4,"handle":"a","arg":""}`, "\n") // the next call gets its own reply
	s.expect("call a")
	s.Core.Send(core.CallEnded{Handle: "a", Number: 2, Outcome: control.OK, Body: []byte("s")})
	p.Expect(`"supply","handle":"a","arg":"cw=="`)
	p.Send(finishedNotice("5", "a"))
	s.expect("served a")
}
