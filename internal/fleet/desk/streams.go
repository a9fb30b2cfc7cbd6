package desk

import (
	"cmp"
	"net/http"
	"time"

	"larchscale/internal/fleet/hand"
	"larchscale/internal/fleet/transport"
	"larchscale/internal/link"
)

const (
	maxWaiting = 64      // messages to one box; more are dropped, and said again
	maxBody    = 8 << 20 // bytes of one request
	batch      = 32      // messages of one request
	path       = "/hand/messages"
)

// newStreams makes the desk's streams to other servers.
func (d *Desk) newStreams(l *link.Link) *transport.Streams[*hand.Msg] {
	return transport.New(transport.Options[*hand.Msg]{Server: d.opt.Box, Path: path, Link: l, Waiting: maxWaiting, Batch: batch,
		Within: 2 * time.Second, Rest: tickEach, // a box that refuses at once is not asked again at full speed
		Addr: func(box string) string { return cmp.Or(d.opt.Ways[box], d.ground.Addr(box)) },
		Lost: func(to string, list []*hand.Msg, err error) {
			d.log.Debug("keys", "do", "send", "to", to, "messages", len(list), "err", err)
		}})
}

// Handler takes what other boxes send.
func (d *Desk) Handler() http.Handler {
	return transport.Handler(path, batch, maxBody, func(from string, list []*hand.Msg) bool {
		return d.enter(func() {
			for _, m := range list {
				if m != nil {
					d.hand.Receive(d.now(), from, m)
				}
			}
		})
	})
}
