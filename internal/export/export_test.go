package export

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"larchscale/internal/ledger"
	"larchscale/internal/scenario/certs"
)

// source is a ledger with a few batches.
type source struct {
	batches [][]byte
	acked   int
	wake    chan struct{}
	failAck error
}

func newSource(t *testing.T, n int) *source {
	t.Helper()
	c, err := ledger.NewCalendar("day", "Asia/Kolkata")
	if err != nil {
		t.Fatal(err)
	}
	b := ledger.NewBook("n1", ledger.ID{1}, ledger.Policy{Calendar: c, Keep: 1}, 1)
	s := &source{wake: make(chan struct{}, 1)}
	for range n {
		rec, bytes := b.ProposeSeal(1)
		if err := b.Apply(rec); err != nil {
			t.Fatal(err)
		}
		s.batches = append(s.batches, bytes)
	}
	return s
}

func (s *source) Next(context.Context) ([]byte, ledger.Sealed, error) {
	if s.acked == len(s.batches) {
		return nil, ledger.Sealed{}, nil
	}
	b := s.batches[s.acked]
	return b, ledger.Sealed{Seq: uint64(s.acked + 1), Hash: ledger.SumOf(b), Size: len(b)}, nil
}

func (s *source) Acknowledge(_ context.Context, x ledger.Sealed) error {
	if s.failAck != nil {
		return s.failAck
	}
	s.acked = int(x.Seq)
	return nil
}

func (s *source) Sealed() <-chan struct{} { return s.wake }

// script answers each sending by the next of its answers, and notes when it came.
type script struct {
	answers []func(b *ledger.Batch, h ledger.Hash) *http.Response
	began   time.Time
	at      []time.Duration
	bodies  [][]byte
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	s.at = append(s.at, time.Since(s.began))
	s.bodies = append(s.bodies, body)
	b, err := ledger.DecodeBatch(body)
	if err != nil {
		return nil, err
	}
	answer := good
	if len(s.at) <= len(s.answers) {
		answer = s.answers[len(s.at)-1]
	}
	if res := answer(b, ledger.SumOf(body)); res != nil {
		return res, nil
	}
	return nil, errors.New("cut")
}

func response(status int, body io.Reader, header ...string) *http.Response {
	h := http.Header{}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(body)}
}

func good(b *ledger.Batch, h ledger.Hash) *http.Response {
	return response(200, bytes.NewReader(Answer(b, h)))
}

// endless never ends its answer.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Whatever a collector answers, only the acknowledgement of this very batch counts, the bytes stay the same, and
// Retry-After is kept to.
func TestOnlyTheRightAnswerCounts(t *testing.T) {
	type answer = func(*ledger.Batch, ledger.Hash) *http.Response
	for name, x := range map[string]struct {
		answer answer
		least  time.Duration // until the next sending
	}{
		"cut": {func(*ledger.Batch, ledger.Hash) *http.Response { return nil }, 0},
		"redirect": {func(b *ledger.Batch, h ledger.Hash) *http.Response {
			return response(302, bytes.NewReader(Answer(b, h)), "Location", "/x")
		}, 0},
		"500": {func(b *ledger.Batch, h ledger.Hash) *http.Response {
			return response(500, bytes.NewReader(Answer(b, h)))
		}, 0},
		"conflict": {func(b *ledger.Batch, h ledger.Hash) *http.Response {
			return response(409, bytes.NewReader(Answer(b, h)))
		}, 0},
		"garbage":     {func(*ledger.Batch, ledger.Hash) *http.Response { return response(200, strings.NewReader("ok")) }, 0},
		"empty":       {func(*ledger.Batch, ledger.Hash) *http.Response { return response(200, strings.NewReader("")) }, 0},
		"never ends":  {func(*ledger.Batch, ledger.Hash) *http.Response { return response(200, endless{}) }, 0},
		"other batch": {func(b *ledger.Batch, h ledger.Hash) *http.Response { c := *b; c.Seq++; return good(&c, h) }, 0},
		"other hash":  {func(b *ledger.Batch, _ ledger.Hash) *http.Response { return good(b, ledger.Hash{}) }, 0},
		"other box":   {func(b *ledger.Batch, h ledger.Hash) *http.Response { c := *b; c.Box = "n2"; return good(&c, h) }, 0},
		"seconds": {func(*ledger.Batch, ledger.Hash) *http.Response {
			return response(503, strings.NewReader(""), "Retry-After", "90")
		}, 90 * time.Second},
		"too long": {func(*ledger.Batch, ledger.Hash) *http.Response {
			return response(503, strings.NewReader(""), "Retry-After", "999999")
		}, maxWait},
		"date": {func(*ledger.Batch, ledger.Hash) *http.Response {
			return response(429, strings.NewReader(""), "Retry-After", time.Now().Add(time.Minute).UTC().Format(http.TimeFormat))
		}, 59 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, sc := newSource(t, 2), &script{answers: []answer{x.answer, x.answer}, began: time.Now()}
				opt := Defaults()
				opt.URL = "http://127.0.0.1/"
				e, err := New(opt, s, sc, slog.New(slog.DiscardHandler))
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(t.Context())
				go e.Run(ctx)
				time.Sleep(3 * time.Hour)
				stop()
				synctest.Wait()
				if s.acked != 2 || len(sc.bodies) != 4 || !bytes.Equal(sc.bodies[0], sc.bodies[1]) || !bytes.Equal(sc.bodies[1], sc.bodies[2]) || bytes.Equal(sc.bodies[2], sc.bodies[3]) {
					t.Fatalf("%d acknowledged after %d sendings", s.acked, len(sc.bodies))
				}
				for i := range 2 {
					if gap := sc.at[i+1] - sc.at[i]; gap < x.least || gap > x.least+time.Minute {
						t.Errorf("sent again after %v", gap)
					}
				}
			})
		})
	}
}

// An acknowledgement that cannot be noted is no acknowledgement: the same bytes go again.
func TestAcknowledgementIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, sc := newSource(t, 1), &script{began: time.Now()}
		s.failAck = errors.New("disk full")
		e, err := New(Defaults(), s, sc, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx := t.Context()
		e.once(ctx)
		e.once(ctx)
		s.failAck = nil
		e.once(ctx)
		if pause := e.once(ctx); pause != idleAgain || len(sc.bodies) != 3 || !bytes.Equal(sc.bodies[0], sc.bodies[2]) {
			t.Errorf("%d sendings, then a pause of %v", len(sc.bodies), pause)
		}
	})
}

// Both sides show certificates; a new one in the file is used without a restart, and a collector of another
// authority gets nothing.
func TestMutualTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	caFile, _, ca := certs.New(t, dir, "ca", nil)
	_, _, serverCert := certs.New(t, dir, "collector", ca)
	certFile, keyFile, _ := certs.New(t, dir, "n1", ca)
	pool := x509.NewCertPool()
	pool.AddCert(ca.Leaf)
	var names []string
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		names = append(names, fmt.Sprint(r.TLS.PeerCertificates[0].SerialNumber))
		body, _ := io.ReadAll(r.Body)
		b, err := ledger.DecodeBatch(body)
		if err != nil {
			t.Error(err)
			return
		}
		w.Write(Answer(b, ledger.SumOf(body)))
	}))
	server.TLS = &tls.Config{Certificates: []tls.Certificate{*serverCert}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.StartTLS()
	defer server.Close()
	opt := Defaults()
	opt.URL, opt.CA, opt.Cert, opt.Key = server.URL, caFile, certFile, keyFile
	if err := opt.Check(); err != nil {
		t.Fatal(err)
	}
	s := newSource(t, 2)
	for i := range 2 {
		e, err := New(opt, s, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		e.once(t.Context())
		e.client.CloseIdleConnections()
		if i == 0 {
			certs.New(t, dir, "n1", ca)
			os.Chtimes(certFile, time.Now(), time.Now().Add(time.Minute))
		}
	}
	if s.acked != 2 || len(names) != 2 || names[0] == names[1] {
		t.Errorf("%d acknowledged, shown: %v", s.acked, names)
	}
	otherFile, _, _ := certs.New(t, dir, "other", nil)
	opt.CA = otherFile
	e, err := New(opt, newSource(t, 1), nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.send(t.Context(), s.batches[0], ledger.Sealed{Seq: 1}); err == nil || len(names) != 2 {
		t.Errorf("another authority's collector: %v", err)
	}
	e.client.CloseIdleConnections()
}
