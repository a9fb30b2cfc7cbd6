package standin_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/link"
	"larchscale/internal/peers"
	"larchscale/internal/standin"
	"larchscale/internal/wal"
)

var (
	kills    = flag.Int("kills", 200, "how often TestLedgerOutlivesKills kills the box")
	requests = flag.Int("requests", 102_400, "how many requests TestLedgerMatchesCallers sends")
	program  string
)

// The real program is built once for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(standin.WithProgram(&program, m.Run))
}

// world is a box with everything round it.
type world struct {
	site      *standin.Site
	box       *standin.Box
	collector *standin.Collector
	opt       ledgerstore.Options
}

func newWorld(t *testing.T, mode string, faults float64) *world {
	t.Helper()
	w := &world{collector: standin.NewCollector(7, faults), opt: ledgerstore.Defaults()}
	w.opt.Period = "hour"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		s := &http.Server{Handler: w.collector}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		w.site, err = standin.NewSite(2 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.site.Close)
	w.box, err = standin.NewBox(program, t.TempDir(), "n1", w.site, fmt.Sprintf("[ledger]\ndir = \"$DIR\"\nmode = %q\nperiod = \"hour\"\nexport_ms = 20\n"+
		"[ledger.collector]\nurl = \"http://%s/\"\ntimeout_ms = 300\nretry_ms = 10\nretry_max_s = 1\n", mode, l.Addr()))
	if err == nil {
		err = w.box.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// settle waits until the collector has all, ends the box and reconciles what was exported.
func (w *world) settle(t *testing.T) *ledger.Fleet {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		b, _, err := ledgerstore.ReadLedger(wal.Dir(w.box.Dir), w.opt)
		if err == nil && !b.Waits() && len(b.Pending()) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the collector does not get all: %v\n%s", err, w.box.Log())
		}
	}
	if code, err := w.box.Stop(); code != 0 || err != nil {
		t.Fatalf("exit %d, %v: %s", code, err, w.box.Log())
	}
	var x ledger.Exports
	for _, b := range w.collector.Batches() {
		if err := x.Add(b); err != nil {
			t.Fatal(err)
		}
	}
	f := x.Reconcile()
	if sent, clashes := w.collector.Counts(); clashes > 0 {
		t.Errorf("%d of %d sendings brought other bytes", clashes, sent)
	}
	for _, c := range f.Chains {
		if !c.Sound() || len(f.Chains) > 1 {
			t.Errorf("%+v", c)
		}
	}
	return f
}

// A collector that fails in every way a third of the time ends with totals that match what the callers saw, to
// the single request, in both modes and on both fronts.
func TestLedgerMatchesCallers(t *testing.T) {
	for _, mode := range []string{ledgerstore.Strict, ledgerstore.Relaxed} {
		w := newWorld(t, mode, 0.33)
		c := &standin.Callers{Box: w.box, Lines: 4}
		for i := range 4 { // so that several batches leave
			if err := c.Send(fmt.Sprint(mode, i), *requests/2/4, 0.2, nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		f := w.settle(t)
		for _, d := range standin.Compare(c.Seen(), f) {
			t.Error(mode, d)
		}
		n := 0
		for s, count := range c.Seen() {
			if n += count; s.End == "wrong" || s.End == "lost" {
				t.Errorf("%s: %+v: %d", mode, s, count)
			}
		}
		sent, _ := w.collector.Counts()
		t.Logf("%s: %d requests, %d batches, %d sendings", mode, n, len(w.collector.Batches()), sent)
	}
}

// A strict box that is killed again and again in the middle of booking and exporting never loses a result that
// a caller has, never counts one twice, and never sends other bytes under one identity.
func TestLedgerOutlivesKills(t *testing.T) {
	w := newWorld(t, ledgerstore.Strict, 0.33)
	c := &standin.Callers{Box: w.box, Lines: 2}
	r := rand.New(rand.NewPCG(11, 1))
	for i := range *kills {
		var dead atomic.Bool
		done := make(chan error)
		go func() { done <- c.Send(fmt.Sprint("k", i), 1_000_000, 0.2, func() bool { return !dead.Load() }) }()
		time.Sleep(time.Duration(20+r.IntN(120)) * time.Millisecond)
		dead.Store(true)
		w.box.Kill()
		<-done // a connection may not have been made
		if err := w.box.Start(); err != nil {
			t.Fatal(err)
		}
	}
	f := w.settle(t)
	seen, served, lost, booked := c.Seen(), 0, 0, 0
	rows := map[standin.Seen]int{}
	for _, p := range f.Periods() {
		s, err := f.Statement(p.Name, ledger.Expect{Gone: []string{"n1"}})
		if err != nil {
			t.Fatal(err)
		}
		if !s.Complete {
			t.Errorf("a strict box that was killed has an incomplete statement: %v", s.Why)
		}
		for _, row := range s.Rows {
			if row.End == "served" || row.End == "late" {
				rows[standin.Seen{Stand: row.Stand, Class: row.Class, End: "served"}] += int(row.Figures[ledger.Requests])
			}
		}
	}
	for s, n := range seen {
		switch s.End {
		case "served":
			have, gone := rows[s], seen[standin.Seen{Stand: s.Stand, Class: s.Class, End: "lost"}]
			if served += n; have < n || have > n+gone {
				t.Errorf("%+v: callers have %d and miss %d, the ledger has %d", s, n, gone, have)
			}
			booked += have
		case "lost":
			lost += n
		case "wrong":
			t.Errorf("%+v: %d", s, n)
		}
	}
	sent, _ := w.collector.Counts()
	t.Logf("%d kills: %d served, %d lost with their connection, %d booked as served; %d batches, %d sendings", *kills, served, lost, booked, len(w.collector.Batches()), sent)
	if served == 0 || lost == 0 {
		t.Error("nothing was cut")
	}
}

// Two real boxes that may talk each state the period for both.
func TestPeersAsPrograms(t *testing.T) {
	addrs := map[string]string{}
	for _, name := range []string{"n1", "n2"} {
		var err error
		if addrs[name], err = standin.FreeAddr(); err != nil {
			t.Fatal(err)
		}
	}
	for name, other := range map[string]string{"n1": "n2", "n2": "n1"} {
		site, err := standin.NewSite(time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		defer site.Close()
		b, err := standin.NewBox(program, t.TempDir(), name, site, fmt.Sprintf("[ledger]\ndir = \"$DIR\"\nperiod = \"month\"\nexport_ms = 20\n"+
			"[ledger.peers]\nlisten = %q\nboxes = [\"%s=%s\"]\nevery_ms = 50\n", addrs[name], other, addrs[other]))
		if err == nil {
			err = b.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		defer b.Kill()
		c := &standin.Callers{Box: b, Lines: 1}
		if err := c.Send(name, 200, 0.3, nil); err != nil {
			t.Fatal(err)
		}
	}
	calendar, err := ledger.NewCalendar("month", "Asia/Kolkata")
	if err != nil {
		t.Fatal(err)
	}
	period := calendar.At(time.Now().UnixMilli()).Name
	for _, name := range []string{"n1", "n2"} {
		var s ledger.Statement
		for end := time.Now().Add(10 * time.Second); s.Total.Used[ledger.Requests] != 400; time.Sleep(20 * time.Millisecond) {
			if s, err = peers.Statement(t.Context(), peers.Options{Options: link.Options{Listen: addrs[name]}}, name, period); time.Now().After(end) {
				t.Fatalf("%s: %+v, %v", name, s.Total, err)
			}
		}
	}
}

// Two boxes whose directories were swapped are refused at the start, with one line and exit code 2.
func TestSwappedDirectories(t *testing.T) {
	site, err := standin.NewSite(time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	home := t.TempDir()
	for _, name := range []string{"n1", "n2"} {
		dir := filepath.Join(home, name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		b, err := standin.NewBox(program, dir, name, site, "[ledger]\ndir = \""+filepath.Join(home, "shared")+"\"\n")
		if err != nil {
			t.Fatal(err)
		}
		err = b.Start()
		if name == "n1" {
			if err != nil {
				t.Fatal(err)
			}
			if err := exec.Command(program, "--config", filepath.Join(dir, "config.json"), "--operator", b.Operator()).Run(); err == nil || err.(*exec.ExitError).ExitCode() != 2 {
				t.Errorf("a second process on the same directory: %v", err)
			}
			b.Stop()
			continue
		}
		if err == nil || !strings.Contains(b.Log(), "another box's ledger: n1, not n2") || strings.Count(b.Log(), "\n") != 1 {
			t.Errorf("%v: %s", err, b.Log())
		}
	}
}
