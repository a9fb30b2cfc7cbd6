package uwsgi_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
	"larchscale/internal/uwsgi"
)

// newClient returns a client of the server at addr, with two calls at a time, and its events.
func newClient(addr string) (*uwsgi.Client, chan core.Event) {
	opt := uwsgi.Defaults()
	opt.DownstreamServers, opt.MaxCalls = []string{addr}, 2
	events := make(chan core.Event, 16)
	return uwsgi.NewClient(opt, func(e core.Event) { events <- e }), events
}

// A call is sent as a packet with the class, the time left and its own token. Its response decides whether it may have
// run: of the responses only a refusal marked with X-Not-Run proves that it did not.
func TestCallsToUwsgiServers(t *testing.T) {
	for name, c := range map[string]struct {
		reply   string
		outcome control.Outcome
		body    string
	}{
		"served":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, "ok"},
		"served to end": {"Status: 200 OK\r\nX: y\r\n\r\nall of it", control.OK, "all of it"},
		"refused":       {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", control.Rejected, ""},
		"unmarked":      {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", control.Errored, ""},
		"marked error":  {"HTTP/1.1 502 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", control.Errored, ""},
		"out of time":   {"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", control.TimedOut, ""},
		"cut short":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", control.Interrupted, ""},
		"no answer":     {"", control.Interrupted, ""},
		"no response":   {"hello\r\n", control.Interrupted, ""},
	} {
		t.Run(name, func(t *testing.T) {
			server := scenario.Listen(t)
			client, events := newClient(server.Addr)
			client.Call("h", 7, "quote", 0, 5*time.Second, false, []byte("body"))
			p := server.Accept()
			p.Bytes(string(uwsgi.EncodeHead("REQUEST_METHOD", "POST", "PATH_INFO", "/quote", "CONTENT_LENGTH", "4",
				"HTTP_X_BUDGET_MS", "5000", "HTTP_IDEMPOTENCY_KEY", "h.1")) + "body")
			p.Send(c.reply)
			p.Close()
			want := core.CallEnded{Handle: "h", Number: 7, Outcome: c.outcome}
			if c.outcome == control.OK {
				want.Body = []byte(c.body)
			}
			if diff := cmp.Diff(core.Event(want), <-events); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Calls end at their deadline, abandoned calls report no end, and calls over MaxCalls are not sent.
func TestCallDeadlinesAndLimit(t *testing.T) {
	server := scenario.Listen(t)
	client, events := newClient(server.Addr)
	client.Call("slow", 1, "quote", 0, 50*time.Millisecond, false, nil)
	server.Accept()
	expect := func(handle string, number uint64, outcome control.Outcome) {
		t.Helper()
		if diff := cmp.Diff(core.Event(core.CallEnded{Handle: handle, Number: number, Outcome: outcome}), <-events); diff != "" {
			t.Error(diff)
		}
	}
	expect("slow", 1, control.TimedOut)
	client.Call("a", 2, "quote", 0, 5*time.Second, false, nil)
	a := server.Accept()
	client.Call("b", 3, "quote", 0, 5*time.Second, false, nil)
	b := server.Accept()
	client.Call("c", 4, "quote", 0, 5*time.Second, false, nil)
	expect("c", 4, control.Unreachable)
	client.Abandon("a")
	a.Rest() // its connection is closed
	b.Send("HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")
	expect("b", 3, control.TimedOut)
	server.Close()
	client.Call("d", 5, "quote", 0, 5*time.Second, false, nil)
	expect("d", 5, control.Unreachable)
}
