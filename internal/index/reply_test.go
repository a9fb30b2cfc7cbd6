package index

import (
	"bufio"
	"bytes"
	"testing"
)

// Whatever the index sends, a reply is read within its bounds or is an error.
func FuzzReadReply(f *testing.F) {
	f.Add([]byte("9b1f HIT 3\r\nabc\r\n"))
	f.Add([]byte("9b1f SHED\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		if e, err := readReply(bufio.NewReader(bytes.NewReader(p))); err == nil && len(e.Body) > len(p) {
			t.Fatalf("%d bytes out of %d", len(e.Body), len(p))
		}
	})
}
