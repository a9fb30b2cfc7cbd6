package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The kinds of record: the first byte. A record is applied whole or is an error; a kind that is not known is
// of a newer version.
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
	kindKept
)

// ErrNewer is a record or batch of a version that this program does not know.
var ErrNewer = errors.New("written by a newer version")

// ErrRecord is a record that no ledger wrote, or that does not fit the state it meets.
var ErrRecord = errors.New("not a record of this ledger")

var (
	loose   = mustMode(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 17}.DecMode())
	encoder = mustMode(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, IndefLength: cbor.IndefLengthForbidden}.EncMode())
	decoder = mustMode(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8, MaxArrayElements: 1 << 17}.DecMode())
)

func mustMode[M any](m M, err error) M {
	if err != nil { // the options are constants
		panic(err)
	}
	return m
}

// record is a kind and a value in CBOR.
func record(kind byte, v any) []byte { return append([]byte{kind}, encode(v)...) }

func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil { // all values are plain structures of this package
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

// Entry is the use of one request that ended, or of several that ended alike within one quarter of an hour
// (Figures[Requests] tells how many). One that takes an earlier entry back is negative.
type Entry struct {
	Began, Ended int64 // Unix milliseconds
	Stand, Class uint16
	End          End
	Replay       bool // served with the result of another try: no second cost
	Figures
}

// encodeEntries writes a group: kind, a base time and each entry as varints. About 20 bytes an entry.
func encodeEntries(list []Entry) []byte {
	b := append(make([]byte, 0, 16+24*len(list)), kindEntries)
	base := list[0].Ended
	b = binary.AppendVarint(b, base)
	b = binary.AppendUvarint(b, uint64(len(list)))
	for i := range list {
		e := &list[i]
		flags := byte(e.End) << 2
		if e.Replay {
			flags |= 1
		}
		if e.Figures[Requests] != 1 {
			flags |= 2
		}
		b = append(b, flags)
		b = binary.AppendUvarint(b, uint64(e.Stand))
		b = binary.AppendUvarint(b, uint64(e.Class))
		b = binary.AppendVarint(b, e.Ended-base)
		b = binary.AppendVarint(b, e.Ended-e.Began)
		from := Worth
		if flags&2 != 0 {
			from = Requests
		}
		for _, x := range e.Figures[from:] {
			b = binary.AppendVarint(b, x)
		}
	}
	return b
}

// reader takes varints off a record; bad stays true after one that is none.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) int() int64   { return take(r, binary.Varint) }
func (r *reader) uint() uint64 { return take(r, binary.Uvarint) }

// take reads a number off the record by decode, which returns 0 or fewer bytes for what is no number.
func take[T int64 | uint64](r *reader, decode func([]byte) (T, int)) T {
	number, size := decode(r.b)
	if size <= 0 {
		r.b, r.bad = nil, true
		return 0
	}
	r.b = r.b[size:]
	return number
}

// decodeEntries gives each entry of a group to do.
func decodeEntries(b []byte, do func(Entry) error) error {
	r := reader{b: b}
	base, n := r.int(), r.uint()
	for range n {
		if len(r.b) == 0 {
			return fmt.Errorf("%w: entries are cut short", ErrRecord)
		}
		flags := r.b[0]
		r.b = r.b[1:]
		e := Entry{End: End(flags >> 2), Replay: flags&1 != 0}
		stand, class := r.uint(), r.uint()
		e.Ended = base + r.int()
		e.Began = e.Ended - r.int()
		from := Requests
		if flags&2 == 0 {
			e.Figures[Requests], from = 1, Worth
		}
		for i := from; i < figures; i++ {
			e.Figures[i] = r.int()
		}
		if e.Stand, e.Class = uint16(stand), uint16(class); r.bad || e.End >= Ends || stand > 1<<16-1 || class > 1<<16-1 {
			return fmt.Errorf("%w: an entry cannot be", ErrRecord)
		}
		if err := do(e); err != nil {
			return err
		}
	}
	if len(r.b) > 0 {
		return fmt.Errorf("%w: bytes after the last entry", ErrRecord)
	}
	return nil
}

// The other records. Integer keys keep them small and let fields be added.
type (
	namesRecord struct {
		Stands  []string `cbor:"1,keyasint"`
		Classes []string `cbor:"2,keyasint"`
	}
	// Start begins an incarnation of a box: one start of its program on these files.
	Start struct {
		Incarnation uint32 `cbor:"1,keyasint"`
		Nonce       uint64 `cbor:"2,keyasint"`
		At          int64  `cbor:"3,keyasint"`
		Boot        string `cbor:"4,keyasint"` // of the machine: a new one may have lost what was not synced
		Strict      bool   `cbor:"5,keyasint"` // answers wait for their entries
		AtMost      int64  `cbor:"6,keyasint"` // entries that may wait to be written
	}
	stopRecord struct {
		At int64 `cbor:"1,keyasint"`
	}
	closeRecord struct {
		Through int64 `cbor:"1,keyasint"`
	}
	gapRecord struct {
		Gaps []Gap `cbor:"1,keyasint"`
	}
	ackRecord struct {
		Seq  uint64 `cbor:"1,keyasint"`
		Hash Hash   `cbor:"2,keyasint"`
	}
)
