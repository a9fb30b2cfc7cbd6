package consensus

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

// sum is a small replicated state; its Apply refuses odd numbers.
type (
	sum struct{ Sum, Index uint64 }
	add struct{ N uint64 }
	// newerAdd is the entry of a later version of the program, with an additional field.
	newerAdd struct{ N, More uint64 }
)

var errOdd = errors.New("odd")

func (t *sum) Apply(index uint64, e *add) error {
	if t.Index = index; e.N%2 == 1 {
		return errOdd
	}
	t.Sum += e.N
	return nil
}

func startSingleNode(t *testing.T, disk *faultfs.Disk, bootstrap bool, machines ...StateMachine) (*Node, error) {
	t.Helper()
	store, err := raftlog.Open(disk, "n1", func() uint64 { return 1 }, 4<<10)
	if err == nil && bootstrap {
		err = Bootstrap(store, Member{Name: "n1", Zone: "a", Addr: "n1"})
	}
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(store, &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}, machines...)
	if err == nil {
		for range 50 {
			n.Tick()
			n.Flush()
		}
	}
	return n, err
}

func TestStateMachineIsReplicatedRestoredAndRefusedByOtherVersions(t *testing.T) {
	disk := faultfs.New(1)
	machine := NewTypedStateMachine[sum, add]("tally")
	n, err := startSingleNode(t, disk, true, machine)
	if err != nil {
		t.Fatal(err)
	}
	propose := func(n *Node, e any) (Output, error) {
		data, err := Encode(e)
		if err == nil {
			err = n.ProposeTo(7, "tally", data, true)
		}
		if err != nil {
			t.Fatal(err)
		}
		return n.Flush()
	}
	before, _ := n.Digest()
	for i, want := range []error{nil, errOdd} {
		out, err := propose(n, add{uint64(2 + i)})
		if err != nil || len(out.Applied) != 1 || !errors.Is(out.Applied[0].Err, want) || out.Applied[0].Part != "tally" || out.Applied[0].Entry != nil {
			t.Fatalf("%d: %+v, %v", i, out.Applied, err)
		}
	}
	if after, _ := n.Digest(); after == before || machine.State.Sum != 2 {
		t.Errorf("sum %d, digest %x before and %x after", machine.State.Sum, before, after)
	}
	if err := n.ReadIndex(9); err != nil {
		t.Fatal(err)
	}
	if out, err := n.Flush(); err != nil || !slices.Equal(out.Reads, []uint64{9}) {
		t.Errorf("reads %v, %v", out.Reads, err)
	}
	for machine.State.Sum < 400 { // until a snapshot contains it
		if _, err := propose(n, add{2}); err != nil {
			t.Fatal(err)
		}
	}
	disk.Restart()
	restarted := NewTypedStateMachine[sum, add]("tally")
	if n, err = startSingleNode(t, disk, false, restarted); err != nil || restarted.State != machine.State {
		t.Fatalf("state %+v after a restart, %+v before: %v", restarted.State, machine.State, err)
	}
	if _, err := propose(n, newerAdd{2, 2}); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("an entry with an unknown field: %v", err)
	}
	if _, err := n.Flush(); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("Flush after the failure: %v", err)
	}
	disk.Restart()
	if _, err = startSingleNode(t, disk, false); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("start without the state machine: %v", err)
	}
	other := &Node{machines: map[string]StateMachine{"tally": machine}}
	data, _ := encoder.Marshal(&other.state)
	if err := other.load(data); !errors.Is(err, ErrUnknownVersion) || machine.State.Sum == 0 {
		t.Errorf("snapshot of a program without the state machine: %v", err)
	}
	var state State
	if data, _ = other.save(); boundedDecoder.Unmarshal(data, &state) == nil {
		t.Error("a program without additional state machines reads a snapshot that has one")
	}
}
