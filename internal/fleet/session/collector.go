package session

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/takeout"
)

// Absent is how long a server may not be heard of before the leader takes it to have no session. Servers with a session are
// heard of at least every statusEvery, or with each renewal.
const Absent = 10 * time.Second

// collected is what a leader knows of one server.
type collected struct {
	node    string // that its newest renewal or status came from
	renewal lease.Renewal
	status  ServerStatus // newest; Session 0 = none
	closed  bool         // the session of status
	heard   time.Duration
}

// Collector is the leader's sum of what the control nodes told of their sessions. A leader begins with a new one in each
// term.
type Collector struct {
	servers map[string]*collected
}

// NewCollector returns a collector that knows of no server.
func NewCollector() *Collector { return &Collector{servers: map[string]*collected{}} }

// Take adds a node's digest. Digests may come late, twice and out of order. Their renewals go to lease.Granter too, by the driver. An
// error tells that the digest cannot be: nothing of it counts.
func (c *Collector) Take(node string, d Digest, now time.Duration) error {
	if err := d.validate(); err != nil {
		return fmt.Errorf("digest of %.70q: %w", node, err)
	}
	for _, r := range d.Renewals {
		c.renewal(node, r, now)
	}
	for _, s := range d.Servers {
		c.status(node, s, now)
	}
	for _, closed := range d.Closed {
		c.close(closed)
	}
	return nil
}

func (d *Digest) validate() error {
	if len(d.Renewals) > limits.MaxServers || len(d.Servers) > limits.MaxServers || len(d.Closed) > limits.MaxServers {
		return fmt.Errorf("%d renewals, %d servers, %d closed sessions: %w", len(d.Renewals), len(d.Servers), len(d.Closed), ErrInvalid)
	}
	for _, r := range d.Renewals {
		if !validName(r.Box) || r.Life == 0 || r.Seq == 0 {
			return fmt.Errorf("renewal %d of %.70q for %d: %w", r.Seq, r.Box, r.Life, ErrInvalid)
		}
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		if !validName(s.Server) || s.Session == 0 {
			return fmt.Errorf("session %d of %.70q: %w", s.Session, s.Server, ErrInvalid)
		}
		if err := validateReport(s.Server, s.Report.Incarnation, &s.Report); err != nil {
			return err
		}
	}
	for _, closed := range d.Closed {
		if !validName(closed.Server) {
			return fmt.Errorf("a session of %.70q ended: %w", closed.Server, ErrInvalid)
		}
	}
	return nil
}

// of returns what is known of a server; nil = there is no room for another one.
func (c *Collector) of(server string, now time.Duration) *collected {
	known := c.servers[server]
	if known != nil {
		return known
	}
	if len(c.servers) >= limits.MaxServers {
		c.forget(now)
	}
	if len(c.servers) >= limits.MaxServers {
		return nil
	}
	known = &collected{}
	c.servers[server] = known
	return known
}

// forget drops the servers that are absent.
func (c *Collector) forget(now time.Duration) {
	for name, known := range c.servers {
		if !known.present(now) {
			delete(c.servers, name)
		}
	}
}

func (k *collected) present(now time.Duration) bool {
	return !k.closed && now-k.heard < Absent
}

func (c *Collector) renewal(node string, r lease.Renewal, now time.Duration) {
	known := c.of(r.Box, now)
	if known == nil {
		return
	}
	newer := cmp.Or(cmp.Compare(r.Life, known.renewal.Life), cmp.Compare(r.Seq, known.renewal.Seq))
	if newer > 0 {
		known.node, known.renewal, known.heard = node, r, now
	}
}

func (c *Collector) status(node string, s ServerStatus, now time.Duration) {
	known := c.of(s.Server, now)
	if known == nil {
		return
	}
	session := cmp.Or(cmp.Compare(s.Report.Incarnation, known.status.Report.Incarnation), cmp.Compare(s.Session, known.status.Session))
	newer := cmp.Or(session, cmp.Compare(s.Heartbeat, known.status.Heartbeat))
	if newer <= 0 {
		return
	}
	if session > 0 {
		known.node, known.closed = node, false
	}
	known.status, known.heard = s, now
}

func (c *Collector) close(closed ClosedSession) {
	known := c.servers[closed.Server]
	if known == nil {
		return
	}
	s := &known.status
	if closed.Incarnation == s.Report.Incarnation && closed.Session == s.Session {
		known.closed = true
	}
}

// Node returns the node that a server's newest renewal or session came from: grants go there; "" = unknown.
func (c *Collector) Node(server string) string {
	known := c.servers[server]
	if known == nil {
		return ""
	}
	return known.node
}

// Reports returns the newest report of each server that told one, by name. Heard is wall, the present time in Unix milliseconds,
// less the age of what was last heard of the server.
func (c *Collector) Reports(now time.Duration, wall int64) map[string]takeout.Report {
	reports := make(map[string]takeout.Report, len(c.servers))
	for name, known := range c.servers {
		if known.status.Session == 0 || !known.present(now) {
			continue
		}
		r := known.status.Report
		r.Heard = wall - (now - known.heard).Milliseconds()
		reports[name] = r
	}
	return reports
}

// Applied returns the revision of the configuration in force at a server; false = it has no session.
func (c *Collector) Applied(server string, now time.Duration) (uint64, bool) {
	known := c.servers[server]
	if known == nil || known.status.Session == 0 || !known.present(now) {
		return 0, false
	}
	return known.status.Applied, true
}

// Behind returns the servers with a session that have not applied a revision, by name, and how many servers have a session.
func (c *Collector) Behind(revision uint64, now time.Duration) (servers []string, of int) {
	for name, known := range c.servers {
		if known.status.Session == 0 || !known.present(now) {
			continue
		}
		of++
		if known.status.Applied < revision {
			servers = append(servers, name)
		}
	}
	slices.Sort(servers)
	return servers, of
}
