// Package stream carries the messages of sessions between app servers and control nodes: one HTTP/2 stream
// (POST /fleet/session) for each session, with request and response bodies both open. Each message is CBOR behind its
// length as an unsigned varint.
//
// Off the machine both sides show certificates, whose names are the server's and the node's; on loopback HTTP/2 goes
// without TLS. A Listener accepts sessions, a Dialer opens them. Neither knows what the messages mean.
package stream

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/session"
)

// Path is where a control node accepts sessions.
const Path = "/fleet/session"

// Terms of a stream.
const (
	// WriteWithin is how long one message may take to be written before its session ends.
	WriteWithin = 5 * time.Second
	// SpareConns are the connections beyond a node's sessions that it accepts, so that those which it has no room for are
	// told where to go instead of being closed.
	SpareConns = 32
	// handshakeWithin bounds a TLS handshake, and the head of a request.
	handshakeWithin = 2 * time.Second
	// idleFor is how long a connection without a session stays open.
	idleFor = 10 * time.Second
	// receiveBuffer bounds the bytes of one session that have come and were not read yet.
	receiveBuffer = 2 * session.MaxMessage
	// frameSize is the largest frame of HTTP/2 that is taken.
	frameSize = 16 << 10
	// maxHead bounds the head of a request or an answer.
	maxHead = 8 << 10
)

// ErrTooLarge is a message of more than session.MaxMessage bytes.
var ErrTooLarge = errors.New("message is too large")

// decoder keeps what a peer sends from sizing memory: a message is bounded already, and so is what it may hold.
var decoder = func() cbor.DecMode {
	options := cbor.DecOptions{MaxArrayElements: 1 << 14, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return mode
}()

// encode returns a message behind its length.
func encode(message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("stream: %w", err)
	}
	if len(body) > session.MaxMessage {
		return nil, fmt.Errorf("stream: %d bytes, %d at most: %w", len(body), session.MaxMessage, ErrTooLarge)
	}
	return append(binary.AppendUvarint(make([]byte, 0, len(body)+binary.MaxVarintLen32), uint64(len(body))), body...), nil
}

// messages reads the messages of one direction.
type messages struct{ in *bufio.Reader }

func newMessages(in io.Reader) messages { return messages{bufio.NewReaderSize(in, 4<<10)} }

// next reads one message into the given value.
func (m messages) next(into any) error {
	size, err := binary.ReadUvarint(m.in)
	if err != nil {
		return err
	}
	if size > session.MaxMessage {
		return fmt.Errorf("stream: %d bytes, %d at most: %w", size, session.MaxMessage, ErrTooLarge)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(m.in, body); err != nil {
		return err
	}
	if err := decoder.Unmarshal(body, into); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}
