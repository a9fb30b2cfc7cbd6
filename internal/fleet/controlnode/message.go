package controlnode

import (
	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/session"
)

// message is what the nodes send each other: one of its fields is set.
type message struct {
	Digest *numberedDigest `cbor:"1,keyasint,omitempty"` // to the leader
	Grants []lease.Grant   `cbor:"2,keyasint,omitempty"` // of the leader
	Resync bool            `cbor:"3,keyasint,omitempty"` // of the leader: a digest is missing, all is to be told anew
}

// numberedDigest is a digest in its place among those of its node.
type numberedDigest struct {
	Number uint64         `cbor:"1,keyasint"`
	First  bool           `cbor:"2,keyasint,omitempty"` // nothing before it counts
	Digest session.Digest `cbor:"3,keyasint"`
}

// Bounds of the messages between nodes; the driver carries 48 KB at most.
const (
	maxDigest        = 40 << 10 // bytes of one, encoded
	maxGrants        = 256      // in one message
	digestsEachTick  = 8        // messages
	maxDigestEntries = 1 << 12
)

// decoder keeps what another node sends from sizing memory.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDigestEntries, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return mode
}()
