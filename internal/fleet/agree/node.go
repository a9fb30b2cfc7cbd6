package agree

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"larchscale/internal/fleet/takeout"
)

// Ticks of raft. One is 100 ms in service: a leader that is gone is replaced within 0.8 to 1.6 s.
const (
	heartbeatTicks = 1
	electionTicks  = 8
	learnerTicks   = 10       // of heartbeats to those that do not vote: at 300 boxes nearly all; entries go at once
	maxMessage     = 1 << 20  // bytes of entries in one message
	maxUncommitted = 4 << 20  // bytes of proposals that no majority has
	maxInflight    = 64       // messages to one box
	MaxFrame       = 16 << 20 // bytes of a message that is taken
)

// Store is where a node keeps what it must not forget.
type Store interface {
	raft.Storage
	ID() uint64
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot, sync bool) error
	Full() bool
	Compact(applied uint64, conf *raftpb.ConfState, state []byte) error
}

// Node is one box's part in the fleet. It is not safe for concurrent use. After an error of Flush it takes no part
// any longer.
type Node struct {
	raw     *raft.RawNode
	store   Store
	state   State
	conf    *raftpb.ConfState
	applied uint64
	ticks   uint64
	failed  error
}

// Message is for the box with an id. Of one that is a snapshot SnapshotSent has to tell whether it came: until then
// raft sends that box nothing more.
type Message struct {
	To       uint64
	Snapshot bool
	Data     []byte
}

// Applied is an entry that has taken hold here, or what kept it from it.
type Applied struct {
	Index    uint64
	Proposer uint64
	Token    uint64
	Entry    *takeout.Entry // nil = a change of membership
	Change   *Change
	Err      error
}

// Output is what a Flush has to say. What it rests on is on the disk.
type Output struct {
	Messages []Message
	Applied  []Applied
}

// Found begins a fleet on an empty store, with this box as its only voter.
func Found(store Store, m Member) error {
	if last, err := store.LastIndex(); err != nil || last > 0 {
		return fmt.Errorf("a fleet is found once: the log has %d entries: %w", last, errors.Join(err, ErrMember))
	}
	m.ID, m.Voter = store.ID(), true
	s := State{Members: []Member{m}}
	if err := s.Work.Apply(1, &takeout.Entry{Kind: takeout.Join, Box: m.Name, Zone: m.Zone}); err != nil {
		return err
	}
	data, err := codec.Marshal(&s)
	if err != nil {
		return fmt.Errorf("found: %w", err)
	}
	hard := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	return store.Save(hard, nil, &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &raftpb.ConfState{Voters: []uint64{m.ID}}}}, true)
}

// New starts a box's part from its store. One whose store is empty waits until a leader has let it in.
func New(store Store, log raft.Logger) (*Node, error) {
	n := &Node{store: store, conf: &raftpb.ConfState{}}
	snap, err := store.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if !raft.IsEmptySnap(snap) {
		if err := n.restore(snap); err != nil {
			return nil, err
		}
	}
	n.raw, err = raft.NewRawNode(&raft.Config{ID: store.ID(), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: store,
		Applied: n.applied, MaxSizePerMsg: maxMessage, MaxUncommittedEntriesSize: maxUncommitted, MaxInflightMsgs: maxInflight,
		CheckQuorum: true, PreVote: true, Logger: log})
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return n, nil
}

func (n *Node) restore(s *raftpb.Snapshot) error {
	var state State
	if err := bounded.Unmarshal(s.GetData(), &state); err != nil {
		return fmt.Errorf("fleet: snapshot of %d: %w", s.GetMetadata().GetIndex(), err)
	}
	n.state, n.applied, n.conf = state, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// State is what this box has applied; it is the node's own.
func (n *Node) State() *State { return &n.state }

// ID is how raft knows this box.
func (n *Node) ID() uint64 { return n.store.ID() }

// Leads tells that this box leads as far as it knows, and in which term.
func (n *Node) Leads() (term uint64, leads bool) {
	s := n.raw.BasicStatus()
	return s.GetTerm(), s.RaftState == raft.StateLeader
}

// Leader is the id of the leader as far as this box knows; 0 = none.
func (n *Node) Leader() uint64 { return n.raw.BasicStatus().Lead }

// Tick tells that 100 ms have passed.
func (n *Node) Tick() {
	n.ticks++
	n.raw.Tick()
}

// Receive takes a message of a peer. What is none is an error and changes nothing.
func (n *Node) Receive(data []byte) error {
	if len(data) > MaxFrame {
		return fmt.Errorf("fleet: a message of %d bytes", len(data))
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("fleet: a message: %w", err)
	}
	if m.GetTo() != n.ID() || m.GetFrom() == 0 {
		return fmt.Errorf("fleet: a message from %x to %x came to %x", m.GetFrom(), m.GetTo(), n.ID())
	}
	if err := n.raw.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// Unreachable tells that a message to a box could not be sent.
func (n *Node) Unreachable(id uint64) { n.raw.ReportUnreachable(id) }

// SnapshotSent tells whether a snapshot reached a box.
func (n *Node) SnapshotSent(id uint64, ok bool) {
	how := raft.SnapshotFinish
	if !ok {
		how = raft.SnapshotFailure
	}
	n.raw.ReportSnapshot(id, how)
}

// Propose asks the fleet for an entry, under a token that Applied brings back here. One that only the leader derives
// counts in its term alone: held up and sent on, it is void. An error tells that it was not even asked.
func (n *Node) Propose(token uint64, e *takeout.Entry) error {
	c := command{Proposer: n.ID(), Token: token, Entry: *e}
	switch e.Kind {
	case takeout.Grant, takeout.Arrange, takeout.Expire:
		term, leads := n.Leads()
		if !leads {
			return ErrNoLeader
		}
		c.Term = term
	}
	data, err := codec.Marshal(&c)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := n.raw.Propose(data); errors.Is(err, raft.ErrProposalDropped) {
		return ErrNoLeader
	} else if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// Change asks for a change of membership. The leader alone does, one at a time.
func (n *Node) Change(c *Change) error {
	if _, leads := n.Leads(); !leads {
		return ErrNoLeader
	}
	kind := map[ChangeKind]raftpb.ConfChangeType{Admit: raftpb.ConfChangeType_ConfChangeAddLearnerNode,
		Promote: raftpb.ConfChangeType_ConfChangeAddNode, Remove: raftpb.ConfChangeType_ConfChangeRemoveNode}[c.Kind]
	if m := n.state.Member(c.Member.ID); c.Kind == Admit && m != nil && m.Voter {
		kind = raftpb.ConfChangeType_ConfChangeAddNode // it moved: it stays what it is
	}
	data, err := codec.Marshal(c)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := n.raw.ProposeConfChange(&raftpb.ConfChangeV2{Context: data,
		Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(c.Member.ID)}}}); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// Transfer hands the leadership to another voter, if this box has it.
func (n *Node) Transfer(id uint64) { n.raw.TransferLeader(id) }

// Campaign asks for the leadership at once.
func (n *Node) Campaign() error { return n.raw.Campaign() }

// Flush keeps what is to be kept, applies what is committed, and gives what is to be sent.
func (n *Node) Flush() (out Output, err error) {
	if n.failed != nil {
		return out, n.failed
	}
	for n.raw.HasReady() {
		rd := n.raw.Ready()
		if err := n.store.Save(rd.HardState, rd.Entries, rd.Snapshot, rd.MustSync); err != nil {
			return Output{}, n.fail(err)
		}
		if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
			if err := n.restore(rd.Snapshot); err != nil {
				return Output{}, n.fail(err)
			}
		}
		for _, m := range rd.Messages {
			if m.GetType() == raftpb.MessageType_MsgHeartbeat && n.ticks%learnerTicks != 0 && slices.Contains(n.conf.GetLearners(), m.GetTo()) {
				continue
			}
			data, err := proto.Marshal(m)
			if err != nil {
				return Output{}, n.fail(err)
			}
			out.Messages = append(out.Messages, Message{m.GetTo(), m.GetType() == raftpb.MessageType_MsgSnap, data})
		}
		for _, e := range rd.CommittedEntries {
			if a, ok := n.apply(e); ok {
				out.Applied = append(out.Applied, a)
			}
			n.applied = e.GetIndex()
		}
		n.raw.Advance(rd)
	}
	// A box that was let in takes no snapshot that does not name it: the one kept by who may lead has to be newer than
	// its entry.
	voter := slices.Contains(n.conf.GetVoters(), n.ID())
	admitted := slices.ContainsFunc(out.Applied, func(a Applied) bool {
		return a.Change != nil && (a.Change.Kind == Admit && voter || a.Change.Kind == Promote && a.Change.Member.ID == n.ID())
	})
	if n.store.Full() || admitted {
		data, err := codec.Marshal(&n.state)
		if err == nil {
			err = n.store.Compact(n.applied, n.conf, data)
		}
		if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) && !errors.Is(err, raft.ErrCompacted) {
			return Output{}, n.fail(err)
		}
	}
	return out, nil
}

func (n *Node) fail(err error) error {
	n.failed = fmt.Errorf("fleet: this box takes no part any longer: %w", err)
	return n.failed
}

// apply carries out a committed entry; false = there is nothing in it.
func (n *Node) apply(e *raftpb.Entry) (a Applied, ok bool) {
	a.Index = e.GetIndex()
	if e.GetType() != raftpb.EntryType_EntryNormal {
		cc := &raftpb.ConfChangeV2{}
		if a.Err = proto.Unmarshal(e.GetData(), cc); a.Err != nil {
			return a, true
		}
		n.conf = n.raw.ApplyConfChange(cc)
		a.Change = new(Change)
		if a.Err = bounded.Unmarshal(cc.GetContext(), a.Change); a.Err == nil {
			a.Err = n.state.change(a.Index, a.Change)
		}
		return a, true
	}
	if len(e.GetData()) == 0 { // a new leader's first
		return a, false
	}
	var c command
	if a.Err = bounded.Unmarshal(e.GetData(), &c); a.Err != nil {
		return a, true
	}
	a.Proposer, a.Token, a.Entry = c.Proposer, c.Token, &c.Entry
	if c.Term != 0 && c.Term != e.GetTerm() {
		a.Err = fmt.Errorf("proposed in term %d, came in %d: %w", c.Term, e.GetTerm(), ErrStale)
		return a, true
	}
	a.Err = n.state.Work.Apply(a.Index, &c.Entry)
	return a, true
}
