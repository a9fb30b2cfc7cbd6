package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrNewer reports a file of a format newer than this program supports.
var ErrNewer = errors.New("written by a newer version")

// ErrOtherOwner reports a segment that belongs to another log.
var ErrOtherOwner = errors.New("the segment belongs to another log")

var errHeader = errors.New("invalid segment header")

// DamageError reports durable records that can no longer be read. Detecting the damage does not change the log.
type DamageError struct {
	File   string
	Offset int64  // offset at which reading failed
	From   uint64 // LSN of the first missing record; 0 if the header is damaged
	Before uint64 // LSN of the first readable record after them; 0 if there is none
}

func (e *DamageError) Error() string {
	if e.From == 0 {
		return fmt.Sprintf("%s: damaged at byte %d, all records", e.File, e.Offset)
	}
	if e.Before == 0 {
		return fmt.Sprintf("%s: damaged at byte %d, records from %d on", e.File, e.Offset, e.From)
	}
	return fmt.Sprintf("%s: damaged at byte %d, records %d to %d", e.File, e.Offset, e.From, e.Before-1)
}

// TornTail describes a torn tail, which was never completely durable.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Position locates the bytes of a record.
type Position struct {
	Segment uint32
	Offset  int64
	Size    int
}

// Visitor receives each record while a log is read. The record's bytes are valid only until Visitor returns.
type Visitor func(lsn uint64, at Position, record []byte) error

// segment is one file of the log.
type segment struct {
	header
	name     string
	size     int64 // end of the last valid frame
	next     uint64
	tornTail TornTail // bytes after size
}

const (
	segmentSuffix    = ".wal"
	unfinishedSuffix = ".wal-new" // suffix of a segment that is still being written
)

func segmentName(n uint32) string { return fmt.Sprintf("%010d"+segmentSuffix, n) }

// findNewest returns the name of the newest segment and the names of all files of the log, including leftovers of a
// crash. Only the newest segment is read: it begins with all records that had to be kept, and it got its name only
// once they were durable.
func findNewest(fs FS) (name string, logFiles []string, err error) {
	names, err := fs.List()
	if err != nil {
		return "", nil, err
	}
	for _, n := range names {
		if strings.HasSuffix(n, unfinishedSuffix) || strings.HasSuffix(n, segmentSuffix) {
			logFiles = append(logFiles, n)
		}
		if strings.HasSuffix(n, segmentSuffix) {
			name = max(name, n)
		}
	}
	return name, logFiles, nil
}

// scanSegment reads one segment. It holds at most one chunk or one frame in memory, whichever is larger.
func scanSegment(fs FS, name string, owner Owner, visit Visitor) (*segment, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	head := make([]byte, headerSize)
	if n, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	} else {
		head = head[:n]
	}
	segHeader, err := decodeHeader(head)
	if errors.Is(err, errHeader) {
		return nil, &DamageError{File: name}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if segHeader.owner != owner {
		return nil, fmt.Errorf("%s: %w", name, ErrOtherOwner)
	}
	seg := &segment{header: segHeader, name: name, size: headerSize, next: segHeader.first}
	if name != segmentName(segHeader.segment) {
		return nil, fmt.Errorf("%s: %w", name, ErrOtherOwner)
	}
	reader := &chunkReader{f: f, size: size}
	for seg.size < size {
		current, payload, ok, err := reader.frame(seg.size)
		if err != nil {
			return nil, err
		}
		if !ok || current.lsn != seg.next {
			return seg, seg.classifyTail(reader)
		}
		payloadStart := seg.size + frameSize
		lsn := seg.next
		lengthsMatch, err := current.forEachRecord(payload, func(offset int, record []byte) error {
			err := visit(lsn, Position{segHeader.segment, payloadStart + int64(offset), len(record)}, record)
			lsn++
			return err
		})
		if err != nil {
			return nil, err
		}
		if !lengthsMatch { // the checksum matches but the lengths do not: not written by this program
			return nil, &DamageError{File: name, Offset: seg.size, From: seg.next}
		}
		seg.next = lsn
		seg.size = payloadStart + int64(current.size)
	}
	return seg, nil
}

// classifyTail decides what the bytes after the last valid frame are: damage if a later frame shows that this offset
// was durable when that frame was written, otherwise a torn tail to be cut off.
func (s *segment) classifyTail(reader *chunkReader) error {
	for at := s.size + 1; at+frameSize <= reader.size; {
		found, err := reader.find(at)
		if err != nil || found < 0 {
			if err != nil {
				return err
			}
			break
		}
		f, _, ok, err := reader.frame(found)
		if err != nil {
			return err
		}
		if ok && f.lsn > s.next {
			if f.synced > s.next {
				return &DamageError{File: s.name, Offset: s.size, From: s.next, Before: f.lsn}
			}
			at = found + frameSize + int64(f.size)
			continue
		}
		at = found + 1
	}
	s.tornTail = TornTail{s.name, s.size, reader.size - s.size}
	return nil
}

// chunkReader reads a file in chunks.
type chunkReader struct {
	f    File
	size int64
	buf  []byte
	at   int64 // file offset of buf
}

const chunkBytes = 256 << 10

// bytes returns n bytes at an offset, or fewer at the end of the file. They are valid until the next call.
func (w *chunkReader) bytes(at int64, n int) ([]byte, error) {
	n = int(min(int64(n), w.size-at))
	if n <= 0 {
		return nil, nil
	}
	if at < w.at || at+int64(n) > w.at+int64(len(w.buf)) {
		length := int(min(int64(max(chunkBytes, n)), w.size-at))
		if cap(w.buf) < length {
			w.buf = make([]byte, length)
		}
		w.buf, w.at = w.buf[:length], at
		if got, err := w.f.ReadAt(w.buf, at); got < length {
			w.buf = w.buf[:0]
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return w.buf[at-w.at:][:n], nil
}

// frame reads the frame at an offset. It returns false if there is no valid frame.
func (w *chunkReader) frame(at int64) (f frame, payload []byte, ok bool, err error) {
	head, err := w.bytes(at, frameSize)
	if err != nil {
		return f, nil, false, err
	}
	if f, ok = decodeFrame(head); !ok || at+frameSize+int64(f.size) > w.size {
		return f, nil, false, nil
	}
	all, err := w.bytes(at, frameSize+f.size)
	if err != nil {
		return f, nil, false, err
	}
	return f, all[frameSize:], f.checksumMatches(all, all[frameSize:]), nil
}

// find returns the offset of the next frame mark at or after an offset, or -1 if there is none.
func (w *chunkReader) find(at int64) (int64, error) {
	mark := binary.LittleEndian.AppendUint32(nil, frameMark)
	for at+int64(len(mark)) <= w.size {
		b, err := w.bytes(at, chunkBytes/2)
		if err != nil {
			return -1, err
		}
		if i := bytes.Index(b, mark); i >= 0 {
			return at + int64(i), nil
		}
		at += int64(max(1, len(b)-len(mark)+1))
	}
	return -1, nil
}
