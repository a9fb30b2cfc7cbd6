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
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/watch"
)

// testTable has a history with a document of a size at each revision up to 10.
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

var roomy = TableOptions{MaxSessions: 100, OpensPerSecond: 100, OpensBurst: 100, MaxSnapshots: 2, DrainPerSecond: 10}

func hello(server string, incarnation, session uint64) Hello {
	return Hello{Server: server, Zone: "z", Incarnation: incarnation, Session: session}
}

func report(incarnation uint64) *takeout.Report {
	return &takeout.Report{Incarnation: incarnation, Capacity: 100, Load: 20}
}

// mustOpen opens a session and has its welcome written.
func mustOpen(t *testing.T, table *Table, id uint64, h Hello, now time.Duration) {
	t.Helper()
	if _, refusal := table.Open(id, h, 0, now); refusal != nil {
		t.Fatalf("%+v", refusal)
	}
	if m, ok := table.Next(id, now); !ok || m.Welcome == nil || m.Welcome.Fleet != 9 || m.Welcome.Node != "n1" {
		t.Fatalf("%+v", m)
	}
	table.Written(id)
}

// drainNext writes all that a session has to send.
func drainNext(table *Table, id uint64, now time.Duration) (messages []FromNode) {
	for {
		m, ok := table.Next(id, now)
		if !ok {
			return messages
		}
		messages = append(messages, m)
		table.Written(id)
	}
}

func TestOpen(t *testing.T) {
	long := strings.Repeat("x", limits.MaxName+1)
	for _, k := range []struct {
		name  string
		hello Hello
		known uint64
		code  RefusalCode // 0 = it opens
		ended RefusalCode // what the session of before is told; 0 = it stays
	}{
		{"first", hello("s2", 1, 1), 0, 0, 0},
		{"known", hello("s2", 5, 1), 5, 0, 0},
		{"older than the log", hello("s2", 4, 1), 5, Superseded, 0},
		{"older than the session here", hello("s1", 2, 9), 0, Superseded, 0},
		{"again, late", hello("s1", 3, 2), 0, Moving, 0},
		{"the same session again", hello("s1", 3, 3), 0, Moving, 0},
		{"the process's next session", hello("s1", 3, 4), 0, 0, Moving},
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
		table, _ := testTable(roomy, 10)
		mustOpen(t, table, 1, hello("s1", 3, 3), 0)
		ended, refusal := table.Open(2, k.hello, k.known, 0)
		switch {
		case (refusal == nil) != (k.code == 0), refusal != nil && refusal.Code != k.code:
			t.Errorf("%s: %+v", k.name, refusal)
		case refusal != nil && (len(ended) > 0 || table.Sessions() != 1 || refusal.Code == Superseded && refusal.Incarnation <= k.hello.Incarnation):
			t.Errorf("%s: %+v %+v", k.name, ended, refusal)
		case k.ended != 0 && (len(ended) != 1 || ended[0].ID != 1 || ended[0].Refusal.Code != k.ended):
			t.Errorf("%s: %+v", k.name, ended)
		case k.ended == 0 && len(ended) > 0:
			t.Errorf("%s: %+v", k.name, ended)
		case refusal != nil && len(refusal.Reason) > MaxReason:
			t.Errorf("%s: a reason of %d bytes", k.name, len(refusal.Reason))
		}
	}
}

// Any number that come at once, and come back when they are told to, are let in at the pace of the options, each with few attempts.
func TestAdmissionPaces(t *testing.T) {
	for _, all := range []int{148, 740} {
		a := newAdmission(100, 40, rand.New(rand.NewPCG(1, 1)))
		back := make([]time.Duration, all)
		admitted, attempts, perSecond := 0, 0, map[int]int{}
		for now := time.Duration(0); admitted < all; now += time.Millisecond {
			if now > time.Minute {
				t.Fatal(admitted)
			}
			for i := range back {
				if back[i] < 0 || now < back[i] {
					continue
				}
				attempts++
				retryAfter, ok := a.take(now)
				if !ok {
					back[i] = now + retryAfter
					continue
				}
				back[i] = -1
				admitted++
				perSecond[int(now/time.Second)]++
			}
			if admitted == all {
				t.Logf("%d: %d attempts, all in after %v", all, attempts, now)
				if ideal := time.Duration(float64(all-40) / 100 * float64(time.Second)); now > 2*ideal+time.Second {
					t.Errorf("%d in %v, %v would do", all, now, ideal)
				}
			}
		}
		for second, n := range perSecond {
			if n > 140 {
				t.Errorf("%d in second %d", n, second)
			}
		}
		if attempts > 4*all {
			t.Errorf("%d attempts for %d", attempts, all)
		}
	}
}

func TestFullTable(t *testing.T) {
	o := roomy
	o.MaxSessions = 2
	table, _ := testTable(o, 10)
	mustOpen(t, table, 1, hello("s1", 1, 1), 0)
	mustOpen(t, table, 2, hello("s2", 1, 1), 0)
	if _, refusal := table.Open(3, hello("s3", 1, 1), 0, 0); refusal == nil || refusal.Code != Moving || refusal.RetryAfter == 0 {
		t.Errorf("%+v", refusal)
	}
	if ended, refusal := table.Open(4, hello("s2", 1, 2), 0, 0); refusal != nil || len(ended) != 1 || table.Sessions() != 2 {
		t.Errorf("%+v %+v", ended, refusal)
	}
}

func TestHeartbeatsThatCannotBe(t *testing.T) {
	step := takeout.Entry{Kind: takeout.Step, Box: "s1", Incarnation: 3, Phase: takeout.Draining}
	live := lease.Entry{Kind: lease.Live, Box: "s1", Zone: "z", Incarnation: 3}
	with := func(change func(*takeout.Entry)) []Proposal {
		e := step
		change(&e)
		return []Proposal{{Step: &e}}
	}
	of := func(change func(*lease.Entry)) []Proposal {
		e := live
		change(&e)
		return []Proposal{{Live: &e}}
	}
	for _, k := range []struct {
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
		{"a load of NaN", Heartbeat{Report: &takeout.Report{Incarnation: 3, Load: math.NaN()}}, false},
		{"a capacity without end", Heartbeat{Report: &takeout.Report{Incarnation: 3, Capacity: math.Inf(1)}}, false},
		{"fewer than no requests", Heartbeat{Report: &takeout.Report{Incarnation: 3, Open: -1}}, false},
		{"two proposals", Heartbeat{Report: report(3), Proposals: []Proposal{{Step: &step}, {Live: &live}}}, true},
		{"five proposals", Heartbeat{Report: report(3), Proposals: make([]Proposal, MaxProposals+1)}, false},
		{"an empty proposal", Heartbeat{Report: report(3), Proposals: make([]Proposal, 1)}, false},
		{"two things in one proposal", Heartbeat{Report: report(3), Proposals: []Proposal{{Step: &step, Live: &live}}}, false},
		{"a step of another server", Heartbeat{Report: report(3), Proposals: with(func(e *takeout.Entry) { e.Box = "s2" })}, false},
		{"a step of another process", Heartbeat{Report: report(3), Proposals: with(func(e *takeout.Entry) { e.Incarnation = 2 })}, false},
		{"a grant", Heartbeat{Report: report(3), Proposals: with(func(e *takeout.Entry) { e.Kind = takeout.Grant })}, false},
		{"an unknown phase", Heartbeat{Report: report(3), Proposals: with(func(e *takeout.Entry) { e.Phase = 9 })}, false},
		{"a step with a list", Heartbeat{Report: report(3), Proposals: with(func(e *takeout.Entry) { e.Missing = []string{"s2"} })}, false},
		{"a step with a long reason", Heartbeat{Report: report(3), Proposals: with(func(e *takeout.Entry) { e.Why = strings.Repeat("x", 300) })}, false},
		{"another server lives", Heartbeat{Report: report(3), Proposals: of(func(e *lease.Entry) { e.Box = "s2" })}, false},
		{"another server is lost", Heartbeat{Report: report(3), Proposals: of(func(e *lease.Entry) { e.Kind = lease.Lost })}, false},
		{"another process lives", Heartbeat{Report: report(3), Proposals: of(func(e *lease.Entry) { e.Incarnation = 4 })}, false},
		{"in another zone", Heartbeat{Report: report(3), Proposals: of(func(e *lease.Entry) { e.Zone = "y" })}, false},
	} {
		table, _ := testTable(roomy, 10)
		mustOpen(t, table, 1, hello("s1", 3, 3), 0)
		_, err := table.Heartbeat(1, k.hb, 0)
		if (err == nil) != k.ok || err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", k.name, err)
		}
	}
	table, _ := testTable(roomy, 10)
	mustOpen(t, table, 1, hello("s1", 3, 3), 0)
	if _, err := table.Heartbeat(2, Heartbeat{Report: report(3)}, 0); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
	table.Heartbeat(1, Heartbeat{Sequence: 2, FencingToken: 4, Report: report(3)}, 0)
	if _, err := table.Heartbeat(1, Heartbeat{Sequence: 2, FencingToken: 4}, 0); !errors.Is(err, ErrInvalid) {
		t.Error("the same renewal twice", err)
	}
}

// An acknowledgement comes at once with a grant, and otherwise after AckWithin, once.
func TestAcknowledgements(t *testing.T) {
	table, h := testTable(roomy, 10)
	mustOpen(t, table, 1, hello("s1", 3, 3), 0)
	drainNext(table, 1, 0)
	beat := func(sequence uint64, now time.Duration) {
		t.Helper()
		if _, err := table.Heartbeat(1, Heartbeat{Sequence: sequence, FencingToken: 4, Report: report(3)}, now); err != nil {
			t.Fatal(err)
		}
	}
	acks := func(now time.Duration) (list []Ack) {
		for _, m := range drainNext(table, 1, now) {
			list = append(list, *m.Ack)
		}
		return list
	}
	beat(1, ms(100))
	if got := acks(ms(100) + AckWithin - 1); got != nil || len(table.Pending(ms(100)+AckWithin-1)) != 0 {
		t.Errorf("%+v", got)
	}
	table.Leaderless(true)
	if got := acks(ms(100) + AckWithin); !cmp.Equal(got, []Ack{{Revision: h.Revision(), Leaderless: true}}) {
		t.Errorf("%+v", got)
	}
	table.Leaderless(false)
	beat(2, ms(700))
	beat(3, ms(800))
	grant := func(life, sequence uint64) {
		table.Granted([]lease.Grant{{Box: "s1", Life: life, Seq: sequence, For: time.Second}, {Box: "s2", Life: 1, Seq: 1}}, ms(800))
	}
	grant(4, 9)
	grant(5, 3)
	if got := acks(ms(800)); got != nil {
		t.Errorf("for what was not asked: %+v", got)
	}
	grant(4, 3)
	grant(4, 2)
	if ids := table.Pending(ms(800)); !cmp.Equal(ids, []uint64{1}) {
		t.Errorf("%v", ids)
	}
	if got := acks(ms(800)); !cmp.Equal(got, []Ack{{Sequence: 3, FencingToken: 4, Revision: h.Revision()}}) {
		t.Errorf("%+v", got)
	}
	grant(4, 3)
	if got := acks(10 * time.Second); got != nil {
		t.Errorf("granted twice: %+v", got)
	}
	beat(4, ms(10_000))
	grant(4, 4)
	table.Resync()
	if got := acks(ms(10_000)); got != nil {
		t.Errorf("a grant of another term: %+v", got)
	}
}

// One message at a time, and no more than MaxSnapshots in snapshots.
func TestSnapshotsAreBounded(t *testing.T) {
	o := roomy
	table, h := testTable(o, 30<<10)
	h.Reset(20)
	for i := range 10 {
		h.Put(20, fmt.Sprint(ConfigurationPrefix, "d", i), []byte(strings.Repeat("y", 30<<10)))
	}
	h.Advance(20)
	for id := range uint64(10) {
		mustOpen(t, table, id+1, hello(serverName(int(id)), 1, 1), 0)
	}
	whole := map[uint64]bool{}
	for range 100 {
		pending := table.Pending(0)
		sending := map[uint64]bool{}
		for _, id := range pending {
			m, ok := table.Next(id, 0)
			if !ok {
				continue
			}
			if _, again := table.Next(id, 0); again {
				t.Fatal("a message while another is written")
			}
			sending[id] = true
			whole[id] = m.Batch.Last
		}
		if table.snapshots > o.MaxSnapshots || len(sending) > 2*o.MaxSnapshots {
			t.Fatal(table.snapshots, sending)
		}
		for id := range sending {
			table.Written(id)
		}
	}
	if len(whole) != 10 || table.snapshots != 0 {
		t.Error(whole)
	}
	for id, last := range whole {
		if !last {
			t.Error(id)
		}
	}
}

// A session that is closed in the middle of a snapshot gives its place back.
func TestClosedInASnapshot(t *testing.T) {
	o := roomy
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
		t.Error("two snapshots")
	}
	table.Closed(1, 0)
	if _, ok := table.Next(2, 0); !ok {
		t.Error("its place is not given back")
	}
}

func TestEndOfSessions(t *testing.T) {
	table, _ := testTable(roomy, 10)
	for i := range uint64(30) {
		mustOpen(t, table, i+1, hello(serverName(int(i)), 3, 1), 0)
	}
	if ended := table.Superseded(serverName(0), 3); ended != nil {
		t.Errorf("%+v", ended)
	}
	if ended := table.Superseded(serverName(0), 4); len(ended) != 1 || ended[0].ID != 1 || ended[0].Refusal.Code != Superseded || ended[0].Refusal.Incarnation != 4 {
		t.Errorf("%+v", ended)
	}
	for i := range uint64(28) {
		if _, err := table.Heartbeat(i+2, Heartbeat{Report: report(3)}, ms(100)); err != nil {
			t.Fatal(err)
		}
	}
	if ended := table.Tick(Expiry + 1); len(ended) != 1 || ended[0].ID != 30 {
		t.Errorf("%+v", ended)
	}
	table.Drain()
	if _, refusal := table.Open(99, hello("new", 1, 1), 0, Expiry); refusal == nil || refusal.Code != Moving {
		t.Errorf("%+v", refusal)
	}
	for i := range uint64(28) {
		table.Heartbeat(i+2, Heartbeat{}, Expiry)
	}
	total := 0
	for i := range 40 {
		ended := table.Tick(Expiry + ms(100*i))
		if total += len(ended); len(ended) > 2 {
			t.Errorf("%d sessions at once", len(ended))
		}
	}
	if total != 28 || table.Sessions() != 0 {
		t.Error(total, table.Sessions())
	}
	table.Resume()
	mustOpen(t, table, 100, hello("new", 1, 1), Expiry+ms(4000))
	if ended := table.Tick(Expiry + ms(5000)); len(ended) != 0 || table.Sessions() != 1 {
		t.Errorf("%+v, %d sessions", ended, table.Sessions())
	}
}

// What the leader hears: what is new, once, within the bound; all of it anew after Resync.
func TestDigest(t *testing.T) {
	table, _ := testTable(roomy, 10)
	const servers = 60
	for i := range uint64(servers) {
		mustOpen(t, table, i+1, hello(serverName(int(i)), 3, 1), 0)
		if _, err := table.Heartbeat(i+1, Heartbeat{Sequence: 1, FencingToken: 4, Applied: 7, Report: report(3)}, 0); err != nil {
			t.Fatal(err)
		}
	}
	const limit = 2048
	all := func() (sum Digest) {
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
	if d := all(); len(d.Renewals) != servers || len(d.Servers) != servers || d.Servers[0].Applied != 7 || d.Servers[0].Report != *report(3) {
		t.Errorf("%d renewals, %d servers", len(d.Renewals), len(d.Servers))
	}
	table.Heartbeat(1, Heartbeat{Sequence: 2, FencingToken: 4, Applied: 7}, ms(500))
	table.Heartbeat(1, Heartbeat{Sequence: 3, FencingToken: 4, Applied: 7}, ms(1000))
	table.Heartbeat(2, Heartbeat{Sequence: 2, FencingToken: 4, Applied: 8}, ms(500))
	if d := all(); len(d.Renewals) != 2 || d.Renewals[0].Seq != 3 || len(d.Servers) != 1 || d.Servers[0].Applied != 8 {
		t.Errorf("%+v", d)
	}
	table.Closed(3, 0)
	table.Closed(3, 0)
	if d := all(); !cmp.Equal(d, Digest{Closed: []ClosedSession{{serverName(2), 3, 1}}}) {
		t.Errorf("%+v", d)
	}
	table.Heartbeat(1, Heartbeat{Sequence: 4, FencingToken: 4, Applied: 7}, ms(1500))
	table.Resync()
	if d := all(); len(d.Renewals) != 0 || len(d.Servers) != servers-1 {
		t.Errorf("%d renewals, %d servers", len(d.Renewals), len(d.Servers))
	}
	// A server without a lease is told of now and then, so that the leader knows that it is there.
	for now := ms(2000); now <= ms(12_000); now += ms(500) {
		table.Heartbeat(1, Heartbeat{Applied: 7}, now)
	}
	if d := all(); len(d.Servers) != 1 {
		t.Errorf("%+v", d)
	}
}

// What a node keeps of a session whose writer is never free does not grow, whatever changes and whatever the server sends.
func TestStuckWriter(t *testing.T) {
	table, h := testTable(roomy, 10)
	mustOpen(t, table, 1, hello("s1", 3, 1), 0)
	if _, ok := table.Next(1, 0); !ok {
		t.Fatal("nothing to send")
	}
	now := time.Duration(0)
	churn := func(n int) {
		for range n {
			now += ms(10)
			revision := h.Revision() + 1
			h.Put(revision, ConfigurationPrefix+"d1", fmt.Append(nil, revision))
			h.Advance(revision)
			hb := Heartbeat{Sequence: uint64(now), FencingToken: 4, Applied: revision, Report: report(3)}
			if _, err := table.Heartbeat(1, hb, now); err != nil {
				t.Fatal(err)
			}
			table.Granted([]lease.Grant{{Box: "s1", Life: 4, Seq: uint64(now)}}, now)
			if _, ok := table.Next(1, now); ok || len(table.Pending(now)) != 0 {
				t.Fatal("a message while another is written")
			}
		}
	}
	churn(200)
	if allocated := testing.AllocsPerRun(5, func() { churn(1) }); allocated > 20 {
		t.Errorf("%v allocations for each change", allocated)
	}
	churn(5000)
	if len(table.order) != 1 || len(table.closed) != 0 {
		t.Error(len(table.order), len(table.closed))
	}
	table.Written(1)
	messages := drainNext(table, 1, now)
	if len(messages) > 3 || messages[0].Ack == nil || messages[0].Ack.Sequence != uint64(now) {
		t.Errorf("%d messages", len(messages))
	}
}
