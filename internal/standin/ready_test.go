package standin_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"larchscale/internal/scenario"
	"larchscale/internal/standin"
)

// gate is an address before a server that is there later than who asks for it. Shut it refuses; held it takes
// connections and lets nothing through.
type gate struct {
	t            *testing.T
	addr, target string
	l            net.Listener
	mu           sync.Mutex
	conns        []net.Conn
}

func newGate(t *testing.T, target string) *gate {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{t: t, addr: addr, target: target}
	t.Cleanup(g.shut)
	return g
}

func (g *gate) shut() {
	if g.l != nil {
		g.l.Close()
		g.l = nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.Close()
	}
	g.conns = nil
}

func (g *gate) hold() {
	var err error
	if g.l, err = net.Listen("tcp", g.addr); err != nil {
		g.t.Error(err)
	}
}

func (g *gate) open() {
	if g.l == nil {
		g.hold()
	}
	go func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", g.target)
			if err != nil {
				c.Close()
				continue
			}
			g.mu.Lock()
			g.conns = append(g.conns, c, d)
			g.mu.Unlock()
			carry := func(to, from net.Conn) { io.Copy(to, from); to.Close() }
			go carry(c, d)
			go carry(d, c)
		}
	}(g.l)
}

// listing is a directory that notes what is reported, by name, and when.
type listing struct {
	addr string
	mu   sync.Mutex
	all  []report
}

type report struct {
	at   time.Time
	what string
}

func newListing(t *testing.T) *listing {
	l := &listing{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		l.mu.Lock()
		l.all = append(l.all, report{time.Now(), r.URL.Path + " " + string(body)})
		l.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	l.addr = s.Listener.Addr().String()
	return l
}

// since gives the reports from a moment on.
func (l *listing) since(at time.Time) (reports []report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.all {
		if r.at.After(at) {
			reports = append(reports, r)
		}
	}
	return reports
}

// until waits for what has to come.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never", what)
		}
	}
}

// newSite is a site whose runs take so long, with a gate before its worker pool.
func newSite(t *testing.T, work time.Duration, lookup string) (*standin.Site, *gate) {
	t.Helper()
	s, err := standin.NewSite(work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	g := newGate(t, s.Pool)
	s.Pool, s.Lookup = g.addr, lookup
	return s, g
}

// A process whose worker pool takes its link and does not bind it reports nothing, and reports open once it is bound.
func TestReportsBeginWithTheWorkerPool(t *testing.T) {
	list := newListing(t)
	site, pool := newSite(t, time.Millisecond, list.addr)
	box, err := standin.NewBox(program, t.TempDir(), "n1", site, "")
	if err != nil {
		t.Fatal(err)
	}
	pool.hold()
	up := make(chan error, 1)
	go func() { up <- box.Start() }()
	t.Cleanup(func() { box.Kill() })
	until(t, "it starts", func() bool { return strings.Contains(box.Log(), "msg=started") })
	time.Sleep(700 * time.Millisecond) // longer than between two reports
	if all := list.since(time.Time{}); len(all) > 0 {
		t.Errorf("it reported %q before its worker pool was bound", all[0].what)
	}
	pool.open()
	if err := <-up; err != nil {
		t.Fatal(err)
	}
	until(t, "it reports", func() bool { return len(list.since(time.Time{})) > 0 })
	if got := list.since(time.Time{})[0].what; got != `/dir/nodes/n1 {"mode":"open"}` {
		t.Errorf("it reported %q", got)
	}
}

// An old process that hands off and still has work says nothing more to the directory, where the new one reports under
// the same name.
func TestAnOldProcessThatHandsOffReportsNothing(t *testing.T) {
	lists := []*listing{newListing(t), newListing(t)}
	var sites []*standin.Site
	for _, l := range lists {
		s, pool := newSite(t, 2*time.Second, l.addr)
		pool.open()
		sites = append(sites, s)
	}
	old, err := standin.NewBox(program, t.TempDir(), "n1", sites[0], "")
	if err == nil {
		err = old.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(old.Kill)
	p := scenario.Dial(t, old.Listen)
	p.Send(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":%q,"params":{"rid":"00000000000000a1","t0":%d,"peer":1,"acct":%q,"budget":8000,"mem":24.5,"prio":0.9,"bytes":"eA=="}}`+"\n",
		standin.Classes[0], time.Now().UnixMilli(), standin.Stands[0]))
	until(t, "it runs", func() bool { return sites[0].Runs()["x"] == 1 })
	next, err := old.Twin(filepath.Join(t.TempDir(), "next"), sites[1])
	if err == nil {
		err = next.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Kill)
	healthy(t, next)
	ended := old.Term()
	p.Expect(`"method":"draining"`)
	told := time.Now()
	p.Expect(`"id":1,`) // out of time, at the end of its stay: until then it lives
	<-ended
	t.Logf("it lived on for %v", time.Since(told))
	if late := lists[0].since(told.Add(300 * time.Millisecond)); len(late) > 0 { // one may have been on its way
		t.Errorf("the old process reported %q %v after its handoff", late[0].what, late[0].at.Sub(told))
	}
	if len(lists[1].since(told)) == 0 {
		t.Error("the new process did not report")
	}
}

// Boxes that were killed start again together, with all that a crash leaves behind in their directories, while worker
// pool and directory come late: nine in ten serve within ten seconds, safe and keyed requests.
func TestRestartedTogetherTheyAreReadyInTime(t *testing.T) {
	const boxes, poolLate, listLate = 12, 3 * time.Second, 4 * time.Second
	type one struct {
		box         *standin.Box
		pool, dir   *gate
		list        *listing
		safe, keyed time.Duration
	}
	var all []*one
	each := func(f func(i int, x *one) error) {
		t.Helper()
		var wg sync.WaitGroup
		for i, x := range all {
			wg.Go(func() {
				if err := f(i, x); err != nil {
					t.Errorf("n%d: %v", i, err)
				}
			})
		}
		wg.Wait()
		if t.Failed() {
			t.FailNow()
		}
	}
	for i := range boxes {
		x := &one{list: newListing(t)}
		x.dir = newGate(t, x.list.addr)
		var site *standin.Site
		site, x.pool = newSite(t, time.Millisecond, x.dir.addr)
		x.pool.open()
		var err error
		if x.box, err = standin.NewBox(program, t.TempDir(), fmt.Sprintf("n%d", i), site, "[ledger]\ndir = \"$DIR\"\n"); err != nil {
			t.Fatal(err)
		}
		all = append(all, x)
	}
	each(func(i int, x *one) error { // an earlier life, and its end
		if err := x.box.Start(); err != nil {
			return err
		}
		t.Cleanup(func() { x.box.Kill() })
		if end := served(x.box.Listen, fmt.Sprintf("first-%d", i)); end != "served" {
			return fmt.Errorf("before: %s", end)
		}
		x.box.Kill()
		x.pool.shut()
		return litter(x.box)
	})
	began := time.Now()
	for i, x := range all {
		if i%2 == 0 {
			x.pool.hold() // it is there and does not bind
		}
		defer time.AfterFunc(poolLate, x.pool.open).Stop()
		defer time.AfterFunc(listLate, x.dir.open).Stop()
	}
	each(func(i int, x *one) error {
		started := time.Now()
		up := make(chan error, 1)
		go func() { up <- x.box.Start() }()
		for token, took := range map[string]*time.Duration{"": &x.safe, fmt.Sprintf("again-%d", i): &x.keyed} {
			for *took = 30 * time.Second; time.Since(started) < 30*time.Second; time.Sleep(10 * time.Millisecond) {
				if served(x.box.Listen, token) == "served" {
					*took = time.Since(started)
					break
				}
			}
		}
		return <-up
	})
	for what, of := range map[string]func(*one) time.Duration{"safe": func(x *one) time.Duration { return x.safe }, "keyed": func(x *one) time.Duration { return x.keyed }} {
		var took []time.Duration
		for _, x := range all {
			took = append(took, of(x))
		}
		slices.Sort(took)
		t.Logf("from start to the first %s request served: %v", what, took)
		if worst := took[(9*boxes+9)/10-1]; worst > 10*time.Second { // nine in ten, rounded up
			t.Errorf("nine in ten served a %s request only after %v", what, worst)
		}
	}
	var listed time.Duration
	for i, x := range all {
		until(t, fmt.Sprintf("n%d is listed", i), func() bool { return len(x.list.since(began)) > 0 })
		listed = max(listed, x.list.since(began)[0].at.Sub(began))
	}
	t.Logf("all listed %v after the start, %v after the directory came", listed, listed-listLate)
	if listed > listLate+3*time.Second {
		t.Errorf("the last was listed %v after the directory came", listed-listLate)
	}
}

// served sends a request on a connection of its own, keyed if it has a token, and tells how it ended.
func served(addr, token string) string {
	l, err := standin.DialLine(addr)
	if err != nil {
		return "refused connection"
	}
	defer l.Close()
	defer time.AfterFunc(2*time.Second, l.Close).Stop()
	r := standin.Request{Handle: fmt.Sprintf("%016x", time.Now().UnixNano()), Stand: standin.Stands[0], Class: standin.Classes[0], Token: token,
		Body: "ready " + token, Budget: 8 * time.Second}
	if token != "" {
		r.Class = standin.Classes[1]
	}
	return l.Do(r).End
}

// litter leaves in a box's $TMPDIR what a crash may: a start file that names nobody, files of keys that are good, run
// out or cut short, and others half written.
func litter(b *standin.Box) error {
	if err := os.WriteFile(filepath.Join(b.Tmp, "larchscale-"+b.Name+".start"), []byte("\x00spoilt"), 0o600); err != nil {
		return err
	}
	keys := filepath.Join(b.Tmp, "larchscale-"+b.Name+"-keys")
	for i := range 2400 {
		file := binary.BigEndian.AppendUint64(nil, uint64(time.Now().Add(time.Minute).UnixNano()))
		file = append(file, "c"+strings.Repeat("0", 64)+"another life"...)
		name := fmt.Sprintf("%032x", i)
		switch i % 4 {
		case 1:
			name += ".new"
			file = file[:20]
		case 2:
			file = file[:3]
		case 3:
			clear(file[:8])
		}
		if err := os.WriteFile(filepath.Join(keys, name), file, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// A directory that takes connections and says nothing, or next to nothing, holds up neither requests nor the end: the
// exit is as early as with one that answers.
func TestASilentDirectoryHoldsUpNoDrain(t *testing.T) {
	for name, answer := range map[string]func(net.Conn){
		"silent": func(net.Conn) {},
		"byte by byte": func(c net.Conn) {
			for {
				if _, err := io.WriteString(c, "H"); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		},
		"hangs up": func(c net.Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { c.Close() })
					go answer(c)
				}
			}()
			site, pool := newSite(t, time.Millisecond, l.Addr().String())
			pool.open()
			box, err := standin.NewBox(program, t.TempDir(), "n1", site, "")
			if err == nil {
				err = box.Start()
			}
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(box.Kill)
			if end := served(box.Listen, ""); end != "served" {
				t.Errorf("a request: %s", end)
			}
			began := time.Now()
			code, err := box.Stop()
			took := time.Since(began)
			if code != 0 || err != nil || took > 3*time.Second { // stop_ms is 1,200
				t.Errorf("exit %d after %v, %v", code, took, err)
			}
			t.Logf("ended after %v", took)
		})
	}
}
