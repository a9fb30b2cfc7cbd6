package ledgerstore

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

var discardLog = slog.New(slog.DiscardHandler)

func testOptions(mode, onFailure string) Options {
	o := Defaults()
	o.Dir, o.Mode, o.OnFailure, o.Period, o.SegmentKB, o.DiskKB, o.ExportMs = "-", mode, onFailure, "hour", 64, 1024, 5000
	return o
}

func testConfig(box string) Config {
	return Config{Server: box, Stands: []string{"north", "south"}, Classes: []string{"quote", "book"}, Boot: "x"}
}

// runInBubble runs one draw of a property in a synctest bubble of its own, because the property's own clock must be the
// real one.
func runInBubble(t *testing.T, f func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		f()
	})
	if failed != nil {
		panic(failed)
	}
}

// testStore is a ledger store that the test drives step by step, and the newest ticket that it confirmed to the core.
type testStore struct {
	*Store
	through uint64
}

func open(fs wal.FS, o Options) (*testStore, error) {
	k, err := Open(fs, o, testConfig("n1"), discardLog)
	if err != nil {
		return nil, err
	}
	b := &testStore{Store: k}
	k.Attach(func(e core.Event) { b.through = e.(core.LedgerWritten).Through }, k.began)
	return b, nil
}

func (b *testStore) record(tenant int) {
	now := time.Since(b.began)
	b.Record(core.Usage{Class: 1, Tenant: tenant, Began: now, Ended: now, Figures: ledger.Figures{1, 3, 100, 7, 0, 1, 1}})
}

// advance lets time pass and does the periodic work as Run would.
func (b *testStore) advance(d time.Duration) {
	for ; d > 0; d -= maintenanceInterval {
		time.Sleep(maintenanceInterval)
		b.write()
		b.maintain()
	}
}

// Checks under random disk faults and process ends that every entry confirmed as written is either recorded or
// counted as missing: recorded + missing lies between the confirmed and the used entries, and every recorded entry is
// in a sealed batch or waiting for one.
func TestKeeperAgainstFaults(t *testing.T) {
	for _, mode := range []string{Strict, Relaxed} {
		for _, onFailure := range []string{Refuse, RecordGap} {
			for _, syncMs := range []int{0, 1000} {
				t.Run(fmt.Sprint(mode, onFailure, syncMs), func(t *testing.T) {
					rapid.Check(t, func(r *rapid.T) { runInBubble(t, func() { checkUnderFaults(r, mode, onFailure, syncMs) }) })
				})
			}
		}
	}
}

func checkUnderFaults(t *rapid.T, mode, onFailure string, syncMs int) {
	opt := testOptions(mode, onFailure)
	opt.SyncMs = syncMs
	disk := faultfs.New(rapid.Uint64().Draw(t, "disk"))
	var store *testStore
	var used, confirmed int64 // over the whole life of the ledger, and up to the last confirmed ticket
	var before int64          // entries before this start
	var taken []string        // batch hashes that the collector has
	check := func() ledger.Totals {
		totals, err := store.ledger.Totals()
		sum, err2 := totals.Sealed.Add(totals.Waiting)
		if err != nil || err2 != nil || sum != totals.Booked {
			t.Fatalf("%+v: %v %v", totals, err, err2)
		}
		return totals
	}
	start := func() {
		var err error
		if store, err = open(disk, opt); err != nil {
			t.Fatal(err)
		}
		totals := check()
		got := totals.Booked[ledger.Requests] + totals.Lost
		if got < confirmed || got > used {
			t.Fatalf("%d recorded, %d missing: %d confirmed, %d used", totals.Booked[ledger.Requests], totals.Lost, confirmed, used)
		}
		before, used, confirmed = got, got, got
	}
	start()
	heal := func() { disk.FailWith(nil); disk.Room(-1) }
	t.Repeat(map[string]func(*rapid.T){
		"use": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				store.record(rapid.IntRange(-1, 1).Draw(t, "stand"))
				used++
			}
		},
		"write": func(*rapid.T) { store.write() },
		"pass":  func(t *rapid.T) { store.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second) },
		"hour":  func(*rapid.T) { time.Sleep(time.Hour); store.advance(time.Second) },
		"fail": func(t *rapid.T) {
			op := rapid.SampledFrom([]string{"write", "sync", "create", "rename", "patch", "syncdir", "remove"}).Draw(t, "op")
			every := rapid.IntRange(1, 3).Draw(t, "every")
			disk.FailWith(func(name string, n int) error {
				if name == op && n%every == 0 {
					return syscall.EIO
				}
				return nil
			})
		},
		"full": func(t *rapid.T) { disk.Room(int64(rapid.IntRange(0, 2000).Draw(t, "room"))) },
		"heal": func(*rapid.T) { heal() },
		"kill": func(*rapid.T) { disk.Kill(); heal(); start() },
		"power": func(*rapid.T) {
			if syncMs > 0 { // without a sync per group, confirmed entries may be lost in a power failure
				confirmed = 0
			}
			disk.CutPower()
			disk.Restart()
			start()
		},
		"end": func(*rapid.T) {
			heal()
			store.advance(5 * time.Second)
			store.shutDown()
			confirmed = used
			start()
		},
		"export": func(t *rapid.T) {
			batch, ok := store.ledger.Next()
			if !ok {
				return
			}
			bytes, err := store.wal.ReadAt(store.batchPositions[batch.Seq])
			if err != nil || ledger.SumOf(bytes) != batch.Hash {
				t.Fatalf("batch %d: %v", batch.Seq, err)
			}
			if len(taken) < int(batch.Seq) {
				taken = append(taken, batch.Hash.String())
			} else if taken[batch.Seq-1] != batch.Hash.String() {
				t.Fatalf("batch %d was sent with other bytes", batch.Seq)
			}
			if rec, ok := store.ledger.ProposeAck(batch.Seq, batch.Hash); ok && rapid.Bool().Draw(t, "acknowledged") {
				if _, err := store.commitRecord(rec); err == nil {
					delete(store.batchPositions, batch.Seq)
				}
			}
		},
		"": func(t *rapid.T) {
			if store.through > 0 && mode == Strict {
				confirmed = max(confirmed, before+int64(store.through))
			}
			check()
		},
	})
	heal()
	store.advance(10 * time.Second)
	totals := check()
	if got := totals.Booked[ledger.Requests] + totals.Lost; got != used {
		t.Fatalf("%d of %d", got, used)
	}
}

// Checks that nothing is lost when a full disk gets space again, and that a process that died meanwhile reports
// exactly the entries it could not write as missing.
func TestDiskFullThenSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, crashes := range []bool{false, true} {
			disk := faultfs.New(1)
			b, err := open(disk, testOptions(Strict, RecordGap))
			if err != nil {
				t.Fatal(err)
			}
			b.record(0)
			b.advance(time.Second)
			disk.Room(10)
			for range 5 {
				b.record(0)
				b.record(1)
				b.advance(time.Second)
			}
			if b.through != 11 || !b.Ready() {
				t.Errorf("confirmed %d, ready %v", b.through, b.Ready())
			}
			disk.Kill()
			disk.Room(-1)
			want := map[string]int64{"north": 6, "south": 5}
			missing := map[string]int64{}
			if crashes {
				if b, err = open(disk, testOptions(Strict, RecordGap)); err != nil {
					t.Fatal(err)
				}
				want, missing = map[string]int64{"north": 1}, map[string]int64{"north": 5, "south": 5}
			}
			b.advance(5 * time.Second)
			s, err := b.ledger.Statement(b.ledger.Periods()[0].Name, b.now())
			if err != nil || s.Complete == crashes {
				t.Errorf("%+v, %v", s, err)
			}
			for _, h := range s.Stands {
				if h.Used[ledger.Requests] != want[h.Stand] || h.Missing != missing[h.Stand] {
					t.Errorf("crash %v: %+v", crashes, h)
				}
			}
		}
	})
}

// Checks that with on_failure = refuse a disk that fails or does not respond stops new work, and that nothing is
// confirmed until a new segment is written.
func TestRefuseUntilWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New(1)
		b, err := open(disk, testOptions(Strict, Refuse))
		if err != nil {
			t.Fatal(err)
		}
		b.record(0) // the disk does not respond: nothing is written
		time.Sleep(time.Second)
		if b.Ready() {
			t.Error("ready, though an entry has waited for a second")
		}
		disk.FailWith(func(op string, _ int) error {
			if op == "sync" {
				return syscall.EIO
			}
			return nil
		})
		b.advance(5 * time.Second)
		if b.Ready() || b.through > 1 {
			t.Errorf("ready %v, confirmed %d", b.Ready(), b.through)
		}
		disk.FailWith(nil)
		b.advance(10 * time.Second)
		if !b.Ready() || b.through != 1 {
			t.Errorf("ready %v, confirmed %d", b.Ready(), b.through)
		}
	})
}

// Checks that entries beyond the queue's limit are summed instead of dropped while the disk does not respond.
func TestFullQueueSumsEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, err := open(faultfs.New(1), testOptions(Strict, RecordGap))
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 * maxQueuedEntries {
			b.record(i % 2)
		}
		if len(b.queue)+len(b.sparse)+len(b.denseUsed) > maxQueuedEntries+2 {
			t.Errorf("%d, %d and %d wait", len(b.queue), len(b.sparse), len(b.denseUsed))
		}
		b.advance(time.Second)
		if s, _ := b.ledger.Totals(); s.Booked[ledger.Requests] != 3*maxQueuedEntries || s.Booked[ledger.Worth] != 9*maxQueuedEntries {
			t.Errorf("%+v", s)
		}
	})
}

// Checks that the disk budget is kept with few rolls while the collector is unavailable for weeks, and that the
// collector gets complete periods once it is back.
func TestCollectorUnavailableWhilePeriodsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New(1)
		opt := testOptions(Strict, RecordGap)
		opt.SegmentKB, opt.DiskKB, opt.ExportMs = 64, 2048, 1000
		b, err := open(disk, opt)
		if err != nil {
			t.Fatal(err)
		}
		const n = 6000
		maxUsed, rolls, segment := 0, 0, uint32(0)
		for i := range n {
			b.record(i%3 - 1)
			time.Sleep(5 * time.Minute) // three weeks in all
			b.write()
			b.maintain()
			maxUsed = max(maxUsed, disk.Used())
			if b.wal.Segment() != segment {
				segment = b.wal.Segment()
				rolls++
			}
		}
		if maxUsed > opt.DiskKB<<10 {
			t.Errorf("%d KB on the disk", maxUsed>>10)
		}
		waiting := len(b.ledger.Pending())
		if waiting < 100 || rolls > 60 {
			t.Errorf("%d batches wait, %d rolls", waiting, rolls)
		}
		var exports ledger.Exports
		for range 2 * n { // the collector is back
			b.advance(time.Second)
			s, ok := b.ledger.Next()
			if !ok {
				break
			}
			bytes, err := b.wal.ReadAt(b.batchPositions[s.Seq])
			if err == nil {
				err = exports.Add(bytes)
			}
			rec, ok := b.ledger.ProposeAck(s.Seq, s.Hash)
			if err != nil || !ok {
				t.Fatal(err)
			}
			if _, err := b.commitRecord(rec); err != nil {
				t.Fatal(err)
			}
		}
		f := exports.Reconcile()
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

// Checks that a step of the wall clock by an hour, permanent or temporary, neither loses entries nor counts them
// twice, and that a permanent step is recorded in the batches.
func TestWallClockSteps(t *testing.T) {
	for name, x := range map[string]struct {
		by   time.Duration
		back bool // the step is undone after half a minute
	}{"forward": {time.Hour, false}, "back": {-time.Hour, false}, "forward for a moment": {time.Hour, true}, "back for a moment": {-time.Hour, true}} {
		synctest.Test(t, func(t *testing.T) {
			var off time.Duration
			s := testConfig("n1")
			s.Wall = func() time.Time { return time.Now().Add(off) }
			k, err := Open(faultfs.New(1), testOptions(Strict, RecordGap), s, discardLog)
			if err != nil {
				t.Fatal(err)
			}
			b := &testStore{Store: k}
			serve := func(d time.Duration) {
				for range int(d / time.Second) {
					b.record(0)
					b.advance(time.Second)
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
			b.advance(time.Minute)
			n, steps := int64(0), 0
			for _, p := range b.ledger.Periods() {
				st, err := b.ledger.Statement(p.Name, b.now()+7_200_000)
				if err != nil {
					t.Fatal(err)
				}
				n += st.Total.Used[ledger.Requests]
			}
			for _, s := range b.ledger.Pending() {
				bytes, err := b.wal.ReadAt(b.batchPositions[s.Seq])
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

// Checks that another kind of period, a smaller budget and other names at the next start change nothing that was
// recorded before.
func TestSettingsChangedBetweenStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New(1)
		opt := testOptions(Strict, RecordGap)
		b, err := open(disk, opt)
		if err != nil {
			t.Fatal(err)
		}
		b.record(0)
		b.advance(6 * time.Second) // sealed in a batch
		b.record(1)
		b.advance(time.Second)
		was, err := b.ledger.Statement(b.ledger.Periods()[0].Name, b.now())
		if err != nil {
			t.Fatal(err)
		}
		disk.Kill()
		opt.Period, opt.TimeZone = "day", "UTC"
		s := testConfig("n1")
		s.Stands = []string{"west", "south"}
		k, err := Open(disk, opt, s, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		now, err := k.ledger.Statement(was.Period.Name, k.now())
		if diff := cmp.Diff(was, now); diff != "" || err != nil {
			t.Errorf("%s %v", diff, err)
		}
		b = &testStore{Store: k}
		b.record(0)
		b.record(1)
		b.advance(6 * time.Second)
		total, day := b.ledger.Periods(), map[string]int64{}
		for _, p := range total {
			st, err := b.ledger.Statement(p.Name, b.now())
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

// Checks that a directory of another server, of a newer version, without its identity, or with damage is refused with
// an error and left unchanged.
func TestInvalidFilesRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := faultfs.New(2)
		if _, err := Open(other, testOptions(Relaxed, RecordGap), testConfig("n2"), discardLog); err != nil {
			t.Fatal(err)
		}
		for name, x := range map[string]struct {
			corrupt func(*faultfs.Disk)
			want    error
		}{
			"another server":  {func(disk *faultfs.Disk) { disk.Put(identityFileName, other.Bytes(identityFileName)) }, ErrOtherServer},
			"another segment": {func(disk *faultfs.Disk) { disk.Put("0000000001.wal", other.Bytes("0000000001.wal")) }, wal.ErrOtherOwner},
			"newer": {func(disk *faultfs.Disk) {
				disk.Put(identityFileName, []byte(`{"version":2,"box":"n1","ledger":"00000000000000000000000000000000"}`))
			}, ledger.ErrNewer},
			"no identity":   {func(disk *faultfs.Disk) { disk.Remove(identityFileName) }, nil},
			"torn identity": {func(disk *faultfs.Disk) { disk.Put(identityFileName, []byte("{")) }, nil},
			"damaged": {func(disk *faultfs.Disk) {
				b := disk.Bytes("0000000001.wal")
				b[60] ^= 1
				disk.Put("0000000001.wal", b)
			}, new(wal.DamageError)},
		} {
			disk := faultfs.New(1)
			b, err := open(disk, testOptions(Relaxed, RecordGap))
			if err != nil {
				t.Fatal(err)
			}
			b.record(0)
			b.advance(2 * time.Second)
			b.record(0)
			b.advance(2 * time.Second)
			b.shutDown()
			x.corrupt(disk)
			names, _ := disk.List()
			var damage *wal.DamageError
			_, err = open(disk, testOptions(Relaxed, RecordGap))
			if err == nil || x.want != nil && !errors.Is(err, x.want) && !errors.As(err, &damage) {
				t.Errorf("%s: %v", name, err)
			}
			if now, _ := disk.List(); !cmp.Equal(names, now) {
				t.Errorf("%s: %v, then %v", name, names, now)
			}
		}
	})
}

// Checks that a correction in the inbox is applied once and answered, even if its file is read again.
func TestInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New(1)
		b, err := open(disk, testOptions(Relaxed, RecordGap))
		if err != nil {
			t.Fatal(err)
		}
		c := ledger.Correction{ID: "c1", Reason: "meter", Period: b.opt.policy().Calendar.At(b.now()).Name, Stand: "north", Figures: ledger.Figures{0, 4}}
		bad := c
		bad.ID, bad.Stand = "c2", "west"
		for range 2 {
			for _, x := range []ledger.Correction{c, bad} {
				if err := SubmitCorrection(disk, x); err != nil {
					t.Fatal(err)
				}
			}
			disk.Put("zz"+correctionSuffix, []byte("{"))
			b.advance(time.Second)
			good, ok, err := ReadCorrectionResult(disk, "c1")
			refused, ok2, err2 := ReadCorrectionResult(disk, "c2")
			if !ok || !good.Booked || err != nil || !ok2 || refused.Booked || refused.Why != `unknown stand "west"` || err2 != nil {
				t.Errorf("%+v %v, %+v %v", good, err, refused, err2)
			}
		}
		s, _ := b.ledger.Statement(c.Period, b.now())
		if len(s.Adjustments) != 1 || s.Total.Net[ledger.Worth] != 4 {
			t.Errorf("%+v", s)
		}
		names, _ := disk.List()
		if slices.ContainsFunc(names, func(n string) bool { return n == "zz"+correctionSuffix }) {
			t.Error("an unreadable file was not removed")
		}
		read, _, err := ReadLedger(disk, testOptions(Relaxed, RecordGap))
		if err != nil || !cmp.Equal(read.Snapshot(), b.ledger.Snapshot()) {
			t.Errorf("read while the server runs: %v", err)
		}
	})
}

// Checks on a real directory that one process owns the lock and that Close leaves no entry unwritten.
func TestRunOnADirectory(t *testing.T) {
	disk := wal.Dir(t.TempDir())
	lock, err := disk.Lock()
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if _, err := disk.Lock(); !errors.Is(err, wal.ErrLocked) {
		t.Errorf("a second owner: %v", err)
	}
	k, err := Open(disk, testOptions(Strict, RecordGap), testConfig("n1"), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	confirmed := make(chan uint64, 10)
	k.Attach(func(e core.Event) { confirmed <- e.(core.LedgerWritten).Through }, k.began)
	go k.Run()
	b := &testStore{Store: k}
	b.record(0)
	k.Flush()
	if n := <-confirmed; n != 1 {
		t.Errorf("confirmed %d", n)
	}
	if s, err := k.Totals(context.Background()); err != nil || s.Booked[ledger.Requests] != 1 {
		t.Errorf("%+v, %v", s, err)
	}
	b.record(1)
	if err := k.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Totals(context.Background()); !errors.Is(err, ErrClosed) {
		t.Errorf("%v", err)
	}
	book, _, err := ReadLedger(disk, testOptions(Strict, RecordGap))
	if s, _ := book.Totals(); err != nil || s.Booked[ledger.Requests] != 2 {
		t.Errorf("%+v, %v", s, err)
	}
}

func FuzzOutage(f *testing.F) {
	o := outage{count: 1, segment: 2, lsn: 3, at: 4, first: map[uint16]int64{1: 2}, later: map[uint16]int64{0: 9}}
	f.Add(o.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, ok := decodeOutage(b); ok && len(got.first)+len(got.later) < maxSlotPairs {
			if _, ok := decodeOutage(got.encode()); !ok {
				t.Error("what was read cannot be written")
			}
		}
	})
}
