package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"
)

// plan is how each run of a worker pool goes: it works, makes a call if it makes any, and works again.
type plan struct {
	before, after time.Duration
	step          time.Duration // the run of each write works so much longer than that of the write before
	calls         bool
	most          time.Duration // after so long a run that waits for its call is ended: its request is over
}

// of is the plan of the run of a body: those of warm writes are short.
func (o plan) of(body string) plan {
	if strings.Contains(body, warm) {
		return plan{before: 20 * time.Millisecond}
	}
	if _, number, ok := strings.Cut(body, "struck "); ok {
		n, _ := strconv.Atoi(number)
		o.before += time.Duration(n) * o.step
	}
	return o
}

// pool is the worker pool of one box, and outlives its processes. It keeps all notices.
type pool struct {
	p        *play
	box      string
	plan     plan
	mu       sync.Mutex
	listener net.Listener
	link     net.Conn
	binds    int // links so far
	notices  []string
	running  map[string]*poolRun // by handle
	runs     map[string]int      // by body
	ends     map[string]string   // by body, of the newest run
}

type poolRun struct {
	handle, body string
	supplied     chan string
	waits        bool
	stopped      chan struct{}
}

// newPool starts a worker pool.
func newPool(p *play, box string, how plan) (*pool, error) {
	w := &pool{p: p, box: box, plan: how, running: map[string]*poolRun{}, runs: map[string]int{}, ends: map[string]string{}}
	return w, w.listen()
}

// addr is where the pool listens.
func (w *pool) addr() string { return w.listener.Addr().String() }

// listen has the pool listen at a new address.
func (w *pool) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener = l
	w.p.atEnd(func() { l.Close() })
	go accept(l, w.serve)
	return nil
}

// accept serves each connection of a listener until that is closed.
func accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// serve serves one link.
func (w *pool) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	number := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		j := gjson.Parse(line)
		handle, arg := j.Get("handle").String(), j.Get("arg").String()
		w.mu.Lock()
		if number != 0 && w.link != c { // another link has its place
			w.mu.Unlock()
			return
		}
		switch event := j.Get("event").String(); event {
		case "bind":
			number = w.bind(c, j.Get("cursor").Int())
		case "spawn":
			w.spawn(handle, arg)
		case "supply":
			if r := w.running[handle]; r != nil && r.waits {
				w.p.note("pool of %s: link %d: reply for run %s", w.box, number, handle)
				r.waits = false
				r.supplied <- arg
			}
		case "suspend":
			if r := w.running[handle]; r != nil {
				close(r.stopped)
				w.finish(r, "cancelled")
			}
		case "poll":
			fmt.Fprintf(c, `{"event":"polled","ticket":%q,"figures":[0.2,0,0.1,0]}`+"\n", j.Get("ticket").String())
		}
		w.mu.Unlock()
	}
}

// bind makes c the link; w.mu is held. A cursor of 0 is a box that has just started.
func (w *pool) bind(c net.Conn, cursor int64) int {
	if w.link != nil {
		w.link.Close()
	}
	w.link = c
	w.binds++
	w.p.note("pool of %s: link %d bound from notice %d", w.box, w.binds, cursor)
	if cursor == 0 {
		w.notices = nil
	}
	fmt.Fprintf(c, `{"event":"bound","fate":"hot","lasted":%d}`+"\n", 60_000+time.Since(w.p.began).Milliseconds())
	for _, n := range w.notices[min(int(cursor), len(w.notices)):] {
		io.WriteString(c, n)
	}
	return w.binds
}

// notice tells the box; w.mu is held.
func (w *pool) notice(format string, args ...any) {
	n := fmt.Sprintf(`{"cursor":%d,`, len(w.notices)+1) + fmt.Sprintf(format, args...) + "}\n"
	w.notices = append(w.notices, n)
	if w.link != nil {
		io.WriteString(w.link, n)
	}
}

// spawn begins a run unless it runs already; w.mu is held.
func (w *pool) spawn(handle, arg string) {
	if w.running[handle] != nil {
		return
	}
	text, _ := base64.StdEncoding.DecodeString(arg)
	r := &poolRun{handle: handle, body: string(text), supplied: make(chan string, 1), stopped: make(chan struct{})}
	w.running[handle] = r
	w.runs[r.body]++
	w.p.note("pool of %s: run %s of %q begins", w.box, handle, r.body)
	go w.work(r)
}

// work plays a run.
func (w *pool) work(r *poolRun) {
	how := w.plan.of(r.body)
	over := time.After(w.plan.most)
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.stopped:
			return false
		}
	}
	if !pause(how.before) {
		return
	}
	if how.calls {
		w.mu.Lock()
		r.waits = true
		w.p.note("pool of %s: run %s waits for a call, at link %d", w.box, r.handle, w.binds)
		w.notice(`"event":"blocked","handle":%q,"arg":%q`, r.handle, base64.StdEncoding.EncodeToString([]byte("call of "+r.body)))
		w.mu.Unlock()
		select {
		case <-r.supplied:
		case <-r.stopped:
			return
		case <-over:
			w.mu.Lock()
			w.finish(r, "cancelled")
			w.mu.Unlock()
			return
		}
	}
	if pause(how.after) {
		w.mu.Lock()
		w.finish(r, "complete")
		w.mu.Unlock()
	}
}

// finish ends a run; w.mu is held.
func (w *pool) finish(r *poolRun, fate string) {
	if w.running[r.handle] != r {
		return
	}
	delete(w.running, r.handle)
	w.ends[r.body] = fate
	w.p.note("pool of %s: run %s of %q ends: %s", w.box, r.handle, r.body, fate)
	result := ""
	if fate == "complete" {
		result = base64.StdEncoding.EncodeToString([]byte("done: " + r.body))
	}
	w.notice(`"event":"finished","handle":%q,"fate":%q,"lasted":%d,"arg":%q`, r.handle, fate, 1000, result)
}

// seen tells how often a body has run here, and how its newest run ended; "" = it runs.
func (w *pool) seen(body string) (runs int, end string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[body], w.ends[body]
}

// newIndex starts the index: each call is answered at once.
func newIndex(p *play, box string) (addr string, err error) {
	return serveAt(p, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			line, err := in.ReadString('\n')
			words := strings.Fields(line)
			if err != nil || len(words) < 2 {
				return
			}
			if words[0] != "GET" || len(words) != 4 {
				continue
			}
			size, _ := strconv.Atoi(words[3])
			if _, err := in.Discard(size + 2); err != nil {
				return
			}
			p.note("index of %s: call of run %s", box, words[1])
			fmt.Fprintf(c, "%s HIT 4\r\ntaxi\r\n", words[1])
		}
	})
}

// newDirectory starts the directory, which takes all reports.
func newDirectory(p *play) (addr string, err error) {
	return serveAt(p, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for size := 0; ; {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if v, ok := strings.CutPrefix(strings.ToLower(line), "content-length:"); ok {
				size, _ = strconv.Atoi(strings.TrimSpace(v))
			}
			if line == "\r\n" {
				if _, err := in.Discard(min(size, 1<<20)); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
	})
}

// serveAt serves connections at an address of its own.
func serveAt(p *play, serve func(net.Conn)) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.atEnd(func() { l.Close() })
	go accept(l, serve)
	return l.Addr().String(), nil
}
