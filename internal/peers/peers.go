// Package peers lets boxes that may talk exchange what they have sealed, until each can state a period for the
// whole fleet. A box asks each peer for digests and fetches what differs; it believes a box only about itself.
// Between machines both sides show certificates, whose name is the box's.
package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"larchscale/internal/export"
	"larchscale/internal/ledger"
)

// Options are the operator's table [ledger.peers].
type Options struct {
	Listen  string   `toml:"listen"`
	Boxes   []string `toml:"boxes"` // "name=host:port"
	EveryMs int      `toml:"every_ms"`
	CA      string   `toml:"ca"`
	Cert    string   `toml:"cert"`
	Key     string   `toml:"key"`
}

const (
	maxBoxes  = 64
	maxAnswer = 1 << 20
	askWithin = 5 * time.Second
)

// Defaults are the options that a file need not name.
func Defaults() Options { return Options{EveryMs: 10_000} }

// Check finds what cannot be.
func (o *Options) Check() error {
	if o.Listen == "" {
		if len(o.Boxes) > 0 {
			return errors.New("ledger.peers.boxes needs ledger.peers.listen")
		}
		return nil
	}
	if len(o.Boxes) > maxBoxes || o.EveryMs < 10 || o.EveryMs > 3_600_000 {
		return fmt.Errorf("ledger.peers: %d boxes every %d ms; %d at most, 10 to 3600000 ms", len(o.Boxes), o.EveryMs, maxBoxes)
	}
	bare := 0
	addrs := []string{o.Listen}
	for _, b := range o.Boxes {
		name, addr, ok := strings.Cut(b, "=")
		if !ok || name == "" {
			return fmt.Errorf("ledger.peers.boxes: %q is no name=host:port", b)
		}
		addrs = append(addrs, addr)
	}
	for _, a := range addrs {
		host, port, err := net.SplitHostPort(a)
		ip := net.ParseIP(host)
		if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || ip == nil {
			return fmt.Errorf("ledger.peers: %q is no address", a)
		}
		if ip.IsLoopback() {
			bare++
		}
	}
	switch set := o.CA != "" && o.Cert != "" && o.Key != ""; {
	case !set && o.CA+o.Cert+o.Key != "":
		return errors.New("ledger.peers: ca, cert and key go together")
	case !set && bare < len(addrs):
		return errors.New("ledger.peers: only mutual TLS leaves the machine: set ca, cert and key")
	case set:
		_, err := o.tls()
		return err
	}
	return nil
}

// tls gives the configuration of both sides; nil = without.
func (o *Options) tls() (*tls.Config, error) {
	if o.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, fmt.Errorf("ledger.peers.ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("ledger.peers.ca: no certificate in %s", o.CA)
	}
	p, err := export.LoadPair(o.Cert, o.Key)
	if err != nil {
		return nil, fmt.Errorf("ledger.peers.cert: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.Get() }}, nil
}

// Book is the box's own ledger.
type Book interface {
	// PeriodStates gives what is sealed of each period.
	PeriodStates(ctx context.Context) ([]ledger.Digest, [][]byte, error)
}

// Peers is one box among others.
type Peers struct {
	opt    Options
	self   string
	book   Book
	log    *slog.Logger
	tls    *tls.Config
	mu     sync.Mutex
	table  *ledger.Peers
	silent map[string]bool // who did not answer the last time
}

// New makes the peers of box self.
func New(opt Options, self string, book Book, log *slog.Logger) (*Peers, error) {
	c, err := opt.tls()
	if err != nil {
		return nil, err
	}
	return &Peers{opt: opt, self: self, book: book, log: log, tls: c, table: ledger.NewPeers(self), silent: map[string]bool{}}, nil
}

// Listen opens the port on which peers ask.
func (p *Peers) Listen() (net.Listener, error) {
	l, err := net.Listen("tcp", p.opt.Listen)
	if err == nil && p.tls != nil {
		l = tls.NewListener(l, p.tls)
	}
	return l, err
}

// Serve answers peers on l until ctx ends.
func (p *Peers) Serve(ctx context.Context, l net.Listener) {
	s := &http.Server{Handler: p, ReadHeaderTimeout: askWithin, ReadTimeout: askWithin, WriteTimeout: 2 * askWithin, IdleTimeout: time.Minute,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelWarn)}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	s.Serve(&limited{Listener: l, free: make(chan struct{}, 2*maxBoxes)})
}

// limited bounds the connections that are open at a time; more are closed at once.
type limited struct {
	net.Listener
	free chan struct{}
}

type limitedConn struct {
	net.Conn
	once sync.Once
	free chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &limitedConn{Conn: c, free: l.free}, nil
		default:
			c.Close()
		}
	}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.free })
	return c.Conn.Close()
}

// ServeHTTP answers /digests, /state?start=MS and /statement?period=NAME.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	digests, states, err := p.book.PeriodStates(r.Context())
	if err != nil || r.Method != http.MethodGet {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/digests":
		p.mu.Lock()
		all := append(digests, p.table.Digests()...)
		p.mu.Unlock()
		w.Write(ledger.EncodeDigests(all))
	case "/state":
		i := slices.IndexFunc(digests, func(d ledger.Digest) bool { return strconv.FormatInt(d.Start, 10) == r.URL.Query().Get("start") })
		if i < 0 || states[i] == nil {
			http.NotFound(w, r)
			return
		}
		w.Write(states[i])
	case "/statement":
		p.mu.Lock()
		s, err := p.table.Statement(r.URL.Query().Get("period"), digests, states, p.boxes())
		p.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(s)
	default:
		http.NotFound(w, r)
	}
}

func (p *Peers) boxes() (names []string) {
	for _, b := range p.opt.Boxes {
		name, _, _ := strings.Cut(b, "=")
		names = append(names, name)
	}
	return names
}

// Run asks all peers, over and over, until ctx ends. One that does not answer stops none of the others.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Round(ctx)
		every := time.Duration(p.opt.EveryMs) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(every/2 + rand.N(every)): // boxes that start together spread
		}
	}
}

// Round asks each peer once, all at a time.
func (p *Peers) Round(ctx context.Context) {
	var all sync.WaitGroup
	for _, b := range p.opt.Boxes {
		name, addr, _ := strings.Cut(b, "=")
		all.Go(func() {
			err := p.ask(ctx, name, addr)
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil && !p.silent[name] && ctx.Err() == nil {
				p.log.Warn("ledger", "do", "peers", "peer", name, "err", err)
			}
			p.silent[name] = err != nil
		})
	}
	all.Wait()
}

// ask brings this box's table up to what a peer says of itself.
func (p *Peers) ask(ctx context.Context, name, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*askWithin)
	defer cancel()
	c := dial(p.tls, name, addr)
	defer c.close()
	get := func(path string, query url.Values) ([]byte, error) { return c.get(ctx, path, query) }
	text, err := get("/digests", nil)
	if err != nil {
		return err
	}
	list, err := ledger.DecodeDigests(text)
	if err != nil {
		return err
	}
	p.mu.Lock()
	fetch, err := p.table.Compare(name, list)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	for _, d := range fetch {
		state, err := get("/state", url.Values{"start": {strconv.FormatInt(d.Start, 10)}})
		if err != nil {
			return err
		}
		p.mu.Lock()
		err = p.table.Take(name, d, state)
		p.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// client asks one box.
type client struct {
	http *http.Client
	base url.URL
}

// dial makes a client for a box: its certificate is its own, wherever it listens.
func dial(c *tls.Config, name, addr string) *client {
	t := &http.Transport{MaxConnsPerHost: 1, MaxResponseHeaderBytes: 8 << 10, Proxy: nil}
	out := &client{base: url.URL{Scheme: "http", Host: addr}, http: &http.Client{Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	if c != nil {
		out.base.Scheme = "https"
		t.TLSClientConfig = c.Clone()
		t.TLSClientConfig.ServerName = name
	}
	return out
}

func (c *client) close() { c.http.CloseIdleConnections() }

// get reads one answer, within its bound.
func (c *client) get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	u := c.base
	u.Path, u.RawQuery = path, query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxAnswer || res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d, %d bytes: %w", path, res.StatusCode, len(text), ledger.ErrPeer)
	}
	return text, nil
}

// Statement asks the box self, by its own settings, for the fleet's statement of a period.
func Statement(ctx context.Context, opt Options, self, period string) (s ledger.Statement, err error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	t, err := opt.tls()
	if err != nil {
		return s, err
	}
	c := dial(t, self, opt.Listen)
	defer c.close()
	text, err := c.get(ctx, "/statement", url.Values{"period": {period}})
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}
