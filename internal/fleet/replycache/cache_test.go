package replycache

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/callcache"
	"larchscale/internal/core"
)

// service is the calls below, of which some fail and some never end.
type service struct {
	mu    sync.Mutex
	rand  *rand.Rand
	keep  *Cache
	takes time.Duration // 0 = by chance
	open  map[string]bool
	calls int
}

func (s *service) Call(handle string, number uint64, _ string, _ uint64, patience time.Duration, _ bool, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.open[handle] = true
	took, outcome := s.takes, control.OK
	if took == 0 {
		took = time.Duration(s.rand.Int64N(int64(20 * time.Millisecond)))
		switch s.rand.IntN(6) {
		case 0:
			outcome = control.Errored
		case 1:
			outcome = control.NotStarted
		case 2:
			return
		}
	}
	time.AfterFunc(took, func() {
		s.mu.Lock()
		mine := s.open[handle]
		delete(s.open, handle)
		s.mu.Unlock()
		if mine {
			s.keep.Ended(core.CallEnded{Handle: handle, Number: number, Outcome: outcome, Body: []byte("re " + string(body))})
		}
	})
}

func (s *service) Abandon(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, handle)
}

// rig is a box on its own, and what its core was told.
type rig struct {
	*Cache
	below *service
	mu    sync.Mutex
	ends  map[string][]core.CallEnded
}

func newRig(t *testing.T, seed uint64) *rig {
	r := &rig{ends: map[string][]core.CallEnded{}}
	site := &core.Config{Classes: []string{"fare", "map"}, Control: control.Config{Classes: make([]control.Class, 2)}}
	var err error
	r.Cache, err = New(Options{Bytes: leastBytes, Classes: map[string]int64{"fare": 30}}, "n1", site, func(e core.Event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		c := e.(core.CallEnded)
		r.ends[c.Handle] = append(r.ends[c.Handle], c)
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	r.below = &service{rand: rand.New(rand.NewPCG(seed, 1)), keep: r.Cache, open: map[string]bool{}}
	r.Attach(r.below)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go r.Run(ctx)
	return r
}

// told gives how a call ended, in turn.
func (r *rig) told(handle string) []core.CallEnded {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[handle]
}

// Each call ends once, with its own reply, unless it was given up; one that was has at most one end. Nothing is left
// behind, and a kept class costs fewer calls below than it made.
func TestEachCallEndsOnce(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, seed)
			draw := rand.New(rand.NewPCG(seed, 2))
			bodies, numbers, gaveUp := map[string]string{}, map[string]uint64{}, map[string]bool{}
			const calls = 400
			for i := range calls {
				h := fmt.Sprint(i)
				bodies[h], numbers[h] = fmt.Sprint("body ", draw.IntN(8)), uint64(i+1)
				r.Call(h, uint64(i+1), []string{"fare", "fare", "fare", "map"}[draw.IntN(4)], 0, 100*time.Millisecond, false, []byte(bodies[h]))
				time.Sleep(time.Duration(draw.Int64N(int64(2 * time.Millisecond))))
				if draw.IntN(8) == 0 {
					gaveUp[h] = true
					r.Abandon(h)
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
			hung := 0
			for h, body := range bodies {
				switch n := len(r.told(h)); {
				case n > 1 || n == 0 && !gaveUp[h] && !r.below.open[h]:
					t.Fatalf("seed %d: call %s of %q has ends %+v", seed, h, body, r.told(h))
				case n == 0:
					hung++
				case r.told(h)[0].Number != numbers[h]:
					t.Fatalf("seed %d: call %d was told %+v", seed, numbers[h], r.told(h)[0])
				case r.told(h)[0].Outcome == control.OK && string(r.told(h)[0].Body) != "re "+body:
					t.Fatalf("seed %d: %q was told %q", seed, body, r.told(h)[0].Body)
				}
			}
			if len(r.wants)+len(r.handles)+len(r.remotes)+len(r.led) > 0 || r.below.calls > calls*3/4 || hung > calls/4 || r.hits.Load() == 0 {
				t.Errorf("seed %d: %d wants, %d calls below, %d hung, %d hits", seed, len(r.wants), r.below.calls, hung, r.hits.Load())
			}
		})
	}
}

// Who waits behind a call that is given up makes it in its place, at once.
func TestACallThatIsGivenUpIsTheNextOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.below.takes = 10 * time.Millisecond
		for i, h := range []string{"a", "b"} {
			r.Call(h, uint64(i+1), "fare", 0, time.Second, false, []byte("one"))
		}
		r.Abandon("a")
		time.Sleep(11 * time.Millisecond)
		synctest.Wait()
		if a, b := r.told("a"), r.told("b"); len(a) != 0 || len(b) != 1 || string(b[0].Body) != "re one" || r.below.calls != 2 {
			t.Errorf("%+v, %+v, %d calls below", a, b, r.below.calls)
		}
	})
}

// A reply that was on its way when its call was given up is not taken for that of the handle's next call.
func TestALateReplyIsNotTheNextCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.below.takes = 10 * time.Millisecond
		r.Call("a", 1, "fare", 0, time.Second, false, []byte("one"))
		synctest.Wait()
		r.Abandon("a")
		r.Call("a", 2, "fare", 0, time.Second, false, []byte("two"))
		r.Ended(core.CallEnded{Handle: "a", Number: 1, Outcome: control.OK, Body: []byte("re one")})
		r.Call("b", 3, "fare", 0, time.Second, false, []byte("two"))
		time.Sleep(100 * time.Millisecond)
		if got := r.told("b"); len(got) != 1 || string(got[0].Body) != "re two" {
			t.Errorf("%+v", got)
		}
	})
}

// At a home, who waits for the call of another box has its reply once it comes, and makes the call itself within its
// share of the time left if that box is gone.
func TestAHomeWaitsForAnotherBoxAndNotForLong(t *testing.T) {
	for _, comes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1)
			r.below.takes = 10 * time.Millisecond
			key := callcache.KeyOf("fare", []byte("one"))
			say := func(m message) {
				m.Class, m.Sum = key.Class, key.Sum
				r.enter(func(ctx context.Context) { r.receive(ctx, "n2", m) })
			}
			r.enter(func(context.Context) { r.homes = make([]uint16, callcache.Shards) })
			say(message{Kind: question, ID: 7, Ask: 2000})
			began := time.Now()
			r.Call("a", 1, "fare", 0, time.Second, false, []byte("one"))
			time.Sleep(20 * time.Millisecond)
			calls, within := 1, time.Duration(askShare*float64(time.Second+lastWord*time.Millisecond))+20*time.Millisecond
			if comes {
				say(message{Kind: reply, Reply: []byte("re one"), Born: now()})
				calls, within = 0, 21*time.Millisecond
			}
			for len(r.told("a")) == 0 && time.Since(began) < time.Second {
				time.Sleep(time.Millisecond)
				synctest.Wait()
			}
			if got, took := r.told("a"), time.Since(began); len(got) != 1 || string(got[0].Body) != "re one" || took > within || r.below.calls != calls {
				t.Errorf("comes %v: %+v after %v, %d calls below", comes, got, took, r.below.calls)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if len(r.remotes)+len(r.led)+len(r.wants) > 0 {
				t.Errorf("%d remotes, %d led, %d wants are left", len(r.remotes), len(r.led), len(r.wants))
			}
		})
	}
}

// deaf takes all messages, and brings them nowhere.
type deaf struct{}

func (deaf) Send(context.Context, string, message) bool { return true }

// A home that does not answer costs one call its share of the time left; then the home is asked nothing for a while.
func TestALateHomeCostsItsShareOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.below.takes = 10 * time.Millisecond
		r.enter(func(context.Context) {
			homes := slices.Repeat([]uint16{r.number("n2")}, callcache.Shards)
			r.streams, r.homes = deaf{}, homes
			if err := r.kept.SetOwners(1, homes); err != nil {
				t.Error(err)
			}
		})
		share := time.Duration(askShare*float64(time.Second+lastWord*time.Millisecond)) + 10*time.Millisecond
		for i, want := range []time.Duration{share, 10 * time.Millisecond, 10 * time.Millisecond} {
			h, began := fmt.Sprint(i), time.Now()
			r.Call(h, uint64(i+1), "fare", 0, time.Second, false, []byte(h))
			for len(r.told(h)) == 0 && time.Since(began) < time.Second {
				time.Sleep(time.Millisecond)
				synctest.Wait()
			}
			if took := time.Since(began); took < want || took > want+2*time.Millisecond {
				t.Errorf("call %d took %v, want %v", i, took, want)
			}
		}
	})
}
