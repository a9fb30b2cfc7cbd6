package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/export"
	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/standin"
	"larchscale/internal/wal"
)

var quiet = slog.New(slog.DiscardHandler)

type ledgerCmd struct{}

// Run takes the ledger's figures.
func (ledgerCmd) Run(r *report) error {
	home, err := os.MkdirTemp("", "larchscale-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(home)
	for _, part := range []func(*report, string) error{loopRates, delays, entryBytes, recovery, exportRate, anHour} {
		if err := part(r, home); err != nil {
			return err
		}
	}
	return nil
}

// options are a ledger's in dir; mode "" is none.
func options(dir, mode string) ledgerstore.Options {
	o := ledgerstore.Defaults()
	o.Dir, o.Mode = dir, mode
	return o
}

// rig is a core with a worker pool that serves at once.
type rig struct {
	core   *core.Core
	books  *ledgerstore.Store
	cancel func()
	pool   chan string
	done   chan answered
	asked  int // requests so far: each has a handle of its own
}

type answered struct {
	handle string
	kind   core.Kind
}

func site() core.Config {
	k := control.Class{Aim: 3 * time.Second, Deadline: 8 * time.Second, Worth: 1}
	return core.Config{Classes: []string{"quote"}, Tenants: standin.Stands, StopTime: 4 * time.Second,
		Bounds: core.Bounds{Sessions: 8, Open: 4096, OpenBytes: 64 << 20, Table: 1 << 20},
		Control: control.Config{Seed: 1, Cores: 64, Servers: 1, Callers: 1, Advert: control.AdvertLevel, Stopping: control.StopRequeues,
			Memory: 1e9, RunFactor: 8, Crowd: 64, CrowdFor: time.Second, DrainGrace: 2 * time.Second, Slack: 80 * time.Millisecond,
			HeardFor: time.Second, MaxAdvice: time.Second, IdleMax: 30 * time.Second, Quantum: 5 * time.Millisecond, Classes: []control.Class{k}}}
}

// newRig starts a core with a ledger; a mode of "" is none.
func newRig(o ledgerstore.Options) (*rig, error) {
	s := site()
	g := &rig{core: core.New(s, quiet), pool: make(chan string, 4096), done: make(chan answered, 4096)}
	g.core.Attach(g, g, g, nil)
	if o.Mode != "" {
		d := wal.Dir(o.Dir)
		if err := d.Make(); err != nil {
			return nil, err
		}
		k, err := ledgerstore.Open(d, o, ledgerstore.Config{Server: "n1", Stands: s.Tenants, Classes: s.Classes}, quiet)
		if err != nil {
			return nil, err
		}
		g.books = k
		g.core.AttachLedger(k)
		k.Attach(g.core.Send, g.core.Start())
		go k.Run()
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.core.Run(ctx)
	go func() {
		for h := range g.pool {
			g.core.Send(core.PoolFinished{Handle: h, Outcome: control.OK, RunTime: time.Millisecond, Body: []byte("a result of some bytes")})
		}
	}()
	g.core.Send(core.SessionOpened{Session: g})
	g.core.Send(core.PoolBound{Age: time.Hour})
	return g, nil
}

// end ends the rig with its ledger written.
func (g *rig) end() error {
	g.cancel()
	close(g.pool)
	if g.books == nil {
		return nil
	}
	return g.books.Close(context.Background())
}

// The rig plays all other parties.
func (g *rig) Run(handle, _ string, _ []byte) bool {
	g.pool <- handle
	return true
}

func (g *rig) Stop(string)                                                      {}
func (g *rig) Supply(string, []byte) bool                                       { return true }
func (g *rig) SkipCall(string, uint64) bool                                     { return true }
func (g *rig) Verify(string)                                                    {}
func (g *rig) Poll(string)                                                      {}
func (g *rig) Call(string, uint64, string, uint64, time.Duration, bool, []byte) {}
func (g *rig) Abandon(string)                                                   {}
func (g *rig) Report(bool)                                                      {}
func (g *rig) StopReporting()                                                   {}
func (g *rig) Drain(time.Duration)                                              {}
func (g *rig) Close(uint64, core.CloseReason)                                   {}

type waiter struct {
	g      *rig
	handle string
}

func (w waiter) Answer(a core.Answer) { w.g.done <- answered{w.handle, a.Kind} }

// ask sends a request; its handle is its number, from 1.
func (g *rig) ask() {
	g.asked++
	n := g.asked
	h := strconv.Itoa(n)
	g.core.Send(core.RequestArrived{Session: g, Reply: waiter{g, h}, Req: core.IncomingRequest{Handle: h, Tenant: n % len(standin.Stands),
		Arrived: time.Now(), Budget: 4 * time.Second, Rank: 0.9, Memory: 25, Body: []byte("a body of some bytes")}})
}

// drive sends n requests with so many open at a time, and gives how many were served.
func (g *rig) drive(n, open int) (served int) {
	sent := 0
	for ; sent < min(n, open); sent++ {
		g.ask()
	}
	for range n {
		a, ok := g.answer()
		if !ok {
			return 0
		}
		if a.kind == core.Served {
			served++
		}
		if sent < n {
			g.ask()
			sent++
		}
	}
	return served
}

// answer waits for an answer; false = none comes.
func (g *rig) answer() (answered, bool) {
	select {
	case a := <-g.done:
		return a, true
	default:
	}
	select {
	case a := <-g.done:
		return a, true
	case <-time.After(5 * time.Second):
		return answered{}, false
	}
}

// loopRates compares the best rounds of the core's loop without a ledger and with one, on one processor as in service, in turns.
func loopRates(r *report, home string) error {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const n, rounds = 40_000, 16
	best := map[string]float64{} // what else the machine does only ever takes time
	modes := []string{"", ledgerstore.Relaxed, ledgerstore.Strict}
	for i := range rounds {
		for _, mode := range modes {
			g, err := newRig(options(filepath.Join(home, fmt.Sprint("loop", mode, i)), mode))
			if err != nil {
				return err
			}
			g.drive(2000, 128)
			runtime.GC() // what earlier rigs left is not this one's
			began := time.Now()
			served := g.drive(n, 128)
			rate := n / time.Since(began).Seconds()
			if err := g.end(); err != nil {
				return err
			}
			if served < n*99/100 {
				return fmt.Errorf("%d of %d served", served, n)
			}
			best[mode] = max(best[mode], rate)
		}
	}
	none := best[""]
	r.row("loop, no ledger", none, "requests/s")
	r.row("loop, relaxed", best[ledgerstore.Relaxed], "requests/s")
	r.row("loop, strict", best[ledgerstore.Strict], "requests/s")
	r.least("relaxed over none", best[ledgerstore.Relaxed]/none, "", 0.95)
	r.least("strict over none", best[ledgerstore.Strict]/none, "", 0.85)
	return nil
}

// delays compares the time that a request takes through the core at a steady rate.
func delays(r *report, home string) error {
	const rate, n = 1000, 5000
	p99 := map[string]float64{}
	for _, mode := range []string{"", ledgerstore.Strict} {
		g, err := newRig(options(filepath.Join(home, "delay"+mode), mode))
		if err != nil {
			return err
		}
		sent := make([]time.Time, n)
		h := hdrhistogram.New(1, 10_000_000, 3)
		go func() {
			tick := time.NewTicker(time.Second / rate)
			defer tick.Stop()
			for i := range n {
				<-tick.C
				sent[i] = time.Now()
				g.ask()
			}
		}()
		for range n {
			a, ok := g.answer()
			if !ok {
				return fmt.Errorf("%s: no answer", mode)
			}
			i, err := strconv.Atoi(a.handle)
			if err != nil {
				return err
			}
			if err := h.RecordValue(time.Since(sent[i-1]).Microseconds()); err != nil {
				return err
			}
		}
		p99[mode] = float64(h.ValueAtQuantile(99))
		if err := g.end(); err != nil {
			return err
		}
	}
	r.row("delay at 1000/s, p99, no ledger", p99[""], "us")
	r.row("delay at 1000/s, p99, strict", p99[ledgerstore.Strict], "us")
	r.most("delay added by strict, p99", p99[ledgerstore.Strict]-p99[""], "us", 5000)
	return nil
}

func entry(i int) ledger.Entry {
	at := int64(1796119200000) + int64(i)*5
	return ledger.Entry{Began: at - 700, Ended: at, Stand: uint16(1 + i%4), Class: 0, End: ledger.End(i % 4),
		Figures: ledger.Figures{1, 1_000_000, int64(250_000 + i%1000), int64(90_000 + i%5000), 1, 1200, 2400}}
}

// entryBytes tells what an entry takes in the log, alone in its group and with eight.
func entryBytes(r *report, home string) error {
	for _, group := range []int{1, 8, 64} {
		l, _, err := wal.Open(wal.Options{FS: mustDir(home, fmt.Sprint("bytes", group))}, nil)
		if err == nil {
			_, err = l.Roll()
		}
		if err != nil {
			return err
		}
		was, n := l.Size(), 0
		for range 1000 {
			var list []ledger.Entry
			for range group {
				list = append(list, entry(n))
				n++
			}
			if _, err := l.Append(ledger.EntriesRecord(list)); err != nil {
				return err
			}
		}
		r.row(fmt.Sprintf("bytes an entry, groups of %d", group), float64(l.Size()-was)/float64(n), "bytes")
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

func mustDir(home, name string) wal.Dir {
	d := wal.Dir(filepath.Join(home, name))
	if err := d.Make(); err != nil {
		panic(err) // a directory of this run's own
	}
	return d
}

const entries = 1_000_000

// recovery reads a log of a million entries in a process of its own, to see the memory that takes.
func recovery(r *report, home string) error {
	dir := mustDir(home, "recovery")
	o := options(string(dir), ledgerstore.Strict)
	o.SegmentKB, o.DiskKB = 1<<18, 1<<20
	k, err := ledgerstore.Open(dir, o, ledgerstore.Config{Server: "n1", Stands: standin.Stands, Classes: []string{"quote"}}, quiet)
	if err != nil {
		return err
	}
	go k.Run()
	for i := range entries {
		e := entry(i)
		k.Record(core.Usage{Tenant: i % 4, End: e.End, Figures: e.Figures})
		if i%8 == 7 {
			if _, err := k.Totals(context.Background()); err != nil { // after it a group is written
				return err
			}
		}
	}
	if err := k.Close(context.Background()); err != nil {
		return err
	}
	out, rss, err := self("recover", string(dir))
	if err != nil {
		return err
	}
	s, err := strconv.ParseFloat(strings.TrimSpace(out), 64)
	if err != nil {
		return err
	}
	r.most("recovery of 1,000,000 entries", s, "s", 3)
	r.most("its memory", rss, "MB", 64)
	return nil
}

// self runs a part in a process of its own and gives what it printed and its peak of resident memory.
func self(args ...string) (string, float64, error) {
	exe, err := os.Executable()
	if err != nil {
		return "", 0, err
	}
	c := exec.Command(exe, args...)
	c.Stderr = os.Stderr
	out, err := c.Output()
	if err != nil {
		return "", 0, fmt.Errorf("%v: %w", args, err)
	}
	return string(out), float64(c.ProcessState.SysUsage().(*syscall.Rusage).Maxrss) / 1024, nil
}

type recoverCmd struct {
	Dir string `arg:""`
}

// Run reads a ledger and prints how long that took.
func (c recoverCmd) Run(*report) error {
	began := time.Now()
	b, _, err := ledgerstore.ReadLedger(wal.Dir(c.Dir), options(c.Dir, ledgerstore.Strict))
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	t, err := b.Totals()
	if err != nil || t.Booked[ledger.Requests] != entries {
		return fmt.Errorf("%d of %d: %w", t.Booked[ledger.Requests], entries, err)
	}
	fmt.Println(took)
	return nil
}

// exportRate has batches sent to a collector on loopback, each acknowledged on the disk before the next.
func exportRate(r *report, home string) error {
	collector := standin.NewCollector(1, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: collector}
	go server.Serve(l)
	defer server.Close()
	dir := mustDir(home, "export")
	o := options(string(dir), ledgerstore.Relaxed)
	o.ExportMs, o.WriteMs = 10, 5
	k, err := ledgerstore.Open(dir, o, ledgerstore.Config{Server: "n1", Stands: standin.Stands, Classes: []string{"quote"}}, quiet)
	if err != nil {
		return err
	}
	go k.Run()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 100_000 { // batches gather, as nobody takes them yet
		e := entry(i)
		k.Record(core.Usage{Tenant: i % 4, End: e.End, Figures: e.Figures})
		if i%200 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	t, err := k.Totals(ctx)
	if err != nil {
		return err
	}
	waiting := t.Batches
	co := export.Defaults()
	co.URL = "http://" + l.Addr().String() + "/"
	e, err := export.New(co, k, nil, quiet)
	if err != nil {
		return err
	}
	began := time.Now()
	go e.Run(ctx)
	for t.Acknowledged < waiting {
		time.Sleep(2 * time.Millisecond)
		if t, err = k.Totals(ctx); err != nil {
			return err
		}
	}
	r.row("export", float64(waiting)/time.Since(began).Seconds(), "batches/s")
	return k.Close(ctx)
}

type hourCmd struct {
	Dir string `arg:""`
}

// anHour books the entries of an hour at 190 a second while the collector is away, in a process with a box's
// memory limit.
func anHour(r *report, home string) error {
	out, rss, err := self("hour", filepath.Join(home, "hour"))
	if err != nil {
		return err
	}
	var batches, bytes, disk int
	if _, err := fmt.Sscan(out, &batches, &bytes, &disk); err != nil {
		return err
	}
	r.row("batches that wait after an hour", float64(batches), "batches")
	r.row("their bytes", float64(bytes), "bytes")
	r.most("the ledger on the disk", float64(disk)/(1<<20), "MB", float64(ledgerstore.Defaults().DiskKB)/1024)
	r.most("memory with the collector away", rss, "MB", 32)
	return nil
}

// Run is a core with a strict ledger under 684,000 requests, a batch every ten milliseconds.
func (c hourCmd) Run(*report) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(24 << 20)
	o := options(c.Dir, ledgerstore.Strict)
	o.ExportMs = 10
	g, err := newRig(o)
	if err != nil {
		return err
	}
	const n = 190 * 3600
	g.drive(n, 64)
	t, err := g.books.Totals(context.Background())
	if err != nil {
		return err
	}
	if err := g.end(); err != nil {
		return err
	}
	if t.Booked[ledger.Requests] != n {
		return fmt.Errorf("%d of %d booked", t.Booked[ledger.Requests], n)
	}
	size := int64(0)
	files, err := os.ReadDir(c.Dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		if i, err := f.Info(); err == nil {
			size += i.Size()
		}
	}
	fmt.Println(t.Batches, t.PendingBytes, size)
	return nil
}
