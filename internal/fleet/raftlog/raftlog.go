// Package raftlog keeps what raft must not forget (its term, its vote, its entries, its newest snapshot) in a durable
// log, and gives it back after a crash. Its owner calls it from one goroutine.
package raftlog

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"larchscale/internal/wal"
)

// The kinds of record, in the first byte of each.
const (
	recIdentity byte = iota + 1
	recHard
	recEntry
	recSnapshot
)

const version = 1

// trail is how many entries that a snapshot covers stay in memory, for boxes that are a little behind: a snapshot of
// 300 boxes is 25 KB, and costs who takes it 300² steps.
const trail = 256

// ErrNewer is a log of a format that this program does not know.
var ErrNewer = errors.New("written by a newer program")

// ErrDamaged is a record that is whole on the disk and says nothing sound.
var ErrDamaged = errors.New("damaged")

// Log is raft's storage on one directory. The entries since the newest snapshot, and some before it, are also in
// memory, where raft reads them.
type Log struct {
	*raft.MemoryStorage
	disk     *wal.Log
	box      string
	id       uint64
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot
	failed   error
}

// Open reads the log of a box, or begins one in an empty directory. A new log gets a new id, by which raft knows the
// box: one that lost its disk may have voted in a term that it has forgotten, and is nobody that raft has met. A
// log of another box, a newer program's or a damaged one is an error, and nothing is written.
func Open(fs wal.FS, box string, newID func() uint64, segment int64) (*Log, error) {
	l := &Log{MemoryStorage: raft.NewMemoryStorage(), box: box, hard: &raftpb.HardState{}}
	var err error
	l.disk, _, err = wal.Open(wal.Options{FS: fs, Owner: owner(box), Segment: segment}, func(_ uint64, _ wal.Position, r []byte) error { return l.read(r) })
	if err != nil {
		return nil, fmt.Errorf("fleet's log: %w", err)
	}
	if l.id == 0 {
		if l.id = newID(); l.id == 0 {
			return nil, fmt.Errorf("fleet's log: no id was given")
		}
	}
	// The first thing written is a new segment: nothing follows a torn tail.
	if err := l.roll(); err != nil {
		return nil, fmt.Errorf("fleet's log: %w", err)
	}
	return l, nil
}

func owner(box string) (o wal.Owner) {
	h := sha256.Sum256([]byte("fleet\x00" + box))
	copy(o[:], h[:])
	return o
}

// ID is how raft knows this box, as long as it keeps its disk.
func (l *Log) ID() uint64 { return l.id }

// Failed tells why nothing more can be kept; nil = all is well. A box whose log has failed takes no part any longer.
func (l *Log) Failed() error { return l.failed }

// read takes one record of the log that is opened.
func (l *Log) read(r []byte) error {
	if len(r) == 0 {
		return fmt.Errorf("an empty record: %w", ErrDamaged)
	}
	kind, body := r[0], r[1:]
	if l.id == 0 && kind != recIdentity {
		return fmt.Errorf("a record of kind %d before the identity: %w", kind, ErrDamaged)
	}
	switch kind {
	case recIdentity:
		if len(body) < 10 {
			return fmt.Errorf("the identity: %w", ErrDamaged)
		}
		if v := binary.LittleEndian.Uint16(body); v != version {
			return fmt.Errorf("version %d: %w", v, ErrNewer)
		}
		l.id = binary.LittleEndian.Uint64(body[2:])
	case recHard:
		h := &raftpb.HardState{}
		if err := proto.Unmarshal(body, h); err != nil {
			return fmt.Errorf("a state: %w: %w", ErrDamaged, err)
		}
		l.hard = h
		return l.SetHardState(h)
	case recEntry:
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return fmt.Errorf("an entry: %w: %w", ErrDamaged, err)
		}
		if last, err := l.LastIndex(); err != nil || e.GetIndex() > last+1 {
			return fmt.Errorf("entry %d after %d: %w", e.GetIndex(), last, ErrDamaged)
		}
		return l.Append([]*raftpb.Entry{e})
	case recSnapshot:
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(body, s); err != nil {
			return fmt.Errorf("a snapshot: %w: %w", ErrDamaged, err)
		}
		l.snapshot = s
		return l.ApplySnapshot(s)
	default:
		return fmt.Errorf("a record of kind %d: %w", kind, ErrNewer)
	}
	return nil
}

func record(kind byte, m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err != nil {
		return nil, fmt.Errorf("record of kind %d: %w", kind, err)
	}
	return b, nil
}

// Save keeps what raft wants kept before anything it has to say leaves the box: with sync it is on the disk when
// Save returns. A snapshot came from the leader, and takes the place of all there was. After an error nothing that
// depends on it may be said.
func (l *Log) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot, sync bool) error {
	if l.failed != nil {
		return l.failed
	}
	return l.fail(l.save(hard, entries, snapshot, sync))
}

func (l *Log) save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot, sync bool) error {
	if hard != nil && !raft.IsEmptyHardState(hard) {
		l.hard = hard
	} else {
		hard = nil
	}
	if snapshot != nil && !raft.IsEmptySnap(snapshot) {
		l.snapshot = snapshot
		if err := l.ApplySnapshot(snapshot); err != nil {
			return err
		}
		if hard != nil {
			if err := l.SetHardState(hard); err != nil {
				return err
			}
		}
		if err := l.roll(); err != nil {
			return err
		}
		hard = nil
	}
	var group [][]byte
	if hard != nil {
		r, err := record(recHard, hard)
		if err != nil {
			return err
		}
		group = append(group, r)
	}
	for _, e := range entries {
		r, err := record(recEntry, e)
		if err != nil {
			return err
		}
		group = append(group, r)
	}
	if len(group) > 0 {
		if _, err := l.disk.Append(group...); err != nil {
			return err
		}
	}
	if sync {
		if err := l.disk.Sync(); err != nil {
			return err
		}
	}
	if hard != nil {
		if err := l.SetHardState(hard); err != nil {
			return err
		}
	}
	return l.Append(entries)
}

// fail notes an error for good: what of a write reached the disk is not known, and a second try proves nothing.
func (l *Log) fail(err error) error {
	if err != nil {
		l.failed = fmt.Errorf("fleet's log: %w", err)
	}
	return l.failed
}

// Full tells that the log has its size, and that a Compact would make it small.
func (l *Log) Full() bool { return l.failed == nil && l.disk.Full() }

// Compact puts the state as of an applied entry in the place of all entries up to it.
func (l *Log) Compact(applied uint64, conf *raftpb.ConfState, state []byte) error {
	if l.failed != nil {
		return l.failed
	}
	first, err := l.FirstIndex()
	if err != nil {
		return fmt.Errorf("fleet's log: %w", err)
	}
	s, err := l.CreateSnapshot(applied, conf, state)
	if err == nil {
		l.snapshot = s
		if applied >= first+trail {
			err = l.MemoryStorage.Compact(applied - trail)
		}
	}
	if err != nil { // raft's own bounds: it was compacted already, or is not there
		return fmt.Errorf("fleet's log: up to %d: %w", applied, err)
	}
	return l.fail(l.roll())
}

// roll begins a segment with all that must be kept. A crash in it leaves the old segment or the new one, whole.
func (l *Log) roll() error {
	id := binary.LittleEndian.AppendUint16([]byte{recIdentity}, version)
	keep := [][]byte{binary.LittleEndian.AppendUint64(id, l.id)}
	add := func(kind byte, m proto.Message) error {
		r, err := record(kind, m)
		keep = append(keep, r)
		return err
	}
	if l.snapshot != nil {
		if err := add(recSnapshot, l.snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(l.hard) {
		if err := add(recHard, l.hard); err != nil {
			return err
		}
	}
	first, err := l.FirstIndex()
	if err != nil {
		return err
	}
	last, err := l.LastIndex()
	if err != nil {
		return err
	}
	if l.snapshot != nil {
		first = max(first, l.snapshot.GetMetadata().GetIndex()+1)
	}
	if last >= first {
		entries, err := l.Entries(first, last+1, 1<<62)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if err := add(recEntry, e); err != nil {
				return err
			}
		}
	}
	_, err = l.disk.Roll(keep...)
	return err
}

// Close closes the files; it syncs nothing.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = errors.New("fleet's log: closed")
	}
	return l.disk.Close()
}
