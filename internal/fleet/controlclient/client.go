package controlclient

import (
	"context"
	"fmt"

	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/fleet/watch"
)

const (
	tick = 100 * time.Millisecond
	// reconcileEach is how often, in ticks, the server does what is agreed of it.
	reconcileEach = 2
	maxEvents     = 64
)

// Server is the app server as its session sees it. Its methods must not block.
type Server struct {
	Name string
	Pool string         // address of its worker pool; "" = it offers none
	Body driver.Process // its health, load and capacity
	// Applied returns the revision of the configuration in force.
	Applied func() uint64
	// Configure takes the documents that changed, as of a revision. It is called from a goroutine of its own, one call at a
	// time, and may block: what changes meanwhile comes with the next call, the newest value of each key.
	Configure func(revision uint64, changed []watch.Update)
}

// Client is the session of one app server.
type Client struct {
	options Options
	server  Server
	log     *slog.Logger
	dialer  *stream.Dialer
	addrs   map[string]string // of the nodes, by name
	names   []string          // of the nodes, as the file has them
	events  chan event
	running sync.WaitGroup // all goroutines but the loop
	feed    *feed
	metrics atomic.Pointer[metrics]

	observer Observer // set before Run

	// Of the loop.
	client     *session.Client
	connection *connection // nil = none was made yet
	ticks      int
	heldSince  int64 // when the server's health began to say no, Unix milliseconds; 0 = it does not
	act        maintenance.Action
	fed        bool // Configure has been called for what the view has
}

// New returns a client that connects once it runs.
func New(options Options, server Server, log *slog.Logger) (*Client, error) {
	config, err := options.TLS()
	if err != nil {
		return nil, fmt.Errorf("control.%w", err)
	}
	nodes, err := ParseNodes("control.nodes", options.Nodes)
	if err != nil {
		return nil, err
	}
	c := &Client{options: options, server: server, log: log, dialer: &stream.Dialer{TLS: config, Meter: &stream.Meter{}}, addrs: map[string]string{},
		events: make(chan event, maxEvents), feed: newFeed(server.Configure)}
	for _, node := range nodes {
		c.names = append(c.names, node.Name)
		c.addrs[node.Name] = node.Addr
	}
	c.client, err = session.NewClient(session.ClientOptions{Server: server.Name, Zone: options.Zone, Pool: server.Pool, Incarnation: uint64(time.Now().UnixMilli()),
		Nodes: c.names, Terms: lease.ControlTierTerms, Seed: rand.Uint64()}, boottime.Now())
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	c.publish(boottime.Now())
	return c, nil
}

// Run keeps the session until the context ends. A panic ends the session alone.
func (c *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.running.Wait()
	defer cancel()
	defer func() {
		if p := recover(); p != nil {
			c.log.Error("control", "do", "panic", "err", p, "stack", string(debug.Stack()))
		}
		c.metrics.Store(&metrics{state: session.Ended})
		c.hold(false, 0)
	}()
	c.running.Go(func() { c.feed.run(ctx) })
	clock := time.NewTicker(tick)
	defer clock.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.C:
			c.tick(ctx)
		case e := <-c.events:
			c.take(ctx, e)
		}
		c.tell()
		c.publish(boottime.Now())
	}
}

func (c *Client) tick(ctx context.Context) {
	c.ticks++
	if c.ticks%reconcileEach == 0 {
		c.reconcile(time.Now().UnixMilli())
	}
	local := session.LocalState{Report: c.server.Body.Report(), Applied: c.server.Applied()}
	local.Report.Incarnation = c.client.Incarnation()
	c.do(ctx, c.client.Tick(boottime.Now(), local))
}

// take takes what came of a connection.
func (c *Client) take(ctx context.Context, e event) {
	now := boottime.Now()
	switch {
	case e.connected:
		c.do(ctx, c.client.Connected(e.attempt, now))
	case e.lost != nil:
		c.do(ctx, c.client.Disconnected(e.attempt, e.lost.Error(), now))
	default:
		c.receive(ctx, e, now)
	}
}

func (c *Client) receive(ctx context.Context, e event, now time.Duration) {
	received, err := c.client.Receive(e.attempt, *e.message, now)
	if err != nil {
		c.log.Warn("control", "do", "receive", "node", c.client.Node(), "err", err)
	}
	c.do(ctx, received.Actions)
	if batch := e.message.Batch; batch != nil && err == nil {
		if c.observer.Changed != nil {
			c.observer.Changed(c.client.View().Revision(), batch.Snapshot, received.Changed)
		}
		c.configure(received.Changed, batch.Snapshot && batch.Last)
	}
}

// configure has the configuration follow the view: where documents changed, and once where the view is whole.
func (c *Client) configure(changed []watch.Update, whole bool) {
	var documents []watch.Update
	for _, update := range changed {
		if strings.HasPrefix(update.Key, session.ConfigurationPrefix) {
			documents = append(documents, update)
		}
	}
	revision := c.client.View().Revision()
	if revision == 0 || len(documents) == 0 && !whole && c.fed {
		return
	}
	c.fed = true
	c.feed.put(revision, documents)
}

// do carries out what the client decided.
func (c *Client) do(ctx context.Context, actions []session.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch {
		case action.Connect != nil:
			c.connect(ctx, action.Connect.Attempt, action.Connect.Node)
		case action.Close != nil:
			if c.connection != nil && c.connection.attempt == action.Close.Attempt {
				c.close(c.connection)
			}
		case action.Send != nil:
			if err := c.send(action.Send.Attempt, &action.Send.Message); err != nil {
				c.close(c.connection)
				actions = append(actions, c.client.Disconnected(action.Send.Attempt, err.Error(), boottime.Now())...)
			}
		}
	}
}

// reconcile does what is agreed of this server, and proposes its next phase.
func (c *Client) reconcile(now int64) {
	if c.client.State() == session.Ended { // a newer process of this server is the one that is taken out
		c.hold(false, now)
		return
	}
	report := c.server.Body.Report()
	state := localState(c.client)
	local := maintenance.LocalStatus{Incarnation: c.client.Incarnation(), Warm: report.Warm, Open: report.Open, KeyedUntil: report.KeyedUntil, DrainingSince: c.heldSince, MinDrain: int64(c.options.DrainMs)}
	act := maintenance.NextAction(&state, c.server.Name, local, now)
	if act != c.act && act.Why != "" {
		c.log.Info("control", "do", "server", "hold", act.Hold, "why", act.Why)
	}
	c.act = act
	c.hold(act.Hold, now)
	if !act.Speak {
		c.client.CancelProposal()
		return
	}
	c.client.Propose(maintenance.Entry{Kind: maintenance.Step, Box: c.server.Name, Incarnation: c.client.Incarnation(), Phase: act.Say})
}

// hold has the server's health say no, or what it says by itself.
func (c *Client) hold(on bool, now int64) {
	if on == (c.heldSince != 0) {
		return
	}
	c.heldSince = 0
	if on {
		c.heldSince = now
	}
	c.server.Body.HoldHealth(on)
}

// localState returns the part of the agreed state of plans that is of this server, as its view has it.
func localState(client *session.Client) (state maintenance.State) {
	standing, ok := client.ServerState()
	if !ok {
		return state
	}
	state.Boxes = []maintenance.Server{standing.Box}
	if standing.Box.Plan != "" && !standing.PlanOver {
		state.Plans = []maintenance.Plan{{ID: standing.Box.Plan, State: maintenance.Running}}
	}
	return state
}

// tell logs what happened to the session.
func (c *Client) tell() {
	for _, e := range c.client.Events() {
		if c.observer.Event != nil {
			c.observer.Event(e, Lease{c.client.FencingToken(), c.client.LeaseEnd()})
		}
		switch e.Kind {
		case session.SessionOpened:
			c.log.Info("control", "do", "open", "node", e.Node)
		case session.SessionLost:
			c.log.Warn("control", "do", "lost", "node", e.Node, "why", e.Reason)
		case session.SessionRefused:
			c.log.Warn("control", "do", "refused", "node", e.Node, "code", e.Code, "why", e.Reason)
		case session.IncarnationChanged:
			c.log.Info("control", "do", "incarnation", "number", c.client.Incarnation())
		case session.LeaseBegan:
			c.log.Info("control", "do", "lease", "held", true, "token", c.client.FencingToken())
		case session.LeaseEnded:
			c.log.Warn("control", "do", "lease", "held", false, "why", "no control node renews it: the server serves on by what it knows")
		case session.SessionEnded:
			c.log.Warn("control", "do", "over", "why", "a newer process of this server has spoken")
		}
	}
}
