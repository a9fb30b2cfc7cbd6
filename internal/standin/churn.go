package standin

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Churn is callers that each send one repeatable request a connection, each on a new one, one after the other,
// as through a replacement of the process: a try may run on either process.
type Churn struct {
	sent, served, unheard atomic.Int64
	done                  chan struct{}
	once                  sync.Once
	wg                    sync.WaitGroup
}

// Tally is what the callers of a churn saw so far. Unheard: the connection was refused or ended with no answer.
type Tally struct{ Sent, Served, Unheard int64 }

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
		r.Class, r.Token = Classes[0], ""
		c.sent.Add(1)
		line, err := DialLine(addr)
		if err != nil {
			c.unheard.Add(1)
			continue
		}
		switch line.Do(r).End {
		case "served":
			c.served.Add(1)
		case "lost":
			c.unheard.Add(1)
		}
		line.Close()
	}
}

// Tally gives what was seen so far.
func (c *Churn) Tally() Tally { return Tally{c.sent.Load(), c.served.Load(), c.unheard.Load()} }

// Stop ends the callers, once, and gives what they saw.
func (c *Churn) Stop() Tally {
	c.once.Do(func() { close(c.done) })
	c.wg.Wait()
	return c.Tally()
}
