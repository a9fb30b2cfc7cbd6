package control

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// tape is a Worker that writes down what it is told.
type tape struct {
	ran, refused, failed, stopped, kept, replayed, called, skipped []uint32
	last                                                           map[uint32]bool
	level                                                          float64
	healthy                                                        bool
	wake, idle, patience, away                                     time.Duration
}

func (t *tape) Run(id uint32)  { t.ran = append(t.ran, id) }
func (t *tape) Stop(id uint32) { t.stopped = append(t.stopped, id) }
func (t *tape) Refuse(id uint32, away time.Duration, last bool) {
	t.refused = append(t.refused, id)
	t.away = away
	if t.last == nil {
		t.last = map[uint32]bool{}
	}
	t.last[id] = last
}
func (t *tape) Fail(id uint32) { t.failed = append(t.failed, id) }
func (t *tape) Call(id uint32, patience time.Duration) {
	t.called = append(t.called, id)
	t.patience = patience
}
func (t *tape) Skip(id uint32)                     { t.skipped = append(t.skipped, id) }
func (t *tape) Keep(id uint32, term time.Duration) { t.kept = append(t.kept, id) }
func (t *tape) Forget(id uint32)                   {}
func (t *tape) Replay(id uint32)                   { t.replayed = append(t.replayed, id) }
func (t *tape) SetLevel(x float64)                 { t.level = x }
func (t *tape) SetHealth(ok, stored bool)          { t.healthy = ok }
func (t *tape) CloseIdle(after time.Duration)      { t.idle = after }
func (t *tape) Wake(in time.Duration)              { t.wake = in }
func (t *tape) Log(text string)                    {}

func has(list []uint32, id uint32) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// plain is a worker of two cores with one class of each kind.
func plain() Config {
	return Config{Cores: 2, Classes: []Class{
		{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
		{Aim: time.Second, Deadline: 3 * time.Second, Worth: 3, Effect: Keyed, Window: 10 * time.Second},
		{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Calls: true},
	}, Advert: AdvertLevel, RunFactor: 8, Memory: 100000, KeyMemory: 10, Crowd: 5, CrowdFor: time.Second,
		CallShare: 4, CallWindow: 5 * time.Second, DrainGrace: time.Second, Quantum: 5 * ms,
		Slack: 60 * ms, MaxAdvice: time.Second}
}

func begin(t *testing.T, cfg Config) (*Controller, *tape) {
	t.Helper()
	w := &tape{}
	c, err := New(cfg, 0, w)
	if err != nil {
		t.Fatal(err)
	}
	return c, w
}

func ask(id uint32, class int) Request {
	return Request{ID: id, Class: class, Rank: 0.5, Left: 3 * time.Second, Memory: 10}
}

func TestStartsUpToTheCoresAndWorthFirst(t *testing.T) {
	c, w := begin(t, plain())
	for id := uint32(1); id <= 4; id++ {
		c.Request(0, ask(id, 0))
	}
	c.Request(0, ask(5, 1))
	c.Decide(0)
	if len(w.ran) != 2 || w.ran[0] != 5 || w.ran[1] != 1 {
		t.Fatalf("ran %v, want the worthiest, then the oldest, on two cores", w.ran)
	}
}

func TestEverythingIsAnsweredByItsDueTime(t *testing.T) {
	cfg := plain()
	cfg.Classes[0].Aim = 3 * time.Second
	c, w := begin(t, cfg)
	for id := uint32(1); id <= 3; id++ {
		c.Request(0, ask(id, 0))
	}
	c.Decide(0)
	now := 3*time.Second - dueQuanta*cfg.Quantum
	c.Tick(now, Gauges{CoreUse: 1})
	c.Decide(now)
	if len(w.failed) != 2 || !has(w.refused, 3) {
		t.Fatalf("failed %v refused %v, want the two running failed and the held one refused", w.failed, w.refused)
	}
	c.Done(now+1*ms, 1, 0, Stopped)
	c.Decide(now + 1*ms)
	if len(w.failed) != 2 {
		t.Fatal("answered twice")
	}
}

func TestKeyedRepeatIsReplayedNeverRun(t *testing.T) {
	c, w := begin(t, plain())
	c.Request(0, ask(1, 1))
	q := ask(2, 1)
	q.Repeat = 1
	c.Request(0, q)
	c.Decide(0)
	if !has(w.kept, 1) || !has(w.replayed, 2) || has(w.ran, 2) || has(w.refused, 2) {
		t.Fatalf("kept %v replayed %v ran %v refused %v", w.kept, w.replayed, w.ran, w.refused)
	}
}

func TestNothingRunsThatArrivedAfterTheGrace(t *testing.T) {
	c, w := begin(t, plain())
	c.Leave(0, 4*time.Second)
	c.Decide(0)
	if !w.healthy || w.level != 0 { // it works on: its successor may not be known yet
		t.Fatalf("health %v level %v after the notice", w.healthy, w.level)
	}
	c.Request(500*ms, ask(1, 0))
	c.Decide(500 * ms)
	c.Decide(700 * ms)
	if w.healthy || w.level != 1 {
		t.Fatalf("health %v level %v near the end of the grace", w.healthy, w.level)
	}
	c.Request(1200*ms, ask(2, 0))
	c.Decide(1200 * ms)
	if !has(w.ran, 1) || has(w.ran, 2) || !has(w.refused, 2) {
		t.Fatalf("ran %v refused %v", w.ran, w.refused)
	}
	now := 4*time.Second - 50*ms
	c.Decide(now)
	if !has(w.failed, 1) {
		t.Fatal("work still running was not answered before the stop")
	}
}

func TestMemoryHoldsInABurst(t *testing.T) {
	cfg := plain()
	cfg.Memory = 400
	c, w := begin(t, cfg)
	for id := uint32(1); id <= 60; id++ {
		q := ask(id, 0)
		q.Rank = float64(id) / 100
		c.Request(0, q)
	}
	c.Decide(0)
	held := 60 - len(w.refused) - len(w.ran)
	if need := float64(held)*10 + float64(len(w.ran))*80; need > cfg.Memory {
		t.Fatalf("needs %v kB of %v", need, cfg.Memory)
	}
	if has(w.refused, 60) || len(w.refused) == 0 {
		t.Fatalf("refused %v, want the lowest-ranked", w.refused)
	}
}

func TestAKeyedCallIsNotRepeatedWhenItMayHaveRun(t *testing.T) {
	for _, k := range []struct {
		how   Outcome
		again bool
	}{{Rejected, true}, {Unreachable, true}, {TimedOut, false}, {Broken, false}, {Errored, false}} {
		c, w := begin(t, plain())
		c.Request(0, ask(1, 1))
		c.Decide(0)
		c.AtCall(10*ms, 1)
		c.Decide(10 * ms)
		c.CallDone(20*ms, 1, 10*ms, k.how)
		c.Decide(20 * ms)
		if len(w.called) == 2 {
			t.Errorf("outcome %d: called again at once", k.how)
		}
		if k.again && w.wake > 5*ms {
			t.Errorf("outcome %d: awake only after %v", k.how, w.wake)
		}
		c.Decide(25 * ms)
		if got := len(w.called) == 2; got != k.again {
			t.Errorf("outcome %d: called again %v, want %v", k.how, got, k.again)
		}
		if !k.again && !has(w.failed, 1) {
			t.Errorf("outcome %d: not failed", k.how)
		}
	}
}

// flood feeds windows of requests whose queuing time is wait, and gives the cursor.
func flood(c *Controller, from, wait time.Duration, use float64) time.Duration {
	id := uint32(from/ms) + 1000
	for i := 0; i < 200; i++ {
		now := from + time.Duration(i)*10*ms
		q := ask(id+uint32(i), 0)
		q.Rank = float64(i*37%100) / 100
		q.Waited = wait
		c.Tick(now, Gauges{CoreUse: use})
		c.Request(now, q)
		c.Decide(now)
		c.Done(now, q.ID, 0, OK)
	}
	return from + 2*time.Second
}

func TestTheCursorFollowsQueuingTime(t *testing.T) {
	c, w := begin(t, plain())
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
		t.Fatalf("level stays at %v after the overload", w.level)
	}
}

// Callers give each try a part of their wait: a try that waits less than another is not an older one.
func TestAShorterWaitIsNotTakenForAge(t *testing.T) {
	c, w := begin(t, plain())
	q := ask(1, 0)
	c.Request(0, q)
	c.Decide(0)
	q = ask(2, 0)
	q.Left = 1200 * ms
	c.Request(0, q)
	c.Decide(0)
	if !has(w.ran, 2) {
		t.Fatalf("ran %v, refused %v", w.ran, w.refused)
	}
}

// A machine gone slow takes long to read; while its cores have time to spare that is no queue.
func TestSlowReadingWithIdleCoresIsNoOverload(t *testing.T) {
	c, w := begin(t, plain())
	now := flood(c, 0, 10*ms, 0.5)
	flood(c, now, 300*ms, 0.5)
	if w.level != 0 {
		t.Fatalf("level %v with half of the cores idle", w.level)
	}
}

// A cursor at the very top admits nothing: it still has to come down once the jam is over.
func TestTheCursorReturnsFromTheTop(t *testing.T) {
	c, w := begin(t, plain())
	now := time.Duration(0)
	for i := 0; i < 4; i++ {
		now = flood(c, now, 2*time.Second, 1)
	}
	if w.level < 0.9 {
		t.Fatalf("level %v after a long jam, want the top", w.level)
	}
	for i := 0; i < 3; i++ {
		now = flood(c, now, 0, 0.1)
	}
	if w.level > 0.3 {
		t.Fatalf("level %v six seconds after the jam with idle cores", w.level)
	}
}

// Cores that are well used with nothing held can take more: refusals end soon after a jump of traffic.
func TestTheCursorReturnsSoonWhereNothingWaits(t *testing.T) {
	c, w := begin(t, plain())
	now := flood(c, 0, 0, 1)
	now = flood(c, now, 400*ms, 1)
	high := w.level
	flood(c, now, 0, 0.88)
	if high < 0.2 || w.level > high/2 {
		t.Fatalf("level %v, two seconds after %v with nothing held", w.level, high)
	}
}

// Callers told to stay away come back while there is still work: half of what is held, nothing where none is.
func TestAdviceEndsBeforeTheWorkDoes(t *testing.T) {
	c, w := begin(t, plain())
	now := flood(c, 0, 0, 1)
	now = flood(c, now, 700*ms, 1)
	if len(w.refused) == 0 || w.away != 0 {
		t.Fatalf("%d refused, told to stay away for %v with nothing held", len(w.refused), w.away)
	}
	c.classes[0].work = mean{v: 0.1, n: enough}
	for id := uint32(1); id <= 8; id++ { // two run, six keep two cores for 0.42 s by what a run may take
		q := ask(id, 0)
		q.Rank = 1
		c.Request(now, q)
		c.Decide(now)
	}
	for i := time.Duration(1); i <= 4; i++ {
		c.Tick(now+i*90*ms, Gauges{CoreUse: 1, OnCores: 9})
		c.Decide(now + i*90*ms)
	}
	q := ask(9, 0)
	q.Rank = 0
	c.Request(now+360*ms, q)
	if !has(w.refused, 9) || w.away < 150*ms || w.away > 300*ms {
		t.Fatalf("refused %v, told to stay away for %v, want half of the work held", has(w.refused, 9), w.away)
	}
}

// Callers hear of a cold worker seconds after its start. Until then its cores idle, which tells nothing of what
// it can carry; once they come, it opens as its cores allow.
func TestAColdWorkerDoesNotOpenBeforeCallersCome(t *testing.T) {
	cfg := plain()
	cfg.Cold, cfg.ColdFrom, cfg.ColdFor = true, 0.3, 10*time.Second
	c, w := begin(t, cfg)
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
		t.Fatalf("level %v six seconds after callers came, with idle cores", w.level)
	}
}

// While the cursor comes down in steps, an idle core does not turn away what has been read already.
func TestAnIdleCoreTakesWhatRanksUnderTheCursor(t *testing.T) {
	c, w := begin(t, plain())
	c.cursor = bins / 2
	for id := uint32(1); id <= 3; id++ {
		q := ask(id, 0)
		q.Rank = 0.1
		c.Request(0, q)
		c.Decide(0)
	}
	if len(w.ran) != 2 || !has(w.refused, 3) {
		t.Fatalf("ran %v refused %v, want two on the idle cores and the third refused", w.ran, w.refused)
	}
}

// Where each reading costs much, one is not thrown away while hardly anything waits.
func TestADearReadingIsHeldWhileLittleWaits(t *testing.T) {
	for _, k := range []struct {
		readUse, over float64
		held          bool
	}{{0, 0, false}, {2 * dearRead, 0, true}, {2 * dearRead, 2, false}} {
		c, w := begin(t, plain())
		c.cursor, c.readUse, c.over = bins/2, k.readUse, k.over
		for id := uint32(1); id <= 4; id++ {
			q := ask(id, 0)
			if q.Rank = 0.1; id <= 2 {
				q.Rank = 0.9 // takes a core
			}
			c.Request(0, q)
			c.Decide(0)
		}
		if !has(w.refused, 4) != k.held || len(w.ran) != 2 {
			t.Errorf("reading %v, queuing %v: refused %v, want held %v", k.readUse, k.over, w.refused, k.held)
		}
	}
}

// The share of the cores in use lags by half a second: it must not let the running limit run away.
func TestTheLimitGrowsOnlyOnCoresIdleNow(t *testing.T) {
	for _, k := range []struct {
		onCores float64
		want    int
	}{{2, 2}, {1, 5}} {
		c, w := begin(t, plain())
		for id := uint32(1); id <= 12; id++ {
			c.Request(0, ask(id, 0))
		}
		c.Decide(0)
		c.Tick(100*ms, Gauges{CoreUse: 0.5, OnCores: k.onCores})
		c.Decide(100 * ms)
		if len(w.ran) < 2 || (len(w.ran) > 2) != (k.want > 2) {
			t.Errorf("%v on the cores: %d run", k.onCores, len(w.ran))
		}
	}
}

// One hot user fills a single bin: more than beta of all must not stop the cursor above it for good.
func TestAHotBinDoesNotHoldTheCursor(t *testing.T) {
	c, w := begin(t, plain())
	c.cursor = bins / 2
	c.rate[bins/2-1] = 30
	c.rate[bins-1] = 40
	for now := time.Duration(0); now < 10*time.Second; now += 25 * ms {
		q := ask(uint32(now/ms)+1, 0)
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

// Work that hangs for a while must neither draw more nor leave a belief that nothing can be served.
func TestAHangIsSeenAndForgotten(t *testing.T) {
	c, w := begin(t, plain())
	for id := uint32(1); id <= 12; id++ {
		now := time.Duration(id) * 100 * ms
		c.Request(now, ask(id, 0))
		c.Decide(now)
	}
	c.Decide(2500 * ms)
	if w.level != 1 || w.healthy {
		t.Fatalf("level %v, healthy %v while nothing comes off the cores", w.level, w.healthy)
	}
	for _, id := range append([]uint32(nil), w.ran...) {
		c.Done(9*time.Second, id, 8*time.Second, OK)
	}
	c.Decide(9 * time.Second)
	if w.level == 1 || !w.healthy {
		t.Fatalf("level %v, healthy %v after the hang", w.level, w.healthy)
	}
	for id := uint32(20); id < 30; id++ {
		now := time.Duration(id) * time.Second
		c.Request(now, ask(id, 0))
		c.Decide(now)
		c.Done(now+100*ms, id, 100*ms, OK)
		c.Decide(now + 100*ms)
		if !has(w.ran, id) {
			t.Fatalf("request %d refused by an idle worker after the hang", id)
		}
	}
}

// quickCalls runs requests up to id n, one a second, each with a call of 200 ms.
func quickCalls(c *Controller, n uint32) {
	for id := uint32(1); id <= n; id++ {
		now := time.Duration(id) * time.Second
		c.Request(now, ask(id, 2))
		c.Decide(now)
		c.AtCall(now+10*ms, id)
		c.Decide(now + 10*ms)
		c.CallDone(now+210*ms, id, 200*ms, OK)
		c.Done(now+220*ms, id, 220*ms, OK)
		c.Decide(now + 220*ms)
	}
}

// With less than one call at a time, a second caller below waits for many times what a call takes.
func TestTheWaitForACallCountsAllThatShareTheBound(t *testing.T) {
	cfg := plain()
	cfg.CallShare = 0.5
	c, w := begin(t, cfg)
	quickCalls(c, 3)
	now := 10 * time.Second
	for id := uint32(10); id < 14; id++ {
		c.Request(now, ask(id, 2))
		c.Decide(now)
		c.AtCall(now, id)
		c.Decide(now)
	}
	if !has(w.ran, 10) || !has(w.refused, 13) {
		t.Fatalf("ran %v refused %v, want the first taken and the last refused early", w.ran, w.refused)
	}
}

// Where requests carry a hint, one that is too long for its aim is told from the others.
func TestTheHintTellsALongRequest(t *testing.T) {
	for _, k := range []struct {
		name    string
		noise   float64 // times the work that a hint may say, up or down
		refused bool
	}{{"true hints", 1, true}, {"hints that say nothing", 64, false}} {
		c, w := begin(t, plain())
		rnd := rand.New(rand.NewPCG(1, 2))
		ended := func(id uint32, hint, took time.Duration) {
			now := time.Duration(id) * time.Second
			q := ask(id, 0)
			q.Work = time.Duration(float64(hint) * math.Pow(k.noise, 2*rnd.Float64()-1))
			c.Request(now, q)
			c.Decide(now)
			c.Done(now+took, id, took, OK)
		}
		for id := uint32(1); id <= 300; id++ {
			took := time.Duration(50+rnd.IntN(150)) * ms
			ended(id, took/2, took) // these cores take twice as long as hints say
		}
		now := 400 * time.Second
		for id := uint32(1001); id < 1005; id++ {
			q := ask(id, 0)
			q.Work = 60 * ms
			if id == 1003 {
				q.Work = 480 * ms
			}
			c.Request(now, q)
			c.Decide(now)
		}
		if has(w.refused, 1003) != k.refused || has(w.refused, 1004) {
			t.Errorf("%s: refused %v", k.name, w.refused)
		}
	}
}

// What a hint may add to the time of a run weighs less the worthier its class: a wrong refusal costs more there.
func TestAHintWeighsLessInAWorthierClass(t *testing.T) {
	cfg := plain()
	cfg.Classes[1].Effect = Unsafe
	for class, refused := range []bool{true, false} {
		c, w := begin(t, cfg)
		for id := uint32(1); id <= 100; id++ {
			now := time.Duration(id) * time.Second
			took := time.Duration(50+id%100) * ms
			q := ask(id, class)
			q.Work = took
			c.Request(now, q)
			c.Decide(now)
			c.Done(now+took, id, took, OK)
		}
		now := 200 * time.Second
		for id := uint32(201); id <= 202; id++ {
			c.Request(now, ask(id, class))
			c.Decide(now)
		}
		q := ask(203, class)
		q.Work, q.Waited = 400*ms, 300*ms
		c.Request(now, q)
		c.Decide(now)
		if has(w.refused, 203) != refused {
			t.Errorf("class %d: refused %v", class, w.refused)
		}
	}
}

// Nothing but the wake-up brings a Decide in the last moments before the stop.
func TestWakesForTheLastAnswersBeforeTheStop(t *testing.T) {
	c, w := begin(t, plain())
	c.Request(0, ask(1, 0))
	c.Decide(0)
	stop := 2 * time.Second
	c.Leave(0, stop)
	now := time.Duration(0)
	for now < stop {
		c.Tick(now, Gauges{CoreUse: 1, OnCores: 2})
		c.Decide(now)
		now += w.wake
	}
	if !has(w.failed, 1) {
		t.Fatal("not answered by the stop")
	}
}

// What the hopeless were spared of waiting drives the cursor: the exception must not shed in its place.
func TestHopelessRequestsMoveTheCursor(t *testing.T) {
	c, w := begin(t, plain())
	for id := uint32(1); id <= 6; id++ {
		now := time.Duration(id) * time.Second
		c.Request(now, ask(id, 0))
		c.Decide(now)
		c.Done(now+500*ms, id, 500*ms, OK)
		c.Decide(now + 500*ms)
	}
	for now := 10 * time.Second; now < 12*time.Second; now += 20 * ms {
		q := ask(uint32(now/ms), 0)
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

// Whatever one reading costs: when refusals alone take a part of the cores, tries elsewhere are dear.
// A refusal asks for no try elsewhere only in an overload that is likely to be everyone's: not with a few ranks
// refused, not from a worker that is slower than it was, and not from a cold one.
func TestALocalTroubleLetsRefusalsGoElsewhere(t *testing.T) {
	for name, k := range map[string]struct {
		cursor int
		slow   time.Duration // what runs take, after many of 50 ms
		cold   bool
		last   bool
	}{
		"all are full":       {bins - 1, 50 * ms, false, true},
		"few ranks refused":  {bins / 10, 50 * ms, false, false},
		"slower than before": {bins - 1, 400 * ms, false, false},
		"cold":               {bins - 1, 50 * ms, true, false},
	} {
		cfg := plain()
		cfg.Cores = 1
		c, w := begin(t, cfg)
		now, id := time.Duration(0), uint32(0)
		run := func(n int, took time.Duration) {
			for range n {
				id++
				c.Request(now, ask(id, 0))
				c.Decide(now)
				now += took
				c.Done(now, id, took, OK)
			}
		}
		run(40, 50*ms)
		run(10, k.slow)
		c.cursor, c.readUse, c.over = k.cursor, 1, 2
		c.cfg.Cold, c.cfg.ColdFor = k.cold, time.Minute
		top, low := ask(id+1, 0), ask(id+2, 0)
		top.Rank, low.Rank = 0.999, 0.01 // one takes the core, one is refused
		c.Request(now, top)
		c.Request(now, low)
		c.Decide(now)
		if last, refused := w.last[low.ID]; !refused || last != k.last {
			t.Errorf("%s: refused %v, last %v, want %v", name, refused, last, k.last)
		}
	}
}

func TestManyReadingsAreDearToo(t *testing.T) {
	for _, k := range []struct {
		gap  time.Duration
		last bool
	}{{200 * ms, false}, {5 * ms, true}} {
		cfg := plain()
		cfg.Cores = 1
		c, w := begin(t, cfg)
		c.cursor = bins - 1
		for b := range c.rate {
			c.rate[b] = 1
		}
		id := uint32(1)
		for now := time.Duration(0); now < time.Second; now += k.gap {
			q := ask(id, 0)
			q.Rank, q.Waited = 0.1, 5*ms
			if id == 1 {
				q.Rank = 0.999 // takes the core, so that the others are refused
			}
			c.Tick(now, Gauges{CoreUse: 1, OnCores: 2})
			c.Request(now, q)
			c.Decide(now)
			id++
		}
		if id--; w.last[id] != k.last {
			t.Errorf("a reading each %v: last %v, want %v", k.gap, w.last[id], k.last)
		}
	}
}

// A worker that reads only what is past must stop being asked, until it has caught up.
func TestADrownedWorkerInvitesNothing(t *testing.T) {
	c, w := begin(t, plain())
	now := flood(c, 0, 0, 1)
	now = flood(c, now, 4*time.Second, 1)
	if w.level != 1 || w.healthy {
		t.Fatalf("level %v, healthy %v while all that is read is past", w.level, w.healthy)
	}
	flood(c, now, 0, 0.3)
	if w.level == 1 || !w.healthy {
		t.Fatalf("level %v, healthy %v after it caught up", w.level, w.healthy)
	}
}

// Connections of callers that seldom come fill the table and keep newcomers out; those of callers that come
// again soon are worth keeping, and in a storm of new connections a full table is the lesser evil.
func TestIdleConnectionsCloseUnlessTheirCallersReturn(t *testing.T) {
	for _, k := range []struct {
		name    string
		callers uint32
		every   time.Duration
		use     float64
		want    time.Duration // at most; 0 = never closed
	}{
		{"many that come once", 5000, 20 * ms, 0.05, time.Second},
		{"a few that return", 5, 20 * ms, 0.05, 0},
		{"a storm of newcomers", 5000, 20 * ms, 1, 0},
		{"few, each seldom", 15, 400 * ms, 0.05, 0},
	} {
		cfg := plain()
		cfg.IdleMax = 30 * time.Second
		c, w := begin(t, cfg)
		for i := uint32(1); i <= 500; i++ {
			now := time.Duration(i) * k.every
			q := ask(i, 0)
			q.Caller = i % k.callers
			c.Tick(now, Gauges{CoreUse: k.use, OnCores: 2})
			c.Request(now, q)
			c.Decide(now)
			c.Done(now, q.ID, 0, OK)
		}
		if k.want > 0 && (w.idle == 0 || w.idle > k.want) || k.want == 0 && w.idle != 0 && w.idle < 5*time.Second {
			t.Errorf("%s: idle connections close after %v, want %v", k.name, w.idle, k.want)
		}
	}
}

// A slow dependency tells of itself only when a call ends: until then the age of the oldest calls in hand does.
// One of several may have lost its reply.
func TestACallLongInHandTellsThatCallsAreSlow(t *testing.T) {
	for _, k := range []struct {
		name    string
		share   float64
		calls   uint32
		age     time.Duration
		refused bool
	}{
		{"as quick as ever", 2, 1, 100 * ms, false},
		{"long in hand", 2, 1, 900 * ms, true},
		{"one of several", 8, 1, 990 * ms, false},
		{"several", 8, 2, 990 * ms, true},
	} {
		cfg := plain()
		cfg.CallShare = k.share
		c, w := begin(t, cfg)
		quickCalls(c, 10)
		now := 20 * time.Second
		for id := 20 + k.calls; id > 20; id-- {
			c.Request(now, ask(id, 2))
			c.Decide(now)
			c.AtCall(now, id)
			c.Decide(now)
		}
		now += k.age
		c.Request(now, ask(30, 2))
		c.Decide(now)
		if has(w.refused, 30) != k.refused {
			t.Errorf("%s: refused %v", k.name, w.refused)
		}
	}
}

// callsOf makes n calls of a class, a second apart, that take so long, and gives the time.
func callsOf(c *Controller, class int, n uint32, took time.Duration, now time.Duration) time.Duration {
	for id := uint32(1); id <= n; id++ {
		now += time.Second
		c.Request(now, ask(id, class))
		c.Decide(now)
		c.AtCall(now, id)
		c.Decide(now)
		c.CallDone(now+took, id, took, OK)
		c.Done(now+took, id, took, OK)
		now += took
	}
	return now
}

// The layer below takes the worthier first: slow calls of one class say nothing of another's.
func TestCallsAreJudgedByTheirClass(t *testing.T) {
	cfg := plain()
	cfg.Classes = append(cfg.Classes, Class{Aim: time.Second, Deadline: 3 * time.Second, Worth: 3, Calls: true})
	c, w := begin(t, cfg)
	now := callsOf(c, 3, 10, 50*ms, 0)
	now = callsOf(c, 2, 10, 850*ms, now)
	for id, class := range map[uint32]int{100: 2, 101: 3} {
		q := ask(id, class)
		q.Waited = 400 * ms
		c.Request(now, q)
	}
	if !has(w.refused, 100) || has(w.refused, 101) {
		t.Fatalf("refused %v, want the one whose calls are slow", w.refused)
	}
}

// A call that cannot come back in time is not made: its request fails at once, and what is below is spared.
func TestNoCallIsMadeInVain(t *testing.T) {
	c, w := begin(t, plain())
	now := callsOf(c, 2, 10, 400*ms, 0)
	c.Request(now, ask(100, 2))
	c.Decide(now)
	w.called = nil
	c.AtCall(now+750*ms, 100)
	c.Decide(now + 750*ms)
	if len(w.called) > 0 || !has(w.failed, 100) {
		t.Fatalf("called %v, failed %v, with 250 ms left for a call of 400 ms", w.called, w.failed)
	}
}

// One slow machine below of several makes one call in three slow: what calls is taken all the same, and a slow
// call is given up in time to be made again.
func TestAFewSlowCallsDoNotSpeakForAll(t *testing.T) {
	c, w := begin(t, plain())
	now := time.Duration(0)
	for id := uint32(1); id <= 60; id++ {
		now += 50 * ms
		c.Request(now, ask(id, 2))
		c.Decide(now)
		c.AtCall(now, id)
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
	q := ask(100, 2)
	q.Waited = 600 * ms
	c.Request(now, q)
	c.Decide(now)
	if has(w.refused, 100) {
		t.Fatal("refused with time for two usual calls")
	}
	c.Request(now, ask(101, 2))
	c.Decide(now)
	c.AtCall(now, 101)
	c.Decide(now)
	if w.patience > 600*ms {
		t.Errorf("a call is given up only after %v", w.patience)
	}
}

// Replies that never come take no places for good and speak for no other call: writes whose calls hang are neither
// called for again nor given up, while calls made after them come back as quickly as ever. With nothing coming
// back at all, the same calls tell that those below are slow.
func TestRepliesThatNeverComeTakeNoPlaces(t *testing.T) {
	for _, lost := range []bool{true, false} {
		cfg := plain()
		cfg.Cores, cfg.CallShare = 8, 16 // 9.6 places
		cfg.Classes[1].Calls, cfg.Classes[1].Effect, cfg.Classes[1].Deadline = true, Unsafe, 10*time.Second
		c, w := begin(t, cfg)
		call := func(now time.Duration, id uint32) {
			q := ask(id, 1)
			q.Left = 10 * time.Second
			c.Request(now, q)
			c.Decide(now)
			c.AtCall(now, id)
			c.Decide(now)
		}
		back := func(now time.Duration, id uint32) {
			if has(w.called, id) {
				c.CallDone(now, id, 20*ms, OK)
				c.Done(now, id, 30*ms, OK)
			}
		}
		now := time.Second
		for id := uint32(1); id <= 10; id++ {
			now += 50 * ms
			call(now, id)
			back(now+20*ms, id)
		}
		for id := uint32(101); id <= 112; id++ { // these hang
			call(now, id)
			if now += 100 * ms; lost {
				call(now, id+100)
				now += 20 * ms
				back(now, id+100)
			}
		}
		w.refused, w.called = nil, nil
		call(now, 999)
		if made := has(w.called, 999); made != lost || lost && len(w.failed) > 0 {
			t.Errorf("calls come back %v: called %v, refused %v, failed %v", lost, made, w.refused, w.failed)
		}
	}
}

// With what is below slow by itself, the worthiest still get their calls: those that stand behind a request there do
// not keep it from starting, and where a poorer answer pays, the line before a call counts for leaving it out.
func TestTheLineAtTheCallsBelow(t *testing.T) {
	cfg := plain()
	cfg.Cores, cfg.CallShare = 4, 4
	cfg.Classes[1].Calls, cfg.Classes[1].Effect = true, Unsafe
	cfg.Classes[2].SkipWorth = 0.6
	c, w := begin(t, cfg)
	now := callsOf(c, 2, 10, 200*ms, 0)
	for id := uint32(101); id <= 116; id++ { // 2 places for 16 calls of 200 ms, within a second
		c.Request(now, ask(id, 2))
		c.Decide(now)
		c.AtCall(now, id)
		c.Decide(now)
	}
	if has(w.skipped, 103) || !has(w.skipped, 115) {
		t.Errorf("left out %v: only those that would wait too long", w.skipped)
	}
	w.skipped, w.ran = nil, nil
	for _, id := range []uint32{110, 111, 112, 113, 114, 115, 116} {
		c.Done(now, id, ms, OK)
	}
	c.Request(now, ask(200, 1))
	c.Decide(now)
	if !has(w.ran, 200) {
		t.Errorf("ran %v: the worthier goes before all that stand", w.ran)
	}
}

// A window in which nothing was read does not end on busy cores: a machine so slow that it reads a few a second
// does not invite its callers between two of them.
func TestAWindowThatReadNothingIsNotCalm(t *testing.T) {
	c, w := begin(t, plain())
	now := time.Second
	for id := uint32(1); id <= 4; id++ {
		for i := 0; i < 8; i++ { // most windows are shorter than the time between two readings
			now += 100 * ms
			c.Tick(now, Gauges{CoreUse: 1, OnCores: 4})
			c.Decide(now)
			if id > 1 && w.level != 1 {
				t.Fatalf("level %v while all that is read waited for 2 s", w.level)
			}
		}
		q := ask(id, 0)
		q.Waited = 2 * time.Second
		c.Request(now, q)
		c.Decide(now)
	}
}

// Among held requests of one worth the one goes first whose worth falls first, whatever came first.
func TestTheOneThatFallsDueFirstStartsFirst(t *testing.T) {
	cfg := plain()
	cfg.Cores = 1
	cfg.Classes[2].Aim = 600 * ms
	c, w := begin(t, cfg)
	for id, class := range []int{0, 0, 2} {
		c.Request(time.Duration(id)*ms, ask(uint32(id+1), class))
		c.Decide(time.Duration(id) * ms)
	}
	c.Done(50*ms, 1, 50*ms, OK)
	c.Decide(50 * ms)
	if len(w.ran) != 2 || w.ran[1] != 3 {
		t.Fatalf("ran %v", w.ran)
	}
}

// A call that may be made again is given up once it is rather lost than slow, later each time, and never so
// late that it could not be made again; one with an effect, or with nothing to compare, gets all its time.
func TestACallThatIsRatherLostThanSlowIsGivenUp(t *testing.T) {
	for _, k := range []struct {
		name  string
		known uint32
		class int
		first time.Duration
		again bool
	}{
		{"known", 10, 2, 250 * ms, true},
		{"not known", 2, 2, 3 * time.Second, false},
		{"an effect", 10, 3, 9 * time.Second, false},
	} {
		cfg := plain()
		cfg.Classes[2].Aim, cfg.Classes[2].Deadline = 3*time.Second, 9*time.Second
		cfg.Classes = append(cfg.Classes, Class{Aim: 3 * time.Second, Deadline: 9 * time.Second, Effect: Keyed, Calls: true})
		c, w := begin(t, cfg)
		for id := uint32(1); id <= k.known; id++ {
			now := time.Duration(id) * time.Second
			c.Request(now, ask(id, 2))
			c.Decide(now)
			c.AtCall(now, id)
			c.Decide(now)
			c.CallDone(now+50*ms, id, 50*ms, OK)
			c.Done(now+60*ms, id, 60*ms, OK)
		}
		w.called = nil
		now := time.Duration(k.known)*time.Second + 100*ms
		q := ask(30, k.class)
		q.Left = 9 * time.Second
		c.Request(now, q)
		c.Decide(now)
		c.AtCall(now, 30)
		c.Decide(now)
		first := w.patience.Round(50 * ms)
		w.called = nil
		now += w.patience
		c.CallDone(now, 30, w.patience, TimedOut)
		c.Decide(now)
		if again := len(w.called) > 0; first != k.first || again != k.again || again && w.patience < 2*first {
			t.Errorf("%s: given up after %v, again %v after %v", k.name, first, again, w.patience)
		}
	}
}

// Half of the runs without a hint take longer than their class's mean: one that could end in time only if it
// took the mean is turned away at once, while its caller may still go elsewhere.
func TestARunWithoutAHintMayTakeLongerThanTheMean(t *testing.T) {
	for _, k := range []struct {
		waited  time.Duration
		refused bool
	}{{300 * ms, false}, {500 * ms, true}} {
		c, w := begin(t, plain())
		for id := uint32(1); id <= 10; id++ {
			now := time.Duration(id) * time.Second
			c.Request(now, ask(id, 0))
			c.Decide(now)
			c.Done(now+400*ms, id, 400*ms, OK)
			c.Decide(now + 400*ms)
		}
		q := ask(20, 0)
		q.Waited = k.waited
		c.Request(20*time.Second, q)
		c.Decide(20 * time.Second)
		if has(w.refused, 20) != k.refused {
			t.Errorf("waited %v: refused %v", k.waited, w.refused)
		}
	}
}

// Where callers outnumber the credits, a rounding down to none would keep all of them away for good.
func TestCreditsNeverAddUpToNone(t *testing.T) {
	for _, callers := range []int{1, 4, 1100, 100000} {
		cfg := plain()
		cfg.Advert, cfg.Callers = AdvertCredit, callers
		c, w := begin(t, cfg)
		now := time.Duration(0)
		for i := 0; i < 4; i++ {
			now = flood(c, now, 900*ms, 1)
		}
		if total := w.level * float64(callers); w.healthy && total < 0.999 || total > 4.001 {
			t.Errorf("%d callers share %v credits, healthy %v", callers, total, w.healthy)
		}
	}
}

// A gauge that reads nothing must not stop the cursor or count as idle cores.
func TestGaugesThatReadNothingAreUnknown(t *testing.T) {
	for _, use := range []float64{math.NaN(), -1} {
		c, w := begin(t, plain())
		flood(c, flood(c, 0, 0, use), 300*ms, use)
		if w.level <= 0 || len(w.refused) == 0 {
			t.Errorf("use %v: level %v, refused %d, after two seconds of queuing", use, w.level, len(w.refused))
		}
	}
}

// A tenant that asks for more than its part is pressed down within its class, its high worth never under another
// class; one within its part never pays, however often all of them try again.
func TestOnlyTheTenantOverItsPartIsPressedDown(t *testing.T) {
	for _, k := range []struct {
		name  string
		every [2]time.Duration // between two requests of each tenant
		over  [2]bool
	}{
		{"as their quotas are", [2]time.Duration{20 * ms, 20 * ms}, [2]bool{false, false}},
		{"a storm of tries by all", [2]time.Duration{2 * ms, 2 * ms}, [2]bool{false, false}},
		{"one asks for four times as much", [2]time.Duration{5 * ms, 20 * ms}, [2]bool{true, false}},
		{"one asks for next to nothing, the other for its quota", [2]time.Duration{40 * ms, 900 * ms}, [2]bool{}},
	} {
		cfg := plain()
		cfg.Tenants = []Tenant{{Share: 0.5, Quota: 30}, {Share: 0.5, Quota: 30}}
		c, _ := begin(t, cfg)
		id := uint32(0)
		for now := time.Duration(0); now < 10*time.Second; now += ms {
			for who, every := range k.every {
				if now%every != 0 {
					continue
				}
				id++
				q := ask(id, 0)
				q.Tenant, q.Rank = who, 0.49 // near the top of the lower of two worths
				if id%2 == 0 {
					q.Class, q.Rank = 1, 0.51
				}
				c.Request(now, q)
				if r := c.all[id]; r != nil && (r.Rank > q.Rank || r.Rank >= 0.5 != (q.Class == 1) || k.over[who] && c.tenants[who].over > 0.5 && r.Rank > 0.3 && q.Class == 0) {
					t.Fatalf("%s: rank %v from %v, out of its worth or not pressed down", k.name, r.Rank, q.Rank)
				}
				c.Gone(now, id)
			}
			c.Decide(now)
		}
		for who := range k.over {
			if over := c.tenants[who].over > 0; over != k.over[who] {
				t.Errorf("%s: tenant %d over %v, want %v", k.name, who, c.tenants[who].over, k.over[who])
			}
		}
	}
}

// A share of under one call is kept over every window of the dependency, whatever the calls take: all workers of a
// fleet may do the same at once.
// Calls to a tier that refuses for itself are no shared dependency's: with no share stated, one call in hand
// must not keep the others waiting.
func TestCallsToATierAreBoundedByTheCrowdAlone(t *testing.T) {
	for _, tier := range []bool{false, true} {
		cfg := plain()
		cfg.CallShare, cfg.CallsTier, cfg.Cores = 0, tier, 6
		c, w := begin(t, cfg)
		for id := uint32(1); id <= 6; id++ {
			c.Request(0, ask(id, 2))
		}
		c.Decide(0)
		for _, id := range w.ran {
			c.AtCall(10*ms, id)
		}
		c.Decide(10 * ms)
		if want := map[bool]int{false: 1, true: 6}[tier]; len(w.called) != want {
			t.Errorf("tier %v: %d calls of %d runs, want %d", tier, len(w.called), len(w.ran), want)
		}
	}
}

func TestAShareUnderOneCallIsKeptInEveryWindow(t *testing.T) {
	for _, share := range []float64{0.3, 0.9} {
		for _, slow := range []time.Duration{100 * ms, time.Second, 20 * time.Second} {
			cfg := plain()
			cfg.CallShare, cfg.Crowd, cfg.Memory = share, 100, 0
			cfg.Classes[1].Calls, cfg.Classes[1].Deadline = true, 30*time.Second
			cfg.Classes[1].Aim = 10 * time.Second
			c, w := begin(t, cfg)
			inHand := []float64{0} // seconds in hand up to each 10 ms
			var since, until time.Duration
			for i := 1; i <= 4000; i++ {
				now := time.Duration(i) * 10 * ms
				if i%20 == 0 {
					q := ask(uint32(i), 1)
					q.Left = 25 * time.Second
					c.Request(now, q)
					c.Decide(now)
					c.AtCall(now, q.ID)
				}
				if until > 0 && now >= until {
					how := OK
					if until-since < slow {
						how = TimedOut
					}
					id := w.called[len(w.called)-1]
					c.CallDone(now, id, now-since, how)
					if how == TimedOut {
						c.Decide(now) // it may have taken effect: the request fails
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
				inHand = append(inHand, inHand[i-1]+busy)
				if i >= 500 && (inHand[i]-inHand[i-500])/5 > share {
					t.Fatalf("share %v, calls of %v: %v in hand up to %v", share, slow, (inHand[i]-inHand[i-500])/5, now)
				}
			}
			if len(w.called) < 2 {
				t.Errorf("share %v, calls of %v: only %d calls", share, slow, len(w.called))
			}
		}
	}
}

// When what is read has waited unread for most of an aim, reading itself falls behind, and only callers that stay
// away can help: the level rises at once, not by a sixth a window.
func TestReadingThatFallsBehindRaisesTheLevelAtOnce(t *testing.T) {
	for _, k := range []struct {
		waited   time.Duration
		low, top float64
	}{{300 * ms, 0.05, 0.6}, {950 * ms, 0.85, 1}} {
		c, w := begin(t, plain())
		now := flood(c, 0, 0, 1)
		flood(c, now, k.waited, 1)
		if w.level < k.low || w.level > k.top {
			t.Errorf("unread for %v: level %v after two seconds, want %v to %v", k.waited, w.level, k.low, k.top)
		}
	}
}

// A table fills in the first seconds of a worker's life: what tells of it must not start from nothing.
func TestAYoungWorkerClosesIdleConnectionsToo(t *testing.T) {
	cfg := plain()
	cfg.IdleMax = 30 * time.Second
	c, w := begin(t, cfg)
	for i := uint32(1); i <= 20; i++ {
		now := time.Duration(i) * 100 * ms
		q := ask(i, 0)
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
