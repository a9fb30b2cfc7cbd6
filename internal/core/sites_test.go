package core_test

import (
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// sites are settings of several kinds: what differs between deployments. Each has the classes read (safe), keyed
// and once (unsafe), as far as its kind has them, and what every deployment is promised holds in all of them.
func sites() map[string]core.Site {
	read := control.Class{Aim: 3 * time.Second, Deadline: 8 * time.Second, Worth: 1, Calls: true}
	keyed := control.Class{Aim: 3 * time.Second, Deadline: 8 * time.Second, Worth: 3, Effect: control.Keyed, Window: 20 * time.Second, Calls: true}
	once := control.Class{Aim: 2600 * ms, Deadline: 6400 * ms, Worth: 3, Effect: control.Unsafe, Calls: true}
	poorer := read
	poorer.SkipWorth, poorer.Aim, poorer.Deadline = 0.6, 1900*ms, 4500*ms
	tier := func(s *core.Site) { s.Control.CallsTier = true }
	shared := func(s *core.Site) {
		s.Control.CallsTier, s.Control.CallShare, s.Control.CallWindow, s.Control.CallLingers = false, 8, 5*time.Second, 200*ms
		s.Control.DearChecks = true
	}
	out := map[string]core.Site{}
	for name, x := range map[string]struct {
		below   func(*core.Site)
		classes map[string]control.Class
	}{
		"keyed writes, a tier below":                   {tier, map[string]control.Class{"read": read, "keyed": keyed}},
		"unsafe writes, a shared database":             {shared, map[string]control.Class{"read": poorer, "once": once}},
		"keyed and unsafe writes, a tier below":        {tier, map[string]control.Class{"read": poorer, "keyed": keyed, "once": once}},
		"keyed and unsafe writes, a database and tier": {func(s *core.Site) { shared(s); tier(s) }, map[string]control.Class{"read": read, "keyed": keyed, "once": once}},
	} {
		s := scenario.Site()
		s.Classes, s.Control.Classes = nil, nil
		for _, name := range []string{"read", "keyed", "once"} {
			if k, ok := x.classes[name]; ok {
				s.Classes, s.Control.Classes = append(s.Classes, name), append(s.Control.Classes, k)
			}
		}
		x.below(&s)
		out[name] = s
	}
	return out
}

// everywhere plays f on every kind of site, once for each of its classes that are writes, or for all classes.
func everywhere(t *testing.T, writes bool, f func(w *scenario.World, class string, ask func(handle, token string) core.Arrive)) {
	for name, site := range sites() {
		for i, class := range site.Classes {
			if writes && site.Control.Classes[i].Effect == control.Safe {
				continue
			}
			t.Run(name+"/"+class, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := scenario.NewWorld(t, site, false)
					w.Expect(ms)
					f(w, class, func(handle, token string) core.Arrive {
						q := w.Ask(handle, "quote", token)
						if q.Req.Class = site.Class(class); !site.Keyed(q.Req.Class) {
							q.Req.Token = ""
						}
						return q
					})
				})
			})
		}
	}
}

// Whatever the class, one answer; and a hint of the work reaches the decisions without a change of the answer.
func TestEveryClassOfEverySiteIsServedOnce(t *testing.T) {
	everywhere(t, false, func(w *scenario.World, class string, ask func(string, string) core.Arrive) {
		q := ask("a", "k")
		q.Req.Work = 250 * ms
		w.Send(q)
		w.Expect(ms, "run a "+class+" body")
		w.Send(finished("a", control.OK, "result"), finished("a", control.OK, "again"))
		w.Expect(ms, "served a result")
	})
}

// A write whose call may have had its effect is failed, and never called for or run again.
func TestAWriteOfUnknownFateIsNeverTriedAgain(t *testing.T) {
	for _, how := range []control.Outcome{control.Broken, control.Errored, control.TimedOut} {
		everywhere(t, true, func(w *scenario.World, class string, ask func(string, string) core.Arrive) {
			w.Send(ask("a", "k"))
			w.Expect(ms, "run a "+class+" body")
			w.Send(blocked("a", "x"))
			w.Expect(ms, "call a "+class+" 4s x")
			w.Send(core.CallEnded{Handle: "a", Outcome: how})
			w.Expect(20*time.Second, "failed a")
		})
	}
}

// A worker pool that starts anew has lost its runs: a write of any kind that ran, also one that it had given back,
// counts as run and failed. Only a write with no key reached the new pool as if it were new.
func TestAWriteIsNotRunAgainByARestartedPool(t *testing.T) {
	everywhere(t, true, func(w *scenario.World, class string, ask func(string, string) core.Arrive) {
		w.Send(ask("a", "k"), ask("b", "l"))
		w.Expect(ms, "run a "+class+" body", "run b "+class+" body")
		w.Send(finished("a", control.Stopped, "")) // stopped by nobody here: held again
		w.Expect(1500 * ms)
		w.Send(core.PoolBound{Cold: true, Age: ms})
		w.Expect(5*time.Second, "failed a", "failed b")
	})
}

// A run goes on without a call that would come too late, named by the notice that asked for it; on a new link
// the command is given again, for it cannot be taken for a word on the next call.
func TestACallIsLeftOutByItsNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, sites()["unsafe writes, a shared database"], false)
		w.Expect(ms)
		q := w.Ask("a", "quote", "")
		w.Send(q)
		w.Expect(ms, "run a read body")
		w.Send(core.PoolBlocked{Handle: "a", Notice: 7, Body: []byte("x")})
		w.Expect(ms, "call a read 1.9s x")
		w.Send(core.CallEnded{Handle: "a", Outcome: control.Broken})
		w.Expect(ms, "call a read 1.9s x") // it is safe: once more
		w.Send(core.CallEnded{Handle: "a", Outcome: control.Broken})
		w.Expect(ms, "pass a 7")
		w.Send(core.PoolLost{}, core.PoolBound{Age: time.Hour})
		w.Expect(10*ms, "pass a 7")
		w.Send(finished("a", control.OK, "poorer"))
		w.Expect(ms, "served a poorer")
	})
}

// A deep check is answered from runs that ended well of late, else by one verification for all that wait; one
// that never comes back, or a pool that is away, is a no in time.
func TestDeepChecks(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		deep := func(h string) core.Check {
			return core.Check{Session: w.Session("c"), Reply: w.Ask(h, "quote", "").Reply, Deep: true}
		}
		w.Send(deep("1"), deep("2"))
		w.Expect(ms, "verify v1")
		w.Send(core.PoolVerified{Ticket: "v1", OK: true})
		w.Expect(ms, "checked 1 true", "checked 2 true")
		w.Send(deep("3")) // proved a moment ago
		w.Expect(2*time.Second, "checked 3 true")
		w.Send(deep("4"))
		w.Expect(790*ms, "verify v2")
		w.Expect(20*ms, "checked 4 false")
		w.Send(core.PoolVerified{Ticket: "v2", OK: true}, deep("5")) // too late to prove anything
		w.Expect(ms, "verify v3")
		w.Send(core.PoolVerified{Ticket: "v3"})
		w.Expect(ms, "checked 5 false")
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(finished("a", control.OK, "x"), deep("6"))
		w.Expect(time.Second+50*ms, "served a x", "checked 6 true")
		w.Send(core.PoolLost{}, deep("7"))
		w.Expect(ms, "checked 7 false")
	})
}
