package control

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Worker that records the actions of a Controller.
type recorder struct {
	ran, refused, failed, stopped, kept, replayed, called, skipped []uint32
	last                                                           map[uint32]bool
	level                                                          float64
	healthy                                                        bool
	wake, idle, patience, away                                     time.Duration
}

func (w *recorder) Run(id uint32)  { w.ran = append(w.ran, id) }
func (w *recorder) Stop(id uint32) { w.stopped = append(w.stopped, id) }
func (w *recorder) Refuse(id uint32, away time.Duration, last bool) {
	w.refused = append(w.refused, id)
	w.away = away
	if w.last == nil {
		w.last = map[uint32]bool{}
	}
	w.last[id] = last
}
func (w *recorder) Fail(id uint32) { w.failed = append(w.failed, id) }
func (w *recorder) Call(id uint32, patience time.Duration) {
	w.called = append(w.called, id)
	w.patience = patience
}
func (w *recorder) Skip(id uint32)                     { w.skipped = append(w.skipped, id) }
func (w *recorder) Keep(id uint32, term time.Duration) { w.kept = append(w.kept, id) }
func (w *recorder) Forget(id uint32)                   {}
func (w *recorder) Replay(id uint32)                   { w.replayed = append(w.replayed, id) }
func (w *recorder) SetLevel(x float64)                 { w.level = x }
func (w *recorder) SetHealth(ok, stored bool)          { w.healthy = ok }
func (w *recorder) CloseIdle(after time.Duration)      { w.idle = after }
func (w *recorder) Wake(in time.Duration)              { w.wake = in }
func (w *recorder) Log(text string)                    {}

func contains(list []uint32, id uint32) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// baseConfig describes a worker of two cores with a safe class, a keyed class and a safe class that calls.
func baseConfig() Config {
	return Config{Cores: 2, Classes: []Class{
		{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
		{Aim: time.Second, Deadline: 3 * time.Second, Worth: 3, Effect: Keyed, Window: 10 * time.Second},
		{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Calls: true},
	}, Advert: AdvertLevel, RunFactor: 8, Memory: 100000, KeyMemory: 10, Crowd: 5, CrowdFor: time.Second,
		CallShare: 4, CallWindow: 5 * time.Second, DrainGrace: time.Second, Quantum: 5 * ms,
		Slack: 60 * ms, MaxAdvice: time.Second}
}

// newController returns a controller that starts at time 0, and the recorder of its actions.
func newController(t *testing.T, cfg Config) (*Controller, *recorder) {
	t.Helper()
	w := &recorder{}
	c, err := New(cfg, 0, w)
	if err != nil {
		t.Fatal(err)
	}
	return c, w
}

// newRequest returns a request of middle rank with three seconds left.
func newRequest(id uint32, class int) Request {
	return Request{ID: id, Class: class, Rank: 0.5, TimeLeft: 3 * time.Second, Memory: 10}
}

func TestStartsTheWorthiestUpToTheCores(t *testing.T) {
	c, w := newController(t, baseConfig())
	for id := uint32(1); id <= 4; id++ {
		c.Request(0, newRequest(id, 0))
	}
	c.Request(0, newRequest(5, 1))
	c.Decide(0)
	if len(w.ran) != 2 || w.ran[0] != 5 || w.ran[1] != 1 {
		t.Fatalf("ran %v, want the worthiest and then the oldest on two cores", w.ran)
	}
}

func TestEverythingIsAnsweredByItsDueTime(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[0].Aim = 3 * time.Second
	c, w := newController(t, cfg)
	for id := uint32(1); id <= 3; id++ {
		c.Request(0, newRequest(id, 0))
	}
	c.Decide(0)
	now := 3*time.Second - dueQuanta*cfg.Quantum
	c.Tick(now, Gauges{CoreUse: 1})
	c.Decide(now)
	if len(w.failed) != 2 || !contains(w.refused, 3) {
		t.Fatalf("failed %v, refused %v, want the two running requests failed and the held one refused",
			w.failed, w.refused)
	}
	c.Done(now+1*ms, 1, 0, Stopped)
	c.Decide(now + 1*ms)
	if len(w.failed) != 2 {
		t.Fatal("answered twice")
	}
}

func TestKeyedRepeatIsReplayedNeverRun(t *testing.T) {
	c, w := newController(t, baseConfig())
	c.Request(0, newRequest(1, 1))
	q := newRequest(2, 1)
	q.RepeatOf = 1
	c.Request(0, q)
	c.Decide(0)
	if !contains(w.kept, 1) || !contains(w.replayed, 2) || contains(w.ran, 2) || contains(w.refused, 2) {
		t.Fatalf("kept %v, replayed %v, ran %v, refused %v", w.kept, w.replayed, w.ran, w.refused)
	}
}

func TestRequestsAfterTheGraceAreNotRun(t *testing.T) {
	c, w := newController(t, baseConfig())
	c.Drain(0, 4*time.Second)
	c.Decide(0)
	if !w.healthy || w.level != 0 { // it keeps accepting, as callers may not know its successor yet
		t.Fatalf("healthy %v, level %v after the notice", w.healthy, w.level)
	}
	c.Request(500*ms, newRequest(1, 0))
	c.Decide(500 * ms)
	c.Decide(700 * ms)
	if w.healthy || w.level != 1 {
		t.Fatalf("healthy %v, level %v near the end of the grace", w.healthy, w.level)
	}
	c.Request(1200*ms, newRequest(2, 0))
	c.Decide(1200 * ms)
	if !contains(w.ran, 1) || contains(w.ran, 2) || !contains(w.refused, 2) {
		t.Fatalf("ran %v refused %v", w.ran, w.refused)
	}
	now := 4*time.Second - 50*ms
	c.Decide(now)
	if !contains(w.failed, 1) {
		t.Fatal("work still running was not answered before the stop")
	}
}

func TestMemoryLimitHoldsInABurst(t *testing.T) {
	cfg := baseConfig()
	cfg.Memory = 400
	c, w := newController(t, cfg)
	for id := uint32(1); id <= 60; id++ {
		q := newRequest(id, 0)
		q.Rank = float64(id) / 100
		c.Request(0, q)
	}
	c.Decide(0)
	held := 60 - len(w.refused) - len(w.ran)
	if need := float64(held)*10 + float64(len(w.ran))*80; need > cfg.Memory {
		t.Fatalf("%v kB needed of %v", need, cfg.Memory)
	}
	if contains(w.refused, 60) || len(w.refused) == 0 {
		t.Fatalf("refused %v, want the lowest-ranked", w.refused)
	}
}

func TestKeyedCallIsNotRepeatedWhenItMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		how   Outcome
		again bool
	}{{Rejected, true}, {Unreachable, true}, {TimedOut, false}, {Interrupted, false}, {Errored, false}} {
		c, w := newController(t, baseConfig())
		c.Request(0, newRequest(1, 1))
		c.Decide(0)
		c.Blocked(10*ms, 1)
		c.Decide(10 * ms)
		c.CallDone(20*ms, 1, 10*ms, test.how)
		c.Decide(20 * ms)
		if len(w.called) == 2 {
			t.Errorf("outcome %d: called again at once", test.how)
		}
		if test.again && w.wake > 5*ms {
			t.Errorf("outcome %d: the wake-up is only after %v", test.how, w.wake)
		}
		c.Decide(25 * ms)
		if got := len(w.called) == 2; got != test.again {
			t.Errorf("outcome %d: called again %v, want %v", test.how, got, test.again)
		}
		if !test.again && !contains(w.failed, 1) {
			t.Errorf("outcome %d: the request did not fail", test.how)
		}
	}
}

// flood feeds 200 requests, 10 ms apart, that have waited unread for wait, with the given core use. It returns
// the time after the last of them.
func flood(c *Controller, from, wait time.Duration, coreUse float64) time.Duration {
	id := uint32(from/ms) + 1000
	for i := 0; i < 200; i++ {
		now := from + time.Duration(i)*10*ms
		q := newRequest(id+uint32(i), 0)
		q.Rank = float64(i*37%100) / 100
		q.Waited = wait
		c.Tick(now, Gauges{CoreUse: coreUse})
		c.Request(now, q)
		c.Decide(now)
		c.Done(now, q.ID, 0, OK)
	}
	return from + 2*time.Second
}

func TestCursorFollowsQueuingTime(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := flood(c, 0, 0, 1)
	if w.level != 0 {
		t.Fatalf("level %v while nothing queues", w.level)
	}
	now = flood(c, now, 300*ms, 1)
	high := w.level
	if high <= 0 || len(w.refused) == 0 {
		t.Fatalf("level %v, refused %d, after two seconds of queuing", high, len(w.refused))
	}
	for i := 0; i < 5; i++ {
		now = flood(c, now, 0, 0.5)
	}
	if w.level >= high {
		t.Fatalf("level %v still after the overload", w.level)
	}
}

// Callers give each try a part of their total wait. A try with less time left than another is therefore not
// older, and must not be refused as if it were.
func TestShortTimeLeftIsNotTakenForAge(t *testing.T) {
	c, w := newController(t, baseConfig())
	q := newRequest(1, 0)
	c.Request(0, q)
	c.Decide(0)
	q = newRequest(2, 0)
	q.TimeLeft = 1200 * ms
	c.Request(0, q)
	c.Decide(0)
	if !contains(w.ran, 2) {
		t.Fatalf("ran %v, refused %v", w.ran, w.refused)
	}
}

// A slow machine takes long to read requests. While its cores are partly idle, that time is not queuing and must
// not raise the level.
func TestSlowReadingWithIdleCoresIsNoOverload(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := flood(c, 0, 10*ms, 0.5)
	flood(c, now, 300*ms, 0.5)
	if w.level != 0 {
		t.Fatalf("level %v with half of the cores idle", w.level)
	}
}

// A cursor at the top admits nothing, so the admitted rate is zero. It must still fall once the overload is over.
func TestCursorFallsAgainFromTheTop(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := time.Duration(0)
	for i := 0; i < 4; i++ {
		now = flood(c, now, 2*time.Second, 1)
	}
	if w.level < 0.9 {
		t.Fatalf("level %v after a long overload, want the top", w.level)
	}
	for i := 0; i < 3; i++ {
		now = flood(c, now, 0, 0.1)
	}
	if w.level > 0.3 {
		t.Fatalf("level %v six seconds after the overload, with idle cores", w.level)
	}
}

// Cores that are well used, but with nothing held, can take more requests: refusals must end soon after a jump
// of traffic.
func TestCursorFallsSoonWhereNothingWaits(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := flood(c, 0, 0, 1)
	now = flood(c, now, 400*ms, 1)
	high := w.level
	flood(c, now, 0, 0.88)
	if high < 0.2 || w.level > high/2 {
		t.Fatalf("level %v, two seconds after %v with nothing held", w.level, high)
	}
}

// Callers told to stay away must return before the held work is done, or the cores go idle. The advice lasts for
// half of that work, and there is none where nothing is held.
func TestAdviceEndsBeforeTheHeldWork(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := flood(c, 0, 0, 1)
	now = flood(c, now, 700*ms, 1)
	if len(w.refused) == 0 || w.away != 0 {
		t.Fatalf("%d refused, told to stay away for %v with nothing held", len(w.refused), w.away)
	}
	c.classes[0].runSeconds = mean{value: 0.1, count: minSamples}
	for id := uint32(1); id <= 8; id++ { // two run; the other six are expected to take two cores for 0.42 s
		q := newRequest(id, 0)
		q.Rank = 1
		c.Request(now, q)
		c.Decide(now)
	}
	for i := time.Duration(1); i <= 4; i++ {
		c.Tick(now+i*90*ms, Gauges{CoreUse: 1, OnCores: 9})
		c.Decide(now + i*90*ms)
	}
	q := newRequest(9, 0)
	q.Rank = 0
	c.Request(now+360*ms, q)
	if !contains(w.refused, 9) || w.away < 150*ms || w.away > 300*ms {
		t.Fatalf("refused %v, told to stay away for %v, want half of the held work", contains(w.refused, 9), w.away)
	}
}

// Callers learn of a cold worker only seconds after its start. Its idle cores until then say nothing about its
// capacity and must not lower the level. Once requests arrive, the level falls as the cores allow.
func TestColdWorkerStaysStrictUntilItsFirstRequests(t *testing.T) {
	cfg := baseConfig()
	cfg.Cold, cfg.ColdFrom, cfg.ColdFor = true, 0.3, 10*time.Second
	c, w := newController(t, cfg)
	now := time.Duration(0)
	for ; now < 4*time.Second; now += 100 * ms {
		c.Tick(now, Gauges{CoreUse: 0})
		c.Decide(now)
	}
	if w.level < 0.6 {
		t.Fatalf("level %v after four seconds without a request", w.level)
	}
	for range 3 {
		now = flood(c, now, 0, 0.3)
	}
	if w.level > 0 {
		t.Fatalf("level %v six seconds after the first request, with idle cores", w.level)
	}
}

// While the cursor falls in steps, an idle core runs a request that is read already, even if it ranks below the
// cursor.
func TestIdleCoreRunsRequestsBelowTheCursor(t *testing.T) {
	c, w := newController(t, baseConfig())
	c.cursor = bins / 2
	for id := uint32(1); id <= 3; id++ {
		q := newRequest(id, 0)
		q.Rank = 0.1
		c.Request(0, q)
		c.Decide(0)
	}
	if len(w.ran) != 2 || !contains(w.refused, 3) {
		t.Fatalf("ran %v, refused %v, want two on the idle cores and the third refused", w.ran, w.refused)
	}
}

// Where reading is expensive, a request that is read already is not refused while hardly anything waits.
func TestExpensiveReadingIsHeldWhileLittleWaits(t *testing.T) {
	for _, test := range []struct {
		readUse, overload float64
		held              bool
	}{{0, 0, false}, {2 * expensiveReadUse, 0, true}, {2 * expensiveReadUse, 2, false}} {
		c, w := newController(t, baseConfig())
		c.cursor, c.readUse, c.overload = bins/2, test.readUse, test.overload
		for id := uint32(1); id <= 4; id++ {
			q := newRequest(id, 0)
			if q.Rank = 0.1; id <= 2 {
				q.Rank = 0.9 // takes a core
			}
			c.Request(0, q)
			c.Decide(0)
		}
		if !contains(w.refused, 4) != test.held || len(w.ran) != 2 {
			t.Errorf("read use %v, overload %v: refused %v, want held %v",
				test.readUse, test.overload, w.refused, test.held)
		}
	}
}

// The core use lags by half a second, so it must not raise the running limit: only cores that are idle now do.
func TestRunLimitGrowsOnlyWithCoresIdleNow(t *testing.T) {
	for _, test := range []struct {
		onCores float64
		want    int
	}{{2, 2}, {1, 5}} {
		c, w := newController(t, baseConfig())
		for id := uint32(1); id <= 12; id++ {
			c.Request(0, newRequest(id, 0))
		}
		c.Decide(0)
		c.Tick(100*ms, Gauges{CoreUse: 0.5, OnCores: test.onCores})
		c.Decide(100 * ms)
		if len(w.ran) < 2 || (len(w.ran) > 2) != (test.want > 2) {
			t.Errorf("%v on the cores: %d running", test.onCores, len(w.ran))
		}
	}
}

// A frequent user can fill a single bin with more than the share beta of all requests. This must not stop the
// cursor above that bin for good.
func TestHotBinDoesNotStopTheCursor(t *testing.T) {
	c, w := newController(t, baseConfig())
	c.cursor = bins / 2
	c.rates[bins/2-1] = 30
	c.rates[bins-1] = 40
	for now := time.Duration(0); now < 10*time.Second; now += 25 * ms {
		q := newRequest(uint32(now/ms)+1, 0)
		q.Rank = 0.999
		c.Tick(now, Gauges{CoreUse: 0.5})
		c.Request(now, q)
		c.Decide(now)
		c.Done(now, q.ID, 0, OK)
	}
	if w.level > 0.3 {
		t.Fatalf("level %v after ten calm seconds", w.level)
	}
}

// While all runs hang, the worker must not attract more requests. Once they end, their long run times must not
// make it refuse every request.
func TestStallIsDetectedAndEnds(t *testing.T) {
	c, w := newController(t, baseConfig())
	for id := uint32(1); id <= 12; id++ {
		now := time.Duration(id) * 100 * ms
		c.Request(now, newRequest(id, 0))
		c.Decide(now)
	}
	c.Decide(2500 * ms)
	if w.level != 1 || w.healthy {
		t.Fatalf("level %v, healthy %v while no run leaves the cores", w.level, w.healthy)
	}
	for _, id := range append([]uint32(nil), w.ran...) {
		c.Done(9*time.Second, id, 8*time.Second, OK)
	}
	c.Decide(9 * time.Second)
	if w.level == 1 || !w.healthy {
		t.Fatalf("level %v, healthy %v after the stall", w.level, w.healthy)
	}
	for id := uint32(20); id < 30; id++ {
		now := time.Duration(id) * time.Second
		c.Request(now, newRequest(id, 0))
		c.Decide(now)
		c.Done(now+100*ms, id, 100*ms, OK)
		c.Decide(now + 100*ms)
		if !contains(w.ran, id) {
			t.Fatalf("request %d refused by an idle worker after the stall", id)
		}
	}
}

// quickCalls runs the requests 1 to last, one per second, each with a call of 200 ms.
func quickCalls(c *Controller, last uint32) {
	for id := uint32(1); id <= last; id++ {
		now := time.Duration(id) * time.Second
		c.Request(now, newRequest(id, 2))
		c.Decide(now)
		c.Blocked(now+10*ms, id)
		c.Decide(now + 10*ms)
		c.CallDone(now+210*ms, id, 200*ms, OK)
		c.Done(now+220*ms, id, 220*ms, OK)
		c.Decide(now + 220*ms)
	}
}

// With a bound of less than one call at a time, the second request that waits to call waits for many times the
// call time. A request whose turn comes too late must be refused before it runs.
func TestCallWaitCountsAllRequestsThatShareTheBound(t *testing.T) {
	cfg := baseConfig()
	cfg.CallShare = 0.5
	c, w := newController(t, cfg)
	quickCalls(c, 3)
	now := 10 * time.Second
	for id := uint32(10); id < 14; id++ {
		c.Request(now, newRequest(id, 2))
		c.Decide(now)
		c.Blocked(now, id)
		c.Decide(now)
	}
	if !contains(w.ran, 10) || !contains(w.refused, 13) {
		t.Fatalf("ran %v, refused %v, want the first accepted and the last refused early", w.ran, w.refused)
	}
}

// Where the hints of requests predict their run times, a request that is too long for its aim is refused on its
// arrival. Hints without information must not lead to refusals.
func TestHintRefusesARequestTooLongForItsAim(t *testing.T) {
	for _, test := range []struct {
		name    string
		noise   float64 // largest factor by which a hint is off, up or down
		refused bool
	}{{"exact hints", 1, true}, {"hints without information", 64, false}} {
		c, w := newController(t, baseConfig())
		random := rand.New(rand.NewPCG(1, 2))
		complete := func(id uint32, hint, took time.Duration) {
			now := time.Duration(id) * time.Second
			q := newRequest(id, 0)
			q.Work = time.Duration(float64(hint) * math.Pow(test.noise, 2*random.Float64()-1))
			c.Request(now, q)
			c.Decide(now)
			c.Done(now+took, id, took, OK)
		}
		for id := uint32(1); id <= 300; id++ {
			took := time.Duration(50+random.IntN(150)) * ms
			complete(id, took/2, took) // these cores take twice as long as the hints
		}
		now := 400 * time.Second
		for id := uint32(1001); id < 1005; id++ {
			q := newRequest(id, 0)
			q.Work = 60 * ms
			if id == 1003 {
				q.Work = 480 * ms
			}
			c.Request(now, q)
			c.Decide(now)
		}
		if contains(w.refused, 1003) != test.refused || contains(w.refused, 1004) {
			t.Errorf("%s: refused %v", test.name, w.refused)
		}
	}
}

// The margin on the run time that a hint predicts is smaller the worthier the class, as a wrong refusal costs more
// there.
func TestHintMarginIsSmallerInAWorthierClass(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[1].Effect = Unsafe
	for class, refused := range []bool{true, false} {
		c, w := newController(t, cfg)
		for id := uint32(1); id <= 100; id++ {
			now := time.Duration(id) * time.Second
			took := time.Duration(50+id%100) * ms
			q := newRequest(id, class)
			q.Work = took
			c.Request(now, q)
			c.Decide(now)
			c.Done(now+took, id, took, OK)
		}
		now := 200 * time.Second
		for id := uint32(201); id <= 202; id++ {
			c.Request(now, newRequest(id, class))
			c.Decide(now)
		}
		q := newRequest(203, class)
		q.Work, q.Waited = 400*ms, 300*ms
		c.Request(now, q)
		c.Decide(now)
		if contains(w.refused, 203) != refused {
			t.Errorf("class %d: refused %v", class, w.refused)
		}
	}
}

// In the last moments before the stop there may be no event other than the wake-up, so the wake-up itself must
// come in time for the final answers.
func TestWakesForTheLastAnswersBeforeTheStop(t *testing.T) {
	c, w := newController(t, baseConfig())
	c.Request(0, newRequest(1, 0))
	c.Decide(0)
	stop := 2 * time.Second
	c.Drain(0, stop)
	now := time.Duration(0)
	for now < stop {
		c.Tick(now, Gauges{CoreUse: 1, OnCores: 2})
		c.Decide(now)
		now += w.wake
	}
	if !contains(w.failed, 1) {
		t.Fatal("the running request was not answered by the stop")
	}
}

// Requests refused because they would end too late must raise the cursor with the wait that they were spared:
// load is to be shed by rank, not by this exception.
func TestRequestsRefusedAsTooLateMoveTheCursor(t *testing.T) {
	c, w := newController(t, baseConfig())
	for id := uint32(1); id <= 6; id++ {
		now := time.Duration(id) * time.Second
		c.Request(now, newRequest(id, 0))
		c.Decide(now)
		c.Done(now+500*ms, id, 500*ms, OK)
		c.Decide(now + 500*ms)
	}
	for now := 10 * time.Second; now < 12*time.Second; now += 20 * ms {
		q := newRequest(uint32(now/ms), 0)
		q.Rank = float64(now/(20*ms)%10) / 10
		c.Tick(now, Gauges{CoreUse: 1, OnCores: 8})
		c.Request(now, q)
		c.Decide(now)
		if len(w.ran) > 8 {
			c.Done(now, w.ran[len(w.ran)-2], 500*ms, OK)
		}
	}
	if len(w.refused) < 10 || w.level <= 0 {
		t.Fatalf("level %v after %d refusals", w.level, len(w.refused))
	}
}

// A refusal forbids a try elsewhere only in an overload that probably affects all workers: not with a few ranks
// refused, not from a worker that is slower than it was, and not from a cold one.
func TestDegradedWorkerLetsRefusalsGoElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		cursor int
		slow   time.Duration // run time of the last requests, after many of 50 ms
		cold   bool
		last   bool
	}{
		"all overloaded":     {bins - 1, 50 * ms, false, true},
		"few ranks refused":  {bins / 10, 50 * ms, false, false},
		"slower than before": {bins - 1, 400 * ms, false, false},
		"cold":               {bins - 1, 50 * ms, true, false},
	} {
		cfg := baseConfig()
		cfg.Cores = 1
		c, w := newController(t, cfg)
		now, id := time.Duration(0), uint32(0)
		run := func(n int, took time.Duration) {
			for range n {
				id++
				c.Request(now, newRequest(id, 0))
				c.Decide(now)
				now += took
				c.Done(now, id, took, OK)
			}
		}
		run(40, 50*ms)
		run(10, test.slow)
		c.cursor, c.readUse, c.overload = test.cursor, 1, 2
		c.cfg.Cold, c.cfg.ColdFor = test.cold, time.Minute
		high, low := newRequest(id+1, 0), newRequest(id+2, 0)
		high.Rank, low.Rank = 0.999, 0.01 // high takes the core, low is refused
		c.Request(now, high)
		c.Request(now, low)
		c.Decide(now)
		if last, refused := w.last[low.ID]; !refused || last != test.last {
			t.Errorf("%s: refused %v, last %v, want %v", name, refused, last, test.last)
		}
	}
}

// When many refused requests together take a large part of the cores, tries elsewhere are expensive, however
// little one reading costs.
func TestFrequentReadingsAreExpensive(t *testing.T) {
	for _, test := range []struct {
		gap  time.Duration
		last bool
	}{{200 * ms, false}, {5 * ms, true}} {
		cfg := baseConfig()
		cfg.Cores = 1
		c, w := newController(t, cfg)
		c.cursor = bins - 1
		for b := range c.rates {
			c.rates[b] = 1
		}
		id := uint32(1)
		for now := time.Duration(0); now < time.Second; now += test.gap {
			q := newRequest(id, 0)
			q.Rank, q.Waited = 0.1, 5*ms
			if id == 1 {
				q.Rank = 0.999 // takes the core, so that the others are refused
			}
			c.Tick(now, Gauges{CoreUse: 1, OnCores: 2})
			c.Request(now, q)
			c.Decide(now)
			id++
		}
		if id--; w.last[id] != test.last {
			t.Errorf("one reading every %v: last %v, want %v", test.gap, w.last[id], test.last)
		}
	}
}

// A worker that reads only requests that are too late must ask callers to stay away until it has caught up.
func TestWorkerThatReadsTooLateAsksForNoRequests(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := flood(c, 0, 0, 1)
	now = flood(c, now, 4*time.Second, 1)
	if w.level != 1 || w.healthy {
		t.Fatalf("level %v, healthy %v while all requests are read too late", w.level, w.healthy)
	}
	flood(c, now, 0, 0.3)
	if w.level == 1 || !w.healthy {
		t.Fatalf("level %v, healthy %v after it caught up", w.level, w.healthy)
	}
}

// Connections of callers that come seldom fill the connection table and keep new callers out, so they are closed
// early. Those of callers that return soon are kept. In a storm of new connections the table may stay full.
func TestIdleConnectionsCloseUnlessTheirCallersReturn(t *testing.T) {
	for _, test := range []struct {
		name    string
		callers uint32
		every   time.Duration
		use     float64
		want    time.Duration // longest idle timeout; 0 = none set, or a long one
	}{
		{"many callers that come once", 5000, 20 * ms, 0.05, time.Second},
		{"a few callers that return", 5, 20 * ms, 0.05, 0},
		{"a storm of new callers", 5000, 20 * ms, 1, 0},
		{"a few callers, each seldom", 15, 400 * ms, 0.05, 0},
	} {
		cfg := baseConfig()
		cfg.IdleMax = 30 * time.Second
		c, w := newController(t, cfg)
		for i := uint32(1); i <= 500; i++ {
			now := time.Duration(i) * test.every
			q := newRequest(i, 0)
			q.Caller = i % test.callers
			c.Tick(now, Gauges{CoreUse: test.use, OnCores: 2})
			c.Request(now, q)
			c.Decide(now)
			c.Done(now, q.ID, 0, OK)
		}
		if test.want > 0 && (w.idle == 0 || w.idle > test.want) ||
			test.want == 0 && w.idle != 0 && w.idle < 5*time.Second {
			t.Errorf("%s: idle connections close after %v, want %v", test.name, w.idle, test.want)
		}
	}
}

// A slow dependency is measured only when a call ends. Until then the age of the oldest call in flight has to
// raise the estimate; but where several calls are allowed, a single old one may only have lost its reply.
func TestOldCallInFlightRaisesTheCallEstimate(t *testing.T) {
	for _, test := range []struct {
		name    string
		share   float64
		calls   uint32
		age     time.Duration
		refused bool
	}{
		{"usual call time", 2, 1, 100 * ms, false},
		{"long in flight", 2, 1, 900 * ms, true},
		{"one old call of several", 8, 1, 990 * ms, false},
		{"several old calls", 8, 2, 990 * ms, true},
	} {
		cfg := baseConfig()
		cfg.CallShare = test.share
		c, w := newController(t, cfg)
		quickCalls(c, 10)
		now := 20 * time.Second
		for id := 20 + test.calls; id > 20; id-- {
			c.Request(now, newRequest(id, 2))
			c.Decide(now)
			c.Blocked(now, id)
			c.Decide(now)
		}
		now += test.age
		c.Request(now, newRequest(30, 2))
		c.Decide(now)
		if contains(w.refused, 30) != test.refused {
			t.Errorf("%s: refused %v", test.name, w.refused)
		}
	}
}

// runCalls runs n requests of a class, a second apart, each with a call that takes took. It returns the time of
// the last reply.
func runCalls(c *Controller, class int, n uint32, took time.Duration, now time.Duration) time.Duration {
	for id := uint32(1); id <= n; id++ {
		now += time.Second
		c.Request(now, newRequest(id, class))
		c.Decide(now)
		c.Blocked(now, id)
		c.Decide(now)
		c.CallDone(now+took, id, took, OK)
		c.Done(now+took, id, took, OK)
		now += took
	}
	return now
}

// The downstream service serves worthier calls first, so slow calls of one class say nothing about another
// class.
func TestCallTimesAreEstimatedPerClass(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes = append(cfg.Classes, Class{Aim: time.Second, Deadline: 3 * time.Second, Worth: 3, Calls: true})
	c, w := newController(t, cfg)
	now := runCalls(c, 3, 10, 50*ms, 0)
	now = runCalls(c, 2, 10, 850*ms, now)
	for id, class := range map[uint32]int{100: 2, 101: 3} {
		q := newRequest(id, class)
		q.Waited = 400 * ms
		c.Request(now, q)
	}
	if !contains(w.refused, 100) || contains(w.refused, 101) {
		t.Fatalf("refused %v, want only the request whose calls are slow", w.refused)
	}
}

// A call that cannot return in time is not made: its request fails at once, which spares the downstream service.
func TestCallThatWouldBeTooLateIsNotMade(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := runCalls(c, 2, 10, 400*ms, 0)
	c.Request(now, newRequest(100, 2))
	c.Decide(now)
	w.called = nil
	c.Blocked(now+750*ms, 100)
	c.Decide(now + 750*ms)
	if len(w.called) > 0 || !contains(w.failed, 100) {
		t.Fatalf("called %v, failed %v, with 250 ms left for a call of 400 ms", w.called, w.failed)
	}
}

// One slow machine of several in the downstream service makes one call in three slow. Requests that call are
// accepted all the same, and a slow call is given up in time to be made again.
func TestFewSlowCallsDoNotRaiseTheCallEstimate(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := time.Duration(0)
	for id := uint32(1); id <= 60; id++ {
		now += 50 * ms
		c.Request(now, newRequest(id, 2))
		c.Decide(now)
		c.Blocked(now, id)
		c.Decide(now)
		took := 50 * ms
		if id%3 == 0 {
			took = 900 * ms
		}
		now += took
		c.CallDone(now, id, took, OK)
		c.Done(now, id, took, OK)
		c.Decide(now)
	}
	q := newRequest(100, 2)
	q.Waited = 600 * ms
	c.Request(now, q)
	c.Decide(now)
	if contains(w.refused, 100) {
		t.Fatal("refused with time left for two calls of usual length")
	}
	c.Request(now, newRequest(101, 2))
	c.Decide(now)
	c.Blocked(now, 101)
	c.Decide(now)
	if w.patience > 600*ms {
		t.Errorf("a call is given up only after %v", w.patience)
	}
}

// Lost replies must neither use up the call bound for good nor raise the estimate for other calls. Calls with an
// effect that hang are neither repeated nor given up, while later calls return as quickly as before. Where no
// call returns at all, the same calls show that the downstream service is slow.
func TestLostRepliesDoNotUseUpTheCallBound(t *testing.T) {
	for _, lost := range []bool{true, false} {
		cfg := baseConfig()
		cfg.Cores, cfg.CallShare = 8, 16 // a bound of 9.6 calls
		cfg.Classes[1].Calls, cfg.Classes[1].Effect, cfg.Classes[1].Deadline = true, Unsafe, 10*time.Second
		c, w := newController(t, cfg)
		call := func(now time.Duration, id uint32) {
			q := newRequest(id, 1)
			q.TimeLeft = 10 * time.Second
			c.Request(now, q)
			c.Decide(now)
			c.Blocked(now, id)
			c.Decide(now)
		}
		reply := func(now time.Duration, id uint32) {
			if contains(w.called, id) {
				c.CallDone(now, id, 20*ms, OK)
				c.Done(now, id, 30*ms, OK)
			}
		}
		now := time.Second
		for id := uint32(1); id <= 10; id++ {
			now += 50 * ms
			call(now, id)
			reply(now+20*ms, id)
		}
		for id := uint32(101); id <= 112; id++ { // these hang
			call(now, id)
			if now += 100 * ms; lost {
				call(now, id+100)
				now += 20 * ms
				reply(now, id+100)
			}
		}
		w.refused, w.called = nil, nil
		call(now, 999)
		if made := contains(w.called, 999); made != lost || lost && len(w.failed) > 0 {
			t.Errorf("later calls return %v: called %v, refused %v, failed %v", lost, made, w.refused, w.failed)
		}
	}
}

// With a slow downstream service, the worthiest requests still get their calls: requests behind them in the call
// queue do not keep them from starting. Where a result without the call has some worth, the wait in the call
// queue counts in the decision to skip the call.
func TestCallQueueHoldsBackOnlyLessWorthyRequests(t *testing.T) {
	cfg := baseConfig()
	cfg.Cores, cfg.CallShare = 4, 4
	cfg.Classes[1].Calls, cfg.Classes[1].Effect = true, Unsafe
	cfg.Classes[2].SkipWorth = 0.6
	c, w := newController(t, cfg)
	now := runCalls(c, 2, 10, 200*ms, 0)
	for id := uint32(101); id <= 116; id++ { // a bound of 2 for 16 calls of 200 ms, within a second
		c.Request(now, newRequest(id, 2))
		c.Decide(now)
		c.Blocked(now, id)
		c.Decide(now)
	}
	if contains(w.skipped, 103) || !contains(w.skipped, 115) {
		t.Errorf("skipped %v, want only the calls that would wait too long", w.skipped)
	}
	w.skipped, w.ran = nil, nil
	for _, id := range []uint32{110, 111, 112, 113, 114, 115, 116} {
		c.Done(now, id, ms, OK)
	}
	c.Request(now, newRequest(200, 1))
	c.Decide(now)
	if !contains(w.ran, 200) {
		t.Errorf("ran %v, want the worthier request started before those in the call queue", w.ran)
	}
}

// With busy cores, a window in which nothing was read does not end: a machine so slow that it reads a few
// requests per second must not lower its level between two of them.
func TestWindowWithoutReadingsIsNotCalm(t *testing.T) {
	c, w := newController(t, baseConfig())
	now := time.Second
	for id := uint32(1); id <= 4; id++ {
		for i := 0; i < 8; i++ { // longer than a window, without a reading
			now += 100 * ms
			c.Tick(now, Gauges{CoreUse: 1, OnCores: 4})
			c.Decide(now)
			if id > 1 && w.level != 1 {
				t.Fatalf("level %v while all requests have waited unread for 2 s", w.level)
			}
		}
		q := newRequest(id, 0)
		q.Waited = 2 * time.Second
		c.Request(now, q)
		c.Decide(now)
	}
}

// Among held requests of equal worth, the one with the earliest aim starts first, whatever their order of arrival.
func TestEarliestAimStartsFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Cores = 1
	cfg.Classes[2].Aim = 600 * ms
	c, w := newController(t, cfg)
	for id, class := range []int{0, 0, 2} {
		c.Request(time.Duration(id)*ms, newRequest(uint32(id+1), class))
		c.Decide(time.Duration(id) * ms)
	}
	c.Done(50*ms, 1, 50*ms, OK)
	c.Decide(50 * ms)
	if len(w.ran) != 2 || w.ran[1] != 3 {
		t.Fatalf("ran %v", w.ran)
	}
}

// A call that may be repeated is given up once it is more likely lost than slow: later with each try, but early
// enough to be made again. A call with an effect, or without known call times to compare with, gets all the
// time that is left.
func TestCallThatIsLikelyLostIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name  string
		known uint32 // calls measured before
		class int
		first time.Duration
		again bool
	}{
		{"known call times", 10, 2, 250 * ms, true},
		{"unknown call times", 2, 2, 3 * time.Second, false},
		{"call with an effect", 10, 3, 9 * time.Second, false},
	} {
		cfg := baseConfig()
		cfg.Classes[2].Aim, cfg.Classes[2].Deadline = 3*time.Second, 9*time.Second
		cfg.Classes = append(cfg.Classes,
			Class{Aim: 3 * time.Second, Deadline: 9 * time.Second, Effect: Keyed, Calls: true})
		c, w := newController(t, cfg)
		for id := uint32(1); id <= test.known; id++ {
			now := time.Duration(id) * time.Second
			c.Request(now, newRequest(id, 2))
			c.Decide(now)
			c.Blocked(now, id)
			c.Decide(now)
			c.CallDone(now+50*ms, id, 50*ms, OK)
			c.Done(now+60*ms, id, 60*ms, OK)
		}
		w.called = nil
		now := time.Duration(test.known)*time.Second + 100*ms
		q := newRequest(30, test.class)
		q.TimeLeft = 9 * time.Second
		c.Request(now, q)
		c.Decide(now)
		c.Blocked(now, 30)
		c.Decide(now)
		first := w.patience.Round(50 * ms)
		w.called = nil
		now += w.patience
		c.CallDone(now, 30, w.patience, TimedOut)
		c.Decide(now)
		if again := len(w.called) > 0; first != test.first || again != test.again || again && w.patience < 2*first {
			t.Errorf("%s: given up after %v, then made again %v and given up after %v",
				test.name, first, again, w.patience)
		}
	}
}

// Half of the runs without a hint take longer than the mean of their class. A request that would end in time only
// with the mean run time is refused at once, while its caller may still try elsewhere.
func TestRunWithoutHintIsExpectedToExceedTheMean(t *testing.T) {
	for _, test := range []struct {
		waited  time.Duration
		refused bool
	}{{300 * ms, false}, {500 * ms, true}} {
		c, w := newController(t, baseConfig())
		for id := uint32(1); id <= 10; id++ {
			now := time.Duration(id) * time.Second
			c.Request(now, newRequest(id, 0))
			c.Decide(now)
			c.Done(now+400*ms, id, 400*ms, OK)
			c.Decide(now + 400*ms)
		}
		q := newRequest(20, 0)
		q.Waited = test.waited
		c.Request(20*time.Second, q)
		c.Decide(20 * time.Second)
		if contains(w.refused, 20) != test.refused {
			t.Errorf("waited %v: refused %v", test.waited, w.refused)
		}
	}
}

// Where callers outnumber the credits, rounding the credits down to zero would keep all callers away for good.
func TestCreditsNeverRoundDownToZero(t *testing.T) {
	for _, callers := range []int{1, 4, 1100, 100000} {
		cfg := baseConfig()
		cfg.Advert, cfg.Callers = AdvertCredit, callers
		c, w := newController(t, cfg)
		now := time.Duration(0)
		for i := 0; i < 4; i++ {
			now = flood(c, now, 900*ms, 1)
		}
		if total := w.level * float64(callers); w.healthy && total < 0.999 || total > 4.001 {
			t.Errorf("%d callers share %v credits, healthy %v", callers, total, w.healthy)
		}
	}
}

// An invalid gauge must not stop the cursor or count as idle cores.
func TestInvalidGaugesAreIgnored(t *testing.T) {
	for _, coreUse := range []float64{math.NaN(), -1} {
		c, w := newController(t, baseConfig())
		flood(c, flood(c, 0, 0, coreUse), 300*ms, coreUse)
		if w.level <= 0 || len(w.refused) == 0 {
			t.Errorf("core use %v: level %v, refused %d, after two seconds of queuing",
				coreUse, w.level, len(w.refused))
		}
	}
}

// A tenant over its quota is demoted within its class, but its requests of higher worth never rank below another
// class. A tenant within its quota is never demoted, however often all tenants retry.
func TestOnlyTheTenantOverItsQuotaIsDemoted(t *testing.T) {
	for _, test := range []struct {
		name  string
		every [2]time.Duration // interval between requests of each tenant
		over  [2]bool
	}{
		{"rates in proportion to the quotas", [2]time.Duration{20 * ms, 20 * ms}, [2]bool{false, false}},
		{"a retry storm of all tenants", [2]time.Duration{2 * ms, 2 * ms}, [2]bool{false, false}},
		{"one at four times the rate of the other", [2]time.Duration{5 * ms, 20 * ms}, [2]bool{true, false}},
		{"one almost idle, the other at its quota", [2]time.Duration{40 * ms, 900 * ms}, [2]bool{}},
	} {
		cfg := baseConfig()
		cfg.Tenants = []Tenant{{Share: 0.5, Quota: 30}, {Share: 0.5, Quota: 30}}
		c, _ := newController(t, cfg)
		id := uint32(0)
		for now := time.Duration(0); now < 10*time.Second; now += ms {
			for who, every := range test.every {
				if now%every != 0 {
					continue
				}
				id++
				q := newRequest(id, 0)
				q.Tenant, q.Rank = who, 0.49 // near the top of the lower of two worths
				if id%2 == 0 {
					q.Class, q.Rank = 1, 0.51
				}
				c.Request(now, q)
				if r := c.requests[id]; r != nil && (r.Rank > q.Rank || r.Rank >= 0.5 != (q.Class == 1) ||
					test.over[who] && c.tenants[who].overQuota > 0.5 && r.Rank > 0.3 && q.Class == 0) {
					t.Fatalf("%s: rank %v from %v, outside the band of its worth or not demoted",
						test.name, r.Rank, q.Rank)
				}
				c.Canceled(now, id)
			}
			c.Decide(now)
		}
		for who := range test.over {
			if over := c.tenants[who].overQuota > 0; over != test.over[who] {
				t.Errorf("%s: tenant %d over %v, want %v", test.name, who, c.tenants[who].overQuota, test.over[who])
			}
		}
	}
}

// A downstream service that sheds load by itself needs no call share: with none set, one call in flight must not
// make the others wait.
func TestCallsToASheddingServiceAreBoundedByTheCrowdAlone(t *testing.T) {
	for _, sheds := range []bool{false, true} {
		cfg := baseConfig()
		cfg.CallShare, cfg.DownstreamSheds, cfg.Cores = 0, sheds, 6
		c, w := newController(t, cfg)
		for id := uint32(1); id <= 6; id++ {
			c.Request(0, newRequest(id, 2))
		}
		c.Decide(0)
		for _, id := range w.ran {
			c.Blocked(10*ms, id)
		}
		c.Decide(10 * ms)
		if want := map[bool]int{false: 1, true: 6}[sheds]; len(w.called) != want {
			t.Errorf("service sheds %v: %d calls of %d runs, want %d", sheds, len(w.called), len(w.ran), want)
		}
	}
}

// A call share below one holds over every window of the dependency, whatever the call time, as all workers of the
// fleet may call at the same time.
func TestCallShareBelowOneHoldsInEveryWindow(t *testing.T) {
	for _, share := range []float64{0.3, 0.9} {
		for _, slow := range []time.Duration{100 * ms, time.Second, 20 * time.Second} {
			cfg := baseConfig()
			cfg.CallShare, cfg.Crowd, cfg.Memory = share, 100, 0
			cfg.Classes[1].Calls, cfg.Classes[1].Deadline = true, 30*time.Second
			cfg.Classes[1].Aim = 10 * time.Second
			c, w := newController(t, cfg)
			inFlight := []float64{0} // seconds with a call in flight, up to each step of 10 ms
			var since, until time.Duration
			for i := 1; i <= 4000; i++ {
				now := time.Duration(i) * 10 * ms
				if i%20 == 0 {
					q := newRequest(uint32(i), 1)
					q.TimeLeft = 25 * time.Second
					c.Request(now, q)
					c.Decide(now)
					c.Blocked(now, q.ID)
				}
				if until > 0 && now >= until {
					how := OK
					if until-since < slow {
						how = TimedOut
					}
					id := w.called[len(w.called)-1]
					c.CallDone(now, id, now-since, how)
					if how == TimedOut {
						c.Decide(now) // the call may have taken effect, so the request fails
						how = Stopped
					}
					c.Done(now, id, now-since, how)
					until = 0
				}
				n := len(w.called)
				c.Decide(now)
				if len(w.called) > n+1 || len(w.called) > n && until > 0 {
					t.Fatalf("share %v: two calls at once", share)
				}
				if len(w.called) > n {
					since, until = now, now+min(slow, w.patience)
				}
				busy := 0.0
				if until > 0 {
					busy = 0.01
				}
				inFlight = append(inFlight, inFlight[i-1]+busy)
				if i >= 500 && (inFlight[i]-inFlight[i-500])/5 > share {
					t.Fatalf("share %v, calls of %v: a mean of %v in flight up to %v",
						share, slow, (inFlight[i]-inFlight[i-500])/5, now)
				}
			}
			if len(w.called) < 2 {
				t.Errorf("share %v, calls of %v: only %d calls", share, slow, len(w.called))
			}
		}
	}
}

// When requests have waited unread for most of an aim, reading itself falls behind and only fewer requests help:
// the level rises at once, instead of by at most alphaMax per window.
func TestLateReadingRaisesTheLevelAtOnce(t *testing.T) {
	for _, test := range []struct {
		waited    time.Duration
		low, high float64
	}{{300 * ms, 0.05, 0.6}, {950 * ms, 0.85, 1}} {
		c, w := newController(t, baseConfig())
		now := flood(c, 0, 0, 1)
		flood(c, now, test.waited, 1)
		if w.level < test.low || w.level > test.high {
			t.Errorf("unread for %v: level %v after two seconds, want %v to %v",
				test.waited, w.level, test.low, test.high)
		}
	}
}

// The connection table can fill in the first seconds after the start, so the rate that sets the idle timeout must
// not start from zero.
func TestNewWorkerClosesIdleConnections(t *testing.T) {
	cfg := baseConfig()
	cfg.IdleMax = 30 * time.Second
	c, w := newController(t, cfg)
	for i := uint32(1); i <= 20; i++ {
		now := time.Duration(i) * 100 * ms
		q := newRequest(i, 0)
		q.Caller = i
		c.Tick(now, Gauges{CoreUse: 0.05, OnCores: 1})
		c.Request(now, q)
		c.Decide(now)
		c.Done(now, q.ID, 0, OK)
	}
	if w.idle == 0 || w.idle > cfg.IdleMax/4 {
		t.Fatalf("idle connections close after %v, two seconds after the start", w.idle)
	}
}
