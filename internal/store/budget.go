package store

import "sync/atomic"

// byteBudget bounds the bytes of results that wait to be stored. It is safe for concurrent use.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// take reserves bytes; false = there is no room. A single result always finds room, and so does what takes no bytes.
func (b *byteBudget) take(bytes int) bool {
	if after := b.used.Add(int64(bytes)); bytes > 0 && after > max(b.limit, int64(bytes)) {
		b.give(bytes)
		return false
	}
	return true
}

// give returns bytes that take reserved.
func (b *byteBudget) give(bytes int) { b.used.Add(-int64(bytes)) }
