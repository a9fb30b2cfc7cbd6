package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
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

// Attach names who hears that entries are written, and from when on the times of entries count. It is called
// before Run.
func (k *Keeper) Attach(sink func(core.Event), start time.Time) {
	k.sink, k.start = sink, start.Sub(k.began)
}

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
