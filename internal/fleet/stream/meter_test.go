package stream_test

import (
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/link"
)

// Both ends count the messages of each kind, and report them as metrics.
func TestMeterCountsMessages(t *testing.T) {
	const heartbeats = 5
	node := serve(t, link.Options{}, time.Minute, func(s *stream.Session) {
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
	conn, err := dialer.Dial(t.Context(), "c1", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.Send(&session.FromServer{Hello: &session.Hello{Server: "app-1", Session: 1}}); err != nil {
		t.Fatal(err)
	}
	receive(t, conn, 1)
	for sequence := range uint64(heartbeats) {
		if err := conn.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: sequence + 1}}); err != nil {
			t.Fatal(err)
		}
		receive(t, conn, 2)
	}
	if err := conn.Send(&session.FromServer{Heartbeat: &session.Heartbeat{Sequence: heartbeats + 1}}); err != nil {
		t.Fatal(err)
	}
	receive(t, conn, 2) // by now the node has counted everything that it sent before
	want := stream.Messages{Hellos: 1, Heartbeats: heartbeats + 1, Welcomes: 1, Acks: heartbeats + 1, Batches: heartbeats + 1}
	if got := meter.Messages(); got != want {
		t.Errorf("the server counted %+v, want %+v", got, want)
	}
	got := node.meter.Messages()
	if got.Batches == heartbeats { // the last batch is counted only after its write has returned
		got.Batches++
	}
	if got != want {
		t.Errorf("the node counted %+v, want %+v", got, want)
	}
	if metrics := string(meter.Metrics()); !strings.Contains(metrics, "fleet.session_heartbeats=6\n") || !strings.Contains(metrics, "fleet.session_batches=6\n") {
		t.Error(metrics)
	}
}

func receive(t *testing.T, conn *stream.Conn, count int) {
	t.Helper()
	for range count {
		if _, err := conn.Receive(); err != nil {
			t.Fatal(err)
		}
	}
}
