package desk

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/hand"
	"larchscale/internal/link"
)

const (
	maxWaiting = 64      // messages to one box; more are dropped, and said again
	maxBody    = 8 << 20 // bytes of one request
	batch      = 32      // messages of one request
	speakFor   = 2 * time.Second
	path       = "/hand/messages"
)

// letter is what one box sends another in one request.
type letter struct {
	From     string
	Messages []*hand.Msg
}

// line carries messages to one box, in order, over one connection: one that is slow delays no other.
type line struct {
	d    *Desk
	addr string
	wait chan *hand.Msg
	stop context.CancelFunc
}

// to gives the line to a box; nil = nobody knows where it is.
func (d *Desk) to(ctx context.Context, name string) *line {
	addr := cmp.Or(d.opt.Ways[name], d.ground.Addr(name))
	l := d.lines[name]
	if l != nil && l.addr == addr {
		return l
	}
	if l != nil {
		l.stop()
		delete(d.lines, name)
	}
	if addr == "" {
		return nil
	}
	ctx, stop := context.WithCancel(ctx)
	l = &line{d: d, addr: addr, wait: make(chan *hand.Msg, maxWaiting), stop: stop}
	d.lines[name] = l
	go l.run(ctx, d.link.Dial(name, addr))
	return l
}

func (l *line) say(m *hand.Msg) {
	if l == nil {
		return
	}
	select {
	case l.wait <- m:
	default:
	}
}

func (l *line) run(ctx context.Context, c *link.Client) {
	defer c.Close()
	for {
		var out letter
		select {
		case <-ctx.Done():
			return
		case m := <-l.wait:
			out = letter{l.d.opt.Box, []*hand.Msg{m}}
		}
		for len(out.Messages) < batch && len(l.wait) > 0 {
			out.Messages = append(out.Messages, <-l.wait)
		}
		if err := l.post(ctx, c, &out); err != nil && ctx.Err() == nil {
			l.d.log.Debug("keys", "do", "send", "to", l.addr, "err", err)
			select { // a box that refuses at once is not asked again at full speed
			case <-ctx.Done():
				return
			case <-time.After(tickEach):
			}
		}
	}
}

func (l *line) post(ctx context.Context, c *link.Client, out *letter) error {
	body, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, speakFor)
	defer stop()
	_, err = c.Post(ctx, path, body)
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

// ServeHTTP takes what other boxes send: POST /hand/messages with a letter.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != path {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var in letter
	if err == nil {
		err = bounded.Unmarshal(body, &in)
	}
	if err != nil || in.From == "" {
		http.Error(w, fmt.Sprintf("no letter: %v", err), http.StatusBadRequest)
		return
	}
	if !d.enter(func() {
		for _, m := range in.Messages {
			if m != nil {
				d.hand.Receive(d.now(), in.From, m)
			}
		}
	}) {
		http.Error(w, "not now", http.StatusServiceUnavailable)
	}
}
