package session

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/watch"
)

// maxServerStateBytes bounds an encoded ServerState.
const maxServerStateBytes = 8 << 10

var serverStateDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return mode
}()

var serverStateEncoder = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return mode
}()

// Encode returns the value of the server's key in the watch. Equal states have equal encodings.
func (s *ServerState) Encode() []byte {
	data, err := serverStateEncoder.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("encoding a server's state: %v", err)) // every field can be encoded
	}
	return data
}

// decodeServerState reads the agreed state of a server from a view; false = there is none.
func decodeServerState(view *watch.View, server string) (s ServerState, ok bool, err error) {
	update, ok := view.Get(ServerPrefix + server)
	if !ok {
		return ServerState{}, false, nil
	}
	if len(update.Value) > maxServerStateBytes {
		return ServerState{}, false, fmt.Errorf("state of server %s has %d bytes: %w", server, len(update.Value), ErrInvalid)
	}
	if err := serverStateDecoder.Unmarshal(update.Value, &s); err != nil {
		return ServerState{}, false, fmt.Errorf("state of server %s: %w: %w", server, ErrInvalid, err)
	}
	return s, true, nil
}
