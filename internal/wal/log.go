// Package wal implements a durable log of records in one directory. Records are appended in groups, read again after
// a crash, and carried over to a new segment that begins with the records that must be kept. The log does not
// interpret records. All methods except ReadAt must be called from one goroutine.
package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"
)

// Size limits of a record and a frame. They bound the memory that a length read from a file can request.
const (
	MaxRecord = 4 << 20
	maxFrame  = 8 << 20
)

// ErrFailed reports a log whose segment could not be written or synced. Records written since the last successful
// Sync are not durable; Roll begins a new segment.
var ErrFailed = errors.New("the log's segment has failed")

// ErrTooLarge reports a record larger than MaxRecord or a group larger than a frame.
var ErrTooLarge = errors.New("record too large")

// Options configures a log.
type Options struct {
	FS      FS
	Owner   Owner
	Segment int64 // size in bytes from which Full returns true
}

// Log is an open log.
type Log struct {
	opt         Options
	buf         []byte
	next        uint64 // LSN of the next record
	synced      uint64 // all records before this LSN are durable
	failed      error
	lastSegment uint32   // number of the newest segment, counting failed attempts to create one
	staleFiles  []string // files that the next Roll removes

	mu          sync.Mutex // protects the fields that ReadAt uses
	seg         *segment   // the newest segment; nil before the first Roll of an empty log
	initialSize int64      // size of seg after it was created
	file        File       // open file of seg
}

// Recovery is the result of reading a log at Open.
type Recovery struct {
	Records  uint64
	TornTail *TornTail // a torn tail, which the next Roll leaves behind; nil if there is none
}

// Open reads the newest segment of a log and passes each record to visit. It writes nothing: the first Roll begins a
// new segment, so that records are never appended after a torn tail.
func Open(opt Options, visit Visitor) (*Log, Recovery, error) {
	if opt.Segment <= 0 {
		opt.Segment = 8 << 20
	}
	l := &Log{opt: opt, next: 1, failed: ErrFailed} // Append fails until the first Roll
	name, names, err := findNewest(opt.FS)
	if err != nil {
		return nil, Recovery{}, err
	}
	l.staleFiles = names
	var recovered Recovery
	if name != "" {
		newest, err := scanSegment(opt.FS, name, opt.Owner, visit)
		if err != nil {
			return nil, recovered, err
		}
		if l.file, err = opt.FS.Open(name); err != nil {
			return nil, recovered, err
		}
		l.seg, l.next, l.lastSegment, recovered.Records = newest, newest.next, newest.segment, newest.next-newest.first
		if newest.tornTail.Bytes > 0 {
			recovered.TornTail = &newest.tornTail
		}
	}
	l.synced = l.next
	return l, recovered, nil
}

// NextLSN returns the LSN of the next record.
func (l *Log) NextLSN() uint64 { return l.next }

// Segment returns the number of the newest segment, or 0 if there is none.
func (l *Log) Segment() uint32 {
	if l.seg == nil {
		return 0
	}
	return l.seg.segment
}

// Err returns the reason why the newest segment takes no more records, or nil if it does.
func (l *Log) Err() error { return l.failed }

// NeedsRoll reports whether the newest segment has reached its size limit, not counting the records that it began with.
func (l *Log) NeedsRoll() bool { return l.seg.size-l.initialSize >= l.opt.Segment }

// Size returns the bytes of the newest segment.
func (l *Log) Size() int64 {
	if l.seg == nil {
		return 0
	}
	return l.seg.size + l.seg.tornTail.Bytes
}

// Append writes a group as one frame and returns the position of each record. After an error the group is not in the
// log, and nothing more can be appended until Roll.
func (l *Log) Append(records ...[]byte) ([]Position, error) {
	if l.failed != nil {
		return nil, l.failed
	}
	return l.append(l.file, l.seg, records)
}

func (l *Log) append(f File, s *segment, records [][]byte) ([]Position, error) {
	size := 0
	for _, r := range records {
		if size += len(r) + 10; len(r) > MaxRecord || size > maxFrame {
			return nil, ErrTooLarge
		}
	}
	l.buf = appendFrame(l.buf[:0], l.next, l.synced, records)
	if n, err := f.Write(l.buf); err != nil || n < len(l.buf) {
		if err == nil {
			err = errors.New("short write")
		}
		l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return nil, l.failed
	}
	positions := make([]Position, len(records))
	offset := s.size + frameSize
	for i, r := range records {
		offset += int64(uvarintSize(len(r)))
		positions[i] = Position{s.segment, offset, len(r)}
		offset += int64(len(r))
	}
	l.mu.Lock()
	s.size = offset
	s.next += uint64(len(records))
	l.mu.Unlock()
	l.next = s.next
	if cap(l.buf) > 1<<20 { // large groups are rare, so their buffer is not kept
		l.buf = nil
	}
	return positions, nil
}

func uvarintSize(n int) (size int) {
	for size = 1; n >= 0x80; n >>= 7 {
		size++
	}
	return size
}

// Sync makes all appended records durable. After an error it is unknown which records are, so the segment counts as
// failed: a later successful sync would prove nothing about them.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if l.synced == l.next {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return l.failed
	}
	l.synced = l.next
	return nil
}

// Roll begins a new segment with the records that must be kept, one frame each, syncs it, and removes the previous
// one. It also recovers from a failed segment, because the new one depends on none of its writes. A crash during Roll
// leaves either the old segment or the new one complete. After an error the log stays failed: if records were
// appended to the old segment, a new segment that did get its final name would hide them.
func (l *Log) Roll(keep ...[]byte) ([]Position, error) {
	l.lastSegment++
	next := &segment{header: header{l.lastSegment, l.next, l.opt.Owner}, name: segmentName(l.lastSegment), size: headerSize, next: l.next}
	oldNext, oldSynced := l.next, l.synced
	positions, f, err := l.writeSegment(next, keep)
	l.staleFiles = append(l.staleFiles, next.name+"-new")
	if err != nil {
		l.next, l.synced = oldNext, oldSynced
		if f != nil {
			f.Close()
		}
		l.staleFiles = append(l.staleFiles, next.name)
		l.removeStale("") // frees space on a full disk
		l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return nil, l.failed
	}
	l.mu.Lock()
	if l.seg != nil {
		l.staleFiles = append(l.staleFiles, l.seg.name)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.seg, l.file, l.initialSize = next, f, next.size
	l.mu.Unlock()
	l.failed, l.synced = nil, l.next
	l.removeStale(next.name)
	return positions, nil
}

// removeStale removes the stale files except the one named. Files that cannot be removed are tried again in the next
// sweep.
func (l *Log) removeStale(keep string) {
	var remaining []string
	for _, name := range l.staleFiles {
		if name == keep || l.seg != nil && name == l.seg.name {
			continue
		}
		if err := l.opt.FS.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			remaining = append(remaining, name)
		}
	}
	l.staleFiles = remaining
}

// writeSegment writes the file of s and renames it to its final name once it is durable.
func (l *Log) writeSegment(s *segment, keep [][]byte) (positions []Position, f File, err error) {
	f, err = l.opt.FS.Create(s.name + "-new")
	if err != nil {
		return nil, nil, err
	}
	if _, err = f.Write(s.header.encode()); err != nil {
		return nil, f, err
	}
	for _, r := range keep {
		p, err := l.append(f, s, [][]byte{r})
		if err != nil {
			return nil, f, err
		}
		positions = append(positions, p...)
	}
	if err = f.Sync(); err != nil {
		return nil, f, err
	}
	if err = l.opt.FS.Rename(s.name+"-new", s.name); err != nil {
		return nil, f, err
	}
	return positions, f, l.opt.FS.SyncDir()
}

// ReadAt reads a record again. It may be called from any goroutine. It returns ErrSegmentRemoved if Roll has removed the
// segment.
func (l *Log) ReadAt(p Position) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seg == nil || l.file == nil || p.Segment != l.seg.segment || p.Size < 0 || p.Offset+int64(p.Size) > l.seg.size {
		return nil, ErrSegmentRemoved
	}
	b := make([]byte, p.Size)
	if _, err := l.file.ReadAt(b, p.Offset); err != nil {
		return nil, err
	}
	return b, nil
}

// ErrSegmentRemoved reports a position in a segment that has been removed.
var ErrSegmentRemoved = errors.New("the record's segment was removed")

// Close closes the file without syncing it.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = ErrFailed
	if l.file == nil {
		return nil
	}
	f := l.file
	l.file = nil
	return f.Close()
}
