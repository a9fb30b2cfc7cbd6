// Package link is the way from box to box: one listener on which boxes that may talk serve each other over HTTP, and
// a client for each of them. Between machines both sides show certificates, whose name is the box's. It knows nothing
// of what is said.
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

// Options say where a box listens for others, and which there are.
type Options struct {
	Listen string   `toml:"listen"`
	Boxes  []string `toml:"boxes"` // "name=host:port"
	CA     string   `toml:"ca"`
	Cert   string   `toml:"cert"`
	Key    string   `toml:"key"`
	// Lines is how many connections each box has to each other, 0 = one.
	Lines int `toml:"-"`
}

const (
	maxBoxes  = limits.MaxMeshServers
	spare     = 8       // connections of others than the boxes: operators
	MaxAnswer = 1 << 20 // bytes that are read of one
	maxHead   = 8 << 10
	// Within is how long a box has for one request, and for its answer.
	Within = 5 * time.Second
)

// ErrAnswer is a box that answers with something else than asked for.
var ErrAnswer = errors.New("not an answer")

// ErrNotFound is a box that has nothing of what was asked for.
var ErrNotFound = fmt.Errorf("not found: %w", ErrAnswer)

// Box is another box, and how it is reached.
type Box struct{ Name, Addr string }

// Others are the boxes that the options name.
func (o *Options) Others() []Box {
	out := make([]Box, len(o.Boxes))
	for i, b := range o.Boxes {
		out[i].Name, out[i].Addr, _ = strings.Cut(b, "=")
	}
	return out
}

func (o *Options) lines() int { return max(1, o.Lines) }

// conns bounds the connections that others have to this box: their lines, one that ends while the next begins, and
// those of operators.
func (o *Options) conns() int { return (o.lines()+1)*len(o.Boxes) + spare }

// Sockets is how many descriptors the link may take, both ways; 0 = there is none.
func (o *Options) Sockets() int {
	if o.Listen == "" {
		return 0
	}
	return 1 + o.conns() + o.lines()*len(o.Boxes)
}

// Check finds what cannot be, naming the keys as those of a table.
func (o *Options) Check(table string) error {
	if o.Listen == "" {
		if len(o.Boxes) > 0 {
			return fmt.Errorf("%s.boxes needs %s.listen", table, table)
		}
		return nil
	}
	if len(o.Boxes) > maxBoxes {
		return fmt.Errorf("%s: %d boxes, %d at most", table, len(o.Boxes), maxBoxes)
	}
	bare := 0
	addrs := []string{o.Listen}
	for _, b := range o.Boxes {
		name, addr, ok := strings.Cut(b, "=")
		if !ok || name == "" {
			return fmt.Errorf("%s.boxes: %q is no name=host:port", table, b)
		}
		addrs = append(addrs, addr)
	}
	for _, a := range addrs {
		host, port, err := net.SplitHostPort(a)
		ip := net.ParseIP(host)
		if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || ip == nil {
			return fmt.Errorf("%s: %q is no address", table, a)
		}
		if ip.IsLoopback() {
			bare++
		}
	}
	switch set := o.CA != "" && o.Cert != "" && o.Key != ""; {
	case !set && o.CA+o.Cert+o.Key != "":
		return fmt.Errorf("%s: ca, cert and key go together", table)
	case !set && bare < len(addrs):
		return fmt.Errorf("%s: only mutual TLS leaves the machine: set ca, cert and key", table)
	case set:
		if _, err := o.TLS(); err != nil {
			return fmt.Errorf("%s.%w", table, err)
		}
	}
	return nil
}

// TLS returns the configuration of both sides, which show and ask for certificates; nil = without.
func (o *Options) TLS() (*tls.Config, error) {
	if o.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("ca: no certificate in %s", o.CA)
	}
	p, err := export.LoadPair(o.Cert, o.Key)
	if err != nil {
		return nil, fmt.Errorf("cert: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.Get() }}, nil
}

// Observer sees what passes over a link, for measurements. A function that is nil sees nothing.
type Observer struct {
	// Conn wraps each connection, accepted or dialled, below TLS.
	Conn func(net.Conn) net.Conn
	// Request is told of each request that the link is about to send.
	Request func(path string)
}

// Link is one box's side.
type Link struct {
	opt      Options
	tls      *tls.Config
	log      *slog.Logger
	observer Observer
}

// New makes a link.
func New(opt Options, log *slog.Logger) (*Link, error) {
	c, err := opt.TLS()
	if err != nil {
		return nil, err
	}
	return &Link{opt: opt, tls: c, log: log}, nil
}

// Observe has an observer see all that passes. It is called before Listen and Dial.
func (l *Link) Observe(o Observer) { l.observer = o }

// Listen opens the port on which other boxes ask, for Serve.
func (l *Link) Listen() (net.Listener, error) {
	in, err := net.Listen("tcp", l.opt.Listen)
	if err == nil && l.observer.Conn != nil {
		in = &observedListener{in, l.observer.Conn}
	}
	return in, err
}

// Serve answers on in until ctx ends. The connections open at a time are bounded. TLS is the outermost layer: a handler
// finds the certificate of who asks in Request.TLS.
func (l *Link) Serve(ctx context.Context, in net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: Within, ReadTimeout: Within, WriteTimeout: 2 * Within, IdleTimeout: time.Minute,
		MaxHeaderBytes: maxHead, ErrorLog: log.New(serverErrors{l.log}, "", 0)}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	in = Limit(in, l.opt.conns())
	if l.tls != nil {
		in = tls.NewListener(in, l.tls)
	}
	s.Serve(in)
}

// serverErrors logs what net/http has to say under one message: it names the peer's address and port, and a message of
// its own for each would never be held back as a repetition.
type serverErrors struct{ log *slog.Logger }

func (e serverErrors) Write(line []byte) (int, error) {
	e.log.Warn("link", "do", "serve", "err", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// Limit returns a listener that has at most so many connections open at a time; it closes further ones at once.
func Limit(in net.Listener, most int) net.Listener {
	return &limited{Listener: in, free: make(chan struct{}, most)}
}

// observedListener wraps the connections that it accepts.
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

// Client asks one box, on one connection.
type Client struct {
	http     *http.Client
	base     url.URL
	observer Observer
}

// Dial makes a client for a box: its certificate is its own, wherever it listens. Nothing is sent yet.
func (l *Link) Dial(name, addr string) *Client {
	t := &http.Transport{MaxConnsPerHost: 1, MaxResponseHeaderBytes: maxHead, Proxy: nil}
	if wrap := l.observer.Conn; wrap != nil {
		t.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, to)
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

// Get asks for path and reads the answer, within its bound.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	return c.ask(ctx, http.MethodGet, path, query, nil)
}

// Post sends a body to path and reads the answer, within its bound.
func (c *Client) Post(ctx context.Context, path string, body []byte) ([]byte, error) {
	return c.ask(ctx, http.MethodPost, path, nil, body)
}

func (c *Client) ask(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	u := c.base
	u.Path, u.RawQuery = path, query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
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
		return nil, fmt.Errorf("%s: status %d, %d bytes: %w", path, res.StatusCode, len(text), ErrAnswer)
	}
	return text, nil
}
