package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
)

// noTaxi is a reply that fails its run.
const noTaxi = "none"

// Below is a further place like the index that calls below may go to. It counts them.
type Below struct {
	Addr  string
	fails atomic.Uint64 // calls of 1000 whose reply spoils their run
	calls atomic.Int64
	in    net.Listener
}

// NewBelow starts a place on loopback where a share of all replies spoils the run that it is for.
func NewBelow(fails float64) (*Below, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Below{Addr: l.Addr().String(), in: l}
	b.fails.Store(uint64(fails * 1000))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go calls(c, b.reply)
		}
	}()
	return b, nil
}

func (b *Below) reply(string) string {
	b.calls.Add(1)
	if rand.Uint64N(1000) < b.fails.Load() {
		return "HIT 4\r\n" + noTaxi + "\r\n"
	}
	return "HIT 4\r\ntaxi\r\n"
}

// Calls tells how many calls have come.
func (b *Below) Calls() int64 { return b.calls.Load() }

// Close ends the place.
func (b *Below) Close() { b.in.Close() }

// calls answers calls below on one connection.
func calls(c net.Conn, reply func(call string) string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.Fields(line)
		if len(f) != 4 || f[0] != "GET" {
			continue
		}
		n, err := strconv.Atoi(f[3])
		if err != nil || n < 0 || n > 1<<20 {
			return
		}
		body := make([]byte, n+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		fmt.Fprintf(c, "%s %s", f[1], reply(string(body[:n])))
	}
}
