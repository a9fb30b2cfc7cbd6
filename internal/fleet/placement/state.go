// Package placement decides which servers hold the replicas of what: keys and subjects are hashed into shards, and each
// shard has a primary and a backup. State is the replicated state, changed only by entries of the log. Target and Next
// derive what the leader proposes. A View, derived from State and the registered servers, is what a server acts under.
// The package does no I/O and reads no clock.
package placement

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/limits"
)

// Shards is the number of shards. It is a power of two, and never changes in a fleet.
const Shards = 1 << shardBits

// Bounds of the replicated state.
const (
	shardBits = 10
	MaxBoxes  = limits.MaxMeshServers
	maxName   = 64  // bytes, of a server
	maxWhy    = 256 // bytes
)

// ShardOf returns the shard of a key or subject, 0 to Shards-1: the highest bits of its xxhash.
func ShardOf(key []byte) int { return int(xxhash.Sum64(key) >> (64 - shardBits)) }

// Pair is the primary and the backup of a shard, as positions in State.Boxes, counted from 1; 0 = none. There is no
// backup without a primary.
type Pair struct{ First, Second uint16 }

// Assignment are the pairs of all shards. In CBOR they take 4 bytes per shard.
type Assignment [Shards]Pair

// MarshalBinary writes the pairs in order, each position as 2 bytes, little endian.
func (h *Assignment) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, 4*Shards)
	for _, pair := range h {
		data = binary.LittleEndian.AppendUint16(binary.LittleEndian.AppendUint16(data, pair.First), pair.Second)
	}
	return data, nil
}

// UnmarshalBinary reads what MarshalBinary wrote.
func (h *Assignment) UnmarshalBinary(data []byte) error {
	if len(data) != 4*Shards {
		return fmt.Errorf("pairs of %d bytes, not %d: %w", len(data), 4*Shards, ErrInvalid)
	}
	for i := range h {
		h[i] = Pair{binary.LittleEndian.Uint16(data[4*i:]), binary.LittleEndian.Uint16(data[4*i+2:])}
	}
	return nil
}

// AssignedAt holds for each shard the log index of the last entry that assigned it to a server which did not hold it before.
// In CBOR it is run-length encoded: the number of shards with the same index, and the index, as varints.
type AssignedAt [Shards]uint64

// MarshalBinary writes the runs in order.
func (t *AssignedAt) MarshalBinary() (data []byte, err error) {
	for i := 0; i < Shards; {
		run := 1
		for i+run < Shards && t[i+run] == t[i] {
			run++
		}
		data = binary.AppendUvarint(binary.AppendUvarint(data, uint64(run)), t[i])
		i += run
	}
	return data, nil
}

// UnmarshalBinary reads what MarshalBinary wrote.
func (t *AssignedAt) UnmarshalBinary(data []byte) error {
	for i := 0; i < Shards; {
		run, runSize := binary.Uvarint(data)
		index, indexSize := binary.Uvarint(data[max(0, runSize):])
		if runSize <= 0 || indexSize <= 0 || run == 0 || run > uint64(Shards-i) {
			return fmt.Errorf("indexes end after %d of %d: %w", i, Shards, ErrInvalid)
		}
		for data = data[runSize+indexSize:]; run > 0; run-- {
			t[i] = index
			i++
		}
	}
	if len(data) > 0 {
		return fmt.Errorf("%d bytes after the indexes: %w", len(data), ErrInvalid)
	}
	return nil
}

// State is the replicated state. Its zero value has no servers and no replicas.
type State struct {
	Index  uint64      // of the last applied entry
	Epoch  uint64      // of the last entry that moved a shard
	Origin uint64      // of the entry that first assigned shards; 0 = none has
	Boxes  []string    // the servers that can hold replicas, sorted
	Homes  *Assignment // nil = no shard has been assigned
	Since  *AssignedAt // nil exactly if Homes is
}

// Errors of Apply, of decoding a State, and of Target and Next.
var (
	ErrInvalid       = errors.New("invalid")
	ErrUnknown       = errors.New("unknown server")
	ErrEpoch         = errors.New("made for another epoch")
	ErrNoReplicaLeft = errors.New("no current replica would remain")
)

// Clone returns a copy that shares nothing with this state.
func (s *State) Clone() State {
	out := State{s.Index, s.Epoch, s.Origin, slices.Clone(s.Boxes), nil, nil}
	if s.Homes != nil {
		homes, since := *s.Homes, *s.Since
		out.Homes, out.Since = &homes, &since
	}
	return out
}

// Replicas returns the names of a shard's primary and backup; "" = none.
func (s *State) Replicas(shard int) (primary, backup string) {
	if s.Homes == nil {
		return "", ""
	}
	pair := s.Homes[shard]
	return s.serverAt(pair.First), s.serverAt(pair.Second)
}

func (s *State) serverAt(position uint16) string {
	if position == 0 {
		return ""
	}
	return s.Boxes[position-1]
}

// position returns the position of a server, from 1; 0 = the name is "" or unknown.
func (s *State) position(name string) uint16 {
	if i, ok := slices.BinarySearch(s.Boxes, name); ok {
		return uint16(i + 1)
	}
	return 0
}

// Check returns an error if a decoded state is invalid.
func (s *State) Check() error {
	if len(s.Boxes) > MaxBoxes {
		return fmt.Errorf("placement on %d servers, the maximum is %d: %w", len(s.Boxes), MaxBoxes, ErrInvalid)
	}
	for i, name := range s.Boxes {
		if name == "" || len(name) > maxName || i > 0 && s.Boxes[i-1] >= name {
			return fmt.Errorf("placement: server %d of %d is named %.70q: %w", i, len(s.Boxes), name, ErrInvalid)
		}
	}
	if (s.Homes == nil) != (s.Since == nil) {
		return fmt.Errorf("placement: replicas without the indexes of their entries, or the reverse: %w", ErrInvalid)
	}
	if s.Homes == nil {
		return nil
	}
	for i, pair := range s.Homes {
		if int(max(pair.First, pair.Second)) > len(s.Boxes) || pair.First == pair.Second && pair.First != 0 ||
			pair.First == 0 && pair.Second != 0 {
			return fmt.Errorf("placement: shard %d has replicas %d and %d of %d servers: %w", i, pair.First,
				pair.Second, len(s.Boxes), ErrInvalid)
		}
	}
	return nil
}

// UnmarshalCBOR decodes a state, and returns an error if it is invalid.
func (s *State) UnmarshalCBOR(data []byte) error {
	type plain State
	var decoded plain
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	if err := (*State)(&decoded).Check(); err != nil {
		return err
	}
	*s = State(decoded)
	return nil
}
