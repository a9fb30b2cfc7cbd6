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

func open(t *testing.T, f *atomic.Pointer[core.Figures]) string {
	t.Helper()
	return openTelling(t, f, func(core.Event) {})
}

func openTelling(t *testing.T, f *atomic.Pointer[core.Figures], tell func(core.Event)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := admin.NewHolder(tell)
	t.Cleanup(h.Close)
	d := admin.New([]string{"quote", "book"}, f.Load, h, slog.New(slog.DiscardHandler))
	go d.Serve(l)
	t.Cleanup(func() { d.Close() })
	return l.Addr().String()
}

// call makes one raw call and gives the status line.
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

func figures(serves bool) *atomic.Pointer[core.Figures] {
	var p atomic.Pointer[core.Figures]
	p.Store(&core.Figures{OK: []uint64{812, 3}, Shed: []uint64{1, 0}, Errors: []uint64{0, 2}, Tries: []uint64{815, 5}, Active: 14, Serves: serves})
	return &p
}

// Health follows the process and the drain: fail holds it bad, ok gives it back.
func TestHealthAndDrain(t *testing.T) {
	f := figures(false)
	told := make(chan core.Event, 4)
	addr := openTelling(t, f, func(e core.Event) { told <- e })
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
		f.Load().Serves = step.serves
		if got := call(t, addr, step.call); got != step.want {
			t.Fatalf("%q with serving %v: %s, want %s", step.call, step.serves, got, step.want)
		}
	}
	for _, want := range []core.Hold{{On: true}, {On: false}} {
		if got := <-told; got != want {
			t.Fatalf("the loop was told %#v, want %#v", got, want)
		}
	}
}

// The figures come as name=value lines under the operators' names.
func TestStats(t *testing.T) {
	addr := open(t, figures(true))
	res, err := http.Get("http://" + addr + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(res.Body)
	res.Body.Close()
	want := "svc.ok.quote=812\nsvc.ok.book=3\nsvc.shed.quote=1\nsvc.shed.book=0\nsvc.errors.quote=0\nsvc.errors.book=2\n" +
		"svc.tries.quote=815\nsvc.tries.book=5\nsvc.active=14\ncalls.hand=0\ncalls.wait=0\ncalls.lost=0\n"
	if string(body) != want {
		t.Fatalf("stats:\n%s\nwant:\n%s", body, want)
	}
}

// Bad calls get their codes and touch nothing.
func TestBadCalls(t *testing.T) {
	addr := open(t, figures(true))
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
		t.Fatalf("health after bad calls: %s", got)
	}
}

// Callers that connect and say nothing hold up nobody: a health check among them is answered at once, and
// beyond the door's room they are closed unseen.
func TestSilentCallersHoldUpNobody(t *testing.T) {
	addr := open(t, figures(true))
	for range admin.MaxConns + 8 {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	time.Sleep(50 * time.Millisecond) // the door has taken them all in; what it closes frees room at once
	began := time.Now()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(c, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if took := time.Since(began); err != nil || took > 1100*time.Millisecond {
		t.Fatalf("health among %d silent callers: %q, %v after %v; want within 1 s", admin.MaxConns+8, line, err, took)
	}
}
