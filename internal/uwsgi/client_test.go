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

func below(addr string) (*uwsgi.Client, chan core.Event) {
	opt := uwsgi.Defaults()
	opt.Below, opt.MaxCalls = []string{addr}, 2
	events := make(chan core.Event, 16)
	return uwsgi.NewClient(opt, func(e core.Event) { events <- e }), events
}

// A call is a packet with the class, the time left and a token of its own; what ends it decides whether it
// may have run: only a marked refusal proves that it did not.
func TestCallsToUwsgiServers(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		how   control.Outcome
		body  string
	}{
		"served":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, "ok"},
		"served to end": {"Status: 200 OK\r\nX: y\r\n\r\nall of it", control.OK, "all of it"},
		"refused":       {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", control.Rejected, ""},
		"unmarked":      {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", control.Errored, ""},
		"marked error":  {"HTTP/1.1 502 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", control.Errored, ""},
		"out of time":   {"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", control.TimedOut, ""},
		"cut short":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", control.Broken, ""},
		"no answer":     {"", control.Broken, ""},
		"no response":   {"hello\r\n", control.Broken, ""},
	} {
		t.Run(name, func(t *testing.T) {
			stand := scenario.Listen(t)
			cl, events := below(stand.Addr)
			cl.Call("h", 7, "quote", 0, 5*time.Second, false, []byte("body"))
			p := stand.Accept()
			p.Bytes(string(uwsgi.Packet("REQUEST_METHOD", "POST", "PATH_INFO", "/quote", "CONTENT_LENGTH", "4",
				"HTTP_X_BUDGET_MS", "5000", "HTTP_IDEMPOTENCY_KEY", "h.1")) + "body")
			p.Send(c.reply)
			p.Close()
			want := core.CallEnded{Handle: "h", Number: 7, Outcome: c.how}
			if c.how == control.OK {
				want.Body = []byte(c.body)
			}
			if diff := cmp.Diff(core.Event(want), <-events); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Calls end by their deadline, and those given up tell nothing; without room nothing is sent.
func TestCallDeadlinesAndRoom(t *testing.T) {
	stand := scenario.Listen(t)
	cl, events := below(stand.Addr)
	cl.Call("slow", 1, "quote", 0, 50*time.Millisecond, false, nil)
	stand.Accept()
	expect := func(handle string, number uint64, how control.Outcome) {
		t.Helper()
		if diff := cmp.Diff(core.Event(core.CallEnded{Handle: handle, Number: number, Outcome: how}), <-events); diff != "" {
			t.Error(diff)
		}
	}
	expect("slow", 1, control.TimedOut)
	cl.Call("a", 2, "quote", 0, 5*time.Second, false, nil)
	a := stand.Accept()
	cl.Call("b", 3, "quote", 0, 5*time.Second, false, nil)
	b := stand.Accept()
	cl.Call("c", 4, "quote", 0, 5*time.Second, false, nil)
	expect("c", 4, control.Unreachable)
	cl.Abandon("a")
	a.Rest() // its connection is closed
	b.Send("HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")
	expect("b", 3, control.TimedOut)
	stand.Close()
	cl.Call("d", 5, "quote", 0, 5*time.Second, false, nil)
	expect("d", 5, control.Unreachable)
}
