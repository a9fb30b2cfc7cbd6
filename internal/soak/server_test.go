package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

// program is the real program, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(standin.WithProgram(&program, func() int {
		os.Setenv(shimProgram, program)
		return m.Run()
	}))
}

// The platform's kill comes no earlier after SIGTERM than the longest deadline, counted as so much at most, and this.
const (
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond
)

// server is a real app server with what stands behind it, its worker pool reached through a relay.
type server struct {
	*standin.Box
	site     *standin.Site
	net      *faultnet.Net
	pools    [2]string // the ways to the worker pool
	deadline time.Duration
	grace    time.Duration
	killed   bool           // by SIGKILL: it had not ended by then
	toPool   faultnet.Fault // of the ways to the worker pool, when nothing else happens on them
}

const (
	serverName = "n1"
	poolName   = "pool"
	belowName  = "below"
	otherPool  = "other way to the pool"
)

// serve starts a server whose classes all have one deadline, and whose runs take work. It ends with the test.
func serve(t *testing.T, deadline, grace, work time.Duration) *server {
	t.Helper()
	return serveAs(t, program, deadline, grace, work)
}

// serveAs is serve with a program of its own.
func serveAs(t *testing.T, program string, deadline, grace, work time.Duration) *server {
	t.Helper()
	site, err := standin.NewSite(work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	s := &server{site: site, net: faultnet.New(), deadline: deadline, grace: grace}
	t.Cleanup(s.net.Close)
	for i, name := range []string{poolName, otherPool} {
		if s.pools[i], err = s.net.Relay(serverName, name, site.Pool); err != nil {
			t.Fatal(err)
		}
	}
	site.Pool = s.pools[0]
	if site.Index, err = s.net.Relay(serverName, belowName, site.Index); err != nil {
		t.Fatal(err)
	}
	size := standin.Size{Tenants: standin.Stands, Classes: standin.Classes, Sockets: 512, MemoryMB: 64, GiveUp: deadline,
		Stop: s.killIn() + 500*time.Millisecond, Grace: grace}
	if s.Box, err = standin.NewBoxOfSize(program, t.TempDir(), serverName, site, "", size); err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

// killIn is how soon after SIGTERM the kill may come, which is earlier than stop_ms says.
func (s *server) killIn() time.Duration { return min(s.deadline, longestCounted) + killAfter }

// reset resets the connections to one of those behind the server, once.
func (s *server) reset(name string) {
	on := func(_, to string) bool { return to == name }
	s.net.Set(faultnet.Fault{Refuse: true}, on)
	if name == poolName {
		s.net.Set(s.toPool, on)
		return
	}
	s.net.Set(faultnet.Fault{}, on)
}

// slowPool has the ways to the worker pool be slow from now on.
func (s *server) slowPool(each time.Duration) {
	s.toPool = faultnet.Fault{Delay: each}
	s.net.Set(s.toPool, func(_, to string) bool { return to == poolName || to == otherPool })
}

// loseCommands resets the link to the worker pool along with all that was sent on it for so long.
func (s *server) loseCommands(span time.Duration) {
	toPool := func(_, to string) bool { return to == poolName }
	lossy := s.toPool
	lossy.Drop = true
	s.net.Set(lossy, toPool)
	time.Sleep(span)
	s.reset(poolName)
}

// movePool has a new configuration name the other way to the worker pool.
func (s *server) movePool(t *testing.T, to int) {
	err := s.Rewrite(func(config map[string]any) { config["pool"] = s.pools[to%len(s.pools)] })
	if err != nil {
		t.Error(err)
	}
	s.signalLater(0, syscall.SIGHUP)
}

// succeed starts a newer process of the server, with a site of its own, and returns once it serves.
func (s *server) succeed(t *testing.T, work time.Duration) *server {
	t.Helper()
	site, err := standin.NewSite(work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	next := &server{site: site, net: s.net, deadline: s.deadline, grace: s.grace}
	if next.Box, err = s.Twin(filepath.Join(t.TempDir(), "next"), site); err == nil {
		err = next.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Kill)
	return next
}

// leave sends SIGTERM, and SIGKILL when the platform may, and returns once the process has ended. Whoever sends SIGTERM
// stands still with the machine; m is that, and may be nil.
func (s *server) leave(m *machine) times {
	at := times{grace: s.grace}
	var ended <-chan struct{}
	m.whileItRuns(func() error {
		at.term = time.Now()
		ended = s.Term()
		return nil
	})
	at.kill = at.term.Add(s.killIn())
	select {
	case <-ended:
	case <-time.After(time.Until(at.kill)):
		s.killed = true
		s.Kill()
	}
	at.ended = time.Now()
	return at
}
