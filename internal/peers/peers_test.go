package peers

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchscale/internal/core"
	"larchscale/internal/faultfs"
	"larchscale/internal/keeper"
	"larchscale/internal/ledger"
	"larchscale/internal/link"
	"larchscale/internal/scenario/certs"
)

var quiet = slog.New(slog.DiscardHandler)

// box is one instance that may talk.
type box struct {
	name  string
	books *keeper.Keeper
	peers *Peers
	addr  string
	stop  context.CancelFunc
}

// newBox starts the ledger of a box that has served n requests and sealed them.
func newBox(t *testing.T, name string, n int) *box {
	t.Helper()
	o := keeper.Defaults()
	o.Dir, o.Period, o.ExportMs, o.WriteMs = "-", "day", 10, 5
	noon := time.Date(2026, 11, 15, 12, 0, 0, 0, time.UTC)
	began := time.Now()
	k, err := keeper.Open(faultfs.New(1), o, keeper.Site{Box: name, Stands: []string{"north"}, Classes: []string{"quote"},
		Wall: func() time.Time { return noon.Add(time.Since(began)) }}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	go k.Run()
	t.Cleanup(func() { k.Close(context.Background()) })
	b := &box{name: name, books: k}
	b.use(t, n)
	return b
}

// use has requests booked and sealed.
func (b *box) use(t *testing.T, n int) {
	t.Helper()
	was, err := b.books.Totals(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for range n {
		b.books.Book(core.Use{Figures: ledger.Figures{1, 5}})
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		s, err := b.books.Totals(t.Context())
		if err != nil || time.Now().After(end) {
			t.Fatal("not sealed", err)
		}
		if s.Sealed[ledger.Requests] == was.Booked[ledger.Requests]+int64(n) {
			return
		}
	}
}

// join opens a box's port with its certificates.
func (b *box) join(t *testing.T, listen string, o Options) {
	t.Helper()
	o.Listen, o.EveryMs = listen, 1000
	way, err := link.New(o.Options, quiet)
	if err != nil {
		t.Fatal(err)
	}
	b.peers = New(o, b.name, b.books, way, quiet)
	l, err := way.Listen()
	if err != nil {
		t.Fatal(err)
	}
	b.addr = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go way.Serve(ctx, l, b.peers)
	t.Cleanup(stop)
}

func (b *box) total(t *testing.T) (int64, []string) {
	t.Helper()
	own, states, err := b.books.PeriodStates(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	s, err := b.peers.table.Statement("2026-11-15", own, states, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s.Total.Used[ledger.Requests], s.Why
}

// Three boxes with certificates hold the same statement after one round; one that is gone stops nobody; one that
// shows another's name, or none of the authority's, is not believed.
func TestPeersOverTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	caFile, _, ca := certs.New(t, dir, "ca", nil)
	_, _, otherCA := certs.New(t, dir, "otherca", nil)
	with := func(name string) Options {
		signer := ca
		if name == "stranger" {
			signer = otherCA
		}
		cert, key, _ := certs.New(t, dir, name, signer)
		return Options{Options: link.Options{CA: caFile, Cert: cert, Key: key}}
	}
	list := []*box{newBox(t, "n1", 1), newBox(t, "n2", 20), newBox(t, "n3", 300), newBox(t, "n4", 4000)}
	for _, b := range list {
		shows := b.name
		if b == list[3] {
			shows = "n9"
		}
		b.join(t, "127.0.0.1:0", with(shows))
	}
	for _, b := range list[:3] {
		for _, other := range list {
			if other != b {
				b.peers.opt.Boxes = append(b.peers.opt.Boxes, other.name+"="+other.addr)
			}
		}
		b.peers.Round(t.Context())
	}
	for _, b := range list[:3] {
		if n, _ := b.total(t); n != 321 { // n4 shows a certificate of n9
			t.Errorf("%s: %d requests", b.name, n)
		}
		if !b.peers.silent["n4"] || b.peers.silent["n2"] {
			t.Errorf("%s: %v", b.name, b.peers.silent)
		}
	}
	list[2].stop()
	list[1].use(t, 1000)
	list[0].peers.Round(t.Context())
	if n, _ := list[0].total(t); n != 1321 || !list[0].peers.silent["n3"] {
		t.Errorf("with n3 gone: %d requests", n)
	}
	stranger := newBox(t, "n2", 7)
	stranger.join(t, "127.0.0.1:0", with("stranger"))
	list[0].peers.opt.Boxes = []string{"n2=" + stranger.addr}
	list[0].peers.Round(t.Context())
	if n, _ := list[0].total(t); n != 1321 {
		t.Errorf("a stranger was believed: %d requests", n)
	}
	for _, b := range list {
		b.stop()
	}
	stranger.stop()
	for _, b := range append(list, stranger) {
		b.books.Close(t.Context())
	}
}

// Answers that are no answers, without end or too large do no harm, and /statement tells what the box holds.
func TestPeersThatAnswerBadly(t *testing.T) {
	n1, n2 := newBox(t, "n1", 1), newBox(t, "n2", 20)
	n2.join(t, "127.0.0.1:0", Options{})
	var mode atomic.Value
	mode.Store("")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch mode.Load() {
		case "garbage":
			io.WriteString(w, "\xff\xff\xff")
		case "redirect":
			http.Redirect(w, r, "http://"+n2.addr+r.URL.Path, http.StatusFound)
		case "large":
			w.Write(make([]byte, link.MaxAnswer+2))
		case "empty":
		case "cut":
			panic(http.ErrAbortHandler)
		case "n2's": // n3 hands out what n2 said of itself
			res, err := http.Get("http://" + n2.addr + r.URL.String())
			if err == nil {
				io.Copy(w, res.Body)
				res.Body.Close()
			}
		}
	})}
	go s.Serve(l)
	defer s.Close()
	n1.join(t, "127.0.0.1:0", Options{Options: link.Options{Boxes: []string{"n2=" + n2.addr, "n3=" + l.Addr().String()}}})
	for _, how := range []string{"garbage", "redirect", "large", "empty", "cut", "n2's"} {
		mode.Store(how)
		n1.peers.Round(t.Context())
		if n, _ := n1.total(t); n != 21 || n1.peers.silent["n2"] {
			t.Errorf("%s: %d requests", how, n)
		}
	}
	st, err := Statement(t.Context(), Options{Options: link.Options{Listen: n1.addr}}, "n1", "2026-11-15")
	if err != nil || st.Total.Used[ledger.Requests] != 21 || !slices.Contains(st.Why, "n3 has not closed the period") {
		t.Errorf("%+v, %v", st, err)
	}
	for path, want := range map[string]int{"/statement?period=x": 404, "/state?start=5": 404, "/x": 404} {
		res, err := http.Get("http://" + n1.addr + path)
		if err != nil || res.StatusCode != want {
			t.Errorf("%s: %v", path, err)
			continue
		}
		res.Body.Close()
	}
}
