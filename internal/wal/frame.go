package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// The layout on disk, all figures little-endian. A file is a header and frames; a frame holds the records of
// one group, so that a group is there whole or not at all.
//
//	header (40 bytes): magic "LWALSEG1", format u16, zero u16, segment u32, first LSN u64, owner [12]byte,
//	                   CRC32-C u32 of all before it
//	frame  (32 bytes): mark u32, payload length u32, LSN u64 of its first record, synced u64, records u32,
//	                   CRC32-C u32 of the 28 bytes before it and the payload
//	payload:           for each record its length as a uvarint, and its bytes
//
// synced says up to which LSN everything was on the disk when the frame was written. It tells damage from a
// tail that a power cut tore: what lies below a later frame's synced cannot have been torn.
const (
	magic      = "LWALSEG1"
	format     = 1
	headerSize = 40
	frameSize  = 32
	frameMark  = 0x1da7c057
	ownerSize  = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Owner names whose log it is. A segment of another owner is not read.
type Owner [ownerSize]byte

type header struct {
	segment uint32
	first   uint64
	owner   Owner
}

func (h header) encode() []byte {
	b := append(make([]byte, 0, headerSize), magic...)
	b = binary.LittleEndian.AppendUint16(b, format)
	b = append(b, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, h.segment)
	b = binary.LittleEndian.AppendUint64(b, h.first)
	b = append(b, h.owner[:]...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader gives ErrNewer for a whole header of a later format, errHeader for what is none.
func decodeHeader(b []byte) (h header, err error) {
	if len(b) < headerSize || string(b[:8]) != magic ||
		binary.LittleEndian.Uint32(b[36:]) != crc32.Checksum(b[:36], castagnoli) {
		return h, errHeader
	}
	if binary.LittleEndian.Uint16(b[8:]) != format {
		return h, ErrNewer
	}
	h.segment = binary.LittleEndian.Uint32(b[12:])
	h.first = binary.LittleEndian.Uint64(b[16:])
	copy(h.owner[:], b[24:36])
	return h, nil
}

type frame struct {
	size    int // of the payload
	lsn     uint64
	synced  uint64
	records uint32
	sum     uint32
}

// appendFrame adds the frame of a group to b.
func appendFrame(b []byte, lsn, synced uint64, records [][]byte) []byte {
	at := len(b)
	b = append(b, make([]byte, frameSize)...)
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	h := b[at:]
	binary.LittleEndian.PutUint32(h, frameMark)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(h)-frameSize))
	binary.LittleEndian.PutUint64(h[8:], lsn)
	binary.LittleEndian.PutUint64(h[16:], synced)
	binary.LittleEndian.PutUint32(h[24:], uint32(len(records)))
	binary.LittleEndian.PutUint32(h[28:], frameSum(h[:28], h[frameSize:]))
	return b
}

func frameSum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, payload)
}

// decodeFrame reads the fixed part; false = it is none. Its sum is checked against the payload by whole.
func decodeFrame(b []byte) (f frame, ok bool) {
	if len(b) < frameSize || binary.LittleEndian.Uint32(b) != frameMark {
		return f, false
	}
	f = frame{size: int(binary.LittleEndian.Uint32(b[4:])), lsn: binary.LittleEndian.Uint64(b[8:]),
		synced: binary.LittleEndian.Uint64(b[16:]), records: binary.LittleEndian.Uint32(b[24:]), sum: binary.LittleEndian.Uint32(b[28:])}
	return f, f.size <= maxFrame && int64(f.records) <= int64(f.size)
}

func (f frame) whole(head, payload []byte) bool { return frameSum(head[:28], payload) == f.sum }

// split gives the records of a payload to do, with the place of each in it. False = the lengths do not add up.
func (f frame) split(payload []byte, do func(offset int, record []byte) error) (bool, error) {
	at := 0
	for range f.records {
		n, w := binary.Uvarint(payload[at:])
		if w <= 0 || n > uint64(len(payload)-at-w) {
			return false, nil
		}
		at += w
		if err := do(at, payload[at:at+int(n):at+int(n)]); err != nil {
			return true, err
		}
		at += int(n)
	}
	return at == len(payload), nil
}
