package store_test

import (
	"context"
	"encoding/hex"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/redis/go-redis/v9"

	"larchscale/internal/core"
	"larchscale/internal/scenario"
	"larchscale/internal/standin/keystore"
	"larchscale/internal/store"
)

// testServer is one server's client of the store.
type testServer struct {
	t      *testing.T
	store  *store.Redis
	events chan core.Event
}

func open(t *testing.T, addr, owner string, timeoutMs int) *testServer {
	opt := store.Defaults()
	opt.Redis, opt.TimeoutMs = addr, timeoutMs
	b := &testServer{t: t, events: make(chan core.Event, 8)}
	b.store = store.NewRedis(opt, owner, []string{"book"}, 1<<20, func(e core.Event) { b.events <- e }, slog.New(slog.DiscardHandler))
	go b.store.Run(t.Context())
	return b
}

// redisKey is the key in Redis.
const redisKey = "larchscale:book:k"

var (
	key = core.Key{Class: 0, Token: "k"}
	sum = [32]byte{1}
)

// claimID is the claim of a test whose server makes one.
const claimID = core.ClaimID(1)

// claim checks the answer to a claim of the key.
func (b *testServer) claim(sum [32]byte, state core.Claim, result string) {
	b.t.Helper()
	b.claimAs(claimID, sum, state, result)
}

// claimAs is claim for a claim with its own id.
func (b *testServer) claimAs(id core.ClaimID, sum [32]byte, state core.Claim, result string) {
	b.t.Helper()
	if !b.store.Claim(core.KeyedRequest{Key: key, ClaimID: id, Sum: sum, Life: time.Minute}) {
		b.t.Fatal("no room")
	}
	want := core.ClaimAnswered{Key: key, ClaimID: id, State: state}
	if result != "" {
		want.Result = []byte(result)
	}
	if diff := cmp.Diff(core.Event(want), <-b.events); diff != "" {
		b.t.Error(diff)
	}
}

const longTimeoutMs = 10000 // no command of these tests takes so long on any machine

// Checks that one server claims a key, that others learn of the claim and then of the result, and that the claim of a
// request that never ran can be released.
func TestRedisKeyClaimedOnce(t *testing.T) {
	backend := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(backend.Listener())
	a, b := open(t, backend.Addr, "a", longTimeoutMs), open(t, backend.Addr, "b", longTimeoutMs)
	a.claim(sum, core.ClaimWon, "")
	b.claim(sum, core.ClaimOther, "")
	b.claim([32]byte{2}, core.ClaimConflict, "")
	b.store.Release(key, claimID) // owned by the other server: nothing happens
	b.claim(sum, core.ClaimOther, "")
	a.claim(sum, core.ClaimWon, "") // its own claim, as after a lost answer
	a.store.Release(key, claimID)
	a.claim(sum, core.ClaimWon, "") // commands for one key stay in order
	a.store.Release(key, claimID)
	a.claim([32]byte{2}, core.ClaimWon, "")
	a.store.Finish(key, claimID, [32]byte{2}, true, []byte("ride 7"), time.Minute)
	a.claim([32]byte{2}, core.ClaimDone, "ride 7")
	b.claim([32]byte{2}, core.ClaimDone, "ride 7")
	a.store.Release(key, claimID) // the request ran, so its key stays
	a.claim([32]byte{2}, core.ClaimDone, "ride 7")
}

// A release of an earlier claim, in whatever state it is when the later claim of the same server is won, leaves the later
// claim.
func TestRedisLateReleaseLeavesLaterClaim(t *testing.T) {
	backend := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(backend.Listener())
	a, b := open(t, backend.Addr, "a", longTimeoutMs), open(t, backend.Addr, "b", longTimeoutMs)
	a.claim(sum, core.ClaimWon, "")
	client := redis.NewClient(&redis.Options{Addr: backend.Addr, DisableIdentity: true, Protocol: 2})
	defer client.Close()
	err := client.Watch(t.Context(), func(late *redis.Tx) error { // a release that has read the earlier claim
		a.claimAs(claimID+1, sum, core.ClaimWon, "")
		_, err := late.TxPipelined(t.Context(), func(p redis.Pipeliner) error { return p.Del(t.Context(), redisKey).Err() })
		return err
	}, redisKey)
	if !errors.Is(err, redis.TxFailedErr) {
		t.Errorf("the late release ends with %v", err)
	}
	a.store.Release(key, claimID)
	a.store.Finish(key, claimID, sum, false, nil, time.Minute)
	a.claimAs(claimID+2, sum, core.ClaimWon, "") // after the commands before
	b.claim(sum, core.ClaimOther, "")
	a.store.Finish(key, claimID+2, sum, true, []byte("ride 7"), time.Minute)
	a.claimAs(claimID+3, sum, core.ClaimDone, "ride 7")
}

// A claim in the form of before claims had numbers belongs to another process.
func TestRedisClaimWithoutNumberIsAnothers(t *testing.T) {
	backend := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(backend.Listener())
	a := open(t, backend.Addr, "a", longTimeoutMs)
	s.Put(redisKey, "c"+hex.EncodeToString(sum[:])+"a")
	a.claim(sum, core.ClaimOther, "")
	a.store.Release(key, claimID)
	a.claim(sum, core.ClaimOther, "")
	s.Put(redisKey, "d"+hex.EncodeToString(sum[:])+"ride 7")
	a.claim(sum, core.ClaimDone, "ride 7")
}

// Checks that a failed run is reported as failed to every server.
func TestRedisFailedRunIsShared(t *testing.T) {
	backend := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(backend.Listener())
	a, b := open(t, backend.Addr, "a", longTimeoutMs), open(t, backend.Addr, "b", longTimeoutMs)
	a.claim(sum, core.ClaimWon, "")
	a.store.Finish(key, claimID, sum, false, nil, time.Minute)
	a.claim(sum, core.ClaimFailed, "")
	b.claim(sum, core.ClaimFailed, "")
}

// Checks that claims are answered as unavailable while the store is down, does not answer or holds an unknown value,
// and that keys and claims work again once it is back.
func TestRedisUnavailableAndRecovered(t *testing.T) {
	backend := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(backend.Listener())
	a, quick := open(t, backend.Addr, "a", longTimeoutMs), open(t, backend.Addr, "b", 100)
	a.claim(sum, core.ClaimWon, "")
	s.Silence(true)
	quick.claim(sum, core.ClaimUnavailable, "")
	s.Silence(false)
	backend.Close()
	s.Stop()
	quick.claim(sum, core.ClaimUnavailable, "")
	l, err := net.Listen("tcp", backend.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go s.Serve(l)
	b := open(t, backend.Addr, "b", longTimeoutMs)
	b.claim(sum, core.ClaimOther, "")
	s.Put(redisKey, "odd")
	b.claim(sum, core.ClaimUnavailable, "")
}

// Checks that work queued when the store stops is completed, so that other servers know the last run of a server that
// leaves.
func TestRedisCompletesQueuedWorkOnStop(t *testing.T) {
	backend := scenario.Listen(t)
	s := keystore.New()
	go s.Serve(backend.Listener())
	opt := store.Defaults()
	opt.Redis, opt.TimeoutMs = backend.Addr, longTimeoutMs
	last := store.NewRedis(opt, "last", []string{"book"}, 1<<20, func(core.Event) {}, slog.New(slog.DiscardHandler))
	last.Claim(core.KeyedRequest{Key: key, ClaimID: claimID, Sum: sum, Life: time.Minute})
	last.Finish(key, claimID, sum, true, []byte("ride 7"), -time.Minute) // the run ended after its window, with no lifetime left
	ctx, stop := context.WithCancel(t.Context())
	stop()
	last.Run(ctx)
	open(t, backend.Addr, "b", longTimeoutMs).claim(sum, core.ClaimDone, "ride 7")
}
