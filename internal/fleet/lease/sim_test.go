package lease

import (
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/cryptotest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var (
	seeds = flag.Uint64("seeds", 6, "number of simulated histories")
	first = flag.Uint64("first", 1, "seed of the first history, to replay one")
)

const (
	stepTime    = 2 * time.Millisecond // of true time
	servers     = 5                    // three voters, two learners
	historyTime = 40 * time.Second
)

// defects are safeguards that a simulation leaves out on purpose.
type defects struct {
	leaseFromReceipt    bool // a lease runs from the receipt of its grant
	noInitialWait       bool // a new leader does not count every server as just renewed
	noReadIndex         bool // grants are given without a read index
	noClockDrift        bool // the leader waits only for the length of a lease by its own clock
	grantsAfterProposal bool // grants go on after a token was proposed as expired
}

// command is an entry of the log as a server proposes it.
type command struct {
	Term  uint64
	Entry Entry
}

// packet is a message in transit: one of raft, a renewal or a grant.
type packet struct {
	from, at int // at: the step of its arrival
	raft     []byte
	renewal  *Renewal
	grant    *Grant
}

// simServer is one server: its log outlives its processes. Its process runs its stages in turn, and may stop between
// two.
type simServer struct {
	index                  int
	name                   string
	clockRate              float64       // of its clock
	startedAt              time.Duration // of its process, in true time
	incarnation            uint64
	up                     bool
	wakeStep, stage        int
	storage                *raft.MemoryStorage
	node                   *raft.RawNode
	state                  State
	applied                uint64
	nextTick, registeredAt time.Duration
	leader                 int // the last leader that it knows of
	holder                 *Holder
	granter                *Granter
	readStates             []raft.ReadState
	inbox, spareInbox      []packet
}

type world struct {
	t           *testing.T
	omitted     defects
	random      *rand.Rand
	now         int // in steps
	servers     []*simServer
	cut         [servers][servers]bool
	loss        int // percent
	delay       int // steps, the maximum
	expiredAt   map[uint64]int
	terms       map[uint64]bool
	leaseChecks int // how often a server was found to hold a lease
	events      []string
	violation   string // the first violation of the invariant; "" = none
}

func newWorld(t *testing.T, seed uint64, omitted defects) *world {
	cryptotest.SetGlobalRandom(t, seed)
	w := &world{t: t, omitted: omitted, random: rand.New(rand.NewPCG(seed, 4)), delay: 2, expiredAt: map[uint64]int{},
		terms: map[uint64]bool{}}
	configuration := &raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4, 5}}
	for i := range servers {
		server := &simServer{index: i, name: fmt.Sprint("b", i), storage: raft.NewMemoryStorage(),
			clockRate: 1 + (2*w.random.Float64()-1)/Drift}
		if choice := w.random.IntN(4); choice < 2 {
			server.clockRate = 1 + float64(2*choice-1)/Drift // the fastest or the slowest
		}
		if err := server.storage.ApplySnapshot(&raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: configuration}}); err != nil {
			t.Fatal(err)
		}
		w.servers = append(w.servers, server)
		w.startProcess(server)
	}
	return w
}

func (w *world) logf(format string, a ...any) {
	w.events = append(w.events, fmt.Sprintf("%6v ", time.Duration(w.now)*stepTime)+fmt.Sprintf(format, a...))
}

// startProcess starts a process of a server, which applies its log from the start.
func (w *world) startProcess(server *simServer) {
	node, err := raft.NewRawNode(&raft.Config{ID: uint64(server.index + 1), ElectionTick: 8, HeartbeatTick: 1,
		Storage: server.storage, Applied: 1, MaxSizePerMsg: 1 << 20,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		w.t.Fatal(err)
	}
	*server = simServer{index: server.index, name: server.name, clockRate: server.clockRate, storage: server.storage,
		incarnation: server.incarnation + 1, startedAt: time.Duration(w.now) * stepTime, up: true, node: node,
		holder: NewHolder(server.name, MeshTerms), granter: NewGranter(MeshTerms), leader: server.index,
		registeredAt: -time.Hour}
}

// clock returns what a server's process reads from its clock.
func (w *world) clock(server *simServer) time.Duration {
	return time.Duration(float64(time.Duration(w.now)*stepTime-server.startedAt) * server.clockRate)
}

func (w *world) send(from, to int, p packet) {
	if receiver := w.servers[to]; from == to {
		receiver.inbox = append(receiver.inbox, p)
	} else if !w.cut[from][to] && w.random.IntN(100) >= w.loss && receiver.up {
		p.from, p.at = from, w.now+1+w.random.IntN(w.delay)
		receiver.inbox = append(receiver.inbox, p)
		if w.random.IntN(50) == 0 {
			receiver.inbox = append(receiver.inbox, p)
		}
	}
}

func (w *world) leads(server *simServer) (uint64, bool) {
	status := server.node.BasicStatus()
	return status.GetTerm(), status.RaftState == raft.StateLeader
}

// stages are the steps of one iteration of a process.
var stages = []func(*world, *simServer){(*world).receive, (*world).flush, (*world).beginRound,
	(*world).proposeExpired, (*world).ownLease, (*world).flush}

func (w *world) receive(server *simServer) {
	arrived := server.inbox
	server.inbox = server.spareInbox[:0]
	for _, packet := range arrived {
		switch {
		case packet.at > w.now:
			server.inbox = append(server.inbox, packet)
		case packet.raft != nil:
			message := &raftpb.Message{}
			if err := proto.Unmarshal(packet.raft, message); err != nil {
				w.t.Fatal(err)
			}
			_ = server.node.Step(message) // proposals are dropped while there is no leader
		case packet.renewal != nil:
			if err := server.granter.Renew(&server.state, *packet.renewal, w.clock(server)); err == nil && w.omitted.noReadIndex {
				id, _ := server.granter.BeginRound(w.clock(server))
				w.grant(server, id)
			}
		default:
			if w.omitted.leaseFromReceipt {
				server.holder.sentAt[packet.grant.Seq%MeshTerms.outstanding()] = w.clock(server)
			}
			server.holder.AcceptGrant(*packet.grant)
		}
	}
	server.spareInbox = arrived
}

func (w *world) grant(server *simServer, id uint64) {
	for _, grant := range server.granter.ConfirmRound(&server.state, id) {
		w.send(server.index, int(grant.Box[1]-'0'), packet{grant: &grant})
	}
}

// syncLeadership makes the granter lead while raft does. It runs in the same stage as the action that needs it.
func (w *world) syncLeadership(server *simServer) (term uint64, leads bool) {
	if term, leads = w.leads(server); !leads {
		server.granter.Follow()
		return
	}
	if w.terms[term] = true; server.granter.term != term && w.omitted.noInitialWait {
		server.granter.Lead(term, w.clock(server))
		for _, registration := range server.state.Boxes {
			server.granter.servers[registration.Name] = &tracked{token: registration.Life, renewedAt: -time.Hour}
		}
	}
	server.granter.Lead(term, w.clock(server))
	return
}

func (w *world) beginRound(server *simServer) {
	if _, leads := w.syncLeadership(server); !leads {
		return
	}
	if id, ok := server.granter.BeginRound(w.clock(server)); ok {
		server.node.ReadIndex(binary.LittleEndian.AppendUint64(nil, id))
	}
}

func (w *world) proposeExpired(server *simServer) {
	term, leads := w.syncLeadership(server)
	if !leads {
		return
	}
	now := w.clock(server)
	if w.omitted.noClockDrift {
		now += MeshTerms.ExpiryDelay() - MeshTerms.Length
		server.granter.checkedAt = now
	}
	for _, entry := range server.granter.ExpiredServers(&server.state, now) {
		data, _ := cbor.Marshal(command{term, entry})
		w.logf("%s proposes %s as expired under token %d", server.name, entry.Box, entry.Life)
		if server.node.Propose(data) != nil || w.omitted.grantsAfterProposal {
			server.granter.ProposalFailed(entry.Box, entry.Life)
		}
	}
}

// ownLease runs a server's side of its own lease.
func (w *world) ownLease(server *simServer) {
	now := w.clock(server)
	if now >= server.nextTick {
		server.nextTick = now + 100*time.Millisecond
		server.node.Tick()
	}
	if leader := server.node.BasicStatus().Lead; leader != 0 {
		server.leader = int(leader - 1)
	}
	switch registration := server.state.Server(server.name); {
	case registration != nil && registration.Incarnation == server.incarnation && !registration.Lost:
		server.holder.SetToken(registration.Life, now)
	case now-server.registeredAt >= 500*time.Millisecond:
		server.holder.DropToken()
		server.registeredAt = now
		data, _ := cbor.Marshal(command{0, Entry{Kind: Registered, Box: server.name, Zone: "z", Incarnation: server.incarnation}})
		_ = server.node.Propose(data) // repeated every 500 ms
	default:
		server.holder.DropToken()
	}
	if renewal, ok := server.holder.NextRenewal(now); ok {
		w.send(server.index, server.leader, packet{renewal: &renewal})
	}
}

func (w *world) flush(server *simServer) {
	for server.node.HasReady() {
		ready := server.node.Ready()
		if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
			_ = server.storage.SetHardState(ready.HardState)
		}
		if err := server.storage.Append(ready.Entries); err != nil {
			w.t.Fatal(err)
		}
		for _, message := range ready.Messages {
			data, _ := proto.Marshal(message)
			w.send(server.index, int(message.GetTo()-1), packet{raft: data})
		}
		for _, entry := range ready.CommittedEntries {
			w.apply(server, entry)
		}
		server.readStates = append(server.readStates, ready.ReadStates...)
		server.node.Advance(ready)
	}
	w.syncLeadership(server)
	server.readStates = slices.DeleteFunc(server.readStates, func(readState raft.ReadState) bool {
		if readState.Index > server.applied {
			return false
		}
		w.grant(server, binary.LittleEndian.Uint64(readState.RequestCtx))
		return true
	})
}

func (w *world) apply(server *simServer, entry *raftpb.Entry) {
	var proposal command
	server.applied = entry.GetIndex()
	if len(entry.GetData()) == 0 || cbor.Unmarshal(entry.GetData(), &proposal) != nil ||
		proposal.Term != 0 && proposal.Term != entry.GetTerm() {
		return
	}
	if server.state.Apply(entry.GetIndex(), &proposal.Entry) != nil {
		server.granter.ProposalFailed(proposal.Entry.Box, proposal.Entry.Life)
	} else if proposal.Entry.Kind == Expired && w.expiredAt[proposal.Entry.Life] == 0 {
		w.expiredAt[proposal.Entry.Life] = w.now
		w.logf("%s applies that %s expired under token %d", server.name, proposal.Entry.Box, proposal.Entry.Life)
	}
}

// step advances true time by one step.
func (w *world) step(faults bool) {
	w.now++
	for _, server := range w.servers {
		for server.up && w.now >= server.wakeStep {
			stages[server.stage](w, server)
			server.stage = (server.stage + 1) % len(stages)
			if faults && w.random.IntN(20_000) == 0 {
				w.stop(server, "between two stages")
			}
			if server.stage == 0 {
				break
			}
		}
		if !server.up && w.now >= server.wakeStep {
			w.startProcess(server)
		}
		if server.up && server.holder.Holds(w.clock(server)) {
			if w.leaseChecks++; w.expiredAt[server.holder.Token()] > 0 && w.violation == "" {
				w.violation = fmt.Sprintf("%s holds token %d until %v of its clock, now %v, although it was declared expired at %v", server.name, server.holder.Token(), server.holder.LeaseEnd(), w.clock(server), time.Duration(w.expiredAt[server.holder.Token()])*stepTime)
			}
		}
	}
}

func (w *world) stop(server *simServer, why string) {
	server.wakeStep = w.now + 50 + w.random.IntN(3000)
	w.logf("%s is stopped %s until %v", server.name, why, time.Duration(server.wakeStep)*stepTime)
}

// injectFault injects one fault, or heals all.
func (w *world) injectFault() {
	server := w.servers[w.random.IntN(servers)]
	for _, other := range w.servers {
		if _, leads := w.leads(other); leads && w.random.IntN(2) == 0 {
			server = other
		}
	}
	switch kind := w.random.IntN(8); kind {
	case 0:
		w.stop(server, "")
	case 1:
		w.logf("%s is killed", server.name)
		server.up, server.inbox, server.wakeStep = false, nil, w.now+200+w.random.IntN(1500)
	case 2, 3: // a server is cut off from some others, in one or both directions
		for j := range servers {
			if j != server.index && w.random.IntN(3) > 0 {
				w.cut[server.index][j], w.cut[j][server.index] = kind == 2 || w.random.IntN(2) == 0, true
			}
		}
		w.logf("%s is cut off: %v", server.name, w.cut)
	case 4:
		w.delay, w.loss = 1+w.random.IntN(300), w.random.IntN(20)
		w.logf("delay %v, loss %d%%", time.Duration(w.delay)*stepTime, w.loss)
	case 5: // a leader is stopped beyond the end of its term, and one server still reaches only that leader
		w.stop(server, "for a long time")
		server.wakeStep += 1800
		for j, isolated := 0, w.random.IntN(servers); j < servers; j++ {
			w.cut[isolated][j], w.cut[j][isolated] = j != server.index, j != server.index
		}
		w.logf("cut %v", w.cut)
	default:
		w.logf("healed")
		w.cut, w.loss, w.delay = [servers][servers]bool{}, 0, 1+w.random.IntN(3)
	}
}

// runHistory runs one history with faults, followed by a period without faults.
func runHistory(t *testing.T, seed uint64, omitted defects) *world {
	w := newWorld(t, seed, omitted)
	next := 2000
	for w.violation == "" && w.now < int(historyTime/stepTime) {
		if w.now >= next {
			w.injectFault()
			next = w.now + 50 + w.random.IntN(1200)
		}
		w.step(true)
	}
	w.cut, w.loss, w.delay = [servers][servers]bool{}, 0, 2
	holdsLease := func(server *simServer) bool { return server.up && server.holder.Holds(w.clock(server)) }
	for end := w.now + 8000; w.violation == "" &&
		(w.now < end-6000 || slices.IndexFunc(w.servers,
			func(server *simServer) bool { return !holdsLease(server) }) >= 0); {
		if w.step(false); w.now > end {
			w.violation = "not all servers hold a lease long after the last fault"
		}
	}
	return w
}

// No server holds a lease under a token that any log has declared expired, under process stops, partitions, delays and
// leader changes, with clocks that differ as much as is allowed.
func TestExpiredServerHoldsNoLease(t *testing.T) {
	expired, terms, holding, steps := 0, 0, 0, 0
	for seed := *first; seed < *first+*seeds; seed++ {
		world := runHistory(t, seed, defects{})
		if world.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, world.violation, strings.Join(world.events, "\n"))
		}
		expired, terms, holding, steps = expired+len(world.expiredAt), terms+len(world.terms),
			holding+world.leaseChecks, steps+world.now
	}
	t.Logf("%d tokens expired, %d terms, %d of %d servers held a lease on average", expired, terms, holding/steps, servers)
	if expired < int(*seeds) || terms < int(*seeds) || holding < steps {
		t.Error("the histories had too few expiries, terms or leases")
	}
}

// Each assumption of the proof is necessary: without any one of them some history of the simulation breaks the rule.
func TestEachDefectIsFound(t *testing.T) {
	for name, test := range map[string]struct {
		from    uint64 // a seed that finds it, or shortly before one
		omitted defects
	}{"receipt": {1, defects{leaseFromReceipt: true}}, "no initial wait": {1, defects{noInitialWait: true}},
		"no read index":  {28, defects{noReadIndex: true}},
		"no clock drift": {1, defects{noClockDrift: true}}, "grants after proposal": {570, defects{grantsAfterProposal: true}}} {
		t.Run(name, func(t *testing.T) {
			for seed := test.from; seed < test.from+300; seed++ {
				if world := runHistory(t, seed, test.omitted); strings.Contains(world.violation, "was declared expired") {
					t.Logf("seed %d: %s", seed, world.violation)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// The delay from a server's crash to the entry that declares it expired is at most the leader's expiry delay and
// one step.
func TestExpiryDelayAfterCrash(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(20) {
		world := newWorld(t, seed, defects{})
		crashed := world.servers[4]
		for world.now < 3000+int(seed)*11 {
			world.step(false)
		}
		token, crashedAt := crashed.holder.Token(), world.now
		for crashed.up, crashed.wakeStep = false, 1<<30; world.expiredAt[token] == 0 && world.now < crashedAt+5000; {
			world.step(false)
		}
		longest = max(longest, time.Duration(world.now-crashedAt)*stepTime)
	}
	if t.Logf("%v at most", longest); longest < MeshTerms.Length-MeshTerms.RenewInterval ||
		longest > MeshTerms.ExpiryDelay()+100*time.Millisecond {
		t.Errorf("%v", longest)
	}
}
