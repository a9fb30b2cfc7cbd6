package stream

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"larchscale/internal/fleet/session"
)

// Dialer opens sessions: the side of an app server. Its fields are set before the first Dial.
type Dialer struct {
	TLS   *tls.Config // nil = without, on loopback
	Meter *Meter
	// Wrap wraps each connection below TLS, for measurements; nil = not.
	Wrap func(net.Conn) net.Conn
}

// ErrStatus is a node that does not accept a session.
var ErrStatus = errors.New("no session was accepted")

// Conn is the server's end of a stream. One goroutine may receive while another one sends; Close ends both.
type Conn struct {
	body   *io.PipeWriter // of the request
	in     messages
	answer io.Closer
	cancel context.CancelFunc
	meter  *Meter
	once   sync.Once

	mu     sync.Mutex
	socket net.Conn
	closed bool
}

// Dial connects to the node of a name at an address, and returns once the node has accepted the stream. The context
// bounds the attempt, and the session: once it ends the session is closed.
func (d *Dialer) Dial(ctx context.Context, node, addr string) (*Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, write := io.Pipe()
	conn := &Conn{body: write, cancel: cancel, meter: d.Meter}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url(addr), body)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("stream: %w", err)
	}
	answer, err := d.transport(conn, node).RoundTrip(request)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("stream: %w", err)
	}
	conn.answer = answer.Body
	if answer.StatusCode != http.StatusOK {
		conn.Close()
		return nil, fmt.Errorf("stream: %s answers %d: %w", node, answer.StatusCode, ErrStatus)
	}
	conn.in = newMessages(answer.Body)
	return conn, nil
}

func (d *Dialer) url(addr string) string {
	scheme := "http"
	if d.TLS != nil {
		scheme = "https"
	}
	return scheme + "://" + addr + Path
}

// transport makes what carries one session, on a connection of its own.
func (d *Dialer) transport(conn *Conn, node string) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(d.TLS != nil)
	protocols.SetUnencryptedHTTP2(d.TLS == nil)
	transport := &http.Transport{Protocols: protocols, MaxResponseHeaderBytes: maxHead, TLSHandshakeTimeout: handshakeWithin, DisableCompression: true,
		HTTP2: &http.HTTP2Config{MaxReadFrameSize: frameSize, MaxReceiveBufferPerStream: receiveBuffer,
			MaxReceiveBufferPerConnection: receiveBuffer, WriteByteTimeout: WriteWithin},
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			socket, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if d.Wrap != nil {
				socket = d.Wrap(socket)
			}
			socket = d.Meter.Conn(socket)
			return socket, conn.own(socket)
		}}
	if d.TLS != nil {
		transport.TLSClientConfig = d.TLS.Clone()
		transport.TLSClientConfig.ServerName = node
	}
	return transport
}

// own has Close close a socket; one that comes after it is closed at once.
func (c *Conn) own(socket net.Conn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		socket.Close()
		return net.ErrClosed
	}
	c.socket = socket
	return nil
}

// Send writes a message. It may block for as long as the node takes nothing.
func (c *Conn) Send(message *session.FromServer) error {
	data, err := encode(message)
	if err != nil {
		return err
	}
	if _, err = c.body.Write(data); err != nil {
		return err
	}
	c.meter.fromServer(message)
	return nil
}

// Receive waits for the next message.
func (c *Conn) Receive() (*session.FromNode, error) {
	message := new(session.FromNode)
	if err := c.in.next(message); err != nil {
		return nil, err
	}
	c.meter.fromNode(message)
	return message, nil
}

// Close ends the session. It does not wait for what was sent last, and is safe from any goroutine.
func (c *Conn) Close() {
	c.once.Do(func() {
		c.body.CloseWithError(net.ErrClosed)
		c.cancel()
		if c.answer != nil {
			c.answer.Close()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		if c.socket != nil {
			c.socket.Close()
		}
	})
}
