package kept

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Verb is what one who wants a reply is to do.
type Verb uint8

// The verbs.
const (
	Hit       Verb = iota + 1 // the reply is in the answer
	Wait                      // another asks already; an Answer follows
	AskHome                   // ask Box until Until, and tell HomeSaid or HomeFailed
	CallBelow                 // make the call, and tell Got or Failed
	GiveUp                    // what was waited for failed twice, or it is too late
)

// Answer is one word to one who wants a reply.
type Answer struct {
	Who   uint64 // as given to Want
	Do    Verb
	Reply []byte // shared: not to be changed
	Box   uint16
	Until int64
	Why   string
}

// Word is what a home says of a key.
type Word struct {
	Epoch uint64 // of the placement it knows
	Class string
	Sum   [32]byte
	Has   bool
	Reply []byte
	Born  int64 // when it was got below
	Left  int64 // ms that it is still good for
}

type waiter struct {
	who uint64
	due int64
}

// flight is one key that is being asked for. The first of its waiters is the one who asks.
type flight struct {
	asking bool // a home; else below
	box    uint16
	until  int64
	failed bool // a call below did, once
	all    []waiter
}

// Want tells one (who, unique among those who wait) that is due at a time what to do for a key of a kept class. For
// any other class, or past the bounds, it is to call below for itself: what it then tells Got or Failed is no harm.
func (k *Kept) Want(now int64, key Key, who uint64, due int64) Answer {
	k.f.Wants++
	if k.lasts[key.Class] == 0 {
		k.f.Calls++
		return Answer{Who: who, Do: CallBelow, Why: "the class is not kept"}
	}
	if e := k.fresh(now, key); e != nil {
		k.f.Hits++
		return Answer{Who: who, Do: Hit, Reply: e.reply, Why: "kept here"}
	}
	w := waiter{who, due}
	if f := k.flights[key]; f != nil {
		if len(f.all) >= MaxWaiters {
			k.f.Calls++
			return Answer{Who: who, Do: CallBelow, Why: fmt.Sprintf("%d wait for it already", MaxWaiters)}
		}
		k.f.Joined++
		f.all = append(f.all, w)
		return Answer{Who: who, Do: Wait, Why: "it is asked for already"}
	}
	if len(k.flights) >= MaxFlights {
		k.f.Calls++
		return Answer{Who: who, Do: CallBelow, Why: fmt.Sprintf("%d keys are asked for already", MaxFlights)}
	}
	f := &flight{all: []waiter{w}}
	k.flights[key] = f
	home := k.homes[Slice(key.Hash())]
	patience := int64(k.o.AskShare * float64(due-now))
	switch {
	case home == k.o.Self || home == Nobody:
		return k.below(f, "this box is its home")
	case patience < 1:
		return k.below(f, "no time to ask its home")
	}
	k.f.Asks++
	f.asking, f.box, f.until = true, home, now+patience
	return Answer{Who: who, Do: AskHome, Box: home, Until: f.until, Why: "its home may have it"}
}

func (k *Kept) below(f *flight, why string) Answer {
	k.f.Calls++
	f.asking = false
	return Answer{Who: f.all[0].who, Do: CallBelow, Why: why}
}

// Got takes the reply of a call below and answers all that wait for it, the one who called too.
func (k *Kept) Got(now int64, key Key, reply []byte) []Answer {
	last := k.lasts[key.Class]
	if last == 0 {
		return nil
	}
	k.keep(now, key, reply, now, now+last)
	return k.land(key, Answer{Do: Hit, Reply: reply, Why: "got below"})
}

// Failed takes the failure of who's call below. It has the failure itself; the next who waits calls in its place. A
// second failure is all the others' too: a service that is down is not asked once for each.
func (k *Kept) Failed(key Key, who uint64) []Answer {
	f := k.flights[key]
	switch {
	case f == nil || f.asking || f.all[0].who != who:
		return nil
	case f.failed:
		f.all = f.all[1:]
		return k.land(key, Answer{Do: GiveUp, Why: "two calls below failed"})
	}
	f.failed = true
	return k.next(key, f, "the call before failed")
}

// next drops the one who asks; the one behind it calls below.
func (k *Kept) next(key Key, f *flight, why string) []Answer {
	if f.all = f.all[1:]; len(f.all) == 0 {
		delete(k.flights, key)
		return nil
	}
	return []Answer{k.below(f, why)}
}

// land ends a flight with the same answer for all.
func (k *Kept) land(key Key, a Answer) (out []Answer) {
	if f := k.flights[key]; f != nil {
		delete(k.flights, key)
		for _, w := range f.all {
			a.Who = w.who
			out = append(out, a)
		}
	}
	return out
}

// HomeSaid takes a home's word for a key. What is wrong with it (late, stale, empty, a lie) is a call below for the
// one who asked; Why says what it was.
func (k *Kept) HomeSaid(now int64, key Key, box uint16, w Word) []Answer {
	f := k.flights[key]
	if f == nil || !f.asking || f.box != box {
		return nil // late: the call below is on its way, or made
	}
	last := k.lasts[key.Class]
	why := ""
	switch {
	case now >= f.until:
		why = "late"
	case w.Epoch < k.epoch:
		why = fmt.Sprintf("of epoch %d, now %d", w.Epoch, k.epoch)
	case w.Class != key.Class:
		why = "of another class"
	case w.Sum != key.Sum:
		why = "for another call"
	case !w.Has:
		why = "empty"
	case len(w.Reply) > k.o.MaxReply:
		why = fmt.Sprintf("of %d bytes", len(w.Reply))
	case w.Left <= 0 || w.Left > last || w.Born > now+skew || w.Born+last <= now:
		why = "expired, or good for longer than its class"
	}
	if why != "" {
		k.f.HomeBad++
		return []Answer{k.below(f, "its home's word is "+why)}
	}
	k.f.HomeHits++
	k.keep(now, key, w.Reply, w.Born, min(now+w.Left, w.Born+last))
	return k.land(key, Answer{Do: Hit, Box: box, Reply: w.Reply, Why: "its home had it"})
}

// HomeFailed tells that a home could not be asked.
func (k *Kept) HomeFailed(key Key, box uint16) []Answer {
	if f := k.flights[key]; f != nil && f.asking && f.box == box {
		k.f.HomeBad++
		return []Answer{k.below(f, "its home was not reached")}
	}
	return nil
}

// Leave takes one out who no longer wants a key. If it was the one who asked, the next calls below.
func (k *Kept) Leave(key Key, who uint64) []Answer {
	f := k.flights[key]
	if f == nil {
		return nil
	}
	for i, w := range f.all {
		switch {
		case w.who != who:
		case i == 0:
			return k.next(key, f, "the one who asked left")
		default:
			f.all = append(f.all[:i:i], f.all[i+1:]...)
			return nil
		}
	}
	return nil
}

// Due ends what has waited for too long: homes that have not answered cost a call below, and who is past its own due
// time is told so. It is to be called no later than Next says.
func (k *Kept) Due(now int64) (out []Answer) {
	for key, f := range k.flights {
		keep := f.all[:0:0]
		for _, w := range f.all {
			if now < w.due {
				keep = append(keep, w)
				continue
			}
			out = append(out, Answer{Who: w.who, Do: GiveUp, Why: "out of time"})
		}
		led := f.all[0]
		switch f.all = keep; {
		case len(keep) == 0:
			delete(k.flights, key)
		case keep[0] != led:
			out = append(out, k.below(f, "the one who asked ran out of time"))
		case f.asking && now >= f.until:
			k.f.HomeBad++
			out = append(out, k.below(f, "its home is late"))
		}
	}
	slices.SortFunc(out, func(a, b Answer) int { return cmp.Compare(a.Who, b.Who) }) // flights come in any order
	return out
}

// Next gives the earliest time at which Due has something to do; math.MaxInt64 = never as things stand.
func (k *Kept) Next() int64 {
	at := int64(math.MaxInt64)
	for _, f := range k.flights {
		if f.asking {
			at = min(at, f.until)
		}
		for _, w := range f.all {
			at = min(at, w.due)
		}
	}
	return at
}

// Serve gives another box what is kept of a key: only what has not expired, with the time it is still good for.
func (k *Kept) Serve(now int64, key Key) Word {
	w := Word{Epoch: k.epoch, Class: key.Class, Sum: key.Sum}
	if e := k.fresh(now, key); e != nil {
		k.f.Served++
		w.Has, w.Reply, w.Born, w.Left = true, e.reply, e.born, e.until-now
	}
	return w
}
