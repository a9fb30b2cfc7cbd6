// Package store shares the table of keys between servers, by Redis: a keyed request that may come to any of
// them runs on one. The core's interface for it is core.Store.
package store

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/redis/go-redis/v9"

	"larchscale/internal/core"
)

// Options is the operator's table [store].
type Options struct {
	Redis     string `toml:"redis"`      // "host:port"; empty = no shared store
	Prefix    string `toml:"prefix"`     // of all keys
	TimeoutMs int    `toml:"timeout_ms"` // for one command; a store that takes longer counts as down
}

// Defaults is what holds where the operator's file says nothing.
func Defaults() Options { return Options{Prefix: "larchscale:", TimeoutMs: 250} }

const (
	lanes   = 8   // goroutines; all that concerns one key goes through one of them, in order
	waiting = 256 // commands a lane may have waiting: with no room the store counts as down
	tries   = 4   // of a result: a lost one leaves its repeats elsewhere without an answer
)

// A value is a mark, the hex sum of the body, and a claim's owner or a run's result.
const (
	markClaim  = 'c'
	markDone   = 'd'
	markFailed = 'f'
	sumLen     = 64
)

// Owner names one process of a server in its claims. The platform's settings do not do: the processes of a
// replacement are started with the same, and each would take the other's claims for its own.
func Owner(server string) string {
	return fmt.Sprintf("%s-%d-%016x", server, os.Getpid(), rand.Uint64())
}

// Redis is a core.Store.
type Redis struct {
	opt   Options
	owner string // of this process: another of the same server may have run what it claimed
	class []string
	sink  func(core.Event)
	log   *slog.Logger
	db    *redis.Client
	lane  [lanes]chan func()
	seed  maphash.Seed
}

// New makes a store that tells sink what became of claims; class names the classes in keys.
func New(opt Options, owner string, class []string, sink func(core.Event), log *slog.Logger) *Redis {
	timeout := time.Duration(opt.TimeoutMs) * time.Millisecond
	s := &Redis{opt: opt, owner: owner, class: class, sink: sink, log: log, seed: maphash.MakeSeed(),
		db: redis.NewClient(&redis.Options{Addr: opt.Redis, DialTimeout: timeout, ReadTimeout: timeout,
			WriteTimeout: timeout, PoolSize: lanes, MaxRetries: -1, DisableIdentity: true, Protocol: 2,
			ContextTimeoutEnabled: true})}
	for i := range s.lane {
		s.lane[i] = make(chan func(), waiting)
	}
	return s
}

// Run works until ctx ends, and then does what was asked before.
func (s *Redis) Run(ctx context.Context) {
	defer s.db.Close()
	var all sync.WaitGroup
	for _, lane := range s.lane {
		all.Go(func() {
			for {
				select {
				case f := <-lane:
					f()
				case <-ctx.Done():
					for len(lane) > 0 {
						(<-lane)()
					}
					return
				}
			}
		})
	}
	all.Wait()
}

func (s *Redis) key(k core.Key) string { return s.opt.Prefix + s.class[k.Class] + ":" + k.Token }

// do queues work on a key; false = no room.
func (s *Redis) do(k core.Key, f func(ctx context.Context, key string)) bool {
	key := s.key(k)
	select {
	case s.lane[maphash.String(s.seed, key)%lanes] <- func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.opt.TimeoutMs)*time.Millisecond)
		defer cancel()
		f(ctx, key)
	}:
		return true
	default:
		return false
	}
}

// Claim asks for a key.
func (s *Redis) Claim(p core.Piece) bool {
	k, sum, life := p.Key, p.Sum, p.Life
	return s.do(k, func(ctx context.Context, key string) {
		state, result, err := s.claim(ctx, key, sum, life)
		if err != nil {
			s.log.Warn("store", "do", "claim", "err", err)
			state = core.ClaimDown
		}
		s.sink(core.Claimed{Key: k, State: state, Result: result})
	})
}

func (s *Redis) claim(ctx context.Context, key string, sum [32]byte, life time.Duration) (core.Claim, []byte, error) {
	mine := value(markClaim, sum, []byte(s.owner))
	for range 2 {
		err := s.db.SetArgs(ctx, key, mine, redis.SetArgs{Mode: "NX", TTL: life}).Err()
		if err == nil {
			return core.ClaimWon, nil, nil
		}
		if !errors.Is(err, redis.Nil) {
			return core.ClaimDown, nil, err
		}
		old, err := s.db.Get(ctx, key).Bytes()
		if errors.Is(err, redis.Nil) { // it was released just now
			continue
		}
		if err != nil {
			return core.ClaimDown, nil, err
		}
		state, result, err := read(old, mine)
		return state, result, err
	}
	return core.ClaimOther, nil, nil
}

// read tells what a value that is there means to one who would write mine.
func read(old, mine []byte) (core.Claim, []byte, error) {
	switch {
	case len(old) < 1+sumLen:
		return core.ClaimDown, nil, fmt.Errorf("a value of %d bytes is none of ours", len(old))
	case !bytes.Equal(old[1:1+sumLen], mine[1:1+sumLen]):
		return core.ClaimOff, nil, nil
	case bytes.Equal(old, mine): // an answer of the store was lost, and nothing ran here
		return core.ClaimWon, nil, nil
	case old[0] == markDone:
		return core.ClaimDone, old[1+sumLen:], nil
	case old[0] == markFailed:
		return core.ClaimFailed, nil, nil
	}
	return core.ClaimOther, nil, nil
}

func value(mark byte, sum [32]byte, rest []byte) []byte {
	out := hex.AppendEncode([]byte{mark}, sum[:])
	return append(out, rest...)
}

// Holds implements core.Store: a claim is this process's until it gives it up or it expires.
func (s *Redis) Holds() bool { return true }

// Finish replaces this server's claim by the end of its run. Nothing waits for that.
func (s *Redis) Finish(k core.Key, sum [32]byte, ok bool, result []byte, life time.Duration) bool {
	mark := byte(markFailed)
	if ok {
		mark = markDone
	} else {
		result = nil
	}
	end := value(mark, sum, result)
	s.replace(k, "finish", tries, func(ctx context.Context, tx redis.Pipeliner, key string) {
		tx.Set(ctx, key, end, max(life, time.Second))
	})
	return false
}

// Release gives up this server's claim on what never ran.
func (s *Redis) Release(k core.Key) {
	s.replace(k, "release", 1, func(ctx context.Context, tx redis.Pipeliner, key string) { tx.Del(ctx, key) })
}

// replace changes a key only while it is this server's claim.
func (s *Redis) replace(k core.Key, what string, left int, change func(context.Context, redis.Pipeliner, string)) {
	taken := s.do(k, func(ctx context.Context, key string) {
		err := s.db.Watch(ctx, func(tx *redis.Tx) error {
			old, err := tx.Get(ctx, key).Bytes()
			if errors.Is(err, redis.Nil) {
				return nil
			}
			if err != nil {
				return err
			}
			if len(old) < 1+sumLen || old[0] != markClaim || string(old[1+sumLen:]) != s.owner {
				return nil
			}
			_, err = tx.TxPipelined(ctx, func(p redis.Pipeliner) error {
				change(ctx, p, key)
				return nil
			})
			return err
		}, key)
		switch {
		case err == nil:
		case left > 1:
			time.AfterFunc(time.Duration(s.opt.TimeoutMs)*time.Millisecond, func() { s.replace(k, what, left-1, change) })
		default:
			s.log.Warn("store", "do", what, "err", err)
		}
	})
	if !taken {
		s.log.Warn("store", "do", what, "err", "too much is waiting")
	}
}
