// Package store implements core.Store, the table of claimed keys shared between servers or processes, so that a keyed
// request that may reach any of them runs on one only. It has an implementation in Redis and one in a directory.
package store

import (
	"bytes"
	"context"
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

// Options is the table [store] of the operator's configuration.
type Options struct {
	Redis     string `toml:"redis"`      // "host:port"; empty = no shared store
	Prefix    string `toml:"prefix"`     // prefix of all keys in Redis
	TimeoutMs int    `toml:"timeout_ms"` // for one command; a store that takes longer counts as unavailable
}

// Defaults returns the options that apply where the operator's file sets none.
func Defaults() Options { return Options{Prefix: "larchscale:", TimeoutMs: 250} }

const (
	workerCount    = 8   // worker goroutines; all commands for one key go through one of them, in order
	queueLimit     = 256 // queue limit of each worker; when it is reached the store counts as unavailable
	claimAttempts  = 2   // attempts to claim a key that changes at the same time
	finishAttempts = 4   // attempts to store a result; if it is lost, repeats on other servers get no answer
)

// errNoRoom is logged for a change that is dropped.
var errNoRoom = errors.New("no room for the changes that wait")

// A value consists of a mark, the body's checksum in hex, and the claim's holder or the result of a run. The holder is the
// process and the claim's own number: see claimHolder.
const (
	markClaim  = 'c'
	markDone   = 'd'
	markFailed = 'f'
	hexSumLen  = 64
)

// NewOwnerID returns an identifier of this process for its claims. The server's name from the settings is not enough: both
// processes of a replacement have the same one, and each would take the other's claims for its own.
func NewOwnerID(server string) string {
	return fmt.Sprintf("%s-%d-%016x", server, os.Getpid(), rand.Uint64())
}

// Redis implements core.Store in a Redis server.
type Redis struct {
	options    Options
	owner      string // identifies this process; another process of the same server may have run what it claimed
	classNames []string
	sink       func(core.Event)
	log        *slog.Logger
	client     *redis.Client
	queues     [workerCount]chan func()
	waiting    byteBudget // of results
	seed       maphash.Seed
}

// NewRedis returns a store that passes the answers to claims to sink. class lists the class names used in keys. Results that
// wait to be stored take up to maxBytes; beyond that they are dropped.
func NewRedis(opt Options, owner string, class []string, maxBytes int64, sink func(core.Event), log *slog.Logger) *Redis {
	timeout := time.Duration(opt.TimeoutMs) * time.Millisecond
	s := &Redis{options: opt, owner: owner, classNames: class, sink: sink, log: log, seed: maphash.MakeSeed(), waiting: byteBudget{limit: maxBytes},
		client: redis.NewClient(&redis.Options{Addr: opt.Redis, DialTimeout: timeout, ReadTimeout: timeout,
			WriteTimeout: timeout, PoolSize: workerCount, MaxRetries: -1, DisableIdentity: true, Protocol: 2,
			ContextTimeoutEnabled: true})}
	for i := range s.queues {
		s.queues[i] = make(chan func(), queueLimit)
	}
	return s
}

// Run processes the queues until ctx ends, and then completes the work that is already queued.
func (s *Redis) Run(ctx context.Context) {
	defer s.client.Close()
	var workers sync.WaitGroup
	for _, lane := range s.queues {
		workers.Go(func() {
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
	workers.Wait()
}

func (s *Redis) redisKey(k core.Key) string {
	return s.options.Prefix + s.classNames[k.Class] + ":" + k.Token
}

// enqueue queues work on a key. It returns false if the queue is full.
func (s *Redis) enqueue(k core.Key, f func(ctx context.Context, key string)) bool {
	key := s.redisKey(k)
	select {
	case s.queues[maphash.String(s.seed, key)%workerCount] <- func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.options.TimeoutMs)*time.Millisecond)
		defer cancel()
		f(ctx, key)
	}:
		return true
	default:
		return false
	}
}

// Claim queues a claim of a key. It returns false if the queue is full.
func (s *Redis) Claim(p core.KeyedRequest) bool {
	k, id := p.Key, p.ClaimID
	wanted := newClaimValue(s.owner, p)
	lifetime := p.Life
	return s.enqueue(k, func(ctx context.Context, key string) {
		state, result, err := s.claim(ctx, key, wanted, lifetime)
		if err != nil {
			s.log.Warn("store", "do", "claim", "err", err)
			state = core.ClaimUnavailable
		}
		s.sink(core.ClaimAnswered{Key: k, ClaimID: id, State: state, Result: result})
	})
}

func (s *Redis) claim(ctx context.Context, key string, wanted claimValue, lifetime time.Duration) (core.Claim, []byte, error) {
	for range claimAttempts {
		err := s.client.SetArgs(ctx, key, wanted.value, redis.SetArgs{Mode: "NX", TTL: lifetime}).Err()
		if err == nil {
			return core.ClaimWon, nil, nil
		}
		if !errors.Is(err, redis.Nil) {
			return core.ClaimUnavailable, nil, err
		}
		current, err := s.client.Get(ctx, key).Bytes()
		if errors.Is(err, redis.Nil) { // released between the two commands
			continue
		}
		if err != nil {
			return core.ClaimUnavailable, nil, err
		}
		if !wanted.replaces(current) {
			return wanted.interpret(current)
		}
		err = s.replaceOwnClaim(ctx, key, current, wanted, lifetime)
		if !errors.Is(err, redis.TxFailedErr) {
			return core.ClaimWon, nil, err
		}
	}
	return core.ClaimOther, nil, nil
}

// replaceOwnClaim replaces an earlier claim of this process. Commands about the earlier claim that are still on their way
// then find another value, or that the value has changed since they read it.
func (s *Redis) replaceOwnClaim(ctx context.Context, key string, earlier []byte, wanted claimValue, lifetime time.Duration) error {
	return s.client.Watch(ctx, func(tx *redis.Tx) error {
		current, err := tx.Get(ctx, key).Bytes()
		if errors.Is(err, redis.Nil) || err == nil && !bytes.Equal(current, earlier) {
			return redis.TxFailedErr
		}
		if err != nil {
			return err
		}
		_, err = tx.TxPipelined(ctx, func(p redis.Pipeliner) error {
			p.Set(ctx, key, wanted.value, lifetime)
			return nil
		})
		return err
	}, key)
}

// OwnsClaims implements core.Store. A claim belongs to this process until it is released or expires.
func (s *Redis) OwnsClaims() bool { return true }

// Finish replaces the claim by the outcome of the run. No event follows.
func (s *Redis) Finish(k core.Key, claim core.ClaimID, sum [32]byte, ok bool, result []byte, lifetime time.Duration) bool {
	mark := byte(markFailed)
	if ok {
		mark = markDone
	} else {
		result = nil
	}
	end := encodeValue(mark, sum, result)
	s.replace(k, replacement{holder: claimHolder(s.owner, claim), operation: "finish", attempts: finishAttempts, size: len(end),
		change: func(ctx context.Context, tx redis.Pipeliner, key string) {
			tx.Set(ctx, key, end, max(lifetime, time.Second))
		}})
	return false
}

// Release removes the claim of a request that never ran.
func (s *Redis) Release(k core.Key, claim core.ClaimID) {
	s.replace(k, replacement{holder: claimHolder(s.owner, claim), operation: "release", attempts: 1,
		change: func(ctx context.Context, tx redis.Pipeliner, key string) { tx.Del(ctx, key) }})
}

// replacement changes a key that is held by a claim.
type replacement struct {
	holder    string // of the claim
	operation string // for the log
	attempts  int    // that are left
	size      int    // bytes that it keeps in memory
	change    func(ctx context.Context, tx redis.Pipeliner, key string)
}

// replace changes a key only while it is held by the claim. A change without room is dropped.
func (s *Redis) replace(k core.Key, r replacement) {
	if !s.waiting.take(r.size) {
		s.log.Warn("store", "do", r.operation, "err", errNoRoom)
		return
	}
	s.attempt(k, r)
}

// attempt queues one attempt of a replacement, whose bytes are reserved until its last one.
func (s *Redis) attempt(k core.Key, r replacement) {
	queued := s.enqueue(k, func(ctx context.Context, key string) {
		err := s.client.Watch(ctx, func(tx *redis.Tx) error {
			current, err := tx.Get(ctx, key).Bytes()
			if errors.Is(err, redis.Nil) {
				return nil
			}
			if err != nil {
				return err
			}
			if !isHeldBy(current, r.holder) {
				return nil
			}
			_, err = tx.TxPipelined(ctx, func(p redis.Pipeliner) error {
				r.change(ctx, p, key)
				return nil
			})
			return err
		}, key)
		if err != nil && r.attempts > 1 {
			r.attempts--
			time.AfterFunc(time.Duration(s.options.TimeoutMs)*time.Millisecond, func() { s.attempt(k, r) })
			return
		}
		s.waiting.give(r.size)
		if err != nil {
			s.log.Warn("store", "do", r.operation, "err", err)
		}
	})
	if !queued {
		s.waiting.give(r.size)
		s.log.Warn("store", "do", r.operation, "err", errNoRoom)
	}
}
