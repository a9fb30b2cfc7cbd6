package session

import (
	"testing"
	"time"
)

// clientWithLease returns a client at its preferred node of five, with a lease that was just granted.
func clientWithLease(t *testing.T) *clientDriver {
	t.Helper()
	d := &clientDriver{t: t, client: testClient(t, 5)}
	d.open()
	d.sendServerState(6, 4, 7)
	d.advance(MinHeartbeatInterval)
	d.ack(true)
	return d
}

// stayAtNode returns how long a client stays at a node that acknowledges without granting.
func (d *clientDriver) stayAtNode(leaderless bool, limit time.Duration) time.Duration {
	d.t.Helper()
	for began := d.now; ; {
		d.advance(ms(100))
		if d.client.State() != Open {
			return d.now - began
		}
		if d.now-began > limit {
			d.t.Fatalf("the client stays for more than %v", limit)
		}
		if err := d.receive(FromNode{Ack: &Ack{Leaderless: leaderless}}); err != nil {
			d.t.Fatal(err)
		}
	}
}

// Without grants a client stays at each other node for GrantTimeout, and then continues to search more slowly
// without end.
func TestSearchForGrants(t *testing.T) {
	d := clientWithLease(t)
	seen := map[string]bool{}
	for i := range 20 {
		seen[d.client.Node()] = true
		limit := GrantTimeout + ms(100)
		if i >= 4 {
			limit = MaxBackoff + ms(100)
		}
		stayed := d.stayAtNode(false, limit)
		if i >= 4 && stayed < initialStay || i < 4 && stayed < GrantTimeout-ms(100) {
			t.Errorf("node %d: the client stays %v", i, stayed)
		}
		if i == 4 && len(seen) != 5 {
			t.Errorf("the client tried %v", seen)
		}
		d.open()
	}
	d.advance(ms(100))
	d.ack(true)
	if d.client.nodesWithoutGrant != 0 || d.client.searchStay != initialStay {
		t.Error("the search continues after a grant")
	}
}

// A client whose last grant is older than GrantTimeout leaves a node at once if that node knows no leader either.
// Before that time it waits.
func TestLeaderlessNodes(t *testing.T) {
	d := clientWithLease(t)
	d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
	d.open()
	if stayed := d.stayAtNode(true, GrantTimeout+InitialBackoff+ms(200)); stayed < GrantTimeout-ms(600) {
		t.Errorf("during an election the client stays %v", stayed)
	}
	d.open()
	if d.now-d.client.lastGrant < GrantTimeout+InitialBackoff {
		d.advance(GrantTimeout + InitialBackoff - (d.now - d.client.lastGrant))
	}
	if stayed := d.stayAtNode(true, ms(300)); stayed > ms(300) {
		t.Errorf("the client stays %v", stayed)
	}
}

// A new session renews at once, even if the last renewal was sent into the lost session a moment ago.
func TestNewSessionRenewsAtOnce(t *testing.T) {
	d := clientWithLease(t)
	before, _ := d.lastRenewal()
	d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
	d.perform(d.client.connect(d.now))
	d.perform(d.client.Connected(d.client.attempt, d.now))
	if err := d.receive(FromNode{Welcome: &Welcome{Fleet: 9}}); err != nil {
		t.Fatal(err)
	}
	if after, token := d.lastRenewal(); after != before+1 || token != 4 || d.lastHeartbeat().Sequence != after {
		t.Errorf("renewal %d after %d", after, before)
	}
}
