package watch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Hash computes a checksum of keys with their revisions and values, to compare a copy with its original.
type Hash struct {
	digest *xxhash.Digest
	buffer [8]byte
}

// NewHash returns a hash of no keys.
func NewHash() *Hash { return &Hash{digest: xxhash.New()} }

// Add adds one key. The sum depends on the order, so keys must be added in ascending order.
func (h *Hash) Add(key string, revision uint64, value []byte) {
	h.addNumber(uint64(len(key)))
	_, _ = h.digest.WriteString(key) // never fails
	h.addNumber(revision)
	h.addNumber(uint64(len(value)))
	_, _ = h.digest.Write(value) // never fails
}

func (h *Hash) addNumber(n uint64) {
	binary.LittleEndian.PutUint64(h.buffer[:], n)
	_, _ = h.digest.Write(h.buffer[:]) // never fails
}

// Sum returns the checksum of all keys added so far.
func (h *Hash) Sum() uint64 { return h.digest.Sum64() }
