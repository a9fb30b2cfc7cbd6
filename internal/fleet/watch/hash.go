package watch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Hash sums keys with their revisions and values, so that a copy can be compared with what it was made from.
type Hash struct {
	digest *xxhash.Digest
	number [8]byte
}

// NewHash makes a hash of nothing.
func NewHash() *Hash { return &Hash{digest: xxhash.New()} }

// Add takes in one key. The sum depends on the order: keys ascend.
func (h *Hash) Add(key string, revision uint64, value []byte) {
	h.addNumber(uint64(len(key)))
	_, _ = h.digest.WriteString(key) // never fails
	h.addNumber(revision)
	h.addNumber(uint64(len(value)))
	_, _ = h.digest.Write(value) // never fails
}

func (h *Hash) addNumber(n uint64) {
	binary.LittleEndian.PutUint64(h.number[:], n)
	_, _ = h.digest.Write(h.number[:]) // never fails
}

// Sum gives the sum of all that was added.
func (h *Hash) Sum() uint64 { return h.digest.Sum64() }
