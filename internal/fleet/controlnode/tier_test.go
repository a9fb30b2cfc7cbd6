package controlnode_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/fleet/watch"
	"larchscale/internal/link"
	"larchscale/internal/scenario/certs"
	"larchscale/internal/standin"
)

// within is how long a test waits for what has to come; it is reached only by a test that fails.
const within = 60 * time.Second

// testNode is one control node on a directory and addresses that outlive its processes.
type testNode struct {
	name, dir, addr, sessions string
	tier                      *tier
	link                      *link.Link
	driver                    *driver.Driver
	node                      *controlnode.Node
	stop                      func() // nil = it does not run
}

// testServer is one app server.
type testServer struct {
	name    string
	client  *controlclient.Client
	held    atomic.Bool
	applied atomic.Uint64
	mu      sync.Mutex
	values  map[string][]byte // documents in force, by key
	lost    atomic.Int64      // times at which it held no lease after it had one
	holds   atomic.Bool
	stop    func()
}

// Report implements driver.Process.
func (s *testServer) Report() maintenance.Report {
	return maintenance.Report{Warm: true, Capacity: 100, Load: 30}
}

// HoldHealth implements driver.Process.
func (s *testServer) HoldHealth(on bool) { s.held.Store(on) }

// tier is a control tier with servers, all in one process.
type tier struct {
	t       *testing.T
	log     *slog.Logger
	certs   string // directory; "" = without TLS
	nodes   []*testNode
	servers []*testServer
	losing  losing
}

// newTier starts nodes and servers, and has the first node found the fleet.
func newTier(t *testing.T, nodes, servers int, tls bool) *tier {
	t.Helper()
	f := &tier{t: t, log: slog.New(slog.DiscardHandler)}
	if tls {
		f.certs = t.TempDir()
		_, _, ca := certs.New(t, f.certs, "ca", nil)
		for i := range nodes {
			certs.New(t, f.certs, fmt.Sprint("c", i+1), ca)
		}
		for i := range servers {
			certs.New(t, f.certs, fmt.Sprint("app-", i+1), ca)
		}
		certs.New(t, f.certs, "app-9", ca) // of a server that is not started
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &testNode{name: fmt.Sprint("c", i+1), dir: t.TempDir(), addr: f.addr(), sessions: f.addr(), tier: f})
	}
	for _, n := range f.nodes {
		n.start()
	}
	t.Cleanup(f.close)
	f.until("the fleet is founded", func() bool { return f.nodes[0].say(driver.Command{Found: true}) == nil })
	for i := range servers {
		f.serve(fmt.Sprint("app-", i+1))
	}
	return f
}

func (f *tier) addr() string {
	f.t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		f.t.Fatal(err)
	}
	return addr
}

// way returns the options of links and sessions for a certificate's name.
func (f *tier) way(name string) link.Options {
	if f.certs == "" {
		return link.Options{}
	}
	file := func(suffix string) string { return f.certs + "/" + suffix }
	return link.Options{CA: file("ca.crt"), Cert: file(name + ".crt"), Key: file(name + ".key")}
}

// close ends all processes. It may be called twice.
func (f *tier) close() {
	for _, s := range f.servers {
		s.stop()
	}
	f.servers = nil
	for _, n := range f.nodes {
		if n.stop != nil {
			n.stop()
		}
	}
}

// until waits for what has to come.
func (f *tier) until(what string, is func() bool) {
	f.t.Helper()
	for end := time.Now().Add(within); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not so: %s\n%s", what, f.describe())
		}
	}
}

func (f *tier) describe() string {
	var out strings.Builder
	for _, n := range f.nodes {
		status, err := n.state()
		fmt.Fprintf(&out, "%s: leader %q, index %d, %v, waits %v, boxes %v\n", n.name, status.Leader, status.Index, err, status.Waits, status.Boxes)
	}
	for _, s := range f.servers {
		fmt.Fprintf(&out, "%s: %s\n", s.name, strings.ReplaceAll(string(s.client.Metrics()), "\n", " "))
	}
	return out.String()
}

// start is a new process of the node.
func (n *testNode) start() {
	t := n.tier.t
	t.Helper()
	options := n.tier.way(n.name)
	options.Listen = n.addr
	var names []string
	for _, other := range n.tier.nodes {
		names = append(names, other.name)
		if other != n {
			options.Servers = append(options.Servers, other.name+"="+other.addr)
		}
	}
	var err error
	if n.link, err = link.New(options, n.tier.log); err != nil {
		t.Fatal(err)
	}
	n.node = controlnode.New(controlnode.Options{Name: n.name, Members: names, MaxSessions: 64, OpensPerSecond: 100, OpensBurst: 100, MaxSnapshots: 4, DrainPerSecond: 100}, n.tier.log)
	part := driver.Defaults()
	part.Dir, part.Zone, part.Voters, part.Members, part.DrainMs = n.dir, "z-"+n.name, len(names), names, 100
	if n.driver, err = driver.New(part, n.name, n.addr, options.Peers(), n.link, n.node, n.tier.log, n.node.Modules()...); err != nil {
		t.Fatal(err)
	}
	between, err := n.link.Listen()
	if err != nil {
		t.Fatal(err)
	}
	servers, err := net.Listen("tcp", n.sessions)
	if err != nil {
		t.Fatal(err)
	}
	config, err := options.TLS()
	if err != nil {
		t.Fatal(err)
	}
	accept := &stream.Server{TLS: config, ReadTimeout: session.SessionTimeout, MaxSessions: 64, Meter: &stream.Meter{}, Log: n.tier.log, Accept: n.node.Accept}
	ctx, end := context.WithCancel(context.Background())
	var running []chan struct{}
	for _, run := range []func(){
		func() {
			n.link.Serve(ctx, between, controlnode.Guard(names, n.tier.losing.handler(n.driver.Handler())))
		},
		func() { accept.Serve(ctx, servers) },
		func() { n.driver.Run(ctx) },
	} {
		done := make(chan struct{})
		running = append(running, done)
		go func() {
			defer close(done)
			run()
		}()
	}
	n.stop = func() {
		end()
		for _, done := range running {
			<-done
		}
		n.stop = nil
	}
}

func (n *testNode) state() (driver.Status, error) {
	client := n.link.Dial(n.name, n.addr)
	defer client.Close()
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	return driver.FetchStatus(ctx, client)
}

func (n *testNode) say(word driver.Command) error {
	client := n.link.Dial(n.name, n.addr)
	defer client.Close()
	return driver.SendCommand(n.tier.t.Context(), client, word)
}

// metric returns a metric of the node; -1 = it is not there.
func (n *testNode) metric(name string) int {
	if n.stop == nil {
		return -1
	}
	return metric(n.driver.Metrics(), name)
}

func metric(lines []byte, name string) int {
	for line := range strings.SplitSeq(string(lines), "\n") {
		if key, value, _ := strings.Cut(line, "="); key == name {
			if number, err := strconv.Atoi(value); err == nil {
				return number
			}
		}
	}
	return -1
}

// leader returns the node that leads as the nodes that run see it.
func (f *tier) leader() *testNode {
	for _, n := range f.nodes {
		if n.metric("fleet.leader") == 1 {
			return n
		}
	}
	return nil
}

// serve starts an app server.
func (f *tier) serve(name string) *testServer {
	f.t.Helper()
	s := &testServer{name: name, values: map[string][]byte{}}
	options := controlclient.Defaults()
	options.Zone, options.DrainMs = "a", 100
	way := f.way(name)
	options.CA, options.Cert, options.Key = way.CA, way.Cert, way.Key
	for _, n := range f.nodes {
		options.Nodes = append(options.Nodes, n.name+"="+n.sessions)
	}
	var err error
	s.client, err = controlclient.New(options, controlclient.Server{Name: name, Body: s, Applied: s.applied.Load,
		Configure: s.configure}, f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.client.Run(ctx)
	}()
	go s.watchLease(ctx)
	s.stop = func() {
		end()
		<-done
	}
	f.servers = append(f.servers, s)
	return s
}

// configure puts documents in force.
func (s *testServer) configure(revision uint64, changed []watch.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, update := range changed {
		key := strings.TrimPrefix(update.Key, session.ConfigurationPrefix)
		if update.Deleted {
			delete(s.values, key)
		} else {
			s.values[key] = update.Value
		}
	}
	s.applied.Store(revision)
}

// document returns the value of a document in force; nil = there is none.
func (s *testServer) document(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

func (s *testServer) documents() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.values)
}

// watchLease counts the times at which the server's lease ended.
func (s *testServer) watchLease(ctx context.Context) {
	clock := time.NewTicker(20 * time.Millisecond)
	defer clock.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.C:
		}
		holds := s.metric("fleet.lease_ms") > 0
		if s.holds.Swap(holds) && !holds {
			s.lost.Add(1)
		}
	}
}

func (s *testServer) metric(name string) int { return metric(s.client.Metrics(), name) }

// all reports whether something is so for all servers.
func (f *tier) all(is func(*testServer) bool) bool {
	for _, s := range f.servers {
		if !is(s) {
			return false
		}
	}
	return true
}

func leased(s *testServer) bool {
	return s.metric("fleet.session") == int(session.Open) && s.metric("fleet.lease_ms") > 0 && s.metric("fleet.phase") == int(maintenance.InService)
}

// settled reports whether all nodes vote, and all servers have a session and a lease and are in.
func (f *tier) settled() bool {
	return f.all(leased) && f.leader() != nil && f.leader().metric("fleet.voters") == len(f.nodes) && f.leader().metric("fleet.servers") == len(f.servers)
}

// Three control nodes and five servers: all sessions open and all servers hold leases; documents are in force at all and
// acknowledged; one server is taken out and comes back; a node that ends has its servers move, and no lease ends.
func TestATierOfThreeNodes(t *testing.T) {
	for name, tls := range map[string]bool{"without TLS": false, "mutual TLS": true} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			f := newTier(t, 3, 5, tls)
			defer f.close()
			f.until("all servers have leases", f.settled)
			f.configure("flags/lanes", "two", 1)
			f.configure("flags/lanes", "three", 1)
			f.takeOut("app-2")
			f.loseNode()
			f.configure("routes/north", strings.Repeat("r", 60<<10), 2)
			f.forget("flags/lanes", 1)
			for _, s := range f.servers {
				if lost := s.lost.Load(); lost != 0 {
					t.Errorf("%s lost its lease %d times", s.name, lost)
				}
			}
		})
	}
}

// configure gives a document a value, and waits until it is in force at all servers, each of which then has so many.
func (f *tier) configure(key, value string, documents int) {
	f.t.Helper()
	f.command(controlnode.Command{Key: key, Value: []byte(value), By: "staff"})
	f.until("document "+key+" is in force at all servers", func() bool {
		return f.all(func(s *testServer) bool { return string(s.document(key)) == value && s.documents() == documents }) && f.acknowledged()
	})
	var asked controlnode.DocumentStatus
	found, err := f.item(key, &asked)
	if err != nil || !found || string(asked.Value) != value || asked.By != "staff" || asked.Revision == 0 {
		f.t.Errorf("document %s is %+v, %v, %v", key, asked, found, err)
	}
}

// forget deletes a document, and waits until it is gone at all servers, each of which then has so many.
func (f *tier) forget(key string, documents int) {
	f.t.Helper()
	f.command(controlnode.Command{Key: key, Delete: true, By: "staff"})
	f.until("document "+key+" is gone at all servers", func() bool {
		return f.all(func(s *testServer) bool { return s.document(key) == nil && s.documents() == documents }) && f.acknowledged()
	})
	if found, err := f.item(key, &controlnode.DocumentStatus{}); found || err != nil {
		f.t.Errorf("document %s is there after its end: %v", key, err)
	}
}

// command has an operator say a word on a document, until it is agreed. A word that was agreed and not answered has no
// second effect.
func (f *tier) command(command controlnode.Command) {
	f.t.Helper()
	data, err := json.Marshal(command)
	if err != nil {
		f.t.Fatal(err)
	}
	f.until("the command is agreed", func() bool {
		err := f.nodes[2].say(driver.Command{Part: controlnode.ConfigurationPart, Data: data})
		return err == nil || command.Delete && strings.Contains(err.Error(), "unknown document")
	})
}

// acknowledged reports whether the leader knows that all servers have the newest configuration in force.
func (f *tier) acknowledged() bool {
	leader := f.leader()
	if leader == nil {
		return false
	}
	client := leader.link.Dial(leader.name, leader.addr)
	defer client.Close()
	var status controlnode.Status
	if err := driver.FetchModuleStatus(f.t.Context(), client, controlnode.SessionPart, &status); err != nil {
		return false
	}
	sessions := 0
	for _, n := range status.Nodes {
		sessions += n.Sessions
	}
	return status.Leads && status.Servers == len(f.servers) && status.Behind == 0 && status.Configuration > 0 && sessions == len(f.servers)
}

// item asks the first node for a document.
func (f *tier) item(key string, into *controlnode.DocumentStatus) (bool, error) {
	client := f.nodes[0].link.Dial(f.nodes[0].name, f.nodes[0].addr)
	defer client.Close()
	return driver.FetchItem(f.t.Context(), client, controlnode.ConfigurationPart, key, into)
}

// takeOut has a plan take out a server, which is another process afterwards.
func (f *tier) takeOut(name string) {
	f.t.Helper()
	var server *testServer
	for _, s := range f.servers {
		if s.name == name {
			server = s
		}
	}
	plan := maintenance.Plan{ID: "disks", By: "staff", Reason: "new disks", Boxes: []string{name}, Most: 1, Floor: 0.1}
	f.until("the plan is taken", func() bool {
		return f.nodes[1].say(driver.Command{Entry: maintenance.Entry{Kind: maintenance.Propose, Plan: plan}}) == nil
	})
	f.until(name+" is out", func() bool { return server.metric("fleet.phase") == int(maintenance.Drained) && server.held.Load() })
	server.stop()
	was := server.metric("fleet.life")
	for i, s := range f.servers {
		if s == server {
			f.servers = append(f.servers[:i], f.servers[i+1:]...)
			break
		}
	}
	f.serve(name)
	f.until("the plan is done and all are in", func() bool {
		status, err := f.nodes[0].state()
		plan := status.State.Plan("disks")
		return err == nil && plan != nil && plan.State == maintenance.Done && f.settled()
	})
	if now := f.servers[len(f.servers)-1].metric("fleet.life"); now <= was {
		f.t.Errorf("the new process of %s has token %d, the old one had %d", name, now, was)
	}
}

// loseNode ends the node that leads; it comes back later.
func (f *tier) loseNode() {
	f.t.Helper()
	leader := f.leader()
	moved := leader.metric("fleet.sessions")
	leader.stop()
	f.until("all servers are at the other nodes", func() bool {
		sessions := 0
		for _, n := range f.nodes {
			if n.stop != nil {
				sessions += n.metric("fleet.sessions")
			}
		}
		return sessions == len(f.servers) && f.all(leased) && f.leader() != nil && f.leader().metric("fleet.servers") == len(f.servers)
	})
	f.t.Logf("%d of %d sessions moved", moved, len(f.servers))
	leader.start()
	f.until("the node follows again", func() bool { return leader.metric("fleet.known") == 1 && leader.metric("fleet.revision") > 0 })
}

// A leader hands that over before it ends: once it says so another node leads, the old one follows it, and it votes on.
func TestALeaderHandsOver(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newTier(t, 3, 1, false)
	defer f.close()
	f.until("all servers have leases", f.settled)
	ctx, stop := context.WithTimeout(t.Context(), within)
	defer stop()
	for range 3 {
		old := f.leader()
		before, err := old.state()
		if err != nil {
			t.Fatal(err)
		}
		if err := old.driver.TransferLeadership(ctx); err != nil {
			t.Fatal(err)
		}
		after, err := old.state()
		if err != nil || after.Leader == "" || after.Leader == old.name || after.Term <= before.Term {
			t.Fatalf("%s led in term %d, now %q in term %d, %v", old.name, before.Term, after.Leader, after.Term, err)
		}
		f.until("all servers have leases of the new leader", func() bool { return f.settled() && f.leader().name == after.Leader })
		if err := old.driver.TransferLeadership(ctx); err != nil {
			t.Errorf("%s does not lead and has nothing to hand over: %v", old.name, err)
		}
	}
}

// A node without another that could lead says so.
func TestNobodyToHandOverTo(t *testing.T) {
	f := newTier(t, 1, 0, false)
	f.until("the node leads", func() bool { return f.leader() != nil })
	if err := f.nodes[0].driver.TransferLeadership(t.Context()); !errors.Is(err, driver.ErrNoSuccessor) {
		t.Error(err)
	}
}

// A control node that is taken out has no session left when it is out, and takes none; as another process it does again.
func TestAControlNodeIsTakenOut(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newTier(t, 3, 5, false)
	defer f.close()
	f.until("all servers have leases", f.settled)
	out := f.nodes[0]
	for _, n := range f.nodes {
		if n.metric("fleet.sessions") > out.metric("fleet.sessions") {
			out = n
		}
	}
	t.Logf("%s is taken out with %d of 5 sessions", out.name, out.metric("fleet.sessions"))
	plan := maintenance.Plan{ID: "disks", By: "staff", Reason: "new disks", Boxes: []string{out.name}, Most: 1, Floor: 0.1}
	f.until("the plan is taken", func() bool {
		return out.say(driver.Command{Entry: maintenance.Entry{Kind: maintenance.Propose, Plan: plan}}) == nil
	})
	f.until(out.name+" is out", func() bool {
		status, err := out.state()
		box := status.State.Server(out.name)
		return err == nil && box != nil && box.Phase == maintenance.Drained
	})
	if sessions := out.openSessions(); sessions != 0 {
		t.Errorf("%s is out with %d sessions", out.name, sessions)
	}
	f.until("all servers are at the other nodes", func() bool {
		return f.all(leased) && f.leader() != nil && f.leader().metric("fleet.servers") == len(f.servers)
	})
	if sessions := out.openSessions(); sessions != 0 {
		t.Errorf("%s is out and took %d sessions", out.name, sessions)
	}
	for _, s := range f.servers {
		if lost := s.lost.Load(); lost != 0 {
			t.Errorf("%s lost its lease %d times", s.name, lost)
		}
	}
	out.stop()
	out.start()
	f.until("the plan is done", func() bool {
		status, err := f.nodes[0].state()
		plan := status.State.Plan("disks")
		return err == nil && plan != nil && plan.State == maintenance.Done && f.settled()
	})
	f.takesSessions(out)
}

// A node that is held sends its sessions away, and takes some again once it is not held any longer.
func TestANodeThatIsHeldNoLongerTakesSessions(t *testing.T) {
	f := newTier(t, 1, 1, false)
	f.until("the server has a lease", f.settled)
	n := f.nodes[0]
	n.node.HoldHealth(true)
	f.until("the session has ended", func() bool { return n.openSessions() == 0 && n.node.Report().Open == 0 })
	n.node.HoldHealth(false)
	f.until("the server has a session again", func() bool { return f.settled() && n.openSessions() == 1 && n.node.Report().Open == 1 })
}

// openSessions asks a node how many sessions it has at this moment; -1 = it does not answer.
func (n *testNode) openSessions() int {
	client := n.link.Dial(n.name, n.addr)
	defer client.Close()
	var status controlnode.Status
	if err := driver.FetchModuleStatus(n.tier.t.Context(), client, controlnode.SessionPart, &status); err != nil {
		return -1
	}
	for _, node := range status.Nodes {
		if node.Name == n.name {
			return node.Sessions
		}
	}
	return -1
}

// takesSessions starts a server that knows of one node alone, and waits until it has a lease.
func (f *tier) takesSessions(n *testNode) {
	f.t.Helper()
	nodes := f.nodes
	f.nodes = []*testNode{n}
	s := f.serve("at-" + n.name)
	f.nodes = nodes
	f.until("a server at "+n.name+" has a lease", func() bool { return leased(s) })
}
