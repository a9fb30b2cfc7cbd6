package session

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/maintenance"
)

func status(server string, incarnation, session, heartbeat, applied uint64) ServerStatus {
	return ServerStatus{Server: server, Applied: applied, Report: *report(incarnation), Session: session, Heartbeat: heartbeat}
}

// The collected state does not depend on the order and the repetition of digests.
func TestCollectorInAnyOrder(t *testing.T) {
	type nodeDigest struct {
		node string
		d    Digest
	}
	digests := []nodeDigest{
		{"n1", Digest{Servers: []ServerStatus{status("s1", 3, 1, 1, 5)}, Renewals: []lease.Renewal{{Box: "s1", Life: 4, Seq: 1}}}},
		{"n1", Digest{Servers: []ServerStatus{status("s1", 3, 1, 2, 6)}, Renewals: []lease.Renewal{{Box: "s1", Life: 4, Seq: 2}}}},
		{"n1", Digest{Closed: []ClosedSession{{"s1", 3, 1}}}},
		{"n2", Digest{Servers: []ServerStatus{status("s1", 3, 2, 1, 6)}, Renewals: []lease.Renewal{{Box: "s1", Life: 4, Seq: 3}}}},
		{"n2", Digest{Servers: []ServerStatus{status("s1", 3, 2, 2, 7)}, Renewals: []lease.Renewal{{Box: "s1", Life: 4, Seq: 4}}}},
	}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := NewCollector()
		order := append(random.Perm(len(digests)), random.Perm(len(digests))...)
		for _, i := range order {
			if err := c.Take(digests[i].node, digests[i].d, 0); err != nil {
				t.Fatal(err)
			}
		}
		applied, ok := c.Applied("s1", 0)
		if applied != 7 || !ok || c.NodeOf("s1") != "n2" {
			t.Fatal(order, applied, ok, c.NodeOf("s1"))
		}
	}
}

func TestCollector(t *testing.T) {
	c := NewCollector()
	take := func(d Digest, now time.Duration) {
		t.Helper()
		if err := c.Take("n1", d, now); err != nil {
			t.Fatal(err)
		}
	}
	take(Digest{Servers: []ServerStatus{status("s1", 3, 1, 1, 5), status("s2", 3, 1, 1, 8), status("s3", 3, 1, 1, 4)}}, time.Second)
	take(Digest{Renewals: []lease.Renewal{{Box: "s2", Life: 4, Seq: 2}, {Box: "s4", Life: 4, Seq: 2}}}, 2*time.Second)
	behind, of := c.Behind(8, 3*time.Second)
	if !cmp.Equal(behind, []string{"s1", "s3"}) || of != 3 {
		t.Error(behind, of)
	}
	r := c.Reports(3*time.Second, 100_000)
	want := map[string]maintenance.Report{}
	for name, heard := range map[string]int64{"s1": 98_000, "s2": 99_000, "s3": 98_000} {
		w := *report(3)
		w.Heard = heard
		want[name] = w
	}
	if !cmp.Equal(r, want) {
		t.Error(cmp.Diff(r, want))
	}
	take(Digest{Closed: []ClosedSession{{"s1", 3, 1}, {"s3", 3, 0}, {"s9", 1, 1}}}, 3*time.Second)
	if behind, of := c.Behind(8, 3*time.Second); !cmp.Equal(behind, []string{"s3"}) || of != 2 {
		t.Error(behind, of)
	}
	if _, ok := c.Applied("s1", 3*time.Second); ok {
		t.Error("a closed session is counted")
	}
	if behind, of := c.Behind(8, time.Second+AbsentAfter); len(behind) != 0 || of != 1 {
		t.Error("absent servers are counted", behind, of)
	}
	if c.NodeOf("s4") != "n1" || c.NodeOf("s9") != "" {
		t.Error(c.NodeOf("s4"), c.NodeOf("s9"))
	}
}

func TestInvalidDigests(t *testing.T) {
	bad := status("s1", 3, 1, 1, 5)
	bad.Report.Load = math.NaN()
	for name, d := range map[string]Digest{
		"too many renewals":   {Renewals: make([]lease.Renewal, limits.MaxServers+1)},
		"too many servers":    {Servers: make([]ServerStatus, limits.MaxServers+1)},
		"too many closed":     {Closed: make([]ClosedSession, limits.MaxServers+1)},
		"no name":             {Renewals: []lease.Renewal{{Life: 1, Seq: 1}}},
		"no token":            {Renewals: []lease.Renewal{{Box: "s", Seq: 1}}},
		"long name":           {Servers: []ServerStatus{status(strings.Repeat("x", 65), 1, 1, 1, 1)}},
		"no session":          {Servers: []ServerStatus{status("s", 1, 0, 1, 1)}},
		"NaN load":            {Servers: []ServerStatus{bad}},
		"closed without name": {Closed: []ClosedSession{{}}},
	} {
		c := NewCollector()
		d.Renewals = append(d.Renewals, lease.Renewal{Box: "good", Life: 1, Seq: 1})
		if err := c.Take("n1", d, 0); err == nil || len(c.servers) != 0 {
			t.Errorf("%s: %v, %d servers", name, err, len(c.servers))
		}
	}
}

// The collector keeps at most MaxServers; absent servers make room for new ones.
func TestCollectorIsBounded(t *testing.T) {
	c := NewCollector()
	add := func(from, n int, now time.Duration) {
		for i := range n {
			s := status(serverName(from+i), 1, 1, 1, 1)
			if err := c.Take("n1", Digest{Servers: []ServerStatus{s}}, now); err != nil {
				t.Fatal(err)
			}
		}
	}
	add(0, limits.MaxServers+50, 0)
	if len(c.servers) != limits.MaxServers {
		t.Error(len(c.servers))
	}
	add(10_000, 10, AbsentAfter)
	if _, ok := c.Applied(serverName(10_009), AbsentAfter); !ok || len(c.servers) != 10 {
		t.Error("absent servers are not dropped", len(c.servers))
	}
}
