package core

import "hash/maphash"

// The stage "admit": what cannot become a request is answered here, unseen by the controller.

func (c *Core) admit(r *request) {
	switch {
	case c.byHandle[r.Handle] != nil || c.recent.has(r.Handle):
		c.turnAway(r, Invalid, "the id is in use")
	case c.shutWhy() != "":
		c.turnAway(r, Refused, c.shutWhy())
	case c.strange(r.session):
		c.turnAway(r, Refused, "too many requests came to nothing here")
	case c.site.Keyed(r.Class):
		c.register(r)
		c.routeKeyed(r)
	default:
		c.register(r)
		c.enter(r, 0)
	}
}

// shutWhy tells why nothing is taken in, whoever asks; "" = it is.
func (c *Core) shutWhy() string {
	switch {
	case c.ctl == nil || c.over:
		return "the worker pool is not up"
	case c.ending:
		return "the server ends"
	case c.books != nil && !c.books.Ready():
		return "the ledger cannot be written"
	case len(c.byHandle) >= c.site.Bounds.Open:
		return "too many requests in hand"
	}
	return ""
}

// register makes a request known by its handle.
func (c *Core) register(r *request) {
	c.byHandle[r.Handle] = r
	c.recent.add(r.Handle)
	c.changed()
}

// strange tells that much on a connection came to nothing. Guards the controller's view of its load against
// a client that asks again as soon as it is turned away, or takes back all that it asks for. Harm: in a deep
// overload a balancer's connection is made anew now and then.
func (c *Core) strange(x *session) bool { return !x.once && x.idled >= maxIdle }

// turnAway answers a request that nothing else knows.
func (c *Core) turnAway(r *request, k Kind, why string) {
	r.state = ended
	c.answer(r, Answer{Kind: k, Why: why, Away: c.site.Control.MaxAdvice})
	c.enterUse(r)
}

const maxRecent = 8192

// recent remembers handles of late, up to twice maxRecent, as sums of 8 bytes. Guards against a request
// under the handle of one that is over: the worker pool would take it for that one.
type recent struct {
	seed     maphash.Seed
	now, old map[uint64]struct{}
}

func (s *recent) has(handle string) bool {
	if s.now == nil {
		return false
	}
	h := maphash.String(s.seed, handle)
	_, now := s.now[h]
	_, old := s.old[h]
	return now || old
}

func (s *recent) add(handle string) {
	if s.now == nil {
		s.seed, s.now = maphash.MakeSeed(), map[uint64]struct{}{}
	}
	if len(s.now) >= maxRecent {
		s.now, s.old = map[uint64]struct{}{}, s.now
	}
	s.now[maphash.String(s.seed, handle)] = struct{}{}
}
