// Package export takes the ledger's batches to a collector by HTTP, one at a time and in order, until each is
// acknowledged. A batch is the same bytes however often it is sent, so that a collector that keeps batch
// identities gets every record once.
package export

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/tidwall/gjson"

	"larchscale/internal/ledger"
)

// Headers that name a batch to the collector, beside what its bytes say.
const (
	HeaderBox    = "Ledger-Box"
	HeaderLedger = "Ledger-Id"
	HeaderSeq    = "Ledger-Seq"
	HeaderHash   = "Ledger-Hash"
)

const (
	maxAnswer = 4 << 10
	maxWait   = time.Hour // that a collector may ask for
	idleAgain = time.Second
)

// Options are the operator's table [ledger.collector].
type Options struct {
	URL       string `toml:"url"`
	TimeoutMs int    `toml:"timeout_ms"`
	RetryMs   int    `toml:"retry_ms"`
	RetryMaxS int    `toml:"retry_max_s"`
	CA        string `toml:"ca"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

// Defaults are the options that a file need not name.
func Defaults() Options { return Options{TimeoutMs: 10_000, RetryMs: 500, RetryMaxS: 120} }

// Check finds what cannot be. Off the machine itself only TLS is spoken.
func (o *Options) Check() error {
	if o.URL == "" {
		return nil
	}
	u, err := url.Parse(o.URL)
	switch {
	case err != nil:
		return fmt.Errorf("ledger.collector.url: %w", err)
	case u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil || u.Fragment != "":
		return fmt.Errorf("ledger.collector.url: %q is no http or https address", o.URL)
	case u.Scheme == "http" && !loopback(u.Hostname()):
		return errors.New("ledger.collector.url: only https leaves the machine")
	case o.TimeoutMs < 100 || o.TimeoutMs > 300_000:
		return fmt.Errorf("ledger.collector.timeout_ms is %d, 100 to 300000", o.TimeoutMs)
	case o.RetryMs < 10 || o.RetryMs > 60_000:
		return fmt.Errorf("ledger.collector.retry_ms is %d, 10 to 60000", o.RetryMs)
	case o.RetryMaxS < 1 || o.RetryMaxS > 3600:
		return fmt.Errorf("ledger.collector.retry_max_s is %d, 1 to 3600", o.RetryMaxS)
	case (o.Cert == "") != (o.Key == ""):
		return errors.New("ledger.collector: cert and key go together")
	}
	_, err = o.tls()
	return err
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// tls reads the certificates. The client's own is read again when its file has changed.
func (o *Options) tls() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.CA != "" {
		pem, err := os.ReadFile(o.CA)
		if err != nil {
			return nil, fmt.Errorf("ledger.collector.ca: %w", err)
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("ledger.collector.ca: no certificate in %s", o.CA)
		}
	}
	if o.Cert != "" {
		p, err := LoadPair(o.Cert, o.Key)
		if err != nil {
			return nil, fmt.Errorf("ledger.collector.cert: %w", err)
		}
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.Get() }
	}
	return c, nil
}

// Pair is a certificate and its key in files.
type Pair struct {
	cert, key string
	mu        sync.Mutex
	read      time.Time // of the change that was read
	have      *tls.Certificate
}

// LoadPair reads a certificate and its key.
func LoadPair(cert, key string) (*Pair, error) {
	p := &Pair{cert: cert, key: key}
	_, err := p.Get()
	return p, err
}

// Get gives the certificate, read again when its file has changed.
func (p *Pair) Get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.cert)
	if err == nil && (p.have == nil || !info.ModTime().Equal(p.read)) {
		var c tls.Certificate
		if c, err = tls.LoadX509KeyPair(p.cert, p.key); err == nil {
			p.have, p.read = &c, info.ModTime()
		}
	}
	if p.have != nil { // a file that is being replaced does not end what works
		return p.have, nil
	}
	return nil, err
}

// Source is the ledger as the exporter sees it.
type Source interface {
	// Next gives the batch to send; nil bytes = there is none.
	Next(ctx context.Context) ([]byte, ledger.Sealed, error)
	// Acknowledge notes durably that the collector has a batch.
	Acknowledge(ctx context.Context, s ledger.Sealed) error
	// Sealed tells that Next may have a batch.
	Sealed() <-chan struct{}
}

// Exporter sends batches.
type Exporter struct {
	opt    Options
	source Source
	client *http.Client
	log    *slog.Logger
	wait   *backoff.ExponentialBackOff
}

// New makes an exporter. A transport of nil is the network.
func New(opt Options, source Source, transport http.RoundTripper, log *slog.Logger) (*Exporter, error) {
	if transport == nil {
		c, err := opt.tls()
		if err != nil {
			return nil, err
		}
		transport = &http.Transport{TLSClientConfig: c, MaxIdleConns: 1, MaxConnsPerHost: 1, IdleConnTimeout: 2 * time.Minute,
			MaxResponseHeaderBytes: 16 << 10, ResponseHeaderTimeout: time.Duration(opt.TimeoutMs) * time.Millisecond,
			DialContext: (&net.Dialer{Timeout: time.Duration(opt.TimeoutMs) * time.Millisecond}).DialContext, Proxy: nil}
	}
	e := &Exporter{opt: opt, source: source, log: log, wait: backoff.NewExponentialBackOff(),
		client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	e.wait.InitialInterval, e.wait.MaxInterval = time.Duration(opt.RetryMs)*time.Millisecond, time.Duration(opt.RetryMaxS)*time.Second
	e.wait.RandomizationFactor = 1 // full jitter: from 0 to twice the interval
	return e, nil
}

// Run sends until ctx ends.
func (e *Exporter) Run(ctx context.Context) {
	defer e.client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := e.once(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-e.more(pause):
		}
	}
}

// more wakes a rest, but not a pause after a failure.
func (e *Exporter) more(pause time.Duration) <-chan struct{} {
	if pause == idleAgain {
		return e.source.Sealed()
	}
	return nil
}

// once sends the next batch, if there is one, and gives the time until the next try.
func (e *Exporter) once(ctx context.Context) time.Duration {
	bytes, s, err := e.source.Next(ctx)
	if err == nil && bytes == nil {
		return idleAgain
	}
	var asked time.Duration
	if err == nil {
		if asked, err = e.send(ctx, bytes, s); err == nil {
			err = e.source.Acknowledge(ctx, s)
		}
	}
	if err == nil {
		e.wait.Reset()
		return 0
	}
	if ctx.Err() == nil {
		e.log.Warn("ledger", "do", "export", "seq", s.Seq, "err", err)
	}
	return max(e.wait.NextBackOff(), asked, time.Millisecond)
}

// ErrCollector is an answer that acknowledges nothing.
var ErrCollector = errors.New("not acknowledged")

// send sends a batch once. asked is how long the collector wants to be left alone. Only an answer that names
// this very batch counts.
func (e *Exporter) send(ctx context.Context, body []byte, s ledger.Sealed) (asked time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.opt.TimeoutMs)*time.Millisecond)
	defer cancel()
	b, err := ledger.DecodeBatch(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.opt.URL, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	h := req.Header
	h.Set("Content-Type", "application/cbor")
	h.Set(HeaderBox, url.QueryEscape(b.Box))
	h.Set(HeaderLedger, b.Ledger.String())
	h.Set(HeaderSeq, strconv.FormatUint(s.Seq, 10))
	h.Set(HeaderHash, s.Hash.String())
	res, err := e.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if asked = retryAfter(res.Header.Get("Retry-After"), time.Now()); err != nil {
		return asked, err
	}
	j := gjson.ParseBytes(text)
	if res.StatusCode != http.StatusOK || len(text) > maxAnswer || !gjson.ValidBytes(text) || j.Get("box").String() != b.Box ||
		j.Get("ledger").String() != b.Ledger.String() || j.Get("seq").Uint() != s.Seq || j.Get("hash").String() != s.Hash.String() {
		return asked, fmt.Errorf("%w: status %d, %d bytes", ErrCollector, res.StatusCode, len(text))
	}
	return 0, nil
}

// retryAfter reads the header of that name: seconds or a date, within maxWait.
func retryAfter(v string, now time.Time) time.Duration {
	if s, err := strconv.ParseUint(v, 10, 32); err == nil {
		return min(time.Duration(s)*time.Second, maxWait)
	}
	if t, err := http.ParseTime(v); err == nil {
		return min(max(0, t.Sub(now)), maxWait)
	}
	return 0
}

// Answer is what a collector answers to a batch that it has.
func Answer(b *ledger.Batch, hash ledger.Hash) []byte {
	text, err := json.Marshal(map[string]any{"box": b.Box, "ledger": b.Ledger, "seq": b.Seq, "hash": hash})
	if err != nil { // strings and a number
		panic(err)
	}
	return text
}
