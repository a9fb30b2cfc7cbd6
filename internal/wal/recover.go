package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrNewer is a file of a format that this program does not know.
var ErrNewer = errors.New("written by a newer version")

// ErrForeign is a segment of another owner's log.
var ErrForeign = errors.New("it belongs to another log")

var errHeader = errors.New("no header of a segment")

// DamageError names records that were on the disk and cannot be read. Nothing of the log is changed by
// finding them.
type DamageError struct {
	File   string
	Offset int64  // where reading failed
	From   uint64 // LSN of the first record that is missing
	Before uint64 // LSN of the first that can be read after it; 0 = none can
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

// Cut tells of a tail that was never on the disk whole.
type Cut struct {
	File   string
	Offset int64
	Bytes  int64
}

// Position is the place of a record's bytes.
type Position struct {
	Segment uint32
	Offset  int64
	Size    int
}

// Visit takes a record while a log is read; its bytes are good until Visit returns.
type Visit func(lsn uint64, at Position, record []byte) error

// segment is one file of the log.
type segment struct {
	header
	name string
	size int64 // up to the end of the last whole frame
	next uint64
	tail Cut // what lies after size
}

const (
	ending = ".wal"
	making = ".wal-new" // of a segment whose kept records may not be whole
)

func segmentName(n uint32) string { return fmt.Sprintf("%010d"+ending, n) }

// newest gives the newest segment of fs, and all files of the log, the leftovers of a crash among them. Only the
// newest is read: it begins with all that its owner kept, and got its name once that was on the disk.
func newest(fs FS) (name string, all []string, err error) {
	names, err := fs.List()
	if err != nil {
		return "", nil, err
	}
	for _, n := range names {
		if strings.HasSuffix(n, making) || strings.HasSuffix(n, ending) {
			all = append(all, n)
		}
		if strings.HasSuffix(n, ending) {
			name = max(name, n)
		}
	}
	return name, all, nil
}

// scan reads one segment. Memory: one piece or one frame, whichever is larger.
func scan(fs FS, name string, owner Owner, visit Visit) (*segment, error) {
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
	h, err := decodeHeader(head)
	if errors.Is(err, errHeader) {
		return nil, &DamageError{File: name}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if h.owner != owner {
		return nil, fmt.Errorf("%s: %w", name, ErrForeign)
	}
	s := &segment{header: h, name: name, size: headerSize, next: h.first}
	if name != segmentName(h.segment) {
		return nil, fmt.Errorf("%s: %w", name, ErrForeign)
	}
	in := &window{f: f, size: size}
	for s.size < size {
		fr, payload, ok, err := in.frame(s.size)
		if err != nil {
			return nil, err
		}
		if !ok || fr.lsn != s.next {
			return s, s.torn(in)
		}
		at := s.size + frameSize
		lsn := s.next
		sound, err := fr.split(payload, func(offset int, record []byte) error {
			err := visit(lsn, Position{h.segment, at + int64(offset), len(record)}, record)
			lsn++
			return err
		})
		if err != nil {
			return nil, err
		}
		if !sound { // the sum holds and the lengths do not: no writer of ours made it
			return nil, &DamageError{File: name, Offset: s.size, From: s.next}
		}
		s.next = lsn
		s.size = at + int64(fr.size)
	}
	return s, nil
}

// torn settles what lies after the last whole frame: damage, if a later frame says that this place was on the
// disk when it was written, else a tail to cut.
func (s *segment) torn(in *window) error {
	for at := s.size + 1; at+frameSize <= in.size; {
		found, err := in.find(at)
		if err != nil || found < 0 {
			if err != nil {
				return err
			}
			break
		}
		f, _, ok, err := in.frame(found)
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
	s.tail = Cut{s.name, s.size, in.size - s.size}
	return nil
}

// window reads a file by pieces.
type window struct {
	f    File
	size int64
	buf  []byte
	at   int64 // of buf in the file
}

const piece = 256 << 10

// bytes gives n bytes at an offset; fewer at the end of the file.
func (w *window) bytes(at int64, n int) ([]byte, error) {
	n = int(min(int64(n), w.size-at))
	if n <= 0 {
		return nil, nil
	}
	if at < w.at || at+int64(n) > w.at+int64(len(w.buf)) {
		room := int(min(int64(max(piece, n)), w.size-at))
		if cap(w.buf) < room {
			w.buf = make([]byte, room)
		}
		w.buf, w.at = w.buf[:room], at
		if got, err := w.f.ReadAt(w.buf, at); got < room {
			w.buf = w.buf[:0]
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return w.buf[at-w.at:][:n], nil
}

// frame reads the frame at an offset; false = there is no whole one.
func (w *window) frame(at int64) (f frame, payload []byte, ok bool, err error) {
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
	return f, all[frameSize:], f.whole(all, all[frameSize:]), nil
}

// find gives the offset of the next mark from at on; -1 = none.
func (w *window) find(at int64) (int64, error) {
	mark := binary.LittleEndian.AppendUint32(nil, frameMark)
	for at+int64(len(mark)) <= w.size {
		b, err := w.bytes(at, piece/2)
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
