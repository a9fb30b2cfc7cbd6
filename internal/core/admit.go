package core

// The stage "admit": what cannot become a request is answered here, unseen by the controller.

func (c *Core) admit(r *request) {
	switch {
	case c.byHandle[r.Handle] != nil:
		c.turnAway(r, Invalid, "the id is in use")
	case c.ctl == nil || c.over:
		c.turnAway(r, Refused, "the worker pool is not up")
	case len(c.byHandle) >= maxOpen:
		c.turnAway(r, Refused, "too many requests in hand")
	case c.site.Keyed(r.Class):
		c.byHandle[r.Handle] = r
		c.routeKeyed(r)
	default:
		c.byHandle[r.Handle] = r
		c.enter(r, 0)
	}
}

// turnAway answers a request that nothing else knows.
func (c *Core) turnAway(r *request, k Kind, why string) {
	r.state = ended
	c.answer(r, Answer{Kind: k, Why: why, Away: c.site.Control.MaxAdvice})
}
