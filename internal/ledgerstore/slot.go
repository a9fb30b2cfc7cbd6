package ledgerstore

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"maps"
	"slices"

	"larchscale/internal/wal"
)

// The outage slot is a file whose blocks are allocated in advance, so that it can be written even if the disk is
// full. It holds the number of entries of each stand that would be missing if the process died now. It has two halves
// that are written in turn, so that one of them is always valid. Layout of a half, little-endian: CRC32-C u32 of the
// rest, write count u64, segment u32, LSN u64, time i64, then the entries of the first group and of the later ones,
// each as a u16 number of pairs (stand u16, entries u64).
const (
	slotFileName  = "outage"
	slotHalfBytes = 8 << 10
	maxSlotPairs  = 400 // of both lists together; further stands are added to stand 0
)

// outage holds the entries that are not known to be on disk. The first group may have reached the disk nevertheless,
// which the LSN of the recovered log shows.
type outage struct {
	count   uint64 // number of writes to the slot
	segment uint32 // segment that failed
	lsn     uint64 // LSN of the first group
	at      int64  // time of the write, Unix milliseconds
	first   map[uint16]int64
	later   map[uint16]int64
}

func (o *outage) add(counts map[uint16]int64, first bool) {
	target := &o.later
	if first {
		target = &o.first
	}
	if *target == nil {
		*target = map[uint16]int64{}
	}
	for stand, n := range counts {
		if len(o.first)+len(o.later) >= maxSlotPairs {
			stand = 0
		}
		(*target)[stand] += n
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
	b = append(b, make([]byte, slotHalfBytes-len(b))...)
	binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], crc32.MakeTable(crc32.Castagnoli)))
	return b
}

func decodeOutage(b []byte) (o outage, ok bool) {
	if len(b) != slotHalfBytes || binary.LittleEndian.Uint32(b) != crc32.Checksum(b[4:], crc32.MakeTable(crc32.Castagnoli)) {
		return o, false
	}
	o.count, o.segment, o.lsn = binary.LittleEndian.Uint64(b[4:]), binary.LittleEndian.Uint32(b[12:]), binary.LittleEndian.Uint64(b[16:])
	o.at = int64(binary.LittleEndian.Uint64(b[24:]))
	b = b[32:]
	for i := range 2 {
		if len(b) < 2 {
			return o, false
		}
		pairs := int(binary.LittleEndian.Uint16(b))
		if b = b[2:]; len(b) < 10*pairs {
			return o, false
		}
		counts := map[uint16]int64{}
		for ; pairs > 0; pairs-- {
			counts[binary.LittleEndian.Uint16(b)] = int64(binary.LittleEndian.Uint64(b[2:]))
			b = b[10:]
		}
		if i == 0 {
			o.first = counts
		} else {
			o.later = counts
		}
	}
	return o, true
}

// readOutage returns the newer valid half of the slot, or a zero outage if there is none.
func readOutage(fs wal.FS) (o outage) {
	f, err := fs.Open(slotFileName)
	if err != nil {
		return o
	}
	defer f.Close()
	for i := range int64(2) {
		b := make([]byte, slotHalfBytes)
		if _, err := f.ReadAt(b, i*slotHalfBytes); err != nil && err != io.EOF {
			continue
		}
		if half, ok := decodeOutage(b); ok && half.count >= o.count {
			o = half
		}
	}
	return o
}

// createSlot allocates the slot unless it exists with its full size.
func createSlot(fs wal.FS) error {
	if f, err := fs.Open(slotFileName); err == nil {
		size, err := f.Size()
		f.Close()
		if err == nil && size == 2*slotHalfBytes {
			return nil
		}
	}
	f, err := fs.Create(slotFileName)
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

// write overwrites the older half of the slot.
func (o *outage) write(fs wal.FS) error {
	o.count++
	return fs.Patch(slotFileName, int64(o.count%2)*slotHalfBytes, o.encode())
}
