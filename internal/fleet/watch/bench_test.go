package watch

import (
	"fmt"
	"testing"
)

// BenchmarkFanOut measures Next for one update of configuration that all readers receive, with each reader at the
// head before.
func BenchmarkFanOut(b *testing.B) {
	for _, readers := range []int{148, 740, 1480} {
		b.Run(fmt.Sprintf("readers=%d", readers), func(b *testing.B) {
			benchmarkFanOut(b, readers, func(h *History, revision uint64) {
				h.Put(revision, "configuration/limits", fmt.Append(nil, revision))
			})
		})
	}
}

// BenchmarkFanOutOthers measures Next for one update of each server's own key: each reader skips the keys of all
// other servers.
func BenchmarkFanOutOthers(b *testing.B) {
	for _, readers := range []int{148, 740, 1480} {
		b.Run(fmt.Sprintf("readers=%d", readers), func(b *testing.B) {
			benchmarkFanOut(b, readers, func(h *History, revision uint64) {
				for i := range readers {
					h.Put(revision, serverKey(i), fmt.Append(nil, revision))
				}
			})
		})
	}
}

// BenchmarkHead measures Next for a reader at the head of the history.
func BenchmarkHead(b *testing.B) {
	h := NewHistory(Limits{Bytes: 8 << 20, Updates: 1 << 16})
	for i := range 1 << 16 {
		h.Put(uint64(i+1), serverKey(i%1480), fmt.Append(nil, i))
	}
	h.Advance(1 << 16)
	r := h.NewReader(serverInterest(0), h.Revision())
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := r.Next(64 << 10); ok {
			b.Fatal("a batch at the head")
		}
	}
}

func serverKey(i int) string { return fmt.Sprintf("server/host-%04d.example", i) }

func serverInterest(i int) Interest {
	return Interest{Keys: []string{serverKey(i)}, Prefixes: []string{"configuration/"}}
}

// benchmarkFanOut reports the cost per reader of reading an update, without the cost of adding it to the history.
func benchmarkFanOut(b *testing.B, readers int, update func(*History, uint64)) {
	h := NewHistory(Limits{Bytes: 8 << 20, Updates: 1 << 14})
	all := make([]*Reader, readers)
	for i := range all {
		all[i] = h.NewReader(serverInterest(i), 0)
	}
	revision := uint64(0)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		revision++
		update(h, revision)
		h.Advance(revision)
		b.StartTimer()
		for _, r := range all {
			if _, ok := r.Next(64 << 10); !ok {
				b.Fatal("no batch")
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(readers), "ns/reader")
}
