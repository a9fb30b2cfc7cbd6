package stream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/watch"
)

// A session of one server over a real stream: welcome, a snapshot of three documents, then three updates, each put once the
// server has all before it, with acknowledgements between them. The first connection is cut after every number of bytes in
// turn, of each direction; the server opens again. It is told of each change once and in order, has the node's digest at the
// end, and no goroutine is left.
func TestASessionCutAtEveryByte(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	for _, direction := range []direction{toServer, toNode} {
		whole, cuts := playCut(t, cut{direction, endless}, "1").bytes, 0
		for bytes := range whole + 1 { // a session may have less: acknowledgements go for one heartbeat or for several
			if playCut(t, cut{direction, bytes}, "1").cut {
				cuts++
			}
		}
		t.Logf("%v: %d of %d sessions were cut", direction, cuts, whole+1)
		if cuts < whole/2 {
			t.Errorf("%v: only %d of %d sessions were cut", direction, cuts, whole+1)
		}
	}
}

// The same with documents so large that each goes in a part of its own, cut inside each part and at about its ends.
func TestASessionCutInEachPartOfASnapshot(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const size, step = 40 << 10, 10 << 10
	value := strings.Repeat("v", size)
	for bytes := step; ; bytes += step {
		if !playCut(t, cut{toServer, bytes}, value).cut {
			if bytes < 5*size { // three parts, and two updates with values
				t.Errorf("a session had less than %d bytes", bytes)
			}
			return
		}
	}
}

// direction is where bytes go.
type direction int

const (
	toServer direction = iota
	toNode
)

// String implements fmt.Stringer.
func (d direction) String() string { return [...]string{"to the server", "to the node"}[d] }

// cut says after how many bytes of a direction the first connection ends.
type cut struct {
	direction direction
	bytes     int
}

// endless is more bytes than a session has.
const endless = 1 << 30

// relay carries connections to a node, and cuts the first.
type relay struct {
	in      net.Listener
	target  string
	cut     cut
	running sync.WaitGroup

	mu     sync.Mutex
	open   []net.Conn
	copied int // bytes of the first connection in the direction of the cut
}

func newRelay(t *testing.T, target string, cut cut) *relay {
	t.Helper()
	in, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{in: in, target: target, cut: cut}
	r.running.Go(func() {
		for limit := cut.bytes; ; limit = endless {
			from, err := in.Accept()
			if err != nil {
				return
			}
			r.carry(from, limit)
		}
	})
	return r
}

// carry begins to carry a connection, of which so many bytes pass in the direction of the cut.
func (r *relay) carry(from net.Conn, limit int) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		from.Close()
		return
	}
	r.mu.Lock()
	r.open = append(r.open, from, to)
	first := len(r.open) == 2
	r.mu.Unlock()
	pass := func(dst, src net.Conn, limit int, counted bool) {
		defer from.Close()
		defer to.Close()
		n, _ := io.Copy(dst, io.LimitReader(src, int64(limit)))
		if counted {
			r.mu.Lock()
			r.copied = int(n)
			r.mu.Unlock()
		}
	}
	limits := [...]int{toServer: endless, toNode: endless}
	limits[r.cut.direction] = limit
	r.running.Go(func() { pass(from, to, limits[toServer], first && r.cut.direction == toServer) })
	r.running.Go(func() { pass(to, from, limits[toNode], first && r.cut.direction == toNode) })
}

// close ends all connections, and returns how many bytes the first had.
func (r *relay) close() int {
	r.in.Close()
	r.mu.Lock()
	for _, conn := range r.open {
		conn.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
	return r.copied
}

// tableNode is a control node's table and history behind a stream. Its time passes with each heartbeat, so that each is
// acknowledged at once.
type tableNode struct {
	mu      sync.Mutex
	changed *sync.Cond
	history *watch.History
	table   *session.Table
	now     time.Duration
	lastID  uint64
	over    map[uint64]bool // sessions that have ended
	applied uint64          // as the newest heartbeat had it
	failed  error
}

func newTableNode() *tableNode {
	n := &tableNode{history: watch.NewHistory(watch.Limits{Bytes: 1 << 20, Updates: 1 << 10}), over: map[uint64]bool{}}
	n.changed = sync.NewCond(&n.mu)
	n.table = session.NewTable(session.TableOptions{Node: "c1", Fleet: 7, MaxSessions: 4, OpensPerSecond: 1000, OpensBurst: 1000, MaxSnapshots: 4, DrainPerSecond: 1}, n.history)
	return n
}

// accept carries out one session.
func (n *tableNode) accept(s *stream.Session) {
	first, err := s.Receive()
	if err != nil || first.Hello == nil {
		return
	}
	id, refusal := n.open(first.Hello)
	if refusal != nil {
		s.Send(&session.FromNode{Refusal: refusal})
		return
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		n.read(id, s)
	}()
	n.write(id, s)
	s.CloseRead()
	<-gone
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Closed(id, n.now)
}

func (n *tableNode) open(hello *session.Hello) (uint64, *session.Refusal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	ended, refusal := n.table.Open(n.lastID, *hello, 0, n.now)
	for _, e := range ended {
		n.over[e.ID] = true
	}
	n.changed.Broadcast()
	return n.lastID, refusal
}

// read takes the heartbeats of a session until it ends.
func (n *tableNode) read(id uint64, s *stream.Session) {
	for {
		message, err := s.Receive()
		n.mu.Lock()
		if err != nil || message.Heartbeat == nil {
			n.over[id] = true
			n.changed.Broadcast()
			n.mu.Unlock()
			return
		}
		switch _, err := n.table.Heartbeat(id, *message.Heartbeat, n.now); {
		case err == nil:
			n.applied = message.Heartbeat.Applied
		case !errors.Is(err, session.ErrUnknown): // a newer session has taken the place of this one
			n.failed = err
		}
		n.now += session.AckWithin
		n.changed.Broadcast()
		n.mu.Unlock()
	}
}

// write sends what the table has for a session until it ends.
func (n *tableNode) write(id uint64, s *stream.Session) {
	for {
		message, ok := n.next(id)
		if !ok || s.Send(&message) != nil {
			return
		}
		n.mu.Lock()
		n.table.Written(id)
		n.mu.Unlock()
	}
}

// next waits for the next message of a session; false = it has ended.
func (n *tableNode) next(id uint64) (session.FromNode, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.over[id] {
		if message, ok := n.table.Next(id, n.now); ok {
			return message, true
		}
		n.changed.Wait()
	}
	return session.FromNode{}, false
}

// change changes the history, as of a revision.
func (n *tableNode) change(revision uint64, do func(*watch.History)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.history)
	n.history.Advance(revision)
	n.changed.Broadcast()
}

// knows reports whether the node was told that a revision is in force.
func (n *tableNode) knows(revision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied == revision
}

// digest is that of a copy which a reader in this process makes.
func (n *tableNode) digest(t *testing.T) uint64 {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	view := watch.NewView()
	reader := n.history.NewReader(watch.Interest{Prefixes: []string{session.ConfigurationPrefix}}, 0)
	for batch, ok := reader.Next(session.MaxBatch); ok; batch, ok = reader.Next(session.MaxBatch) {
		if _, err := view.Apply(batch); err != nil {
			t.Fatal(err)
		}
	}
	return view.Digest(session.ConfigurationPrefix)
}

// The revisions of the history: a snapshot as of firstRevision, then an update each.
const (
	firstRevision = 10
	lastRevision  = 13
)

func document(name string) string { return session.ConfigurationPrefix + name }

// begin gives the history what the snapshot has.
func (n *tableNode) begin(value string) {
	n.change(firstRevision, func(h *watch.History) {
		h.Reset(firstRevision)
		for i, name := range []string{"a", "b", "c"} {
			h.Put(uint64(i+1), document(name), []byte(value))
		}
	})
}

// update makes the change of a revision after the first.
func (n *tableNode) update(revision uint64, value string) {
	n.change(revision, func(h *watch.History) {
		switch revision {
		case 11:
			h.Put(revision, document("d"), []byte(value))
		case 12:
			h.Put(revision, document("b"), []byte(value+"2"))
		case lastRevision:
			h.Delete(revision, document("a"))
		}
	})
}

// maxAttempts is how many connections a session may need before its test fails.
const maxAttempts = 3

// allChanges are all changes that a server has to be told of.
var allChanges = []string{"1 a", "2 b", "3 c", "11 d", "12 b", "13 a deleted"}

// played is what became of a session.
type played struct {
	cut   bool // the first connection was
	bytes int  // of the first connection, in the direction of the cut
}

// playCut plays a session whose first connection is cut, to its end.
func playCut(t *testing.T, cut cut, value string) played {
	t.Helper()
	node := newTableNode()
	node.begin(value)
	in, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	server := &stream.Server{Silence: time.Minute, MaxSessions: 4, Meter: &stream.Meter{}, Log: slog.New(slog.DiscardHandler), Accept: node.accept}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(ctx, in)
	}()
	way := newRelay(t, in.Addr().String(), cut)
	p := newPlayer(t, node, way.in.Addr().String(), value)
	p.play(ctx)
	bytes := way.close()
	stop()
	<-done
	if node.failed != nil {
		t.Errorf("%v, cut after %d bytes: %v", cut.direction, cut.bytes, node.failed)
	}
	if !slices.Equal(p.told, allChanges) {
		t.Errorf("%v, cut after %d bytes: told %v, want %v", cut.direction, cut.bytes, p.told, allChanges)
	}
	if is, want := p.client.View().Digest(session.ConfigurationPrefix), node.digest(t); is != want {
		t.Errorf("%v, cut after %d bytes: digest %x, the node's is %x", cut.direction, cut.bytes, is, want)
	}
	wasCut := bytes == cut.bytes
	if !wasCut && p.attempts != 1 || wasCut && p.attempts > 2 {
		t.Errorf("%v, cut after %d bytes, of %d: %d connections, lost %q", cut.direction, cut.bytes, bytes, p.attempts, p.losses)
	}
	return played{cut: wasCut, bytes: bytes}
}

// player is an app server whose time passes where it has to wait.
type player struct {
	t        *testing.T
	node     *tableNode
	addr     string
	value    string
	dialer   *stream.Dialer
	client   *session.Client
	now      time.Duration
	conn     *stream.Conn // nil = none
	attempt  uint64
	attempts int // at which a connection was made, or begun
	told     []string
	losses   []string // why connections ended, for a test that fails
	over     bool
}

func newPlayer(t *testing.T, node *tableNode, addr, value string) *player {
	t.Helper()
	client, err := session.NewClient(session.ClientOptions{Server: "app-1", Zone: "a", Incarnation: 1, Nodes: []string{"c1"}, Terms: lease.ControlTierTerms, Seed: 1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &player{t: t, node: node, addr: addr, value: value, dialer: &stream.Dialer{Meter: &stream.Meter{}}, client: client}
}

// play goes on until the node has acknowledged that all is in force.
func (p *player) play(ctx context.Context) {
	p.t.Helper()
	for !p.over {
		if p.conn == nil {
			p.tick(ctx, 100*time.Millisecond)
			continue
		}
		message, err := p.conn.Receive()
		if err != nil {
			p.lose(err)
			continue
		}
		received, err := p.client.Receive(p.attempt, *message, p.now)
		if err != nil {
			p.t.Fatal(err)
		}
		p.do(ctx, received.Actions)
		p.note(received.Changed)
		p.goOn(ctx, message)
	}
	p.conn.Close()
}

// tick has time pass.
func (p *player) tick(ctx context.Context, by time.Duration) {
	p.now += by
	local := session.Local{Report: takeout.Report{Warm: true}, Applied: p.client.View().Revision()}
	p.do(ctx, p.client.Tick(p.now, local))
}

// goOn has the next update made once the server has all before it, and tells the node what is in force.
func (p *player) goOn(ctx context.Context, message *session.FromNode) {
	at := p.client.View().Revision()
	switch {
	case message.Batch != nil:
		p.tick(ctx, session.PromptHeartbeat)
		if at >= firstRevision && at < lastRevision {
			p.node.update(at+1, p.value)
		}
	case message.Ack != nil:
		p.over = p.conn != nil && at == lastRevision && p.node.knows(lastRevision)
	}
}

func (p *player) note(changed []watch.Update) {
	for _, u := range changed {
		text := fmt.Sprint(u.Revision, " ", strings.TrimPrefix(u.Key, session.ConfigurationPrefix))
		if u.Deleted {
			text += " deleted"
		}
		p.told = append(p.told, text)
	}
}

// do carries out what the client decided.
func (p *player) do(ctx context.Context, actions []session.Action) {
	for _, action := range actions {
		switch {
		case action.Connect != nil:
			p.connect(ctx, action.Connect)
		case action.Send != nil && p.conn != nil:
			if err := p.conn.Send(&action.Send.Message); err != nil {
				p.lose(err)
			}
		case action.Close != nil && p.conn != nil:
			p.conn.Close()
			p.conn = nil
		}
	}
}

func (p *player) connect(ctx context.Context, connect *session.Connect) {
	p.attempts++
	if p.attempts > maxAttempts {
		p.t.Fatalf("told %v after %d connections, lost %q", p.told, maxAttempts, p.losses)
	}
	p.attempt = connect.Attempt
	conn, err := p.dialer.Dial(ctx, connect.Node, p.addr)
	if err != nil {
		p.losses = append(p.losses, fmt.Sprint("dial: ", err))
		p.client.Disconnected(p.attempt, err.Error(), p.now)
		return
	}
	p.conn = conn
	p.do(ctx, p.client.Connected(p.attempt, p.now))
}

// lose ends the connection.
func (p *player) lose(err error) {
	p.losses = append(p.losses, fmt.Sprint(err, " state ", p.client.State(), " told ", p.told, " rev ", p.client.View().Revision()))
	p.conn.Close()
	p.conn = nil
	p.client.Disconnected(p.attempt, err.Error(), p.now)
}
