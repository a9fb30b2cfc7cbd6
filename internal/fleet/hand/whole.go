package hand

import (
	"slices"
	"time"
)

// slice is a part of the keys at a box that is a home of it, or was one in the view before.
type slice struct {
	place int           // 1 = first home, 2 = second, 0 = none
	whole bool          // its records are a superset of all claims that may have won and are not forgotten
	since time.Duration // since when it is a home without a break
	recs  map[Key]*record
	out   map[string]*copying // to boxes that need the slice
	knows []string            // that have said they are whole
	said  time.Duration       // when the others were last told that this box is whole
	from  string              // whose copy it takes
	heard time.Duration       // when that last came
}

// copying is a slice on its way to one box.
type copying struct {
	left []*record
	sent map[uint64]*record // not acknowledged, by number
	at   time.Duration
}

// turn changes a slice to a new view. Who was whole and is a home no longer keeps it for this one view, to give it to
// those that are; who becomes a home begins with nothing and is not whole, unless the slice never had a home.
func (h *Hand) turn(now time.Duration, i int, follows bool) {
	s := &h.slices[i]
	was, place := s.place, 0
	names := h.view.Homes(i)
	for j := range min(2, len(names)) {
		if names[j] == h.view.Self {
			place = j + 1
		}
	}
	fresh := place > 0 && h.view.Fresh != nil && h.view.Fresh(i)
	if was == 0 && place == 0 && s.recs == nil && !s.whole {
		return
	}
	s.place, s.out, s.knows, s.from, s.said = place, nil, nil, "", 0
	switch {
	case place > 0 && was > 0 && follows: // as before
		s.whole = s.whole || h.bug.promoted && place == 1
	case place > 0:
		h.empty(s)
		s.whole, s.since = h.bug.noQuarantine, now
	case was == 0 || !s.whole || !follows:
		h.empty(s)
		s.whole = false
	}
	s.whole = s.whole || fresh
	for _, k := range sortedKeys(s.recs) {
		r := s.recs[k]
		for j := range r.cands {
			r.cands[j].waits = false
		}
		if r.put, r.sent, r.probed = 0, 0, 0; place != 1 || was != 1 {
			h.untake(r)
			r.owner = Owner{}
		}
		if place > 0 && (r.end == nil || !r.sealed) {
			h.watch(now, r)
		}
	}
}

func (h *Hand) empty(s *slice) {
	for _, r := range s.recs {
		h.forget(s, r)
	}
	s.recs = nil
}

// offer tells the homes of slices that this box is whole in that it is, until they say that they are too.
func (h *Hand) offer(now time.Duration) {
	for _, i := range h.homed {
		s := &h.slices[i]
		if !s.whole {
			continue
		}
		for name, c := range s.out {
			if now-c.at >= h.lim.Retry && !slices.Contains(s.knows, name) {
				for _, n := range sortedNumbers(c.sent) {
					h.send(name, Item{Kind: kPut, Key: c.sent[n].p.Key, Try: n, Record: h.copyOf(now, c.sent[n])})
				}
				c.at = now
				h.feed(now, i, name, c)
			}
		}
		if s.said != 0 && now-s.said < h.lim.Retry {
			continue
		}
		s.said = now
		for _, o := range h.homes(i) {
			if o != h.me() && !slices.Contains(s.knows, o.Box) {
				h.send(o.Box, Item{Kind: kOffer, Slice: i})
			}
		}
	}
}

func sortedNumbers(m map[uint64]*record) []uint64 {
	out := make([]uint64, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// copying takes a step of a slice's way from a box that is whole to one that is not.
func (h *Hand) copying(now time.Duration, from Owner, it *Item) {
	s := &h.slices[it.Slice]
	switch it.Kind {
	case kOffer:
		switch {
		case s.place == 0:
		case s.whole:
			h.send(from.Box, Item{Kind: kWhole, Slice: it.Slice})
		case s.from == "" || s.from == from.Box || now-s.heard > copyWait:
			if s.from != from.Box {
				s.from, s.heard = from.Box, now
			}
			h.send(from.Box, Item{Kind: kNeed, Slice: it.Slice})
		}
	case kNeed:
		if !s.whole || s.out[from.Box] != nil || h.flying >= flyMost {
			return
		}
		c := &copying{sent: map[uint64]*record{}}
		for _, k := range sortedKeys(s.recs) {
			c.left = append(c.left, s.recs[k])
		}
		if s.out == nil {
			s.out = map[string]*copying{}
		}
		s.out[from.Box] = c
		h.feed(now, it.Slice, from.Box, c)
	case kCopied:
		if s.place > 0 {
			s.whole = true
			h.send(from.Box, Item{Kind: kWhole, Slice: it.Slice})
		}
	case kWhole:
		if s.whole && !slices.Contains(s.knows, from.Box) {
			s.knows = append(s.knows, from.Box)
			if c := s.out[from.Box]; c != nil {
				h.flying -= len(c.sent)
			}
			delete(s.out, from.Box)
			if s.place == 0 { // one home has it: that one gives it to the other
				h.empty(s)
				s.whole = false
			}
		}
	}
}

// feed sends on of a copy what is under its bounds, and says when all is there.
func (h *Hand) feed(now time.Duration, slice int, to string, c *copying) {
	bytes := int64(0)
	for _, r := range c.sent {
		bytes += r.size()
	}
	for len(c.left) > 0 && len(c.sent) < copyMost && bytes < copyBytes {
		r := c.left[0]
		c.left = c.left[1:]
		if h.slices[slice].recs[r.p.Key] != r {
			continue // released or forgotten since
		}
		h.try++
		c.sent[h.try] = r
		h.flying++
		bytes += r.size()
		c.at = now
		h.send(to, Item{Kind: kPut, Key: r.p.Key, Try: h.try, Record: h.copyOf(now, r)})
	}
	if len(c.left) == 0 && len(c.sent) == 0 {
		h.send(to, Item{Kind: kCopied, Slice: slice})
	}
}

// put takes a record of the other home, or of one that was: what is known here and what it says are joined, so that
// nobody who may have won goes missing.
func (h *Hand) put(now time.Duration, s *slice, from Owner, it *Item) {
	p := &it.Record.Piece
	r := s.recs[it.Key]
	if r == nil {
		if !h.room(int64(len(p.Body)), 2) {
			return // it comes again
		}
		r = h.record(now, s, it.Key, p)
	}
	if s.from == from.Box {
		s.heard = now
	}
	if e := it.Record.End; e != nil {
		if r.end != nil && (it.Record.Sealed || e.OK) { // a real end stands before a taker's verdict
			h.replace(now, r, e)
		}
		h.close(now, r, e)
		r.sealed = r.sealed || it.Record.Sealed
	}
	for _, c := range it.Record.Cands {
		c.waits = false
		h.add(r, c)
	}
	out := Item{Kind: kPutOK, Key: it.Key, Try: it.Try}
	if r.end != nil && (it.Record.End == nil || !r.end.same(it.Record.End)) {
		out.End = r.end // the lost box told this home alone
	}
	h.send(from.Box, out)
}

// putOK takes the word that a record has arrived: one of a copy, or one that the second home was told of.
func (h *Hand) putOK(now time.Duration, from Owner, it *Item) {
	i := it.Key.Slice()
	s := &h.slices[i]
	if c := s.out[from.Box]; c != nil && c.sent[it.Try] != nil {
		delete(c.sent, it.Try)
		h.flying--
		h.feed(now, i, from.Box, c)
	}
	homes := h.homes(i)
	if r := s.recs[it.Key]; r != nil && s.place == 1 && r.put == it.Try && len(homes) == 2 && homes[1] == from {
		if it.End != nil {
			h.replace(now, r, it.End)
		}
		h.putDone(now, r)
	}
}
