package jsonrpc

import (
	"encoding/base64"
	"fmt"
	"runtime"
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/scenario"
	"larchscale/internal/wallclock"
)

// Any line parses to a message with values in range or to an error, and never panics.
func FuzzParse(f *testing.F) {
	site := core.Config{Classes: []string{"quote", "book"},
		Control: control.Config{Classes: []control.Class{{}, {Effect: control.Keyed}}}}
	f.Add([]byte(`{"jsonrpc":"2.0","id":7,"method":"book","params":{"rid":"9b1f","t0":1,"peer":4,"mem":24.5,"prio":0.6,"token":"x","bytes":"QQ=="}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"withdraw","params":{"id":7}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, line []byte) {
		m, problem := parse(line, &site, wallclock.New())
		if problem != nil || m.method == "status" || m.method == "withdraw" {
			return
		}
		q := m.req
		if m.id == "" || q.Handle == "" || q.Class < 0 || !(q.Memory > 0) || !(q.Rank >= 0 && q.Rank <= 1) || q.Budget < 0 ||
			len(q.Body) > maxBody || site.Keyed(q.Class) && q.Token == "" {
			t.Fatalf("%q was accepted as %+v", line, m)
		}
	})
}

// Guards against request lines that stay in memory with the id, the handle or the token of a request: a key is known for
// its window, and its size is bounded as if it kept its token alone.
func TestIDHandleAndTokenDoNotKeepTheLine(t *testing.T) {
	const (
		messages = 1000
		limit    = 512 // bytes for each message, as the core accounts for a key without its result
	)
	site := core.Config{Classes: []string{"book"}, Control: control.Config{Classes: []control.Class{{Effect: control.Keyed}}}}
	body := base64.StdEncoding.EncodeToString(make([]byte, maxBody))
	clock := wallclock.New()
	kept := make([][3]string, messages)
	before := scenario.HeapInUse()
	for i := range kept {
		line := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"book","params":{"rid":"%016x","t0":%d,"peer":1,"mem":24.5,"prio":0.6,`+
			`"token":"token %d","bytes":%q}}`, i+1, i, time.Now().UnixMilli(), i, body)
		m, problem := parse(line, &site, clock)
		if problem != nil {
			t.Fatal(problem)
		}
		kept[i] = [3]string{m.id, m.req.Handle, m.req.Token}
	}
	if grown := int(scenario.HeapInUse()) - int(before); grown > messages*limit {
		t.Errorf("%d bytes for each message are in memory, at most %d are allowed", grown/messages, limit)
	}
	runtime.KeepAlive(kept)
}
