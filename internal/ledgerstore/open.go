package ledgerstore

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"larchscale/internal/core"
	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

// Config describes the server whose ledger is opened.
type Config struct {
	Server          string
	Stands, Classes []string         // names in the order of the core's indexes
	Boot            string           // identifies the boot of the machine
	Wall            func() time.Time // nil = time.Now
}

// Open opens the ledger in fs, or creates one, and writes the start of this incarnation. It fails if the files belong
// to another server, were written by a newer version or are damaged. Entries are written once Run is called.
func Open(fs wal.FS, opt Options, config Config, log *slog.Logger) (*Store, error) {
	k := &Store{opt: opt, fs: fs, log: log, began: time.Now(), wall: config.Wall, wake: make(chan struct{}, 1), calls: make(chan func()),
		stop: make(chan struct{}), ended: make(chan struct{}), batchPositions: map[uint64]wal.Position{}, sealed: make(chan struct{}, 1),
		sparse: map[sumKey]*ledger.Entry{}, sink: func(core.Event) {}}
	if k.wall == nil {
		k.wall = time.Now
	}
	k.retry = backoff.NewExponentialBackOff()
	k.retry.InitialInterval, k.retry.MaxInterval = 100*time.Millisecond, 2*time.Second
	k.observeClock()
	id, err := openIdentity(fs, config.Server)
	if err != nil {
		return nil, err
	}
	now := k.now()
	k.ledger = ledger.NewBook(config.Server, id, opt.policy(), now)
	cut, err := k.replayLog(id)
	if err != nil {
		return nil, err
	}
	if err := k.startIncarnation(config, now); err != nil {
		return nil, err
	}
	if cut != nil {
		log.Warn("ledger", "do", "recover", "cut_file", cut.File, "cut_at", cut.Offset, "cut_bytes", cut.Bytes)
	}
	return k, nil
}

// replayLog replays the log into the in-memory ledger. It returns the torn tail of the log, if any.
func (k *Store) replayLog(id ledger.ID) (*wal.TornTail, error) {
	log, recovered, err := wal.Open(wal.Options{FS: k.fs, Owner: logOwner(k.ledger.Box, id), Segment: int64(k.opt.SegmentKB) << 10},
		func(lsn uint64, at wal.Position, rec []byte) error {
			if err := replay(k.ledger, k.batchPositions, at, rec); err != nil {
				return fmt.Errorf("record %d: %w", lsn, err)
			}
			return nil
		})
	k.wal = log
	return recovered.TornTail, err
}

// replay applies a record that was read from the log and remembers the position of a batch's bytes.
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

// startIncarnation writes the start of an incarnation in a new segment, with the gap that an earlier incarnation left.
func (k *Store) startIncarnation(config Config, now int64) error {
	k.ledger.SetPolicy(k.opt.policy())
	names, err := k.ledger.ProposeNames(append([]string{""}, config.Stands...), config.Classes)
	if err != nil {
		return err
	}
	if names != nil {
		if err := k.ledger.Apply(names); err != nil {
			return err
		}
	}
	stands, classes := k.ledger.Names()
	if n := stands * classes * int(ledger.Ends) * 2; n <= maxDenseSums {
		k.dense = make([]ledger.Entry, n)
	}
	k.classCount = classes
	k.noStand, _ = k.ledger.Stand("")
	for _, n := range config.Stands {
		s, _ := k.ledger.Stand(n)
		k.standOfTenant = append(k.standOfTenant, s)
	}
	for _, n := range config.Classes {
		c, _ := k.ledger.Class(n)
		k.classIndex = append(k.classIndex, c)
	}
	lastOutage := readOutage(k.fs)
	if k.slotWrites = lastOutage.count; lastOutage.segment != 0 && lastOutage.segment == k.wal.Segment() {
		lost := lastOutage.later
		if k.wal.NextLSN() <= lastOutage.lsn {
			for stand, n := range lastOutage.first {
				lost[stand] += n
			}
		}
		if len(lost) > 0 {
			if err := k.ledger.Apply(k.ledger.GapRecord(lost, lastOutage.at)); err != nil {
				return err
			}
			k.log.Warn("ledger", "do", "recover", "missing", total(lost))
		}
	}
	if err := createSlot(k.fs); err != nil {
		return err
	}
	start := k.ledger.ProposeStart(ledger.Start{Nonce: rand.Uint64(), At: now, Boot: config.Boot, Strict: k.opt.Mode == Strict, AtMost: maxQueuedEntries})
	if err := k.ledger.Apply(start); err != nil {
		return err
	}
	err = k.rollSegment()
	if err != nil && k.opt.OnFailure == RecordGap {
		k.beginOutage(k.wal.NextLSN(), err)
		return nil
	}
	return err
}

func total(m map[uint16]int64) (n int64) {
	for _, x := range m {
		n += x
	}
	return n
}

// BootID returns an identifier of the current boot of the machine. It shows whether data written by a process may
// have been lost in a power failure, which the end of the process alone does not cause.
func BootID() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}
