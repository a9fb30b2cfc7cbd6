// Package uwsgi is the second front, for gateways that speak the uwsgi protocol, and the client that makes
// calls below to uwsgi servers.
//
// A packet is modifier1 (a byte, 0 = a request), the size of the variables (16 bits, little-endian),
// modifier2 (a byte), the variables, each a key and a value behind 16-bit little-endian sizes, and then the
// body, as long as CONTENT_LENGTH says. The answer is an HTTP response, one to a connection.
package uwsgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

var (
	// ErrPacket is what every complaint about a malformed packet wraps.
	ErrPacket = errors.New("malformed uwsgi packet")
	// ErrLarge is a body over its limit.
	ErrLarge = errors.New("body too large")
)

const headLen = 4

// vars is the block of variables as it was read; values are looked up in place.
type vars []byte

// check tells whether the block is whole: every size within it and nothing left over.
func (v vars) check() error {
	for rest := []byte(v); len(rest) > 0; {
		for range 2 { // the key, then the value
			if len(rest) < 2 {
				return fmt.Errorf("%w: size cut short", ErrPacket)
			}
			n := int(binary.LittleEndian.Uint16(rest))
			if n > len(rest)-2 {
				return fmt.Errorf("%w: %d bytes in %d", ErrPacket, n, len(rest)-2)
			}
			rest = rest[2+n:]
		}
	}
	return nil
}

// get gives the value of a variable of a checked block; the last one counts, as in CGI.
func (v vars) get(name string) (value string) {
	if name == "" {
		return ""
	}
	for rest := []byte(v); len(rest) > 0; {
		n := 2 + int(binary.LittleEndian.Uint16(rest))
		key := rest[2:n]
		m := n + 2 + int(binary.LittleEndian.Uint16(rest[n:]))
		if string(key) == name {
			value = string(rest[n+2 : m])
		}
		rest = rest[m:]
	}
	return value
}

// readPacket reads one request. An input that ends before its first byte is io.EOF. Where the error is
// ErrLarge, the variables are good.
func readPacket(in *bufio.Reader, maxBody int) (vars, []byte, error) {
	var head [headLen]byte
	if _, err := io.ReadFull(in, head[:1]); err != nil {
		return nil, nil, err
	}
	if _, err := io.ReadFull(in, head[1:]); err != nil {
		return nil, nil, fmt.Errorf("%w: head cut short: %w", ErrPacket, err)
	}
	if head[0] != 0 {
		return nil, nil, fmt.Errorf("%w: modifier1 is %d", ErrPacket, head[0])
	}
	v := make(vars, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(in, v); err != nil {
		return nil, nil, fmt.Errorf("%w: variables cut short: %w", ErrPacket, err)
	}
	if err := v.check(); err != nil {
		return nil, nil, err
	}
	length := v.get("CONTENT_LENGTH")
	if length == "" {
		return v, nil, nil
	}
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil {
		return v, nil, fmt.Errorf("%w: CONTENT_LENGTH %q", ErrPacket, length)
	}
	if n > uint64(maxBody) {
		return v, nil, fmt.Errorf("%w: %d bytes, %d at most", ErrLarge, n, maxBody)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return v, nil, fmt.Errorf("%w: body cut short: %w", ErrPacket, err)
	}
	return v, body, nil
}

// Packet makes the head of a request: all but its body. The pairs are keys and values in turn.
func Packet(pairs ...string) []byte {
	out := make([]byte, headLen, 512)
	for _, s := range pairs {
		out = binary.LittleEndian.AppendUint16(out, uint16(len(s)))
		out = append(out, s...)
	}
	binary.LittleEndian.PutUint16(out[1:], uint16(len(out)-headLen))
	return out
}
