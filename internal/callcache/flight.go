package callcache

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Action is what a waiter is asked to do.
type Action uint8

// The actions.
const (
	Hit            Action = iota + 1 // the reply is in the answer
	Wait                             // another waiter is fetching the reply already; a further Answer follows
	AskOwner                         // ask server Box until Until, then call OwnerReplied or OwnerFailed
	CallDownstream                   // make the downstream call and report its end
	GiveUp                           // two downstream calls failed, or the waiter is out of time
)

// Answer is an instruction to one waiter.
type Answer struct {
	Waiter uint64 // as passed to Want
	Action Action
	Reply  []byte // shared, must not be modified
	Owner  uint16
	Until  int64
	Why    string
}

// OwnerResponse is an owner's response for a key.
type OwnerResponse struct {
	Epoch     uint64 // of the placement that the owner has
	Class     string
	Sum       [32]byte
	Found     bool
	Reply     []byte
	FetchedAt int64 // when the downstream service returned the reply
	TTL       int64 // milliseconds until it expires
}

// waiter is a request that waits for a reply.
type waiter struct {
	who uint64
	due int64
}

// flight is one key whose reply is being fetched. The first waiter is the one that fetches it.
type flight struct {
	askingOwner bool // the owner is being asked; otherwise the downstream service is called
	owner       uint16
	ownerDue    int64
	callFailed  bool // one downstream call has failed
	waiters     []waiter
}

// Lookup registers a waiter (who, unique among the waiters) with its due time and returns what it is to do for a key of
// a cached class. For any other class, or beyond the limits, it is to make its own downstream call; reporting its end
// is harmless.
func (k *Cache) Lookup(now int64, key Key, who uint64, due int64) Answer {
	k.metrics.Lookups++
	if k.lifetimes[key.Class] == 0 {
		k.metrics.Calls++
		return Answer{Waiter: who, Action: CallDownstream, Why: "the class is not cached"}
	}
	if e := k.fresh(now, key); e != nil {
		k.metrics.Hits++
		return Answer{Waiter: who, Action: Hit, Reply: e.reply, Why: "cached here"}
	}
	w := waiter{who, due}
	if fetch := k.flights[key]; fetch != nil {
		if len(fetch.waiters) >= MaxWaiters {
			k.metrics.Calls++
			return Answer{Waiter: who, Action: CallDownstream, Why: fmt.Sprintf("%d waiters already", MaxWaiters)}
		}
		k.metrics.Joined++
		fetch.waiters = append(fetch.waiters, w)
		return Answer{Waiter: who, Action: Wait, Why: "being fetched already"}
	}
	if len(k.flights) >= MaxFlights {
		k.metrics.Calls++
		return Answer{Waiter: who, Action: CallDownstream, Why: fmt.Sprintf("%d keys are being fetched already", MaxFlights)}
	}
	fetch := &flight{waiters: []waiter{w}}
	k.flights[key] = fetch
	owner := k.owners[ShardOf(key.Hash())]
	patience := int64(k.options.OwnerTimeShare * float64(due-now))
	switch {
	case owner == k.options.Self || owner == NoOwner:
		return k.callDownstream(fetch, "this server is the owner, or there is none")
	case patience < 1:
		return k.callDownstream(fetch, "no time to ask the owner")
	}
	k.metrics.OwnerRequests++
	fetch.askingOwner, fetch.owner, fetch.ownerDue = true, owner, now+patience
	return Answer{Waiter: who, Action: AskOwner, Owner: owner, Until: fetch.ownerDue, Why: "the owner may have it"}
}

// callDownstream makes the first waiter of a flight make the downstream call.
func (k *Cache) callDownstream(fetch *flight, why string) Answer {
	k.metrics.Calls++
	fetch.askingOwner = false
	return Answer{Waiter: fetch.waiters[0].who, Action: CallDownstream, Why: why}
}

// CallSucceeded takes the reply to a downstream call and answers all waiters, including the one that made the call.
func (k *Cache) CallSucceeded(now int64, key Key, reply []byte) []Answer {
	lifetime := k.lifetimes[key.Class]
	if lifetime == 0 {
		return nil
	}
	k.put(now, key, reply, now, now+lifetime)
	return k.finish(key, Answer{Action: Hit, Reply: reply, Why: "downstream call succeeded"})
}

// CallFailed takes the failure of who's downstream call. That waiter knows of the failure itself; the next waiter calls
// in its place. A second failure ends the wait of all others, so that a service that is down is not called once for
// each.
func (k *Cache) CallFailed(key Key, who uint64) []Answer {
	fetch := k.flights[key]
	switch {
	case fetch == nil || fetch.askingOwner || fetch.waiters[0].who != who:
		return nil
	case fetch.callFailed:
		fetch.waiters = fetch.waiters[1:]
		return k.finish(key, Answer{Action: GiveUp, Why: "two downstream calls failed"})
	}
	fetch.callFailed = true
	return k.nextWaiter(key, fetch, "the previous call failed")
}

// nextWaiter removes the waiter that fetches the reply; the next one makes the downstream call.
func (k *Cache) nextWaiter(key Key, fetch *flight, why string) []Answer {
	if fetch.waiters = fetch.waiters[1:]; len(fetch.waiters) == 0 {
		delete(k.flights, key)
		return nil
	}
	return []Answer{k.callDownstream(fetch, why)}
}

// finish ends a flight with the same answer for all waiters.
func (k *Cache) finish(key Key, answer Answer) (out []Answer) {
	if fetch := k.flights[key]; fetch != nil {
		delete(k.flights, key)
		for _, w := range fetch.waiters {
			answer.Waiter = w.who
			out = append(out, answer)
		}
	}
	return out
}

// OwnerReplied takes an owner's response for a key. If anything is wrong with it (late, stale, empty, false), the waiter
// that asked makes the downstream call; Why names the fault.
func (k *Cache) OwnerReplied(now int64, key Key, server uint16, response OwnerResponse) []Answer {
	fetch := k.flights[key]
	if fetch == nil || !fetch.askingOwner || fetch.owner != server {
		return nil // late: the downstream call has been started or has ended
	}
	lifetime := k.lifetimes[key.Class]
	fault := ""
	switch {
	case now >= fetch.ownerDue:
		fault = "late"
	case response.Epoch < k.epoch:
		fault = fmt.Sprintf("of epoch %d, now %d", response.Epoch, k.epoch)
	case response.Class != key.Class:
		fault = "of another class"
	case response.Sum != key.Sum:
		fault = "for another call"
	case !response.Found:
		fault = "empty"
	case len(response.Reply) > k.options.MaxReply:
		fault = fmt.Sprintf("of %d bytes", len(response.Reply))
	case response.TTL <= 0 || response.TTL > lifetime || response.FetchedAt > now+maxClockSkewMillis ||
		response.FetchedAt+lifetime <= now:
		fault = "expired, or valid for longer than its class"
	}
	if fault != "" {
		k.metrics.OwnerFailures++
		return []Answer{k.callDownstream(fetch, "the response of the owner is "+fault)}
	}
	k.metrics.OwnerHits++
	k.put(now, key, response.Reply, response.FetchedAt, min(now+response.TTL, response.FetchedAt+lifetime))
	return k.finish(key, Answer{Action: Hit, Owner: server, Reply: response.Reply, Why: "cached at the owner"})
}

// OwnerFailed reports that an owner could not be asked.
func (k *Cache) OwnerFailed(key Key, server uint16) []Answer {
	if fetch := k.flights[key]; fetch != nil && fetch.askingOwner && fetch.owner == server {
		k.metrics.OwnerFailures++
		return []Answer{k.callDownstream(fetch, "the owner was not reached")}
	}
	return nil
}

// RemoveWaiter removes a waiter that no longer wants the key. If it was the one that fetches the reply, the next one makes
// the downstream call.
func (k *Cache) RemoveWaiter(key Key, who uint64) []Answer {
	fetch := k.flights[key]
	if fetch == nil {
		return nil
	}
	for i, w := range fetch.waiters {
		switch {
		case w.who != who:
		case i == 0:
			return k.nextWaiter(key, fetch, "the fetching waiter left")
		default:
			fetch.waiters = append(fetch.waiters[:i:i], fetch.waiters[i+1:]...)
			return nil
		}
	}
	return nil
}

// ExpireWaits handles expired waits: an owner that has not answered is replaced by a downstream call, and waiters past their
// due time are told to give up. It must be called by the time the next wait expires.
func (k *Cache) ExpireWaits(now int64) (out []Answer) {
	for key, fetch := range k.flights {
		remaining := fetch.waiters[:0:0]
		for _, w := range fetch.waiters {
			if now < w.due {
				remaining = append(remaining, w)
				continue
			}
			out = append(out, Answer{Waiter: w.who, Action: GiveUp, Why: "out of time"})
		}
		leader := fetch.waiters[0]
		switch fetch.waiters = remaining; {
		case len(remaining) == 0:
			delete(k.flights, key)
		case remaining[0] != leader:
			out = append(out, k.callDownstream(fetch, "the fetching waiter ran out of time"))
		case fetch.askingOwner && now >= fetch.ownerDue:
			k.metrics.OwnerFailures++
			out = append(out, k.callDownstream(fetch, "the owner is late"))
		}
	}
	slices.SortFunc(out, func(a, b Answer) int { return cmp.Compare(a.Waiter, b.Waiter) }) // map iteration order is random
	return out
}

// NextExpiry returns the earliest time at which a wait expires; math.MaxInt64 = never in the current state.
func (k *Cache) NextExpiry() int64 {
	earliest := int64(math.MaxInt64)
	for _, fetch := range k.flights {
		if fetch.askingOwner {
			earliest = min(earliest, fetch.ownerDue)
		}
		for _, w := range fetch.waiters {
			earliest = min(earliest, w.due)
		}
	}
	return earliest
}

// Serve returns what is cached for a key, for another server: only an unexpired reply, with its remaining lifetime.
func (k *Cache) Serve(now int64, key Key) OwnerResponse {
	response := OwnerResponse{Epoch: k.epoch, Class: key.Class, Sum: key.Sum}
	if e := k.fresh(now, key); e != nil {
		k.metrics.Served++
		response.Found, response.Reply, response.FetchedAt, response.TTL = true, e.reply, e.fetched, e.expires-now
	}
	return response
}
