// Package kept decides which replies of calls below a box keeps, and what one who wants such a reply is to do: take
// the kept one, wait for the one who asks already, ask the home of its slice, or make the call. It does no I/O and
// reads no clock: times are arguments, in Unix milliseconds of the box's own clock. Nothing another box says can turn
// into a wrong answer: what is wrong about a home's word costs a call below.
package kept

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"larchscale/control"
)

// Bounds.
const (
	Slices     = 1024 // of the hash over keys
	Nobody     = 0xFFFF
	MaxClasses = 8
	MaxFlights = 4096 // keys asked for at a time; past it one calls below for itself
	MaxWaiters = 1024 // at one key; past it likewise
	Overhead   = 256  // bytes booked for an entry beside its reply
	skew       = 2000 // ms that two boxes' clocks may differ by
)

// Errors of New and Place.
var (
	ErrSettings = errors.New("kept replies")
	ErrEpoch    = errors.New("an older epoch")
)

// Key names what is wanted: two bodies of a class with one digest are the same call.
type Key struct {
	Class string
	Sum   [sha256.Size]byte // over the class and the body
}

// KeyOf gives the key of a call.
func KeyOf(class string, body []byte) Key {
	h := sha256.New()
	h.Write([]byte(class))
	h.Write([]byte{0})
	h.Write(body)
	k := Key{Class: class}
	h.Sum(k.Sum[:0])
	return k
}

// Hash is the hash that slices and samples are drawn by.
func (k Key) Hash() uint64 { return xxhash.Sum64(k.Sum[:]) }

// Slice gives the slice of a hash.
func Slice(hash uint64) int { return int(hash % Slices) }

// Class is one whose replies are kept.
type Class struct {
	Name   string
	For    int64 // ms that a reply is kept from when it was got below
	Effect control.Effect
}

// Options of a box. Classes come from the operator's file, their effect from the settings.
type Options struct {
	Self     uint16  // this box in placements
	Bytes    int64   // of all that is kept, Overhead included
	MaxReply int     // bytes of one reply; a larger one is handed on and not kept
	AskShare float64 // of the time left that a home may take to answer
	Classes  []Class
}

// entry is one reply that is kept.
type entry struct {
	reply []byte
	born  int64 // when it was got below, by the clock of who got it
	until int64
}

func (e *entry) cost() int64 { return int64(len(e.reply)) + Overhead }

// Kept is what one box keeps, and who wants what. Make it with New.
type Kept struct {
	o       Options
	lasts   map[string]int64
	lru     *simplelru.LRU[Key, *entry]
	used    int64
	epoch   uint64
	homes   [Slices]uint16
	flights map[Key]*flight
	f       Figures
}

// Figures count since the start. Wants = Hits + Joined + Asks + Calls at first word; a home that failed adds to Calls.
type Figures struct {
	Wants, Hits, Joined, Asks, Calls uint64
	HomeHits, HomeBad                uint64 // replies of homes taken, and those that were late, stale, empty or lies
	Served                           uint64 // replies given to other boxes
}

// New checks the options and makes an empty store. A class that writes is an error that names it.
func New(o Options) (*Kept, error) {
	lasts := map[string]int64{}
	for _, c := range o.Classes {
		switch {
		case c.Effect != control.Safe:
			return nil, fmt.Errorf("%w: class %q writes: its replies cannot be kept", ErrSettings, c.Name)
		case c.For <= 0:
			return nil, fmt.Errorf("%w: class %q for %d ms: over 0", ErrSettings, c.Name, c.For)
		case lasts[c.Name] > 0:
			return nil, fmt.Errorf("%w: class %q twice", ErrSettings, c.Name)
		}
		lasts[c.Name] = c.For
	}
	switch {
	case len(lasts) > MaxClasses:
		return nil, fmt.Errorf("%w: %d classes, %d at most", ErrSettings, len(lasts), MaxClasses)
	case o.Bytes < Overhead || o.MaxReply < 1 || int64(o.MaxReply)+Overhead > o.Bytes:
		return nil, fmt.Errorf("%w: %d bytes for replies of up to %d", ErrSettings, o.Bytes, o.MaxReply)
	case !(o.AskShare > 0 && o.AskShare < 1):
		return nil, fmt.Errorf("%w: a share of %v of the time for the home, between 0 and 1", ErrSettings, o.AskShare)
	}
	k := &Kept{o: o, lasts: lasts, flights: map[Key]*flight{}}
	for i := range k.homes {
		k.homes[i] = Nobody
	}
	var err error
	k.lru, err = simplelru.NewLRU(1<<30, func(_ Key, e *entry) { k.used -= e.cost() }) // the bytes bound it
	return k, err
}

// Place takes the homes of all slices as agreed under an epoch. Nobody = the slice has no home. What is asked of a
// home already goes on.
func (k *Kept) Place(epoch uint64, homes []uint16) error {
	if epoch < k.epoch {
		return fmt.Errorf("placement of epoch %d after %d: %w", epoch, k.epoch, ErrEpoch)
	}
	if len(homes) != Slices {
		return fmt.Errorf("placement of %d slices, %d wanted: %w", len(homes), Slices, ErrSettings)
	}
	k.epoch = epoch
	copy(k.homes[:], homes)
	return nil
}

// Resize changes the bytes kept; the least recently wanted go.
func (k *Kept) Resize(bytes int64) {
	k.o.Bytes = max(bytes, int64(k.o.MaxReply)+Overhead)
	k.shrink()
}

// Clear forgets all replies, as a new process has none. Who waits goes on waiting.
func (k *Kept) Clear() { k.lru.Purge() }

// Bytes gives what is kept, Overhead included, and Figures the counts.
func (k *Kept) Bytes() int64     { return k.used }
func (k *Kept) Figures() Figures { return k.f }

func (k *Kept) shrink() {
	for k.used > k.o.Bytes {
		k.lru.RemoveOldest()
	}
}

// keep books a reply as the newest. It is dropped if it is too large or over already.
func (k *Kept) keep(now int64, key Key, reply []byte, born, until int64) {
	if len(reply) > k.o.MaxReply || until <= now {
		return
	}
	k.lru.Remove(key)
	e := &entry{slices.Clone(reply), born, until}
	k.used += e.cost()
	k.lru.Add(Key{strings.Clone(key.Class), key.Sum}, e)
	k.shrink()
}

// fresh gives the unexpired reply of a key and marks it as wanted. One that has expired stays where it is until the
// next reply takes its place or it is the least recently wanted: the place that it takes is foretold with the rest.
func (k *Kept) fresh(now int64, key Key) *entry {
	if e, ok := k.lru.Get(key); ok && now < e.until && e.born <= now+skew {
		return e
	}
	return nil
}

// Clone gives one in the same state that goes its own way. Replies are shared, as they never change.
func (k *Kept) Clone() *Kept {
	out := *k
	out.lru, _ = simplelru.NewLRU(1<<30, func(_ Key, e *entry) { out.used -= e.cost() })
	for _, key := range k.lru.Keys() { // the oldest first
		e, _ := k.lru.Peek(key)
		out.lru.Add(key, e)
	}
	out.flights = make(map[Key]*flight, len(k.flights))
	for key, f := range k.flights {
		g := *f
		g.all = slices.Clone(f.all)
		out.flights[key] = &g
	}
	return &out
}
