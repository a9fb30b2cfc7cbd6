package store_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/core"
	"larchscale/internal/scenario"
	"larchscale/internal/standin/keystore"
	"larchscale/internal/store"
)

// box is one server's view of the store.
type box struct {
	t      *testing.T
	db     *store.Redis
	events chan core.Event
}

func open(t *testing.T, addr, owner string, timeoutMs int) *box {
	opt := store.Defaults()
	opt.Redis, opt.TimeoutMs = addr, timeoutMs
	b := &box{t: t, events: make(chan core.Event, 8)}
	b.db = store.New(opt, owner, []string{"book"}, func(e core.Event) { b.events <- e }, slog.New(slog.DiscardHandler))
	go b.db.Run(t.Context())
	return b
}

var (
	key = core.Key{Class: 0, Token: "k"}
	sum = [32]byte{1}
)

// claim expects what a claim of the key comes to.
func (b *box) claim(sum [32]byte, state core.Claim, result string) {
	b.t.Helper()
	if !b.db.Claim(core.Piece{Key: key, Sum: sum, Life: time.Minute}) {
		b.t.Fatal("no room")
	}
	want := core.Claimed{Key: key, State: state}
	if result != "" {
		want.Result = []byte(result)
	}
	if diff := cmp.Diff(core.Event(want), <-b.events); diff != "" {
		b.t.Error(diff)
	}
}

const patient = 10000 // no claim of these tests takes so long, on any machine

// One server has a key; the others learn so, and then the end of its run. What never ran can be given up.
func TestAKeyIsClaimedOnce(t *testing.T) {
	stand := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(stand.Listener())
	a, b := open(t, stand.Addr, "a", patient), open(t, stand.Addr, "b", patient)
	a.claim(sum, core.ClaimWon, "")
	b.claim(sum, core.ClaimOther, "")
	b.claim([32]byte{2}, core.ClaimOff, "")
	b.db.Release(key) // not its own: nothing happens
	b.claim(sum, core.ClaimOther, "")
	a.claim(sum, core.ClaimWon, "") // its own, as after a lost answer
	a.db.Release(key)
	a.claim(sum, core.ClaimWon, "") // one key's commands keep their order
	a.db.Release(key)
	a.claim([32]byte{2}, core.ClaimWon, "")
	a.db.Finish(key, [32]byte{2}, true, []byte("ride 7"), time.Minute)
	a.claim([32]byte{2}, core.ClaimDone, "ride 7")
	b.claim([32]byte{2}, core.ClaimDone, "ride 7")
	a.db.Release(key) // it ran: it stays
	a.claim([32]byte{2}, core.ClaimDone, "ride 7")
}

// A run that failed is failed everywhere.
func TestAFailedRunIsShared(t *testing.T) {
	stand := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(stand.Listener())
	a, b := open(t, stand.Addr, "a", patient), open(t, stand.Addr, "b", patient)
	a.claim(sum, core.ClaimWon, "")
	a.db.Finish(key, sum, false, nil, time.Minute)
	a.claim(sum, core.ClaimFailed, "")
	b.claim(sum, core.ClaimFailed, "")
}

// A store that is away, does not answer, or holds what is not ours tells nothing; once it is back, keys and
// claims go on.
func TestAStoreThatDiesIsLateAndComesBack(t *testing.T) {
	stand := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(stand.Listener())
	a, quick := open(t, stand.Addr, "a", patient), open(t, stand.Addr, "b", 100)
	a.claim(sum, core.ClaimWon, "")
	s.Silence(true)
	quick.claim(sum, core.ClaimDown, "")
	s.Silence(false)
	stand.Close()
	s.Stop()
	quick.claim(sum, core.ClaimDown, "")
	l, err := net.Listen("tcp", stand.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go s.Serve(l)
	b := open(t, stand.Addr, "b", patient)
	b.claim(sum, core.ClaimOther, "")
	s.Put("larchscale:book:k", "odd")
	b.claim(sum, core.ClaimDown, "")
}

// What is queued when the store ends is done: the last run of a server that leaves is known to the others.
func TestRedisDoesWhatWasAskedBeforeTheEnd(t *testing.T) {
	stand := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(stand.Listener())
	opt := store.Defaults()
	opt.Redis, opt.TimeoutMs = stand.Addr, patient
	last := store.New(opt, "last", []string{"book"}, func(core.Event) {}, slog.New(slog.DiscardHandler))
	last.Claim(core.Piece{Key: key, Sum: sum, Life: time.Minute})
	last.Finish(key, sum, true, []byte("ride 7"), -time.Minute) // a run that ended after its window: no life is left
	ctx, stop := context.WithCancel(t.Context())
	stop()
	last.Run(ctx)
	open(t, stand.Addr, "b", patient).claim(sum, core.ClaimDone, "ride 7")
}
