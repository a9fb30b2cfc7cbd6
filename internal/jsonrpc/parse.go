// Package jsonrpc is the platform's front: JSON-RPC 2.0, a message to a line.
package jsonrpc

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"larchscale/internal/core"
	"larchscale/internal/wallclock"
)

// The codes of errors that a client makes, as JSON-RPC 2.0 has them.
const (
	badJSON    = -32700
	badRequest = -32600
	badMethod  = -32601
	badParams  = -32602
)

const (
	maxLine = 8 << 10
	maxBody = 2 << 10
	maxName = 128     // of a token or an id
	maxHeld = 2000    // kilobytes that a request may take
	maxWait = 1 << 32 // milliseconds
	maxID   = 1 << 53 // the largest whole number that any JSON reader keeps
	// maxStamp is no time in milliseconds that is written so.
	maxStamp = 1e15
	absurd   = 26 * time.Hour   // from now: no clock that is merely stepped or of another zone shows it
	stale    = 10 * time.Minute // older than any caller waits
	ahead    = 2 * time.Second  // of this machine's clock
)

// fault is a complaint about a message.
type fault struct {
	code int
	text string
}

func (f *fault) Error() string { return fmt.Sprintf("%d: %s", f.code, f.text) }

// message is one line as values.
type message struct {
	id     string // as it was written; empty = none
	num    uint64 // of a request
	method string
	req    core.Incoming
	ref    string // withdraw: the id of the request, as it was written
	deep   bool   // status: whether work is getting done
}

// parse reads one line. The message's id is good whenever it is not empty.
func parse(line []byte, site *core.Site, clock *wallclock.Clock) (message, *fault) {
	var m message
	if !gjson.ValidBytes(line) {
		return m, &fault{badJSON, "not JSON"}
	}
	top := gjson.ParseBytes(line)
	if !top.IsObject() {
		return m, &fault{badRequest, "not an object"}
	}
	var version, method, params gjson.Result
	top.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "jsonrpc":
			version = v
		case "id":
			if v.Type == gjson.Number || v.Type == gjson.String && len(v.Raw) <= maxName {
				m.id = v.Raw
			}
		case "method":
			method = v
		case "params":
			params = v
		}
		return true
	})
	if version.Str != "2.0" || method.Type != gjson.String {
		return m, &fault{badRequest, "no JSON-RPC 2.0 request"}
	}
	m.method = method.Str
	switch m.method {
	case "status":
		m.deep = params.Get("full").Type == gjson.True
		return m, nil
	case "withdraw": // balancers send a notification with the id in params; a rid is taken too
		m.req.Handle, m.ref = params.Get("rid").Str, params.Get("id").Raw
		if m.req.Handle == "" && m.ref == "" {
			m.ref = m.id
		}
		return m, nil
	}
	if m.req.Class = site.Class(m.method); m.req.Class < 0 {
		return m, &fault{badMethod, "unknown class"}
	}
	if m.num = whole(m.id, maxID); m.num == 0 {
		return m, &fault{badRequest, "a request whose id is no number from 1 up"}
	}
	return m, request(&m.req, params, site, clock)
}

// whole reads digits alone; 0 = they are no number from 1 to limit.
func whole(s string, limit uint64) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n > limit || s[0] == '+' {
		return 0
	}
	return n
}

// request reads the params of a request.
func request(q *core.Incoming, params gjson.Result, site *core.Site, clock *wallclock.Clock) *fault {
	var peer, stamp, budget, mem, est, prio, acct, bytes gjson.Result
	q.Tenant = -1
	params.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "rid":
			q.Handle = v.Str
		case "t0":
			stamp = v
		case "peer":
			peer = v
		case "acct":
			acct = v
			q.Tenant = site.Tenant(v.Str)
		case "budget":
			budget = v
		case "mem":
			mem = v
		case "est":
			est = v
		case "prio":
			prio = v
		case "token":
			q.Token = v.Str
		case "obj":
			q.Subject = hash(v.Str)
		case "bytes":
			bytes = v
		}
		return true
	})
	bad := func(what string) *fault { return &fault{badParams, what} }
	switch {
	case !isRID(q.Handle):
		return bad("rid")
	case stamp.Type != gjson.Number || !(stamp.Num > 0 && stamp.Num < maxStamp):
		return bad("t0")
	case peer.Type != gjson.Number || !(peer.Num >= 0 && peer.Num <= math.MaxUint32) || peer.Num != math.Trunc(peer.Num):
		return bad("peer")
	case len(site.Tenants) > 0 && q.Tenant < 0, acct.Exists() && acct.Type != gjson.String:
		return bad("acct")
	case budget.Exists() && (budget.Type != gjson.Number || !(budget.Num > 0 && budget.Num < maxWait)):
		return bad("budget")
	case mem.Type != gjson.Number || !(mem.Num > 0 && mem.Num < maxHeld):
		return bad("mem")
	case est.Exists() && (est.Type != gjson.Number || !(est.Num >= 0 && est.Num < maxWait)):
		return bad("est")
	case prio.Type != gjson.Number || !(prio.Num >= 0 && prio.Num < 1):
		return bad("prio")
	case bytes.Type != gjson.String:
		return bad("bytes")
	case len(q.Token) > maxName || site.Keyed(q.Class) && q.Token == "":
		return bad("token")
	}
	body, err := base64.StdEncoding.DecodeString(bytes.Str)
	if err != nil || len(body) > maxBody {
		return bad("bytes")
	}
	q.Body = body
	age := clock.Age(time.UnixMilli(int64(stamp.Num)))
	if age.Abs() > absurd {
		return bad("t0")
	}
	if age > stale || age < -ahead { // by a step of the clock that nobody has seen: it counts from now on
		age = 0
	}
	q.Arrived = time.Now().Add(-age)
	if budget.Exists() {
		q.Budget = max(time.Duration(budget.Num*float64(time.Millisecond)), time.Millisecond)
	}
	q.Memory, q.Rank, q.Caller = mem.Num, prio.Num, uint32(peer.Num)
	q.Work = time.Duration(est.Num * float64(time.Millisecond))
	return nil
}

// isRID tells whether a handle is 16 hex digits. It stands in lines of other protocols.
func isRID(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i] | 0x20; !(s[i] >= '0' && s[i] <= '9' || c >= 'a' && c <= 'f') {
			return false
		}
	}
	return len(s) == 16
}

// hash is FNV-1a: what a read is about, as a number.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
