package sessions

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/watch"
	"larchscale/internal/measure/certificates"
)

// What a hollow server reports: a server under load, whose numbers change by less than what is told at once.
const (
	capacity   = 150
	load       = 108
	loadNoise  = 2 // on each side, in requests a second
	openMost   = 16
	newLoad    = 500 * time.Millisecond
	stubPool   = "127.0.0.1:65535"
	keptLeases = 64
)

// Config is what one hollow server is made of.
type Config struct {
	Name         string
	Zone         string
	Nodes        []string // "name=host:port" of the control nodes, as this server reaches them
	Certificates certificates.Files
	Idle         bool // it reports no requests
	Seed         uint64
}

// hollowServer is an app server without its request path: its session, its timers and its connections are the real
// ones. It checks what its session does.
type hollowServer struct {
	name    string
	client  *controlclient.Client
	applied atomic.Uint64
	body    *stubBody

	mu        sync.Mutex
	documents map[string]watch.Update // in force, by key without its prefix
	arrived   map[string]time.Time    // when a document was put in force, since the last mark
	order     order
	events    eventCounts
	holds     leaseRecord
}

// eventCounts are what happened to sessions.
type eventCounts struct {
	Opened, Lost, Refused    uint64
	LeasesBegan, LeasesEnded uint64
	// Overlaps are leases that a server held by its clock when it learned that their token is not its any longer.
	Overlaps uint64
}

// newHollowServer makes a server whose session begins with run. Its connections pass wrap.
func newHollowServer(config Config, wrap func(net.Conn) net.Conn) (*hollowServer, error) {
	s := &hollowServer{name: config.Name, documents: map[string]watch.Update{}, arrived: map[string]time.Time{},
		body: &stubBody{idle: config.Idle, random: rand.New(rand.NewPCG(config.Seed, 0))}}
	options := controlclient.Defaults()
	options.Nodes, options.Zone = config.Nodes, config.Zone
	options.CA, options.Cert, options.Key = config.Certificates.CA, config.Certificates.Certificate, config.Certificates.Key
	var err error
	s.client, err = controlclient.New(options, controlclient.Server{Name: config.Name, Pool: stubPool, Body: s.body, Applied: s.applied.Load, Configure: s.configure},
		slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	s.client.Observe(controlclient.Observer{Conn: wrap, Event: s.event, Changed: s.changed})
	return s, nil
}

func (s *hollowServer) run(ctx context.Context) { s.client.Run(ctx) }

// configure puts documents in force.
func (s *hollowServer) configure(revision uint64, changed []watch.Update) {
	now := time.Now()
	s.mu.Lock()
	for _, update := range changed {
		key := strings.TrimPrefix(update.Key, session.ConfigurationPrefix)
		if update.Deleted {
			delete(s.documents, key)
			continue
		}
		s.documents[key] = update
		s.arrived[key] = now
	}
	s.mu.Unlock()
	s.applied.Store(revision)
}

// changed checks what the view took.
func (s *hollowServer) changed(_ uint64, snapshot bool, changed []watch.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, update := range changed {
		if strings.HasPrefix(update.Key, session.ConfigurationPrefix) {
			s.order.take(update.Revision, snapshot)
		}
	}
}

// event counts what happened to the session.
func (s *hollowServer) event(event session.Event, lease controlclient.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch event.Kind {
	case session.SessionOpened:
		s.events.Opened++
	case session.SessionLost:
		s.events.Lost++
	case session.SessionRefused:
		s.events.Refused++
	case session.LeaseBegan:
		s.events.LeasesBegan++
		s.holds.begin(lease.Token)
	case session.LeaseEnded:
		s.events.LeasesEnded++
		s.endLease(lease)
	}
}

// endLease notes until when the lease was held. Where another token has taken its place the metrics still have its end.
func (s *hollowServer) endLease(lease controlclient.Lease) {
	left := lease.Until - boottime.Now()
	if lease.Token != s.holds.token {
		left = time.Duration(s.metrics()["fleet.lease_ms"]) * time.Millisecond
		if left > 0 {
			s.events.Overlaps++
		}
	}
	s.holds.end(time.Now().Add(min(0, left)))
}

// digest is that of the documents in force, as control nodes sum theirs.
func (s *hollowServer) digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := watch.NewHash()
	for _, key := range slices.Sorted(maps.Keys(s.documents)) {
		document := s.documents[key]
		hash.Add(key, document.Revision, document.Value)
	}
	return hash.Sum()
}

// mark begins a new record of the order and the arrival of changes.
func (s *hollowServer) mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order.mark()
	clear(s.arrived)
}

// metrics are those of the session, by name.
func (s *hollowServer) metrics() map[string]uint64 {
	out := map[string]uint64{}
	for line := range strings.Lines(string(s.client.Metrics())) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if n, err := strconv.ParseUint(value, 10, 64); err == nil {
			out[name] = n
		}
	}
	return out
}

// stubBody is an app server under steady load, or an idle one. Only the session's goroutine uses it.
type stubBody struct {
	idle   bool
	random *rand.Rand
	at     time.Time
	report maintenance.Report
}

// Report implements driver.Process.
func (b *stubBody) Report() maintenance.Report {
	if now := time.Now(); now.Sub(b.at) >= newLoad {
		b.at = now
		b.report = maintenance.Report{Warm: true, Capacity: capacity}
		if !b.idle {
			b.report.Load = load - loadNoise + 2*loadNoise*b.random.Float64()
			b.report.Open = b.random.IntN(openMost)
		}
	}
	return b.report
}

// HoldHealth implements driver.Process.
func (b *stubBody) HoldHealth(bool) {}

// leaseRecord has the leases that ended.
type leaseRecord struct {
	token uint64 // of the lease that is held; 0 = none
	ended []EndedLease
}

// EndedLease is one that a server held, until a time.
type EndedLease struct {
	Token uint64
	Until time.Time
}

func (r *leaseRecord) begin(token uint64) { r.token = token }

func (r *leaseRecord) end(until time.Time) {
	if len(r.ended) == keptLeases {
		r.ended = r.ended[1:]
	}
	r.ended = append(r.ended, EndedLease{r.token, until})
	r.token = 0
}

// order checks that a view applies every change of the configuration once, and in order.
type order struct {
	last      uint64   // revision
	repeated  uint64   // changes that came again, or too late
	snapshots uint64   // changes that came as part of a whole copy, since the mark
	revisions []uint64 // since the mark
}

// take takes a change that the view applied.
func (o *order) take(revision uint64, snapshot bool) {
	if snapshot { // in order of keys, with the revisions that the documents have
		o.snapshots++
		o.last = max(o.last, revision)
		return
	}
	if revision <= o.last {
		o.repeated++
	}
	o.last = revision
	o.revisions = append(o.revisions, revision)
}

func (o *order) mark() { o.snapshots, o.revisions = 0, nil }

// missed tells what of the expected revisions the view did not apply; those before a whole copy may be missing.
func (o *order) missed(expected []uint64) (missed, foreign int) {
	seen := slices.Sorted(slices.Values(o.revisions))
	for _, revision := range expected {
		if _, found := slices.BinarySearchFunc(seen, revision, cmp.Compare[uint64]); !found {
			missed++
		}
	}
	return missed, len(seen) - (len(expected) - missed)
}
