package sock

import (
	"io"
	"net"
	"testing"
	"time"
)

// dialAll opens n connections that the kernel completes before anyone accepts them.
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

// unheard counts the connections that get no answer.
func unheard(conns []net.Conn) int {
	n := 0
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if b, _ := io.ReadAll(c); string(b) != "ok" {
			n++
		}
	}
	return n
}

// Two processes of one server on one address: a listener closed with a full accept queue drops what waits there,
// while Shut takes the queue before it closes, and leaves none unheard.
func TestHandoffLeavesNoQueuedConnectionUnheard(t *testing.T) {
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

	queued := dialAll(t, addr, 40) // what the kernel gives the old one waits in its queue
	old.Close()
	if n := unheard(queued); n == 0 {
		t.Fatal("closing with a full queue left none unheard: the cause is not seen")
	}

	old, err = Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(old, 64, &Budget{Peer: 1 << 10, All: 1 << 20, Spare: 1 << 10}, func(c net.Conn, _ *WriteQueue) {
		c.Write([]byte("ok"))
	})
	queued = dialAll(t, addr, 40) // nobody accepts on old: what the kernel gave it waits
	s.Shut()
	if n := unheard(queued); n != 0 {
		t.Fatalf("over a shut with a full queue %d of %d connections unheard", n, len(queued))
	}
}
