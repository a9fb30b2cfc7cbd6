// Package uwsgi is the front for gateways that use the uwsgi protocol, and the client that makes downstream calls to
// uwsgi servers.
//
// A packet consists of modifier1 (one byte, 0 for a request), the size of the variables (16 bits, little-endian),
// modifier2 (one byte), the variables, each a key and a value prefixed with 16-bit little-endian sizes, and the body of
// CONTENT_LENGTH bytes. The answer is an HTTP response; a connection carries one request.
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
	// ErrPacket is wrapped by every error about a malformed packet.
	ErrPacket = errors.New("malformed uwsgi packet")
	// ErrBodyTooLarge reports a body over the limit.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrNoRoom reports that the bodies of other requests take all memory that there is for them.
	ErrNoRoom = errors.New("no memory for the body")
)

const headLen = 4 // bytes of modifier1, size and modifier2

// vars is the encoded block of variables; get looks values up in it.
type vars []byte

// check returns an error unless every size in the block fits and no bytes are left over.
func (v vars) check() error {
	for rest := []byte(v); len(rest) > 0; {
		for range 2 { // the key, then the value
			if len(rest) < 2 {
				return fmt.Errorf("%w: size cut short", ErrPacket)
			}
			n := int(binary.LittleEndian.Uint16(rest))
			if n > len(rest)-2 {
				return fmt.Errorf("%w: size %d with %d bytes left", ErrPacket, n, len(rest)-2)
			}
			rest = rest[2+n:]
		}
	}
	return nil
}

// get returns the value of a variable in a block that check has accepted. Of repeated variables the last one counts, as
// in CGI.
func (v vars) get(name string) (value string) {
	if name == "" {
		return ""
	}
	for rest := []byte(v); len(rest) > 0; {
		keyEnd := 2 + int(binary.LittleEndian.Uint16(rest))
		key := rest[2:keyEnd]
		valueEnd := keyEnd + 2 + int(binary.LittleEndian.Uint16(rest[keyEnd:]))
		if string(key) == name {
			value = string(rest[keyEnd+2 : valueEnd])
		}
		rest = rest[valueEnd:]
	}
	return value
}

// readPacket reads one request and returns its variables and body. If the input ends before the first byte it returns
// io.EOF. If the body is too large, the variables are valid. reserve is asked before memory is taken for a body of so many
// bytes; if it returns false, the body is not read.
func readPacket(in *bufio.Reader, maxBody int, reserve func(bytes int) bool) (vars, []byte, error) {
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
	variables := make(vars, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(in, variables); err != nil {
		return nil, nil, fmt.Errorf("%w: variables cut short: %w", ErrPacket, err)
	}
	if err := variables.check(); err != nil {
		return nil, nil, err
	}
	length := variables.get("CONTENT_LENGTH")
	if length == "" {
		return variables, nil, nil
	}
	bodySize, err := strconv.ParseUint(length, 10, 63)
	if err != nil {
		return variables, nil, fmt.Errorf("%w: CONTENT_LENGTH %q", ErrPacket, length)
	}
	if bodySize > uint64(maxBody) {
		return variables, nil, fmt.Errorf("%w: %d bytes, at most %d", ErrBodyTooLarge, bodySize, maxBody)
	}
	if !reserve(int(bodySize)) {
		return variables, nil, ErrNoRoom
	}
	body := make([]byte, bodySize)
	if _, err := io.ReadFull(in, body); err != nil {
		return variables, nil, fmt.Errorf("%w: body cut short: %w", ErrPacket, err)
	}
	return variables, body, nil
}

// EncodeHead encodes a request without its body. The pairs are alternating keys and values.
func EncodeHead(pairs ...string) []byte {
	out := make([]byte, headLen, 512)
	for _, s := range pairs {
		out = binary.LittleEndian.AppendUint16(out, uint16(len(s)))
		out = append(out, s...)
	}
	binary.LittleEndian.PutUint16(out[1:], uint16(len(out)-headLen))
	return out
}
