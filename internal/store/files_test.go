package store

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"larchscale/internal/core"
)

// twoProcesses opens two stores on one directory, as two processes of one server in a replacement, on a clock
// that the test moves.
func twoProcesses(t *testing.T, bound int64) (a, b *Files, events chan core.Event, clock *atomic.Int64) {
	t.Helper()
	dir := t.TempDir()
	events = make(chan core.Event, 16)
	clock = &atomic.Int64{}
	clock.Store(time.Unix(1_000_000, 0).UnixNano())
	open := func(owner string) *Files {
		s, err := OpenFiles(dir, owner, []string{"quote", "book"}, bound, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		s.now = func() time.Time { return time.Unix(0, clock.Load()) }
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go s.Run(ctx)
		return s
	}
	return open("n1-old"), open("n1-new"), events, clock
}

func claim(t *testing.T, s *Files, events chan core.Event, k core.Key, sum [32]byte) core.Claimed {
	t.Helper()
	if !s.Claim(core.Piece{Key: k, Sum: sum, Life: 10 * time.Second}) {
		t.Fatal("no room for a claim")
	}
	return (<-events).(core.Claimed)
}

// settle waits until what was queued on s is done.
func settle(s *Files) {
	done := make(chan struct{})
	for !s.do(func() { close(done) }) {
	}
	<-done
}

// A keyed write claimed by one process is not run by the other: it is told that the other has it, then the
// result, and a body that differs is told so.
func TestFilesKeepOneWriteOverTwoProcesses(t *testing.T) {
	old, next, events, clock := twoProcesses(t, 1<<20)
	k, sum, other := core.Key{Class: 1, Token: "t1"}, [32]byte{1}, [32]byte{2}
	for _, step := range []struct {
		s    *Files
		sum  [32]byte
		want core.Claim
	}{{old, sum, core.ClaimWon}, {next, sum, core.ClaimOther}, {old, sum, core.ClaimWon}, {next, other, core.ClaimOff}} {
		if got := claim(t, step.s, events, k, step.sum); got.State != step.want {
			t.Fatalf("claim by %s: %v, want %v", step.s.owner, got.State, step.want)
		}
	}
	old.Finish(k, sum, true, []byte("booked"), 10*time.Second)
	settle(old)
	if got := claim(t, next, events, k, sum); got.State != core.ClaimDone || string(got.Result) != "booked" {
		t.Fatalf("after the old one finished: %v %q", got.State, got.Result)
	}
	next.Release(k) // not its claim: nothing changes
	settle(next)
	if got := claim(t, next, events, k, sum); got.State != core.ClaimDone {
		t.Fatalf("after a release by another: %v", got.State)
	}
	clock.Add(int64(11 * time.Second))
	if got := claim(t, next, events, k, sum); got.State != core.ClaimWon {
		t.Fatalf("after its expiry: %v", got.State)
	}
}

// A failed run is told as failed to the other process; a released claim of what never ran frees the key.
func TestFilesFailedAndReleased(t *testing.T) {
	old, next, events, _ := twoProcesses(t, 1<<20)
	sum := [32]byte{3}
	failed, released := core.Key{Class: 1, Token: "f"}, core.Key{Class: 1, Token: "r"}
	claim(t, old, events, failed, sum)
	claim(t, old, events, released, sum)
	old.Finish(failed, sum, false, []byte("ignored"), time.Second)
	old.Release(released)
	settle(old)
	if got := claim(t, next, events, failed, sum); got.State != core.ClaimFailed {
		t.Fatalf("a failed run: %v", got.State)
	}
	if got := claim(t, next, events, released, sum); got.State != core.ClaimWon {
		t.Fatalf("a released claim: %v", got.State)
	}
}

// Past its bound of bytes the store refuses new claims; what expired is swept and makes room again.
func TestFilesBound(t *testing.T) {
	old, _, events, clock := twoProcesses(t, 200)
	sum := [32]byte{4}
	n := 0
	for ; n < 10; n++ {
		if claim(t, old, events, core.Key{Class: 0, Token: string(rune('a' + n))}, sum).State == core.ClaimDown {
			break
		}
	}
	if n == 0 || n == 10 {
		t.Fatalf("%d claims of about 90 bytes each in a bound of 200", n)
	}
	clock.Add(int64(time.Minute))
	done := make(chan struct{})
	old.do(func() { old.sweep(); close(done) })
	<-done
	if got := claim(t, old, events, core.Key{Class: 0, Token: "z"}, sum); got.State != core.ClaimWon {
		t.Fatalf("after the sweep: %v", got.State)
	}
}
