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
	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/link"
	"larchscale/internal/scenario/certs"
)

var discardLog = slog.New(slog.DiscardHandler)

// testServer is one server with its ledger and its exchange.
type testServer struct {
	name   string
	ledger *ledgerstore.Store
	peers  *Peers
	addr   string
	stop   context.CancelFunc
}

// newTestServer starts the ledger of a server that has served n requests and sealed them.
func newTestServer(t *testing.T, name string, n int) *testServer {
	t.Helper()
	o := ledgerstore.Defaults()
	o.Dir, o.Period, o.ExportMs, o.WriteMs = "-", "day", 10, 5
	noon := time.Date(2026, 11, 15, 12, 0, 0, 0, time.UTC)
	began := time.Now()
	k, err := ledgerstore.Open(faultfs.New(1), o, ledgerstore.Config{Server: name, Stands: []string{"north"}, Classes: []string{"quote"},
		Wall: func() time.Time { return noon.Add(time.Since(began)) }}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	go k.Run()
	t.Cleanup(func() { k.Close(context.Background()) })
	b := &testServer{name: name, ledger: k}
	b.recordRequests(t, n)
	return b
}

// recordRequests records n requests and waits until they are sealed.
func (b *testServer) recordRequests(t *testing.T, n int) {
	t.Helper()
	was, err := b.ledger.Totals(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for range n {
		b.ledger.Record(core.Usage{Figures: ledger.Figures{1, 5}})
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		s, err := b.ledger.Totals(t.Context())
		if err != nil || time.Now().After(end) {
			t.Fatal("not sealed", err)
		}
		if s.Sealed[ledger.Requests] == was.Booked[ledger.Requests]+int64(n) {
			return
		}
	}
}

// join opens a server's port with its certificates.
func (b *testServer) join(t *testing.T, listen string, o Options) {
	t.Helper()
	o.Listen, o.EveryMs = listen, 1000
	peerLink, err := link.New(o.Options, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	b.peers = New(o, b.name, b.ledger, peerLink, discardLog)
	l, err := peerLink.Listen()
	if err != nil {
		t.Fatal(err)
	}
	b.addr = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go peerLink.Serve(ctx, l, b.peers)
	t.Cleanup(stop)
}

func (b *testServer) total(t *testing.T) (int64, []string) {
	t.Helper()
	own, states, err := b.ledger.PeriodStates(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	s, err := b.peers.table.Statement("2026-11-15", own, states, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s.Total.Used[ledger.Requests], s.Why
}

// Checks that three servers with certificates have the same statement after one round, that an unavailable server
// does not affect the others, and that a server with another name's certificate or one of another authority is not
// accepted.
func TestPeersOverTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	caFile, _, ca := certs.New(t, dir, "ca", nil)
	_, _, foreignCA := certs.New(t, dir, "otherca", nil)
	optionsFor := func(name string) Options {
		signer := ca
		if name == "stranger" {
			signer = foreignCA
		}
		cert, key, _ := certs.New(t, dir, name, signer)
		return Options{Options: link.Options{CA: caFile, Cert: cert, Key: key}}
	}
	servers := []*testServer{newTestServer(t, "n1", 1), newTestServer(t, "n2", 20), newTestServer(t, "n3", 300), newTestServer(t, "n4", 4000)}
	for _, server := range servers {
		certName := server.name
		if server == servers[3] {
			certName = "n9"
		}
		server.join(t, "127.0.0.1:0", optionsFor(certName))
	}
	for _, server := range servers[:3] {
		for _, other := range servers {
			if other != server {
				server.peers.options.Servers = append(server.peers.options.Servers, other.name+"="+other.addr)
			}
		}
		server.peers.AskAll(t.Context())
	}
	for _, server := range servers[:3] {
		if n, _ := server.total(t); n != 321 { // n4 presents a certificate of n9
			t.Errorf("%s: %d requests", server.name, n)
		}
		if !server.peers.unanswered["n4"] || server.peers.unanswered["n2"] {
			t.Errorf("%s: %v", server.name, server.peers.unanswered)
		}
	}
	servers[2].stop()
	servers[1].recordRequests(t, 1000)
	servers[0].peers.AskAll(t.Context())
	if n, _ := servers[0].total(t); n != 1321 || !servers[0].peers.unanswered["n3"] {
		t.Errorf("with n3 unavailable: %d requests", n)
	}
	stranger := newTestServer(t, "n2", 7)
	stranger.join(t, "127.0.0.1:0", optionsFor("stranger"))
	servers[0].peers.options.Servers = []string{"n2=" + stranger.addr}
	servers[0].peers.AskAll(t.Context())
	if n, _ := servers[0].total(t); n != 1321 {
		t.Errorf("a server of another authority was accepted: %d requests", n)
	}
	for _, server := range servers {
		server.stop()
	}
	stranger.stop()
	for _, server := range append(servers, stranger) {
		server.ledger.Close(t.Context())
	}
}

// Checks that invalid, incomplete and oversized answers have no effect, and that /statement returns what the server
// holds.
func TestInvalidPeerAnswers(t *testing.T) {
	n1, n2 := newTestServer(t, "n1", 1), newTestServer(t, "n2", 20)
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
		case "n2's": // n3 forwards what n2 reported about itself
			res, err := http.Get("http://" + n2.addr + r.URL.String())
			if err == nil {
				io.Copy(w, res.Body)
				res.Body.Close()
			}
		}
	})}
	go s.Serve(l)
	defer s.Close()
	n1.join(t, "127.0.0.1:0", Options{Options: link.Options{Servers: []string{"n2=" + n2.addr, "n3=" + l.Addr().String()}}})
	for _, answer := range []string{"garbage", "redirect", "large", "empty", "cut", "n2's"} {
		mode.Store(answer)
		n1.peers.AskAll(t.Context())
		if n, _ := n1.total(t); n != 21 || n1.peers.unanswered["n2"] {
			t.Errorf("%s: %d requests", answer, n)
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
