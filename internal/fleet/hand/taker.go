package hand

import (
	"slices"
	"strings"
	"time"
)

// ProofState is what a worker pool knows of a key that a lost process may have given it.
type ProofState uint8

// The states of a Proof.
const (
	NeverRan ProofState = iota + 1 // and cannot any more: the pool is bound to the taker
	Ran                            // it ended: OK and Result tell how
	Running                        // it runs, and its end will be known
	Unknown                        // the pool cannot tell, or is gone
)

// Proof is what a Probe found of one key.
type Proof struct {
	State  ProofState
	OK     bool
	Result []byte
}

// Proved tells what the pool of a lost process knows of a key.
func (h *Hand) Proved(now time.Duration, k Key, o Owner, p Proof) {
	if !h.live(now) {
		return
	}
	s := &h.slices[k.Slice()]
	r := s.recs[k]
	if r == nil || s.place != 1 || r.end != nil || r.take != 0 || h.lives(o) {
		return
	}
	i := r.cand(o)
	if i < 0 {
		return
	}
	switch p.State {
	case NeverRan:
		r.cands[i].Clear = true
	case Ran:
		h.decide(now, r, &End{OK: p.OK, Result: p.Result, Why: "as the pool of the lost " + o.Box + " knows"})
	case Unknown:
		h.decide(now, r, &End{Why: "its box " + o.Box + " was lost and its pool cannot tell: it may have run"})
	}
	h.look = true
	h.loop(now)
}

// decide closes a lost piece; it is told to nobody before the second home has it.
func (h *Hand) decide(now time.Duration, r *record, e *End) {
	h.close(now, r, e)
	h.tell(now, r)
}

// lost are the candidates that have to be cleared before a piece is taken over. ok = all who may have it are lost.
func (h *Hand) lost(s *slice, r *record) (who []int, ok bool) {
	h.settle(s, r)
	if i := r.cand(r.owner); i >= 0 && s.whole {
		return []int{i}, !h.lives(r.owner)
	}
	for i, c := range r.cands {
		if h.lives(c.Owner) {
			return nil, false
		}
		who = append(who, i)
	}
	return who, true
}

// take looks at the pieces of lost boxes that this box is first home of: by what is proved they are run here, given
// the end that their pool knows, or failed. It depends on view and records alone, so whichever box comes to be first
// home does the same.
func (h *Hand) take(now time.Duration) {
	h.look = false
	var ready []*record
	probes := map[Owner][]Asked{}
	for _, r := range h.open {
		s := &h.slices[r.slice]
		if s.recs[r.p.Key] != r || r.end != nil || r.take != 0 || s.place == 0 || s.place != 1 && !h.bug.ownClock {
			continue
		}
		who, ok := h.lost(s, r)
		if !ok {
			continue
		}
		if !s.whole && (now-s.since < copyWait || slices.ContainsFunc(who, func(i int) bool { return !r.cands[i].Held })) {
			continue // another may have won it, and live
		}
		if now >= r.due {
			h.decide(now, r, &End{Why: "its box was lost and its time passed: it may have run"})
			continue
		}
		h.prove(now, r, who, probes, &ready)
	}
	owners := make([]Owner, 0, len(probes))
	for o := range probes {
		owners = append(owners, o)
	}
	slices.SortFunc(owners, func(a, b Owner) int { return strings.Compare(a.Box, b.Box) })
	for _, o := range owners {
		h.out.Probes = append(h.out.Probes, Probe{Owner: o, Pool: h.view.Pools[o], Keys: probes[o]})
	}
	slices.SortStableFunc(ready, func(a, b *record) int { return int(a.due - b.due) })
	for _, r := range ready {
		if h.adopted >= h.lim.Adopted {
			return // the rest waits for one of these to end, within its time
		}
		if h.mine[r.p.Key] == nil { // else this box is just asking for it: it will hear that another has it
			h.begin(now, r)
		}
	}
}

// prove sorts a lost piece into those that are ready and those whose pool has to be asked, or fails it.
func (h *Hand) prove(now time.Duration, r *record, who []int, probes map[Owner][]Asked, ready *[]*record) {
	var ask []Cand
	for _, i := range who {
		switch c := &r.cands[i]; {
		case c.Clear || r.p.Repeat || h.bug.fenceSkipped:
		case h.view.Pools[c.Owner] == "":
			h.decide(now, r, &End{Why: "its box " + c.Box + " was lost and its pool is not known: it may have run"})
			return
		default:
			ask = append(ask, *c)
		}
	}
	if len(ask) == 0 {
		*ready = append(*ready, r)
		return
	}
	if r.probed == 0 || now-r.probed >= probeWait {
		r.probed = now
		alone := len(ask) == 1 && h.slices[r.slice].whole
		for _, c := range ask {
			probes[c.Owner] = append(probes[c.Owner], Asked{r.p.Key, c.Handle, c.Cursor, alone})
		}
	}
}

// begin makes this box the owner; the piece is run once the second home has that.
func (h *Hand) begin(now time.Duration, r *record) {
	h.try++
	h.adopted++
	r.take, r.owner = h.try, h.me()
	h.add(r, Cand{Owner: r.owner, Try: r.take, Handle: r.p.Handle})
	h.tell(now, r)
	if h.bug.ownClock && h.slices[r.slice].place == 2 {
		h.adopt(now, r)
	}
}

// untake ends a takeover that was not acknowledged. The piece is the next taker's.
func (h *Hand) untake(r *record) {
	if r.take == 0 {
		return
	}
	h.adopted--
	r.take, r.owner = 0, Owner{}
	if i := r.cand(h.me()); i >= 0 {
		r.cands = slices.Delete(r.cands, i, i+1)
	}
}

// adopt gives the core a piece that is this box's now at both homes.
func (h *Hand) adopt(now time.Duration, r *record) {
	x := &hold{p: r.p, try: r.take, state: holding, adopted: true, due: r.due, until: r.until, sent: now}
	x.p.Cursor = 0 // it was of another pool
	p := x.piece(now, true)
	r.take = 0
	h.mine[r.p.Key] = x
	h.own += x.size()
	h.expiry.add(x.until, r.p.Key, false)
	x.busy, h.busy = true, append(h.busy, x)
	h.out.Adopts = append(h.out.Adopts, Adopt{Piece: *p})
}
