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

// runScenario runs f in a synctest bubble with a core and one balancer's connection.
func runScenario(t *testing.T, f func(w *scenario.World, p *scenario.Peer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		dial := w.Front(jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler)).Handle)
		f(w, dial())
	})
}

// requestLine returns a request line; more holds further params.
func requestLine(id int, method, rid, more string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016s","t0":%d,"peer":1,"acct":"north","budget":4000,`+
		`"mem":24.5,"prio":0.9,"bytes":"Ym9keQ=="%s}}`+"\n", id, method, rid, time.Now().UnixMilli(), more)
}

// An invalid message gets an error response if its id can be read; otherwise the connection is just closed. Nothing
// runs.
func TestBadInput(t *testing.T) {
	good := strings.TrimSuffix(requestLine(1, "quote", "a", ""), "\n")
	for name, c := range map[string]struct {
		line string
		code int // 0 if the connection is closed without an answer
	}{
		"no JSON":        {`{"id":1`, 0},
		"a batch":        {`[` + good + `]`, 0},
		"no id":          {strings.Replace(good, `"id":1,`, "", 1), 0},
		"oversize":       {strings.Repeat("x", 17<<10), 0},
		"no version":     {strings.Replace(good, `"2.0"`, `"1.0"`, 1), -32600},
		"no method":      {`{"jsonrpc":"2.0","id":1}`, -32600},
		"unknown class":  {strings.Replace(good, `"quote"`, `"walk"`, 1), -32601},
		"no params":      {`{"jsonrpc":"2.0","id":1,"method":"quote"}`, -32602},
		"rid no hex":     {strings.Replace(good, `"rid":"0`, `"rid":"x`, 1), -32602},
		"a short rid":    {strings.Replace(good, `"rid":"0`, `"rid":"`, 1), -32602},
		"id a string":    {strings.Replace(good, `"id":1,`, `"id":"1",`, 1), -32600},
		"id of 0":        {strings.Replace(good, `"id":1,`, `"id":0,`, 1), -32600},
		"id a fraction":  {strings.Replace(good, `"id":1,`, `"id":1.5,`, 1), -32600},
		"old t0":         {strings.Replace(good, `"t0":`, `"t0":1,"t9":`, 1), -32602},
		"t0 to come":     {strings.Replace(good, `"t0":`, `"t0":9`, 1), -32602},
		"no peer":        {strings.Replace(good, `"peer"`, `"pear"`, 1), -32602},
		"peer below 0":   {strings.Replace(good, `"peer":1`, `"peer":-1`, 1), -32602},
		"unknown tenant": {strings.Replace(good, `north`, `west`, 1), -32602},
		"budget below 0": {strings.Replace(good, `4000`, `-4000`, 1), -32602},
		"prio of 1":      {strings.Replace(good, `0.9`, `1`, 1), -32602},
		"no t0":          {strings.Replace(good, `"t0"`, `"t9"`, 1), -32602},
		"budget a word":  {strings.Replace(good, `4000`, `"x"`, 1), -32602},
		"mem of 0":       {strings.Replace(good, `24.5`, `0`, 1), -32602},
		"prio over 1":    {strings.Replace(good, `0.9`, `1.5`, 1), -32602},
		"no base64":      {strings.Replace(good, `Ym9keQ==`, `%`, 1), -32602},
		"large body":     {strings.Replace(good, `Ym9keQ==`, strings.Repeat("AAAA", 700), 1), -32602},
		"keyed, no key":  {strings.Replace(good, `"quote"`, `"book"`, 1), -32602},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(w *scenario.World, p *scenario.Peer) {
				p.Send(c.line, "\n")
				if c.code == 0 {
					if rest := p.Rest(); rest != "" {
						t.Errorf("answered %q", rest)
					}
				} else {
					p.Expect(fmt.Sprintf(`"id":("1"|[01.5]+),"error":{"code":%d,`, c.code))
					p.Rest() // the connection is closed
				}
				w.Expect(ms)
			})
		})
	}
}

// A request whose time stamp is off, because a clock was stepped without this server's knowledge, is served as if it
// had just been sent, and the other requests on its connection continue.
func TestRequestStampedBySteppedClockIsServed(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 25 * time.Hour, -3 * time.Second} {
		runScenario(t, func(w *scenario.World, p *scenario.Peer) {
			p.Send(requestLine(1, "quote", "a", ""))
			w.Expect(ms, "run 000000000000000a quote body")
			now := time.Now().UnixMilli()
			p.Send(strings.Replace(requestLine(2, "quote", "b", ""), fmt.Sprint(now), fmt.Sprint(now+step.Milliseconds()), 1))
			w.Expect(ms, "run 000000000000000b quote body")
			w.Send(core.PoolFinished{Handle: "000000000000000b", Outcome: control.OK, Body: []byte("x")})
			p.Expect(`"id":2,"result"`)
			w.Send(core.PoolFinished{Handle: "000000000000000a", Outcome: control.OK, Body: []byte("x")})
			p.Expect(`"id":1,"result"`)
		})
	}
}

// Answers come in any order, each with the hint, and carry the result of the run unchanged.
func TestAnswers(t *testing.T) {
	runScenario(t, func(w *scenario.World, p *scenario.Peer) {
		p.Send(`{"jsonrpc":"2.0","id":9,"method":"status"}`, "\n")
		p.Expect(`^{"jsonrpc":"2.0","id":9,"result":{"up":true`)
		release := w.Block() // both arrive in one turn, in which the request of higher worth runs first
		p.Send(requestLine(1, "quote", "a", ""), requestLine(2, "book", "b", `,"token":"k"`), "\n")
		synctest.Wait()
		release()
		w.Expect(ms, "run 000000000000000b book body", "run 000000000000000a quote body")
		w.Send(core.PoolFinished{Handle: "000000000000000b", Outcome: control.OK, Body: []byte{0, 255, '"'}})
		p.Expect(`^{"jsonrpc":"2.0","id":2,"result":{"bytes":"AP8i","hint":0}}$`)
		w.Send(core.PoolFinished{Handle: "000000000000000a", Outcome: control.Errored})
		p.Expect(`^{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"the run failed","data":{"hint":0}}}$`)
	})
}

// A withdraw names the request by rid or id; no answer is sent then.
func TestWithdraw(t *testing.T) {
	for _, line := range []string{`"method":"withdraw","params":{"rid":"000000000000000a"}`, `"method":"withdraw","params":{"id":1}`,
		`"method":"withdraw","id":1`} {
		runScenario(t, func(w *scenario.World, p *scenario.Peer) {
			p.Send(requestLine(1, "quote", "a", ""))
			w.Expect(ms, "run 000000000000000a quote body")
			p.Send(`{"jsonrpc":"2.0",`, line, "}\n")
			w.Expect(ms, "stop 000000000000000a")
			w.Send(core.PoolFinished{Handle: "000000000000000a", Outcome: control.Stopped})
			for id := range 40 { // canceled requests do not count as open
				p.Send(requestLine(id+2, "quote", fmt.Sprint(id), ""), fmt.Sprintf(`{"jsonrpc":"2.0","method":"withdraw","params":{"id":%d}}`, id+2), "\n")
			}
			p.Send(`{"jsonrpc":"2.0","id":99,"method":"status"}`, "\n")
			p.Expect(`^{"jsonrpc":"2.0","id":99`)
		})
	}
}

// A message that violates the protocol gets an error response and its connection is closed, but only after all other
// requests on it, earlier and later ones, have their one answer. No id is answered twice.
func TestProtocolViolationKeepsOtherAnswers(t *testing.T) {
	many := func(from, to int) (all string) {
		for id := from; id <= to; id++ {
			all += requestLine(id, "book", fmt.Sprint(id), fmt.Sprintf(`,"token":"%d"`, id))
		}
		return all
	}
	for name, c := range map[string]struct {
		last func() string
		want string // the answer to last
	}{
		"an id twice":            {func() string { return many(31, 31) }, `"id":null,"error":{"code":-32600`},
		"an id that counts down": {func() string { return many(30, 30) }, `"id":null,"error":{"code":-32600`},
		"too many":               {func() string { return many(32, 33) }, `"id":33,"error":{"code":-32600`},
		"a rid twice":            {func() string { return requestLine(33, "quote", "1", "") }, `"id":33,"error":{"code":-32602`},
		"no JSON":                {func() string { return "{\n" }, ""},
		"a long line":            {func() string { return strings.Repeat("x", 3*8<<10) + "\n" }, ""},
		"half a line":            {func() string { return `{"jsonrpc"` }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := scenario.Site()
				w := scenario.NewWorld(t, site, false)
				w.Serve(ms)
				p := w.Front(jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler)).Handle)()
				release := w.Block() // all requests are open when the bad message arrives
				p.Send(many(1, 31))
				synctest.Wait()
				p.Send(c.last())
				after := name != "half a line"
				if after {
					p.Send(`{"jsonrpc":"2.0","id":99,"method":"status"}` + "\n")
				}
				synctest.Wait()
				release()
				if name == "a rid twice" { // the connection stays open: another client may have copied the rid
					time.Sleep(ms)
					w.Send(core.Drain{})
				}
				rest := p.Rest()
				if !strings.Contains(rest, c.want) {
					t.Errorf("no %q in %q", c.want, rest)
				}
				if got := strings.Contains(rest, `"id":99,"result"`); got != after {
					t.Errorf("check after the bad message answered: %v, in %q", got, rest)
				}
				for id := 1; id <= 31; id++ {
					if n := strings.Count(rest, fmt.Sprintf(`"id":%d,`, id)); n != 1 {
						t.Errorf("id %d has %d answers", id, n)
					}
				}
			})
		})
	}
}

// The connection of a client that sends one bad message after another is closed, even while more input arrives.
func TestOnlyBadMessagesCloseConnection(t *testing.T) {
	w, dial := startFront(t, scenario.Site(), nil)
	w.Serve(ms)
	p := dial()
	start := time.Now()
	for ; time.Since(start) < 5*time.Second; time.Sleep(ms) {
		if _, err := p.Write(strings.Repeat("x\n", 100)); err != nil {
			return
		}
	}
	t.Error("the connection stays open")
}

// Requests of a client that hangs up are not run if they have not started by then.
func TestRequestsOfClosedConnectionAreNotRun(t *testing.T) {
	runScenario(t, func(w *scenario.World, p *scenario.Peer) {
		for id := 1; id <= 32; id++ {
			p.Send(requestLine(id, "book", fmt.Sprint(id), fmt.Sprintf(`,"token":"%d"`, id)))
		}
		time.Sleep(ms)
		ran := w.Handles()
		if len(ran) == 0 || len(ran) == 32 {
			t.Errorf("%d ran", len(ran))
		}
		p.Close()
		time.Sleep(ms)
		for _, h := range ran { // frees room, but the others have no caller left
			w.Send(core.PoolFinished{Handle: h, Outcome: control.OK})
		}
		time.Sleep(5 * time.Second)
		if more := w.Handles(); len(more) != len(ran) {
			t.Errorf("%d more ran", len(more)-len(ran))
		}
	})
}

// A connection without a message, or with only part of one, is closed after the time limits; one that is merely idle
// stays.
func TestMessageTimeouts(t *testing.T) {
	runScenario(t, func(w *scenario.World, p *scenario.Peer) {
		start := time.Now()
		if p.Rest(); time.Since(start) > 2*time.Second {
			t.Errorf("closed after %v", time.Since(start))
		}
	})
	runScenario(t, func(w *scenario.World, p *scenario.Peer) {
		start := time.Now()
		for range 3 { // empty lines and withdraws do not count as a first message
			p.Send("\n", `{"jsonrpc":"2.0","method":"withdraw","params":{"id":7}}`, "\n")
			time.Sleep(400 * ms)
		}
		p.Send(`{"jsonrpc":`)
		if p.Rest(); time.Since(start) > 2*time.Second {
			t.Errorf("closed after %v", time.Since(start))
		}
	})
	runScenario(t, func(w *scenario.World, p *scenario.Peer) {
		status := `{"jsonrpc":"2.0","id":1,"method":"status"}` + "\n"
		p.Send(status)
		p.Expect(`"up":true`)
		time.Sleep(9 * time.Second)
		p.Send(status, `{"json`)
		p.Expect(`"up":true`)
		p.Send(status[6:])
		p.Expect(`"up":true`)
		p.Send(requestLine(2, "book", "a", `,"token":"k"`), `{"json`) // a pause in a line does not lose open requests
		w.Expect(3*time.Second, "run 000000000000000a book body")
		w.Send(core.PoolFinished{Handle: "000000000000000a", Outcome: control.OK})
		p.Expect(`"id":2,"result"`)
		p.Send(status[6:], `{"json`)
		p.Expect(`"up":true`)
		start := time.Now()
		if p.Rest(); time.Since(start) > 2*time.Second {
			t.Errorf("half a line held the connection for %v", time.Since(start))
		}
	})
}

// On a drain every connection is notified, and a request that comes too late is refused with a backoff.
func TestDrain(t *testing.T) {
	runScenario(t, func(w *scenario.World, p *scenario.Peer) {
		p.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}`, "\n")
		p.Expect(`"up":true`)
		w.Expect(ms)
		w.Send(core.Drain{})
		p.Expect(`^{"jsonrpc":"2.0","method":"draining"}$`)
		w.Expect(2100*ms, "closed", "draining to c")
		p.Send(requestLine(1, "quote", "a", ""))
		p.Expect(`"id":1,"error":{"code":-32001,"message":"turned away","data":{"hint":1,"backoff":1000`)
		w.Expect(ms)
		<-w.Done
	})
}

// The connection of a balancer that does not read is closed; the others are served.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := scenario.Site()
		w := scenario.NewWorld(t, site, false)
		w.Serve(ms)
		dial := w.Front(jsonrpc.New(&site, w.Core, slog.New(slog.DiscardHandler)).Handle)
		slow, quick := dial(), dial()
		slow.Send(requestLine(1, "quote", "a", ""))
		quick.Send(requestLine(1, "quote", "b", ""))
		quick.Expect(`"id":1,"result"`)
		time.Sleep(3 * time.Second)
		if rest := slow.Rest(); rest != "" {
			t.Errorf("read %q", rest)
		}
	})
}
