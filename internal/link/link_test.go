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

// lines is a log that can be read while it is written.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// A handler knows by its certificate who asks; what is no TLS is refused, and told under one message whoever it was.
func TestWhoAsks(t *testing.T) {
	dir := t.TempDir()
	_, _, ca := certs.New(t, dir, "ca", nil)
	options := func(name string) link.Options {
		certs.New(t, dir, name, ca)
		file := func(name string) string { return filepath.Join(dir, name) }
		return link.Options{Listen: "127.0.0.1:0", CA: file("ca.crt"), Cert: file(name + ".crt"), Key: file(name + ".key")}
	}
	var logged lines
	n1, err := link.New(options("n1"), slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	in, err := n1.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		n1.Serve(ctx, in, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, r.TLS.PeerCertificates[0].DNSNames)
		}))
	}()
	defer func() {
		stop()
		<-served
	}()
	n2, err := link.New(options("n2"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	client := n2.Dial("n1", in.Addr().String())
	defer client.Close()
	if text, err := client.Get(ctx, "/", nil); err != nil || string(text) != "[n2]" {
		t.Errorf("%s, %v", text, err)
	}
	raw, err := net.Dial("tcp", in.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	fmt.Fprint(raw, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	raw.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := raw.Read(make([]byte, 1)); err != nil { // an alert, or what net/http tells who speaks no TLS
		t.Logf("refused: %v", err)
	}
	for end := time.Now().Add(30 * time.Second); !strings.Contains(logged.String(), "msg=link do=serve"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("logged: %s", logged.String())
		}
	}
}
