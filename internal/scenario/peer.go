// Package scenario is the one test helper: send, expect, close, wait (an Expect waits). A Peer plays the other side of a
// socket by them, a World plays all other sides of a core without any socket.
package scenario

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// patience bounds every wait: it is reached only by a test that fails.
const patience = 10 * time.Second

// Peer is one end of a connection.
type Peer struct {
	t    testing.TB
	conn net.Conn
	in   *bufio.Reader
}

// Dial connects to a server under test.
func Dial(t testing.TB, addr string) *Peer {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		t.Fatal(err)
	}
	return peer(t, conn)
}

func peer(t testing.TB, conn net.Conn) *Peer {
	t.Cleanup(func() { conn.Close() })
	return &Peer{t, conn, bufio.NewReader(conn)}
}

// Stand is a server that the program under test connects to.
type Stand struct {
	t    testing.TB
	l    net.Listener
	Addr string
}

// Listen opens a stand-in server on loopback.
func Listen(t testing.TB) *Stand {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &Stand{t, l, l.Addr().String()}
}

// Listener gives the stand's listener to a server that accepts by itself.
func (s *Stand) Listener() net.Listener { return s.l }

// Accept takes the next connection.
func (s *Stand) Accept() *Peer {
	s.t.Helper()
	s.l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	conn, err := s.l.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	return peer(s.t, conn)
}

// Close refuses connections from now on.
func (s *Stand) Close() { s.l.Close() }

// Send writes lines or any bytes. The other side may hang up meanwhile: what it said shows at Expect or Rest.
func (p *Peer) Send(parts ...string) { io.WriteString(p.conn, strings.Join(parts, "")) }

// Write is Send for a test that wants to know whether the other side has hung up.
func (p *Peer) Write(text string) (int, error) { return io.WriteString(p.conn, text) }

// Expect reads up to a line that matches and gives its groups; lines before it are passed over.
func (p *Peer) Expect(pattern string) []string {
	p.t.Helper()
	want := regexp.MustCompile(pattern)
	var passed []string
	p.conn.SetReadDeadline(time.Now().Add(patience))
	for {
		line, err := p.in.ReadString('\n')
		if m := want.FindStringSubmatch(strings.TrimRight(line, "\r\n")); m != nil {
			return m
		}
		if passed = append(passed, line); err != nil {
			p.t.Fatalf("expected %q: %v after %q", pattern, err, passed)
		}
	}
}

// Bytes reads just want.
func (p *Peer) Bytes(want string) {
	p.t.Helper()
	p.conn.SetReadDeadline(time.Now().Add(patience))
	got := make([]byte, len(want))
	if _, err := io.ReadFull(p.in, got); err != nil || string(got) != want {
		p.t.Fatalf("expected %q: %q, %v", want, got, err)
	}
}

// Rest reads all up to the end of the connection.
func (p *Peer) Rest() string {
	p.t.Helper()
	p.conn.SetReadDeadline(time.Now().Add(patience))
	all, err := io.ReadAll(p.in)
	if err != nil {
		p.t.Fatalf("expected an end: %v after %q", err, all)
	}
	return string(all)
}

// Name tells the peers of a test apart: four hex digits.
func (p *Peer) Name() string { return fmt.Sprintf("%04x", p.conn.LocalAddr().(*net.TCPAddr).Port) }

// Addr is the server's address.
func (p *Peer) Addr() string { return p.conn.RemoteAddr().String() }

// Gone reads up to the end of the connection, which may be a reset.
func (p *Peer) Gone() {
	p.t.Helper()
	p.conn.SetReadDeadline(time.Now().Add(patience))
	if all, err := io.ReadAll(p.in); errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Fatalf("no end after %q", all)
	}
}

// HalfClose closes the writing half: what comes is still read.
func (p *Peer) HalfClose() {
	p.t.Helper()
	if err := p.conn.(*net.TCPConn).CloseWrite(); err != nil {
		p.t.Fatal(err)
	}
}

// Close hangs up.
func (p *Peer) Close() { p.conn.Close() }
