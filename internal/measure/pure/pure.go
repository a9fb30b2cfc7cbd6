// Package pure times the parts of the control plane that do no I/O, on states of any size: also of fleets larger than
// those that the program admits.
package pure

import (
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"larchscale/internal/faultfs"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/raftlog"
)

const (
	zones  = 3
	voters = 3
	// leastCPU is how long something is repeated to be timed.
	leastCPU    = 200 * time.Millisecond
	silent      = 3000 // ms
	segment     = 1 << 20
	incarnation = 1_700_000_000_000
)

// Costs are the CPU times of one call each, and sizes.
type Costs struct {
	Look          time.Duration // maintenance.Next with a plan in order
	Arrange       time.Duration // maintenance.Next with a plan that has no order yet
	Named         time.Duration // consensus.State.MemberByName, of the member that is last
	Digest        time.Duration // consensus.Node.Digest: what a snapshot holds, encoded, and its sum
	SnapshotBytes int           // of raft's snapshot as it is sent
}

// ErrNext is a decision that is not what was to be timed.
var ErrNext = errors.New("not the decision that was to be timed")

// Measure times all on a fleet of so many servers, with a plan over all of them.
func Measure(servers int) (c Costs, err error) {
	state := fleetState(servers)
	view := reports(&state.Work)
	first := maintenance.Next(&state.Work, view)
	if len(first.Entries) != 1 || first.Entries[0].Kind != maintenance.Arrange {
		return c, fmt.Errorf("%d entries: %w", len(first.Entries), ErrNext)
	}
	c.Arrange = timed(func() { maintenance.Next(&state.Work, view) })
	state.Work.Plans[0].Order = first.Entries[0].Order
	if second := maintenance.Next(&state.Work, view); len(second.Entries) != 1 || second.Entries[0].Kind != maintenance.Grant {
		return c, fmt.Errorf("%d entries: %w", len(second.Entries), ErrNext)
	}
	c.Look = timed(func() { maintenance.Next(&state.Work, view) })
	last := state.Members[len(state.Members)-1].Name
	c.Named = timed(func() { state.MemberByName(last) })
	state.Work.Plans = nil
	node, size, err := restored(&state)
	if err != nil {
		return c, err
	}
	c.SnapshotBytes = size
	if _, err := node.Digest(); err != nil {
		return c, err
	}
	c.Digest = timed(func() { node.Digest() })
	return c, nil
}

// Admitted tells whether the rules of the fleet admit so many servers.
func Admitted(servers int) error {
	var state maintenance.State
	for i := range servers {
		if err := state.Apply(uint64(i+1), &maintenance.Entry{Kind: maintenance.Join, Box: name(i), Zone: zone(i)}); err != nil {
			return err
		}
	}
	return nil
}

func name(i int) string { return fmt.Sprintf("server%04d", i+1) }

func zone(i int) string { return string(rune('a' + i%zones)) }

// fleetState is that of a fleet in which all serve, with a plan over all. It is written down, not applied: the bounds of
// what may be applied do not hold it back.
func fleetState(servers int) consensus.State {
	var s consensus.State
	plan := maintenance.Plan{ID: "plan", By: "measure", Reason: "measure", Most: 1, State: maintenance.Running, Index: 1}
	for i := range servers {
		s.Members = append(s.Members, consensus.Member{ID: uint64(i+1) << 40, Name: name(i), Zone: zone(i), Addr: "127.0.0.1:40000", Voter: i < voters})
		s.Work.Boxes = append(s.Work.Boxes, maintenance.Server{Name: name(i), Zone: zone(i), Incarnation: incarnation, Index: uint64(2 * i)})
		plan.Boxes = append(plan.Boxes, name(i))
	}
	s.Work.Plans = []maintenance.Plan{plan}
	return s
}

// reports are those of a fleet in which all are warm.
func reports(s *maintenance.State) maintenance.View {
	v := maintenance.View{Now: incarnation, Self: s.Boxes[0].Name, SilentAfter: silent, Reports: map[string]maintenance.Report{}, Voters: map[string]bool{}}
	for i, b := range s.Boxes {
		v.Reports[b.Name] = maintenance.Report{Incarnation: incarnation, Heard: incarnation, Capacity: 100, Load: 30, Warm: true}
		v.Voters[b.Name] = i < voters
	}
	return v
}

// restored is a node that has a state from a snapshot, and the snapshot's size.
func restored(s *consensus.State) (*consensus.Node, int, error) {
	data, err := consensus.Encode(s)
	if err != nil {
		return nil, 0, err
	}
	conf := &raftpb.ConfState{}
	for _, m := range s.Members {
		if m.Voter {
			conf.Voters = append(conf.Voters, m.ID)
		} else {
			conf.Learners = append(conf.Learners, m.ID)
		}
	}
	snapshot := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: conf}}
	store, err := raftlog.Open(faultfs.New(1), s.Members[0].Name, func() uint64 { return s.Members[0].ID }, segment)
	if err != nil {
		return nil, 0, err
	}
	hard := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	if err := store.Save(hard, nil, snapshot, true); err != nil {
		return nil, 0, err
	}
	node, err := consensus.New(store, &raft.DefaultLogger{Logger: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)})
	return node, proto.Size(snapshot), err
}

// timed is the CPU time of the process for each of many calls.
func timed(do func()) time.Duration {
	for calls := 1; ; calls *= 2 {
		began := cpu()
		for range calls {
			do()
		}
		if used := cpu() - began; used >= leastCPU {
			return used / time.Duration(calls)
		}
	}
}

func cpu() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err) // it takes no argument that could be wrong
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
