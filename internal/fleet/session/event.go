package session

import "time"

// maxEvents bounds the events that wait to be read.
const maxEvents = 16

// EventKind tells what happened to a session.
type EventKind uint8

// The kinds of event.
const (
	Opened      EventKind = iota + 1 // a session is open at Node
	Lost                             // the session at Node is over, or an attempt at one failed; Reason says why
	Refused                          // Node refused, by Code; told again only after a session or another code
	Incarnated                       // the process took a newer incarnation; Client.Incarnation has it
	LeaseBegan                       // the server holds a lease
	LeaseEnded                       // the server holds a lease no longer
	SessionOver                      // there will be no session: a newer process has taken this server's place
)

// Event is worth a log line.
type Event struct {
	Kind   EventKind
	Node   string
	Code   RefusalCode
	Reason string
}

// Events returns what happened since the last call, at most 16, the oldest dropped first.
func (c *Client) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Client) event(e Event) {
	e.Node = c.nodes[c.position]
	if len(c.events) == maxEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, e)
}

// noteLease tells when the lease begins or ends.
func (c *Client) noteLease(now time.Duration) {
	holds := c.holder.Holds(now)
	switch {
	case holds && !c.held:
		c.event(Event{Kind: LeaseBegan})
	case !holds && c.held:
		c.event(Event{Kind: LeaseEnded})
	}
	c.held = holds
}
