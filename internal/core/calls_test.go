package core_test

import (
	"fmt"
	"testing"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// A call is given up and made again as its reply is on its way: the second one wins, whose reply serves, and the first one's
// is passed over. One that comes as the run is at its next call is not that one's either, whichever try it is of.
func TestAReplyCrossesTheEndOfPatience(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		ok := func(h string, number uint64, reply string) core.CallEnded {
			return core.CallEnded{Handle: h, Number: number, Outcome: control.OK, Body: []byte(reply)}
		}
		for i := range 5 { // how long calls take is learned
			h := fmt.Sprint("x", i)
			w.Send(w.Ask(h, "quote", ""))
			w.Expect(ms, "run "+h+" quote body")
			w.Send(blocked(h, "q"))
			w.Expect(10*ms, "call "+h+" quote 3s q")
			w.Send(ok(h, uint64(i+1), "r"))
			w.Expect(ms, "supply "+h+" r")
			w.Send(finished(h, control.OK, "x"))
			w.Expect(ms, "served "+h+" x")
		}
		const first, second, next = 6, 7, 8
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(blocked("a", "q"))
		w.Expect(250*ms, "call a quote 100ms q", "abandon a", "call a quote 100ms q")
		w.Send(ok("a", first, "first try's"))
		w.Expect(ms)
		w.Send(ok("a", second, "second try's"), blocked("a", "next"))
		w.Expect(ms, "supply a second try's", "call a quote 100ms next")
		w.Send(ok("a", first, "first try's"), ok("a", second, "second try's"), core.CallEnded{Handle: "a", Number: first, Outcome: control.Broken})
		w.Expect(ms)
		w.Send(ok("a", next, "next call's"))
		w.Expect(ms, "supply a next call's")
		w.Send(finished("a", control.OK, "x"))
		w.Expect(ms, "served a x")
	})
}
