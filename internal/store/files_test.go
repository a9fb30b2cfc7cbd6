package store

import (
	"context"
	"encoding/binary"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/core"
)

// twoProcesses opens two stores on one directory, like the two processes of a server while one replaces the other,
// with a clock that the test advances.
func twoProcesses(t *testing.T, maxBytes int64) (a, b *Files, events chan core.Event, clock *atomic.Int64) {
	t.Helper()
	dir := t.TempDir()
	events = make(chan core.Event, 16)
	clock = &atomic.Int64{}
	clock.Store(time.Unix(1_000_000, 0).UnixNano())
	open := func(owner string) *Files {
		s, err := OpenFiles(dir, owner, []string{"quote", "book"}, maxBytes, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		s.now = func() time.Time { return time.Unix(0, clock.Load()) }
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		t.Cleanup(func() {
			stop()
			<-stopped
		})
		go func() {
			defer close(stopped)
			s.Run(ctx)
		}()
		return s
	}
	return open("n1-old"), open("n1-new"), events, clock
}

// claimID is the claim of a test whose process makes one.
const claimID = core.ClaimID(1)

func claim(t *testing.T, s *Files, events chan core.Event, k core.Key, sum [32]byte) core.ClaimAnswered {
	t.Helper()
	if !s.Claim(core.KeyedRequest{Key: k, ClaimID: claimID, Sum: sum, Life: 10 * time.Second}) {
		t.Fatal("no room for a claim")
	}
	return (<-events).(core.ClaimAnswered)
}

// waitForQueue waits until the work queued on s is done.
func waitForQueue(s *Files) {
	done := make(chan struct{})
	for !s.enqueue(func(error) { close(done) }) {
	}
	<-done
}

// Checks that a keyed write claimed by one process is not run by the other, which learns of the claim, then of the
// result, and that a different body under the same key is reported as a conflict.
func TestFilesKeyClaimedByOneOfTwoProcesses(t *testing.T) {
	old, next, events, clock := twoProcesses(t, 1<<20)
	k, sum, other := core.Key{Class: 1, Token: "t1"}, [32]byte{1}, [32]byte{2}
	for _, step := range []struct {
		s    *Files
		sum  [32]byte
		want core.Claim
	}{{old, sum, core.ClaimWon}, {next, sum, core.ClaimOther}, {old, sum, core.ClaimWon}, {next, other, core.ClaimConflict}} {
		if got := claim(t, step.s, events, k, step.sum); got.State != step.want {
			t.Fatalf("claim by %s: %v, want %v", step.s.owner, got.State, step.want)
		}
	}
	old.Finish(k, claimID, sum, true, []byte("booked"), 10*time.Second)
	waitForQueue(old)
	if got := claim(t, next, events, k, sum); got.State != core.ClaimDone || string(got.Result) != "booked" {
		t.Fatalf("after the old one finished: %v %q", got.State, got.Result)
	}
	next.Release(k, claimID) // owned by the other process: nothing changes
	waitForQueue(next)
	if got := claim(t, next, events, k, sum); got.State != core.ClaimDone {
		t.Fatalf("after a release by another: %v", got.State)
	}
	clock.Add(int64(11 * time.Second))
	if got := claim(t, next, events, k, sum); got.State != core.ClaimWon {
		t.Fatalf("after its expiry: %v", got.State)
	}
}

// A release of an earlier claim, however late, leaves the later claim of the same process.
func TestFilesLateReleaseLeavesLaterClaim(t *testing.T) {
	old, next, events, _ := twoProcesses(t, 1<<20)
	k, sum := core.Key{Class: 1, Token: "t1"}, [32]byte{1}
	claim(t, old, events, k, sum)
	if !old.Claim(core.KeyedRequest{Key: k, ClaimID: claimID + 1, Sum: sum, Life: 10 * time.Second}) {
		t.Fatal("no room for a claim")
	}
	want := core.ClaimAnswered{Key: k, ClaimID: claimID + 1, State: core.ClaimWon}
	if diff := cmp.Diff(core.Event(want), <-events); diff != "" {
		t.Fatal(diff)
	}
	old.Release(k, claimID)
	old.Finish(k, claimID, sum, false, nil, 10*time.Second)
	waitForQueue(old)
	if got := claim(t, next, events, k, sum); got.State != core.ClaimOther {
		t.Fatalf("after the late release: %v", got.State)
	}
	old.Finish(k, claimID+1, sum, true, []byte("booked"), 10*time.Second)
	waitForQueue(old)
	if got := claim(t, next, events, k, sum); got.State != core.ClaimDone {
		t.Fatalf("after the run: %v", got.State)
	}
}

// Checks that a failed run is reported as failed to the other process and that releasing the claim of a request that
// never ran frees its key.
func TestFilesFailedRunAndReleasedClaim(t *testing.T) {
	old, next, events, _ := twoProcesses(t, 1<<20)
	sum := [32]byte{3}
	failed, released := core.Key{Class: 1, Token: "f"}, core.Key{Class: 1, Token: "r"}
	claim(t, old, events, failed, sum)
	claim(t, old, events, released, sum)
	old.Finish(failed, claimID, sum, false, []byte("ignored"), time.Second)
	old.Release(released, claimID)
	waitForQueue(old)
	if got := claim(t, next, events, failed, sum); got.State != core.ClaimFailed {
		t.Fatalf("a failed run: %v", got.State)
	}
	if got := claim(t, next, events, released, sum); got.State != core.ClaimWon {
		t.Fatalf("a released claim: %v", got.State)
	}
}

// Checks that the store refuses new claims beyond its size limit, and that a sweep of expired files makes room again.
func TestFilesSizeLimit(t *testing.T) {
	old, _, events, clock := twoProcesses(t, 200)
	sum := [32]byte{4}
	n := 0
	for ; n < 10; n++ {
		if claim(t, old, events, core.Key{Class: 0, Token: string(rune('a' + n))}, sum).State == core.ClaimUnavailable {
			break
		}
	}
	if n == 0 || n == 10 {
		t.Fatalf("%d claims of about 90 bytes each in a bound of 200", n)
	}
	clock.Add(int64(time.Minute))
	done := make(chan struct{})
	old.enqueue(func(err error) { old.sweep(err); close(done) })
	<-done
	if got := claim(t, old, events, core.Key{Class: 0, Token: "z"}, sum); got.State != core.ClaimWon {
		t.Fatalf("after the sweep: %v", got.State)
	}
}

// holdLock holds the directory lock, like a process that is stopped while it has it, until goOn is called.
func holdLock(t *testing.T, s *Files) (goOn func()) {
	t.Helper()
	lock, err := os.OpenFile(filepath.Join(s.dir, ".lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lock.Close() })
	return func() { lock.Close() }
}

// Checks that claims are refused without long waits while the other process is stopped with the directory lock held,
// that ends of runs are stored once the lock is free, and that claims then succeed again.
func TestFilesWhileTheOtherProcessHoldsTheLock(t *testing.T) {
	old, next, events, _ := twoProcesses(t, 1<<20)
	sum := [32]byte{1}
	ran, failed, free := core.Key{Class: 1, Token: "ran"}, core.Key{Class: 1, Token: "failed"}, core.Key{Class: 1, Token: "free"}
	for _, k := range []core.Key{ran, failed, free} {
		if got := claim(t, next, events, k, sum); got.State != core.ClaimWon {
			t.Fatalf("claim of %s: %v", k.Token, got.State)
		}
	}
	waitForQueue(old) // its first sweep is over
	goOn := holdLock(t, next)
	began := time.Now()
	for i := range 100 {
		if got := claim(t, next, events, core.Key{Class: 1, Token: string(rune('A' + i))}, sum); got.State != core.ClaimUnavailable {
			t.Fatalf("a claim while the lock is held: %v", got.State)
		}
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("100 claims were refused after %v", took)
	}
	next.Finish(ran, claimID, sum, true, []byte("booked"), 10*time.Second)
	next.Finish(failed, claimID, sum, false, nil, 10*time.Second)
	next.Release(free, claimID)
	for i := range 2 * queueLimit { // releasing refused claims must not displace pending ends of runs
		next.Release(core.Key{Class: 1, Token: string(rune('A' + i))}, claimID)
		waitForQueue(next)
	}
	goOn()
	for k, want := range map[core.Key]core.Claim{ran: core.ClaimDone, failed: core.ClaimFailed, free: core.ClaimWon} {
		waitForQueue(next) // runs after the pending ends
		if got := claim(t, old, events, k, sum); got.State != want {
			t.Errorf("%s: %v, want %v", k.Token, got.State, want)
		}
	}
}

// Checks that work queued when the store stops is completed, so that the successor knows the last run of the old
// process.
func TestFilesCompleteQueuedWorkOnStop(t *testing.T) {
	old, next, events, _ := twoProcesses(t, 1<<20)
	k, sum := core.Key{Class: 1, Token: "last"}, [32]byte{1}
	last, err := OpenFiles(old.dir, "n1-last", old.classNames, 1<<20, func(e core.Event) { events <- e }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	last.now = old.now
	last.Claim(core.KeyedRequest{Key: k, ClaimID: claimID, Sum: sum, Life: 10 * time.Second})
	last.Finish(k, claimID, sum, true, []byte("booked"), 10*time.Second)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	last.Run(ctx)
	<-events
	if got := claim(t, next, events, k, sum); got.State != core.ClaimDone {
		t.Errorf("%v", got.State)
	}
}

// Checks that a full queue refuses a claim and leaves no trace of its key, and that every claim accepted before is
// answered exactly once.
func TestFilesQueueFull(t *testing.T) {
	_, next, events, _ := twoProcesses(t, 1<<20)
	got := make(chan core.Event, queueLimit)
	slow, err := OpenFiles(next.dir, "n1-slow", next.classNames, 1<<20, func(e core.Event) { got <- e }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	slow.now = next.now
	sum, key := [32]byte{1}, func(i int) core.Key { return core.Key{Class: 1, Token: string(rune('A' + i))} }
	for i := range queueLimit {
		if !slow.Claim(core.KeyedRequest{Key: key(i), ClaimID: claimID, Sum: sum, Life: 10 * time.Second}) {
			t.Fatalf("no room for claim %d", i)
		}
	}
	if slow.Claim(core.KeyedRequest{Key: key(queueLimit), ClaimID: claimID, Sum: sum, Life: 10 * time.Second}) {
		t.Fatal("a claim beyond the queue's limit was accepted")
	}
	slow.Release(key(queueLimit), claimID) // must not block
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		slow.Run(ctx)
	}()
	defer func() {
		stop()
		<-stopped
	}()
	for range queueLimit {
		if e := (<-got).(core.ClaimAnswered); e.State != core.ClaimWon {
			t.Errorf("%q: %v", e.Key.Token, e.State)
		}
	}
	if got := claim(t, next, events, key(queueLimit), sum); got.State != core.ClaimWon {
		t.Errorf("the claim that was refused before: %v", got.State)
	}
}

// Checks that a corrupt file blocks only its own key, for as long as that key may have been run and across sweeps,
// and that the key is free afterwards.
func TestFilesCorruptFileBlocksOnlyItsKey(t *testing.T) {
	sum := [32]byte{1}
	expiryOnly := binary.BigEndian.AppendUint64(nil, uint64(time.Unix(1_000_005, 0).UnixNano()))
	for name, tc := range map[string]struct {
		corrupt func(path string) error
		after   core.Claim // result of a claim once its lifetime has passed
	}{
		"empty":                                {func(path string) error { return os.WriteFile(path, nil, 0o600) }, core.ClaimWon},
		"short":                                {func(path string) error { return os.WriteFile(path, expiryOnly[:7], 0o600) }, core.ClaimWon},
		"zeros":                                {func(path string) error { return os.WriteFile(path, make([]byte, 80), 0o600) }, core.ClaimWon},
		"no value":                             {func(path string) error { return os.WriteFile(path, expiryOnly, 0o600) }, core.ClaimWon},
		"truncated value":                      {func(path string) error { return os.WriteFile(path, append(expiryOnly, "c00"...), 0o600) }, core.ClaimWon},
		"a directory":                          {func(path string) error { return os.Mkdir(path, 0o700) }, core.ClaimUnavailable},
		"the temporary file cannot be written": {func(path string) error { return os.MkdirAll(filepath.Join(path+unfinishedSuffix, "x"), 0o700) }, core.ClaimUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			_, next, events, clock := twoProcesses(t, 1<<20)
			k, other := core.Key{Class: 1, Token: "corrupt"}, core.Key{Class: 1, Token: "other"}
			path := next.path(k)
			if err := tc.corrupt(path); err != nil {
				t.Fatal(err)
			}
			os.Chtimes(path, time.Time{}, next.now()) // the file does not exist in one of the cases
			sweep := func() {
				done := make(chan struct{})
				next.enqueue(func(err error) { next.sweep(err); close(done) })
				<-done
			}
			for range 2 {
				if got := claim(t, next, events, k, sum); got.State != core.ClaimUnavailable {
					t.Errorf("claim of the corrupt key: %v", got.State)
				}
				sweep()
				if got := claim(t, next, events, other, sum); got.State != core.ClaimWon {
					t.Errorf("claim of another key: %v", got.State)
				}
			}
			clock.Add(int64(11 * time.Second)) // claims in these tests live for 10 s
			if got := claim(t, next, events, k, sum); got.State != tc.after {
				t.Errorf("after the lifetime: %v, want %v", got.State, tc.after)
			}
		})
	}
}

// Checks that an unfinished file left by a process does not count as a claim and does not prevent one.
func TestFilesUnfinishedFileIsIgnored(t *testing.T) {
	_, next, events, _ := twoProcesses(t, 1<<20)
	k := core.Key{Class: 1, Token: "k"}
	if err := os.WriteFile(next.path(k)+unfinishedSuffix, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := claim(t, next, events, k, [32]byte{1}); got.State != core.ClaimWon {
		t.Errorf("%v", got.State)
	}
}

// Checks that the result of a run that ends after its key's window, with no lifetime left, is still returned to a
// request that arrives right after it, and then expires.
func TestFilesResultAfterWindow(t *testing.T) {
	old, next, events, clock := twoProcesses(t, 1<<20)
	for _, lifetime := range []time.Duration{0, -time.Minute} {
		k, sum := core.Key{Class: 1, Token: lifetime.String()}, [32]byte{1}
		claim(t, old, events, k, sum)
		old.Finish(k, claimID, sum, true, []byte("late"), lifetime)
		waitForQueue(old)
		if got := claim(t, next, events, k, sum); got.State != core.ClaimDone || string(got.Result) != "late" {
			t.Errorf("lifetime %v: %v %q", lifetime, got.State, got.Result)
		}
		clock.Add(int64(2 * time.Second))
		if got := claim(t, next, events, k, sum); got.State != core.ClaimWon {
			t.Errorf("lifetime %v, 2 s later: %v", lifetime, got.State)
		}
	}
}

// Checks that a directory that could not be created at the start is created by the first claim that can, and which
// errors count as transient.
func TestFilesDirectoryCreatedLater(t *testing.T) {
	a, b, events, _ := twoProcesses(t, 1<<20)
	waitForQueue(a)
	waitForQueue(b)
	if err := os.RemoveAll(a.dir); err != nil {
		t.Fatal(err)
	}
	key := core.Key{Class: 1, Token: "k"}
	if got := claim(t, a, events, key, [32]byte{1}); got.State != core.ClaimWon {
		t.Errorf("the first claim: %v", got.State)
	}
	if got := claim(t, b, events, key, [32]byte{1}); got.State != core.ClaimOther {
		t.Errorf("the other process's: %v", got.State)
	}
	for _, err := range []error{syscall.ENOSPC, syscall.EIO, syscall.EMFILE} {
		if !isTransient(&os.PathError{Op: "mkdir", Err: err}) {
			t.Errorf("%v is not transient", err)
		}
	}
	if isTransient(nil) || isTransient(syscall.EACCES) || isTransient(syscall.ENOTDIR) {
		t.Error("a permanent error counts as transient")
	}
}
