// Package standin plays the parties that a box talks to, for the trial and the tests: worker pool, calls below
// and directory, callers on both fronts, and a collector of the ledger's batches. All stay on loopback.
package standin

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"larchscale/internal/export"
	"larchscale/internal/ledger"
)

// Collector takes batches and keeps their identities. Its faults follow from a seed.
type Collector struct {
	mu     sync.Mutex
	rand   *rand.Rand
	faults float64 // the part of sendings that meet one
	have   map[string][]byte
	order  []string
	clash  int
	sent   int
}

// NewCollector makes a collector that lets a part of all sendings fail in some way.
func NewCollector(seed uint64, faults float64) *Collector {
	return &Collector{rand: rand.New(rand.NewPCG(seed, 2)), faults: faults, have: map[string][]byte{}}
}

// Batches gives the bytes of all batches, each once, as they came.
func (c *Collector) Batches() (out [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.order {
		out = append(out, c.have[id])
	}
	return out
}

// Counts tells how many sendings there were, and how many brought other bytes under an identity it has.
func (c *Collector) Counts() (sent, clashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.clash
}

// ServeHTTP takes a batch. Some faults come before it is kept and some after: a sender cannot tell.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.sent++
	fault := -1
	if c.rand.Float64() < c.faults {
		fault = c.rand.IntN(9)
	}
	c.mu.Unlock()
	if fault == 0 { // cut in the middle of the request
		io.ReadFull(r.Body, make([]byte, 10))
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, ledger.MaxBatch+1))
	b, err2 := ledger.DecodeBatch(body)
	if err != nil || err2 != nil {
		http.Error(w, "no batch", http.StatusBadRequest)
		return
	}
	switch fault {
	case 1:
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case 2:
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusFound)
		return
	}
	id := b.Box + "/" + b.Ledger.String() + "/" + r.Header.Get(export.HeaderSeq)
	c.mu.Lock()
	if had, ok := c.have[id]; !ok {
		c.have[id] = body
		c.order = append(c.order, id)
	} else if string(had) != string(body) {
		c.clash++
		c.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.mu.Unlock()
	answer := export.AcknowledgementBody(b, ledger.SumOf(body))
	switch fault {
	case 3: // kept, and the answer is lost
		panic(http.ErrAbortHandler)
	case 4: // cut in the middle of the answer
		w.Header().Set("Content-Length", "1000")
		w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case 5: // another batch's
		other := *b
		other.Seq++
		w.Write(export.AcknowledgementBody(&other, ledger.SumOf(body)))
	case 6:
		w.Write([]byte("thank you"))
	case 8: // later than the sender waits
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
		w.Write(answer)
	case 7: // an answer without end
		w.Write(answer)
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 1<<10)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	default:
		w.Write(answer)
	}
}
