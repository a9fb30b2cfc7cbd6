package store

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"larchscale/internal/core"
)

// sweepInterval is the interval at which expired claims and results are removed and the bytes on disk are counted
// again. A sweep reads every file: sweeping every second doubled the duration of a run of 102,400 requests.
const sweepInterval = 20 * time.Second

const (
	maxLockWait       = 250 * time.Millisecond // longest wait for the directory lock, until a first attempt has failed
	lockPollInterval  = time.Millisecond       // polling interval while waiting for the directory lock
	endsRetryInterval = 100 * time.Millisecond // retry interval for the lock while ends of runs are pending
	// corruptFileTTL is the age at which a corrupt file is removed. A claim whose own lifetime has passed since the
	// file was written replaces it earlier.
	corruptFileTTL   = 24 * time.Hour
	expiryBytes      = 8      // length of the expiry at the start of a file
	unfinishedSuffix = ".new" // suffix of files that are still being written
)

// Files implements core.Store in a directory shared by two processes of one server, for example $TMPDIR while one
// replaces the other: a keyed write that ran in one of them is not run again by the other. Each key is a file named
// by the hash of its class and token. It holds the expiry (8 bytes, Unix ns on the shared clock, big-endian) and a
// value in the format of the Redis store.
//
// Every change holds an flock of the directory and replaces a file as a whole by a rename, so a process that dies at
// any point leaves either the old state or the new one. Callers never block: one goroutine does the file work. A
// claim is refused if the queue has no room, and answered with core.ClaimUnavailable if the lock does not become free in
// time, for example because the other process was stopped while holding it. Ends of runs wait until the lock is free.
type Files struct {
	dir        string
	owner      string
	classNames []string
	maxBytes   int64 // size limit of the directory in bytes; new claims are refused beyond it
	usedBytes  int64 // bytes at the last sweep plus those written since; used by the goroutine of Run only
	sink       func(core.Event)
	log        *slog.Logger
	queue      chan lockedJob
	waiting    byteBudget // of results
	// Ends of runs that wait for the lock, at most queueLimit. Like lockFailed, used by the goroutine of Run only.
	pendingEnds []lockedJob
	lockFailed  bool             // the last attempt to take the lock failed
	now         func() time.Time // the clock shared by all processes of the directory
}

// lockedJob runs with the directory lock held. A non-nil err means that the lock could not be taken; the job must then
// change nothing.
type lockedJob func(err error)

// OpenFiles creates the directory if needed and opens a store of at most maxBytes bytes in it. If the directory cannot
// be created because of a transient error, such as a full disk, it is created when the lock is first taken; claims
// are refused until then. Results that wait to be stored take up to maxBytes of memory; beyond that they are dropped.
func OpenFiles(dir, owner string, classNames []string, maxBytes int64, sink func(core.Event),
	log *slog.Logger) (*Files, error) {
	if err := os.MkdirAll(dir, 0o700); isTransient(err) {
		log.Warn("store", "do", "open", "err", err)
	} else if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	now, err := sharedClock(dir, systemClocks())
	if err != nil {
		log.Warn("store", "do", "clock", "err", err)
	}
	return &Files{dir: dir, owner: owner, classNames: classNames, maxBytes: maxBytes, sink: sink, log: log,
		queue: make(chan lockedJob, queueLimit), waiting: byteBudget{limit: maxBytes}, now: now}, nil
}

// Run processes the queue until ctx ends, and then completes the work that is already queued.
func (s *Files) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	s.withLock(s.sweep)
	for {
		var retry <-chan time.Time
		if len(s.pendingEnds) > 0 {
			retry = time.After(endsRetryInterval)
		}
		select {
		case f := <-s.queue:
			s.withLock(f)
		case <-sweep.C:
			s.withLock(s.sweep)
		case <-retry:
			s.withLock(func(error) {})
		case <-ctx.Done():
			for len(s.queue) > 0 {
				s.withLock(<-s.queue)
			}
			if len(s.pendingEnds) > 0 {
				s.withLock(func(error) {})
			}
			return
		}
	}
}

func (s *Files) enqueue(f lockedJob) bool {
	select {
	case s.queue <- f:
		return true
	default:
		return false
	}
}

// withLock runs f with the directory lock held, after the ends of runs that wait for it. If the lock cannot be taken,
// it passes the error to f.
func (s *Files) withLock(f lockedJob) {
	lock, err := s.acquireLock()
	if err != nil {
		if !s.lockFailed {
			s.log.Warn("store", "do", "lock", "err", err)
		}
		s.lockFailed = true
		f(err)
		return
	}
	defer lock.Close()
	s.lockFailed = false
	ends := s.pendingEnds
	s.pendingEnds = nil
	for _, end := range ends {
		end(nil)
	}
	f(nil)
}

// acquireLock takes the directory lock; closing the returned file releases it. It waits up to maxLockWait, but makes
// only one attempt if the previous call failed, so that callers get their refusals without delay meanwhile.
func (s *Files) acquireLock() (*os.File, error) {
	file, err := s.openLock()
	if errors.Is(err, fs.ErrNotExist) { // the directory could not be created at the start, or was removed since
		if err = os.MkdirAll(s.dir, 0o700); err == nil {
			file, err = s.openLock()
		}
	}
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(maxLockWait); ; time.Sleep(lockPollInterval) {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return file, nil
		}
		busy := errors.Is(err, syscall.EWOULDBLOCK)
		if !busy && !errors.Is(err, syscall.EINTR) || busy && (s.lockFailed || time.Now().After(end)) {
			file.Close()
			return nil, fmt.Errorf("%s: %w", file.Name(), err)
		}
	}
}

func (s *Files) openLock() (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, ".lock"), os.O_CREATE|os.O_RDWR, 0o600)
}

// isTransient reports whether a file system error is likely to go away by itself.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func (s *Files) path(k core.Key) string {
	sum := sha256.Sum256([]byte(s.classNames[k.Class] + ":" + k.Token))
	return filepath.Join(s.dir, hex.EncodeToString(sum[:16]))
}

// load returns the value of a key that has not expired, or nil if there is none, and the size of the file that
// exists. A corrupt file is an error until lifetime has passed since it was written, because the key it held may have
// been run.
func (s *Files) load(path string, lifetime time.Duration) ([]byte, int, error) {
	file, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	switch until := expiry(file); {
	case until == 0:
		info, err := os.Stat(path)
		if err != nil {
			return nil, len(file), err
		}
		// The file system uses the wall clock, which may have been stepped since: the smaller of both ages counts.
		if written := info.ModTime(); min(s.now().Sub(written), time.Since(written)) < lifetime {
			return nil, len(file), fmt.Errorf("%s: corrupt key file of %d bytes", path, len(file))
		}
		return nil, len(file), nil
	case until <= s.now().UnixNano():
		return nil, len(file), nil
	}
	return file[expiryBytes:], len(file), nil
}

// expiry returns the expiry of a file in Unix ns, or 0 if the file is corrupt: too short, or filled with zeros, as a
// power failure may leave it.
func expiry(file []byte) int64 {
	if len(file) < expiryBytes {
		return 0
	}
	return int64(binary.BigEndian.Uint64(file))
}

// save replaces the file of a key, whose previous size is oldSize bytes.
func (s *Files) save(path string, value []byte, lifetime time.Duration, oldSize int) error {
	file := binary.BigEndian.AppendUint64(nil, uint64(s.now().Add(lifetime).UnixNano()))
	file = append(file, value...)
	temp := path + unfinishedSuffix
	if err := os.WriteFile(temp, file, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temp, path); err != nil {
		return err
	}
	s.usedBytes += int64(len(file) - oldSize)
	return nil
}

// Claim queues a claim of a key. It returns false if the queue is full.
func (s *Files) Claim(p core.KeyedRequest) bool {
	key, id, lifetime := p.Key, p.ClaimID, p.Life
	wanted := newClaimValue(s.owner, p)
	return s.enqueue(func(err error) {
		state, result := core.ClaimUnavailable, []byte(nil)
		if err == nil { // otherwise withLock has logged it
			if state, result, err = s.claim(s.path(key), wanted, lifetime); err != nil {
				s.log.Warn("store", "do", "claim", "err", err)
				state = core.ClaimUnavailable
			}
		}
		s.sink(core.ClaimAnswered{Key: key, ClaimID: id, State: state, Result: result})
	})
}

func (s *Files) claim(path string, wanted claimValue, lifetime time.Duration) (core.Claim, []byte, error) {
	current, size, err := s.load(path, lifetime)
	if err != nil {
		return core.ClaimUnavailable, nil, err
	}
	if current != nil && !wanted.replaces(current) {
		return wanted.interpret(current)
	}
	if current == nil && s.usedBytes > s.maxBytes {
		return core.ClaimUnavailable, nil, fmt.Errorf("the keys take %d bytes, the limit is %d", s.usedBytes, s.maxBytes)
	}
	if err := s.save(path, wanted.value, lifetime, size); err != nil {
		return core.ClaimUnavailable, nil, err
	}
	return core.ClaimWon, nil, nil
}

// OwnsClaims implements core.Store. A claim belongs to this process until it is released or expires.
func (s *Files) OwnsClaims() bool { return true }

// Finish replaces the claim by the outcome of the run. No event follows.
func (s *Files) Finish(k core.Key, claim core.ClaimID, sum [32]byte, ok bool, result []byte, lifetime time.Duration) bool {
	mark := byte(markFailed)
	if !ok {
		result = nil
	} else {
		mark = markDone
	}
	end := encodeValue(mark, sum, result)
	s.replace(k, claim, "finish", len(end), func(path string, oldSize int) error {
		return s.save(path, end, max(lifetime, time.Second), oldSize)
	})
	return false
}

// Release removes the claim of a request that never ran.
func (s *Files) Release(k core.Key, claim core.ClaimID) {
	s.replace(k, claim, "release", 0, func(path string, oldSize int) error {
		s.usedBytes -= int64(oldSize)
		return os.Remove(path)
	})
}

// replace changes a key only while it is held by the claim. waitingBytes is what the change keeps in memory until
// then. A change that finds no room is dropped: repeats at the other process then get no answer until their deadline,
// because the result is not shared.
func (s *Files) replace(k core.Key, claim core.ClaimID, operation string, waitingBytes int, change func(path string, size int) error) {
	logDropped := func() { s.log.Warn("store", "do", operation, "err", errNoRoom) }
	if !s.waiting.take(waitingBytes) {
		logDropped()
		return
	}
	holder := claimHolder(s.owner, claim)
	var end lockedJob
	end = func(unlocked error) {
		path := s.path(k)
		current, size, err := s.load(path, corruptFileTTL)
		switch isHeld := err == nil && isHeldBy(current, holder); {
		case !isHeld: // no other process writes a claim with this owner, and this one makes no claim again
		case unlocked == nil:
			err = change(path, size)
		case len(s.pendingEnds) < queueLimit:
			s.pendingEnds = append(s.pendingEnds, end)
			return
		default:
			logDropped()
		}
		s.waiting.give(waitingBytes)
		if err != nil {
			s.log.Warn("store", "do", operation, "err", err)
		}
	}
	if !s.enqueue(end) {
		s.waiting.give(waitingBytes)
		logDropped()
	}
}

// sweep removes expired files and unfinished files, and counts the bytes again. A corrupt file stays for
// corruptFileTTL, because the key it held may have been run.
func (s *Files) sweep(err error) {
	if err != nil { // the lock was not taken
		return
	}
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		s.log.Warn("store", "do", "sweep", "err", err)
		return
	}
	now := s.now()
	s.usedBytes = 0
	for _, e := range entries {
		name := e.Name()
		if strings.HasPrefix(name, ".") {
			continue
		}
		path := filepath.Join(s.dir, name)
		file, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		until := expiry(file)
		if info, err := e.Info(); until == 0 && err == nil {
			until = info.ModTime().Add(corruptFileTTL).UnixNano()
		}
		if strings.HasSuffix(name, unfinishedSuffix) || until <= now.UnixNano() {
			os.Remove(path)
			continue
		}
		s.usedBytes += int64(len(file))
	}
}
