package lease

import "time"

// Renewal asks for a lease.
type Renewal struct {
	Box  string
	Life uint64
	Seq  uint64 // growing over all that a process asks
}

// Grant answers a renewal.
type Grant struct {
	Box  string
	Life uint64
	Seq  uint64
	For  time.Duration // from the moment at which that renewal was sent
}

// Holder is a box's own side: it asks, and knows until when it holds. Times are of its own process's clock. Between two
// calls nothing has to happen for a lease to end: a process that was stopped finds it over at its next look.
type Holder struct {
	box   string
	terms Terms
	life  uint64 // 0 = none, or lost
	seq   uint64
	next  time.Duration // when it asks next
	until time.Duration
	sent  []time.Duration // by seq
}

// NewHolder is the side of a box that has no life yet.
func NewHolder(box string, terms Terms) *Holder {
	return &Holder{box: box, terms: terms, sent: make([]time.Duration, terms.kept())}
}

// Life is the life it holds or asks for; 0 = none: it has to propose that it lives.
func (h *Holder) Life() uint64 { return h.life }

// Live tells what the log says of this very process: it lives under a life. Told again it changes nothing.
func (h *Holder) Live(life uint64, now time.Duration) {
	if life != h.life {
		h.life, h.next, h.until = life, now, 0
	}
}

// Lost tells that the log says that its life is over, or that the process is about to end: it holds no longer.
func (h *Holder) Lost() { h.life, h.until = 0, 0 }

// Ask gives the renewal to send at once, if it is time for one. now must be read before it is sent.
func (h *Holder) Ask(now time.Duration) (Renewal, bool) {
	if now < h.next {
		return Renewal{}, false
	}
	return h.AskNow(now)
}

// AskNow returns a renewal to send at once, whenever the last one was sent; false = there is no life to renew. now must be read
// before it is sent.
func (h *Holder) AskNow(now time.Duration) (Renewal, bool) {
	if h.life == 0 {
		return Renewal{}, false
	}
	h.seq++
	h.sent[h.seq%h.terms.kept()] = now
	h.next = now + h.terms.Every
	return Renewal{h.box, h.life, h.seq}, true
}

// Granted takes a grant. One that is late, comes twice, is for another life or for what was never asked changes nothing
// for the worse: a lease ends at the latest end that was granted.
func (h *Holder) Granted(g Grant) {
	if g.Box != h.box || g.Life != h.life || g.Life == 0 || g.Seq == 0 || g.Seq > h.seq || h.seq-g.Seq >= h.terms.kept() {
		return
	}
	h.until = max(h.until, h.sent[g.Seq%h.terms.kept()]+min(g.For, h.terms.Length))
}

// Holds tells that it holds at a time. What rests on it has to carry the life as well, for a process may stop between
// this look and what it does by it.
func (h *Holder) Holds(now time.Duration) bool { return h.life != 0 && now < h.until }

// Until is when its lease ends; 0 = it has had none under this life.
func (h *Holder) Until() time.Duration { return h.until }
