package session

import (
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/watch"
)

// Times of a control node's side of sessions.
const (
	// AckWithin is how long a heartbeat waits for a grant before it is acknowledged without one.
	AckWithin = 500 * time.Millisecond
	// Expiry is how long a session may be silent.
	Expiry = 4 * time.Second
)

// TableOptions configure a Table.
type TableOptions struct {
	Node           string
	Fleet          uint64 // not 0
	MaxSessions    int    // at most limits.MaxServers
	OpensPerSecond int    // sessions opened, on average
	OpensBurst     int    // and at once after a rest
	MaxSnapshots   int    // being sent at a time
	DrainPerSecond int    // sessions that are ended a second while the node drains
	Terms          lease.Terms
	Seed           uint64 // of the jitter
}

// EndedSession is a session that its node ends. The driver writes the refusal if it can at once, and closes the connection.
// The table has forgotten the session.
type EndedSession struct {
	ID      uint64
	Refusal Refusal
}

// Table is a control node's side of its sessions. A session's id is of the driver's choice and never used again.
type Table struct{}

// NewTable returns a table whose sessions watch a history.
func NewTable(o TableOptions, h *watch.History) *Table { return &Table{} }

// Open takes the first message of a connection. known is the newest incarnation of the server that the log has; 0 = none.
// A refusal says that there is no session. The sessions in ended are replaced by this one.
func (t *Table) Open(id uint64, h Hello, known uint64, now time.Duration) (ended []EndedSession, refusal *Refusal) {
	return nil, nil
}

// Heartbeat takes a heartbeat and returns the proposals to send to the leader. An error tells that the message cannot be: the
// driver ends the session with Refusal{Code: Invalid}, and calls Closed.
func (t *Table) Heartbeat(id uint64, hb Heartbeat, now time.Duration) ([]Proposal, error) {
	return nil, nil
}

// Granted takes the leader's grants. Those for renewals that no session here sent are ignored.
func (t *Table) Granted(grants []lease.Grant, now time.Duration) {}

// Leaderless tells whether this node knows no leader.
func (t *Table) Leaderless(leaderless bool) {}

// Next returns the next message of a session whose writer is free; false = there is nothing to send now. The writer is
// busy from then on, until the driver calls Written.
func (t *Table) Next(id uint64, now time.Duration) (FromNode, bool) { return FromNode{}, false }

// Written tells that the message that Next returned was written: the writer is free.
func (t *Table) Written(id uint64) {}

// Pending returns sessions whose writer is free and that may have something to send.
// It costs as much as there are such sessions.
func (t *Table) Pending(now time.Duration) []uint64 { return nil }

// Closed tells that the connection of a session is gone.
func (t *Table) Closed(id uint64, now time.Duration) {}

// Tick is called every 100 ms. It returns the sessions that expired, or that a draining node ends.
func (t *Table) Tick(now time.Duration) []EndedSession { return nil }

// Superseded tells that the log has a process of a server; sessions of older ones end.
func (t *Table) Superseded(server string, incarnation uint64) []EndedSession { return nil }

// Drain has the node take no more sessions and end those it has, DrainPerSecond of them.
func (t *Table) Drain() {}

// Sessions returns the number of sessions.
func (t *Table) Sessions() int { return 0 }

// Digest returns what the leader has not been told, up to about maxBytes encoded; false = nothing. What is returned counts as
// told; after a loss, or with a new leader, the driver calls Resync.
func (t *Table) Digest(maxBytes int) (Digest, bool) { return Digest{}, false }

// Resync has the digests tell everything anew: there is a new leader, or a digest was lost. Renewals in hand and grants that
// were not sent are dropped.
func (t *Table) Resync() {}
