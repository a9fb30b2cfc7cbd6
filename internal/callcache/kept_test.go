package callcache

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"larchscale/control"
)

const self, other = 1, 2

func newCache(t interface{ Fatal(...any) }, limit int64) *Cache {
	cache, err := New(Options{Self: self, Bytes: limit, MaxReply: 100, OwnerTimeShare: 0.25,
		Classes: []Class{{Name: "fare", TTL: 1000}, {Name: "map", TTL: 60_000}}})
	if err != nil {
		t.Fatal(err)
	}
	owners := make([]uint16, Shards)
	for i := range owners {
		owners[i] = other
	}
	if err := cache.SetOwners(7, owners); err != nil {
		t.Fatal(err)
	}
	return cache
}

// A class that is not safe, or is named twice, is reported in one line that names it; so is any other invalid option.
func TestOptions(t *testing.T) {
	ok := Options{Bytes: 10_000, MaxReply: 100, OwnerTimeShare: 0.2, Classes: []Class{{Name: "fare", TTL: 1}}}
	for want, change := range map[string]func(*Options){
		`"book" writes`: func(o *Options) { o.Classes = []Class{{"book", 5, control.Keyed}} },
		`"fare" twice`:  func(o *Options) { o.Classes = append(o.Classes, o.Classes[0]) },
		`for 0 ms`:      func(o *Options) { o.Classes = []Class{{Name: "x"}} },
		`share of 1`:    func(o *Options) { o.OwnerTimeShare = 1 },
		`300 bytes`:     func(o *Options) { o.Bytes = 300 },
	} {
		o := ok
		change(&o)
		if _, err := New(o); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("want %s, got %v", want, err)
		}
	}
	cache := newCache(t, 10_000)
	if err := cache.SetOwners(6, make([]uint16, Shards)); !errors.Is(err, ErrEpoch) {
		t.Error("an older placement was accepted:", err)
	}
}

// Every fault of an owner's response costs one downstream call, and all waiters get the right reply.
func TestFaultyOwnerResponses(t *testing.T) {
	key := KeyOf("fare", []byte("a"))
	for name, corrupt := range map[string]func(*OwnerResponse, *int64){
		"epoch":         func(response *OwnerResponse, _ *int64) { response.Epoch = 6 },
		"another call":  func(response *OwnerResponse, _ *int64) { response.Sum = KeyOf("fare", []byte("b")).Sum },
		"another class": func(response *OwnerResponse, _ *int64) { response.Class = "map" },
		"empty":         func(response *OwnerResponse, _ *int64) { response.Found = false },
		"101 bytes":     func(response *OwnerResponse, _ *int64) { response.Reply = make([]byte, 101) },
		"late":          func(_ *OwnerResponse, at *int64) { *at = 10_250 },
		"expired":       func(response *OwnerResponse, _ *int64) { response.TTL = 0 },
		"longer than":   func(response *OwnerResponse, _ *int64) { response.TTL = 1001 },
		// An hour old, by a clock that was stopped.
		"valid for longer":      func(response *OwnerResponse, _ *int64) { response.FetchedAt = 10_000 - 3600_000 },
		"expired, or valid for": func(response *OwnerResponse, _ *int64) { response.FetchedAt = 10_000 + 3*maxClockSkewMillis },
	} {
		cache := newCache(t, 10_000)
		if a := cache.Lookup(10_000, key, 1, 11_000); a.Action != AskOwner || a.Owner != other || a.Until != 10_250 {
			t.Fatal(a)
		}
		if a := cache.Lookup(10_001, key, 2, 11_000); a.Action != Wait {
			t.Fatal(a)
		}
		response, at := OwnerResponse{7, "fare", key.Sum, true, []byte("wrong"), 9_500, 500}, int64(10_100)
		corrupt(&response, &at)
		out := cache.OwnerReplied(at, key, other, response)
		if len(out) != 1 || out[0].Action != CallDownstream || out[0].Waiter != 1 || !strings.Contains(out[0].Why, name) {
			t.Fatalf("%s: %+v", name, out)
		}
		if out := cache.OwnerReplied(at, key, other,
			OwnerResponse{7, "fare", key.Sum, true, []byte("wrong"), 9_500, 500}); out != nil {
			t.Fatalf("%s: a second response was accepted: %+v", name, out)
		}
		if out := cache.CallSucceeded(at, key, []byte("right")); len(out) != 2 || string(out[0].Reply) != "right" ||
			string(out[1].Reply) != "right" {
			t.Fatalf("%s: %+v", name, out)
		}
		if counters := cache.Counters(); counters.Calls != 1 || counters.OwnerFailures != 1 || counters.OwnerHits != 0 {
			t.Fatalf("%s: %+v", name, counters)
		}
	}
}

// A valid reply of an owner is cached for its remaining lifetime, and served on with no more than that.
func TestRemainingTime(t *testing.T) {
	owner, cache, key := newCache(t, 10_000), newCache(t, 10_000), KeyOf("fare", []byte("a"))
	owner.CallSucceeded(10_000, key, []byte("r"))
	cache.Lookup(10_600, key, 1, 20_000)
	response := owner.Serve(10_600, key)
	if out := cache.OwnerReplied(10_600, key, other, response); response.TTL != 400 || len(out) != 1 || out[0].Action != Hit {
		t.Fatal(response, out)
	}
	if response := cache.Serve(10_999, key); !response.Found || response.TTL != 1 {
		t.Fatal(response)
	}
	if response := cache.Serve(11_000, key); response.Found || cache.Lookup(11_000, key, 2, 20_000).Action == Hit {
		t.Fatal("an expired reply was served", response)
	}
}

// Whatever owners respond and whichever waiters leave: each hit is the reply to its own call and no older than its
// class allows, one waiter fetches a key at a time, all waiters are answered by their due time, and the memory is
// bounded.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newCache(t, 600)
		now, who := int64(1_000_000), uint64(0)
		waiting := map[uint64]Key{} // not answered yet
		leaders := map[Key]uint64{} // the waiter that asks the owner or makes the call
		due := map[uint64]int64{}   // due times of the waiters
		calling := map[Key]bool{}   // the fetching waiter makes the downstream call
		replyAt := func(k Key, at int64) []byte { return fmt.Appendf(nil, "%s %x %d", k.Class, k.Sum[:4], at) }
		apply := func(key Key, out []Answer) {
			for _, a := range out {
				if a.Action != Wait && a.Action != AskOwner && a.Action != CallDownstream {
					delete(waiting, a.Waiter)
				}
				switch {
				case a.Action == AskOwner || a.Action == CallDownstream:
					if l, ok := leaders[key]; ok && l != a.Waiter && waiting[l] == key {
						t.Fatalf("%d fetches at the same time as %d", a.Waiter, l)
					}
					leaders[key], calling[key] = a.Waiter, a.Action == CallDownstream
				case a.Action == Hit:
					var class string
					var sum string
					var at int64
					if n, err := fmt.Sscan(string(a.Reply), &class, &sum, &at); n != 3 || err != nil ||
						class != key.Class || sum != fmt.Sprintf("%x", key.Sum[:4]) || now-at >= k.lifetimes[class] {
						t.Fatalf("at %d for %s %x: %q", now, key.Class, key.Sum[:4], a.Reply)
					}
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400).Draw(t, "later")
			for _, a := range k.ExpireWaits(now) {
				key, ok := waiting[a.Waiter]
				if !ok || a.Action == GiveUp && now < due[a.Waiter] {
					t.Fatalf("%+v for an unknown waiter, or too early", a)
				}
				apply(key, []Answer{a})
			}
			for w, key := range waiting {
				if now >= due[w] {
					t.Fatalf("waiter %d for %s waits past its due time", w, key.Class)
				}
			}
			if k.NextExpiry() <= now {
				t.Fatal("a wait that is due remains")
			}
			key := KeyOf(rapid.SampledFrom([]string{"fare", "map"}).Draw(t, "class"),
				[]byte{byte(rapid.IntRange(0, 4).Draw(t, "body"))})
			leader, isLed := leaders[key]
			isLed = isLed && waiting[leader] == key
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op <= 1:
				who++
				waiting[who], due[who] = key, now+rapid.Int64Range(1, 1000).Draw(t, "time")
				apply(key, []Answer{k.Lookup(now, key, who, due[who])})
			case op == 2 && isLed && !calling[key]:
				w := OwnerResponse{rapid.Uint64Range(6, 8).Draw(t, "epoch"), key.Class, key.Sum, true, nil,
					now - rapid.Int64Range(0, 2000).Draw(t, "age"), 0}
				w.TTL = max(0, w.FetchedAt+k.lifetimes[key.Class]-now)
				w.Reply = replyAt(key, w.FetchedAt)
				if rapid.Bool().Draw(t, "corrupt") {
					w.Sum[0], w.Reply = w.Sum[0]+1, []byte("corrupt")
				}
				apply(key, k.OwnerReplied(now, key, other, w))
			case op == 3 && isLed && calling[key]:
				apply(key, k.CallSucceeded(now, key, replyAt(key, now)))
			case op == 4 && isLed && calling[key]:
				delete(waiting, leader)
				apply(key, k.CallFailed(key, leader))
			case op == 5 && isLed:
				delete(waiting, leader)
				apply(key, k.RemoveWaiter(key, leader))
			}
			if k.Bytes() > 600 || k.Bytes() < 0 {
				t.Fatal("bytes", k.Bytes())
			}
		}
	})
}

// The memory is bounded, including the overhead of each reply, and the least recently used reply is dropped first.
func TestMemoryLimit(t *testing.T) {
	cache := newCache(t, 10*(EntryOverhead+10))
	for i := range 100 {
		cache.CallSucceeded(1000, KeyOf("map", []byte{byte(i)}), make([]byte, 10))
		cache.Lookup(1000, KeyOf("map", []byte{0}), uint64(i), 2000)
	}
	if entries, first, second := cache.lru.Len(), cache.Serve(1000, KeyOf("map", []byte{0})), cache.Serve(1000,
		KeyOf("map", []byte{1})); entries != 10 || cache.Bytes() != 10*(EntryOverhead+10) || !first.Found || second.Found {
		t.Fatal(entries, cache.Bytes(), first.Found, second.Found)
	}
	if cache.Resize(3 * (EntryOverhead + 10)); cache.Bytes() != 3*(EntryOverhead+10) || cache.lru.Len() != 3 {
		t.Fatal("after Resize:", cache.Bytes(), cache.lru.Len())
	}
}
