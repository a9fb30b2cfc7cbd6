package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"larchscale/internal/standin"
)

// draw makes a request of a class that may be repeated.
func draw(r *rand.Rand, body string, budget time.Duration) request {
	return request{rid: fmt.Sprintf("%016x", r.Uint64()), class: standin.Classes[0], body: body, budget: budget}
}

// oneBalancer connects a balancer to a server. Stalls of this process are watched until the test ends.
func oneBalancer(t *testing.T, s *server) (*records, *connection, *stalls) {
	t.Helper()
	watched := watchStalls()
	t.Cleanup(watched.Close)
	kept := &records{}
	c, err := dial(kept, "balancer", s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	return kept, c, watched
}

// A balancer goes on sending on an open connection while its server drains. Past the grace every request is refused, and
// none of them may be left without an answer as a run that began before goes on beside them: incident 34. The resets of
// the worker pool's link are those of its evidence.
func TestADrainingServerAnswersWhatItsConnectionsGoOnSending(t *testing.T) {
	for name, resets := range map[string]bool{"the pool's link holds": false, "the pool's link is reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const deadline, grace = 3 * time.Second, 600 * time.Millisecond
			s := serve(t, deadline, grace, 2*time.Second)
			records, c, stalls := oneBalancer(t, s)
			random := rand.New(rand.NewPCG(34, 0))
			if resets {
				for range 3 {
					s.reset(poolName)
					time.Sleep(200 * time.Millisecond)
				}
			}
			if _, err := c.send(draw(random, "slow", deadline), 1, 0); err != nil {
				t.Fatal(err)
			}
			for s.site.Runs()["slow"] == 0 {
				time.Sleep(time.Millisecond)
			}
			left := make(chan times, 1)
			go func() { left <- s.leave(nil) }()
			time.Sleep(grace + 100*time.Millisecond)
			// More than the 128 refusals in a row after which a connection was read no further, while the run goes on.
			for i := range 300 {
				if _, err := c.send(draw(random, fmt.Sprint("after the grace ", i), deadline), 1, 0); err != nil {
					break
				}
				time.Sleep(4 * time.Millisecond)
			}
			at := <-left
			<-c.over
			v := judge(records.all(), at, stalls, s.site.Ran)
			if t.Log(v); len(v.broken) > 0 {
				t.Errorf("rules broken: %s", s.Log())
			}
		})
	}
}

// Whoever reads the log goes away, or stands still: the server serves on, and drains.
func TestALogThatNobodyReads(t *testing.T) {
	for name, gone := range map[string]bool{"the reader is gone": true, "the reader stands still": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const deadline = time.Second
			s := serve(t, deadline, 300*time.Millisecond, time.Millisecond)
			read, write, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer read.Close()
			s.Kill()
			if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize()); err != nil {
				t.Fatal(err)
			}
			if _, err := write.Write(make([]byte, os.Getpagesize())); err != nil { // it is full
				t.Fatal(err)
			}
			if err := s.StartLoggingTo(write); err != nil {
				t.Fatal(err)
			}
			if gone {
				read.Close()
			}
			stalls := watchStalls()
			defer stalls.Close()
			records := &records{}
			random := rand.New(rand.NewPCG(1, 1))
			var c *connection
			for end := time.Now().Add(5 * time.Second); c == nil; time.Sleep(time.Millisecond) {
				if c, err = dial(records, "balancer", s.Listen); err != nil && time.Now().After(end) {
					t.Fatal(err)
				}
			}
			for i := range 2000 { // each bad message is a line, and so is the end of each connection
				one, err := dial(records, "garbling", s.Listen)
				if err != nil {
					t.Fatal(err)
				}
				one.raw("{\n")
				<-one.over
				if i%20 == 0 {
					if _, err := c.send(draw(random, fmt.Sprint("request ", i), deadline), 1, 0); err != nil {
						t.Fatal(err)
					}
				}
			}
			at := s.leave(nil)
			<-c.over
			v := judge(records.all(), at, stalls, s.site.Ran)
			if t.Log(v); len(v.broken) > 0 || v.counts[served] == 0 {
				t.Error("rules broken, or nothing served")
			}
			if !at.ended.Before(at.kill) {
				t.Error("it had to be killed")
			}
		})
	}
}
