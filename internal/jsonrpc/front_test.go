package jsonrpc_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/scenario"
)

const ms = time.Millisecond

// play runs a scenario with one balancer's connection.
func play(t *testing.T, f func(w *scenario.World, p *scenario.Peer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		dial := w.Front(jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler)).Handle)
		f(w, dial())
	})
}

// ask is a request line; more holds further params.
func ask(id int, method, rid, more string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":%q,"t0":%d,"peer":1,"acct":"north","budget":4000,`+
		`"mem":24.5,"prio":0.9,"bytes":"Ym9keQ=="%s}}`+"\n", id, method, rid, time.Now().UnixMilli(), more)
}

// What is no request gets an error where its id can be read, and the connection ends where not. Nothing of
// it runs.
func TestBadInput(t *testing.T) {
	good := strings.TrimSuffix(ask(1, "quote", "a", ""), "\n")
	for name, c := range map[string]struct {
		line string
		code int // 0 = the connection ends
	}{
		"no JSON":        {`{"id":1`, 0},
		"a batch":        {`[` + good + `]`, 0},
		"no id":          {strings.Replace(good, `"id":1,`, "", 1), 0},
		"oversize":       {strings.Repeat("x", 17<<10), 0},
		"no version":     {strings.Replace(good, `"2.0"`, `"1.0"`, 1), -32600},
		"no method":      {`{"jsonrpc":"2.0","id":1}`, -32600},
		"unknown class":  {strings.Replace(good, `"quote"`, `"walk"`, 1), -32601},
		"no params":      {`{"jsonrpc":"2.0","id":1,"method":"quote"}`, -32602},
		"rid with space": {strings.Replace(good, `"rid":"a"`, `"rid":"a b"`, 1), -32602},
		"no t0":          {strings.Replace(good, `"t0"`, `"t9"`, 1), -32602},
		"budget a word":  {strings.Replace(good, `4000`, `"x"`, 1), -32602},
		"mem of 0":       {strings.Replace(good, `24.5`, `0`, 1), -32602},
		"prio over 1":    {strings.Replace(good, `0.9`, `1.5`, 1), -32602},
		"no base64":      {strings.Replace(good, `Ym9keQ==`, `%`, 1), -32602},
		"large body":     {strings.Replace(good, `Ym9keQ==`, strings.Repeat("AAAA", 700), 1), -32602},
		"keyed, no key":  {strings.Replace(good, `"quote"`, `"book"`, 1), -32602},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *scenario.World, p *scenario.Peer) {
				p.Send(c.line, "\n")
				if c.code == 0 {
					if rest := p.Rest(); rest != "" {
						t.Errorf("answered %q", rest)
					}
				} else {
					p.Expect(fmt.Sprintf(`"id":1,"error":{"code":%d,`, c.code))
				}
				w.Expect(ms)
			})
		})
	}
}

// Answers come in any order, each with the free value; a result is the run's own, unchanged.
func TestAnswers(t *testing.T) {
	play(t, func(w *scenario.World, p *scenario.Peer) {
		p.Send(`{"jsonrpc":"2.0","id":9,"method":"status"}`, "\n")
		p.Expect(`^{"jsonrpc":"2.0","id":9,"result":{"up":true`)
		p.Send(ask(1, "quote", "a", ""), ask(2, "book", "b", `,"token":"k"`), ask(2, "quote", "c", ""), "\n")
		p.Expect(`"id":2,"error":{"code":-32600`)
		w.Expect(ms, "run b book body", "run a quote body")
		w.Send(core.PoolFinished{Handle: "b", End: control.OK, Body: []byte{0, 255, '"'}})
		p.Expect(`^{"jsonrpc":"2.0","id":2,"result":{"bytes":"AP8i","hint":0}}$`)
		w.Send(core.PoolFinished{Handle: "a", End: control.Errored})
		p.Expect(`^{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"the run failed","data":{"hint":0}}}$`)
	})
}

// A withdraw names the try or the id; then no answer is sent.
func TestWithdraw(t *testing.T) {
	for _, line := range []string{`"method":"withdraw","params":{"rid":"a"}`, `"method":"withdraw","params":{"id":1}`,
		`"method":"withdraw","id":1`} {
		play(t, func(w *scenario.World, p *scenario.Peer) {
			p.Send(ask(1, "quote", "a", ""))
			w.Expect(ms, "run a quote body")
			p.Send(`{"jsonrpc":"2.0",`, line, "}\n")
			w.Expect(ms, "stop a")
			w.Send(core.PoolFinished{Handle: "a", End: control.Stopped})
			p.Send(`{"jsonrpc":"2.0","id":2,"method":"status"}`, "\n")
			p.Expect(`^{"jsonrpc":"2.0","id":2`)
		})
	}
}

// On the notice to leave every connection is told, and what comes too late is refused with advice.
func TestDrain(t *testing.T) {
	play(t, func(w *scenario.World, p *scenario.Peer) {
		w.Expect(ms)
		w.Send(core.Drain{})
		p.Expect(`^{"jsonrpc":"2.0","method":"draining"}$`)
		w.Expect(2100*ms, "draining to c", "closed")
		p.Send(ask(1, "quote", "a", ""))
		p.Expect(`"id":1,"error":{"code":-32001,"message":"turned away","data":{"hint":1,"backoff":1000`)
		w.Expect(ms)
		<-w.Done
	})
}

// A balancer that does not read loses its connection; the others are served.
func TestASlowReaderHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		w.Serve(ms)
		dial := w.Front(jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler)).Handle)
		slow, quick := dial(), dial()
		slow.Send(ask(1, "quote", "a", ""))
		quick.Send(ask(1, "quote", "b", ""))
		quick.Expect(`"id":1,"result"`)
		time.Sleep(3 * time.Second)
		if rest := slow.Rest(); rest != "" {
			t.Errorf("read %q", rest)
		}
	})
}
