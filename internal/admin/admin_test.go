package admin_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchscale/internal/admin"
	"larchscale/internal/core"
)

// start starts an endpoint for the metrics of f and returns its address.
func start(t *testing.T, f *atomic.Pointer[core.Metrics]) string {
	t.Helper()
	return startWithSink(t, f, func(core.Event) {})
}

// startWithSink is start with a sink for the events to the core.
func startWithSink(t *testing.T, f *atomic.Pointer[core.Metrics], sink func(core.Event)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := admin.NewHealthHolder(sink)
	t.Cleanup(h.Close)
	d := admin.New([]string{"quote", "book"}, f.Load, h, slog.New(slog.DiscardHandler))
	go d.Serve(l)
	t.Cleanup(func() { d.Close() })
	return l.Addr().String()
}

// call sends one raw request and returns the status line.
func call(t *testing.T, addr, request string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(c, request)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatalf("%q: %v", request, err)
	}
	return strings.TrimSpace(line)
}

// metrics returns metrics with some counts.
func metrics(serves bool) *atomic.Pointer[core.Metrics] {
	var p atomic.Pointer[core.Metrics]
	p.Store(&core.Metrics{OK: []uint64{812, 3}, Shed: []uint64{1, 0}, Errors: []uint64{0, 2}, Tries: []uint64{815, 5}, Active: 14, Serving: serves,
		Retained: core.Retained{Connections: 5, Timers: 9, OpenBytes: 4096, PendingResults: 2, Keys: 3, KeyBytes: 1536},
		Pool:     core.PoolCounts{Links: 6, InDoubt: 7, Repeated: 8, GivenUp: 10, UnknownEnds: 9}})
	return &p
}

// Health follows the state of the process, unless fail holds it down; ok releases it.
func TestHealthAndDrain(t *testing.T) {
	f := metrics(false)
	events := make(chan core.Event, 4)
	addr := startWithSink(t, f, func(e core.Event) { events <- e })
	get := "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, step := range []struct {
		serves bool
		call   string
		want   string
	}{
		{false, get, "HTTP/1.1 503 Service Unavailable"},
		{true, get, "HTTP/1.1 200 OK"},
		{true, "PUT /healthcheck/fail HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK"},
		{true, get, "HTTP/1.1 503 Service Unavailable"},
		{true, "PUT /healthcheck/ok HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK"},
		{true, get, "HTTP/1.1 200 OK"},
	} {
		f.Load().Serving = step.serves
		if got := call(t, addr, step.call); got != step.want {
			t.Fatalf("%q with serving %v: %s, want %s", step.call, step.serves, got, step.want)
		}
	}
	for _, want := range []core.OperatorDrain{{On: true}, {On: false}} {
		if got := <-events; got != want {
			t.Fatalf("the core received %#v, want %#v", got, want)
		}
	}
}

// The metrics are name=value lines under their documented names.
func TestStats(t *testing.T) {
	addr := start(t, metrics(true))
	res, err := http.Get("http://" + addr + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(res.Body)
	res.Body.Close()
	want := "svc.ok.quote=812\nsvc.ok.book=3\nsvc.shed.quote=1\nsvc.shed.book=0\nsvc.errors.quote=0\nsvc.errors.book=2\n" +
		"svc.tries.quote=815\nsvc.tries.book=5\nsvc.active=14\ncalls.hand=0\ncalls.wait=0\ncalls.lost=0\n" +
		"core.connections=5\ncore.timers=9\ncore.open_bytes=4096\ncore.results_pending=2\ncore.keys=3\ncore.key_bytes=1536\n" +
		"pool.links=6\npool.commands_in_doubt=7\npool.commands_repeated=8\npool.runs_given_up=10\npool.unknown_ends=9\n"
	if string(body) != want {
		t.Fatalf("stats:\n%s\nwant:\n%s", body, want)
	}
}

// Invalid requests get their status codes and change nothing.
func TestInvalidRequests(t *testing.T) {
	addr := start(t, metrics(true))
	for request, want := range map[string]string{
		"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n":                           "HTTP/1.1 404 Not Found",
		"POST /healthcheck HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n": "HTTP/1.1 405 Method Not Allowed",
		"GET /healthcheck/fail HTTP/1.1\r\nHost: x\r\n\r\n":                  "HTTP/1.1 405 Method Not Allowed",
		"BAD\r\n\r\n": "HTTP/1.1 400 Bad Request",
		"GET /stats HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 8<<10) + "\r\n\r\n": "HTTP/1.1 431 Request Header Fields Too Large",
	} {
		if got := call(t, addr, request); got != want {
			t.Errorf("%.40q: %s, want %s", request, got, want)
		}
	}
	if got := call(t, addr, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n"); got != "HTTP/1.1 200 OK" {
		t.Fatalf("health after invalid requests: %s", got)
	}
}

// Silent connections do not block others: a health check among them is answered at once, and those beyond the limit are
// closed.
func TestSilentConnectionsDoNotBlockOthers(t *testing.T) {
	addr := start(t, metrics(true))
	for range admin.MaxConns + 8 {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	time.Sleep(50 * time.Millisecond) // until all are accepted; those closed free their room at once
	started := time.Now()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(c, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if elapsed := time.Since(started); err != nil || elapsed > 1100*time.Millisecond {
		t.Fatalf("health among %d silent connections: %q, %v after %v; want within 1 s", admin.MaxConns+8, line, err, elapsed)
	}
}
