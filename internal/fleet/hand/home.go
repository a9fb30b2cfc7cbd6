package hand

import (
	"bytes"
	"container/heap"
	"slices"
	"time"
)

// record is a key at one of its homes.
type record struct {
	p          Piece // Body nil until a message brings it
	slice      int
	cands      []Cand // a superset of who may have won it; without doubles
	owner      Owner  // at the first home: who has it
	end        *End
	sealed     bool // the other home has the end too: it may be told
	due, until time.Duration
	open       bool // in Hand.open
	asked      time.Duration
	probed     time.Duration // when the pools of lost candidates were last asked; 0 = not yet
	take       uint64        // try of a takeover that the second home has not acknowledged
	put        uint64        // number of the last kPut to the second home
	sent       time.Duration // when it went
}

func (r *record) cand(o Owner) int {
	return slices.IndexFunc(r.cands, func(c Cand) bool { return c.Owner == o })
}

func (r *record) size() int64 {
	n := int64(len(r.p.Body))
	if r.end != nil {
		n += int64(len(r.end.Result))
	}
	return n
}

// room tells that a home takes one record more. What others already hold is taken up to twice the bound.
func (h *Hand) room(size int64, times int) bool {
	return h.records < times*h.lim.Records && h.bytes+size <= int64(times)*h.lim.Bytes
}

// record begins one.
func (h *Hand) record(now time.Duration, s *slice, k Key, p *Piece) *record {
	r := &record{p: *p, slice: k.Slice(), due: now + p.Due, until: now + min(p.Life, h.lim.Longest)}
	r.p.Key = k
	if s.recs == nil {
		s.recs = map[Key]*record{}
	}
	s.recs[k] = r
	h.records++
	h.bytes += r.size()
	h.expiry.add(r.until, k, true)
	h.watch(now, r)
	return r
}

// watch has the ticks look at a record until it has an end that is sealed.
func (h *Hand) watch(now time.Duration, r *record) {
	if !r.open {
		r.open, r.asked, h.open = true, now, append(h.open, r)
	}
}

func (h *Hand) forget(s *slice, r *record) {
	if s.recs[r.p.Key] == r {
		delete(s.recs, r.p.Key)
		h.records--
		h.bytes -= r.size()
		h.untake(r)
	}
}

// close writes the end of a piece. The first that is known stands.
func (h *Hand) close(now time.Duration, r *record, e *End) {
	if r.end == nil {
		h.bytes -= r.size()
		h.untake(r)
		r.end, r.p.Body, r.put, r.asked = e, nil, 0, now
		h.bytes += r.size()
		h.watch(now, r)
	}
}

// replace writes another end over one that nobody was told: the other home knew better.
func (h *Hand) replace(now time.Duration, r *record, e *End) {
	if !r.sealed {
		h.bytes -= r.size()
		r.end = nil
		h.bytes += r.size()
		h.close(now, r, e)
	}
}

func (e *End) same(o *End) bool { return e.OK == o.OK && bytes.Equal(e.Result, o.Result) }

// add notes a candidate.
func (h *Hand) add(r *record, c Cand) *Cand {
	i := r.cand(c.Owner)
	if i < 0 {
		r.cands = append(r.cands, c)
		return &r.cands[len(r.cands)-1]
	}
	x := &r.cands[i]
	if c.Try > x.Try {
		x.Try, x.Held, x.Handle, x.Cursor = c.Try, false, c.Handle, c.Cursor
	}
	if c.Try == x.Try && x.Handle == "" {
		x.Handle, x.Cursor = c.Handle, c.Cursor
	}
	x.Held = x.Held || c.Held && c.Try == x.Try
	x.Clear = x.Clear || c.Clear
	return x
}

// candOf is a candidate as an item of its own tells of it.
func candOf(o Owner, it *Item) Cand {
	c := Cand{Owner: o, Try: it.Try}
	if it.Piece != nil {
		c.Handle, c.Cursor = it.Piece.Handle, it.Piece.Cursor
	}
	return c
}

// settle finds who has a key at its first home: whom it gave it, or the only one who may have it. Of several, none.
func (h *Hand) settle(s *slice, r *record) {
	if r.owner != (Owner{}) && r.cand(r.owner) >= 0 {
		return
	}
	r.owner = Owner{}
	if !s.whole {
		return // others may have claimed it of whom nothing is known here
	}
	n := 0
	for _, c := range r.cands {
		if !c.Clear {
			r.owner = c.Owner
			n++
		}
	}
	if h.bug.contestedOwned && n > 0 {
		r.owner = r.cands[0].Owner
	} else if n != 1 {
		r.owner = Owner{}
	}
}

// claimed takes a claim at a home: the second marks it, the first orders it.
func (h *Hand) claimed(now time.Duration, s *slice, from Owner, it *Item) {
	r := s.recs[it.Key]
	say := func(k Kind, st State, e *End, why string) {
		out := Item{Kind: k, Key: it.Key, Try: it.Try, State: st, End: e, Why: why}
		if st == Down {
			out.After = comeBack
		}
		h.send(from.Box, out)
	}
	kind := kVerdict
	if s.place == 2 {
		kind = kAck
	}
	if r == nil {
		switch {
		case s.place == 1 && !s.whole:
			say(kind, Down, nil, "its first home does not yet know all claims of before")
			return
		case !h.room(int64(len(it.Piece.Body)), 1):
			say(kind, Down, nil, "its home has no room")
			return
		}
		if s.place == 1 || !h.bug.ackFirst {
			r = h.record(now, s, it.Key, it.Piece)
			r.owner = from
			h.add(r, candOf(from, it))
		}
		say(kind, Won, nil, "")
		return
	}
	if s.place == 2 {
		if r.end == nil && r.p.Sum != it.Piece.Sum {
			say(kind, Other, nil, "its second home has a claim for another body")
			return
		}
		if r.end == nil {
			h.add(r, candOf(from, it))
		}
		say(kind, Won, nil, "")
		return
	}
	if r.p.Sum != it.Piece.Sum {
		say(kind, Off, nil, "the key belongs to another body")
		return
	}
	if r.end != nil {
		if r.sealed || h.bug.answerEarly {
			say(kind, endState(r.end), r.end, r.end.Why)
		} else {
			say(kind, Other, nil, "its end is not yet at both homes")
		}
		return
	}
	h.settle(s, r)
	i := r.cand(from)
	switch {
	case r.owner == from && s.whole:
		h.add(r, candOf(from, it))
		say(kind, Won, nil, "")
	case r.owner != (Owner{}) && r.owner != from:
		say(kind, Other, nil, "another box has it")
	case i < 0 || !s.whole:
		say(kind, Other, nil, "several boxes may have it")
	default:
		h.add(r, candOf(from, it)).waits = true
		for _, c := range r.cands {
			if !c.Clear && !(c.waits && h.lives(c.Owner)) {
				say(kind, Other, nil, "several boxes may have it")
				return
			}
		}
		r.owner = from
		say(kind, Won, nil, "")
	}
}

// held takes a holder's word that it won.
func (h *Hand) held(now time.Duration, s *slice, from Owner, it *Item) {
	r := s.recs[it.Key]
	if r == nil {
		if it.Piece == nil {
			h.send(from.Box, Item{Kind: kWant, Key: it.Key, Try: it.Try})
			return
		}
		if !h.room(int64(len(it.Piece.Body)), 2) {
			return // it is told again
		}
		r = h.record(now, s, it.Key, it.Piece)
	}
	if r.end == nil {
		if i := r.cand(from); it.Piece == nil && (i < 0 || r.cands[i].Try < it.Try) { // by which handle, only its piece tells
			h.send(from.Box, Item{Kind: kWant, Key: it.Key, Try: it.Try})
			return
		}
		x := candOf(from, it)
		x.Held = true
		c := h.add(r, x)
		if c.Try != it.Try {
			return // given up since
		}
		c.waits = false
		if h.settle(s, r); r.owner == (Owner{}) {
			r.owner = from
		}
	}
	h.send(from.Box, Item{Kind: kKept, Key: it.Key, Try: it.Try, State: Won})
}

// ended takes a holder's end of a piece.
func (h *Hand) ended(now time.Duration, s *slice, from Owner, it *Item) {
	r := s.recs[it.Key]
	if it.End == nil || r == nil && it.Piece == nil {
		return
	}
	if r == nil || r.end == nil {
		if !h.room(int64(len(it.End.Result)), 2) {
			return
		}
		if r == nil {
			r = h.record(now, s, it.Key, it.Piece)
		}
		h.add(r, Cand{Owner: from, Try: it.Try, Held: true})
		h.close(now, r, it.End)
	}
	h.send(from.Box, Item{Kind: kKept, Key: it.Key, Try: it.Try, State: Done})
}

// released takes a box's word that it does not have a key by a try, nor will.
func (h *Hand) released(s *slice, from Owner, it *Item) {
	r := s.recs[it.Key]
	if r == nil || r.end != nil {
		return
	}
	i := r.cand(from)
	if i < 0 || r.cands[i].Try > it.Try {
		return
	}
	if r.cands = slices.Delete(r.cands, i, i+1); len(r.cands) == 0 {
		h.forget(s, r)
	}
}

// homeTick asks after claims whose boxes live, and has the second home acknowledge what the first decided.
func (h *Hand) homeTick(now time.Duration) {
	for _, i := range h.homed {
		if s := &h.slices[i]; s.place > 0 && !s.whole && now-s.since >= h.lim.Longest+h.lim.Lag {
			s.whole = true // nothing that was claimed before is still to be known
		}
	}
	h.offer(now)
	open := h.open[:0]
	for _, r := range h.open {
		s := &h.slices[r.slice]
		if s.recs[r.p.Key] != r || s.place == 0 || r.end != nil && (r.sealed || s.place == 2) {
			r.open = false
			continue
		}
		open = append(open, r)
		switch {
		case s.place == 1 && (r.take != 0 || r.end != nil && now-r.asked >= askFresh):
			if now-r.sent >= h.lim.Retry {
				h.tell(now, r)
			}
		case r.end == nil:
			h.ask(now, s, r)
		}
	}
	clear(h.open[len(open):])
	h.open = open
}

// ask asks candidates that live how it stands: soon where it matters, seldom where all is as it should be.
func (h *Hand) ask(now time.Duration, s *slice, r *record) {
	wait := askHeld
	for _, c := range r.cands {
		if !c.Held && h.lives(c.Owner) {
			wait = askFresh
		}
	}
	if now-r.asked < wait {
		return
	}
	r.asked = now
	for _, c := range r.cands {
		if h.lives(c.Owner) && !(s.place == 1 && c.waits) {
			h.send(c.Box, Item{Kind: kAsk, Key: r.p.Key, Try: c.Try})
		}
	}
}

// tell sends a record to the second home, to be acknowledged before it is acted on. Without one it is as good as done.
func (h *Hand) tell(now time.Duration, r *record) {
	h.try++
	r.put, r.sent = h.try, now
	homes := h.homes(r.slice)
	if len(homes) < 2 || r.take != 0 && h.bug.adoptEarly {
		h.putDone(now, r)
	}
	if len(homes) == 2 {
		h.send(homes[1].Box, Item{Kind: kPut, Key: r.p.Key, Try: r.put, Record: h.copyOf(now, r)})
	}
}

func (h *Hand) copyOf(now time.Duration, r *record) *Record {
	c := &Record{Piece: r.p, Cands: slices.Clone(r.cands), End: r.end, Sealed: r.sealed}
	c.Piece.Due, c.Piece.Life = max(0, r.due-now), max(0, r.until-now)
	return c
}

// putDone acts on what the second home has.
func (h *Hand) putDone(now time.Duration, r *record) {
	if r.put = 0; r.end != nil {
		r.sealed = true
	} else if r.take != 0 {
		h.adopt(now, r)
	}
}

// expiries is a heap of when keys are forgotten.
type expiries []expiry

type expiry struct {
	at   time.Duration
	key  Key
	home bool // the record at this home; else what this box holds
}

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].at < e[j].at }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiries) Push(x any)        { *e = append(*e, x.(expiry)) }
func (e *expiries) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = expiry{}
	*e = old[:len(old)-1]
	return x
}

func (e *expiries) add(at time.Duration, k Key, home bool) { heap.Push(e, expiry{at, k, home}) }

// tidy drops entries of keys that are gone already, where they have come to be most.
func (h *Hand) tidy() {
	if len(h.expiry) < 1024+2*(h.records+len(h.mine)) {
		return
	}
	h.expiry = slices.DeleteFunc(h.expiry, func(e expiry) bool {
		if e.home {
			r := h.slices[e.key.Slice()].recs[e.key]
			return r == nil || r.until != e.at
		}
		x := h.mine[e.key]
		return x == nil || x.until != e.at
	})
	heap.Init(&h.expiry)
}

// expire forgets what is over. A piece that its box still holds then is told as failed: its time passed long ago.
func (h *Hand) expire(now time.Duration) {
	h.tidy()
	for len(h.expiry) > 0 && h.expiry[0].at <= now {
		e := heap.Pop(&h.expiry).(expiry)
		if e.home {
			s := &h.slices[e.key.Slice()]
			if r := s.recs[e.key]; r != nil && r.until <= now {
				h.forget(s, r)
			}
		} else if x := h.mine[e.key]; x != nil && x.until <= now {
			switch {
			case x.state == asking: // its own time ends it
				continue
			case x.state == over && !x.finished:
				h.out.Finished = append(h.out.Finished, Finished{Key: e.key})
			case x.state == holding && x.adopted:
				h.adopted--
			}
			h.own -= x.size()
			delete(h.mine, e.key)
		}
	}
}
