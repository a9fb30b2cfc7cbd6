package consensus

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/cryptotest"
	"time"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3"

	"larchscale/internal/faultfs"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/raftlog"
)

var (
	seeds = flag.Uint64("seeds", 12, "number of simulated scenarios")
	first = flag.Uint64("first", 1, "seed of the first scenario, to repeat one that failed")
	big   = flag.Uint64("big", 0, "number of scenarios with 300 nodes")
)

const (
	tickMs         = 100
	silentMs       = 3000
	wantedVoters   = 5
	maxUnavailable = 2 // nodes that may be unavailable at once
)

// host is a machine that runs one node of the fleet. Its disk outlives its processes.
type host struct {
	name, zone       string
	disk             *faultfs.Disk
	store            *raftlog.Log
	node             *Node // nil = no process is running
	incarnation      uint64
	startedAt        int    // step at which its process started
	drainSince       int    // step at which it began to drain; 0 = not draining
	lastProposed     int    // step at which it last proposed a step of its own
	outCount         int    // how often it was out, according to the log
	underMaintenance bool   // the operators are working on the machine
	restartAt        int    // step before which no process is started
	checkedIndex     uint64 // applied index at which its state was last checked
}

type packet struct {
	from, to  int // indexes of hosts
	deliverAt int
	Message
}

// world simulates a fleet in virtual time: a step is one tick of all nodes. Everything is derived from its seed.
type world struct {
	t             *testing.T
	rnd           *rand.Rand
	now           int
	hosts         []*host
	inFlight      []packet
	blocked       [][]bool // blocked[i][j]: messages from i to j are lost
	lossPercent   int      // of messages that are lost or duplicated
	lastID        uint64
	digestByIndex map[uint64]uint64 // by applied index
	leaderByTerm  map[uint64]uint64 // by term
	events        []string
	countedOut    map[string]bool   // processes whose phase out has been counted
	ops           []op              // proposed entries, by token - 1
	firstOp       int               // the first operation that checkLinearizable looks at
	initial       maintenance.State // the state before that operation
}

// op is a proposed entry. One that has not been applied anywhere by the end never took effect.
type op struct {
	proposer   int
	entry      maintenance.Entry
	calledAt   int64
	returnedAt int64 // when its proposer had applied it; 0 = never
	applied    bool
	err        error
}

// propose proposes an entry on a host's node and records it.
func (w *world) propose(i int, e *maintenance.Entry) bool {
	n := w.hosts[i].node
	if err := n.Propose(uint64(len(w.ops)+1), e); err != nil {
		return false
	}
	w.ops = append(w.ops, op{proposer: i, entry: *e, calledAt: 2 * int64(w.now)})
	return true
}

// checkLinearizable checks that all entries which took effect did so one after the other on a single state, each
// between its proposal and the time its proposer applied it (porcupine).
func (w *world) checkLinearizable() {
	var history []porcupine.Operation
	end := 2*int64(w.now) + 3
	for _, o := range w.ops[w.firstOp:] {
		if !o.applied {
			continue
		}
		returnedAt := o.returnedAt
		if returnedAt == 0 {
			returnedAt = end
		}
		history = append(history, porcupine.Operation{ClientId: len(history), Input: o.entry, Call: o.calledAt, Output: o.err, Return: returnedAt})
	}
	model := porcupine.Model{
		Init: func() any { return w.initial },
		Step: func(state, input, output any) (bool, any) {
			previous := state.(maintenance.State)
			err, _ := output.(error)
			if errors.Is(err, ErrStaleTerm) {
				return true, previous
			}
			s, e := previous.Clone(), input.(maintenance.Entry)
			applyErr := s.Apply(0, &e)
			if s.Index = 0; applyErr != nil {
				s = previous
			}
			return (applyErr == nil) == (err == nil) && (err == nil || errors.Is(err, errors.Unwrap(applyErr))), s
		},
		Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
	}
	for i := range w.initial.Boxes { // indexes of entries are not compared
		w.initial.Boxes[i].Index = 0
	}
	w.initial.Index = 0
	switch porcupine.CheckOperationsTimeout(model, history, 20*time.Second) {
	case porcupine.Illegal:
		w.fatal("%d operations are not linearizable", len(history))
	case porcupine.Unknown:
		w.fatal("%d operations: linearizability not decided in time", len(history))
	}
}

func (w *world) logf(f string, a ...any) {
	w.events = append(w.events, fmt.Sprintf("%5d ", w.now)+fmt.Sprintf(f, a...))
}

func (w *world) fatal(f string, a ...any) {
	w.t.Helper()
	n := max(0, len(w.events)-400)
	w.t.Fatalf("%s\n%s", fmt.Sprintf(f, a...), strings.Join(w.events[n:], "\n"))
}

func newWorld(t *testing.T, seed uint64, n, zones int) *world {
	cryptotest.SetGlobalRandom(t, seed) // raft's election timeouts
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), digestByIndex: map[uint64]uint64{}, leaderByTerm: map[uint64]uint64{}, countedOut: map[string]bool{}, blocked: make([][]bool, n)}
	for i := range n {
		w.blocked[i] = make([]bool, n)
		w.hosts = append(w.hosts, &host{name: fmt.Sprintf("n%03d", i), zone: string(rune('a' + i%zones)), disk: faultfs.New(seed + uint64(i))})
	}
	for i, h := range w.hosts {
		w.start(h, i == 0)
	}
	return w
}

// start starts a new process on a host.
func (w *world) start(h *host, bootstrap bool) {
	var err error
	h.store, err = raftlog.Open(h.disk, h.name, func() uint64 { w.lastID++; return w.lastID }, 4<<10)
	if err != nil {
		w.fatal("%s: %v", h.name, err)
	}
	if bootstrap {
		if err := Bootstrap(h.store, Member{Name: h.name, Zone: h.zone, Addr: h.name}); err != nil {
			w.fatal("%v", err)
		}
	}
	if h.node, err = New(h.store, &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}); err != nil {
		w.fatal("%s: %v", h.name, err)
	}
	h.incarnation++
	h.startedAt, h.drainSince, h.lastProposed, h.underMaintenance, h.checkedIndex = w.now, 0, 0, false, 0
	w.logf("%s starts with id %x, incarnation %d", h.name, h.store.ID(), h.incarnation)
}

// kill ends a process. Data that its disk has not synced may be lost; loseDisk replaces the disk by an empty one.
func (w *world) kill(h *host, loseDisk bool) {
	if h.node == nil {
		return
	}
	w.logf("%s is killed, disk lost: %v", h.name, loseDisk)
	h.node = nil
	h.disk.CutPower()
	h.disk.Restart()
	if loseDisk {
		h.disk, h.store = faultfs.New(w.rnd.Uint64()), nil
	}
}

// canLoseDisk reports whether a majority of the voters keeps its disks without h's. Without one nothing can ever be
// committed again.
func (w *world) canLoseDisk(h *host) bool {
	var newest *Node
	for _, o := range w.hosts {
		if o.node != nil && (newest == nil || o.node.applied > newest.applied) {
			newest = o.node
		}
	}
	voters, withDisk := 0, 0
	for _, m := range newest.state.Members {
		if m.Voter {
			voters++
			if slices.ContainsFunc(w.hosts, func(o *host) bool { return o != h && o.store != nil && o.store.ID() == m.ID }) {
				withDisk++
			}
		}
	}
	return withDisk > voters/2
}

func (w *world) hostIndex(id uint64) int {
	return slices.IndexFunc(w.hosts, func(h *host) bool { return h.node != nil && h.store.ID() == id })
}

// canReach reports whether reports of one host reach another.
func (w *world) canReach(from, to int) bool {
	return w.hosts[from].node != nil && w.hosts[to].node != nil && !w.blocked[from][to]
}

func (w *world) step() {
	w.now++
	for _, h := range w.hosts {
		if h.node != nil {
			h.node.Tick()
		} else if h.restartAt > 0 && w.now >= h.restartAt {
			h.restartAt = 0
			w.start(h, false)
		}
	}
	due := w.inFlight
	w.inFlight = nil
	for _, p := range due {
		switch h := w.hosts[p.to]; {
		case p.deliverAt > w.now:
			w.inFlight = append(w.inFlight, p)
		case h.node == nil || h.store.ID() != p.To || w.blocked[p.from][p.to] || w.rnd.IntN(100) < w.lossPercent:
			w.reportSnapshot(p, false)
		default:
			w.reportSnapshot(p, true)
			if w.rnd.IntN(100) < w.lossPercent {
				w.inFlight = append(w.inFlight, p) // a duplicate
			}
			if err := h.node.Receive(p.Data); err != nil {
				w.logf("%s: %v", h.name, err)
			}
		}
	}
	for i, h := range w.hosts {
		if h.node != nil {
			w.runNode(i, h)
			w.flush(i, h)
		}
	}
	w.checkInvariants()
}

// reportSnapshot tells the sender of a snapshot whether it arrived.
func (w *world) reportSnapshot(p packet, ok bool) {
	if from := w.hosts[p.from]; p.Snapshot && from.node != nil {
		from.node.ReportSnapshot(p.To, ok)
	}
}

// runNode proposes a host's own next step, and on the leader everything that follows from the reports.
func (w *world) runNode(i int, h *host) {
	s := h.node.State()
	if me := s.Member(h.store.ID()); me != nil {
		w.proposeOwnStep(i, s)
		if h.node == nil { // its process has ended for maintenance
			return
		}
	}
	if _, leads := h.node.Leads(); !leads || w.now%3 != 0 {
		return
	}
	view := maintenance.View{Now: int64(w.now) * tickMs, Self: h.name, SilentAfter: silentMs, Reports: map[string]maintenance.Report{}, Voters: map[string]bool{}}
	for _, m := range s.Members {
		view.Voters[m.Name] = m.Voter
	}
	reporting := func(id uint64) bool {
		p := w.hostIndex(id)
		return p >= 0 && w.canReach(p, i)
	}
	for j, o := range w.hosts {
		if w.canReach(j, i) || i == j {
			agreed := s.Work.Server(o.name)
			warm := agreed != nil && agreed.Phase == maintenance.InService && agreed.Incarnation == o.incarnation
			view.Reports[o.name] = maintenance.Report{Incarnation: o.incarnation, Heard: view.Now, Capacity: 100, Load: 40, Warm: warm}
		}
		if w.canReach(j, i) && o.node != nil && s.Member(o.store.ID()) == nil { // it sends a join request
			if c, err := s.JoinChange(Member{ID: o.store.ID(), Name: o.name, Zone: o.zone, Addr: o.name}, reporting); err == nil && c != nil {
				h.node.Change(c)
				return
			}
		}
	}
	if c := s.PromotionChange(wantedVoters, reporting); c != nil {
		h.node.Change(c)
		return
	}
	decision := maintenance.Next(&s.Work, view)
	if decision.Transfer != "" {
		if m := s.MemberByName(decision.Transfer); m != nil {
			h.node.TransferLeadership(m.ID)
		}
	}
	for _, e := range decision.Entries {
		w.propose(i, &e)
	}
}

// proposeOwnStep does what the state says of a host, and proposes its next phase. A phase counts only once the log
// has it.
func (w *world) proposeOwnStep(i int, s *State) {
	h := w.hosts[i]
	agreed := s.Work.Server(h.name)
	if agreed == nil || w.now-h.lastProposed < 15 {
		return
	}
	a := maintenance.NextAction(&s.Work, h.name, maintenance.LocalStatus{Incarnation: h.incarnation, Warm: w.now-h.startedAt > 20, DrainingSince: int64(h.drainSince) * tickMs, MinDrain: 2000}, int64(w.now)*tickMs)
	switch {
	case a.Hold && h.drainSince == 0:
		h.drainSince = w.now
		w.logf("%s drains", h.name)
	case !a.Hold:
		h.drainSince = 0
	}
	if a.Speak {
		h.lastProposed = w.now
		w.propose(i, &maintenance.Entry{Kind: maintenance.Step, Box: h.name, Incarnation: h.incarnation, Phase: a.Say})
	}
	// The operators end the process and work on the machine.
	if agreed.Phase == maintenance.Drained && agreed.Incarnation == h.incarnation {
		w.logf("%s is under maintenance", h.name)
		w.kill(h, false)
		h.underMaintenance = true
		h.restartAt = w.now + 30
	}
}

func (w *world) flush(i int, h *host) {
	if h.node == nil {
		return
	}
	out, err := h.node.Flush()
	if err != nil {
		w.fatal("%s: %v", h.name, err)
	}
	for _, a := range out.Applied {
		if opIndex := int(a.Token) - 1; opIndex >= 0 && a.Entry != nil {
			if o := &w.ops[opIndex]; !o.applied {
				o.applied, o.err = true, a.Err
			}
			if o := &w.ops[opIndex]; o.proposer == i && o.returnedAt == 0 {
				o.returnedAt = 2*int64(w.now) + 1
			}
		}
		if a.Entry != nil && a.Err == nil && a.Entry.Kind == maintenance.Grant {
			w.logf("%s applies the grant of %s at %d", h.name, a.Entry.Box, a.Index)
		}
		if a.Entry != nil && a.Err == nil && a.Entry.Kind == maintenance.Step && a.Entry.Phase == maintenance.Drained && !w.countedOut[fmt.Sprint(a.Entry.Box, a.Entry.Incarnation)] {
			w.countedOut[fmt.Sprint(a.Entry.Box, a.Entry.Incarnation)] = true
			w.hosts[slices.IndexFunc(w.hosts, func(o *host) bool { return o.name == a.Entry.Box })].outCount++
		}
	}
	for _, m := range out.Messages {
		if p := w.hostIndex(m.To); p >= 0 {
			w.inFlight = append(w.inFlight, packet{i, p, w.now + 1 + w.rnd.IntN(2), m})
		} else {
			h.node.ReportUnreachable(m.To)
			w.reportSnapshot(packet{i, i, 0, m}, false)
		}
	}
}

// checkInvariants checks what must be true at every step.
func (w *world) checkInvariants() {
	busy := 0
	for _, h := range w.hosts {
		if h.drainSince > 0 && h.node != nil || h.underMaintenance {
			busy++
		}
		if h.node == nil {
			continue
		}
		if term, leads := h.node.Leads(); leads {
			if other, ok := w.leaderByTerm[term]; ok && other != h.store.ID() {
				w.fatal("%x and %x are both leader of term %d", other, h.store.ID(), term)
			}
			w.leaderByTerm[term] = h.store.ID()
		}
		if h.checkedIndex == h.node.applied {
			continue
		}
		h.checkedIndex = h.node.applied
		digest, err := h.node.Digest()
		if err != nil {
			w.fatal("%v", err)
		}
		if other, ok := w.digestByIndex[h.node.applied]; ok && other != digest {
			w.fatal("the state of %s differs from another node's at index %d", h.name, h.node.applied)
		}
		w.digestByIndex[h.node.applied] = digest
	}
	if busy > maxUnavailable {
		w.fatal("%d nodes are draining or out, at most %d may be", busy, maxUnavailable)
	}
}

// until runs steps until f returns true.
func (w *world) until(what string, maxSteps int, f func() bool) {
	for range maxSteps {
		if f() {
			return
		}
		w.step()
	}
	states := ""
	for _, h := range w.hosts {
		if h.node != nil {
			states += fmt.Sprintf("\n%s %x leader %x applied %d %v %+v", h.name, h.store.ID(), h.node.Leader(), h.node.applied, h.node.State().Members, h.node.State().Work.Server(h.name))
			for _, p := range h.node.State().Work.Plans {
				states += fmt.Sprintf("\n   %s %s order %v gone %v", p.ID, p.State, p.Order, p.Gone)
			}
		}
	}
	w.fatal("%s: not reached after %d steps%s", what, maxSteps, states)
}

func (w *world) all(f func(*host) bool) bool {
	return !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.node == nil || !f(h) })
}

// ready reports whether all nodes are members and in service.
func (w *world) ready() bool {
	return w.all(func(h *host) bool {
		s := h.node.State()
		agreed := s.Work.Server(h.name)
		return s.Member(h.store.ID()) != nil && len(s.Members) == len(w.hosts) && agreed != nil && agreed.Phase == maintenance.InService && agreed.Incarnation == h.incarnation
	})
}

// injectFault draws one fault, or ends those in effect.
func (w *world) injectFault() {
	i := w.rnd.IntN(len(w.hosts))
	h := w.hosts[i]
	switch w.rnd.IntN(9) {
	case 0, 1:
		if h.node != nil {
			w.kill(h, w.rnd.IntN(6) == 0 && w.canLoseDisk(h))
			h.restartAt = w.now + 5 + w.rnd.IntN(60)
		}
	case 2: // outgoing messages only
		w.logf("all messages from %s are lost", h.name)
		for j := range w.hosts {
			w.blocked[i][j] = true
		}
	case 3:
		w.logf("all messages to %s are lost", h.name)
		for j := range w.hosts {
			w.blocked[j][i] = true
		}
	case 4: // a partition
		k := 1 + w.rnd.IntN(len(w.hosts)-1)
		w.logf("the first %d nodes are partitioned from the rest", k)
		for x := range w.hosts {
			for y := range w.hosts {
				w.blocked[x][y] = (x < k) != (y < k)
			}
		}
	case 5:
		w.lossPercent = w.rnd.IntN(30)
	case 6:
		for _, o := range w.hosts {
			if o.node != nil {
				if _, leads := o.node.Leads(); leads {
					w.kill(o, false)
					o.restartAt = w.now + 10 + w.rnd.IntN(40)
				}
			}
		}
	default:
		w.heal()
	}
}

func (w *world) heal() {
	w.logf("faults end")
	w.lossPercent = 0
	for _, row := range w.blocked {
		clear(row)
	}
}

// A maintenance plan takes a fleet of 5 to 30 nodes out one after the other while processes die, disks are lost and
// the network fails. At no time are more nodes unavailable than the plan allows, all apply the same log, and the
// proposals take effect in one order. After the faults the plan completes with each node out exactly once.
func TestAPlanUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runScenario(t, seed, 5+int(seed*5%26), 0) })
	}
}

// The same with 300 nodes, of which a dozen are taken out.
func TestALargeFleetUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+*big; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runScenario(t, seed, 300, 12) })
	}
}

// runScenario runs a plan for the first planned of n nodes under faults; 0 = all nodes.
func runScenario(t *testing.T, seed uint64, n, planned int) {
	w := newWorld(t, seed, n, 3)
	w.until("all nodes in service", 3000+100*n, w.ready)
	w.initial, w.firstOp = w.hosts[0].node.State().Work.Clone(), len(w.ops)
	proposer := w.rnd.IntN(n)
	plan := maintenance.Plan{ID: "disks", By: "staff", Reason: "new disks", Most: maxUnavailable, Floor: 0.1}
	for _, h := range w.hosts[:cmp.Or(planned, n)] {
		plan.Boxes = append(plan.Boxes, h.name)
	}
	w.until("plan proposed", 200, func() bool {
		return w.hosts[proposer].node.State().Work.Plan("disks") != nil || w.now%20 == 0 && w.propose(proposer, &maintenance.Entry{Kind: maintenance.Propose, Plan: plan}) && false
	})
	for range 25 {
		w.injectFault()
		for range 10 + w.rnd.IntN(60) {
			w.step()
		}
	}
	w.heal()
	planDone := func(h *host) bool {
		p := h.node.State().Work.Plan("disks")
		return p != nil && p.State == maintenance.Done
	}
	w.until("plan done", 20000+1000*n, func() bool { return w.all(planDone) && w.ready() })
	if p := w.hosts[0].node.State().Work.Plan("disks"); len(p.Gone) != len(plan.Boxes) {
		t.Errorf("completed nodes %v", p.Gone)
	}
	for _, h := range w.hosts {
		want := 0
		if slices.Contains(plan.Boxes, h.name) {
			want = 1
		}
		if h.outCount != want {
			w.fatal("%s was out %d times", h.name, h.outCount)
		}
	}
	w.checkLinearizable()
}
