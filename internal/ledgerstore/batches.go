package ledgerstore

import (
	"context"
	"errors"
	"fmt"

	"larchscale/internal/ledger"
)

// Next returns the oldest batch that has not been acknowledged, as encoded bytes; bytes is nil if there is none.
func (k *Store) Next(ctx context.Context) (bytes []byte, s ledger.Sealed, err error) {
	callErr := k.runOnLoop(ctx, func() {
		var ok bool
		if s, ok = k.ledger.Next(); ok {
			bytes, err = k.wal.ReadAt(k.batchPositions[s.Seq])
		}
	})
	if callErr != nil {
		return nil, s, callErr
	}
	if err == nil && bytes != nil && ledger.SumOf(bytes) != s.Hash {
		err = fmt.Errorf("batch %d: %w", s.Seq, ledger.ErrRecord)
	}
	return bytes, s, err
}

// Acknowledge records durably that the collector has a batch.
func (k *Store) Acknowledge(ctx context.Context, s ledger.Sealed) (err error) {
	callErr := k.runOnLoop(ctx, func() {
		rec, ok := k.ledger.ProposeAck(s.Seq, s.Hash)
		if !ok {
			return // already acknowledged
		}
		if _, err = k.commitRecord(rec); err == nil {
			delete(k.batchPositions, s.Seq)
		}
	})
	return errors.Join(callErr, err)
}

// Sealed returns a channel that receives a value when a new batch may be available.
func (k *Store) Sealed() <-chan struct{} { return k.sealed }

// Totals returns the sums over the whole life of the ledger.
func (k *Store) Totals(ctx context.Context) (t ledger.Totals, err error) {
	callErr := k.runOnLoop(ctx, func() { t, err = k.ledger.Totals() })
	return t, errors.Join(callErr, err)
}

// PeriodStates returns the digest and the encoded sealed state of each period.
func (k *Store) PeriodStates(ctx context.Context) (digests []ledger.Digest, states [][]byte, err error) {
	err = k.runOnLoop(ctx, func() { digests, states = k.ledger.PeriodStates() })
	return digests, states, err
}
