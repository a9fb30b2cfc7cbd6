package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// The layout on disk; all numbers are little-endian. A file is a header followed by frames. A frame holds the records
// of one group, so that a group is read either completely or not at all.
//
//	header (40 bytes): magic "LWALSEG1", format u16, zero u16, segment u32, first LSN u64, owner [12]byte,
//	                   CRC32-C u32 of all bytes before it
//	frame  (32 bytes): mark u32, payload length u32, LSN u64 of its first record, synced u64, records u32,
//	                   CRC32-C u32 of the 28 bytes before it and the payload
//	payload:           for each record its length as a uvarint, and its bytes
//
// synced is the LSN up to which everything was durable when the frame was written. It distinguishes damage from a
// tail torn by a power failure: whatever lies below the synced LSN of a later frame cannot have been torn.
const (
	magic      = "LWALSEG1"
	format     = 1
	headerSize = 40
	frameSize  = 32
	frameMark  = 0x1da7c057
	ownerSize  = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Owner identifies the owner of a log. Segments of another owner are refused.
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

// decodeHeader returns ErrNewer for a valid header of a newer format and errHeader for bytes that are no valid
// header.
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
	size     int // payload bytes
	lsn      uint64
	synced   uint64
	records  uint32
	checksum uint32
}

// appendFrame appends the frame of a group to b.
func appendFrame(b []byte, lsn, synced uint64, records [][]byte) []byte {
	start := len(b)
	b = append(b, make([]byte, frameSize)...)
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	encoded := b[start:]
	binary.LittleEndian.PutUint32(encoded, frameMark)
	binary.LittleEndian.PutUint32(encoded[4:], uint32(len(encoded)-frameSize))
	binary.LittleEndian.PutUint64(encoded[8:], lsn)
	binary.LittleEndian.PutUint64(encoded[16:], synced)
	binary.LittleEndian.PutUint32(encoded[24:], uint32(len(records)))
	binary.LittleEndian.PutUint32(encoded[28:], frameChecksum(encoded[:28], encoded[frameSize:]))
	return b
}

func frameChecksum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, payload)
}

// decodeFrame decodes the fixed part of a frame. It returns false if the bytes are no frame header. The checksum is
// verified by checksumMatches, which needs the payload.
func decodeFrame(b []byte) (f frame, ok bool) {
	if len(b) < frameSize || binary.LittleEndian.Uint32(b) != frameMark {
		return f, false
	}
	f = frame{size: int(binary.LittleEndian.Uint32(b[4:])), lsn: binary.LittleEndian.Uint64(b[8:]),
		synced: binary.LittleEndian.Uint64(b[16:]), records: binary.LittleEndian.Uint32(b[24:]), checksum: binary.LittleEndian.Uint32(b[28:])}
	return f, f.size <= maxFrame && int64(f.records) <= int64(f.size)
}

func (f frame) checksumMatches(head, payload []byte) bool {
	return frameChecksum(head[:28], payload) == f.checksum
}

// forEachRecord passes each record of a payload to do, with its offset in the payload. It returns false if the record
// lengths do not match the payload.
func (f frame) forEachRecord(payload []byte, do func(offset int, record []byte) error) (bool, error) {
	position := 0
	for range f.records {
		length, prefixSize := binary.Uvarint(payload[position:])
		if prefixSize <= 0 || length > uint64(len(payload)-position-prefixSize) {
			return false, nil
		}
		position += prefixSize
		if err := do(position, payload[position:position+int(length):position+int(length)]); err != nil {
			return true, err
		}
		position += int(length)
	}
	return position == len(payload), nil
}
