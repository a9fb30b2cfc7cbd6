// Package logs is the program's log: slog's text lines, each kind of warning at most a few times a second.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const perSecond = 5 // lines of one message at one level; a flood of bad input must not fill the log

// Handler passes on lines, but of one message at one level only so many a second. The first line of the next second
// tells how many were left out.
type Handler struct {
	slog.Handler
	shared *limits
}

type limits struct {
	mu   sync.Mutex
	seen map[kind]*count
}

// kind is what shares a bound: an error has its place whatever its message says at lower levels.
type kind struct {
	level   slog.Level
	message string
}

type count struct {
	from       time.Time
	lines, out int
}

// New writes to out.
func New(out io.Writer) *Handler {
	return &Handler{slog.NewTextHandler(out, nil), &limits{seen: map[kind]*count{}}}
}

// Handle writes a line, or counts it as left out.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	left, ok := h.shared.take(kind{r.Level, r.Message}, r.Time)
	if !ok {
		return nil
	}
	if left > 0 {
		r.AddAttrs(slog.Int("left_out", left))
	}
	return h.Handler.Handle(ctx, r)
}

// take asks for room for a line of a kind, and tells how many had none before it. Messages are the program's own
// constants, so that the map stays small.
func (l *limits) take(k kind, now time.Time) (left int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.seen[k]
	if c == nil {
		c = &count{from: now}
		l.seen[k] = c
	}
	if now.Sub(c.from) >= time.Second {
		left = c.out
		*c = count{from: now}
	}
	if c.lines >= perSecond {
		c.out++
		return 0, false
	}
	c.lines++
	return left, true
}

// WithAttrs keeps the limits.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{h.Handler.WithAttrs(a), h.shared}
}

// WithGroup keeps the limits.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.Handler.WithGroup(name), h.shared}
}
