package soak

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
	"golang.org/x/sys/unix"
)

// maxOpen is how many requests may be open on one connection.
const maxOpen = 32

// errEnded is a connection on which nothing can be sent any longer.
var errEnded = errors.New("the connection has ended")

// connection is one of a balancer to the platform's front. Its records are complete once its reader has ended.
type connection struct {
	name string
	conn net.Conn
	room chan struct{} // one for each open request
	over chan struct{} // closed by its reader
	wmu  sync.Mutex    // of one writer at a time
	rest atomic.Int64  // the reader waits for so long before it reads on

	rested stalls // times in which its reader read nothing: what it saw after them had come before

	mu       sync.Mutex
	last     uint64
	sent     []*request
	open     map[uint64]*request
	closed   closing
	draining bool // the server has asked for nothing more
}

// dial opens a connection and has it in the records.
func dial(r *records, name, addr string) (*connection, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &connection{name: name, conn: conn, room: make(chan struct{}, maxOpen), over: make(chan struct{}), open: map[uint64]*request{}}
	r.add(c)
	go c.read()
	return c, nil
}

func (c *connection) String() string { return fmt.Sprintf("%s %s", c.name, c.conn.LocalAddr()) }

// read takes answers until the connection ends.
func (c *connection) read() {
	defer close(c.over)
	in := bufio.NewReaderSize(c.conn, 16<<10)
	for {
		line, err := in.ReadBytes('\n')
		now := time.Now()
		if rest := time.Duration(c.rest.Swap(0)); rest > 0 {
			time.Sleep(rest)
			c.rested.add(now, time.Now())
		}
		if err != nil {
			c.mu.Lock()
			if c.closed.at.IsZero() {
				c.closed = closing{at: now, err: err}
			}
			c.mu.Unlock()
			return
		}
		c.answer(gjson.ParseBytes(line), now)
	}
}

func (c *connection) answer(line gjson.Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if line.Get("method").Str == "draining" {
		c.draining = true
		return
	}
	id := line.Get("id").Uint()
	if id == 0 || id > uint64(len(c.sent)) { // of a bad message, or a check
		return
	}
	q := c.sent[id-1]
	if q.answers++; q.answers > 1 {
		return
	}
	q.answered = now
	switch {
	case line.Get("result").Exists():
		q.end = served
	case line.Get("error.code").Int() == -32001:
		q.end = refused
	default:
		q.end = failed
	}
	if c.open[id] != nil {
		delete(c.open, id)
		<-c.room
	}
}

// ended tells that the other side has ended the connection, as far as the system knows by now.
func (c *connection) ended() bool {
	select {
	case <-c.over:
		return true
	default:
	}
	rc, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(0)
	if rc.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	}) != nil {
		return true
	}
	const established = 1
	return state != established
}

// send writes a request, in pieces with a pause between them, once there is room for it.
func (c *connection) send(q request, pieces int, pause time.Duration) (*request, error) {
	select {
	case c.room <- struct{}{}:
	case <-c.over:
		return nil, errEnded
	}
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if c.ended() {
		return nil, errEnded
	}
	c.mu.Lock()
	c.last++
	q.id = c.last
	sent := &q
	c.sent = append(c.sent, sent)
	c.open[q.id] = sent
	sent.began, sent.written = time.Now(), time.Now().Add(time.Hour)
	c.mu.Unlock()
	err := writeInPieces(c.conn, q.line(), pieces, pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	sent.written = time.Now()
	if err != nil { // it never came whole
		sent.withdrawn = true
		return nil, fmt.Errorf("%w: %w", errEnded, err)
	}
	return sent, nil
}

// stopReading has the reader read nothing for a while, once it has read the next answer.
func (c *connection) stopReading(span time.Duration) { c.rest.Store(int64(span)) }

// withdraw gives a request up.
func (c *connection) withdraw(q *request) {
	c.mu.Lock()
	if q.answers > 0 || q.withdrawn {
		c.mu.Unlock()
		return
	}
	q.withdrawn = true
	if c.open[q.id] != nil {
		delete(c.open, q.id)
		<-c.room
	}
	c.mu.Unlock()
	c.raw(fmt.Sprintf(`{"jsonrpc":"2.0","method":"withdraw","params":{"id":%d}}`+"\n", q.id))
}

// raw writes what is no request.
func (c *connection) raw(text string) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.conn.Write([]byte(text))
}

// close ends the connection from this side.
func (c *connection) close() {
	c.mu.Lock()
	if c.closed.at.IsZero() {
		c.closed = closing{at: time.Now(), ours: true}
	}
	c.mu.Unlock()
	c.conn.Close()
	<-c.over
}

// idle tells that nothing is open on the connection.
func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0
}

func (c *connection) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// line is the request on the wire.
func (q *request) line() []byte {
	token := ""
	if q.token != "" {
		token = fmt.Sprintf(`"token":%q,`, q.token)
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":%q,"t0":%d,"peer":1,"acct":"howrah-stand","budget":%d,"mem":24.5,"prio":0.9,%s"bytes":%q}}`+"\n",
		q.id, q.class, q.rid, time.Now().UnixMilli(), q.budget.Milliseconds(), token, base64.StdEncoding.EncodeToString([]byte(q.body)))
}

func writeInPieces(conn net.Conn, line []byte, pieces int, pause time.Duration) error {
	size := (len(line) + pieces - 1) / max(1, pieces)
	for len(line) > 0 {
		n := min(size, len(line))
		if _, err := conn.Write(line[:n]); err != nil {
			return err
		}
		if line = line[n:]; len(line) > 0 {
			time.Sleep(pause)
		}
	}
	return nil
}
