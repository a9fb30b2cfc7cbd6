package session

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of true time.
type event struct {
	at    time.Duration
	order uint64 // among events of one moment
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// scheduler runs events in the order of true time.
type scheduler struct {
	now    time.Duration
	queue  eventQueue
	orders uint64
}

func (s *scheduler) after(d time.Duration, run func()) {
	s.orders++
	heap.Push(&s.queue, event{s.now + d, s.orders, run})
}

// until runs what happens up to a moment, or until stop reports true.
func (s *scheduler) until(end time.Duration, stop func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end && !stop() {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	if !stop() {
		s.now = end
	}
}

// process is an operating system's process: it has a clock of its own rate, may be stopped and go on, and dies once.
type process struct {
	world   *scheduler
	rate    float64
	started time.Duration
	dead    bool
	stopped bool
	backlog []func() // what came while it was stopped
}

func (p *process) running() bool { return !p.dead && !p.stopped }

// clock is what the process reads.
func (p *process) clock() time.Duration {
	return time.Duration(float64(p.world.now-p.started) * p.rate)
}

// do runs something in the process, now or once it goes on.
func (p *process) do(run func()) {
	switch {
	case p.dead:
	case p.stopped:
		p.backlog = append(p.backlog, run)
	default:
		run()
	}
}

// every runs something in the process again and again, each time a duration of its clock after the last.
func (p *process) every(d time.Duration, run func()) {
	p.world.after(time.Duration(float64(d)/p.rate), func() {
		p.do(func() {
			run()
			p.every(d, run)
		})
	})
}

func (p *process) stop() { p.stopped = true }

func (p *process) goOn() {
	p.stopped = false
	backlog := p.backlog
	p.backlog = nil
	for _, run := range backlog {
		p.do(run)
	}
}
