package standin

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Churn is callers that each send one repeatable request a connection, each on a new one, one after the other,
// as through a replacement of the process: a try may run on either process.
type Churn struct {
	sent, served, late, unheard atomic.Int64
	done                        chan struct{}
	once                        sync.Once
	wg                          sync.WaitGroup
	mu                          sync.Mutex
	lost                        []Lost
}

// Tally is what the callers of a churn saw so far. Late: served past its aim, and counted as served too. Unheard: the
// connection was refused or ended with no answer.
type Tally struct{ Sent, Served, Late, Unheard int64 }

// Lost is one try that was not heard: where it went, when it began and when it was known.
type Lost struct {
	Addr         string
	Began, Ended time.Time
}

// maxLost bounds the tries that are told one by one; all are counted.
const maxLost = 4096

// Lost gives the tries that were not heard, the first ones first.
func (c *Churn) Lost() []Lost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.lost)
}

func (c *Churn) miss(addr string, began time.Time) {
	c.unheard.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lost) < maxLost {
		c.lost = append(c.lost, Lost{addr, began, time.Now()})
	}
}

// NewChurn starts callers against addr.
func NewChurn(addr string, callers int) *Churn {
	return NewChurnAt(func(int) string { return addr }, callers)
}

// NewChurnAt starts callers that ask where to send before each request; "" = nowhere for now.
func NewChurnAt(where func(caller int) string, callers int) *Churn {
	c := &Churn{done: make(chan struct{})}
	for i := range callers {
		c.wg.Add(1)
		go c.call(i, where, NewStream(fmt.Sprintf("churn%d", i), 1))
	}
	return c
}

func (c *Churn) call(i int, where func(int) string, s *Stream) {
	defer c.wg.Done()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		addr := where(i)
		if addr == "" {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		r := s.Next()
		r.Class, r.Token, r.Subject = Classes[0], "", r.Handle
		c.sent.Add(1)
		began := time.Now()
		switch once(addr, r).End {
		case "served":
			c.served.Add(1)
			if time.Since(began) > Aim {
				c.late.Add(1)
			}
		case "lost":
			c.miss(addr, began)
		}
	}
}

// once sends a request to the platform's front on a connection of its own, and waits for its end within its budget.
func once(addr string, r Request) Seen {
	line, err := DialLine(addr)
	if err != nil {
		return Seen{r.Stand, r.Class, "lost"}
	}
	defer line.Close()
	defer time.AfterFunc(r.wait(), line.Close).Stop()
	return line.Do(r)
}

// Tally gives what was seen so far.
func (c *Churn) Tally() Tally {
	return Tally{c.sent.Load(), c.served.Load(), c.late.Load(), c.unheard.Load()}
}

// Stop ends the callers, once, and gives what they saw.
func (c *Churn) Stop() Tally {
	c.once.Do(func() { close(c.done) })
	c.wg.Wait()
	return c.Tally()
}
