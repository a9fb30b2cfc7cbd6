package session

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/takeout"
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

// driven is a client with a driver that answers at once.
type driven struct {
	t     *testing.T
	c     *Client
	now   time.Duration
	local Local
	sent  []FromServer
	conns []Connect
	ended []uint64
}

func (d *driven) act(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Connect != nil:
			d.conns = append(d.conns, *a.Connect)
		case a.Send != nil:
			d.sent = append(d.sent, a.Send.Message)
		case a.Close != nil:
			d.ended = append(d.ended, a.Close.Attempt)
		}
	}
}

// tick goes on for a duration.
func (d *driven) tick(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += ms(100)
		d.act(d.c.Tick(d.now, d.local))
	}
}

func (d *driven) receive(m FromNode) error {
	r, err := d.c.Receive(d.c.attempt, m, d.now)
	d.act(r.Actions)
	return err
}

// open ticks until the client connects, and welcomes it.
func (d *driven) open() {
	d.t.Helper()
	d.connect()
	if err := d.receive(FromNode{Welcome: &Welcome{Fleet: 9, Node: "n"}}); err != nil || d.c.State() != Open {
		d.t.Fatal(err, d.c.State())
	}
}

func (d *driven) connect() {
	d.t.Helper()
	for range 400 {
		if d.c.State() == Connecting {
			break
		}
		d.tick(ms(100))
	}
	d.act(d.c.Connected(d.c.attempt, d.now))
	if d.c.State() != Opening {
		d.t.Fatal(d.c.State())
	}
}

func (d *driven) standing(revision, token, incarnation uint64) {
	d.t.Helper()
	s := Standing{Box: takeout.Box{Name: "s1"}, FencingToken: token, LeaseProcess: incarnation}
	b := watch.Batch{From: d.c.View().Revision(), To: revision, Updates: []watch.Update{{Revision: revision, Key: ServerPrefix + "s1", Value: s.Encode()}}}
	if err := d.receive(FromNode{Batch: &b}); err != nil {
		d.t.Fatal(err)
	}
}

// last returns the newest heartbeat.
func (d *driven) last() Heartbeat {
	d.t.Helper()
	for i := len(d.sent) - 1; i >= 0; i-- {
		if d.sent[i].Heartbeat != nil {
			return *d.sent[i].Heartbeat
		}
	}
	d.t.Fatal("no heartbeat")
	return Heartbeat{}
}

func (d *driven) heartbeats() (n int) {
	for _, m := range d.sent {
		if m.Heartbeat != nil {
			n++
		}
	}
	return n
}

func (d *driven) ack(granted bool) {
	d.t.Helper()
	a := &Ack{}
	if granted {
		a.Sequence, a.FencingToken = d.renewal()
	}
	if err := d.receive(FromNode{Ack: a}); err != nil {
		d.t.Fatal(err)
	}
}

// renewal returns the newest renewal that was sent.
func (d *driven) renewal() (sequence, token uint64) {
	for i := len(d.sent) - 1; i >= 0; i-- {
		if hb := d.sent[i].Heartbeat; hb != nil && hb.Sequence != 0 {
			return hb.Sequence, hb.FencingToken
		}
	}
	return 0, 0
}

func TestLeaseOfAClient(t *testing.T) {
	d := &driven{t: t, c: testClient(t, 3)}
	d.open()
	hb := d.last()
	if hb.Sequence != 0 || hb.Report == nil || len(hb.Proposals) != 1 || hb.Proposals[0].Live == nil || hb.Proposals[0].Live.Incarnation != 7 {
		t.Errorf("first heartbeat %+v", hb)
	}
	d.standing(5, 3, 6)
	if d.c.FencingToken() != 0 {
		t.Error("it took the token of another process")
	}
	d.standing(6, 4, 7)
	d.tick(PromptHeartbeat)
	hb = d.last()
	if hb.FencingToken != 4 || hb.Sequence == 0 || len(hb.Proposals) != 0 {
		t.Errorf("renewal %+v", hb)
	}
	sent := d.now
	d.tick(ms(100))
	d.ack(true)
	if d.c.Until() != sent+lease.ControlTierTerms.Length || !d.c.Holds(d.now) || d.c.Holds(d.c.Until()) {
		t.Errorf("until %v, sent at %v", d.c.Until(), sent)
	}
	d.standing(9, 0, 7)
	if d.c.Holds(d.now) {
		t.Error("it holds though it is lost")
	}
}

// A heartbeat comes each Terms.Every, and PromptHeartbeat after the last one for what others wait for; a report comes when it says
// something.
func TestHeartbeats(t *testing.T) {
	d := &driven{t: t, c: testClient(t, 3)}
	d.local.Report = takeout.Report{Capacity: 100, Load: 50, Warm: true}
	d.open()
	d.standing(6, 4, 7)
	count := func(span time.Duration, each func(i int)) (beats, reports int) {
		before := len(d.sent)
		for i := range int(span / ms(100)) {
			if each != nil {
				each(i)
			}
			d.tick(ms(100))
			d.ack(true)
		}
		for _, m := range d.sent[before:] {
			beats++
			if m.Heartbeat.Report != nil {
				reports++
			}
		}
		return beats, reports
	}
	count(ms(1000), nil)
	for _, k := range []struct {
		name           string
		each           func(i int)
		beats, reports int // in 10 s
	}{
		{"nothing", nil, 20, 0},
		{"open requests", func(i int) { d.local.Report.Open = i }, 20, 5},
		{"noise in the load", func(i int) { d.local.Report.Load = 50 + float64(i%2)*2 }, 20, 5},
		{"small load", func(i int) { d.local.Report.Load = 0.5 + float64(i%2)/2 }, 20, 6},
		{"configuration", func(i int) { d.local.Applied++ }, 60, 0},
	} {
		count(3*time.Second, nil)
		if beats, reports := count(10*time.Second, k.each); beats < k.beats-1 || beats > k.beats+1 || reports > k.reports {
			t.Errorf("%s: %d heartbeats, %d reports; want %d, at most %d", k.name, beats, reports, k.beats, k.reports)
		}
	}
	count(3*time.Second, nil)
	d.local.Report.Failing = true
	if beats, reports := count(ms(300), nil); beats == 0 || reports != 1 {
		t.Errorf("failing: %d heartbeats, %d reports", beats, reports)
	}
	d.local.Report.Load *= 10
	if _, reports := count(ms(600), nil); reports != 1 {
		t.Errorf("ten times the load: %d reports", reports)
	}
}

func TestProposals(t *testing.T) {
	d := &driven{t: t, c: testClient(t, 3)}
	d.open()
	d.standing(6, 4, 7)
	d.tick(ms(500))
	d.c.Propose(takeout.Entry{Kind: takeout.Step, Box: "s1", Incarnation: 7, Phase: takeout.Draining})
	d.c.Propose(takeout.Entry{Kind: takeout.Step, Box: "s1", Incarnation: 7, Phase: takeout.Returning})
	before := d.heartbeats()
	d.tick(PromptHeartbeat)
	if p := d.last().Proposals; d.heartbeats() == before || len(p) != 1 || p[0].Step == nil || p[0].Step.Phase != takeout.Returning {
		t.Errorf("%+v", p)
	}
	d.tick(ms(600))
	if len(d.last().Proposals) != 1 {
		t.Error("it is proposed only once")
	}
	s := Standing{Box: takeout.Box{Name: "s1", Incarnation: 7, Phase: takeout.Returning}, FencingToken: 4, LeaseProcess: 7}
	b := watch.Batch{From: 6, To: 8, Updates: []watch.Update{{Revision: 8, Key: ServerPrefix + "s1", Value: s.Encode()}}}
	if err := d.receive(FromNode{Batch: &b}); err != nil {
		t.Fatal(err)
	}
	d.tick(ms(600))
	if len(d.last().Proposals) != 0 {
		t.Error("it is proposed though it took hold")
	}
	d.c.Propose(takeout.Entry{Kind: takeout.Step, Box: "s1", Incarnation: 7, Phase: takeout.In})
	d.c.Withdraw()
	d.tick(ms(600))
	if len(d.last().Proposals) != 0 {
		t.Error("it is proposed though it was withdrawn")
	}
}

// Each way to lose a session or an attempt, and where and when the next one goes.
func TestLoss(t *testing.T) {
	for _, k := range []struct {
		name       string
		lose       func(d *driven)
		same       bool // it goes to the same node
		least, max time.Duration
	}{
		{"connection lost", func(d *driven) { d.act(d.c.Disconnected(d.c.attempt, "reset", d.now)) }, false, 0, FirstBackoff},
		{"silence", func(d *driven) { d.tick(Silence) }, false, 0, FirstBackoff},
		{"a gap", func(d *driven) { _ = d.receive(FromNode{Batch: &watch.Batch{From: 3, To: 5}}) }, true, 0, FirstBackoff},
		{"two things", func(d *driven) { _ = d.receive(FromNode{Ack: &Ack{}, Welcome: &Welcome{}}) }, false, 0, FirstBackoff},
		{"nothing", func(d *driven) { _ = d.receive(FromNode{}) }, false, 0, FirstBackoff},
		{"busy", func(d *driven) { d.receive(FromNode{Refusal: &Refusal{Code: Busy, RetryAfter: ms(700)}}) }, true, ms(700), ms(700)},
		{"moving", func(d *driven) { d.receive(FromNode{Refusal: &Refusal{Code: Moving}}) }, false, 0, FirstBackoff},
		{"moving, later", func(d *driven) { d.receive(FromNode{Refusal: &Refusal{Code: Moving, RetryAfter: 2 * time.Second}}) }, false, 2 * time.Second, 2 * time.Second},
		{"for ever", func(d *driven) { d.receive(FromNode{Refusal: &Refusal{Code: Busy, RetryAfter: math.MaxInt64}}) }, true, maxRetryAfter, maxRetryAfter},
		{"another fleet", func(d *driven) { d.receive(FromNode{Refusal: &Refusal{Code: OtherFleet}}) }, false, MaxBackoff / 2, MaxBackoff},
		{"invalid", func(d *driven) { d.receive(FromNode{Refusal: &Refusal{Code: Invalid}}) }, false, MaxBackoff / 2, MaxBackoff},
	} {
		d := &driven{t: t, c: testClient(t, 3)}
		d.open()
		attempt, node := d.c.attempt, d.c.Node()
		k.lose(d)
		if d.c.State() != Waiting || d.c.Node() != "" {
			t.Errorf("%s: %s", k.name, d.c.State())
			continue
		}
		if wait := d.c.due - d.now; wait < k.least || wait > k.max {
			t.Errorf("%s: waits %v, %v to %v wanted", k.name, wait, k.least, k.max)
		}
		d.connect()
		if (d.c.Node() == node) != k.same || d.c.attempt != attempt+1 {
			t.Errorf("%s: from %s to %s", k.name, node, d.c.Node())
		}
	}
}

// Waits double up to MaxBackoff, and begin anew after a session that brought a grant.
func TestBackoff(t *testing.T) {
	d := &driven{t: t, c: testClient(t, 5)}
	longest := time.Duration(0)
	for i := range 40 {
		d.connect()
		d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
		limit := min(FirstBackoff<<min(i, 10), MaxBackoff)
		if wait := d.c.due - d.now; wait > limit {
			t.Errorf("attempt %d: waits %v, %v at most", i, wait, limit)
		}
		longest = max(longest, d.c.due-d.now)
	}
	if longest < MaxBackoff/2 {
		t.Errorf("it waits %v at most", longest)
	}
	d.open()
	d.standing(6, 4, 7)
	d.tick(PromptHeartbeat)
	d.ack(true)
	d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
	if wait := d.c.due - d.now; wait > FirstBackoff {
		t.Errorf("after a session it waits %v", wait)
	}
}

func TestSuperseded(t *testing.T) {
	d := &driven{t: t, c: testClient(t, 3)}
	d.connect()
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 11}})
	if d.c.Incarnation() != 12 {
		t.Fatal(d.c.Incarnation())
	}
	d.connect()
	if h := d.sent[len(d.sent)-1].Hello; h == nil || h.Incarnation != 12 {
		t.Errorf("%+v", h)
	}
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 13}})
	if d.c.State() != Ended {
		t.Error("twice")
	}
	before := len(d.conns)
	d.tick(time.Minute)
	if len(d.conns) != before {
		t.Error("it connects though it ended")
	}

	d = &driven{t: t, c: testClient(t, 3)}
	d.open()
	d.standing(6, 4, 7)
	d.tick(PromptHeartbeat)
	d.ack(true)
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 8}})
	if d.c.State() != Ended || d.c.Holds(d.now) {
		t.Error("after a session", d.c.State())
	}

	d = &driven{t: t, c: testClient(t, 3)}
	d.connect()
	d.receive(FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: math.MaxUint64}})
	if d.c.State() != Ended {
		t.Error("there is no newer incarnation")
	}
}

// What comes of attempts that are over changes nothing.
func TestOldAttempts(t *testing.T) {
	d := &driven{t: t, c: testClient(t, 3)}
	d.open()
	d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
	d.open()
	sent := len(d.sent)
	old := d.c.attempt - 1
	d.act(d.c.Connected(old, d.now))
	d.act(d.c.Disconnected(old, "late", d.now))
	if r, err := d.c.Receive(old, FromNode{Refusal: &Refusal{Code: Superseded, Incarnation: 99}}, d.now); err != nil || len(r.Actions) != 0 {
		t.Error(r, err)
	}
	if d.c.State() != Open || len(d.sent) != sent {
		t.Error(d.c.State())
	}
}

// With one control node there is no other one to go to; with more a session that moved returns in the end.
func TestReturnToTheFirstChoice(t *testing.T) {
	d := &driven{t: t, c: testClient(t, 3)}
	d.open()
	firstChoice := d.c.Node()
	d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
	d.open()
	if d.c.Node() == firstChoice {
		t.Fatal("it went to the same node")
	}
	d.standing(6, 4, 7)
	for began := d.now; d.c.State() == Open; {
		d.tick(ms(100))
		if d.c.State() == Open {
			d.ack(true)
		}
		if d.now-began > ReturnWithin {
			t.Fatal("it never returns")
		}
	}
	d.connect()
	if d.c.Node() != firstChoice {
		t.Error(d.c.Node())
	}

	d = &driven{t: t, c: testClient(t, 1)}
	d.open()
	for range 200 {
		d.tick(ms(100))
		d.ack(false)
	}
	if d.c.State() != Open || d.c.attempt != 1 {
		t.Error("it left the only node there is", d.c.State())
	}
}

// Rendezvous hashing: even, and only the servers of a lost node move, evenly.
func TestRank(t *testing.T) {
	nodes := []string{"n0", "n1", "n2", "n3", "n4"}
	firstOf, secondOf := map[string]int{}, map[string]int{}
	for i := range 740 {
		ranked := rank(serverName(i), nodes)
		firstOf[ranked[0]]++
		if ranked[0] == "n0" {
			secondOf[ranked[1]]++
		}
		without := rank(serverName(i), nodes[1:])
		if ranked[0] != "n0" && without[0] != ranked[0] || ranked[0] == "n0" && without[0] != ranked[1] {
			t.Errorf("server %d: %v, without n0 %v", i, ranked, without)
		}
	}
	for _, n := range nodes {
		if firstOf[n] < 110 || firstOf[n] > 190 || n != "n0" && (secondOf[n] < 18 || secondOf[n] > 60) {
			t.Errorf("%v, of n0's %v", firstOf, secondOf)
		}
	}
}

func TestClientOptions(t *testing.T) {
	good := ClientOptions{Server: "s", Zone: "z", Incarnation: 1, Nodes: []string{"n"}, Terms: lease.ControlTierTerms}
	for name, change := range map[string]func(*ClientOptions){
		"no server":      func(o *ClientOptions) { o.Server = "" },
		"a long zone":    func(o *ClientOptions) { o.Zone = string(make([]byte, 65)) },
		"a long pool":    func(o *ClientOptions) { o.Pool = string(make([]byte, 257)) },
		"no incarnation": func(o *ClientOptions) { o.Incarnation = 0 },
		"no nodes":       func(o *ClientOptions) { o.Nodes = nil },
		"eight nodes":    func(o *ClientOptions) { o.Nodes = []string{"1", "2", "3", "4", "5", "6", "7", "8"} },
		"a node twice":   func(o *ClientOptions) { o.Nodes = []string{"n", "m", "n"} },
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
	d := &driven{t: t, c: testClient(t, 3)}
	for range 10 {
		d.open()
		d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
	}
	if events := d.c.Events(); len(events) != maxEvents || events[maxEvents-1].Kind != Lost || events[maxEvents-1].Reason != "reset" {
		t.Errorf("%d: %+v", len(events), events)
	}
	d.open()
	d.standing(6, 4, 7)
	d.tick(PromptHeartbeat)
	d.ack(true)
	d.act(d.c.Disconnected(d.c.attempt, "reset", d.now))
	for range 90 {
		d.tick(ms(100))
	}
	kinds := map[EventKind]int{}
	for _, e := range d.c.Events() {
		kinds[e.Kind]++
	}
	if kinds[LeaseBegan] != 1 || kinds[LeaseEnded] != 1 {
		t.Errorf("%v", kinds)
	}
}
