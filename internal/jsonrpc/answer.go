package jsonrpc

import (
	"encoding/base64"
	"strconv"
	"time"

	"larchscale/internal/core"
)

// reply writes the answer to the request or check of one id.
type reply struct {
	s  *session
	id string
}

// Answer implements core.Reply: it writes the response line of the id.
func (r reply) Answer(a core.Answer) {
	var data []byte
	if a.Hint >= 0 {
		data = append(data, `"hint":`...)
		data = strconv.AppendFloat(data, a.Hint, 'f', -1, 64)
	}
	switch a.Kind {
	case core.Checked:
		head := `{"jsonrpc":"2.0","id":` + r.id + `,"result":{"up":` + strconv.FormatBool(a.Healthy)
		r.s.send("c"+r.id, []byte(head), withLeadingComma(data), []byte("}}\n"))
		return
	case core.Served:
		r.s.release(r.id)
		head := `{"jsonrpc":"2.0","id":` + r.id + `,"result":{"bytes":"`
		body := base64.StdEncoding.AppendEncode(make([]byte, 0, base64.StdEncoding.EncodedLen(len(a.Body))+1), a.Body)
		r.s.send(r.id, []byte(head), append(body, '"'), withLeadingComma(data), []byte("}}\n"))
		return
	}
	r.s.release(r.id)
	code := codeFailed
	switch a.Kind {
	case core.Refused:
		code = codeRefused
		if ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond; ms > 0 {
			data = strconv.AppendInt(append(appendSeparator(data), `"backoff":`...), int64(ms), 10)
		}
		if a.Final {
			data = append(appendSeparator(data), `"final":1`...)
		}
	case core.Conflict, core.Invalid:
		// The connection stays open: another client that copies the id or key of a request in transit may arrive first
		// and make the genuine request the one in conflict.
		code = badParams
	}
	r.s.send(r.id, errorLine(r.id, code, a.Why, data))
}

// appendSeparator appends a comma to data unless it is empty.
func appendSeparator(data []byte) []byte {
	if len(data) > 0 {
		data = append(data, ',')
	}
	return data
}

// withLeadingComma returns data after a comma; nil if data is empty.
func withLeadingComma(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	return append([]byte{','}, data...)
}

// errorLine returns an error response line; data holds the members of the error's data object.
func errorLine(id string, code int, text string, data []byte) []byte {
	out := make([]byte, 0, 128)
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = strconv.AppendInt(append(out, `,"error":{"code":`...), int64(code), 10)
	out = strconv.AppendQuote(append(out, `,"message":`...), text)
	return append(append(append(out, `,"data":{`...), data...), "}}}\n"...)
}
