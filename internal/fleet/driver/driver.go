// Package driver runs one box's part in the fleet: it gives the node of package agree its ticks, carries messages and
// reports over the link between boxes, does what the agreed state says of this box, and as the leader proposes what
// follows. All of it happens on one goroutine; what comes from outside waits in a bounded queue. The box serves on
// whatever becomes of it.
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

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/raftlog"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/link"
	"larchscale/internal/wal"
)

const (
	tick            = 100 * time.Millisecond
	reportEach      = 10 // ticks
	actEach         = 2
	sayEach         = 10               // a proposal that is not in the log yet is made again
	maxQueue        = 1024             // of what came from outside
	maxFrames       = 256              // waiting for one box
	segment         = 1 << 20          // bytes of the log after which it is made small
	outcome         = 10 * time.Second // an operator waits for what becomes of a command
	incarnationName = "incarnation"
)

// pending is a proposal whose outcome somebody waits for.
type pending struct {
	answer chan error // room for one
	until  int        // ticks
}

// Body is the box as the driver sees it. Its methods must not block.
type Body interface {
	// Look tells how the box stands. What the driver knows itself (its incarnation, when) is left out.
	Look() takeout.Report
	// Hold has its health say no, or lets it say what it says by itself.
	Hold(on bool)
}

// Driver is one box's part.
type Driver struct {
	opt   Options
	self  agree.Member
	boxes []link.Box        // who to knock at
	ways  map[string]string // by name, how this box reaches others; who is not in it is reached where the log says
	link  *link.Link
	body  Body
	log   *slog.Logger
	in    chan func()
	done  chan struct{}
	lock  io.Closer // of the directory
	hello []byte    // self, as it goes before messages
	ctx   context.Context

	// Of the loop.
	modules  []Module
	knows    map[uint64][]string // parts that a member has told of
	asked    map[uint64]reading
	node     *agree.Node
	store    *raftlog.Log
	inc      uint64
	ticks    int
	reports  map[string]takeout.Report
	lines    map[uint64]*line // to the members
	heldAt   time.Time
	said     takeout.Phase // what was last proposed, and when
	saidAt   int
	stood    takeout.Report // as last told
	token    uint64
	handed   uint64 // raft's id of whom HandOver chose; 0 = nobody
	waiting  map[uint64]pending
	leader   agree.Member // who sent last, for a box that does not know the members yet
	knocking *line
	knocks   int
	last     takeout.Decision
	act      takeout.Act
	shown    atomic.Pointer[Figures]
}

// New opens the fleet's log of a box. addr is where the others reach it; modules are new, and its own from here on.
func New(opt Options, name, addr string, boxes []link.Box, l *link.Link, body Body, log *slog.Logger, modules ...Module) (*Driver, error) {
	dir := wal.Dir(opt.Dir)
	if err := dir.Make(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	lock, err := dir.Lock()
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	ways := map[string]string{}
	for _, b := range boxes {
		ways[b.Name] = b.Addr
	}
	d := &Driver{opt: opt, self: agree.Member{Name: name, Zone: opt.Zone, Addr: addr}, boxes: boxes, ways: ways, link: l, body: body, log: log, lock: lock,
		in: make(chan func(), maxQueue), done: make(chan struct{}), reports: map[string]takeout.Report{}, lines: map[uint64]*line{}, waiting: map[uint64]pending{}, knocks: rand.IntN(max(1, len(boxes))),
		modules: modules, knows: map[uint64][]string{}, asked: map[uint64]reading{}}
	if err := d.open(); err != nil {
		lock.Close()
		return nil, err
	}
	return d, nil
}

// open reads what the directory keeps.
func (d *Driver) open() (err error) {
	if d.inc, err = nextIncarnation(d.opt.Dir, uint64(time.Now().UnixMilli())); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if d.store, err = raftlog.Open(wal.Dir(d.opt.Dir), d.self.Name, newID, segment); err != nil {
		return err
	}
	d.self.ID = d.store.ID()
	if d.hello, err = cbor.Marshal(d.self); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return d.begin()
}

// newID draws raft's id of a box whose disk is empty.
func newID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}

func (d *Driver) begin() (err error) {
	parts := make([]agree.Part, len(d.modules))
	for i, m := range d.modules {
		parts[i] = m
	}
	d.node, err = agree.New(d.store, quiet{d.log}, parts...)
	return err
}

// Run is the loop, until ctx ends. A panic in what agrees ends this box's part alone.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	defer func() {
		if p := recover(); p != nil {
			d.log.Error("fleet", "do", "panic", "err", p, "stack", string(debug.Stack()))
		}
		for _, m := range d.modules {
			m.End()
		}
		for _, l := range d.lines {
			l.close()
		}
		if d.knocking != nil {
			d.knocking.close()
		}
		d.store.Close()
		d.lock.Close()
	}()
	d.ctx = ctx
	for _, m := range d.modules {
		m.Begin(&Host{d, m.Name()})
	}
	clock := time.NewTicker(tick)
	defer clock.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.C:
			d.tick(ctx)
		case f := <-d.in:
			f()
			for n := len(d.in); n > 0; n-- {
				(<-d.in)()
			}
		}
		if err := d.flush(ctx); err != nil {
			d.log.Error("fleet", "do", "keep", "err", err)
			return
		}
	}
}

// enter has f run on the loop; false = its queue is full, or it has ended.
func (d *Driver) enter(f func()) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.in <- f:
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
			d.knock(ctx)
		}
		d.report(ctx, now)
		for token, w := range d.waiting { // nobody waits for these any longer
			if d.ticks > w.until {
				delete(d.waiting, token)
			}
		}
		for id, r := range d.asked {
			if d.ticks > r.until {
				delete(d.asked, id)
			}
		}
	}
	for _, m := range d.modules {
		m.Tick(now)
	}
	if d.ticks%actEach != 0 {
		return
	}
	d.show(now)
	if member == nil {
		return
	}
	if r := d.body.Look(); r.Warm != d.stood.Warm || r.Failing != d.stood.Failing { // somebody may wait for it
		d.report(ctx, now)
	}
	d.agent(now)
	if _, leads := d.node.Leads(); leads {
		d.leadOn(now)
		for _, m := range d.modules {
			m.Lead(now)
		}
	}
}

// propose asks the fleet for an entry; answer, if any, hears what became of it.
func (d *Driver) propose(e *takeout.Entry, answer chan error) {
	d.token++
	token := d.token
	if answer != nil {
		d.waiting[token] = pending{answer, d.ticks + int(outcome/tick)}
	}
	if err := d.node.Propose(token, e); err != nil && answer != nil {
		delete(d.waiting, token)
		answer <- err
	}
}

// flush sends what raft has to say and logs what has taken hold.
func (d *Driver) flush(ctx context.Context) error {
	out, err := d.node.Flush()
	if err != nil {
		return err
	}
	for _, a := range out.Applied {
		if w, ok := d.waiting[a.Token]; ok && a.Proposer == d.self.ID && a.Change == nil {
			delete(d.waiting, a.Token)
			w.answer <- a.Err
		}
		d.tell(a)
	}
	now := time.Now()
	if len(out.Applied) > 0 || out.Restored {
		for _, m := range d.modules {
			m.Applied(now)
		}
	}
	d.confirmed(out.Reads, now)
	for _, m := range out.Messages {
		if !d.to(ctx, m.To).send(frame{m.Data, m.Snapshot}) {
			d.node.Unreachable(m.To)
			if m.Snapshot {
				d.node.SnapshotSent(m.To, false)
			}
		}
	}
	return nil
}

// command is an operator's word; back is for a box whose work did not end its process.
func (d *Driver) command(e takeout.Entry, answer chan error) {
	e.At = time.Now().UnixMilli()
	if e.Kind == takeout.Step && e.Box == d.self.Name {
		e.Incarnation = d.inc
	}
	d.propose(&e, answer)
}

// receive takes messages. A box that is being let in knows nobody: it answers where they came from.
func (d *Driver) receive(from agree.Member, list [][]byte) {
	d.leader = from
	for _, m := range list {
		if err := d.node.Receive(m); err != nil {
			d.log.Debug("fleet", "do", "receive", "err", err)
		}
	}
}
