package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/watch"
	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
)

// patience is how long a test waits for what has to come after a fault; it is reached only by a test that fails.
const patience = 40 * time.Second

// Faults on the way between five control nodes in two regions, 3:2, and six app servers, one after the other: each begins
// with all ways whole, all nodes voting and all servers holding leases.
func TestFaultsBetweenProcesses(t *testing.T) {
	f := newTierOf(t, standin.TierOptions{Nodes: 5, Servers: 6, DrainMs: 200, Relays: true, TwoRegions: true})
	for _, fault := range []struct {
		name string
		test func(*tierTest)
	}{
		{"the leader hears and is not heard", (*tierTest).leaderIsNotHeard},
		{"the leader is heard and hears nothing", (*tierTest).leaderHearsNothing},
		{"a follower hears and is not heard", (*tierTest).followerIsNotHeard},
		{"a follower is heard and hears nothing", (*tierTest).followerHearsNothing},
		{"a node loses its disk", (*tierTest).nodeLosesItsDisk},
		{"the regions are cut off each other", (*tierTest).regionsAreCutOff},
		{"documents change while nodes die", (*tierTest).documentsChangeWhileNodesDie},
	} {
		began := time.Now()
		passed := t.Run(fault.name, func(t *testing.T) {
			step := &tierTest{T: t, Tier: f.Tier}
			step.put("begun/"+strings.ReplaceAll(fault.name, " ", "-"), "yes")
			fault.test(step)
			step.Net.Heal()
			step.until("all is as before", patience, step.settled)
		})
		if !passed {
			return // what follows would begin with the rest of this fault
		}
		t.Logf("%s: %.1f s", fault.name, time.Since(began).Seconds())
	}
}

// notHeard has nothing arrive that a node says: neither what it asks nor what it answers.
func (f *tierTest) notHeard(n *standin.ControlNode) {
	f.Net.Set(faultnet.Fault{Drop: true}, func(from, _ string) bool { return from == n.Name })
	f.Net.Set(faultnet.Fault{Deaf: true}, func(_, to string) bool { return to == n.Name })
}

// hearsNothing has nothing arrive at a node: neither what it is asked nor what it is answered.
func (f *tierTest) hearsNothing(n *standin.ControlNode) {
	f.Net.Set(faultnet.Fault{Deaf: true}, func(from, _ string) bool { return from == n.Name })
	f.Net.Set(faultnet.Fault{Drop: true}, func(_, to string) bool { return to == n.Name })
}

// movedFrom waits until all servers are at other nodes than one, of which another leads, and hold the leases of before.
func (f *tierTest) movedFrom(n *standin.ControlNode, tokens []float64) {
	f.Helper()
	f.until("all servers are at the other nodes", patience, func() bool {
		leader := f.leaderBut(n)
		return leader != nil && f.sessionsAt(n) == len(f.Servers) && f.all(func(s *standin.TierServer) bool { return leased(s.Stats()) })
	})
	f.sameTokens(tokens)
}

func (f *tierTest) sameTokens(tokens []float64) {
	f.Helper()
	if now := f.tokens(); !slices.Equal(now, tokens) {
		f.Errorf("servers that live were declared lost: tokens %v, were %v", now, tokens)
	}
}

// leaderBut returns the node that leads as it says itself, of all but one; nil = none does.
func (f *tierTest) leaderBut(but *standin.ControlNode) *standin.ControlNode {
	for _, n := range f.Nodes {
		if n != but && n.Stats()["fleet.leader"] == 1 {
			return n
		}
	}
	return nil
}

// all reports whether something is so for all servers.
func (f *tierTest) all(is func(*standin.TierServer) bool) bool {
	return !slices.ContainsFunc(f.Servers, func(s *standin.TierServer) bool { return !is(s) })
}

// term is that of the fleet as a node knows it.
func (f *tierTest) term(n *standin.ControlNode) uint64 {
	f.Helper()
	status, err := n.State()
	if err != nil {
		f.Fatal(err)
	}
	return status.Term
}

// The others elect a leader, and the old one leads no longer: no majority answers it that it hears.
func (f *tierTest) leaderIsCutOff(cut func(*standin.ControlNode)) {
	tokens, leader := f.tokens(), f.Leader()
	cut(leader)
	f.movedFrom(leader, tokens)
	f.until("who is cut off does not lead", patience, func() bool { return leader.Stats()["fleet.leader"] == 0 })
}

func (f *tierTest) leaderIsNotHeard()   { f.leaderIsCutOff(f.notHeard) }
func (f *tierTest) leaderHearsNothing() { f.leaderIsCutOff(f.hearsNothing) }
func (f *tierTest) followerIsNotHeard() { f.followerIsCutOff(f.notHeard) }

// The servers of a follower that is cut off go to other nodes.
func (f *tierTest) followerIsCutOff(cut func(*standin.ControlNode)) *standin.ControlNode {
	tokens, node := f.tokens(), f.busiest(f.Leader())
	cut(node)
	f.movedFrom(node, tokens)
	return node
}

// A follower that hears nothing asks for votes again and again, and does not get to a later term by that: it cannot have the
// leader step down when it is heard of again.
func (f *tierTest) followerHearsNothing() {
	node := f.followerIsCutOff(f.hearsNothing)
	var status driver.Status
	f.until("the node knows no leader", patience, func() (ok bool) {
		var err error
		status, err = node.State()
		return err == nil && status.Leader == ""
	})
	if now := f.term(f.leaderBut(node)); status.Term > now {
		f.Errorf("%s is in term %d by itself, the leader in term %d", node.Name, status.Term, now)
	}
}

// A node comes back without its disk: its old id is removed, the new one votes, and it has all documents.
func (f *tierTest) nodeLosesItsDisk() {
	tokens := f.tokens()
	lost := f.busiest(f.Leader())
	before := f.member(lost.Name)
	if err := lost.Wipe(); err != nil {
		f.Fatal(err)
	}
	f.movedFrom(lost, tokens)
	f.agree("wiped", "yes") // while the node is away
	if err := lost.Start(); err != nil {
		f.Fatal(err)
	}
	f.until("the node votes under a new id", patience, func() bool {
		now := f.member(lost.Name)
		return now.ID != 0 && now.ID != before.ID && now.Voter && f.settled()
	})
	f.oneDigest()
	status, err := f.Leader().State()
	if err != nil || len(status.Members) != len(f.Nodes) {
		f.Errorf("members %v, %v", status.Members, err)
	}
	f.sameTokens(tokens)
}

// member returns the member of a name, as the leader knows it; its zero value = none.
func (f *tierTest) member(name string) consensus.Member {
	leader := f.Leader()
	if leader == nil {
		return consensus.Member{}
	}
	status, err := leader.State()
	if i := slices.IndexFunc(status.Members, func(m consensus.Member) bool { return m.Name == name }); err == nil && i >= 0 {
		return status.Members[i]
	}
	return consensus.Member{}
}

// oneDigest waits until all nodes agree on all that is agreed.
func (f *tierTest) oneDigest() {
	f.Helper()
	f.until("all nodes have the same state", patience, func() bool {
		var digests []uint64
		for _, n := range f.Nodes {
			status, err := n.State()
			if err != nil {
				return false
			}
			digests = append(digests, status.Digest)
		}
		return len(slices.Compact(digests)) == 1
	})
}

// Servers in the region of the minority serve on without leases and say so, and are the only ones that are declared lost.
// Once the regions reach each other again, they hold leases and have the configuration of the majority.
func (f *tierTest) regionsAreCutOff() {
	tokens, told := f.tokens(), f.saidWithoutLease()
	south := func(s *standin.TierServer) bool { return s.Region == standin.South }
	f.Net.Set(faultnet.Fault{Drop: true, Deaf: true}, func(from, to string) bool { return f.region(from) != f.region(to) })
	f.until("the servers of the south are declared lost", patience, func() bool {
		leader := f.northernLeader()
		return leader != nil && leader.Stats()["fleet.lives"] == 3
	})
	for i, s := range f.Servers {
		if !f.serves(s, 0x100+i) {
			f.Errorf("%s does not serve while the regions are cut off", s.Name)
		}
		var now map[string]float64
		f.until(s.Name+" tells its metrics", patience, func() bool { now = s.Stats(); return now != nil })
		if south(s) && (now["fleet.lease_ms"] != 0 || now["fleet.known"] != 0) {
			f.Errorf("%s holds a lease that was declared lost: %v", s.Name, now)
		}
		if !south(s) && now["fleet.life"] != tokens[i] {
			f.Errorf("%s in the region of the majority has token %v, had %v", s.Name, now["fleet.life"], tokens[i])
		}
	}
	f.until("the servers of the north hold leases, those of the south say that they hold none", patience, func() bool {
		said := f.saidWithoutLease()
		for i, s := range f.Servers {
			if south(s) && said[i] <= told[i] || !south(s) && !leased(s.Stats()) {
				return false
			}
		}
		return true
	})
	f.agree("cut", "yes")
	newest := f.northernLeader().Stats()["fleet.configuration"]

	f.Net.Heal()
	healed := time.Now()
	f.until("all servers hold leases and have the newest configuration", patience, func() bool {
		return f.settled() && f.all(func(s *standin.TierServer) bool { return s.Stats()["fleet.applied"] >= newest })
	})
	f.Logf("leases and configuration are back %.1f s after the regions reached each other", time.Since(healed).Seconds())
	for i, token := range f.tokens() {
		if lost := token > tokens[i]; lost != south(f.Servers[i]) {
			f.Errorf("%s has token %v, had %v", f.Servers[i].Name, token, tokens[i])
		}
	}
	f.oneDigest()
}

// saidWithoutLease returns how often each server has logged that it holds no lease any longer.
func (f *tierTest) saidWithoutLease() (out []int) {
	for _, s := range f.Servers {
		out = append(out, strings.Count(s.Log(), "do=lease held=false"))
	}
	return out
}

// region is that of a node or server by its name.
func (f *tierTest) region(name string) string {
	for _, n := range f.Nodes {
		if n.Name == name {
			return n.Region
		}
	}
	for _, s := range f.Servers {
		if s.Name == name {
			return s.Region
		}
	}
	return standin.North
}

// northernLeader returns the node of the majority's region that leads as it says itself; nil = none does.
func (f *tierTest) northernLeader() *standin.ControlNode {
	for _, n := range f.Nodes {
		if n.Region == standin.North && n.Stats()["fleet.leader"] == 1 {
			return n
		}
	}
	return nil
}

// observer is an app server in the test's process that keeps every change that it is told of.
type observer struct {
	name string
	mu   sync.Mutex
	seen []watch.Update
	at   uint64 // revision in force
	stop func()
}

// Report implements driver.Process.
func (o *observer) Report() maintenance.Report { return maintenance.Report{Warm: true} }

// HoldHealth implements driver.Process.
func (o *observer) HoldHealth(bool) {}

func (o *observer) configure(revision uint64, changed []watch.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at = revision
	o.seen = append(o.seen, changed...)
}

func (o *observer) applied() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at
}

// changes returns what it was told, in that order.
func (o *observer) changes() []watch.Update {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.seen)
}

// observe starts an observer.
func (f *tierTest) observe(name string) *observer {
	f.Helper()
	options := controlclient.Defaults()
	options.Zone = "a"
	var err error
	if options.Nodes, err = f.SessionNodes(name); err != nil {
		f.Fatal(err)
	}
	o := &observer{name: name}
	client, err := controlclient.New(options, controlclient.Server{Name: name, Body: o, Applied: o.applied, Configure: o.configure}, slog.New(slog.DiscardHandler))
	if err != nil {
		f.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	o.stop = func() {
		stop()
		<-done
	}
	return o
}

// Documents change while the leader dies, while it is away and once it is back; then the same with the busiest follower.
// Every server is told of each revision once and in order, and all end on one digest.
func (f *tierTest) documentsChangeWhileNodesDie() {
	var observers []*observer
	for _, name := range []string{"seen-1", "seen-2", "seen-3"} {
		o := f.observe(name)
		defer o.stop()
		observers = append(observers, o)
	}
	f.until("the observers have the configuration", patience, func() bool {
		return !slices.ContainsFunc(observers, func(o *observer) bool { return o.applied() == 0 })
	})
	number := 0
	change := func(times int) {
		for range times {
			number++
			f.agree(fmt.Sprintf("changes/%03d", number), fmt.Sprint(number))
		}
	}
	for _, pick := range []func() *standin.ControlNode{f.Leader, func() *standin.ControlNode { return f.busiest(f.Leader()) }} {
		change(5)
		dying := pick()
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			dying.Kill()
		}()
		change(10)
		<-killed
		if err := dying.Start(); err != nil {
			f.Fatal(err)
		}
		change(5)
		f.until("the node that died votes", patience, func() bool { return dying.Stats()["fleet.known"] == 1 && f.Leader() != nil })
	}
	documents := f.documents()
	newest := documents[len(documents)-1].Revision
	f.until("all servers have the newest configuration", patience, func() bool {
		return f.all(func(s *standin.TierServer) bool { return s.Stats()["fleet.applied"] >= float64(newest) }) &&
			!slices.ContainsFunc(observers, func(o *observer) bool { return o.applied() < newest })
	})
	for _, o := range observers {
		f.checkSeen(o, documents)
	}
	f.oneDigest()
}

// documents returns all documents with their values, by revision. None has changed since it was put.
func (f *tierTest) documents() (out []controlnode.DocumentStatus) {
	f.Helper()
	leader := f.Leader()
	list, err := leader.Documents()
	if err != nil {
		f.Fatal(err)
	}
	slices.SortFunc(list, func(a, b controlnode.DocumentStatus) int { return cmp.Compare(a.Revision, b.Revision) })
	return list
}

// checkSeen checks that an observer was told of each document once and in order, and that its copy has the digest of the
// agreed ones.
func (f *tierTest) checkSeen(o *observer, documents []controlnode.DocumentStatus) {
	f.Helper()
	var want, got []string
	var agreed []watch.Update
	for _, d := range documents {
		want = append(want, fmt.Sprint(d.Revision, " ", d.Key))
		agreed = append(agreed, watch.Update{Key: session.ConfigurationPrefix + d.Key, Revision: d.Revision, Value: d.Value})
	}
	told := o.changes()
	for _, u := range told {
		got = append(got, fmt.Sprint(u.Revision, " ", strings.TrimPrefix(u.Key, session.ConfigurationPrefix)))
	}
	if !slices.Equal(got, want) {
		f.Errorf("%s was told\n%v\nthe documents are\n%v", o.name, got, want)
	}
	if is, was := digest(told), digest(agreed); is != was {
		f.Errorf("%s has digest %x, the documents %x", o.name, is, was)
	}
}

// digest sums updates of different keys.
func digest(updates []watch.Update) uint64 {
	slices.SortFunc(updates, func(a, b watch.Update) int { return cmp.Compare(a.Key, b.Key) })
	hash := watch.NewHash()
	for _, u := range updates {
		hash.Add(u.Key, u.Revision, u.Value)
	}
	return hash.Sum()
}
