// Package session implements the protocol of sessions between app servers and control nodes. Each app server keeps
// one session with one control node. Heartbeats flow to the node: lease renewals, changes of the server's report
// and the revision of the configuration in force. Acknowledgements with lease grants and the batches of a watch
// flow to the server. Client is the app server's side and Table the control node's side; a Digest is a node's
// summary of its sessions for the leader, and Collector merges the digests at the leader.
//
// All of them are deterministic state machines: they take input and the time and return output. They do no I/O,
// read no clock and are not safe for concurrent use. Times are monotonic durations on the clock of the process that
// reads them, as in package lease.
package session

import (
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/watch"
)

// ConfigurationPrefix is the prefix of the watch keys of configuration documents.
const ConfigurationPrefix = "configuration/"

// ServerPrefix is the prefix of the watch key of each app server; the value of such a key is an encoded ServerState.
const ServerPrefix = "server/"

// Bounds of the messages.
const (
	MaxMessage   = 128 << 10 // bytes of one encoded message
	MaxBatch     = 64 << 10  // bytes of keys and values in one batch; a single larger update is sent alone
	MaxProposals = 4         // per heartbeat
	MaxReason    = 256       // bytes of an error message for operators
)

// FromServer is a message of an app server. Exactly one field is set.
type FromServer struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
}

// Hello opens a session.
type Hello struct {
	Fleet       uint64 `cbor:"1,keyasint"` // the fleet that Revision belongs to; 0 = the server has seen none
	Server      string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // increases with each process of the server
	Pool        string `cbor:"5,keyasint,omitempty"`
	Revision    uint64 `cbor:"6,keyasint"` // the server has all updates up to this revision; 0 = none
	Session     uint64 `cbor:"7,keyasint"` // number of the session, increasing over all sessions of a process
}

// Heartbeat reports the state of a server, at least every lease.Terms.RenewInterval.
type Heartbeat struct {
	Sequence     uint64              `cbor:"1,keyasint"`           // of the renewal, increasing per process; 0 = no renewal
	FencingToken uint64              `cbor:"2,keyasint,omitempty"` // of the lease to renew; 0 = no renewal
	Applied      uint64              `cbor:"3,keyasint"`           // revision of the configuration in force at the server
	Report       *maintenance.Report `cbor:"4,keyasint,omitempty"` // set if it changed, and in the first heartbeat of a session
	Proposals    []Proposal          `cbor:"5,keyasint,omitempty"`
}

// Proposal is an entry that a server asks the control tier to agree on. Exactly one field is set. The server
// repeats it until the watch shows that it was applied or can no longer apply.
type Proposal struct {
	Step *maintenance.Entry `cbor:"1,keyasint,omitempty"` // the next phase of this server
	Live *lease.Entry       `cbor:"2,keyasint,omitempty"` // registers this process and requests a lease
}

// FromNode is a message of a control node. Exactly one field is set.
type FromNode struct {
	Welcome *Welcome     `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal     `cbor:"2,keyasint,omitempty"`
	Ack     *Ack         `cbor:"3,keyasint,omitempty"`
	Batch   *watch.Batch `cbor:"4,keyasint,omitempty"`
}

// Welcome accepts a session. The first batch of the watch follows it.
type Welcome struct {
	Fleet uint64 `cbor:"1,keyasint"` // never 0
	Node  string `cbor:"2,keyasint"`
}

// RefusalCode is the reason why a node refused or ended a session.
type RefusalCode uint8

// Codes of a refusal.
const (
	Busy            RefusalCode = iota + 1 // retry after RetryAfter, at this node or another
	Superseded                             // a newer process of the server is known, with Incarnation
	OtherFleet                             // the server's revision belongs to another fleet
	Invalid                                // the message is invalid
	NodeUnavailable                        // the node is stopping or has too many sessions: use another one
)

// Refusal refuses or ends a session.
type Refusal struct {
	Code        RefusalCode   `cbor:"1,keyasint"`
	RetryAfter  time.Duration `cbor:"2,keyasint,omitempty"`
	Incarnation uint64        `cbor:"3,keyasint,omitempty"` // for Superseded: the newest known
	Reason      string        `cbor:"4,keyasint,omitempty"` // for operators, at most MaxReason bytes
}

// Ack acknowledges heartbeats: at once when a lease was granted, otherwise after MaxAckDelay.
type Ack struct {
	Sequence     uint64 `cbor:"1,keyasint,omitempty"` // the newest granted renewal; 0 = none
	FencingToken uint64 `cbor:"2,keyasint,omitempty"` // fencing token of that renewal
	Revision     uint64 `cbor:"3,keyasint"`           // newest revision that this node has applied
	Leaderless   bool   `cbor:"4,keyasint,omitempty"` // whether this node knows no leader
}

// ServerState is the agreed state of one app server, the value of its key in the watch.
type ServerState struct {
	Box          maintenance.Server `cbor:"1,keyasint"`
	PlanOver     bool               `cbor:"2,keyasint,omitempty"` // the plan that granted its maintenance is over
	FencingToken uint64             `cbor:"3,keyasint,omitempty"` // of its lease; 0 = the server has none
	LeaseProcess uint64             `cbor:"4,keyasint,omitempty"` // incarnation of the process that FencingToken belongs to
}

// Digest is a control node's summary for the leader of what happened to its sessions since the last digest.
type Digest struct {
	Renewals []lease.Renewal `cbor:"1,keyasint,omitempty"`
	Servers  []ServerStatus  `cbor:"2,keyasint,omitempty"`
	Closed   []ClosedSession `cbor:"3,keyasint,omitempty"` // sessions that ended at this node
}

// ClosedSession identifies a session that ended at its node. The server may have a newer session there or
// elsewhere.
type ClosedSession struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Session     uint64 `cbor:"3,keyasint"`
}

// ServerStatus is the newest state that a server reported in a session. Of two statuses the one with the greater
// Report.Incarnation, Session and Heartbeat, compared in this order, is newer, regardless of the order of arrival.
type ServerStatus struct {
	Server    string             `cbor:"1,keyasint"`
	Applied   uint64             `cbor:"2,keyasint"`
	Report    maintenance.Report `cbor:"3,keyasint"`
	Session   uint64             `cbor:"4,keyasint"`
	Heartbeat uint64             `cbor:"5,keyasint"` // number of heartbeats that the node has received in the session
}
