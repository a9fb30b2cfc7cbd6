package sessions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/measure/traffic"
	"larchscale/internal/measure/worker"
)

// The methods of a worker that runs hollow servers.
const (
	methodMake     = "make"
	methodRun      = "run"
	methodStanding = "standing"
	methodTotals   = "totals"
	methodMark     = "mark"
	methodArrivals = "arrivals"
	methodAudit    = "audit"
	methodLeases   = "leases"
	methodCheck    = "check"
)

// Standing sums up how the sessions of some servers stand.
type Standing struct {
	Servers int
	Open    int // whose session is open
	Leased  int // who hold a lease
	Renewed int // who hold a lease that was granted for a renewal after the time that was asked for
	Applied Range
}

// Range is the least and the most of what servers have.
type Range struct{ Least, Most uint64 }

// Join sums up two standings of different servers.
func (s Standing) Join(other Standing) Standing {
	if s.Servers == 0 {
		return other
	}
	if other.Servers == 0 {
		return s
	}
	return Standing{s.Servers + other.Servers, s.Open + other.Open, s.Leased + other.Leased, s.Renewed + other.Renewed,
		Range{min(s.Applied.Least, other.Applied.Least), max(s.Applied.Most, other.Applied.Most)}}
}

// standingOf is how one server stands by its metrics, which were read just now.
func standingOf(metrics map[string]uint64, since time.Time) Standing {
	out := Standing{Servers: 1, Applied: Range{metrics["fleet.applied"], metrics["fleet.applied"]}}
	if metrics["fleet.session"] == uint64(session.Open) {
		out.Open = 1
	}
	if metrics["fleet.lease_ms"] > 0 {
		out.Leased = 1
		left := time.Duration(metrics["fleet.lease_ms"]) * time.Millisecond
		if sent := time.Now().Add(left - lease.ControlTierTerms.Length); sent.After(since) {
			out.Renewed = 1
		}
	}
	return out
}

// Totals are what the sessions of some servers came to so far.
type Totals struct {
	BytesIn, BytesOut uint64
	Messages          stream.Messages
	eventCounts
}

func (t *Totals) add(other Totals) {
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
	addMessages(&t.Messages, other.Messages)
	t.Opened += other.Opened
	t.Lost += other.Lost
	t.Refused += other.Refused
	t.LeasesBegan += other.LeasesBegan
	t.LeasesEnded += other.LeasesEnded
	t.Overlaps += other.Overlaps
}

func addMessages(sum *stream.Messages, other stream.Messages) {
	sum.Hellos += other.Hellos
	sum.Heartbeats += other.Heartbeats
	sum.Welcomes += other.Welcomes
	sum.Refusals += other.Refusals
	sum.Acks += other.Acks
	sum.Batches += other.Batches
}

// messagesOf reads the counts of messages that metrics have.
func messagesOf[N uint64 | float64](metrics map[string]N) stream.Messages {
	of := func(kind string) uint64 { return uint64(metrics["fleet.session_"+kind]) }
	return stream.Messages{Hellos: of("hellos"), Heartbeats: of("heartbeats"), Welcomes: of("welcomes"), Refusals: of("refusals"),
		Acks: of("acks"), Batches: of("batches")}
}

// Arrival is when a document was in force at servers.
type Arrival struct {
	Servers int
	Last    time.Time
}

// Audit is what the servers of a worker applied since the last mark, held against what was agreed.
type Audit struct {
	Digests   map[uint64]int // of the documents in force, with how many servers have them
	Repeated  uint64         // changes that came to a view twice or out of order, ever
	Missed    int            // changes that a view without a whole copy did not apply
	Foreign   int            // changes that it applied and nobody made
	Snapshots int            // servers that had whole copies
}

func (a *Audit) join(other Audit) {
	for digest, servers := range other.Digests {
		a.Digests[digest] += servers
	}
	a.Repeated += other.Repeated
	a.Missed += other.Missed
	a.Foreign += other.Foreign
	a.Snapshots += other.Snapshots
}

// LeaseHistory is what a server held.
type LeaseHistory struct {
	Token uint64 // that the server knows of; 0 = none
	Held  uint64 // the token of the lease that it holds; 0 = none
	Ended []EndedLease
}

// host runs the servers of one worker.
type host struct {
	counter *traffic.Counter
	servers []*hollowServer
	runs    bool
	running sync.WaitGroup
}

// Serve runs hollow servers for a parent process until its input ends.
func Serve(input io.Reader, output io.Writer) error {
	ctx, stop := context.WithCancel(context.Background())
	h := &host{counter: traffic.NewCounter()}
	defer h.running.Wait()
	defer stop()
	return worker.Serve(input, output, map[string]worker.Method{
		methodMake:     worker.Typed(h.make),
		methodRun:      worker.Typed(func(struct{}) (struct{}, error) { return struct{}{}, h.run(ctx) }),
		methodStanding: worker.Typed(func(since time.Time) (Standing, error) { return h.standing(since), nil }),
		methodTotals:   worker.Typed(func(struct{}) (Totals, error) { return h.totals(), nil }),
		methodMark:     worker.Typed(func(struct{}) (struct{}, error) { return struct{}{}, h.mark() }),
		methodArrivals: worker.Typed(func(struct{}) (map[string]Arrival, error) { return h.arrivals(), nil }),
		methodAudit:    worker.Typed(func(expected []uint64) (Audit, error) { return h.audit(expected), nil }),
		methodLeases:   worker.Typed(func(struct{}) (map[string]LeaseHistory, error) { return h.leases(), nil }),
		methodCheck:    worker.Typed(func(struct{}) (traffic.KernelCheck, error) { return h.counter.Check() }),
	})
}

// make makes the servers; they do nothing yet.
func (h *host) make(configs []Config) (struct{}, error) {
	if len(configs) == 0 || len(configs) > maxPerHost {
		return struct{}{}, fmt.Errorf("%d servers, 1 to %d can be", len(configs), maxPerHost)
	}
	for _, config := range configs {
		s, err := newHollowServer(config, h.counter.Observer().Conn)
		if err != nil {
			return struct{}{}, err
		}
		h.servers = append(h.servers, s)
	}
	return struct{}{}, nil
}

// maxPerHost bounds what a worker takes: what is left over when servers are shared out among workers comes on top.
const maxPerHost = 2 * MaxPerWorker

var errRuns = errors.New("the servers run already")

func (h *host) run(ctx context.Context) error {
	if h.runs {
		return errRuns
	}
	h.runs = true
	for _, s := range h.servers {
		h.running.Go(func() { s.run(ctx) })
	}
	return nil
}

func (h *host) standing(since time.Time) (out Standing) {
	for _, s := range h.servers {
		out = out.Join(standingOf(s.metrics(), since))
	}
	return out
}

func (h *host) totals() (out Totals) {
	for _, s := range h.servers {
		metrics := s.metrics()
		s.mu.Lock()
		events := s.events
		s.mu.Unlock()
		out.add(Totals{metrics["fleet.session_bytes_in"], metrics["fleet.session_bytes_out"], messagesOf(metrics), events})
	}
	return out
}

func (h *host) mark() error {
	for _, s := range h.servers {
		s.mark()
	}
	return nil
}

func (h *host) arrivals() map[string]Arrival {
	out := map[string]Arrival{}
	for _, s := range h.servers {
		s.mu.Lock()
		for key, at := range s.arrived {
			known := out[key]
			known.Servers++
			if at.After(known.Last) {
				known.Last = at
			}
			out[key] = known
		}
		s.mu.Unlock()
	}
	return out
}

func (h *host) audit(expected []uint64) Audit {
	out := Audit{Digests: map[uint64]int{}}
	for _, s := range h.servers {
		out.Digests[s.digest()]++
		s.mu.Lock()
		out.Repeated += s.order.repeated
		missed, foreign := s.order.missed(expected)
		out.Foreign += foreign
		if s.order.snapshots > 0 {
			out.Snapshots++
		} else {
			out.Missed += missed
		}
		s.mu.Unlock()
	}
	return out
}

func (h *host) leases() map[string]LeaseHistory {
	out := map[string]LeaseHistory{}
	for _, s := range h.servers {
		token := s.metrics()["fleet.life"]
		s.mu.Lock()
		out[s.name] = LeaseHistory{token, s.holds.token, slices.Clone(s.holds.ended)}
		s.mu.Unlock()
	}
	return out
}
