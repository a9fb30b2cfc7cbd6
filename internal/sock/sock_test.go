package sock

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The connection of a peer that does not read is closed, by the write timeout, by its own limit or by the budget of
// all; the sender never blocks.
func TestConnectionOfSlowPeerIsClosed(t *testing.T) {
	for name, c := range map[string]struct {
		size, all int
		after     time.Duration
	}{"by timeout": {1, 1 << 30, writeTimeout}, "by queue limit": {1<<20 + 1, 1 << 30, 0}, "by budget": {10, 9, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, _ := net.Pipe()
				q := NewWriteQueue(local)
				q.limit, q.budget = 1<<20, &Budget{Total: c.all}
				start := time.Now()
				q.Send(make([]byte, c.size))
				<-q.Done()
				if d := time.Since(start); d != c.after || q.Send(nil) || q.Err() == nil {
					t.Errorf("closed after %v", d)
				}
				synctest.Wait()
				if n := q.budget.used.Load(); n != 0 {
					t.Errorf("%d bytes are still counted", n)
				}
			})
		})
	}
}

// Peers that do not read use up the shared budget; a peer within its guaranteed bytes is still served.
func TestPeersThatDoNotReadDoNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &Budget{Total: 100, Guaranteed: 10}
		newQueue := func() (*WriteQueue, net.Conn) {
			local, remote := net.Pipe()
			q := NewWriteQueue(local)
			q.budget = budget
			return q, remote
		}
		stalled, _ := newQueue()
		stalled.Send(make([]byte, 100))
		q, remote := newQueue()
		q.Send([]byte("a line\n"))
		if line, err := ReadLine(bufio.NewReader(remote)); err != nil || string(line) != "a line" {
			t.Errorf("%q, %v", line, err)
		}
		if q.Send(make([]byte, 11)) || stalled.Send([]byte("x")) {
			t.Error("a queue over the budget was accepted")
		}
		<-stalled.Done()
	})
}

// Close writes everything queued before it closes the connection.
func TestCloseWritesQueueFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		q := NewWriteQueue(local)
		q.Send([]byte("a "), []byte("line\r\n"))
		q.Close()
		if line, err := ReadLine(bufio.NewReader(remote)); err != nil || string(line) != "a line" {
			t.Errorf("%q, %v", line, err)
		}
		<-q.Done()
	})
}

func TestLineTooLong(t *testing.T) {
	if _, err := ReadLine(bufio.NewReaderSize(strings.NewReader(strings.Repeat("x", 99)), 16)); !errors.Is(err, ErrLineTooLong) {
		t.Error(err)
	}
}

// Delays double up to 1 s and start over after Reset.
func TestBackoff(t *testing.T) {
	var b Backoff
	sum := time.Duration(0)
	for range 8 {
		sum += b.Next()
	}
	if want := (20 + 40 + 80 + 160 + 320 + 640 + 1000 + 1000) * time.Millisecond; sum != want {
		t.Errorf("delays add up to %v, want %v", sum, want)
	}
	if b.Reset(); b.Next() != 20*time.Millisecond {
		t.Error("Reset does not return to the first delay")
	}
}
