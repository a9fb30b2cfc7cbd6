package core_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
)

// Clients that ask for the health repeatedly look busier than a balancer between two requests. They are still evicted
// first, and no request of the balancer meets a connection that is closed under it.
func TestHealthCheckClientsAreEvictedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := scenario.NewWorld(t, scenario.Site(), false) // connection c is the balancer's; the limit is 8
		w.Expect(ms)
		w.Send(w.Ask("a", "quote", ""))
		w.Expect(ms, "run a quote body")
		w.Send(runFinished("a", control.OK, "x"))
		w.Expect(ms, "served a x")
		for i := range 12 {
			name := fmt.Sprint("checker ", i)
			w.Send(core.SessionOpened{Session: w.Session(name)},
				core.HealthCheck{Session: w.Session(name), Reply: w.Ask("h", "quote", "").Reply})
			want := []string{"checked h true"}
			if i >= 7 {
				want = []string{fmt.Sprint("close checker ", i-7), "checked h true"}
			}
			w.Expect(50*ms, want...)
		}
		w.Send(w.Ask("b", "quote", ""))
		w.Expect(ms, "run b quote body")
		w.Send(runFinished("b", control.OK, "y"))
		w.Expect(ms, "served b y")
		time.Sleep(ms)
	})
}
