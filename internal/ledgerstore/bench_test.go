package ledgerstore

import (
	"testing"

	"larchscale/internal/core"
	"larchscale/internal/faultfs"
	"larchscale/internal/ledger"
)

// Measures the time that the core's loop spends on one entry.
func BenchmarkBook(b *testing.B) {
	for _, mode := range []string{Relaxed, Strict} {
		b.Run(mode, func(b *testing.B) {
			k, err := Open(faultfs.New(1), testOptions(mode, RecordGap), testConfig("n1"), discardLog)
			if err != nil {
				b.Fatal(err)
			}
			u := core.Usage{Class: 1, Figures: ledger.Figures{1, 3, 100, 7, 0, 1, 1}}
			n := 0
			for b.Loop() {
				u.Tenant = n & 1
				k.Record(u)
				if n++; n%1000 == 0 {
					k.write()
				}
			}
		})
	}
}
