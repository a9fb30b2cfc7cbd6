package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchscale/internal/standin"
)

// A slow way to the worker pool: each piece takes so long, each way.
const slowWay = 40 * time.Millisecond

// linkResets plays a server whose way to the worker pool is slow and reset again and again, while a balancer sends
// requests of a class. prepare changes the site before each.
func linkResets(t *testing.T, class string, prepare func(site *standin.Site, i int)) (*verdict, *server) {
	const (
		deadline = 3 * time.Second
		work     = 300 * time.Millisecond
		requests = 250
		each     = 8 * time.Millisecond
		reset    = 45 // requests between two resets
	)
	s := serve(t, deadline, 600*time.Millisecond, work)
	s.slowPool(slowWay)
	records, c, stalls := oneBalancer(t, s)
	random := rand.New(rand.NewPCG(48, 0))
	for i := range requests {
		prepare(s.site, i)
		q := draw(random, fmt.Sprint("request ", i), deadline)
		if q.class = class; class == standin.Classes[1] {
			q.token = q.body
		}
		if _, err := c.send(q, 1, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(each)
		if i%reset == reset-1 {
			s.reset(poolName)
		}
	}
	for !c.idle() {
		time.Sleep(time.Millisecond)
	}
	at := s.leave(nil)
	<-c.over
	return judge(records.all(), at, stalls, s.site.Ran), s
}

// Guards against a keyed run that is started again after it has ended, as its end crosses a new link's commands: incident 48.
func TestKeyedRunIsNotStartedAgainOnNewLink(t *testing.T) {
	t.Parallel()
	v, s := linkResets(t, standin.Classes[1], func(*standin.Site, int) {})
	if t.Log(v); len(v.broken) > 0 || v.counts[served] == 0 {
		t.Errorf("rules broken, or nothing served: %s", s.Log())
	}
}

// Guards against a run that is given the reply to an earlier call again, as its next call crosses a new link's commands.
func TestRunIsNotGivenReplyOfEarlierCallOnNewLink(t *testing.T) {
	t.Parallel()
	v, s := linkResets(t, standin.Classes[0], func(site *standin.Site, i int) {
		site.SetCalls(3)
		site.SetWork(time.Duration(450+i%10*50) * time.Millisecond)
	})
	_, wrong := s.site.Asked()
	if t.Log(v); len(v.broken) > 0 || v.counts[served] == 0 || wrong > 0 {
		t.Errorf("rules broken, nothing served, or %d replies given to another call: %s", wrong, s.Log())
	}
}
