package stream_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/fleet/watch"
	"larchscale/internal/link"
	"larchscale/internal/scenario/certs"
)

// endpoint is a running server of a test.
type endpoint struct {
	addr  string
	meter *stream.Meter
}

// serve starts a server that handles each session with accept.
func serve(t *testing.T, options link.Options, silence time.Duration, accept func(*stream.Session)) endpoint {
	t.Helper()
	config, err := options.TLS()
	if err != nil {
		t.Fatal(err)
	}
	in, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	meter := &stream.Meter{}
	server := &stream.Server{TLS: config, ReadTimeout: silence, MaxSessions: 16, Meter: meter, Log: slog.New(slog.DiscardHandler), Accept: accept}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(ctx, in)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return endpoint{in.Addr().String(), meter}
}

// authority creates certificates for some names, and returns the link options for each.
func authority(t *testing.T, names ...string) map[string]link.Options {
	t.Helper()
	dir := t.TempDir()
	ca, _, root := certs.New(t, dir, "ca", nil)
	out := map[string]link.Options{}
	for _, name := range names {
		cert, key, _ := certs.New(t, dir, name, root)
		out[name] = link.Options{CA: ca, Cert: cert, Key: key}
	}
	return out
}

// echo answers each heartbeat with an acknowledgement and a batch of the same number.
func echo(s *stream.Session) {
	for {
		message, err := s.Receive()
		if err != nil {
			return
		}
		if message.Heartbeat == nil {
			continue
		}
		sequence := message.Heartbeat.Sequence
		batch := &watch.Batch{To: sequence, Updates: []watch.Update{{Revision: sequence, Key: "k", Value: bytes.Repeat([]byte("v"), 40<<10)}}}
		if s.Send(&session.FromNode{Ack: &session.Ack{Sequence: sequence}}) != nil || s.Send(&session.FromNode{Batch: batch}) != nil {
			return
		}
	}
}

func TestMessagesInBothDirections(t *testing.T) {
	options := authority(t, "c1", "app-1")
	for name, plain := range map[string]bool{"TLS": false, "without TLS on loopback": true} {
		t.Run(name, func(t *testing.T) {
			optionsOf := func(name string) link.Options {
				if plain {
					return link.Options{}
				}
				return options[name]
			}
			node := serve(t, optionsOf("c1"), time.Minute, echo)
			serverOptions := optionsOf("app-1")
			config, err := serverOptions.TLS()
			if err != nil {
				t.Fatal(err)
			}
			dialer := &stream.Dialer{TLS: config, Meter: &stream.Meter{}}
			conn, err := dialer.Dial(t.Context(), "c1", node.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for sequence := uint64(1); sequence <= 20; sequence++ {
				if err := conn.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: sequence}}); err != nil {
					t.Fatal(err)
				}
				ack, err := conn.Receive()
				if err != nil || ack.Ack == nil || ack.Ack.Sequence != sequence {
					t.Fatalf("message %d: %+v, %v", sequence, ack, err)
				}
				batch, err := conn.Receive()
				if err != nil || batch.Batch == nil || batch.Batch.To != sequence || len(batch.Batch.Updates[0].Value) != 40<<10 {
					t.Fatalf("message %d: %+v, %v", sequence, batch, err)
				}
			}
			if in := dialer.Meter.In(); in < 20*40<<10 || in > 20*41<<10 {
				t.Errorf("the client received %d bytes", in)
			}
			if out := node.meter.Out(); out < 20*40<<10 || out > 20*41<<10 {
				t.Errorf("the server sent %d bytes", out)
			}
			if out := dialer.Meter.Out(); out == 0 || out > 32<<10 {
				t.Errorf("the client sent %d bytes", out)
			}
		})
	}
}

// A server whose certificate has another name is detected, and so is a node, before any message is sent to it.
func TestCertificateNames(t *testing.T) {
	options := authority(t, "c1", "app-1")
	verified := make(chan [2]error, 1)
	node := serve(t, options["c1"], time.Minute, func(s *stream.Session) {
		verified <- [2]error{s.Verify("app-1"), s.Verify("app-2")}
	})
	serverOptions := options["app-1"]
	config, err := serverOptions.TLS()
	if err != nil {
		t.Fatal(err)
	}
	dialer := &stream.Dialer{TLS: config, Meter: &stream.Meter{}}
	conn, err := dialer.Dial(t.Context(), "c1", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if errs := <-verified; errs[0] != nil || errs[1] == nil {
		t.Errorf("own name: %v, another name: %v", errs[0], errs[1])
	}
	if _, err := dialer.Dial(t.Context(), "c2", node.addr); err == nil {
		t.Error("a node with the certificate of another one was accepted")
	}
	foreign := authority(t, "app-1")["app-1"]
	if config, err = foreign.TLS(); err != nil {
		t.Fatal(err)
	}
	config.RootCAs = dialer.TLS.RootCAs
	if _, err := (&stream.Dialer{TLS: config, Meter: &stream.Meter{}}).Dial(t.Context(), "c1", node.addr); err == nil {
		t.Error("a server with a certificate of another authority was accepted")
	}
}

// raw opens a stream without a Dialer, and returns the bodies of the request and of the response.
func raw(t *testing.T, addr string) (*io.PipeWriter, io.ReadCloser) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	body, bodyWriter := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+stream.Path, body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		bodyWriter.Close()
		response.Body.Close()
	})
	return bodyWriter, response.Body
}

// Malformed messages end their session: lengths over the limit, before the bytes are read, and content that is not
// CBOR of the expected type.
func TestMalformedMessageEndsSession(t *testing.T) {
	got := make(chan error, 1)
	node := serve(t, link.Options{}, time.Minute, func(s *stream.Session) {
		_, err := s.Receive()
		got <- err
	})
	for name, sent := range map[string]struct {
		bytes   string
		matches func(error) bool
	}{
		"too large":       {"\xff\xff\xff\xff\x0f", func(err error) bool { return errors.Is(err, stream.ErrTooLarge) }},
		"length too long": {strings.Repeat("\xff", 11), func(err error) bool { return err != nil }},
		"not CBOR":        {"\x03abc", func(err error) bool { return err != nil && strings.Contains(err.Error(), "cbor") }},
		"huge array":      {"\x05\x9a\xff\xff\xff\xff", func(err error) bool { return err != nil }},
		"wrong type":      {"\x04\xa1\x01\x61a", func(err error) bool { return err != nil && strings.Contains(err.Error(), "cbor") }},
	} {
		t.Run(name, func(t *testing.T) {
			in, _ := raw(t, node.addr)
			if _, err := in.Write([]byte(sent.bytes)); err != nil {
				t.Fatal(err)
			}
			if err := <-got; !sent.matches(err) {
				t.Errorf("ended with %v", err)
			}
		})
	}
	large := &session.FromServer{Hello: &session.Hello{Server: strings.Repeat("s", session.MaxMessage)}}
	conn, err := (&stream.Dialer{Meter: &stream.Meter{}}).Dial(t.Context(), "c1", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.Send(large); !errors.Is(err, stream.ErrTooLarge) {
		t.Errorf("message of more than %d bytes: %v", session.MaxMessage, err)
	}
}

// A session that sends nothing times out.
func TestSessionWithoutMessagesTimesOut(t *testing.T) {
	got := make(chan error, 1)
	node := serve(t, link.Options{}, 50*time.Millisecond, func(s *stream.Session) {
		_, err := s.Receive()
		got <- err
	})
	raw(t, node.addr)
	if err := <-got; err == nil {
		t.Error("a session without messages did not time out")
	}
}

// A write to a peer that reads nothing times out, and delays no other session.
func TestSlowReaderDelaysNoOtherSession(t *testing.T) {
	ended := make(chan error, 1)
	node := serve(t, link.Options{}, time.Minute, func(s *stream.Session) {
		message, err := s.Receive()
		if err != nil || message.Hello == nil || message.Hello.Server != "slow" {
			echo(s)
			return
		}
		for err == nil {
			err = s.Send(&session.FromNode{Batch: &watch.Batch{Updates: []watch.Update{{Value: bytes.Repeat([]byte("v"), 64<<10)}}}})
		}
		ended <- err
	})
	dialer := &stream.Dialer{Meter: &stream.Meter{}}
	slow, err := dialer.Dial(t.Context(), "c1", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if err := slow.Send(&session.FromServer{Hello: &session.Hello{Server: "slow"}}); err != nil {
		t.Fatal(err)
	}
	fast, err := dialer.Dial(t.Context(), "c1", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer fast.Close()
	if err := fast.Send(&session.FromServer{Hello: &session.Hello{Server: "fast"}}); err != nil {
		t.Fatal(err)
	}
	for sequence := uint64(1); ; sequence++ {
		if err := fast.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: sequence}}); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if _, err := fast.Receive(); err != nil {
				t.Fatal(err)
			}
		}
		select {
		case err := <-ended:
			if err == nil || sequence < 2 {
				t.Errorf("ended with %v after %d messages of the other session", err, sequence)
			}
			return
		default:
		}
	}
}
