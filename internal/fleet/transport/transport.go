// Package transport sends messages of one kind between servers over internal/link: one stream per peer, on a connection
// of its own, in order and several messages a request. A message that finds no room or does not arrive is dropped: the
// sender repeats it or goes on without. A peer that is slow or gone delays no other.
package transport

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
	Server  string                               // the name of this one
	Path    string                               // of the requests; the same on all servers
	Link    *link.Link                           // the connections to peers
	Addr    func(peer string) string             // the address of a peer; "" = unknown
	Waiting int                                  // messages to one peer at a time
	Batch   int                                  // messages of one request
	Within  time.Duration                        // the timeout of one request
	Rest    time.Duration                        // for which a peer that was not reached is sent nothing
	Lost    func(to string, list []M, err error) // called with messages that did not arrive, on the stream's goroutine; nil = ignored
}

// Streams are the streams of a server to all its peers. One goroutine uses them; received messages come on others.
type Streams[M any] struct {
	opt Options[M]
	to  map[string]*stream[M]
}

// envelope is what one server sends another in one request.
type envelope[M any] struct {
	From     string
	Messages []M
}

// stream is the way to one peer: a queue, and a goroutine that sends what is in it.
type stream[M any] struct {
	opt  *Options[M]
	name string
	addr string
	wait chan M
	rest atomic.Int64 // until when it is not used, in ns since began
	stop context.CancelFunc
}

// began is what the times of rests count from.
var began = time.Now()

// New returns streams; nothing is dialed yet.
func New[M any](opt Options[M]) *Streams[M] { return &Streams[M]{opt, map[string]*stream[M]{}} }

// Send queues a message to a peer; false = it does not get there. The stream lasts until ctx ends, or the peer has
// another address.
func (streams *Streams[M]) Send(ctx context.Context, peer string, m M) bool {
	addr := streams.opt.Addr(peer)
	s := streams.to[peer]
	if s != nil && s.addr != addr {
		s.stop()
		delete(streams.to, peer)
		s = nil
	}
	if addr == "" {
		return false
	}
	if s == nil {
		ctx, stop := context.WithCancel(ctx)
		s = &stream[M]{opt: &streams.opt, name: peer, addr: addr, wait: make(chan M, streams.opt.Waiting), stop: stop}
		streams.to[peer] = s
		go s.run(ctx, streams.opt.Link.Dial(peer, addr))
	}
	if int64(time.Since(began)) < s.rest.Load() {
		return false
	}
	select {
	case s.wait <- m:
		return true
	default:
		return false
	}
}

func (s *stream[M]) run(ctx context.Context, c *link.Client) {
	defer c.Close()
	for {
		out := envelope[M]{From: s.opt.Server}
		select {
		case <-ctx.Done():
			return
		case m := <-s.wait:
			out.Messages = append(out.Messages, m)
		}
		for len(out.Messages) < s.opt.Batch && len(s.wait) > 0 {
			out.Messages = append(out.Messages, <-s.wait)
		}
		err := s.send(ctx, c, &out)
		if err == nil || ctx.Err() != nil {
			continue
		}
		s.rest.Store(int64(time.Since(began) + s.opt.Rest))
		for len(s.wait) > 0 { // they would come late
			out.Messages = append(out.Messages, <-s.wait)
		}
		if s.opt.Lost != nil {
			s.opt.Lost(s.name, out.Messages, err)
		}
	}
}

func (s *stream[M]) send(ctx context.Context, c *link.Client, out *envelope[M]) error {
	body, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("messages to %s: %w", s.name, err)
	}
	ctx, stop := context.WithTimeout(ctx, s.opt.Within)
	defer stop()
	_, err = c.Post(ctx, s.opt.Path, body)
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

// Handler receives what the streams of peers send. take reports whether there was room for it.
func Handler[M any](path string, batch int, bytes int64, take func(from string, list []M) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bytes))
		var in envelope[M]
		if err == nil {
			err = bounded.Unmarshal(body, &in)
		}
		switch {
		case err != nil || in.From == "" || len(in.Messages) > batch:
			http.Error(w, fmt.Sprintf("malformed envelope: %d messages of %q: %v", len(in.Messages), in.From, err), http.StatusBadRequest)
		case !take(in.From, in.Messages):
			http.Error(w, "not now", http.StatusServiceUnavailable)
		}
	})
}
