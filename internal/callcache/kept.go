// Package callcache decides which replies of downstream calls a server caches, and what a request that needs such a reply
// does: take the cached reply, wait for the request that is fetching it already, ask the owner of the key's shard, or
// make the downstream call. It does no I/O and reads no clock: times are arguments, in Unix milliseconds of the
// server's own clock. Nothing that another server sends can cause a wrong answer: a faulty response of an owner only
// costs one downstream call.
package callcache

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

// Limits and constants.
const (
	Shards             = 1024 // number of shards of the key hash
	NoOwner            = 0xFFFF
	MaxClasses         = 8
	MaxFlights         = 4096 // keys being fetched at a time; beyond this, each request makes its own call
	MaxWaiters         = 1024 // per key; beyond this likewise
	EntryOverhead      = 256  // bytes accounted for an entry in addition to its reply
	maxClockSkewMillis = 2000 // milliseconds by which the clocks of two servers may differ
)

// The errors of this package.
var (
	ErrSettings = errors.New("reply cache")
	ErrEpoch    = errors.New("older epoch")
)

// Key identifies a downstream call: two bodies of a class with the same digest are the same call.
type Key struct {
	Class string
	Sum   [sha256.Size]byte // of the class and the body
}

// KeyOf returns the key of a call.
func KeyOf(class string, body []byte) Key {
	hash := sha256.New()
	hash.Write([]byte(class))
	hash.Write([]byte{0})
	hash.Write(body)
	key := Key{Class: class}
	hash.Sum(key.Sum[:0])
	return key
}

// Hash returns the hash that determines the shard and the sampling of a key.
func (k Key) Hash() uint64 { return xxhash.Sum64(k.Sum[:]) }

// ShardOf returns the shard of a hash.
func ShardOf(hash uint64) int { return int(hash % Shards) }

// Class is a class whose replies are cached.
type Class struct {
	Name   string
	TTL    int64 // milliseconds that a reply is cached, from when the downstream service returned it
	Effect control.Effect
}

// Options configure the cache of a server. The classes come from the operator's file, their effect from the settings.
type Options struct {
	Self           uint16  // this server's number in placements
	Bytes          int64   // memory for all cached replies, including the overhead of each
	MaxReply       int     // bytes of one reply; a larger one is passed on and not cached
	OwnerTimeShare float64 // share of the remaining time that an owner may take to answer
	Classes        []Class
}

// entry is one cached reply.
type entry struct {
	reply   []byte
	fetched int64 // when the downstream service returned it, by the clock of the server that made the call
	expires int64
}

func (e *entry) cost() int64 { return int64(len(e.reply)) + EntryOverhead }

// Cache is the reply cache of one server, with the waiters for replies. New creates one.
type Cache struct {
	options   Options
	lifetimes map[string]int64
	lru       *simplelru.LRU[Key, *entry]
	usedBytes int64
	epoch     uint64
	owners    [Shards]uint16
	flights   map[Key]*flight
	metrics   Counters
}

// Counters are totals since the start. Each lookup counts once as a hit, joined, asked or call, by its first answer; a
// failed owner adds to the calls.
type Counters struct {
	Lookups, Hits, Joined, OwnerRequests, Calls uint64
	OwnerHits, OwnerFailures                    uint64 // replies of owners that were used, and faulty ones
	Served                                      uint64 // replies given to other servers
}

// New checks the options and returns an empty cache. A class that is not safe is an error that names the class.
func New(o Options) (*Cache, error) {
	lifetimes := map[string]int64{}
	for _, c := range o.Classes {
		switch {
		case c.Effect != control.Safe:
			return nil, fmt.Errorf("%w: class %q writes: its replies cannot be cached", ErrSettings, c.Name)
		case c.TTL <= 0:
			return nil, fmt.Errorf("%w: class %q for %d ms: must be above 0", ErrSettings, c.Name, c.TTL)
		case lifetimes[c.Name] > 0:
			return nil, fmt.Errorf("%w: class %q twice", ErrSettings, c.Name)
		}
		lifetimes[c.Name] = c.TTL
	}
	switch {
	case len(lifetimes) > MaxClasses:
		return nil, fmt.Errorf("%w: %d classes, at most %d are allowed", ErrSettings, len(lifetimes), MaxClasses)
	case o.Bytes < EntryOverhead || o.MaxReply < 1 || int64(o.MaxReply)+EntryOverhead > o.Bytes:
		return nil, fmt.Errorf("%w: %d bytes for replies of up to %d", ErrSettings, o.Bytes, o.MaxReply)
	case !(o.OwnerTimeShare > 0 && o.OwnerTimeShare < 1):
		return nil, fmt.Errorf("%w: a share of %v of the time for the owner: must be between 0 and 1", ErrSettings,
			o.OwnerTimeShare)
	}
	k := &Cache{options: o, lifetimes: lifetimes, flights: map[Key]*flight{}}
	for i := range k.owners {
		k.owners[i] = NoOwner
	}
	var err error
	// The cache is limited by bytes, not by entries.
	k.lru, err = simplelru.NewLRU(1<<30, func(_ Key, e *entry) { k.usedBytes -= e.cost() })
	return k, err
}

// SetOwners sets the owners of all shards as agreed in an epoch. A shard may have no owner. Requests to previous
// owners continue.
func (k *Cache) SetOwners(epoch uint64, homes []uint16) error {
	if epoch < k.epoch {
		return fmt.Errorf("placement of epoch %d after %d: %w", epoch, k.epoch, ErrEpoch)
	}
	if len(homes) != Shards {
		return fmt.Errorf("placement of %d shards, want %d: %w", len(homes), Shards, ErrSettings)
	}
	k.epoch = epoch
	copy(k.owners[:], homes)
	return nil
}

// Resize changes the memory limit; the least recently used replies are dropped.
func (k *Cache) Resize(bytes int64) {
	k.options.Bytes = max(bytes, int64(k.options.MaxReply)+EntryOverhead)
	k.evict()
}

// Clear drops all replies, as after a restart. Waiters go on waiting.
func (k *Cache) Clear() { k.lru.Purge() }

// Bytes returns the memory used, including the overhead of each entry.
func (k *Cache) Bytes() int64 { return k.usedBytes }

// Counters returns the current totals.
func (k *Cache) Counters() Counters { return k.metrics }

// evict drops the least recently used replies until the memory limit holds.
func (k *Cache) evict() {
	for k.usedBytes > k.options.Bytes {
		k.lru.RemoveOldest()
	}
}

// put stores a reply as the most recently used one. A reply that is too large or already expired is not stored.
func (k *Cache) put(now int64, key Key, reply []byte, born, until int64) {
	if len(reply) > k.options.MaxReply || until <= now {
		return
	}
	k.lru.Remove(key)
	e := &entry{slices.Clone(reply), born, until}
	k.usedBytes += e.cost()
	k.lru.Add(Key{strings.Clone(key.Class), key.Sum}, e)
	k.evict()
}

// fresh returns the unexpired reply of a key and marks it as used. An expired reply stays until it is replaced or is
// the least recently used: memory predictions count it like any other.
func (k *Cache) fresh(now int64, key Key) *entry {
	if e, ok := k.lru.Get(key); ok && now < e.expires && e.fetched <= now+maxClockSkewMillis {
		return e
	}
	return nil
}

// Clone returns an independent copy with the same state. Replies are shared, since they are immutable.
func (k *Cache) Clone() *Cache {
	clone := *k
	clone.lru, _ = simplelru.NewLRU(1<<30, func(_ Key, e *entry) { clone.usedBytes -= e.cost() })
	for _, key := range k.lru.Keys() { // the oldest first
		e, _ := k.lru.Peek(key)
		clone.lru.Add(key, e)
	}
	clone.flights = make(map[Key]*flight, len(k.flights))
	for key, f := range k.flights {
		copied := *f
		copied.waiters = slices.Clone(f.waiters)
		clone.flights[key] = &copied
	}
	return &clone
}
