package claimstore

import (
	"log/slog"
	"testing"

	"larchscale/internal/core"
	"larchscale/internal/fleet/membership"
	"larchscale/internal/fleet/takeover"
)

// Guards against a server that stands still behind its peers and fills its memory with what they send: a message is taken
// for as long as those that wait are within their bytes, and counts no longer once it was handled.
func TestReceivedMessagesAreBoundedByBytes(t *testing.T) {
	const bodyBytes = 100_000
	d := New(Options{Limits: takeover.Limits{Bytes: 5 * bodyBytes}}, func(core.Event) {}, slog.New(slog.DiscardHandler))
	d.membership = membership.New(membership.Options{}, func(*membership.View) {}, d.log)
	message := &takeover.Message{Items: []takeover.Item{{Piece: &takeover.KeyedRequest{Body: make([]byte, bodyBytes)}}}}
	for i, want := range []bool{true, true, false} {
		if got := d.receive("peer", []*takeover.Message{message, nil}); got != want {
			t.Errorf("message %d was taken: %v, want %v", i, got, want)
		}
	}
	for len(d.queue) > 0 {
		handle := <-d.queue
		handle()
	}
	if waiting := d.receivedBytes.Load(); waiting != 0 {
		t.Errorf("%d bytes still count", waiting)
	}
}
