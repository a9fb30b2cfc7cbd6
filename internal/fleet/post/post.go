// Package post brings messages of one kind from box to box over internal/link: a line to each box, on a connection of
// its own, in order and several in a request. What does not fit, or does not get there, is dropped: who sends says it
// again, or goes on without. A box that is slow or gone delays no other.
package post

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/link"
)

// Options say how messages of type M travel.
type Options[M any] struct {
	Box     string                               // this one
	Path    string                               // of the requests; the same on all boxes
	Link    *link.Link                           // the way
	Addr    func(box string) string              // where a box is; "" = nobody knows
	Waiting int                                  // messages to one box at a time
	Batch   int                                  // messages of one request
	Within  time.Duration                        // for one request
	Rest    time.Duration                        // for which a box that was not reached is sent nothing
	Lost    func(to string, list []M, err error) // what did not get there, on the line's goroutine; nil = nobody asks
}

// Lines are all lines of a box. They are of one goroutine; what is received comes on others.
type Lines[M any] struct {
	opt Options[M]
	to  map[string]*line[M]
}

// letter is what one box sends another in one request.
type letter[M any] struct {
	From     string
	Messages []M
}

type line[M any] struct {
	opt  *Options[M]
	name string
	addr string
	wait chan M
	rest atomic.Int64 // when it is used again, in ns since began
	stop context.CancelFunc
}

var began = time.Now()

// New makes lines; nothing is dialed yet.
func New[M any](opt Options[M]) *Lines[M] { return &Lines[M]{opt, map[string]*line[M]{}} }

// Send takes a message to a box; false = it does not get there. The line lives until ctx ends, or the box is elsewhere.
func (l *Lines[M]) Send(ctx context.Context, box string, m M) bool {
	addr := l.opt.Addr(box)
	x := l.to[box]
	if x != nil && x.addr != addr {
		x.stop()
		delete(l.to, box)
		x = nil
	}
	if addr == "" {
		return false
	}
	if x == nil {
		ctx, stop := context.WithCancel(ctx)
		x = &line[M]{opt: &l.opt, name: box, addr: addr, wait: make(chan M, l.opt.Waiting), stop: stop}
		l.to[box] = x
		go x.run(ctx, l.opt.Link.Dial(box, addr))
	}
	if int64(time.Since(began)) < x.rest.Load() {
		return false
	}
	select {
	case x.wait <- m:
		return true
	default:
		return false
	}
}

func (x *line[M]) run(ctx context.Context, c *link.Client) {
	defer c.Close()
	for {
		out := letter[M]{From: x.opt.Box}
		select {
		case <-ctx.Done():
			return
		case m := <-x.wait:
			out.Messages = append(out.Messages, m)
		}
		for len(out.Messages) < x.opt.Batch && len(x.wait) > 0 {
			out.Messages = append(out.Messages, <-x.wait)
		}
		err := x.post(ctx, c, &out)
		if err == nil || ctx.Err() != nil {
			continue
		}
		x.rest.Store(int64(time.Since(began) + x.opt.Rest))
		for len(x.wait) > 0 { // they would come late
			out.Messages = append(out.Messages, <-x.wait)
		}
		if x.opt.Lost != nil {
			x.opt.Lost(x.name, out.Messages, err)
		}
	}
}

func (x *line[M]) post(ctx context.Context, c *link.Client, out *letter[M]) error {
	body, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("messages to %s: %w", x.name, err)
	}
	ctx, stop := context.WithTimeout(ctx, x.opt.Within)
	defer stop()
	_, err = c.Post(ctx, x.opt.Path, body)
	return err
}

// bounded keeps what a peer sends from sizing memory.
var bounded = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// Handler takes what the lines of other boxes bring. take tells whether there was room for it.
func Handler[M any](path string, batch int, bytes int64, take func(from string, list []M) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bytes))
		var in letter[M]
		if err == nil {
			err = bounded.Unmarshal(body, &in)
		}
		switch {
		case err != nil || in.From == "" || len(in.Messages) > batch:
			http.Error(w, fmt.Sprintf("no letter: %d messages of %q: %v", len(in.Messages), in.From, err), http.StatusBadRequest)
		case !take(in.From, in.Messages):
			http.Error(w, "not now", http.StatusServiceUnavailable)
		}
	})
}
