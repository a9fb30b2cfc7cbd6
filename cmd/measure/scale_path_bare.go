package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/tidwall/gjson"

	"larchscale/internal/standin"
)

// barePath sends requests straight to the stand-in of the worker pool, and makes the calls that runs need at the stand-in
// of the index: what a request takes without a server. It is safe for concurrent use.
type barePath struct {
	pool  net.Conn
	index string

	mu      sync.Mutex
	waiting map[string]chan gjson.Result // notices by handle
	idle    []net.Conn                   // connections to the index
	over    bool                         // the connection to the pool has ended
}

// newBarePath connects to the stand-ins of a site, which has no server.
func newBarePath(site *standin.Site) (*barePath, error) {
	pool, err := net.Dial("tcp", site.Pool)
	if err != nil {
		return nil, err
	}
	b := &barePath{pool: pool, index: site.Index, waiting: map[string]chan gjson.Result{}}
	if _, err := io.WriteString(pool, `{"event":"bind","cursor":0}`+"\n"); err != nil {
		pool.Close()
		return nil, err
	}
	go b.read()
	return b, nil
}

// close ends all connections.
func (b *barePath) close() {
	b.pool.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, connection := range b.idle {
		connection.Close()
	}
}

// read passes notices on until the connection ends, and then ends all waits.
func (b *barePath) read() {
	in := bufio.NewReader(b.pool)
	for {
		line, err := in.ReadString('\n')
		b.mu.Lock()
		if err != nil {
			b.over = true
			for handle, notices := range b.waiting {
				delete(b.waiting, handle)
				close(notices)
			}
			b.mu.Unlock()
			return
		}
		notice := gjson.Parse(line)
		handle := notice.Get("handle").String()
		if notices := b.waiting[handle]; notices != nil {
			notices <- notice
		}
		b.mu.Unlock()
	}
}

// do has a request run, and returns how it ended, as a caller of a server sees it.
func (b *barePath) do(request standin.Request) string {
	notices := make(chan gjson.Result, 2) // one that it is blocked, one that it has ended
	b.mu.Lock()
	if b.over {
		b.mu.Unlock()
		return "lost"
	}
	b.waiting[request.Handle] = notices
	_, err := fmt.Fprintf(b.pool, `{"event":"spawn","handle":%q,"entry":%q,"arg":%q}`+"\n", request.Handle, request.Class,
		base64.StdEncoding.EncodeToString([]byte(request.Body)))
	b.mu.Unlock()
	if err != nil {
		return "lost"
	}
	for notice := range notices {
		if notice.Get("event").String() == "blocked" {
			if err := b.supply(request.Handle, notice.Get("arg").String()); err != nil {
				return "lost"
			}
			continue
		}
		b.mu.Lock()
		delete(b.waiting, request.Handle)
		b.mu.Unlock()
		if notice.Get("fate").String() != "complete" {
			return "failed"
		}
		return "served"
	}
	return "lost"
}

// supply makes the call that a run waits for, and gives the run its reply.
func (b *barePath) supply(handle, argument string) error {
	body, err := base64.StdEncoding.DecodeString(argument)
	if err != nil {
		return err
	}
	reply, err := b.call(body)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, err = fmt.Fprintf(b.pool, `{"event":"supply","handle":%q,"arg":%q}`+"\n", handle, base64.StdEncoding.EncodeToString(reply))
	return err
}

// call makes one call at the index, on a connection that no other call uses meanwhile.
func (b *barePath) call(body []byte) ([]byte, error) {
	connection, err := b.connection()
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(connection, "GET 1 call %d\r\n%s\r\n", len(body), body); err != nil {
		connection.Close()
		return nil, err
	}
	reply, err := readReply(bufio.NewReader(connection))
	if err != nil {
		connection.Close()
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, connection)
	return reply, nil
}

// connection takes an idle connection to the index, or makes one.
func (b *barePath) connection() (net.Conn, error) {
	b.mu.Lock()
	if count := len(b.idle); count > 0 {
		connection := b.idle[count-1]
		b.idle = b.idle[:count-1]
		b.mu.Unlock()
		return connection, nil
	}
	b.mu.Unlock()
	return net.Dial("tcp", b.index)
}

// readReply reads a reply of the index stand-in: a line "tag HIT size", and a body of that size.
func readReply(in *bufio.Reader) ([]byte, error) {
	head, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(head)
	if len(fields) != 3 {
		return nil, fmt.Errorf("%q is no reply", head)
	}
	size, err := strconv.Atoi(fields[2])
	if err != nil || size < 0 || size > 1<<20 {
		return nil, fmt.Errorf("%q is no reply", head)
	}
	body := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	return body[:size], nil
}
