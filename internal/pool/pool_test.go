package pool_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/pool"
	"larchscale/internal/scenario"
)

// A link binds from the last notice it read, passes commands and notices on unchanged, and reconnects after a break; a
// notice received twice is reported once.
func TestLinkBindsAndResumes(t *testing.T) {
	listener := scenario.Listen(t)
	events := make(chan core.Event, 16)
	l := pool.New(listener.Addr, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Maintain(ctx); close(done) }()
	expect := func(want ...core.Event) {
		t.Helper()
		for _, w := range want {
			if diff := cmp.Diff(w, <-events); diff != "" {
				t.Error(diff)
			}
		}
	}
	p := listener.Accept()
	p.Expect(`^{"event":"bind","cursor":0}$`)
	p.Send(`{"event":"bound","fate":"chilly","lasted":250}`, "\n")
	expect(core.PoolBound{Cold: true, Age: 250e6})
	l.Run("a", "book", []byte{0, 255, '"'})
	p.Expect(`^{"event":"spawn","handle":"a","entry":"book","arg":"AP8i"}$`)
	l.Supply("a", nil)
	p.Expect(`^{"event":"supply","handle":"a","arg":""}$`)
	l.Stop("a")
	p.Expect(`^{"event":"suspend","handle":"a"}$`)
	l.SkipCall("a", 1)
	p.Expect(`^{"event":"pass","handle":"a","cursor":1}$`)
	l.Verify("v1")
	p.Expect(`^{"event":"verify","ticket":"v1"}$`)
	l.Poll("7")
	p.Expect(`^{"event":"poll","ticket":"7"}$`)
	p.Send(`{"event":"blocked","cursor":1,"handle":"a","arg":"AP8i"}`, "\n", `{"event":"chatter","cursor":2,"fate":"hm"}`, "\n",
		`{"event":"polled","ticket":"7","figures":[0.5,3]}`, "\n", `{"event":"verified","ticket":"v1","fate":"complete"}`, "\n",
		`{"event":"verified","ticket":"v2","fate":"error"}`, "\n", `{"event":"unknown","fate":"spawn","handle":"x"}`, "\n")
	expect(core.PoolBlocked{Handle: "a", Notice: 1, Body: []byte{0, 255, '"'}}, core.PoolGauges{Ticket: "7", Values: []float64{0.5, 3}},
		core.PoolVerified{Ticket: "v1", OK: true}, core.PoolVerified{Ticket: "v2"},
		core.PoolCommandUnknown{Command: "spawn", Handle: "x"})
	p.Send(`{"event":"finished","cursor":3,`) // a notice cut off by a break is sent again
	p.Close()
	expect(core.PoolLost{})
	p = listener.Accept()
	p.Expect(`^{"event":"bind","cursor":2}$`)
	p.Send(`{"event":"bound","fate":"hot","lasted":1}`, "\n", `{"event":"blocked","cursor":2,"handle":"a","arg":""}`, "\n")
	expect(core.PoolBound{Age: 1e6})
	for i, fate := range []string{"complete", "error", "cancelled", "unknown"} {
		p.Send(`{"event":"finished","cursor":`, string(rune('3'+i)), `,"handle":"a","fate":"`, fate, `","lasted":2,"arg":""}`, "\n")
	}
	for _, outcome := range []control.Outcome{control.OK, control.Errored, control.Stopped, control.NotStarted} {
		expect(core.PoolFinished{Handle: "a", Outcome: outcome, RunTime: 2e6, Body: []byte{}})
	}
	p.Send("no notice\n") // a malformed notice closes the connection
	expect(core.PoolLost{})
	p = listener.Accept()
	p.Expect(`^{"event":"bind","cursor":6}$`)
	next := scenario.Listen(t)
	l.Move(next.Addr)
	expect(core.PoolLost{})
	next.Accept().Expect(`^{"event":"bind","cursor":6}$`) // the cursor continues at the new address
	stop()
	<-done
}
