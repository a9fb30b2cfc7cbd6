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

func vote(term, who uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(who), Commit: proto.Uint64(0)}
}

// text is all that raft would read back, as one string.
func text(t interface{ Fatal(...any) }, l *Log) string {
	h, c, err := l.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	first, _ := l.FirstIndex()
	last, _ := l.LastIndex()
	if s, _ := l.Snapshot(); s != nil { // what it covers is kept in memory alone
		first = max(first, s.GetMetadata().GetIndex()+1)
	}
	out := fmt.Sprintf("id %d term %d vote %d voters %v from %d:", l.ID(), h.GetTerm(), h.GetVote(), c.GetVoters(), first)
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

// What Save has kept is there after a power cut at any operation of the disk: a vote, entries, entries that took
// the place of others, a snapshot of one's own and of the leader's. What was not acknowledged is there whole or not
// at all.
func TestWhatWasSavedIsThereAfterAnyPowerCut(t *testing.T) {
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
		l, twin := open(disk), open(faultfs.New(1)) // the twin's disk never fails
		from := disk.Ops()
		disk.FailWith(func(_ string, n int) error {
			if n-from > cutAt {
				return errors.New("power is gone")
			}
			return nil
		})
		term, last, applied := uint64(1), uint64(0), uint64(0)
		kept := text(t, twin) // as of the last operation that was acknowledged
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			var do func(*Log) error
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				term++
				h := vote(term, rapid.Uint64Range(1, 3).Draw(t, "vote"))
				do = func(l *Log) error { return l.Save(h, nil, nil, true) }
			case 1, 2:
				var es []*raftpb.Entry
				for range rapid.IntRange(1, 4).Draw(t, "entries") {
					last++
					es = append(es, entry(term, last))
				}
				do = func(l *Log) error { return l.Save(nil, es, nil, true) }
			case 3: // another leader's entry takes the place of the newest
				if last <= applied {
					continue
				}
				last = rapid.Uint64Range(applied+1, last).Draw(t, "from")
				term++
				h, e := vote(term, 2), entry(term, last)
				do = func(l *Log) error { return l.Save(h, []*raftpb.Entry{e}, nil, true) }
			case 4:
				if last <= applied {
					continue
				}
				applied = rapid.Uint64Range(applied+1, last).Draw(t, "applied")
				do = func(l *Log) error {
					return l.Compact(applied, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte("state"))
				}
			case 5:
				last, term = last+3, term+1
				applied = last
				snap := &raftpb.Snapshot{Data: []byte("theirs"), Metadata: &raftpb.SnapshotMetadata{
					Index: proto.Uint64(last), Term: proto.Uint64(term), ConfState: &raftpb.ConfState{Voters: []uint64{1, 2}}}}
				do = func(l *Log) error { return l.Save(vote(snap.GetMetadata().GetTerm(), 0), nil, snap, true) }
			}
			if err := do(twin); err != nil {
				t.Fatal(err)
			}
			if err := do(l); err != nil {
				if l.Failed() == nil || l.Save(vote(term+1, 1), nil, nil, true) == nil {
					t.Fatal("it goes on after a failure")
				}
				break
			}
			kept = text(t, twin)
			if now := text(t, l); now != kept {
				t.Fatalf("memory %s\nkept %s", now, kept)
			}
		}
		disk.CutPower()
		disk.Restart()
		if got := text(t, open(disk)); got != kept && got != text(t, twin) {
			t.Fatalf("got  %s\nkept %s\nor   %s", got, kept, text(t, twin))
		}
	})
}

// A box that lost its disk is somebody new; one that kept it is who it was.
func TestABoxWithoutItsDiskIsSomebodyNew(t *testing.T) {
	disk := faultfs.New(1)
	for _, k := range []struct {
		disk *faultfs.Disk
		new  uint64
		want uint64
	}{{disk, 7, 7}, {disk, 8, 7}, {faultfs.New(2), 9, 9}} {
		l, err := Open(k.disk, "n1", id(k.new), 1<<16)
		if err != nil {
			t.Fatal(err)
		}
		if l.ID() != k.want {
			t.Errorf("id %d, want %d", l.ID(), k.want)
		}
		if err := l.Close(); err != nil || l.Save(vote(9, 9), nil, nil, true) == nil {
			t.Errorf("close %v, and it saves on", err)
		}
	}
}

// A log that cannot be read is named, and left as it is: the box takes no part, and whoever mends it finds all.
func TestALogThatCannotBeReadIsLeftAlone(t *testing.T) {
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
	self := []byte{recIdentity, version, 0, 7, 0, 0, 0, 0, 0, 0, 0}
	late, _ := record(recEntry, entry(1, 9))
	for name, k := range map[string]struct {
		disk *faultfs.Disk
		box  string
		want error
	}{
		"another box's":        {write(self), "n2", wal.ErrForeign},
		"a newer format":       {write([]byte{recIdentity, version + 1, 0, 7, 0, 0, 0, 0, 0, 0, 0}), "n1", ErrNewer},
		"a newer record":       {write(self, []byte{99}), "n1", ErrNewer},
		"no identity":          {write(late), "n1", ErrDamaged},
		"half an identity":     {write([]byte{recIdentity, 1}), "n1", ErrDamaged},
		"an entry that misses": {write(self, late), "n1", ErrDamaged},
		"a state of nonsense":  {write(self, []byte{recHard, 0xff}), "n1", ErrDamaged},
		"an empty record":      {write(self, []byte{}), "n1", ErrDamaged},
	} {
		before := k.disk.Ops()
		l, err := Open(k.disk, k.box, id(8), 1<<16)
		if !errors.Is(err, k.want) || l != nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %v", name, err, k.want)
		}
		names, _ := k.disk.List()
		if len(names) != 1 {
			t.Errorf("%s: files %v after %d operations", name, names, k.disk.Ops()-before)
		}
	}
}
