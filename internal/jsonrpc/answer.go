package jsonrpc

import (
	"encoding/base64"
	"strconv"
	"time"

	"larchscale/internal/core"
)

// reply answers one id.
type reply struct {
	s  *session
	id string
}

// Answer writes the answer's line.
func (r reply) Answer(a core.Answer) {
	var data []byte
	if a.Hint >= 0 {
		data = append(data, `"hint":`...)
		data = strconv.AppendFloat(data, a.Hint, 'f', -1, 64)
	}
	switch a.Kind {
	case core.Checked:
		head := `{"jsonrpc":"2.0","id":` + r.id + `,"result":{"up":` + strconv.FormatBool(a.Up)
		r.s.send("c"+r.id, []byte(head), comma(data), []byte("}}\n"))
		return
	case core.Served:
		r.s.release(r.id)
		head := `{"jsonrpc":"2.0","id":` + r.id + `,"result":{"bytes":"`
		body := base64.StdEncoding.AppendEncode(make([]byte, 0, base64.StdEncoding.EncodedLen(len(a.Body))+1), a.Body)
		r.s.send(r.id, []byte(head), append(body, '"'), comma(data), []byte("}}\n"))
		return
	}
	r.s.release(r.id)
	code := codeFailed
	switch a.Kind {
	case core.Refused:
		code = codeRefused
		if ms := (a.Away + time.Millisecond - 1) / time.Millisecond; ms > 0 {
			data = strconv.AppendInt(append(sep(data), `"backoff":`...), int64(ms), 10)
		}
		if a.Last {
			data = append(sep(data), `"final":1`...)
		}
	case core.Conflict, core.Invalid:
		// The connection stays: who copies the id or key of a request that is on its way may come before it.
		code = badParams
	}
	r.s.send(r.id, errorLine(r.id, code, a.Why, data))
}

func sep(data []byte) []byte {
	if len(data) > 0 {
		data = append(data, ',')
	}
	return data
}

func comma(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	return append([]byte{','}, data...)
}

func errorLine(id string, code int, text string, data []byte) []byte {
	out := make([]byte, 0, 128)
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = strconv.AppendInt(append(out, `,"error":{"code":`...), int64(code), 10)
	out = strconv.AppendQuote(append(out, `,"message":`...), text)
	return append(append(append(out, `,"data":{`...), data...), "}}}\n"...)
}
