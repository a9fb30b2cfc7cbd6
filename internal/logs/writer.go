package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// queued bounds the lines that wait for whoever reads the log.
const queued = 512

// Writer passes lines on to another writer from a goroutine of its own, so that nobody who logs waits for a reader of the
// log that is slow, stands still or has gone. Lines beyond those that may wait are left out and counted.
type Writer struct {
	out   io.Writer
	lines chan []byte
	left  atomic.Int64 // out since the last line that was taken
	stop  chan struct{}
	ended chan struct{}
}

// NewWriter makes a writer; its Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queued), stop: make(chan struct{}), ended: make(chan struct{})}
	go w.pass()
	return w
}

// Write takes one line. It never blocks, and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

func (w *Writer) pass() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.passOn(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.passOn(<-w.lines)
			}
			return
		}
	}
}

func (w *Writer) passOn(line []byte) {
	if n := w.left.Swap(0); n > 0 {
		now := time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00")
		fmt.Fprintf(w.out, "time=%s level=%s msg=\"log lines left out\" lines=%d\n", now, slog.LevelWarn, n)
	}
	w.out.Write(line)
}

// Close passes on what waits, for limit at the most. Lines after it may be lost. It is called once.
func (w *Writer) Close(limit time.Duration) {
	close(w.stop)
	select {
	case <-w.ended:
	case <-time.After(limit):
	}
}
