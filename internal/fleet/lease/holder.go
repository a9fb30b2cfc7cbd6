package lease

import "time"

// Renewal requests a lease.
type Renewal struct {
	Box  string // name of the server
	Life uint64 // fencing token
	Seq  uint64 // increases over all renewals of a process
}

// Grant answers a renewal.
type Grant struct {
	Box  string // name of the server
	Life uint64 // fencing token
	Seq  uint64
	For  time.Duration // duration of the lease from the moment the renewal was sent
}

// Holder is a server's own side: it sends renewals and knows until when its lease lasts. Times are of its own
// process's clock. A lease ends without any event between two calls: a process that was stopped finds it ended at
// its next check.
type Holder struct {
	server      string
	terms       Terms
	token       uint64 // 0 = none, or expired
	seq         uint64
	nextRenewal time.Duration // when the next renewal is due
	leaseEnd    time.Duration
	sentAt      []time.Duration // by sequence number, modulo the length
}

// NewHolder returns a holder for a server that has no fencing token yet.
func NewHolder(server string, terms Terms) *Holder {
	return &Holder{server: server, terms: terms, sentAt: make([]time.Duration, terms.outstanding())}
}

// Token returns the fencing token that a lease is held or requested for; 0 = none: the process must first register.
func (h *Holder) Token() uint64 { return h.token }

// SetToken sets the fencing token under which the log has registered this very process. Repeating a token has no effect.
func (h *Holder) SetToken(token uint64, now time.Duration) {
	if token != h.token {
		h.token, h.nextRenewal, h.leaseEnd = token, now, 0
	}
}

// DropToken drops token and lease: the log has declared the token expired, or the process is about to end.
func (h *Holder) DropToken() { h.token, h.leaseEnd = 0, 0 }

// NextRenewal returns the renewal to send at once, if one is due. now must be read before it is sent.
func (h *Holder) NextRenewal(now time.Duration) (Renewal, bool) {
	if now < h.nextRenewal {
		return Renewal{}, false
	}
	return h.RenewNow(now)
}

// RenewNow returns a renewal to send at once, whenever the last one was sent. It returns false if there is no token to
// renew. now must be read before the renewal is sent.
func (h *Holder) RenewNow(now time.Duration) (Renewal, bool) {
	if h.token == 0 {
		return Renewal{}, false
	}
	h.seq++
	h.sentAt[h.seq%h.terms.outstanding()] = now
	h.nextRenewal = now + h.terms.RenewInterval
	return Renewal{h.server, h.token, h.seq}, true
}

// AcceptGrant accepts a grant. A grant that is late, repeated, for another token or for a renewal that was never sent
// cannot shorten the lease: it ends at the latest end that was granted.
func (h *Holder) AcceptGrant(g Grant) {
	if g.Box != h.server || g.Life != h.token || g.Life == 0 || g.Seq == 0 || g.Seq > h.seq ||
		h.seq-g.Seq >= h.terms.outstanding() {
		return
	}
	h.leaseEnd = max(h.leaseEnd, h.sentAt[g.Seq%h.terms.outstanding()]+min(g.For, h.terms.Length))
}

// Holds reports whether the lease runs at the given time. Work that relies on it must carry the fencing token as well,
// because the process may stop between this check and the work.
func (h *Holder) Holds(now time.Duration) bool { return h.token != 0 && now < h.leaseEnd }

// LeaseEnd returns when the lease ends; 0 = none was granted under this token.
func (h *Holder) LeaseEnd() time.Duration { return h.leaseEnd }
