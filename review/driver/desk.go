package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// deskPatience is how long a desk waits for an answer before it hangs up.
const deskPatience = time.Second

// desk sends a write to a server's uwsgi front once, on a connection of its own, and hangs up if no answer has come by
// then. It returns how the try ended: served, refused, failed, unheard, broken or hung up.
func desk(w *write, b *box, log *record) string {
	w.tries++
	log.note("SEND %q, token %s, try %d to the uwsgi front of %s", w.body, w.token, w.tries, b.name)
	end, text := askDesk(w, b.desk)
	w.lastAnswer = end + " " + text
	log.note("ANSWER to try %d of %q from %s: %s", w.tries, w.body, b.name, w.lastAnswer)
	if end == "served" {
		w.result = text
	}
	return end
}

func askDesk(w *write, addr string) (end, text string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "unheard", err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(deskPatience))
	var vars []byte
	for _, pair := range [][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", "/book-ride"}, {"CONTENT_LENGTH", strconv.Itoa(len(w.body))},
		{"HTTP_X_STAND", "howrah-stand"}, {"HTTP_X_RANK", "0.9"}, {"HTTP_IDEMPOTENCY_KEY", w.token}} {
		for _, text := range pair {
			vars = append(binary.LittleEndian.AppendUint16(vars, uint16(len(text))), text...)
		}
	}
	packet := append(binary.LittleEndian.AppendUint16([]byte{0}, uint16(len(vars))), 0)
	if _, err := conn.Write(append(append(packet, vars...), w.body...)); err != nil {
		return "broken", err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		if failure, ok := err.(net.Error); ok && failure.Timeout() {
			return "hung up", fmt.Sprintf("after %v", deskPatience)
		}
		return "broken", err.Error()
	}
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return "broken", err.Error()
	case response.StatusCode == http.StatusOK:
		return "served", string(body)
	case response.Header.Get("X-Not-Run") == "1":
		return "refused", string(body)
	}
	return "failed", fmt.Sprintf("%d %s", response.StatusCode, body)
}

// followDesk sends a write to the first server, again and again until it is served or the client's time is over. Once
// nobody listens there, it goes to the others in turn.
func followDesk(w *write, first *box, others []*box, log *record) {
	at, next := first, 0
	for time.Since(w.first) < giveUp {
		switch desk(w, at, log) {
		case "served":
			return
		case "unheard":
			at = others[next%len(others)]
			next++
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// followDesks follows several writes at once; the returned function waits for all of them.
func followDesks(writes []*write, first *box, others []*box, log *record) (wait func()) {
	var all sync.WaitGroup
	for _, w := range writes {
		all.Go(func() { followDesk(w, first, others, log) })
	}
	return all.Wait
}
