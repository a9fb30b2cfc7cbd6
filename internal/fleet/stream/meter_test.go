package stream_test

import (
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/link"
)

// Both ends count the messages of each kind, and the lines of the admin endpoint tell them.
func TestMeterCountsMessages(t *testing.T) {
	const heartbeats = 5
	at := serve(t, link.Options{}, time.Minute, func(s *stream.Session) {
		if _, err := s.Receive(); err != nil {
			return
		}
		if s.Send(&session.FromNode{Welcome: &session.Welcome{Fleet: 1, Node: "c1"}}) != nil {
			return
		}
		echo(s)
	})
	meter := &stream.Meter{}
	dialer := &stream.Dialer{Meter: meter}
	conn, err := dialer.Dial(t.Context(), "c1", at.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.Send(&session.FromServer{Hello: &session.Hello{Server: "app-1", Session: 1}}); err != nil {
		t.Fatal(err)
	}
	receive(t, conn, 1)
	for number := range uint64(heartbeats) {
		if err := conn.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: number + 1}}); err != nil {
			t.Fatal(err)
		}
		receive(t, conn, 2)
	}
	if err := conn.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: heartbeats + 1}}); err != nil {
		t.Fatal(err)
	}
	receive(t, conn, 2) // the node has counted all that it sent before
	want := stream.Messages{Hellos: 1, Heartbeats: heartbeats + 1, Welcomes: 1, Acks: heartbeats + 1, Batches: heartbeats + 1}
	if got := meter.Messages(); got != want {
		t.Errorf("the server counted %+v, not %+v", got, want)
	}
	got := at.meter.Messages()
	if got.Batches == heartbeats { // the last one is counted once its write has returned
		got.Batches++
	}
	if got != want {
		t.Errorf("the node counted %+v, not %+v", got, want)
	}
	if lines := string(meter.Metrics()); !strings.Contains(lines, "fleet.session_heartbeats=6\n") || !strings.Contains(lines, "fleet.session_batches=6\n") {
		t.Error(lines)
	}
}

func receive(t *testing.T, conn *stream.Conn, messages int) {
	t.Helper()
	for range messages {
		if _, err := conn.Receive(); err != nil {
			t.Fatal(err)
		}
	}
}
