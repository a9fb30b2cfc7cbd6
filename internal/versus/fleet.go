package versus

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/standin"
	"larchscale/internal/standin/faultnet"
	"larchscale/internal/standin/keystore"
)

// Match is what the boxes of one fleet run: box i begins as From[i % len(From)], and for each make of Roll all boxes
// become it, one after the other.
type Match struct {
	From []standin.Make
	Roll []standin.Make
}

// Alone is a match of one make; rolls is how often all boxes are replaced by the same.
func Alone(k standin.Make, rolls int) Match {
	return Match{[]standin.Make{k}, slices.Repeat([]standin.Make{k}, rolls)}
}

// Upgrade takes all boxes from one make to another, and back.
func Upgrade(from, to standin.Make) Match {
	return Match{[]standin.Make{from}, []standin.Make{to, from}}
}

// Mixed is a fleet of both; every zone has boxes of each.
func Mixed(a, b standin.Make) Match { return Match{From: []standin.Make{a, b}} }

// Field is what the contenders of a set of games play on.
type Field struct {
	Program              string // what a make without one runs
	Boxes, Zones, Voters int
	AtOnce               int                                               // boxes that are replaced at a time
	Script               func(seed uint64, names []string) faultnet.Script // what goes wrong meanwhile
	Callers, Keyed       int                                               // that send repeatable requests, and keyed writes
	Struck               int                                               // keyed writes in hand at a box that is killed
	Planned              int                                               // boxes that a plan takes out meanwhile
	Store                bool                                              // the boxes have one store of keys
	Repeats              standin.Repeats                                   // of keyed writes
	Fill                 int                                               // entries of 4 KB that the log gets first: with over 256 of them, 1 MB, it is made small
	Home                 func() string                                     // a directory for one fleet's files
	Check                func(seed uint64, p *Played) error                // of the fleet as it stands in the end; nil = none
}

// Default is the field of most games: short windows of keyed results, so that plans go on beside keyed writes, and
// callers that repeat anywhere, as the shared store allows.
func Default(program string, home func() string) Field {
	return Field{Program: program, Boxes: 6, Zones: 3, Voters: 3, AtOnce: 2, Script: Drawn(16), Callers: 4, Keyed: 4, Struck: 6, Planned: 1, Store: true,
		Repeats: standin.Repeats{Within: 2500 * time.Millisecond, Pause: 50 * time.Millisecond, Anywhere: true}, Home: home}
}

const (
	window = time.Second            // of keyed results
	work   = 60 * time.Millisecond  // of a run
	heard  = 400 * time.Millisecond // a door says no before its process ends: a balancer's question and its patience
	settle = 40 * time.Second
)

// What a result is worth by its class, and what is left of it past its aim: as the boxes' settings say.
const (
	worthKeyed = 3
	lateWorth  = 0.2
)

// Drawn draws a script of so many steps from the seed.
func Drawn(steps int) func(uint64, []string) faultnet.Script {
	return func(seed uint64, names []string) faultnet.Script { return faultnet.Draw(seed, names, steps) }
}

// Leader in a script is the box that leads as the step begins; started, it is the one that was last killed as leader.
const Leader = "leader"

// Troubles is the script of an upgrade: the leader is killed and comes back, one way of a pair is cut and mended, a box
// loses its disk; the seed draws which and when.
func Troubles(rounds int) func(uint64, []string) faultnet.Script {
	return func(seed uint64, names []string) (out faultnet.Script) {
		r := rand.New(rand.NewPCG(seed, 4))
		add := func(do string, who ...string) {
			out = append(out, faultnet.Step{Pause: time.Duration(700+r.IntN(1200)) * time.Millisecond, Do: do, Who: who})
		}
		for round := range rounds {
			order := r.Perm(len(names))
			a, b, c := names[order[0]], names[order[1]], names[order[2]]
			add("kill", Leader)
			add([]string{"drop", "deaf", "sever"}[r.IntN(3)], a, b)
			add("start", Leader)
			add("mend", a, b)
			if round == 0 {
				add("wipe", c)
				add("start", c)
			}
		}
		return out
	}
}

// Played is one game of a fleet while it is played, and what was seen of it.
type Played struct {
	*standin.Fleet
	Audit  *standin.Audit
	Script faultnet.Script
	Began  time.Time

	mu    sync.Mutex
	notes []string
	led   string // the box last killed as the leader
	takes bool   // keyed work is claimed in the fleet
}

// Note keeps what happened for who reads of a game that failed.
func (p *Played) Note(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes = append(p.notes, fmt.Sprintf("%6.2f %s", time.Since(p.Began).Seconds(), fmt.Sprintf(format, a...)))
}

// Game is the game of fleets on a field. Its value is the worth served in time over the worth asked for, as the callers
// saw it, without the volleys at boxes that are killed: how many of those a box has in hand is a matter of chance, and
// what became of them is counted.
func (f Field) Game(name string) Game[Match] {
	return Game[Match]{Name: name, Together: true, Play: f.play}
}

func (f Field) play(seed uint64, m Match) (out Outcome, err error) {
	makes, roll := slices.Clone(m.From), slices.Clone(m.Roll)
	if f.Store {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return out, err
		}
		store := keystore.New()
		go store.Serve(l)
		defer store.Stop()
		defer l.Close()
		for _, list := range [][]standin.Make{makes, roll} {
			for i := range list {
				list[i].Operator += fmt.Sprintf("[store]\nredis = %q\n", l.Addr().String())
			}
		}
	}
	fleet, err := standin.NewFleet(f.Program, f.Home(), standin.FleetOptions{Boxes: f.Boxes, Zones: f.Zones, Voters: f.Voters, DrainMs: 300, SilentMs: 1500,
		Work: work, Window: window, Makes: makes})
	if err != nil {
		return out, err
	}
	p := &Played{Fleet: fleet, Began: time.Now(), takes: slices.ContainsFunc(makes, func(k standin.Make) bool { return k.TakeOver })}
	defer fleet.Close()
	p.Script = f.Script(seed, fleet.Names())
	if out, err = f.through(seed, p, roll); err != nil {
		err = fmt.Errorf("%w\nthe script:\n%s\n%s", err, p.Script, p.story())
	}
	return out, err
}

// story is what happened, and how each box stands.
func (p *Played) story() string {
	p.mu.Lock()
	out := strings.Join(p.notes, "\n")
	p.mu.Unlock()
	for _, m := range p.Members {
		s, err := m.State()
		log := m.Log()
		out += fmt.Sprintf("\n%s: leader %q term %d index %d, %v, boxes %v\n%s", m.Name, s.Leader, s.Term, s.Index, err, s.Boxes, log[max(0, len(log)-1200):])
	}
	return out
}

const plan = "versus"

func (f Field) through(seed uint64, p *Played, roll []standin.Make) (out Outcome, err error) {
	if err := p.Settle(settle, f.Voters); err != nil {
		return out, err
	}
	if err := p.fill(f.Fill); err != nil {
		return out, err
	}
	if err := p.placed(); err != nil {
		return out, err
	}
	p.Audit = standin.NewAudit(p.Fleet, seed, f.Repeats)
	p.Call(f.Callers)
	p.Audit.Call(f.Keyed)
	defer p.Audit.Stop()
	finish := p.Staff(50*time.Millisecond, func(s string) { p.Note("%s", s) })
	names := p.Names()
	if err := p.propose(maintenance.Plan{ID: plan, By: "versus", Reason: "games", Boxes: names[len(names)-f.Planned:], Most: f.AtOnce + 1}); err != nil {
		return out, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	leaderless := p.leaderless(ctx)
	rolled := make(chan error, 1)
	go func() { rolled <- p.roll(roll, f.AtOnce) }()
	err = p.Script.Play(ctx, p.Net, &hands{p, f.Struck}, func(x faultnet.Step) { p.Note("%s", x) })
	err = errors.Join(err, <-rolled)
	stop()
	without, done := <-leaderless, p.done(plan)
	p.Net.Heal()
	p.Note("all is mended")
	for _, m := range p.Members {
		m.Freeze(false)
		err = errors.Join(err, m.Start())
	}
	if err != nil {
		return out, err
	}
	if _, err := p.Over(plan, settle); err != nil {
		return out, err
	}
	if err := p.Settle(settle, f.Voters); err != nil {
		return out, err
	}
	p.Audit.Stop()
	calls, keyed, watch := p.Calls.Stop(), p.Audit.Account(), finish()
	if len(watch.Faults) > 0 {
		return out, errors.New(strings.Join(watch.Faults, "; "))
	}
	if f.Check != nil {
		if err := f.Check(seed, p); err != nil {
			return out, err
		}
	}
	return f.outcome(calls, keyed, without, done), nil
}

// outcome makes the value and the counts.
func (f Field) outcome(calls standin.Tally, keyed standin.Account, without time.Duration, done int) Outcome {
	worth := func(served, late int) float64 { return float64(served-late) + lateWorth*float64(late) }
	got := worth(int(calls.Served), int(calls.Late)) + worthKeyed*worth(keyed.Steady.Served, keyed.Steady.Late)
	asked := float64(calls.Sent) + worthKeyed*float64(keyed.Steady.Asked)
	return Outcome{Value: got / max(1, asked), Counts: map[string]float64{
		"asked": float64(calls.Sent) + float64(keyed.Asked), "unheard": float64(calls.Unheard), "twice": float64(len(keyed.Twice)), "lost": float64(keyed.Lost),
		"leaderless s": without.Seconds(), "plan steps": float64(done), InHand: float64(keyed.Struck), Survived: float64(keyed.Survived),
		"given out": float64(keyed.Kept), "found again": float64(keyed.Found)}}
}

// The counts that tell how well keyed work outlives its box: writes in hand at a box as it was killed, and those of them
// whose callers got the result of their one run from another.
const (
	InHand   = "in hand"
	Survived = "survived"
)

// placed waits until keys can be claimed at every box, where they are in the fleet.
func (p *Played) placed() error {
	if !p.takes {
		return nil
	}
	return standin.Until("each slice has its homes", settle, func() bool {
		return !slices.ContainsFunc(p.Members, func(m *standin.Member) bool {
			x := m.Figures()
			return x["fleet.homes"] == 0 || x["fleet.bare"] > 0 || x["fleet.lease_ms"] == 0
		})
	})
}

// fill has the log take so many entries of 4 KB. None of them takes hold: there is no such plan.
func (p *Played) fill(n int) error {
	var all sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		all.Go(func() {
			for range n / len(errs) {
				err := p.Members[i%len(p.Members)].Say(context.Background(), driver.Command{Entry: maintenance.Entry{Kind: maintenance.Pause,
					Plan: maintenance.Plan{ID: "none", Reason: strings.Repeat("x", 4<<10)}}})
				if err == nil {
					errs[i] = errors.New("a plan that is unknown was paused")
				}
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// propose asks for a plan until it is taken.
func (p *Played) propose(x maintenance.Plan) error {
	return standin.Until("plan "+x.ID+" is taken", settle, func() bool {
		return slices.ContainsFunc(p.Members, func(m *standin.Member) bool { return m.Propose(context.Background(), x) == nil })
	})
}

// done counts the steps of a plan that have been done, five a box from the grant to the return, as the box that knows
// most has it.
func (p *Played) done(id string) (most int) {
	for _, m := range p.Members {
		s, err := m.State()
		if err != nil {
			continue
		}
		if x := s.Plan(id); x != nil {
			n := len(x.Gone) * int(maintenance.Returning+1)
			for _, b := range s.Boxes {
				if b.Plan == id {
					n += int(b.Phase)
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// leaderless measures, until ctx ends, for how long no box that could be asked led.
func (p *Played) leaderless(ctx context.Context) <-chan time.Duration {
	out := make(chan time.Duration, 1)
	go func() {
		sum, last := time.Duration(0), time.Now()
		for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
			leads := p.Look(func(m *standin.Member) bool {
				s, err := m.State()
				return err == nil && s.Leader == m.Name
			})
			now := time.Now()
			if !slices.Contains(leads, true) {
				sum += now.Sub(last)
			}
			last = now
		}
		out <- sum
	}()
	return out
}

// roll replaces all boxes, zones in turn, at most so many at a time, for each make.
func (p *Played) roll(makes []standin.Make, atOnce int) error {
	for i, k := range makes {
		p.Note("roll %d", i+1)
		room := make(chan struct{}, atOnce)
		errs := make([]error, len(p.Members))
		var all sync.WaitGroup
		for j, m := range p.Members { // their zones take turns
			room <- struct{}{}
			all.Go(func() {
				defer func() { <-room }()
				p.Note("%s is replaced", m.Name)
				errs[j] = m.Become(k, heard)
			})
		}
		all.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

// hands are a script's on the processes.
type hands struct {
	p      *Played
	struck int
}

func (h *hands) Kill(n string) {
	if n == Leader {
		var l *standin.Member
		if err := standin.Until("a leader serves", settle, func() bool {
			l = h.p.Leader()
			return l != nil && standin.Health(l.Admin) == http.StatusOK
		}); err != nil {
			h.p.Note("%v", err)
			return
		}
		h.p.led, n = l.Name, l.Name
		h.p.Note("it is %s", n)
	}
	h.p.Audit.Strike(h.p.Member(n), h.struck)
}

func (h *hands) Wipe(n string) {
	if err := h.p.Member(n).Wipe(); err != nil {
		h.p.Note("wipe %s: %v", n, err)
	}
}
func (h *hands) Stop(n string) { h.p.Member(n).Freeze(true) }
func (h *hands) Go(n string)   { h.p.Member(n).Freeze(false) }

func (h *hands) Start(n string) error {
	if n == Leader {
		if n = h.p.led; n == "" {
			return nil
		}
	}
	return h.p.Member(n).Start()
}
