package agree

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
	"larchscale/internal/fleet/raftlog"
	"larchscale/internal/fleet/takeout"
)

var (
	seeds = flag.Uint64("seeds", 12, "histories of the simulation")
	first = flag.Uint64("first", 1, "seed of the first, to play one again")
	big   = flag.Uint64("big", 0, "histories of 300 boxes")
)

const (
	tickMs   = 100
	silentMs = 3000
	voters   = 5
	most     = 2 // boxes that may be missing
)

// box is one box of the simulation: its disk lives over its processes.
type box struct {
	name, zone string
	disk       *faultfs.Disk
	store      *raftlog.Log
	node       *Node // nil = no process
	inc        uint64
	since      int    // when its process began
	drained    int    // when it began to drain; 0 = it does not
	asked      int    // when it last proposed something of itself
	out        int    // how often it was out, by the log
	worked     bool   // staff work on it now
	down       int    // until when no process is started
	checked    uint64 // the entry as of which its state was looked at
}

type packet struct {
	from, to int // places of boxes
	at       int
	Message
}

// world is a fleet in virtual time: a step is a tick of all boxes. Everything comes from its seed.
type world struct {
	t       *testing.T
	rnd     *rand.Rand
	now     int
	boxes   []*box
	net     []packet
	cut     [][]bool // messages from one to another are lost
	loss    int      // in a hundred
	ids     uint64
	digests map[uint64]uint64 // by index applied
	leaders map[uint64]uint64 // by term
	history []string
	outs    map[string]bool // processes that were out
	ops     []op            // what was proposed, by token - 1
	since   int             // ops before it are not looked at
	from    takeout.State   // as it was then
}

// op is an entry that somebody proposed. All that is not applied anywhere in the end never took hold.
type op struct {
	by      int
	entry   takeout.Entry
	call    int64
	heard   int64 // when its proposer knew; 0 = it never did
	applied bool
	err     error
}

// propose is a box's proposal, on the record.
func (w *world) propose(i int, e *takeout.Entry) bool {
	n := w.boxes[i].node
	if err := n.Propose(uint64(len(w.ops)+1), e); err != nil {
		return false
	}
	w.ops = append(w.ops, op{by: i, entry: *e, call: 2 * int64(w.now)})
	return true
}

// linear checks that all that was proposed and took hold did so at one moment between its call and what its proposer
// heard of it, by the rules of one state that all changed in turn (porcupine).
func (w *world) linear() {
	var history []porcupine.Operation
	end := 2*int64(w.now) + 3
	for _, o := range w.ops[w.since:] {
		if !o.applied {
			continue
		}
		ret := o.heard
		if ret == 0 {
			ret = end
		}
		history = append(history, porcupine.Operation{ClientId: len(history), Input: o.entry, Call: o.call, Output: o.err, Return: ret})
	}
	model := porcupine.Model{
		Init: func() any { return w.from },
		Step: func(state, input, output any) (bool, any) {
			was := state.(takeout.State)
			err, _ := output.(error)
			if errors.Is(err, ErrStale) {
				return true, was
			}
			s, e := was.Clone(), input.(takeout.Entry)
			got := s.Apply(0, &e)
			if s.Index = 0; got != nil {
				s = was
			}
			return (got == nil) == (err == nil) && (err == nil || errors.Is(err, errors.Unwrap(got))), s
		},
		Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
	}
	for i := range w.from.Boxes { // indexes of entries are not what is compared
		w.from.Boxes[i].Index = 0
	}
	w.from.Index = 0
	switch porcupine.CheckOperationsTimeout(model, history, 20*time.Second) {
	case porcupine.Illegal:
		w.fatal("%d operations cannot be put in an order", len(history))
	case porcupine.Unknown:
		w.fatal("%d operations: no order found in time", len(history))
	}
}

func (w *world) note(f string, a ...any) {
	w.history = append(w.history, fmt.Sprintf("%5d ", w.now)+fmt.Sprintf(f, a...))
}

func (w *world) fatal(f string, a ...any) {
	w.t.Helper()
	n := max(0, len(w.history)-400)
	w.t.Fatalf("%s\n%s", fmt.Sprintf(f, a...), strings.Join(w.history[n:], "\n"))
}

func newWorld(t *testing.T, seed uint64, n, zones int) *world {
	cryptotest.SetGlobalRandom(t, seed) // raft's election timeouts
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), digests: map[uint64]uint64{}, leaders: map[uint64]uint64{}, outs: map[string]bool{}, cut: make([][]bool, n)}
	for i := range n {
		w.cut[i] = make([]bool, n)
		w.boxes = append(w.boxes, &box{name: fmt.Sprintf("n%03d", i), zone: string(rune('a' + i%zones)), disk: faultfs.New(seed + uint64(i))})
	}
	for i, b := range w.boxes {
		w.start(b, i == 0)
	}
	return w
}

// start is a new process of a box.
func (w *world) start(b *box, found bool) {
	var err error
	b.store, err = raftlog.Open(b.disk, b.name, func() uint64 { w.ids++; return w.ids }, 4<<10)
	if err != nil {
		w.fatal("%s: %v", b.name, err)
	}
	if found {
		if err := Found(b.store, Member{Name: b.name, Zone: b.zone, Addr: b.name}); err != nil {
			w.fatal("%v", err)
		}
	}
	if b.node, err = New(b.store, &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}); err != nil {
		w.fatal("%s: %v", b.name, err)
	}
	b.inc++
	b.since, b.drained, b.asked, b.worked, b.checked = w.now, 0, 0, false, 0
	w.note("%s starts as %x, incarnation %d", b.name, b.store.ID(), b.inc)
}

// kill ends a process with what its disk has not synced in doubt; lose takes the disk too.
func (w *world) kill(b *box, lose bool) {
	if b.node == nil {
		return
	}
	w.note("%s is killed, disk lost %v", b.name, lose)
	b.node = nil
	b.disk.CutPower()
	b.disk.Restart()
	if lose {
		b.disk, b.store = faultfs.New(w.rnd.Uint64()), nil
	}
}

// mayLose tells that a majority of the voters keeps its disks without b's: with fewer nothing is ever agreed again.
func (w *world) mayLose(b *box) bool {
	var newest *Node
	for _, o := range w.boxes {
		if o.node != nil && (newest == nil || o.node.applied > newest.applied) {
			newest = o.node
		}
	}
	voters, kept := 0, 0
	for _, m := range newest.state.Members {
		if m.Voter {
			voters++
			if slices.ContainsFunc(w.boxes, func(o *box) bool { return o != b && o.store != nil && o.store.ID() == m.ID }) {
				kept++
			}
		}
	}
	return kept > voters/2
}

func (w *world) place(id uint64) int {
	return slices.IndexFunc(w.boxes, func(b *box) bool { return b.node != nil && b.store.ID() == id })
}

// hears tells that reports of one box reach another.
func (w *world) hears(from, to int) bool {
	return w.boxes[from].node != nil && w.boxes[to].node != nil && !w.cut[from][to]
}

func (w *world) step() {
	w.now++
	for _, b := range w.boxes {
		if b.node != nil {
			b.node.Tick()
		} else if b.down > 0 && w.now >= b.down {
			b.down = 0
			w.start(b, false)
		}
	}
	due := w.net
	w.net = nil
	for _, p := range due {
		switch b := w.boxes[p.to]; {
		case p.at > w.now:
			w.net = append(w.net, p)
		case b.node == nil || b.store.ID() != p.To || w.cut[p.from][p.to] || w.rnd.IntN(100) < w.loss:
			w.sent(p, false)
		default:
			w.sent(p, true)
			if w.rnd.IntN(100) < w.loss {
				w.net = append(w.net, p) // it comes once more
			}
			if err := b.node.Receive(p.Data); err != nil {
				w.note("%s: %v", b.name, err)
			}
		}
	}
	for i, b := range w.boxes {
		if b.node != nil {
			w.act(i, b)
			w.flush(i, b)
		}
	}
	w.check()
}

// sent tells the sender of a snapshot whether it came.
func (w *world) sent(p packet, ok bool) {
	if from := w.boxes[p.from]; p.Snapshot && from.node != nil {
		from.node.SnapshotSent(p.To, ok)
	}
}

// act is what a box does of its own: its steps, and as the leader what follows from all reports.
func (w *world) act(i int, b *box) {
	s := b.node.State()
	if me := s.Member(b.store.ID()); me != nil {
		w.steps(i, s)
		if b.node == nil { // it is out
			return
		}
	}
	if _, leads := b.node.Leads(); !leads || w.now%3 != 0 {
		return
	}
	v := takeout.View{Now: int64(w.now) * tickMs, Self: b.name, Silent: silentMs, Reports: map[string]takeout.Report{}, Voters: map[string]bool{}}
	for _, m := range s.Members {
		v.Voters[m.Name] = m.Voter
	}
	heard := func(id uint64) bool {
		p := w.place(id)
		return p >= 0 && w.hears(p, i)
	}
	for j, o := range w.boxes {
		if w.hears(j, i) || i == j {
			x := s.Work.Box(o.name)
			warm := x != nil && x.Phase == takeout.In && x.Incarnation == o.inc
			v.Reports[o.name] = takeout.Report{Incarnation: o.inc, Heard: v.Now, Capacity: 100, Load: 40, Warm: warm}
		}
		if w.hears(j, i) && o.node != nil && s.Member(o.store.ID()) == nil { // it knocks
			if c, err := s.Knock(Member{ID: o.store.ID(), Name: o.name, Zone: o.zone, Addr: o.name}, heard); err == nil && c != nil {
				b.node.Change(c)
				return
			}
		}
	}
	if c := s.Voters(voters, heard); c != nil {
		b.node.Change(c)
		return
	}
	d := takeout.Next(&s.Work, v)
	if d.Transfer != "" {
		if m := s.Named(d.Transfer); m != nil {
			b.node.Transfer(m.ID)
		}
	}
	for _, e := range d.Entries {
		w.propose(i, &e)
	}
}

// steps are a box's words on itself: nothing is done before the log has it.
func (w *world) steps(i int, s *State) {
	b := w.boxes[i]
	x := s.Work.Box(b.name)
	if x == nil || w.now-b.asked < 15 {
		return
	}
	a := takeout.Agent(&s.Work, b.name, takeout.Local{Incarnation: b.inc, Warm: w.now-b.since > 20, Held: int64(b.drained) * tickMs, DrainFor: 2000}, int64(w.now)*tickMs)
	switch {
	case a.Hold && b.drained == 0:
		b.drained = w.now
		w.note("%s drains", b.name)
	case !a.Hold:
		b.drained = 0
	}
	if a.Speak {
		b.asked = w.now
		w.propose(i, &takeout.Entry{Kind: takeout.Step, Box: b.name, Incarnation: b.inc, Phase: a.Say})
	}
	if x.Phase == takeout.Out && x.Incarnation == b.inc { // staff end the process and work on the machine
		w.note("%s is worked on", b.name)
		w.kill(b, false)
		b.worked = true
		b.down = w.now + 30
	}
}

func (w *world) flush(i int, b *box) {
	if b.node == nil {
		return
	}
	out, err := b.node.Flush()
	if err != nil {
		w.fatal("%s: %v", b.name, err)
	}
	for _, a := range out.Applied {
		if k := int(a.Token) - 1; k >= 0 && a.Entry != nil {
			if o := &w.ops[k]; !o.applied {
				o.applied, o.err = true, a.Err
			}
			if o := &w.ops[k]; o.by == i && o.heard == 0 {
				o.heard = 2*int64(w.now) + 1
			}
		}
		if a.Entry != nil && a.Err == nil && a.Entry.Kind == takeout.Grant {
			w.note("%s applies the grant of %s at %d", b.name, a.Entry.Box, a.Index)
		}
		if a.Entry != nil && a.Err == nil && a.Entry.Kind == takeout.Step && a.Entry.Phase == takeout.Out && !w.outs[fmt.Sprint(a.Entry.Box, a.Entry.Incarnation)] {
			w.outs[fmt.Sprint(a.Entry.Box, a.Entry.Incarnation)] = true
			w.boxes[slices.IndexFunc(w.boxes, func(o *box) bool { return o.name == a.Entry.Box })].out++
		}
	}
	for _, m := range out.Messages {
		if p := w.place(m.To); p >= 0 {
			w.net = append(w.net, packet{i, p, w.now + 1 + w.rnd.IntN(2), m})
		} else {
			b.node.Unreachable(m.To)
			w.sent(packet{i, i, 0, m}, false)
		}
	}
}

// check holds what must be true at every moment.
func (w *world) check() {
	busy := 0
	for _, b := range w.boxes {
		if b.drained > 0 && b.node != nil || b.worked {
			busy++
		}
		if b.node == nil {
			continue
		}
		if term, leads := b.node.Leads(); leads {
			if other, ok := w.leaders[term]; ok && other != b.store.ID() {
				w.fatal("%x and %x lead in term %d", other, b.store.ID(), term)
			}
			w.leaders[term] = b.store.ID()
		}
		if b.checked == b.node.applied {
			continue
		}
		b.checked = b.node.applied
		sum, err := b.node.Digest()
		if err != nil {
			w.fatal("%v", err)
		}
		if was, ok := w.digests[b.node.applied]; ok && was != sum {
			w.fatal("%s differs at index %d", b.name, b.node.applied)
		}
		w.digests[b.node.applied] = sum
	}
	if busy > most {
		w.fatal("%d drain or are out with a bound of %d", busy, most)
	}
}

// until steps on until f holds.
func (w *world) until(what string, most int, f func() bool) {
	for range most {
		if f() {
			return
		}
		w.step()
	}
	states := ""
	for _, b := range w.boxes {
		if b.node != nil {
			states += fmt.Sprintf("\n%s %x leader %x applied %d %v %+v", b.name, b.store.ID(), b.node.Leader(), b.node.applied, b.node.State().Members, b.node.State().Work.Box(b.name))
			for _, p := range b.node.State().Work.Plans {
				states += fmt.Sprintf("\n   %s %s order %v gone %v", p.ID, p.State, p.Order, p.Gone)
			}
		}
	}
	w.fatal("not %s after %d steps%s", what, most, states)
}

func (w *world) all(f func(*box) bool) bool {
	return !slices.ContainsFunc(w.boxes, func(b *box) bool { return b.node == nil || !f(b) })
}

// ready tells that all are members and in.
func (w *world) ready() bool {
	return w.all(func(b *box) bool {
		s := b.node.State()
		x := s.Work.Box(b.name)
		return s.Member(b.store.ID()) != nil && len(s.Members) == len(w.boxes) && x != nil && x.Phase == takeout.In && x.Incarnation == b.inc
	})
}

// fault is one thing that goes wrong, or is healed.
func (w *world) fault() {
	i := w.rnd.IntN(len(w.boxes))
	b := w.boxes[i]
	switch w.rnd.IntN(9) {
	case 0, 1:
		if b.node != nil {
			w.kill(b, w.rnd.IntN(6) == 0 && w.mayLose(b))
			b.down = w.now + 5 + w.rnd.IntN(60)
		}
	case 2: // one way
		w.note("nothing from %s is heard", b.name)
		for j := range w.boxes {
			w.cut[i][j] = true
		}
	case 3:
		w.note("%s hears nothing", b.name)
		for j := range w.boxes {
			w.cut[j][i] = true
		}
	case 4: // a partition
		k := 1 + w.rnd.IntN(len(w.boxes)-1)
		w.note("the first %d are cut off from the rest", k)
		for x := range w.boxes {
			for y := range w.boxes {
				w.cut[x][y] = (x < k) != (y < k)
			}
		}
	case 5:
		w.loss = w.rnd.IntN(30)
	case 6:
		for _, o := range w.boxes {
			if o.node != nil {
				if _, leads := o.node.Leads(); leads {
					w.kill(o, false)
					o.down = w.now + 10 + w.rnd.IntN(40)
				}
			}
		}
	default:
		w.heal()
	}
}

func (w *world) heal() {
	w.note("healed")
	w.loss = 0
	for _, row := range w.cut {
		clear(row)
	}
}

// A fleet of 5 to 30 boxes that is taken out box by box while processes die, disks are lost and the net fails: never
// more are busy than the bound, all hold the same history, what was proposed took hold in one order, and once all is
// well the plan ends with each box out once.
func TestAPlanUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { history(t, seed, 5+int(seed*5%26), 0) })
	}
}

// The same with 300 boxes, of which a dozen are taken out.
func TestALargeFleetUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+*big; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { history(t, seed, 300, 12) })
	}
}

// history takes some of n boxes out under faults; 0 = all.
func history(t *testing.T, seed uint64, n, some int) {
	w := newWorld(t, seed, n, 3)
	w.until("all in", 3000+100*n, w.ready)
	w.from, w.since = w.boxes[0].node.State().Work.Clone(), len(w.ops)
	at := w.rnd.IntN(n)
	plan := takeout.Plan{ID: "disks", By: "staff", Reason: "new disks", Most: most, Floor: 0.1}
	for _, b := range w.boxes[:cmp.Or(some, n)] {
		plan.Boxes = append(plan.Boxes, b.name)
	}
	w.until("proposed", 200, func() bool {
		return w.boxes[at].node.State().Work.Plan("disks") != nil || w.now%20 == 0 && w.propose(at, &takeout.Entry{Kind: takeout.Propose, Plan: plan}) && false
	})
	for range 25 {
		w.fault()
		for range 10 + w.rnd.IntN(60) {
			w.step()
		}
	}
	w.heal()
	over := func(b *box) bool {
		p := b.node.State().Work.Plan("disks")
		return p != nil && p.State == takeout.Done
	}
	w.until("done", 20000+1000*n, func() bool { return w.all(over) && w.ready() })
	if p := w.boxes[0].node.State().Work.Plan("disks"); len(p.Gone) != len(plan.Boxes) {
		t.Errorf("gone %v", p.Gone)
	}
	for _, b := range w.boxes {
		want := 0
		if slices.Contains(plan.Boxes, b.name) {
			want = 1
		}
		if b.out != want {
			w.fatal("%s was out %d times", b.name, b.out)
		}
	}
	w.linear()
}
