package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"larchscale/internal/standin"
)

// balancers are the clients of one run. They stop once the server accepts nobody any longer.
type balancers struct {
	addr     string // of the platform's front
	desk     string // of the uwsgi front
	deadline time.Duration
	records  *records
	machine  *machine
	wg       sync.WaitGroup
	stopped  chan struct{} // the process has ended
}

// start begins a client of a behaviour.
func (b *balancers) start(seed uint64, number int, how behaviour) {
	c := &client{balancers: b, how: how, name: fmt.Sprintf("%s-%d", how, number), random: rand.New(rand.NewPCG(seed, uint64(number)))}
	if how == desk {
		b.wg.Go(func() { c.runDesk(b.desk) })
		return
	}
	b.wg.Go(c.run)
}

// client is one balancer's use of a connection after the other.
type client struct {
	*balancers
	how    behaviour
	name   string
	random *rand.Rand
	sent   int
	last   request // keyed, which a repeat may follow
}

func (c *client) over() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// run uses connections until the server refuses one for good.
func (c *client) run() {
	for !c.over() {
		connection, err := dial(c.records, c.name, c.addr)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c.use(connection)
	}
}

// use sends on one connection until it ends, or its behaviour ends it.
func (c *client) use(on *connection) {
	defer func() { <-on.over }()
	for n := 0; !c.over(); n++ {
		if c.how == halfClosing && n == 5 {
			on.conn.(*net.TCPConn).CloseWrite()
			return
		}
		if c.how == slowReading && c.random.IntN(40) == 0 {
			on.stopReading(time.Duration(c.random.IntN(700)) * time.Millisecond)
		}
		if c.how == polite && on.isDraining() {
			for !on.idle() && !on.ended() {
				time.Sleep(time.Millisecond)
			}
			on.close()
			return
		}
		if err := c.step(on); err != nil {
			return
		}
		if c.how == newcomer {
			return // the connection stays until the server ends it, or the run does
		}
		time.Sleep(c.pause())
	}
}

// step sends one thing as its behaviour has it.
func (c *client) step(on *connection) error {
	pieces, pause := 1, time.Duration(0)
	if c.how == dribbling {
		pieces, pause = 2+c.random.IntN(6), time.Duration(c.random.IntN(15))*time.Millisecond
	}
	if c.how == garbling && c.random.IntN(12) == 0 {
		on.raw([]string{"{\n", "\n\n", `{"jsonrpc":"2.0","id":0,"method":"x"}` + "\n", "\x00\xff\n"}[c.random.IntN(4)])
	}
	var sent *request
	err := c.machine.whileItRuns(func() (err error) {
		sent, err = on.send(c.draw(), pieces, pause)
		return err
	})
	if err != nil {
		if errors.Is(err, errEnded) {
			return err
		}
		return fmt.Errorf("send: %w", err)
	}
	if c.how == retracting {
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
		on.withdraw(sent)
	}
	return nil
}

// pause is how long the client waits until it sends again.
func (c *client) pause() time.Duration {
	if c.how == resting && c.random.IntN(3) == 0 {
		return time.Duration(200+c.random.IntN(1500)) * time.Millisecond
	}
	return time.Duration(2+c.random.IntN(12)) * time.Millisecond
}

// draw makes a request of any class. A keyed one may repeat the one before.
func (c *client) draw() request {
	c.sent++
	q := request{rid: fmt.Sprintf("%016x", c.random.Uint64()), class: standin.Classes[c.random.IntN(len(standin.Classes))],
		body: fmt.Sprintf("%s %d %x", c.name, c.sent, c.random.Uint32()), budget: c.deadline/3 + time.Duration(c.random.Int64N(int64(c.deadline*2/3)))}
	if c.how == hurried {
		q.budget = time.Duration(1+c.random.IntN(30)) * time.Millisecond
	}
	if q.class == standin.Classes[1] {
		q.token = q.body
		if c.last.token != "" && c.random.IntN(4) == 0 {
			q.token, q.body = c.last.token, c.last.body
		}
		c.last = q
	}
	return q
}

// rush has n connections ask at once, and stay until the server ends them.
func (b *balancers) rush(seed uint64, n int) {
	for i := range n {
		c := &client{balancers: b, how: resting, name: fmt.Sprintf("crowd-%d", i), random: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
		b.wg.Go(func() {
			on, err := dial(c.records, c.name, c.addr)
			if err != nil {
				return
			}
			c.step(on)
			<-on.over
		})
	}
}

// machine is what may stand still, with all that runs on it: nothing is written to a server meanwhile.
type machine struct {
	runs   sync.RWMutex
	stalls *stalls
}

// whileItRuns does f, and does not begin it while the machine stands still.
func (m *machine) whileItRuns(f func() error) error {
	if m == nil {
		return f()
	}
	m.runs.RLock()
	defer m.runs.RUnlock()
	return f()
}

// standStill stops a server for a while, as the machine would with all on it.
func (m *machine) standStill(s *server, span time.Duration) {
	m.runs.Lock()
	defer m.runs.Unlock()
	from := time.Now()
	s.Freeze()
	time.Sleep(span)
	s.Thaw()
	m.stalls.add(from, time.Now())
}
