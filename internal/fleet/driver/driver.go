// Package driver runs one box's part in the fleet: it gives the node of package agree its ticks, carries messages and
// reports over the link between boxes, does what the agreed state says of this box, and as the leader proposes what
// follows. All of it happens on one goroutine; what comes from outside waits in a bounded queue. The box serves on
// whatever becomes of it.
package driver

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/raftlog"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/link"
	"larchscale/internal/wal"
)

// Options are the operator's table [fleet].
type Options struct {
	Dir      string `toml:"dir"`  // where the log is kept; "" = no part in a fleet
	Zone     string `toml:"zone"` // the box's
	Voters   int    `toml:"voters"`
	SilentMs int    `toml:"silent_ms"`
	DrainMs  int    `toml:"drain_ms"` // a box's health says no for so long before it is out
}

// Defaults are the options that a file need not name.
func Defaults() Options { return Options{Voters: 3, SilentMs: 3000, DrainMs: 5000} }

// Check finds what cannot be.
func (o *Options) Check() error {
	switch {
	case o.Voters < 1 || o.Voters > 7 || o.Voters%2 == 0:
		return fmt.Errorf("fleet.voters is %d; 1, 3, 5 or 7", o.Voters)
	case o.SilentMs < 1000 || o.SilentMs > 60_000:
		return fmt.Errorf("fleet.silent_ms is %d, 1000 to 60000", o.SilentMs)
	case o.DrainMs < 0 || o.DrainMs > 600_000:
		return fmt.Errorf("fleet.drain_ms is %d, 0 to 600000", o.DrainMs)
	case o.Dir != "" && o.Zone == "":
		return errors.New("fleet.dir needs fleet.zone")
	}
	return nil
}

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

	// Of the loop.
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
	waiting  map[uint64]pending
	leader   agree.Member // who sent last, for a box that does not know the members yet
	knocking *line
	knocks   int
	last     takeout.Decision
	act      takeout.Act
	shown    atomic.Pointer[Figures]
}

// New opens the fleet's log of a box. addr is where the others reach it.
func New(opt Options, name, addr string, boxes []link.Box, l *link.Link, body Body, log *slog.Logger) (*Driver, error) {
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
		in: make(chan func(), maxQueue), done: make(chan struct{}), reports: map[string]takeout.Report{}, lines: map[uint64]*line{}, waiting: map[uint64]pending{}, knocks: rand.IntN(max(1, len(boxes)))}
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
	d.node, err = agree.New(d.store, quiet{d.log})
	return err
}

// nextIncarnation numbers this process: more than every earlier one of the box, also if the clock went back. It is on
// the disk before anything is said under it.
func nextIncarnation(dir string, now uint64) (uint64, error) {
	path := filepath.Join(dir, incarnationName)
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	was, _ := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	n := max(now, was+1)
	f, err := os.CreateTemp(dir, incarnationName+"-")
	if err != nil {
		return 0, err
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintln(f, n)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return 0, err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return 0, err
	}
	return n, wal.Dir(dir).SyncDir()
}

// Run is the loop, until ctx ends. A panic in what agrees ends this box's part alone.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	defer func() {
		if p := recover(); p != nil {
			d.log.Error("fleet", "do", "panic", "err", p, "stack", string(debug.Stack()))
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
	}
}

// agent does what the log says of this box.
func (d *Driver) agent(now time.Time) {
	r := d.body.Look()
	local := takeout.Local{Incarnation: d.inc, Warm: r.Warm, Open: r.Open, KeyedUntil: r.KeyedUntil, DrainFor: int64(d.opt.DrainMs)}
	if !d.heldAt.IsZero() {
		local.Held = d.heldAt.UnixMilli()
	}
	a := takeout.Agent(&d.node.State().Work, d.self.Name, local, now.UnixMilli())
	if a != d.act && a.Why != "" {
		d.log.Info("fleet", "do", "box", "hold", a.Hold, "why", a.Why)
	}
	d.act = a
	if held := !d.heldAt.IsZero(); a.Hold != held {
		if d.heldAt = (time.Time{}); a.Hold {
			d.heldAt = now
		}
		d.body.Hold(a.Hold)
	}
	if a.Speak && (a.Say != d.said || d.ticks-d.saidAt >= sayEach) {
		d.said, d.saidAt = a.Say, d.ticks
		d.propose(&takeout.Entry{Kind: takeout.Step, At: now.UnixMilli(), Box: d.self.Name, Incarnation: d.inc, Phase: a.Say}, nil)
	}
}

// leadOn proposes what follows from the state and the newest reports.
func (d *Driver) leadOn(now time.Time) {
	s := d.node.State()
	v := takeout.View{Now: now.UnixMilli(), Self: d.self.Name, Silent: int64(d.opt.SilentMs), Reports: d.reports, Voters: map[string]bool{}}
	for _, m := range s.Members {
		v.Voters[m.Name] = m.Voter
	}
	if c := s.Gone(d.self.ID); c != nil {
		d.change(c)
		return
	}
	if c := s.Voters(d.opt.Voters, func(id uint64) bool { return d.heard(s, id, now) }); c != nil {
		d.change(c)
		return
	}
	d.last = takeout.Next(&s.Work, v)
	if d.last.Transfer != "" {
		if m := s.Named(d.last.Transfer); m != nil {
			d.log.Info("fleet", "do", "hand over", "to", m.Name)
			d.node.Transfer(m.ID)
		}
	}
	for _, e := range d.last.Entries {
		d.propose(&e, nil)
	}
}

// heard tells that a member's reports are new.
func (d *Driver) heard(s *agree.State, id uint64, now time.Time) bool {
	m := s.Member(id)
	return m != nil && d.fresh(m, now)
}

func (d *Driver) fresh(m *agree.Member, now time.Time) bool {
	if m.ID == d.self.ID {
		return true
	}
	r, ok := d.reports[m.Name]
	return ok && r.Fresh(now.UnixMilli(), int64(d.opt.SilentMs))
}

func (d *Driver) change(c *agree.Change) {
	if err := d.node.Change(c); err != nil {
		d.log.Warn("fleet", "do", "change", "kind", c.Kind, "box", c.Member.Name, "err", err)
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
		if w, ok := d.waiting[a.Token]; ok && a.Proposer == d.self.ID && a.Entry != nil {
			delete(d.waiting, a.Token)
			w.answer <- a.Err
		}
		d.tell(a)
	}
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

// tell logs an entry that staff want to know of.
func (d *Driver) tell(a agree.Applied) {
	switch {
	case a.Change != nil:
		d.log.Info("fleet", "do", "member", "kind", a.Change.Kind, "box", a.Change.Member.Name, "index", a.Index, "err", a.Err)
	case a.Entry == nil || a.Err != nil:
		d.log.Debug("fleet", "do", "refused", "index", a.Index, "err", a.Err)
	case a.Entry.Kind == takeout.Step:
		d.log.Info("fleet", "do", "phase", "box", a.Entry.Box, "phase", a.Entry.Phase.String(), "index", a.Index)
	case a.Entry.Kind == takeout.Grant:
		d.log.Info("fleet", "do", "grant", "box", a.Entry.Box, "plan", a.Entry.Plan.ID, "why", a.Entry.Why, "index", a.Index)
	default:
		d.log.Info("fleet", "do", "entry", "kind", a.Entry.Kind, "plan", a.Entry.Plan.ID, "index", a.Index)
	}
}

// to gives the line to a member. One that is not known any longer gets a line that takes nothing.
func (d *Driver) to(ctx context.Context, id uint64) *line {
	m := d.node.State().Member(id)
	if m == nil && id != 0 && d.leader.ID == id && d.node.State().Member(d.self.ID) == nil {
		m = &d.leader
	}
	l := d.lines[id]
	if m == nil {
		if l != nil {
			l.close()
			delete(d.lines, id)
		}
		return nil
	}
	addr := m.Addr
	if way, ok := d.ways[m.Name]; ok {
		addr = way
	}
	if l == nil || l.addr != addr {
		if l != nil {
			l.close()
		}
		l = newLine(ctx, d, m.Name, addr, id)
		d.lines[id] = l
	}
	return l
}

// report tells all voters how this box stands: the leader is one of them, and the next one too.
func (d *Driver) report(ctx context.Context, now time.Time) {
	r := d.body.Look()
	r.Incarnation, r.Heard = d.inc, now.UnixMilli()
	d.reports[d.self.Name], d.stood = r, r
	data, err := cbor.Marshal(said{d.self.ID, r})
	if err != nil {
		d.log.Error("fleet", "do", "report", "err", err)
		return
	}
	for _, m := range d.node.State().Members {
		if m.Voter && m.ID != d.self.ID {
			d.to(ctx, m.ID).tell("/fleet/report", data)
		}
	}
}

// knock asks one box of the file after the other to be let in.
func (d *Driver) knock(ctx context.Context) {
	if len(d.boxes) == 0 {
		return
	}
	d.knocks++
	b := d.boxes[d.knocks%len(d.boxes)]
	if d.knocking != nil {
		d.knocking.close()
	}
	d.knocking = newLine(ctx, d, b.Name, b.Addr, 0)
	d.knocking.tell("/fleet/knock", d.hello)
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

// knocked is a box that knocks. Only the leader lets it in; another passes it on, once.
func (d *Driver) knocked(m agree.Member) error {
	if _, leads := d.node.Leads(); leads {
		return d.letIn(m)
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("knock: %w", err)
	}
	if l := d.lines[d.node.Leader()]; l != nil {
		l.tell("/fleet/passed", data)
	}
	return agree.ErrNoLeader
}

// letIn takes what a leader may have been passed.
func (d *Driver) letIn(m agree.Member) error {
	s := d.node.State()
	if _, leads := d.node.Leads(); !leads {
		return agree.ErrNoLeader
	}
	now := time.Now()
	c, err := s.Knock(m, func(id uint64) bool { return d.heard(s, id, now) })
	if err != nil {
		d.log.Warn("fleet", "do", "knock", "box", m.Name, "addr", m.Addr, "err", err)
		return err
	}
	if c != nil {
		d.change(c)
	}
	return nil
}

// said is a report as it is sent.
type said struct {
	ID     uint64
	Report takeout.Report
}

// take notes a report. Its time is this box's.
func (d *Driver) take(x said) error {
	m := d.node.State().Member(x.ID)
	if m == nil {
		return fmt.Errorf("a report of %x, which is no member: %w", x.ID, agree.ErrMember)
	}
	x.Report.Heard = time.Now().UnixMilli()
	d.reports[m.Name] = x.Report
	return nil
}

// Status is how the fleet stands, as this box sees it.
type Status struct {
	Box         string
	Incarnation uint64
	Leader      string
	Term        uint64
	Digest      uint64
	Self        takeout.Act
	Members     []agree.Member
	takeout.State
	Waits    []takeout.Wait            // of the leader alone
	Reports  map[string]takeout.Report // as far as they come here
	SilentMs int                       // after which a box without a report is silent
}

func (d *Driver) status() Status {
	s := d.node.State()
	term, leads := d.node.Leads()
	out := Status{Box: d.self.Name, Incarnation: d.inc, Term: term, Self: d.act, Members: slices.Clone(s.Members),
		State: s.Work.Clone(), Reports: map[string]takeout.Report{}, SilentMs: d.opt.SilentMs}
	out.Digest, _ = s.Digest()
	if m := s.Member(d.node.Leader()); m != nil {
		out.Leader = m.Name
	}
	if leads {
		out.Waits = slices.Clone(d.last.Waits)
	}
	for name, r := range d.reports {
		out.Reports[name] = r
	}
	return out
}

// found begins a fleet with this box.
func (d *Driver) found() error {
	if err := agree.Found(d.store, d.self); err != nil {
		return err
	}
	if err := d.begin(); err != nil {
		return err
	}
	return d.node.Campaign()
}

// command is an operator's word; back is for a box whose work did not end its process.
func (d *Driver) command(e takeout.Entry, answer chan error) {
	e.At = time.Now().UnixMilli()
	if e.Kind == takeout.Step && e.Box == d.self.Name {
		e.Incarnation = d.inc
	}
	d.propose(&e, answer)
}

// quiet gives raft's own log lines at levels that suit staff.
type quiet struct{ log *slog.Logger }

func (q quiet) Debug(v ...any)              {}
func (q quiet) Debugf(string, ...any)       {}
func (q quiet) Info(v ...any)               { q.log.Debug("fleet", "raft", fmt.Sprint(v...)) }
func (q quiet) Infof(f string, v ...any)    { q.log.Debug("fleet", "raft", fmt.Sprintf(f, v...)) }
func (q quiet) Warning(v ...any)            { q.log.Debug("fleet", "raft", fmt.Sprint(v...)) }
func (q quiet) Warningf(f string, v ...any) { q.log.Debug("fleet", "raft", fmt.Sprintf(f, v...)) }
func (q quiet) Error(v ...any)              { q.log.Warn("fleet", "raft", fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any)   { q.log.Warn("fleet", "raft", fmt.Sprintf(f, v...)) }
func (q quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

var _ raft.Logger = quiet{}

// frames reads the messages of one request, each behind its length.
func frames(in io.Reader, limit int) (out [][]byte, err error) {
	all, err := io.ReadAll(io.LimitReader(in, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(all) > limit {
		return nil, fmt.Errorf("more than %d bytes", limit)
	}
	for len(all) > 0 {
		n, k := binary.Uvarint(all)
		if k <= 0 || n > uint64(len(all)-k) {
			return nil, errors.New("a message is cut short")
		}
		out = append(out, all[k:k+int(n)])
		all = all[k+int(n):]
	}
	return out, nil
}
