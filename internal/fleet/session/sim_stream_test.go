package session

import "time"

// stream carries the messages of one session, in order in each direction, as a connection of TCP: what is sent into a cut waits until
// the cut is healed.
type stream struct {
	world   *world
	id      uint64
	attempt uint64
	client  *simClient
	node    *simNode
	up      pipe // to the node
	down    pipe
	atNode  bool // the node has it open
	over    bool // one end has closed it, and the other was told or will be
}

// pipe is one direction of a stream.
type pipe struct {
	world    *world
	from, to int // endpoints
	receiver *process
	queue    []packet
	waiting  bool // for the moment at which to look at the queue again
}

type packet struct {
	ready   time.Duration
	deliver func()
}

func (p *pipe) send(delay time.Duration, deliver func()) {
	ready := p.world.now + delay
	if n := len(p.queue); n > 0 {
		ready = max(ready, p.queue[n-1].ready)
	}
	p.queue = append(p.queue, packet{ready, deliver})
	p.wait(ready)
}

func (p *pipe) wait(until time.Duration) {
	if p.waiting {
		return
	}
	p.waiting = true
	p.world.after(max(0, until-p.world.now), func() {
		p.waiting = false
		p.pump()
	})
}

func (p *pipe) pump() {
	for len(p.queue) > 0 {
		head := p.queue[0]
		switch {
		case head.ready > p.world.now:
			p.wait(head.ready)
			return
		case p.world.cut[p.from][p.to]:
			p.wait(p.world.now + 100*time.Millisecond) // sent again
			return
		}
		p.queue = p.queue[1:]
		p.receiver.do(head.deliver)
	}
}

// connect makes a stream of a client's attempt, if the node answers.
func (w *world) connect(c *simClient, attempt uint64, node int) {
	n := w.nodes[node]
	refused := func() {
		w.after(w.delay(), func() {
			if !w.cut[n.endpoint][c.endpoint] {
				c.do(func() { c.act(c.client.Disconnected(attempt, "refused", c.clock())) })
			}
		})
	}
	w.after(w.delay(), func() {
		if w.cut[c.endpoint][n.endpoint] {
			return
		}
		if n.dead {
			refused()
			return
		}
		w.streams++
		s := &stream{world: w, id: w.streams, attempt: attempt, client: c, node: n, atNode: true}
		s.up = pipe{world: w, from: c.endpoint, to: n.endpoint, receiver: &n.process}
		s.down = pipe{world: w, from: n.endpoint, to: c.endpoint, receiver: &c.process}
		n.do(func() { // a stopped process's handshake waits
			n.streams[s.id] = s
			s.down.send(w.delay(), func() {
				if c.attempting != attempt {
					s.closedByClient()
					return
				}
				c.stream = s
				c.act(c.client.Connected(attempt, c.clock()))
			})
		})
	})
}

// toNode sends a client's message.
func (s *stream) toNode(m FromServer) {
	s.up.send(s.world.delay(), func() {
		if s.atNode {
			s.node.receive(s, m)
		}
	})
}

// toClient sends a node's message.
func (s *stream) toClient(m FromNode) {
	s.down.send(s.world.delay(), func() { s.client.receive(s, m) })
}

// closedByClient tells the node.
func (s *stream) closedByClient() {
	if s.over {
		return
	}
	s.over = true
	s.up.send(s.world.delay(), func() { s.node.forget(s) })
}

// closedByNode tells the client.
func (s *stream) closedByNode(reason string) {
	if s.over {
		return
	}
	s.over = true
	c := s.client
	s.down.send(s.world.delay(), func() {
		if c.stream == s {
			c.stream = nil
			c.act(c.client.Disconnected(s.attempt, reason, c.clock()))
		}
	})
}
