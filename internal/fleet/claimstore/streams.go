package claimstore

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"larchscale/internal/fleet/takeover"
	"larchscale/internal/fleet/transport"
	"larchscale/internal/link"
)

const (
	maxWaiting = 64      // messages to one server; further ones are dropped, and sent again later
	maxBody    = 8 << 20 // bytes in one request
	maxBatch   = 32      // messages in one request
	// maxBatchBytes leaves room in a request for the message that passes it.
	maxBatchBytes = 1 << 20
	path          = "/hand/messages"
)

// newStreams returns the streams to other servers.
func (d *Store) newStreams(link *link.Link) *transport.Streams[*takeover.Message] {
	return transport.New(transport.Options[*takeover.Message]{Server: d.opt.Server, Path: path, Link: link, Waiting: maxWaiting,
		Batch: maxBatch, Size: (*takeover.Message).Size, MaxQueuedBytes: d.maxQueuedBytes(), MaxBatchBytes: maxBatchBytes,
		Within: 2 * time.Second, Rest: tickInterval, // a server that refuses at once is not asked again at full speed
		Addr: func(server string) string { return cmp.Or(d.opt.Addresses[server], d.membership.Addr(server)) },
		Lost: func(to string, messages []*takeover.Message, err error) {
			d.log.Debug("keys", "do", "send", "to", to, "messages", len(messages), "err", err)
		}})
}

// maxQueuedBytes bounds what waits for all peers, and what waits here of theirs, each by half of what the claims of this
// server may take.
func (d *Store) maxQueuedBytes() int {
	return int(cmp.Or(d.opt.Limits.Bytes, takeover.Defaults.Bytes) / 2)
}

// Handler returns the HTTP handler for the messages of other servers.
func (d *Store) Handler() http.Handler {
	return transport.Handler(path, maxBatch, maxBody, d.receive)
}

// receive queues the messages of another server; false = there is no room for them now.
func (d *Store) receive(from string, messages []*takeover.Message) bool {
	messages = slices.DeleteFunc(messages, func(message *takeover.Message) bool { return message == nil })
	size := int64(0)
	for _, message := range messages {
		size += int64(message.Size())
	}
	if waiting := d.receivedBytes.Add(size); waiting > max(size, int64(d.maxQueuedBytes())) {
		d.receivedBytes.Add(-size)
		return false
	}
	queued := d.enqueue(func() {
		d.receivedBytes.Add(-size)
		for _, message := range messages {
			d.machine.Receive(d.now(), from, message)
		}
	})
	if !queued {
		d.receivedBytes.Add(-size)
	}
	return queued
}
