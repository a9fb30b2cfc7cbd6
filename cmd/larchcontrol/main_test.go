package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/scenario/certs"
	"larchscale/internal/standin"
)

var server, control string

func TestMain(m *testing.M) { os.Exit(standin.WithPrograms(&server, &control, m.Run)) }

// Bad settings are one line, and exit code 2.
func TestBadSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "control.toml")
	text := "name = 'c1'\nzone = 'a'\nregion = 'north'\nsessions = '127.0.0.1:2'\nnodes = ['c1=127.0.0.1:1']\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, args := range map[string][]string{
		"no file named":   {},
		"no such file":    {"--config", file + "x"},
		"no directory":    {"--config", file},
		"an unknown flag": {"--confg", file},
	} {
		var out bytes.Buffer
		if code := run(args, &out); code != 2 || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%s: code %d, %q", name, code, out.String())
		}
	}
}

// tierTest is a control tier of real processes in a test.
type tierTest struct {
	*testing.T
	*standin.Tier
	lost  atomic.Int64 // times at which a server that held a lease was seen without
	stop  chan struct{}
	ended chan struct{}
}

// newTier starts five nodes and six servers, and waits until all servers hold leases.
func newTier(t *testing.T, tls bool) *tierTest {
	t.Helper()
	o := standin.TierOptions{Nodes: 5, Servers: 6, DrainMs: 200}
	if tls {
		o.Certs = t.TempDir()
		_, _, ca := certs.New(t, o.Certs, "ca", nil)
		for _, name := range []string{"ops", "c1", "c2", "c3", "c4", "c5", "app-1", "app-2", "app-3", "app-4", "app-5", "app-6"} {
			certs.New(t, o.Certs, name, ca)
		}
	}
	return newTierOf(t, o)
}

// newTierOf starts a tier, and waits until all servers hold leases.
func newTierOf(t *testing.T, o standin.TierOptions) *tierTest {
	t.Helper()
	tier, err := standin.NewTier(server, control, t.TempDir(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tier.Close)
	f := &tierTest{T: t, Tier: tier, stop: make(chan struct{}), ended: make(chan struct{})}
	f.until("all servers hold leases", 30*time.Second, f.settled)
	return f
}

// until waits for what has to come, and otherwise tells what all processes say.
func (f *tierTest) until(what string, most time.Duration, is func() bool) {
	f.Helper()
	if err := standin.Until(what, most, is); err != nil {
		text := ""
		for _, n := range f.Nodes {
			text += fmt.Sprintf("\n%s %v\n%s", n.Name, n.Stats(), n.Log()[max(0, len(n.Log())-1500):])
		}
		for _, s := range f.Servers {
			text += fmt.Sprintf("\n%s %v\n%s", s.Name, s.Stats(), s.Log()[max(0, len(s.Log())-1500):])
		}
		f.Fatalf("%v%s", err, text)
	}
}

// settled reports whether all nodes vote and follow one leader, and all servers have a session, a lease and are in.
func (f *tierTest) settled() bool {
	leader := f.Leader()
	if leader == nil {
		return false
	}
	stats := leader.Stats()
	if stats["fleet.voters"] != float64(len(f.Nodes)) || stats["fleet.silent"] != 0 || stats["fleet.servers"] != float64(len(f.Servers)) {
		return false
	}
	for _, s := range f.Servers {
		if !leased(s.Stats()) {
			return false
		}
	}
	return true
}

func leased(stats map[string]float64) bool {
	return stats["fleet.session"] == float64(session.Open) && stats["fleet.lease_ms"] > 0 && stats["fleet.phase"] == float64(maintenance.InService)
}

// tokens are the fencing tokens of the servers' leases. A lease that ended and was granted again under the same token is
// not seen by them; one that was declared lost is.
func (f *tierTest) tokens() []float64 {
	var out []float64
	for _, s := range f.Servers {
		out = append(out, s.Stats()["fleet.life"])
	}
	return out
}

// watchLeases counts the moments at which a server is seen without a lease, until the returned function is called, which
// returns the count.
func (f *tierTest) watchLeases() (finish func() int64) {
	f.stop, f.ended = make(chan struct{}), make(chan struct{})
	f.lost.Store(0)
	go func() {
		defer close(f.ended)
		for {
			select {
			case <-f.stop:
				return
			default:
			}
			for _, s := range f.Servers {
				if stats := s.Stats(); stats != nil && stats["fleet.lease_ms"] <= 0 {
					f.lost.Add(1)
				}
			}
		}
	}()
	return func() int64 {
		close(f.stop)
		<-f.ended
		return f.lost.Load()
	}
}

// serves has a server answer a request.
func (f *tierTest) serves(s *standin.TierServer, handle int) bool {
	line, err := standin.DialLine(s.Listen)
	if err != nil {
		return false
	}
	defer line.Close()
	seen := line.Do(standin.Request{Handle: fmt.Sprintf("%016x", handle), Stand: standin.Stands[0], Class: standin.Classes[0], Body: "q", Budget: 5 * time.Second})
	return seen.End == "served"
}

// sessionsAt returns how many sessions the nodes have that answer, but one.
func (f *tierTest) sessionsAt(but *standin.ControlNode) (sum int) {
	for _, n := range f.Nodes {
		if n != but {
			sum += int(n.Stats()["fleet.sessions"])
		}
	}
	return sum
}

// busiest returns a node that does not lead with the most sessions.
func (f *tierTest) busiest(leader *standin.ControlNode) (best *standin.ControlNode) {
	for _, n := range f.Nodes {
		if n != leader && (best == nil || n.Stats()["fleet.sessions"] > best.Stats()["fleet.sessions"]) {
			best = n
		}
	}
	return best
}

// put gives a document a value, and waits until it is in force at all servers as the leader knows.
func (f *tierTest) put(key, value string) {
	f.Helper()
	f.agree(key, value)
	f.until("document "+key+" is in force at all servers", 15*time.Second, func() bool {
		leader := f.Leader()
		if leader == nil {
			return false
		}
		s, err := leader.Sessions()
		return err == nil && s.Leads && s.Configuration > 0 && s.Behind == 0 && s.Servers == len(f.Servers)
	})
}

// agree gives a document a value, and waits until that is agreed.
func (f *tierTest) agree(key, value string) {
	f.Helper()
	data, err := json.Marshal(controlnode.Command{Key: key, Value: []byte(value), By: "staff"})
	if err != nil {
		f.Fatal(err)
	}
	f.until("document "+key+" is agreed", 15*time.Second, func() bool {
		return slices.ContainsFunc(f.Nodes, func(n *standin.ControlNode) bool {
			return n.Say(driver.Command{Part: controlnode.ConfigurationPart, Data: data}) == nil
		})
	})
}

// Five control nodes and six app servers as real processes. The leader is killed, a follower is stopped and goes on, one
// node is ended in order: sessions move, and no lease ends. All nodes are killed at once and come back: the servers serve
// on, and hold their leases again.
func TestControlTierOfRealProcesses(t *testing.T) {
	f := newTier(t, true)
	f.put("flags/lanes", "two")
	tokens := f.tokens()

	finish := f.watchLeases()
	leader := f.Leader()
	leader.Kill()
	f.until("all servers are at the other nodes once the leader is killed", 15*time.Second, func() bool {
		return f.sessionsAt(leader) == len(f.Servers) && f.Leader() != nil && f.Leader().Stats()["fleet.servers"] == float64(len(f.Servers))
	})
	f.put("flags/lanes", "three")
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	f.until("the killed node is back", 20*time.Second, f.settled)

	follower := f.busiest(f.Leader())
	t.Logf("%s is stopped with %v sessions", follower.Name, follower.Stats()["fleet.sessions"])
	follower.Freeze()
	f.until("all servers are at the other nodes once a follower is stopped", 15*time.Second, func() bool { return f.sessionsAt(follower) == len(f.Servers) })
	follower.Thaw()
	f.until("the stopped node is back", 20*time.Second, f.settled)

	ending := f.busiest(f.Leader())
	t.Logf("%s is ended with %v sessions", ending.Name, ending.Stats()["fleet.sessions"])
	if code, err := ending.Term(); code != 0 || err != nil {
		t.Errorf("%s ended with %d: %v\n%s", ending.Name, code, err, ending.Log())
	}
	f.until("all servers are at the other nodes once one has ended", 15*time.Second, func() bool { return f.sessionsAt(ending) == len(f.Servers) })
	if err := ending.Start(); err != nil {
		t.Fatal(err)
	}
	f.until("the ended node is back", 20*time.Second, f.settled)
	if lost := finish(); lost != 0 {
		t.Errorf("servers were seen without a lease %d times", lost)
	}
	if now := f.tokens(); fmt.Sprint(now) != fmt.Sprint(tokens) {
		t.Errorf("leases were lost: tokens %v, were %v", now, tokens)
	}

	// Node after node as in a release: whoever leads hands that over before its sessions move.
	old := f.Leader()
	if code, err := old.Term(); code != 0 || err != nil {
		t.Errorf("%s, which led, ended with %d: %v\n%s", old.Name, code, err, old.Log())
	}
	handed, drained := strings.LastIndex(old.Log(), `do="hand over"`), strings.LastIndex(old.Log(), "msg=draining")
	if handed < 0 || handed > drained || strings.Contains(old.Log(), `msg="handing over"`) {
		t.Errorf("%s led, and did not hand that over before its sessions moved:\n%s", old.Name, old.Log())
	}
	if err := old.Start(); err != nil {
		t.Fatal(err)
	}
	f.until("the old leader is back", 20*time.Second, f.settled)

	for _, n := range f.Nodes {
		n.Kill()
	}
	f.until("all servers know that they hold no lease", 15*time.Second, func() bool {
		for _, s := range f.Servers {
			if s.Stats()["fleet.lease_ms"] != 0 {
				return false
			}
		}
		return true
	})
	for i, s := range f.Servers {
		if !f.serves(s, i+1) {
			t.Errorf("%s does not serve without control nodes", s.Name)
		}
	}
	for _, n := range f.Nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.until("all servers hold leases again", 30*time.Second, f.settled)
	f.put("flags/lanes", "four")
}

// A server is taken out by a plan, ends, and is in again as another process.
func TestAServerOfAControlTierIsTakenOut(t *testing.T) {
	f := newTier(t, false)
	s := f.Servers[2]
	token := s.Stats()["fleet.life"]
	plan := maintenance.Plan{ID: "disks", By: "staff", Reason: "new disks", Boxes: []string{s.Name}, Most: 1, Floor: 0}
	f.until("the plan is taken", 20*time.Second, func() bool {
		return f.Nodes[1].Say(driver.Command{Entry: maintenance.Entry{Kind: maintenance.Propose, Plan: plan}}) == nil
	})
	f.until("the server is out", 20*time.Second, func() bool {
		return s.Stats()["fleet.phase"] == float64(maintenance.Drained) && standin.Health(s.Admin) == 503
	})
	if code, err := s.Stop(); code != 0 || err != nil {
		t.Errorf("%s ended with %d: %v", s.Name, code, err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	f.until("the plan is done", 30*time.Second, func() bool {
		status, err := f.Nodes[3].State()
		plan := status.State.Plan("disks")
		return err == nil && plan != nil && plan.State == maintenance.Done && f.settled()
	})
	if now := s.Stats()["fleet.life"]; now <= token {
		t.Errorf("the new process has token %v, the old one had %v", now, token)
	}
}
