// Package route decides which box a try goes to: who the members are, which of them this client uses, how they
// are doing, and which of two is the better. It does no I/O; time and chance come from its caller, who tells how each
// try ended. It is not safe for concurrent use.
package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxMembers bounds the boxes that are known.
const MaxMembers = 1024

// Member is a box as a list names it.
type Member struct{ Name, Addr string }

// Policy sets how boxes are chosen.
type Policy struct {
	Subset    int           // boxes that this client uses; 0 = all
	Failures  int           // in a row, after which a box is ejected
	EjectFor  time.Duration // the first time; it grows with each
	EjectMost float64       // the part of the subset that may be ejected
	SlowStart time.Duration // a box that came back takes its full part after this
	DrainFor  time.Duration // a box that drained is asked again after this, as one that came back
	LevelFor  time.Duration // a level heard counts so long
	CapLeast  int           // tries in flight to one box, at least
	CapMost   int           // and at most
}

// Defaults are what a client needs not set.
func Defaults() Policy {
	return Policy{Subset: 8, Failures: 5, EjectFor: 5 * time.Second, EjectMost: 1.0 / 3, SlowStart: 18 * time.Second, DrainFor: 5 * time.Second,
		LevelFor: 2 * time.Second, CapLeast: 4, CapMost: 128}
}

// box is what is known of a member.
type box struct {
	Member
	weight   uint64 // for this client: the highest are its subset
	inSubset bool
	draining bool
	drained  time.Duration // since when

	flight   int
	limit    float64       // of tries in flight
	delay    time.Duration // smoothed
	floor    time.Duration // the least of late
	floorAt  time.Duration
	failures int
	ejected  time.Duration // until then; 0 = never
	times    int           // ejections without a good stretch between
	away     time.Duration // it wants no try before
	level    float64
	levelAt  time.Duration
	heard    bool          // a level
	since    time.Duration // it came (back)
	probing  bool          // it was ejected, and one try is finding out
	gone     bool          // nobody listened there when it was last tried
	due      float64       // tries, while it takes a part of its share: at 1 one is sent
}

// Table is a client's view of all boxes.
type Table struct {
	policy Policy
	self   uint64
	boxes  map[string]*box
	order  []*box // the subset, by name
}

// New makes an empty table. self tells clients apart: each uses another subset.
func New(p Policy, self string) *Table {
	return &Table{policy: p, self: xxhash.Sum64String(self), boxes: map[string]*box{}}
}

// weigh gives the rendezvous weight of a box for a client.
func weigh(self uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(self)
	d.WriteString(name)
	return d.Sum64()
}

// Set takes a new list of members. What is known of those that stay is kept; an empty list, or one that drops more
// than half of many at once, is not believed and gives false: a file may be half written.
func (t *Table) Set(list []Member, now time.Duration) bool {
	next := map[string]Member{}
	for _, m := range list {
		if m.Name != "" && m.Addr != "" && len(next) < MaxMembers {
			next[m.Name] = m
		}
	}
	kept := 0
	for name := range t.boxes {
		if _, ok := next[name]; ok {
			kept++
		}
	}
	if len(next) == 0 || len(t.boxes) >= 4 && kept*2 < len(t.boxes) {
		return false
	}
	first := len(t.boxes) == 0
	for name := range t.boxes {
		if _, ok := next[name]; !ok {
			delete(t.boxes, name)
		}
	}
	for name, m := range next {
		b := t.boxes[name]
		if b == nil || b.Addr != m.Addr {
			b = &box{Member: m, weight: weigh(t.self, name), limit: float64(t.policy.CapLeast * 2)}
			b.cool(now)
			if first { // the whole fleet is not cold
				b.since = now - t.policy.SlowStart
			}
			t.boxes[name] = b
		}
	}
	t.choose()
	return true
}

// choose takes the subset: the members of the highest weight that do not drain.
func (t *Table) choose() {
	all := make([]*box, 0, len(t.boxes))
	for _, b := range t.boxes {
		b.inSubset = false
		if !b.draining {
			all = append(all, b)
		}
	}
	slices.SortFunc(all, func(a, b *box) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name)) })
	if n := t.policy.Subset; n > 0 && n < len(all) {
		all = all[:n]
	}
	for _, b := range all {
		b.inSubset = true
	}
	slices.SortFunc(all, func(a, b *box) int { return cmp.Compare(a.Name, b.Name) })
	t.order = all
}

// Subset names the boxes that this client uses.
func (t *Table) Subset() (names []string) {
	for _, b := range t.order {
		names = append(names, b.Name)
	}
	return names
}

// Draining notes that a box wants nothing new.
func (t *Table) Draining(name string, now time.Duration) {
	if b := t.boxes[name]; b != nil {
		b.draining, b.drained = true, now
		t.choose()
	}
}

// refill takes boxes back that drained a while ago: their successors are cold.
func (t *Table) refill(now time.Duration) {
	back := false
	for _, b := range t.boxes {
		if b.draining && now >= b.drained+t.policy.DrainFor {
			b.draining, back = false, true
			b.cool(now)
		}
	}
	if back {
		t.choose()
	}
}

// cool begins the slow start of a box. What is due there begins anywhere from 0 to 1, spread evenly over clients by the
// low bits of the weight: then the whole tries of all clients add up to the sum of what is due.
func (b *box) cool(now time.Duration) {
	b.since, b.due = now, float64(uint32(b.weight))/(1<<32)
}

// Ask is what a try needs.
type Ask struct {
	Rank  float64
	Not   []string // boxes that this request has tried
	Only  string   // the one box that may be tried; "" = any
	Again bool     // this request has asked before
}

// Pick chooses a box and counts the try as in flight there. Without one, wait is when there may be one again, 0 = not
// known.
//
// Nobody knows how many clients there are, so a box that came back gets of each a part of what this client itself asks
// for the first time: its part of the slow start, of one share in the subset. These add up to that part of what the box
// gets when it is warm, however many send, where a least for each client would not. What other boxes turn away, and
// what waits, adds nothing. Without a box that takes its whole share there is no better place: then only the cap and
// the level hold.
func (t *Table) Pick(a Ask, now time.Duration, r *rand.Rand) (m Member, ok bool, wait time.Duration) {
	t.refill(now)
	var may []*box
	soon := time.Duration(math.MaxInt64)
	consider := t.order
	if a.Only != "" {
		consider = nil
		if b := t.boxes[a.Only]; b != nil {
			consider = []*box{b}
		}
	}
	var slow *box
	settled := t.settled(now)
	for _, b := range consider {
		switch until := t.closed(b, a, now); {
		case until == 0 && settled && a.Only == "" && t.part(b, now) < 1:
			if !a.Again {
				if b.due += t.part(b, now) / float64(len(t.order)); b.due >= 1 && (slow == nil || b.due > slow.due) {
					slow = b
				}
			}
		case until == 0:
			may = append(may, b)
		case until > now:
			soon = min(soon, until)
		}
	}
	for _, b := range t.boxes {
		if b.draining && len(t.order) == 0 {
			soon = min(soon, b.drained+t.policy.DrainFor)
		}
	}
	if slow != nil {
		may = []*box{slow}
	}
	if len(may) == 0 {
		if soon == math.MaxInt64 {
			return m, false, 0
		}
		return m, false, soon - now
	}
	b := may[0]
	if len(may) > 1 { // the better of two
		i := r.IntN(len(may))
		j := r.IntN(len(may) - 1)
		if j >= i {
			j++
		}
		if b = may[i]; t.score(may[j], now) < t.score(b, now) {
			b = may[j]
		}
	}
	b.flight++
	if settled && t.part(b, now) < 1 {
		b.due-- // also for a repeat that may go nowhere else: it goes at once, and is made up for
	}
	b.probing = b.probing || b.times > 0 && b.failures > 0
	return b.Member, true, 0
}

// closed tells why a box may not be tried: 0 = it may, a time to come = until then, -1 = nobody knows how long.
func (t *Table) closed(b *box, a Ask, now time.Duration) time.Duration {
	switch {
	case a.Only == "" && slices.Contains(a.Not, b.Name):
		return -1
	case b.ejected > now && a.Only == "" && !t.desperate(now):
		return b.ejected
	case b.away > now:
		return b.away
	case b.probing && b.flight > 0:
		return -1
	case b.heard && now < b.levelAt+t.policy.LevelFor && a.Rank < b.level:
		return b.levelAt + t.policy.LevelFor
	case b.flight >= t.cap(b, now):
		return -1
	}
	return 0
}

// desperate tells that all boxes are ejected: then they count as well again, rather than none.
func (t *Table) desperate(now time.Duration) bool {
	for _, b := range t.order {
		if b.ejected <= now {
			return false
		}
	}
	return true
}

// settled tells that some box takes its whole share, and is not failing.
func (t *Table) settled(now time.Duration) bool {
	return slices.ContainsFunc(t.order, func(b *box) bool {
		return b.ejected <= now && b.failures < t.policy.Failures && t.part(b, now) == 1
	})
}

// leastPart is what a box gets of its share that has just come back, or may have.
const leastPart = 0.1

// part is what a box takes of its share: less after it came back, and until it has answered.
func (t *Table) part(b *box, now time.Duration) float64 {
	s := t.policy.SlowStart
	switch {
	case s <= 0:
		return 1
	case b.gone, b.times > 0 && b.failures > 0:
		return leastPart
	case now < b.since+s:
		return max(leastPart, float64(now-b.since)/float64(s))
	}
	return 1
}

func (t *Table) cap(b *box, now time.Duration) int {
	return max(1, int(b.limit*t.part(b, now)))
}

// score is lower for the better box: what waits there times what an answer takes.
func (t *Table) score(b *box, now time.Duration) float64 {
	return float64(b.flight+1) * float64(max(b.delay, time.Millisecond)) / t.part(b, now)
}

// End is how a try ended, as far as its box is concerned.
type End struct {
	Took    time.Duration
	Good    bool // the box answered, with a result or a refusal
	Gone    bool // nobody listens at its address
	Refused bool
	Away    time.Duration // of a refusal
	Level   float64       // the free value that the answer told; negative = none
}

// Ended takes a try out of flight and learns from its end.
func (t *Table) Ended(name string, e End, now time.Duration) {
	b := t.boxes[name]
	if b == nil {
		return
	}
	b.flight = max(0, b.flight-1)
	b.probing = false
	if e.Level >= 0 && e.Good {
		b.level, b.levelAt, b.heard = e.Level, now, true
	}
	if e.Gone && !b.gone {
		b.gone = true
		b.cool(now)
	}
	if !e.Good {
		b.limit = max(float64(t.policy.CapLeast), b.limit/2)
		if b.failures++; b.failures >= t.policy.Failures {
			t.eject(b, now)
		}
		return
	}
	if b.gone || b.failures > 0 && b.times > 0 && b.ejected != 0 && b.ejected <= now { // it is back
		b.since, b.ejected, b.gone = now, 0, false
	}
	b.failures = 0
	if e.Refused {
		b.away = max(b.away, now+e.Away)
		b.limit = max(float64(t.policy.CapLeast), b.limit*0.9)
		return
	}
	if b.times > 0 && now > b.since+t.policy.SlowStart {
		b.times = 0
	}
	t.learn(b, e.Took, now)
}

// learn follows the delay and the limit in flight: it grows while the delay stays near its least, and shrinks when
// that doubles.
func (t *Table) learn(b *box, took, now time.Duration) {
	if b.delay == 0 {
		b.delay = took
	}
	b.delay += (took - b.delay) / 8
	if b.floor == 0 || took < b.floor || now > b.floorAt+30*time.Second {
		b.floor, b.floorAt = took, now
	}
	if b.delay > 2*b.floor+5*time.Millisecond {
		b.limit = max(float64(t.policy.CapLeast), b.limit*0.98)
	} else if float64(b.flight+1) >= b.limit/2 { // it is made use of
		b.limit = min(float64(t.policy.CapMost), b.limit+1/b.limit)
	}
}

// eject takes a box out for a while, unless too many are out already or it is the last one.
func (t *Table) eject(b *box, now time.Duration) {
	if b.ejected > now {
		return
	}
	out := 0
	for _, o := range t.order {
		if o.ejected > now {
			out++
		}
	}
	if most := max(1, int(t.policy.EjectMost*float64(len(t.order)))); out >= most || out+1 >= len(t.order) {
		return
	}
	b.times = min(b.times+1, 6)
	b.cool(now)
	b.ejected = now + t.policy.EjectFor<<(b.times-1)
}

// Ejected names the boxes that are out.
func (t *Table) Ejected(now time.Duration) (names []string) {
	for _, b := range t.order {
		if b.ejected > now {
			names = append(names, b.Name)
		}
	}
	return names
}
