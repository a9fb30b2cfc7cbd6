package sock

import (
	"io"
	"net"
	"testing"
	"time"
)

// dialAll opens n connections, which the kernel completes before they are accepted.
func dialAll(t *testing.T, addr string, n int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns[i] = c
	}
	return conns
}

// countUnanswered counts the connections that get no answer.
func countUnanswered(conns []net.Conn) int {
	n := 0
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if b, _ := io.ReadAll(c); string(b) != "ok" {
			n++
		}
	}
	return n
}

// Two processes of one server listen on one address. Closing a listener with a full accept queue drops the connections
// in it; Shut accepts the queue before it closes, so that all are answered.
func TestHandoffAnswersQueuedConnections(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := old.Addr().String()
	next, err := Listen(addr)
	if err != nil {
		t.Fatalf("a second listener on %s: %v", addr, err)
	}
	defer next.Close()
	go func() {
		for {
			c, err := next.Accept()
			if err != nil {
				return
			}
			c.Write([]byte("ok"))
			c.Close()
		}
	}()

	queued := dialAll(t, addr, 40) // those that the kernel gives to old wait in its queue
	old.Close()
	if n := countUnanswered(queued); n == 0 {
		t.Fatal("a plain close with a full queue dropped no connection: the test does not reproduce the failure")
	}

	old, err = Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(old, 64, &Budget{PerPeer: 1 << 10, Total: 1 << 20, Guaranteed: 1 << 10}, func(c net.Conn, _ *WriteQueue) {
		c.Write([]byte("ok"))
	})
	queued = dialAll(t, addr, 40) // old does not accept, so its share waits in the queue
	s.StopAccepting()
	if n := countUnanswered(queued); n != 0 {
		t.Fatalf("after Shut with a full queue %d of %d connections are unanswered", n, len(queued))
	}
}
