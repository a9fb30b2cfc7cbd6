package core_test

import (
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// Every request is recorded once, when it is over, with its usage; a refusal is never delayed.
func TestEachRequestIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &scenario.Ledger{}
		w := scenario.NewWorld(t, scenario.Site(), false, scenario.KeepLedger(l))
		w.Send(w.Ask("a", "quote", ""), w.Ask("b", "book", "k"), w.Ask("c", "book", "k"))
		w.Expect(time.Second, "run b book body", "run a quote body")
		w.Send(runBlocked("a", "map"))
		w.Expect(time.Second, "call a quote 2s map")
		w.Send(core.CallEnded{Handle: "a", Outcome: control.OK, Body: []byte("road")})
		w.Expect(time.Second, "supply a road")
		w.Send(runFinished("a", control.OK, "5 rupees"), runFinished("b", control.OK, "taxi 7"))
		// 3 s at 10 KB; runs count eightfold.
		w.Expect(time.Second, "served a 5 rupees", "book 1 served[1 1000000 10000 240000 1 4 8]",
			"served b taxi 7", "served c taxi 7", "book 2 served replay[1 0 0 30000 0 4 6]",
			"book 3 served[1 3000000 10000 240000 0 4 6]")
		w.Send(w.Ask("d", "quote", ""))
		w.Expect(ms, "run d quote body")
		w.Send(core.RequestCanceled{Session: w.Session("c"), Handle: "d"})
		w.Expect(time.Second, "stop d")
		w.Send(core.PoolFinished{Handle: "d", Outcome: control.Stopped, RunTime: time.Second})
		w.Expect(ms, "book 4 withdrawn-ran[1 0 1000000 80080 0 4 0]")
		l.Refuse(true)
		w.Send(w.Ask("e", "quote", ""))
		w.Expect(ms, "refused e", "book 5 refused[1 0 0 0 0 4 0]")
		l.Refuse(false)
		w.Send(w.Ask("b", "quote", ""))
		w.Expect(ms, "invalid b", "book 6 rejected[1 0 0 0 0 4 0]")
	})
}

// In strict mode a result waits for its ledger entry, in whichever order the two complete; refusals and failures do
// not wait.
func TestStrictLedgerDelaysResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &scenario.Ledger{IsStrict: true}
		w := scenario.NewWorld(t, scenario.Site(), false, scenario.KeepLedger(l))
		w.Send(w.Ask("a", "quote", ""), w.Ask("b", "quote", ""))
		w.Expect(ms, "run a quote body", "run b quote body")
		w.Send(runFinished("a", control.OK, "1"), core.PoolFinished{Handle: "b", Outcome: control.Errored})
		w.Expect(time.Second, "book 1 served[1 1000000 10000 80 0 4 1]", "failed b", "book 2 failed[1 0 0 80 0 4 0]")
		w.Send(core.LedgerWritten{Through: 2})
		w.Expect(ms, "served a 1")
		w.Send(core.LedgerWritten{Through: 2})
		w.Expect(ms)
	})
}

// A disk that does not respond must not delay an answer past its due time: depending on the ledger's mode the result
// is sent without its entry, or the request fails and the entry is corrected.
func TestOverdueEntries(t *testing.T) {
	for sendOverdue, want := range map[bool][]string{
		true:  {"served a 1"},
		false: {"book 2 served[-1 -1000000 -10000 -80 0 -4 -1]", "book 3 failed[1 0 10000 80 0 4 0]", "out of time a"},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := &scenario.Ledger{IsStrict: true, LetsOverdue: sendOverdue}
			w := scenario.NewWorld(t, scenario.Site(), false, scenario.KeepLedger(l))
			w.Send(w.Ask("a", "quote", ""))
			w.Expect(ms, "run a quote body")
			w.Send(runFinished("a", control.OK, "1"))
			w.Expect(3900*time.Millisecond, "book 1 served[1 1000000 10000 80 0 4 1]")
			w.Expect(50*time.Millisecond, want...)
			w.Send(core.LedgerWritten{Through: 3})
			w.Expect(time.Second)
		})
	}
}
