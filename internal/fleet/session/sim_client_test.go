package session

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/watch"
)

// simClient is a simulated process of an app server, including the driver of its session.
type simClient struct {
	process
	world               *world
	server              int
	endpoint            int
	incarnation         uint64
	client              *Client
	stream              *stream
	currentAttempt      uint64
	local               LocalState
	slowReader          bool // messages are read several seconds late
	disturbedAt         time.Duration
	leaseEndFromReceipt time.Duration // end of the lease if it ran from the receipt of the acknowledgement (a defect)
	attemptTimes        []time.Duration
}

func (w *world) startClient(server int, incarnation uint64) *simClient {
	c := &simClient{
		process:     process{world: &w.scheduler, clockRate: w.randomClockRate(), started: w.now},
		world:       w,
		server:      server,
		endpoint:    len(w.nodes) + server,
		incarnation: incarnation,
		disturbedAt: w.now,
	}
	names := []string{}
	for _, n := range w.nodes {
		names = append(names, n.name)
	}
	client, err := NewClient(ClientOptions{
		Server: serverName(server), Zone: fmt.Sprint("z", w.zone(server)), Incarnation: incarnation, Nodes: names,
		Terms: w.terms, Seed: w.random.Uint64(),
	}, c.clock())
	if err != nil {
		w.t.Fatal(err)
	}
	if w.defects.noSilenceTimeout {
		client.timeouts.silence = time.Hour
	}
	if w.defects.noGrantTimeout {
		client.timeouts.grant = time.Hour
	}
	if w.defects.noJitter {
		client.random = constantRandom()
	}
	c.client = client
	c.local.Report = maintenance.Report{Capacity: 100, Warm: true}
	w.after(w.randomPart(100*time.Millisecond), func() { c.exec(c.tick) })
	w.processes = append(w.processes, c)
	w.processesByServer[server] = append(w.processesByServer[server], c)
	return c
}

func serverName(i int) string { return fmt.Sprintf("s%03d", i) }

func (c *simClient) tick() {
	if c.server%2 == 0 { // the other servers are idle and have nothing to report
		c.local.Report.Open = c.world.random.IntN(50)
		c.local.Report.Load = 40 + c.world.random.Float64()
	}
	c.perform(c.client.Tick(c.clock(), c.local))
	c.checkLease()
	c.world.after(time.Duration(float64(100*time.Millisecond)/c.clockRate), func() { c.exec(c.tick) })
}

func (c *simClient) perform(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Connect != nil:
			c.currentAttempt = a.Connect.Attempt
			c.attemptTimes = append(c.attemptTimes, c.world.now)
			c.world.connect(c, a.Connect.Attempt, slices.IndexFunc(c.world.nodes, func(n *simNode) bool { return n.name == a.Connect.Node }))
		case a.Send != nil:
			if c.stream != nil && c.stream.attempt == a.Send.Attempt {
				c.stream.toNode(a.Send.Message)
			}
		case a.Close != nil:
			c.currentAttempt = 0
			if c.stream != nil && c.stream.attempt == a.Close.Attempt {
				c.stream.closedByClient()
				c.stream = nil
			}
		}
	}
}

func (c *simClient) receive(s *stream, m FromNode) {
	if c.stream != s {
		return
	}
	before := c.client.View().Revision()
	if m.Batch != nil && c.world.defects.acceptGaps && !m.Batch.Snapshot && m.Batch.From != before {
		b := *m.Batch
		b.From = before
		m.Batch = &b
	}
	if m.Ack != nil && m.Ack.Sequence != 0 {
		c.leaseEndFromReceipt = c.clock() + c.world.terms.Length
	}
	r, err := c.client.Receive(s.attempt, m, c.clock())
	if err != nil && !strings.Contains(err.Error(), watch.ErrGap.Error()) {
		c.world.fail("server %d: %v", c.server, err)
	}
	c.perform(r.Actions)
	if m.Batch != nil && err == nil {
		c.checkBatch(m.Batch, before, r.Changed)
	}
	c.checkLease()
}

// holds reports whether the server acts on its lease.
func (c *simClient) holds() bool {
	if c.dead {
		return false
	}
	if c.world.defects.leaseFromReceipt {
		return c.client.FencingToken() != 0 && c.clock() < c.leaseEndFromReceipt
	}
	return c.client.Holds(c.clock())
}

// checkLease checks the rules that must always hold for a lease.
func (c *simClient) checkLease() {
	if !c.holds() {
		if c.world.mustHoldLease(c) && !c.dead && c.world.clients[c.server] == c {
			c.world.fail("server %d holds no lease", c.server)
		}
		return
	}
	for _, o := range c.world.processesByServer[c.server] {
		if o != c && o.holds() && o.client.FencingToken() == c.client.FencingToken() {
			c.world.fail("processes %d and %d of server %d both hold the lease of token %d", c.incarnation, o.incarnation, c.server, c.client.FencingToken())
		}
	}
	if at, lost := c.world.expiredTokens[c.client.FencingToken()]; lost {
		c.world.fail("server %d holds the lease of token %d, which expired at %v", c.server, c.client.FencingToken(), at)
	}
}

// checkBatch compares the view after a batch, and the changes that were reported for it, with the log.
func (c *simClient) checkBatch(b *watch.Batch, before uint64, changed []watch.Update) {
	view := c.client.View()
	if c.world.defects.acceptGaps && view.Revision() > uint64(len(c.world.log)) {
		return
	}
	configured := slices.ContainsFunc(changed, func(u watch.Update) bool { return strings.HasPrefix(u.Key, ConfigurationPrefix) })
	if configured {
		c.local.Applied = view.Revision()
	}
	if b.Snapshot && !b.Last {
		return
	}
	if got, want := view.Digest(ConfigurationPrefix), c.world.digestAt(view.Revision()); got != want {
		c.world.fail("server %d at revision %d has a configuration that differs from the log's", c.server, view.Revision())
	}
	if b.Snapshot {
		return
	}
	want := c.world.configurationRevisions(before, view.Revision())
	got := []uint64{}
	for _, u := range changed {
		if strings.HasPrefix(u.Key, ConfigurationPrefix) {
			got = append(got, u.Revision)
		}
	}
	if !slices.Equal(got, want) {
		c.world.fail("server %d from revision %d to %d applied %v, the log has %v", c.server, before, view.Revision(), got, want)
	}
}

// kill ends the process and breaks its connection.
func (c *simClient) kill() {
	if c.stream != nil {
		c.stream.closedByClient()
	}
	c.dead = true
}
