package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// behaviour is how one balancer's connection is used.
type behaviour uint8

const (
	steady      behaviour = iota // a request each few milliseconds, whatever it is told, up to the end of the connection
	polite                       // as the page has it: nothing new once it is told to, and then it closes
	resting                      // a request now and then, and long rests, also beyond SIGTERM
	dribbling                    // every line in pieces
	garbling                     // messages that are none among requests
	retracting                   // requests that are withdrawn at once, or a little later
	hurried                      // requests with very little time left
	newcomer                     // each request on a connection of its own
	desk                         // each request on a connection of its own to the uwsgi front
	halfClosing                  // a few requests, and then the end of its writing half
	slowReading                  // its answers are not read for a while
	behaviours
)

var behaviourNames = [...]string{"steady", "polite", "resting", "dribbling", "garbling", "retracting", "hurried", "newcomer", "desk", "half-closing", "slow-reading"}

func (b behaviour) String() string { return behaviourNames[b] }

// plan is one run of the soak, drawn from its seed.
type plan struct {
	seed     uint64
	program  string        // the real one, or the shim over it
	deadline time.Duration // of every class
	grace    time.Duration
	work     time.Duration // of each run
	before   time.Duration // from the start to SIGTERM
	clients  []behaviour
	crowd    int           // connections that ask at once, around SIGTERM
	pool     time.Duration // between two resets of the worker pool's link; 0 = none
	moves    bool          // configurations in a row move the worker pool's address
	twin     bool          // a newer process has started: SIGTERM is a handoff
	restarts bool          // the worker pool starts anew, before SIGTERM or after it
	below    bool          // calls below are reset now and then
	silent   bool          // the worker pool's link goes silent for a while in the drain
	pauses   bool          // the machine stands still now and then
	starved  bool          // the process is out of descriptors for a while in the drain
	fullDisk bool          // its folder takes no writes from SIGTERM on
	signals  int           // SIGTERMs in a row, with SIGHUPs among them
	slow     time.Duration // that each piece takes on the way to the worker pool, each way
	loss     time.Duration // a reset of the worker pool's link takes what was sent so long before it
	calls    int           // that each run makes; 0 = every third makes one
}

// drawPlan draws the run of a seed.
func drawPlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 0x50a6))
	span := func(from, to time.Duration) time.Duration { return from + time.Duration(r.Int64N(int64(to-from)+1)) }
	p := plan{seed: seed, program: program, deadline: span(300*time.Millisecond, 4*time.Second), work: span(time.Millisecond, 250*time.Millisecond),
		before: span(200*time.Millisecond, 1200*time.Millisecond), signals: 1}
	p.grace = span(100*time.Millisecond, max(200*time.Millisecond, min(p.deadline, 2500*time.Millisecond)))
	for range 4 + r.IntN(12) {
		p.clients = append(p.clients, behaviour(r.IntN(int(behaviours))))
	}
	p.clients = append(p.clients, steady)
	if r.IntN(3) == 0 {
		p.crowd = 50 + r.IntN(200)
	}
	if r.IntN(2) == 0 {
		p.pool = span(200*time.Millisecond, 1500*time.Millisecond)
	}
	p.restarts = r.IntN(4) == 0
	p.moves = r.IntN(4) == 0
	p.twin = r.IntN(5) == 0
	p.below = r.IntN(3) == 0
	p.silent = r.IntN(4) == 0
	p.pauses = r.IntN(4) == 0
	p.starved = r.IntN(4) == 0
	p.fullDisk = r.IntN(6) == 0
	if r.IntN(2) == 0 {
		p.signals = 2 + r.IntN(4)
	}
	if r.IntN(3) == 0 {
		p.slow = span(time.Millisecond, 60*time.Millisecond)
	}
	if r.IntN(2) == 0 {
		p.loss = span(time.Millisecond, 50*time.Millisecond)
	}
	if r.IntN(3) == 0 {
		p.calls = 1 + r.IntN(4)
	}
	return p
}

func (p plan) String() string {
	counts := map[behaviour]int{}
	for _, b := range p.clients {
		counts[b]++
	}
	return fmt.Sprintf("seed %d: deadline %v, grace %v, work %v, SIGTERM after %v (%d times), crowd %d, pool reset each %v, restarts %v, moves %v, twin %v, below %v, silent %v, pauses %v, starved %v, full disk %v, slow %v, loss %v, calls %d, %v",
		p.seed, p.deadline, p.grace, p.work, p.before, p.signals, p.crowd, p.pool, p.restarts, p.moves, p.twin, p.below, p.silent, p.pauses, p.starved, p.fullDisk, p.slow, p.loss, p.calls, counts)
}
