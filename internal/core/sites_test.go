package core_test

import (
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// deploymentKinds returns configurations of several kinds of deployment. Each has the classes read (safe), keyed and
// once (unsafe), as far as its kind has them. What every deployment is promised holds in all of them.
func deploymentKinds() map[string]core.Config {
	read := control.Class{Aim: 3 * time.Second, Deadline: 8 * time.Second, Worth: 1, Calls: true}
	keyed := control.Class{Aim: 3 * time.Second, Deadline: 8 * time.Second, Worth: 3, Effect: control.Keyed,
		Window: 20 * time.Second, Calls: true}
	once := control.Class{Aim: 2600 * ms, Deadline: 6400 * ms, Worth: 3, Effect: control.Unsafe, Calls: true}
	skipping := read
	skipping.SkipWorth, skipping.Aim, skipping.Deadline = 0.6, 1900*ms, 4500*ms
	tier := func(site *core.Config) { site.Control.DownstreamSheds = true }
	shared := func(site *core.Config) {
		site.Control.DownstreamSheds, site.Control.CallShare, site.Control.CallWindow,
			site.Control.CallLingers = false, 8, 5*time.Second, 200*ms
		site.Control.ExpensiveChecks = true
	}
	deployments := map[string]core.Config{}
	for name, kind := range map[string]struct {
		downstream func(*core.Config)
		classes    map[string]control.Class
	}{
		"keyed writes, a downstream tier": {tier, map[string]control.Class{"read": read, "keyed": keyed}},
		"unsafe writes, a shared database": {shared,
			map[string]control.Class{"read": skipping, "once": once}},
		"keyed and unsafe writes, a downstream tier": {tier,
			map[string]control.Class{"read": skipping, "keyed": keyed, "once": once}},
		"keyed and unsafe writes, a database and tier": {func(site *core.Config) { shared(site); tier(site) },
			map[string]control.Class{"read": read, "keyed": keyed, "once": once}},
	} {
		site := scenario.Site()
		site.Classes, site.Control.Classes = nil, nil
		for _, name := range []string{"read", "keyed", "once"} {
			if class, ok := kind.classes[name]; ok {
				site.Classes, site.Control.Classes = append(site.Classes, name), append(site.Control.Classes, class)
			}
		}
		kind.downstream(&site)
		deployments[name] = site
	}
	return deployments
}

// onEachKind runs f on every kind of deployment, once for each of its classes or, with writes, for each class that is
// not safe.
func onEachKind(t *testing.T, writes bool,
	f func(w *scenario.World, class string, ask func(handle, token string) core.RequestArrived)) {
	for name, site := range deploymentKinds() {
		for i, class := range site.Classes {
			if writes && site.Control.Classes[i].Effect == control.Safe {
				continue
			}
			t.Run(name+"/"+class, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := scenario.NewWorld(t, site, false)
					w.Expect(ms)
					f(w, class, func(handle, token string) core.RequestArrived {
						request := w.Ask(handle, "quote", token)
						if request.Req.Class = site.ClassIndex(class); !site.Keyed(request.Req.Class) {
							request.Req.Token = ""
						}
						return request
					})
				})
			})
		}
	}
}

// A request of any class gets one answer, and the estimate of its work reaches the controller without changing the
// answer.
func TestEveryClassIsServedOnce(t *testing.T) {
	onEachKind(t, false, func(w *scenario.World, class string, ask func(string, string) core.RequestArrived) {
		request := ask("a", "k")
		request.Req.Work = 250 * ms
		w.Send(request)
		w.Expect(ms, "run a "+class+" body")
		w.Send(runFinished("a", control.OK, "result"), runFinished("a", control.OK, "again"))
		w.Expect(ms, "served a result")
	})
}

// A write whose call may have had its effect fails; neither the call nor the run is repeated.
func TestWriteOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	for _, outcome := range []control.Outcome{control.Interrupted, control.Errored, control.TimedOut} {
		onEachKind(t, true, func(w *scenario.World, class string, ask func(string, string) core.RequestArrived) {
			w.Send(ask("a", "k"))
			w.Expect(ms, "run a "+class+" body")
			w.Send(runBlocked("a", "x"))
			w.Expect(ms, "call a "+class+" 4s x")
			w.Send(core.CallEnded{Handle: "a", Outcome: outcome})
			w.Expect(20*time.Second, "failed a")
		})
	}
}

// A restarted worker pool has lost its runs. A write of any kind that has run, even one that was held again after a
// stop, counts as run and failed. Guards against a fault in which a write without a key reached the new pool as new.
func TestWriteIsNotRunAgainByRestartedPool(t *testing.T) {
	onEachKind(t, true, func(w *scenario.World, class string, ask func(string, string) core.RequestArrived) {
		w.Send(ask("a", "k"), ask("b", "l"))
		w.Expect(ms, "run a "+class+" body", "run b "+class+" body")
		w.Send(runFinished("a", control.Stopped, "")) // not stopped by the controller: held again
		w.Expect(1500 * ms)
		w.Send(core.PoolBound{Cold: true, Age: ms})
		w.Expect(5*time.Second, "failed a", "failed b")
	})
}

// A run continues without a call that would come too late; the command names the notice that asked for the call. On a
// new link the command is repeated, since it cannot be taken for an answer to the next call.
func TestSkippedCallNamesItsNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, deploymentKinds()["unsafe writes, a shared database"], false)
		w.Expect(ms)
		request := w.Ask("a", "quote", "")
		w.Send(request)
		w.Expect(ms, "run a read body")
		w.Send(core.PoolBlocked{Handle: "a", Notice: 7, Body: []byte("x")})
		w.Expect(ms, "call a read 1.9s x")
		w.Send(core.CallEnded{Handle: "a", Outcome: control.Interrupted})
		w.Expect(ms, "call a read 1.9s x") // the class is safe: one more call
		w.Send(core.CallEnded{Handle: "a", Outcome: control.Interrupted})
		w.Expect(ms, "pass a 7")
		w.Send(core.PoolLost{}, core.PoolBound{Age: time.Hour})
		w.Expect(10*ms, "pass a 7")
		w.Send(runFinished("a", control.OK, "poorer"))
		w.Expect(ms, "served a poorer")
	})
}

// A deep check is answered from recent runs that ended well, otherwise by one verification for all waiting checks. If
// the verification does not come back, or the pool is unavailable, the answer is no, in time.
func TestDeepChecks(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		deepCheck := func(h string) core.HealthCheck {
			return core.HealthCheck{Session: w.Session("c"), Reply: w.Ask(h, "quote", "").Reply, Deep: true}
		}
		w.Send(deepCheck("1"), deepCheck("2"))
		w.Expect(ms, "verify v1")
		w.Send(core.PoolVerified{Ticket: "v1", OK: true})
		w.Expect(ms, "checked 1 true", "checked 2 true")
		w.Send(deepCheck("3")) // proved a moment ago
		w.Expect(2*time.Second, "checked 3 true")
		w.Send(deepCheck("4"))
		w.Expect(790*ms, "verify v2")
		w.Expect(20*ms, "checked 4 false")
		w.Send(core.PoolVerified{Ticket: "v2", OK: true}, deepCheck("5")) // too late to prove anything
		w.Expect(ms, "verify v3")
		w.Send(core.PoolVerified{Ticket: "v3"})
		w.Expect(ms, "checked 5 false")
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(runFinished("a", control.OK, "x"), deepCheck("6"))
		w.Expect(time.Second+50*ms, "served a x", "checked 6 true")
		w.Send(core.PoolLost{}, deepCheck("7"))
		w.Expect(ms, "checked 7 false")
	})
}
