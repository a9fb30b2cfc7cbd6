package session

import "time"

// maxEvents bounds the events that wait to be read by Events.
const maxEvents = 16

// EventKind identifies what happened to a session.
type EventKind uint8

// Kinds of events.
const (
	SessionOpened      EventKind = iota + 1 // a session is open at Node
	SessionLost                             // the session at Node ended, or an attempt to open one failed; Reason says why
	SessionRefused                          // Node refused with Code; repeated only after a session or another code
	IncarnationChanged                      // the process took a newer incarnation, which Client.Incarnation returns
	LeaseBegan                              // the server holds a lease
	LeaseEnded                              // the server no longer holds a lease
	SessionEnded                            // the client has stopped for good: a newer process of this server is running
)

// Event is a change in a session that is worth a log line.
type Event struct {
	Kind   EventKind
	Node   string
	Code   RefusalCode
	Reason string
}

// Events returns the events since the last call, at most 16; the oldest are dropped first.
func (c *Client) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Client) addEvent(e Event) {
	e.Node = c.nodes[c.nodeIndex]
	if len(c.events) == maxEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, e)
}

// recordLeaseChange records an event when the lease began or ended since the last call.
func (c *Client) recordLeaseChange(now time.Duration) {
	holds := c.holder.Holds(now)
	switch {
	case holds && !c.heldLease:
		c.addEvent(Event{Kind: LeaseBegan})
	case !holds && c.heldLease:
		c.addEvent(Event{Kind: LeaseEnded})
	}
	c.heldLease = holds
}
