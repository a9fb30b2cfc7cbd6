package keep

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/link"
)

const (
	maxWaiting = 256     // messages to one box; for more it counts as out of reach
	batch      = 32      // messages of one request
	maxBody    = 1 << 20 // bytes of one request
	speakFor   = time.Second
	restFor    = 500 * time.Millisecond // a box that was late or not reached is not asked
	path       = "/kept/messages"
)

// letter is what one box sends another in one request.
type letter struct {
	From     string
	Messages []message
}

// line carries messages to one box, in order, over one connection: one that is slow delays no other.
type line struct {
	k    *Keep
	name string
	addr string
	wait chan message
	rest atomic.Int64 // Unix ms until which it is asked nothing
	stop context.CancelFunc
}

// to gives the line to a box; nil = there is none.
func (k *Keep) to(ctx context.Context, name string) *line {
	if k.link == nil || name == k.box {
		return nil
	}
	addr := cmp.Or(k.ways[name], k.where(name))
	l := k.lines[name]
	if l != nil && l.addr == addr {
		return l
	}
	if l != nil {
		l.stop()
		delete(k.lines, name)
	}
	if addr == "" {
		return nil
	}
	ctx, stop := context.WithCancel(ctx)
	l = &line{k: k, name: name, addr: addr, wait: make(chan message, maxWaiting), stop: stop}
	k.lines[name] = l
	go l.run(ctx, k.link.Dial(name, addr))
	return l
}

// say takes a message; false = it does not get there.
func (l *line) say(m message) bool {
	if l == nil || m.Kind == question && now() < l.rest.Load() {
		return false
	}
	select {
	case l.wait <- m:
		return true
	default:
		return false
	}
}

// pause has the box be asked nothing for a while: what it may have is got below.
func (l *line) pause(why string) {
	if l == nil {
		return
	}
	if at := now(); l.rest.Swap(at+restFor.Milliseconds()) <= at {
		l.k.log.Info("kept", "do", "pause", "box", l.name, "ms", restFor.Milliseconds(), "why", why)
	}
}

func (l *line) run(ctx context.Context, c *link.Client) {
	defer c.Close()
	for {
		out := letter{From: l.k.box}
		select {
		case <-ctx.Done():
			return
		case m := <-l.wait:
			out.Messages = append(out.Messages, m)
		}
		for len(out.Messages) < batch && len(l.wait) > 0 {
			out.Messages = append(out.Messages, <-l.wait)
		}
		if err := l.post(ctx, c, &out); err != nil && ctx.Err() == nil {
			l.pause(err.Error())
			for len(l.wait) > 0 {
				out.Messages = append(out.Messages, <-l.wait)
			}
			l.k.enter(func(ctx context.Context) {
				for _, m := range out.Messages {
					if m.Kind == question {
						l.k.unasked(ctx, l.name, m)
					}
				}
			})
		}
	}
}

func (l *line) post(ctx context.Context, c *link.Client, out *letter) error {
	body, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, speakFor)
	defer stop()
	_, err = c.Post(ctx, path, body)
	return err
}

// bounded keeps what a peer sends from sizing memory.
var bounded = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 10, MaxMapPairs: 1 << 6, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// ServeHTTP takes what other boxes send: POST /kept/messages with a letter.
func (k *Keep) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != path {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var in letter
	if err == nil {
		err = bounded.Unmarshal(body, &in)
	}
	if err != nil || in.From == "" || len(in.Messages) > batch {
		http.Error(w, fmt.Sprintf("no letter: %v", err), http.StatusBadRequest)
		return
	}
	if k.full() {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	k.enter(func(ctx context.Context) {
		for _, m := range in.Messages {
			k.receive(ctx, in.From, m)
		}
	})
}
