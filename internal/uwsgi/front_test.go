package uwsgi_test

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/scenario"
	"larchscale/internal/uwsgi"
)

const ms = time.Millisecond

// runScenario runs f in a synctest bubble with a core and its front; dial opens a gateway's connection.
func runScenario(t *testing.T, f func(w *scenario.World, dial func() *scenario.Peer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		f(w, w.Front(uwsgi.New(uwsgi.Defaults(), &site, w.Core, slog.New(slog.DiscardHandler)).Handle))
	})
}

// packet returns a complete request with the body "body"; more holds further variables and values.
func packet(path string, more ...string) string {
	return string(uwsgi.EncodeHead(append([]string{"PATH_INFO", path, "CONTENT_LENGTH", "4", "REMOTE_USER", "desk 3"}, more...)...)) + "body"
}

const token = "HTTP_IDEMPOTENCY_KEY"

// Every outcome of a request has its status and carries the hint; a connection gets one answer.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		end  func(w *scenario.World, p *scenario.Peer, handle string)
		want string
	}{
		"served": {"/book", func(w *scenario.World, _ *scenario.Peer, h string) {
			w.Send(core.PoolFinished{Handle: h, Outcome: control.OK, Body: []byte("ride")})
		}, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\nX-Hint: 0\r\n\r\nride"},
		"failed": {"/book", func(w *scenario.World, _ *scenario.Peer, h string) {
			w.Send(core.PoolFinished{Handle: h, Outcome: control.Errored})
		}, "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 14\r\nX-Hint: 0\r\n\r\nthe run failed"},
		"out of time": {"/quote", func(*scenario.World, *scenario.Peer, string) { time.Sleep(time.Second) },
			"HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\nContent-Length: 17\r\nX-Hint: 0\r\n\r\nno result in time"},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(w *scenario.World, dial func() *scenario.Peer) {
				p := dial()
				p.Send(packet(c.path, token, "k", "HTTP_X_BUDGET_MS", "900"))
				time.Sleep(ms)
				h := w.Handles()[0]
				c.end(w, p, h)
				if diff := cmp.Diff(c.want, p.Rest()); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// A malformed packet or an invalid request gets an error status and does not run.
func TestBadPackets(t *testing.T) {
	long := strconv.Itoa(3 << 10)
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"modifier1":         {"\x05\x00\x00\x00", 400},
		"size past end":     {"\x00\x04\x00\x00\x09\x00ab", 400},
		"key without value": {"\x00\x03\x00\x00\x01\x00a", 400},
		"invalid length":    {string(uwsgi.EncodeHead("CONTENT_LENGTH", "-1")), 400},
		"no token":          {packet("/book"), 400},
		"long token":        {packet("/book", token, strings.Repeat("k", 129)), 400},
		"invalid deadline":  {packet("/quote", "HTTP_X_BUDGET_MS", "soon"), 400},
		"invalid memory":    {packet("/quote", "HTTP_X_HELD_KB", "-1"), 400},
		"invalid rank":      {packet("/quote", "HTTP_X_RANK", "NaN"), 400},
		"unknown class":     {packet("/walk"), 404},
		"no path":           {"\x00\x00\x00\x00", 404},
		"too large":         {string(uwsgi.EncodeHead("PATH_INFO", "/quote", "CONTENT_LENGTH", long)), 413},
		"slow head":         {"\x00\x09", 408},
		"slow body":         {string(uwsgi.EncodeHead("CONTENT_LENGTH", "4")) + "bo", 408},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(w *scenario.World, dial func() *scenario.Peer) {
				p := dial()
				p.Send(c.sent)
				if got := p.Rest(); !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", c.status)) {
					t.Errorf("answered %q", got)
				}
				w.Expect(ms)
			})
		})
	}
}

// Guards against large bodies that fill the memory while they are read: beyond the bytes for them a request is refused, and
// room is free again once a body is read or its client has gone.
func TestBodiesBeingReadAreBoundedByBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		w.Serve(ms)
		options := uwsgi.Defaults()
		options.MaxBody = site.Bounds.OpenBytes
		dial := w.Front(uwsgi.New(options, &site, w.Core, slog.New(slog.DiscardHandler)).Handle)
		body := strings.Repeat("b", site.Bounds.OpenBytes*2/3)
		head := string(uwsgi.EncodeHead("PATH_INFO", "/quote", "CONTENT_LENGTH", strconv.Itoa(len(body))))
		slow := dial()
		slow.Send(head)
		time.Sleep(ms)
		refused := dial()
		refused.Send(head)
		if got := refused.Rest(); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "X-Not-Run: 1\r\n") {
			t.Errorf("without room: %q", got)
		}
		slow.Close()
		time.Sleep(ms)
		for range 3 {
			next := dial()
			next.Send(head, body)
			if got := next.Rest(); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
				t.Errorf("with room: %q", got)
			}
		}
	})
}

// Tries with one key, sent in a burst over both fronts, lead to one run, and the key accepts only one body.
func TestOneKeyRunsOnceOverBothFronts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		w.Serve(50 * ms)
		log := slog.New(slog.DiscardHandler)
		dialGateway := w.Front(uwsgi.New(uwsgi.Defaults(), &site, w.Core, log).Handle)
		balancer := w.Front(jsonrpc.New(&site, w.Core, log).Handle)()
		line := `{"jsonrpc":"2.0","id":%d,"method":"book","params":{"rid":"%016x","t0":%d,"peer":1,"acct":"north","mem":20,"prio":0.9,"token":"k","bytes":"Ym9keQ=="}}` + "\n"
		var gateways []*scenario.Peer
		for i := range 20 {
			p := dialGateway()
			go p.Send(packet("/book", token, "k"))
			gateways = append(gateways, p)
			balancer.Send(fmt.Sprintf(line, i+1, i+1, time.Now().UnixMilli()))
			time.Sleep(5 * ms) // some arrive during the run, some later
		}
		for _, p := range gateways {
			if got := p.Rest(); !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.HasSuffix(got, "\r\n\r\nok") {
				t.Errorf("a gateway read %q", got)
			}
		}
		for range gateways {
			balancer.Expect(`"result":{"bytes":"b2s="`)
		}
		if diff := cmp.Diff(map[string]int{"body": 1}, w.Runs()); diff != "" {
			t.Error(diff)
		}
		otherBody := dialGateway()
		otherBody.Send(string(uwsgi.EncodeHead("PATH_INFO", "/book", "CONTENT_LENGTH", "4", token, "k")) + "ydob")
		if got := otherBody.Rest(); !strings.HasPrefix(got, "HTTP/1.1 409 ") {
			t.Errorf("another body read %q", got)
		}
	})
}

// Under twice the load that the cores can serve, half of it by each front, both fronts serve every class equally, and a
// refusal is marked as not run and says when to try again.
func TestEqualServiceOfBothFronts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		w.Serve(time.Second) // the worker pool accepts all runs, and each takes long
		log := slog.New(slog.DiscardHandler)
		dialGateway := w.Front(uwsgi.New(uwsgi.Defaults(), &site, w.Core, log).Handle)
		balancer := w.Front(jsonrpc.New(&site, w.Core, log).Handle)()
		const pairs = 200
		go func() { // the connection of a balancer that does not read is closed
			for range pairs {
				m := balancer.Expect(`"id":(\d+),"(result|error)"`)
				if n, _ := strconv.Atoi(m[1]); m[2] == "result" {
					w.Count("balancer " + []string{"quote", "quote", "book"}[(n-1)%3])
				}
			}
		}()
		for i := range pairs {
			class := []string{"quote", "quote", "book"}[i%3]
			id := i + 1
			byGateway := func() {
				p := dialGateway()
				p.Send(packet("/"+class, token, fmt.Sprint("d", id), "HTTP_X_RANK", "0.5", "HTTP_X_BUDGET_MS", "4000", "HTTP_X_STAND", "north"))
				go func() {
					got := p.Rest()
					switch {
					case strings.HasPrefix(got, "HTTP/1.1 200 "):
						w.Count("gateway " + class)
					case !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "X-Not-Run: 1\r\n") ||
						!strings.Contains(got, "Retry-After: 1\r\n"):
						t.Errorf("a gateway read %q", got)
					}
				}()
			}
			byBalancer := func() {
				balancer.Send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","t0":%d,"peer":1,"acct":"north","budget":4000,`+
					`"mem":64,"prio":0.5,"token":"b%d","bytes":"Ym9keQ=="}}`+"\n", id, class, id, time.Now().UnixMilli(), id))
			}
			turns := []func(){byGateway, byBalancer}
			turns[i/3%2]() // neither front is always the first
			time.Sleep(50 * ms)
			turns[1-i/3%2]()
			time.Sleep(50 * ms)
		}
		time.Sleep(5 * time.Second)
		served := w.Counts()
		t.Log(served)
		for _, class := range []string{"quote", "book"} {
			a, b := served["gateway "+class], served["balancer "+class]
			if a+b == 0 || max(a, b)-min(a, b) > (a+b)/20+1 {
				t.Errorf("%s: %d served to gateways, %d to the balancer", class, a, b)
			}
		}
		if total := served["gateway quote"] + served["balancer quote"]; total >= 2*pairs*2/3 {
			t.Errorf("no overload: %d quotes served", total)
		}
	})
}

// A packet is cut off in its header while the server drains: nothing runs, the gateway is told so once the grace period
// is over, and the server shuts down in time.
func TestPacketCutInHeaderDuringDrain(t *testing.T) {
	for _, hangsUp := range []bool{false, true} {
		runScenario(t, func(w *scenario.World, dial func() *scenario.Peer) {
			start := time.Now()
			complete := packet("/book", token, "k")
			w.Send(core.Drain{}, core.SessionClosed{Session: w.Session("c")})
			time.Sleep(500 * ms)
			partial, late := dial(), dial()
			time.Sleep(500 * ms)
			partial.Send(complete[:3])
			if hangsUp {
				partial.Close()
			} else if got := partial.Rest(); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "X-Not-Run: 1") {
				t.Errorf("the cut packet read %q", got)
			}
			late.Close()
			<-w.Done
			if d := time.Since(start); d > 4*time.Second {
				t.Errorf("ended after %v", d)
			}
			w.Expect(0, "closed")
		})
	}
}

// A gateway that hangs up cancels its request, and its run is stopped.
func TestHangUpCancelsRequest(t *testing.T) {
	runScenario(t, func(w *scenario.World, dial func() *scenario.Peer) {
		p := dial()
		p.Send(packet("/quote"))
		time.Sleep(ms)
		h := w.Handles()[0]
		w.Expect(0, "run "+h+" quote body")
		p.Close()
		w.Expect(ms, "stop "+h)
		w.Send(core.PoolFinished{Handle: h, Outcome: control.Stopped})
	})
}

// A health check is answered from the core's state.
func TestHealth(t *testing.T) {
	runScenario(t, func(w *scenario.World, dial func() *scenario.Peer) {
		p := dial()
		p.Send(string(uwsgi.EncodeHead("PATH_INFO", "/status")))
		if got := p.Rest(); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
			t.Errorf("read %q", got)
		}
	})
}
