package sock

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// startServer starts a server on a real address that is stopped with the test.
func startServer(t *testing.T, limit int, handle func(net.Conn, *WriteQueue)) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, limit, &Budget{PerPeer: 1 << 20, Total: 1 << 24, Guaranteed: 1 << 10}, handle)
	go s.Serve()
	t.Cleanup(func() { s.Stop(time.Second) })
	return s, l.Addr().String()
}

// waitUntil polls ok and fails the test with problem after 10 s.
func waitUntil(t *testing.T, problem string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(problem)
		}
	}
}

// A connection is closed with unread input, before the peer has read the answer: a plain close would reset it and lose
// most of the answer. The peer reads only after everything has been written and the close has begun.
func TestCloseWithUnreadInputKeepsAnswer(t *testing.T) {
	answer := bytes.Repeat([]byte("x"), 400<<10)
	sent, begun := make(chan struct{}), make(chan *WriteQueue, 1)
	_, addr := startServer(t, 4, func(c net.Conn, q *WriteQueue) {
		c.(*net.TCPConn).SetWriteBuffer(1 << 20)
		<-sent
		io.ReadFull(c, make([]byte, 1)) // the rest stays unread
		q.Send(answer)
		q.Close()
		<-q.flushed
		begun <- q
	})
	c := dialAll(t, addr, 1)[0]
	c.(*net.TCPConn).SetReadBuffer(64 << 10)
	c.Write(make([]byte, 10<<10))
	close(sent)
	q := <-begun
	select { // a plain close would be done by now
	case <-q.Done():
	case <-time.After(50 * time.Millisecond):
	}
	c.Write([]byte("sent after the close began"))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, answer) {
		t.Errorf("read %d of %d bytes, error %v", len(got), len(answer), err)
	}
	c.Close()
	<-q.Done()
}

// Peers that never close do not hold slots: they linger for at most lingerTimeout, in at most an eighth of all slots.
func TestPeersThatNeverCloseReleaseSlots(t *testing.T) {
	s, addr := startServer(t, 16, func(_ net.Conn, q *WriteQueue) { q.Close() })
	start := time.Now()
	conns := dialAll(t, addr, 10)
	for _, c := range conns {
		c.SetReadDeadline(start.Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("connection not closed: %v", err)
		}
	}
	waitUntil(t, "more than two connections linger", func() bool { return s.Conns() <= 2 })
	if d := time.Since(start); d > lingerTimeout {
		t.Errorf("the others were closed after %v", d)
	}
	waitUntil(t, "connections linger after lingerTimeout", func() bool { return s.Conns() == 0 })
}

// A new connection that finds all slots held by lingering ones does not wait for their timeout.
func TestNewConnectionTakesSlotOfLingeringOne(t *testing.T) {
	release := make(chan struct{}, 1)
	s, addr := startServer(t, 1, func(c net.Conn, q *WriteQueue) {
		<-release
		q.Send([]byte("ok"))
	})
	start := time.Now()
	for range 10 { // none of them closes
		release <- struct{}{}
		if n := countUnanswered(dialAll(t, addr, 1)); n != 0 {
			t.Fatal("connection not answered")
		}
	}
	if d := time.Since(start); d > 5*lingerTimeout {
		t.Errorf("ten connections in turn took %v", d)
	}
	waitUntil(t, "the last connection lingers after lingerTimeout", func() bool { return s.Conns() == 0 })
}

// Without a free slot a connection waits for one, with its data, and is not closed unread.
func TestFullServerKeepsConnectionsWaiting(t *testing.T) {
	release := make(chan struct{})
	s, addr := startServer(t, 2, func(c net.Conn, q *WriteQueue) {
		line := make([]byte, 4)
		if _, err := io.ReadFull(c, line); err != nil {
			return
		}
		<-release
		q.Send(line)
	})
	conns := dialAll(t, addr, 6)
	for _, c := range conns {
		c.Write([]byte("line"))
	}
	waitUntil(t, "not all slots are used", func() bool { return s.Conns() == 2 })
	for range conns {
		release <- struct{}{}
	}
	for i, c := range conns {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if got, err := io.ReadAll(c); string(got) != "line" || err != nil {
			t.Errorf("connection %d read %q, %v", i, got, err)
		}
		c.Close()
	}
}

// A Reader with NoWait returns the data that has arrived, the end of the input, or a timeout if there is neither.
func TestReaderWithNoWait(t *testing.T) {
	got := make(chan string, 3)
	step := make(chan struct{})
	_, addr := startServer(t, 1, func(c net.Conn, _ *WriteQueue) {
		r := Reader{Conn: c, NoWait: true}
		for range 3 {
			<-step
			p := make([]byte, 8)
			n, err := r.Read(p)
			got <- string(p[:n])
			if err != nil {
				got <- err.Error()
			}
		}
	})
	c := dialAll(t, addr, 1)[0]
	step <- struct{}{}
	if s := <-got + <-got; s != "i/o timeout" {
		t.Errorf("without data: %q", s)
	}
	c.Write([]byte("some"))
	step <- struct{}{}
	if s := <-got; s != "some" {
		t.Errorf("with data: %q", s)
	}
	c.(*net.TCPConn).CloseWrite()
	step <- struct{}{}
	if s := <-got + <-got; s != "EOF" {
		t.Errorf("at the end: %q", s)
	}
}
