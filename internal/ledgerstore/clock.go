package ledgerstore

import (
	"time"

	"larchscale/internal/ledger"
)

// observeClock reads the wall clock and returns the step if the clock was stepped.
func (k *Store) observeClock() (ledger.Step, bool) {
	since := time.Since(k.began)
	step, ok := k.clock.Observe(k.wall(), since)
	k.offset.Store(k.clock.Wall(since)*int64(time.Millisecond) - int64(since))
	return step, ok
}

// now returns the time of the ledger's clock in Unix milliseconds.
func (k *Store) now() int64 {
	return (int64(time.Since(k.began)) + k.offset.Load()) / int64(time.Millisecond)
}
