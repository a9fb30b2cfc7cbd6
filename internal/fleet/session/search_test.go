package session

import (
	"testing"
	"time"
)

// holdingClient is at its first choice of five nodes, with a lease that was just granted.
func holdingClient(t *testing.T) *driven {
	t.Helper()
	d := &driven{t: t, c: testClient(t, 5)}
	d.open()
	d.standing(6, 4, 7)
	d.tick(PromptHeartbeat)
	d.ack(true)
	return d
}

// stays returns how long a client stays at a node that acknowledges without grants.
func (d *driven) stays(leaderless bool, limit time.Duration) time.Duration {
	d.t.Helper()
	for began := d.now; ; {
		d.tick(ms(100))
		if d.c.State() != Open {
			return d.now - began
		}
		if d.now-began > limit {
			d.t.Fatalf("it stays for more than %v", limit)
		}
		if err := d.receive(FromNode{Ack: &Ack{Leaderless: leaderless}}); err != nil {
			d.t.Fatal(err)
		}
	}
}

// Without grants a client looks at each other node for GrantPatience, and then goes on more slowly, without an end.
func TestSearchForGrants(t *testing.T) {
	d := holdingClient(t)
	seen := map[string]bool{}
	for i := range 20 {
		seen[d.c.Node()] = true
		limit := GrantPatience + ms(100)
		if i >= 4 {
			limit = MaxBackoff + ms(100)
		}
		stayed := d.stays(false, limit)
		if i >= 4 && stayed < firstStay || i < 4 && stayed < GrantPatience-ms(100) {
			t.Errorf("node %d: it stays %v", i, stayed)
		}
		if i == 4 && len(seen) != 5 {
			t.Errorf("it was at %v", seen)
		}
		d.open()
	}
	d.tick(ms(100))
	d.ack(true)
	if d.c.fruitless != 0 || d.c.stay != firstStay {
		t.Error("a grant does not end the search")
	}
}

// A client that had no grant for longer than its patience leaves a node at once that knows no leader either; before that it waits.
func TestLeaderlessNodes(t *testing.T) {
	d := holdingClient(t)
	d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
	d.open()
	if stayed := d.stays(true, GrantPatience+FirstBackoff+ms(200)); stayed < GrantPatience-ms(600) {
		t.Errorf("during an election it stays %v", stayed)
	}
	d.open()
	if d.now-d.c.lastGrant < GrantPatience+FirstBackoff {
		d.tick(GrantPatience + FirstBackoff - (d.now - d.c.lastGrant))
	}
	if stayed := d.stays(true, ms(300)); stayed > ms(300) {
		t.Errorf("it stays %v", stayed)
	}
}

// A new session renews at once, however short ago the last renewal was sent into the one that is lost.
func TestNewSessionRenewsAtOnce(t *testing.T) {
	d := holdingClient(t)
	before, _ := d.renewal()
	d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
	d.act(d.c.connect(d.now))
	d.act(d.c.Connected(d.c.attempt, d.now))
	if err := d.receive(FromNode{Welcome: &Welcome{Fleet: 9}}); err != nil {
		t.Fatal(err)
	}
	if after, token := d.renewal(); after != before+1 || token != 4 || d.last().Sequence != after {
		t.Errorf("renewal %d after %d", after, before)
	}
}
