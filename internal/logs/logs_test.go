package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A flood of one message does not suppress others, and the next second reports how many lines were dropped.
func TestFloodIsLimited(t *testing.T) {
	var out bytes.Buffer
	h := New(&out).WithAttrs([]slog.Attr{slog.String("server", "n3")})
	at := time.Unix(1000, 0)
	for range 100 {
		h.Handle(context.Background(), slog.NewRecord(at, slog.LevelWarn, "bad message", 0))
	}
	h.Handle(context.Background(), slog.NewRecord(at, slog.LevelWarn, "link down", 0))
	h.Handle(context.Background(), slog.NewRecord(at.Add(time.Second), slog.LevelWarn, "bad message", 0))
	got := out.String()
	if n := strings.Count(got, "bad message"); n != perSecond+1 {
		t.Errorf("%d lines", n)
	}
	if !strings.Contains(got, "link down") || !strings.Contains(got, "left_out=95") {
		t.Error(got)
	}
}

// An error is written even after a flood of its message at a lower level.
func TestErrorAfterFloodIsWritten(t *testing.T) {
	var out bytes.Buffer
	h, at := New(&out), time.Unix(1000, 0)
	for range 20 {
		h.Handle(context.Background(), slog.NewRecord(at, slog.LevelInfo, "fleet", 0))
	}
	h.Handle(context.Background(), slog.NewRecord(at, slog.LevelError, "fleet", 0))
	if text := out.String(); strings.Count(text, "level=INFO") != perSecond || !strings.Contains(text, "level=ERROR") {
		t.Errorf("written:\n%s", text)
	}
}
