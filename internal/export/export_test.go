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

// source is a Source with a few batches in memory.
type source struct {
	batches      [][]byte
	acknowledged int
	sealed       chan struct{}
	ackErr       error
}

func newSource(t *testing.T, n int) *source {
	t.Helper()
	c, err := ledger.NewCalendar("day", "Asia/Kolkata")
	if err != nil {
		t.Fatal(err)
	}
	b := ledger.NewBook("n1", ledger.ID{1}, ledger.Policy{Calendar: c, Keep: 1}, 1)
	s := &source{sealed: make(chan struct{}, 1)}
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
	if s.acknowledged == len(s.batches) {
		return nil, ledger.Sealed{}, nil
	}
	b := s.batches[s.acknowledged]
	return b, ledger.Sealed{Seq: uint64(s.acknowledged + 1), Hash: ledger.SumOf(b), Size: len(b)}, nil
}

func (s *source) Acknowledge(_ context.Context, batch ledger.Sealed) error {
	if s.ackErr != nil {
		return s.ackErr
	}
	s.acknowledged = int(batch.Seq)
	return nil
}

func (s *source) Sealed() <-chan struct{} { return s.sealed }

// script is a transport that answers each request with the next of its answers, then with good, and records the
// requests.
type script struct {
	answers []func(b *ledger.Batch, h ledger.Hash) *http.Response
	started time.Time
	times   []time.Duration
	bodies  [][]byte
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	s.times = append(s.times, time.Since(s.started))
	s.bodies = append(s.bodies, body)
	b, err := ledger.DecodeBatch(body)
	if err != nil {
		return nil, err
	}
	answer := good
	if len(s.times) <= len(s.answers) {
		answer = s.answers[len(s.times)-1]
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
	return response(200, bytes.NewReader(AcknowledgementBody(b, h)))
}

// endless is a response body that never ends.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Only an acknowledgement of this very batch is accepted; after any other response the same bytes are sent again, not
// before the time in Retry-After.
func TestOnlyMatchingAcknowledgementCounts(t *testing.T) {
	type answer = func(*ledger.Batch, ledger.Hash) *http.Response
	for name, tc := range map[string]struct {
		answer   answer
		minDelay time.Duration // minimum time until the next attempt
	}{
		"cut": {func(*ledger.Batch, ledger.Hash) *http.Response { return nil }, 0},
		"redirect": {func(b *ledger.Batch, h ledger.Hash) *http.Response {
			return response(302, bytes.NewReader(AcknowledgementBody(b, h)), "Location", "/x")
		}, 0},
		"500": {func(b *ledger.Batch, h ledger.Hash) *http.Response {
			return response(500, bytes.NewReader(AcknowledgementBody(b, h)))
		}, 0},
		"conflict": {func(b *ledger.Batch, h ledger.Hash) *http.Response {
			return response(409, bytes.NewReader(AcknowledgementBody(b, h)))
		}, 0},
		"garbage":      {func(*ledger.Batch, ledger.Hash) *http.Response { return response(200, strings.NewReader("ok")) }, 0},
		"empty":        {func(*ledger.Batch, ledger.Hash) *http.Response { return response(200, strings.NewReader("")) }, 0},
		"never ends":   {func(*ledger.Batch, ledger.Hash) *http.Response { return response(200, endless{}) }, 0},
		"other batch":  {func(b *ledger.Batch, h ledger.Hash) *http.Response { c := *b; c.Seq++; return good(&c, h) }, 0},
		"other hash":   {func(b *ledger.Batch, _ ledger.Hash) *http.Response { return good(b, ledger.Hash{}) }, 0},
		"other server": {func(b *ledger.Batch, h ledger.Hash) *http.Response { c := *b; c.Box = "n2"; return good(&c, h) }, 0},
		"seconds": {func(*ledger.Batch, ledger.Hash) *http.Response {
			return response(503, strings.NewReader(""), "Retry-After", "90")
		}, 90 * time.Second},
		"long delay": {func(*ledger.Batch, ledger.Hash) *http.Response {
			return response(503, strings.NewReader(""), "Retry-After", "999999")
		}, maxRetryAfter},
		"date": {func(*ledger.Batch, ledger.Hash) *http.Response {
			return response(429, strings.NewReader(""), "Retry-After", time.Now().Add(time.Minute).UTC().Format(http.TimeFormat))
		}, 59 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, transport := newSource(t, 2), &script{answers: []answer{tc.answer, tc.answer}, started: time.Now()}
				opt := Defaults()
				opt.URL = "http://127.0.0.1/"
				e, err := New(opt, s, transport, slog.New(slog.DiscardHandler))
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(t.Context())
				go e.Run(ctx)
				time.Sleep(3 * time.Hour)
				stop()
				synctest.Wait()
				if s.acknowledged != 2 || len(transport.bodies) != 4 || !bytes.Equal(transport.bodies[0], transport.bodies[1]) || !bytes.Equal(transport.bodies[1], transport.bodies[2]) || bytes.Equal(transport.bodies[2], transport.bodies[3]) {
					t.Fatalf("%d batches acknowledged after %d requests", s.acknowledged, len(transport.bodies))
				}
				for i := range 2 {
					if gap := transport.times[i+1] - transport.times[i]; gap < tc.minDelay || gap > tc.minDelay+time.Minute {
						t.Errorf("sent again after %v", gap)
					}
				}
			})
		})
	}
}

// If an acknowledgement cannot be recorded durably, the same bytes are sent again.
func TestAcknowledgementIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, transport := newSource(t, 1), &script{started: time.Now()}
		s.ackErr = errors.New("disk full")
		e, err := New(Defaults(), s, transport, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx := t.Context()
		e.sendNext(ctx)
		e.sendNext(ctx)
		s.ackErr = nil
		e.sendNext(ctx)
		if pause := e.sendNext(ctx); pause != idleInterval || len(transport.bodies) != 3 || !bytes.Equal(transport.bodies[0], transport.bodies[2]) {
			t.Errorf("%d requests, then a pause of %v", len(transport.bodies), pause)
		}
	})
}

// Both sides authenticate by certificates. A new client certificate in the file is used without a restart, and a
// collector with a certificate of another authority gets no batch.
func TestMutualTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	caFile, _, ca := certs.New(t, dir, "ca", nil)
	_, _, serverCert := certs.New(t, dir, "collector", ca)
	certFile, keyFile, _ := certs.New(t, dir, "n1", ca)
	pool := x509.NewCertPool()
	pool.AddCert(ca.Leaf)
	var serials []string
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serials = append(serials, fmt.Sprint(r.TLS.PeerCertificates[0].SerialNumber))
		body, _ := io.ReadAll(r.Body)
		b, err := ledger.DecodeBatch(body)
		if err != nil {
			t.Error(err)
			return
		}
		w.Write(AcknowledgementBody(b, ledger.SumOf(body)))
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
		e.sendNext(t.Context())
		e.client.CloseIdleConnections()
		if i == 0 {
			certs.New(t, dir, "n1", ca)
			os.Chtimes(certFile, time.Now(), time.Now().Add(time.Minute))
		}
	}
	if s.acknowledged != 2 || len(serials) != 2 || serials[0] == serials[1] {
		t.Errorf("%d batches acknowledged, certificates %v", s.acknowledged, serials)
	}
	otherFile, _, _ := certs.New(t, dir, "other", nil)
	opt.CA = otherFile
	e, err := New(opt, newSource(t, 1), nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.send(t.Context(), s.batches[0], ledger.Sealed{Seq: 1}); err == nil || len(serials) != 2 {
		t.Errorf("collector of another authority: %v", err)
	}
	e.client.CloseIdleConnections()
}
