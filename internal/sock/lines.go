package sock

import (
	"bufio"
	"errors"
	"fmt"
	"time"
)

// ErrLong is a line over its limit.
var ErrLong = errors.New("line too long")

// Line reads a line without its end, LF or CR LF. It is good until the next read; a line that does not fit
// in the reader's buffer is ErrLong.
func Line(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: over %d bytes", ErrLong, r.Size())
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// Backoff is how long to wait before a link is tried again: from 20 ms, doubled up to a second.
type Backoff struct{ next time.Duration }

// Next gives the wait and doubles it.
func (b *Backoff) Next() time.Duration {
	d := max(b.next, 20*time.Millisecond)
	b.next = min(2*d, time.Second)
	return d
}

// Reset starts over, after a link that worked.
func (b *Backoff) Reset() { b.next = 0 }
