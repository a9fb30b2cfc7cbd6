package core_test

import (
	"fmt"
	"testing"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// A call times out and is made again while its reply is on the way. The reply to the second call must be used, and
// that to the first one ignored, also when it arrives while the run is at its next call.
func TestLateReplyOfAbandonedCallIsIgnored(t *testing.T) {
	play(t, false, func(w *scenario.World) {
		callOK := func(handle string, number uint64, reply string) core.CallEnded {
			return core.CallEnded{Handle: handle, Number: number, Outcome: control.OK, Body: []byte(reply)}
		}
		for i := range 5 { // the core learns how long calls take
			h := fmt.Sprint("x", i)
			w.Send(w.Ask(h, "quote", ""))
			w.Expect(ms, "run "+h+" quote body")
			w.Send(runBlocked(h, "q"))
			w.Expect(10*ms, "call "+h+" quote 3s q")
			w.Send(callOK(h, uint64(i+1), "r"))
			w.Expect(ms, "supply "+h+" r")
			w.Send(runFinished(h, control.OK, "x"))
			w.Expect(ms, "served "+h+" x")
		}
		const firstCall, secondCall, nextCall = 6, 7, 8
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(runBlocked("a", "q"))
		w.Expect(250*ms, "call a quote 100ms q", "abandon a", "call a quote 100ms q")
		w.Send(callOK("a", firstCall, "reply to first call"))
		w.Expect(ms)
		w.Send(callOK("a", secondCall, "reply to second call"), runBlocked("a", "next"))
		w.Expect(ms, "supply a reply to second call", "call a quote 100ms next")
		w.Send(callOK("a", firstCall, "reply to first call"), callOK("a", secondCall, "reply to second call"),
			core.CallEnded{Handle: "a", Number: firstCall, Outcome: control.Interrupted})
		w.Expect(ms)
		w.Send(callOK("a", nextCall, "reply to next call"))
		w.Expect(ms, "supply a reply to next call")
		w.Send(runFinished("a", control.OK, "x"))
		w.Expect(ms, "served a x")
	})
}
