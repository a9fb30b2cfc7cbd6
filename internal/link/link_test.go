package link_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"larchscale/internal/link"
	"larchscale/internal/scenario/certs"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// A handler identifies the caller by its certificate. A connection without TLS is refused and logged under one message
// that is the same for every peer.
func TestCallerIsIdentifiedByCertificate(t *testing.T) {
	dir := t.TempDir()
	_, _, ca := certs.New(t, dir, "ca", nil)
	options := func(name string) link.Options {
		certs.New(t, dir, name, ca)
		file := func(name string) string { return filepath.Join(dir, name) }
		return link.Options{Listen: "127.0.0.1:0", CA: file("ca.crt"), Cert: file(name + ".crt"), Key: file(name + ".key")}
	}
	var logged logBuffer
	server, err := link.New(options("n1"), slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := server.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(ctx, listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, r.TLS.PeerCertificates[0].DNSNames)
		}))
	}()
	defer func() {
		stop()
		<-served
	}()
	caller, err := link.New(options("n2"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	client := caller.Dial("n1", listener.Addr().String())
	defer client.Close()
	if text, err := client.Get(ctx, "/", nil); err != nil || string(text) != "[n2]" {
		t.Errorf("response %s, error %v", text, err)
	}
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	fmt.Fprint(raw, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	raw.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := raw.Read(make([]byte, 1)); err != nil { // an alert or net/http's answer to a client without TLS
		t.Logf("refused: %v", err)
	}
	for end := time.Now().Add(30 * time.Second); !strings.Contains(logged.String(), "msg=link do=serve"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("logged: %s", logged.String())
		}
	}
}
