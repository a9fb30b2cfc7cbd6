package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// keptNotices is how many notices a worker pool keeps.
const keptNotices = 4000

// oldLinkTime is how long links to an address stay open that the pool has moved away from.
const oldLinkTime = 1500 * time.Millisecond

// runs is what all worker pools have run, by body.
type runs struct {
	mu sync.Mutex
	by map[string][]string
}

func (r *runs) add(body, where string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string][]string{}
	}
	r.by[body] = append(r.by[body], where)
}

func (r *runs) of(body string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.by[body])
}

// pool is the stand-in of one worker pool, as the protocol page has it. A handle that it has begun it does not begin
// again; a restarted one knows nothing of before. Runs make no calls.
type pool struct {
	name string
	work time.Duration // of a run
	log  *record
	ran  *runs

	quiet bool // no line in the record for each run

	mu       sync.Mutex
	listener net.Listener // nil while the pool is down
	addr     string
	link     net.Conn
	silent   net.Conn // a link that brings nothing any longer; nil = none
	starts   int
	began    time.Time
	notices  []string // of this start of the app server, numbered from 1
	begun    map[string]bool
	working  int
	pause    time.Duration // between the two pieces of the first notice on a link
}

// command is a line from the app server.
type command struct {
	Event, Handle, Entry, Arg, Ticket string
	Cursor                            int
}

func newPool(name string, work time.Duration, log *record, ran *runs) (*pool, error) {
	p := &pool{name: name, work: work, log: log, ran: ran, began: time.Now().Add(-time.Minute), begun: map[string]bool{}}
	return p, p.listen("127.0.0.1:0")
}

// listen opens the pool's address.
func (p *pool) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.addr = l, l.Addr().String()
	p.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return nil
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
	}
	if p.link != nil {
		p.link.Close()
	}
}

// move takes the pool to another address: the old one takes nothing new, and a link to it ends after oldLinkTime. Runs
// and the numbers of notices go on.
func (p *pool) move() error {
	p.mu.Lock()
	old, link, from := p.listener, p.link, p.addr
	p.mu.Unlock()
	old.Close()
	if err := p.listen("127.0.0.1:0"); err != nil {
		return err
	}
	time.AfterFunc(oldLinkTime, func() {
		if link != nil {
			link.Close()
		}
	})
	p.log.note("pool of %s moves from %s to %s", p.name, from, p.addr)
	return nil
}

// breakLink breaks the link, if it is to, and has the first notice on later ones come in two pieces, if it is to.
func (p *pool) breakLink(breaks, pieces bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pieces {
		p.pause = lateBound
		p.log.note("from now on the first notice of the pool of %s on a link comes in two pieces, %v apart", p.name, lateBound)
	}
	if breaks && p.link != nil {
		p.link.Close()
		p.log.note("the link of the pool of %s breaks", p.name)
	}
}

// silence has the link stay open and bring nothing any longer, neither way.
func (p *pool) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.link = p.link, nil
	p.log.note("the link of the pool of %s goes silent", p.name)
}

// die ends the pool with its runs. Connections to it are refused from then on.
func (p *pool) die() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	if p.link != nil {
		p.link.Close()
	}
	p.starts++
	p.link, p.listener, p.notices, p.begun, p.working = nil, nil, nil, map[string]bool{}, 0
	p.log.note("pool of %s is killed", p.name)
}

// rise starts the pool from nothing at its address.
func (p *pool) rise() error {
	p.mu.Lock()
	addr := p.addr
	p.began = time.Now()
	p.mu.Unlock()
	p.log.note("pool of %s starts anew at its address", p.name)
	return p.listen(addr)
}

func (p *pool) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		p.mu.Lock()
		silent := p.silent == conn
		p.mu.Unlock()
		if silent {
			continue
		}
		var c command
		if json.Unmarshal(line, &c) != nil {
			return
		}
		switch c.Event {
		case "bind":
			p.bind(conn, c.Cursor)
		case "spawn":
			p.spawn(c)
		case "poll":
			p.mu.Lock()
			fmt.Fprintf(conn, `{"event":"polled","ticket":%q,"figures":[%g,%d,0.1,1]}`+"\n", c.Ticket, min(1, float64(p.working)/6), p.working)
			p.mu.Unlock()
		}
	}
}

// bind makes conn the link. A cursor of 0 is that of an app server that has just started.
func (p *pool) bind(conn net.Conn, cursor int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		p.link.Close()
	}
	p.link = nil // until the first notice is written
	if cursor == 0 {
		p.notices = nil
	}
	fate := "hot"
	if p.starts > 0 {
		fate = "chilly"
	}
	p.log.note("pool of %s: a link binds at notice %d of %d", p.name, cursor, len(p.notices))
	bound := fmt.Sprintf(`{"event":"bound","fate":%q,"lasted":%d}`+"\n", fate, time.Since(p.began).Milliseconds())
	io.WriteString(conn, bound[:len(bound)/2])
	if p.pause > 0 { // the pool goes on meanwhile
		p.mu.Unlock()
		time.Sleep(p.pause)
		p.mu.Lock()
	}
	io.WriteString(conn, bound[len(bound)/2:])
	from := max(min(cursor, len(p.notices)), len(p.notices)-keptNotices)
	io.WriteString(conn, strings.Join(p.notices[from:], ""))
	p.link = conn
}

// spawn begins a run.
func (p *pool) spawn(c command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun[c.Handle] {
		p.log.note("pool of %s: %s was begun before, nothing happens", p.name, c.Handle)
		return
	}
	p.begun[c.Handle] = true
	raw, _ := base64.StdEncoding.DecodeString(c.Arg)
	body, start, began := string(raw), p.starts, time.Now()
	p.working++
	if !p.quiet {
		p.ran.add(body, fmt.Sprintf("pool of %s, start %d", p.name, start+1))
		p.log.note("pool of %s, start %d: RUN of %q begins, handle %s", p.name, start+1, body, c.Handle)
	}
	time.AfterFunc(p.work, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.starts != start {
			return // it went with its pool
		}
		p.working--
		number := len(p.notices) + 1
		notice := fmt.Sprintf(`{"event":"finished","cursor":%d,"handle":%q,"fate":"complete","lasted":%d,"arg":%q}`+"\n", number, c.Handle,
			time.Since(began).Milliseconds(), base64.StdEncoding.EncodeToString([]byte(resultOf(body))))
		p.notices = append(p.notices, notice)
		if !p.quiet {
			p.log.note("pool of %s, start %d: run of %q is complete, notice %d", p.name, start+1, body, number)
		}
		if p.link != nil {
			io.WriteString(p.link, notice)
		}
	})
}

// resultOf is the result of a run.
func resultOf(body string) string { return "done: " + body }
