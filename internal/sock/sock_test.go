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

// A peer that does not read loses its connection, by time or by what waits for it; the sender never waits.
func TestASlowPeerIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		size, all int
		after     time.Duration
	}{"by time": {1, 1 << 30, writeTimeout}, "by size": {1<<20 + 1, 1 << 30, 0}, "by all": {10, 9, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mine, _ := net.Pipe()
				q := NewWriteQueue(mine)
				q.limit, q.budget = 1<<20, &Budget{All: c.all}
				start := time.Now()
				q.Send(make([]byte, c.size))
				<-q.Done()
				if d := time.Since(start); d != c.after || q.Send(nil) || q.Err() == nil {
					t.Errorf("cut off after %v", d)
				}
				synctest.Wait()
				if n := q.budget.used.Load(); n != 0 {
					t.Errorf("%d bytes still count", n)
				}
			})
		})
	}
}

// Peers that do not read use up the room of all; one that has little waiting is served all the same.
func TestThoseWhoDoNotReadCostOthersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &Budget{All: 100, Spare: 10}
		newQueue := func() (*WriteQueue, net.Conn) {
			mine, theirs := net.Pipe()
			q := NewWriteQueue(mine)
			q.budget = budget
			return q, theirs
		}
		deaf, _ := newQueue()
		deaf.Send(make([]byte, 100))
		q, theirs := newQueue()
		q.Send([]byte("a line\n"))
		if line, err := Line(bufio.NewReader(theirs)); err != nil || string(line) != "a line" {
			t.Errorf("%q, %v", line, err)
		}
		if q.Send(make([]byte, 11)) || deaf.Send([]byte("x")) {
			t.Error("who has much waiting goes on")
		}
		<-deaf.Done()
	})
}

// Close lets what was queued out first.
func TestCloseWritesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, theirs := net.Pipe()
		q := NewWriteQueue(mine)
		q.Send([]byte("a "), []byte("line\r\n"))
		q.Close()
		if line, err := Line(bufio.NewReader(theirs)); err != nil || string(line) != "a line" {
			t.Errorf("%q, %v", line, err)
		}
		<-q.Done()
	})
}

func TestALongLineIsAnError(t *testing.T) {
	if _, err := Line(bufio.NewReaderSize(strings.NewReader(strings.Repeat("x", 99)), 16)); !errors.Is(err, ErrLong) {
		t.Error(err)
	}
}

// Waits double up to a second and start over after a link that worked.
func TestBackoff(t *testing.T) {
	var b Backoff
	sum := time.Duration(0)
	for range 8 {
		sum += b.Next()
	}
	if want := (20 + 40 + 80 + 160 + 320 + 640 + 1000 + 1000) * time.Millisecond; sum != want {
		t.Errorf("%v, want %v", sum, want)
	}
	if b.Reset(); b.Next() != 20*time.Millisecond {
		t.Error("no new start")
	}
}
