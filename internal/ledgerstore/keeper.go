package ledgerstore

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
	maxQueuedEntries    = 4096                   // entries queued one by one; further ones are summed
	stallTimeout        = 500 * time.Millisecond // an entry that waits longer means that the disk does not respond
	minGroupInterval    = 100 * time.Microsecond // between groups in strict mode; groups grow under load
	maxDenseSums        = 8192                   // maximum size of the dense table of sums
	totalsInterval      = time.Minute            // interval of the log line with the totals
	maintenanceInterval = 250 * time.Millisecond
	quarterMs           = 900_000 // summed entries lie in the same quarter of an hour, and so in one period
)

// ErrClosed is returned by calls after the ledger store has ended.
var ErrClosed = errors.New("the ledger is closed")

// Store owns the in-memory ledger and its log. The core's loop calls Book, Flush and Ready; everything else runs on
// the goroutine of Run.
type Store struct {
	opt           Options
	fs            wal.FS
	log           *slog.Logger
	sink          func(core.Event)
	standOfTenant []uint16 // stand of each tenant of the core
	classIndex    []uint16
	noStand       uint16 // stand index of requests without a tenant
	classCount    int    // classes known to the ledger
	began         time.Time
	coreStart     time.Duration // start of the core's clock relative to began
	wall          func() time.Time
	offset        atomic.Int64 // wall clock minus the time since began, in ns
	failing       atomic.Bool
	started       atomic.Bool

	mu            sync.Mutex
	queue         []ledger.Entry
	dense         []ledger.Entry           // sums of one quarter, indexed by stand, class, end and replay
	denseUsed     []int                    // indexes of dense that are in use
	denseQuarter  int64                    // the quarter that dense covers
	sparse        map[sumKey]*ledger.Entry // sums that dense does not cover
	lastTicket    uint64
	waiting       int       // entries waiting in queue or in sums
	oldestWaiting time.Time // when the oldest of them was added

	wake      chan struct{}
	calls     chan func()
	closeOnce sync.Once
	stop      chan struct{}
	ended     chan struct{}

	// The fields below are used only by the goroutine of Run.
	ledger          *ledger.Book
	wal             *wal.Log
	clock           ledger.Clock
	spare           []ledger.Entry
	lastWrite       time.Time // time of the newest group
	recordedThrough uint64    // newest ticket recorded in the ledger
	batchPositions  map[uint64]wal.Position
	sealed          chan struct{} // signals that a batch was sealed
	lastMaintenance time.Time
	totalsLogged    time.Time // time of the newest log line with the totals
	lastSync        time.Time
	outage          *outage // nil while the log can be written
	slotWrites      uint64  // number of writes to the outage slot
	retry           *backoff.ExponentialBackOff
	retryAt         time.Time
}

// Attach sets the receiver of core.LedgerWritten events and the start of the core's clock, to which the times of entries are
// relative. It must be called before Run.
func (k *Store) Attach(sink func(core.Event), start time.Time) {
	k.sink, k.coreStart = sink, start.Sub(k.began)
}

// Run processes entries until Close is called. Only the first call has an effect.
func (k *Store) Run() {
	if k.started.Swap(true) {
		return
	}
	defer close(k.ended)
	tick := time.NewTicker(min(k.opt.milliseconds(k.opt.WriteMs), k.opt.milliseconds(k.opt.ExportMs), maintenanceInterval))
	defer tick.Stop()
	for {
		select {
		case <-k.wake:
			if gap := minGroupInterval - time.Since(k.lastWrite); gap > 0 && gap <= minGroupInterval {
				time.Sleep(gap)
			}
		case <-tick.C:
		case f := <-k.calls:
			f()
		case <-k.stop:
			k.shutDown()
			return
		}
		k.write()
		k.maintain()
	}
}

// Close writes the remaining entries and ends the incarnation, also if Run was never called. It waits no longer than
// ctx, because the disk may not respond.
func (k *Store) Close(ctx context.Context) error {
	k.closeOnce.Do(func() { close(k.stop) })
	go k.Run()
	select {
	case <-k.ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("ledger: %w", ctx.Err())
	}
}

func (k *Store) shutDown() {
	k.write()
	if k.outage != nil && k.rollSegment() != nil {
		return
	}
	k.appendRecord(k.ledger.Stop(k.now()), true)
	k.wal.Close()
}

// runOnLoop runs f on the goroutine of Run.
func (k *Store) runOnLoop(ctx context.Context, f func()) error {
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
