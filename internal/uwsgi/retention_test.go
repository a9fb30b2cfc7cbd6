package uwsgi_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/scenario"
	"larchscale/internal/sock"
	"larchscale/internal/uwsgi"
)

// pipeListener accepts the connections that dial makes, for a bubble.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener. The test ends the listener itself.
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

func (l *pipeListener) dial() net.Conn {
	mine, theirs := net.Pipe()
	l.conns <- theirs
	return mine
}

// Guards against connections that stay in memory after their end, as those of refused requests did (review case 1): at both
// fronts, whoever ends them and whatever came of what they carried.
func TestEndedConnectionsAreReleased(t *testing.T) {
	const (
		connections = 100
		limit       = 1 << 10 // bytes for each connection, of which the reader's buffer alone has 4 KiB or more
	)
	jsonrpcLine := func(i int, class, more string) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":%q,"params":{"rid":"%016x","t0":%d,"peer":1,"acct":"north","budget":4000,`+
			`"mem":24.5,"prio":0.9,"bytes":%q%s}}`+"\n", class, i, time.Now().UnixMilli(), strings.Repeat("QUJD", 600), more)
	}
	jsonrpcFront := func(site *core.Config, w *scenario.World) func(net.Conn, *sock.WriteQueue) {
		return jsonrpc.New(site, w.Core, slog.New(slog.DiscardHandler)).Handle
	}
	uwsgiFront := func(site *core.Config, w *scenario.World) func(net.Conn, *sock.WriteQueue) {
		return uwsgi.New(uwsgi.Defaults(), site, w.Core, slog.New(slog.DiscardHandler)).Handle
	}
	for name, way := range map[string]struct {
		front   func(*core.Config, *scenario.World) func(net.Conn, *sock.WriteQueue)
		text    func(i int) string // what the client sends
		answers bool               // the client waits for an answer
	}{
		"jsonrpc, served": {jsonrpcFront, func(i int) string { return jsonrpcLine(i, "quote", "") }, true},
		"jsonrpc, refused by the store": {jsonrpcFront, func(i int) string {
			return jsonrpcLine(i, "book", fmt.Sprintf(`,"token":"t%d"`, i))
		}, true},
		"jsonrpc, hung up": {jsonrpcFront, func(i int) string { return jsonrpcLine(i, "quote", "") }, false},
		"jsonrpc, withdrawn": {jsonrpcFront, func(i int) string {
			return jsonrpcLine(i, "quote", "") + `{"jsonrpc":"2.0","method":"withdraw","params":{"id":1}}` + "\n"
		}, false},
		"jsonrpc, not JSON":      {jsonrpcFront, func(int) string { return "x\n" }, false},
		"jsonrpc, half a line":   {jsonrpcFront, func(int) string { return `{"jsonrpc"` }, false},
		"jsonrpc, a deep check":  {jsonrpcFront, func(int) string { return `{"jsonrpc":"2.0","id":1,"method":"status","params":{"full":true}}` + "\n" }, false},
		"uwsgi, served":          {uwsgiFront, func(i int) string { return packet("/quote") }, true},
		"uwsgi, refused":         {uwsgiFront, func(i int) string { return packet("/book", token, fmt.Sprint("t", i)) }, true},
		"uwsgi, hung up":         {uwsgiFront, func(i int) string { return packet("/quote") }, false},
		"uwsgi, no packet":       {uwsgiFront, func(int) string { return "\x05\x00\x00\x00" }, true},
		"uwsgi, half a packet":   {uwsgiFront, func(int) string { return "\x00\x04" }, false},
		"uwsgi, a health check":  {uwsgiFront, func(int) string { return packet("/status") }, true},
		"uwsgi, an unknown path": {uwsgiFront, func(int) string { return packet("/none") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := scenario.Site()
				w := scenario.NewWorld(t, site, true, (*scenario.World).FullStore)
				w.Serve(ms)
				listener := &pipeListener{make(chan net.Conn)}
				server := sock.NewServer(listener, 64, &sock.Budget{PerPeer: 1 << 18, Total: 1 << 20}, way.front(&site, w))
				go server.Serve()
				defer server.Stop(time.Second)
				defer close(listener.conns)
				round := func(from int, wait time.Duration) uint64 {
					for i := from; i < from+connections; i++ {
						conn := listener.dial()
						go io.WriteString(conn, way.text(i))
						if way.answers {
							conn.Read(make([]byte, 1))
						}
						time.Sleep(ms)
						conn.Close()
						w.Discard()
					}
					time.Sleep(wait)
					return scenario.HeapInUse()
				}
				first := round(0, time.Minute)
				second := round(connections, 2*time.Second) // less than the time that a caller waits
				if grown := int(second) - int(first); grown > connections*limit {
					t.Errorf("%d bytes for each connection are left, at most %d are allowed", grown/connections, limit)
				}
			})
		})
	}
}
