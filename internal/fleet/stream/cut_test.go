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
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/fleet/watch"
)

// A server's session over a real stream: a welcome, a snapshot of three documents, then three updates with
// acknowledgements between them, where each update waits until the server has received the one before it. In turn the
// first connection is cut after every number of bytes, in each direction, and the server opens the session again. The
// server has to receive each change once and in order, to end with the node's digest, and to leave no goroutine
// behind.
func TestSessionCutAtEveryByte(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	for _, direction := range []direction{toServer, toNode} {
		fullLength, cuts := runCutSession(t, cut{direction, unlimited}, "1").bytes, 0
		for bytes := range fullLength + 1 { // a session may have fewer bytes: one acknowledgement may answer several heartbeats
			if runCutSession(t, cut{direction, bytes}, "1").cut {
				cuts++
			}
		}
		t.Logf("%v: %d of %d sessions were cut", direction, cuts, fullLength+1)
		if cuts < fullLength/2 {
			t.Errorf("%v: only %d of %d sessions were cut", direction, cuts, fullLength+1)
		}
	}
}

// The same with documents so large that the snapshot is split, one document in each part. The cuts are inside each
// part and near its ends.
func TestSessionCutInEachPartOfSnapshot(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const size, step = 40 << 10, 10 << 10
	value := strings.Repeat("v", size)
	for bytes := step; ; bytes += step {
		if !runCutSession(t, cut{toServer, bytes}, value).cut {
			if bytes < 5*size { // three parts, and two updates with values
				t.Errorf("a session had fewer than %d bytes", bytes)
			}
			return
		}
	}
}

// direction is the direction in which bytes are sent.
type direction int

const (
	toServer direction = iota
	toNode
)

// String implements fmt.Stringer.
func (d direction) String() string { return [...]string{"to the server", "to the node"}[d] }

// cut says after how many bytes of a direction the first connection is closed.
type cut struct {
	direction direction
	bytes     int
}

// unlimited is more bytes than a session sends.
const unlimited = 1 << 30

// cuttingProxy forwards connections to a node, and cuts the first one.
type cuttingProxy struct {
	listener net.Listener
	target   string
	cut      cut
	running  sync.WaitGroup

	mu          sync.Mutex
	conns       []net.Conn
	bytesPassed int // bytes of the first connection in the direction of the cut
}

func newCuttingProxy(t *testing.T, target string, cut cut) *cuttingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &cuttingProxy{listener: listener, target: target, cut: cut}
	r.running.Go(func() {
		for limit := cut.bytes; ; limit = unlimited {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			r.forward(from, limit)
		}
	})
	return r
}

// forward starts to forward a connection. At most limit bytes pass in the direction of the cut.
func (r *cuttingProxy) forward(from net.Conn, limit int) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		from.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, from, to)
	first := len(r.conns) == 2
	r.mu.Unlock()
	copyUpTo := func(dst, src net.Conn, limit int, counted bool) {
		defer from.Close()
		defer to.Close()
		n, _ := io.Copy(dst, io.LimitReader(src, int64(limit)))
		if counted {
			r.mu.Lock()
			r.bytesPassed = int(n)
			r.mu.Unlock()
		}
	}
	limits := [...]int{toServer: unlimited, toNode: unlimited}
	limits[r.cut.direction] = limit
	r.running.Go(func() { copyUpTo(from, to, limits[toServer], first && r.cut.direction == toServer) })
	r.running.Go(func() { copyUpTo(to, from, limits[toNode], first && r.cut.direction == toNode) })
}

// close closes all connections, and returns the number of bytes that passed on the first one in the direction of the
// cut.
func (r *cuttingProxy) close() int {
	r.listener.Close()
	r.mu.Lock()
	for _, conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
	return r.bytesPassed
}

// tableNode is a control node with a session table and a history behind a real stream. Its clock advances with each
// heartbeat, so that each heartbeat is acknowledged at once.
type tableNode struct {
	mu      sync.Mutex
	changed *sync.Cond
	history *watch.History
	table   *session.Table
	now     time.Duration
	lastID  uint64
	ended   map[uint64]bool // sessions that have ended
	applied uint64          // the revision in the newest heartbeat
	failed  error
}

func newTableNode() *tableNode {
	n := &tableNode{history: watch.NewHistory(watch.Limits{Bytes: 1 << 20, Updates: 1 << 10}), ended: map[uint64]bool{}}
	n.changed = sync.NewCond(&n.mu)
	n.table = session.NewTable(session.TableOptions{Node: "c1", Fleet: 7, MaxSessions: 4, OpensPerSecond: 1000, OpensBurst: 1000, MaxSnapshots: 4, DrainPerSecond: 1}, n.history)
	return n
}

// accept handles one session.
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
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		n.read(id, s)
	}()
	n.write(id, s)
	s.CloseRead()
	<-readerDone
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.ConnectionClosed(id, n.now)
}

func (n *tableNode) open(hello *session.Hello) (uint64, *session.Refusal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	replaced, refusal := n.table.Open(n.lastID, *hello, 0, n.now)
	for _, e := range replaced {
		n.ended[e.ID] = true
	}
	n.changed.Broadcast()
	return n.lastID, refusal
}

// read processes the heartbeats of a session until it ends.
func (n *tableNode) read(id uint64, s *stream.Session) {
	for {
		message, err := s.Receive()
		n.mu.Lock()
		if err != nil || message.Heartbeat == nil {
			n.ended[id] = true
			n.changed.Broadcast()
			n.mu.Unlock()
			return
		}
		switch _, err := n.table.Heartbeat(id, *message.Heartbeat, n.now); {
		case err == nil:
			n.applied = message.Heartbeat.Applied
		case !errors.Is(err, session.ErrUnknown): // a newer session has replaced this one
			n.failed = err
		}
		n.now += session.MaxAckDelay
		n.changed.Broadcast()
		n.mu.Unlock()
	}
}

// write sends the table's messages for a session until it ends.
func (n *tableNode) write(id uint64, s *stream.Session) {
	for {
		message, ok := n.next(id)
		if !ok || s.Send(&message) != nil {
			return
		}
		n.mu.Lock()
		n.table.MessageWritten(id)
		n.mu.Unlock()
	}
}

// next waits for the next message of a session; false = the session has ended.
func (n *tableNode) next(id uint64) (session.FromNode, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.ended[id] {
		if message, ok := n.table.Next(id, n.now); ok {
			return message, true
		}
		n.changed.Wait()
	}
	return session.FromNode{}, false
}

// change changes the history, which then is at the given revision.
func (n *tableNode) change(revision uint64, edit func(*watch.History)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit(n.history)
	n.history.Advance(revision)
	n.changed.Broadcast()
}

// hasApplied reports whether the server has told the node that it has applied a revision.
func (n *tableNode) hasApplied(revision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied == revision
}

// digest returns the digest of a view which a reader in this process builds.
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

// Revisions of the history: a snapshot at firstRevision, then one update each.
const (
	firstRevision = 10
	lastRevision  = 13
)

func document(name string) string { return session.ConfigurationPrefix + name }

// putSnapshot puts the documents of the snapshot into the history.
func (n *tableNode) putSnapshot(value string) {
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

// maxConnections is the number of connections that a session may need.
const maxConnections = 3

// allChanges are the changes that a server has to receive.
var allChanges = []string{"1 a", "2 b", "3 c", "11 d", "12 b", "13 a deleted"}

// sessionResult is the result of a session.
type sessionResult struct {
	cut   bool // whether the first connection was cut
	bytes int  // of the first connection, in the direction of the cut
}

// runCutSession runs a session whose first connection is cut, to its end.
func runCutSession(t *testing.T, cut cut, value string) sessionResult {
	t.Helper()
	node := newTableNode()
	node.putSnapshot(value)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	server := &stream.Server{ReadTimeout: time.Minute, MaxSessions: 4, Meter: &stream.Meter{}, Log: slog.New(slog.DiscardHandler), Accept: node.accept}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(ctx, listener)
	}()
	proxy := newCuttingProxy(t, listener.Addr().String(), cut)
	s := newAppServer(t, node, proxy.listener.Addr().String(), value)
	s.run(ctx)
	bytes := proxy.close()
	stop()
	<-done
	if node.failed != nil {
		t.Errorf("%v, cut after %d bytes: %v", cut.direction, cut.bytes, node.failed)
	}
	if !slices.Equal(s.received, allChanges) {
		t.Errorf("%v, cut after %d bytes: received %v, want %v", cut.direction, cut.bytes, s.received, allChanges)
	}
	if got, want := s.client.View().Digest(session.ConfigurationPrefix), node.digest(t); got != want {
		t.Errorf("%v, cut after %d bytes: digest %x, want the node's %x", cut.direction, cut.bytes, got, want)
	}
	wasCut := bytes == cut.bytes
	if !wasCut && s.connections != 1 || wasCut && s.connections > 2 {
		t.Errorf("%v, cut after %d bytes, %d passed: %d connections, ended with %q", cut.direction, cut.bytes, bytes, s.connections, s.disconnects)
	}
	return sessionResult{cut: wasCut, bytes: bytes}
}

// appServer is an app server with virtual time, which advances when it has to wait.
type appServer struct {
	t           *testing.T
	node        *tableNode
	addr        string
	value       string
	dialer      *stream.Dialer
	client      *session.Client
	now         time.Duration
	conn        *stream.Conn // nil = not connected
	attempt     uint64
	connections int // connections that were made or tried
	received    []string
	disconnects []string // why connections ended, for the message of a test that fails
	done        bool
}

func newAppServer(t *testing.T, node *tableNode, addr, value string) *appServer {
	t.Helper()
	client, err := session.NewClient(session.ClientOptions{Server: "app-1", Zone: "a", Incarnation: 1, Nodes: []string{"c1"}, Terms: lease.ControlTierTerms, Seed: 1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &appServer{t: t, node: node, addr: addr, value: value, dialer: &stream.Dialer{Meter: &stream.Meter{}}, client: client}
}

// run runs the session until the node has acknowledged that the last revision is applied.
func (s *appServer) run(ctx context.Context) {
	s.t.Helper()
	for !s.done {
		if s.conn == nil {
			s.tick(ctx, 100*time.Millisecond)
			continue
		}
		message, err := s.conn.Receive()
		if err != nil {
			s.disconnect(err)
			continue
		}
		result, err := s.client.Receive(s.attempt, *message, s.now)
		if err != nil {
			s.t.Fatal(err)
		}
		s.do(ctx, result.Actions)
		s.record(result.Changed)
		s.proceed(ctx, message)
	}
	s.conn.Close()
}

// tick advances the time.
func (s *appServer) tick(ctx context.Context, by time.Duration) {
	s.now += by
	local := session.LocalState{Report: maintenance.Report{Warm: true}, Applied: s.client.View().Revision()}
	s.do(ctx, s.client.Tick(s.now, local))
}

// proceed has the next update made once the server has all earlier ones, and reports to the node which revision is
// applied.
func (s *appServer) proceed(ctx context.Context, message *session.FromNode) {
	revision := s.client.View().Revision()
	switch {
	case message.Batch != nil:
		s.tick(ctx, session.MinHeartbeatInterval)
		if revision >= firstRevision && revision < lastRevision {
			s.node.update(revision+1, s.value)
		}
	case message.Ack != nil:
		s.done = s.conn != nil && revision == lastRevision && s.node.hasApplied(lastRevision)
	}
}

func (s *appServer) record(changed []watch.Update) {
	for _, u := range changed {
		text := fmt.Sprint(u.Revision, " ", strings.TrimPrefix(u.Key, session.ConfigurationPrefix))
		if u.Deleted {
			text += " deleted"
		}
		s.received = append(s.received, text)
	}
}

// do carries out the client's actions.
func (s *appServer) do(ctx context.Context, actions []session.Action) {
	for _, action := range actions {
		switch {
		case action.Connect != nil:
			s.connect(ctx, action.Connect)
		case action.Send != nil && s.conn != nil:
			if err := s.conn.Send(&action.Send.Message); err != nil {
				s.disconnect(err)
			}
		case action.Close != nil && s.conn != nil:
			s.conn.Close()
			s.conn = nil
		}
	}
}

func (s *appServer) connect(ctx context.Context, connect *session.Connect) {
	s.connections++
	if s.connections > maxConnections {
		s.t.Fatalf("received %v after %d connections, which ended with %q", s.received, maxConnections, s.disconnects)
	}
	s.attempt = connect.Attempt
	conn, err := s.dialer.Dial(ctx, connect.Node, s.addr)
	if err != nil {
		s.disconnects = append(s.disconnects, fmt.Sprint("dial: ", err))
		s.client.Disconnected(s.attempt, err.Error(), s.now)
		return
	}
	s.conn = conn
	s.do(ctx, s.client.Connected(s.attempt, s.now))
}

// disconnect closes the connection after an error.
func (s *appServer) disconnect(err error) {
	s.disconnects = append(s.disconnects, fmt.Sprint(err, " state ", s.client.State(), " received ", s.received, " revision ", s.client.View().Revision()))
	s.conn.Close()
	s.conn = nil
	s.client.Disconnected(s.attempt, err.Error(), s.now)
}
