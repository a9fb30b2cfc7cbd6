package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"larchscale/internal/standin/faultnet"
)

var (
	seeds     = flag.Int("seeds", 12, "runs of the soak")
	shims     = flag.Int("shims", 0, "runs of the soak over failing system calls: they want a machine with little else to do")
	firstSeed = flag.Uint64("first", 1, "the seed of the first")
)

// runsAtATime is how many servers are soaked side by side: each has some twenty clients.
const runsAtATime = 4

// Real servers are told to leave while balancers of every kind use their connections, up to a kill that comes as early as
// the platform has it, and while the worker pool's link, the machine, descriptors or the disk fail: every request that
// was written has one answer, in time, no write runs twice, and nothing late is run.
func TestSoak(t *testing.T) {
	places := make(chan struct{}, runsAtATime)
	for i := range *seeds {
		p := drawPlan(*firstSeed + uint64(i))
		t.Run(fmt.Sprint("seed-", p.seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			v, s := soak(t, p)
			t.Logf("%v\n%v", p, v)
			if len(v.broken) > 0 {
				t.Errorf("rules broken: %s", s.Log())
			}
		})
	}
}

// soak plays a plan and judges what was seen.
func soak(t *testing.T, p plan) (*verdict, *server) {
	s := serveAs(t, p.program, p.deadline, p.grace, p.work)
	if p.slow > 0 {
		s.slowPool(p.slow)
	}
	s.site.SetCalls(p.calls)
	stalls := watchStalls()
	defer stalls.Close()
	b := &balancers{addr: s.Listen, desk: s.Desk, deadline: p.deadline, records: &records{}, machine: &machine{stalls: stalls}, stopped: make(chan struct{})}
	for i, how := range p.clients {
		b.start(p.seed, i, how)
	}
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		p.play(t, s, b)
	}()
	time.Sleep(p.before)
	ran := s.site.Ran
	var next *server
	if p.twin {
		next = s.succeed(t, p.work)
		ran = func(body string) []time.Time { return append(s.site.Ran(body), next.site.Ran(body)...) }
	}
	if p.fullDisk {
		s.FullDisk()
	}
	if p.crowd > 0 {
		b.rush(p.seed, p.crowd)
	}
	p.signal(s)
	at := s.leave(b.machine)
	if next != nil {
		time.Sleep(p.before / 2)
		at = next.leave(nil)
		s.killed = s.killed || next.killed
	}
	close(b.stopped)
	<-faults
	for _, c := range b.records.all() {
		<-c.over
	}
	b.wg.Wait()
	v := judge(b.records.all(), at, stalls, ran)
	if _, wrong := s.site.Asked(); wrong > 0 {
		v.breaks("lost: %d replies were given to another call", wrong)
	}
	return v, s
}

// signal sends the signals of the plan but the SIGTERM that counts, which follows: later ones change nothing.
func (p plan) signal(s *server) {
	for i := range p.signals - 1 {
		s.signalLater(time.Duration(i+1)*15*time.Millisecond, syscall.SIGTERM)
		s.signalLater(time.Duration(i+1)*10*time.Millisecond, syscall.SIGHUP)
	}
}

// signalLater sends a signal after a time, if the process lives by then.
func (s *server) signalLater(in time.Duration, sig syscall.Signal) {
	time.AfterFunc(in, func() { s.Signal(sig) })
}

// play has the faults of a plan happen until the process has ended.
func (p plan) play(t *testing.T, s *server, b *balancers) {
	r := rand.New(rand.NewPCG(p.seed, 0xfa017))
	began := time.Now()
	reset, moves := p.pool, 0
	var late []func()
	if p.silent {
		late = append(late, func() { s.silencePool(time.Duration(50+r.IntN(400)) * time.Millisecond) })
	}
	if p.starved {
		late = append(late, func() { s.starve(time.Duration(50+r.IntN(300)) * time.Millisecond) })
	}
	for {
		select {
		case <-b.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		since := time.Since(began)
		if p.pool > 0 && since > reset {
			s.loseCommands(p.loss)
			reset += p.pool
		}
		if since > p.before && len(late) > 0 && r.IntN(10) == 0 {
			late[0]()
			late = late[1:]
		}
		if p.moves && r.IntN(25) == 0 {
			moves++
			s.movePool(t, moves)
		}
		if p.below && r.IntN(15) == 0 {
			s.reset(belowName)
		}
		if p.restarts && r.IntN(50) == 0 {
			s.site.Restart()
		}
		if p.pauses && r.IntN(30) == 0 {
			b.machine.standStill(s, time.Duration(10+r.IntN(150))*time.Millisecond)
		}
	}
}

// silencePool has nothing pass on the link to the worker pool for a while; then it does, late.
func (s *server) silencePool(span time.Duration) {
	toPool := func(_, to string) bool { return to == poolName }
	s.net.Set(faultnet.Fault{Drop: true, Deaf: true}, toPool)
	time.Sleep(span)
	s.net.Set(s.toPool, toPool)
}

// starve has the process get no further descriptor for a while: its accepts and dials fail with EMFILE.
func (s *server) starve(span time.Duration) {
	if s.Ended() {
		return
	}
	var before unix.Rlimit
	none := unix.Rlimit{Cur: 0, Max: 0}
	if unix.Prlimit(s.Pid(), unix.RLIMIT_NOFILE, nil, &before) != nil {
		return
	}
	none.Max = before.Max
	if unix.Prlimit(s.Pid(), unix.RLIMIT_NOFILE, &none, nil) != nil {
		return
	}
	time.Sleep(span)
	if !s.Ended() {
		unix.Prlimit(s.Pid(), unix.RLIMIT_NOFILE, &before, nil)
	}
}
