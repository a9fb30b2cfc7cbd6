package core_test

import (
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// fakeDirectory records what is reported to it.
type fakeDirectory struct{ reports []string }

func (h *fakeDirectory) Report(open bool) {
	h.reports = append(h.reports, map[bool]string{true: "open", false: "closed"}[open])
}
func (h *fakeDirectory) StopReporting() { h.reports = append(h.reports, "silence") }

// Nothing is reported before the worker pool is bound for the first time, whatever happens meanwhile, because an
// older process may own the directory entry. At the first link the state is reported at once.
func TestNoReportBeforeWorkerPoolIsBound(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile []core.Event
		then      string
	}{
		"":                                    {nil, "open"},
		"drained by an operator and released": {[]core.Event{core.OperatorDrain{On: true}, core.OperatorDrain{}}, "open"},
		"drained by an operator":              {[]core.Event{core.OperatorDrain{On: true}}, "closed"},
		"drain":                               {[]core.Event{core.Drain{}}, "closed"},
		"handoff":                             {[]core.Event{core.Handoff{KillAfter: 3700 * ms}}, "silence"},
	} {
		synctest.Test(t, func(t *testing.T) {
			directory := &fakeDirectory{}
			server := core.New(scenario.Site(), slog.New(slog.DiscardHandler))
			server.Attach(noop{}, nil, directory, nil)
			go server.Run(t.Context())
			server.Send(core.SessionOpened{Session: noop{}}) // the server does not end while a connection is open
			for _, e := range c.meanwhile {
				server.Send(e)
			}
			time.Sleep(1300 * ms)
			synctest.Wait()
			if n := slices.Index(directory.reports, "open"); n >= 0 || slices.Contains(directory.reports, "closed") {
				t.Errorf("%q: reported %q before the worker pool was bound", name, directory.reports)
			}
			directory.reports = nil
			server.Send(core.PoolBound{Age: time.Hour})
			synctest.Wait()
			if len(directory.reports) == 0 || directory.reports[0] != c.then {
				t.Errorf("%q: reported %q when it was bound, want %q first", name, directory.reports, c.then)
			}
		})
	}
}

// A process that hands off reports nothing from then on: the entry belongs to its successor.
func TestHandoffStopsReports(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", "")) // the open request keeps the process alive
		w.Expect(ms, "run a quote body")
		w.Listed()
		w.Send(core.Handoff{KillAfter: 3700 * ms})
		w.Expect(1500*ms, "draining to c")
		for _, report := range w.Listed() {
			if report != "silence" {
				t.Errorf("reported %q", report)
			}
		}
	})
}

// A draining server reports closed, whatever crosses the notice: the end of an operator's drain, a new link, a
// restart of the worker pool, or a handoff that comes too late.
func TestDrainingServerNeverReportsOpen(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		w.Send(w.Ask("a", "quote", ""))
		time.Sleep(ms)
		w.Send(core.OperatorDrain{On: true}, core.Drain{})
		time.Sleep(ms)
		w.Listed()
		w.Send(core.OperatorDrain{}, core.PoolLost{}, core.PoolBound{Age: time.Hour}, core.OperatorDrain{On: true}, core.OperatorDrain{},
			core.PoolLost{}, core.PoolBound{}, core.Handoff{KillAfter: 3700 * ms})
		time.Sleep(1500 * ms)
		if reports := w.Listed(); len(reports) < 3 ||
			slices.ContainsFunc(reports, func(s string) bool { return s != "closed" }) {
			t.Errorf("reported %q", reports)
		}
	})
}

// noop is a connection and a worker pool that do nothing.
type noop struct{}

func (noop) Drain(time.Duration)             {}
func (noop) Close(uint64, core.CloseReason)  {}
func (noop) Run(string, string, []byte) bool { return true }
func (noop) Stop(string)                     {}
func (noop) Supply(string, []byte) bool      { return true }
func (noop) SkipCall(string, uint64) bool    { return true }
func (noop) Verify(string)                   {}
func (noop) Poll(string)                     {}
