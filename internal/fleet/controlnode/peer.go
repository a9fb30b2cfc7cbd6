package controlnode

import (
	"slices"
	"time"

	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
)

// readInterval is the least time between two messages that are read of a session: one that sends without pause waits.
const readInterval = 20 * time.Millisecond

// peer is one session's connection. The table's decisions reach it through its channels, each of which has room for all
// that can be on its way.
type peer struct {
	id      uint64
	hello   session.Hello
	stream  *stream.Session
	out     chan session.FromNode // to write; the table gives the next one once that is written
	refusal chan session.Refusal  // the last message
	taken   chan struct{}         // the loop has taken what was read: the next may be
	gone    chan struct{}         // closed when nothing more comes of the peer
	ended   chan struct{}         // closed when nothing more is written

	// Of the loop.
	joinedAt   time.Duration // when its server was last proposed as a member
	livedAt    time.Duration
	steppedAt  time.Duration
	steppedFor maintenance.Phase
}

// arrival is what a connection brings to the loop; one of the fields after peer is set.
type arrival struct {
	peer      *peer
	opens     bool
	heartbeat *session.Heartbeat
	written   bool
	closed    bool
}

// accept carries out one session. It is on the goroutine of the stream's request, which writes.
func (s *sessions) accept(opened *stream.Session) {
	select {
	case <-s.begun:
	case <-s.over:
		return
	}
	first, err := opened.Receive()
	if err != nil {
		return
	}
	if refusal := checkHello(opened, first.Hello, s.node.options.Members); refusal != nil {
		opened.Send(&session.FromNode{Refusal: refusal})
		return
	}
	p := &peer{id: s.lastID.Add(1), hello: *first.Hello, stream: opened, out: make(chan session.FromNode, 1), refusal: make(chan session.Refusal, 1),
		taken: make(chan struct{}, 1), gone: make(chan struct{}), ended: make(chan struct{})}
	s.connections.Add(1)
	defer s.connections.Add(-1)
	s.deliver(arrival{peer: p, opens: true})
	go p.read(s)
	p.write(s)
	close(p.ended)
	opened.CloseRead()
	<-p.gone
	s.deliver(arrival{peer: p, closed: true})
}

// checkHello returns why a connection's first message cannot open a session; nil = it can.
func checkHello(opened *stream.Session, hello *session.Hello, nodes []string) *session.Refusal {
	invalid := func(reason string) *session.Refusal {
		return &session.Refusal{Code: session.Invalid, Reason: reason[:min(len(reason), session.MaxReason)]}
	}
	switch {
	case hello == nil:
		return invalid("a session begins with who its server is")
	case hello.Server == "" || len(hello.Server) > limits.MaxName || len(hello.Zone) > limits.MaxName:
		return invalid("the names of server and zone have 1 to 64 bytes")
	case slices.Contains(nodes, hello.Server):
		return invalid("the server has the name of a control node")
	}
	if err := opened.Verify(hello.Server); err != nil {
		return invalid(err.Error())
	}
	return nil
}

// read brings the messages of a peer to the loop, one at a time.
func (p *peer) read(s *sessions) {
	defer close(p.gone)
	for {
		select {
		case <-p.taken:
		case <-p.ended:
			return
		}
		message, err := p.stream.Receive()
		if err != nil {
			return
		}
		if message.Heartbeat == nil {
			return
		}
		s.deliver(arrival{peer: p, heartbeat: message.Heartbeat})
		select {
		case <-time.After(readInterval):
		case <-p.ended:
			return
		}
	}
}

// write sends what the loop gives it, until the session is over.
func (p *peer) write(s *sessions) {
	for {
		select {
		case message := <-p.out:
			if p.stream.Send(&message) != nil {
				return
			}
			s.deliver(arrival{peer: p, written: true})
		case refusal := <-p.refusal:
			p.stream.Send(&session.FromNode{Refusal: &refusal})
			return
		case <-p.gone:
			return
		case <-s.over:
			p.stream.Send(&session.FromNode{Refusal: &session.Refusal{Code: session.NodeUnavailable, Reason: "the node ends"}})
			return
		}
	}
}

// refuse has the connection end with a refusal. A second one changes nothing.
func (p *peer) refuse(refusal session.Refusal) {
	select {
	case p.refusal <- refusal:
	default:
	}
}
