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

// written is a request whose t0 is past by unread when it is sent; below 0 it is to come.
func written(a core.Arrive, unread time.Duration) core.Arrive {
	a.Req.Arrived = time.Now().Add(-unread)
	return a
}

// ranOnce has a keyed request run that was read so long after its t0, and gives how far t0 is past at its end.
func ranOnce(w *scenario.World, unread time.Duration) time.Duration {
	on(w, "run a book body", written(w.Ask("a", "book", "k"), unread))
	on(w, "served a x", finished("a", control.OK, "x"))
	return unread + 2*ms
}

// A repeat that is written within the window of the try that ran is not run, whenever it is read: it gets the result, or
// is refused where that may be forgotten. One written after the window and read in time runs.
func TestRepeatsAtTheWindowsEnd(t *testing.T) {
	for name, x := range map[string]struct {
		first   time.Duration // how late the first try is read
		written time.Duration // after the window's end, below 0 = within
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
		"t0 to come, in time":                      {-1900 * ms, -ms, 0, "served b x"},
		"t0 to come, read within the margin":       {-1900 * ms, -ms, 1990 * ms, "served b x"},
		"t0 to come, read after the margin":        {-1900 * ms, -ms, 2010 * ms, "refused b"},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, false, func(w *scenario.World) {
				past := ranOnce(w, x.first)
				w.Expect(window + x.written + x.unread - past)
				on(w, x.want, written(w.Ask("b", "book", "k"), x.unread))
			})
		})
	}
}

// A try that was read too late joins only what ran: the try that it waits for may come to nothing, and then it would run.
func TestALateTryJoinsOnlyWhatRan(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		on(w, "run a book body; run x quote body", w.Ask("a", "book", "k"), w.Ask("x", "quote", ""))
		on(w, "", w.Ask("held", "book", "held"))
		on(w, "refused b", written(w.Ask("b", "book", "held"), 2010*ms))
		on(w, "", written(w.Ask("c", "book", "k"), 2010*ms))
		on(w, "", written(w.Ask("d", "book", "held"), 1990*ms))
		on(w, "", core.Withdraw{Session: w.Session("c"), Handle: "held"})
		on(w, "served a x; served c x; run d book body", finished("a", control.OK, "x"))
	})
}

// A try that waited here for longer than the margin, for one that never ran, takes its place.
func TestATryThatWaitedIsNotReadLate(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		on(w, "run a book body", w.Ask("a", "book", "k"), w.Ask("b", "book", "k"))
		w.Expect(2100 * ms)
		on(w, "invalid a; run b book body", core.PoolUnknown{Command: "spawn", Handle: "a"})
	})
}

// A window shorter than a run: repeats join the run for as long as it goes on, and it runs once. Its end is given to the
// store with life left, for who waits there.
func TestAWindowShorterThanTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		site.Control.Classes[1].Window = 100 * ms
		w := scenario.NewWorld(t, site, true)
		w.Expect(ms)
		on(w, "claim k; run a book body", w.Ask("a", "book", "k"), won())
		w.Expect(2500 * ms) // past window and margin
		on(w, "", w.Ask("b", "book", "k"), written(w.Ask("c", "book", "k"), 2450*ms))
		on(w, "finish k true x; served a x; served b x; served c x", finished("a", control.OK, "x"))
		if life := w.Life("k"); life < 2*time.Second {
			t.Errorf("its end is kept for %v in the store", life)
		}
		on(w, "served d x", w.Ask("d", "book", "k"))
	})
}

// late plays f with a shared store, on a server whose keyed class has nearly its deadline for its aim.
func late(t *testing.T, f func(w *scenario.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		site.Control.Classes[1].Aim, site.Control.Classes[1].LateWorth = 7900*ms, 0.5
		w := scenario.NewWorld(t, site, true)
		w.Expect(ms)
		f(w)
	})
}

// A try that waits for another server's claim does not run once that may have expired, however long its caller waits: the
// claim of a server that was killed is then won by who asks, though its run may have had its effect.
func TestATryDoesNotOutwaitAClaim(t *testing.T) {
	late(t, func(w *scenario.World) {
		other := core.Claimed{Key: fleetKey, State: core.ClaimOther}
		a := written(w.Ask("a", "book", "k"), time.Second) // the try that ran elsewhere is one window and 1 s older than now
		a.Req.Budget = time.Minute
		on(w, "claim k", a)
		for range 68 {
			w.Send(other)
			w.Expect(101*ms, "claim k")
		}
		w.Send(other)
		w.Expect(200*ms, "claim k")
		on(w, "refused a; release k", won()) // 8 s from its t0: the claim may have expired just now
	})
}

// A claim that is won long after the store was last heard of, or after the try's t0, may be that of a run whose end the
// store has forgotten meanwhile: this server stood still. The try is refused and the claim given up; the next one runs.
func TestAClaimThatIsWonLate(t *testing.T) {
	for name, x := range map[string]struct {
		unread, wait time.Duration // until the store's first word
		others       int           // words that another has it, each 100 ms
		stood        time.Duration // before the last word
		want         string
	}{
		"at once":                        {0, 0, 0, 0, "run a book body"},
		"in time":                        {1500 * ms, 400 * ms, 0, 0, "run a book body"},
		"late":                           {1500 * ms, 600 * ms, 0, 0, "release k; refused a"},
		"after another had it":           {0, 100 * ms, 30, 0, "run a book body"},
		"after it stood still":           {0, 100 * ms, 30, 2100 * ms, "release k; refused a"},
		"after it stood still for less":  {0, 100 * ms, 30, 1800 * ms, "run a book body"},
		"its first word, after standing": {0, 2100 * ms, 0, 0, "release k; refused a"},
	} {
		t.Run(name, func(t *testing.T) {
			late(t, func(w *scenario.World) {
				a := written(w.Ask("a", "book", "k"), x.unread)
				a.Req.Budget = time.Minute
				on(w, "claim k", a)
				w.Expect(x.wait)
				for range x.others {
					w.Send(core.Claimed{Key: fleetKey, State: core.ClaimOther})
					w.Expect(101*ms, "claim k")
				}
				w.Expect(x.stood)
				on(w, x.want, won())
				if strings.HasPrefix(x.want, "release") {
					on(w, "claim k; run b book body", w.Ask("b", "book", "k"), won())
				}
			})
		})
	}
}

// On a real connection: a repeat that its caller wrote within the window, and that is read once the key is forgotten, is
// refused as never run, and does not run.
func TestARepeatThatIsReadLate(t *testing.T) {
	site := scenario.Site()
	site.Control.Classes[1].Window = 100 * ms
	w := scenario.NewWorld(t, site, false)
	w.Serve(ms)
	l, err := sock.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := sock.NewServer(l, 8, &sock.Budget{Peer: 1 << 18, All: 1 << 20}, jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler)).Handle)
	go s.Serve()
	defer s.Stop(time.Second)
	p := scenario.Dial(t, l.Addr().String())
	t0 := time.Now().Add(-1900 * ms) // it is read 0.2 s before its key is forgotten
	ask := func(id int, t0 time.Time) {
		p.Send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"book","params":{"rid":"%016x","t0":%d,"peer":1,"acct":"north","budget":8000,`+
			`"mem":24.5,"prio":0.9,"token":"k","bytes":"Ym9keQ=="}}`+"\n", id, id, t0.UnixMilli()))
	}
	ask(1, t0)
	p.Expect(`"id":1,"result"`)
	time.Sleep(time.Until(t0.Add(2200 * ms)))
	ask(2, t0.Add(50*ms))
	p.Expect(`"id":2,"error":{"code":-32001`)
	if n := w.Runs()["body"]; n != 1 {
		t.Errorf("it ran %d times", n)
	}
}
