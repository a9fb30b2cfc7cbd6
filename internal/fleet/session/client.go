package session

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/watch"
)

// Timeouts and delays of an app server's side of a session.
const (
	SilenceTimeout = 2 * time.Second         // a session is given up when nothing is received for this long
	GrantTimeout   = 2500 * time.Millisecond // without a lease grant for this long, the client tries another node
	ConnectTimeout = time.Second             // to establish a connection
	OpenTimeout    = time.Second             // from the connection to the Welcome message
	InitialBackoff = 500 * time.Millisecond  // the first wait is a random part of it; each failure doubles it
	MaxBackoff     = 8 * time.Second
	MaxReturnDelay = 10 * time.Minute // a session at another node than the preferred one returns after a random part of it

	initialStay = 2 * time.Second // at a node without grants once all nodes were tried; doubles up to MaxBackoff
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Server      string
	Zone        string
	Pool        string   // address of the server's worker pool; "" = the server has none
	Incarnation uint64   // number of this process, at least 1
	Nodes       []string // names of the control nodes, 1 to limits.MaxControlNodes
	Terms       lease.Terms
	Seed        uint64 // seed of the random delays
}

func (o *ClientOptions) validate() error {
	hello := Hello{Server: o.Server, Zone: o.Zone, Pool: o.Pool, Incarnation: o.Incarnation, Session: 1}
	if err := hello.validate(); err != nil {
		return err
	}
	if len(o.Nodes) == 0 || len(o.Nodes) > limits.MaxControlNodes {
		return fmt.Errorf("%d control nodes, want 1 to %d: %w", len(o.Nodes), limits.MaxControlNodes, ErrInvalid)
	}
	for i, name := range o.Nodes {
		if !validName(name) || slices.Contains(o.Nodes[:i], name) {
			return fmt.Errorf("control node %.70q: want a unique name of 1 to %d bytes: %w", name, limits.MaxName, ErrInvalid)
		}
	}
	if o.Terms.RenewInterval <= 0 || o.Terms.Length < o.Terms.RenewInterval {
		return fmt.Errorf("a lease of %v that is renewed every %v: %w", o.Terms.Length, o.Terms.RenewInterval, ErrInvalid)
	}
	return nil
}

// rankNodes orders the nodes by a server's preference, using rendezvous hashing. The preferred nodes of all servers
// are spread evenly over the nodes, and the servers of a failed node spread evenly over the rest.
func rankNodes(server string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	weight := func(node string) uint64 { return xxhash.Sum64String(server + "\x00" + node) }
	slices.SortFunc(ranked, func(a, b string) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	return ranked
}

// State is the state of a session at its server.
type State uint8

// States of a session.
const (
	Waiting State = iota
	Connecting
	Opening
	Open
	Ended
)

// String returns the name of the state for operators.
func (s State) String() string {
	return [...]string{"waiting", "connecting", "opening", "open", "ended"}[s]
}

// LocalState is the server's own state, which the client reports to the control node.
type LocalState struct {
	Report  maintenance.Report // Heard and Incarnation are ignored
	Applied uint64             // revision of the configuration in force
}

// Action is a command to the driver of a Client. Exactly one field is set. Actions must be carried out in order.
type Action struct {
	Connect *Connect
	Send    *Send
	Close   *Close
}

// Connect requests a connection to a node. The driver reports the outcome by Connected or Disconnected with the
// attempt's number.
type Connect struct {
	Attempt uint64 // increases with each attempt
	Node    string
}

// Send requests that a message is sent over the connection of an attempt. If the write fails, the driver closes the
// connection and calls Disconnected.
type Send struct {
	Attempt uint64
	Message FromServer
}

// Close requests that the connection of an attempt is closed, or that connecting is given up. Later calls for the
// attempt have no effect.
type Close struct {
	Attempt uint64
}

// Received is the result of handling a message.
type Received struct {
	Actions []Action
	Changed []watch.Update // changes to the view, in order
}

// timeouts are the timeouts after which an open session is given up.
type timeouts struct {
	silence time.Duration // since the last message; Silence by default
	grant   time.Duration // since the last lease grant; GrantTimeout by default
}

// Client is an app server's side of its session with the control tier. It chooses a control node, opens the session
// and keeps it alive, renews the server's lease and maintains the server's copy of the watch.
type Client struct {
	options     ClientOptions
	nodes       []string // most preferred first
	random      *rand.Rand
	timeouts    timeouts
	holder      *lease.Holder
	view        *watch.View
	fleet       uint64
	incarnation uint64
	local       LocalState
	events      []Event

	state     State
	nodeIndex int           // index in nodes of the current session's node, or of the next attempt's
	attempt   uint64        // number of the newest attempt, also sent as the session number
	deadline  time.Duration // of the states Waiting, Connecting and Opening

	everOpen            bool // whether a session was ever open
	reincarnated        bool // whether the process took a newer incarnation
	consecutiveFailures int  // each one doubles the range of the wait
	busyRetry           bool // whether the next attempt repeats a busy node
	lastRefusal         RefusalCode
	heldLease           bool // whether the lease was held at the last check

	// State of the search for a node that grants leases.
	nodesWithoutGrant int           // consecutive nodes that brought no grant
	searchStay        time.Duration // time at a node without grants once all nodes were tried
	lastGrant         time.Duration

	serverState    ServerState
	hasServerState bool
	proposedStep   *maintenance.Entry // sent with each heartbeat; nil = none
	session        openSession
	returnAt       time.Duration // when to return to the preferred node
	everGranted    bool          // whether this process was ever granted a lease
}

// NewClient returns a client that connects at its first Tick. now must be read after the process started.
func NewClient(o ClientOptions, now time.Duration) (*Client, error) {
	if err := o.validate(); err != nil {
		return nil, fmt.Errorf("session of server %.70q: %w", o.Server, err)
	}
	return &Client{
		options:     o,
		nodes:       rankNodes(o.Server, o.Nodes),
		random:      rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(o.Server))),
		timeouts:    timeouts{silence: SilenceTimeout, grant: GrantTimeout},
		holder:      lease.NewHolder(o.Server, o.Terms),
		view:        watch.NewView(),
		incarnation: o.Incarnation,
		searchStay:  initialStay,
		deadline:    now,
	}, nil
}

// Tick advances the timers; the driver calls it every 100 ms. now must be read before any returned message is sent.
func (c *Client) Tick(now time.Duration, l LocalState) []Action {
	c.local = l
	c.local.Report.Heard = 0
	c.local.Report.Incarnation = c.incarnation
	c.recordLeaseChange(now)
	switch c.state {
	case Waiting:
		if now >= c.deadline {
			return c.connect(now)
		}
	case Connecting, Opening:
		if now >= c.deadline {
			return c.abandon("timed out while "+c.state.String(), now)
		}
	case Open:
		return c.tickOpen(now)
	}
	return nil
}

func (c *Client) tickOpen(now time.Duration) []Action {
	switch {
	case now-c.session.heardAt >= c.timeouts.silence:
		return c.abandon(fmt.Sprintf("nothing received for %v", c.timeouts.silence), now)
	case c.shouldLeaveNode(now):
		return c.leaveNode(now)
	case c.nodeIndex != 0 && now >= c.returnAt && c.holder.Holds(now):
		return c.switchTo(0, now)
	}
	return c.heartbeat(now)
}

// connect starts the next attempt.
func (c *Client) connect(now time.Duration) []Action {
	c.attempt++
	c.state, c.deadline = Connecting, now+ConnectTimeout
	return []Action{{Connect: &Connect{c.attempt, c.nodes[c.nodeIndex]}}}
}

// Connected reports that the connection of an attempt is established. Calls for ended attempts have no effect.
func (c *Client) Connected(attempt uint64, now time.Duration) []Action {
	if attempt != c.attempt || c.state != Connecting {
		return nil
	}
	c.state, c.deadline = Opening, now+OpenTimeout
	return []Action{c.send(FromServer{Hello: &Hello{
		Fleet:       c.fleet,
		Server:      c.options.Server,
		Zone:        c.options.Zone,
		Incarnation: c.incarnation,
		Pool:        c.options.Pool,
		Revision:    c.view.Revision(),
		Session:     c.attempt,
	}})}
}

// Disconnected reports that the connection of an attempt failed or was lost. reason is free text for the log.
func (c *Client) Disconnected(attempt uint64, reason string, now time.Duration) []Action {
	if attempt != c.attempt || !c.connected() && c.state != Connecting {
		return nil
	}
	return c.abandon(reason, now)
}

// connected reports whether messages may arrive.
func (c *Client) connected() bool { return c.state == Opening || c.state == Open }

func (c *Client) send(m FromServer) Action { return Action{Send: &Send{c.attempt, m}} }

// abandon gives up the current session or attempt and goes to the next node after a backoff.
func (c *Client) abandon(reason string, now time.Duration) []Action {
	c.addEvent(Event{Kind: SessionLost, Reason: reason})
	c.consecutiveFailures++
	c.nodesWithoutGrant++
	return c.reconnectToNext(c.backoff(), now)
}

// reconnectToNext closes the current attempt and waits before connecting to the next node.
func (c *Client) reconnectToNext(wait time.Duration, now time.Duration) []Action {
	return c.reconnect((c.nodeIndex+1)%len(c.nodes), wait, now)
}

// reconnect closes the current attempt and waits before connecting to the node with the given index.
func (c *Client) reconnect(nodeIndex int, wait time.Duration, now time.Duration) []Action {
	c.nodeIndex, c.busyRetry = nodeIndex, false
	c.state, c.deadline = Waiting, now+wait
	return []Action{{Close: &Close{c.attempt}}}
}

// switchTo closes the current session and connects to another node at the next Tick.
func (c *Client) switchTo(nodeIndex int, now time.Duration) []Action {
	c.addEvent(Event{Kind: SessionLost, Reason: "returning to the preferred node"})
	return c.reconnect(nodeIndex, 0, now)
}

// backoff returns the wait after the present number of consecutive failures.
func (c *Client) backoff() time.Duration {
	limit := InitialBackoff << min(max(c.consecutiveFailures-1, 0), 10)
	return c.randomPart(min(limit, MaxBackoff))
}

// randomPart returns a random duration below a limit.
func (c *Client) randomPart(limit time.Duration) time.Duration {
	return time.Duration(c.random.Float64() * float64(limit))
}

// Receive handles a message of the control node. An error means that the message is invalid; the session is then
// over, and the returned actions close it.
func (c *Client) Receive(attempt uint64, m FromNode, now time.Duration) (Received, error) {
	if attempt != c.attempt || !c.connected() {
		return Received{}, nil
	}
	c.session.heardAt = now
	received, err := c.dispatch(m, now)
	if err != nil {
		err = fmt.Errorf("control node %s: %w", c.Node(), err)
		received = Received{Actions: c.rejectMessage(err, now)}
	}
	c.recordLeaseChange(now)
	return received, err
}

// rejectMessage ends the session after an invalid message. After a gap in the watch the client reconnects to the
// same node.
func (c *Client) rejectMessage(err error, now time.Duration) []Action {
	c.addEvent(Event{Kind: SessionLost, Reason: err.Error()})
	c.consecutiveFailures++
	if errors.Is(err, watch.ErrGap) {
		return c.reconnect(c.nodeIndex, c.backoff(), now)
	}
	return c.reconnectToNext(c.backoff(), now)
}

func (c *Client) dispatch(m FromNode, now time.Duration) (Received, error) {
	if !m.hasOneField() {
		return Received{}, fmt.Errorf("message must have exactly one field: %w", ErrInvalid)
	}
	switch {
	case m.Refusal != nil:
		return Received{Actions: c.handleRefusal(m.Refusal, now)}, nil
	case (m.Welcome != nil) != (c.state == Opening):
		return Received{}, fmt.Errorf("unexpected message while %s: %w", c.state, ErrInvalid)
	case m.Welcome != nil:
		actions, err := c.handleWelcome(m.Welcome, now)
		return Received{Actions: actions}, err
	case m.Ack != nil:
		c.handleAck(m.Ack, now)
		return Received{}, nil
	}
	return c.handleBatch(m.Batch, now)
}

func (c *Client) handleWelcome(w *Welcome, now time.Duration) ([]Action, error) {
	if w.Fleet == 0 {
		return nil, fmt.Errorf("welcome without a fleet id: %w", ErrInvalid)
	}
	if c.fleet != 0 && w.Fleet != c.fleet {
		r := Refusal{Code: OtherFleet, Reason: fmt.Sprintf("the node belongs to fleet %x, this server's state to fleet %x", w.Fleet, c.fleet)}
		return c.handleRefusal(&r, now), nil
	}
	c.fleet, c.state, c.everOpen, c.busyRetry, c.lastRefusal = w.Fleet, Open, true, false, 0
	c.session = openSession{openedAt: now, heardAt: now}
	if c.nodeIndex != 0 {
		c.returnAt = now + c.randomPart(MaxReturnDelay)
	}
	c.addEvent(Event{Kind: SessionOpened})
	return c.heartbeat(now), nil
}

func (c *Client) handleAck(a *Ack, now time.Duration) {
	c.session.leaderless = a.Leaderless
	before := c.holder.LeaseEnd()
	c.holder.AcceptGrant(lease.Grant{Box: c.options.Server, Life: a.FencingToken, Seq: a.Sequence, For: c.options.Terms.Length})
	if c.holder.LeaseEnd() > before {
		c.lastGrant, c.everGranted, c.session.granted = now, true, true
		c.nodesWithoutGrant, c.searchStay = 0, initialStay
	}
	if c.session.granted || now-c.session.openedAt >= SilenceTimeout {
		c.consecutiveFailures = 0
	}
}

func (c *Client) handleBatch(b *watch.Batch, now time.Duration) (Received, error) {
	changed, err := c.view.Apply(*b)
	if err != nil {
		return Received{}, err
	}
	ownKey := ServerPrefix + c.options.Server
	if slices.ContainsFunc(changed, func(u watch.Update) bool { return u.Key == ownKey }) {
		if err := c.readServerState(now); err != nil {
			return Received{}, err
		}
	}
	return Received{Changed: changed}, nil
}

// Holds reports whether the server holds its lease at the given time.
func (c *Client) Holds(now time.Duration) bool { return c.holder.Holds(now) }

// LeaseEnd returns when the lease ends; 0 = no lease was granted under the current fencing token.
func (c *Client) LeaseEnd() time.Duration { return c.holder.LeaseEnd() }

// FencingToken returns the fencing token of the lease; 0 = none is agreed for this process.
func (c *Client) FencingToken() uint64 { return c.holder.Token() }

// Incarnation returns the incarnation of the process: that of the options, or a newer one that the client had to
// take.
func (c *Client) Incarnation() uint64 { return c.incarnation }

// Fleet returns the id of the fleet that the view belongs to; 0 = no node has been reached yet.
func (c *Client) Fleet() uint64 { return c.fleet }

// State returns the state of the session.
func (c *Client) State() State { return c.state }

// Node returns the control node of the current session or attempt; "" = there is none.
func (c *Client) Node() string {
	if c.state == Waiting || c.state == Ended {
		return ""
	}
	return c.nodes[c.nodeIndex]
}

// View returns the server's copy of the watch.
func (c *Client) View() *watch.View { return c.view }
