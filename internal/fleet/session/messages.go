// Package session has the decisions of the sessions between app servers and control nodes. An app server keeps one
// session to one control node: heartbeats go up (renewal of the lease, what changed in the report, the configuration in
// force), acknowledgements with lease grants and batches of a watch come down. Client is the app server's side, Table a
// control node's, Digest what a node tells the leader of its
// sessions and Collector the leader's sum of it.
//
// All of them are state machines: input and time in, output out. They do no I/O, read no clock, and are not safe for
// concurrent use. Times are monotonic durations of the process that reads them, on the clock of package lease.
package session

import (
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/watch"
)

// ConfigurationPrefix is what the keys of configuration documents begin with in the watch.
const ConfigurationPrefix = "configuration/"

// ServerPrefix is what the key of what is agreed of one app server begins with; its value is a Standing.
const ServerPrefix = "server/"

// Bounds of the messages.
const (
	MaxMessage   = 128 << 10 // bytes of one encoded message
	MaxBatch     = 64 << 10  // bytes of keys and values in one batch, but for an update that is larger by itself
	MaxProposals = 4         // in one heartbeat
	MaxReason    = 256       // bytes of an error for people
)

// FromServer is one message of an app server: one of its fields is set.
type FromServer struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
}

// Hello opens a session.
type Hello struct {
	Fleet       uint64 `cbor:"1,keyasint"` // the fleet that Revision is of; 0 = the server has seen none
	Server      string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // grows with each process of the server
	Pool        string `cbor:"5,keyasint,omitempty"`
	Revision    uint64 `cbor:"6,keyasint"` // the server has all updates up to it; 0 = none
	Session     uint64 `cbor:"7,keyasint"` // number of the session at its server; grows over all that a process opens
}

// Heartbeat is what a server tells, at least every lease.Terms.Every.
type Heartbeat struct {
	Sequence     uint64          `cbor:"1,keyasint"`           // of the renewal; grows over all that a process sends; 0 = it renews nothing
	FencingToken uint64          `cbor:"2,keyasint,omitempty"` // of the lease to renew; 0 = it renews nothing
	Applied      uint64          `cbor:"3,keyasint"`           // revision of the configuration in force at the server
	Report       *takeout.Report `cbor:"4,keyasint,omitempty"` // if it changed, and in the first of a session
	Proposals    []Proposal      `cbor:"5,keyasint,omitempty"`
}

// Proposal is an entry that a server asks the control tier to agree on: one of its fields is set. It is sent again until the
// watch shows that it took hold or cannot any longer.
type Proposal struct {
	Step *takeout.Entry `cbor:"1,keyasint,omitempty"` // the next phase of this server
	Live *lease.Entry   `cbor:"2,keyasint,omitempty"` // this process lives and asks for a lease
}

// FromNode is one message of a control node: one of its fields is set.
type FromNode struct {
	Welcome *Welcome     `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal     `cbor:"2,keyasint,omitempty"`
	Ack     *Ack         `cbor:"3,keyasint,omitempty"`
	Batch   *watch.Batch `cbor:"4,keyasint,omitempty"`
}

// Welcome opens a session. The first batch of the watch follows.
type Welcome struct {
	Fleet uint64 `cbor:"1,keyasint"` // never 0
	Node  string `cbor:"2,keyasint"`
}

// RefusalCode tells why a session was refused or ended by its node.
type RefusalCode uint8

// The codes of a refusal.
const (
	Busy       RefusalCode = iota + 1 // come back after RetryAfter, here or at another node
	Superseded                        // a newer process of the server has spoken; Incarnation is its
	OtherFleet                        // the server has the revision of another fleet
	Invalid                           // the message cannot be
	Moving                            // the node ends, or has too many sessions: go to another one
)

// Refusal ends a session, or an attempt at one.
type Refusal struct {
	Code        RefusalCode   `cbor:"1,keyasint"`
	RetryAfter  time.Duration `cbor:"2,keyasint,omitempty"`
	Incarnation uint64        `cbor:"3,keyasint,omitempty"` // Superseded: the newest known
	Reason      string        `cbor:"4,keyasint,omitempty"` // for people, MaxReason bytes at most
}

// Ack answers heartbeats: at once where a lease was granted, and otherwise after AckWithin.
type Ack struct {
	Sequence     uint64 `cbor:"1,keyasint,omitempty"` // the newest renewal that was granted; 0 = none
	FencingToken uint64 `cbor:"2,keyasint,omitempty"` // whose renewal it was
	Revision     uint64 `cbor:"3,keyasint"`           // that this node has applied
	Leaderless   bool   `cbor:"4,keyasint,omitempty"` // this node knows no leader
}

// Standing is what is agreed of one app server, the value of its key in the watch.
type Standing struct {
	Box          takeout.Box `cbor:"1,keyasint"`
	PlanOver     bool        `cbor:"2,keyasint,omitempty"` // the plan whose grant it has is over
	FencingToken uint64      `cbor:"3,keyasint,omitempty"` // of its lease; 0 = it has none
	LeaseProcess uint64      `cbor:"4,keyasint,omitempty"` // incarnation that FencingToken belongs to
}

// Digest is what one control node tells the leader of its sessions since the last one: renewals, and what changed.
type Digest struct {
	Renewals []lease.Renewal `cbor:"1,keyasint,omitempty"`
	Servers  []ServerStatus  `cbor:"2,keyasint,omitempty"`
	Closed   []ClosedSession `cbor:"3,keyasint,omitempty"` // sessions that ended here
}

// ClosedSession names a session that ended at its node. The server may have a newer one, there or elsewhere.
type ClosedSession struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Session     uint64 `cbor:"3,keyasint"`
}

// ServerStatus is the newest that a server told in a session. Of two the one with the greater Report.Incarnation, Session and
// Heartbeat is newer, in this order, whichever came first.
type ServerStatus struct {
	Server    string         `cbor:"1,keyasint"`
	Applied   uint64         `cbor:"2,keyasint"`
	Report    takeout.Report `cbor:"3,keyasint"`
	Session   uint64         `cbor:"4,keyasint"`
	Heartbeat uint64         `cbor:"5,keyasint"` // how many heartbeats of the session the node had
}
