package driver

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/link"
)

// fakeProcess is a process that is warm and has no open requests.
type fakeProcess struct{ healthHeld atomic.Bool }

func (s *fakeProcess) Report() maintenance.Report {
	return maintenance.Report{Warm: true, Capacity: 100, Load: 30}
}
func (s *fakeProcess) HoldHealth(on bool) { s.healthHeld.Store(on) }

// testServer is a server with a directory and an address that outlive its processes.
type testServer struct {
	t               *testing.T
	name, zone, dir string
	addr            string
	others          []string
	process         fakeProcess
	link            *link.Link
	stop            func()
}

// start starts a new process of the server.
func (s *testServer) start() {
	s.t.Helper()
	log := slog.New(slog.DiscardHandler)
	l, err := link.New(link.Options{Listen: s.addr}, log)
	if err != nil {
		s.t.Fatal(err)
	}
	s.link = l
	o := Defaults()
	o.Dir, o.Zone, o.DrainMs = s.dir, s.zone, 300
	d, err := New(o, s.name, s.addr, (&link.Options{Servers: s.others}).Peers(), l, &s.process, log)
	if err != nil {
		s.t.Fatal(err)
	}
	in, err := l.Listen()
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		l.Serve(ctx, in, d.Handler())
		close(served)
	}()
	go d.Run(ctx)
	s.stop = func() {
		end()
		<-d.done
		<-served
		s.stop = nil
	}
}

func (s *testServer) state() (Status, bool) {
	client := s.link.Dial(s.name, s.addr)
	defer client.Close()
	status, err := FetchStatus(context.Background(), client)
	return status, err == nil
}

// command sends a command, and returns its error; "" = success.
func (s *testServer) command(command Command) string {
	client := s.link.Dial(s.name, s.addr)
	defer client.Close()
	if err := SendCommand(s.t.Context(), client, command); err != nil {
		return err.Error()
	}
	return ""
}

// until waits for a condition, and fails the test after a minute.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// Three servers on real sockets: one founds the fleet, the others are admitted and become voters. A plan drains each
// in turn, with a failing health check, while the leader is restarted once and each server comes back as a new
// process.
func TestPlanDrainsThreeServersInTurn(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	defer http.DefaultClient.CloseIdleConnections()
	var all []*testServer
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, &testServer{t: t, name: fmt.Sprint("n", i+1), zone: fmt.Sprint("z", i), dir: t.TempDir(), addr: l.Addr().String()})
		l.Close()
	}
	for _, s := range all {
		for _, o := range all {
			if o != s {
				s.others = append(s.others, o.name+"="+o.addr)
			}
		}
		s.start()
	}
	defer func() {
		for _, s := range all {
			if s.stop != nil {
				s.stop()
			}
		}
	}()
	if errText := all[0].command(Command{Found: true}); errText != "" {
		t.Fatal(errText)
	}
	if errText := all[0].command(Command{Found: true}); errText == "" {
		t.Fatal("a second fleet was founded on the same log")
	}
	until(t, "three voters in service", func() bool {
		for _, s := range all {
			status, ok := s.state()
			if !ok || len(status.Members) != 3 || slices.ContainsFunc(status.Boxes, func(x maintenance.Server) bool { return x.Phase != maintenance.InService || x.Incarnation == 0 }) {
				return false
			}
			for _, m := range status.Members {
				if !m.Voter {
					return false
				}
			}
		}
		return true
	})
	plan := maintenance.Plan{ID: "disks", By: "staff", Reason: "new disks", Boxes: []string{"n1", "n2", "n3"}, Most: 1, Floor: 0.1}
	if errText := all[2].command(Command{Entry: maintenance.Entry{Kind: maintenance.Propose, Plan: plan}}); errText != "" {
		t.Fatal(errText)
	}
	if errText := all[1].command(Command{Entry: maintenance.Entry{Kind: maintenance.Propose, Plan: maintenance.Plan{ID: "x", By: "staff", Boxes: []string{"n9"}, Most: 1}}}); errText == "" {
		t.Fatal("a plan for an unknown server was accepted")
	}
	outCount := map[string]int{}
	leaderRestarted := false
	until(t, "plan done", func() bool {
		out := 0
		for _, s := range all {
			if s.stop == nil {
				continue
			}
			status, ok := s.state()
			if !ok {
				continue
			}
			for _, x := range status.Boxes {
				if x.Name == s.name && x.Phase == maintenance.Drained && x.Incarnation == status.Incarnation {
					if !s.process.healthHeld.Load() {
						t.Fatalf("%s is out, but its health check does not fail", s.name)
					}
					out++
					outCount[s.name]++
					if !leaderRestarted { // the leader is restarted while another server is out
						leaderRestarted = true
						for _, l := range all {
							if l.name == status.Leader && l != s {
								l.stop()
								l.start()
							}
						}
					}
					s.stop()
					s.start() // the maintenance is done
				}
			}
			if out > 1 {
				t.Fatalf("%d servers are out at once", out)
			}
			if i := slices.IndexFunc(status.Plans, func(p maintenance.Plan) bool { return p.ID == "disks" }); i >= 0 && status.Plans[i].State == maintenance.Done {
				return true
			}
		}
		return false
	})
	for _, s := range all {
		if outCount[s.name] != 1 {
			t.Errorf("%s was out %d times", s.name, outCount[s.name])
		}
	}
}

// Malformed messages, reports and commands are refused at once, those of servers that are not members are ignored.
func TestMalformedRequestsAreRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, name: "n1", zone: "a", dir: t.TempDir(), addr: l.Addr().String()}
	l.Close()
	s.start()
	defer func() { s.stop() }()
	for _, c := range []struct {
		path, body string
		code       int
	}{
		{"/fleet/messages", "\xff\xff\xff\xff\x0f", http.StatusBadRequest}, // the length is longer than what follows
		{"/fleet/messages", "", http.StatusBadRequest},
		{"/fleet/messages", "\x01\xa0\x03abc", http.StatusOK}, // well-formed, but not a raft message: dropped
		{"/fleet/report", "x", http.StatusBadRequest},
		{"/fleet/knock", "\xa0", http.StatusServiceUnavailable}, // there is no leader
		{"/fleet/command", `{"Foond":true}`, http.StatusBadRequest},
		{"/fleet/elsewhere", "", http.StatusNotFound},
	} {
		res, err := http.Post("http://"+s.addr+c.path, "", bytes.NewReader([]byte(c.body)))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != c.code {
			t.Errorf("%s %q: %d, want %d", c.path, c.body, res.StatusCode, c.code)
		}
	}
	if errText := s.command(Command{Entry: maintenance.Entry{Kind: maintenance.Pause, Plan: maintenance.Plan{ID: "p"}}}); errText == "" {
		t.Error("a command was accepted without a leader")
	}
	if _, ok := s.state(); !ok {
		t.Error("the server no longer answers")
	}
}

// Each process of a server has a larger number than all earlier ones, even after the clock was set back.
func TestIncarnationsIncrease(t *testing.T) {
	dir := t.TempDir()
	previous := uint64(0)
	for _, now := range []uint64{100, 50, 50, 200} {
		n, err := nextIncarnation(dir, now)
		if err != nil || n <= previous || n < now {
			t.Fatalf("%d after %d at %d: %v", n, previous, now, err)
		}
		previous = n
	}
	if _, err := nextIncarnation(dir+"/none", 1); err == nil {
		t.Error("a missing directory was accepted")
	}
}
