package session

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/watch"
)

// maxStanding bounds an encoded Standing, in bytes.
const maxStanding = 8 << 10

var standingDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return mode
}()

var standingEncoder = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return mode
}()

// Encode returns the value of the server's key in the watch. Equal standings have equal values.
func (s *Standing) Encode() []byte {
	data, err := standingEncoder.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("encoding a standing: %v", err)) // there is nothing in it that cannot be encoded
	}
	return data
}

// decodeStanding reads a server's standing from a view; false = it has none.
func decodeStanding(view *watch.View, server string) (s Standing, ok bool, err error) {
	update, ok := view.Get(ServerPrefix + server)
	if !ok {
		return Standing{}, false, nil
	}
	if len(update.Value) > maxStanding {
		return Standing{}, false, fmt.Errorf("the standing of server %s has %d bytes: %w", server, len(update.Value), ErrInvalid)
	}
	if err := standingDecoder.Unmarshal(update.Value, &s); err != nil {
		return Standing{}, false, fmt.Errorf("the standing of server %s: %w: %w", server, ErrInvalid, err)
	}
	return s, true, nil
}
