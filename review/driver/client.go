package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// giveUp is how long a client waits for a keyed request over all of its tries, and slack how late an answer may come.
const (
	giveUp = 12 * time.Second
	slack  = 130 * time.Millisecond // AnswerSlackUs, and the 50 ms of the protocol page
)

// write is one keyed request of a client.
type write struct {
	body, token string
	first       time.Time
	result      string // what was served
	lastAnswer  string
	tries       int
	backoff     time.Duration // of the last refusal
}

// answer is the line of a response.
type answer struct {
	ID     int
	Result *struct{ Bytes string }
	Error  *struct {
		Code    int
		Message string
		Data    struct{ Backoff float64 }
	}
}

// try sends a write to a server once, as a balancer does, and returns how it ended: served, refused, failed, unheard
// (no connection came about) or broken (the connection ended without an answer).
func try(w *write, name, addr string, log *record) string {
	w.tries++
	left := giveUp - time.Since(w.first)
	rid := fmt.Sprintf("%016x", rand.Uint64())
	log.note("SEND %q, token %s, try %d to %s, rid %s, budget %d ms", w.body, w.token, w.tries, name, rid, left.Milliseconds())
	end, text := send(w, addr, rid, left)
	w.lastAnswer = end + " " + text
	log.note("ANSWER to rid %s of %q from %s: %s", rid, w.body, name, w.lastAnswer)
	if end == "served" {
		w.result = text
	}
	return end
}

func send(w *write, addr, rid string, left time.Duration) (end, text string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "unheard", err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(left + slack))
	_, err = fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":1,"method":"book-ride","params":{"rid":%q,"t0":%d,"peer":1,"acct":"howrah-stand","budget":%d,"mem":24.5,"prio":0.9,"token":%q,"bytes":%q}}`+"\n",
		rid, time.Now().UnixMilli(), left.Milliseconds(), w.token, base64.StdEncoding.EncodeToString([]byte(w.body)))
	if err != nil {
		return "broken", err.Error()
	}
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return "broken", err.Error()
		}
		var a answer
		switch err := json.Unmarshal(line, &a); {
		case err != nil:
			return "broken", err.Error()
		case a.ID != 1: // a notification
		case a.Result != nil:
			result, _ := base64.StdEncoding.DecodeString(a.Result.Bytes)
			return "served", string(result)
		case a.Error != nil && a.Error.Code == -32001:
			w.backoff = time.Duration(a.Error.Data.Backoff * float64(time.Millisecond))
			return "refused", fmt.Sprintf("%s, backoff %v", a.Error.Message, w.backoff)
		case a.Error != nil:
			return "failed", a.Error.Message
		}
	}
}

// newWrite makes a keyed request.
func newWrite(name string, n int) *write {
	return &write{body: fmt.Sprintf("%s %d", name, n), token: fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()), first: time.Now()}
}

// follow sends a write to the first server, and repeats it at the others in turn, every 400 ms, until it is served or
// the client's time is over.
func follow(w *write, first *box, others []*box, log *record) {
	if try(w, first.name, first.listen, log) == "served" {
		return
	}
	for i := 0; time.Since(w.first) < giveUp-time.Second; i++ {
		time.Sleep(400 * time.Millisecond)
		at := others[i%len(others)]
		if try(w, at.name, at.listen, log) == "served" {
			return
		}
	}
}

// followAll follows several writes at once; the returned function waits for all of them.
func followAll(writes []*write, first *box, others []*box, log *record) (wait func()) {
	var all sync.WaitGroup
	for _, w := range writes {
		all.Go(func() { follow(w, first, others, log) })
	}
	return all.Wait
}
