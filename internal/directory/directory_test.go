package directory_test

import (
	"context"
	"log/slog"
	"testing"

	"larchscale/internal/directory"
	"larchscale/internal/scenario"
)

// Reports are calls of HTTP/1.1 on one connection, made anew when the directory closes it or fails.
func TestReports(t *testing.T) {
	stand := scenario.Listen(t)
	c := directory.New(stand.Addr, "n3", slog.New(slog.DiscardHandler))
	ctx, end := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	put := func(p *scenario.Peer, mode string) {
		t.Helper()
		p.Expect(`^PUT /dir/nodes/n3 HTTP/1.1$`)
		p.Expect(`^Content-Length: \d+$`)
		p.Expect(`^$`)
		p.Bytes(`{"mode":"` + mode + `"}`)
		p.Send("HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n")
	}
	c.Report(true)
	p := stand.Accept()
	put(p, "open")
	c.Report(false)
	put(p, "closed") // the same connection
	p.Close()
	c.Report(true)
	p = stand.Accept()
	p.Expect(`^PUT`)
	p.Send("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno")
	p = stand.Accept() // none is kept after an error, and the report is made again by itself
	put(p, "open")
	c.Report(true) // so is one that is not answered
	p.Expect(`open`)
	p = stand.Accept()
	put(p, "open")
	c.Report(false)
	put(p, "closed")
	next := scenario.Listen(t)
	c.Move(next.Addr) // the new directory is told at once
	put(next.Accept(), "closed")
	end()
	<-done
}
