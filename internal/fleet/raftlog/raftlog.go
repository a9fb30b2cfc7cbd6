// Package raftlog stores raft's state (its term, vote, entries and newest snapshot) in a durable log, and restores it
// after a crash. It is not safe for concurrent use.
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

// Kinds of records; the kind is the first byte of each.
const (
	recIdentity byte = iota + 1
	recHardState
	recEntry
	recSnapshot
)

const formatVersion = 1

// trailingEntries is the number of entries covered by a snapshot that stay in memory, for nodes that are slightly
// behind: a snapshot of 300 servers takes 25 KB, and applying it takes 300² steps on the receiver.
const trailingEntries = 256

// ErrNewerVersion means that a log has a format which this program does not know.
var ErrNewerVersion = errors.New("written by a newer program")

// ErrDamaged means that a record has a valid checksum, but its content makes no sense.
var ErrDamaged = errors.New("damaged")

// Log implements raft's storage on one directory. The entries since the newest snapshot, and some before it, are also
// in memory, from where raft reads them.
type Log struct {
	*raft.MemoryStorage
	disk      *wal.Log
	node      string
	id        uint64
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	failed    error
}

// Open opens the log of a node, or creates one in an empty directory. A new log gets a new raft id: a node that has
// lost its disk may have voted in a term that it no longer knows, so it must not vote again under its old id. The log
// of another node, of a newer program or a damaged one is an error, and nothing is written.
func Open(fs wal.FS, node string, newID func() uint64, segmentBytes int64) (*Log, error) {
	l := &Log{MemoryStorage: raft.NewMemoryStorage(), node: node, hardState: &raftpb.HardState{}}
	var err error
	l.disk, _, err = wal.Open(wal.Options{FS: fs, Owner: owner(node), Segment: segmentBytes}, func(_ uint64, _ wal.Position, r []byte) error { return l.read(r) })
	if err != nil {
		return nil, fmt.Errorf("fleet log: %w", err)
	}
	if l.id == 0 {
		if l.id = newID(); l.id == 0 {
			return nil, fmt.Errorf("fleet log: the new id is 0")
		}
	}
	// A new segment comes before any other write: no records may follow a torn tail.
	if err := l.roll(); err != nil {
		return nil, fmt.Errorf("fleet log: %w", err)
	}
	return l, nil
}

func owner(node string) (o wal.Owner) {
	sum := sha256.Sum256([]byte("fleet\x00" + node))
	copy(o[:], sum[:])
	return o
}

// ID returns the raft id of this node, which stays the same as long as it keeps its disk.
func (l *Log) ID() uint64 { return l.id }

// Err returns why the log can no longer be written; nil = it can. A node whose log has failed no longer takes
// part.
func (l *Log) Err() error { return l.failed }

// read processes one record of a log that is opened.
func (l *Log) read(r []byte) error {
	if len(r) == 0 {
		return fmt.Errorf("empty record: %w", ErrDamaged)
	}
	kind, body := r[0], r[1:]
	if l.id == 0 && kind != recIdentity {
		return fmt.Errorf("record of kind %d before the identity: %w", kind, ErrDamaged)
	}
	switch kind {
	case recIdentity:
		if len(body) < 10 {
			return fmt.Errorf("identity record is too short: %w", ErrDamaged)
		}
		if v := binary.LittleEndian.Uint16(body); v != formatVersion {
			return fmt.Errorf("version %d: %w", v, ErrNewerVersion)
		}
		l.id = binary.LittleEndian.Uint64(body[2:])
	case recHardState:
		state := &raftpb.HardState{}
		if err := proto.Unmarshal(body, state); err != nil {
			return fmt.Errorf("hard state: %w: %w", ErrDamaged, err)
		}
		l.hardState = state
		return l.SetHardState(state)
	case recEntry:
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return fmt.Errorf("entry: %w: %w", ErrDamaged, err)
		}
		if last, err := l.LastIndex(); err != nil || e.GetIndex() > last+1 {
			return fmt.Errorf("entry %d after %d: %w", e.GetIndex(), last, ErrDamaged)
		}
		return l.Append([]*raftpb.Entry{e})
	case recSnapshot:
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(body, s); err != nil {
			return fmt.Errorf("snapshot: %w: %w", ErrDamaged, err)
		}
		l.snapshot = s
		return l.ApplySnapshot(s)
	default:
		return fmt.Errorf("unknown record of kind %d: %w", kind, ErrNewerVersion)
	}
	return nil
}

func record(kind byte, m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err != nil {
		return nil, fmt.Errorf("encoding a record of kind %d: %w", kind, err)
	}
	return b, nil
}

// Save stores what raft needs on disk before it sends the messages that depend on it. With sync it is on disk when
// Save returns. A snapshot comes from the leader, and replaces all earlier content. After an error no message that
// depends on the data may be sent.
func (l *Log) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot, sync bool) error {
	if l.failed != nil {
		return l.failed
	}
	return l.fail(l.save(hardState, entries, snapshot, sync))
}

func (l *Log) save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot, sync bool) error {
	if hardState != nil && !raft.IsEmptyHardState(hardState) {
		l.hardState = hardState
	} else {
		hardState = nil
	}
	if snapshot != nil && !raft.IsEmptySnap(snapshot) {
		l.snapshot = snapshot
		if err := l.ApplySnapshot(snapshot); err != nil {
			return err
		}
		if hardState != nil {
			if err := l.SetHardState(hardState); err != nil {
				return err
			}
		}
		if err := l.roll(); err != nil {
			return err
		}
		hardState = nil
	}
	var records [][]byte
	if hardState != nil {
		r, err := record(recHardState, hardState)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	for _, e := range entries {
		r, err := record(recEntry, e)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	if len(records) > 0 {
		if _, err := l.disk.Append(records...); err != nil {
			return err
		}
	}
	if sync {
		if err := l.disk.Sync(); err != nil {
			return err
		}
	}
	if hardState != nil {
		if err := l.SetHardState(hardState); err != nil {
			return err
		}
	}
	return l.Append(entries)
}

// fail makes an error permanent: it is unknown how much of the write reached the disk, and a successful retry would
// prove nothing.
func (l *Log) fail(err error) error {
	if err != nil {
		l.failed = fmt.Errorf("fleet log: %w", err)
	}
	return l.failed
}

// Full reports whether the log has reached its size, so that Compact would make it smaller.
func (l *Log) Full() bool { return l.failed == nil && l.disk.NeedsRoll() }

// Compact replaces all entries up to an applied one by the state after it.
func (l *Log) Compact(applied uint64, confState *raftpb.ConfState, state []byte) error {
	if l.failed != nil {
		return l.failed
	}
	first, err := l.FirstIndex()
	if err != nil {
		return fmt.Errorf("fleet log: %w", err)
	}
	s, err := l.CreateSnapshot(applied, confState, state)
	if err == nil {
		l.snapshot = s
		if applied >= first+trailingEntries {
			err = l.MemoryStorage.Compact(applied - trailingEntries)
		}
	}
	if err != nil { // raft's own errors: already compacted, or no such entry
		return fmt.Errorf("fleet log: compacting up to entry %d: %w", applied, err)
	}
	return l.fail(l.roll())
}

// roll begins a segment with everything that must be kept. After a crash either the old segment or the new one is
// complete.
func (l *Log) roll() error {
	id := binary.LittleEndian.AppendUint16([]byte{recIdentity}, formatVersion)
	records := [][]byte{binary.LittleEndian.AppendUint64(id, l.id)}
	addRecord := func(kind byte, m proto.Message) error {
		r, err := record(kind, m)
		records = append(records, r)
		return err
	}
	if l.snapshot != nil {
		if err := addRecord(recSnapshot, l.snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(l.hardState) {
		if err := addRecord(recHardState, l.hardState); err != nil {
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
			if err := addRecord(recEntry, e); err != nil {
				return err
			}
		}
	}
	_, err = l.disk.Roll(records...)
	return err
}

// Close closes the files without syncing them.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = errors.New("fleet log: closed")
	}
	return l.disk.Close()
}
