package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"larchscale/internal/standin"
	"larchscale/internal/uwsgi"
)

// runDesk sends one request after the other to the uwsgi front, each on a connection of its own, until the run is over.
func (c *client) runDesk(addr string) {
	for !c.over() {
		conn, err := net.DialTimeout("tcp4", addr, time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c.machine.whileItRuns(func() error { return nil })
		c.ask(conn)
		time.Sleep(c.pause())
	}
}

// ask sends a packet and waits for the response that ends its connection.
func (c *client) ask(conn net.Conn) {
	defer conn.Close()
	q := c.draw()
	on := &connection{name: c.name, conn: conn, over: make(chan struct{})}
	defer close(on.over)
	packet := append(uwsgi.EncodeHead("PATH_INFO", "/"+q.class, "CONTENT_LENGTH", strconv.Itoa(len(q.body)), "HTTP_X_STAND", standin.Stands[0],
		"HTTP_X_BUDGET_MS", strconv.FormatInt(q.budget.Milliseconds(), 10), "HTTP_IDEMPOTENCY_KEY", q.token), q.body...)
	q.began = time.Now()
	if _, err := conn.Write(packet); err != nil {
		return
	}
	q.written = time.Now()
	conn.SetReadDeadline(q.written.Add(q.budget + 10*time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	on.closed = closing{at: time.Now(), err: err}
	if err == nil {
		q.answered, q.answers = on.closed.at, 1
		switch {
		case response.StatusCode == http.StatusOK:
			q.end = served
		case response.Header.Get("X-Not-Run") == "1":
			q.end = refused
		default:
			q.end = failed
		}
	}
	on.sent = []*request{&q}
	c.records.add(on)
}
