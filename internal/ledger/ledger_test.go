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

func policy(t testing.TB, kind, zone string) Policy {
	t.Helper()
	c, err := NewCalendar(kind, zone)
	if err != nil {
		t.Fatal(err)
	}
	return Policy{Calendar: c, Grace: 60_000, Keep: 3, ExportEvery: 60_000, MaxPending: 1 << 20, MaxCells: 10_000}
}

func book(t testing.TB) *Book {
	t.Helper()
	b := NewBook("n1", ID{1}, policy(t, "hour", "Asia/Kolkata"), start)
	names, err := b.ProposeNames([]string{"", "north", "south"}, []string{"quote", "book"})
	apply1(t, b, names, err)
	apply1(t, b, b.ProposeStart(Start{Nonce: 7, At: start, Boot: "x", Strict: true}), nil)
	return b
}

func apply1(t testing.TB, b *Book, rec []byte, err error) {
	t.Helper()
	if err == nil {
		err = b.Apply(rec)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func entry(at int64, stand uint16, end End) Entry {
	return Entry{Began: at - 500, Ended: at, Stand: stand, Class: 1, End: end, Figures: Figures{1, 3_000_000, 250_000, 12_345, 2, 100, 200}}
}

func seal(t testing.TB, b *Book, now int64) []byte {
	t.Helper()
	rec, bytes := b.ProposeSeal(now)
	apply1(t, b, rec, nil)
	return bytes
}

// What is booked is in batches or waits, at every step, whatever crashes, steps and corrections come between;
// a closed period's figures never change; batches alone give the statement that the box gives.
func TestBookAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cal, _ := NewCalendar(rapid.SampledFrom([]string{"hour", "day"}).Draw(t, "kind"), "Asia/Kolkata")
		p := Policy{Calendar: cal, Grace: 60_000, Keep: 1000, ExportEvery: 600_000, MaxPending: 20_000, MaxCells: 10_000}
		b := NewBook("n1", ID{1}, p, start)
		var log [][]byte // since the newest snapshot
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
				ps := b.Periods()
				if len(ps) == 0 {
					return
				}
				c := Correction{ID: fmt.Sprint("c", ids), Reason: "r", Stand: "north", Period: rapid.SampledFrom(ps).Draw(t, "period").Name, Figures: Figures{0, 5}}
				rec, err := b.ProposeCorrection(c, now)
				if errors.Is(err, ErrPeriod) {
					return // it has not begun yet: the clock stepped back
				}
				if err != nil {
					t.Fatal(err)
				}
				write(rec)
				if again, err := b.ProposeCorrection(c, now); again != nil || err != nil {
					t.Fatalf("twice: %v, %v", again, err)
				}
				c.Figures[1]++
				if _, err := b.ProposeCorrection(c, now); !errors.Is(err, ErrConflict) {
					t.Fatalf("other content: %v", err)
				}
			},
			"gap": func(*rapid.T) {
				write(b.GapRecord(map[uint16]int64{1: 3}, now))
				lost += 3
			},
			"acknowledge": func(*rapid.T) {
				if s, ok := b.Next(); ok {
					if _, ok := b.ProposeAck(s.Seq+1, s.Hash); ok {
						t.Fatal("a batch that was never sent is acknowledged")
					}
					rec, _ := b.ProposeAck(s.Seq, s.Hash)
					write(rec)
				}
			},
			"snapshot": func(*rapid.T) { log = [][]byte{b.Snapshot()} },
			"crash": func(*rapid.T) {
				was := b.Snapshot()
				b = NewBook("n1", ID{1}, p, start)
				for _, rec := range log {
					if err := b.Apply(rec); err != nil {
						t.Fatal(err)
					}
				}
				if diff := cmp.Diff(was, b.Snapshot()); diff != "" {
					t.Fatalf("the records give another book: %s", diff)
				}
				begin()
			},
			"": func(t *rapid.T) {
				s, err := b.Totals()
				sum, err2 := s.Sealed.Add(s.Waiting)
				if err != nil || err2 != nil || sum != s.Booked || s.Booked[Requests] != booked || s.Lost != lost {
					t.Fatalf("%+v, model %d and %d lost: %v %v", s, booked, lost, err, err2)
				}
				net := map[string]int64{}
				for _, p := range b.Periods() {
					st, err := b.Statement(p.Name, math.MaxInt64)
					if err != nil {
						t.Fatal(err)
					}
					for _, h := range st.Stands {
						net[h.Stand] += h.Used[Worth]
					}
					if text, _ := json.Marshal(st); b.StateOf(p, now) == Closed {
						if had := closed[p.Name]; had != "" && had != string(text) {
							t.Fatalf("closed %s changed:\n%s\n%s", p.Name, had, text)
						}
						closed[p.Name] = string(text)
					}
				}
				for stand, w := range worth {
					if net[stand] != w {
						t.Fatalf("%s: %d of %d", stand, net[stand], w)
					}
				}
			},
		})
		for b.Waits() || b.closed > b.told {
			rec, bytes := b.ProposeSeal(now)
			write(rec)
			exports.Add(bytes)
		}
		f := exports.Reconcile()
		for _, c := range f.Chains {
			if !c.Sound() || c.Requests != booked {
				t.Fatalf("%+v, booked %d", c, booked)
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
				t.Fatalf("%s: box -, fleet +\n%s", p.Name, diff)
			}
		}
	})
}

// Periods tile time, each names itself, and the hour that comes twice in autumn has two names.
func TestPeriods(t *testing.T) {
	for _, zone := range []string{"Asia/Kolkata", "Europe/Berlin", "Australia/Lord_Howe"} {
		for _, kind := range []string{"hour", "day", "week", "month"} {
			c := policy(t, kind, zone).Calendar
			rapid.Check(t, func(t *rapid.T) {
				at := rapid.Int64Range(start-2*365*24*hour, start+2*365*24*hour).Draw(t, "at")
				p := c.At(at)
				again, ok := c.Named(p.Name)
				if next := c.At(p.End); at < p.Start || at >= p.End || next.Start != p.End || next.Name == p.Name || !ok || again != p ||
					c.At(p.Start) != p || c.At(p.End-1) != p {
					t.Fatalf("%s %s at %d: %+v, then %+v; by name %+v", zone, kind, at, p, next, again)
				}
			})
		}
	}
	for kind, want := range map[string]string{"hour": "2026-12-01T15+0530", "day": "2026-12-01", "week": "2026-W49", "month": "2026-12"} {
		if p := policy(t, kind, "Asia/Kolkata").Calendar.At(start); p.Name != want {
			t.Errorf("%s: %+v", kind, p)
		}
	}
	for _, bad := range [][2]string{{"year", "Asia/Kolkata"}, {"day", ""}, {"day", "Local"}, {"day", "Bengal"}} {
		if _, err := NewCalendar(bad[0], bad[1]); err == nil {
			t.Errorf("%v: no error", bad)
		}
	}
	c := policy(t, "week", "Asia/Kolkata").Calendar
	for _, bad := range []string{"", "2026", "2026-W00", "2026-W54", "2025-W53", "2026-W4", "x-Wy"} {
		if p, ok := c.Named(bad); ok {
			t.Errorf("%q: %+v", bad, p)
		}
	}
}

// A step of the clock counts once it has stood for a minute; one that is taken back never did.
func TestClockSteps(t *testing.T) {
	type reading struct {
		since time.Duration
		off   time.Duration // of the wall clock
		want  time.Duration // what the clock is off by then
		step  bool
	}
	for name, list := range map[string][]reading{
		"small":   {{0, 0, 0, false}, {time.Second, time.Second, time.Second, false}, {2 * time.Second, 2 * time.Second, 2 * time.Second, false}},
		"forward": {{0, 0, 0, false}, {time.Second, time.Hour, 0, false}, {60 * time.Second, time.Hour, 0, false}, {61 * time.Second, time.Hour, time.Hour, true}},
		"back":    {{0, 0, 0, false}, {time.Second, -time.Hour, 0, false}, {62 * time.Second, -time.Hour, -time.Hour, true}},
		"blip":    {{0, 0, 0, false}, {time.Second, time.Hour, 0, false}, {30 * time.Second, 0, 0, false}, {70 * time.Second, time.Hour, 0, false}},
		"two":     {{0, 0, 0, false}, {time.Second, time.Hour, 0, false}, {50 * time.Second, 2 * time.Hour, 0, false}, {70 * time.Second, 2 * time.Hour, 0, false}, {110 * time.Second, 2 * time.Hour, 2 * time.Hour, true}},
	} {
		var c Clock
		for i, r := range list {
			step, ok := c.Observe(time.UnixMilli(start).Add(r.since+r.off), r.since)
			if got := time.Duration(c.Wall(r.since)-start)*time.Millisecond - r.since; got != r.want || ok != r.step {
				t.Errorf("%s %d: off by %v, step %v %v", name, i, got, step, ok)
			}
		}
	}
}

// An hour's step of the clock, each way, over the bound of a period: nothing is counted twice or lost, and what
// comes for a closed period is marked.
func TestClockStepOverABound(t *testing.T) {
	b := book(t)
	apply1(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
	apply1(t, b, b.ProposeClose(start+2*hour), nil) // an hour and more ahead
	apply1(t, b, EntriesRecord([]Entry{entry(start+2000, 1, ServedInAim), entry(start+2*hour, 1, ServedInAim)}), nil)
	first, _ := b.Statement("2026-12-01T15+0530", start+2*hour)
	if first.Total.Used[Requests] != 1 || first.State != "closed" {
		t.Errorf("closed: %+v", first)
	}
	var late, all int64
	for _, p := range b.Periods() {
		s, _ := b.Statement(p.Name, start+3*hour)
		for _, r := range s.Rows {
			all += r.Figures[Requests]
			if r.Late {
				late += r.Figures[Requests]
			}
		}
	}
	if late != 1 || all != 3 {
		t.Errorf("late %d of %d", late, all)
	}
}

// A book that nobody takes batches from refuses what needs another sum, and goes on with those it has.
func TestFullBook(t *testing.T) {
	b := book(t)
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

// A correction after the close is carried into the open period and names the closed one.
func TestCorrections(t *testing.T) {
	b := book(t)
	apply1(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
	c := Correction{ID: "a", Reason: "meter", Period: "2026-12-01T15+0530", Stand: "north", Figures: Figures{0, -100}}
	rec, err := b.ProposeCorrection(c, start+2000)
	apply1(t, b, rec, err)
	apply1(t, b, b.ProposeClose(start+2*hour), nil)
	c.ID = "b"
	rec, err = b.ProposeCorrection(c, start+2*hour)
	apply1(t, b, rec, err)
	s, _ := b.Statement("2026-12-01T15+0530", start+2*hour)
	open, _ := b.Statement("2026-12-01T17+0530", start+2*hour)
	if s.Total.Net[Worth] != 3_000_000-100 || len(open.Adjustments) != 1 || !open.Adjustments[0].Carried() ||
		open.Adjustments[0].Concerns.Name != c.Period || open.Total.Net[Worth] != -100 {
		t.Errorf("closed %+v\nopen %+v", s, open)
	}
	for name, x := range map[string]struct {
		change func(*Correction)
		want   error
	}{
		"id":       {func(c *Correction) { c.ID = "" }, ErrBad},
		"long id":  {func(c *Correction) { c.ID = strings.Repeat("x", 65) }, ErrBad},
		"reason":   {func(c *Correction) { c.Reason = "a\nb" }, ErrBad},
		"nothing":  {func(c *Correction) { c.Figures = Figures{} }, ErrBad},
		"stand":    {func(c *Correction) { c.Stand = "west" }, ErrStand},
		"class":    {func(c *Correction) { c.Class = "tea" }, ErrClass},
		"period":   {func(c *Correction) { c.Period = "2026-13" }, ErrPeriod},
		"future":   {func(c *Correction) { c.Period = "2026-12-01T23+0530" }, ErrPeriod},
		"ancient":  {func(c *Correction) { c.Period = "2026-11-01T15+0530" }, ErrPeriod},
		"overflow": {func(c *Correction) { c.Figures[Worth] = math.MinInt64 }, ErrOverflow},
		"conflict": {func(c *Correction) { c.ID = "a" }, ErrConflict},
	} {
		y := c
		y.ID, y.Figures = "z", Figures{0, 1}
		x.change(&y)
		was := b.Snapshot()
		if rec, err := b.ProposeCorrection(y, start+2*hour); !errors.Is(err, x.want) || rec != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !cmp.Equal(was, b.Snapshot()) {
			t.Errorf("%s: half applied", name)
		}
	}
}

// Sums that leave 64 bits are refused whole.
func TestOverflowOfEntries(t *testing.T) {
	b := book(t)
	e := entry(start, 1, ServedInAim)
	e.Figures[Held] = math.MaxInt64 - 1
	if err := b.Enter(e); err != nil {
		t.Fatal(err)
	}
	was := b.Snapshot()
	if err := b.Enter(e); !errors.Is(err, ErrOverflow) || !cmp.Equal(was, b.Snapshot()) {
		t.Errorf("%v", err)
	}
}

// An incarnation that ended without notice makes the statement incomplete, unless nothing can be missing.
func TestUncleanEnds(t *testing.T) {
	for _, x := range []struct {
		strict, boot, stop, complete bool
	}{{true, true, false, true}, {true, false, false, false}, {false, true, false, false}, {false, false, true, true}} {
		b := book(t)
		b.start.Strict, b.start.AtMost = x.strict, 9
		apply1(t, b, EntriesRecord([]Entry{entry(start+1000, 1, ServedInAim)}), nil)
		if x.stop {
			apply1(t, b, b.Stop(start+2000), nil)
		}
		next := Start{At: start + 5000, Boot: "y"}
		if x.boot {
			next.Boot = "x"
		}
		apply1(t, b, b.ProposeStart(next), nil)
		if s, err := b.Statement("2026-12-01T15+0530", start+6000); err != nil || s.Complete != x.complete || (len(s.Why) == 0) != x.complete {
			t.Errorf("%+v: %+v, %v", x, s, err)
		}
	}
}

// Exports alone show what is missing, doubled, forked and broken; what cannot be trusted is not counted.
func TestReconcile(t *testing.T) {
	b := book(t)
	twin := NewBook("n1", ID{1}, b.policy, start)
	var list [][]byte
	for i := range int64(5) {
		apply1(t, b, EntriesRecord([]Entry{entry(start+i*1000, uint16(1+i%2), ServedInAim), entry(start+i*1000, 1, Refused)}), nil)
		if i == 2 {
			apply1(t, twin, b.Snapshot(), nil)
			apply1(t, twin, twin.ProposeStart(Start{Nonce: 8, At: start}), nil)
		}
		list = append(list, seal(t, b, start+i*60_000))
	}
	fork := seal(t, twin, start+150_000)
	const name = "2026-12-01T15+0530"
	for label, x := range map[string]struct {
		files    [][]byte
		requests int64
		sound    bool
		why      string
	}{
		"whole, in any order": {[][]byte{list[3], list[0], list[4], list[2], list[1]}, 10, true, ""},
		"doubled":             {slices.Concat(list, list[1:2]), 10, true, ""},
		"missing":             {slices.Concat(list[:1], list[3:]), 6, false, "n1: batches 2 to 3 are missing, with 4 requests"},
		"first missing":       {list[1:], 8, false, "n1: batches 1 to 1 are missing, with 2 requests"},
		"forked":              {slices.Concat(list, [][]byte{fork}), 8, false, "n1: two incarnations claim batch 3"},
		"broken":              {slices.Concat(list[:2], [][]byte{fork}, list[3:]), 8, false, "n1: batch 4 does not follow from the one before"},
	} {
		var e Exports
		for _, f := range x.files {
			if err := e.Add(f); err != nil {
				t.Fatal(err)
			}
		}
		f := e.Reconcile()
		s, err := f.Statement(name, Expect{Gone: []string{"n1"}})
		if err != nil || s.Total.Used[Requests] != x.requests || f.Chains[0].Sound() != x.sound || s.Complete != x.sound || x.why != "" && s.Why[0] != x.why {
			t.Errorf("%s: %+v, %+v, %v", label, f.Chains[0], s, err)
		}
		if s, _ := f.Statement(name, Expect{Boxes: []string{"n2"}}); s.Complete || len(s.Why) < 2 {
			t.Errorf("%s: open and without n2: %v", label, s.Why)
		}
	}
	if err := new(Exports).Add([]byte{0xa1, 0x01, 0x02}); !errors.Is(err, ErrNewer) {
		t.Errorf("newer: %v", err)
	}
}

// The same correction sent to two boxes counts once over the fleet.
func TestCorrectionAtTwoBoxes(t *testing.T) {
	var e Exports
	for i, reason := range []string{"same", "same", "other"} {
		b := NewBook(fmt.Sprint("n", i), ID{byte(i)}, policy(t, "hour", "Asia/Kolkata"), start)
		names, _ := b.ProposeNames([]string{"north"}, nil)
		apply1(t, b, names, nil)
		rec, err := b.ProposeCorrection(Correction{ID: "a", Reason: reason, Period: "2026-12-01T15+0530", Stand: "north", Figures: Figures{0, 7}}, start)
		apply1(t, b, rec, err)
		e.Add(seal(t, b, start))
	}
	s, err := e.Reconcile().Statement("2026-12-01T15+0530", Expect{Gone: []string{"n0", "n1", "n2"}})
	if err != nil || s.Total.Net[Worth] != 7 || !cmp.Equal(s.Why, []string{"correction a is there with two contents"}) {
		t.Errorf("%+v, %v", s, err)
	}
}

// The parts of a sum add up to it, whatever the use; ties go by name.
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
			t.Fatalf("%d of %d", sum, paise)
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

// Whatever the bytes of a record or batch are, they are taken whole or refused, without a panic.
func FuzzApply(f *testing.F) {
	b := book(f)
	f.Add(EntriesRecord([]Entry{entry(start, 1, ServedInAim)}))
	f.Add(b.Snapshot())
	f.Add(b.GapRecord(map[uint16]int64{1: 1}, start))
	apply1(f, b, EntriesRecord([]Entry{entry(start, 1, ServedInAim)}), nil)
	rec, _ := b.ProposeSeal(start)
	f.Add(rec)
	f.Fuzz(func(t *testing.T, rec []byte) {
		b := book(t)
		b.Apply(rec)
		if len(rec) > 0 {
			DecodeBatch(rec[1:])
		}
		b.Snapshot()
	})
}
