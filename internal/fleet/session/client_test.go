package session

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/watch"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func testClient(t *testing.T, nodes int) *Client {
	t.Helper()
	o := ClientOptions{Server: "s1", Zone: "z", Incarnation: 7, Terms: lease.ControlTierTerms, Seed: 1}
	for i := range nodes {
		o.Nodes = append(o.Nodes, fmt.Sprint("n", i))
	}
	c, err := NewClient(o, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// clientDriver drives a client and records its actions.
type clientDriver struct {
	t              *testing.T
	client         *Client
	now            time.Duration
	local          LocalState
	sent           []FromServer
	connects       []Connect
	closedAttempts []uint64
}

func (d *clientDriver) perform(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Connect != nil:
			d.connects = append(d.connects, *a.Connect)
		case a.Send != nil:
			d.sent = append(d.sent, a.Send.Message)
		case a.Close != nil:
			d.closedAttempts = append(d.closedAttempts, a.Close.Attempt)
		}
	}
}

// advance ticks the client for a duration.
func (d *clientDriver) advance(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += ms(100)
		d.perform(d.client.Tick(d.now, d.local))
	}
}

func (d *clientDriver) receive(m FromNode) error {
	r, err := d.client.Receive(d.client.attempt, m, d.now)
	d.perform(r.Actions)
	return err
}

// open connects the client and welcomes it.
func (d *clientDriver) open() {
	d.t.Helper()
	d.connect()
	if err := d.receive(FromNode{Welcome: &Welcome{Fleet: 9, Node: "n"}}); err != nil || d.client.State() != Open {
		d.t.Fatal(err, d.client.State())
	}
}

func (d *clientDriver) connect() {
	d.t.Helper()
	for range 400 {
		if d.client.State() == Connecting {
			break
		}
		d.advance(ms(100))
	}
	d.perform(d.client.Connected(d.client.attempt, d.now))
	if d.client.State() != Opening {
		d.t.Fatal(d.client.State())
	}
}

func (d *clientDriver) sendServerState(revision, token, incarnation uint64) {
	d.t.Helper()
	s := ServerState{Box: maintenance.Server{Name: "s1"}, FencingToken: token, LeaseProcess: incarnation}
	b := watch.Batch{From: d.client.View().Revision(), To: revision, Updates: []watch.Update{{Revision: revision, Key: ServerPrefix + "s1", Value: s.Encode()}}}
	if err := d.receive(FromNode{Batch: &b}); err != nil {
		d.t.Fatal(err)
	}
}

// lastHeartbeat returns the newest heartbeat that was sent.
func (d *clientDriver) lastHeartbeat() Heartbeat {
	d.t.Helper()
	for i := len(d.sent) - 1; i >= 0; i-- {
		if d.sent[i].Heartbeat != nil {
			return *d.sent[i].Heartbeat
		}
	}
	d.t.Fatal("no heartbeat")
	return Heartbeat{}
}

func (d *clientDriver) heartbeats() (n int) {
	for _, m := range d.sent {
		if m.Heartbeat != nil {
			n++
		}
	}
	return n
}

func (d *clientDriver) ack(granted bool) {
	d.t.Helper()
	a := &Ack{}
	if granted {
		a.Sequence, a.FencingToken = d.lastRenewal()
	}
	if err := d.receive(FromNode{Ack: a}); err != nil {
		d.t.Fatal(err)
	}
}

// lastRenewal returns the newest renewal that was sent.
func (d *clientDriver) lastRenewal() (sequence, token uint64) {
	for i := len(d.sent) - 1; i >= 0; i-- {
		if hb := d.sent[i].Heartbeat; hb != nil && hb.Sequence != 0 {
			return hb.Sequence, hb.FencingToken
		}
	}
	return 0, 0
}

func TestClientLease(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 3)}
	d.open()
	hb := d.lastHeartbeat()
	if hb.Sequence != 0 || hb.Report == nil || len(hb.Proposals) != 1 || hb.Proposals[0].Live == nil || hb.Proposals[0].Live.Incarnation != 7 {
		t.Errorf("first heartbeat %+v", hb)
	}
	d.sendServerState(5, 3, 6)
	if d.client.FencingToken() != 0 {
		t.Error("the client took the token of another process")
	}
	d.sendServerState(6, 4, 7)
	d.advance(MinHeartbeatInterval)
	hb = d.lastHeartbeat()
	if hb.FencingToken != 4 || hb.Sequence == 0 || len(hb.Proposals) != 0 {
		t.Errorf("renewal %+v", hb)
	}
	sent := d.now
	d.advance(ms(100))
	d.ack(true)
	if d.client.LeaseEnd() != sent+lease.ControlTierTerms.Length || !d.client.Holds(d.now) || d.client.Holds(d.client.LeaseEnd()) {
		t.Errorf("lease ends at %v, renewal sent at %v", d.client.LeaseEnd(), sent)
	}
	d.sendServerState(9, 0, 7)
	if d.client.Holds(d.now) {
		t.Error("the client holds a lease that has expired")
	}
}

// A heartbeat is sent every Terms.RenewInterval, and no earlier than MinHeartbeatInterval after the last one for urgent
// changes. A report is sent only when it has changed.
func TestHeartbeats(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 3)}
	d.local.Report = maintenance.Report{Capacity: 100, Load: 50, Warm: true}
	d.open()
	d.sendServerState(6, 4, 7)
	countSent := func(span time.Duration, change func(i int)) (heartbeats, reports int) {
		before := len(d.sent)
		for i := range int(span / ms(100)) {
			if change != nil {
				change(i)
			}
			d.advance(ms(100))
			d.ack(true)
		}
		for _, m := range d.sent[before:] {
			heartbeats++
			if m.Heartbeat.Report != nil {
				reports++
			}
		}
		return heartbeats, reports
	}
	countSent(ms(1000), nil)
	for _, test := range []struct {
		name                string
		change              func(i int)
		heartbeats, reports int // in 10 s
	}{
		{"no change", nil, 20, 0},
		{"open requests", func(i int) { d.local.Report.Open = i }, 20, 5},
		{"small relative change of load", func(i int) { d.local.Report.Load = 50 + float64(i%2)*2 }, 20, 5},
		{"small absolute change of load", func(i int) { d.local.Report.Load = 0.5 + float64(i%2)/2 }, 20, 6},
		{"configuration", func(i int) { d.local.Applied++ }, 60, 0},
	} {
		countSent(3*time.Second, nil)
		if heartbeats, reports := countSent(10*time.Second, test.change); heartbeats < test.heartbeats-1 || heartbeats > test.heartbeats+1 || reports > test.reports {
			t.Errorf("%s: %d heartbeats, %d reports; want %d and at most %d", test.name, heartbeats, reports, test.heartbeats, test.reports)
		}
	}
	countSent(3*time.Second, nil)
	d.local.Report.Failing = true
	if heartbeats, reports := countSent(ms(300), nil); heartbeats == 0 || reports != 1 {
		t.Errorf("failing: %d heartbeats, %d reports", heartbeats, reports)
	}
	d.local.Report.Load *= 10
	if _, reports := countSent(ms(600), nil); reports != 1 {
		t.Errorf("ten times the load: %d reports", reports)
	}
}

func TestProposals(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 3)}
	d.open()
	d.sendServerState(6, 4, 7)
	d.advance(ms(500))
	d.client.Propose(maintenance.Entry{Kind: maintenance.Step, Box: "s1", Incarnation: 7, Phase: maintenance.Draining})
	d.client.Propose(maintenance.Entry{Kind: maintenance.Step, Box: "s1", Incarnation: 7, Phase: maintenance.Returning})
	before := d.heartbeats()
	d.advance(MinHeartbeatInterval)
	if p := d.lastHeartbeat().Proposals; d.heartbeats() == before || len(p) != 1 || p[0].Step == nil || p[0].Step.Phase != maintenance.Returning {
		t.Errorf("%+v", p)
	}
	d.advance(ms(600))
	if len(d.lastHeartbeat().Proposals) != 1 {
		t.Error("the step is proposed only once")
	}
	s := ServerState{Box: maintenance.Server{Name: "s1", Incarnation: 7, Phase: maintenance.Returning}, FencingToken: 4, LeaseProcess: 7}
	b := watch.Batch{From: 6, To: 8, Updates: []watch.Update{{Revision: 8, Key: ServerPrefix + "s1", Value: s.Encode()}}}
	if err := d.receive(FromNode{Batch: &b}); err != nil {
		t.Fatal(err)
	}
	d.advance(ms(600))
	if len(d.lastHeartbeat().Proposals) != 0 {
		t.Error("the step is proposed after it was applied")
	}
	d.client.Propose(maintenance.Entry{Kind: maintenance.Step, Box: "s1", Incarnation: 7, Phase: maintenance.InService})
	d.client.CancelProposal()
	d.advance(ms(600))
	if len(d.lastHeartbeat().Proposals) != 0 {
		t.Error("the step is proposed after it was canceled")
	}
}

// Checks for each way to lose a session or an attempt which node the client tries next, and when.
func TestSessionLoss(t *testing.T) {
	for _, test := range []struct {
		name             string
		lose             func(d *clientDriver)
		sameNode         bool // the client retries the same node
		minWait, maxWait time.Duration
	}{
		{"connection lost", func(d *clientDriver) { d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now)) }, false, 0, InitialBackoff},
		{"silence timeout", func(d *clientDriver) { d.advance(SilenceTimeout) }, false, 0, InitialBackoff},
		{"gap in the watch", func(d *clientDriver) { _ = d.receive(FromNode{Batch: &watch.Batch{From: 3, To: 5}}) }, true, 0, InitialBackoff},
		{"two fields", func(d *clientDriver) { _ = d.receive(FromNode{Ack: &Ack{}, Welcome: &Welcome{}}) }, false, 0, InitialBackoff},
		{"no field", func(d *clientDriver) { _ = d.receive(FromNode{}) }, false, 0, InitialBackoff},
		{"busy", func(d *clientDriver) { d.receive(FromNode{Refusal: &Refusal{Code: Busy, RetryAfter: ms(700)}}) }, true, ms(700), ms(700)},
		{"moving", func(d *clientDriver) { d.receive(FromNode{Refusal: &Refusal{Code: NodeUnavailable}}) }, false, 0, InitialBackoff},
		{"moving with a delay", func(d *clientDriver) {
			d.receive(FromNode{Refusal: &Refusal{Code: NodeUnavailable, RetryAfter: 2 * time.Second}})
		}, false, 2 * time.Second, 2 * time.Second},
		{"unlimited delay", func(d *clientDriver) { d.receive(FromNode{Refusal: &Refusal{Code: Busy, RetryAfter: math.MaxInt64}}) }, true, maxRetryAfter, maxRetryAfter},
		{"another fleet", func(d *clientDriver) { d.receive(FromNode{Refusal: &Refusal{Code: OtherFleet}}) }, false, MaxBackoff / 2, MaxBackoff},
		{"invalid", func(d *clientDriver) { d.receive(FromNode{Refusal: &Refusal{Code: Invalid}}) }, false, MaxBackoff / 2, MaxBackoff},
	} {
		d := &clientDriver{t: t, client: testClient(t, 3)}
		d.open()
		attempt, node := d.client.attempt, d.client.Node()
		test.lose(d)
		if d.client.State() != Waiting || d.client.Node() != "" {
			t.Errorf("%s: %s", test.name, d.client.State())
			continue
		}
		if wait := d.client.deadline - d.now; wait < test.minWait || wait > test.maxWait {
			t.Errorf("%s: waits %v, want %v to %v", test.name, wait, test.minWait, test.maxWait)
		}
		d.connect()
		if (d.client.Node() == node) != test.sameNode || d.client.attempt != attempt+1 {
			t.Errorf("%s: from %s to %s", test.name, node, d.client.Node())
		}
	}
}

// Waits double up to MaxBackoff, and start again after a session that brought a lease grant.
func TestBackoff(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 5)}
	longest := time.Duration(0)
	for i := range 40 {
		d.connect()
		d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
		limit := min(InitialBackoff<<min(i, 10), MaxBackoff)
		if wait := d.client.deadline - d.now; wait > limit {
			t.Errorf("attempt %d: waits %v, want at most %v", i, wait, limit)
		}
		longest = max(longest, d.client.deadline-d.now)
	}
	if longest < MaxBackoff/2 {
		t.Errorf("the longest wait is %v", longest)
	}
	d.open()
	d.sendServerState(6, 4, 7)
	d.advance(MinHeartbeatInterval)
	d.ack(true)
	d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
	if wait := d.client.deadline - d.now; wait > InitialBackoff {
		t.Errorf("waits %v after a session", wait)
	}
}

func TestSuperseded(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 3)}
	d.connect()
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 11}})
	if d.client.Incarnation() != 12 {
		t.Fatal(d.client.Incarnation())
	}
	d.connect()
	if h := d.sent[len(d.sent)-1].Hello; h == nil || h.Incarnation != 12 {
		t.Errorf("%+v", h)
	}
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 13}})
	if d.client.State() != Ended {
		t.Error("the client took a newer incarnation twice")
	}
	before := len(d.connects)
	d.advance(time.Minute)
	if len(d.connects) != before {
		t.Error("the client connects after it ended")
	}

	d = &clientDriver{t: t, client: testClient(t, 3)}
	d.open()
	d.sendServerState(6, 4, 7)
	d.advance(MinHeartbeatInterval)
	d.ack(true)
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 8}})
	if d.client.State() != Ended || d.client.Holds(d.now) {
		t.Error("superseded after a session: state", d.client.State())
	}

	d = &clientDriver{t: t, client: testClient(t, 3)}
	d.connect()
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: math.MaxUint64}})
	if d.client.State() != Ended {
		t.Error("not ended though there is no newer incarnation")
	}
}

// Calls for ended attempts have no effect.
func TestEndedAttemptsAreIgnored(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 3)}
	d.open()
	d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
	d.open()
	sent := len(d.sent)
	old := d.client.attempt - 1
	d.perform(d.client.Connected(old, d.now))
	d.perform(d.client.Disconnected(old, "late", d.now))
	if r, err := d.client.Receive(old, FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 99}}, d.now); err != nil || len(r.Actions) != 0 {
		t.Error(r, err)
	}
	if d.client.State() != Open || len(d.sent) != sent {
		t.Error(d.client.State())
	}
}

// A session that moved to another node returns to the preferred node within MaxReturnDelay. With a single control
// node the client stays there.
func TestReturnToFirstChoice(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 3)}
	d.open()
	firstChoice := d.client.Node()
	d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
	d.open()
	if d.client.Node() == firstChoice {
		t.Fatal("the client went to the same node")
	}
	d.sendServerState(6, 4, 7)
	for began := d.now; d.client.State() == Open; {
		d.advance(ms(100))
		if d.client.State() == Open {
			d.ack(true)
		}
		if d.now-began > MaxReturnDelay {
			t.Fatal("the client does not return")
		}
	}
	d.connect()
	if d.client.Node() != firstChoice {
		t.Error(d.client.Node())
	}

	d = &clientDriver{t: t, client: testClient(t, 1)}
	d.open()
	for range 200 {
		d.advance(ms(100))
		d.ack(false)
	}
	if d.client.State() != Open || d.client.attempt != 1 {
		t.Error("the client left the only node", d.client.State())
	}
}

// Rendezvous hashing spreads servers evenly. When a node fails, only its servers move, and they spread evenly too.
func TestRankNodes(t *testing.T) {
	nodes := []string{"n0", "n1", "n2", "n3", "n4"}
	firstOf, secondOf := map[string]int{}, map[string]int{}
	for i := range 740 {
		ranked := rankNodes(serverName(i), nodes)
		firstOf[ranked[0]]++
		if ranked[0] == "n0" {
			secondOf[ranked[1]]++
		}
		without := rankNodes(serverName(i), nodes[1:])
		if ranked[0] != "n0" && without[0] != ranked[0] || ranked[0] == "n0" && without[0] != ranked[1] {
			t.Errorf("server %d: %v, without n0 %v", i, ranked, without)
		}
	}
	for _, n := range nodes {
		if firstOf[n] < 110 || firstOf[n] > 190 || n != "n0" && (secondOf[n] < 18 || secondOf[n] > 60) {
			t.Errorf("first choices %v, second choices of n0's servers %v", firstOf, secondOf)
		}
	}
}

func TestClientOptions(t *testing.T) {
	good := ClientOptions{Server: "s", Zone: "z", Incarnation: 1, Nodes: []string{"n"}, Terms: lease.ControlTierTerms}
	for name, change := range map[string]func(*ClientOptions){
		"no server":      func(o *ClientOptions) { o.Server = "" },
		"long zone":      func(o *ClientOptions) { o.Zone = string(make([]byte, 65)) },
		"long pool":      func(o *ClientOptions) { o.Pool = string(make([]byte, 257)) },
		"no incarnation": func(o *ClientOptions) { o.Incarnation = 0 },
		"no nodes":       func(o *ClientOptions) { o.Nodes = nil },
		"eight nodes":    func(o *ClientOptions) { o.Nodes = []string{"1", "2", "3", "4", "5", "6", "7", "8"} },
		"repeated node":  func(o *ClientOptions) { o.Nodes = []string{"n", "m", "n"} },
		"no terms":       func(o *ClientOptions) { o.Terms = lease.Terms{} },
	} {
		o := good
		change(&o)
		if _, err := NewClient(o, 0); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := NewClient(good, 0); err != nil {
		t.Error(err)
	}
}

func TestEvents(t *testing.T) {
	d := &clientDriver{t: t, client: testClient(t, 3)}
	for range 10 {
		d.open()
		d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
	}
	if events := d.client.Events(); len(events) != maxEvents || events[maxEvents-1].Kind != SessionLost || events[maxEvents-1].Reason != "reset" {
		t.Errorf("%d: %+v", len(events), events)
	}
	d.open()
	d.sendServerState(6, 4, 7)
	d.advance(MinHeartbeatInterval)
	d.ack(true)
	d.perform(d.client.Disconnected(d.client.attempt, "reset", d.now))
	for range 90 {
		d.advance(ms(100))
	}
	kinds := map[EventKind]int{}
	for _, e := range d.client.Events() {
		kinds[e.Kind]++
	}
	if kinds[LeaseBegan] != 1 || kinds[LeaseEnded] != 1 {
		t.Errorf("%v", kinds)
	}
}
