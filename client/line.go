package client

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"larchscale/client/retry"
	"larchscale/client/route"
)

// The JSON-RPC wire: a message to a line, up to 32 requests open on a connection.

const (
	maxOpen  = 32
	maxConns = 4 // to one box
	maxLine  = 16 << 10
	dialTime = time.Second
	idleTime = 20 * time.Second
)

// answer is how a try ended.
type answer struct {
	outcome retry.Outcome
	body    []byte
	took    time.Duration
	away    time.Duration
	level   float64 // negative = none was told
	final   bool
	gone    bool // Unsent: nobody listens there
	silent  bool // Late: the box said nothing at all for as long as boxes usually take
	local   bool // no try was made
	why     string
}

// lines are the connections to one box.
type lines struct {
	c      *Client
	name   string
	addr   string
	mu     sync.Mutex
	conns  []*conn
	making bool // a connection: the others wait for it
	ready  chan struct{}
	closed bool
}

func newLines(c *Client, m route.Member) *lines {
	return &lines{c: c, name: m.Name, addr: m.Addr, ready: make(chan struct{})}
}

func (l *lines) close() {
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.mu.Unlock()
	for _, c := range conns {
		c.end(errors.New("closed"))
	}
}

// conn is one connection.
type conn struct {
	net.Conn
	l        *lines
	write    sync.Mutex
	mu       sync.Mutex
	last     uint64
	open     map[uint64]chan gjson.Result
	draining bool
	over     error
}

// take gives a connection with room, making one if there is none; one is made at a time.
func (l *lines) take(ctx context.Context) (*conn, error) {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return nil, ErrClosed
		}
		for _, c := range l.conns {
			if c.room() {
				l.mu.Unlock()
				return c, nil
			}
		}
		ready := l.ready
		make1 := !l.making && len(l.conns) < maxConns
		l.making = l.making || make1
		l.mu.Unlock()
		if make1 {
			return l.make(ctx)
		}
		select {
		case <-ready:
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *lines) make(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTime}
	raw, err := d.DialContext(ctx, "tcp", l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.making = false
	close(l.ready)
	l.ready = make(chan struct{})
	if err != nil {
		return nil, err
	}
	if l.closed {
		raw.Close()
		return nil, ErrClosed
	}
	c := &conn{Conn: raw, l: l, open: map[uint64]chan gjson.Result{}}
	l.conns = append(l.conns, c)
	l.c.mu.Lock()
	l.c.counts.Connections++
	l.c.mu.Unlock()
	go c.read()
	return c, nil
}

// room tells whether another request may be sent on a connection.
func (c *conn) room() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over == nil && !c.draining && len(c.open) < maxOpen
}

// end ends a connection: what is open on it is lost.
func (c *conn) end(err error) {
	c.mu.Lock()
	if c.over == nil {
		c.over = err
	}
	for id, w := range c.open {
		delete(c.open, id)
		close(w)
	}
	c.mu.Unlock()
	c.Close()
	l := c.l
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.conns {
		if x == c {
			l.conns = append(l.conns[:i:i], l.conns[i+1:]...)
			break
		}
	}
}

// read gives answers to those who wait. An answer under an id that nobody waits for is dropped: it came too late,
// or twice. A line that is no message, or has no end, ends the connection.
func (c *conn) read() {
	in := bufio.NewReaderSize(c, maxLine)
	for {
		c.SetReadDeadline(time.Now().Add(idleTime))
		line, err := in.ReadSlice('\n')
		if err != nil || !gjson.ValidBytes(line) {
			c.end(fmt.Errorf("the connection ended: %w", errors.Join(err, net.ErrClosed)))
			return
		}
		j := gjson.ParseBytes(line)
		if j.Get("method").String() == "draining" {
			c.drain()
			continue
		}
		c.mu.Lock()
		id := j.Get("id").Uint()
		w := c.open[id]
		delete(c.open, id)
		idle := c.draining && len(c.open) == 0
		c.mu.Unlock()
		if w != nil {
			w <- j
		}
		if idle {
			c.end(errors.New("drained"))
			return
		}
	}
}

// drain notes that nothing new may be sent here; what is open finishes.
func (c *conn) drain() {
	c.mu.Lock()
	c.draining = true
	idle := len(c.open) == 0
	c.mu.Unlock()
	c.l.c.mu.Lock()
	c.l.c.table.Draining(c.l.name, c.l.c.now())
	c.l.c.mu.Unlock()
	if idle {
		c.Close()
	}
}

// send writes a request; sent tells that some of it may have left.
func (c *conn) send(x *call, left time.Duration, handle string) (id uint64, w chan gjson.Result, sent bool, err error) {
	w = make(chan gjson.Result, 1)
	c.write.Lock() // ids have to leave in their order
	defer c.write.Unlock()
	c.mu.Lock()
	if c.over != nil || c.draining || len(c.open) >= maxOpen {
		c.mu.Unlock()
		return 0, nil, false, net.ErrClosed
	}
	c.last++
	id = c.last
	c.open[id] = w
	c.mu.Unlock()
	b := make([]byte, 0, 256+len(x.Body)*4/3)
	b = fmt.Appendf(b, `{"jsonrpc":"2.0","id":%d,"method":`, id)
	b = appendString(b, x.Class)
	b = fmt.Appendf(b, `,"params":{"rid":%q,"t0":%d,"peer":%d,"budget":%d,"mem":`, handle, time.Now().UnixMilli(), c.l.c.opt.Peer, left.Milliseconds())
	b = strconv.AppendFloat(b, x.Memory, 'f', -1, 64)
	b = append(b, `,"prio":`...)
	b = strconv.AppendFloat(b, x.Rank, 'f', -1, 64)
	if x.Stand != "" {
		b = appendString(append(b, `,"acct":`...), x.Stand)
	}
	if x.Keyed {
		b = appendString(append(b, `,"token":`...), x.Token)
	}
	b = base64.StdEncoding.AppendEncode(append(b, `,"bytes":"`...), x.Body)
	b = append(b, `"}}`+"\n"...)
	c.SetWriteDeadline(time.Now().Add(left))
	n, err := c.Write(b)
	if err != nil {
		c.mu.Lock()
		delete(c.open, id)
		c.mu.Unlock()
	}
	return id, w, n > 0, err
}

func appendString(b []byte, s string) []byte { return gjson.AppendJSONString(b, s) }

// withdraw tells the box that nobody waits any longer.
func (c *conn) withdraw(id uint64, handle string) {
	c.mu.Lock()
	_, open := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if !open {
		return
	}
	c.write.Lock()
	defer c.write.Unlock()
	c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	fmt.Fprintf(c, `{"jsonrpc":"2.0","method":"withdraw","params":{"rid":%q}}`+"\n", handle)
}

// do makes one try.
func (l *lines) do(ctx context.Context, x *call) answer {
	began := time.Now()
	c, err := l.take(ctx)
	if err != nil {
		return answer{outcome: retry.Unsent, level: -1, gone: errors.Is(err, syscall.ECONNREFUSED), why: err.Error()}
	}
	left := time.Until(deadline(ctx)) - l.c.opt.Retry.Margin
	if left < time.Millisecond {
		return answer{outcome: retry.Late, level: -1, why: "no time is left"}
	}
	handle := fmt.Sprintf("%016x", mrand.Uint64())
	id, w, sent, err := c.send(x, left, handle)
	if err != nil {
		c.end(err)
		if sent {
			return answer{outcome: retry.Lost, level: -1, why: err.Error()}
		}
		return answer{outcome: retry.Unsent, level: -1, why: err.Error()}
	}
	select {
	case j, ok := <-w:
		if !ok {
			return answer{outcome: retry.Lost, level: -1, took: time.Since(began), why: "the connection ended"}
		}
		return read(j, time.Since(began))
	case <-ctx.Done():
		c.withdraw(id, handle)
		return answer{outcome: retry.Late, level: -1, took: time.Since(began), silent: true, why: ctx.Err().Error()}
	}
}

// read makes an answer of a message.
func read(j gjson.Result, took time.Duration) answer {
	a := answer{took: took, level: -1}
	fields := j.Get("result")
	switch code := j.Get("error.code"); {
	case fields.Exists():
		body, err := base64.StdEncoding.DecodeString(fields.Get("bytes").String())
		if err != nil {
			return answer{outcome: retry.Lost, took: took, level: -1, why: "a result that cannot be read"}
		}
		a.outcome, a.body = retry.Served, body
	case !code.Exists():
		return answer{outcome: retry.Lost, took: took, level: -1, why: "an answer that is none"}
	default:
		fields = j.Get("error.data")
		a.outcome, a.why = retry.Failed, j.Get("error.message").String()
		if code.Int() == -32001 {
			a.outcome = retry.Refused
			a.away = time.Duration(min(max(0, fields.Get("backoff").Float()), 3_600_000) * float64(time.Millisecond))
			a.final = fields.Get("final").Int() == 1
		}
	}
	if h := fields.Get("hint"); h.Exists() && h.Float() >= 0 {
		a.level = h.Float()
	}
	return a
}
