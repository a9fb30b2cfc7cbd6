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

// Server is the side of a control node. Its fields are set before Serve.
type Server struct {
	TLS         *tls.Config   // nil = without, on loopback
	Silence     time.Duration // a session that sends nothing for so long ends
	MaxSessions int           // at a time; connections beyond them and SpareConns are closed at once
	Meter       *Meter
	Log         *slog.Logger
	// Accept carries out one session, on a goroutine of its own. The session ends when it returns.
	Accept func(*Session)
}

// Session is the node's end of a stream. One goroutine may receive while another one sends.
type Session struct {
	request  *http.Request
	in       messages
	out      http.ResponseWriter
	control  *http.ResponseController
	silence  time.Duration
	meter    *Meter
	identity *x509.Certificate // of the peer; nil = no TLS
}

// Serve accepts sessions on a listener until the context ends. Sessions that are open then are cut.
func (s *Server) Serve(ctx context.Context, in net.Listener) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(s.TLS != nil)
	protocols.SetUnencryptedHTTP2(s.TLS == nil)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, s.handle)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: handshakeWithin, IdleTimeout: idleFor, MaxHeaderBytes: maxHead,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 2, MaxReadFrameSize: frameSize, MaxReceiveBufferPerStream: receiveBuffer,
			MaxReceiveBufferPerConnection: receiveBuffer, WriteByteTimeout: WriteWithin},
		ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug)}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	in = meteredListener{link.Limit(in, s.MaxSessions+SpareConns), s.Meter}
	if s.TLS == nil {
		return server.Serve(in)
	}
	server.TLSConfig = s.TLS.Clone()
	server.TLSConfig.NextProtos = []string{"h2"}
	return server.ServeTLS(in, "", "") // the certificate is the configuration's
}

// handle accepts one stream.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	opened := &Session{request: r, in: newMessages(r.Body), out: w, control: http.NewResponseController(w), silence: s.Silence, meter: s.Meter}
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		opened.identity = r.TLS.PeerCertificates[0]
	}
	if err := opened.control.Flush(); err != nil { // the head, so that the peer knows that it is connected
		return
	}
	s.Accept(opened)
}

// Context ends when the peer's stream is gone.
func (s *Session) Context() context.Context { return s.request.Context() }

// Verify checks that the peer's certificate names a server. Without TLS all names are taken.
func (s *Session) Verify(server string) error {
	if s.identity == nil {
		return nil
	}
	if err := s.identity.VerifyHostname(server); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

// Receive waits for the next message, for as long as silence may last.
func (s *Session) Receive() (*session.FromServer, error) {
	if err := s.control.SetReadDeadline(time.Now().Add(s.silence)); err != nil {
		return nil, err
	}
	message := new(session.FromServer)
	if err := s.in.next(message); err != nil {
		return nil, err
	}
	s.meter.fromServer(message)
	return message, nil
}

// CloseRead ends a Receive that waits, and has further ones fail. Whoever accepted the session calls it and waits for the
// goroutine that receives before it returns: a stream must not be used afterwards.
func (s *Session) CloseRead() { s.control.SetReadDeadline(time.Unix(1, 0)) }

// Send writes a message, for as long as a write may last.
func (s *Session) Send(message *session.FromNode) error {
	data, err := encode(message)
	if err != nil {
		return err
	}
	if err := s.control.SetWriteDeadline(time.Now().Add(WriteWithin)); err != nil {
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
