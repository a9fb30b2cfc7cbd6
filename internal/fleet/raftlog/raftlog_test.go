package raftlog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"larchscale/internal/faultfs"
	"larchscale/internal/wal"
)

func id(n uint64) func() uint64 { return func() uint64 { return n } }

func entry(term, index uint64) *raftpb.Entry {
	return &raftpb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(index), Data: fmt.Append(nil, "t", term, "i", index)}
}

func vote(term, candidate uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(candidate), Commit: proto.Uint64(0)}
}

// text returns everything that raft would read from a log, as one string.
func text(t interface{ Fatal(...any) }, l *Log) string {
	hardState, confState, err := l.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	first, _ := l.FirstIndex()
	last, _ := l.LastIndex()
	if s, _ := l.Snapshot(); s != nil { // entries that it covers are only in memory
		first = max(first, s.GetMetadata().GetIndex()+1)
	}
	out := fmt.Sprintf("id %d term %d vote %d voters %v from %d:", l.ID(), hardState.GetTerm(), hardState.GetVote(), confState.GetVoters(), first)
	if last >= first {
		all, err := l.Entries(first, last+1, 1<<40)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range all {
			out += " " + string(e.GetData())
		}
	}
	return out
}

// Everything that Save has acknowledged survives a power cut at any operation of the disk: votes, entries, entries
// that replace others, snapshots made here and snapshots of the leader. A write that was not acknowledged is there
// completely or not at all.
func TestSavedStateSurvivesPowerCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := faultfs.New(rapid.Uint64().Draw(t, "seed"))
		cutAt := rapid.IntRange(0, 60).Draw(t, "cut at")
		open := func(d *faultfs.Disk) *Log {
			l, err := Open(d, "n1", id(7), 512)
			if err != nil {
				t.Fatal(err)
			}
			return l
		}
		l, twin := open(disk), open(faultfs.New(1)) // the disk of the twin never fails
		from := disk.Ops()
		disk.FailWith(func(_ string, n int) error {
			if n-from > cutAt {
				return errors.New("power is gone")
			}
			return nil
		})
		term, last, applied := uint64(1), uint64(0), uint64(0)
		acknowledged := text(t, twin) // after the last acknowledged operation
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			var operation func(*Log) error
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				term++
				h := vote(term, rapid.Uint64Range(1, 3).Draw(t, "vote"))
				operation = func(l *Log) error { return l.Save(h, nil, nil, true) }
			case 1, 2:
				var es []*raftpb.Entry
				for range rapid.IntRange(1, 4).Draw(t, "entries") {
					last++
					es = append(es, entry(term, last))
				}
				operation = func(l *Log) error { return l.Save(nil, es, nil, true) }
			case 3: // another leader's entry replaces the newest ones
				if last <= applied {
					continue
				}
				last = rapid.Uint64Range(applied+1, last).Draw(t, "from")
				term++
				h, e := vote(term, 2), entry(term, last)
				operation = func(l *Log) error { return l.Save(h, []*raftpb.Entry{e}, nil, true) }
			case 4:
				if last <= applied {
					continue
				}
				applied = rapid.Uint64Range(applied+1, last).Draw(t, "applied")
				operation = func(l *Log) error {
					return l.Compact(applied, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte("state"))
				}
			case 5:
				last, term = last+3, term+1
				applied = last
				snap := &raftpb.Snapshot{Data: []byte("theirs"), Metadata: &raftpb.SnapshotMetadata{
					Index: proto.Uint64(last), Term: proto.Uint64(term), ConfState: &raftpb.ConfState{Voters: []uint64{1, 2}}}}
				operation = func(l *Log) error { return l.Save(vote(snap.GetMetadata().GetTerm(), 0), nil, snap, true) }
			}
			if err := operation(twin); err != nil {
				t.Fatal(err)
			}
			if err := operation(l); err != nil {
				if l.Err() == nil || l.Save(vote(term+1, 1), nil, nil, true) == nil {
					t.Fatal("the log still works after a failure")
				}
				break
			}
			acknowledged = text(t, twin)
			if now := text(t, l); now != acknowledged {
				t.Fatalf("in memory    %s\nacknowledged %s", now, acknowledged)
			}
		}
		disk.CutPower()
		disk.Restart()
		if got := text(t, open(disk)); got != acknowledged && got != text(t, twin) {
			t.Fatalf("got          %s\nacknowledged %s\nor           %s", got, acknowledged, text(t, twin))
		}
	})
}

// A node that lost its disk gets a new id; one that kept it keeps its id.
func TestNodeWithoutItsDiskGetsNewID(t *testing.T) {
	disk := faultfs.New(1)
	for _, c := range []struct {
		disk  *faultfs.Disk
		newID uint64
		want  uint64
	}{{disk, 7, 7}, {disk, 8, 7}, {faultfs.New(2), 9, 9}} {
		l, err := Open(c.disk, "n1", id(c.newID), 1<<16)
		if err != nil {
			t.Fatal(err)
		}
		if l.ID() != c.want {
			t.Errorf("id %d, want %d", l.ID(), c.want)
		}
		if err := l.Close(); err != nil || l.Save(vote(9, 9), nil, nil, true) == nil {
			t.Errorf("close: %v, or Save works after it", err)
		}
	}
}

// A log that cannot be read is an error that names the reason, and its files stay as they are, so that they can still
// be repaired.
func TestUnreadableLogIsNotChanged(t *testing.T) {
	write := func(records ...[]byte) *faultfs.Disk {
		disk := faultfs.New(3)
		w, _, err := wal.Open(wal.Options{FS: disk, Owner: owner("n1")}, func(uint64, wal.Position, []byte) error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Roll(records...); err != nil {
			t.Fatal(err)
		}
		w.Close()
		return disk
	}
	identity := []byte{recIdentity, formatVersion, 0, 7, 0, 0, 0, 0, 0, 0, 0}
	gapEntry, _ := record(recEntry, entry(1, 9))
	for name, c := range map[string]struct {
		disk *faultfs.Disk
		node string
		want error
	}{
		"another node's":         {write(identity), "n2", wal.ErrOtherOwner},
		"a newer format":         {write([]byte{recIdentity, formatVersion + 1, 0, 7, 0, 0, 0, 0, 0, 0, 0}), "n1", ErrNewerVersion},
		"a newer record":         {write(identity, []byte{99}), "n1", ErrNewerVersion},
		"no identity":            {write(gapEntry), "n1", ErrDamaged},
		"truncated identity":     {write([]byte{recIdentity, 1}), "n1", ErrDamaged},
		"gap between entries":    {write(identity, gapEntry), "n1", ErrDamaged},
		"undecodable hard state": {write(identity, []byte{recHardState, 0xff}), "n1", ErrDamaged},
		"empty record":           {write(identity, []byte{}), "n1", ErrDamaged},
	} {
		before := c.disk.Ops()
		l, err := Open(c.disk, c.node, id(8), 1<<16)
		if !errors.Is(err, c.want) || l != nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		names, _ := c.disk.List()
		if len(names) != 1 {
			t.Errorf("%s: files %v after %d operations", name, names, c.disk.Ops()-before)
		}
	}
}
