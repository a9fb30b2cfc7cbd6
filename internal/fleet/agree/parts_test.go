package agree

import (
	"errors"
	"io"
	"log"
	"slices"
	"testing"

	"go.etcd.io/raft/v3"

	"larchscale/internal/faultfs"
	"larchscale/internal/fleet/raftlog"
)

// tally is a small part: a sum, and what it refuses.
type (
	tally struct{ Sum, Index uint64 }
	add   struct{ N uint64 }
	// wider is the entry of a later program.
	wider struct{ N, More uint64 }
)

var errOdd = errors.New("odd")

func (t *tally) Apply(index uint64, e *add) error {
	if t.Index = index; e.N%2 == 1 {
		return errOdd
	}
	t.Sum += e.N
	return nil
}

func alone(t *testing.T, disk *faultfs.Disk, found bool, parts ...Part) (*Node, error) {
	t.Helper()
	store, err := raftlog.Open(disk, "n1", func() uint64 { return 1 }, 4<<10)
	if err == nil && found {
		err = Found(store, Member{Name: "n1", Zone: "a", Addr: "n1"})
	}
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(store, &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}, parts...)
	if err == nil {
		for range 50 {
			n.Tick()
			n.Flush()
		}
	}
	return n, err
}

func TestAPartIsAgreedKeptAndRefusedByAProgramThatDoesNotKnowIt(t *testing.T) {
	disk := faultfs.New(1)
	part := NewAgreed[tally, add]("tally")
	n, err := alone(t, disk, true, part)
	if err != nil {
		t.Fatal(err)
	}
	say := func(n *Node, e any) (Output, error) {
		data, err := Encode(e)
		if err == nil {
			err = n.ProposePart(7, "tally", data, true)
		}
		if err != nil {
			t.Fatal(err)
		}
		return n.Flush()
	}
	was, _ := n.Digest()
	for i, want := range []error{nil, errOdd} {
		out, err := say(n, add{uint64(2 + i)})
		if err != nil || len(out.Applied) != 1 || !errors.Is(out.Applied[0].Err, want) || out.Applied[0].Part != "tally" || out.Applied[0].Entry != nil {
			t.Fatalf("%d: %+v, %v", i, out.Applied, err)
		}
	}
	if now, _ := n.Digest(); now == was || part.State.Sum != 2 {
		t.Errorf("sum %d, digest %x and %x", part.State.Sum, was, now)
	}
	if err := n.Read(9); err != nil {
		t.Fatal(err)
	}
	if out, err := n.Flush(); err != nil || !slices.Equal(out.Reads, []uint64{9}) {
		t.Errorf("reads %v, %v", out.Reads, err)
	}
	for part.State.Sum < 400 { // until a snapshot holds it
		if _, err := say(n, add{2}); err != nil {
			t.Fatal(err)
		}
	}
	disk.Restart()
	again := NewAgreed[tally, add]("tally")
	if n, err = alone(t, disk, false, again); err != nil || again.State != part.State {
		t.Fatalf("%+v after %+v: %v", again.State, part.State, err)
	}
	if _, err := say(n, wider{2, 2}); !errors.Is(err, ErrNewer) {
		t.Errorf("an entry with more in it: %v", err)
	}
	if _, err := n.Flush(); !errors.Is(err, ErrNewer) {
		t.Errorf("after it: %v", err)
	}
	disk.Restart()
	if _, err = alone(t, disk, false); !errors.Is(err, ErrNewer) {
		t.Errorf("a program without the part: %v", err)
	}
	plain := &Node{parts: map[string]Part{"tally": part}}
	data, _ := codec.Marshal(&plain.state)
	if err := plain.load(data); !errors.Is(err, ErrNewer) || part.State.Sum == 0 {
		t.Errorf("a snapshot of a program without the part: %v", err)
	}
	var state State
	if data, _ = plain.save(); bounded.Unmarshal(data, &state) == nil {
		t.Error("a program that knows no parts reads a snapshot with one")
	}
}
