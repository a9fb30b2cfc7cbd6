package session

import (
	"container/heap"
	"time"
)

// simEvent is a function to run at a moment of simulated time.
type simEvent struct {
	at    time.Duration
	order uint64 // order among events at the same time
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = simEvent{}
	*q = old[:len(old)-1]
	return last
}

// scheduler runs events in the order of simulated time.
type scheduler struct {
	now       time.Duration
	queue     eventQueue
	nextOrder uint64
}

func (s *scheduler) after(d time.Duration, run func()) {
	s.nextOrder++
	heap.Push(&s.queue, simEvent{s.now + d, s.nextOrder, run})
}

// runTo runs the events up to a time, or until stop returns true.
func (s *scheduler) runTo(end time.Duration, stop func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end && !stop() {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	if !stop() {
		s.now = end
	}
}

// process is a simulated operating system process. It has a clock with its own rate, can be stopped and resumed,
// and dies at most once.
type process struct {
	world     *scheduler
	clockRate float64
	started   time.Duration
	dead      bool
	stopped   bool
	backlog   []func() // functions to run when the process resumes
}

func (p *process) running() bool { return !p.dead && !p.stopped }

// clock returns the time on the process's own clock.
func (p *process) clock() time.Duration {
	return time.Duration(float64(p.world.now-p.started) * p.clockRate)
}

// exec runs a function in the process: now, or when it resumes. A dead process ignores it.
func (p *process) exec(run func()) {
	switch {
	case p.dead:
	case p.stopped:
		p.backlog = append(p.backlog, run)
	default:
		run()
	}
}

// every runs a function in the process periodically, measured on the process's clock.
func (p *process) every(d time.Duration, run func()) {
	p.world.after(time.Duration(float64(d)/p.clockRate), func() {
		p.exec(func() {
			run()
			p.every(d, run)
		})
	})
}

func (p *process) stop() { p.stopped = true }

func (p *process) resume() {
	p.stopped = false
	backlog := p.backlog
	p.backlog = nil
	for _, run := range backlog {
		p.exec(run)
	}
}
