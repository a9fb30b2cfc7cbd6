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

// endpoint is a server of the tests.
type endpoint struct {
	addr  string
	meter *stream.Meter
}

// serve starts a server that carries out each session with accept.
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
	server := &stream.Server{TLS: config, Silence: silence, MaxSessions: 16, Meter: meter, Log: slog.New(slog.DiscardHandler), Accept: accept}
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

// authority writes certificates of some names, and returns the options that use each.
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
		number := message.Heartbeat.Sequence
		batch := &watch.Batch{To: number, Updates: []watch.Update{{Revision: number, Key: "k", Value: bytes.Repeat([]byte("v"), 40<<10)}}}
		if s.Send(&session.FromNode{Ack: &session.Ack{Sequence: number}}) != nil || s.Send(&session.FromNode{Batch: batch}) != nil {
			return
		}
	}
}

func TestMessagesGoBothWays(t *testing.T) {
	options := authority(t, "c1", "app-1")
	for name, plain := range map[string]bool{"TLS": false, "without TLS on loopback": true} {
		t.Run(name, func(t *testing.T) {
			of := func(name string) link.Options {
				if plain {
					return link.Options{}
				}
				return options[name]
			}
			at := serve(t, of("c1"), time.Minute, echo)
			own := of("app-1")
			config, err := own.TLS()
			if err != nil {
				t.Fatal(err)
			}
			dialer := &stream.Dialer{TLS: config, Meter: &stream.Meter{}}
			conn, err := dialer.Dial(t.Context(), "c1", at.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for number := uint64(1); number <= 20; number++ {
				if err := conn.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: number}}); err != nil {
					t.Fatal(err)
				}
				ack, err := conn.Receive()
				if err != nil || ack.Ack == nil || ack.Ack.Sequence != number {
					t.Fatalf("message %d: %+v, %v", number, ack, err)
				}
				batch, err := conn.Receive()
				if err != nil || batch.Batch == nil || batch.Batch.To != number || len(batch.Batch.Updates[0].Value) != 40<<10 {
					t.Fatalf("message %d: %+v, %v", number, batch, err)
				}
			}
			if in := dialer.Meter.In(); in < 20*40<<10 || in > 20*41<<10 {
				t.Errorf("%d bytes came at the client", in)
			}
			if out := at.meter.Out(); out < 20*40<<10 || out > 20*41<<10 {
				t.Errorf("%d bytes left the server", out)
			}
			if out := dialer.Meter.Out(); out == 0 || out > 32<<10 {
				t.Errorf("%d bytes left the client", out)
			}
		})
	}
}

// A server under a name that its certificate does not have is told apart; so is a node, before anything is said to it.
func TestNamesOfCertificates(t *testing.T) {
	options := authority(t, "c1", "app-1")
	verified := make(chan [2]error, 1)
	at := serve(t, options["c1"], time.Minute, func(s *stream.Session) {
		verified <- [2]error{s.Verify("app-1"), s.Verify("app-2")}
	})
	own := options["app-1"]
	config, err := own.TLS()
	if err != nil {
		t.Fatal(err)
	}
	dialer := &stream.Dialer{TLS: config, Meter: &stream.Meter{}}
	conn, err := dialer.Dial(t.Context(), "c1", at.addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if errs := <-verified; errs[0] != nil || errs[1] == nil {
		t.Errorf("its own name: %v, another: %v", errs[0], errs[1])
	}
	if _, err := dialer.Dial(t.Context(), "c2", at.addr); err == nil {
		t.Error("a node with the certificate of another was taken")
	}
	stranger := authority(t, "app-1")["app-1"]
	if config, err = stranger.TLS(); err != nil {
		t.Fatal(err)
	}
	config.RootCAs = dialer.TLS.RootCAs
	if _, err := (&stream.Dialer{TLS: config, Meter: &stream.Meter{}}).Dial(t.Context(), "c1", at.addr); err == nil {
		t.Error("a server of another authority was taken")
	}
}

// raw opens a stream by hand, and returns the request's body and the answer's.
func raw(t *testing.T, addr string) (*io.PipeWriter, io.ReadCloser) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	body, write := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+stream.Path, body)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		write.Close()
		answer.Body.Close()
	})
	return write, answer.Body
}

// What is no message ends its session: a length past the bound before its bytes are read, and what is no CBOR.
func TestWhatIsNoMessageEndsTheSession(t *testing.T) {
	got := make(chan error, 1)
	at := serve(t, link.Options{}, time.Minute, func(s *stream.Session) {
		_, err := s.Receive()
		got <- err
	})
	for name, sent := range map[string]struct {
		bytes string
		is    func(error) bool
	}{
		"too large":     {"\xff\xff\xff\xff\x0f", func(err error) bool { return errors.Is(err, stream.ErrTooLarge) }},
		"no length":     {strings.Repeat("\xff", 11), func(err error) bool { return err != nil }},
		"no CBOR":       {"\x03abc", func(err error) bool { return err != nil && strings.Contains(err.Error(), "cbor") }},
		"a huge array":  {"\x05\x9a\xff\xff\xff\xff", func(err error) bool { return err != nil }},
		"another shape": {"\x04\xa1\x01\x61a", func(err error) bool { return err != nil && strings.Contains(err.Error(), "cbor") }},
	} {
		t.Run(name, func(t *testing.T) {
			in, _ := raw(t, at.addr)
			if _, err := in.Write([]byte(sent.bytes)); err != nil {
				t.Fatal(err)
			}
			if err := <-got; !sent.is(err) {
				t.Errorf("ended by %v", err)
			}
		})
	}
	large := &session.FromServer{Hello: &session.Hello{Server: strings.Repeat("s", session.MaxMessage)}}
	conn, err := (&stream.Dialer{Meter: &stream.Meter{}}).Dial(t.Context(), "c1", at.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.Send(large); !errors.Is(err, stream.ErrTooLarge) {
		t.Errorf("a message of %d bytes: %v", session.MaxMessage, err)
	}
}

// A session that sends nothing ends by its silence.
func TestSilenceEndsASession(t *testing.T) {
	got := make(chan error, 1)
	at := serve(t, link.Options{}, 50*time.Millisecond, func(s *stream.Session) {
		_, err := s.Receive()
		got <- err
	})
	raw(t, at.addr)
	if err := <-got; err == nil {
		t.Error("silence brought a message")
	}
}

// A reader that takes nothing is ended by the deadline of a write, and holds up no other session.
func TestASlowReaderHoldsUpNobody(t *testing.T) {
	ended := make(chan error, 1)
	at := serve(t, link.Options{}, time.Minute, func(s *stream.Session) {
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
	slow, err := dialer.Dial(t.Context(), "c1", at.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if err := slow.Send(&session.FromServer{Hello: &session.Hello{Server: "slow"}}); err != nil {
		t.Fatal(err)
	}
	brisk, err := dialer.Dial(t.Context(), "c1", at.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer brisk.Close()
	if err := brisk.Send(&session.FromServer{Hello: &session.Hello{Server: "brisk"}}); err != nil {
		t.Fatal(err)
	}
	for number := uint64(1); ; number++ {
		if err := brisk.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: number}}); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if _, err := brisk.Receive(); err != nil {
				t.Fatal(err)
			}
		}
		select {
		case err := <-ended:
			if err == nil || number < 2 {
				t.Errorf("ended by %v after %d messages of the other", err, number)
			}
			return
		default:
		}
	}
}
