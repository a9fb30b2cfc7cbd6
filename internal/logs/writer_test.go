package logs

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stalledWriter blocks every write until release is closed.
type stalledWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// Logging does not block on a stalled reader; lines that do not fit in the queue are counted and reported later.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		w := NewWriter(out)
		start := time.Now()
		for i := range 2 * maxQueuedLines {
			fmt.Fprintf(w, "line %d\n", i)
		}
		if d := time.Since(start); d > 0 {
			t.Errorf("the writes took %v", d)
		}
		synctest.Wait()
		close(out.release)
		synctest.Wait()
		fmt.Fprintln(w, "the last")
		w.Close(time.Second)
		got := out.String()
		dropped := 0
		for _, m := range regexp.MustCompile(`msg="log lines left out" lines=(\d+)`).FindAllStringSubmatch("\n"+got, -1) {
			n, _ := strconv.Atoi(m[1])
			dropped += n
		}
		if written := strings.Count("\n"+got, "\nline "); written < maxQueuedLines || written+dropped != 2*maxQueuedLines || !strings.HasSuffix(got, "the last\n") {
			t.Errorf("%d lines written and %d dropped of %d: … %s", written, dropped, 2*maxQueuedLines, got[max(0, len(got)-200):])
		}
	})
}

// Writes do not fail after the reader has gone, and Close waits for a stalled reader only up to its limit.
func TestReaderThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		read, write := io.Pipe()
		w := NewWriter(write)
		read.CloseWithError(errors.New("gone"))
		if _, err := fmt.Fprintln(w, "a line"); err != nil {
			t.Error(err)
		}
		w.Close(time.Second)

		out := &stalledWriter{release: make(chan struct{})}
		w = NewWriter(out)
		fmt.Fprintln(w, "a line")
		start := time.Now()
		w.Close(50 * time.Millisecond)
		if d := time.Since(start); d != 50*time.Millisecond {
			t.Errorf("closed after %v", d)
		}
		close(out.release)
	})
}
