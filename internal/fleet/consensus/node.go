package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"larchscale/internal/fleet/maintenance"
)

// Ticks of raft: one is 100 ms in service, so a failed leader is replaced within 0.8 to 1.6 s.
const (
	heartbeatTicks = 1
	electionTicks  = 8
	// Heartbeats to learners, which are nearly all members of a fleet of 300, go once in so many ticks. Entries are
	// sent to them at once.
	learnerTicks            = 10
	maxEntryBytesPerMessage = 1 << 20  // bytes of entries in one message
	maxUncommittedBytes     = 4 << 20  // bytes of proposals that no majority has yet
	maxInflightMessages     = 64       // messages in flight to one node
	MaxMessageBytes         = 16 << 20 // bytes; larger messages are refused
)

// Store is a node's persistent raft state.
type Store interface {
	raft.Storage
	ID() uint64
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot, sync bool) error
	Full() bool
	Compact(applied uint64, confState *raftpb.ConfState, state []byte) error
}

// Node is one member of the raft group that replicates the fleet's state. It is not safe for concurrent use. After
// Flush has returned an error, it stops participating for good.
type Node struct {
	raw          *raft.RawNode
	store        Store
	state        State
	machines     map[string]StateMachine
	pendingReads []raft.ReadState // confirmed, but of entries that are not applied yet
	confState    *raftpb.ConfState
	applied      uint64
	ticks        uint64
	fatalErr     error
}

// Message is a raft message to the node with the given id. The result of sending a snapshot has to be reported with
// ReportSnapshot: until then raft sends that node nothing more.
type Message struct {
	To       uint64
	Snapshot bool
	Data     []byte
}

// AppliedEntry is a committed entry that this node has applied, or the error that kept it from taking effect.
type AppliedEntry struct {
	Index    uint64
	Proposer uint64
	Token    uint64
	Entry    *maintenance.Entry // nil = an entry of another state machine, or a change of membership
	Part     string             // the entry's state machine; "" = maintenance plans, or a change of membership
	Change   *Change
	Err      error
}

// Output is the result of a Flush. The state that the messages depend on is already on disk.
type Output struct {
	Messages []Message
	Applied  []AppliedEntry
	Reads    []uint64 // ids of reads that are confirmed
	Restored bool     // the state was replaced by another node's snapshot
}

// Bootstrap initializes an empty store as a new fleet, with this node as its only voter.
func Bootstrap(store Store, m Member) error {
	if last, err := store.LastIndex(); err != nil || last > 0 {
		return fmt.Errorf("the log already has %d entries, a new fleet needs an empty one: %w", last, errors.Join(err, ErrMembership))
	}
	m.ID, m.Voter = store.ID(), true
	s := State{Members: []Member{m}}
	if err := s.Work.Apply(1, &maintenance.Entry{Kind: maintenance.Join, Box: m.Name, Zone: m.Zone}); err != nil {
		return err
	}
	data, err := encoder.Marshal(&s)
	if err != nil {
		return fmt.Errorf("initializing the fleet: %w", err)
	}
	hardState := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	return store.Save(hardState, nil, &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &raftpb.ConfState{Voters: []uint64{m.ID}}}}, true)
}

// New starts a node from its store. With an empty store the node waits until a leader admits it. The additional state
// machines have to be empty.
func New(store Store, logger raft.Logger, machines ...StateMachine) (*Node, error) {
	n := &Node{store: store, confState: &raftpb.ConfState{}, machines: map[string]StateMachine{}}
	for _, machine := range machines {
		n.machines[machine.Name()] = machine
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
		Applied: n.applied, MaxSizePerMsg: maxEntryBytesPerMessage, MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: maxInflightMessages,
		CheckQuorum: true, PreVote: true, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return n, nil
}

func (n *Node) restore(s *raftpb.Snapshot) error {
	if err := n.load(s.GetData()); err != nil {
		return fmt.Errorf("fleet: snapshot of %d: %w", s.GetMetadata().GetIndex(), err)
	}
	n.applied, n.confState = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// State returns the state as of the last applied entry. It belongs to the node and must not be changed.
func (n *Node) State() *State { return &n.state }

// Applied returns the index of the last entry that this node has applied.
func (n *Node) Applied() uint64 { return n.applied }

// Digest returns a hash of the state, including all state machines. It is equal on all nodes that have applied the
// same entries.
func (n *Node) Digest() (uint64, error) {
	b, err := n.save()
	if err != nil {
		return 0, fmt.Errorf("digest: %w", err)
	}
	return xxhash.Sum64(b), nil
}

// ID returns the raft id of this node.
func (n *Node) ID() uint64 { return n.store.ID() }

// Leads reports whether this node is the leader as far as it knows, and returns its current term.
func (n *Node) Leads() (term uint64, leads bool) {
	s := n.raw.BasicStatus()
	return s.GetTerm(), s.RaftState == raft.StateLeader
}

// Leader returns the id of the leader as far as this node knows; 0 = none.
func (n *Node) Leader() uint64 { return n.raw.BasicStatus().Lead }

// Tick advances raft's clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.raw.Tick()
}

// Receive processes a message of a peer. A malformed or misdirected message returns an error and changes nothing.
func (n *Node) Receive(data []byte) error {
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("fleet: message of %d bytes is too large", len(data))
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("fleet: decoding a message: %w", err)
	}
	if m.GetTo() != n.ID() || m.GetFrom() == 0 {
		return fmt.Errorf("fleet: message from %x to %x was received by %x", m.GetFrom(), m.GetTo(), n.ID())
	}
	if err := n.raw.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// ReportUnreachable reports that a message to a node could not be sent.
func (n *Node) ReportUnreachable(id uint64) { n.raw.ReportUnreachable(id) }

// ReportSnapshot reports whether a snapshot reached a node.
func (n *Node) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	n.raw.ReportSnapshot(id, status)
}

// Propose proposes an entry. The token comes back in the AppliedEntry on this node. Entries that only the
// leader derives are valid in its current term alone: one that is delayed and committed in a later term is void. An
// error means that the entry was not proposed at all.
func (n *Node) Propose(token uint64, e *maintenance.Entry) error {
	leaderOnly := e.Kind == maintenance.Grant || e.Kind == maintenance.Arrange || e.Kind == maintenance.Expire
	return n.propose(command{Proposer: n.ID(), Token: token, Entry: *e}, leaderOnly)
}

// ProposeTo proposes an entry of an additional state machine, as Propose does. leaderOnly marks an entry that only
// the leader derives.
func (n *Node) ProposeTo(token uint64, part string, entry []byte, leaderOnly bool) error {
	return n.propose(command{Proposer: n.ID(), Token: token, Part: part, Data: entry}, leaderOnly)
}

func (n *Node) propose(c command, leaderOnly bool) error {
	if leaderOnly {
		term, leads := n.Leads()
		if !leads {
			return ErrNoLeader
		}
		c.Term = term
	}
	data, err := encoder.Marshal(&c)
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

// Change proposes a change of membership. Only the leader may propose one, and only one at a time.
func (n *Node) Change(c *Change) error {
	if _, leads := n.Leads(); !leads {
		return ErrNoLeader
	}
	kind := map[ChangeKind]raftpb.ConfChangeType{Admit: raftpb.ConfChangeType_ConfChangeAddLearnerNode,
		Promote: raftpb.ConfChangeType_ConfChangeAddNode, Remove: raftpb.ConfChangeType_ConfChangeRemoveNode}[c.Kind]
	if m := n.state.Member(c.Member.ID); c.Kind == Admit && m != nil && m.Voter {
		kind = raftpb.ConfChangeType_ConfChangeAddNode // only its address changes: it stays a voter
	}
	data, err := encoder.Marshal(c)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := n.raw.ProposeConfChange(&raftpb.ConfChangeV2{Context: data,
		Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(c.Member.ID)}}}); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// ReadIndex has the leader confirm with a majority that it still leads. Flush returns the id once that is confirmed and
// all entries committed before the call are applied. The id of a read that is lost is never returned.
func (n *Node) ReadIndex(id uint64) error {
	if _, leads := n.Leads(); !leads {
		return ErrNoLeader
	}
	n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, id))
	return nil
}

// TransferLeadership hands the leadership to another voter, if this node is the leader.
func (n *Node) TransferLeadership(id uint64) { n.raw.TransferLeader(id) }

// Campaign starts an election at once.
func (n *Node) Campaign() error { return n.raw.Campaign() }

// Flush persists what raft requires, applies committed entries, and returns the messages to send.
func (n *Node) Flush() (out Output, err error) {
	if n.fatalErr != nil {
		return out, n.fatalErr
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
			if m.GetType() == raftpb.MessageType_MsgHeartbeat && n.ticks%learnerTicks != 0 && slices.Contains(n.confState.GetLearners(), m.GetTo()) {
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
			if errors.Is(a.Err, ErrUnknownVersion) {
				return Output{}, n.fail(a.Err)
			}
			if ok {
				out.Applied = append(out.Applied, a)
			}
			n.applied = e.GetIndex()
		}
		n.pendingReads = append(n.pendingReads, rd.ReadStates...)
		n.raw.Advance(rd)
	}
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(r raft.ReadState) bool {
		if r.Index > n.applied {
			return false
		}
		out.Reads = append(out.Reads, binary.BigEndian.Uint64(r.RequestCtx))
		return true
	})
	// A node ignores a snapshot whose configuration does not contain it. A node that may lead therefore makes a
	// snapshot that is newer than the entry which admitted the member.
	voter := slices.Contains(n.confState.GetVoters(), n.ID())
	admitted := slices.ContainsFunc(out.Applied, func(a AppliedEntry) bool {
		return a.Change != nil && (a.Change.Kind == Admit && voter || a.Change.Kind == Promote && a.Change.Member.ID == n.ID())
	})
	if n.store.Full() || admitted {
		data, err := n.save()
		if err == nil {
			err = n.store.Compact(n.applied, n.confState, data)
		}
		if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) && !errors.Is(err, raft.ErrCompacted) {
			return Output{}, n.fail(err)
		}
	}
	return out, nil
}

func (n *Node) fail(err error) error {
	n.fatalErr = fmt.Errorf("fleet: this node no longer takes part: %w", err)
	return n.fatalErr
}

// apply applies a committed entry; false = the entry is empty.
func (n *Node) apply(e *raftpb.Entry) (a AppliedEntry, ok bool) {
	a.Index = e.GetIndex()
	if e.GetType() != raftpb.EntryType_EntryNormal {
		cc := &raftpb.ConfChangeV2{}
		if a.Err = proto.Unmarshal(e.GetData(), cc); a.Err != nil {
			return a, true
		}
		n.confState = n.raw.ApplyConfChange(cc)
		a.Change = new(Change)
		if a.Err = boundedDecoder.Unmarshal(cc.GetContext(), a.Change); a.Err == nil {
			a.Err = n.state.change(a.Index, a.Change)
		}
		return a, true
	}
	if len(e.GetData()) == 0 { // the first entry of a new leader
		return a, false
	}
	var c command
	if a.Err = boundedDecoder.Unmarshal(e.GetData(), &c); a.Err != nil {
		return a, true
	}
	a.Proposer, a.Token, a.Part = c.Proposer, c.Token, c.Part
	machine := n.machines[c.Part]
	switch {
	case c.Part == "":
		a.Entry = &c.Entry
	case machine == nil:
		a.Err = fmt.Errorf("entry %d is of the unknown state machine %q: %w", a.Index, c.Part, ErrUnknownVersion)
		return a, true
	}
	if c.Term != 0 && c.Term != e.GetTerm() {
		a.Err = fmt.Errorf("proposed in term %d, committed in term %d: %w", c.Term, e.GetTerm(), ErrStaleTerm)
		return a, true
	}
	if machine != nil {
		a.Err = machine.Apply(a.Index, c.Data)
	} else {
		a.Err = n.state.Work.Apply(a.Index, &c.Entry)
	}
	return a, true
}
