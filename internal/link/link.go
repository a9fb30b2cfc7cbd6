// Package link connects the servers of a fleet over HTTP: one listener on which a server answers the others, and a
// client for each of them. Between machines both sides authenticate by certificates that carry the server's name. The
// package does not interpret the messages.
package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"larchscale/internal/export"
	"larchscale/internal/fleet/limits"
)

// Options configure where a server listens for the others and which others there are.
type Options struct {
	Listen  string   `toml:"listen"`
	Servers []string `toml:"boxes"` // "name=host:port"
	CA      string   `toml:"ca"`
	Cert    string   `toml:"cert"`
	Key     string   `toml:"key"`
	// ConnsPerServer is the number of connections that each server has to each other one; 0 means one.
	ConnsPerServer int `toml:"-"`
}

const (
	maxBoxes       = limits.MaxMeshServers
	operatorConns  = 8       // connections for operators, beside those of the servers
	MaxAnswer      = 1 << 20 // bytes of a response
	maxHeaderBytes = 8 << 10 // bytes of the headers
	// RequestTimeout bounds the time to read a request and, at callers, the wait for a response.
	RequestTimeout = 5 * time.Second
)

// ErrUnexpectedResponse reports a response that is too long or whose status is not 200.
var ErrUnexpectedResponse = errors.New("unexpected response")

// ErrNotFound reports a response of status 404: the server does not have what was asked for.
var ErrNotFound = fmt.Errorf("not found: %w", ErrUnexpectedResponse)

// Peer is another server and the address on which it listens.
type Peer struct{ Name, Addr string }

// Peers returns the servers that the options name.
func (o *Options) Peers() []Peer {
	out := make([]Peer, len(o.Servers))
	for i, b := range o.Servers {
		out[i].Name, out[i].Addr, _ = strings.Cut(b, "=")
	}
	return out
}

func (o *Options) connsPerServer() int { return max(1, o.ConnsPerServer) }

// maxConns bounds the connections that others have to this server: those of each server, one more of each that is
// closing while the next one opens, and those of operators.
func (o *Options) maxConns() int { return (o.connsPerServer()+1)*len(o.Servers) + operatorConns }

// Descriptors returns how many descriptors the link may use in both directions; 0 if it is off.
func (o *Options) Descriptors() int {
	if o.Listen == "" {
		return 0
	}
	return 1 + o.maxConns() + o.connsPerServer()*len(o.Servers)
}

// Check validates the options. Its errors name the keys as those of table.
func (o *Options) Check(table string) error {
	if o.Listen == "" {
		if len(o.Servers) > 0 {
			return fmt.Errorf("%s.boxes needs %s.listen", table, table)
		}
		return nil
	}
	if len(o.Servers) > maxBoxes {
		return fmt.Errorf("%s.boxes: %d servers, at most %d", table, len(o.Servers), maxBoxes)
	}
	loopbackCount := 0
	addrs := []string{o.Listen}
	for _, b := range o.Servers {
		name, addr, found := strings.Cut(b, "=")
		if !found || name == "" {
			return fmt.Errorf("%s.boxes: %q is not name=host:port", table, b)
		}
		addrs = append(addrs, addr)
	}
	for _, a := range addrs {
		host, port, err := net.SplitHostPort(a)
		ip := net.ParseIP(host)
		if _, badPort := strconv.ParseUint(port, 10, 16); err != nil || badPort != nil || ip == nil {
			return fmt.Errorf("%s: %q is not an IP address and port", table, a)
		}
		if ip.IsLoopback() {
			loopbackCount++
		}
	}
	switch tlsSet := o.CA != "" && o.Cert != "" && o.Key != ""; {
	case !tlsSet && o.CA+o.Cert+o.Key != "":
		return fmt.Errorf("%s: ca, cert and key must be set together", table)
	case !tlsSet && loopbackCount < len(addrs):
		return fmt.Errorf("%s: addresses off this machine need mutual TLS: set ca, cert and key", table)
	case tlsSet:
		if _, err := o.TLS(); err != nil {
			return fmt.Errorf("%s.%w", table, err)
		}
	}
	return nil
}

// TLS returns the mutual TLS configuration of both sides; nil without TLS.
func (o *Options) TLS() (*tls.Config, error) {
	if o.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("ca: no certificate in %s", o.CA)
	}
	pair, err := export.LoadKeyPair(o.Cert, o.Key)
	if err != nil {
		return nil, fmt.Errorf("cert: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.Certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.Certificate() }}, nil
}

// Observer holds hooks on the traffic of a link, for measurements. Either may be nil.
type Observer struct {
	// Conn wraps each connection, accepted or dialed, below TLS.
	Conn func(net.Conn) net.Conn
	// Request is called before each request that the link sends.
	Request func(path string)
}

// Link is one server's side: it serves the other servers and makes clients for them.
type Link struct {
	opt      Options
	tls      *tls.Config
	log      *slog.Logger
	observer Observer
}

// New returns a link, or an error if the certificates cannot be read.
func New(opt Options, log *slog.Logger) (*Link, error) {
	c, err := opt.TLS()
	if err != nil {
		return nil, err
	}
	return &Link{opt: opt, tls: c, log: log}, nil
}

// Observe sets the observer. It must be called before Listen and Dial.
func (l *Link) Observe(o Observer) { l.observer = o }

// Listen opens the listener for Serve.
func (l *Link) Listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", l.opt.Listen)
	if err == nil && l.observer.Conn != nil {
		listener = &observedListener{listener, l.observer.Conn}
	}
	return listener, err
}

// Serve serves h on listener until ctx ends, on a bounded number of connections. TLS is the outermost layer: a handler
// finds the caller's certificate in Request.TLS.
func (l *Link) Serve(ctx context.Context, listener net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: RequestTimeout, ReadTimeout: RequestTimeout, WriteTimeout: 2 * RequestTimeout, IdleTimeout: time.Minute,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(serverErrors{l.log}, "", 0)}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	listener = LimitListener(listener, l.opt.maxConns())
	if l.tls != nil {
		listener = tls.NewListener(listener, l.tls)
	}
	s.Serve(listener)
}

// serverErrors logs the errors of net/http under one message. Their texts name the peer's address and port: as messages
// they would all differ, and the log's rate limit per message would never apply.
type serverErrors struct{ log *slog.Logger }

func (e serverErrors) Write(line []byte) (int, error) {
	e.log.Warn("link", "do", "serve", "err", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// LimitListener returns a listener that keeps at most limit connections open and closes further ones at once.
func LimitListener(inner net.Listener, limit int) net.Listener {
	return &limitListener{Listener: inner, slots: make(chan struct{}, limit)}
}

// observedListener passes the connections that it accepts through wrap.
type observedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *observedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// limitListener bounds the connections that are open at a time.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			c.Close()
		}
	}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// Client sends requests to one server over one connection.
type Client struct {
	http     *http.Client
	base     url.URL
	observer Observer
}

// Dial returns a client for the server name at addr, whose certificate must carry that name. It does not connect yet.
func (l *Link) Dial(name, addr string) *Client {
	t := &http.Transport{MaxConnsPerHost: 1, MaxResponseHeaderBytes: maxHeaderBytes, Proxy: nil}
	if wrap := l.observer.Conn; wrap != nil {
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return wrap(c), nil
		}
	}
	out := &Client{observer: l.observer, base: url.URL{Scheme: "http", Host: addr}, http: &http.Client{Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	if l.tls != nil {
		out.base.Scheme = "https"
		t.TLSClientConfig = l.tls.Clone()
		t.TLSClientConfig.ServerName = name
	}
	return out
}

// Close closes the client's connection once it is idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get requests path and returns the response body, of at most MaxAnswer bytes.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, query, nil)
}

// Post sends body to path and returns the response body, of at most MaxAnswer bytes.
func (c *Client) Post(ctx context.Context, path string, body []byte) ([]byte, error) {
	return c.do(ctx, http.MethodPost, path, nil, body)
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	target := c.base
	target.Path, target.RawQuery = path, query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.observer.Request != nil {
		c.observer.Request(path)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswer+1))
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%s: %w", path, ErrNotFound)
	}
	if len(text) > MaxAnswer || res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d, %d bytes: %w", path, res.StatusCode, len(text), ErrUnexpectedResponse)
	}
	return text, nil
}
