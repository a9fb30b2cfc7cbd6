package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"larchscale/internal/core"
	"larchscale/internal/faultfs"
	"larchscale/internal/ledger"
	_ "larchscale/internal/scenario/fixed"
	"larchscale/internal/wal"
)

var quiet = slog.New(slog.DiscardHandler)

func options(mode, onFailure string) Options {
	o := Defaults()
	o.Dir, o.Mode, o.OnFailure, o.Period, o.SegmentKB, o.DiskKB, o.ExportMs = "-", mode, onFailure, "hour", 64, 1024, 5000
	return o
}

func site(box string) Site {
	return Site{Box: box, Stands: []string{"north", "south"}, Classes: []string{"quote", "book"}, Boot: "x"}
}

// inBubble runs one draw of a property in a bubble of its own, as a property's own clock must be the real one.
func inBubble(t *testing.T, f func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		f()
	})
	if failed != nil {
		panic(failed)
	}
}

// box is a keeper driven step by step, and what it told the core.
type box struct {
	*Keeper
	through uint64
}

func open(fs wal.FS, o Options) (*box, error) {
	k, err := Open(fs, o, site("n1"), quiet)
	if err != nil {
		return nil, err
	}
	b := &box{Keeper: k}
	k.Attach(func(e core.Event) { b.through = e.(core.Booked).Through }, k.began)
	return b, nil
}

func (b *box) use(tenant int) {
	at := time.Since(b.began)
	b.Book(core.Use{Class: 1, Tenant: tenant, Began: at, Ended: at, Figures: ledger.Figures{1, 3, 100, 7, 0, 1, 1}})
}

// pass lets time go by as Run would.
func (b *box) pass(d time.Duration) {
	for ; d > 0; d -= choresEach {
		time.Sleep(choresEach)
		b.write()
		b.doChores()
	}
}

// What was told to be written is booked or named as missing after any end of the process, whatever the disk
// does, and never anything else: booked + missing lies between what was told and what was used, and nothing
// waits but what the book says.
func TestKeeperAgainstFaults(t *testing.T) {
	for _, mode := range []string{Strict, Relaxed} {
		for _, onFailure := range []string{Refuse, Gap} {
			for _, syncMs := range []int{0, 1000} {
				t.Run(fmt.Sprint(mode, onFailure, syncMs), func(t *testing.T) {
					rapid.Check(t, func(r *rapid.T) { inBubble(t, func() { faults(r, mode, onFailure, syncMs) }) })
				})
			}
		}
	}
}

func faults(t *rapid.T, mode, onFailure string, syncMs int) {
	o := options(mode, onFailure)
	o.SyncMs = syncMs
	d := faultfs.New(rapid.Uint64().Draw(t, "disk"))
	var b *box
	var used, told int64 // of the whole life, and up to the last ticket told
	var before int64     // used before this start
	var taken []string   // hashes, as a collector keeps them
	check := func() ledger.Totals {
		s, err := b.book.Totals()
		sum, err2 := s.Sealed.Add(s.Waiting)
		if err != nil || err2 != nil || sum != s.Booked {
			t.Fatalf("%+v: %v %v", s, err, err2)
		}
		return s
	}
	start := func() {
		var err error
		if b, err = open(d, o); err != nil {
			t.Fatal(err)
		}
		s := check()
		got := s.Booked[ledger.Requests] + s.Lost
		if got < told || got > used {
			t.Fatalf("%d booked, %d missing: told %d, used %d", s.Booked[ledger.Requests], s.Lost, told, used)
		}
		before, used, told = got, got, got
	}
	start()
	heal := func() { d.FailWith(nil); d.Room(-1) }
	t.Repeat(map[string]func(*rapid.T){
		"use": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				b.use(rapid.IntRange(-1, 1).Draw(t, "stand"))
				used++
			}
		},
		"write": func(*rapid.T) { b.write() },
		"pass":  func(t *rapid.T) { b.pass(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second) },
		"hour":  func(*rapid.T) { time.Sleep(time.Hour); b.pass(time.Second) },
		"fail": func(t *rapid.T) {
			op := rapid.SampledFrom([]string{"write", "sync", "create", "rename", "patch", "syncdir", "remove"}).Draw(t, "op")
			every := rapid.IntRange(1, 3).Draw(t, "every")
			d.FailWith(func(o string, n int) error {
				if o == op && n%every == 0 {
					return syscall.EIO
				}
				return nil
			})
		},
		"full": func(t *rapid.T) { d.Room(int64(rapid.IntRange(0, 2000).Draw(t, "room"))) },
		"heal": func(*rapid.T) { heal() },
		"kill": func(*rapid.T) { d.Kill(); heal(); start() },
		"power": func(*rapid.T) {
			if syncMs > 0 { // what was told may be lost with the power, and is not promised
				told = 0
			}
			d.CutPower()
			d.Restart()
			start()
		},
		"end": func(*rapid.T) {
			heal()
			b.pass(5 * time.Second)
			b.end()
			told = used
			start()
		},
		"export": func(t *rapid.T) {
			s, ok := b.book.Next()
			if !ok {
				return
			}
			bytes, err := b.wal.ReadAt(b.batches[s.Seq])
			if err != nil || ledger.SumOf(bytes) != s.Hash {
				t.Fatalf("batch %d: %v", s.Seq, err)
			}
			if len(taken) < int(s.Seq) {
				taken = append(taken, s.Hash.String())
			} else if taken[s.Seq-1] != s.Hash.String() {
				t.Fatalf("batch %d was sent with other bytes", s.Seq)
			}
			if rec, ok := b.book.ProposeAck(s.Seq, s.Hash); ok && rapid.Bool().Draw(t, "acknowledged") {
				if _, err := b.promise(rec); err == nil {
					delete(b.batches, s.Seq)
				}
			}
		},
		"": func(t *rapid.T) {
			if b.through > 0 && mode == Strict {
				told = max(told, before+int64(b.through))
			}
			check()
		},
	})
	heal()
	b.pass(10 * time.Second)
	s := check()
	if got := s.Booked[ledger.Requests] + s.Lost; got != used {
		t.Fatalf("%d of %d", got, used)
	}
}

// A disk that is full and has space again loses nothing; what a box that died meanwhile had not written is
// named to the entry.
func TestDiskFullThenSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, dies := range []bool{false, true} {
			d := faultfs.New(1)
			b, err := open(d, options(Strict, Gap))
			if err != nil {
				t.Fatal(err)
			}
			b.use(0)
			b.pass(time.Second)
			d.Room(10)
			for range 5 {
				b.use(0)
				b.use(1)
				b.pass(time.Second)
			}
			if b.through != 11 || !b.Ready() {
				t.Errorf("told %d, ready %v", b.through, b.Ready())
			}
			d.Kill()
			d.Room(-1)
			want := map[string]int64{"north": 6, "south": 5}
			missing := map[string]int64{}
			if dies {
				if b, err = open(d, options(Strict, Gap)); err != nil {
					t.Fatal(err)
				}
				want, missing = map[string]int64{"north": 1}, map[string]int64{"north": 5, "south": 5}
			}
			b.pass(5 * time.Second)
			s, err := b.book.Statement(b.book.Periods()[0].Name, b.now())
			if err != nil || s.Complete == dies {
				t.Errorf("%+v, %v", s, err)
			}
			for _, h := range s.Stands {
				if h.Used[ledger.Requests] != want[h.Stand] || h.Missing != missing[h.Stand] {
					t.Errorf("dies %v: %+v", dies, h)
				}
			}
		}
	})
}

// With on_failure = refuse, a disk that fails or does not answer stops new work, and nothing is told until a
// new segment stands.
func TestRefuseUntilWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := faultfs.New(1)
		b, err := open(d, options(Strict, Refuse))
		if err != nil {
			t.Fatal(err)
		}
		b.use(0) // and the disk does not answer: nothing is written
		time.Sleep(time.Second)
		if b.Ready() {
			t.Error("ready, though an entry has waited for a second")
		}
		d.FailWith(func(op string, _ int) error {
			if op == "sync" {
				return syscall.EIO
			}
			return nil
		})
		b.pass(5 * time.Second)
		if b.Ready() || b.through > 1 {
			t.Errorf("ready %v, told %d", b.Ready(), b.through)
		}
		d.FailWith(nil)
		b.pass(10 * time.Second)
		if !b.Ready() || b.through != 1 {
			t.Errorf("ready %v, told %d", b.Ready(), b.through)
		}
	})
}

// Entries that find no room while a disk does not answer are summed, not dropped.
func TestQueueFoldsBeyondItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, err := open(faultfs.New(1), options(Strict, Gap))
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 * maxQueue {
			b.use(i % 2)
		}
		if len(b.queue)+len(b.folded)+len(b.used) > maxQueue+2 {
			t.Errorf("%d, %d and %d wait", len(b.queue), len(b.folded), len(b.used))
		}
		b.pass(time.Second)
		if s, _ := b.book.Totals(); s.Booked[ledger.Requests] != 3*maxQueue || s.Booked[ledger.Worth] != 9*maxQueue {
			t.Errorf("%+v", s)
		}
	})
}

// With the collector away for weeks the disk's bound is kept, in rolls that are no more than they must be, and
// nothing is missing from what it gets in the end: periods that closed meanwhile are whole.
func TestCollectorAwayWhilePeriodsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := faultfs.New(1)
		o := options(Strict, Gap)
		o.SegmentKB, o.DiskKB, o.ExportMs = 64, 2048, 1000
		b, err := open(d, o)
		if err != nil {
			t.Fatal(err)
		}
		const n = 6000
		most, rolls, segment := 0, 0, uint32(0)
		for i := range n {
			b.use(i%3 - 1)
			time.Sleep(5 * time.Minute) // three weeks in all
			b.write()
			b.doChores()
			most = max(most, d.Used())
			if b.wal.Segment() != segment {
				segment = b.wal.Segment()
				rolls++
			}
		}
		if most > o.DiskKB<<10 {
			t.Errorf("%d KB on the disk", most>>10)
		}
		waiting := len(b.book.Pending())
		if waiting < 100 || rolls > 60 {
			t.Errorf("%d batches wait, %d rolls", waiting, rolls)
		}
		var x ledger.Exports
		for range 2 * n { // the collector is back
			b.pass(time.Second)
			s, ok := b.book.Next()
			if !ok {
				break
			}
			bytes, err := b.wal.ReadAt(b.batches[s.Seq])
			if err == nil {
				err = x.Add(bytes)
			}
			rec, ok := b.book.ProposeAck(s.Seq, s.Hash)
			if err != nil || !ok {
				t.Fatal(err)
			}
			if _, err := b.promise(rec); err != nil {
				t.Fatal(err)
			}
		}
		f := x.Reconcile()
		closed, all := 0, int64(0)
		for _, p := range f.Periods() {
			s, err := f.Statement(p.Name, ledger.Expect{})
			if err != nil {
				t.Fatal(err)
			}
			all += s.Total.Used[ledger.Requests]
			if s.Complete {
				closed++
			}
		}
		if all != n || closed < 490 {
			t.Errorf("%d of %d, %d periods closed", all, n, closed)
		}
	})
}

// The wall clock steps by an hour, for good or for a moment: nothing is lost or counted twice, and a step for good
// is in the log and the batches.
func TestWallClockSteps(t *testing.T) {
	for name, x := range map[string]struct {
		by   time.Duration
		back bool // it is taken back after half a minute
	}{"forward": {time.Hour, false}, "back": {-time.Hour, false}, "forward for a moment": {time.Hour, true}, "back for a moment": {-time.Hour, true}} {
		synctest.Test(t, func(t *testing.T) {
			var off time.Duration
			s := site("n1")
			s.Wall = func() time.Time { return time.Now().Add(off) }
			k, err := Open(faultfs.New(1), options(Strict, Gap), s, quiet)
			if err != nil {
				t.Fatal(err)
			}
			b := &box{Keeper: k}
			serve := func(d time.Duration) {
				for range int(d / time.Second) {
					b.use(0)
					b.pass(time.Second)
				}
			}
			serve(time.Minute)
			before := b.now()
			off = x.by
			serve(30 * time.Second)
			if got := b.now() - before; got < 29_000 || got > 32_000 {
				t.Errorf("%s: %d ms passed at once", name, got)
			}
			if x.back {
				off = 0
			}
			serve(3 * time.Minute)
			want := int64(210_000)
			if !x.back {
				want += x.by.Milliseconds()
			}
			if got := b.now() - before; got < want-2000 || got > want+2000 {
				t.Errorf("%s: %d ms passed, not %d", name, got, want)
			}
			b.pass(time.Minute)
			n, steps := int64(0), 0
			for _, p := range b.book.Periods() {
				st, err := b.book.Statement(p.Name, b.now()+7_200_000)
				if err != nil {
					t.Fatal(err)
				}
				n += st.Total.Used[ledger.Requests]
			}
			for _, s := range b.book.Pending() {
				bytes, err := b.wal.ReadAt(b.batches[s.Seq])
				if err != nil {
					t.Fatal(err)
				}
				batch, err := ledger.DecodeBatch(bytes)
				if err != nil {
					t.Fatal(err)
				}
				steps += len(batch.Steps)
			}
			if n != 270 || steps != map[bool]int{false: 1, true: 0}[x.back] {
				t.Errorf("%s: %d requests, %d steps", name, n, steps)
			}
		})
	}
}

// Another kind of period, less room and other names between two starts change nothing of what was booked.
func TestOtherSettingsAtTheNextStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := faultfs.New(1)
		o := options(Strict, Gap)
		b, err := open(d, o)
		if err != nil {
			t.Fatal(err)
		}
		b.use(0)
		b.pass(6 * time.Second) // into a batch
		b.use(1)
		b.pass(time.Second)
		was, err := b.book.Statement(b.book.Periods()[0].Name, b.now())
		if err != nil {
			t.Fatal(err)
		}
		d.Kill()
		o.Period, o.Zone = "day", "UTC"
		s := site("n1")
		s.Stands = []string{"west", "south"}
		k, err := Open(d, o, s, quiet)
		if err != nil {
			t.Fatal(err)
		}
		now, err := k.book.Statement(was.Period.Name, k.now())
		if diff := cmp.Diff(was, now); diff != "" || err != nil {
			t.Errorf("%s %v", diff, err)
		}
		b = &box{Keeper: k}
		b.use(0)
		b.use(1)
		b.pass(6 * time.Second)
		total, day := b.book.Periods(), map[string]int64{}
		for _, p := range total {
			st, err := b.book.Statement(p.Name, b.now())
			if err != nil {
				t.Fatal(err)
			}
			for _, h := range st.Stands {
				day[h.Stand] += h.Used[ledger.Requests]
			}
		}
		if !cmp.Equal(day, map[string]int64{"north": 1, "south": 2, "west": 1}) {
			t.Errorf("%v", day)
		}
	})
}

// A directory of another box, of a later version, without its identity, or damaged is refused with a clear
// word, and left as it was.
func TestFilesThatCannotBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := faultfs.New(2)
		if _, err := Open(other, options(Relaxed, Gap), site("n2"), quiet); err != nil {
			t.Fatal(err)
		}
		for name, x := range map[string]struct {
			spoil func(*faultfs.Disk)
			want  error
		}{
			"another box":     {func(d *faultfs.Disk) { d.Put(identityName, other.Bytes(identityName)) }, ErrForeign},
			"another segment": {func(d *faultfs.Disk) { d.Put("0000000001.wal", other.Bytes("0000000001.wal")) }, wal.ErrForeign},
			"newer": {func(d *faultfs.Disk) {
				d.Put(identityName, []byte(`{"version":2,"box":"n1","ledger":"00000000000000000000000000000000"}`))
			}, ledger.ErrNewer},
			"no identity":   {func(d *faultfs.Disk) { d.Remove(identityName) }, nil},
			"torn identity": {func(d *faultfs.Disk) { d.Put(identityName, []byte("{")) }, nil},
			"damaged": {func(d *faultfs.Disk) {
				b := d.Bytes("0000000001.wal")
				b[60] ^= 1
				d.Put("0000000001.wal", b)
			}, new(wal.DamageError)},
		} {
			d := faultfs.New(1)
			b, err := open(d, options(Relaxed, Gap))
			if err != nil {
				t.Fatal(err)
			}
			b.use(0)
			b.pass(2 * time.Second)
			b.use(0)
			b.pass(2 * time.Second)
			b.end()
			x.spoil(d)
			names, _ := d.List()
			var damage *wal.DamageError
			_, err = open(d, options(Relaxed, Gap))
			if err == nil || x.want != nil && !errors.Is(err, x.want) && !errors.As(err, &damage) {
				t.Errorf("%s: %v", name, err)
			}
			if now, _ := d.List(); !cmp.Equal(names, now) {
				t.Errorf("%s: %v, then %v", name, names, now)
			}
		}
	})
}

// A correction left in the inbox is booked once and answered, also when its file is read again.
func TestInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := faultfs.New(1)
		b, err := open(d, options(Relaxed, Gap))
		if err != nil {
			t.Fatal(err)
		}
		c := ledger.Correction{ID: "c1", Reason: "meter", Period: b.opt.policy().Calendar.At(b.now()).Name, Stand: "north", Figures: ledger.Figures{0, 4}}
		bad := c
		bad.ID, bad.Stand = "c2", "west"
		for range 2 {
			for _, x := range []ledger.Correction{c, bad} {
				if err := Submit(d, x); err != nil {
					t.Fatal(err)
				}
			}
			d.Put("zz"+inEnding, []byte("{"))
			b.pass(time.Second)
			good, ok, err := Answered(d, "c1")
			refused, ok2, err2 := Answered(d, "c2")
			if !ok || !good.Booked || err != nil || !ok2 || refused.Booked || refused.Why != `unknown stand "west"` || err2 != nil {
				t.Errorf("%+v %v, %+v %v", good, err, refused, err2)
			}
		}
		s, _ := b.book.Statement(c.Period, b.now())
		if len(s.Adjustments) != 1 || s.Total.Net[ledger.Worth] != 4 {
			t.Errorf("%+v", s)
		}
		names, _ := d.List()
		if slices.ContainsFunc(names, func(n string) bool { return n == "zz"+inEnding }) {
			t.Error("a file that cannot be read stays")
		}
		read, _, err := Read(d, options(Relaxed, Gap))
		if err != nil || !cmp.Equal(read.Snapshot(), b.book.Snapshot()) {
			t.Errorf("read beside the box: %v", err)
		}
	})
}

// On a real directory: one process owns it, and the end of Run leaves nothing to be missed.
func TestRunOnADirectory(t *testing.T) {
	d := wal.Dir(t.TempDir())
	lock, err := d.Lock()
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if _, err := d.Lock(); !errors.Is(err, wal.ErrLocked) {
		t.Errorf("a second owner: %v", err)
	}
	k, err := Open(d, options(Strict, Gap), site("n1"), quiet)
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan uint64, 10)
	k.Attach(func(e core.Event) { told <- e.(core.Booked).Through }, k.began)
	go k.Run()
	b := &box{Keeper: k}
	b.use(0)
	k.Flush()
	if n := <-told; n != 1 {
		t.Errorf("told %d", n)
	}
	if s, err := k.Totals(context.Background()); err != nil || s.Booked[ledger.Requests] != 1 {
		t.Errorf("%+v, %v", s, err)
	}
	b.use(1)
	if err := k.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Totals(context.Background()); !errors.Is(err, ErrClosed) {
		t.Errorf("%v", err)
	}
	book, _, err := Read(d, options(Strict, Gap))
	if s, _ := book.Totals(); err != nil || s.Booked[ledger.Requests] != 2 {
		t.Errorf("%+v, %v", s, err)
	}
}

func FuzzOutage(f *testing.F) {
	o := outage{count: 1, segment: 2, lsn: 3, at: 4, first: map[uint16]int64{1: 2}, later: map[uint16]int64{0: 9}}
	f.Add(o.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, ok := decodeOutage(b); ok && len(got.first)+len(got.later) < maxPairs {
			if _, ok := decodeOutage(got.encode()); !ok {
				t.Error("what was read cannot be written")
			}
		}
	})
}
