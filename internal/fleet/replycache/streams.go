package replycache

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"larchscale/internal/fleet/transport"
	"larchscale/internal/link"
)

const (
	maxWaiting = 256     // messages to one box; for more it counts as out of reach
	batch      = 32      // messages of one request
	maxBody    = 1 << 20 // bytes of one request
	// messageOverheadBytes is the size of a message without its reply.
	messageOverheadBytes = 256
	speakFor             = time.Second
	restFor              = 500 * time.Millisecond // a box that was late or not reached is not asked
	path                 = "/kept/messages"
)

// sender brings a message to a box; false = it does not get there.
type sender interface {
	Send(ctx context.Context, box string, m message) bool
}

// newStreams makes the streams to other servers. A question that does not get there is as one that was not asked.
func (k *Cache) newStreams(l *link.Link, where func(string) string, ways map[string]string) sender {
	return transport.New(transport.Options[message]{Server: k.box, Path: path, Link: l, Waiting: maxWaiting, Batch: batch,
		Size: message.size, MaxQueuedBytes: int(k.maxQueuedBytes), MaxBatchBytes: maxBody / 4, Within: speakFor, Rest: 0, // only questions rest, see pause
		Addr: func(box string) string { return cmp.Or(ways[box], where(box)) },
		Lost: func(to string, list []message, err error) {
			k.enter(func(ctx context.Context) {
				k.pause(to, err.Error())
				for _, m := range list {
					if m.Kind == question {
						k.unasked(ctx, to, m)
					}
				}
			})
		}})
}

// size returns the approximate bytes of a message.
func (m message) size() int { return messageOverheadBytes + len(m.Reply) }

// post brings a message to a box; false = it does not get there, or it is a question, of which it rests.
func (k *Cache) post(ctx context.Context, box string, m message) bool {
	return k.streams != nil && box != k.box && !(m.Kind == question && now() < k.rests[box]) && k.streams.Send(ctx, box, m)
}

// pause has a box be asked nothing for a while: what it may have is got below.
func (k *Cache) pause(box, why string) {
	at := now()
	if k.rests[box] <= at {
		k.log.Info("kept", "do", "pause", "box", box, "ms", restFor.Milliseconds(), "why", why)
	}
	k.rests[box] = at + restFor.Milliseconds()
}

// Handler takes what other boxes send.
func (k *Cache) Handler() http.Handler {
	return transport.Handler(path, batch, maxBody, func(from string, list []message) bool {
		if k.full() {
			return false
		}
		k.enter(func(ctx context.Context) {
			for _, m := range list {
				k.receive(ctx, from, m)
			}
		})
		return true
	})
}
