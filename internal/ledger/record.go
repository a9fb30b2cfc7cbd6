package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The kinds of record, which is its first byte. An unknown kind was written by a newer version.
const (
	kindEntries byte = iota + 1
	kindNames
	kindStart
	kindStop
	kindClose
	kindCorrection
	kindGap
	kindClock
	kindSeal
	kindAck
	kindSnapshot
	kindPendingBatch
)

// ErrNewer is returned for a record or batch of a version that this program does not know.
var ErrNewer = errors.New("written by a newer version")

// ErrRecord is returned for a record that is malformed or does not fit the state that it is applied to.
var ErrRecord = errors.New("not a record of this ledger")

var (
	versionDecoder = mustMode(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 17}.DecMode())
	encoder        = mustMode(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, IndefLength: cbor.IndefLengthForbidden}.EncMode())
	decoder        = mustMode(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8, MaxArrayElements: 1 << 17}.DecMode())
)

func mustMode[M any](m M, err error) M {
	if err != nil { // the options are constants
		panic(err)
	}
	return m
}

// record returns a record: its kind and a value in CBOR.
func record(kind byte, v any) []byte { return append([]byte{kind}, encode(v)...) }

func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil { // all values are structures of this package that can be encoded
		panic(err)
	}
	return b
}

func decode[T any](b []byte) (v T, err error) {
	if err := decoder.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	return v, nil
}

// Entry is the use of one request that ended, or of several that ended in the same way within a quarter of an hour
// (Figures[Requests] is their number). An entry with negative amounts takes back an earlier one.
type Entry struct {
	Began, Ended int64 // Unix milliseconds
	Stand, Class uint16
	End          End
	Replay       bool // answered with the result of another try, without a run of its own
	Figures
}

// encodeEntries returns the record of a group of entries: the kind, a base time and each entry as varints, about 20
// bytes per entry.
func encodeEntries(entries []Entry) []byte {
	rec := append(make([]byte, 0, 16+24*len(entries)), kindEntries)
	base := entries[0].Ended
	rec = binary.AppendVarint(rec, base)
	rec = binary.AppendUvarint(rec, uint64(len(entries)))
	for i := range entries {
		entry := &entries[i]
		flags := byte(entry.End) << 2
		if entry.Replay {
			flags |= 1
		}
		if entry.Figures[Requests] != 1 {
			flags |= 2
		}
		rec = append(rec, flags)
		rec = binary.AppendUvarint(rec, uint64(entry.Stand))
		rec = binary.AppendUvarint(rec, uint64(entry.Class))
		rec = binary.AppendVarint(rec, entry.Ended-base)
		rec = binary.AppendVarint(rec, entry.Ended-entry.Began)
		first := Worth
		if flags&2 != 0 {
			first = Requests
		}
		for _, amount := range entry.Figures[first:] {
			rec = binary.AppendVarint(rec, amount)
		}
	}
	return rec
}

// reader reads varints from a record. bad is set by the first malformed one and stays set.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) int() int64   { return take(r, binary.Varint) }
func (r *reader) uint() uint64 { return take(r, binary.Uvarint) }

// take reads a number from the record with decode, which returns a size of 0 or less for a malformed number.
func take[T int64 | uint64](r *reader, decode func([]byte) (T, int)) T {
	number, size := decode(r.b)
	if size <= 0 {
		r.b, r.bad = nil, true
		return 0
	}
	r.b = r.b[size:]
	return number
}

// decodeEntries calls do with each entry of a group.
func decodeEntries(b []byte, apply func(Entry) error) error {
	r := reader{b: b}
	base, count := r.int(), r.uint()
	for range count {
		if len(r.b) == 0 {
			return fmt.Errorf("%w: the entries are truncated", ErrRecord)
		}
		flags := r.b[0]
		r.b = r.b[1:]
		entry := Entry{End: End(flags >> 2), Replay: flags&1 != 0}
		stand, class := r.uint(), r.uint()
		entry.Ended = base + r.int()
		entry.Began = entry.Ended - r.int()
		first := Requests
		if flags&2 == 0 {
			entry.Figures[Requests], first = 1, Worth
		}
		for i := first; i < figureCount; i++ {
			entry.Figures[i] = r.int()
		}
		if entry.Stand, entry.Class = uint16(stand), uint16(class); r.bad || entry.End >= Ends || stand > 1<<16-1 || class > 1<<16-1 {
			return fmt.Errorf("%w: malformed entry", ErrRecord)
		}
		if err := apply(entry); err != nil {
			return err
		}
	}
	if len(r.b) > 0 {
		return fmt.Errorf("%w: bytes after the last entry", ErrRecord)
	}
	return nil
}

// The other records. Integer keys keep them small and allow fields to be added.
type (
	namesRecord struct {
		Stands  []string `cbor:"1,keyasint"`
		Classes []string `cbor:"2,keyasint"`
	}
	// Start begins an incarnation of a server: one start of its process on these files.
	Start struct {
		Incarnation uint32 `cbor:"1,keyasint"`
		Nonce       uint64 `cbor:"2,keyasint"` // random
		At          int64  `cbor:"3,keyasint"` // Unix milliseconds
		Boot        string `cbor:"4,keyasint"` // boot ID of the machine; unsynced writes may be lost if it changes
		Strict      bool   `cbor:"5,keyasint"` // answers wait until their entries are written
		AtMost      int64  `cbor:"6,keyasint"` // bound of the entries that wait to be written
	}
	stopRecord struct {
		At int64 `cbor:"1,keyasint"`
	}
	closeRecord struct {
		Through int64 `cbor:"1,keyasint"` // closes the periods that end by then
	}
	gapRecord struct {
		Gaps []Gap `cbor:"1,keyasint"`
	}
	ackRecord struct {
		Seq  uint64 `cbor:"1,keyasint"`
		Hash Hash   `cbor:"2,keyasint"`
	}
)
