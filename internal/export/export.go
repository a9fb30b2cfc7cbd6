// Package export sends the ledger's batches to a collector over HTTP, one at a time and in order, and repeats each
// until it is acknowledged. A batch has the same bytes however often it is sent, so that a collector that keeps the
// identities of batches counts every record once.
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

// Headers that identify a batch, in addition to its own contents.
const (
	HeaderServer = "Ledger-Box"
	HeaderLedger = "Ledger-Id"
	HeaderSeq    = "Ledger-Seq"
	HeaderHash   = "Ledger-Hash"
)

const (
	maxResponse   = 4 << 10     // bytes
	maxRetryAfter = time.Hour   // that a collector may ask for with Retry-After
	idleInterval  = time.Second // between two looks for a batch
)

// Options is the table [ledger.collector] of the operator's file.
type Options struct {
	URL       string `toml:"url"`
	TimeoutMs int    `toml:"timeout_ms"`
	RetryMs   int    `toml:"retry_ms"`
	RetryMaxS int    `toml:"retry_max_s"`
	CA        string `toml:"ca"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

// Defaults returns the options that apply where the operator's file sets none.
func Defaults() Options { return Options{TimeoutMs: 10_000, RetryMs: 500, RetryMaxS: 120} }

// Check validates the options. Plain HTTP is allowed only to a loopback address.
func (o *Options) Check() error {
	if o.URL == "" {
		return nil
	}
	u, err := url.Parse(o.URL)
	switch {
	case err != nil:
		return fmt.Errorf("ledger.collector.url: %w", err)
	case u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil || u.Fragment != "":
		return fmt.Errorf("ledger.collector.url: %q is not an http or https address", o.URL)
	case u.Scheme == "http" && !isLoopback(u.Hostname()):
		return errors.New("ledger.collector.url: an address off this machine needs https")
	case o.TimeoutMs < 100 || o.TimeoutMs > 300_000:
		return fmt.Errorf("ledger.collector.timeout_ms is %d, must be 100 to 300000", o.TimeoutMs)
	case o.RetryMs < 10 || o.RetryMs > 60_000:
		return fmt.Errorf("ledger.collector.retry_ms is %d, must be 10 to 60000", o.RetryMs)
	case o.RetryMaxS < 1 || o.RetryMaxS > 3600:
		return fmt.Errorf("ledger.collector.retry_max_s is %d, must be 1 to 3600", o.RetryMaxS)
	case (o.Cert == "") != (o.Key == ""):
		return errors.New("ledger.collector: cert and key must be set together")
	}
	_, err = o.tls()
	return err
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// tls returns the TLS configuration. The client's certificate is reloaded when its file changes.
func (o *Options) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.CA != "" {
		pem, err := os.ReadFile(o.CA)
		if err != nil {
			return nil, fmt.Errorf("ledger.collector.ca: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("ledger.collector.ca: no certificate in %s", o.CA)
		}
	}
	if o.Cert != "" {
		pair, err := LoadKeyPair(o.Cert, o.Key)
		if err != nil {
			return nil, fmt.Errorf("ledger.collector.cert: %w", err)
		}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.Certificate() }
	}
	return config, nil
}

// KeyPair is a certificate and its key, reloaded when the certificate file changes.
type KeyPair struct {
	cert, key string
	mu        sync.Mutex
	modified  time.Time        // modification time of the loaded certificate file
	loaded    *tls.Certificate // the last one loaded
}

// LoadKeyPair loads a certificate and its key from files.
func LoadKeyPair(cert, key string) (*KeyPair, error) {
	p := &KeyPair{cert: cert, key: key}
	_, err := p.Certificate()
	return p, err
}

// Certificate returns the certificate, reloaded if its file has changed. If the reload fails, the last certificate stays in
// use.
func (p *KeyPair) Certificate() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.cert)
	if err == nil && (p.loaded == nil || !info.ModTime().Equal(p.modified)) {
		var c tls.Certificate
		if c, err = tls.LoadX509KeyPair(p.cert, p.key); err == nil {
			p.loaded, p.modified = &c, info.ModTime()
		}
	}
	if p.loaded != nil { // the files may be in the middle of a replacement
		return p.loaded, nil
	}
	return nil, err
}

// Source is the ledger that an exporter reads.
type Source interface {
	// Next returns the oldest batch that is not acknowledged; nil bytes if there is none.
	Next(ctx context.Context) ([]byte, ledger.Sealed, error)
	// Acknowledge records durably that the collector has a batch.
	Acknowledge(ctx context.Context, s ledger.Sealed) error
	// Sealed returns a channel that signals that Next may have a batch.
	Sealed() <-chan struct{}
}

// Exporter sends the batches of a source to the collector.
type Exporter struct {
	opt     Options
	source  Source
	client  *http.Client
	log     *slog.Logger
	backoff *backoff.ExponentialBackOff
}

// New returns an exporter. With a nil transport it uses the network.
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
	e := &Exporter{opt: opt, source: source, log: log, backoff: backoff.NewExponentialBackOff(),
		client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	e.backoff.InitialInterval, e.backoff.MaxInterval = time.Duration(opt.RetryMs)*time.Millisecond, time.Duration(opt.RetryMaxS)*time.Second
	e.backoff.RandomizationFactor = 1 // full jitter: from 0 to twice the interval
	return e, nil
}

// Run sends batches until ctx ends.
func (e *Exporter) Run(ctx context.Context) {
	defer e.client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := e.sendNext(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-e.wakeUp(pause):
		}
	}
}

// wakeUp returns the channel that cuts a pause short: that of a new batch while idle, none after a failure.
func (e *Exporter) wakeUp(pause time.Duration) <-chan struct{} {
	if pause == idleInterval {
		return e.source.Sealed()
	}
	return nil
}

// sendNext sends the next batch, if there is one, and returns the time until the next attempt.
func (e *Exporter) sendNext(ctx context.Context) time.Duration {
	bytes, s, err := e.source.Next(ctx)
	if err == nil && bytes == nil {
		return idleInterval
	}
	var retryDelay time.Duration
	if err == nil {
		if retryDelay, err = e.send(ctx, bytes, s); err == nil {
			err = e.source.Acknowledge(ctx, s)
		}
	}
	if err == nil {
		e.backoff.Reset()
		return 0
	}
	if ctx.Err() == nil {
		e.log.Warn("ledger", "do", "export", "seq", s.Seq, "err", err)
	}
	return max(e.backoff.NextBackOff(), retryDelay, time.Millisecond)
}

// ErrNotAcknowledged reports a response that does not acknowledge the batch.
var ErrNotAcknowledged = errors.New("not acknowledged")

// send sends a batch once. It succeeds only if the response names this very batch. retryDelay is the delay that the
// collector requests with Retry-After.
func (e *Exporter) send(ctx context.Context, body []byte, s ledger.Sealed) (retryDelay time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.opt.TimeoutMs)*time.Millisecond)
	defer cancel()
	batch, err := ledger.DecodeBatch(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.opt.URL, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	header := req.Header
	header.Set("Content-Type", "application/cbor")
	header.Set(HeaderServer, url.QueryEscape(batch.Box))
	header.Set(HeaderLedger, batch.Ledger.String())
	header.Set(HeaderSeq, strconv.FormatUint(s.Seq, 10))
	header.Set(HeaderHash, s.Hash.String())
	res, err := e.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponse+1))
	if retryDelay = retryAfter(res.Header.Get("Retry-After"), time.Now()); err != nil {
		return retryDelay, err
	}
	answer := gjson.ParseBytes(text)
	if res.StatusCode != http.StatusOK || len(text) > maxResponse || !gjson.ValidBytes(text) || answer.Get("box").String() != batch.Box ||
		answer.Get("ledger").String() != batch.Ledger.String() || answer.Get("seq").Uint() != s.Seq || answer.Get("hash").String() != s.Hash.String() {
		return retryDelay, fmt.Errorf("%w: status %d, %d bytes", ErrNotAcknowledged, res.StatusCode, len(text))
	}
	return 0, nil
}

// retryAfter parses a Retry-After header, seconds or a date, and bounds it by maxRetryAfter; 0 if there is none.
func retryAfter(v string, now time.Time) time.Duration {
	if s, err := strconv.ParseUint(v, 10, 32); err == nil {
		return min(time.Duration(s)*time.Second, maxRetryAfter)
	}
	if t, err := http.ParseTime(v); err == nil {
		return min(max(0, t.Sub(now)), maxRetryAfter)
	}
	return 0
}

// AcknowledgementBody returns the body of a response by which a collector acknowledges a batch.
func AcknowledgementBody(b *ledger.Batch, hash ledger.Hash) []byte {
	text, err := json.Marshal(map[string]any{"box": b.Box, "ledger": b.Ledger, "seq": b.Seq, "hash": hash})
	if err != nil { // cannot fail: strings and a number
		panic(err)
	}
	return text
}
