// Package transport sends messages of one type between servers over internal/link: one stream per peer, on a
// connection of its own, in order and several messages a request. A message that finds no room in the queue or does
// not arrive is dropped: the sender has to repeat it or do without. A slow or unreachable peer does not delay the
// others.
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

// Options configure the streams for messages of type M.
type Options[M any] struct {
	Server  string                   // the name of this server
	Path    string                   // path of the requests; the same on all servers
	Link    *link.Link               // connections to the peers
	Addr    func(peer string) string // returns the address of a peer; "" = unknown
	Waiting int                      // maximum number of queued messages to one peer
	Batch   int                      // maximum number of messages in one request
	// Size returns the bytes of a message; nil = messages are small, and only their number is bounded.
	Size           func(M) int
	MaxQueuedBytes int           // of messages to all peers; at or above this, further ones are dropped
	MaxBatchBytes  int           // a request that has reached this gets no further message
	Within         time.Duration // timeout of one request
	Rest           time.Duration // after a failed request, messages to the peer are refused for so long
	// Lost is called with messages that did not arrive, on the stream's goroutine; nil = they are ignored.
	Lost func(to string, messages []M, err error)
}

// Streams are the streams of a server to all its peers. They are not safe for concurrent use. Received messages are
// passed to Handler's accept function, on other goroutines.
type Streams[M any] struct {
	opt         Options[M]
	byPeer      map[string]*stream[M]
	queuedBytes atomic.Int64 // of messages that are queued or being sent
}

// envelope is the content of one request.
type envelope[M any] struct {
	From     string
	Messages []M
}

// stream is the connection to one peer: a queue, and a goroutine that sends its messages.
type stream[M any] struct {
	streams     *Streams[M]
	name        string
	addr        string
	queue       chan M
	refuseUntil atomic.Int64 // messages are refused until then, in ns since processStart
	stop        context.CancelFunc
}

// processStart is the origin of the times in refuseUntil.
var processStart = time.Now()

// New returns streams. Connections are made as messages are sent.
func New[M any](opt Options[M]) *Streams[M] {
	return &Streams[M]{opt: opt, byPeer: map[string]*stream[M]{}}
}

// Send queues a message to a peer; false = it is dropped. The stream lasts until ctx ends or the peer's address
// changes.
func (streams *Streams[M]) Send(ctx context.Context, peer string, m M) bool {
	addr := streams.opt.Addr(peer)
	s := streams.byPeer[peer]
	if s != nil && s.addr != addr {
		s.stop()
		delete(streams.byPeer, peer)
		s = nil
	}
	if addr == "" {
		return false
	}
	if s == nil {
		ctx, stop := context.WithCancel(ctx)
		s = &stream[M]{streams: streams, name: peer, addr: addr, queue: make(chan M, streams.opt.Waiting), stop: stop}
		streams.byPeer[peer] = s
		go s.run(ctx, streams.opt.Link.Dial(peer, addr))
	}
	if int64(time.Since(processStart)) < s.refuseUntil.Load() {
		return false
	}
	if streams.opt.Size != nil && streams.queuedBytes.Load() >= int64(streams.opt.MaxQueuedBytes) {
		return false
	}
	select {
	case s.queue <- m:
		streams.queuedBytes.Add(streams.sizeOf(m))
		return true
	default:
		return false
	}
}

// sizeOf returns the bytes of messages; 0 if they are not bounded.
func (streams *Streams[M]) sizeOf(messages ...M) (total int64) {
	if streams.opt.Size == nil {
		return 0
	}
	for _, m := range messages {
		total += int64(streams.opt.Size(m))
	}
	return total
}

func (s *stream[M]) run(ctx context.Context, c *link.Client) {
	defer c.Close()
	opt := &s.streams.opt
	for {
		out := envelope[M]{From: opt.Server}
		select {
		case <-ctx.Done():
			s.streams.queuedBytes.Add(-s.streams.sizeOf(s.takeQueue()...))
			return
		case m := <-s.queue:
			out.Messages = append(out.Messages, m)
		}
		s.fill(&out)
		err := s.send(ctx, c, &out)
		if err != nil && ctx.Err() == nil {
			s.refuseUntil.Store(int64(time.Since(processStart) + opt.Rest))
			out.Messages = append(out.Messages, s.takeQueue()...) // they would arrive too late
			if opt.Lost != nil {
				opt.Lost(s.name, out.Messages, err)
			}
		}
		s.streams.queuedBytes.Add(-s.streams.sizeOf(out.Messages...))
	}
}

// fill adds queued messages to a request, up to its bounds.
func (s *stream[M]) fill(out *envelope[M]) {
	opt := &s.streams.opt
	for bytes := s.streams.sizeOf(out.Messages...); len(out.Messages) < opt.Batch && len(s.queue) > 0; {
		if opt.Size != nil && bytes >= int64(opt.MaxBatchBytes) {
			return
		}
		m := <-s.queue
		bytes += s.streams.sizeOf(m)
		out.Messages = append(out.Messages, m)
	}
}

// takeQueue empties the queue.
func (s *stream[M]) takeQueue() (messages []M) {
	for len(s.queue) > 0 {
		messages = append(messages, <-s.queue)
	}
	return messages
}

func (s *stream[M]) send(ctx context.Context, c *link.Client, out *envelope[M]) error {
	body, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("messages to %s: %w", s.name, err)
	}
	ctx, stop := context.WithTimeout(ctx, s.streams.opt.Within)
	defer stop()
	_, err = c.Post(ctx, s.streams.opt.Path, body)
	return err
}

// boundedDecoder limits the memory that a peer's message can make this server allocate.
var boundedDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()

// Handler returns a handler that receives the messages of peers' streams. accept reports whether it had room for
// them.
func Handler[M any](path string, maxBatch int, maxBytes int64, accept func(from string, messages []M) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
		var in envelope[M]
		if err == nil {
			err = boundedDecoder.Unmarshal(body, &in)
		}
		switch {
		case err != nil || in.From == "" || len(in.Messages) > maxBatch:
			http.Error(w, fmt.Sprintf("malformed envelope: %d messages of %q: %v", len(in.Messages), in.From, err), http.StatusBadRequest)
		case !accept(in.From, in.Messages):
			http.Error(w, "not now", http.StatusServiceUnavailable)
		}
	})
}
