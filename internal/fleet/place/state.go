// Package place says which box is home to what: keys and subjects fall into slices of a hash, and each slice has a first
// and a second home. State is what all boxes agree on, changed by nothing but the entries of their log; Target and Next
// derive what the leader proposes; a View, from it and from who lives, is what a box acts under. It does no I/O and
// reads no clock.
package place

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/limits"
)

// Slices is how many parts the hash has. It is a power of two, and never changes in a fleet.
const Slices = 1 << sliceBits

// Bounds of what is agreed.
const (
	sliceBits = 10
	MaxBoxes  = limits.MaxMeshServers
	maxName   = 64  // bytes, of a box
	maxWhy    = 256 // bytes
)

// Slice is the part that a key or subject falls into, 0 to Slices-1: the highest bits of its xxhash.
func Slice(key []byte) int { return int(xxhash.Sum64(key) >> (64 - sliceBits)) }

// Pair is the homes of a slice: places in State.Boxes, counted from 1; 0 = none. There is no second without a first.
type Pair struct{ First, Second uint16 }

// Homes are the pairs of all slices. In cbor they are 4 bytes a slice.
type Homes [Slices]Pair

// MarshalBinary writes the pairs one after the other, each number in 2 bytes, the low one first.
func (h *Homes) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, 4*Slices)
	for _, p := range h {
		b = binary.LittleEndian.AppendUint16(binary.LittleEndian.AppendUint16(b, p.First), p.Second)
	}
	return b, nil
}

// UnmarshalBinary reads them back.
func (h *Homes) UnmarshalBinary(b []byte) error {
	if len(b) != 4*Slices {
		return fmt.Errorf("homes of %d bytes, not %d: %w", len(b), 4*Slices, ErrInvalid)
	}
	for i := range h {
		h[i] = Pair{binary.LittleEndian.Uint16(b[4*i:]), binary.LittleEndian.Uint16(b[4*i+2:])}
	}
	return nil
}

// Since are the log indexes of the entries by which a box that was no home of a slice before became one. In cbor they
// are runs of slices with the same: how many, and which, as varints.
type Since [Slices]uint64

// MarshalBinary writes the runs one after the other.
func (t *Since) MarshalBinary() (b []byte, err error) {
	for i := 0; i < Slices; {
		n := 1
		for i+n < Slices && t[i+n] == t[i] {
			n++
		}
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(n)), t[i])
		i += n
	}
	return b, nil
}

// UnmarshalBinary reads them back.
func (t *Since) UnmarshalBinary(b []byte) error {
	for i := 0; i < Slices; {
		n, k := binary.Uvarint(b)
		x, l := binary.Uvarint(b[max(0, k):])
		if k <= 0 || l <= 0 || n == 0 || n > uint64(Slices-i) {
			return fmt.Errorf("indexes end after %d of %d: %w", i, Slices, ErrInvalid)
		}
		for b = b[k+l:]; n > 0; n-- {
			t[i] = x
			i++
		}
	}
	if len(b) > 0 {
		return fmt.Errorf("%d bytes behind the indexes: %w", len(b), ErrInvalid)
	}
	return nil
}

// State is what all boxes agree on. Its zero value has no boxes and no homes.
type State struct {
	Index  uint64   // of the last entry applied
	Epoch  uint64   // of the last entry that moved a slice
	Origin uint64   // of the entry that gave slices their first homes; 0 = none has
	Boxes  []string // that can be a home, sorted
	Homes  *Homes   // nil = no slice has had one
	Since  *Since   // nil with Homes
}

// Errors of Apply, of reading a State back, and of what is derived.
var (
	ErrInvalid = errors.New("cannot be")
	ErrUnknown = errors.New("unknown box")
	ErrEpoch   = errors.New("made for another epoch")
	ErrHome    = errors.New("a home would be lost")
)

// Clone gives a state that shares nothing with this one.
func (s *State) Clone() State {
	out := State{s.Index, s.Epoch, s.Origin, slices.Clone(s.Boxes), nil, nil}
	if s.Homes != nil {
		h, t := *s.Homes, *s.Since
		out.Homes, out.Since = &h, &t
	}
	return out
}

// Pair gives the homes of a slice by name; "" = none.
func (s *State) Pair(slice int) (first, second string) {
	if s.Homes == nil {
		return "", ""
	}
	p := s.Homes[slice]
	return s.name(p.First), s.name(p.Second)
}

func (s *State) name(place uint16) string {
	if place == 0 {
		return ""
	}
	return s.Boxes[place-1]
}

// place is where a box stands, from 1; 0 = it is "" or unknown.
func (s *State) place(name string) uint16 {
	if i, ok := slices.BinarySearch(s.Boxes, name); ok {
		return uint16(i + 1)
	}
	return 0
}

// Check finds what cannot be in a state that was read from elsewhere.
func (s *State) Check() error {
	if len(s.Boxes) > MaxBoxes {
		return fmt.Errorf("placement on %d boxes, %d at most: %w", len(s.Boxes), MaxBoxes, ErrInvalid)
	}
	for i, n := range s.Boxes {
		if n == "" || len(n) > maxName || i > 0 && s.Boxes[i-1] >= n {
			return fmt.Errorf("placement: box %d of %d is %.70q: %w", i, len(s.Boxes), n, ErrInvalid)
		}
	}
	if (s.Homes == nil) != (s.Since == nil) {
		return fmt.Errorf("placement: homes without the entries that made them, or the other way: %w", ErrInvalid)
	}
	if s.Homes == nil {
		return nil
	}
	for i, p := range s.Homes {
		if int(max(p.First, p.Second)) > len(s.Boxes) || p.First == p.Second && p.First != 0 || p.First == 0 && p.Second != 0 {
			return fmt.Errorf("placement: slice %d has homes %d and %d of %d boxes: %w", i, p.First, p.Second, len(s.Boxes), ErrInvalid)
		}
	}
	return nil
}

// UnmarshalCBOR reads a state, and refuses one that cannot be.
func (s *State) UnmarshalCBOR(data []byte) error {
	type plain State
	var p plain
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	if err := (*State)(&p).Check(); err != nil {
		return err
	}
	*s = State(p)
	return nil
}
