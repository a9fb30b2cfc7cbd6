package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// The slack that the platform's rules give.
const (
	crossing    = 50 * time.Millisecond  // a request that crosses the end of its connection by this is sent again
	answerSlack = 130 * time.Millisecond // past its due time an answer still counts
	graceSlack  = 50 * time.Millisecond  // past the grace a request may still be run
)

// machineSlack is how late an answer may be beyond the platform's slack: the machine that tests run on is shared, and
// the instants are held by the core's tests on a clock of their own.
const machineSlack = time.Second

// end is how a request ended, as its sender saw it.
type end string

const (
	served     end = "served"
	refused    end = "refused"
	failed     end = "failed"
	unanswered end = ""
)

// request is one request that was written whole, and all that was heard of it.
type request struct {
	rid, class, token, body string
	id                      uint64
	budget                  time.Duration
	began                   time.Time // when its first byte was written
	written                 time.Time // when its last byte was
	answered                time.Time
	withdrawn               bool
	end                     end
	answers                 int
}

// closing is how a connection ended.
type closing struct {
	at   time.Time
	err  error // what the reader found
	ours bool  // the client ended it itself
}

// records are those of all connections of a run.
type records struct {
	mu          sync.Mutex
	connections []*connection
}

func (r *records) add(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections = append(r.connections, c)
}

func (r *records) all() []*connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.connections)
}

// verdict is what a run broke, one line each, and counts of what was seen.
type verdict struct {
	broken []string
	counts map[end]int
}

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// maxShown bounds the broken rules that String lists.
const maxShown = 12

// String lists what was broken, and the counts.
func (v *verdict) String() string {
	shown := v.broken[:min(len(v.broken), maxShown)]
	return fmt.Sprintf("%d broken, ends %v\n%s", len(v.broken), v.counts, strings.Join(shown, "\n"))
}

// times are those of a server's end.
type times struct {
	term  time.Time // SIGTERM
	kill  time.Time // SIGKILL, or when it would have come
	ended time.Time // the process had ended
	grace time.Duration
}

// judge holds the records of one server against the rules. ran tells when each run of a body began.
func judge(all []*connection, at times, stalls *stalls, ran func(body string) []time.Time) *verdict {
	v := &verdict{counts: map[end]int{}}
	runs := map[string]int{} // of keyed requests, by token
	for _, c := range all {
		c.mu.Lock()
		for _, q := range c.sent {
			v.counts[q.end]++
			judgeRequest(v, c, q, at, stalls)
			began := ran(q.body)
			for _, start := range began {
				if late := q.written.Sub(at.term) - at.grace; late > graceSlack && !start.Before(q.began) && q.token == "" {
					v.breaks("drain: %s was written %v after the grace and run", q, late)
				}
			}
			if q.token != "" {
				runs[q.token] = max(runs[q.token], len(began))
			}
		}
		c.mu.Unlock()
	}
	for token, n := range runs {
		if n > 1 {
			v.breaks("duplicate: the write %s ran %d times", token, n)
		}
	}
	return v
}

// judgeRequest holds one request against the rules on answers.
func judgeRequest(v *verdict, c *connection, q *request, at times, stalls *stalls) {
	switch {
	case q.answers > 1:
		v.breaks("duplicate: %s was answered %d times", q, q.answers)
	case q.answers == 1:
		late := q.answered.Sub(q.written) - q.budget - stalls.within(q.written, q.answered) - c.rested.within(q.written, q.answered)
		if late > answerSlack+machineSlack {
			v.breaks("late: %s was answered %v past its time", q, late)
		}
	case q.withdrawn || c.closed.ours:
	case c.closed.at.IsZero():
		v.breaks("lost: %s has no answer on a connection that is open", q)
	default:
		before := c.closed.at.Sub(q.written) - stalls.within(q.written, c.closed.at) - c.rested.within(q.written, c.closed.at)
		if before > crossing {
			v.breaks("lost: %s was written %v before the end of %s (%v), %v after SIGTERM, %v before the kill", q,
				before.Round(time.Millisecond), c, c.closed.err, q.written.Sub(at.term).Round(time.Millisecond),
				at.kill.Sub(q.written).Round(time.Millisecond))
		}
	}
}

func (q *request) String() string { return fmt.Sprintf("%s (%s, id %d)", q.rid, q.class, q.id) }

// stalls are the times in which somebody was held up: what was seen in them may have been seen late.
type stalls struct {
	stop chan struct{}
	mu   sync.Mutex
	seen []stall
}

type stall struct{ from, to time.Time }

const (
	stallEach  = 2 * time.Millisecond
	stallLeast = 8 * time.Millisecond // a timer that is later than this is a stall
)

// watchStalls begins to look for stalls, until its Close.
func watchStalls() *stalls {
	s := &stalls{stop: make(chan struct{})}
	go func() {
		last := time.Now()
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(stallEach):
			}
			now := time.Now()
			if now.Sub(last) > stallLeast {
				s.mu.Lock()
				s.seen = append(s.seen, stall{last, now})
				s.mu.Unlock()
			}
			last = now
		}
	}()
	return s
}

// Close ends the watch.
func (s *stalls) Close() { close(s.stop) }

// add notes a stall that was made on purpose.
func (s *stalls) add(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, stall{from, to})
}

// within sums the stalls between two times.
func (s *stalls) within(from, to time.Time) (sum time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.seen {
		if one.to.After(from) && one.from.Before(to) {
			sum += one.to.Sub(one.from)
		}
	}
	return sum
}
