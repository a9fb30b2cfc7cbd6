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

// stuck is a reader of the log that stands still until it is let go.
type stuck struct {
	let chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	return s.Buffer.Write(b)
}

// Whoever logs does not wait for a reader that stands still: what finds no room is counted, and told later.
func TestAReaderThatStandsStillHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{let: make(chan struct{})}
		w := NewWriter(out)
		start := time.Now()
		for i := range 2 * queued {
			fmt.Fprintf(w, "line %d\n", i)
		}
		if d := time.Since(start); d > 0 {
			t.Errorf("it took %v", d)
		}
		synctest.Wait()
		close(out.let)
		synctest.Wait()
		fmt.Fprintln(w, "the last")
		w.Close(time.Second)
		got := out.String()
		left := 0
		for _, m := range regexp.MustCompile(`msg="log lines left out" lines=(\d+)`).FindAllStringSubmatch("\n"+got, -1) {
			n, _ := strconv.Atoi(m[1])
			left += n
		}
		if written := strings.Count("\n"+got, "\nline "); written < queued || written+left != 2*queued || !strings.HasSuffix(got, "the last\n") {
			t.Errorf("%d lines written, %d left out of %d: … %s", written, left, 2*queued, got[max(0, len(got)-200):])
		}
	})
}

// A Close does not wait for long either, and a reader that has gone is no failure of who logs.
func TestAReaderThatHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		read, write := io.Pipe()
		w := NewWriter(write)
		read.CloseWithError(errors.New("gone"))
		if _, err := fmt.Fprintln(w, "a line"); err != nil {
			t.Error(err)
		}
		w.Close(time.Second)

		out := &stuck{let: make(chan struct{})}
		w = NewWriter(out)
		fmt.Fprintln(w, "a line")
		start := time.Now()
		w.Close(50 * time.Millisecond)
		if d := time.Since(start); d != 50*time.Millisecond {
			t.Errorf("closed after %v", d)
		}
		close(out.let)
	})
}
