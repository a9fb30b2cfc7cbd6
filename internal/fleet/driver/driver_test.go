package driver

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchscale/internal/fleet/takeout"
	"larchscale/internal/link"
)

// body is a box that is warm and has nothing open.
type body struct{ held atomic.Bool }

func (b *body) Look() takeout.Report { return takeout.Report{Warm: true, Capacity: 100, Load: 30} }
func (b *body) Hold(on bool)         { b.held.Store(on) }

// box is one box of the test, on a directory and an address that outlive its processes.
type box struct {
	t               *testing.T
	name, zone, dir string
	addr            string
	others          []string
	body            body
	link            *link.Link
	stop            func()
}

// start is a new process of the box.
func (b *box) start() {
	b.t.Helper()
	log := slog.New(slog.DiscardHandler)
	l, err := link.New(link.Options{Listen: b.addr}, log)
	if err != nil {
		b.t.Fatal(err)
	}
	b.link = l
	o := Defaults()
	o.Dir, o.Zone, o.DrainMs = b.dir, b.zone, 300
	d, err := New(o, b.name, b.addr, (&link.Options{Boxes: b.others}).Others(), l, &b.body, log)
	if err != nil {
		b.t.Fatal(err)
	}
	in, err := l.Listen()
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		l.Serve(ctx, in, d.Handler())
		close(served)
	}()
	go d.Run(ctx)
	b.stop = func() {
		end()
		<-d.done
		<-served
		b.stop = nil
	}
}

func (b *box) state() (Status, bool) {
	c := b.link.Dial(b.name, b.addr)
	defer c.Close()
	s, err := State(context.Background(), c)
	return s, err == nil
}

// command gives what became of a word; "" = it is done.
func (b *box) command(w Word) string {
	c := b.link.Dial(b.name, b.addr)
	defer c.Close()
	if err := Say(b.t.Context(), c, w); err != nil {
		return err.Error()
	}
	return ""
}

// until waits for what has to come; the time is reached only by a test that fails.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not %s", what)
		}
	}
}

// Three boxes on real sockets: one founds the fleet, the others knock, two more become voters; a plan takes each out in
// turn, held while it drains; the leader is ended in the middle, and a box returns as another process.
func TestThreeBoxesTakeThemselvesOut(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	defer http.DefaultClient.CloseIdleConnections()
	var all []*box
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, &box{t: t, name: fmt.Sprint("n", i+1), zone: fmt.Sprint("z", i), dir: t.TempDir(), addr: l.Addr().String()})
		l.Close()
	}
	for _, b := range all {
		for _, o := range all {
			if o != b {
				b.others = append(b.others, o.name+"="+o.addr)
			}
		}
		b.start()
	}
	defer func() {
		for _, b := range all {
			if b.stop != nil {
				b.stop()
			}
		}
	}()
	if e := all[0].command(Word{Found: true}); e != "" {
		t.Fatal(e)
	}
	if e := all[0].command(Word{Found: true}); e == "" {
		t.Fatal("found twice")
	}
	until(t, "three voters that are in", func() bool {
		for _, b := range all {
			s, ok := b.state()
			if !ok || len(s.Members) != 3 || slices.ContainsFunc(s.Boxes, func(x takeout.Box) bool { return x.Phase != takeout.In || x.Incarnation == 0 }) {
				return false
			}
			for _, m := range s.Members {
				if !m.Voter {
					return false
				}
			}
		}
		return true
	})
	plan := takeout.Plan{ID: "disks", By: "staff", Reason: "new disks", Boxes: []string{"n1", "n2", "n3"}, Most: 1, Floor: 0.1}
	if e := all[2].command(Word{Entry: takeout.Entry{Kind: takeout.Propose, Plan: plan}}); e != "" {
		t.Fatal(e)
	}
	if e := all[1].command(Word{Entry: takeout.Entry{Kind: takeout.Propose, Plan: takeout.Plan{ID: "x", By: "staff", Boxes: []string{"n9"}, Most: 1}}}); e == "" {
		t.Fatal("a plan for an unknown box was taken")
	}
	worked := map[string]int{}
	killed := false
	until(t, "done", func() bool {
		out := 0
		for _, b := range all {
			if b.stop == nil {
				continue
			}
			s, ok := b.state()
			if !ok {
				continue
			}
			for _, x := range s.Boxes {
				if x.Name == b.name && x.Phase == takeout.Out && x.Incarnation == s.Incarnation {
					if !b.body.held.Load() {
						t.Fatalf("%s is out, and its health does not say no", b.name)
					}
					out++
					worked[b.name]++
					if !killed { // the leader dies while one is out
						killed = true
						for _, l := range all {
							if l.name == s.Leader && l != b {
								l.stop()
								l.start()
							}
						}
					}
					b.stop()
					b.start() // the work is done
				}
			}
			if out > 1 {
				t.Fatalf("%d are out at once", out)
			}
			if i := slices.IndexFunc(s.Plans, func(p takeout.Plan) bool { return p.ID == "disks" }); i >= 0 && s.Plans[i].State == takeout.Done {
				return true
			}
		}
		return false
	})
	for _, b := range all {
		if worked[b.name] != 1 {
			t.Errorf("%s was out %d times", b.name, worked[b.name])
		}
	}
}

// What is no message, no report, no command is refused at once, and whoever is no member is not listened to.
func TestTheDriverRefusesNonsense(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &box{t: t, name: "n1", zone: "a", dir: t.TempDir(), addr: l.Addr().String()}
	l.Close()
	b.start()
	defer func() { b.stop() }()
	for _, k := range []struct {
		path, body string
		code       int
	}{
		{"/fleet/messages", "\xff\xff\xff\xff\x0f", http.StatusBadRequest}, // longer than what follows
		{"/fleet/messages", "", http.StatusBadRequest},
		{"/fleet/messages", "\x01\xa0\x03abc", http.StatusOK}, // whole, and not raft's: dropped
		{"/fleet/report", "x", http.StatusBadRequest},
		{"/fleet/knock", "\xa0", http.StatusServiceUnavailable}, // nobody leads
		{"/fleet/command", `{"Foond":true}`, http.StatusBadRequest},
		{"/fleet/elsewhere", "", http.StatusNotFound},
	} {
		res, err := http.Post("http://"+b.addr+k.path, "", bytes.NewReader([]byte(k.body)))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != k.code {
			t.Errorf("%s %q: %d, want %d", k.path, k.body, res.StatusCode, k.code)
		}
	}
	if e := b.command(Word{Entry: takeout.Entry{Kind: takeout.Pause, Plan: takeout.Plan{ID: "p"}}}); e == "" {
		t.Error("a command was taken with no leader")
	}
	if _, ok := b.state(); !ok {
		t.Error("it no longer answers")
	}
}

// Each process of a box has a higher number than all before, also where the clock went back or the file is odd.
func TestIncarnationsGoUp(t *testing.T) {
	dir := t.TempDir()
	last := uint64(0)
	for _, now := range []uint64{100, 50, 50, 200} {
		n, err := nextIncarnation(dir, now)
		if err != nil || n <= last || n < now {
			t.Fatalf("%d after %d at %d: %v", n, last, now, err)
		}
		last = n
	}
	if _, err := nextIncarnation(dir+"/none", 1); err == nil {
		t.Error("a directory that is not there was taken")
	}
}
