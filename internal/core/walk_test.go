package core_test

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

const (
	walkSeeds = 12
	walkSteps = 400
)

// Guards as TestEndedRequestsAreReleased does where events cross: in random walks through all events of a core, a request
// that is over and whose connection has ended is in memory no longer, and each request has one answer at most.
func TestEndedRequestsAreReleasedInRandomWalks(t *testing.T) {
	for seed := range uint64(walkSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			var with []func(*scenario.World)
			if seed%2 == 0 {
				with = append(with, confirms)
			}
			if seed%3 > 0 {
				with = append(with, strictLedger(seed%3 == 1))
			}
			observe(t, scenario.Site(), seed%4 > 0, with, func(m *retention) {
				walk := &walk{m, random, seed%4 > 0, 0}
				for step := range walkSteps {
					walk.step()
					if step%50 == 49 {
						walk.checkEnded()
					}
				}
				walk.end()
			})
		})
	}
}

// walk is a random walk through the events of a core.
type walk struct {
	*retention
	random *rand.Rand
	shared bool // there is a shared store
	count  int  // requests so far
}

// handle returns one of the newest handles.
func (w *walk) handle() string {
	return fmt.Sprint("w", max(0, w.count-1-w.random.IntN(8)))
}

func (w *walk) token() string { return fmt.Sprint("k", w.random.IntN(6)) }

var outcomes = []control.Outcome{control.OK, control.Errored, control.Stopped, control.NotStarted, control.TimedOut, control.Interrupted,
	control.Rejected, control.Unreachable}

// step sends one event or lets time pass.
func (w *walk) step() {
	handle, token := w.handle(), w.token()
	outcome := outcomes[w.random.IntN(len(outcomes))]
	event := w.random.IntN(20)
	if needsStore := event >= 6 && event <= 9 || event == 17 || event == 18; needsStore && !w.shared {
		return
	}
	switch event {
	case 0, 1, 2:
		w.count++
		w.ask(fmt.Sprint("w", w.count-1), "book", token)
	case 3:
		w.count++
		w.ask(fmt.Sprint("w", w.count-1), "quote", "")
	case 4:
		if r := w.requests[handle]; r != nil && r.session != nil {
			w.cancel(handle)
		}
	case 5:
		if w.requests[handle] != nil {
			w.hangUp(handle)
		}
	case 6, 7, 8:
		w.send(claimed(token, core.Claim(w.random.IntN(int(core.ClaimUnavailable)+1))))
	case 9:
		w.send(stored(token, w.random.IntN(3) > 0))
	case 10, 11:
		w.send(runSucceeded(handle, "x"))
	case 12:
		w.send(runFinished(handle, outcome, ""))
	case 13:
		w.send(runBlocked(handle, "call"))
	case 14:
		w.send(core.CallEnded{Handle: handle, Outcome: outcome, Body: []byte("reply")})
	case 15:
		w.send(core.PoolCommandUnknown{Command: "spawn", Handle: handle})
	case 16:
		w.send(core.PoolLost{}, core.PoolBound{Age: time.Hour * time.Duration(w.random.IntN(2))})
	case 17:
		w.w.Lose(true)
		w.send(core.Disown{})
		w.w.Lose(false)
	case 18:
		body := trackedBody()
		w.send(core.Adopt{Request: core.KeyedRequest{Key: core.Key{Class: 1, Token: token}, Sum: sha256.Sum256(body[:]), Body: body[:],
			Tenant: -1, Rank: 0.9, Memory: 10, Left: 2 * time.Second}})
	default:
		w.send(core.LedgerWritten{Through: uint64(w.random.IntN(w.count + 1))})
		time.Sleep(time.Duration(w.random.IntN(500)) * ms)
	}
}

// checkEnded checks what is over and whose connection has ended.
func (w *walk) checkEnded() {
	w.t.Helper()
	var ended []string
	for handle, r := range w.requests {
		if r.session == nil {
			ended = append(ended, handle)
		}
	}
	w.expectReleased(ended, false)
}

// end ends all connections and runs, and checks that nothing is left.
func (w *walk) end() {
	w.t.Helper()
	for handle := range w.requests {
		w.hangUp(handle)
	}
	w.send(core.PoolLost{}, core.PoolBound{Cold: true}, core.LedgerWritten{Through: 1 << 40})
	if w.shared {
		w.send(core.Disown{})
	}
	time.Sleep(5 * time.Second) // runs that were adopted end
	w.send(core.PoolLost{}, core.PoolBound{Cold: true}, core.LedgerWritten{Through: 1 << 40})
	w.expectReleased(slices.Collect(maps.Keys(w.requests)), true)
	w.expectEmpty()
	for handle, kinds := range w.answers {
		if len(kinds) > 1 {
			w.t.Errorf("%s has the answers %v", handle, kinds)
		}
	}
}
