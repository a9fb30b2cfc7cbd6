package agree

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	parts   map[string]Part
	reads   []raft.ReadState // confirmed, of entries that are not applied yet
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
	Entry    *takeout.Entry // nil = another part's, or a change of membership
	Part     string         // whose entry it is; "" = of plans, or a change of membership
	Change   *Change
	Err      error
}

// Output is what a Flush has to say. What it rests on is on the disk.
type Output struct {
	Messages []Message
	Applied  []Applied
	Reads    []uint64 // ids of Read that are confirmed
	Restored bool     // the state was replaced by another box's snapshot
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
// Its parts beside members and plans are empty when they are given.
func New(store Store, log raft.Logger, parts ...Part) (*Node, error) {
	n := &Node{store: store, conf: &raftpb.ConfState{}, parts: map[string]Part{}}
	for _, p := range parts {
		n.parts[p.Name()] = p
	}
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
	if err := n.load(s.GetData()); err != nil {
		return fmt.Errorf("fleet: snapshot of %d: %w", s.GetMetadata().GetIndex(), err)
	}
	n.applied, n.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// State is what this box has applied; it is the node's own.
func (n *Node) State() *State { return &n.state }

// Applied returns the index of the last entry that this box has applied.
func (n *Node) Applied() uint64 { return n.applied }

// Digest is a sum over the state with all its parts: boxes that have applied the same entries have the same.
func (n *Node) Digest() (uint64, error) {
	b, err := n.save()
	if err != nil {
		return 0, fmt.Errorf("digest: %w", err)
	}
	return xxhash.Sum64(b), nil
}

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
	derived := e.Kind == takeout.Grant || e.Kind == takeout.Arrange || e.Kind == takeout.Expire
	return n.propose(command{Proposer: n.ID(), Token: token, Entry: *e}, derived)
}

// ProposePart asks for an entry of a part, as Propose does. derived tells that it is one that only the leader derives.
func (n *Node) ProposePart(token uint64, part string, entry []byte, derived bool) error {
	return n.propose(command{Proposer: n.ID(), Token: token, Part: part, Data: entry}, derived)
}

func (n *Node) propose(c command, derived bool) error {
	if derived {
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

// Read has the leader ask a majority whether it leads still. A Flush gives the id back once that is so, and all that was
// committed before is applied; one that is lost is never given back.
func (n *Node) Read(id uint64) error {
	if _, leads := n.Leads(); !leads {
		return ErrNoLeader
	}
	n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, id))
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
			out.Restored = true
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
			a, ok := n.apply(e)
			if errors.Is(a.Err, ErrNewer) {
				return Output{}, n.fail(a.Err)
			}
			if ok {
				out.Applied = append(out.Applied, a)
			}
			n.applied = e.GetIndex()
		}
		n.reads = append(n.reads, rd.ReadStates...)
		n.raw.Advance(rd)
	}
	n.reads = slices.DeleteFunc(n.reads, func(r raft.ReadState) bool {
		if r.Index > n.applied {
			return false
		}
		out.Reads = append(out.Reads, binary.BigEndian.Uint64(r.RequestCtx))
		return true
	})
	// A box that was let in takes no snapshot that does not name it: the one kept by who may lead has to be newer than
	// its entry.
	voter := slices.Contains(n.conf.GetVoters(), n.ID())
	admitted := slices.ContainsFunc(out.Applied, func(a Applied) bool {
		return a.Change != nil && (a.Change.Kind == Admit && voter || a.Change.Kind == Promote && a.Change.Member.ID == n.ID())
	})
	if n.store.Full() || admitted {
		data, err := n.save()
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
	a.Proposer, a.Token, a.Part = c.Proposer, c.Token, c.Part
	p := n.parts[c.Part]
	switch {
	case c.Part == "":
		a.Entry = &c.Entry
	case p == nil:
		a.Err = fmt.Errorf("entry %d is of part %q: %w", a.Index, c.Part, ErrNewer)
		return a, true
	}
	if c.Term != 0 && c.Term != e.GetTerm() {
		a.Err = fmt.Errorf("proposed in term %d, came in %d: %w", c.Term, e.GetTerm(), ErrStale)
		return a, true
	}
	if p != nil {
		a.Err = p.Apply(a.Index, c.Data)
	} else {
		a.Err = n.state.Work.Apply(a.Index, &c.Entry)
	}
	return a, true
}
