package sock

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// serving is a server on a real address that is stopped with the test.
func serving(t *testing.T, limit int, handle func(net.Conn, *WriteQueue)) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, limit, &Budget{Peer: 1 << 20, All: 1 << 24, Spare: 1 << 10}, handle)
	go s.Serve()
	t.Cleanup(func() { s.Stop(time.Second) })
	return s, l.Addr().String()
}

// until waits for what a test cannot be told of.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// A connection ends while bytes stand unread on it and its peer has not read what was written: a plain close resets it,
// and most of the answer is lost. The peer reads only when all has been written and the end has begun.
func TestAnEndOverUnreadBytesKeepsTheAnswer(t *testing.T) {
	answer := bytes.Repeat([]byte("x"), 400<<10)
	sent, begun := make(chan struct{}), make(chan *WriteQueue, 1)
	_, addr := serving(t, 4, func(c net.Conn, q *WriteQueue) {
		c.(*net.TCPConn).SetWriteBuffer(1 << 20)
		<-sent
		io.ReadFull(c, make([]byte, 1)) // the rest stands unread
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
	select { // a plain close is done by now
	case <-q.Done():
	case <-time.After(50 * time.Millisecond):
	}
	c.Write([]byte("what comes after the end"))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, answer) {
		t.Errorf("%d of %d bytes, %v", len(got), len(answer), err)
	}
	c.Close()
	<-q.Done()
}

// Peers that never close keep no place: they linger for lingerFor, and only an eighth of all at a time.
func TestPeersThatNeverCloseKeepNoPlace(t *testing.T) {
	s, addr := serving(t, 16, func(_ net.Conn, q *WriteQueue) { q.Close() })
	start := time.Now()
	conns := dialAll(t, addr, 10)
	for _, c := range conns {
		c.SetReadDeadline(start.Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("no end: %v", err)
		}
	}
	until(t, "more than two linger", func() bool { return s.Conns() <= 2 })
	if d := time.Since(start); d > lingerFor {
		t.Errorf("the others went after %v", d)
	}
	until(t, "they linger on", func() bool { return s.Conns() == 0 })
}

// A newcomer that finds all places taken by those that linger does not wait for their time.
func TestANewcomerTakesThePlaceOfOneThatLingers(t *testing.T) {
	let := make(chan struct{}, 1)
	s, addr := serving(t, 1, func(c net.Conn, q *WriteQueue) {
		<-let
		q.Send([]byte("ok"))
	})
	start := time.Now()
	for range 10 { // none of them closes
		let <- struct{}{}
		if n := unheard(dialAll(t, addr, 1)); n != 0 {
			t.Fatal("not heard")
		}
	}
	if d := time.Since(start); d > 5*lingerFor {
		t.Errorf("ten in turn took %v", d)
	}
	until(t, "the last lingers on", func() bool { return s.Conns() == 0 })
}

// Where there is no room a connection waits for it, with what it brought, and is not closed unseen.
func TestAFullServerKeepsNewcomersWaiting(t *testing.T) {
	let := make(chan struct{})
	s, addr := serving(t, 2, func(c net.Conn, q *WriteQueue) {
		line := make([]byte, 4)
		if _, err := io.ReadFull(c, line); err != nil {
			return
		}
		<-let
		q.Send(line)
	})
	conns := dialAll(t, addr, 6)
	for _, c := range conns {
		c.Write([]byte("line"))
	}
	until(t, "the room is not used", func() bool { return s.Conns() == 2 })
	for range conns {
		let <- struct{}{}
	}
	for i, c := range conns {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if got, err := io.ReadAll(c); string(got) != "line" || err != nil {
			t.Errorf("connection %d read %q, %v", i, got, err)
		}
		c.Close()
	}
}

// What has come is read without waiting, its end is told, and nothing waits.
func TestAReaderThatDoesNotWait(t *testing.T) {
	got := make(chan string, 3)
	step := make(chan struct{})
	_, addr := serving(t, 1, func(c net.Conn, _ *WriteQueue) {
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
		t.Errorf("nothing: %q", s)
	}
	c.Write([]byte("some"))
	step <- struct{}{}
	if s := <-got; s != "some" {
		t.Errorf("some: %q", s)
	}
	c.(*net.TCPConn).CloseWrite()
	step <- struct{}{}
	if s := <-got + <-got; s != "EOF" {
		t.Errorf("an end: %q", s)
	}
}
