// Package stream carries the messages of sessions between app servers and control nodes: one HTTP/2 stream (POST
// /fleet/session) for each session, with request and response bodies both open. Each message is CBOR behind its
// length as an unsigned varint.
//
// Connections to other machines use mutual TLS: the certificates name the server and the node. On loopback HTTP/2
// goes without TLS. A Server accepts sessions, a Dialer opens them. Neither interprets the messages.
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

// Path is the path on which a control node accepts sessions.
const Path = "/fleet/session"

// Limits of a stream.
const (
	// WriteTimeout is the time in which one message has to be written; otherwise its session ends.
	WriteTimeout = 5 * time.Second
	// SpareConns is the number of connections that a node accepts in addition to its sessions, so that it can tell
	// the servers which it has no room for where to go, instead of closing their connections.
	SpareConns = 32
	// handshakeTimeout limits a TLS handshake, and the header of a request.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is how long a connection without a session stays open.
	idleTimeout = 10 * time.Second
	// receiveBuffer limits the bytes of one session that have been received but not read.
	receiveBuffer = 2 * session.MaxMessage
	// maxFrameSize is the largest HTTP/2 frame that is accepted.
	maxFrameSize = 16 << 10
	// maxHeaderBytes limits the header of a request or a response.
	maxHeaderBytes = 8 << 10
)

// ErrTooLarge means that a message has more than session.MaxMessage bytes.
var ErrTooLarge = errors.New("message is too large")

// decoder limits the memory that a peer's message can make this process allocate: its size is bounded already, and
// this bounds the number of its elements.
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
		return nil, fmt.Errorf("stream: %d bytes, at most %d are allowed: %w", len(body), session.MaxMessage, ErrTooLarge)
	}
	return append(binary.AppendUvarint(make([]byte, 0, len(body)+binary.MaxVarintLen32), uint64(len(body))), body...), nil
}

// messageReader reads the messages of one direction.
type messageReader struct{ in *bufio.Reader }

func newMessageReader(in io.Reader) messageReader {
	return messageReader{bufio.NewReaderSize(in, 4<<10)}
}

// next decodes the next message into the given value.
func (r messageReader) next(into any) error {
	size, err := binary.ReadUvarint(r.in)
	if err != nil {
		return err
	}
	if size > session.MaxMessage {
		return fmt.Errorf("stream: %d bytes, at most %d are allowed: %w", size, session.MaxMessage, ErrTooLarge)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r.in, body); err != nil {
		return err
	}
	if err := decoder.Unmarshal(body, into); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}
