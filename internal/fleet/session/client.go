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
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/watch"
)

// Times of an app server's side of a session.
const (
	Silence        = 2 * time.Second         // nothing heard for so long: the session is given up
	GrantPatience  = 2500 * time.Millisecond // no lease granted for so long: another node may be better
	ConnectTimeout = time.Second             // for a connection
	OpenTimeout    = time.Second             // from the connection to Welcome
	FirstBackoff   = 500 * time.Millisecond  // the first wait is a random part of it; each failure doubles it
	MaxBackoff     = 8 * time.Second
	ReturnWithin   = 10 * time.Minute // a session away from the first choice returns after a random part of it

	firstStay = 2 * time.Second // at a node without grants while no other seems better; each time doubles it, to MaxBackoff
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Server      string
	Zone        string
	Pool        string   // address of its worker pool; "" = it offers none
	Incarnation uint64   // of this process, at least 1
	Nodes       []string // names of the control nodes, 1 to limits.MaxControlNodes
	Terms       lease.Terms
	Seed        uint64 // of the jitter
}

func (o *ClientOptions) validate() error {
	hello := Hello{Server: o.Server, Zone: o.Zone, Pool: o.Pool, Incarnation: o.Incarnation, Session: 1}
	if err := hello.validate(); err != nil {
		return err
	}
	if len(o.Nodes) == 0 || len(o.Nodes) > limits.MaxControlNodes {
		return fmt.Errorf("%d control nodes, 1 to %d can be: %w", len(o.Nodes), limits.MaxControlNodes, ErrInvalid)
	}
	for i, name := range o.Nodes {
		if !validName(name) || slices.Contains(o.Nodes[:i], name) {
			return fmt.Errorf("control node %.70q: a name of 1 to %d bytes, once, is wanted: %w", name, limits.MaxName, ErrInvalid)
		}
	}
	if o.Terms.Every <= 0 || o.Terms.Length < o.Terms.Every {
		return fmt.Errorf("a lease of %v that is renewed each %v: %w", o.Terms.Length, o.Terms.Every, ErrInvalid)
	}
	return nil
}

// rank orders the nodes for a server by rendezvous hashing: the first choices of all servers spread evenly over the nodes, and those
// of a lost node spread evenly over the rest.
func rank(server string, nodes []string) []string {
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

// State is where a session stands at its server.
type State uint8

// The states of a session.
const (
	Waiting State = iota
	Connecting
	Opening
	Open
	Ended
)

// String returns the state as operators read it.
func (s State) String() string {
	return [...]string{"waiting", "connecting", "opening", "open", "ended"}[s]
}

// Local is what a server knows of itself.
type Local struct {
	Report  takeout.Report // Heard and Incarnation are not looked at
	Applied uint64         // revision of the configuration in force
}

// Action is what the driver of a Client has to do: one of its fields is set. Actions are carried out in order.
type Action struct {
	Connect *Connect
	Send    *Send
	Close   *Close
}

// Connect asks for a connection. The driver calls Connected or Disconnected with the attempt.
type Connect struct {
	Attempt uint64 // grows
	Node    string
}

// Send asks to send a message over the connection of an attempt. If it cannot be written the driver closes the connection
// and calls Disconnected.
type Send struct {
	Attempt uint64
	Message FromServer
}

// Close asks to close the connection of an attempt, or to give up making it. What the driver tells of the attempt
// afterwards changes nothing.
type Close struct {
	Attempt uint64
}

// Received is what became of a message.
type Received struct {
	Actions []Action
	Changed []watch.Update // of the view, in order
}

// timeouts end an open session.
type timeouts struct {
	silence time.Duration // Silence
	grant   time.Duration // GrantPatience
}

// Client is an app server's side of its session to the control tier.
type Client struct {
	options     ClientOptions
	nodes       []string // by rank
	random      *rand.Rand
	timeouts    timeouts
	holder      *lease.Holder
	view        *watch.View
	fleet       uint64
	incarnation uint64
	local       Local
	events      []Event

	state    State
	position int    // in nodes, of the session or the next attempt
	attempt  uint64 // newest; the number of its session too
	due      time.Duration

	everOpen     bool
	reincarnated bool
	failures     int // in a row: each doubles the range of the wait
	busy         bool
	lastRefusal  RefusalCode
	held         bool // the lease, when it was last looked at

	// Of the search for a node that has leases granted.
	fruitless int           // nodes in a row that brought no grant
	stay      time.Duration // at a node without grants once all were tried
	lastGrant time.Duration

	standing      Standing
	hasStanding   bool
	step          *takeout.Entry // proposed
	open          openSession
	returnAt      time.Duration // when it tries the first choice again
	grantedBefore bool          // a lease was granted to this process
}

// NewClient returns a client that connects at its first Tick. now is read after the process began.
func NewClient(o ClientOptions, now time.Duration) (*Client, error) {
	if err := o.validate(); err != nil {
		return nil, fmt.Errorf("session of server %.70q: %w", o.Server, err)
	}
	return &Client{
		options:     o,
		nodes:       rank(o.Server, o.Nodes),
		random:      rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(o.Server))),
		timeouts:    timeouts{silence: Silence, grant: GrantPatience},
		holder:      lease.NewHolder(o.Server, o.Terms),
		view:        watch.NewView(),
		incarnation: o.Incarnation,
		stay:        firstStay,
		due:         now,
	}, nil
}

// Tick is called every 100 ms. now is read before anything that it returns is sent.
func (c *Client) Tick(now time.Duration, l Local) []Action {
	c.local = l
	c.local.Report.Heard = 0
	c.local.Report.Incarnation = c.incarnation
	c.noteLease(now)
	switch c.state {
	case Waiting:
		if now >= c.due {
			return c.connect(now)
		}
	case Connecting, Opening:
		if now >= c.due {
			return c.lose("no answer while "+c.state.String(), now)
		}
	case Open:
		return c.tickOpen(now)
	}
	return nil
}

func (c *Client) tickOpen(now time.Duration) []Action {
	switch {
	case now-c.open.heard >= c.timeouts.silence:
		return c.lose(fmt.Sprintf("nothing heard for %v", c.timeouts.silence), now)
	case c.shouldMove(now):
		return c.move(now)
	case c.position != 0 && now >= c.returnAt && c.holder.Holds(now):
		return c.goTo(0, now)
	}
	return c.heartbeat(now)
}

// connect begins the next attempt.
func (c *Client) connect(now time.Duration) []Action {
	c.attempt++
	c.state, c.due = Connecting, now+ConnectTimeout
	return []Action{{Connect: &Connect{c.attempt, c.nodes[c.position]}}}
}

// Connected tells that the connection of an attempt is made. Attempts that are over change nothing.
func (c *Client) Connected(attempt uint64, now time.Duration) []Action {
	if attempt != c.attempt || c.state != Connecting {
		return nil
	}
	c.state, c.due = Opening, now+OpenTimeout
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

// Disconnected tells that the connection of an attempt could not be made, or is lost; reason is for people.
func (c *Client) Disconnected(attempt uint64, reason string, now time.Duration) []Action {
	if attempt != c.attempt || !c.connected() && c.state != Connecting {
		return nil
	}
	return c.lose(reason, now)
}

// connected reports whether messages may come.
func (c *Client) connected() bool { return c.state == Opening || c.state == Open }

func (c *Client) send(m FromServer) Action { return Action{Send: &Send{c.attempt, m}} }

// lose gives up a session or an attempt, and goes to the next node.
func (c *Client) lose(reason string, now time.Duration) []Action {
	c.event(Event{Kind: Lost, Reason: reason})
	c.failures++
	c.fruitless++
	return c.next(c.backoff(), now)
}

// next closes the present attempt and waits before one at the next node.
func (c *Client) next(wait time.Duration, now time.Duration) []Action {
	return c.again((c.position+1)%len(c.nodes), wait, now)
}

// again closes the present attempt and waits before one at a node.
func (c *Client) again(position int, wait time.Duration, now time.Duration) []Action {
	c.position, c.busy = position, false
	c.state, c.due = Waiting, now+wait
	return []Action{{Close: &Close{c.attempt}}}
}

// goTo closes the present session and connects to another node with the next Tick.
func (c *Client) goTo(position int, now time.Duration) []Action {
	c.event(Event{Kind: Lost, Reason: "it goes back to its first choice"})
	return c.again(position, 0, now)
}

// backoff returns the wait after so many failures in a row.
func (c *Client) backoff() time.Duration {
	limit := FirstBackoff << min(max(c.failures-1, 0), 10)
	return c.part(min(limit, MaxBackoff))
}

// part returns a random part of a duration.
func (c *Client) part(of time.Duration) time.Duration {
	return time.Duration(c.random.Float64() * float64(of))
}

// Receive takes a message of a node. An error tells that the message cannot be; the session is over then, and the actions
// close it.
func (c *Client) Receive(attempt uint64, m FromNode, now time.Duration) (Received, error) {
	if attempt != c.attempt || !c.connected() {
		return Received{}, nil
	}
	c.open.heard = now
	received, err := c.take(m, now)
	if err != nil {
		err = fmt.Errorf("control node %s: %w", c.Node(), err)
		received = Received{Actions: c.reject(err, now)}
	}
	c.noteLease(now)
	return received, err
}

// reject ends the session after a message that cannot be. After a gap in the watch the same node will do.
func (c *Client) reject(err error, now time.Duration) []Action {
	c.event(Event{Kind: Lost, Reason: err.Error()})
	c.failures++
	if errors.Is(err, watch.ErrGap) {
		return c.again(c.position, c.backoff(), now)
	}
	return c.next(c.backoff(), now)
}

func (c *Client) take(m FromNode, now time.Duration) (Received, error) {
	if !m.only() {
		return Received{}, fmt.Errorf("a message of not just one thing: %w", ErrInvalid)
	}
	switch {
	case m.Refusal != nil:
		return Received{Actions: c.refused(m.Refusal, now)}, nil
	case (m.Welcome != nil) != (c.state == Opening):
		return Received{}, fmt.Errorf("a message out of turn while %s: %w", c.state, ErrInvalid)
	case m.Welcome != nil:
		actions, err := c.welcomed(m.Welcome, now)
		return Received{Actions: actions}, err
	case m.Ack != nil:
		c.acknowledged(m.Ack, now)
		return Received{}, nil
	}
	return c.batch(m.Batch, now)
}

func (c *Client) welcomed(w *Welcome, now time.Duration) ([]Action, error) {
	if w.Fleet == 0 {
		return nil, fmt.Errorf("a welcome to no fleet: %w", ErrInvalid)
	}
	if c.fleet != 0 && w.Fleet != c.fleet {
		r := Refusal{Code: OtherFleet, Reason: fmt.Sprintf("the node is of fleet %x, this server's state is of %x", w.Fleet, c.fleet)}
		return c.refused(&r, now), nil
	}
	c.fleet, c.state, c.everOpen, c.busy, c.lastRefusal = w.Fleet, Open, true, false, 0
	c.open = openSession{since: now, heard: now}
	if c.position != 0 {
		c.returnAt = now + c.part(ReturnWithin)
	}
	c.event(Event{Kind: Opened})
	return c.heartbeat(now), nil
}

func (c *Client) acknowledged(a *Ack, now time.Duration) {
	c.open.leaderless = a.Leaderless
	before := c.holder.Until()
	c.holder.Granted(lease.Grant{Box: c.options.Server, Life: a.FencingToken, Seq: a.Sequence, For: c.options.Terms.Length})
	if c.holder.Until() > before {
		c.lastGrant, c.grantedBefore, c.open.granted = now, true, true
		c.fruitless, c.stay = 0, firstStay
	}
	if c.open.granted || now-c.open.since >= Silence {
		c.failures = 0
	}
}

func (c *Client) batch(b *watch.Batch, now time.Duration) (Received, error) {
	changed, err := c.view.Apply(*b)
	if err != nil {
		return Received{}, err
	}
	mine := ServerPrefix + c.options.Server
	if slices.ContainsFunc(changed, func(u watch.Update) bool { return u.Key == mine }) {
		if err := c.readStanding(now); err != nil {
			return Received{}, err
		}
	}
	return Received{Changed: changed}, nil
}

// Holds reports whether the server holds its lease at a time.
func (c *Client) Holds(now time.Duration) bool { return c.holder.Holds(now) }

// Until returns when the lease ends; 0 = there has been none under this token.
func (c *Client) Until() time.Duration { return c.holder.Until() }

// FencingToken returns the token of the lease; 0 = none is agreed for this process.
func (c *Client) FencingToken() uint64 { return c.holder.Life() }

// Incarnation returns that of the process: the options', or a newer one that it had to take.
func (c *Client) Incarnation() uint64 { return c.incarnation }

// Fleet returns the fleet that the view is of; 0 = no node was reached yet.
func (c *Client) Fleet() uint64 { return c.fleet }

// State returns where the session stands.
func (c *Client) State() State { return c.state }

// Node returns the control node of the session or attempt; "" while there is none.
func (c *Client) Node() string {
	if c.state == Waiting || c.state == Ended {
		return ""
	}
	return c.nodes[c.position]
}

// View returns the server's copy of the watch.
func (c *Client) View() *watch.View { return c.view }
