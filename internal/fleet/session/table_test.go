package session

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/watch"
)

// testTable returns a table whose history has a document of the given size at each revision from 1 to 10.
func testTable(o TableOptions, size int) (*Table, *watch.History) {
	h := watch.NewHistory(watch.Limits{Bytes: 1 << 20, Updates: 100})
	for i := range 10 {
		h.Put(uint64(i+1), fmt.Sprint(ConfigurationPrefix, "d", i), []byte(strings.Repeat("x", size)))
		h.Advance(uint64(i + 1))
	}
	o.Node, o.Fleet = "n1", 9
	o.OpensPerSecond, o.OpensBurst = max(o.OpensPerSecond, 1), max(o.OpensBurst, 1)
	return NewTable(o, h), h
}

var largeOptions = TableOptions{MaxSessions: 100, OpensPerSecond: 100, OpensBurst: 100, MaxSnapshots: 2, DrainPerSecond: 10}

func hello(server string, incarnation, session uint64) Hello {
	return Hello{Server: server, Zone: "z", Incarnation: incarnation, Session: session}
}

func report(incarnation uint64) *maintenance.Report {
	return &maintenance.Report{Incarnation: incarnation, Capacity: 100, Load: 20}
}

// mustOpen opens a session and completes the writing of its Welcome message.
func mustOpen(t *testing.T, table *Table, id uint64, h Hello, now time.Duration) {
	t.Helper()
	if _, refusal := table.Open(id, h, 0, now); refusal != nil {
		t.Fatalf("%+v", refusal)
	}
	if m, ok := table.Next(id, now); !ok || m.Welcome == nil || m.Welcome.Fleet != 9 || m.Welcome.Node != "n1" {
		t.Fatalf("%+v", m)
	}
	table.MessageWritten(id)
}

// writeAll writes all messages that a session has to send.
func writeAll(table *Table, id uint64, now time.Duration) (messages []FromNode) {
	for {
		m, ok := table.Next(id, now)
		if !ok {
			return messages
		}
		messages = append(messages, m)
		table.MessageWritten(id)
	}
}

func TestOpen(t *testing.T) {
	long := strings.Repeat("x", limits.MaxName+1)
	for _, test := range []struct {
		name  string
		hello Hello
		known uint64
		code  RefusalCode // 0 = the session opens
		ended RefusalCode // code sent to the previous session; 0 = it stays open
	}{
		{"first session", hello("s2", 1, 1), 0, 0, 0},
		{"the known incarnation", hello("s2", 5, 1), 5, 0, 0},
		{"older than the log", hello("s2", 4, 1), 5, Superseded, 0},
		{"older than the session here", hello("s1", 2, 9), 0, Superseded, 0},
		{"an earlier session of the process", hello("s1", 3, 2), 0, NodeUnavailable, 0},
		{"the same session again", hello("s1", 3, 3), 0, NodeUnavailable, 0},
		{"the process's next session", hello("s1", 3, 4), 0, 0, NodeUnavailable},
		{"the next process", hello("s1", 4, 1), 0, 0, Superseded},
		{"another fleet", Hello{Server: "s2", Zone: "z", Incarnation: 1, Session: 1, Fleet: 8, Revision: 3}, 0, OtherFleet, 0},
		{"this fleet", Hello{Server: "s2", Zone: "z", Incarnation: 1, Session: 1, Fleet: 9, Revision: 3}, 0, 0, 0},
		{"a revision of no fleet", Hello{Server: "s2", Zone: "z", Incarnation: 1, Session: 1, Revision: 3}, 0, Invalid, 0},
		{"no name", hello("", 1, 1), 0, Invalid, 0},
		{"a long name", hello(long, 1, 1), 0, Invalid, 0},
		{"no zone", Hello{Server: "s2", Incarnation: 1, Session: 1}, 0, Invalid, 0},
		{"no incarnation", hello("s2", 0, 1), 0, Invalid, 0},
		{"no session", hello("s2", 1, 0), 0, Invalid, 0},
		{"a long pool", Hello{Server: "s2", Zone: "z", Incarnation: 1, Session: 1, Pool: strings.Repeat("x", 257)}, 0, Invalid, 0},
	} {
		table, _ := testTable(largeOptions, 10)
		mustOpen(t, table, 1, hello("s1", 3, 3), 0)
		ended, refusal := table.Open(2, test.hello, test.known, 0)
		switch {
		case (refusal == nil) != (test.code == 0), refusal != nil && refusal.Code != test.code:
			t.Errorf("%s: %+v", test.name, refusal)
		case refusal != nil && (len(ended) > 0 || table.SessionCount() != 1 || refusal.Code == Superseded && refusal.Incarnation <= test.hello.Incarnation):
			t.Errorf("%s: %+v %+v", test.name, ended, refusal)
		case test.ended != 0 && (len(ended) != 1 || ended[0].ID != 1 || ended[0].Refusal.Code != test.ended):
			t.Errorf("%s: %+v", test.name, ended)
		case test.ended == 0 && len(ended) > 0:
			t.Errorf("%s: %+v", test.name, ended)
		case refusal != nil && len(refusal.Reason) > MaxReason:
			t.Errorf("%s: the reason has %d bytes", test.name, len(refusal.Reason))
		}
	}
}

// Many servers that connect at once, and retry when they are told to, are admitted at the configured rate with few
// attempts each.
func TestAdmissionPaces(t *testing.T) {
	for _, servers := range []int{148, 740} {
		a := newAdmission(100, 40, rand.New(rand.NewPCG(1, 1)))
		retryAt := make([]time.Duration, servers)
		admitted, attempts, perSecond := 0, 0, map[int]int{}
		for now := time.Duration(0); admitted < servers; now += time.Millisecond {
			if now > time.Minute {
				t.Fatal(admitted)
			}
			for i := range retryAt {
				if retryAt[i] < 0 || now < retryAt[i] {
					continue
				}
				attempts++
				retryAfter, ok := a.take(now)
				if !ok {
					retryAt[i] = now + retryAfter
					continue
				}
				retryAt[i] = -1
				admitted++
				perSecond[int(now/time.Second)]++
			}
			if admitted == servers {
				t.Logf("%d servers: %d attempts, all admitted after %v", servers, attempts, now)
				if ideal := time.Duration(float64(servers-40) / 100 * float64(time.Second)); now > 2*ideal+time.Second {
					t.Errorf("%d servers admitted in %v, the minimum is %v", servers, now, ideal)
				}
			}
		}
		for second, n := range perSecond {
			if n > 140 {
				t.Errorf("%d admitted in second %d", n, second)
			}
		}
		if attempts > 4*servers {
			t.Errorf("%d attempts for %d servers", attempts, servers)
		}
	}
}

func TestFullTable(t *testing.T) {
	o := largeOptions
	o.MaxSessions = 2
	table, _ := testTable(o, 10)
	mustOpen(t, table, 1, hello("s1", 1, 1), 0)
	mustOpen(t, table, 2, hello("s2", 1, 1), 0)
	if _, refusal := table.Open(3, hello("s3", 1, 1), 0, 0); refusal == nil || refusal.Code != NodeUnavailable || refusal.RetryAfter == 0 {
		t.Errorf("%+v", refusal)
	}
	if ended, refusal := table.Open(4, hello("s2", 1, 2), 0, 0); refusal != nil || len(ended) != 1 || table.SessionCount() != 2 {
		t.Errorf("%+v %+v", ended, refusal)
	}
}

func TestInvalidHeartbeats(t *testing.T) {
	step := maintenance.Entry{Kind: maintenance.Step, Box: "s1", Incarnation: 3, Phase: maintenance.Draining}
	live := lease.Entry{Kind: lease.Registered, Box: "s1", Zone: "z", Incarnation: 3}
	steps := func(change func(*maintenance.Entry)) []Proposal {
		e := step
		change(&e)
		return []Proposal{{Step: &e}}
	}
	registrations := func(change func(*lease.Entry)) []Proposal {
		e := live
		change(&e)
		return []Proposal{{Live: &e}}
	}
	for _, test := range []struct {
		name string
		hb   Heartbeat
		ok   bool
	}{
		{"a renewal", Heartbeat{Sequence: 2, FencingToken: 4, Report: report(3)}, true},
		{"without a lease", Heartbeat{Report: report(3)}, true},
		{"no report", Heartbeat{Sequence: 2, FencingToken: 4}, false},
		{"a token without a sequence", Heartbeat{FencingToken: 4, Report: report(3)}, false},
		{"a sequence without a token", Heartbeat{Sequence: 4, Report: report(3)}, false},
		{"a report of another process", Heartbeat{Report: report(2)}, false},
		{"a load of NaN", Heartbeat{Report: &maintenance.Report{Incarnation: 3, Load: math.NaN()}}, false},
		{"an infinite capacity", Heartbeat{Report: &maintenance.Report{Incarnation: 3, Capacity: math.Inf(1)}}, false},
		{"a negative number of requests", Heartbeat{Report: &maintenance.Report{Incarnation: 3, Open: -1}}, false},
		{"two proposals", Heartbeat{Report: report(3), Proposals: []Proposal{{Step: &step}, {Live: &live}}}, true},
		{"five proposals", Heartbeat{Report: report(3), Proposals: make([]Proposal, MaxProposals+1)}, false},
		{"an empty proposal", Heartbeat{Report: report(3), Proposals: make([]Proposal, 1)}, false},
		{"two fields in one proposal", Heartbeat{Report: report(3), Proposals: []Proposal{{Step: &step, Live: &live}}}, false},
		{"a step of another server", Heartbeat{Report: report(3), Proposals: steps(func(e *maintenance.Entry) { e.Box = "s2" })}, false},
		{"a step of another process", Heartbeat{Report: report(3), Proposals: steps(func(e *maintenance.Entry) { e.Incarnation = 2 })}, false},
		{"a grant", Heartbeat{Report: report(3), Proposals: steps(func(e *maintenance.Entry) { e.Kind = maintenance.Grant })}, false},
		{"an unknown phase", Heartbeat{Report: report(3), Proposals: steps(func(e *maintenance.Entry) { e.Phase = 9 })}, false},
		{"a step with a list", Heartbeat{Report: report(3), Proposals: steps(func(e *maintenance.Entry) { e.Missing = []string{"s2"} })}, false},
		{"a step with a long reason", Heartbeat{Report: report(3), Proposals: steps(func(e *maintenance.Entry) { e.Why = strings.Repeat("x", 300) })}, false},
		{"registration of another server", Heartbeat{Report: report(3), Proposals: registrations(func(e *lease.Entry) { e.Box = "s2" })}, false},
		{"expiry of another server", Heartbeat{Report: report(3), Proposals: registrations(func(e *lease.Entry) { e.Kind = lease.Expired })}, false},
		{"registration of another process", Heartbeat{Report: report(3), Proposals: registrations(func(e *lease.Entry) { e.Incarnation = 4 })}, false},
		{"registration in another zone", Heartbeat{Report: report(3), Proposals: registrations(func(e *lease.Entry) { e.Zone = "y" })}, false},
	} {
		table, _ := testTable(largeOptions, 10)
		mustOpen(t, table, 1, hello("s1", 3, 3), 0)
		_, err := table.Heartbeat(1, test.hb, 0)
		if (err == nil) != test.ok || err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	table, _ := testTable(largeOptions, 10)
	mustOpen(t, table, 1, hello("s1", 3, 3), 0)
	if _, err := table.Heartbeat(2, Heartbeat{Report: report(3)}, 0); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
	table.Heartbeat(1, Heartbeat{Sequence: 2, FencingToken: 4, Report: report(3)}, 0)
	if _, err := table.Heartbeat(1, Heartbeat{Sequence: 2, FencingToken: 4}, 0); !errors.Is(err, ErrInvalid) {
		t.Error("the same renewal was accepted twice", err)
	}
}

// An acknowledgement is sent once: at once with a grant, otherwise after MaxAckDelay.
func TestAcknowledgements(t *testing.T) {
	table, h := testTable(largeOptions, 10)
	mustOpen(t, table, 1, hello("s1", 3, 3), 0)
	writeAll(table, 1, 0)
	beat := func(sequence uint64, now time.Duration) {
		t.Helper()
		if _, err := table.Heartbeat(1, Heartbeat{Sequence: sequence, FencingToken: 4, Report: report(3)}, now); err != nil {
			t.Fatal(err)
		}
	}
	acks := func(now time.Duration) (list []Ack) {
		for _, m := range writeAll(table, 1, now) {
			list = append(list, *m.Ack)
		}
		return list
	}
	beat(1, ms(100))
	if got := acks(ms(100) + MaxAckDelay - 1); got != nil || len(table.ReadySessions(ms(100)+MaxAckDelay-1)) != 0 {
		t.Errorf("%+v", got)
	}
	table.SetLeaderless(true)
	if got := acks(ms(100) + MaxAckDelay); !cmp.Equal(got, []Ack{{Revision: h.Revision(), Leaderless: true}}) {
		t.Errorf("%+v", got)
	}
	table.SetLeaderless(false)
	beat(2, ms(700))
	beat(3, ms(800))
	grant := func(life, sequence uint64) {
		table.AcceptGrants([]lease.Grant{{Box: "s1", Life: life, Seq: sequence, For: time.Second}, {Box: "s2", Life: 1, Seq: 1}}, ms(800))
	}
	grant(4, 9)
	grant(5, 3)
	if got := acks(ms(800)); got != nil {
		t.Errorf("acknowledged grants that were not requested: %+v", got)
	}
	grant(4, 3)
	grant(4, 2)
	if ids := table.ReadySessions(ms(800)); !cmp.Equal(ids, []uint64{1}) {
		t.Errorf("%v", ids)
	}
	if got := acks(ms(800)); !cmp.Equal(got, []Ack{{Sequence: 3, FencingToken: 4, Revision: h.Revision()}}) {
		t.Errorf("%+v", got)
	}
	grant(4, 3)
	if got := acks(10 * time.Second); got != nil {
		t.Errorf("a grant was acknowledged twice: %+v", got)
	}
	beat(4, ms(10_000))
	grant(4, 4)
	table.Resync()
	if got := acks(ms(10_000)); got != nil {
		t.Errorf("a grant from before Resync was sent: %+v", got)
	}
}

// A session sends one message at a time, and at most MaxSnapshots sessions send a snapshot.
func TestSnapshotsAreBounded(t *testing.T) {
	o := largeOptions
	table, h := testTable(o, 30<<10)
	h.Reset(20)
	for i := range 10 {
		h.Put(20, fmt.Sprint(ConfigurationPrefix, "d", i), []byte(strings.Repeat("y", 30<<10)))
	}
	h.Advance(20)
	for id := range uint64(10) {
		mustOpen(t, table, id+1, hello(serverName(int(id)), 1, 1), 0)
	}
	complete := map[uint64]bool{}
	for range 100 {
		pending := table.ReadySessions(0)
		sending := map[uint64]bool{}
		for _, id := range pending {
			m, ok := table.Next(id, 0)
			if !ok {
				continue
			}
			if _, again := table.Next(id, 0); again {
				t.Fatal("a message was returned while another is being written")
			}
			sending[id] = true
			complete[id] = m.Batch.Last
		}
		if table.activeSnapshots > o.MaxSnapshots || len(sending) > 2*o.MaxSnapshots {
			t.Fatal(table.activeSnapshots, sending)
		}
		for id := range sending {
			table.MessageWritten(id)
		}
	}
	if len(complete) != 10 || table.activeSnapshots != 0 {
		t.Error(complete)
	}
	for id, last := range complete {
		if !last {
			t.Error(id)
		}
	}
}

// A session that is closed in the middle of a snapshot releases its slot.
func TestCloseDuringSnapshot(t *testing.T) {
	o := largeOptions
	o.MaxSnapshots = 1
	table, h := testTable(o, 10)
	h.Reset(20)
	for i := range 10 {
		h.Put(20, fmt.Sprint(ConfigurationPrefix, "d", i), []byte(strings.Repeat("y", 30<<10)))
	}
	h.Advance(20)
	mustOpen(t, table, 1, hello("s1", 1, 1), 0)
	mustOpen(t, table, 2, hello("s2", 1, 1), 0)
	if m, ok := table.Next(1, 0); !ok || !m.Batch.First || m.Batch.Last {
		t.Fatalf("%+v", m)
	}
	if _, ok := table.Next(2, 0); ok {
		t.Error("two snapshots are sent at a time")
	}
	table.ConnectionClosed(1, 0)
	if _, ok := table.Next(2, 0); !ok {
		t.Error("the slot is not released")
	}
}

func TestSessionsEnd(t *testing.T) {
	table, _ := testTable(largeOptions, 10)
	for i := range uint64(30) {
		mustOpen(t, table, i+1, hello(serverName(int(i)), 3, 1), 0)
	}
	if ended := table.EndSuperseded(serverName(0), 3); ended != nil {
		t.Errorf("%+v", ended)
	}
	if ended := table.EndSuperseded(serverName(0), 4); len(ended) != 1 || ended[0].ID != 1 || ended[0].Refusal.Code != Superseded || ended[0].Refusal.Incarnation != 4 {
		t.Errorf("%+v", ended)
	}
	for i := range uint64(28) {
		if _, err := table.Heartbeat(i+2, Heartbeat{Report: report(3)}, ms(100)); err != nil {
			t.Fatal(err)
		}
	}
	if ended := table.Tick(SessionTimeout + 1); len(ended) != 1 || ended[0].ID != 30 {
		t.Errorf("%+v", ended)
	}
	table.Drain()
	if _, refusal := table.Open(99, hello("new", 1, 1), 0, SessionTimeout); refusal == nil || refusal.Code != NodeUnavailable {
		t.Errorf("%+v", refusal)
	}
	for i := range uint64(28) {
		table.Heartbeat(i+2, Heartbeat{}, SessionTimeout)
	}
	total := 0
	for i := range 40 {
		ended := table.Tick(SessionTimeout + ms(100*i))
		if total += len(ended); len(ended) > 2 {
			t.Errorf("%d sessions ended at once", len(ended))
		}
	}
	if total != 28 || table.SessionCount() != 0 {
		t.Error(total, table.SessionCount())
	}
	table.Resume()
	mustOpen(t, table, 100, hello("new", 1, 1), SessionTimeout+ms(4000))
	if ended := table.Tick(SessionTimeout + ms(5000)); len(ended) != 0 || table.SessionCount() != 1 {
		t.Errorf("%+v, %d sessions", ended, table.SessionCount())
	}
}

// A digest contains each change once, within the size limit, and everything again after Resync.
func TestDigest(t *testing.T) {
	table, _ := testTable(largeOptions, 10)
	const servers = 60
	for i := range uint64(servers) {
		mustOpen(t, table, i+1, hello(serverName(int(i)), 3, 1), 0)
		if _, err := table.Heartbeat(i+1, Heartbeat{Sequence: 1, FencingToken: 4, Applied: 7, Report: report(3)}, 0); err != nil {
			t.Fatal(err)
		}
	}
	const limit = 2048
	readAll := func() (sum Digest) {
		for {
			d, ok := table.Digest(limit)
			if !ok {
				return sum
			}
			encoded, err := cbor.Marshal(d)
			if err != nil || len(encoded) > limit {
				t.Fatal(len(encoded), err)
			}
			sum.Renewals = append(sum.Renewals, d.Renewals...)
			sum.Servers = append(sum.Servers, d.Servers...)
			sum.Closed = append(sum.Closed, d.Closed...)
		}
	}
	if d := readAll(); len(d.Renewals) != servers || len(d.Servers) != servers || d.Servers[0].Applied != 7 || d.Servers[0].Report != *report(3) {
		t.Errorf("%d renewals, %d servers", len(d.Renewals), len(d.Servers))
	}
	table.Heartbeat(1, Heartbeat{Sequence: 2, FencingToken: 4, Applied: 7}, ms(500))
	table.Heartbeat(1, Heartbeat{Sequence: 3, FencingToken: 4, Applied: 7}, ms(1000))
	table.Heartbeat(2, Heartbeat{Sequence: 2, FencingToken: 4, Applied: 8}, ms(500))
	if d := readAll(); len(d.Renewals) != 2 || d.Renewals[0].Seq != 3 || len(d.Servers) != 1 || d.Servers[0].Applied != 8 {
		t.Errorf("%+v", d)
	}
	table.ConnectionClosed(3, 0)
	table.ConnectionClosed(3, 0)
	if d := readAll(); !cmp.Equal(d, Digest{Closed: []ClosedSession{{serverName(2), 3, 1}}}) {
		t.Errorf("%+v", d)
	}
	table.Heartbeat(1, Heartbeat{Sequence: 4, FencingToken: 4, Applied: 7}, ms(1500))
	table.Resync()
	if d := readAll(); len(d.Renewals) != 0 || len(d.Servers) != servers-1 {
		t.Errorf("%d renewals, %d servers", len(d.Renewals), len(d.Servers))
	}
	// A server without a lease is reported from time to time, so that the leader knows that it is connected.
	for now := ms(2000); now <= ms(12_000); now += ms(500) {
		table.Heartbeat(1, Heartbeat{Applied: 7}, now)
	}
	if d := readAll(); len(d.Servers) != 1 {
		t.Errorf("%+v", d)
	}
}

// The state of a session whose writer never becomes free does not grow, whatever changes and whatever the server
// sends.
func TestStuckWriter(t *testing.T) {
	table, h := testTable(largeOptions, 10)
	mustOpen(t, table, 1, hello("s1", 3, 1), 0)
	if _, ok := table.Next(1, 0); !ok {
		t.Fatal("nothing to send")
	}
	now := time.Duration(0)
	change := func(n int) {
		for range n {
			now += ms(10)
			revision := h.Revision() + 1
			h.Put(revision, ConfigurationPrefix+"d1", fmt.Append(nil, revision))
			h.Advance(revision)
			hb := Heartbeat{Sequence: uint64(now), FencingToken: 4, Applied: revision, Report: report(3)}
			if _, err := table.Heartbeat(1, hb, now); err != nil {
				t.Fatal(err)
			}
			table.AcceptGrants([]lease.Grant{{Box: "s1", Life: 4, Seq: uint64(now)}}, now)
			if _, ok := table.Next(1, now); ok || len(table.ReadySessions(now)) != 0 {
				t.Fatal("a message was returned while another is being written")
			}
		}
	}
	change(200)
	if allocated := testing.AllocsPerRun(5, func() { change(1) }); allocated > 20 {
		t.Errorf("%v allocations per change", allocated)
	}
	change(5000)
	if len(table.openOrder) != 1 || len(table.unreportedClosed) != 0 {
		t.Error(len(table.openOrder), len(table.unreportedClosed))
	}
	table.MessageWritten(1)
	messages := writeAll(table, 1, now)
	if len(messages) > 3 || messages[0].Ack == nil || messages[0].Ack.Sequence != uint64(now) {
		t.Errorf("%d messages", len(messages))
	}
}
