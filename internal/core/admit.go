package core

import "hash/maphash"

const requestOverheadBytes = 1 << 10 // of a request, without its body, token and handle

// Admission: requests that cannot be accepted are answered here, without the controller.

// admit accepts or rejects a request that has arrived.
func (c *Core) admit(r *request) {
	switch {
	case c.byHandle[r.Handle] != nil || c.recentHandles.has(r.Handle):
		c.reject(r, Invalid, "the id is in use")
	case c.refusalReason() != "":
		c.reject(r, Refused, c.refusalReason())
	case c.tooManyUnserved(r.session):
		c.reject(r, Refused, "too many requests came to nothing here")
	case c.site.Keyed(r.Class):
		c.register(r)
		c.routeKeyed(r)
	default:
		c.register(r)
		c.submit(r, 0)
	}
}

// refusalReason returns why no request is accepted at the moment; "" = requests are accepted.
func (c *Core) refusalReason() string {
	switch {
	case c.controller == nil || c.done:
		return "the worker pool is not up"
	case c.closingConnections:
		return "the server ends"
	case c.ledger != nil && !c.ledger.Ready():
		return "the ledger cannot be written"
	case len(c.byHandle)+len(c.pendingResults) >= c.site.Bounds.Open, c.openBytes >= c.site.Bounds.OpenBytes:
		return "too many requests in hand"
	}
	return ""
}

// register makes a request known by its handle.
func (c *Core) register(r *request) {
	c.byHandle[r.Handle] = r
	c.resize(r, requestOverheadBytes+len(r.Handle)+len(r.Token)+len(r.Body))
	c.recentHandles.add(r.Handle)
	c.metricsChanged()
}

// resize changes the accounted size of a request.
func (c *Core) resize(r *request, size int) {
	c.openBytes += size - r.size
	r.size = size
}

// tooManyUnserved reports whether too many consecutive requests on a connection were not served. It protects the
// controller's view of the load from a client that repeats a request as soon as it is refused, or cancels all that it
// sends. Cost: under heavy overload a balancer's connection is occasionally replaced.
func (c *Core) tooManyUnserved(sess *session) bool {
	return !sess.single && sess.unserved >= maxUnserved
}

// reject answers a request that the controller does not know, and removes it.
func (c *Core) reject(r *request, kind Kind, reason string) {
	c.answer(r, Answer{Kind: kind, Why: reason, RetryAfter: c.site.Control.MaxAdvice})
	c.retire(r)
}

const maxRecentHandles = 8192

// recentHandles remembers the 64-bit hashes of up to twice maxRecentHandles recent handles. It prevents a request
// from using the handle of one that is over: the worker pool would confuse the two.
type recentHandles struct {
	seed              maphash.Seed
	current, previous map[uint64]struct{}
}

func (s *recentHandles) has(handle string) bool {
	if s.current == nil {
		return false
	}
	h := maphash.String(s.seed, handle)
	_, inCurrent := s.current[h]
	_, inPrevious := s.previous[h]
	return inCurrent || inPrevious
}

func (s *recentHandles) add(handle string) {
	if s.current == nil {
		s.seed, s.current = maphash.MakeSeed(), map[uint64]struct{}{}
	}
	if len(s.current) >= maxRecentHandles {
		s.current, s.previous = map[uint64]struct{}{}, s.current
	}
	s.current[maphash.String(s.seed, handle)] = struct{}{}
}
