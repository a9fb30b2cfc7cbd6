// Package controlnode is a control node's part in a fleet with a control tier: the sessions of app servers, their leases
// and the configuration documents. It carries out packages session, lease, configuration and watch as modules of the
// fleet's driver. All decisions are made on the driver's loop, which never blocks: each session has a goroutine that reads
// and one that writes, and what they bring waits in an inbox that holds at most one message of each.
package controlnode

import (
	"log/slog"
	"time"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/stream"
)

// The names of the parts of the agreed state. A later format gets another number.
const (
	leasePart         = "lease.1"
	configurationPart = "configuration.1"
	// SessionPart is the part whose status is that of the sessions.
	SessionPart = "sessions.1"
	// ConfigurationPart is the part that takes commands on documents.
	ConfigurationPart = configurationPart
)

// Options configure a node.
type Options struct {
	Name           string
	Region         string   // for people
	Members        []string // names of all control nodes
	MaxSessions    int
	OpensPerSecond int
	OpensBurst     int
	MaxSnapshots   int
	DrainPerSecond int
}

// Node is one control node's part. Its methods are safe from any goroutine.
type Node struct {
	options   Options
	log       *slog.Logger
	leases    *leases
	documents *documents
	sessions  *sessions
}

// New returns a node whose sessions can be accepted once its modules have begun.
func New(options Options, log *slog.Logger) *Node {
	n := &Node{options: options, log: log}
	n.leases = &leases{TypedStateMachine: consensus.NewTypedStateMachine[lease.State, lease.Entry](leasePart), node: n, granter: lease.NewGranter(lease.ControlTierTerms), rounds: map[uint64]uint64{}}
	n.documents = newDocuments(n)
	n.sessions = newSessions(n)
	return n
}

// Modules returns the modules for the node's driver; they can be given to one driver only.
func (n *Node) Modules() []driver.Module {
	return []driver.Module{n.leases, n.documents, n.sessions}
}

// Accept carries out one session. It returns when the session is over.
func (n *Node) Accept(opened *stream.Session) { n.sessions.accept(opened) }

// Drain has the node take no more sessions and end those that it has. The channel is closed when there are none.
func (n *Node) Drain() <-chan struct{} { return n.sessions.drain() }

// Report implements driver.Process: a control node is always warm, and no capacity is lost with it. What is open on it are its
// sessions.
func (n *Node) Report() maintenance.Report {
	return maintenance.Report{Warm: true, Open: int(n.sessions.count.Load())}
}

// HoldHealth implements driver.Process: a node that is taken out sends its sessions to the others, and takes none until it is in again.
func (n *Node) HoldHealth(on bool) { n.sessions.held.Store(on) }

// baseModule implements the methods of driver.Module that a module has no use for.
type baseModule struct{}

// StateChanged implements driver.Module.
func (baseModule) StateChanged(time.Time) {}

// Tick implements driver.Module.
func (baseModule) Tick(time.Time) {}

// LeaderTick implements driver.Module.
func (baseModule) LeaderTick(time.Time) {}

// ReadConfirmed implements driver.Module.
func (baseModule) ReadConfirmed(uint64, time.Time) {}

// Report implements driver.Module.
func (baseModule) Report(time.Time) []byte { return nil }

// ReceiveReport implements driver.Module.
func (baseModule) ReceiveReport(consensus.Member, []byte, time.Time) {}

// Receive implements driver.Module.
func (baseModule) Receive(consensus.Member, []byte, time.Time) {}

// Metrics implements driver.Module.
func (baseModule) Metrics(time.Time) []byte { return nil }

// Stop implements driver.Module.
func (baseModule) Stop() {}
