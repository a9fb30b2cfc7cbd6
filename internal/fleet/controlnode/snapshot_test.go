package controlnode_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
)

// What fill writes: 3 MB, of which each makes the log small once, and more entries than the 256 that stay in memory behind a
// snapshot. The writers have a connection each, fewer than a node has for operators.
const (
	writers   = 6
	documents = 128 // of each writer
)

// A node that was away for longer than the leader's log reaches back gets raft's snapshot, and its sessions all documents; a
// node that begins with a snapshot on its disk has them too.
func TestANodeThatComesBackBySnapshot(t *testing.T) {
	f := newTier(t, 3, 1, false)
	f.until("all servers have leases", f.settled)
	f.configure("first", "1", 1)
	away := f.nodes[2]
	if away == f.leader() {
		away = f.nodes[1]
	}
	away.stop()
	f.fill()
	f.until("the server has all documents", func() bool { return f.servers[0].documents() == 1+writers*documents })
	away.start()
	f.until("the node has caught up", func() bool { return away.metric("fleet.revision") >= f.leader().metric("fleet.revision") })
	if away.metric("fleet.restored") != 1 {
		t.Errorf("it took %d snapshots", away.metric("fleet.restored"))
	}
	f.onlyAt(away)
	restarted := f.leader()
	restarted.stop()
	f.until("another node leads", func() bool { return f.leader() != nil })
	restarted.start()
	f.until("the old leader has caught up", func() bool { return restarted.metric("fleet.revision") >= f.leader().metric("fleet.revision") })
	f.onlyAt(restarted)
}

// fill gives so many documents values that the log is made small, and that more entries follow than stay in memory.
func (f *tier) fill() {
	f.t.Helper()
	leader := f.leader()
	var all sync.WaitGroup
	for writer := range writers {
		all.Go(func() {
			client := leader.link.Dial(leader.name, leader.addr)
			defer client.Close()
			for i := range documents {
				size := 1 + i%2*(8<<10)
				data, err := json.Marshal(controlnode.Command{Key: fmt.Sprintf("filled/%d/%d", writer, i), Value: []byte(strings.Repeat("v", size)), By: "staff"})
				if err != nil {
					f.t.Error(err)
				}
				if err := driver.SendCommand(f.t.Context(), client, driver.Command{Part: controlnode.ConfigurationPart, Data: data}); err != nil {
					f.t.Error(err)
				}
			}
		})
	}
	all.Wait()
}

// onlyAt starts a server that knows of one node alone, and waits until it has all documents of the first server.
func (f *tier) onlyAt(n *testNode) {
	f.t.Helper()
	nodes := f.nodes
	f.nodes = []*testNode{n}
	s := f.serve("at-" + n.name)
	f.nodes = nodes
	f.until("a server at "+n.name+" has all documents", func() bool {
		return leased(s) && s.documents() == f.servers[0].documents() && string(s.document("first")) == "1"
	})
}
