package standin

import (
	"bufio"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// patience is how long past its budget a caller waits for an answer before it counts as lost.
const patience = time.Second

// Seen is how a caller saw one request end.
type Seen struct {
	Stand, Class string
	End          string // served, refused, failed or lost: no whole answer came
}

// Request is one request of a stream.
type Request struct {
	Handle, Stand, Class, Token, Body string
	Subject                           string // "" = none
	Budget                            time.Duration
	Wait                              time.Duration // for an answer, after which it counts as lost; 0 = Budget and a second
}

func (r *Request) wait() time.Duration { return cmp.Or(r.Wait, r.Budget+patience) }

// Stream makes the requests of a mixed stream, from a seed.
type Stream struct {
	rand *rand.Rand
	name string
	n    int
}

// NewStream makes a stream; its name keeps its handles and tokens apart from other streams'.
func NewStream(name string, seed uint64) *Stream {
	return &Stream{rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name))), name: name}
}

// Next makes a request.
func (s *Stream) Next() Request {
	s.n++
	r := Request{Handle: fmt.Sprintf("%016x", s.rand.Uint64()), Stand: Stands[s.rand.IntN(len(Stands))],
		Class: Classes[s.rand.IntN(len(Classes))], Budget: 8 * time.Second}
	r.Body = fmt.Sprintf("%s %s %d", r.Class, s.name, s.n)
	if r.Class == Classes[1] {
		r.Token = fmt.Sprintf("%s-%d", s.name, s.n)
	}
	return r
}

// Line is a connection to the platform's front, with up to 32 requests open.
type Line struct {
	conn net.Conn
	mu   sync.Mutex
	id   uint64
	open map[uint64]chan gjson.Result
	over error
}

// DialLine connects.
func DialLine(addr string) (*Line, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	l := &Line{conn: c, open: map[uint64]chan gjson.Result{}}
	go l.read()
	return l, nil
}

// Close ends the connection.
func (l *Line) Close() { l.conn.Close() }

func (l *Line) read() {
	in := bufio.NewReaderSize(l.conn, 16<<10)
	for {
		line, err := in.ReadString('\n')
		l.mu.Lock()
		if err != nil {
			l.over = err
			for _, w := range l.open {
				close(w)
			}
			l.open = map[uint64]chan gjson.Result{}
			l.mu.Unlock()
			return
		}
		j := gjson.Parse(line)
		if w := l.open[j.Get("id").Uint()]; w != nil {
			delete(l.open, j.Get("id").Uint())
			w <- j
		}
		l.mu.Unlock()
	}
}

// Health sends a health check, waits for its answer and reports whether the server is up.
func (l *Line) Health() bool {
	answer := make(chan gjson.Result, 1)
	l.mu.Lock()
	if l.over != nil {
		l.mu.Unlock()
		return false
	}
	l.id++
	l.open[l.id] = answer
	_, err := fmt.Fprintf(l.conn, `{"jsonrpc":"2.0","id":%d,"method":"status"}`+"\n", l.id)
	l.mu.Unlock()
	if err != nil {
		return false
	}
	result, ok := <-answer
	return ok && result.Get("result.up").Bool()
}

// Closed reports whether the connection has ended.
func (l *Line) Closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over != nil
}

// Do sends a request and waits for its end.
func (l *Line) Do(r Request) Seen {
	s := Seen{r.Stand, r.Class, "lost"}
	w := make(chan gjson.Result, 1)
	token, subject := "", ""
	if r.Subject != "" {
		subject = fmt.Sprintf(`"obj":%q,`, r.Subject)
	}
	if r.Token != "" {
		token = fmt.Sprintf(`"token":%q,`, r.Token)
	}
	l.mu.Lock()
	if l.over != nil {
		l.mu.Unlock()
		return s
	}
	l.id++
	l.open[l.id] = w
	_, err := fmt.Fprintf(l.conn, `{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":%q,"t0":%d,"peer":1,"acct":%q,"budget":%d,"mem":24.5,"prio":0.9,%s%s"bytes":%q}}`+"\n",
		l.id, r.Class, r.Handle, time.Now().UnixMilli(), r.Stand, r.Budget.Milliseconds(), token, subject, base64.StdEncoding.EncodeToString([]byte(r.Body)))
	l.mu.Unlock()
	if err != nil {
		return s
	}
	j, ok := <-w
	switch {
	case !ok:
	case j.Get("result").Exists():
		s.End = "served"
		if body, _ := base64.StdEncoding.DecodeString(j.Get("result.bytes").String()); string(body) != "done: "+r.Body {
			s.End = "wrong"
		}
	case j.Get("error.code").Int() == -32001:
		s.End = "refused"
	default:
		s.End = "failed"
	}
	return s
}

// Desk sends a request to the uwsgi front, on a connection of its own.
func Desk(addr string, r Request) Seen {
	s := Seen{r.Stand, r.Class, "lost"}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return s
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(r.wait()))
	var vars []byte
	for _, kv := range [][2]string{{"PATH_INFO", "/" + r.Class}, {"CONTENT_LENGTH", strconv.Itoa(len(r.Body))}, {"HTTP_X_STAND", r.Stand},
		{"HTTP_X_BUDGET_MS", strconv.FormatInt(r.Budget.Milliseconds(), 10)}, {"HTTP_IDEMPOTENCY_KEY", r.Token}} {
		for _, x := range kv {
			vars = append(binary.LittleEndian.AppendUint16(vars, uint16(len(x))), x...)
		}
	}
	packet := append(binary.LittleEndian.AppendUint16([]byte{0}, uint16(len(vars))), 0)
	if _, err := c.Write(append(append(packet, vars...), r.Body...)); err != nil {
		return s
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return s
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	switch {
	case err != nil:
	case res.StatusCode == 200 && string(body) == "done: "+r.Body:
		s.End = "served"
	case res.StatusCode == 200:
		s.End = "wrong"
	case res.Header.Get("X-Not-Run") == "1":
		s.End = "refused"
	default:
		s.End = "failed"
	}
	return s
}

// Callers are clients of one box that send on both fronts.
type Callers struct {
	Box   *Box
	Lines int // connections to the platform's front; as many desks send beside each
	mu    sync.Mutex
	seen  map[Seen]int
}

// Seen gives what the callers saw so far.
func (c *Callers) Seen() map[Seen]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[Seen]int{}
	for s, n := range c.seen {
		out[s] = n
	}
	return out
}

func (c *Callers) note(s Seen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[Seen]int{}
	}
	c.seen[s]++
}

// ErrLine is a connection that could not be made.
var ErrLine = errors.New("no connection to the box")

// Send has n requests sent, a part of them by desks, and returns when all have ended. until is asked before each:
// false ends the stream.
func (c *Callers) Send(name string, n int, desks float64, until func() bool) error {
	var all sync.WaitGroup
	var failed error
	for i := range c.Lines {
		l, err := DialLine(c.Box.Listen)
		if err != nil {
			failed = fmt.Errorf("%w: %w", ErrLine, err)
			break
		}
		defer l.Close()
		s := NewStream(fmt.Sprintf("%s-%d", name, i), uint64(i)+1)
		for range 8 { // open at a time
			all.Add(1)
			share := n / c.Lines / 8
			go func() {
				defer all.Done()
				for range share {
					if until != nil && !until() {
						return
					}
					c.mu.Lock()
					r, desk := s.Next(), s.rand.Float64() < desks
					c.mu.Unlock()
					if desk {
						c.note(Desk(c.Box.Desk, r))
					} else {
						c.note(l.Do(r))
					}
				}
			}()
		}
	}
	all.Wait()
	return failed
}
