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

// sweepEach is how often expired claims and results are removed, and the bytes on the disk counted anew. A sweep
// reads every file: each second, it cost a run of 102,400 requests twice its time.
const sweepEach = 20 * time.Second

const (
	lockWait   = 250 * time.Millisecond // for the directory's lock at the most, the first time that it does not come
	lockEach   = time.Millisecond       // between two tries for it
	endsEach   = 100 * time.Millisecond // between two tries for it while ends of runs wait for it
	spoiltFor  = 24 * time.Hour         // a spoilt file is kept, unless a claim whose life is over by then comes sooner
	expiryLen  = 8                      // bytes of the expiry at the head of a file
	unfinished = ".new"                 // ends the name of a file that is not whole yet
)

// Files is a core.Store in a directory that two processes of one server share, such as their $TMPDIR in a
// replacement: a keyed write that ran in one of them is not run by the other. A key is a file named by the hash
// of its class and token, holding its expiry (8 bytes, Unix ns on their shared clock, big-endian) and a value as the Redis store
// writes it. Every change is done under an flock of the directory and replaces a file whole by a rename, so a
// process that dies between two steps leaves either the old state or the new. The loop never waits: one
// goroutine does the file work, and a claim that finds no room in its queue is a store that is down. So is one that
// gets no lock in time, as while the other process is stopped with it held; ends of runs are kept until it comes.
type Files struct {
	dir   string
	owner string
	class []string
	bound int64 // bytes of the directory; past it claims are refused
	used  int64 // as last counted, and written since; the goroutine's alone
	sink  func(core.Event)
	log   *slog.Logger
	work  chan job
	ends  []job            // that wait for the lock, waiting at the most; the goroutine's alone, as is stuck
	stuck bool             // the lock did not come the last time
	now   func() time.Time // the clock that all processes of the directory share
}

// job is done with the directory's lock held. err tells that the lock did not come: nothing may be changed.
type job func(err error)

// OpenFiles makes the directory, if it is not there, and a store in it of at most bound bytes. A directory that cannot be
// made for now, as on a full disk, is made with the first lock that can be: until then claims are refused.
func OpenFiles(dir, owner string, class []string, bound int64, sink func(core.Event), log *slog.Logger) (*Files, error) {
	if err := os.MkdirAll(dir, 0o700); passing(err) {
		log.Warn("store", "do", "open", "err", err)
	} else if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	now, err := sharedClock(dir, ofMachine())
	if err != nil {
		log.Warn("store", "do", "clock", "err", err)
	}
	return &Files{dir: dir, owner: owner, class: class, bound: bound, sink: sink, log: log,
		work: make(chan job, waiting), now: now}, nil
}

// Run works until ctx ends, and then does what was asked before.
func (s *Files) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepEach)
	defer sweep.Stop()
	s.locked(s.sweep)
	for {
		var again <-chan time.Time
		if len(s.ends) > 0 {
			again = time.After(endsEach)
		}
		select {
		case f := <-s.work:
			s.locked(f)
		case <-sweep.C:
			s.locked(s.sweep)
		case <-again:
			s.locked(func(error) {})
		case <-ctx.Done():
			for len(s.work) > 0 {
				s.locked(<-s.work)
			}
			if len(s.ends) > 0 {
				s.locked(func(error) {})
			}
			return
		}
	}
}

func (s *Files) do(f job) bool {
	select {
	case s.work <- f:
		return true
	default:
		return false
	}
}

// locked does f with the directory's lock held, after the ends that wait for it; or tells f that the lock did not come.
func (s *Files) locked(f job) {
	lock, err := s.lock()
	if err != nil {
		if !s.stuck {
			s.log.Warn("store", "do", "lock", "err", err)
		}
		s.stuck = true
		f(err)
		return
	}
	defer lock.Close()
	s.stuck = false
	ends := s.ends
	s.ends = nil
	for _, end := range ends {
		end(nil)
	}
	f(nil)
}

// lock takes the directory's lock, which the file's Close gives up. It waits up to lockWait, and not at all where it
// waited in vain the last time: what is asked meanwhile is told so at once.
func (s *Files) lock() (*os.File, error) {
	file, err := s.openLock()
	if errors.Is(err, fs.ErrNotExist) { // the directory could not be made at the start, or somebody has removed it
		if err = os.MkdirAll(s.dir, 0o700); err == nil {
			file, err = s.openLock()
		}
	}
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockWait); ; time.Sleep(lockEach) {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return file, nil
		}
		held := errors.Is(err, syscall.EWOULDBLOCK)
		if !held && !errors.Is(err, syscall.EINTR) || held && (s.stuck || time.Now().After(end)) {
			file.Close()
			return nil, fmt.Errorf("%s: %w", file.Name(), err)
		}
	}
}

func (s *Files) openLock() (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, ".lock"), os.O_CREATE|os.O_RDWR, 0o600)
}

// passing reports whether an error of a file system may be over a while later.
func passing(err error) bool {
	for _, one := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

func (s *Files) path(k core.Key) string {
	sum := sha256.Sum256([]byte(s.class[k.Class] + ":" + k.Token))
	return filepath.Join(s.dir, hex.EncodeToString(sum[:16]))
}

// get gives the value of a key that has not expired, nil = none, and the size of the file that is there. A spoilt file
// is an error until life has passed since it was written: what it held may have run.
func (s *Files) get(path string, life time.Duration) ([]byte, int, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	switch until := expiry(b); {
	case until == 0:
		info, err := os.Stat(path)
		if err != nil {
			return nil, len(b), err
		}
		// The system stamps a file by the wall clock, which may have been stepped since: the shorter age counts.
		if written := info.ModTime(); min(s.now().Sub(written), time.Since(written)) < life {
			return nil, len(b), fmt.Errorf("%s: %d bytes are no key", path, len(b))
		}
		return nil, len(b), nil
	case until <= s.now().UnixNano():
		return nil, len(b), nil
	}
	return b[expiryLen:], len(b), nil
}

// expiry gives a file's, in Unix ns; 0 = it is spoilt: too short, or zeros, as a disk that went down with its machine
// may leave it.
func expiry(file []byte) int64 {
	if len(file) < expiryLen {
		return 0
	}
	return int64(binary.BigEndian.Uint64(file))
}

// put replaces a key's file, of size was, whole.
func (s *Files) put(path string, value []byte, life time.Duration, was int) error {
	file := binary.BigEndian.AppendUint64(nil, uint64(s.now().Add(life).UnixNano()))
	file = append(file, value...)
	next := path + unfinished
	if err := os.WriteFile(next, file, 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	s.used += int64(len(file) - was)
	return nil
}

// Claim asks for a key.
func (s *Files) Claim(p core.Piece) bool {
	k, sum, life := p.Key, p.Sum, p.Life
	return s.do(func(err error) {
		state, result := core.ClaimDown, []byte(nil)
		if err == nil { // else it is told in the log already
			if state, result, err = s.claim(s.path(k), sum, life); err != nil {
				s.log.Warn("store", "do", "claim", "err", err)
				state = core.ClaimDown
			}
		}
		s.sink(core.Claimed{Key: k, State: state, Result: result})
	})
}

func (s *Files) claim(path string, sum [32]byte, life time.Duration) (core.Claim, []byte, error) {
	mine := value(markClaim, sum, []byte(s.owner))
	old, was, err := s.get(path, life)
	if err != nil {
		return core.ClaimDown, nil, err
	}
	if old != nil {
		return read(old, mine)
	}
	if s.used > s.bound {
		return core.ClaimDown, nil, fmt.Errorf("%d bytes of keys, %d at most", s.used, s.bound)
	}
	if err := s.put(path, mine, life, was); err != nil {
		return core.ClaimDown, nil, err
	}
	return core.ClaimWon, nil, nil
}

// Holds implements core.Store: a claim is this process's until it gives it up or it expires.
func (s *Files) Holds() bool { return true }

// Finish replaces this server's claim by the end of its run. Nothing waits for that.
func (s *Files) Finish(k core.Key, sum [32]byte, ok bool, result []byte, life time.Duration) bool {
	mark := byte(markFailed)
	if !ok {
		result = nil
	} else {
		mark = markDone
	}
	end := value(mark, sum, result)
	s.replace(k, "finish", func(path string, was int) error { return s.put(path, end, max(life, time.Second), was) })
	return false
}

// Release gives up this server's claim on what never ran.
func (s *Files) Release(k core.Key) {
	s.replace(k, "release", func(path string, was int) error {
		s.used -= int64(was)
		return os.Remove(path)
	})
}

// replace changes a key only while it is this server's claim. A change that finds no room is lost: a result
// that is not shared leaves its repeats in the other process without an answer until their deadline.
func (s *Files) replace(k core.Key, what string, change func(path string, was int) error) {
	lost := func() { s.log.Warn("store", "do", what, "err", "no room") }
	var end job
	end = func(unlocked error) {
		path := s.path(k)
		old, was, err := s.get(path, spoiltFor)
		switch mine := err == nil && len(old) >= 1+sumLen && old[0] == markClaim && string(old[1+sumLen:]) == s.owner; {
		case !mine: // nobody else makes it so
		case unlocked == nil:
			err = change(path, was)
		case len(s.ends) < waiting:
			s.ends = append(s.ends, end)
		default:
			lost()
		}
		if err != nil {
			s.log.Warn("store", "do", what, "err", err)
		}
	}
	if !s.do(end) {
		lost()
	}
}

// sweep removes what has expired, and what a process left half written, and counts the bytes anew. A spoilt file stays
// for long: what it held may have run.
func (s *Files) sweep(err error) {
	if err != nil { // no lock
		return
	}
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		s.log.Warn("store", "do", "sweep", "err", err)
		return
	}
	now := s.now()
	s.used = 0
	for _, e := range entries {
		name := e.Name()
		if strings.HasPrefix(name, ".") {
			continue
		}
		path := filepath.Join(s.dir, name)
		b, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		until := expiry(b)
		if info, err := e.Info(); until == 0 && err == nil {
			until = info.ModTime().Add(spoiltFor).UnixNano()
		}
		if strings.HasSuffix(name, unfinished) || until <= now.UnixNano() {
			os.Remove(path)
			continue
		}
		s.used += int64(len(b))
	}
}
