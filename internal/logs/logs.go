// Package logs writes the program's log: text lines of slog, rate limited per message, through a writer that never
// blocks.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// perSecond bounds the lines of one message at one level, so that a flood of bad input does not fill the log.
const perSecond = 5

// Handler passes lines on, but only perSecond of each message and level per second. The first line after that second
// reports in left_out how many were dropped.
type Handler struct {
	slog.Handler
	shared *limits
}

// limits counts the lines of each kind.
type limits struct {
	mu   sync.Mutex
	seen map[kind]*count
}

// kind identifies lines that share a limit. The level is part of it, so that an error is written even after a flood of
// the same message at a lower level.
type kind struct {
	level   slog.Level
	message string
}

// count holds the lines of one kind within a second.
type count struct {
	since            time.Time // start of the second
	written, dropped int       // lines passed on and dropped
}

// New returns a handler that writes to out.
func New(out io.Writer) *Handler {
	return &Handler{slog.NewTextHandler(out, nil), &limits{seen: map[kind]*count{}}}
}

// Handle implements slog.Handler: it writes a line or counts it as dropped.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := h.shared.allow(kind{r.Level, r.Message}, r.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int("left_out", dropped))
	}
	return h.Handler.Handle(ctx, r)
}

// allow reports whether a line of a kind may be written now and how many were dropped before it. The map stays small
// because messages are constants of the program.
func (l *limits) allow(k kind, now time.Time) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counter := l.seen[k]
	if counter == nil {
		counter = &count{since: now}
		l.seen[k] = counter
	}
	if now.Sub(counter.since) >= time.Second {
		dropped = counter.dropped
		*counter = count{since: now}
	}
	if counter.written >= perSecond {
		counter.dropped++
		return 0, false
	}
	counter.written++
	return dropped, true
}

// WithAttrs implements slog.Handler. The limits are shared.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{h.Handler.WithAttrs(a), h.shared}
}

// WithGroup implements slog.Handler. The limits are shared.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.Handler.WithGroup(name), h.shared}
}
