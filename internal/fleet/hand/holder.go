package hand

import (
	"slices"
	"time"
)

// hold is a key of this box's own: asked for, held, or ended and kept until it is forgotten.
type hold struct {
	p          Piece // without body once it has ended
	try        uint64
	state      holdState
	won, ack   bool // what the homes said to this try
	due, until time.Duration
	end        *End
	told       []Owner // homes that have its present state
	bare       []Owner // homes that need the body too
	sent       time.Duration
	finished   bool // Finished is out
	adopted    bool
	busy       bool // in Hand.busy
}

type holdState uint8

const (
	asking holdState = iota
	holding
	over
)

func (x *hold) size() int64 {
	n := int64(len(x.p.Body))
	if x.end != nil {
		n += int64(len(x.end.Result))
	}
	return n
}

// piece gives the piece as it is told now: with what is left of its times.
func (x *hold) piece(now time.Duration, body bool) *Piece {
	p := x.p
	p.Due, p.Life = max(0, x.due-now), max(0, x.until-now)
	if !body {
		p.Body = nil
	}
	return &p
}

// Claim asks for a key. Its Verdict follows, at once if it is known here.
func (h *Hand) Claim(now time.Duration, p Piece) {
	if !h.live(now) {
		return
	}
	if x := h.mine[p.Key]; x != nil {
		switch {
		case x.p.Sum != p.Sum:
			h.verdict(p.Key, Off, nil, 0, "the key is in use here for another body")
		case x.finished:
			h.verdict(p.Key, endState(x.end), x.end.Result, 0, x.end.Why)
		default:
			h.verdict(p.Key, Other, nil, 0, "it is in hand here")
		}
		return
	}
	homes := h.homes(p.Key.Slice())
	r := h.slices[p.Key.Slice()].recs[p.Key]
	switch {
	case r != nil && r.take != 0: // a claim and its release would undo the mark at the second home
		h.verdict(p.Key, Other, nil, 0, "it is being taken over here")
		return
	case len(homes) == 0:
		h.verdict(p.Key, Down, nil, comeBack, "its slice has no home")
		return
	case len(h.mine) >= h.lim.Records || h.own+int64(len(p.Body)) > h.lim.Bytes:
		h.verdict(p.Key, Down, nil, comeBack, "as many keys as this box keeps are in hand here")
		return
	case p.Life > h.lim.Longest:
		h.verdict(p.Key, Down, nil, 0, "its record would have to be kept longer than any")
		return
	}
	h.try++
	x := &hold{p: p, try: h.try, due: now + p.Due, until: now + p.Life}
	h.mine[p.Key] = x
	h.own += x.size()
	h.pump(now, x)
	h.loop(now)
}

// Finish tells how a run of a key that is this box's ended. Finished follows.
func (h *Hand) Finish(now time.Duration, k Key, ok bool, result []byte, why string) {
	if h.over {
		return
	}
	x := h.mine[k]
	if x != nil && x.state == over && !x.finished {
		return // told before: its Finished is on the way
	}
	if x == nil || x.state != holding {
		h.out.Finished = append(h.out.Finished, Finished{Key: k, OK: x != nil && x.finished})
		return
	}
	if x.adopted {
		h.adopted--
		h.look = true // there is room for another
	}
	h.own += int64(len(result)) - x.size()
	x.state, x.told, x.end, x.p.Body = over, nil, &End{OK: ok, Result: result, Why: why}, nil
	h.pump(now, x)
	h.loop(now)
}

// Release gives up a key that is asked for, or held and never told to run.
func (h *Hand) Release(now time.Duration, k Key) {
	if h.over {
		return
	}
	if x := h.mine[k]; x != nil && x.state != over {
		h.drop(x)
	}
	h.loop(now)
}

// drop forgets a key and tells its homes; one that does not hear asks.
func (h *Hand) drop(x *hold) {
	if x.adopted {
		h.adopted--
	}
	h.own -= x.size()
	delete(h.mine, x.p.Key)
	for _, o := range h.homes(x.p.Key.Slice()) {
		h.send(o.Box, Item{Kind: kRelease, Key: x.p.Key, Try: x.try})
	}
}

func (h *Hand) verdict(k Key, s State, result []byte, after time.Duration, why string) {
	h.out.Verdicts = append(h.out.Verdicts, Verdict{Key: k, State: s, Result: result, After: after, Why: why})
}

func endState(e *End) State {
	if e.OK {
		return Done
	}
	return Failed
}

// pump sends a hold's state to the homes that have not acknowledged it.
func (h *Hand) pump(now time.Duration, x *hold) {
	x.sent = now
	if !x.busy {
		x.busy, h.busy = true, append(h.busy, x)
	}
	for i, o := range h.homes(x.p.Key.Slice()) {
		switch {
		case x.state == asking:
			if i == 0 && !x.won || i == 1 && !x.ack {
				h.send(o.Box, Item{Kind: kClaim, Key: x.p.Key, Try: x.try, Piece: x.piece(now, true)})
			}
		case slices.Contains(x.told, o):
		case x.state == holding:
			it := Item{Kind: kHeld, Key: x.p.Key, Try: x.try}
			if slices.Contains(x.bare, o) {
				it.Piece = x.piece(now, true)
			}
			h.send(o.Box, it)
		default:
			h.send(o.Box, Item{Kind: kEnd, Key: x.p.Key, Try: x.try, Piece: x.piece(now, false), End: x.end})
		}
	}
	if x.state == over && h.bug.answerEarly {
		h.finish(x)
	}
}

// finish tells the core that the end is safe, once, and the homes that they may tell it.
func (h *Hand) finish(x *hold) {
	if !x.finished {
		x.finished = true
		h.out.Finished = append(h.out.Finished, Finished{Key: x.p.Key, OK: true})
	}
	for _, o := range h.homes(x.p.Key.Slice()) {
		h.send(o.Box, Item{Kind: kSealed, Key: x.p.Key})
	}
}

// settled tells that all present homes have acknowledged a hold's state.
func (h *Hand) settled(x *hold) bool {
	if x.state == asking {
		return false
	}
	homes := h.homes(x.p.Key.Slice())
	for _, o := range homes {
		if !slices.Contains(x.told, o) {
			return false
		}
	}
	return len(homes) > 0
}

// moved looks at a hold after a new view: what earlier homes said to a claim counts no longer, and homes that are new
// hear of what is held and of what ended.
func (h *Hand) moved(now time.Duration, x *hold) {
	if x.state == asking {
		h.try++
		x.try, x.won, x.ack = h.try, false, false
	}
	switch {
	case x.state == asking, x.state == over && !x.finished:
		h.pump(now, x)
	case !x.busy && !h.settled(x): // with the next ticks
		x.busy, x.sent, h.busy = true, now-h.lim.Retry, append(h.busy, x)
	}
}

func (h *Hand) holderTick(now time.Duration) {
	busy := h.busy
	h.busy = nil
	told := 0
	for _, x := range busy {
		x.busy = false
		switch {
		case h.mine[x.p.Key] != x || h.settled(x):
			continue
		case x.state == asking && now >= x.due:
			h.drop(x)
			h.verdict(x.p.Key, Down, nil, comeBack, "its homes did not answer in its time")
			continue
		case now-x.sent >= h.lim.Retry && told < tellMost:
			told++
			h.pump(now, x)
		}
		if !x.busy {
			x.busy, h.busy = true, append(h.busy, x)
		}
	}
}

// answered takes what a home said to a claim. The first home's word and the second's mark are both needed. A claim
// that is not wanted any longer is released.
func (h *Hand) answered(now time.Duration, from Owner, it *Item) {
	x := h.mine[it.Key]
	if x == nil || x.try != it.Try {
		if it.State == Won && (x == nil || x.try > it.Try) {
			h.send(from.Box, Item{Kind: kRelease, Key: it.Key, Try: it.Try})
		}
		return
	}
	if x.state != asking {
		return
	}
	homes := h.homes(it.Key.Slice())
	at := slices.Index(homes, from)
	if h.bug.epochUnchecked && at < 0 {
		at = map[Kind]int{kVerdict: 0, kAck: 1}[it.Kind]
	}
	switch {
	case at == 0 && it.Kind == kVerdict && it.State == Won:
		x.won = true
	case at == 1 && it.Kind == kAck && it.State == Won:
		x.ack = true
	case at == 0 && it.Kind == kVerdict, at == 1 && it.Kind == kAck:
		h.drop(x)
		var result []byte
		if it.End != nil {
			result = it.End.Result
		}
		h.verdict(it.Key, it.State, result, it.After, it.Why)
		return
	default:
		return
	}
	if x.won && (x.ack || len(homes) == 1 || h.bug.firstAlone) {
		h.expiry.add(x.until, it.Key, false)
		x.state, x.told, x.sent = holding, nil, now // homes hear of it with the next tick, if it has not ended by then
		h.verdict(it.Key, Won, nil, 0, "its homes have the claim")
	}
}

// kept takes a home's word that it has a hold's state.
func (h *Hand) kept(now time.Duration, from Owner, it *Item) {
	x := h.mine[it.Key]
	if x == nil || x.try != it.Try {
		if x == nil || x.try > it.Try {
			h.send(from.Box, Item{Kind: kRelease, Key: it.Key, Try: it.Try})
		}
		return
	}
	if x.state == holding && it.State == Won || x.state == over && it.State == Done {
		if !slices.Contains(x.told, from) {
			x.told = append(x.told, from)
		}
		if x.state == over && h.settled(x) {
			h.finish(x)
		}
	}
}

// asked answers a home that wants to know how a key stands.
func (h *Hand) asked(now time.Duration, from Owner, it *Item) {
	x := h.mine[it.Key]
	switch {
	case x == nil:
		if r := h.slices[it.Key.Slice()].recs[it.Key]; r == nil || r.take == 0 || r.take != it.Try {
			h.send(from.Box, Item{Kind: kRelease, Key: it.Key, Try: it.Try})
		}
	case x.state == asking:
		if it.Try < x.try { // the earlier one is given up; the present one is sent again in its time
			h.send(from.Box, Item{Kind: kRelease, Key: it.Key, Try: it.Try})
		}
	default:
		if it.Kind == kWant && !slices.Contains(x.bare, from) {
			x.bare = append(x.bare, from)
		}
		x.told = slices.DeleteFunc(x.told, func(o Owner) bool { return o == from })
		h.pump(now, x)
	}
}
