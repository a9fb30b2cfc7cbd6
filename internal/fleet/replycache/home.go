package replycache

import (
	"context"

	"larchscale/control"
	"larchscale/internal/callcache"
	"larchscale/internal/fleet/membership"
)

const (
	maxRemotes = 4096 // questions of other boxes that wait here
	maxHold    = 1000 // ms that a question waits here, and that others wait for the call of who asked
	holdShare  = 0.75 // of the time that an answer may take: it has to be on its way before
	skew       = 2000 // ms that two boxes' clocks may differ by, as in package kept
)

// kind tells what a message means.
type kind uint8

const (
	question kind = iota + 1 // is a reply kept
	word                     // what a home says to it
	reply                    // what a call below brought, for the home
	failure                  // the call that a home waits for failed
)

// message is what one box says to another.
type message struct {
	Kind  kind
	ID    uint64 // of the question; a reply has none
	Class string
	Sum   [32]byte
	Ask   int64 // question: ms until an answer is too late
	Left  int64 // word: ms that the reply is good for
	Epoch uint64
	Has   bool
	Leads bool // word: there is none, and the home waits for the one that the asker gets
	Reply []byte
	Born  int64 // Unix ms
}

// remote is another box that wants a reply of this home.
type remote struct {
	box   string
	id    uint64
	key   callcache.Key
	until int64
	leads bool // it makes the call below
}

// View takes which box is home of what, on the fleet's loop.
func (k *Cache) View(v *membership.View) {
	k.enter(func(context.Context) {
		homes := make([]uint16, callcache.Shards)
		for i := range homes {
			homes[i] = callcache.NoOwner
			if first, _ := v.Replicas(i); first != "" && v.Token != 0 {
				homes[i] = k.number(first)
			}
		}
		if err := k.kept.SetOwners(v.Epoch, homes); err != nil {
			k.log.Warn("kept", "do", "place", "err", err)
			return
		}
		k.homes, k.epoch = homes, v.Epoch
	})
}

// number gives a box its number; it keeps it for as long as the process lives.
func (k *Cache) number(box string) uint16 {
	n, ok := k.numbers[box]
	if !ok {
		if len(k.names) >= callcache.NoOwner {
			return callcache.NoOwner
		}
		n = uint16(len(k.names))
		k.numbers[box], k.names = n, append(k.names, box)
	}
	return n
}

// at gives the number of a key's home.
func (k *Cache) at(key callcache.Key) uint16 {
	if k.homes == nil {
		return callcache.NoOwner
	}
	return k.homes[callcache.ShardOf(key.Hash())]
}

// ask sends the question of one who wants a reply to its home.
func (k *Cache) ask(ctx context.Context, w *want, a callcache.Answer) []callcache.Answer {
	at := now()
	w.ask, w.home = w.who, k.names[a.Owner]
	if k.post(ctx, w.home, message{Kind: question, ID: w.ask, Class: w.key.Class, Sum: w.key.Sum, Ask: a.Until - at}) {
		return nil
	}
	w.ask = 0
	return k.kept.OwnerFailed(w.key, a.Owner)
}

// unasked takes a question that did not come to its home.
func (k *Cache) unasked(ctx context.Context, box string, m message) {
	k.tell(ctx, k.kept.OwnerFailed(callcache.Key{Class: m.Class, Sum: m.Sum}, k.number(box)), control.TimedOut)
}

// put tells a key's home what a call below brought: it waits for it, or will be asked for it.
func (k *Cache) put(ctx context.Context, key callcache.Key, body []byte, born int64) {
	if n := k.at(key); n != self && n != callcache.NoOwner && len(body) <= maxReply {
		k.post(ctx, k.names[n], message{Kind: reply, Class: key.Class, Sum: key.Sum, Reply: body, Born: born})
	}
}

// receive takes what another box said.
func (k *Cache) receive(ctx context.Context, from string, m message) {
	key, at := callcache.Key{Class: m.Class, Sum: m.Sum}, now()
	switch m.Kind {
	case question:
		k.who++
		r := &remote{box: from, id: m.ID, key: key, until: at + min(max(1, int64(holdShare*float64(m.Ask))), maxHold)}
		if k.at(key) != self || k.lasts[m.Class] == 0 || len(k.remotes) >= maxRemotes {
			k.say(ctx, r)
			return
		}
		k.remotes[k.who] = r
		k.tell(ctx, []callcache.Answer{k.kept.Lookup(at, key, k.who, r.until)}, control.TimedOut)
	case word:
		w := k.wants[m.ID]
		if w == nil || w.ask != m.ID || w.home != from { // its time is over, and nothing comes of it
			if m.Leads {
				k.post(ctx, from, message{Kind: failure, ID: m.ID})
			}
			return
		}
		w.heard, w.leads = true, m.Leads && key == w.key
		k.tell(ctx, k.kept.OwnerReplied(at, w.key, k.number(from), callcache.OwnerResponse{Epoch: m.Epoch, Class: m.Class, Sum: m.Sum, Found: m.Has, Reply: m.Reply, FetchedAt: m.Born, TTL: m.Left}), control.TimedOut)
	case reply:
		if born := min(m.Born, at); k.at(key) == self && len(m.Reply) <= maxReply && m.Born <= at+skew && born+k.lasts[m.Class] > at {
			k.tell(ctx, k.kept.CallSucceeded(born, key, m.Reply), control.OK)
		}
	case failure:
		for who, r := range k.remotes {
			if r.box == from && r.id == m.ID {
				k.dropRemote(who, r)
				if r.leads {
					k.tell(ctx, k.kept.CallFailed(r.key, who), control.Errored)
				} else {
					k.tell(ctx, k.kept.RemoveWaiter(r.key, who), control.Errored)
				}
				return
			}
		}
	}
}

func (k *Cache) dropRemote(who uint64, r *remote) {
	delete(k.remotes, who)
	if k.led[r.key] == who {
		delete(k.led, r.key)
	}
}

// answer does what kept says to another box.
func (k *Cache) answer(ctx context.Context, a callcache.Answer, r *remote) {
	switch a.Action {
	case callcache.CallDownstream:
		r.leads, k.led[r.key] = true, a.Waiter
		k.post(ctx, r.box, message{Kind: word, ID: r.id, Class: r.key.Class, Sum: r.key.Sum, Epoch: k.epoch, Leads: true})
	case callcache.Hit, callcache.GiveUp:
		k.dropRemote(a.Waiter, r)
		if !r.leads {
			k.say(ctx, r)
		}
	}
}

// say tells another box what is kept here.
func (k *Cache) say(ctx context.Context, r *remote) {
	w := k.kept.Serve(now(), r.key)
	if w.Found {
		k.served.Add(1)
	}
	k.post(ctx, r.box, message{Kind: word, ID: r.id, Class: w.Class, Sum: w.Sum, Epoch: w.Epoch, Has: w.Found, Reply: w.Reply, Born: w.FetchedAt, Left: w.TTL})
}
