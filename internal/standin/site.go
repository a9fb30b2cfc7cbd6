package standin

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// callWithin is how long a run waits for the reply to its call: until its request is over, whose end the site is not told.
const callWithin = giveUp + time.Second

// poolAge is how long a worker pool has run when its site is made: it is warm.
const poolAge = time.Minute

// The body of a call below and the reply to it; where runs make different calls a number follows in both.
const (
	callBody  = "fleet-match"
	callReply = "taxi"
)

// Site is what stands behind a box: its worker pool, the calls below and the directory. It outlives the box, and
// counts how often each request's body has run.
type Site struct {
	Pool, Index, Lookup string // addresses

	work    time.Duration
	use     float64 // of the cores, as it tells
	serving net.Listener
	calls   net.Listener
	listing net.Listener
	began   time.Time
	mu      sync.Mutex
	runs    map[string][]time.Time   // when each body began to run
	worked  map[string]time.Duration // how long the newest run of each body worked, without its wait for a call
	link    net.Conn
	notices []string // of this start of the box, numbered from 1
	starts  int      // of the worker pool
	cold    bool     // the worker pool has started anew
	begun   map[string]string
	waiting map[string]chan string // runs at a call, by handle
	spawned int                    // runs begun
	asks    int                    // different calls that runs make; 0 = one, by every third
	// callsEach is how many calls every run makes, one after the other and each with a body of its own; 0 = as asks says.
	callsEach int
	below     time.Duration  // that a call below takes
	asked     map[string]int // made below, by body
	wrong     int            // runs that were given the reply to another call
}

// NewSite starts a site on loopback. A run takes work, and every third makes a call below.
func NewSite(work time.Duration) (*Site, error) {
	s := &Site{work: work, use: 0.2, began: time.Now().Add(-poolAge), runs: map[string][]time.Time{}, worked: map[string]time.Duration{}, begun: map[string]string{}, waiting: map[string]chan string{}, asked: map[string]int{}}
	for _, x := range []struct {
		l      *net.Listener
		addr   *string
		handle func(net.Conn)
	}{{&s.serving, &s.Pool, s.pool}, {&s.calls, &s.Index, s.index}, {&s.listing, &s.Lookup, s.directory}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		*x.l, *x.addr = l, l.Addr().String()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go x.handle(c)
			}
		}()
	}
	return s, nil
}

// Close ends the site.
func (s *Site) Close() {
	for _, l := range []net.Listener{s.serving, s.calls, s.listing} {
		if l != nil {
			l.Close()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		s.link.Close()
	}
	s.endRuns()
}

// endRuns ends all runs, of which nobody hears any longer; s.mu is held.
func (s *Site) endRuns() {
	s.starts++
	for _, waiting := range s.waiting {
		close(waiting)
	}
	s.waiting = map[string]chan string{}
}

// SetUse sets the share of the cores that the worker pool says is in use.
func (s *Site) SetUse(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.use = share
}

// SetWork sets how long a run takes that begins from now on.
func (s *Site) SetWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// SetAsks has every run make one of so many different calls below, by its request's body, each of which takes so long.
func (s *Site) SetAsks(n int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asks, s.below = n, took
}

// SetCalls has every run make n calls below, one after the other, each with a body of its own.
func (s *Site) SetCalls(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsEach = n
}

// Asked tells how often each call was made below, by its body, and how many runs were given the reply to another one.
func (s *Site) Asked() (calls map[string]int, wrong int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.asked), s.wrong
}

// Runs tells how often each body has run.
func (s *Site) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for body, at := range s.runs {
		out[body] = len(at)
	}
	return out
}

// Ran tells when each run of a body began, the first one first.
func (s *Site) Ran(body string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs[body])
}

// Worked returns how long the newest run of a body worked, without its wait for a call; false if none has ended.
func (s *Site) Worked(body string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	worked, ok := s.worked[body]
	return worked, ok
}

// pool serves one link of the worker pool's protocol.
func (s *Site) pool(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		j := gjson.Parse(line)
		handle, arg := j.Get("handle").String(), j.Get("arg").String()
		switch j.Get("event").String() {
		case "bind":
			s.bind(c, j.Get("cursor").Int())
		case "spawn":
			s.spawn(handle, j.Get("entry").String(), arg)
		case "supply":
			s.mu.Lock()
			if w := s.waiting[handle]; w != nil {
				delete(s.waiting, handle)
				w <- arg
			}
			s.mu.Unlock()
		case "suspend":
			s.mu.Lock()
			if w := s.waiting[handle]; w != nil {
				delete(s.waiting, handle)
				close(w)
			}
			s.mu.Unlock()
		case "poll":
			s.mu.Lock()
			fmt.Fprintf(c, `{"event":"polled","ticket":%q,"figures":[%g,0,0.1,0]}`+"\n", j.Get("ticket").String(), s.use)
			s.mu.Unlock()
		}
	}
}

// bind makes c the link. A cursor of 0 is a box that has just started: notices begin anew, and runs of an
// earlier one are nobody's.
func (s *Site) bind(c net.Conn, cursor int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		s.link.Close()
	}
	s.link = c
	if cursor == 0 {
		s.notices = nil
	}
	fate := "hot"
	if s.cold {
		fate = "chilly"
	}
	fmt.Fprintf(c, `{"event":"bound","fate":%q,"lasted":%d}`+"\n", fate, time.Since(s.began).Milliseconds())
	for _, n := range s.notices[min(int(cursor), len(s.notices)):] {
		io.WriteString(c, n)
	}
}

// notice tells the box; s.mu is held.
func (s *Site) notice(f string, x ...any) {
	n := fmt.Sprintf(`{"cursor":%d,`, len(s.notices)+1) + fmt.Sprintf(f, x...) + "}\n"
	s.notices = append(s.notices, n)
	if s.link != nil {
		io.WriteString(s.link, n)
	}
}

// Restart has the worker pool start anew, cold: its runs are gone, and nobody hears of them.
func (s *Site) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRuns()
	s.cold, s.began = true, time.Now()
	s.notices, s.begun = nil, map[string]string{}
	if s.link != nil {
		s.link.Close()
	}
}

// run is a run of the worker pool.
type run struct {
	handle, body string
	start        int // of the worker pool
	began        time.Time
	work         time.Duration // without its waits
	calls        []string      // bodies of its calls below, one after the other
}

// spawn begins a run, unless one of the same handle is in hand: a handle whose run is over is run again.
func (s *Site) spawn(handle, class, arg string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.begun[handle]; ok {
		return
	}
	s.begun[handle] = class
	s.spawned++
	text, _ := base64.StdEncoding.DecodeString(arg)
	r := run{handle: handle, body: string(text), start: s.starts, began: time.Now(), work: s.work}
	s.runs[r.body] = append(s.runs[r.body], r.began)
	switch {
	case s.callsEach > 0:
		for n := range s.callsEach {
			r.calls = append(r.calls, fmt.Sprintf("%s %s %d", callBody, handle, n))
		}
	case s.asks > 0:
		r.calls = []string{fmt.Sprintf("%s %d", callBody, xxhash.Sum64(text)%uint64(s.asks))}
	case s.spawned%3 == 0:
		r.calls = []string{callBody}
	}
	go s.play(r)
}

// play plays a run to its end, and tells of it.
func (s *Site) play(r run) {
	worked, fate := time.Duration(0), "complete"
	for i := 0; i < max(1, len(r.calls)) && fate == "complete"; i++ {
		if i < len(r.calls) {
			fate = s.call(r, r.calls[i])
		}
		starts := time.Now()
		time.Sleep(r.work / time.Duration(max(1, len(r.calls))))
		worked += time.Since(starts)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts != r.start { // it went with its worker pool
		return
	}
	s.worked[r.body] = worked
	delete(s.begun, r.handle)
	result := base64.StdEncoding.EncodeToString([]byte("done: " + r.body))
	if fate != "complete" {
		result = ""
	}
	s.notice(`"event":"finished","handle":%q,"fate":%q,"lasted":%d,"arg":%q`, r.handle, fate, time.Since(r.began).Milliseconds(), result)
}

// call has a run wait for the reply to a call, and gives what its fate is then.
func (s *Site) call(r run, body string) (fate string) {
	supplied := make(chan string, 1)
	s.mu.Lock()
	if s.starts != r.start {
		s.mu.Unlock()
		return "cancelled"
	}
	s.waiting[r.handle] = supplied
	s.notice(`"event":"blocked","handle":%q,"arg":%q`, r.handle, base64.StdEncoding.EncodeToString([]byte(body)))
	s.mu.Unlock()
	select {
	case arg, ok := <-supplied:
		got, _ := base64.StdEncoding.DecodeString(arg)
		switch {
		case !ok:
			return "cancelled"
		case string(got) == noTaxi:
			return "error"
		case string(got) != callReply+strings.TrimPrefix(body, callBody):
			s.mu.Lock()
			s.wrong++
			s.mu.Unlock()
		}
		return "complete"
	case <-time.After(callWithin): // its request is over
		s.mu.Lock()
		delete(s.waiting, r.handle)
		s.mu.Unlock()
		return "cancelled"
	}
}

// index answers calls below.
func (s *Site) index(c net.Conn) {
	calls(c, func(call string) string {
		s.mu.Lock()
		s.asked[call]++
		took := s.below
		s.mu.Unlock()
		time.Sleep(took)
		reply := callReply + strings.TrimPrefix(call, callBody)
		return fmt.Sprintf("HIT %d\r\n%s\r\n", len(reply), reply)
	})
}

// directory answers reports.
func (s *Site) directory(c net.Conn) {
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
}
