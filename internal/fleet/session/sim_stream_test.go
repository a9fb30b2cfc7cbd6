package session

import "time"

// stream carries the messages of one session, in order in each direction, like a TCP connection: data sent while
// the path is blocked waits until it is restored.
type stream struct {
	world        *world
	id           uint64
	attempt      uint64
	client       *simClient
	node         *simNode
	toNodePipe   pipe
	toClientPipe pipe
	openAtNode   bool
	closed       bool // one end has closed the stream; the other end is notified in time
}

// pipe is one direction of a stream.
type pipe struct {
	world         *world
	from, to      int // indexes of endpoints
	receiver      *process
	queue         []packet
	pumpScheduled bool // a call of pump is scheduled
}

type packet struct {
	readyAt time.Duration
	deliver func()
}

func (p *pipe) send(delay time.Duration, deliver func()) {
	ready := p.world.now + delay
	if n := len(p.queue); n > 0 {
		ready = max(ready, p.queue[n-1].readyAt)
	}
	p.queue = append(p.queue, packet{ready, deliver})
	p.schedulePump(ready)
}

func (p *pipe) schedulePump(until time.Duration) {
	if p.pumpScheduled {
		return
	}
	p.pumpScheduled = true
	p.world.after(max(0, until-p.world.now), func() {
		p.pumpScheduled = false
		p.pump()
	})
}

func (p *pipe) pump() {
	for len(p.queue) > 0 {
		head := p.queue[0]
		switch {
		case head.readyAt > p.world.now:
			p.schedulePump(head.readyAt)
			return
		case p.world.blocked[p.from][p.to]:
			p.schedulePump(p.world.now + 100*time.Millisecond) // retransmission
			return
		}
		p.queue = p.queue[1:]
		p.receiver.exec(head.deliver)
	}
}

// connect opens a stream for a client's attempt if the node responds.
func (w *world) connect(c *simClient, attempt uint64, node int) {
	n := w.nodes[node]
	refused := func() {
		w.after(w.randomDelay(), func() {
			if !w.blocked[n.endpoint][c.endpoint] {
				c.exec(func() { c.perform(c.client.Disconnected(attempt, "refused", c.clock())) })
			}
		})
	}
	w.after(w.randomDelay(), func() {
		if w.blocked[c.endpoint][n.endpoint] {
			return
		}
		if n.dead {
			refused()
			return
		}
		w.lastStreamID++
		s := &stream{world: w, id: w.lastStreamID, attempt: attempt, client: c, node: n, openAtNode: true}
		s.toNodePipe = pipe{world: w, from: c.endpoint, to: n.endpoint, receiver: &n.process}
		s.toClientPipe = pipe{world: w, from: n.endpoint, to: c.endpoint, receiver: &c.process}
		n.exec(func() { // the handshake waits while the process is stopped
			n.streams[s.id] = s
			s.toClientPipe.send(w.randomDelay(), func() {
				if c.currentAttempt != attempt {
					s.closedByClient()
					return
				}
				c.stream = s
				c.perform(c.client.Connected(attempt, c.clock()))
			})
		})
	})
}

// toNode sends a client's message.
func (s *stream) toNode(m FromServer) {
	s.toNodePipe.send(s.world.randomDelay(), func() {
		if s.openAtNode {
			s.node.receive(s, m)
		}
	})
}

// toClient sends a node's message.
func (s *stream) toClient(m FromNode) {
	s.toClientPipe.send(s.world.randomDelay(), func() { s.client.receive(s, m) })
}

// closedByClient closes the stream and notifies the node.
func (s *stream) closedByClient() {
	if s.closed {
		return
	}
	s.closed = true
	s.toNodePipe.send(s.world.randomDelay(), func() { s.node.forget(s) })
}

// closedByNode closes the stream and notifies the client.
func (s *stream) closedByNode(reason string) {
	if s.closed {
		return
	}
	s.closed = true
	c := s.client
	s.toClientPipe.send(s.world.randomDelay(), func() {
		if c.stream == s {
			c.stream = nil
			c.perform(c.client.Disconnected(s.attempt, reason, c.clock()))
		}
	})
}
