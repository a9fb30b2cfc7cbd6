package session

import (
	"time"

	"larchscale/internal/fleet/takeout"
)

// Collector is the leader's sum of what the control nodes told of their sessions. A leader begins with an empty one in
// each term.
type Collector struct{}

// NewCollector returns a collector that knows of no server.
func NewCollector() *Collector { return &Collector{} }

// Take adds a node's digest. Its renewals go to lease.Granter too, by the driver. An error tells that the digest cannot be; nothing
// of it counts.
func (c *Collector) Take(node string, d Digest, now time.Duration) error { return nil }

// Node returns the node that a server's newest renewal or status came from: grants go there. "" = unknown.
func (c *Collector) Node(server string) string { return "" }

// Reports returns the newest report of each server, by name; Heard is now's wall clock in Unix milliseconds less the age of what the
// server last told. A server whose session ended at its node is not among them.
func (c *Collector) Reports(now time.Duration, wall int64) map[string]takeout.Report { return nil }

// Applied returns the revision of the configuration in force at a server; false = it has no session.
func (c *Collector) Applied(server string) (uint64, bool) { return 0, false }

// Behind returns the servers with a session that have not applied a revision, by name, and how many servers have a session.
func (c *Collector) Behind(revision uint64) (servers []string, of int) { return nil, 0 }
