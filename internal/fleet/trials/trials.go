// Package trials runs trials of two addresses for calls below on one box: it carries out package trial as a module of
// the fleet's driver, chooses where each call goes as the core's Downstream, and counts what each request was worth as the
// core's Judge. It does not block either loop; what they share is read by one pointer or counted under a short lock.
package trials

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/core"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/trial"
	"larchscale/internal/sequential"
)

// Part is the name of the part. A later format gets another number.
const Part = "trial.1"

const (
	lookEach = time.Second
	// sentFirst is how many reports of a process go out, a second apart, before it counts: one that was never heard of
	// could not be missed.
	sentFirst = 2
)

// Word is what an operator says: one of the two.
type Word struct {
	Start *trial.Spec `json:",omitempty"`
	Stop  *Stop       `json:",omitempty"`
}

// Stop ends a trial for a reason; all is given to A.
type Stop struct{ ID, By, Why string }

// Options are what trials have to know of their box.
type Options struct {
	Classes []string                   // of calls
	Present core.Downstream            // where calls go without a trial
	Others  map[string]core.Downstream // by address, where else they may go
	Holds   func() bool                // this box's lease runs; safe from any goroutine
	Now     func() time.Duration       // a clock that never steps
}

// Trials are one process's.
type Trials struct {
	present core.Downstream
	callers []core.Downstream // all of them
	known   trial.Known
	others  map[string]core.Downstream
	holds   func() bool
	now     func() time.Duration
	log     *slog.Logger
	leaves  atomic.Bool
	ways    atomic.Pointer[map[string]*way] // by class

	units map[string]unit // of the core's loop, by handle
}

// New makes the trials of a process.
func New(opt Options, log *slog.Logger) *Trials {
	t := &Trials{present: opt.Present, callers: []core.Downstream{opt.Present}, known: trial.Known{Calls: map[string][]string{}}, others: opt.Others,
		holds: opt.Holds, now: opt.Now, log: log, units: map[string]unit{}}
	addrs := append([]string{Present}, slices.Sorted(maps.Keys(opt.Others))...)
	for _, class := range opt.Classes {
		t.known.Calls[class] = addrs
	}
	for _, a := range addrs[1:] {
		t.callers = append(t.callers, opt.Others[a])
	}
	t.ways.Store(&map[string]*way{})
	return t
}

// Module is the driver's, new for each opening of it.
func (t *Trials) Module() driver.Module {
	return &module{TypedStateMachine: consensus.NewTypedStateMachine[trial.State, trial.Entry](Part), trials: t, tallies: map[string]*tally{}, told: map[string]sequential.Verdict{}}
}

// module is the part of the fleet's loop.
type module struct {
	*consensus.TypedStateMachine[trial.State, trial.Entry, *trial.State]
	trials  *Trials
	host    *driver.Host
	tallies map[string]*tally             // of open trials, by id
	told    map[string]sequential.Verdict // what was logged of each trial
	leader  *trial.Leader                 // hears as any voter does, so that what one that led heard last is not lost
	looked  time.Duration
	units   [2]int64 // of trials that are over
}

// Start implements driver.Module.
func (m *module) Start(h *driver.Host) {
	m.host, m.leader = h, trial.NewLeader(h.Self().Name)
	m.publish()
}

// StateChanged implements driver.Module.
func (m *module) StateChanged(time.Time) { m.publish() }

// publish has the core's loop choose by the state as it is now.
func (m *module) publish() {
	for id, c := range m.tallies {
		if t := m.State.Trial(id); t == nil || !t.Open() {
			c.mu.Lock()
			m.units[0], m.units[1] = m.units[0]+c.units[0], m.units[1]+c.units[1]
			c.mu.Unlock()
			delete(m.tallies, id)
		}
	}
	ways := map[string]*way{}
	told := map[string]sequential.Verdict{}
	for i := range m.State.Trials {
		t := &m.State.Trials[i]
		m.tell(t, told)
		if m.State.Of(false, t.Spec.Thing) != t || m.follows(&t.Spec) != nil {
			continue
		}
		w := &way{trial: *t}
		w.trial.Kept = nil
		if t.Open() {
			c := m.tallies[t.Spec.ID]
			if c == nil {
				c = &tally{count: trial.NewCounter(t, m.host.Self().Name, m.host.Incarnation())}
				m.tallies[t.Spec.ID] = c
			}
			if c.sent >= sentFirst {
				w.tally = c
			}
		}
		ways[t.Spec.Thing] = w
	}
	if !slices.ContainsFunc(m.State.Trials, func(t trial.Trial) bool { return t.Open() }) { // what was heard is of no use any longer
		m.leader = trial.NewLeader(m.host.Self().Name)
	}
	m.told = told
	m.trials.ways.Store(&ways)
}

// tell logs what became of a trial, once in a process.
func (m *module) tell(t *trial.Trial, told map[string]sequential.Verdict) {
	id, v := t.Spec.ID, t.Outcome.Verdict
	was, known := m.told[id]
	told[id] = v
	switch {
	case known && was == v:
	case v != sequential.Continue:
		m.host.Log().Info("fleet", "do", "trial", "id", id, "outcome", v.String(), "serves", t.Spec.Values[t.Winner()], "by", t.Outcome.By, "why", t.Outcome.Why)
	default:
		m.host.Log().Info("fleet", "do", "trial", "id", id, "calls", t.Spec.Thing, "a", t.Spec.Values[0], "b", t.Spec.Values[1])
	}
	if err := m.follows(&t.Spec); err != nil && !known {
		m.host.Log().Error("fleet", "do", "trial", "serves", Present, "counts", "nothing", "err", err)
	}
}

// follows tells why this box cannot take part in a trial.
func (m *module) follows(s *trial.Spec) error {
	if s.Split != trial.Subject {
		return fmt.Errorf("trial %s is split by %v; this program splits calls by subject, and no setting of it may change while it runs: %w", s.ID, s.Split, trial.ErrInvalid)
	}
	for _, g := range s.Plan.Guards {
		if g.Name != Failures && g.Name != Lateness && g.Name != Below {
			return fmt.Errorf("trial %s: guard %q, it can be %s, %s or %s: %w", s.ID, g.Name, Failures, Lateness, Below, trial.ErrUnknown)
		}
	}
	return m.trials.known.Check(s)
}

// DecodeCommand implements driver.CommandHandler.
func (m *module) DecodeCommand(data []byte) (any, error) {
	var w Word
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	switch {
	case !m.Initialized() && !m.host.SupportedByAll():
		return nil, fmt.Errorf("not every box's program knows of trials yet: %w", trial.ErrInvalid)
	case w.Start != nil:
		return trial.Entry{Kind: trial.Start, Spec: *w.Start}, m.follows(w.Start)
	case w.Stop != nil:
		return trial.Entry{Kind: trial.Stop, ID: w.Stop.ID, By: w.Stop.By, Why: w.Stop.Why}, nil
	}
	return nil, fmt.Errorf("neither a start nor a stop: %w", trial.ErrInvalid)
}

// Status implements driver.CommandHandler: the trials, and how this box counts.
func (m *module) Status() any {
	s := Status{State: m.State.Clone(), Box: m.host.Self().Name, Units: map[string][2]int64{}}
	for id, c := range m.tallies {
		c.mu.Lock()
		s.Units[id] = c.units
		c.mu.Unlock()
	}
	return s
}

// Status is how trials stand as one box sees it.
type Status struct {
	trial.State
	Box   string
	Units map[string][2]int64 // that this process of the box has assigned, by open trial
}

// Tick implements driver.Module.
func (m *module) Tick(time.Time) {}

// LeaderTick implements driver.Module: what the boxes say is looked at each second.
func (m *module) LeaderTick(time.Time) {
	now := m.trials.now()
	if !m.Initialized() || now-m.looked < lookEach {
		return
	}
	m.looked = now
	for _, r := range m.reports() {
		m.hear(r)
	}
	for _, e := range m.leader.Next(&m.State, now.Milliseconds()) {
		if err := m.host.Propose(e, true); err != nil {
			m.host.Log().Debug("fleet", "do", "trial", "id", e.ID, "err", err)
		}
	}
}

func (m *module) hear(r trial.Report) {
	if err := m.leader.Hear(&m.State, &r, m.trials.now().Milliseconds()); err != nil {
		m.host.Log().Debug("fleet", "do", "trial", "box", r.Life.Box, "err", err)
	}
}

// reports are what this process counted, of each open trial.
func (m *module) reports() (out []trial.Report) {
	for _, id := range slices.Sorted(maps.Keys(m.tallies)) {
		c := m.tallies[id]
		c.mu.Lock()
		out = append(out, c.count.Report(m.State.Trial(id).Block, m.trials.leaves.Load() && c.open == 0))
		c.mu.Unlock()
	}
	return out
}

// Report implements driver.Module. It is under trial.MaxTrials * trial.MaxReport bytes.
func (m *module) Report(time.Time) []byte {
	if len(m.tallies) == 0 {
		return nil
	}
	data, err := cbor.Marshal(m.reports())
	if err != nil {
		m.host.Log().Error("fleet", "do", "report", "err", err)
		return nil
	}
	begins := false
	for _, c := range m.tallies {
		c.sent++
		begins = begins || c.sent == sentFirst
	}
	if begins {
		m.publish()
	}
	return data
}

// ReceiveReport implements driver.Module.
func (m *module) ReceiveReport(from consensus.Member, data []byte, _ time.Time) {
	if len(data) == 0 {
		return
	}
	var list []trial.Report
	err := cbor.Unmarshal(data, &list)
	if err == nil && len(list) > trial.MaxTrials {
		err = trial.ErrBound
	}
	if err != nil {
		m.host.Log().Debug("fleet", "do", "report", "from", from.Name, "bytes", len(data), "err", err)
		return
	}
	for _, r := range list {
		if r.Life.Box == from.Name {
			m.hear(r)
		}
	}
}

// ReadConfirmed implements driver.Module.
func (m *module) ReadConfirmed(uint64, time.Time) {}

// Receive implements driver.Module: boxes count, and say nothing to each other.
func (m *module) Receive(consensus.Member, []byte, time.Time) {}

// Stop implements driver.Module: what comes is not heard any longer, so the lease of this process ends and all is A's.
func (m *module) Stop() {}

// Metrics implements driver.Module.
func (m *module) Metrics(time.Time) []byte {
	units, last := m.units, &trial.Trial{}
	for _, c := range m.tallies {
		c.mu.Lock()
		units[0], units[1] = units[0]+c.units[0], units[1]+c.units[1]
		c.mu.Unlock()
	}
	open := 0
	for i := range m.State.Trials {
		if t := &m.State.Trials[i]; t.Open() {
			open++
		} else {
			last = t
		}
	}
	return fmt.Appendf(nil, "fleet.trials=%d\nfleet.trial_a=%d\nfleet.trial_b=%d\nfleet.trial_outcome=%d\n", open, units[0], units[1], last.Outcome.Verdict)
}
