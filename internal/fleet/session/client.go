package session

import (
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/watch"
)

// Times of an app server's side of a session.
const (
	Silence          = 2 * time.Second         // nothing heard for so long: the session is given up
	GrantPatience    = 2500 * time.Millisecond // no lease granted for so long: another node may be better
	ConnectTimeout   = time.Second             // for a connection
	OpenTimeout      = time.Second             // from the connection to Welcome
	FirstBackoff     = 500 * time.Millisecond  // the first wait is a random part of it; each failure doubles it
	MaxBackoff       = 8 * time.Second
	ReturnWithin     = 10 * time.Minute       // a session away from the first choice returns after a random part of it
	ReportEvery      = 2 * time.Second        // at most, where nothing but the count of open requests changed
	PromptHeartbeats = 200 * time.Millisecond // least time between heartbeats that do not wait for Terms.Every
	// ReportTolerance is the relative change in Load or Capacity that is noise: no report is sent for it.
	ReportTolerance = 0.05
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
	Report  takeout.Report // Heard is not looked at
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

// Close asks to close the connection of an attempt, or to give up making it. Nothing is called for it any more.
type Close struct {
	Attempt uint64
}

// EventKind tells what happened to a session.
type EventKind uint8

// The kinds of event.
const (
	Opened      EventKind = iota + 1 // a session is open at Node
	Lost                             // the session at Node is over, or an attempt at one failed; Reason says why
	Refused                          // Node refused, by Code
	Incarnated                       // the process took a newer incarnation; Client.Incarnation has it
	LeaseBegan                       // the server holds a lease
	LeaseEnded                       // the server holds a lease no longer
	SessionOver                      // the session has Ended: a newer process has taken this server's place
)

// Event is worth a log line.
type Event struct {
	Kind   EventKind
	Node   string
	Code   RefusalCode
	Reason string
}

// Received is what became of a message.
type Received struct {
	Actions []Action
	Changed []watch.Update // of the view
}

// Client is an app server's side of its session to the control tier.
type Client struct{}

// NewClient returns a client that connects at its first Tick. now is read after the process began.
func NewClient(o ClientOptions, now time.Duration) (*Client, error) { return &Client{}, nil }

// Tick is called every 100 ms. now is read before anything that it returns is sent.
func (c *Client) Tick(now time.Duration, l Local) []Action { return nil }

// Connected tells that the connection of an attempt is made. Attempts that are over change nothing.
func (c *Client) Connected(attempt uint64, now time.Duration) []Action { return nil }

// Disconnected tells that the connection of an attempt could not be made, or is lost; reason is for people.
func (c *Client) Disconnected(attempt uint64, reason string, now time.Duration) []Action { return nil }

// Receive takes a message of a node. An error tells that the message cannot be; the session is over then, and Actions
// closes it.
func (c *Client) Receive(attempt uint64, m FromNode, now time.Duration) (Received, error) {
	return Received{}, nil
}

// Events returns what happened since the last call, at most 16, the oldest dropped first.
func (c *Client) Events() []Event { return nil }

// Propose keeps a proposal of this server: it goes with each heartbeat until the watch shows that it took hold or cannot
// any longer, or it is replaced or withdrawn. Live is proposed by the client itself.
func (c *Client) Propose(step takeout.Entry) {}

// Withdraw drops the proposal that is kept.
func (c *Client) Withdraw() {}

// Holds reports whether the server holds its lease at a time.
func (c *Client) Holds(now time.Duration) bool { return false }

// Until returns when the lease ends; 0 = there has been none under this token.
func (c *Client) Until() time.Duration { return 0 }

// FencingToken returns the token of the lease; 0 = none is agreed for this process.
func (c *Client) FencingToken() uint64 { return 0 }

// Incarnation returns that of the process: the options', or a newer one that it had to take.
func (c *Client) Incarnation() uint64 { return 0 }

// Fleet returns the fleet that the view is of; 0 = no node was reached yet.
func (c *Client) Fleet() uint64 { return 0 }

// State returns where the session stands.
func (c *Client) State() State { return Waiting }

// Node returns the control node of the session or attempt; "" while it waits.
func (c *Client) Node() string { return "" }

// View returns the server's copy of the watch.
func (c *Client) View() *watch.View { return nil }

// Standing returns what is agreed of this server, as of the view.
func (c *Client) Standing() (Standing, bool) { return Standing{}, false }
