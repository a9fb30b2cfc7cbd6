package keeper

import (
	"context"
	"errors"
	"fmt"

	"larchscale/internal/ledger"
)

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
