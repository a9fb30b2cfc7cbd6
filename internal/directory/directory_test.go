package directory_test

import (
	"context"
	"log/slog"
	"testing"

	"larchscale/internal/directory"
	"larchscale/internal/scenario"
)

// Checks that reports are HTTP/1.1 requests on one connection, which is opened again when the directory closes it or
// returns an error.
func TestReportsOnOneConnection(t *testing.T) {
	backend := scenario.Listen(t)
	c := directory.New(backend.Addr, "n3", slog.New(slog.DiscardHandler))
	ctx, end := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	put := func(peer *scenario.Peer, mode string) {
		t.Helper()
		peer.Expect(`^PUT /dir/nodes/n3 HTTP/1.1$`)
		peer.Expect(`^Content-Length: \d+$`)
		peer.Expect(`^$`)
		peer.Bytes(`{"mode":"` + mode + `"}`)
		peer.Send("HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n")
	}
	c.Report(true)
	peer := backend.Accept()
	put(peer, "open")
	c.Report(false)
	put(peer, "closed") // on the same connection
	peer.Close()
	c.Report(true)
	peer = backend.Accept()
	peer.Expect(`^PUT`)
	peer.Send("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno")
	peer = backend.Accept() // after an error the connection is closed and the report is repeated
	put(peer, "open")
	c.Report(true) // a report without an answer is repeated too
	peer.Expect(`open`)
	peer = backend.Accept()
	put(peer, "open")
	c.Report(false)
	put(peer, "closed")
	next := scenario.Listen(t)
	c.Move(next.Addr) // the new directory gets a report at once
	put(next.Accept(), "closed")
	end()
	<-done
}
