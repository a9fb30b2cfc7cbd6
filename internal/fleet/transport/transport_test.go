package transport

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"testing"

	"larchscale/internal/link"
)

const (
	messageBytes = 1000
	boundBytes   = 3 * messageBytes
	patience     = 1 << 40 // of a request, longer than the test
)

// silentPeer accepts connections and answers nothing until its listener is closed.
func silentPeer(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// newStreams returns streams to silent peers, and a channel that receives how many messages were lost at a time.
func newStreams(t *testing.T, addr func(string) string) (*Streams[[]byte], chan int) {
	t.Helper()
	peerLink, err := link.New(link.Options{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	lost := make(chan int, 16)
	return New(Options[[]byte]{Server: "self", Path: "/", Link: peerLink, Addr: addr, Waiting: 100, Batch: 100, Within: patience,
		Size: func(m []byte) int { return len(m) }, MaxQueuedBytes: boundBytes, MaxBatchBytes: messageBytes,
		Lost: func(_ string, messages [][]byte, _ error) { lost <- len(messages) }}), lost
}

// Guards against a memory that fills with messages to servers that stand still: their number is bounded for each server,
// their bytes for all together. What was lost counts no longer.
func TestMessagesAreBoundedByBytes(t *testing.T) {
	peers := map[string]net.Listener{"a": silentPeer(t), "b": silentPeer(t)}
	streams, lost := newStreams(t, func(peer string) string { return peers[peer].Addr().String() })
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	message := make([]byte, messageBytes)
	for i, want := range []bool{true, true, true, false} {
		if got := streams.Send(ctx, []string{"a", "b"}[i%2], message); got != want {
			t.Fatalf("message %d was accepted: %v, want %v", i, got, want)
		}
	}
	accepted, err := peers["a"].Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.Close()
	if count := <-lost; count == 0 {
		t.Fatal("no message was lost")
	}
	for !streams.Send(ctx, "b", message) { // the loss is reported just before it is counted
		runtime.Gosched()
	}
}

// Guards against a request of many megabytes: one that has reached its bytes takes no further message.
func TestBatchesAreBoundedByBytes(t *testing.T) {
	streams, _ := newStreams(t, nil)
	s := &stream[[]byte]{streams: streams, queue: make(chan []byte, 10)}
	for range 5 {
		s.queue <- make([]byte, messageBytes*2/3)
	}
	out := &envelope[[]byte]{Messages: [][]byte{<-s.queue}}
	if s.fill(out); len(out.Messages) != 2 {
		t.Errorf("%d messages in a request, want 2", len(out.Messages))
	}
}
