// Package jsonrpc is the front for the platform's balancers: JSON-RPC 2.0 with one message per line.
package jsonrpc

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"larchscale/internal/core"
	"larchscale/internal/wallclock"
)

// The error codes of JSON-RPC 2.0 for invalid messages.
const (
	badJSON    = -32700
	badRequest = -32600
	badMethod  = -32601
	badParams  = -32602
)

const (
	maxLine       = 8 << 10 // bytes
	maxBody       = 2 << 10 // bytes
	maxName       = 128     // bytes of a token or an id
	maxMemoryKB   = 2000    // of a request
	maxWaitMs     = 1 << 32
	maxID         = 1 << 53          // the largest whole number that every JSON reader keeps exactly
	maxStampMs    = 1e15             // above any time stamp in milliseconds
	maxClockError = 26 * time.Hour   // more than a clock that was stepped or is set to another time zone can be off
	maxAge        = 10 * time.Minute // longer than any caller waits
	maxAhead      = 2 * time.Second  // of this machine's clock
)

// requestError is the error response to an invalid message.
type requestError struct {
	code int
	text string
}

func (f *requestError) Error() string { return fmt.Sprintf("%d: %s", f.code, f.text) }

// message is a parsed line.
type message struct {
	id     string // as it was written; empty if absent
	num    uint64 // the id of a request as a number
	method string
	req    core.IncomingRequest
	ref    string // withdraw: the id of the request to cancel, as it was written
	deep   bool   // status: a deep health check, which runs work
}

// parse parses one line. The id of the message is valid whenever it is not empty, even with an error. Strings that outlive
// the message are copies: a part of the line would keep all of it in memory, for as long as the key of a request is known.
func parse(line []byte, site *core.Config, clock *wallclock.Clock) (message, *requestError) {
	var m message
	if !gjson.ValidBytes(line) {
		return m, &requestError{badJSON, "not JSON"}
	}
	top := gjson.ParseBytes(line)
	if !top.IsObject() {
		return m, &requestError{badRequest, "not an object"}
	}
	var version, method, params gjson.Result
	top.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "jsonrpc":
			version = v
		case "id":
			if v.Type == gjson.Number || v.Type == gjson.String && len(v.Raw) <= maxName {
				m.id = strings.Clone(v.Raw)
			}
		case "method":
			method = v
		case "params":
			params = v
		}
		return true
	})
	if version.Str != "2.0" || method.Type != gjson.String {
		return m, &requestError{badRequest, "no JSON-RPC 2.0 request"}
	}
	m.method = method.Str
	switch m.method {
	case "status":
		m.deep = params.Get("full").Type == gjson.True
		return m, nil
	case "withdraw": // balancers send a notification with the id in params; a rid is accepted too
		m.req.Handle, m.ref = params.Get("rid").Str, params.Get("id").Raw
		if m.req.Handle == "" && m.ref == "" {
			m.ref = m.id
		}
		return m, nil
	}
	if m.req.Class = site.ClassIndex(m.method); m.req.Class < 0 {
		return m, &requestError{badMethod, "unknown class"}
	}
	if m.num = parseWhole(m.id, maxID); m.num == 0 {
		return m, &requestError{badRequest, "a request whose id is no number from 1 up"}
	}
	return m, parseParams(&m.req, params, site, clock)
}

// parseWhole parses a number written in digits only; 0 if it is not from 1 to limit.
func parseWhole(s string, limit uint64) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n > limit || s[0] == '+' {
		return 0
	}
	return n
}

// parseParams reads the params of a request into q.
func parseParams(q *core.IncomingRequest, params gjson.Result, site *core.Config, clock *wallclock.Clock) *requestError {
	var peer, stamp, budget, mem, est, prio, acct, bytes gjson.Result
	q.Tenant = -1
	params.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "rid":
			q.Handle = strings.Clone(v.Str)
		case "t0":
			stamp = v
		case "peer":
			peer = v
		case "acct":
			acct = v
			q.Tenant = site.TenantIndex(v.Str)
		case "budget":
			budget = v
		case "mem":
			mem = v
		case "est":
			est = v
		case "prio":
			prio = v
		case "token":
			q.Token = strings.Clone(v.Str)
		case "obj":
			q.Subject = hashSubject(v.Str)
		case "bytes":
			bytes = v
		}
		return true
	})
	invalid := func(what string) *requestError { return &requestError{badParams, what} }
	switch {
	case !isRID(q.Handle):
		return invalid("rid")
	case stamp.Type != gjson.Number || !(stamp.Num > 0 && stamp.Num < maxStampMs):
		return invalid("t0")
	case peer.Type != gjson.Number || !(peer.Num >= 0 && peer.Num <= math.MaxUint32) || peer.Num != math.Trunc(peer.Num):
		return invalid("peer")
	case len(site.Tenants) > 0 && q.Tenant < 0, acct.Exists() && acct.Type != gjson.String:
		return invalid("acct")
	case budget.Exists() && (budget.Type != gjson.Number || !(budget.Num > 0 && budget.Num < maxWaitMs)):
		return invalid("budget")
	case mem.Type != gjson.Number || !(mem.Num > 0 && mem.Num < maxMemoryKB):
		return invalid("mem")
	case est.Exists() && (est.Type != gjson.Number || !(est.Num >= 0 && est.Num < maxWaitMs)):
		return invalid("est")
	case prio.Type != gjson.Number || !(prio.Num >= 0 && prio.Num < 1):
		return invalid("prio")
	case bytes.Type != gjson.String:
		return invalid("bytes")
	case len(q.Token) > maxName || site.Keyed(q.Class) && q.Token == "":
		return invalid("token")
	}
	body, err := base64.StdEncoding.DecodeString(bytes.Str)
	if err != nil || len(body) > maxBody {
		return invalid("bytes")
	}
	q.Body = body
	age := clock.Age(time.UnixMilli(int64(stamp.Num)))
	if age.Abs() > maxClockError {
		return invalid("t0")
	}
	if age > maxAge || age < -maxAhead { // an unnoticed step of a clock: the request counts as having arrived now
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

// isRID reports whether a handle is 16 hex digits. Handles are written unescaped into lines of other protocols.
func isRID(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i] | 0x20; !(s[i] >= '0' && s[i] <= '9' || c >= 'a' && c <= 'f') {
			return false
		}
	}
	return len(s) == 16
}

// hashSubject returns the 64-bit FNV-1a hash of the subject of a read.
func hashSubject(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
