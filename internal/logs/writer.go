package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 512

// Writer passes lines on to another writer from its own goroutine, so that logging never blocks on a reader of the log
// that is slow, stalled or gone. Lines beyond the queue's capacity are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // lines dropped since the last line was written
	stop    chan struct{}
	ended   chan struct{}
}

// NewWriter returns a writer to out; Close ends its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines until Close.
func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.writeLine(<-w.lines)
			}
			return
		}
	}
}

// writeLine writes one line, after a line with the number of dropped ones, if any.
func (w *Writer) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		now := time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00")
		fmt.Fprintf(w.out, "time=%s level=%s msg=\"log lines left out\" lines=%d\n", now, slog.LevelWarn, n)
	}
	w.out.Write(line)
}

// Close writes the queued lines, for at most limit. Lines written after it may be lost. It must be called only once.
func (w *Writer) Close(limit time.Duration) {
	close(w.stop)
	select {
	case <-w.ended:
	case <-time.After(limit):
	}
}
