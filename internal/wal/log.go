// Package wal is a durable log of records on one directory: appended in groups, read again after a crash,
// and rolled over to a new segment that begins with what must be kept. Records are bytes to it. Its owner
// calls it from one goroutine, but for ReadAt.
package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"
)

// Bounds of one record and one frame: no length read from a file sizes more memory than this.
const (
	MaxRecord = 4 << 20
	maxFrame  = 8 << 20
)

// ErrFailed is a log whose segment could not be written or synced. What was written since the last good Sync
// is promised to nobody; Roll begins a new segment.
var ErrFailed = errors.New("the log's segment has failed")

// ErrLarge is a record over MaxRecord, or a group over a frame.
var ErrLarge = errors.New("record too large")

// Options say how a log is kept.
type Options struct {
	FS      FS
	Owner   Owner
	Segment int64 // bytes after which Full tells to roll
}

// Log is an open log.
type Log struct {
	opt    Options
	buf    []byte
	next   uint64 // LSN of the next record
	synced uint64 // all before it is on the disk
	failed error
	count  uint32   // of the newest segment, tries to make one included
	stale  []string // files that the next Roll removes

	mu   sync.Mutex // of what ReadAt needs too
	seg  *segment   // the newest; nil = none yet
	kept int64      // its size when it was new
	file File       // seg, open
}

// Recovered tells what Open found.
type Recovered struct {
	Records uint64
	Cut     *Cut // a torn tail, which the next Roll leaves behind
}

// Open reads a log from its first record on, and gives each to visit. Nothing is written: the first Roll
// begins a segment of this opening, so that a torn tail is never written after.
func Open(opt Options, visit Visit) (*Log, Recovered, error) {
	if opt.Segment <= 0 {
		opt.Segment = 8 << 20
	}
	l := &Log{opt: opt, next: 1, failed: ErrFailed} // nothing is appended before Roll
	name, all, err := newest(opt.FS)
	if err != nil {
		return nil, Recovered{}, err
	}
	l.stale = all
	var got Recovered
	if name != "" {
		s, err := scan(opt.FS, name, opt.Owner, visit)
		if err != nil {
			return nil, got, err
		}
		if l.file, err = opt.FS.Open(name); err != nil {
			return nil, got, err
		}
		l.seg, l.next, l.count, got.Records = s, s.next, s.segment, s.next-s.first
		if s.tail.Bytes > 0 {
			got.Cut = &s.tail
		}
	}
	l.synced = l.next
	return l, got, nil
}

// Next is the LSN that the next record gets.
func (l *Log) Next() uint64 { return l.next }

// Segment is the number of the newest segment; 0 = there is none.
func (l *Log) Segment() uint32 {
	if l.seg == nil {
		return 0
	}
	return l.seg.segment
}

// Failed tells why the newest segment takes nothing more; nil = it does.
func (l *Log) Failed() error { return l.failed }

// Full tells that the newest segment has its size, beside what it began with.
func (l *Log) Full() bool { return l.seg.size-l.kept >= l.opt.Segment }

// Size is the bytes of the newest segment.
func (l *Log) Size() int64 {
	if l.seg == nil {
		return 0
	}
	return l.seg.size + l.seg.tail.Bytes
}

// Append writes a group as one frame and gives the place of each record. After an error the group is not in
// the log, and nothing more is taken until Roll.
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
			return nil, ErrLarge
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
	at := make([]Position, len(records))
	offset := s.size + frameSize
	for i, r := range records {
		offset += int64(uvarintSize(len(r)))
		at[i] = Position{s.segment, offset, len(r)}
		offset += int64(len(r))
	}
	l.mu.Lock()
	s.size = offset
	s.next += uint64(len(records))
	l.mu.Unlock()
	l.next = s.next
	if cap(l.buf) > 1<<20 { // a large group is rare, and its room is not kept
		l.buf = nil
	}
	return at, nil
}

func uvarintSize(n int) (size int) {
	for size = 1; n >= 0x80; n >>= 7 {
		size++
	}
	return size
}

// Sync has all that was appended on the disk. After an error it is not known what is: the segment is done for,
// as a second sync that succeeds would prove nothing.
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

// Roll begins a new segment with the records that must be kept, syncs it, and drops the one before. Each record
// is a frame of its own. It is also the way out of a failed segment, as the new one rests on none of its writes.
// A crash in it leaves the old segment or the new one, each whole. After an error the log stays failed: were the
// old segment written on, a new one that did get its name would hide that.
func (l *Log) Roll(keep ...[]byte) ([]Position, error) {
	l.count++
	s := &segment{header: header{l.count, l.next, l.opt.Owner}, name: segmentName(l.count), size: headerSize, next: l.next}
	was, synced := l.next, l.synced
	at, f, err := l.fill(s, keep)
	l.stale = append(l.stale, s.name+"-new")
	if err != nil {
		l.next, l.synced = was, synced
		if f != nil {
			f.Close()
		}
		l.stale = append(l.stale, s.name)
		l.sweep("") // makes room on a full disk
		l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return nil, l.failed
	}
	l.mu.Lock()
	if l.seg != nil {
		l.stale = append(l.stale, l.seg.name)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.seg, l.file, l.kept = s, f, s.size
	l.mu.Unlock()
	l.failed, l.synced = nil, l.next
	l.sweep(s.name)
	return at, nil
}

// sweep removes what is not needed, but for the file named; what cannot be removed is tried again.
func (l *Log) sweep(but string) {
	var left []string
	for _, name := range l.stale {
		if name == but || l.seg != nil && name == l.seg.name {
			continue
		}
		if err := l.opt.FS.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			left = append(left, name)
		}
	}
	l.stale = left
}

// fill makes the file of s. It gets its name once all of it is on the disk.
func (l *Log) fill(s *segment, keep [][]byte) (at []Position, f File, err error) {
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
		at = append(at, p...)
	}
	if err = f.Sync(); err != nil {
		return nil, f, err
	}
	if err = l.opt.FS.Rename(s.name+"-new", s.name); err != nil {
		return nil, f, err
	}
	return at, f, l.opt.FS.SyncDir()
}

// ReadAt reads a record again. It may be called beside the owner; ErrGone is a place that Roll has dropped.
func (l *Log) ReadAt(p Position) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seg == nil || l.file == nil || p.Segment != l.seg.segment || p.Size < 0 || p.Offset+int64(p.Size) > l.seg.size {
		return nil, ErrGone
	}
	b := make([]byte, p.Size)
	if _, err := l.file.ReadAt(b, p.Offset); err != nil {
		return nil, err
	}
	return b, nil
}

// ErrGone is a place in a segment that is no longer there.
var ErrGone = errors.New("the record's segment is gone")

// Close closes the file; it syncs nothing.
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
