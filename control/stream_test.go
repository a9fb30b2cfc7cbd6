package control

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"
)

// eventStream feeds unusual but valid events to a controller and checks on its actions the four rules: no request
// is lost, nothing with an effect runs twice, the memory suffices, and nothing that arrives after the grace runs.
// It does not simulate a server: when and how a run ends is random.
type eventStream struct {
	t        *testing.T
	cfg      Config
	c        *Controller
	random   *rand.Rand
	now      time.Duration
	requests map[uint32]*trackedRequest
	openIDs  []uint32 // oldest first
	actions  []string // as text
	wakes    []time.Duration
	noticeAt time.Duration // 0 = no notice
	stopAt   time.Duration // 0 = no notice
	lastID   uint32
	pending  []func()                 // confirmations due in the next batch
	keys     map[uint32]time.Duration // expiry of each key, by request
	level    float64
}

// trackedRequest is a request as the test tracks it.
type trackedRequest struct {
	q         Request
	arrived   time.Duration
	due       time.Duration
	state     string // held running blocked calling paused replaying over
	ran       bool
	answered  bool
	uncertain bool // a call of it may have taken effect
}

func (s *eventStream) record(text string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf(text, args...))
}

func (s *eventStream) effect(r *trackedRequest) Effect { return s.cfg.Classes[r.q.Class].Effect }

func (s *eventStream) Run(id uint32) {
	s.record("run %d", id)
	r := s.requests[id]
	if r.state != "held" && r.state != "paused" {
		return
	}
	if s.effect(r) != Safe && r.ran && r.state == "held" {
		s.t.Fatalf("%v: %d run twice", s.now, id)
	}
	if r.q.RepeatOf != 0 && s.requests[r.q.RepeatOf].ran {
		s.t.Fatalf("%v: %d run after %d, which it repeats", s.now, id, r.q.RepeatOf)
	}
	if s.noticeAt > 0 && r.arrived > s.noticeAt+s.cfg.DrainGrace {
		s.t.Fatalf("%v: %d run, although it arrived after the grace", s.now, id)
	}
	r.ran, r.state = true, "running"
}

func (s *eventStream) Stop(id uint32) {
	s.record("stop %d", id)
	if s.cfg.Stopping == StopNever {
		s.t.Fatal("stopped a run that cannot be stopped")
	}
	r := s.requests[id]
	if r.state != "running" {
		return
	}
	s.pending = append(s.pending, func() {
		switch {
		case r.answered:
			r.state = "over"
		case s.cfg.Stopping == StopPauses:
			r.state = "paused"
		default:
			r.state = "held"
		}
		s.c.Done(s.now, id, 0, Stopped)
	})
}

func (s *eventStream) answer(id uint32, r *trackedRequest) {
	if r.answered {
		return
	}
	r.answered = true
	if r.state == "held" || r.state == "paused" || r.state == "replaying" {
		r.state = "over"
	}
	if r.state == "blocked" || r.state == "calling" {
		s.pending = append(s.pending, func() {
			if r.state != "over" {
				r.state = "over"
				s.c.Done(s.now, id, 0, Stopped)
			}
		})
	}
}

func (s *eventStream) Refuse(id uint32, away time.Duration, last bool) {
	s.record("refuse %d %v %v", id, away, last)
	r := s.requests[id]
	if s.effect(r) != Safe && r.ran && !r.answered {
		s.t.Fatalf("%v: %d refused after it ran", s.now, id)
	}
	s.answer(id, r)
}

func (s *eventStream) Fail(id uint32) {
	s.record("fail %d", id)
	s.answer(id, s.requests[id])
}

func (s *eventStream) Call(id uint32, patience time.Duration) {
	s.record("call %d %v", id, patience)
	r := s.requests[id]
	if r.state != "blocked" {
		return
	}
	if s.effect(r) != Safe && r.uncertain {
		s.t.Fatalf("%v: the call of %d repeated, although it may have taken effect", s.now, id)
	}
	if patience <= 0 {
		s.t.Fatalf("%v: call without patience", s.now)
	}
	r.state = "calling"
}

func (s *eventStream) Skip(id uint32) {
	s.record("skip %d", id)
	r := s.requests[id]
	if s.cfg.Classes[r.q.Class].SkipWorth <= 0 {
		s.t.Fatalf("%v: required call of %d skipped", s.now, id)
	}
	if r.state == "blocked" {
		r.state = "running"
	}
}

func (s *eventStream) Keep(id uint32, term time.Duration) {
	s.record("keep %d %v", id, term)
	s.keys[id] = s.now + term
}

func (s *eventStream) Forget(id uint32) {
	s.record("forget %d", id)
	delete(s.keys, id)
}

func (s *eventStream) Replay(id uint32) {
	s.record("replay %d", id)
	if s.requests[id].q.RepeatOf == 0 {
		s.t.Fatal("replay of a request that repeats nothing")
	}
	s.requests[id].state = "replaying"
}

func (s *eventStream) SetLevel(x float64) {
	s.record("level %v", x)
	if s.cfg.Advert == AdvertNone || math.IsNaN(x) || x < 0 {
		s.t.Fatalf("level %v", x)
	}
	s.level = x
}

func (s *eventStream) SetHealth(ok, stored bool)     { s.record("health %v %v", ok, stored) }
func (s *eventStream) CloseIdle(after time.Duration) { s.record("idle %v", after) }
func (s *eventStream) Log(text string)               { s.record("log %s", text) }
func (s *eventStream) Wake(in time.Duration) {
	s.record("wake %v", in)
	s.wakes = append(s.wakes, s.now+in)
}

// batch passes one batch of events to the controller and checks the rules after it.
func (s *eventStream) batch() {
	s.now += time.Duration(1+s.random.Intn(3)) * s.cfg.Quantum
	for _, confirm := range s.pending {
		confirm()
	}
	s.pending = s.pending[len(s.pending):]
	for n := s.random.Intn(4) * s.random.Intn(3); n > 0 && (s.stopAt == 0 || s.now < s.stopAt); n-- {
		s.request()
	}
	if s.noticeAt == 0 && s.random.Intn(900) == 0 {
		s.noticeAt, s.stopAt = s.now, s.now+3*time.Second
		s.c.Drain(s.now, 3*time.Second)
	}
	for _, id := range s.openIDs {
		s.advance(id, s.requests[id])
	}
	wakes := s.wakes
	s.wakes = nil
	for _, at := range wakes {
		if at <= s.now {
			s.c.Tick(s.now, s.gauges())
		} else {
			s.wakes = append(s.wakes, at)
		}
	}
	s.c.Decide(s.now)
	s.verify()
}

// gauges returns random gauges, some of them unusual: missing, negative, NaN or infinite.
func (s *eventStream) gauges() Gauges {
	g := Gauges{CoreUse: s.random.Float64(), OnCores: float64(s.random.Intn(12)), Conns: float64(s.random.Intn(99))}
	odd := []float64{math.NaN(), -1, math.Inf(1), 0}
	switch s.random.Intn(20) {
	case 0:
		g.CoreUse = odd[s.random.Intn(len(odd))]
	case 1:
		g.OnCores = odd[s.random.Intn(len(odd))]
	case 2:
		g = Gauges{CoreUse: math.NaN(), OnCores: math.NaN(), Memory: math.NaN(), Conns: math.NaN()}
	}
	return g
}

// request passes a random request, at times with unusual values or as the repeat of a keyed request.
func (s *eventStream) request() {
	s.lastID++
	q := Request{ID: s.lastID, Class: s.random.Intn(len(s.cfg.Classes)), Tenant: s.random.Intn(4),
		Rank: s.random.Float64(), TimeLeft: time.Duration(s.random.Intn(3000)) * ms,
		Waited: time.Duration(s.random.Intn(400)) * ms, Memory: 5 + 20*s.random.Float64(),
		Caller: uint32(s.random.Intn(max(1, s.cfg.Callers))), Subject: s.random.Uint64() >> 60}
	switch s.random.Intn(40) {
	case 0:
		q.Rank = math.NaN()
	case 1:
		q.Tenant = 1 << 15
	case 2:
		q.Waited = time.Hour
	case 3:
		q.Rank = 7
	}
	r := &trackedRequest{q: q, arrived: s.now - q.Waited, state: "held"}
	r.due = s.now + q.TimeLeft
	if q.TimeLeft == 0 {
		r.due = max(s.now, r.arrived+s.cfg.Classes[q.Class].Deadline)
	}
	if s.effect(r) == Keyed && s.random.Intn(3) == 0 {
		for _, id := range s.openIDs {
			if at, ok := s.keys[id]; ok && at > s.now && s.requests[id].q.Class == q.Class {
				r.q.RepeatOf = id
				break
			}
		}
	}
	s.requests[q.ID] = r
	s.openIDs = append(s.openIDs, q.ID)
	s.c.Request(s.now, r.q)
}

// advance passes a random event of a request, or none.
func (s *eventStream) advance(id uint32, r *trackedRequest) {
	outcomes := []Outcome{OK, OK, OK, Errored, Rejected, TimedOut, Unreachable, Interrupted}
	if !r.answered && s.cfg.ReportsCanceled && r.state != "over" && s.random.Intn(300) == 0 {
		s.answer(id, r)
		s.c.Canceled(s.now, id)
		return
	}
	if s.random.Intn(12) != 0 {
		return
	}
	switch r.state {
	case "running":
		if s.cfg.Classes[r.q.Class].Calls && s.random.Intn(2) == 0 && !r.answered {
			r.state = "blocked"
			s.c.Blocked(s.now, id)
			return
		}
		r.state, r.answered = "over", true
		s.c.Done(s.now, id, time.Second, []Outcome{OK, OK, Errored}[s.random.Intn(3)])
	case "calling":
		how := outcomes[s.random.Intn(len(outcomes))]
		r.state = "blocked"
		if how == OK {
			r.state = "running"
		}
		r.uncertain = r.uncertain || how == Errored || how == TimedOut || how == Interrupted
		s.c.CallDone(s.now, id, 50*ms, how)
	case "replaying":
		r.state, r.answered = "over", true
		s.c.Done(s.now, id, 0, OK)
	}
	if s.random.Intn(50) == 0 { // events of unknown requests are ignored
		s.c.Done(s.now, id+1<<20, 0, NotStarted)
		s.c.Blocked(s.now, id+1<<20)
		s.c.Canceled(s.now, id+1<<20)
	}
}

// verify checks that no request is lost and that the memory suffices.
func (s *eventStream) verify() {
	mem := 0.0
	var openIDs []uint32
	for _, id := range s.openIDs {
		r := s.requests[id]
		if !r.answered && s.now > r.due+s.cfg.Slack && s.now > r.arrived+r.q.Waited+s.cfg.Slack {
			s.t.Fatalf("%v: %d lost: %s, due %v", s.now, id, r.state, r.due)
		}
		if !r.answered && s.stopAt > 0 && s.now >= s.stopAt-2*s.cfg.Quantum {
			s.t.Fatalf("%v: %d not answered at the stop", s.now, id)
		}
		switch r.state {
		case "over":
			continue
		case "held", "replaying":
			mem += r.q.Memory
		default:
			mem += r.q.Memory * s.cfg.RunFactor
		}
		openIDs = append(openIDs, id)
	}
	for _, at := range s.keys {
		if at > s.now {
			mem += s.cfg.KeyMemory
		}
	}
	if s.cfg.Memory > 0 && mem > s.cfg.Memory {
		s.t.Fatalf("%v: %v kB needed of %v", s.now, mem, s.cfg.Memory)
	}
	s.openIDs = openIDs
}

// quiet runs a batch without any event but the wake-ups that are due.
func (s *eventStream) quiet() {
	wakes := s.wakes
	s.wakes = nil
	due := false
	for _, at := range wakes {
		if at <= s.now {
			s.c.Tick(s.now, Gauges{})
			due = true
		} else {
			s.wakes = append(s.wakes, at)
		}
	}
	if due {
		s.c.Decide(s.now)
	}
}

// playEvents runs random events against a controller and returns its actions.
func playEvents(t *testing.T, cfg Config, seed int64) []string {
	s := &eventStream{t: t, cfg: cfg, random: rand.New(rand.NewSource(seed)),
		requests: map[uint32]*trackedRequest{}, keys: map[uint32]time.Duration{}}
	c, err := New(cfg, 0, s)
	if err != nil {
		t.Fatal(err)
	}
	s.c = c
	for i := 0; i < 2500 && (s.stopAt == 0 || s.now < s.stopAt-200*ms); i++ {
		s.batch()
	}
	for s.stopAt > 0 && s.now < s.stopAt-2*cfg.Quantum {
		s.now += cfg.Quantum
		s.quiet()
		s.verify()
	}
	return s.actions
}

// Whatever the settings, unusual events break none of the four rules that eventStream checks, and equal events lead to
// equal actions.
func TestTheFourRulesUnderUnusualEvents(t *testing.T) {
	for stopping := StopNever; stopping <= StopPauses; stopping++ {
		for advert := AdvertNone; advert <= AdvertWeight; advert++ {
			for calls := 0; calls < 4; calls++ {
				cfg := baseConfig()
				cfg.Stopping, cfg.Advert, cfg.ReportsCanceled, cfg.Cold = stopping, advert, calls%2 == 0, calls == 1
				cfg.ColdFrom, cfg.ColdFor, cfg.CallLingers = 0.2, 5*time.Second, 200*ms
				cfg.Memory = 2500
				cfg.Classes = []Class{
					{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Calls: calls > 0},
					{Aim: time.Second, Deadline: 2 * time.Second, Worth: 3, Effect: Keyed,
						Window: 10 * time.Second, Calls: calls > 1},
					{Aim: 500 * ms, Deadline: time.Second, Worth: 2, LateWorth: 0.5, Effect: Unsafe,
						Calls: calls > 2},
					{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Calls: calls > 0,
						SkipWorth: 0.5},
				}
				cfg.CallShare = []float64{0, 0.4, 4, 12}[calls]
				seed := int64(calls)*100 + int64(advert)*10 + int64(stopping)
				first := playEvents(t, cfg, seed)
				second := playEvents(t, cfg, seed)
				if strings.Join(first, "\n") != strings.Join(second, "\n") {
					t.Fatal("different actions from the same events")
				}
				if len(first) < 400 {
					t.Fatalf("only %d actions", len(first))
				}
			}
		}
	}
}

func TestConfigErrorsNameTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Cores":                func(c *Config) { c.Cores = -1 },
		"Memory":               func(c *Config) { c.Memory = math.NaN() },
		"CallShare":            func(c *Config) { c.CallShare = math.Inf(1) },
		"ColdFrom":             func(c *Config) { c.ColdFrom = 1.5 },
		"Quantum":              func(c *Config) { c.Quantum = -1 },
		"Advert":               func(c *Config) { c.Advert = 9 },
		"Classes[1].Effect":    func(c *Config) { c.Classes[1].Effect = 7 },
		"Classes[0].Aim":       func(c *Config) { c.Classes[0].Aim = -ms },
		"Tenants[0].Quota":     func(c *Config) { c.Tenants = []Tenant{{Quota: -2}} },
		"Classes[2].Worth":     func(c *Config) { c.Classes[2].Worth = math.NaN() },
		"Stopping":             func(c *Config) { c.Stopping = 3 },
		"Classes[0].LateWorth": func(c *Config) { c.Classes[0].LateWorth = 2 },
	} {
		cfg := baseConfig()
		invalidate(&cfg)
		_, err := New(cfg, 0, &recorder{})
		if err == nil || !strings.Contains(err.Error(), "Config."+field+" ") {
			t.Errorf("%s: %v", field, err)
		}
	}
	if c, err := New(Config{}, 0, &recorder{}); c == nil || errors.Unwrap(err) != nil {
		t.Errorf("the zero Config: %v", err)
	}
}

// The four rules also hold for settings far from those of known deployments.
func TestTheFourRulesAtUnusualScales(t *testing.T) {
	for _, test := range []struct {
		name string
		set  func(*Config)
	}{
		{"one worker, many callers", func(c *Config) { c.Servers, c.Callers, c.Advert = 1, 5000, AdvertCredit }},
		{"many workers, one caller", func(c *Config) { c.Servers, c.Callers = 5000, 1 }},
		{"hardly any calls", func(c *Config) { c.CallShare = 0.001 }},
		{"one core", func(c *Config) { c.Cores = 1 }},
		{"many cores", func(c *Config) { c.Cores = 256 }},
		{"no quota", func(c *Config) { c.Tenants = []Tenant{{Share: 0.5}, {Share: 0.5}} }},
		{"no idle timeout known", func(c *Config) { c.IdleMax = 0 }},
		{"a short idle timeout", func(c *Config) { c.IdleMax, c.Callers = 20*ms, 800 }},
		{"no settings known", func(c *Config) { *c = Config{Quantum: 5 * ms, Classes: c.Classes, RunFactor: 8} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := baseConfig()
			cfg.Memory, cfg.IdleMax, cfg.ReportsCanceled = 2500, 30*time.Second, true
			test.set(&cfg)
			for seed := int64(1); seed <= 5; seed++ {
				first, second := playEvents(t, cfg, seed), playEvents(t, cfg, seed)
				if len(first) < 300 || strings.Join(first, "\n") != strings.Join(second, "\n") {
					t.Fatalf("seed %d: %d and %d actions", seed, len(first), len(second))
				}
			}
		})
	}
}
