package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "larchscale/internal/scenario/fixed"
)

const hour = int64(time.Hour / time.Millisecond)

var start = time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC).UnixMilli()

func testPolicy(t testing.TB, kind, zone string) Policy {
	t.Helper()
	calendar, err := NewCalendar(kind, zone)
	if err != nil {
		t.Fatal(err)
	}
	return Policy{Calendar: calendar, Grace: 60_000, Keep: 3, ExportEvery: 60_000, MaxPending: 1 << 20, MaxCells: 10_000}
}

func newTestBook(t testing.TB) *Book {
	t.Helper()
	b := NewBook("n1", ID{1}, testPolicy(t, "hour", "Asia/Kolkata"), start)
	names, err := b.ProposeNames([]string{"", "north", "south"}, []string{"quote", "book"})
	mustApply(t, b, names, err)
	mustApply(t, b, b.ProposeStart(Start{Nonce: 7, At: start, Boot: "x", Strict: true}), nil)
	return b
}

// mustApply applies a record that a Propose method returned.
func mustApply(t testing.TB, b *Book, record []byte, err error) {
	t.Helper()
	if err == nil {
		err = b.Apply(record)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func entry(at int64, stand uint16, end End) Entry {
	return Entry{Began: at - 500, Ended: at, Stand: stand, Class: 1, End: end, Figures: Figures{1, 3_000_000, 250_000, 12_345, 2, 100, 200}}
}

// sealBatch seals a batch and returns its bytes.
func sealBatch(t testing.TB, b *Book, now int64) []byte {
	t.Helper()
	record, bytes := b.ProposeSeal(now)
	mustApply(t, b, record, nil)
	return bytes
}

// Random entries, corrections, clock steps, batches and crashes are compared with a model. At every step, recorded use
// is either sealed or unsealed, and the use of a closed period does not change. At the end, the exported batches yield
// the same statements as the ledger.
func TestBookAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calendar, _ := NewCalendar(rapid.SampledFrom([]string{"hour", "day"}).Draw(t, "kind"), "Asia/Kolkata")
		p := Policy{Calendar: calendar, Grace: 60_000, Keep: 1000, ExportEvery: 600_000, MaxPending: 20_000, MaxCells: 10_000}
		b := NewBook("n1", ID{1}, p, start)
		var log [][]byte // records since the newest snapshot, which is the first
		var exports Exports
		var booked, lost int64
		worth := map[string]int64{}
		closed := map[string]string{}
		now := start
		write := func(rec []byte) {
			if rec == nil {
				return
			}
			if err := b.Apply(rec); err != nil {
				t.Fatal(err)
			}
			log = append(log, slices.Clone(rec))
		}
		begin := func() {
			names, _ := b.ProposeNames([]string{"", "north", "south"}, []string{"quote", "book"})
			write(names)
			write(b.ProposeStart(Start{At: now, Boot: "x", Strict: true}))
		}
		begin()
		ids := 0
		t.Repeat(map[string]func(*rapid.T){
			"entries": func(t *rapid.T) {
				var group []Entry
				for range rapid.IntRange(1, 5).Draw(t, "n") {
					e := entry(now-rapid.Int64Range(0, 90_000).Draw(t, "ago"), uint16(rapid.IntRange(0, 2).Draw(t, "stand")), End(rapid.IntRange(0, 6).Draw(t, "end")))
					if e.Figures[Requests] = int64(rapid.SampledFrom([]int{1, 1, 1, 4, -1}).Draw(t, "count")); e.Figures[Requests] == -1 {
						e.Figures, _ = e.Figures.Neg()
						e.Figures[Requests] = -1
					}
					group = append(group, e)
					booked += e.Figures[Requests]
					worth[b.stands[e.Stand]] += e.Figures[Worth]
				}
				write(EntriesRecord(group))
			},
			"tick": func(t *rapid.T) {
				now += rapid.SampledFrom([]int64{1000, 30_000, 600_000, hour, 25 * hour, -hour}).Draw(t, "by")
				write(b.ProposeClose(now))
				if b.SealDue(now) {
					rec, bytes := b.ProposeSeal(now)
					write(rec)
					if err := exports.Add(bytes); err != nil {
						t.Fatal(err)
					}
				}
			},
			"correct": func(t *rapid.T) {
				ids++
				periods := b.Periods()
				if len(periods) == 0 {
					return
				}
				c := Correction{ID: fmt.Sprint("c", ids), Reason: "r", Stand: "north", Period: rapid.SampledFrom(periods).Draw(t, "period").Name, Figures: Figures{0, 5}}
				rec, err := b.ProposeCorrection(c, now)
				if errors.Is(err, ErrPeriod) {
					return // the period has not begun: the clock stepped back
				}
				if err != nil {
					t.Fatal(err)
				}
				write(rec)
				if again, err := b.ProposeCorrection(c, now); again != nil || err != nil {
					t.Fatalf("repeated correction: %v, %v", again, err)
				}
				c.Figures[1]++
				if _, err := b.ProposeCorrection(c, now); !errors.Is(err, ErrConflict) {
					t.Fatalf("same ID, other content: %v", err)
				}
			},
			"gap": func(*rapid.T) {
				write(b.GapRecord(map[uint16]int64{1: 3}, now))
				lost += 3
			},
			"acknowledge": func(*rapid.T) {
				if s, ok := b.Next(); ok {
					if _, ok := b.ProposeAck(s.Seq+1, s.Hash); ok {
						t.Fatal("acknowledged a batch that was never sent")
					}
					rec, _ := b.ProposeAck(s.Seq, s.Hash)
					write(rec)
				}
			},
			"snapshot": func(*rapid.T) { log = [][]byte{b.Snapshot()} },
			"crash": func(*rapid.T) {
				before := b.Snapshot()
				b = NewBook("n1", ID{1}, p, start)
				for _, rec := range log {
					if err := b.Apply(rec); err != nil {
						t.Fatal(err)
					}
				}
				if diff := cmp.Diff(before, b.Snapshot()); diff != "" {
					t.Fatalf("replaying the records yields another state: %s", diff)
				}
				begin()
			},
			"": func(t *rapid.T) {
				s, err := b.Totals()
				sum, err2 := s.Sealed.Add(s.Waiting)
				if err != nil || err2 != nil || sum != s.Booked || s.Booked[Requests] != booked || s.Lost != lost {
					t.Fatalf("totals %+v, want %d requests and %d lost entries: %v %v", s, booked, lost, err, err2)
				}
				net := map[string]int64{}
				for _, p := range b.Periods() {
					statement, err := b.Statement(p.Name, math.MaxInt64)
					if err != nil {
						t.Fatal(err)
					}
					for _, h := range statement.Stands {
						net[h.Stand] += h.Used[Worth]
					}
					if text, _ := json.Marshal(statement); b.StateOf(p, now) == Closed {
						if before := closed[p.Name]; before != "" && before != string(text) {
							t.Fatalf("closed period %s changed:\n%s\n%s", p.Name, before, text)
						}
						closed[p.Name] = string(text)
					}
				}
				for stand, amount := range worth {
					if net[stand] != amount {
						t.Fatalf("%s: worth %d, want %d", stand, net[stand], amount)
					}
				}
			},
		})
		for b.Waits() || b.closedThrough > b.announcedThrough {
			rec, bytes := b.ProposeSeal(now)
			write(rec)
			exports.Add(bytes)
		}
		f := exports.Reconcile()
		for _, c := range f.Chains {
			if !c.Sound() || c.Requests != booked {
				t.Fatalf("chain %+v, %d requests recorded", c, booked)
			}
		}
		for _, p := range f.Periods() {
			own, err := b.Statement(p.Name, math.MaxInt64)
			fleet, err2 := f.Statement(p.Name, Expect{Gone: []string{"n1"}})
			if err != nil || err2 != nil {
				t.Fatal(err, err2)
			}
			own.State, fleet.State = "", ""
			if diff := cmp.Diff(own, fleet); diff != "" {
				t.Fatalf("statement of %s (-ledger +exports):\n%s", p.Name, diff)
			}
		}
	})
}

// Periods are adjacent and each is found by its name. The hour that repeats when daylight saving time ends has two
// names.
func TestPeriods(t *testing.T) {
	for _, zone := range []string{"Asia/Kolkata", "Europe/Berlin", "Australia/Lord_Howe"} {
		for _, kind := range []string{"hour", "day", "week", "month"} {
			c := testPolicy(t, kind, zone).Calendar
			rapid.Check(t, func(t *rapid.T) {
				at := rapid.Int64Range(start-2*365*24*hour, start+2*365*24*hour).Draw(t, "at")
				p := c.At(at)
				byName, ok := c.Named(p.Name)
				if next := c.At(p.End); at < p.Start || at >= p.End || next.Start != p.End || next.Name == p.Name || !ok || byName != p ||
					c.At(p.Start) != p || c.At(p.End-1) != p {
					t.Fatalf("%s %s at %d: %+v, next %+v, by name %+v", zone, kind, at, p, next, byName)
				}
			})
		}
	}
	for kind, want := range map[string]string{"hour": "2026-12-01T15+0530", "day": "2026-12-01", "week": "2026-W49", "month": "2026-12"} {
		if p := testPolicy(t, kind, "Asia/Kolkata").Calendar.At(start); p.Name != want {
			t.Errorf("%s: %+v", kind, p)
		}
	}
	for _, bad := range [][2]string{{"year", "Asia/Kolkata"}, {"day", ""}, {"day", "Local"}, {"day", "Bengal"}} {
		if _, err := NewCalendar(bad[0], bad[1]); err == nil {
			t.Errorf("%v: no error", bad)
		}
	}
	c := testPolicy(t, "week", "Asia/Kolkata").Calendar
	for _, bad := range []string{"", "2026", "2026-W00", "2026-W54", "2025-W53", "2026-W4", "x-Wy"} {
		if p, ok := c.Named(bad); ok {
			t.Errorf("%q: %+v", bad, p)
		}
	}
}

// A step of the clock is followed once it has lasted for a minute; one that is reversed earlier has no effect.
func TestClockSteps(t *testing.T) {
	type reading struct {
		since time.Duration
		off   time.Duration // offset of the wall clock
		want  time.Duration // offset of the Clock afterwards
		step  bool
	}
	for name, readings := range map[string][]reading{
		"small":   {{0, 0, 0, false}, {time.Second, time.Second, time.Second, false}, {2 * time.Second, 2 * time.Second, 2 * time.Second, false}},
		"forward": {{0, 0, 0, false}, {time.Second, time.Hour, 0, false}, {60 * time.Second, time.Hour, 0, false}, {61 * time.Second, time.Hour, time.Hour, true}},
		"back":    {{0, 0, 0, false}, {time.Second, -time.Hour, 0, false}, {62 * time.Second, -time.Hour, -time.Hour, true}},
		"blip":    {{0, 0, 0, false}, {time.Second, time.Hour, 0, false}, {30 * time.Second, 0, 0, false}, {70 * time.Second, time.Hour, 0, false}},
		"two":     {{0, 0, 0, false}, {time.Second, time.Hour, 0, false}, {50 * time.Second, 2 * time.Hour, 0, false}, {70 * time.Second, 2 * time.Hour, 0, false}, {110 * time.Second, 2 * time.Hour, 2 * time.Hour, true}},
	} {
		var c Clock
		for i, r := range readings {
			step, ok := c.Observe(time.UnixMilli(start).Add(r.since+r.off), r.since)
			if got := time.Duration(c.Wall(r.since)-start)*time.Millisecond - r.since; got != r.want || ok != r.step {
				t.Errorf("%s %d: offset %v, step %v %v", name, i, got, step, ok)
			}
		}
	}
}

// The clock steps forward and back by more than an hour, across the end of a period. Entries are neither lost nor
// counted twice, and an entry of a period that was closed meanwhile is marked late.
func TestClockStepAcrossPeriodEnd(t *testing.T) {
	b := newTestBook(t)
	mustApply(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
	mustApply(t, b, b.ProposeClose(start+2*hour), nil) // the clock is ahead by more than an hour
	mustApply(t, b, EntriesRecord([]Entry{entry(start+2000, 1, ServedInAim), entry(start+2*hour, 1, ServedInAim)}), nil)
	first, _ := b.Statement("2026-12-01T15+0530", start+2*hour)
	if first.Total.Used[Requests] != 1 || first.State != "closed" {
		t.Errorf("closed period: %+v", first)
	}
	var late, all int64
	for _, p := range b.Periods() {
		statement, _ := b.Statement(p.Name, start+3*hour)
		for _, row := range statement.Rows {
			all += row.Figures[Requests]
			if row.Late {
				late += row.Figures[Requests]
			}
		}
	}
	if late != 1 || all != 3 {
		t.Errorf("%d entries late of %d, want 1 of 3", late, all)
	}
}

// A ledger with the maximum number of cells refuses entries that need another cell, and accepts those of existing
// cells.
func TestCellLimit(t *testing.T) {
	b := newTestBook(t)
	b.policy.MaxCells = 3
	for i := range int64(10) {
		err := b.Enter(entry(start+i*hour, 1, ServedInAim))
		if again := b.Enter(entry(start+i*hour, 1, ServedInAim)); (i < 3) != (err == nil && again == nil) || i >= 3 && !errors.Is(err, ErrFull) {
			t.Errorf("%d: %v, %v", i, err, again)
		}
	}
	if s, err := b.Totals(); err != nil || s.Booked[Requests] != 6 || s.Waiting != s.Booked {
		t.Errorf("%+v, %v", s, err)
	}
}

// A correction of a closed period goes into the open one and names the closed one. Invalid corrections change nothing.
func TestCorrections(t *testing.T) {
	b := newTestBook(t)
	mustApply(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
	correction := Correction{ID: "a", Reason: "meter", Period: "2026-12-01T15+0530", Stand: "north", Figures: Figures{0, -100}}
	rec, err := b.ProposeCorrection(correction, start+2000)
	mustApply(t, b, rec, err)
	mustApply(t, b, b.ProposeClose(start+2*hour), nil)
	correction.ID = "b"
	rec, err = b.ProposeCorrection(correction, start+2*hour)
	mustApply(t, b, rec, err)
	closed, _ := b.Statement("2026-12-01T15+0530", start+2*hour)
	open, _ := b.Statement("2026-12-01T17+0530", start+2*hour)
	if closed.Total.Net[Worth] != 3_000_000-100 || len(open.Adjustments) != 1 || !open.Adjustments[0].Carried() ||
		open.Adjustments[0].Concerns.Name != correction.Period || open.Total.Net[Worth] != -100 {
		t.Errorf("closed %+v\nopen %+v", closed, open)
	}
	for name, test := range map[string]struct {
		change func(*Correction)
		want   error
	}{
		"id":       {func(correction *Correction) { correction.ID = "" }, ErrBad},
		"long id":  {func(correction *Correction) { correction.ID = strings.Repeat("x", 65) }, ErrBad},
		"reason":   {func(correction *Correction) { correction.Reason = "a\nb" }, ErrBad},
		"nothing":  {func(correction *Correction) { correction.Figures = Figures{} }, ErrBad},
		"stand":    {func(correction *Correction) { correction.Stand = "west" }, ErrStand},
		"class":    {func(correction *Correction) { correction.Class = "tea" }, ErrClass},
		"period":   {func(correction *Correction) { correction.Period = "2026-13" }, ErrPeriod},
		"future":   {func(correction *Correction) { correction.Period = "2026-12-01T23+0530" }, ErrPeriod},
		"ancient":  {func(correction *Correction) { correction.Period = "2026-11-01T15+0530" }, ErrPeriod},
		"overflow": {func(correction *Correction) { correction.Figures[Worth] = math.MinInt64 }, ErrOverflow},
		"conflict": {func(correction *Correction) { correction.ID = "a" }, ErrConflict},
	} {
		changed := correction
		changed.ID, changed.Figures = "z", Figures{0, 1}
		test.change(&changed)
		before := b.Snapshot()
		if rec, err := b.ProposeCorrection(changed, start+2*hour); !errors.Is(err, test.want) || rec != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !cmp.Equal(before, b.Snapshot()) {
			t.Errorf("%s: the refused correction changed the state", name)
		}
	}
}

// An entry that makes a sum overflow 64 bits is refused and changes nothing.
func TestOverflowOfEntries(t *testing.T) {
	b := newTestBook(t)
	large := entry(start, 1, ServedInAim)
	large.Figures[Held] = math.MaxInt64 - 1
	if err := b.Enter(large); err != nil {
		t.Fatal(err)
	}
	before := b.Snapshot()
	if err := b.Enter(large); !errors.Is(err, ErrOverflow) || !cmp.Equal(before, b.Snapshot()) {
		t.Errorf("%v", err)
	}
}

// A start without a stop record before it makes the statement incomplete, unless no entry can be missing.
func TestUncleanStops(t *testing.T) {
	for _, test := range []struct {
		strict, boot, stop, complete bool
	}{{true, true, false, true}, {true, false, false, false}, {false, true, false, false}, {false, false, true, true}} {
		b := newTestBook(t)
		b.lastStart.Strict, b.lastStart.AtMost = test.strict, 9
		mustApply(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
		if test.stop {
			mustApply(t, b, b.Stop(start+2000), nil)
		}
		next := Start{At: start + 5000, Boot: "y"}
		if test.boot {
			next.Boot = "x"
		}
		mustApply(t, b, b.ProposeStart(next), nil)
		if statement, err := b.Statement("2026-12-01T15+0530", start+6000); err != nil || statement.Complete != test.complete || (len(statement.Why) == 0) != test.complete {
			t.Errorf("%+v: %+v, %v", test, statement, err)
		}
	}
}

// Exported batches reveal missing, duplicate, forked and broken ones. Batches that cannot be trusted are not counted.
func TestReconcile(t *testing.T) {
	b := newTestBook(t)
	twin := NewBook("n1", ID{1}, b.policy, start)
	var batches [][]byte
	for i := range int64(5) {
		mustApply(t, b, EntriesRecord([]Entry{entry(start+i*1000, uint16(1+i%2), ServedInAim), entry(start+i*1000, 1, Refused)}), nil)
		if i == 2 {
			mustApply(t, twin, b.Snapshot(), nil)
			mustApply(t, twin, twin.ProposeStart(Start{Nonce: 8, At: start}), nil)
		}
		batches = append(batches, sealBatch(t, b, start+i*60_000))
	}
	fork := sealBatch(t, twin, start+150_000)
	const name = "2026-12-01T15+0530"
	for label, test := range map[string]struct {
		files    [][]byte
		requests int64
		sound    bool
		why      string
	}{
		"complete, in any order": {[][]byte{batches[3], batches[0], batches[4], batches[2], batches[1]}, 10, true, ""},
		"doubled":                {slices.Concat(batches, batches[1:2]), 10, true, ""},
		"missing":                {slices.Concat(batches[:1], batches[3:]), 6, false, "n1: batches 2 to 3 are missing, with 4 requests"},
		"first missing":          {batches[1:], 8, false, "n1: batches 1 to 1 are missing, with 2 requests"},
		"forked":                 {slices.Concat(batches, [][]byte{fork}), 8, false, "n1: two incarnations claim batch 3"},
		"broken":                 {slices.Concat(batches[:2], [][]byte{fork}, batches[3:]), 8, false, "n1: batch 4 does not follow from the one before"},
	} {
		var exports Exports
		for _, fleet := range test.files {
			if err := exports.Add(fleet); err != nil {
				t.Fatal(err)
			}
		}
		fleet := exports.Reconcile()
		statement, err := fleet.Statement(name, Expect{Gone: []string{"n1"}})
		if err != nil || statement.Total.Used[Requests] != test.requests || fleet.Chains[0].Sound() != test.sound || statement.Complete != test.sound || test.why != "" && statement.Why[0] != test.why {
			t.Errorf("%s: %+v, %+v, %v", label, fleet.Chains[0], statement, err)
		}
		if statement, _ := fleet.Statement(name, Expect{Boxes: []string{"n2"}}); statement.Complete || len(statement.Why) < 2 {
			t.Errorf("%s: open period and no exports of n2: %v", label, statement.Why)
		}
	}
	if err := new(Exports).Add([]byte{0xa1, 0x01, 0x02}); !errors.Is(err, ErrNewer) {
		t.Errorf("batch of a newer version: %v", err)
	}
}

// A correction that was sent to two servers counts once. Another correction with the same ID is reported.
func TestCorrectionAtTwoServers(t *testing.T) {
	var e Exports
	for i, reason := range []string{"same", "same", "other"} {
		b := NewBook(fmt.Sprint("n", i), ID{byte(i)}, testPolicy(t, "hour", "Asia/Kolkata"), start)
		names, _ := b.ProposeNames([]string{"north"}, nil)
		mustApply(t, b, names, nil)
		rec, err := b.ProposeCorrection(Correction{ID: "a", Reason: reason, Period: "2026-12-01T15+0530", Stand: "north", Figures: Figures{0, 7}}, start)
		mustApply(t, b, rec, err)
		e.Add(sealBatch(t, b, start))
	}
	s, err := e.Reconcile().Statement("2026-12-01T15+0530", Expect{Gone: []string{"n0", "n1", "n2"}})
	if err != nil || s.Total.Net[Worth] != 7 || !cmp.Equal(s.Why, []string{"correction a is there with two contents"}) {
		t.Errorf("%+v, %v", s, err)
	}
}

// The parts of a sum add up to it for any use; ties go to the name that sorts first.
func TestApportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		use := rapid.MapOfN(rapid.StringMatching("[a-z]{1,3}"), rapid.Int64Range(0, math.MaxInt64/8), 1, 8).Draw(t, "use")
		shares := map[string]int64{}
		for s := range use {
			shares[s] = rapid.Int64Range(0, 125_000).Draw(t, "share")
		}
		paise := rapid.Int64Range(0, math.MaxInt64).Draw(t, "paise")
		parts, err := Apportion(paise, use, Tariff{Shares: shares, OverPerMille: rapid.Int64Range(1, 5000).Draw(t, "over")})
		if err != nil {
			if !errors.Is(err, ErrTariff) {
				t.Fatal(err)
			}
			return
		}
		sum := int64(0)
		for _, p := range parts {
			sum += p.Paise
			if p.Paise < 0 || p.Within+p.Over != use[p.Stand] {
				t.Fatalf("%+v", p)
			}
		}
		if sum != paise {
			t.Fatalf("the parts add up to %d, want %d", sum, paise)
		}
	})
	got, err := Apportion(100, map[string]int64{"c": 1, "a": 1, "b": 1}, Tariff{})
	if diff := cmp.Diff([]Part{{"a", 1, 0, 34}, {"b", 1, 0, 33}, {"c", 1, 0, 33}}, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	got, err = Apportion(1000, map[string]int64{"a": 80, "b": 20}, Tariff{Shares: map[string]int64{"a": 500_000, "b": 500_000}, OverPerMille: 2000})
	if diff := cmp.Diff([]Part{{"a", 50, 30, 846}, {"b", 20, 0, 154}}, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for _, bad := range []struct {
		paise int64
		use   map[string]int64
		t     Tariff
	}{{-1, map[string]int64{"a": 1}, Tariff{}}, {1, nil, Tariff{}}, {1, map[string]int64{"a": -1}, Tariff{}},
		{1, map[string]int64{"a": math.MaxInt64, "b": 1}, Tariff{}}, {1, map[string]int64{"a": 1}, Tariff{Shares: map[string]int64{"a": 2_000_000}}},
		{1, map[string]int64{"a": 1}, Tariff{Shares: map[string]int64{"b": 1_000_000}}}} {
		if got, err := Apportion(bad.paise, bad.use, bad.t); !errors.Is(err, ErrTariff) {
			t.Errorf("%+v: %v, %v", bad, got, err)
		}
	}
}

// Arbitrary bytes applied as a record or decoded as a batch cause no panic, and leave a state that can be saved.
func FuzzApply(f *testing.F) {
	b := newTestBook(f)
	f.Add(EntriesRecord([]Entry{entry(start, 1, ServedInAim)}))
	f.Add(b.Snapshot())
	f.Add(b.GapRecord(map[uint16]int64{1: 1}, start))
	mustApply(f, b, EntriesRecord([]Entry{entry(start, 1, ServedInAim)}), nil)
	rec, _ := b.ProposeSeal(start)
	f.Add(rec)
	f.Fuzz(func(t *testing.T, rec []byte) {
		b := newTestBook(t)
		b.Apply(rec)
		if len(rec) > 0 {
			DecodeBatch(rec[1:])
		}
		b.Snapshot()
	})
}
