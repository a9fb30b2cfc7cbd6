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
	seeds = flag.Uint64("seeds", 6, "histories of the simulation")
	first = flag.Uint64("first", 1, "seed of the first, to play one again")
)

const (
	step    = 2 * time.Millisecond // of true time
	boxes   = 5                    // three voters, two learners
	history = 40 * time.Second
)

// defects are what is left out of the boxes of a simulation, on purpose.
type defects struct {
	receipt bool // a lease runs from the receipt of its grant
	noWait  bool // a new leader takes nobody for just granted
	noRound bool // grants without a read index
	noDrift bool // the leader waits for the length of a lease by its own clock
	forgets bool // grants go on while a life is proposed as lost
}

// command is an entry of the log as a box proposes it.
type command struct {
	Term  uint64
	Entry Entry
}

// packet is one of raft, a renewal or a grant, on its way.
type packet struct {
	from, at int // at: a step
	raft     []byte
	renewal  *Renewal
	grant    *Grant
}

// simBox is one box: its log lives over its processes. Its process does its stages in turn, and may stop between two.
type simBox struct {
	i            int
	name         string
	rate         float64       // of its clock
	start        time.Duration // of its process, in true time
	inc          uint64
	up           bool
	wake, stage  int
	store        *raft.MemoryStorage
	raw          *raft.RawNode
	state        State
	applied      uint64
	tick, spoke  time.Duration
	leader       int // who led last as far as it knows
	holder       *Holder
	granter      *Granter
	reads        []raft.ReadState
	inbox, later []packet
}

type world struct {
	t       *testing.T
	bad     defects
	rnd     *rand.Rand
	now     int // steps
	boxes   []*simBox
	cut     [boxes][boxes]bool
	loss    int // in a hundred
	delay   int // steps at most
	lost    map[uint64]int
	terms   map[uint64]bool
	held    int // looks at a box that held
	history []string
	broken  string // what must never be
}

func newWorld(t *testing.T, seed uint64, bad defects) *world {
	cryptotest.SetGlobalRandom(t, seed)
	w := &world{t: t, bad: bad, rnd: rand.New(rand.NewPCG(seed, 4)), delay: 2, lost: map[uint64]int{}, terms: map[uint64]bool{}}
	conf := &raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4, 5}}
	for i := range boxes {
		b := &simBox{i: i, name: fmt.Sprint("b", i), store: raft.NewMemoryStorage(), rate: 1 + (2*w.rnd.Float64()-1)/Drift}
		if k := w.rnd.IntN(4); k < 2 {
			b.rate = 1 + float64(2*k-1)/Drift // the fastest and the slowest
		}
		if err := b.store.ApplySnapshot(&raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: conf}}); err != nil {
			t.Fatal(err)
		}
		w.boxes = append(w.boxes, b)
		w.begin(b)
	}
	return w
}

func (w *world) note(format string, a ...any) {
	w.history = append(w.history, fmt.Sprintf("%6v ", time.Duration(w.now)*step)+fmt.Sprintf(format, a...))
}

// begin starts a process of a box; it applies its log anew.
func (w *world) begin(b *simBox) {
	raw, err := raft.NewRawNode(&raft.Config{ID: uint64(b.i + 1), ElectionTick: 8, HeartbeatTick: 1, Storage: b.store, Applied: 1, MaxSizePerMsg: 1 << 20,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		w.t.Fatal(err)
	}
	*b = simBox{i: b.i, name: b.name, rate: b.rate, store: b.store, inc: b.inc + 1, start: time.Duration(w.now) * step, up: true, raw: raw, holder: NewHolder(b.name, MeshTerms), granter: NewGranter(MeshTerms), leader: b.i, spoke: -time.Hour}
}

// clock is what a box's process reads.
func (w *world) clock(b *simBox) time.Duration {
	return time.Duration(float64(time.Duration(w.now)*step-b.start) * b.rate)
}

func (w *world) send(from, to int, p packet) {
	if o := w.boxes[to]; from == to {
		o.inbox = append(o.inbox, p)
	} else if !w.cut[from][to] && w.rnd.IntN(100) >= w.loss && o.up {
		p.from, p.at = from, w.now+1+w.rnd.IntN(w.delay)
		o.inbox = append(o.inbox, p)
		if w.rnd.IntN(50) == 0 {
			o.inbox = append(o.inbox, p)
		}
	}
}

func (w *world) leads(b *simBox) (uint64, bool) {
	s := b.raw.BasicStatus()
	return s.GetTerm(), s.RaftState == raft.StateLeader
}

// stages are a turn of a process.
var stages = []func(*world, *simBox){(*world).receive, (*world).flush, (*world).rounds, (*world).over, (*world).own, (*world).flush}

func (w *world) receive(b *simBox) {
	due := b.inbox
	b.inbox = b.later[:0]
	for _, p := range due {
		switch {
		case p.at > w.now:
			b.inbox = append(b.inbox, p)
		case p.raft != nil:
			m := &raftpb.Message{}
			if err := proto.Unmarshal(p.raft, m); err != nil {
				w.t.Fatal(err)
			}
			_ = b.raw.Step(m) // proposals are dropped while nobody leads
		case p.renewal != nil:
			if err := b.granter.Asked(&b.state, *p.renewal, w.clock(b)); err == nil && w.bad.noRound {
				id, _ := b.granter.Round(w.clock(b))
				w.grant(b, id)
			}
		default:
			if w.bad.receipt {
				b.holder.sent[p.grant.Seq%MeshTerms.kept()] = w.clock(b)
			}
			b.holder.Granted(*p.grant)
		}
	}
	b.later = due
}

func (w *world) grant(b *simBox, id uint64) {
	for _, g := range b.granter.Confirmed(&b.state, id) {
		w.send(b.i, int(g.Box[1]-'0'), packet{grant: &g})
	}
}

// sync has the granter lead when raft does. It comes in the same stage as what it is for.
func (w *world) sync(b *simBox) (term uint64, leads bool) {
	if term, leads = w.leads(b); !leads {
		b.granter.Follow()
		return
	}
	if w.terms[term] = true; b.granter.term != term && w.bad.noWait {
		b.granter.Lead(term, w.clock(b))
		for _, x := range b.state.Boxes {
			b.granter.known[x.Name] = &known{life: x.Life, heard: -time.Hour}
		}
	}
	b.granter.Lead(term, w.clock(b))
	return
}

func (w *world) rounds(b *simBox) {
	if _, leads := w.sync(b); !leads {
		return
	}
	if id, ok := b.granter.Round(w.clock(b)); ok {
		b.raw.ReadIndex(binary.LittleEndian.AppendUint64(nil, id))
	}
}

func (w *world) over(b *simBox) {
	term, leads := w.sync(b)
	if !leads {
		return
	}
	now := w.clock(b)
	if w.bad.noDrift {
		now += MeshTerms.Patience() - MeshTerms.Length
		b.granter.looked = now
	}
	for _, e := range b.granter.Over(&b.state, now) {
		data, _ := cbor.Marshal(command{term, e})
		w.note("%s proposes %s lost as %d", b.name, e.Box, e.Life)
		if b.raw.Propose(data) != nil || w.bad.forgets {
			b.granter.Refused(e.Box, e.Life)
		}
	}
}

// own is what a box does for its own lease.
func (w *world) own(b *simBox) {
	now := w.clock(b)
	if now >= b.tick {
		b.tick = now + 100*time.Millisecond
		b.raw.Tick()
	}
	if l := b.raw.BasicStatus().Lead; l != 0 {
		b.leader = int(l - 1)
	}
	switch x := b.state.Box(b.name); {
	case x != nil && x.Incarnation == b.inc && !x.Lost:
		b.holder.Live(x.Life, now)
	case now-b.spoke >= 500*time.Millisecond:
		b.holder.Lost()
		b.spoke = now
		data, _ := cbor.Marshal(command{0, Entry{Kind: Live, Box: b.name, Zone: "z", Incarnation: b.inc}})
		_ = b.raw.Propose(data) // again in 500 ms
	default:
		b.holder.Lost()
	}
	if r, ok := b.holder.Ask(now); ok {
		w.send(b.i, b.leader, packet{renewal: &r})
	}
}

func (w *world) flush(b *simBox) {
	for b.raw.HasReady() {
		rd := b.raw.Ready()
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			_ = b.store.SetHardState(rd.HardState)
		}
		if err := b.store.Append(rd.Entries); err != nil {
			w.t.Fatal(err)
		}
		for _, m := range rd.Messages {
			data, _ := proto.Marshal(m)
			w.send(b.i, int(m.GetTo()-1), packet{raft: data})
		}
		for _, e := range rd.CommittedEntries {
			w.apply(b, e)
		}
		b.reads = append(b.reads, rd.ReadStates...)
		b.raw.Advance(rd)
	}
	w.sync(b)
	b.reads = slices.DeleteFunc(b.reads, func(r raft.ReadState) bool {
		if r.Index > b.applied {
			return false
		}
		w.grant(b, binary.LittleEndian.Uint64(r.RequestCtx))
		return true
	})
}

func (w *world) apply(b *simBox, e *raftpb.Entry) {
	var c command
	b.applied = e.GetIndex()
	if len(e.GetData()) == 0 || cbor.Unmarshal(e.GetData(), &c) != nil || c.Term != 0 && c.Term != e.GetTerm() {
		return
	}
	if b.state.Apply(e.GetIndex(), &c.Entry) != nil {
		b.granter.Refused(c.Entry.Box, c.Entry.Life)
	} else if c.Entry.Kind == Lost && w.lost[c.Entry.Life] == 0 {
		w.lost[c.Entry.Life] = w.now
		w.note("%s applies %s lost as %d", b.name, c.Entry.Box, c.Entry.Life)
	}
}

// turn is a step of true time.
func (w *world) turn(faults bool) {
	w.now++
	for _, b := range w.boxes {
		for b.up && w.now >= b.wake {
			stages[b.stage](w, b)
			b.stage = (b.stage + 1) % len(stages)
			if faults && w.rnd.IntN(20_000) == 0 {
				w.stop(b, "between two stages")
			}
			if b.stage == 0 {
				break
			}
		}
		if !b.up && w.now >= b.wake {
			w.begin(b)
		}
		if b.up && b.holder.Holds(w.clock(b)) {
			if w.held++; w.lost[b.holder.Life()] > 0 && w.broken == "" {
				w.broken = fmt.Sprintf("%s holds as %d until %v of its clock, now %v, and was lost at %v", b.name, b.holder.Life(), b.holder.Until(), w.clock(b), time.Duration(w.lost[b.holder.Life()])*step)
			}
		}
	}
}

func (w *world) stop(b *simBox, why string) {
	b.wake = w.now + 50 + w.rnd.IntN(3000)
	w.note("%s stops %s until %v", b.name, why, time.Duration(b.wake)*step)
}

// fault is one thing that goes wrong, or is healed.
func (w *world) fault() {
	b := w.boxes[w.rnd.IntN(boxes)]
	for _, o := range w.boxes {
		if _, leads := w.leads(o); leads && w.rnd.IntN(2) == 0 {
			b = o
		}
	}
	switch k := w.rnd.IntN(8); k {
	case 0:
		w.stop(b, "")
	case 1:
		w.note("%s is killed", b.name)
		b.up, b.inbox, b.wake = false, nil, w.now+200+w.rnd.IntN(1500)
	case 2, 3: // a box is cut off from some, one way or both
		for j := range boxes {
			if j != b.i && w.rnd.IntN(3) > 0 {
				w.cut[b.i][j], w.cut[j][b.i] = k == 2 || w.rnd.IntN(2) == 0, true
			}
		}
		w.note("%s is cut off: %v", b.name, w.cut)
	case 4:
		w.delay, w.loss = 1+w.rnd.IntN(300), w.rnd.IntN(20)
		w.note("delay %v, loss %d%%", time.Duration(w.delay)*step, w.loss)
	case 5: // a leader sleeps through its end, and a box still asks it and nobody else
		w.stop(b, "for long")
		b.wake += 1800
		for j, x := 0, w.rnd.IntN(boxes); j < boxes; j++ {
			w.cut[x][j], w.cut[j][x] = j != b.i, j != b.i
		}
		w.note("cut %v", w.cut)
	default:
		w.note("healed")
		w.cut, w.loss, w.delay = [boxes][boxes]bool{}, 0, 1+w.rnd.IntN(3)
	}
}

// play is a history under faults, and the calm after it.
func play(t *testing.T, seed uint64, bad defects) *world {
	w := newWorld(t, seed, bad)
	next := 2000
	for w.broken == "" && w.now < int(history/step) {
		if w.now >= next {
			w.fault()
			next = w.now + 50 + w.rnd.IntN(1200)
		}
		w.turn(true)
	}
	w.cut, w.loss, w.delay = [boxes][boxes]bool{}, 0, 2
	all := func(b *simBox) bool { return b.up && b.holder.Holds(w.clock(b)) }
	for end := w.now + 8000; w.broken == "" && (w.now < end-6000 || slices.IndexFunc(w.boxes, func(b *simBox) bool { return !all(b) }) >= 0); {
		if w.turn(false); w.now > end {
			w.broken = "not all hold long after all was well"
		}
	}
	return w
}

// No box holds under a life that the log has lost anywhere, whatever stops, is cut off, comes late or leads, with clocks
// as far apart as they may be.
func TestNoneHoldsWhoIsLost(t *testing.T) {
	lost, terms, held, steps := 0, 0, 0, 0
	for seed := *first; seed < *first+*seeds; seed++ {
		w := play(t, seed, defects{})
		if w.broken != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.broken, strings.Join(w.history, "\n"))
		}
		lost, terms, held, steps = lost+len(w.lost), terms+len(w.terms), held+w.held, steps+w.now
	}
	t.Logf("%d lives lost, %d terms, %d boxes of %d held on average", lost, terms, held/steps, boxes)
	if lost < int(*seeds) || terms < int(*seeds) || held < steps {
		t.Error("too little has happened")
	}
}

// What the proof rests on is needed: without any one of it a history of the simulation breaks the rule.
func TestEachDefectIsFound(t *testing.T) {
	for name, k := range map[string]struct {
		from uint64 // a seed that is known to find it, or near
		bad  defects
	}{"receipt": {1, defects{receipt: true}}, "no wait": {1, defects{noWait: true}}, "no round": {28, defects{noRound: true}},
		"no drift": {1, defects{noDrift: true}}, "forgets": {570, defects{forgets: true}}} {
		t.Run(name, func(t *testing.T) {
			for seed := k.from; seed < k.from+300; seed++ {
				if w := play(t, seed, k.bad); strings.Contains(w.broken, "was lost") {
					t.Logf("seed %d: %s", seed, w.broken)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// From a box's death to the entry that says so: the patience by the leader's clock at most, and its turn.
func TestHowSoonADeathIsKnown(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(20) {
		w := newWorld(t, seed, defects{})
		b := w.boxes[4]
		for w.now < 3000+int(seed)*11 {
			w.turn(false)
		}
		life, died := b.holder.Life(), w.now
		for b.up, b.wake = false, 1<<30; w.lost[life] == 0 && w.now < died+5000; {
			w.turn(false)
		}
		worst = max(worst, time.Duration(w.now-died)*step)
	}
	if t.Logf("%v at most", worst); worst < MeshTerms.Length-MeshTerms.Every || worst > MeshTerms.Patience()+100*time.Millisecond {
		t.Errorf("%v", worst)
	}
}
