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

// Dialer opens sessions for an app server. Its fields are set before the first Dial.
type Dialer struct {
	TLS   *tls.Config // nil = no TLS, on loopback
	Meter *Meter
	// Wrap wraps each connection below TLS, for measurements; nil = no wrapping.
	Wrap func(net.Conn) net.Conn
}

// ErrStatus means that a node has not accepted a session.
var ErrStatus = errors.New("the session was not accepted")

// Conn is the server's end of a stream. One goroutine may receive while another one sends; Close ends both.
type Conn struct {
	body      *io.PipeWriter // the body of the request
	in        messageReader
	response  io.Closer
	cancel    context.CancelFunc
	meter     *Meter
	closeOnce sync.Once

	mu     sync.Mutex
	socket net.Conn
	closed bool
}

// Dial connects to a node, and returns once the node has accepted the stream. The name is the one in the node's
// certificate. The context covers the attempt and the session: when it ends, the session is closed.
func (d *Dialer) Dial(ctx context.Context, node, addr string) (*Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, bodyWriter := io.Pipe()
	conn := &Conn{body: bodyWriter, cancel: cancel, meter: d.Meter}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url(addr), body)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("stream: %w", err)
	}
	response, err := d.transport(conn, node).RoundTrip(request)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("stream: %w", err)
	}
	conn.response = response.Body
	if response.StatusCode != http.StatusOK {
		conn.Close()
		return nil, fmt.Errorf("stream: %s answered with status %d: %w", node, response.StatusCode, ErrStatus)
	}
	conn.in = newMessageReader(response.Body)
	return conn, nil
}

func (d *Dialer) url(addr string) string {
	scheme := "http"
	if d.TLS != nil {
		scheme = "https"
	}
	return scheme + "://" + addr + Path
}

// transport returns the transport of one session, with a connection of its own.
func (d *Dialer) transport(conn *Conn, node string) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(d.TLS != nil)
	protocols.SetUnencryptedHTTP2(d.TLS == nil)
	transport := &http.Transport{Protocols: protocols, MaxResponseHeaderBytes: maxHeaderBytes, TLSHandshakeTimeout: handshakeTimeout, DisableCompression: true,
		HTTP2: &http.HTTP2Config{MaxReadFrameSize: maxFrameSize, MaxReceiveBufferPerStream: receiveBuffer,
			MaxReceiveBufferPerConnection: receiveBuffer, WriteByteTimeout: WriteTimeout},
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			socket, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if d.Wrap != nil {
				socket = d.Wrap(socket)
			}
			socket = d.Meter.Conn(socket)
			return socket, conn.setSocket(socket)
		}}
	if d.TLS != nil {
		transport.TLSClientConfig = d.TLS.Clone()
		transport.TLSClientConfig.ServerName = node
	}
	return transport
}

// setSocket registers a socket for Close. After Close it closes the socket at once.
func (c *Conn) setSocket(socket net.Conn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		socket.Close()
		return net.ErrClosed
	}
	c.socket = socket
	return nil
}

// Send writes a message. It may block for as long as the node reads nothing.
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

// Close ends the session without waiting for messages to be delivered. It is safe for concurrent use.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		c.body.CloseWithError(net.ErrClosed)
		c.cancel()
		if c.response != nil {
			c.response.Close()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		if c.socket != nil {
			c.socket.Close()
		}
	})
}
