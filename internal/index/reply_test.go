package index

import (
	"bufio"
	"bytes"
	"testing"
)

// Checks that arbitrary input from the index is read within its bounds or fails with an error.
func FuzzReadReply(f *testing.F) {
	f.Add([]byte("9b1f HIT 3\r\nabc\r\n"))
	f.Add([]byte("9b1f SHED\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		if reply, err := readReply(bufio.NewReader(bytes.NewReader(input))); err == nil && len(reply.Body) > len(input) {
			t.Fatalf("%d bytes out of %d", len(reply.Body), len(input))
		}
	})
}
