package sock

import (
	"bufio"
	"errors"
	"fmt"
	"time"
)

// ErrLineTooLong reports a line that is longer than the limit.
var ErrLineTooLong = errors.New("line too long")

// ReadLine reads a line and returns it without its end, LF or CR LF. The result is valid until the next read. A line that
// does not fit in the reader's buffer is an error.
func ReadLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: over %d bytes", ErrLineTooLong, r.Size())
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

// Backoff computes the delays between attempts to connect: from 20 ms, doubling up to 1 s.
type Backoff struct{ next time.Duration }

// Next returns the current delay and doubles it.
func (b *Backoff) Next() time.Duration {
	d := max(b.next, 20*time.Millisecond)
	b.next = min(2*d, time.Second)
	return d
}

// Reset returns to the first delay, after a connection that worked.
func (b *Backoff) Reset() { b.next = 0 }
