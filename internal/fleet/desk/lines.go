package desk

import (
	"cmp"
	"net/http"
	"time"

	"larchscale/internal/fleet/hand"
	"larchscale/internal/fleet/post"
	"larchscale/internal/link"
)

const (
	maxWaiting = 64      // messages to one box; more are dropped, and said again
	maxBody    = 8 << 20 // bytes of one request
	batch      = 32      // messages of one request
	path       = "/hand/messages"
)

// newLines makes the desk's lines to other boxes.
func (d *Desk) newLines(l *link.Link) *post.Lines[*hand.Msg] {
	return post.New(post.Options[*hand.Msg]{Box: d.opt.Box, Path: path, Link: l, Waiting: maxWaiting, Batch: batch,
		Within: 2 * time.Second, Rest: tickEach, // a box that refuses at once is not asked again at full speed
		Addr: func(box string) string { return cmp.Or(d.opt.Ways[box], d.ground.Addr(box)) },
		Lost: func(to string, list []*hand.Msg, err error) {
			d.log.Debug("keys", "do", "send", "to", to, "messages", len(list), "err", err)
		}})
}

// Handler takes what other boxes send.
func (d *Desk) Handler() http.Handler {
	return post.Handler(path, batch, maxBody, func(from string, list []*hand.Msg) bool {
		return d.enter(func() {
			for _, m := range list {
				if m != nil {
					d.hand.Receive(d.now(), from, m)
				}
			}
		})
	})
}
