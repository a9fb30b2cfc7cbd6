package pool_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/core"
	"larchscale/internal/pool"
	"larchscale/internal/scenario"
)

// Pairs of events that cross on the link to the worker pool, each in an order that the test forces.

// kept is a link that is kept up to a stand-in worker pool.
type kept struct {
	*pool.Link
	t      *testing.T
	stand  *scenario.Stand
	events chan core.Event
}

func keep(t *testing.T) *kept {
	stand, events := scenario.Listen(t), make(chan core.Event, 64)
	k := &kept{pool.New(stand.Addr, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler)), t, stand, events}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { k.Keep(ctx); close(done) }()
	t.Cleanup(func() { end(); <-done })
	return k
}

// wait takes what comes next.
func wait[T any](t *testing.T, from <-chan T) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing comes")
	}
	return x
}

func (k *kept) expect(want ...core.Event) {
	k.t.Helper()
	for _, w := range want {
		if diff := cmp.Diff(w, wait(k.t, k.events)); diff != "" {
			k.t.Error(diff)
		}
	}
}

// bind takes the next link, which has to bind from a notice, of a pool that began some time ago.
func (k *kept) bind(cursor int, age time.Duration) *scenario.Peer {
	k.t.Helper()
	p := k.stand.Accept()
	p.Expect(fmt.Sprintf(`^{"event":"bind","cursor":%d}$`, cursor))
	p.Send(fmt.Sprintf(`{"event":"bound","fate":"hot","lasted":%d}`, age.Milliseconds()), "\n")
	k.expect(core.PoolBound{Age: age})
	return p
}

func ended(cursor int, handle string) string {
	return fmt.Sprintf(`{"event":"finished","cursor":%d,"handle":%q,"fate":"complete","lasted":2,"arg":""}`+"\n", cursor, handle)
}

func finished(handle string) core.Event {
	return core.PoolFinished{Handle: handle, Took: 2 * time.Millisecond, Body: []byte{}}
}

// A pool that began after the link before it was bound is another one. Its notices count whether it numbers them from 1
// or goes on, and from the first of them on a number tells again what came already.
func TestAPoolThatBeganAnewNumbersItsNoticesFromOneOrGoesOn(t *testing.T) {
	for _, first := range []int{1, 4, 40} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			k := keep(t)
			p := k.bind(0, time.Hour)
			p.Send(ended(1, "a"), ended(2, "b"), ended(3, "c"))
			k.expect(finished("a"), finished("b"), finished("c"))
			p.Close()
			k.expect(core.PoolLost{})
			p = k.bind(3, 0)
			p.Send(ended(first, "d"), ended(first, "d"), ended(first+1, "e"))
			k.expect(finished("d"), finished("e"))
			p.Close()
			k.expect(core.PoolLost{})
			k.bind(first+1, time.Second).Send(ended(first, "d"), ended(first+1, "e"), ended(first+2, "f"))
			k.expect(finished("f"))
		})
	}
}

// A link is moved, and moved back, while its pool has not said that it is bound: the last address is bound, and the end of
// each link that was there is told.
func TestAMoveFindsALinkThatIsNotBound(t *testing.T) {
	k, next := keep(t), scenario.Listen(t)
	p := k.stand.Accept()
	p.Expect(`"bind","cursor":0`)
	k.Move(next.Addr)
	k.expect(core.PoolLost{})
	q := next.Accept()
	q.Expect(`"bind","cursor":0`)
	p.Send(`{"event":"bound","fate":"hot","lasted":1}`, "\n") // too late
	k.Move(k.stand.Addr)
	k.expect(core.PoolLost{})
	k.bind(0, time.Hour)
}

// A link that is accepted, and on which nobody says that it is bound, is given up for a new one; one that was bound is not,
// however long nothing comes.
func TestALinkThatIsNeverBound(t *testing.T) {
	k := keep(t)
	k.stand.Accept().Expect(`"bind","cursor":0`)
	k.expect(core.PoolLost{})
	p := k.bind(0, time.Hour)
	time.Sleep(1200 * time.Millisecond) // past the time for the first word
	p.Send(ended(1, "a"))
	k.expect(finished("a"))
}
