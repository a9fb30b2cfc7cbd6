package session

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/maintenance"
)

// AbsentAfter is how long the leader may receive nothing about a server before it assumes that the server has no
// session. The leader receives a status or a renewal of a server with a session at least every statusInterval.
const AbsentAfter = 10 * time.Second

// trackedServer is the leader's record of one server.
type trackedServer struct {
	node    string // source of the newest renewal or session
	renewal lease.Renewal
	status  ServerStatus // newest; Session 0 = none yet
	closed  bool         // whether the session of status has ended
	heardAt time.Duration
}

// Collector merges the digests that the control nodes send to the leader into one state of all servers. A leader
// must start each term with a new Collector.
type Collector struct {
	servers map[string]*trackedServer
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{servers: map[string]*trackedServer{}} }

// Take adds a node's digest. Digests may arrive late, repeatedly and out of order. The driver must pass their
// renewals to lease.Granter too. An error means that the digest is invalid; then nothing of it is applied.
func (c *Collector) Take(node string, d Digest, now time.Duration) error {
	if err := d.validate(); err != nil {
		return fmt.Errorf("digest of %.70q: %w", node, err)
	}
	for _, r := range d.Renewals {
		c.takeRenewal(node, r, now)
	}
	for _, s := range d.Servers {
		c.takeStatus(node, s, now)
	}
	for _, closed := range d.Closed {
		c.closeSession(closed)
	}
	return nil
}

func (d *Digest) validate() error {
	if len(d.Renewals) > limits.MaxServers || len(d.Servers) > limits.MaxServers || len(d.Closed) > limits.MaxServers {
		return fmt.Errorf("too many entries: %d renewals, %d servers, %d closed sessions: %w", len(d.Renewals), len(d.Servers), len(d.Closed), ErrInvalid)
	}
	for _, r := range d.Renewals {
		if !validName(r.Box) || r.Life == 0 || r.Seq == 0 {
			return fmt.Errorf("renewal %d of server %.70q under fencing token %d: %w", r.Seq, r.Box, r.Life, ErrInvalid)
		}
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		if !validName(s.Server) || s.Session == 0 {
			return fmt.Errorf("session %d of server %.70q: %w", s.Session, s.Server, ErrInvalid)
		}
		if err := validateReport(s.Server, s.Report.Incarnation, &s.Report); err != nil {
			return err
		}
	}
	for _, closed := range d.Closed {
		if !validName(closed.Server) {
			return fmt.Errorf("closed session of server %.70q: %w", closed.Server, ErrInvalid)
		}
	}
	return nil
}

// track returns the record of a server, creating it if necessary; nil = the collector is full.
func (c *Collector) track(server string, now time.Duration) *trackedServer {
	tracked := c.servers[server]
	if tracked != nil {
		return tracked
	}
	if len(c.servers) >= limits.MaxServers {
		c.dropAbsent(now)
	}
	if len(c.servers) >= limits.MaxServers {
		return nil
	}
	tracked = &trackedServer{}
	c.servers[server] = tracked
	return tracked
}

// dropAbsent removes the records of absent servers.
func (c *Collector) dropAbsent(now time.Duration) {
	for name, tracked := range c.servers {
		if !tracked.present(now) {
			delete(c.servers, name)
		}
	}
}

func (s *trackedServer) present(now time.Duration) bool {
	return !s.closed && now-s.heardAt < AbsentAfter
}

func (c *Collector) takeRenewal(node string, r lease.Renewal, now time.Duration) {
	tracked := c.track(r.Box, now)
	if tracked == nil {
		return
	}
	newer := cmp.Or(cmp.Compare(r.Life, tracked.renewal.Life), cmp.Compare(r.Seq, tracked.renewal.Seq))
	if newer > 0 {
		tracked.node, tracked.renewal, tracked.heardAt = node, r, now
	}
}

func (c *Collector) takeStatus(node string, s ServerStatus, now time.Duration) {
	tracked := c.track(s.Server, now)
	if tracked == nil {
		return
	}
	sessionOrder := cmp.Or(cmp.Compare(s.Report.Incarnation, tracked.status.Report.Incarnation), cmp.Compare(s.Session, tracked.status.Session))
	newer := cmp.Or(sessionOrder, cmp.Compare(s.Heartbeat, tracked.status.Heartbeat))
	if newer <= 0 {
		return
	}
	if sessionOrder > 0 {
		tracked.node, tracked.closed = node, false
	}
	tracked.status, tracked.heardAt = s, now
}

func (c *Collector) closeSession(closed ClosedSession) {
	tracked := c.servers[closed.Server]
	if tracked == nil {
		return
	}
	s := &tracked.status
	if closed.Incarnation == s.Report.Incarnation && closed.Session == s.Session {
		tracked.closed = true
	}
}

// NodeOf returns the node that a server's newest renewal or session came from, to which grants must be sent; "" =
// unknown.
func (c *Collector) NodeOf(server string) string {
	tracked := c.servers[server]
	if tracked == nil {
		return ""
	}
	return tracked.node
}

// Reports returns the newest report of each server that sent one, by server name. Heard is set to wall, the present
// time in Unix milliseconds, less the age of the newest information about the server.
func (c *Collector) Reports(now time.Duration, wall int64) map[string]maintenance.Report {
	reports := make(map[string]maintenance.Report, len(c.servers))
	for name, tracked := range c.servers {
		if tracked.status.Session == 0 || !tracked.present(now) {
			continue
		}
		r := tracked.status.Report
		r.Heard = wall - (now - tracked.heardAt).Milliseconds()
		reports[name] = r
	}
	return reports
}

// Applied returns the revision of the configuration in force at a server; false = the server has no session.
func (c *Collector) Applied(server string, now time.Duration) (uint64, bool) {
	tracked := c.servers[server]
	if tracked == nil || tracked.status.Session == 0 || !tracked.present(now) {
		return 0, false
	}
	return tracked.status.Applied, true
}

// Behind returns the sorted names of the servers with a session that have not applied a revision, and the number of
// servers with a session.
func (c *Collector) Behind(revision uint64, now time.Duration) (servers []string, total int) {
	for name, tracked := range c.servers {
		if tracked.status.Session == 0 || !tracked.present(now) {
			continue
		}
		total++
		if tracked.status.Applied < revision {
			servers = append(servers, name)
		}
	}
	slices.Sort(servers)
	return servers, total
}
