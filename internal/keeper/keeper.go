package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"larchscale/internal/core"
	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

const (
	maxQueue   = 4096                   // entries that wait to be written one by one; beyond, they are summed
	stalled    = 500 * time.Millisecond // an entry that waits longer shows a disk that does not answer
	spacing    = 100 * time.Microsecond // between two groups in strict mode: under load they grow instead
	maxDense   = 8192                   // cells of one quarter that have a place each
	tellEach   = time.Minute            // between two lines of totals
	choresEach = 250 * time.Millisecond
	quarter    = 900_000 // ms: entries that are summed lie in one quarter of an hour, and so in one period
)

// ErrClosed is a keeper that has ended.
var ErrClosed = errors.New("the ledger is closed")

// Keeper owns the book and its log. Book, Flush and Ready are the core's; all else goes to its own goroutine.
type Keeper struct {
	opt        Options
	fs         wal.FS
	log        *slog.Logger
	sink       func(core.Event)
	tenants    []uint16 // stand by the core's tenant
	classes    []uint16
	none       uint16 // requests of no stand
	classCount int    // classes that the book knows
	began      time.Time
	start      time.Duration // the core's start, since began
	wall       func() time.Time
	offset     atomic.Int64 // wall clock less the time since began, in ns
	failing    atomic.Bool
	runs       atomic.Bool

	mu      sync.Mutex
	queue   []ledger.Entry
	dense   []ledger.Entry            // sums of one quarter, by stand, class, end and replay
	used    []int                     // places in dense that hold something
	denseAt int64                     // the quarter
	folded  map[foldKey]*ledger.Entry // sums that have no place there
	ticket  uint64
	waits   int       // entries in both
	oldest  time.Time // of them

	wake  chan struct{}
	calls chan func()
	once  sync.Once
	stop  chan struct{}
	ended chan struct{}

	// Of the goroutine of Run alone.
	book    *ledger.Book
	wal     *wal.Log
	clock   ledger.Clock
	spare   []ledger.Entry
	wrote   time.Time // the newest group
	through uint64    // tickets that are in the book
	batches map[uint64]wal.Position
	moved   chan struct{} // a batch was sealed
	chores  time.Time
	told    time.Time // the newest line of totals
	synced  time.Time
	down    *outage // nil = the log can be written
	slots   uint64  // writings of the outage slot
	retry   *backoff.ExponentialBackOff
	retryAt time.Time
}

type foldKey struct {
	stand, class uint16
	end          ledger.End
	replay       bool
	quarter      int64
}

// Site is what a keeper is told of its box.
type Site struct {
	Box             string
	Stands, Classes []string         // in the order of the core's numbers
	Boot            string           // of the machine
	Wall            func() time.Time // nil = time.Now
}

// Open opens the ledger in fs, or begins one, and writes the start of this incarnation. What cannot be is an
// error: another box's files, a later version's, damage. The keeper works once Run does.
func Open(fs wal.FS, opt Options, site Site, log *slog.Logger) (*Keeper, error) {
	k := &Keeper{opt: opt, fs: fs, log: log, began: time.Now(), wall: site.Wall, wake: make(chan struct{}, 1), calls: make(chan func()),
		stop: make(chan struct{}), ended: make(chan struct{}), batches: map[uint64]wal.Position{}, moved: make(chan struct{}, 1),
		folded: map[foldKey]*ledger.Entry{}, sink: func(core.Event) {}}
	if k.wall == nil {
		k.wall = time.Now
	}
	k.retry = backoff.NewExponentialBackOff()
	k.retry.InitialInterval, k.retry.MaxInterval = 100*time.Millisecond, 2*time.Second
	k.observe()
	id, err := identity(fs, site.Box)
	if err != nil {
		return nil, err
	}
	now := k.now()
	k.book = ledger.NewBook(site.Box, id, opt.policy(), now)
	cut, err := k.read(id)
	if err != nil {
		return nil, err
	}
	if err := k.begin(site, now); err != nil {
		return nil, err
	}
	if cut != nil {
		log.Warn("ledger", "do", "recover", "cut_file", cut.File, "cut_at", cut.Offset, "cut_bytes", cut.Bytes)
	}
	return k, nil
}

// read brings the book to where the log ends.
func (k *Keeper) read(id ledger.ID) (*wal.Cut, error) {
	l, got, err := wal.Open(wal.Options{FS: k.fs, Owner: owner(k.book.Box, id), Segment: int64(k.opt.SegmentKB) << 10},
		func(lsn uint64, at wal.Position, rec []byte) error {
			if err := replay(k.book, k.batches, at, rec); err != nil {
				return fmt.Errorf("record %d: %w", lsn, err)
			}
			return nil
		})
	k.wal = l
	return got.Cut, err
}

// replay applies a record that was read, and notes where a batch's bytes are.
func replay(b *ledger.Book, batches map[uint64]wal.Position, at wal.Position, rec []byte) error {
	if err := b.Apply(rec); err != nil {
		return err
	}
	if bytes, ok := ledger.SealedBatch(rec); ok {
		h := ledger.SumOf(bytes)
		for _, s := range b.Pending() {
			if s.Hash == h {
				batches[s.Seq] = wal.Position{Segment: at.Segment, Offset: at.Offset + 1, Size: at.Size - 1}
			}
		}
	}
	return nil
}

// begin writes the start of an incarnation in a new segment, with what an earlier one left missing.
func (k *Keeper) begin(site Site, now int64) error {
	k.book.SetPolicy(k.opt.policy())
	names, err := k.book.ProposeNames(append([]string{""}, site.Stands...), site.Classes)
	if err != nil {
		return err
	}
	if names != nil {
		if err := k.book.Apply(names); err != nil {
			return err
		}
	}
	stands, classes := k.book.Names()
	if n := stands * classes * int(ledger.Ends) * 2; n <= maxDense {
		k.dense = make([]ledger.Entry, n)
	}
	k.classCount = classes
	k.none, _ = k.book.Stand("")
	for _, n := range site.Stands {
		s, _ := k.book.Stand(n)
		k.tenants = append(k.tenants, s)
	}
	for _, n := range site.Classes {
		c, _ := k.book.Class(n)
		k.classes = append(k.classes, c)
	}
	o := readOutage(k.fs)
	if k.slots = o.count; o.segment != 0 && o.segment == k.wal.Segment() {
		lost := o.later
		if k.wal.Next() <= o.lsn {
			for stand, n := range o.first {
				lost[stand] += n
			}
		}
		if len(lost) > 0 {
			if err := k.book.Apply(k.book.GapRecord(lost, o.at)); err != nil {
				return err
			}
			k.log.Warn("ledger", "do", "recover", "missing", sum(lost))
		}
	}
	if err := makeSlot(k.fs); err != nil {
		return err
	}
	start := k.book.ProposeStart(ledger.Start{Nonce: rand.Uint64(), At: now, Boot: site.Boot, Strict: k.opt.Mode == Strict, AtMost: maxQueue})
	if err := k.book.Apply(start); err != nil {
		return err
	}
	err = k.roll()
	if err != nil && k.opt.OnFailure == Gap {
		k.fail(k.wal.Next(), err)
		return nil
	}
	return err
}

func sum(m map[uint16]int64) (n int64) {
	for _, x := range m {
		n += x
	}
	return n
}

// Attach names who hears that entries are written, and from when on the times of entries count. It is called
// before Run.
func (k *Keeper) Attach(sink func(core.Event), start time.Time) {
	k.sink, k.start = sink, start.Sub(k.began)
}

// observe reads the wall clock.
func (k *Keeper) observe() (ledger.Step, bool) {
	since := time.Since(k.began)
	step, ok := k.clock.Observe(k.wall(), since)
	k.offset.Store(k.clock.Wall(since)*int64(time.Millisecond) - int64(since))
	return step, ok
}

// now is the time by the ledger's clock, in Unix milliseconds.
func (k *Keeper) now() int64 {
	return (int64(time.Since(k.began)) + k.offset.Load()) / int64(time.Millisecond)
}

// Book implements core.Booker.
func (k *Keeper) Book(u core.Use) uint64 {
	at := int64(k.start) + k.offset.Load()
	e := ledger.Entry{Began: (int64(u.Began) + at) / 1e6, Ended: (int64(u.Ended) + at) / 1e6, Stand: k.none, Class: k.classes[u.Class], End: u.End, Replay: u.Replay, Figures: u.Figures}
	if u.Tenant >= 0 {
		e.Stand = k.tenants[u.Tenant]
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waits == 0 {
		k.oldest = time.Now()
	}
	k.waits++
	if k.ticket++; k.opt.Mode == Strict && len(k.queue) < maxQueue {
		k.queue = append(k.queue, e)
	} else {
		k.fold(e)
	}
	return k.ticket
}

// fold sums entries that need not be written one by one: in relaxed mode all, in strict mode those that find no
// room. Guards against memory that grows with a disk that does not answer.
func (k *Keeper) fold(e ledger.Entry) {
	q := e.Began / quarter
	if q != k.denseAt && len(k.used) == 0 {
		k.denseAt = q
	}
	var have *ledger.Entry
	if q == k.denseAt && len(k.dense) > 0 {
		i := ((int(e.Stand)*k.classCount+int(e.Class))*int(ledger.Ends) + int(e.End)) * 2
		if e.Replay {
			i++
		}
		if have = &k.dense[i]; have.Figures[ledger.Requests] == 0 && have.Ended == 0 {
			k.used = append(k.used, i)
			*have = e
			have.Began = q * quarter
			return
		}
	} else {
		key := foldKey{e.Stand, e.Class, e.End, e.Replay, q}
		if have = k.folded[key]; have == nil {
			first := e
			first.Began = q * quarter
			k.folded[key] = &first
			return
		}
	}
	have.Ended = max(have.Ended, e.Ended)
	have.Figures, _ = have.Figures.Add(e.Figures) // a quarter of an hour is far from the bounds
}

// unfold takes the sums out, and adds them to list.
func (k *Keeper) unfold(list []ledger.Entry) []ledger.Entry {
	for _, i := range k.used {
		list = append(list, k.dense[i])
		k.dense[i] = ledger.Entry{}
	}
	k.used = k.used[:0]
	for _, e := range k.folded {
		list = append(list, *e)
	}
	clear(k.folded)
	return list
}

// Flush implements core.Booker. In relaxed mode entries wait for the next regular writing.
func (k *Keeper) Flush() {
	if k.opt.Mode == Relaxed {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Ready implements core.Booker: with on_failure = refuse a disk that fails or does not answer stops new work.
func (k *Keeper) Ready() bool {
	if k.opt.OnFailure == Gap {
		return true
	}
	if k.failing.Load() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waits == 0 || time.Since(k.oldest) < stalled+k.opt.ms(k.opt.WriteMs)
}

// Strict implements core.Booker.
func (k *Keeper) Strict() bool { return k.opt.Mode == Strict }

// Overdue implements core.Booker.
func (k *Keeper) Overdue() bool { return k.opt.OnFailure == Gap }

// Run writes until Close. It runs once.
func (k *Keeper) Run() {
	if k.runs.Swap(true) {
		return
	}
	defer close(k.ended)
	tick := time.NewTicker(min(k.opt.ms(k.opt.WriteMs), k.opt.ms(k.opt.ExportMs), choresEach))
	defer tick.Stop()
	for {
		select {
		case <-k.wake:
			if gap := spacing - time.Since(k.wrote); gap > 0 && gap <= spacing {
				time.Sleep(gap)
			}
		case <-tick.C:
		case f := <-k.calls:
			f()
		case <-k.stop:
			k.end()
			return
		}
		k.write()
		k.doChores()
	}
}

// Close writes what is left and ends the incarnation, also of a keeper that never ran. It waits no longer than ctx:
// the disk may not answer.
func (k *Keeper) Close(ctx context.Context) error {
	k.once.Do(func() { close(k.stop) })
	go k.Run()
	select {
	case <-k.ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("ledger: %w", ctx.Err())
	}
}

func (k *Keeper) end() {
	k.write()
	if k.down != nil && k.roll() != nil {
		return
	}
	k.put(k.book.Stop(k.now()), true)
	k.wal.Close()
}

// write puts all that waits into the book and the log, as one group.
func (k *Keeper) write() {
	k.wrote = time.Now()
	k.mu.Lock()
	list, through := k.unfold(k.queue), k.ticket
	k.queue, k.spare, k.waits = k.spare[:0], list, 0
	k.mu.Unlock()
	if len(list) == 0 {
		return
	}
	kept := list[:0]
	for _, e := range list {
		if err := k.book.Enter(e); err != nil { // the book is full, or a sum too large: the rest goes on
			k.log.Error("ledger", "do", "enter", "err", err)
			k.note(k.book.GapRecord(map[uint16]int64{e.Stand: e.Figures[ledger.Requests]}, e.Ended))
			continue
		}
		kept = append(kept, e)
	}
	k.through = through
	if len(kept) == 0 {
		return
	}
	written := k.down == nil && k.put(ledger.EntriesRecord(kept), k.opt.SyncMs == 0) == nil
	if !written {
		counts := map[uint16]int64{}
		for _, e := range kept {
			counts[e.Stand] += e.Figures[ledger.Requests]
		}
		written = k.tellMissing(counts)
	}
	if written && k.opt.Mode == Strict {
		k.sink(core.Booked{Through: through})
	}
}

// tellMissing says in the outage slot what would be missing if the box died now.
func (k *Keeper) tellMissing(counts map[uint16]int64) bool {
	k.down.add(counts, len(k.down.first) == 0)
	if k.opt.OnFailure != Gap {
		return false
	}
	k.down.count, k.down.at = k.slots, k.now()
	err := k.down.write(k.fs)
	k.slots = k.down.count
	return err == nil
}

// put writes a record, and has it on the disk if sync is set; an error begins an outage.
func (k *Keeper) put(rec []byte, sync bool) error {
	_, err := k.putAt(rec, sync)
	return err
}

func (k *Keeper) putAt(rec []byte, sync bool) (wal.Position, error) {
	lsn := k.wal.Next()
	at, err := k.wal.Append(rec)
	if err == nil && sync {
		err = k.wal.Sync()
		k.synced = time.Now()
	}
	if err != nil {
		k.fail(lsn, err)
		return wal.Position{}, err
	}
	return at[0], nil
}

// fail begins an outage: the book goes on in memory until a new segment with all of it can be written.
func (k *Keeper) fail(lsn uint64, err error) {
	if k.down != nil {
		return
	}
	k.down = &outage{segment: k.wal.Segment(), lsn: lsn}
	k.failing.Store(true)
	k.retry.Reset()
	k.retryAt = time.Now().Add(k.retry.NextBackOff())
	k.log.Error("ledger", "do", "write", "on_failure", k.opt.OnFailure, "err", err)
}

// note applies a record of the keeper's own and writes it; one that cannot be written is in the next segment.
func (k *Keeper) note(rec []byte) {
	if err := k.book.Apply(rec); err != nil {
		k.log.Error("ledger", "do", "apply", "err", err)
		return
	}
	if k.down == nil {
		k.put(rec, false)
	}
}

// promise writes a record so that it is on the disk, and only then applies it.
func (k *Keeper) promise(rec []byte) (wal.Position, error) {
	if k.down != nil {
		return wal.Position{}, k.wal.Failed()
	}
	at, err := k.putAt(rec, true)
	if err != nil {
		return at, err
	}
	if err := k.book.Apply(rec); err != nil { // it was proposed to this book
		k.log.Error("ledger", "do", "apply", "err", err)
		return wal.Position{}, err
	}
	return at, nil
}

// roll begins a new segment with the book and the batches that wait.
func (k *Keeper) roll() error {
	keep := [][]byte{k.book.Snapshot()}
	pending := k.book.Pending()
	for _, s := range pending {
		bytes, err := k.wal.ReadAt(k.batches[s.Seq])
		if err != nil {
			return fmt.Errorf("batch %d: %w", s.Seq, err)
		}
		keep = append(keep, ledger.KeptRecord(bytes))
	}
	at, err := k.wal.Roll(keep...)
	if err != nil {
		return err
	}
	clear(k.batches)
	for i, s := range pending {
		p := at[i+1]
		k.batches[s.Seq] = wal.Position{Segment: p.Segment, Offset: p.Offset + 1, Size: p.Size - 1}
	}
	k.synced = time.Now()
	if k.down != nil {
		k.log.Info("ledger", "do", "written again", "entries", sum(k.down.first)+sum(k.down.later))
		k.down = nil
		k.failing.Store(false)
		if k.opt.Mode == Strict {
			k.sink(core.Booked{Through: k.through})
		}
	}
	return nil
}

// doChores does what time brings: the clock, periods, batches, the segment's size, a failed log.
func (k *Keeper) doChores() {
	now := time.Now()
	if k.down != nil && !now.Before(k.retryAt) {
		if err := k.roll(); err != nil {
			k.retryAt = time.Now().Add(k.retry.NextBackOff())
		}
	}
	if now.Sub(k.chores) < min(choresEach, k.opt.ms(k.opt.ExportMs)) {
		return
	}
	k.chores = now
	if step, ok := k.observe(); ok {
		k.log.Warn("ledger", "do", "clock", "step_ms", step.By)
		k.note(k.book.StepRecord(step))
	}
	at := k.now()
	if rec := k.book.ProposeClose(at); rec != nil {
		k.note(rec)
	}
	k.inbox(at)
	if now.Sub(k.told) >= tellEach {
		k.told = now
		k.tell()
	}
	if k.down != nil {
		return
	}
	if k.book.SealDue(at) {
		k.seal(at)
	}
	if k.down == nil && k.wal.Full() {
		if err := k.roll(); err != nil {
			k.fail(k.wal.Next(), err)
		}
	}
	if k.down == nil && now.Sub(k.synced) >= k.opt.ms(k.opt.SyncMs) {
		if k.synced = now; k.wal.Sync() != nil {
			k.fail(k.wal.Next(), k.wal.Failed())
		}
	}
}

// tell logs the ledger's metrics.
func (k *Keeper) tell() {
	t, err := k.book.Totals()
	if err != nil {
		k.log.Error("ledger", "do", "totals", "err", err)
		return
	}
	k.log.Info("ledger", "do", "totals", "booked", t.Booked[ledger.Requests], "in_batches", t.Sealed[ledger.Requests], "missing", t.Lost,
		"batches", t.Batches, "acknowledged", t.Acknowledged, "pending_kb", t.PendingBytes>>10, "log_kb", k.wal.Size()>>10, "down", k.down != nil)
}

// seal freezes a batch. Its bytes are on the disk before anybody gets them.
func (k *Keeper) seal(now int64) {
	rec, _ := k.book.ProposeSeal(now)
	at, err := k.promise(rec)
	if err != nil {
		return
	}
	pending := k.book.Pending()
	k.batches[pending[len(pending)-1].Seq] = wal.Position{Segment: at.Segment, Offset: at.Offset + 1, Size: at.Size - 1}
	select {
	case k.moved <- struct{}{}:
	default:
	}
}

// do has f run by the keeper's goroutine.
func (k *Keeper) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case k.calls <- func() { defer close(done); f() }:
	case <-k.ended:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Next gives the oldest batch that is not acknowledged; nil = there is none.
func (k *Keeper) Next(ctx context.Context) (bytes []byte, s ledger.Sealed, err error) {
	call := k.do(ctx, func() {
		var ok bool
		if s, ok = k.book.Next(); ok {
			bytes, err = k.wal.ReadAt(k.batches[s.Seq])
		}
	})
	if call != nil {
		return nil, s, call
	}
	if err == nil && bytes != nil && ledger.SumOf(bytes) != s.Hash {
		err = fmt.Errorf("batch %d: %w", s.Seq, ledger.ErrRecord)
	}
	return bytes, s, err
}

// Acknowledge notes, on the disk, that a batch is the collector's.
func (k *Keeper) Acknowledge(ctx context.Context, s ledger.Sealed) (err error) {
	call := k.do(ctx, func() {
		rec, ok := k.book.ProposeAck(s.Seq, s.Hash)
		if !ok {
			return // it is, already
		}
		if _, err = k.promise(rec); err == nil {
			delete(k.batches, s.Seq)
		}
	})
	return errors.Join(call, err)
}

// Sealed tells, by a value, that there may be a new batch.
func (k *Keeper) Sealed() <-chan struct{} { return k.moved }

// Totals gives the sums over the ledger's life.
func (k *Keeper) Totals(ctx context.Context) (t ledger.Totals, err error) {
	call := k.do(ctx, func() { t, err = k.book.Totals() })
	return t, errors.Join(call, err)
}

// PeriodStates gives what is sealed of each period.
func (k *Keeper) PeriodStates(ctx context.Context) (digests []ledger.Digest, states [][]byte, err error) {
	err = k.do(ctx, func() { digests, states = k.book.PeriodStates() })
	return digests, states, err
}

// BootID names this start of the machine: what a process wrote is lost to a power cut, not to its own end.
func BootID() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}
