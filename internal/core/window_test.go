package core_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/scenario"
	"larchscale/internal/sock"
)

const window = 20 * time.Second // of the keyed class of scenario.Site

// readLate returns a request whose t0 is unread in the past when it is sent; a negative unread means the future.
func readLate(request core.RequestArrived, unread time.Duration) core.RequestArrived {
	request.Req.Arrived = time.Now().Add(-unread)
	return request
}

// runOnce runs a keyed request that is read the given time after its t0, and returns how far t0 is in the past at its
// end.
func runOnce(w *scenario.World, unread time.Duration) time.Duration {
	expectAfter(w, "run a book body", readLate(w.Ask("a", "book", "k"), unread))
	expectAfter(w, "served a x", runFinished("a", control.OK, "x"))
	return unread + 2*ms
}

// A repeat that is written within the window of the try that ran is not run, whenever it is read: it gets the result,
// or is refused if the result may be forgotten. A repeat written after the window and read in time runs.
func TestRepeatsAtWindowEnd(t *testing.T) {
	for name, c := range map[string]struct {
		first   time.Duration // how late the first try is read
		written time.Duration // after the end of the window; negative = within it
		unread  time.Duration
		want    string
	}{
		"in time":                                  {0, -ms, 0, "served b x"},
		"read within the margin":                   {0, -ms, 1990 * ms, "served b x"},
		"read after the margin":                    {0, -ms, 2010 * ms, "refused b"},
		"read long after the margin":               {0, -ms, 4000 * ms, "refused b"},
		"written just after":                       {0, ms, 0, "served b x"},
		"written after, and read after the margin": {0, 10 * ms, 2050 * ms, "refused b"},
		"written after, read in time":              {0, 2050 * ms, 0, "run b book body"},
		"the first read late, in time":             {1500 * ms, -ms, 1990 * ms, "served b x"},
		"the first read late, after the margin":    {1500 * ms, -ms, 2010 * ms, "refused b"},
		"t0 in the future, in time":                {-1900 * ms, -ms, 0, "served b x"},
		"t0 in the future, read within the margin": {-1900 * ms, -ms, 1990 * ms, "served b x"},
		"t0 in the future, read after the margin":  {-1900 * ms, -ms, 2010 * ms, "refused b"},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, false, func(w *scenario.World) {
				sinceT0 := runOnce(w, c.first)
				w.Expect(window + c.written + c.unread - sinceT0)
				expectAfter(w, c.want, readLate(w.Ask("b", "book", "k"), c.unread))
			})
		})
	}
}

// A try that was read too late joins only a try that ran: if it waited for one that never runs, it would run in its
// place.
func TestLateTryJoinsOnlyTryThatRan(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		expectAfter(w, "run a book body; run x quote body", w.Ask("a", "book", "k"), w.Ask("x", "quote", ""))
		expectAfter(w, "", w.Ask("held", "book", "held"))
		expectAfter(w, "refused b", readLate(w.Ask("b", "book", "held"), 2010*ms))
		expectAfter(w, "", readLate(w.Ask("c", "book", "k"), 2010*ms))
		expectAfter(w, "", readLate(w.Ask("d", "book", "held"), 1990*ms))
		expectAfter(w, "", core.RequestCanceled{Session: w.Session("c"), Handle: "held"})
		expectAfter(w, "served a x; served c x; run d book body", runFinished("a", control.OK, "x"))
	})
}

// A try that has waited here for longer than the margin, for one that never ran, takes its place.
func TestWaitingTryIsNotReadLate(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		expectAfter(w, "run a book body", w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
		w.Expect(2100 * ms)
		expectAfter(w, "invalid a; run b book body", core.PoolCommandUnknown{Command: "spawn", Handle: "a"})
	})
}

// With a window shorter than a run, repeats join the run while it continues, and it runs once. Its result is given to
// the store with time left for those that wait there.
func TestWindowShorterThanRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		site.Control.Classes[1].Window = 100 * ms
		w := scenario.NewWorld(t, site, true)
		w.Expect(ms)
		expectAfter(w, "claim k; run a book body", w.Ask("a", "book", "k"), claimWon())
		w.Expect(2500 * ms) // past the window and its margin
		expectAfter(w, "", w.Ask("b", "book", "k"), readLate(w.Ask("c", "book", "k"), 2450*ms))
		expectAfter(w, "finish k true x; served a x; served b x; served c x", runFinished("a", control.OK, "x"))
		if life := w.Life("k"); life < 2*time.Second {
			t.Errorf("the store keeps its result for %v", life)
		}
		expectAfter(w, "served d x", w.Ask("d", "book", "k"))
	})
}

// playLateAim runs f with a shared store, on a server whose keyed class has an aim close to its deadline.
func playLateAim(t *testing.T, f func(w *scenario.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		site.Control.Classes[1].Aim, site.Control.Classes[1].LateWorth = 7900*ms, 0.5
		w := scenario.NewWorld(t, site, true)
		w.Expect(ms)
		f(w)
	})
}

// A try that waits for another server's claim does not run once that claim may have expired, however long its caller
// waits: the claim of a server that was killed goes to the next that asks, although its run may have had its effect.
func TestTryDoesNotOutliveAnotherClaim(t *testing.T) {
	playLateAim(t, func(w *scenario.World) {
		heldElsewhere := core.ClaimAnswered{Key: fleetKey, State: core.ClaimOther}
		// The try that ran elsewhere is one window and 1 s older than now.
		a := readLate(w.Ask("a", "book", "k"), time.Second)
		a.Req.Budget = time.Minute
		expectAfter(w, "claim k", a)
		for range 68 {
			w.Send(heldElsewhere)
			w.Expect(101*ms, "claim k")
		}
		w.Send(heldElsewhere)
		w.Expect(200*ms, "claim k")
		expectAfter(w, "refused a; release k", claimWon()) // 8 s from its t0: the claim may just have expired
	})
}

// A claim that is won long after the store's last answer, or after the try's t0, may be that of a run whose result
// the store has forgotten meanwhile, because this server was suspended. The try is refused and the claim given up;
// the next try runs.
func TestClaimWonLate(t *testing.T) {
	for name, c := range map[string]struct {
		unread, wait time.Duration // wait is the time until the store's first answer
		others       int           // answers that another server has the key, one each 100 ms
		suspended    time.Duration // how long the server is suspended before the last answer
		want         string
	}{
		"at once":                          {0, 0, 0, 0, "run a book body"},
		"in time":                          {1500 * ms, 400 * ms, 0, 0, "run a book body"},
		"late":                             {1500 * ms, 600 * ms, 0, 0, "release k; refused a"},
		"after another server had it":      {0, 100 * ms, 30, 0, "run a book body"},
		"after a suspension":               {0, 100 * ms, 30, 2100 * ms, "release k; refused a"},
		"after a shorter suspension":       {0, 100 * ms, 30, 1800 * ms, "run a book body"},
		"first answer, after a suspension": {0, 2100 * ms, 0, 0, "release k; refused a"},
	} {
		t.Run(name, func(t *testing.T) {
			playLateAim(t, func(w *scenario.World) {
				a := readLate(w.Ask("a", "book", "k"), c.unread)
				a.Req.Budget = time.Minute
				expectAfter(w, "claim k", a)
				w.Expect(c.wait)
				for range c.others {
					w.Send(core.ClaimAnswered{Key: fleetKey, State: core.ClaimOther})
					w.Expect(101*ms, "claim k")
				}
				w.Expect(c.suspended)
				expectAfter(w, c.want, claimWon())
				if strings.HasPrefix(c.want, "release") {
					expectAfter(w, "claim k; run b book body", w.Ask("b", "book", "k"), claimWon())
				}
			})
		})
	}
}

// On a real connection: a repeat that its caller wrote within the window, and that is read after the key is
// forgotten, is refused as never run, and does not run.
func TestRepeatReadLate(t *testing.T) {
	site := scenario.Site()
	site.Control.Classes[1].Window = 100 * ms
	w := scenario.NewWorld(t, site, false)
	w.Serve(ms)
	listener, err := sock.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := sock.NewServer(listener, 8, &sock.Budget{PerPeer: 1 << 18, Total: 1 << 20},
		jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler)).Handle)
	go server.Serve()
	defer server.Stop(time.Second)
	peer := scenario.Dial(t, listener.Addr().String())
	t0 := time.Now().Add(-1900 * ms) // the first try is read 0.2 s before its key is forgotten
	ask := func(id int, t0 time.Time) {
		peer.Send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"book","params":{"rid":"%016x","t0":%d,"peer":1,"acct":"north","budget":8000,`+
			`"mem":24.5,"prio":0.9,"token":"k","bytes":"Ym9keQ=="}}`+"\n", id, id, t0.UnixMilli()))
	}
	ask(1, t0)
	peer.Expect(`"id":1,"result"`)
	time.Sleep(time.Until(t0.Add(2200 * ms)))
	ask(2, t0.Add(50*ms))
	peer.Expect(`"id":2,"error":{"code":-32001`)
	if runs := w.Runs()["body"]; runs != 1 {
		t.Errorf("the request ran %d times, want 1", runs)
	}
}
