// Package driver runs a server's membership of the fleet. It drives the consensus node with ticks, carries messages
// and reports over the links between servers, does what the replicated state says of this server, and as the leader
// proposes what follows from that state. All of it happens on one goroutine, the loop; events from outside wait in a
// bounded queue. A failure of the membership does not stop the server from serving requests.
package driver

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/raftlog"
	"larchscale/internal/link"
	"larchscale/internal/wal"
)

const (
	tick              = 100 * time.Millisecond
	reportEach        = 10 // ticks between reports to the voters
	actTicks          = 2
	reproposeTicks    = 10               // after so many ticks a phase that the log does not have yet is proposed again
	maxQueuedEvents   = 1024             // events from outside the loop
	maxQueuedMessages = 256              // queued messages to one server
	segmentBytes      = 1 << 20          // size of a log segment, after which the log is compacted
	commandTimeout    = 10 * time.Second // how long an operator waits for the outcome of a command
	incarnationFile   = "incarnation"
)

// pendingProposal is a proposal for whose outcome somebody waits.
type pendingProposal struct {
	result        chan error // with a buffer of one
	expiresAtTick int        // the tick after which nobody waits any longer
}

// Process is this process as the driver sees it. Its methods must not block.
type Process interface {
	// Report returns the current report on this process. The driver fills in its incarnation and the time.
	Report() maintenance.Report
	// HoldHealth makes the health check fail, or ends that.
	HoldHealth(on bool)
}

// Driver is a server's membership of the fleet.
type Driver struct {
	opt           Options
	self          consensus.Member
	joinTargets   []link.Peer       // servers of the configuration, asked in turn to admit this one
	addrOverrides map[string]string // addresses by server name that replace those of the replicated state
	link          *link.Link
	process       Process
	log           *slog.Logger
	queue         chan func()
	done          chan struct{}
	lock          io.Closer // of the directory
	selfFrame     []byte    // self, encoded: the first frame of each request
	ctx           context.Context

	// The loop alone uses the fields below, except for metrics.
	modules          []Module
	supportedModules map[uint64][]string // by member id, the names of the modules that the member's program has
	pendingReads     map[uint64]pendingRead
	node             *consensus.Node
	store            *raftlog.Log
	incarnation      uint64
	ticks            int
	reports          map[string]maintenance.Report
	senders          map[uint64]*sender // to the members, by id
	healthHeldSince  time.Time
	proposedPhase    maintenance.Phase // the newest proposal for this server
	proposedAtTick   int
	lastReport       maintenance.Report // as last sent
	lastToken        uint64
	transferTarget   uint64 // raft's id of the voter that transfer chose; 0 = none
	pendingProposals map[uint64]pendingProposal
	lastSender       consensus.Member // the sender of the newest messages, who gets the replies until the members are known
	joinSender       *sender
	joinAttempts     int
	decision         maintenance.Decision
	action           maintenance.Action
	metrics          atomic.Pointer[Metrics]
}

// New opens the fleet's log of a server. addr is where other servers reach it. The modules have to be new; the driver
// owns them from here on.
func New(opt Options, name, addr string, joinTargets []link.Peer, l *link.Link, process Process, log *slog.Logger, modules ...Module) (*Driver, error) {
	dir := wal.Dir(opt.Dir)
	if err := dir.Make(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	lock, err := dir.Lock()
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	addrOverrides := map[string]string{}
	for _, server := range joinTargets {
		addrOverrides[server.Name] = server.Addr
	}
	d := &Driver{opt: opt, self: consensus.Member{Name: name, Zone: opt.Zone, Addr: addr}, joinTargets: joinTargets, addrOverrides: addrOverrides, link: l, process: process, log: log, lock: lock,
		queue: make(chan func(), maxQueuedEvents), done: make(chan struct{}), reports: map[string]maintenance.Report{}, senders: map[uint64]*sender{}, pendingProposals: map[uint64]pendingProposal{}, joinAttempts: rand.IntN(max(1, len(joinTargets))),
		modules: modules, supportedModules: map[uint64][]string{}, pendingReads: map[uint64]pendingRead{}}
	if err := d.open(); err != nil {
		lock.Close()
		return nil, err
	}
	return d, nil
}

// open loads what the directory stores.
func (d *Driver) open() (err error) {
	if d.incarnation, err = nextIncarnation(d.opt.Dir, uint64(time.Now().UnixMilli())); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if d.store, err = raftlog.Open(wal.Dir(d.opt.Dir), d.self.Name, newID, segmentBytes); err != nil {
		return err
	}
	d.self.ID = d.store.ID()
	if d.selfFrame, err = cbor.Marshal(d.self); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return d.startNode()
}

// newID draws the raft id of a server whose disk is empty.
func newID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}

func (d *Driver) startNode() (err error) {
	machines := make([]consensus.StateMachine, len(d.modules))
	for i, m := range d.modules {
		machines[i] = m
	}
	d.node, err = consensus.New(d.store, raftLogger{d.log}, machines...)
	return err
}

// Run runs the loop until the context ends. A panic ends the server's membership, not its process.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	defer func() {
		if p := recover(); p != nil {
			d.log.Error("fleet", "do", "panic", "err", p, "stack", string(debug.Stack()))
		}
		for _, m := range d.modules {
			m.Stop()
		}
		for _, s := range d.senders {
			s.close()
		}
		if d.joinSender != nil {
			d.joinSender.close()
		}
		d.store.Close()
		d.lock.Close()
	}()
	d.ctx = ctx
	for _, m := range d.modules {
		m.Start(&Host{d, m.Name()})
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(ctx)
		case f := <-d.queue:
			f()
			for n := len(d.queue); n > 0; n-- {
				(<-d.queue)()
			}
		}
		if err := d.flush(ctx); err != nil {
			d.log.Error("fleet", "do", "keep", "err", err)
			return
		}
	}
}

// enqueue queues a function for the loop; false = the queue is full, or the loop has ended.
func (d *Driver) enqueue(f func()) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.queue <- f:
		return true
	default:
		return false
	}
}

func (d *Driver) tick(ctx context.Context) {
	d.ticks++
	d.node.Tick()
	s := d.node.State()
	now := time.Now()
	member := s.Member(d.self.ID)
	if d.ticks%reportEach == 0 {
		if member == nil || member.Addr != d.self.Addr {
			d.sendJoinRequest(ctx)
		}
		d.sendReport(ctx, now)
		for token, p := range d.pendingProposals { // nobody waits for these any longer
			if d.ticks > p.expiresAtTick {
				delete(d.pendingProposals, token)
			}
		}
		for id, r := range d.pendingReads {
			if d.ticks > r.expiresAtTick {
				delete(d.pendingReads, id)
			}
		}
	}
	for _, m := range d.modules {
		m.Tick(now)
	}
	if d.ticks%actTicks != 0 {
		return
	}
	d.publishMetrics(now)
	if member == nil {
		return
	}
	// A plan may be waiting for the change.
	if r := d.process.Report(); r.Warm != d.lastReport.Warm || r.Failing != d.lastReport.Failing {
		d.sendReport(ctx, now)
	}
	d.actOnState(now)
	if _, leads := d.node.Leads(); leads {
		d.lead(now)
		for _, m := range d.modules {
			m.LeaderTick(now)
		}
	}
}

// propose proposes an entry. result, unless it is nil, receives the outcome.
func (d *Driver) propose(e *maintenance.Entry, result chan error) {
	d.lastToken++
	token := d.lastToken
	if result != nil {
		d.pendingProposals[token] = pendingProposal{result, d.ticks + int(commandTimeout/tick)}
	}
	if err := d.node.Propose(token, e); err != nil && result != nil {
		delete(d.pendingProposals, token)
		result <- err
	}
}

// flush sends raft's messages and delivers what has been applied.
func (d *Driver) flush(ctx context.Context) error {
	out, err := d.node.Flush()
	if err != nil {
		return err
	}
	for _, a := range out.Applied {
		if p, ok := d.pendingProposals[a.Token]; ok && a.Proposer == d.self.ID && a.Change == nil {
			delete(d.pendingProposals, a.Token)
			p.result <- a.Err
		}
		d.logApplied(a)
	}
	now := time.Now()
	if len(out.Applied) > 0 || out.Restored {
		for _, m := range d.modules {
			m.StateChanged(now)
		}
	}
	d.deliverReads(out.Reads, now)
	for _, m := range out.Messages {
		if !d.senderTo(ctx, m.To).queueMessage(outgoingMessage{m.Data, m.Snapshot}) {
			d.node.ReportUnreachable(m.To)
			if m.Snapshot {
				d.node.ReportSnapshot(m.To, false)
			}
		}
	}
	return nil
}

// proposeCommand proposes an operator's entry. A step of this server itself, which ends maintenance without a restart
// of the process, gets the incarnation of this process.
func (d *Driver) proposeCommand(e maintenance.Entry, result chan error) {
	e.At = time.Now().UnixMilli()
	if e.Kind == maintenance.Step && e.Box == d.self.Name {
		e.Incarnation = d.incarnation
	}
	d.propose(&e, result)
}

// receive processes raft messages. A server that is being admitted knows no members yet: it answers the sender.
func (d *Driver) receive(from consensus.Member, messages [][]byte) {
	d.lastSender = from
	for _, m := range messages {
		if err := d.node.Receive(m); err != nil {
			d.log.Debug("fleet", "do", "receive", "err", err)
		}
	}
}
