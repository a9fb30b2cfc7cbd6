package stream

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"larchscale/internal/fleet/session"
	"larchscale/internal/link"
)

// Server accepts the sessions of a control node. Its fields are set before Serve.
type Server struct {
	TLS         *tls.Config   // nil = no TLS, on loopback
	ReadTimeout time.Duration // a session that sends nothing for so long ends
	MaxSessions int           // at a time; connections beyond these and SpareConns are closed at once
	Meter       *Meter
	Log         *slog.Logger
	// Accept handles one session, on a goroutine of its own. The session ends when it returns.
	Accept func(*Session)
}

// Session is the node's end of a stream. One goroutine may receive while another one sends.
type Session struct {
	request     *http.Request
	in          messageReader
	out         http.ResponseWriter
	control     *http.ResponseController
	readTimeout time.Duration
	meter       *Meter
	identity    *x509.Certificate // of the peer; nil = no TLS
}

// Serve accepts sessions on a listener until the context ends, which closes all open sessions.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(s.TLS != nil)
	protocols.SetUnencryptedHTTP2(s.TLS == nil)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, s.handle)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: handshakeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 2, MaxReadFrameSize: maxFrameSize, MaxReceiveBufferPerStream: receiveBuffer,
			MaxReceiveBufferPerConnection: receiveBuffer, WriteByteTimeout: WriteTimeout},
		ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug)}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	listener = meteredListener{link.LimitListener(listener, s.MaxSessions+SpareConns), s.Meter}
	if s.TLS == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = s.TLS.Clone()
	server.TLSConfig.NextProtos = []string{"h2"}
	return server.ServeTLS(listener, "", "") // the certificate is in the TLS configuration
}

// handle accepts one stream.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	accepted := &Session{request: r, in: newMessageReader(r.Body), out: w, control: http.NewResponseController(w), readTimeout: s.ReadTimeout, meter: s.Meter}
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		accepted.identity = r.TLS.PeerCertificates[0]
	}
	if err := accepted.control.Flush(); err != nil { // sends the header, so that the peer knows that it is connected
		return
	}
	s.Accept(accepted)
}

// Context returns a context that ends when the peer's stream has ended.
func (s *Session) Context() context.Context { return s.request.Context() }

// Verify checks that the peer's certificate contains the name of a server. Without TLS every name is accepted.
func (s *Session) Verify(server string) error {
	if s.identity == nil {
		return nil
	}
	if err := s.identity.VerifyHostname(server); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

// Receive waits for the next message. It fails after the time that Server.ReadTimeout sets.
func (s *Session) Receive() (*session.FromServer, error) {
	if err := s.control.SetReadDeadline(time.Now().Add(s.readTimeout)); err != nil {
		return nil, err
	}
	message := new(session.FromServer)
	if err := s.in.next(message); err != nil {
		return nil, err
	}
	s.meter.fromServer(message)
	return message, nil
}

// CloseRead ends a blocked Receive, and makes later ones fail. Server.Accept has to call it and to wait for the
// receiving goroutine before it returns: a stream must not be used after that.
func (s *Session) CloseRead() { s.control.SetReadDeadline(time.Unix(1, 0)) }

// Send writes a message. It fails if the write takes longer than WriteTimeout.
func (s *Session) Send(message *session.FromNode) error {
	data, err := encode(message)
	if err != nil {
		return err
	}
	if err := s.control.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	if _, err := s.out.Write(data); err != nil {
		return err
	}
	if err := s.control.Flush(); err != nil {
		return err
	}
	s.meter.fromNode(message)
	return nil
}
