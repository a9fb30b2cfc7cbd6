package keeper

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

// BootID names this start of the machine: what a process wrote is lost to a power cut, not to its own end.
func BootID() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}
