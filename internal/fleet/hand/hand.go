// Package hand keeps work in hand through the loss of its app server: each keyed request is claimed at the two homes of
// its key before it runs, its end is at both before it is answered, and when its box is lost the first home takes it
// over, once. docs/design/hand.md has the states, the invariants and why no key runs twice.
//
// It is a pure state machine: no I/O, no goroutines, no clock. Every method takes the time, monotonic and the box's
// own; outputs gather and are taken by Drain. It is not safe for concurrent use.
package hand

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Slices is how many parts all keys fall into; each has its homes.
const Slices = 1024

// Key is what a request is known by in the fleet.
type Key struct{ Class, Token string }

// Slice is the part of all keys that a key belongs to, the same on every box.
func (k Key) Slice() int {
	b := binary.AppendUvarint(make([]byte, 0, 64), uint64(len(k.Class)))
	return int(xxhash.Sum64(append(append(b, k.Class...), k.Token...)) % Slices)
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Class, b.Class), strings.Compare(a.Token, b.Token))
}

// Owner is one process of a box: Life is the index of the entry that let it in, and its fencing number.
type Owner struct {
	Box  string
	Life uint64
}

// Piece is a keyed request as its homes keep it: all that a taker needs to run it.
type Piece struct {
	Key     Key
	Sum     [32]byte // of the body: another body under the same key is another request
	Body    []byte   // never changed once given
	Handle  string   // by which the worker pool of its box knows it
	Cursor  uint64   // of its box's pool: what that tells of the piece comes later
	Tenant  string
	Subject uint64
	Caller  uint32
	Rank    float64
	Memory  float64       // kilobytes while held
	Work    time.Duration // to expect on one core
	Due     time.Duration // what was left of its time when this was sent; clocks differ, so never a point in time
	Life    time.Duration // how long its record is still to be kept: window, deadline and a margin
	Repeat  bool          // its class may be run again
}

// View is the agreed state as of an epoch: the same on every box that has come to that epoch.
type View struct {
	Epoch uint64 // of the last change, as an index of the log
	Prev  uint64 // epoch of the view before; 0 = the driver vouches that it gives every view in turn
	Self  string
	Life  uint64                   // of this process; a new one begins with nothing
	Homes func(slice int) []string // none to two living boxes, the first first
	Lives map[string]uint64        // boxes that live
	Fresh func(slice int) bool     // the slice never had homes before this epoch
	Pools map[Owner]string         // the worker pools of processes, lost ones too; "" = not known
}

// Limits are bounds and times. Zero fields take the values of Defaults.
type Limits struct {
	Records int           // at this home, and of this box's own; claims past it are refused
	Bytes   int64         // of bodies and results, at this home and again of this box's own
	Longest time.Duration // the longest Life of any piece
	Lag     time.Duration // the longest that a box whose lease holds can be behind a view
	Adopted int           // pieces taken over and not ended at this box at a time
	Retry   time.Duration // what is not acknowledged is sent again after it
}

// Defaults are the limits of a box of the ordinary size.
var Defaults = Limits{Records: 200_000, Bytes: 256 << 20, Longest: 3 * time.Minute, Lag: 10 * time.Second, Adopted: 32, Retry: 100 * time.Millisecond}

const (
	askFresh  = 300 * time.Millisecond // a home asks after a claim that nobody has confirmed
	askHeld   = 5 * time.Second        // and after one that was
	probeWait = 500 * time.Millisecond // between probes for one key
	copyWait  = 2 * time.Second        // a source that is silent for it is not waited for
	copyMost  = 64                     // records of a slice on their way to one box
	copyBytes = 64 << 10               // and bytes of them
	tellMost  = 2048                   // keys that a holder tells again in one tick
	flyMost   = 2048                   // records on their way to all boxes; past it no copy of a slice begins
	comeBack  = 500 * time.Millisecond // when to try again at homes that are not ready
)

// State is what a claim comes to.
type State uint8

// The states of a Verdict.
const (
	Won    State = iota + 1 // it is this box's: run it
	Other                   // another box has it: ask again
	Done                    // it ran; Result is the first result
	Failed                  // it failed, or may have run and will not be run again
	Off                     // the key belongs to another body
	Down                    // the homes cannot take claims; After says when to try again
)

var stateNames = [...]string{"none", "won", "other", "done", "failed", "off", "down"}

func (s State) String() string { return stateNames[s] }

// Send is a message to a box; what goes to one box in one drain is in one.
type Send struct {
	To  string
	Msg *Msg
}

// Verdict answers a Claim, once.
type Verdict struct {
	Key    Key
	State  State
	Result []byte        // Done
	After  time.Duration // Down
	Why    string
}

// Finished answers a Finish. OK: its homes have the end and the result may be answered while the lease holds. Not OK:
// the key is no longer this box's.
type Finished struct {
	Key Key
	OK  bool
}

// Probe asks the driver to bind to the pool of a lost process, which shuts that process out, and to tell by Proved
// what the pool knows of the keys. A pool that is gone is told as Unknown.
type Probe struct {
	Owner Owner
	Pool  string
	Keys  []Asked
}

// Asked is what a Probe asks of one key. Unless the process is Alone in that it may have won the key, another's pool may
// have run it, or be running it: this one may be listened to, but must not be given the run.
type Asked struct {
	Key    Key
	Handle string // by which the pool knows it; "" = not known
	Cursor uint64 // of the pool: what that tells of the piece comes later
	Alone  bool
}

// Adopt gives the core a piece to run. Its key is this box's as if it had been claimed here and won.
type Adopt struct{ Piece Piece }

// Outputs is what one or more inputs brought about. With Disown there is nothing else in it: lease or life is over,
// and no key is this box's any longer.
type Outputs struct {
	Disown   bool
	Sends    []Send
	Verdicts []Verdict
	Finished []Finished
	Probes   []Probe
	Adopts   []Adopt
}

// Hand is one box's part: holder of what it claimed, home of the slices that the view gives it, and taker.
//
// Its driver gives it each view in the order of the log, beginning with the first in which the process's own entry
// lives; extends the lease as the log renews it; ticks it every Retry; and drains it after each input or batch of
// inputs, with the time of the draining. It sends what comes out as it comes: messages may be lost, doubled or late. An
// order to the pool goes out by Won or Adopt alone, an answer by Finished or a Done verdict alone, both while Live.
// Release is for keys that no pool was told of. After Disown all that the core has in hand is no longer the box's; the
// driver takes a new life from the log and goes on with the same Hand, or a new one.
type Hand struct {
	lim    Limits
	bug    defects
	view   View
	lease  time.Duration // the end of it
	over   bool          // nothing is done until a new life begins
	newest uint64        // epoch that another box spoke of

	try  uint64
	mine map[Key]*hold
	busy []*hold
	own  int64 // bytes of bodies and results in mine

	slices  [Slices]slice
	homed   []int     // slices that this box is home of, or keeps for the view
	open    []*record // at this home: without an end, or with one that is not sealed
	records int
	bytes   int64
	flying  int // records of copies that are not acknowledged
	expiry  expiries
	adopted int  // of mine, and on the way to be
	look    bool // lost pieces are to be looked at before the next drain

	out   Outputs
	place map[string]int // of a box in out.Sends
	self  []Item         // from this box to itself
}

// defects are faults that tests put in to see them found. Nothing else sets them.
type defects struct {
	leaseIgnored, ackFirst, epochUnchecked, ownClock, firstAlone, promoted, contestedOwned, noQuarantine, adoptEarly, answerEarly, fenceSkipped bool
}

// New is a box without a life: its first view gives it one.
func New(l Limits) *Hand {
	l.Records, l.Adopted = cmp.Or(l.Records, Defaults.Records), cmp.Or(l.Adopted, Defaults.Adopted)
	l.Bytes = cmp.Or(l.Bytes, Defaults.Bytes)
	l.Longest, l.Lag, l.Retry = cmp.Or(l.Longest, Defaults.Longest), cmp.Or(l.Lag, Defaults.Lag), cmp.Or(l.Retry, Defaults.Retry)
	return &Hand{lim: l, over: true}
}

// Newest is the newest epoch that any box spoke of: past the view's own, this box is behind its log.
func (h *Hand) Newest() uint64 { return max(h.newest, h.view.Epoch) }

// Lease sets the end of this life's lease. One that ran out may be taken up again as long as the life is the same: the
// log has not lost it, so nobody has taken anything over. Until then the box does nothing.
func (h *Hand) Lease(until time.Duration) { h.lease = max(h.lease, until) }

// live tells that the box may act.
func (h *Hand) live(now time.Duration) bool {
	return !h.over && (now < h.lease || h.bug.leaseIgnored)
}

// Live tells that the box has a life and a lease that holds.
func (h *Hand) Live(now time.Duration) bool { return h.live(now) }

// disown ends a life: all that was known is forgotten, all that was to be told is not.
func (h *Hand) disown() {
	h.over, h.out, h.place, h.self = true, Outputs{Disown: true}, nil, nil
	h.mine, h.busy, h.open, h.expiry, h.homed = nil, nil, nil, nil, nil
	h.slices, h.records, h.bytes, h.adopted, h.flying, h.own = [Slices]slice{}, 0, 0, 0, 0, 0
}

// Drain takes what is to be done. It looks at the lease once more: a box that stopped between an input and this
// sends nothing.
func (h *Hand) Drain(now time.Duration) Outputs {
	if !h.over && !h.live(now) {
		return Outputs{}
	}
	if !h.over && h.look {
		h.take(now)
		h.loop(now)
	}
	out := h.out
	h.out, h.place = Outputs{}, nil
	return out
}

// SetView takes an agreed view and, with the first of a life, the end of its lease. Older views are not taken. A box
// that missed one in between, or is new, is whole nowhere.
func (h *Hand) SetView(now time.Duration, v View, lease time.Duration) {
	if h.view.Epoch >= v.Epoch && h.view.Life == v.Life {
		return
	}
	fresh := v.Life != h.view.Life
	if !fresh && h.over {
		return
	}
	if fresh {
		if !h.over {
			h.disown()
		}
		h.over, h.mine, h.try, h.lease = false, map[Key]*hold{}, 0, lease
	}
	if v.Life == 0 || v.Lives[v.Self] != v.Life {
		h.view = v
		h.disown()
		return
	}
	follows := !fresh && (v.Prev == 0 || v.Prev == h.view.Epoch)
	h.view = v
	h.lease = max(h.lease, lease)
	h.newest, h.flying = max(h.newest, v.Epoch), 0
	h.homed = h.homed[:0]
	for i := range h.slices {
		if h.turn(now, i, follows); h.slices[i].place > 0 || h.slices[i].whole {
			h.homed = append(h.homed, i)
		}
	}
	h.offer(now)
	for _, k := range sortedKeys(h.mine) {
		h.moved(now, h.mine[k])
	}
	h.look = true
	h.loop(now)
}

// Tick is called every Retry: it sends again what is not acknowledged, forgets what is over, and takes over.
func (h *Hand) Tick(now time.Duration) {
	if !h.live(now) {
		return
	}
	h.expire(now)
	h.holderTick(now)
	h.homeTick(now)
	h.take(now)
	h.loop(now)
}

// Figures are counts for a box's report.
type Figures struct {
	Mine, Records, Open, Adopted int
	Bytes                        int64
	Quarantined                  int // slices that this box is first home of and that take no new claims
}

// Figures counts.
func (h *Hand) Figures() Figures {
	f := Figures{Mine: len(h.mine), Records: h.records, Open: len(h.open), Adopted: h.adopted, Bytes: h.bytes}
	for _, i := range h.homed {
		if s := &h.slices[i]; s.place == 1 && !s.whole {
			f.Quarantined++
		}
	}
	return f
}

// Whole tells that this box is home of a slice and has all its records.
func (h *Hand) Whole(slice int) bool { return h.slices[slice].place > 0 && h.slices[slice].whole }

// Piece is what this home has of a key that has no end; false = it has none.
func (h *Hand) Piece(now time.Duration, k Key) (Piece, bool) {
	r := h.slices[k.Slice()].recs[k]
	if r == nil || r.end != nil {
		return Piece{}, false
	}
	return h.copyOf(now, r).Piece, true
}

// lives tells that a process is the present one of its box.
func (h *Hand) lives(o Owner) bool { return o.Life != 0 && h.view.Lives[o.Box] == o.Life }

func (h *Hand) me() Owner { return Owner{h.view.Self, h.view.Life} }

// homes are the present processes of a slice's homes.
func (h *Hand) homes(slice int) []Owner {
	names := h.view.Homes(slice)
	out := make([]Owner, 0, 2)
	for _, n := range names[:min(2, len(names))] {
		out = append(out, Owner{n, h.view.Lives[n]})
	}
	return out
}

func sortedKeys[V any](m map[Key]V) []Key {
	out := make([]Key, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, compareKeys)
	return out
}
