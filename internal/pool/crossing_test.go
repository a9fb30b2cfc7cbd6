package pool_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/core"
	"larchscale/internal/pool"
	"larchscale/internal/scenario"
)

// These tests force the order of two concurrent events on the link to the worker pool.

// maintainedLink is a link that is kept up to a stand-in worker pool.
type maintainedLink struct {
	*pool.Link
	t        *testing.T
	listener *scenario.Stand
	events   chan core.Event
}

func maintain(t *testing.T) *maintainedLink {
	t.Helper()
	return maintainLogging(t, slog.DiscardHandler)
}

// maintainLogging is maintain with a handler for the link's log.
func maintainLogging(t *testing.T, log slog.Handler) *maintainedLink {
	t.Helper()
	listener, events := scenario.Listen(t), make(chan core.Event, 64)
	k := &maintainedLink{pool.New(listener.Addr, func(e core.Event) { events <- e }, slog.New(log)), t, listener, events}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { k.Maintain(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return k
}

// receive returns the next value of a channel and fails the test if none comes within 10 s.
func receive[T any](t *testing.T, from <-chan T) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing received within 10 s")
	}
	return x
}

func (k *maintainedLink) expect(want ...core.Event) {
	k.t.Helper()
	for _, w := range want {
		if diff := cmp.Diff(w, receive(k.t, k.events)); diff != "" {
			k.t.Error(diff)
		}
	}
}

// bind accepts the next connection, which must bind from cursor, as a pool that started age ago.
func (k *maintainedLink) bind(cursor int, age time.Duration) *scenario.Peer {
	k.t.Helper()
	p := k.listener.Accept()
	p.Expect(fmt.Sprintf(`^{"event":"bind","cursor":%d}$`, cursor))
	p.Send(fmt.Sprintf(`{"event":"bound","fate":"hot","lasted":%d}`, age.Milliseconds()), "\n")
	k.expect(core.PoolBound{Age: age})
	return p
}

func finishedLine(cursor int, handle string) string {
	return fmt.Sprintf(`{"event":"finished","cursor":%d,"handle":%q,"fate":"complete","lasted":2,"arg":""}`+"\n", cursor, handle)
}

func finishedEvent(handle string) core.Event {
	return core.PoolFinished{Handle: handle, RunTime: 2 * time.Millisecond, Body: []byte{}}
}

// A pool that started after the previous connection was bound is a different pool. Its notices are accepted whether it
// numbers them from 1 or continues the old numbers; after its first notice, repeated numbers are dropped as duplicates.
func TestRestartedPoolNumbersNoticesFromOneOrContinues(t *testing.T) {
	for _, first := range []int{1, 4, 40} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			k := maintain(t)
			p := k.bind(0, time.Hour)
			p.Send(finishedLine(1, "a"), finishedLine(2, "b"), finishedLine(3, "c"))
			k.expect(finishedEvent("a"), finishedEvent("b"), finishedEvent("c"))
			p.Close()
			k.expect(core.PoolLost{})
			p = k.bind(3, 0)
			p.Send(finishedLine(first, "d"), finishedLine(first, "d"), finishedLine(first+1, "e"))
			k.expect(finishedEvent("d"), finishedEvent("e"))
			p.Close()
			k.expect(core.PoolLost{})
			k.bind(first+1, time.Second).Send(finishedLine(first, "d"), finishedLine(first+1, "e"), finishedLine(first+2, "f"))
			k.expect(finishedEvent("f"))
		})
	}
}

// boundLog receives the log lines of links that are bound.
type boundLog chan string

func (l boundLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "worker pool bound") {
		l <- string(line)
	}
	return len(line), nil
}

// The log tells of a pool that started since the last link, and the first link has none before it.
func TestLogTellsOfRestartedPool(t *testing.T) {
	log := make(boundLog, 3)
	k := maintainLogging(t, slog.NewTextHandler(log, nil))
	for i, want := range []string{"restarted=false", "restarted=false", "restarted=true"} {
		p := k.bind(0, []time.Duration{time.Hour, time.Hour, 0}[i])
		if line := receive(t, log); !strings.Contains(line, want) {
			t.Errorf("link %d: %q, want %s", i, line, want)
		}
		p.Close()
		k.expect(core.PoolLost{})
	}
}

// Moves a link away and back while the pool has not confirmed the bind: the link binds to the last address, and
// PoolLost is reported for each connection that was open.
func TestMoveBeforeLinkIsBound(t *testing.T) {
	k, next := maintain(t), scenario.Listen(t)
	p := k.listener.Accept()
	p.Expect(`"bind","cursor":0`)
	k.Move(next.Addr)
	k.expect(core.PoolLost{})
	q := next.Accept()
	q.Expect(`"bind","cursor":0`)
	p.Send(`{"event":"bound","fate":"hot","lasted":1}`, "\n") // too late: the link has moved
	k.Move(k.listener.Addr)
	k.expect(core.PoolLost{})
	k.bind(0, time.Hour)
}

// A connection that is accepted but never confirmed as bound is replaced by a new one. A bound connection is kept,
// however long nothing comes on it.
func TestLinkThatIsNeverBoundIsReplaced(t *testing.T) {
	k := maintain(t)
	k.listener.Accept().Expect(`"bind","cursor":0`)
	k.expect(core.PoolLost{})
	p := k.bind(0, time.Hour)
	time.Sleep(1200 * time.Millisecond) // past minFirstNoticeWait
	p.Send(finishedLine(1, "a"))
	k.expect(finishedEvent("a"))
}
