package jsonrpc

import (
	"testing"

	"larchscale/control"
	"larchscale/internal/core"
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
