package keeper

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"maps"
	"slices"

	"larchscale/internal/wal"
)

// The outage slot is a file whose bytes are there from the start, so that a full disk can still take what is
// said in it: how many entries of which stand would be missing if the box died now. It has two halves, written
// in turn, so that one is whole whatever happens to the other. Layout of a half, little-endian: CRC32-C u32 of the
// rest, count u64, segment u32, LSN u64, time i64, entries of the first group and of the later ones, each as a u16 number of
// pairs stand u16 and entries u64.
const (
	slotName = "outage"
	slotHalf = 8 << 10
	maxPairs = 400 // of both lists together; more stands are summed under the first
)

// outage is what would be missing. The first group may have got to the disk all the same, which its LSN shows.
type outage struct {
	count   uint64 // of writings of the slot
	segment uint32 // that failed
	lsn     uint64 // of the first group
	at      int64  // when it was written, Unix milliseconds
	first   map[uint16]int64
	later   map[uint16]int64
}

func (o *outage) add(counts map[uint16]int64, first bool) {
	to := &o.later
	if first {
		to = &o.first
	}
	if *to == nil {
		*to = map[uint16]int64{}
	}
	for stand, n := range counts {
		if len(o.first)+len(o.later) >= maxPairs {
			stand = 0
		}
		(*to)[stand] += n
	}
}

func (o *outage) encode() []byte {
	b := make([]byte, 4, 64)
	b = binary.LittleEndian.AppendUint64(b, o.count)
	b = binary.LittleEndian.AppendUint32(b, o.segment)
	b = binary.LittleEndian.AppendUint64(b, o.lsn)
	b = binary.LittleEndian.AppendUint64(b, uint64(o.at))
	for _, m := range []map[uint16]int64{o.first, o.later} {
		b = binary.LittleEndian.AppendUint16(b, uint16(len(m)))
		for _, stand := range slices.Sorted(maps.Keys(m)) {
			b = binary.LittleEndian.AppendUint16(b, stand)
			b = binary.LittleEndian.AppendUint64(b, uint64(m[stand]))
		}
	}
	b = append(b, make([]byte, slotHalf-len(b))...)
	binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], crc32.MakeTable(crc32.Castagnoli)))
	return b
}

func decodeOutage(b []byte) (o outage, ok bool) {
	if len(b) != slotHalf || binary.LittleEndian.Uint32(b) != crc32.Checksum(b[4:], crc32.MakeTable(crc32.Castagnoli)) {
		return o, false
	}
	o.count, o.segment, o.lsn = binary.LittleEndian.Uint64(b[4:]), binary.LittleEndian.Uint32(b[12:]), binary.LittleEndian.Uint64(b[16:])
	o.at = int64(binary.LittleEndian.Uint64(b[24:]))
	b = b[32:]
	for i := range 2 {
		if len(b) < 2 {
			return o, false
		}
		n := int(binary.LittleEndian.Uint16(b))
		if b = b[2:]; len(b) < 10*n {
			return o, false
		}
		m := map[uint16]int64{}
		for ; n > 0; n-- {
			m[binary.LittleEndian.Uint16(b)] = int64(binary.LittleEndian.Uint64(b[2:]))
			b = b[10:]
		}
		if i == 0 {
			o.first = m
		} else {
			o.later = m
		}
	}
	return o, true
}

// readOutage gives the newer whole half; a slot that is not there says nothing.
func readOutage(fs wal.FS) (o outage) {
	f, err := fs.Open(slotName)
	if err != nil {
		return o
	}
	defer f.Close()
	for i := range int64(2) {
		b := make([]byte, slotHalf)
		if _, err := f.ReadAt(b, i*slotHalf); err != nil && err != io.EOF {
			continue
		}
		if h, ok := decodeOutage(b); ok && h.count >= o.count {
			o = h
		}
	}
	return o
}

// makeSlot lays the slot's bytes out, if they are not there.
func makeSlot(fs wal.FS) error {
	if f, err := fs.Open(slotName); err == nil {
		size, err := f.Size()
		f.Close()
		if err == nil && size == 2*slotHalf {
			return nil
		}
	}
	f, err := fs.Create(slotName)
	if err != nil {
		return err
	}
	defer f.Close()
	none := outage{}
	if _, err = f.Write(slices.Concat(none.encode(), none.encode())); err == nil {
		err = f.Sync()
	}
	return err
}

// write replaces the older half.
func (o *outage) write(fs wal.FS) error {
	o.count++
	return fs.Patch(slotName, int64(o.count%2)*slotHalf, o.encode())
}
